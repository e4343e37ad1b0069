package record

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
	"chicoryturn/io/clock"
	"chicoryturn/io/table"
)

const (
	// acceptQueue bounds the jobs that wait for one partition's next write.
	acceptQueue = 256
	// acceptBatch bounds the jobs of one write, well below the platform's 100
	// entries and 1 MB for jobs of a few kilobytes.
	acceptBatch = 50
	// refusedMost is how long a job is offered to a store that refuses it: its
	// client then learns at once that it has not been taken.
	refusedMost = 800 * time.Millisecond
	// againPause is the time before a refused or unanswered write is repeated.
	againPause = 80 * time.Millisecond
)

// acceptance is a job that waits to be recorded.
type acceptance struct {
	ctx  context.Context
	spec jobs.Spec
	put  table.Put
	// unsure is set once a write that holds the job had no answer: it may take
	// effect until a later write has seen the row.
	unsure bool
	began  time.Time
	// told is set once the caller has been answered; done holds the answer.
	told atomic.Bool
	done chan verdict
}

// tell answers the caller, once.
func (a *acceptance) tell(v verdict) {
	if !a.told.Swap(true) {
		a.done <- v
	}
}

// verdict is the outcome of an acceptance: the job as it is recorded, or why it
// is not known to be.
type verdict struct {
	spec jobs.Spec
	err  error
}

// lane holds the jobs that wait for one partition's next write. Most are empty,
// so a writer lives only while there is work.
type lane struct {
	busy    bool
	waiting []*acceptance
}

// Run records accepted jobs until the context ends; one write for each
// partition is in flight, and what arrives meanwhile shares the next one.
func (v *Store) Run(ctx context.Context) error {
	var g errgroup.Group
	for {
		select {
		case part := <-v.starts:
			g.Go(func() error {
				v.writer(ctx, part)
				return nil
			})
		case <-ctx.Done():
			err := g.Wait()
			v.end()
			return err
		}
	}
}

// end refuses what was not written before the process ends.
func (v *Store) end() {
	var left []*acceptance
	v.mu.Lock()
	v.ended = true
	for i := range v.lanes {
		left = append(left, v.lanes[i].waiting...)
		v.lanes[i].waiting = nil
	}
	v.mu.Unlock()
	v.expire(left, true, false)
}

// enter puts a job into its lane and has the lane's writer begin; it reports
// whether there was room.
func (v *Store) enter(part int, a *acceptance) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	l := &v.lanes[part]
	if v.ended || len(l.waiting) >= acceptQueue {
		return false
	}
	l.waiting = append(l.waiting, a)
	if !l.busy {
		l.busy = true
		v.starts <- part
	}
	return true
}

// next takes what the next write of a partition holds; left is what the last one
// must write again. Its writer ends if there is nothing.
func (v *Store) next(part int, left []*acceptance) []*acceptance {
	v.mu.Lock()
	defer v.mu.Unlock()
	l := &v.lanes[part]
	n := min(max(acceptBatch-len(left), 0), len(l.waiting))
	out := append(left, l.waiting[:n]...)
	if l.waiting = l.waiting[n:]; len(l.waiting) == 0 {
		l.waiting = nil
	}
	if len(out) == 0 {
		l.busy = false
	}
	return out
}

// Accept records a job and returns it as it is in the store, where an earlier
// call may have recorded it. A RefusalError with run "no" means that it is not
// there and never will be; one with run "unknown" that it may be.
func (v *Store) Accept(ctx context.Context, spec jobs.Spec) (jobs.Spec, error) {
	put, err := encode(jobKey(spec.ID), spec)
	if err != nil {
		return spec, err
	}
	if len(put.Val) > rowMost {
		return spec, core.Refuse(core.CodeTooLarge, "the job takes %d bytes in the store, at most %d", len(put.Val), rowMost)
	}
	if v.Unreachable() {
		return spec, v.refusal(spec.ID, v.away())
	}
	a := &acceptance{ctx: ctx, spec: spec, put: put, began: time.Now(), done: make(chan verdict, 1)}
	if !v.enter(partOf(spec.ID), a) {
		r := core.Refuse(core.CodeBusy, "%d jobs wait for the store", acceptQueue)
		r.RetryAfter = againSoon
		return spec, v.refusal(spec.ID, r)
	}
	// The writer always answers, soon after the caller's time is up.
	out := <-a.done
	return out.spec, out.err
}

// writer records what waits in one lane until it is empty.
func (v *Store) writer(ctx context.Context, part int) {
	var left []*acceptance
	for {
		waiting := v.next(part, left)
		if len(waiting) == 0 {
			return
		}
		left = v.record(ctx, waiting)
		if len(left) == len(waiting) {
			clock.Sleep(ctx, againPause)
		}
		left = v.expire(left, ctx.Err() != nil, v.Unreachable())
	}
}

// record writes all that waits in one transaction and returns what must be
// written again.
func (v *Store) record(ctx context.Context, waiting []*acceptance) []*acceptance {
	t := table.Txn{}
	named := map[string]bool{}
	var now, later []*acceptance
	for _, a := range waiting {
		if a.told.Load() {
			continue
		}
		if named[a.put.Name] {
			later = append(later, a)
			continue
		}
		named[a.put.Name] = true
		now = append(now, a)
		t.Checks = append(t.Checks, table.Check{Key: a.put.Key})
		t.Puts = append(t.Puts, a.put)
	}
	if len(now) == 0 {
		return nil
	}
	_, err := v.store.Write(table.WithLateHook(ctx, func(_ time.Duration, o table.Outcome) {
		if o.Err() == nil {
			recorded(now)
		}
	}), t)
	var conflict *table.ConflictError
	switch {
	case err == nil:
		recorded(now)
		return later
	case errors.As(err, &conflict):
		for _, a := range now {
			if r, ok := conflict.Find(a.put.Key); ok {
				a.tell(a.sameAs(r))
			} else {
				later = append(later, a)
			}
		}
		return later
	case Refused(err):
	default:
		for _, a := range now {
			a.unsure = true
		}
	}
	return append(now, later...)
}

// recorded answers callers whose jobs are in the store.
func recorded(list []*acceptance) {
	for _, a := range list {
		a.tell(verdict{spec: a.spec})
	}
}

// sameAs compares a job with the one recorded under its name: the same client's
// repeated call is accepted, another team's is not.
func (a *acceptance) sameAs(r table.Row) verdict {
	var s jobs.Spec
	if err := decode(r, &s); err != nil {
		return verdict{err: err}
	}
	if s.Team != a.spec.Team || s.Queue != a.spec.Queue {
		return verdict{err: core.Refuse(core.CodeConflict, "the name %s belongs to another job", a.spec.ID)}
	}
	return verdict{spec: s}
}

// expire answers those whose callers have no time left, or whom the store has
// only refused, and all while it is away: their callers can ask another VM.
func (v *Store) expire(waiting []*acceptance, all, away bool) []*acceptance {
	var out []*acceptance
	for _, a := range waiting {
		if a.told.Load() {
			continue
		}
		over := all || away || a.ctx.Err() != nil || !a.unsure && time.Since(a.began) > refusedMost
		if !over {
			out = append(out, a)
			continue
		}
		if a.unsure {
			v.doubt(a.spec.ID)
			a.tell(verdict{err: core.RefuseUnknown(core.CodeStore, a.ctx.Err(), "the store has not confirmed the job")})
		} else {
			r := core.Refuse(core.CodeStore, "the store takes no jobs at present")
			r.RetryAfter = againSoon
			a.tell(verdict{err: v.refusal(a.spec.ID, r)})
		}
	}
	return out
}
