// Package advice sends the advice requests of one VM to the external placement
// advisor, which serves one call of a VM at a time.
package advice

import (
	"context"
	"sync"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/io/guard"
)

const (
	// maxQueued bounds the queued requests; it is below the 32 that the advisor
	// accepts.
	maxQueued = 30
	// The time-out of a call is timeoutFactor times its expected duration, plus
	// timeoutMargin.
	timeoutFactor = 3
	timeoutMargin = time.Second
)

// Advisor answers which of the workers may run a phase, and for how long its
// tickets are valid.
type Advisor interface {
	Advise(ctx context.Context, id jobs.PhaseID, workers []core.WorkerID) (allowed []fleet.AllowedWorker, ttl time.Duration, err error)
}

// Result is the outcome of one advice request; Err is set if the request
// failed.
type Result struct {
	Request fleet.AdviceRequest
	Allowed []fleet.AllowedWorker
	// TicketTTL is how long the tickets are valid after At, the time of the
	// answer.
	TicketTTL time.Duration
	At        time.Time
	Err       error
}

// TicketsLeft returns how long the tickets are still valid; it is not positive
// if they have expired.
func (r Result) TicketsLeft(now time.Time) time.Duration { return r.TicketTTL - now.Sub(r.At) }

// FullError reports that the queue of advice requests is full.
type FullError struct{}

// Error implements error.
func (*FullError) Error() string { return "the queue of advice requests is full" }

type queuedCall struct {
	request  fleet.AdviceRequest
	onResult func(Result)
}

// Client makes the advice requests of one VM, one after another.
type Client struct {
	advisor Advisor
	queue   chan queuedCall

	// mu guards the fields below. Senders hold it too, so that the queue cannot
	// fill up between the check for space and the send. queuedCost is the
	// expected duration of the queued calls, currentCost that of the call in
	// progress, or 0 if there is none, and currentStart when that call began.
	mu                      sync.Mutex
	queuedCost, currentCost time.Duration
	currentStart            time.Time
}

// New returns a client; Run makes its calls.
func New(a Advisor) *Client { return &Client{advisor: a, queue: make(chan queuedCall, maxQueued)} }

// Request queues an advice request and calls onResult with its result, usually
// on another goroutine. If the queue is full, it calls onResult at once with a
// FullError.
func (c *Client) Request(r fleet.AdviceRequest, onResult func(Result)) {
	c.mu.Lock()
	isFull := len(c.queue) == cap(c.queue)
	if !isFull {
		c.queuedCost += r.Cost
		c.queue <- queuedCall{r, onResult}
	}
	c.mu.Unlock()
	if isFull {
		onResult(Result{Request: r, Err: &FullError{}})
	}
}

// Delay returns the expected time until a new request would be sent.
func (c *Client) Delay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queuedCost + max(c.currentCost-time.Since(c.currentStart), 0)
}

func (c *Client) callStarted(r fleet.AdviceRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queuedCost -= r.Cost
	c.currentCost, c.currentStart = r.Cost, time.Now()
}

func (c *Client) callEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.currentCost = 0
}

// Run makes the queued calls until the context ends.
func (c *Client) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-c.queue:
			c.callStarted(next.request)
			result := c.call(ctx, next.request)
			c.callEnded()
			next.onResult(result)
		}
	}
}

// call makes one call; its result has Err set if the call failed or timed out.
func (c *Client) call(ctx context.Context, r fleet.AdviceRequest) Result {
	ctx, cancel := context.WithTimeout(ctx, timeoutFactor*r.Cost+timeoutMargin)
	defer cancel()
	result := Result{Request: r}
	result.Err = guard.Do(func() (err error) {
		result.Allowed, result.TicketTTL, err = c.advisor.Advise(ctx, r.Phase, r.Workers)
		return err
	})
	result.At = time.Now()
	return result
}
