package lint_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chicoryturn/core"
	"chicoryturn/core/lint"
	"chicoryturn/core/policy"
)

// drawConfig returns a configuration without errors, in which each entry can match.
func drawConfig(t *rapid.T) lint.Config {
	n := func(name string, least, most int) int { return rapid.IntRange(least, most).Draw(t, name) }
	ms := func(name string, least, most int) time.Duration {
		return time.Duration(n(name, least, most)) * time.Millisecond
	}
	c := lint.Config{Version: core.Version(n("version", 2, 9)), Bounds: lint.Bounds{
		MaxBody: 262144, MaxHeader: 16384, HeaderTimeout: ms("headers", 1, 3000), IdleTimeout: ms("idle", 3000, 15000), LargestJob: 4034,
	}}
	for i := range n("queues", 1, 15) {
		q := policy.Queue{
			Name: core.Queue(fmt.Sprint("q", i)), Host: "jobs.example", Prefix: fmt.Sprintf("/%d/", i), Service: core.Service(fmt.Sprint("s", i)),
			Priority: n("priority", 0, 2), Attempts: n("attempts", 1, 4), Slowdown: rapid.Float64Range(1, 4).Draw(t, "slowdown"),
			Latency: ms("latency", 1000, 3000), Timeout: ms("timeout", 0, 3000), Public: rapid.Bool().Draw(t, "public"),
		}
		if rapid.Bool().Draw(t, "advised") {
			q.Advisor = core.Some(policy.Advisor{Base: ms("base", 1, 600), PerWorker: ms("each", 0, 8), TicketTTL: ms("valid", 1000, 3000)})
		}
		c.Queues = append(c.Queues, q)
		c.Services = append(c.Services, policy.Service{Name: q.Service, Health: "/health"})
	}
	for i := range n("teams", 1, 4) {
		c.Teams = append(c.Teams, policy.Team{
			Name: core.Team(fmt.Sprint("t", i)), Keys: []string{fmt.Sprint("secret-", i)}, Weight: 1, Limit: core.Resources{Cores: int64(n("cores", 2, 9))},
		})
	}
	return c
}

func clone(c lint.Config) lint.Config {
	c.Queues, c.Teams, c.Services = slices.Clone(c.Queues), slices.Clone(c.Teams), slices.Clone(c.Services)
	return c
}

