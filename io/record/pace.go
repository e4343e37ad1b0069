package record

import (
	"context"
	"errors"
	"sync"
	"time"

	"chicoryturn/io/clock"
	"chicoryturn/io/table"
)

const (
	// firstParallelReads and maxParallelReads are how many pages a load reads in parallel at
	// first and at most.
	firstParallelReads = 8
	maxParallelReads   = 32
	// quickRead is the duration up to which a read leaves room for one more in parallel. A slow
	// store takes less for a read, the longest time-out is twice as long.
	quickRead = 700 * time.Millisecond
	// pageAttempts bounds the reads of one page in a load, pagePause is the time between two.
	pageAttempts = 4
	pagePause    = 150 * time.Millisecond
)

// pace bounds the reads of a load in parallel. Their answers share the VM's link, so that on a
// slow one each takes the longer the more there are. It is lowered when a read has no answer and
// raised by reads that are quick.
type pace struct {
	client table.Client

	// mu guards the fields below.
	mu              sync.Mutex
	limit, inFlight int
	// loweredAt is when the limit was lowered last. Reads that began before say nothing of the
	// limit now.
	loweredAt time.Time
	// changed is closed when a read may begin.
	changed chan struct{}
}

func newPace(client table.Client) *pace {
	return &pace{client: client, limit: firstParallelReads, changed: make(chan struct{})}
}

// Read reads a page and repeats the read, at most pageAttempts times in all, if it has no answer
// or is refused.
func (p *pace) Read(ctx context.Context, r table.Range) (page table.Page, err error) {
	for attempt := range pageAttempts {
		if attempt > 0 && !clock.Sleep(ctx, pagePause) {
			return page, err
		}
		if err := p.acquire(ctx); err != nil {
			return page, err
		}
		began := time.Now()
		page, err = p.client.Read(ctx, r)
		p.release(began, err)
		var unanswered *table.UnansweredError
		if !Refused(err) && !errors.As(err, &unanswered) {
			return page, err
		}
	}
	return page, err
}

// acquire waits until one more read may begin. It fails when the context ends.
func (p *pace) acquire(ctx context.Context) error {
	for {
		p.mu.Lock()
		if p.inFlight < p.limit {
			p.inFlight++
			p.mu.Unlock()
			return nil
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// release ends a read that began at a time and adapts the limit.
func (p *pace) release(began time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.inFlight--
	var unanswered *table.UnansweredError
	switch {
	case errors.As(err, &unanswered) && began.After(p.loweredAt):
		p.limit, p.loweredAt = max(p.limit/2, 1), now
	case err == nil && now.Sub(began) < quickRead:
		p.limit = min(p.limit+1, maxParallelReads)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}
