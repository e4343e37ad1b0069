package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/google/btree"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
)

// This file keeps the stored jobs for which there is no memory: of each only what is
// needed to read its rows when it is due. A job that is far from due makes room for one of
// its team that is about to be.

const (
	// maxReadJobs bounds the parked jobs that one read of the store takes.
	maxReadJobs = 64
	// parkMargin is how long before it is due a parked job is read.
	parkMargin = time.Minute
	// maxParkedLogged bounds the jobs of one load that are logged as parked.
	maxParkedLogged = 200
	// parkedReason says what a parked job waits for.
	parkedReason = "the owner has no memory for the job, or it is far from due: parked"
)

// Stub is what the owner keeps of a parked job. It is immutable.
type Stub struct {
	ID    core.JobID
	Team  core.Team
	Queue core.Queue
	// Due is when the first occurrence may start that may not be complete, zero if at once.
	Due time.Time
	// Bytes is what the job takes in memory.
	Bytes int64
	// FirstEpoch is the epoch of the first owner that may start tasks of the job.
	FirstEpoch core.Epoch
	// Started is set if progress of the job is stored, Ended if its end is.
	Started, Ended bool
}

// NewStub returns the stub of a job of which no progress is stored.
func NewStub(spec *jobs.Spec) Stub {
	return Stub{ID: spec.ID, Team: spec.Team, Queue: spec.Queue, Due: spec.Due(0), Bytes: spec.Bytes(), FirstEpoch: spec.FirstEpoch}
}

// loadedStub returns the stub of a job with its stored progress.
func loadedStub(spec *jobs.Spec, recorded *jobs.Progress) Stub {
	out := NewStub(spec)
	out.Started, out.Ended = recorded.Job != "", recorded.State.Final()
	return out
}

// parkedJob is a parked job of the scheduler.
type parkedJob struct {
	Stub
	// cancelled is set if the cancellation of the job is stored.
	cancelled bool
}

// parkedQueue holds the parked jobs of a team, those that are due first in front.
type parkedQueue struct{ *btree.BTreeG[*parkedJob] }

func newParkedQueue() parkedQueue {
	return parkedQueue{btree.NewG(dueQueueDegree, func(x, y *parkedJob) bool {
		return cmp.Or(x.Due.Compare(y.Due), cmp.Compare(x.ID, y.ID)) < 0
	})}
}

// Park adds stored jobs for which there is no memory. It ignores the jobs that are known.
func (s *Scheduler) Park(now time.Time, stubs []Stub) {
	s.now = now
	for i, stub := range stubs {
		if s.jobs[stub.ID] != nil || s.parked[stub.ID] != nil || s.isForLaterOwner(stub.FirstEpoch) || s.readAgain(stub, "was loaded") {
			continue
		}
		s.park(&parkedJob{Stub: stub})
		switch {
		case stub.Ended:
			s.urgentParked.Add(stub.ID)
		case i < maxParkedLogged:
			s.logParked(stub.ID)
		}
	}
}

func (s *Scheduler) logParked(id core.JobID) {
	s.logDecision(Decision{Job: id, Event: "waits", Reason: parkedReason})
}

func (s *Scheduler) park(p *parkedJob) {
	s.parked[p.ID] = p
	q, ok := s.parkedOf[p.Team]
	if !ok {
		q = newParkedQueue()
		s.parkedOf[p.Team] = q
	}
	q.ReplaceOrInsert(p)
	s.parkedBytes[p.Team] += p.Bytes
}

func (s *Scheduler) unpark(p *parkedJob) {
	delete(s.parked, p.ID)
	delete(s.urgentParked, p.ID)
	s.parkedOf[p.Team].Delete(p)
	s.parkedBytes[p.Team] -= p.Bytes
}

