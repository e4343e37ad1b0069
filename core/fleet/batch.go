package fleet

import (
	"maps"
	"slices"
	"time"

	"chicoryturn/core/jobs"
)

// This file decides which progress is stored next.

// maxBatchRows bounds the rows of one batch: the platform accepts 100 entries per
// transaction, and the ownership record is one of them.
const maxBatchRows = 90

// inFlightRow is a job in the batch in flight: the state and the pages of failed runs that
// the batch stores.
type inFlightRow struct {
	job   *Job
	state jobs.State
	pages []int
}

// Batch returns the progress to store next, or nil while an earlier batch is in
// flight.
func (s *Scheduler) Batch() []jobs.Progress {
	if s.inFlight != nil {
		return nil
	}
	var rows []jobs.Progress
	room := maxBatchRows
	add := func(j *Job) {
		if room > 0 && s.dirty[j.Spec.ID] == j {
			change := j.nextChange(room)
			rows = append(rows, change)
			s.inFlight = append(s.inFlight, inFlightRow{j, change.State, change.Pages})
			room -= 1 + len(change.Pages)
		}
	}
	for _, j := range s.dirty {
		add(j)
	}
	if len(s.dirty) == 0 {
		s.inFlightSeq = s.changeSeq
	}
	return rows
}

// nextChange returns the part of the job's unstored progress that fits into a number of rows.
// Unless the job has ended, the pages of failed runs come before the rest: the row of an
// earlier build holds these runs itself, and the rest replaces it.
func (j *Job) nextChange(room int) jobs.Progress {
	pages := slices.Sorted(maps.Keys(j.dirtyPages))
	n := min(len(pages), max(room-1, 1))
	for _, page := range pages[:n] {
		delete(j.dirtyPages, page)
	}
	change := j.progress.Change(pages[:n])
	if n < len(pages) {
		if !change.State.Final() {
			change.Done = nil
		}
		return change
	}
	if len(change.Done) == 0 {
		// Without any bits a change would hold pages alone.
		change.Done = []byte{0}
	}
	delete(j.scheduler.dirty, j.Spec.ID)
	return change
}

// BatchStored handles the confirmation that the batch in flight is in the
// store.
func (s *Scheduler) BatchStored(now time.Time) {
	s.now = now
	for _, row := range s.inFlight {
		if row.state != "" && row.job.state == jobClosing {
			row.job.fire(jobRecorded)
			row.job.logEnd()
			row.job.shrink()
			s.closed = append(s.closed, closedJob{row.job.Spec.ID, now})
		}
	}
	s.inFlight = nil
	s.storedSeq = s.inFlightSeq
	s.trimClosed()
}

// BatchFailed queues the progress in flight again after a write that failed or
// had no answer. If the write took effect after all, writing the same progress
// again is harmless.
func (s *Scheduler) BatchFailed() {
	for _, row := range s.inFlight {
		s.dirty[row.job.Spec.ID] = row.job
		for _, page := range row.pages {
			row.job.dirtyPages.Add(page)
		}
	}
	s.inFlight = nil
	s.inFlightSeq = s.storedSeq
}

// markDirty queues the job's progress for the next batch.
func (j *Job) markDirty() {
	j.scheduler.changeSeq++
	j.scheduler.dirty[j.Spec.ID] = j
}

// end decides the job's end. What is stored of its failed runs is deleted with it.
func (j *Job) end(state jobs.State) {
	j.dirtyPages.Add(j.progress.FailedPages()...)
	j.progress.State, j.progress.FailedRuns, j.progress.OlderRuns = state, nil, nil
	j.markDirty()
}
