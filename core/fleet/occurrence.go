package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/google/btree"

	"chicoryturn/core/jobs"
)

// This file builds the occurrences of jobs. What is not due yet is held as the job's
// specification, what is complete as bits of its progress: only the occurrences between
// the two take memory for each phase and task.

// occurrence is one run of the phases of a job.
type occurrence struct {
	index  int
	job    *Job
	phases []*phase
	// phasesLeft counts the phases that are not complete, tasksPlaced the tasks that
	// hold room on a worker.
	phasesLeft, tasksPlaced int
}

// newOccurrence returns an occurrence with the tasks that the progress of its job shows
// as done. The job does not keep it.
func (j *Job) newOccurrence(index int) *occurrence {
	o := &occurrence{index: index, job: j}
	position := index * j.tasksPerOccurrence
	for i := range j.Spec.Phases {
		spec := &j.Spec.Phases[i]
		p := &phase{id: jobs.PhaseID{Job: j.Spec.ID, Occurrence: index, Phase: i}, job: j, occurrence: o, spec: spec, firstPosition: position, tasks: map[int]*Task{}}
		p.tasksLeft = spec.Count - j.progress.CountDone(position, position+spec.Count)
		p.tasksWaiting = p.tasksLeft
		p.gangDone = spec.Gang && (p.tasksLeft == 0 || j.ended())
		if p.tasksLeft > 0 {
			o.phasesLeft++
		}
		o.phases = append(o.phases, p)
		position += spec.Count
	}
	return o
}

// build builds an occurrence that is not complete. If mayRun is set, a worker may run any
// of its tasks unless the job's FirstEpoch excludes it: the clock of an earlier owner may
// have been ahead.
func (j *Job) build(index int, mayRun bool) *occurrence {
	s := j.scheduler
	o := j.newOccurrence(index)
	j.occurrences[index] = o
	s.built.Charge(j.Spec.Team, occurrenceBytes(&j.Spec))
	if mayRun && j.mayHaveStarted() {
		for _, p := range o.phases {
			p.hold()
		}
	}
	s.needsPlacement = true
	return o
}

// openPhases opens the phases whose predecessors are complete, if the occurrence is due.
func (o *occurrence) openPhases() {
	if o.job.ended() || o.job.Spec.Due(o.index).After(o.job.scheduler.now) {
		return
	}
	for _, p := range o.phases {
		if !p.isOpen && p.tasksLeft > 0 && o.predecessorsDone(p.spec) {
			p.open()
		}
	}
}

func (o *occurrence) predecessorsDone(spec *jobs.Phase) bool {
	return !slices.ContainsFunc(spec.After, func(i int) bool { return o.phases[i].tasksLeft > 0 })
}

// phaseCompleted handles the end of the last task of a phase.
func (o *occurrence) phaseCompleted() {
	o.phasesLeft--
	o.openPhases()
	if o.phasesLeft == 0 {
		o.job.occurrencesLeft--
		o.job.completeIfDone()
	}
	o.discardIfUnneeded()
}

// discardIfUnneeded frees the occurrence once it is complete, or its job has ended, and
// none of its tasks holds room on a worker.
func (o *occurrence) discardIfUnneeded() {
	if o.tasksPlaced == 0 && (o.phasesLeft == 0 || o.job.ended()) && o.job.occurrences[o.index] == o {
		delete(o.job.occurrences, o.index)
		o.job.scheduler.built.Credit(o.job.Spec.Team, occurrenceBytes(&o.job.Spec))
	}
}

// isOccurrenceDone reports whether all tasks of an occurrence have succeeded.
func (j *Job) isOccurrenceDone(index int) bool {
	first := index * j.tasksPerOccurrence
	return j.progress.CountDone(first, first+j.tasksPerOccurrence) == j.tasksPerOccurrence
}

// sortedOccurrences returns the occurrences that have been built, in order.
func (j *Job) sortedOccurrences() []*occurrence {
	out := slices.Collect(maps.Values(j.occurrences))
	slices.SortFunc(out, func(x, y *occurrence) int { return cmp.Compare(x.index, y.index) })
	return out
}

