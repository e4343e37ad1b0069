package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryturn/core"
	"chicoryturn/core/chart"
	"chicoryturn/core/jobs"
)

// A job that ends later than usefulFactor times the time allowed to it is worth
// nothing to its client.
const usefulFactor = 3

// Job is the scheduler's state of one job.
type Job struct {
	Spec      jobs.Spec
	scheduler *Scheduler
	state     chart.State
	// phases holds the phases in order of occurrence and phase.
	phases []*phase
	// tasks holds the tasks in order of occurrence, phase and index.
	tasks []*Task
	// phasesLeft counts the phases that are not complete, tasksPlaced the tasks
	// that hold room on a worker.
	phasesLeft, tasksPlaced int
	progress                jobs.Progress
	// seq numbers the jobs in the order in which this scheduler has added them.
	seq        uint64
	acceptedAt time.Time
	// A job that ends after deadline is late; one that ends after usefulUntil
	// is worth nothing to its client. Both change with the policy.
	deadline, usefulUntil time.Time
	// exceedsShare is set if the team submitted the job in excess of its share
	// of a full fleet.
	exceedsShare bool
}

// phase is the state of one phase of one occurrence of a job.
type phase struct {
	id   jobs.PhaseID
	job  *Job
	spec *jobs.Phase
	// jobHash is a hash of the job's ID.
	jobHash uint64
	// firstPosition is the position of the first task in the job's progress.
	firstPosition int
	tasks         []*Task
	// tasksLeft counts the tasks that have not succeeded, tasksPlaced those
	// that hold room on a worker, tasksWaiting those that wait for placement.
	tasksLeft, tasksPlaced, tasksWaiting int
	// isOpen is set once the earlier phases are complete and the occurrence is
	// due.
	isOpen   bool
	openedAt time.Time
	// timeToEnd is the expected time from the phase's start to the job's end,
	// computed at timeToEndAt.
	timeToEnd   time.Duration
	timeToEndAt time.Time
	// waitLoggedAt is when the reason for waiting was last logged.
	waitLoggedAt time.Time
	// gangDone is set once one member of a gang has succeeded, and with it the
	// gang.
	gangDone bool
	// gangRun is the number of a gang's newest run.
	gangRun uint64
	advice  advice
	// gangCheckpoint is the checkpoint that all tasks of a gang start from.
	gangCheckpoint string
}

func (s *Scheduler) add(spec jobs.Spec) *Job {
	s.lastJobSeq++
	j := &Job{Spec: spec, scheduler: s, state: jobChart.Start(), seq: s.lastJobSeq, acceptedAt: spec.Accepted, progress: jobs.Progress{Job: spec.ID}}
	if j.acceptedAt.IsZero() || j.acceptedAt.After(s.now) {
		j.acceptedAt = s.now
	}
	jobHash := xxhash.Sum64String(string(spec.ID))
	for occurrence := range spec.Occurrences() {
		for index := range j.Spec.Phases {
			phaseSpec := &j.Spec.Phases[index]
			p := &phase{id: jobs.PhaseID{Job: spec.ID, Occurrence: occurrence, Phase: index}, job: j, spec: phaseSpec, jobHash: jobHash, firstPosition: len(j.tasks), tasksLeft: phaseSpec.Count, tasksWaiting: phaseSpec.Count}
			for i := range phaseSpec.Count {
				t := &Task{phase: p, index: i, state: taskChart.Start()}
				p.tasks = append(p.tasks, t)
				j.tasks = append(j.tasks, t)
			}
			j.phases = append(j.phases, p)
		}
	}
	j.phasesLeft = len(j.phases)
	j.exceedsShare = s.exceedsShare(spec.Team, j.acceptedAt)
	j.setDeadlines()
	s.jobs[spec.ID] = j
	s.needsPlacement = true
	return j
}

func (j *Job) fire(ev chart.Event) { j.scheduler.recordRefused(jobChart.Fire(&j.state, ev, j)) }

// ended reports whether the job's end has been decided.
func (j *Job) ended() bool { return j.state == jobClosing || j.state == jobClosed }

// clientState returns the state that clients see. A final state is visible only
// once it is in the store.
func (j *Job) clientState() jobs.State {
	switch j.state {
	case jobQueued:
		return jobs.Queued
	case jobClosed:
		return j.progress.State
	default:
		return jobs.Running
	}
}

// markDirty queues the job's progress for the next batch.
func (j *Job) markDirty() {
	j.scheduler.changeSeq++
	j.scheduler.dirty[j.Spec.ID] = j
}

