package fleet

import (
	"maps"
	"time"

	"chicoryturn/core"
)

// This file keeps the jobs that have ended for as long as clients may query them, and then
// their names for as long as something read or sent earlier may still name them.

// forgottenTTL is how long the name of a forgotten job is kept once its rows have been
// deleted. It outlasts loads, reads and messages between VMs that began before.
const forgottenTTL = 5 * time.Minute

// closedJob is a job whose end has been stored.
type closedJob struct {
	job      core.JobID
	storedAt time.Time
}

// deletedJob is a forgotten job whose rows were deleted at a time.
type deletedJob struct {
	job       core.JobID
	deletedAt time.Time
}

// wasRead reports whether the jobs in the store have been read since a job ended. Before, a
// read may return that job, which would run again if it had been forgotten.
func (s *Scheduler) wasRead(c closedJob) bool { return s.jobsReadAt.After(c.storedAt) }

// trimClosed forgets the oldest ended jobs above maxClosedJobs.
func (s *Scheduler) trimClosed() {
	for ; len(s.closed)-s.trimmed > s.maxClosed() && s.wasRead(s.closed[s.trimmed]); s.trimmed++ {
		s.forget(s.closed[s.trimmed].job)
	}
}

// forgetOldest forgets the job whose end was stored first and returns its ID.
func (s *Scheduler) forgetOldest() core.JobID {
	id := s.closed[0].job
	s.closed, s.trimmed = s.closed[1:], max(s.trimmed-1, 0)
	s.forget(id)
	return id
}

// ForgetExpired forgets and returns at most limit jobs whose end was stored
// longer than keep ago, so that their rows can be deleted.
func (s *Scheduler) ForgetExpired(now time.Time, keep time.Duration, limit int) []core.JobID {
	var out []core.JobID
	for len(s.closed) > 0 && len(out) < limit && now.Sub(s.closed[0].storedAt) > keep && s.wasRead(s.closed[0]) {
		out = append(out, s.forgetOldest())
	}
	return out
}

// RowsDeleted records that the rows of forgotten jobs have been deleted.
func (s *Scheduler) RowsDeleted(now time.Time, ids []core.JobID) {
	for _, id := range ids {
		if _, ok := s.forgotten[id]; ok {
			s.forgotten[id] = now
			s.deleted = append(s.deleted, deletedJob{id, now})
		}
	}
	for len(s.deleted) > 0 && now.Sub(s.deleted[0].deletedAt) > forgottenTTL {
		// The job may have been stored, and forgotten, again since.
		if d := s.deleted[0]; s.forgotten[d.job].Equal(d.deletedAt) {
			delete(s.forgotten, d.job)
		}
		s.deleted = s.deleted[1:]
	}
}

// forget forgets a job none of whose tasks holds room on a worker.
func (s *Scheduler) forget(id core.JobID) {
	if j := s.jobs[id]; j != nil && j.tasksPlaced == 0 {
		delete(s.jobs, id)
		s.forgotten[id] = time.Time{}
	}
}

// Exclude treats jobs that are not known like forgotten ones, since their rows are missing or
// cannot be read.
func (s *Scheduler) Exclude(ids []core.JobID) {
	for _, id := range ids {
		if _, ok := s.forgotten[id]; !ok && s.jobs[id] == nil {
			s.forgotten[id] = time.Time{}
		}
	}
}

// readAgain parks a job that has been forgotten until its rows have been read, and reports
// whether it has been forgotten. What has brought it in may lack its progress; source says
// what that was.
func (s *Scheduler) readAgain(stub Stub, source string) bool {
	if _, ok := s.forgotten[stub.ID]; !ok {
		return false
	}
	if !stub.Ended {
		// It is not pending, and an ended job takes nothing of its team's memory.
		stub.Started, stub.Bytes = true, 0
		s.park(&parkedJob{Stub: stub})
		s.urgentParked.Add(stub.ID)
		s.logDecision(Decision{Job: stub.ID, Event: EventReadAgain, Reason: source + "; it had ended and been forgotten, or could not be read"})
	}
	return true
}

const (
	// earlyCancelTTL is how long a cancellation waits for its job, which is stored and read
	// again within seconds; maxEarlyCancels bounds those that wait.
	earlyCancelTTL  = time.Minute
	maxEarlyCancels = 4000
)

// cancelEarly notes the cancellation of a job that is not known, and may be read later from an
// answer of the store that is older than the cancellation.
func (s *Scheduler) cancelEarly(id core.JobID) {
	if _, ok := s.forgotten[id]; ok {
		return
	}
	if len(s.cancelledEarly) >= maxEarlyCancels {
		maps.DeleteFunc(s.cancelledEarly, func(_ core.JobID, at time.Time) bool { return s.now.Sub(at) > earlyCancelTTL })
	}
	if len(s.cancelledEarly) < maxEarlyCancels {
		s.cancelledEarly[id] = s.now
	}
}

// cancelIfEarly cancels a new job whose cancellation has come in before it.
func (j *Job) cancelIfEarly() {
	s := j.scheduler
	if _, ok := s.cancelledEarly[j.Spec.ID]; ok {
		delete(s.cancelledEarly, j.Spec.ID)
		j.cancel()
	}
}
