package record

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
	"chicoryturn/core/load"
	"chicoryturn/io/clock"
	"chicoryturn/io/table"
)

const (
	// maxQueuedJobs bounds the jobs that wait for the next write of one partition.
	maxQueuedJobs = 256
	// maxBatchJobs bounds the jobs of one write. With jobs of a few kilobytes this
	// stays well below the platform's limits of 100 entries and 1 MB per transaction.
	maxBatchJobs = 50
	// refusalTimeout is how long writes of a job are retried while the store refuses
	// them. The client then receives a refusal, since the job is not stored.
	refusalTimeout = 800 * time.Millisecond
	// writeRetryDelay is the time before a refused or unanswered write is retried.
	writeRetryDelay = 80 * time.Millisecond
)

// pendingJob is a job that waits to be stored.
type pendingJob struct {
	ctx  context.Context
	spec jobs.Spec
	put  table.Put
	// maybeStored is set when a write of the job has had no answer. That write may
	// have taken effect, and may still do so until a later write finds the row.
	maybeStored bool
	queuedAt    time.Time
	// answered is set when the answer has been sent on result.
	answered atomic.Bool
	result   chan acceptResult
}

// answer sends the result to the caller; later calls have no effect.
func (j *pendingJob) answer(r acceptResult) {
	if !j.answered.Swap(true) {
		j.result <- r
	}
}

// acceptResult is the outcome of Accept: the job as it is stored, or an error if the
// job is not stored or the outcome is unknown.
type acceptResult struct {
	spec jobs.Spec
	err  error
}

// partQueue holds the jobs that wait for the next write of one partition. Most queues
// are empty, so a writer goroutine exists only while jobs wait.
type partQueue struct {
	hasWriter bool
	jobs      []*pendingJob
}

// Run stores accepted jobs until the context ends. One write per partition is in
// flight; the jobs that arrive during it share the next write.
func (s *Store) Run(ctx context.Context) error {
	var g errgroup.Group
	for {
		select {
		case part := <-s.writerStarts:
			g.Go(func() error {
				s.runWriter(ctx, part)
				return nil
			})
		case <-ctx.Done():
			err := g.Wait()
			s.close()
			return err
		}
	}
}

// close refuses all jobs that have not been written when Run ends.
func (s *Store) close() {
	var unwritten []*pendingJob
	s.mu.Lock()
	s.closed = true
	for i := range s.queues {
		unwritten = append(unwritten, s.queues[i].jobs...)
		s.queues[i].jobs = nil
	}
	s.mu.Unlock()
	s.answerExpired(unwritten, true, false)
}

// enqueue adds a job to the queue of its partition and starts a writer if there is
// none. It reports whether the queue had room.
func (s *Store) enqueue(part int, j *pendingJob) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &s.queues[part]
	if s.closed || len(q.jobs) >= maxQueuedJobs {
		return false
	}
	q.jobs = append(q.jobs, j)
	if !q.hasWriter {
		q.hasWriter = true
		s.writerStarts <- part
	}
	return true
}

// nextBatch removes the jobs of the next write from the queue of a partition and
// returns them after the jobs to retry. If there are none, the writer must end.
func (s *Store) nextBatch(part int, retry []*pendingJob) []*pendingJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &s.queues[part]
	n := min(max(maxBatchJobs-len(retry), 0), len(q.jobs))
	batch := append(retry, q.jobs[:n]...)
	if q.jobs = q.jobs[n:]; len(q.jobs) == 0 {
		q.jobs = nil
	}
	if len(batch) == 0 {
		q.hasWriter = false
	}
	return batch
}

// Accept stores a job and returns it as it is in the store, where an earlier call may
// have put it. After a RefusalError with the execution "no" the job is not stored and
// never will be; with "unknown" it may be stored.
func (s *Store) Accept(ctx context.Context, spec jobs.Spec) (jobs.Spec, error) {
	put, err := encode(jobKey(spec.ID), spec)
	if err != nil {
		return spec, err
	}
	if len(put.Val) > maxRowBytes {
		return spec, core.Refuse(core.CodeTooLarge, "the job takes %d bytes in the store; the limit is %d", len(put.Val), maxRowBytes)
	}
	if s.Unreachable() {
		return spec, s.refusal(spec.ID, s.unreachableError())
	}
	j := &pendingJob{ctx: ctx, spec: spec, put: put, queuedAt: time.Now(), result: make(chan acceptResult, 1)}
	if !s.enqueue(partOf(spec.ID), j) {
		return spec, s.refusal(spec.ID, load.WritesFull.Refuse(nil, "%d jobs wait for the store", maxQueuedJobs))
	}
	// The writer always answers, at the latest soon after the caller's deadline.
	r := <-j.result
	return r.spec, r.err
}

