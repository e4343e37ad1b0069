// Package lint examines a configuration of the platform before it is sent: what is wrong in it,
// which entries have no effect, which limits contradict each other, and how it differs from the
// version in force.
package lint

import (
	"fmt"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/policy"
)

// Group is what kind of finding a Finding is.
type Group string

// The groups, in the order in which they are reported.
const (
	Errors    Group = "errors"
	Unmatched Group = "entries that can never match"
	Limits    Group = "limits that contradict each other"
	Changes   Group = "differences from the version in force"
)

// Groups returns all groups in order.
func Groups() []Group { return []Group{Errors, Unmatched, Limits, Changes} }

// Kind is the list of the configuration that an entry is in.
type Kind string

// The kinds of entries. Whole stands for the configuration itself.
const (
	Whole     Kind = ""
	InQueues  Kind = "queue"
	InTeams   Kind = "team"
	InService Kind = "service"
	InLimits  Kind = "limits"
)

// Place is where in the configuration a finding is.
type Place struct {
	Kind Kind
	// Index is the position in the list, -1 for an entry that only the version in force has.
	Index int
	Name  string
}

// Finding is one result.
type Finding struct {
	Group Group
	Place Place
	// Running is set if the finding changes what jobs get that have been accepted.
	Running bool
	Text    string
}

// Config is a configuration with all entries in their order, also those that a policy.Policy
// leaves out.
type Config struct {
	Version  core.Version
	Queues   []policy.Queue
	Teams    []policy.Team
	Services []policy.Service
	Bounds   Bounds
}

// Bounds are the limits of calls. Sizes are in bytes; 0 means that none is set.
type Bounds struct {
	MaxBody, MaxHeader         int64
	HeaderTimeout, IdleTimeout time.Duration
	// DefaultBody applies if MaxBody is 0.
	DefaultBody int64
	// LargestJob is the least size of a submission with the largest payload.
	LargestJob int64
}

// checker collects findings.
type checker struct {
	next     Config
	policy   *policy.Policy
	findings []Finding
}

// Run returns the findings on a configuration, compared with the one in force if that is present.
func Run(next Config, inForce core.Option[Config]) []Finding {
	c := &checker{next: next, policy: policy.New(next.Version, next.Queues, next.Teams, next.Services, next.Bounds.MaxBody)}
	current, ok := inForce.Get()
	if ok && next.Version <= current.Version {
		c.add(Errors, Place{}, "version %d is not above version %d, which is in force; it is ignored", next.Version, current.Version)
	}
	c.findErrors()
	c.findUnmatched()
	c.findContradictions()
	if ok {
		c.findChanges(current)
	}
	return c.findings
}

func (c *checker) add(g Group, at Place, format string, args ...any) {
	c.findings = append(c.findings, Finding{Group: g, Place: at, Text: fmt.Sprintf(format, args...)})
}

func queueAt(i int, q *policy.Queue) Place     { return Place{InQueues, i, string(q.Name)} }
func teamAt(i int, t *policy.Team) Place       { return Place{InTeams, i, string(t.Name)} }
func serviceAt(i int, s *policy.Service) Place { return Place{InService, i, string(s.Name)} }