// edits are single changes of a configuration, each with the finding that it must give.
var edits = []struct {
	edit    func(c *lint.Config)
	group   lint.Group
	text    string
	running bool
}{
	{func(c *lint.Config) { c.Version-- }, lint.Errors, "is not above version", false},
	{func(c *lint.Config) { c.Queues[0].Name = "" }, lint.Errors, "has no name", false},
	{func(c *lint.Config) { c.Queues = append(c.Queues, c.Queues[0]) }, lint.Errors, "queue 0 has the same name", false},
	{func(c *lint.Config) { c.Teams = append(c.Teams, c.Teams[0]) }, lint.Errors, "team 0 has the same name", false},
	{func(c *lint.Config) { c.Services = append(c.Services, c.Services[0]) }, lint.Errors, "service 0 has the same name", false},
	{func(c *lint.Config) { c.Services = c.Services[1:] }, lint.Errors, `service "s0" is not defined`, false},
	{func(c *lint.Config) { c.Queues[0].Attempts = 0 }, lint.Errors, "attempts 0 is below 1", false},
	{func(c *lint.Config) { c.Queues[0].Slowdown = -1 }, lint.Errors, "slowdown -1 is negative", false},
	{func(c *lint.Config) { c.Queues[0].Latency = 1e18 }, lint.Errors, "target latency", false},
	{func(c *lint.Config) { c.Queues[0].Advisor = core.Some(policy.Advisor{Base: -1}) }, lint.Errors, "out of range", false},
	{func(c *lint.Config) { c.Teams[0].Limit.Memory = -1 }, lint.Errors, "limit of memory -1 is negative", false},
	{func(c *lint.Config) { c.Teams[0].Keys = []string{""} }, lint.Errors, "a key is empty", false},
	{func(c *lint.Config) { c.Teams = append(c.Teams, policy.Team{Name: "new", Keys: c.Teams[0].Keys}) }, lint.Errors, "is also a key of team 0", false},
	{func(c *lint.Config) { c.Bounds.MaxBody = -1 }, lint.Errors, "size of a body -1 is negative", false},
	{func(c *lint.Config) { q := c.Queues[0]; q.Name = "new"; c.Queues = append(c.Queues, q) }, lint.Unmatched, "has the same host and prefix", false},
	{func(c *lint.Config) { c.Queues[0].Host = "jobs.example:80" }, lint.Unmatched, "has a port", false},
	{func(c *lint.Config) { c.Queues[0].Host = "Jobs.example" }, lint.Unmatched, "not in lower case", false},
	{func(c *lint.Config) { c.Queues[0].Prefix = "" }, lint.Unmatched, "the prefix is empty", false},
	{func(c *lint.Config) { c.Queues[0].Prefix = "q/" }, lint.Unmatched, "does not begin with a slash", false},
	{func(c *lint.Config) { c.Teams[0].Keys = nil }, lint.Unmatched, "the team has no keys", false},
	{func(c *lint.Config) { c.Teams, c.Queues[0].Public = nil, false }, lint.Unmatched, "no team has a key", false},
	{func(c *lint.Config) { c.Services = append(c.Services, policy.Service{Name: "new"}) }, lint.Unmatched, "no queue uses", false},
	{func(c *lint.Config) { c.Queues[0].Timeout = time.Minute }, lint.Limits, "after which a job with a short run time", false},
	{func(c *lint.Config) { c.Queues[0].Slowdown, c.Queues[0].Latency = 0.5, 0 }, lint.Limits, "no job can be on time", false},
	{func(c *lint.Config) { c.Queues[0].Advisor = core.Some(policy.Advisor{Base: 900, TicketTTL: 900}) }, lint.Limits, "due for renewal", false},
	{func(c *lint.Config) { c.Bounds.MaxBody = 0 }, lint.Limits, "the default", false},
	{func(c *lint.Config) { c.Bounds.MaxBody = 4033 }, lint.Limits, "largest payload", false},
	{func(c *lint.Config) { c.Bounds.HeaderTimeout = time.Minute }, lint.Limits, "may be idle", false},
	{func(c *lint.Config) { c.Queues[0].Attempts = 5 }, lint.Changes, "may fail more often", true},
	{func(c *lint.Config) { c.Queues[0].Attempts = 0 }, lint.Changes, "accepted jobs fail at once", true},
	{func(c *lint.Config) { c.Queues[0].Priority += 3 }, lint.Changes, "priority", true},
	{func(c *lint.Config) { c.Queues[0].Prefix = "/new/" }, lint.Changes, "prefix /new/ instead of /0/", false},
	{func(c *lint.Config) { c.Queues = c.Queues[1:] }, lint.Changes, "removed: its accepted jobs keep its terms", true},
	{func(c *lint.Config) { c.Queues, c.Services = c.Queues[1:], c.Services[1:] }, lint.Changes, "nothing more of its accepted jobs starts", true},
	{func(c *lint.Config) { c.Teams = c.Teams[1:] }, lint.Changes, "keep its last limit", true},
	{func(c *lint.Config) { c.Teams[0].Limit.Cores = 1 }, lint.Changes, "wait while the team is above it", true},
	{func(c *lint.Config) { c.Teams[0].Limit.Cores = 0 }, lint.Changes, "may start", true},
	{func(c *lint.Config) { c.Teams[0].Limit.Memory = 5 }, lint.Changes, "wait while the team is above it", true},
	{func(c *lint.Config) { c.Teams[0].Keys = []string{"secret-new"} }, lint.Changes, "key aa8a4774 added", false},
	{func(c *lint.Config) { c.Services[0].Standby = true }, lint.Changes, "standby true instead of false", false},
	{func(c *lint.Config) { c.Bounds.MaxBody++ }, lint.Changes, "size of a body", false},
}

// TestEdits guards against findings on a faultless configuration and against mistakes that are not
// reported: each edit of a random configuration gives its finding. No finding tells a key.
func TestEdits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		c := drawConfig(t)
		is.Equal(len(lint.Run(c, core.Option[lint.Config]{})), 0)
		next := clone(c)
		next.Version++
		findings := lint.Run(next, core.Some(c))
		is.Equal(len(findings), 1)
		is.Equal(findings[0].Group, lint.Changes)
		for _, e := range edits {
			edited := clone(next)
			e.edit(&edited)
			findings = lint.Run(edited, core.Some(c))
			if !slices.ContainsFunc(findings, func(f lint.Finding) bool {
				return f.Group == e.group && f.Running == e.running && strings.Contains(f.Text, e.text)
			}) {
				t.Errorf("no finding %q in %s: %v", e.text, e.group, findings)
			}
			is.True(!strings.Contains(fmt.Sprint(findings), "secret-"))
		}
	})
}
