package jobs

import (
	"time"

	"chicoryturn/core"
	"chicoryturn/core/policy"
)

// termsBytes is what the terms of a job take in memory, beside the name of the service.
const termsBytes = 160

// Terms are what the configuration said of a job's queue and team when the job was accepted.
// They hold while the configuration does not name the queue or the team.
type Terms struct {
	// Service, Priority, Attempts, Slowdown, Latency and Advisor are those of the queue; see
	// policy.Queue.
	Service  core.Service
	Priority int `json:",omitempty"`
	Attempts int
	Slowdown float64         `json:",omitempty"`
	Latency  time.Duration   `json:",omitempty"`
	Advisor  *policy.Advisor `json:",omitempty"`
	// Limit is that of the team; 0 means no limit.
	Limit core.Resources `json:"Ceiling,omitzero"`
}

// NewTerms returns the terms of a queue for a team with a limit.
func NewTerms(q *policy.Queue, limit core.Resources) *Terms {
	t := &Terms{Service: q.Service, Priority: q.Priority, Attempts: q.Attempts, Slowdown: q.Slowdown, Latency: q.Latency, Limit: limit}
	if a, ok := q.Advisor.Get(); ok {
		t.Advisor = &a
	}
	return t
}

// QueueOf returns the policy of the queue with a name under the terms.
func (t *Terms) QueueOf(name core.Queue) *policy.Queue {
	q := &policy.Queue{Name: name, Service: t.Service, Priority: t.Priority, Attempts: t.Attempts, Slowdown: t.Slowdown, Latency: t.Latency}
	if t.Advisor != nil {
		q.Advisor = core.Some(*t.Advisor)
	}
	return q
}
