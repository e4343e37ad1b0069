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
	// maxQueuedJobs bounds the jobs that wait for one partition's next write.
	maxQueuedJobs = 256
	// maxBatchJobs bounds the jobs of one write, well below the platform's 100
	// entries and 1 MB for jobs of a few kilobytes.
	maxBatchJobs = 50
	// refusalTimeout is how long a job is offered to a store that refuses it: its
	// client then learns at once that it has not been taken.
	refusalTimeout = 800 * time.Millisecond
	// writeRetryDelay is the time before a refused or unanswered write is repeated.
	writeRetryDelay = 80 * time.Millisecond
)

// pendingJob is a job that waits to be recorded.
type pendingJob struct {
	ctx  context.Context
	spec jobs.Spec
	put  table.Put
	// maybeStored is set once a write that holds the job had no answer: it may take
	// effect until a later write has seen the row.
	maybeStored bool
	queuedAt    time.Time
	// answered is set once the caller has been answered; done holds the answer.
	answered atomic.Bool
	result   chan acceptResult
}

// answer answers the caller, once.
func (a *pendingJob) answer(v acceptResult) {
	if !a.answered.Swap(true) {
		a.result <- v
	}
}

// acceptResult is the outcome of an acceptance: the job as it is recorded, or why it
// is not known to be.
type acceptResult struct {
	spec jobs.Spec
	err  error
}

// partQueue holds the jobs that wait for one partition's next write. Most are empty,
// so a writer lives only while there is work.
type partQueue struct {
	hasWriter bool
	jobs      []*pendingJob
}

// Run records accepted jobs until the context ends; one write for each
// partition is in flight, and what arrives meanwhile shares the next one.
func (v *Store) Run(ctx context.Context) error {
	var g errgroup.Group
	for {
		select {
		case part := <-v.writerStarts:
			g.Go(func() error {
				v.runWriter(ctx, part)
				return nil
			})
		case <-ctx.Done():
			err := g.Wait()
			v.close()
			return err
		}
	}
}

// close refuses what was not written before the process ends.
func (v *Store) close() {
	var left []*pendingJob
	v.mu.Lock()
	v.closed = true
	for i := range v.queues {
		left = append(left, v.queues[i].jobs...)
		v.queues[i].jobs = nil
	}
	v.mu.Unlock()
	v.answerExpired(left, true, false)
}

// enqueue puts a job into its lane and has the lane's writer begin; it reports
// whether there was room.
func (v *Store) enqueue(part int, a *pendingJob) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	l := &v.queues[part]
	if v.closed || len(l.jobs) >= maxQueuedJobs {
		return false
	}
	l.jobs = append(l.jobs, a)
	if !l.hasWriter {
		l.hasWriter = true
		v.writerStarts <- part
	}
	return true
}

// nextBatch takes what the next write of a partition holds; left is what the last one
// must write again. Its writer ends if there is nothing.
func (v *Store) nextBatch(part int, left []*pendingJob) []*pendingJob {
	v.mu.Lock()
	defer v.mu.Unlock()
	l := &v.queues[part]
	n := min(max(maxBatchJobs-len(left), 0), len(l.jobs))
	out := append(left, l.jobs[:n]...)
	if l.jobs = l.jobs[n:]; len(l.jobs) == 0 {
		l.jobs = nil
	}
	if len(out) == 0 {
		l.hasWriter = false
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
	if len(put.Val) > maxRowBytes {
		return spec, core.Refuse(core.CodeTooLarge, "the job takes %d bytes in the store, at most %d", len(put.Val), maxRowBytes)
	}
	if v.Unreachable() {
		return spec, v.refusal(spec.ID, v.unreachableError())
	}
	a := &pendingJob{ctx: ctx, spec: spec, put: put, queuedAt: time.Now(), result: make(chan acceptResult, 1)}
	if !v.enqueue(partOf(spec.ID), a) {
		r := core.Refuse(core.CodeBusy, "%d jobs wait for the store", maxQueuedJobs)
		r.RetryAfter = clientRetryAfter
		return spec, v.refusal(spec.ID, r)
	}
	// The writer always answers, soon after the caller's time is up.
	out := <-a.result
	return out.spec, out.err
}

// runWriter records what waits in one lane until it is empty.
func (v *Store) runWriter(ctx context.Context, part int) {
	var left []*pendingJob
	for {
		waiting := v.nextBatch(part, left)
		if len(waiting) == 0 {
			return
		}
		left = v.writeBatch(ctx, waiting)
		if len(left) == len(waiting) {
			clock.Sleep(ctx, writeRetryDelay)
		}
		left = v.answerExpired(left, ctx.Err() != nil, v.Unreachable())
	}
}

// writeBatch writes all that waits in one transaction and returns what must be
// written again.
func (v *Store) writeBatch(ctx context.Context, waiting []*pendingJob) []*pendingJob {
	t := table.Txn{}
	named := map[string]bool{}
	var now, later []*pendingJob
	for _, a := range waiting {
		if a.answered.Load() {
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
	_, err := v.client.Write(table.WithLateHook(ctx, func(_ time.Duration, o table.Outcome) {
		if o.Err() == nil {
			confirm(now)
		}
	}), t)
	var conflict *table.ConflictError
	switch {
	case err == nil:
		confirm(now)
		return later
	case errors.As(err, &conflict):
		for _, a := range now {
			if r, ok := conflict.Find(a.put.Key); ok {
				a.answer(a.resolveConflict(r))
			} else {
				later = append(later, a)
			}
		}
		return later
	case Refused(err):
	default:
		for _, a := range now {
			a.maybeStored = true
		}
	}
	return append(now, later...)
}

// confirm answers callers whose jobs are in the store.
func confirm(list []*pendingJob) {
	for _, a := range list {
		a.answer(acceptResult{spec: a.spec})
	}
}

// resolveConflict compares a job with the one recorded under its name: the same client's
// repeated call is accepted, another team's is not.
func (a *pendingJob) resolveConflict(r table.Row) acceptResult {
	var s jobs.Spec
	if err := decode(r, &s); err != nil {
		return acceptResult{err: err}
	}
	if s.Team != a.spec.Team || s.Queue != a.spec.Queue {
		return acceptResult{err: core.Refuse(core.CodeConflict, "the name %s belongs to another job", a.spec.ID)}
	}
	return acceptResult{spec: s}
}

// answerExpired answers those whose callers have no time left, or whom the store has
// only refused, and all while it is away: their callers can ask another VM.
func (v *Store) answerExpired(waiting []*pendingJob, all, away bool) []*pendingJob {
	var out []*pendingJob
	for _, a := range waiting {
		if a.answered.Load() {
			continue
		}
		over := all || away || a.ctx.Err() != nil || !a.maybeStored && time.Since(a.queuedAt) > refusalTimeout
		if !over {
			out = append(out, a)
			continue
		}
		if a.maybeStored {
			v.markUnconfirmed(a.spec.ID)
			a.answer(acceptResult{err: core.RefuseUnknown(core.CodeStore, a.ctx.Err(), "the store has not confirmed the job")})
		} else {
			r := core.Refuse(core.CodeStore, "the store takes no jobs at present")
			r.RetryAfter = clientRetryAfter
			a.answer(acceptResult{err: v.refusal(a.spec.ID, r)})
		}
	}
	return out
}
