package vault

import (
	"context"
	"errors"
	"sync"
	"time"

	"chicoryturn/io/table"
)

const (
	// paceGain is the weight of the newest call in the mean.
	paceGain = 0.2
	// paceFactor times the mean, and paceGrace more, is how long a call waits
	// for its answer.
	paceFactor = 6
	paceGrace  = 200 * time.Millisecond
	// paceMost bounds it while calls go without answer: a slow store takes some
	// 0.65 s for a write.
	paceMost = 1300 * time.Millisecond
	// slowFactor times the mean, and paceGrace more, up to slowMost, is what a call
	// waits at least: a slow store answers a partition's writes one after another,
	// and a write that is made again queues behind the first. Clients wait some 3 s.
	slowFactor = 3
	slowMost   = 3 * time.Second
	// readTries is how often a read without answer is made.
	readTries = 3
)

// pace learns how long the store's answers take, so that a lost one is noticed
// soon and a slow one is waited for.
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
	patient := min(slowFactor*p.mean+paceGrace, slowMost)
	return max(min((paceFactor*p.mean+paceGrace)<<p.slack, paceMost), patient)
}

// learn takes in one call.
func (p *pace) learn(took time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var down *table.DownError
	if errors.As(err, &down) {
		p.slack = min(p.slack+1, 3)
		return
	}
	p.slack = 0
	p.mean += time.Duration(paceGain * float64(took-p.mean))
}

// do makes one call within the limit. An answer that comes later still tells how
// slow the store is.
func (p *pace) do(ctx context.Context, call func(ctx context.Context) error) error {
	ctx = table.WithLate(ctx, func(took time.Duration, _ table.Outcome) { p.learn(took, nil) })
	ctx, cancel := context.WithTimeout(ctx, p.limit())
	defer cancel()
	began := time.Now()
	err := call(ctx)
	p.learn(time.Since(began), err)
	return err
}

// write applies a transaction; without an answer its outcome is not known.
func (v *Vault) write(ctx context.Context, t table.Txn) (done table.Done, err error) {
	err = v.writePace.do(ctx, func(ctx context.Context) error {
		done, err = v.store.Write(ctx, t)
		return err
	})
	return done, err
}

// read reads a range, again if there is no answer.
func (v *Vault) read(ctx context.Context, r table.Range) (page table.Page, err error) {
	for range readTries {
		err = v.readPace.do(ctx, func(ctx context.Context) error {
			page, err = v.store.Read(ctx, r)
			return err
		})
		var down *table.DownError
		if !errors.As(err, &down) || ctx.Err() != nil {
			break
		}
	}
	return page, err
}
