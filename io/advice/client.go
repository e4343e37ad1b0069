// Package advice asks the external placement policy on behalf of one VM. The
// policy serves one call of a VM at a time.
package advice

import (
	"context"
	"sync"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
)

const (
	// queue bounds the calls that wait, below the 32 that the policy takes.
	queue = 30
	// patience times the expected length of a call, and grace more, bounds it.
	patience = 3
	grace    = time.Second
)

// Advisor answers which workers may run a phase.
type Advisor interface {
	Advise(ctx context.Context, id jobs.PhaseID, workers []core.WorkerID) (allowed []fleet.AllowedWorker, valid time.Duration, err error)
}

// Result is the outcome of one call; Err is set if it has failed.
type Result struct {
	Request fleet.AdviceRequest
	Allowed []fleet.AllowedWorker
	// TicketTTL is how long the tickets were good when the answer came, at At.
	TicketTTL time.Duration
	At        time.Time
	Err       error
}

// TicketsLeft returns what is left of the tickets' time.
func (r Result) TicketsLeft(now time.Time) time.Duration { return r.TicketTTL - now.Sub(r.At) }

// FullError reports that too many calls wait.
type FullError struct{}

// Error implements error.
func (*FullError) Error() string { return "too many calls for placement advice wait" }

type entry struct {
	ask  fleet.AdviceRequest
	then func(Result)
}

// Client makes the calls of one VM, one after another.
type Client struct {
	policy Advisor
	calls  chan entry

	// mu guards the expected length of the calls that wait and of the one under
	// way, 0 if there is none, and when that began.
	mu           sync.Mutex
	waiting, now time.Duration
	began        time.Time
}

// New returns a guide; Run makes its calls.
func New(p Advisor) *Client { return &Client{policy: p, calls: make(chan entry, queue)} }

// Request queues a call; then gets its result on another goroutine.
func (g *Client) Request(a fleet.AdviceRequest, then func(Result)) {
	g.mu.Lock()
	full := len(g.calls) == cap(g.calls)
	if !full {
		g.waiting += a.Cost
		g.calls <- entry{a, then}
	}
	g.mu.Unlock()
	if full {
		then(Result{Request: a, Err: &FullError{}})
	}
}

// Delay returns how long a call would wait for those before it.
func (g *Client) Delay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting + max(g.now-time.Since(g.began), 0)
}

func (g *Client) begin(a fleet.AdviceRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting -= a.Cost
	g.now, g.began = a.Cost, time.Now()
}

func (g *Client) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now = 0
}

// Run makes the calls until the context ends.
func (g *Client) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-g.calls:
			g.begin(e.ask)
			r := g.call(ctx, e.ask)
			g.end()
			e.then(r)
		}
	}
}

func (g *Client) call(ctx context.Context, a fleet.AdviceRequest) Result {
	ctx, cancel := context.WithTimeout(ctx, patience*a.Cost+grace)
	defer cancel()
	allowed, valid, err := g.policy.Advise(ctx, a.Phase, a.Workers)
	return Result{Request: a, Allowed: allowed, TicketTTL: valid, At: time.Now(), Err: err}
}