// builtPhases returns the phases of the occurrences that have been built, in order.
func (j *Job) builtPhases() []*phase {
	var out []*phase
	for _, o := range j.sortedOccurrences() {
		out = append(out, o.phases...)
	}
	return out
}

// phase returns the phase with the given ID, or nil if its occurrence is not in memory.
func (s *Scheduler) phase(id jobs.PhaseID) *phase {
	j := s.jobs[id.Job]
	if j == nil || j.occurrences[id.Occurrence] == nil || id.Phase >= len(j.Spec.Phases) {
		return nil
	}
	return j.occurrences[id.Occurrence].phases[id.Phase]
}

// namedTask returns a task that a worker has named, or nil if there is no such task. It
// builds an occurrence that an earlier owner has started before it is due here.
func (s *Scheduler) namedTask(id jobs.TaskID) *Task {
	j := s.jobs[id.Job]
	if j == nil || !j.Spec.Has(id) {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	switch {
	case o != nil:
	case j.ended() || j.isOccurrenceDone(id.Occurrence):
		o = j.newOccurrence(id.Occurrence)
	default:
		o = j.build(id.Occurrence, true)
	}
	return o.phases[id.Phase].task(id.Index)
}

// dueQueue holds the jobs of a team with occurrences that have not been built in their
// turn, by the time at which the next one is due.
type dueQueue struct{ *btree.BTreeG[*Job] }

const dueQueueDegree = 16

func newDueQueue() dueQueue {
	return dueQueue{btree.NewG(dueQueueDegree, func(x, y *Job) bool {
		return cmp.Or(x.nextDue.Compare(y.nextDue), cmp.Compare(x.seq, y.seq)) < 0
	})}
}

// addDue queues a job for its next occurrence that is not complete, if there is one.
func (s *Scheduler) addDue(j *Job) {
	for j.next < j.Spec.Occurrences() && j.isOccurrenceDone(j.next) {
		j.next++
	}
	if j.next == j.Spec.Occurrences() || j.ended() {
		return
	}
	j.nextDue = j.Spec.Due(j.next)
	q, ok := s.due[j.Spec.Team]
	if !ok {
		q = newDueQueue()
		s.due[j.Spec.Team] = q
	}
	q.ReplaceOrInsert(j)
}

func (s *Scheduler) removeDue(j *Job) {
	if q, ok := s.due[j.Spec.Team]; ok {
		q.Delete(j)
	}
}

// buildDue builds and opens the occurrences that are due and for which there is memory.
// The others wait, in the order in which they have become due.
func (s *Scheduler) buildDue() {
	s.teamsWaiting = 0
	mayRun := !s.allReported || s.hasUnreportedWorkers() || !s.confirmedSince(s.authority.endedAt)
	for _, team := range slices.Sorted(maps.Keys(s.due)) {
		if !s.buildDueOf(s.due[team], mayRun) {
			s.teamsWaiting++
		}
	}
}

// buildDueOf builds the due occurrences of a team, whose tasks may run on a worker if mayRun
// is set. It reports whether there was memory for all of them.
func (s *Scheduler) buildDueOf(q dueQueue, mayRun bool) bool {
	for {
		j, ok := q.Min()
		if !ok || j.nextDue.After(s.now) {
			return true
		}
		o := j.occurrences[j.next]
		if o == nil && !j.isOccurrenceDone(j.next) {
			if !s.built.AdmitsOne(j.Spec.Team, occurrenceBytes(&j.Spec)) {
				j.logMemoryWait()
				return false
			}
			o = j.build(j.next, mayRun)
		}
		q.DeleteMin()
		if o != nil {
			o.openPhases()
		}
		j.next++
		s.addDue(j)
	}
}

// logMemoryWait logs that the next occurrence of the job waits for memory, at most every
// waitLogInterval.
func (j *Job) logMemoryWait() {
	s := j.scheduler
	if s.now.Sub(j.waitLoggedAt) < waitLogInterval {
		return
	}
	j.waitLoggedAt = s.now
	id := jobs.PhaseID{Job: j.Spec.ID, Occurrence: j.next}
	d := Decision{Job: id.Job, Event: "waits", Task: id.String(), Reason: memoryReason}
	if !j.nextDue.IsZero() {
		d.Wait = s.now.Sub(j.nextDue)
	}
	s.logDecision(d)
}
