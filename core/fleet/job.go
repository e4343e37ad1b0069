package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryturn/core"
	"chicoryturn/core/chart"
	"chicoryturn/core/jobs"
)

// lateFactor times the time that a job is owed is the most for which ending
// late is still worth something to its client.
const lateFactor = 3

// Job is a job of the fleet.
type Job struct {
	Spec  jobs.Spec
	board *Scheduler
	state chart.State
	// units holds the phases of each occurrence in order of occurrence.
	units []*unit
	// tasks holds the tasks in order of occurrence, phase and index.
	tasks []*Task
	// left counts the phases that are not complete, live the tasks that hold
	// room on a worker.
	left, live int
	progress   jobs.Progress
	// seq is the order of arrival.
	seq     uint64
	arrived time.Time
	// onTime is when the job must end to be on time, late from when on its end is
	// worth nothing more; both follow the policy.
	onTime, late time.Time
	// beyond is set for work that exceeds the team's share of a full fleet.
	beyond bool
}

// unit is one phase of one occurrence.
type unit struct {
	id    jobs.PhaseID
	job   *Job
	phase *jobs.Phase
	// order is a hash of the job's name.
	order uint64
	// base is the position of the first task within the job.
	base  int
	tasks []*Task
	// left counts the tasks that have not ended well, live those that hold
	// room, idle those that wait.
	left, live, idle int
	// opened is set once earlier phases have ended and the occurrence is due.
	opened bool
	since  time.Time
	// rest is the expected time from the phase's start to the job's end, as worked
	// out at restAt.
	rest   time.Duration
	restAt time.Time
	// told is when the log last said what the phase waits for.
	told time.Time
	// won is set once a member of a gang has ended well: so has the gang.
	won bool
	// run is the newest run of a gang.
	run    uint64
	advice advice
	// saved is the checkpoint that all tasks of a gang start from.
	saved string
}

func (b *Scheduler) add(spec jobs.Spec) *Job {
	b.seq++
	j := &Job{Spec: spec, board: b, state: jobChart.Start(), seq: b.seq, arrived: spec.Accepted, progress: jobs.Progress{Job: spec.ID}}
	if j.arrived.IsZero() || j.arrived.After(b.now) {
		j.arrived = b.now
	}
	order := xxhash.Sum64String(string(spec.ID))
	for occ := range spec.Occurrences() {
		for p := range j.Spec.Phases {
			phase := &j.Spec.Phases[p]
			u := &unit{id: jobs.PhaseID{Job: spec.ID, Occurrence: occ, Phase: p}, job: j, phase: phase, order: order, base: len(j.tasks), left: phase.Count, idle: phase.Count}
			for i := range phase.Count {
				t := &Task{unit: u, index: i, state: taskChart.Start()}
				u.tasks = append(u.tasks, t)
				j.tasks = append(j.tasks, t)
			}
			j.units = append(j.units, u)
		}
	}
	j.left = len(j.units)
	j.beyond = b.beyond(spec.Team, j.arrived)
	j.setDue()
	b.jobs[spec.ID] = j
	b.changed = true
	return j
}

func (j *Job) fire(ev chart.Event) { j.board.refuse(jobChart.Fire(&j.state, ev, j)) }

// ended reports whether the job's end has been decided.
func (j *Job) ended() bool { return j.state == jobClosing || j.state == jobClosed }

// shown returns the state that clients may be told.
func (j *Job) shown() jobs.State {
	switch j.state {
	case jobQueued:
		return jobs.Queued
	case jobClosed:
		return j.progress.State
	default:
		return jobs.Running
	}
}

// touch has the job's progress recorded.
func (j *Job) touch() {
	j.board.changes++
	j.board.dirty[j.Spec.ID] = j
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
			t.unit.idle--
			t.unit.left--
		}
	}
	for _, u := range j.units {
		if u.left == 0 {
			j.left--
			u.won = u.phase.Gang
		}
	}
}

// openUnits lets the phases start whose earlier phases have ended well.
func (j *Job) openUnits() {
	if j.ended() {
		return
	}
	n := len(j.Spec.Phases)
	for i, u := range j.units {
		if u.opened || u.left == 0 || !j.ready(i/n, u.phase) {
			continue
		}
		if due := j.Spec.Due(u.id.Occurrence); due.After(j.board.now) {
			j.board.timed[u] = struct{}{}
			continue
		}
		u.open()
	}
}

func (j *Job) ready(occurrence int, p *jobs.Phase) bool {
	for _, a := range p.After {
		if j.units[occurrence*len(j.Spec.Phases)+a].left > 0 {
			return false
		}
	}
	return true
}

// settle completes the job once all its phases have.
func (j *Job) settle() {
	if j.left == 0 && !j.ended() {
		j.progress.State = jobs.Completed
		j.fire(jobComplete)
		j.touch()
	}
}

// fail ends the job because a task has failed too often.
func (j *Job) fail() {
	if !j.ended() {
		j.progress.State = jobs.Failed
		j.fire(jobFail)
		j.touch()
	}
}

// drop ends all tasks of a job that has ended.
func (j *Job) drop() {
	for _, t := range j.tasks {
		t.fire(taskDrop)
	}
	for _, u := range j.units {
		delete(j.board.open, u)
		delete(j.board.timed, u)
		u.advice = advice{}
	}
}

// tellEnd logs how the job has ended, against what it was owed.
func (j *Job) tellEnd() {
	n := Decision{Job: j.Spec.ID, Event: "job " + string(j.progress.State), Wait: j.board.now.Sub(j.arrived)}
	if late := j.board.now.Sub(j.onTime); late > 0 {
		n.Reason = "late by " + late.Round(time.Millisecond).String()
	}
	j.board.note(n)
}

// setDue works out what the job is owed.
func (j *Job) setDue() {
	j.onTime, j.late = j.arrived, j.arrived
	q := j.board.policy.Queues[j.Spec.Queue]
	if q == nil {
		return
	}
	extra := time.Duration(0)
	if a, ok := q.Advice.Get(); ok {
		extra = a.Cost(adviceWorkers)
	}
	owed := time.Duration(q.Slowdown*float64(j.Spec.CriticalPath(extra))) + q.Latency
	j.onTime, j.late = j.arrived.Add(owed), j.arrived.Add(lateFactor*owed)
}

func (u *unit) open() {
	u.opened, u.since = true, u.job.board.now
	delete(u.job.board.timed, u)
	u.job.board.open[u] = struct{}{}
	u.job.board.changed = true
}

// complete follows the end of the last task of the phase.
func (u *unit) complete() {
	j := u.job
	delete(j.board.open, u)
	// Who may run the phase is the largest part of a job's memory.
	u.advice = advice{}
	j.left--
	j.openUnits()
	j.settle()
}

// need is what one task takes of a worker's room.
func (u *unit) need() core.Resources {
	n := u.phase.Need
	if u.phase.Filler {
		// Such tasks take only processor time that others leave unused.
		n.Cores = 0
	}
	return n
}

// attempts is how often a task may fail.
func (u *unit) attempts() int {
	if q := u.job.board.policy.Queues[u.job.Spec.Queue]; q != nil {
		return max(q.Attempts, 1)
	}
	return 1
}

// nextRun returns the number of the next run of a task or gang.
func (u *unit) nextRun(last uint64) uint64 {
	return max(last+1, uint64(max(u.job.board.epoch, 1)-1)<<runShift+1)
}

// regroup stops what is left of a gang's run once a member has ended; the gang
// starts again when none holds room any more.
func (u *unit) regroup() {
	for _, t := range u.tasks {
		t.fire(taskStop)
	}
}
