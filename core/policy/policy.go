// Package policy holds one version of the platform's configuration: the queues, the
// teams with their keys, weights and limits, and the services.
package policy

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"chicoryturn/core"
)

// Advisor describes the calls to the external placement advisor of a queue. The
// advisor issues the tickets that the queue's tasks need to start.
type Advisor struct {
	// Base is the duration of a call that names no worker; each worker named adds
	// PerWorker.
	Base      time.Duration
	PerWorker time.Duration `json:"Each"`
	// TicketTTL is how long a ticket may be used after it was issued.
	TicketTTL time.Duration `json:"Valid"`
}

// Cost returns the expected duration of a call that names n workers.
func (a Advisor) Cost(n int) time.Duration { return a.Base + time.Duration(n)*a.PerWorker }

// Queue is the configuration of one queue.
type Queue struct {
	Name core.Queue
	// Host and Prefix select the queue; the longest prefix wins.
	Host, Prefix string
	Service      core.Service
	// Priority 0 is the highest.
	Priority int
	// Attempts is how often a task may fail before its job fails; it is at least 1.
	Attempts int
	// A job is on time if it ends within Slowdown times the run time of its critical
	// path, plus Latency.
	Slowdown float64
	Latency  time.Duration
	// Timeout bounds one client request.
	Timeout time.Duration
	// Public queues accept requests without a key.
	Public bool
	// Advisor is absent if the tasks may run on any worker of the service without a
	// ticket.
	Advisor core.Option[Advisor]
}

// Team is a customer.
type Team struct {
	Name core.Team
	Keys []string
	// Weight determines the team's share of a full fleet.
	Weight float64
	// Limit bounds the resources of the team's running tasks in the whole fleet; 0
	// means no limit.
	Limit core.Resources
}

// Service is a pool of interchangeable workers.
type Service struct {
	Name core.Service
	// RefusesOverload is set if the workers themselves refuse work that does not fit.
	RefusesOverload bool
	// Standby is set if the pool is switched off.
	Standby bool
	// Health is the URL path that a worker answers with status 200 while it is
	// healthy.
	Health string
}

// ClientLimits bound the headers of a request in bytes, the time within which they arrive and the
// time that a connection may be idle; 0 means that the configuration does not say.
type ClientLimits struct {
	HeaderBytes                int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Policy is one version of the configuration. It is immutable.
type Policy struct {
	Version  core.Version
	Queues   map[core.Queue]*Queue
	Teams    map[core.Team]*Team
	Services map[core.Service]*Service
	// MaxBody bounds a submission, in bytes.
	MaxBody int64
	// Clients are the limits within which every client is served.
	Clients ClientLimits

	byKey  map[string]*Team
	byHost map[string][]*Queue
	// named holds the services of Services and those of Queues.
	named core.Set[core.Service]
}

// New builds a policy and its indexes.
func New(version core.Version, queues []Queue, teams []Team, services []Service, maxBody int64) *Policy {
	p := &Policy{
		Version: version, MaxBody: maxBody,
		Queues: map[core.Queue]*Queue{}, Teams: map[core.Team]*Team{}, Services: map[core.Service]*Service{},
		byKey: map[string]*Team{}, byHost: map[string][]*Queue{}, named: core.NewSet[core.Service](),
	}
	for i := range queues {
		q := &queues[i]
		p.Queues[q.Name] = q
		p.named.Add(q.Service)
		p.byHost[q.Host] = append(p.byHost[q.Host], q)
	}
	for _, qs := range p.byHost {
		slices.SortFunc(qs, func(a, b *Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range teams {
		t := &teams[i]
		p.Teams[t.Name] = t
		for _, k := range t.Keys {
			p.byKey[k] = t
		}
	}
	for i := range services {
		p.Services[services[i].Name] = &services[i]
		p.named.Add(services[i].Name)
	}
	return p
}

// Route returns the queue for a host and path, and the part of the path after the
// queue's prefix.
func (p *Policy) Route(host, path string) (*Queue, string, bool) {
	for _, q := range p.byHost[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return nil, "", false
}

// NamesService reports whether the configuration names a service, by itself or as that
// of a queue.
func (p *Policy) NamesService(s core.Service) bool { return p.named.Has(s) }

// TeamOf returns the team that a key belongs to.
func (p *Policy) TeamOf(key string) (*Team, bool) {
	t, ok := p.byKey[key]
	return t, ok
}
