package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
)

// This file decides which progress is stored next. The writes of an owner also renew its
// ownership record, so a job whose progress the store does not take must cost itself alone.

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

// isolation is the search for the jobs whose progress the store refuses.
type isolation struct {
	// isBare is set after a refusal until a write without progress has been stored, which
	// shows that the store takes others.
	isBare bool
	// groups holds the jobs of refused batches in the groups in which they are written again.
	groups []suspects
}

// suspects are jobs of which at least one may be refused.
type suspects struct {
	jobs []*Job
	// isAlone is set if a batch of the one job has been refused.
	isAlone bool
}

// Isolating reports whether the next writes must hold nothing but progress, and must be sent
// even if there is none.
func (s *Scheduler) Isolating() bool { return s.isolation.isBare || len(s.isolation.groups) > 0 }

// Batch returns the progress to store next, or nil while an earlier batch is in
// flight.
func (s *Scheduler) Batch() []jobs.Progress {
	if s.inFlight != nil || s.isolation.isBare {
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
	for len(rows) == 0 && len(s.isolation.groups) > 0 {
		for _, j := range s.isolation.groups[0].jobs {
			add(j)
		}
		if len(rows) == 0 {
			s.isolation.groups = s.isolation.groups[1:]
		}
	}
	if len(rows) == 0 && len(s.dirty) > 0 {
		for _, j := range slices.SortedFunc(maps.Values(s.dirty), func(x, y *Job) int { return cmp.Compare(x.dirtySince, y.dirtySince) }) {
			add(j)
		}
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
	switch {
	case s.isolation.isBare:
		s.isolation.isBare = false
	case len(s.inFlight) > 0 && len(s.isolation.groups) > 0:
		s.isolation.groups = s.isolation.groups[1:]
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

// BatchRefused handles a write that the store has refused for what it holds and would refuse
// again. The next write holds nothing else than the ownership record; then the jobs of
// the batch are written in ever smaller groups. A job whose progress is refused alone, between
// writes that are stored, fails.
func (s *Scheduler) BatchRefused(now time.Time) {
	s.now = now
	rows := s.inFlight
	s.BatchFailed()
	s.isolation.isBare = true
	if len(rows) == 0 {
		return
	}
	refused := suspects{}
	for _, row := range rows {
		refused.jobs = append(refused.jobs, row.job)
	}
	if len(s.isolation.groups) > 0 {
		refused.isAlone = s.isolation.groups[0].isAlone
		s.isolation.groups = s.isolation.groups[1:]
	}
	half := len(refused.jobs) / 2
	switch {
	case half > 0:
		s.isolation.groups = append([]suspects{{jobs: refused.jobs[:half]}, {jobs: refused.jobs[half:]}}, s.isolation.groups...)
	case !refused.isAlone:
		s.isolation.groups = append([]suspects{{refused.jobs, true}}, s.isolation.groups...)
	default:
		rows[0].giveUp()
		s.isolation.groups = append([]suspects{refused}, s.isolation.groups...)
	}
}

// giveUp ends a job whose progress cannot be stored. If its end cannot be stored either, the
// ends of its runs count as stored, as those of other jobs wait behind them.
func (row inFlightRow) giveUp() {
	j, s := row.job, row.job.scheduler
	d := Decision{Job: j.Spec.ID, Event: EventRejected}
	switch {
	case row.state.Final():
		d.Reason = "its end cannot be stored"
		delete(s.dirty, j.Spec.ID)
	case j.ended():
		// It has ended meanwhile, and that may be stored.
		return
	default:
		d.Reason = "the job fails"
	}
	s.counts.Rejected++
	s.logDecision(d)
	j.dirtyPages = core.Set[int]{}
	j.fail()
}

// markDirty queues the job's progress for the next batch.
func (j *Job) markDirty() {
	s := j.scheduler
	s.changeSeq++
	if s.dirty[j.Spec.ID] == nil {
		j.dirtySince = s.changeSeq
	}
	s.dirty[j.Spec.ID] = j
}

// end decides the job's end. What is stored of its failed runs is deleted with it.
func (j *Job) end(state jobs.State) {
	j.dirtyPages.Add(j.progress.FailedPages()...)
	j.progress.State, j.progress.FailedRuns, j.progress.OlderRuns = state, nil, nil
	j.markDirty()
}
