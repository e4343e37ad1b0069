package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryturn/core"
	"chicoryturn/core/chart"
	"chicoryturn/core/jobs"
)

// usefulFactor times the time that a job is owed is the most for which ending
// late is still worth something to its client.
const usefulFactor = 3

// Job is a job of the fleet.
type Job struct {
	Spec      jobs.Spec
	scheduler *Scheduler
	state     chart.State
	// phases holds the phases of each occurrence in order of occurrence.
	phases []*phase
	// tasks holds the tasks in order of occurrence, phase and index.
	tasks []*Task
	// phasesLeft counts the phases that are not complete, live the tasks that hold
	// room on a worker.
	phasesLeft, tasksPlaced int
	progress                jobs.Progress
	// seq is the order of arrival.
	seq       uint64
	arrivedAt time.Time
	// onTimeUntil is when the job must end to be on time, late from when on its end is
	// worth nothing more; both follow the policy.
	onTimeUntil, usefulUntil time.Time
	// overShare is set for work that exceeds the team's share of a full fleet.
	overShare bool
}

// phase is one phase of one occurrence.
type phase struct {
	id   jobs.PhaseID
	job  *Job
	spec *jobs.Phase
	// nameHash is a hash of the job's name.
	nameHash uint64
	// firstPosition is the position of the first task within the job.
	firstPosition int
	tasks         []*Task
	// tasksLeft counts the tasks that have not ended well, live those that hold
	// room, idle those that wait.
	tasksLeft, tasksPlaced, tasksWaiting int
	// isOpen is set once earlier phases have ended and the occurrence is due.
	isOpen   bool
	openedAt time.Time
	// timeLeft is the expected time from the phase's start to the job's end, as worked
	// out at restAt.
	timeLeft   time.Duration
	timeLeftAt time.Time
	// waitLoggedAt is when the log last said what the phase waits for.
	waitLoggedAt time.Time
	// gangDone is set once a member of a gang has ended well: so has the gang.
	gangDone bool
	// gangRun is the newest run of a gang.
	gangRun uint64
	advice  advice
	// gangCheckpoint is the checkpoint that all tasks of a gang start from.
	gangCheckpoint string
}

func (b *Scheduler) add(spec jobs.Spec) *Job {
	b.lastJobSeq++
	j := &Job{Spec: spec, scheduler: b, state: jobChart.Start(), seq: b.lastJobSeq, arrivedAt: spec.Accepted, progress: jobs.Progress{Job: spec.ID}}
	if j.arrivedAt.IsZero() || j.arrivedAt.After(b.now) {
		j.arrivedAt = b.now
	}
	order := xxhash.Sum64String(string(spec.ID))
	for occ := range spec.Occurrences() {
		for index := range j.Spec.Phases {
			phaseSpec := &j.Spec.Phases[index]
			u := &phase{id: jobs.PhaseID{Job: spec.ID, Occurrence: occ, Phase: index}, job: j, spec: phaseSpec, nameHash: order, firstPosition: len(j.tasks), tasksLeft: phaseSpec.Count, tasksWaiting: phaseSpec.Count}
			for i := range phaseSpec.Count {
				t := &Task{phase: u, index: i, state: taskChart.Start()}
				u.tasks = append(u.tasks, t)
				j.tasks = append(j.tasks, t)
			}
			j.phases = append(j.phases, u)
		}
	}
	j.phasesLeft = len(j.phases)
	j.overShare = b.exceedsShare(spec.Team, j.arrivedAt)
	j.setDeadlines()
	b.jobs[spec.ID] = j
	b.needsPlacement = true
	return j
}

func (j *Job) fire(ev chart.Event) { j.scheduler.addRefusal(jobChart.Fire(&j.state, ev, j)) }

// ended reports whether the job's end has been decided.
func (j *Job) ended() bool { return j.state == jobClosing || j.state == jobClosed }

// clientState returns the state that clients may be told.
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

// markDirty has the job's progress recorded.
func (j *Job) markDirty() {
	j.scheduler.changeSeq++
	j.scheduler.dirty[j.Spec.ID] = j
}