// runWriter writes the jobs of one partition until its queue is empty.
func (s *Store) runWriter(ctx context.Context, part int) {
	var retry []*pendingJob
	for {
		batch := s.nextBatch(part, retry)
		if len(batch) == 0 {
			return
		}
		retry = s.writeBatch(ctx, batch)
		if len(retry) == len(batch) {
			clock.Sleep(ctx, writeRetryDelay)
		}
		retry = s.answerExpired(retry, ctx.Err() != nil, s.Unreachable())
	}
}

// writeBatch writes jobs in one transaction and returns those that must be written
// again. Of several jobs with the same name it writes the first and returns the
// others.
func (s *Store) writeBatch(ctx context.Context, batch []*pendingJob) []*pendingJob {
	t := table.Txn{}
	names := map[string]bool{}
	var written, retry []*pendingJob
	for _, j := range batch {
		if j.answered.Load() {
			continue
		}
		if names[j.put.Name] {
			retry = append(retry, j)
			continue
		}
		names[j.put.Name] = true
		written = append(written, j)
		t.Checks = append(t.Checks, table.Check{Key: j.put.Key})
		t.Puts = append(t.Puts, j.put)
	}
	if len(written) == 0 {
		return nil
	}
	_, err := s.client.Write(table.WithLateHook(ctx, func(_ time.Duration, o table.Outcome) {
		if o.Err() == nil {
			confirm(written)
		}
	}), t)
	var conflict *table.ConflictError
	switch {
	case err == nil:
		confirm(written)
		return retry
	case errors.As(err, &conflict):
		for _, j := range written {
			if row, ok := conflict.Find(j.put.Key); ok {
				j.answer(j.resolveConflict(row))
			} else {
				retry = append(retry, j)
			}
		}
		return retry
	case Refused(err):
	default:
		for _, j := range written {
			j.maybeStored = true
		}
	}
	return append(written, retry...)
}

// confirm answers the callers of jobs that are stored.
func confirm(stored []*pendingJob) {
	for _, j := range stored {
		j.answer(acceptResult{spec: j.spec})
	}
}

// resolveConflict compares a job with the row that has its name. A repeated call of
// the same team for the same queue succeeds with the stored job; any other call is
// refused.
func (j *pendingJob) resolveConflict(row table.Row) acceptResult {
	var stored jobs.Spec
	if err := decode(row, &stored); err != nil {
		return acceptResult{err: err}
	}
	if stored.Team != j.spec.Team || stored.Queue != j.spec.Queue {
		return acceptResult{err: core.Refuse(core.CodeConflict, "the name %s belongs to another job", j.spec.ID)}
	}
	return acceptResult{spec: stored}
}

// answerExpired answers the jobs whose callers' deadlines have passed and those that
// the store has refused for refusalTimeout, and returns the others. It answers every
// job if the store is closing, or if it is unreachable, since callers can then retry
// through another VM.
func (s *Store) answerExpired(unstored []*pendingJob, closing, unreachable bool) []*pendingJob {
	var retry []*pendingJob
	for _, j := range unstored {
		if j.answered.Load() {
			continue
		}
		expired := closing || unreachable || j.ctx.Err() != nil || !j.maybeStored && time.Since(j.queuedAt) > refusalTimeout
		if !expired {
			retry = append(retry, j)
			continue
		}
		if j.maybeStored {
			s.markUnconfirmed(j.spec.ID)
			j.answer(acceptResult{err: load.StoreSilent.Refuse(j.ctx.Err(), "the store has not confirmed the job")})
		} else {
			j.answer(acceptResult{err: s.refusal(j.spec.ID, load.StoreClosed.Refuse(nil, "the store takes no jobs at present"))})
		}
	}
	return retry
}
