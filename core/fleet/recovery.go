package fleet

import (
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
)

// This file recovers the runs that earlier owners have started.

// mayHaveStarted reports whether an earlier owner may have started tasks of the job.
func (j *Job) mayHaveStarted() bool {
	return !j.ended() && j.Spec.FirstEpoch < j.scheduler.epoch
}

// JobsRead records that all jobs that were in the store at sentAt have been passed on.
func (s *Scheduler) JobsRead(sentAt time.Time) {
	if sentAt.After(s.jobsReadAt) {
		s.jobsReadAt = sentAt
	}
}

// adoptUnknownRuns gives a new job the runs that workers have listed before the scheduler
// knew the job.
func (s *Scheduler) adoptUnknownRuns(j *Job) {
	if !j.mayHaveStarted() {
		return
	}
	for _, w := range s.sortedWorkers {
		for id, run := range w.unknownRuns {
			if id.Job != j.Spec.ID {
				continue
			}
			if t := s.namedTask(id); t != nil && t.state == taskHeld {
				t.eventWorker, t.run = w, run
				t.fire(taskFound)
				delete(w.unknownRuns, id)
			}
		}
	}
}

// AllReported reports whether the runs of earlier owners are known, except on workers
// whose roster entries name them.
func (s *Scheduler) AllReported() bool { return s.allReported }

// resolveRecovered lets the unresolved tasks start once every worker that may run them
// has reported or its runs have certainly ended: a run that no worker has listed does not
// exist then. A worker may run any task unless its entry in the roster names its runs.
func (s *Scheduler) resolveRecovered() {
	s.settle()
	if s.allReported && len(s.unresolved) == 0 && len(s.heldPhases) == 0 || slices.ContainsFunc(s.sortedWorkers, (*Worker).mayRunAny) {
		return
	}
	if s.rosterUnknown && !s.authority.confirmedAt.After(s.earlierLeasesEnd()) {
		return
	}
	// A later owner may know of runs on the workers that have ended, and so start their
	// tasks at once.
	if !s.confirmedSince(s.authority.endedAt) {
		return
	}
	s.allReported = true
	held := core.NewSet[jobs.TaskID]()
	for _, w := range s.sortedWorkers {
		if w.unreported() {
			for _, id := range w.accountedRuns {
				held.Add(id)
			}
		}
	}
	for id := range held {
		if p := s.phase(id.PhaseID); p != nil && p.held > 0 && id.Index < p.spec.Count {
			p.task(id.Index)
		}
	}
	phases, released := map[*phase]struct{}{}, 0
	for p := range s.heldPhases {
		released += p.held
		p.clearHeld()
		phases[p] = struct{}{}
	}
	for t := range s.unresolved {
		if held.Has(t.ID()) {
			continue
		}
		s.needsPlacement = true
		released++
		t.fire(taskClear)
		phases[t.phase] = struct{}{}
	}
	if released > 0 {
		s.logDecision(Decision{Event: "tasks of earlier owners may start", Count: released})
	}
	for p := range phases {
		// A gang makes no progress without all its members.
		if p.spec.Gang && p.tasksPlaced > 0 && !p.gangDone {
			p.stopGang()
		}
	}
}

// hasUnreportedWorkers reports whether any worker is unreported.
func (s *Scheduler) hasUnreportedWorkers() bool {
	return slices.ContainsFunc(s.sortedWorkers, (*Worker).unreported)
}

// unreported reports whether the worker may run, or may have ended, tasks
// without the scheduler's knowledge.
func (w *Worker) unreported() bool {
	return w.unreached() || w.hidesEnds || !w.blockedSince.IsZero()
}

// noteListLength notes, before an answer is handled, whether runs of earlier owners may have
// ended on the worker that no list has named yet. Only the first answer of an incarnation can
// hide such ends: what ends later was active in it or was started by this owner.
func (w *Worker) noteListLength(l RunLists) {
	first := !l.Incarnation.Equal(w.incarnation)
	switch {
	case first && l.More:
		w.hidesEnds = true
		w.scheduler.logDecision(Decision{Event: "worker has more ends than it lists", Worker: w.id, Count: len(l.Ended)})
	case !l.More:
		w.hidesEnds = false
	}
}

// mayRunAny reports whether any task may run on the worker without the scheduler's
// knowledge.
func (w *Worker) mayRunAny() bool {
	return w.unreported() && (!w.accounted || w.hidesEnds || !w.blockedSince.IsZero())
}

// sumUnreportedCapacity returns the total capacity of the unreported workers.
func (s *Scheduler) sumUnreportedCapacity() core.Resources {
	var sum core.Resources
	for _, w := range s.sortedWorkers {
		if w.unreported() {
			sum = sum.Add(w.info.Capacity)
		}
	}
	return sum
}
