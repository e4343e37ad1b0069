// Package adapt bounds calls of the platform's table by how long its answers take, so
// that a lost one is noticed soon and a slow one is waited for.
package adapt

import (
	"context"
	"errors"
	"sync"
	"time"

	"chicoryturn/io/table"
)

const (
	// gain is the weight of the newest call in the mean.
	gain = 0.2
	// factor times the mean, and grace more, is how long a call waits
	// for its answer.
	factor = 6
	grace  = 200 * time.Millisecond
	// most bounds it while calls go without answer: a slow store takes some
	// 0.65 s for a write.
	most = 1300 * time.Millisecond
	// slowFactor times the mean, and grace more, up to slowMost, is what a call
	// waits at least: a slow store answers a partition's writes one after another,
	// and a write that is made again queues behind the first. Clients wait some 3 s.
	slowFactor = 3
	slowMost   = 3 * time.Second
	// readTries is how often a read without answer is made.
	readTries = 3
)

// Store is a table whose calls are bounded. It implements table.Doer.
type Store struct {
	table       table.Client
	write, read pace
}

// New returns a table with bounded calls.
func New(t table.Client) *Store { return &Store{table: t} }

// pace learns how long one kind of call takes.
type pace struct {
	mu   sync.Mutex
	mean time.Duration
	// slack doubles the wait for each call in a row that had no answer.
	slack int
}

// limit returns how long the next call should wait for its answer.
func (p *pace) limit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	patient := min(slowFactor*p.mean+grace, slowMost)
	return max(min((factor*p.mean+grace)<<p.slack, most), patient)
}

// learn takes in one call.
func (p *pace) learn(took time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var down *table.UnansweredError
	if errors.As(err, &down) {
		p.slack = min(p.slack+1, 3)
		return
	}
	p.slack = 0
	p.mean += time.Duration(gain * float64(took-p.mean))
}

// do makes one call within the limit. An answer that comes later still tells how
// slow the store is.
func (p *pace) do(ctx context.Context, call func(ctx context.Context) error) error {
	ctx = table.WithLateHook(ctx, func(took time.Duration, _ table.Outcome) { p.learn(took, nil) })
	ctx, cancel := context.WithTimeout(ctx, p.limit())
	defer cancel()
	began := time.Now()
	err := call(ctx)
	p.learn(time.Since(began), err)
	return err
}

// Write applies a transaction; without an answer its outcome is not known.
func (s *Store) Write(ctx context.Context, t table.Txn) (done table.Done, err error) {
	err = s.write.do(ctx, func(ctx context.Context) error {
		done, err = s.table.Write(ctx, t)
		return err
	})
	return done, err
}

// Read reads a range, again if there is no answer.
func (s *Store) Read(ctx context.Context, r table.Range) (page table.Page, err error) {
	for range readTries {
		err = s.read.do(ctx, func(ctx context.Context) error {
			page, err = s.table.Read(ctx, r)
			return err
		})
		var down *table.UnansweredError
		if !errors.As(err, &down) || ctx.Err() != nil {
			break
		}
	}
	return page, err
}

// Feed waits for changes for as long as it is told to.
func (s *Store) Feed(ctx context.Context, f table.Since) (table.Changes, error) {
	return s.table.Feed(ctx, f)
}