// restore applies stored progress to a new job.
func (j *Job) restore(recorded *jobs.Progress) {
	if recorded.Job == "" {
		return
	}
	j.progress = recorded.Clone()
	if recorded.State.Final() {
		j.fire(jobRestore)
		for _, t := range j.tasks {
			t.fire(taskDrop)
		}
		return
	}
	for position, t := range j.tasks {
		if recorded.IsDone(position) {
			t.fire(taskRestore)
			t.phase.tasksWaiting--
			t.phase.tasksLeft--
		}
	}
	for _, p := range j.phases {
		if p.tasksLeft == 0 {
			j.phasesLeft--
			p.gangDone = p.spec.Gang
		}
	}
}

// openPhases opens the phases whose predecessors are complete. Phases of
// occurrences that are not due yet are queued in futurePhases.
func (j *Job) openPhases() {
	if j.ended() {
		return
	}
	n := len(j.Spec.Phases)
	for i, p := range j.phases {
		if p.isOpen || p.tasksLeft == 0 || !j.predecessorsDone(i/n, p.spec) {
			continue
		}
		if due := j.Spec.Due(p.id.Occurrence); due.After(j.scheduler.now) {
			j.scheduler.futurePhases[p] = struct{}{}
			continue
		}
		p.open()
	}
}

func (j *Job) predecessorsDone(occurrence int, spec *jobs.Phase) bool {
	for _, a := range spec.After {
		if j.phases[occurrence*len(j.Spec.Phases)+a].tasksLeft > 0 {
			return false
		}
	}
	return true
}

// completeIfDone completes the job once all its phases are complete.
func (j *Job) completeIfDone() {
	if j.phasesLeft == 0 && !j.ended() {
		j.progress.State = jobs.Completed
		j.fire(jobComplete)
		j.markDirty()
	}
}

// fail ends the job because a task has failed too often.
func (j *Job) fail() {
	if !j.ended() {
		j.progress.State = jobs.Failed
		j.fire(jobFail)
		j.markDirty()
	}
}

// dropTasks drops all tasks of a job that has ended.
func (j *Job) dropTasks() {
	for _, t := range j.tasks {
		t.fire(taskDrop)
	}
	for _, p := range j.phases {
		delete(j.scheduler.openPhases, p)
		delete(j.scheduler.futurePhases, p)
		p.advice = advice{}
	}
}

// EndEvent returns the event of the decision that logs the end of a job in a state.
func EndEvent(state jobs.State) string { return "job " + string(state) }

// logEnd logs the job's final state and by how much it missed its deadline.
func (j *Job) logEnd() {
	d := Decision{Job: j.Spec.ID, Event: EndEvent(j.progress.State), Wait: j.scheduler.now.Sub(j.acceptedAt)}
	if overdue := j.scheduler.now.Sub(j.deadline); overdue > 0 {
		d.Reason = "late by " + overdue.Round(time.Millisecond).String()
	}
	j.scheduler.logDecision(d)
}

// setDeadlines computes deadline and usefulUntil from the policy of the job's
// queue.
func (j *Job) setDeadlines() {
	j.deadline, j.usefulUntil = j.acceptedAt, j.acceptedAt
	q := j.scheduler.policy.Queues[j.Spec.Queue]
	if q == nil {
		return
	}
	adviceTime := time.Duration(0)
	if a, ok := q.Advisor.Get(); ok {
		adviceTime = a.Cost(deadlineWorkers)
	}
	allowed := time.Duration(q.Slowdown*float64(j.Spec.CriticalPath(adviceTime))) + q.Latency
	j.deadline, j.usefulUntil = j.acceptedAt.Add(allowed), j.acceptedAt.Add(usefulFactor*allowed)
}

func (p *phase) open() {
	p.isOpen, p.openedAt = true, p.job.scheduler.now
	delete(p.job.scheduler.futurePhases, p)
	p.job.scheduler.openPhases[p] = struct{}{}
	p.job.scheduler.needsPlacement = true
}

// complete handles the end of the last task of the phase.
func (p *phase) complete() {
	j := p.job
	delete(j.scheduler.openPhases, p)
	// The advice is the largest part of a job's memory.
	p.advice = advice{}
	j.phasesLeft--
	j.openPhases()
	j.completeIfDone()
}

// need returns what one task takes of a worker's room.
func (p *phase) need() core.Resources {
	n := p.spec.Need
	if p.spec.Filler {
		// Filler tasks take only processor time that others leave unused.
		n.Cores = 0
	}
	return n
}

// maxAttempts returns how many failed runs of a task fail the job.
func (p *phase) maxAttempts() int {
	if q := p.job.scheduler.policy.Queues[p.job.Spec.Queue]; q != nil {
		return max(q.Attempts, 1)
	}
	return 1
}

// nextRun returns the number of the run after last of a task or gang.
func (p *phase) nextRun(last uint64) uint64 {
	return max(last+1, uint64(max(p.job.scheduler.epoch, 1)-1)<<runNumberBits+1)
}

// stopGang stops the remaining members of a gang's run after one has ended. The
// gang starts again once no member holds room.
func (p *phase) stopGang() {
	for _, t := range p.tasks {
		t.fire(taskStop)
	}
}
