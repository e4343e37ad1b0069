// Package adapt sets the time-outs of table calls from the duration of earlier
// ones, so that a lost answer is noticed early and a slow table is given time.
package adapt

import (
	"context"
	"errors"
	"sync"
	"time"

	"chicoryturn/io/table"
)

const (
	// meanWeight is the weight of the newest call in the moving average.
	meanWeight = 0.2
	// The time-out is timeoutFactor times the mean duration, plus
	// timeoutMargin.
	timeoutFactor = 6
	timeoutMargin = 200 * time.Millisecond
	// maxTimeout bounds the time-out while it grows after calls without an
	// answer: a slow store takes about 0.65 s for a write.
	maxTimeout = 1300 * time.Millisecond
	// The time-out is at least minTimeoutFactor times the mean, plus
	// timeoutMargin, but this lower bound is at most maxMinTimeout. A slow
	// store processes the writes of a partition one after another, and a
	// retried write queues behind the first attempt. Clients wait about 3 s.
	minTimeoutFactor = 3
	maxMinTimeout    = 3 * time.Second
	// readAttempts bounds the attempts of a read that has no answer.
	readAttempts = 3
)

// Store is a table client with adaptive time-outs. It implements table.Client.
type Store struct {
	table       table.Client
	write, read timeoutEstimator
}

// New returns a client that calls t with adaptive time-outs.
func New(t table.Client) *Store { return &Store{table: t} }

// timeoutEstimator estimates the time-out for one kind of call.
type timeoutEstimator struct {
	mu   sync.Mutex
	mean time.Duration
	// unanswered counts the calls in a row without an answer, up to 3; each
	// doubles the time-out.
	unanswered int
}

// timeout returns the time-out of the next call.
func (e *timeoutEstimator) timeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	lowest := min(minTimeoutFactor*e.mean+timeoutMargin, maxMinTimeout)
	return max(min((timeoutFactor*e.mean+timeoutMargin)<<e.unanswered, maxTimeout), lowest)
}

// observe updates the estimate after a call. It ignores the duration of a call
// without an answer.
func (e *timeoutEstimator) observe(took time.Duration, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var unanswered *table.UnansweredError
	if errors.As(err, &unanswered) {
		e.unanswered = min(e.unanswered+1, 3)
		return
	}
	e.unanswered = 0
	e.mean += time.Duration(meanWeight * float64(took-e.mean))
}

// do makes one call with the current time-out. An answer that arrives after the
// time-out still updates the mean.
func (e *timeoutEstimator) do(ctx context.Context, call func(ctx context.Context) error) error {
	ctx = table.WithLateHook(ctx, func(took time.Duration, _ table.Outcome) { e.observe(took, nil) })
	ctx, cancel := context.WithTimeout(ctx, e.timeout())
	defer cancel()
	start := time.Now()
	err := call(ctx)
	e.observe(time.Since(start), err)
	return err
}

// Write applies a transaction once; if there is no answer, the outcome is
// unknown.
func (s *Store) Write(ctx context.Context, t table.Txn) (done table.WriteResult, err error) {
	err = s.write.do(ctx, func(ctx context.Context) error {
		done, err = s.table.Write(ctx, t)
		return err
	})
	return done, err
}

// Read reads a range, and retries if there is no answer.
func (s *Store) Read(ctx context.Context, r table.Range) (page table.Page, err error) {
	for range readAttempts {
		err = s.read.do(ctx, func(ctx context.Context) error {
			page, err = s.table.Read(ctx, r)
			return err
		})
		var unanswered *table.UnansweredError
		if !errors.As(err, &unanswered) || ctx.Err() != nil {
			break
		}
	}
	return page, err
}

// Feed waits for changes for as long as f specifies; it has no adaptive
// time-out.
func (s *Store) Feed(ctx context.Context, f table.FeedRequest) (table.Changes, error) {
	return s.table.Feed(ctx, f)
}