// restore takes over recorded progress.
func (j *Job) restore(p *jobs.Progress) {
	if p.Job == "" {
		return
	}
	j.progress = p.Clone()
	if p.State.Final() {
		j.fire(jobRestore)
		for _, t := range j.tasks {
			t.fire(taskDrop)
		}
		return
	}
	for at, t := range j.tasks {
		if p.IsDone(at) {
			t.fire(taskRestore)
			t.phase.tasksWaiting--
			t.phase.tasksLeft--
		}
	}
	for _, u := range j.phases {
		if u.tasksLeft == 0 {
			j.phasesLeft--
			u.gangDone = u.spec.Gang
		}
	}
}

// openPhases lets the phases start whose earlier phases have ended well.
func (j *Job) openPhases() {
	if j.ended() {
		return
	}
	n := len(j.Spec.Phases)
	for i, u := range j.phases {
		if u.isOpen || u.tasksLeft == 0 || !j.predecessorsDone(i/n, u.spec) {
			continue
		}
		if due := j.Spec.Due(u.id.Occurrence); due.After(j.scheduler.now) {
			j.scheduler.futurePhases[u] = struct{}{}
			continue
		}
		u.open()
	}
}

func (j *Job) predecessorsDone(occurrence int, p *jobs.Phase) bool {
	for _, a := range p.After {
		if j.phases[occurrence*len(j.Spec.Phases)+a].tasksLeft > 0 {
			return false
		}
	}
	return true
}

// completeIfDone completes the job once all its phases have.
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

// dropTasks ends all tasks of a job that has ended.
func (j *Job) dropTasks() {
	for _, t := range j.tasks {
		t.fire(taskDrop)
	}
	for _, u := range j.phases {
		delete(j.scheduler.openPhases, u)
		delete(j.scheduler.futurePhases, u)
		u.advice = advice{}
	}
}

// logEnd logs how the job has ended, against what it was owed.
func (j *Job) logEnd() {
	n := Decision{Job: j.Spec.ID, Event: "job " + string(j.progress.State), Wait: j.scheduler.now.Sub(j.arrivedAt)}
	if late := j.scheduler.now.Sub(j.onTimeUntil); late > 0 {
		n.Reason = "late by " + late.Round(time.Millisecond).String()
	}
	j.scheduler.logDecision(n)
}

// setDeadlines works out what the job is owed.
func (j *Job) setDeadlines() {
	j.onTimeUntil, j.usefulUntil = j.arrivedAt, j.arrivedAt
	q := j.scheduler.policy.Queues[j.Spec.Queue]
	if q == nil {
		return
	}
	extra := time.Duration(0)
	if a, ok := q.Advice.Get(); ok {
		extra = a.Cost(deadlineWorkers)
	}
	owed := time.Duration(q.Slowdown*float64(j.Spec.CriticalPath(extra))) + q.Latency
	j.onTimeUntil, j.usefulUntil = j.arrivedAt.Add(owed), j.arrivedAt.Add(usefulFactor*owed)
}

func (u *phase) open() {
	u.isOpen, u.openedAt = true, u.job.scheduler.now
	delete(u.job.scheduler.futurePhases, u)
	u.job.scheduler.openPhases[u] = struct{}{}
	u.job.scheduler.needsPlacement = true
}

// complete follows the end of the last task of the phase.
func (u *phase) complete() {
	j := u.job
	delete(j.scheduler.openPhases, u)
	// Who may run the phase is the largest part of a job's memory.
	u.advice = advice{}
	j.phasesLeft--
	j.openPhases()
	j.completeIfDone()
}

// need is what one task takes of a worker's room.
func (u *phase) need() core.Resources {
	n := u.spec.Need
	if u.spec.Filler {
		// Such tasks take only processor time that others leave unused.
		n.Cores = 0
	}
	return n
}

// maxAttempts is how often a task may fail.
func (u *phase) maxAttempts() int {
	if q := u.job.scheduler.policy.Queues[u.job.Spec.Queue]; q != nil {
		return max(q.Attempts, 1)
	}
	return 1
}

// nextRun returns the number of the next run of a task or gang.
func (u *phase) nextRun(last uint64) uint64 {
	return max(last+1, uint64(max(u.job.scheduler.epoch, 1)-1)<<runNumberBits+1)
}

// stopGang stops what is left of a gang's run once a member has ended; the gang
// starts again when none holds room any more.
func (u *phase) stopGang() {
	for _, t := range u.tasks {
		t.fire(taskStop)
	}
}