// ParkedToRead returns the parked jobs whose rows must be read now: those that are about to
// be due and for which there is room, and the urgent ones. It returns none until ParkedRead
// has ended the last read.
func (s *Scheduler) ParkedToRead(now time.Time) []core.JobID {
	s.now = now
	if len(s.parked) == 0 || s.readingParked {
		return nil
	}
	var out []core.JobID
	for _, id := range slices.Sorted(maps.Keys(s.urgentParked)) {
		if s.parked[id] != nil && len(out) < maxReadJobs {
			out = append(out, id)
		}
	}
	reading := core.NewSet(out...)
	for _, team := range slices.Sorted(maps.Keys(s.parkedOf)) {
		for _, p := range s.dueParked(team, maxReadJobs-len(out)) {
			if !reading.Has(p.ID) && s.reserveRoom(p) {
				reading.Add(p.ID)
				out = append(out, p.ID)
			}
		}
	}
	s.readingParked = len(out) > 0
	return out
}

// dueParked returns the parked jobs of a team that are about to be due, at most limit.
func (s *Scheduler) dueParked(team core.Team, limit int) []*parkedJob {
	var out []*parkedJob
	s.parkedOf[team].Ascend(func(p *parkedJob) bool {
		if len(out) >= limit || p.Due.After(s.now.Add(parkMargin)) {
			return false
		}
		out = append(out, p)
		return true
	})
	return out
}

// reserveRoom reserves room for a parked job until ParkedRead, if there is any.
func (s *Scheduler) reserveRoom(p *parkedJob) bool {
	for !s.accepted.AdmitsOne(p.Team, p.Bytes) {
		if !s.parkLatest(p.Team) {
			return false
		}
	}
	s.accepted.Charge(p.Team, p.Bytes)
	s.reserved = append(s.reserved, p)
	return true
}

// parkLatest parks the job of a team that is due last, if it has run nothing and is far from
// due. It reports whether it has done so.
func (s *Scheduler) parkLatest(team core.Team) bool {
	q, ok := s.due[team]
	if !ok {
		return false
	}
	j, ok := q.Max()
	if !ok || j.nextDue.Before(s.now.Add(2*parkMargin)) || !j.isIdle() {
		return false
	}
	q.DeleteMax()
	delete(s.jobs, j.Spec.ID)
	s.accepted.Credit(j.Spec.Team, j.Spec.Bytes())
	stub := NewStub(&j.Spec)
	stub.Due, stub.Started = j.nextDue, len(j.progress.Done)+len(j.progress.FailedRuns) > 0
	s.park(&parkedJob{Stub: stub})
	s.logParked(stub.ID)
	return true
}

// isIdle reports whether all that is known of the job is stored and none of its
// occurrences is in memory.
func (j *Job) isIdle() bool {
	isDirty := j.scheduler.dirty[j.Spec.ID] != nil || slices.ContainsFunc(j.scheduler.inFlight, func(r inFlightRow) bool { return r.job == j })
	return len(j.occurrences) == 0 && !j.ended() && !isDirty
}

// ParkedRead handles the rows of parked jobs that have been read, or the failure to read
// them. A job that was not found has been deleted or cannot be decoded.
func (s *Scheduler) ParkedRead(now time.Time, ids []core.JobID, specs []jobs.Spec, progress map[core.JobID]jobs.Progress, err error) {
	s.now = now
	s.readingParked = false
	for _, p := range s.reserved {
		s.accepted.Credit(p.Team, p.Bytes)
	}
	s.reserved = nil
	if err != nil {
		return
	}
	s.load(specs, progress, true)
	for _, id := range ids {
		if p := s.parked[id]; p != nil {
			s.unpark(p)
		}
	}
	s.Exclude(ids)
}

// nameParked requests a parked job of which a worker has named a run. It reports whether
// the job is parked.
func (s *Scheduler) nameParked(id core.JobID) bool {
	p := s.parked[id]
	if p != nil {
		s.urgentParked.Add(id)
	}
	return p != nil
}
