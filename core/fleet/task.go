package fleet

import (
	"math"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/chart"
	"chicoryturn/core/jobs"
)

const (
	// slowGain is the weight of the newest run in the learned speed of a worker.
	slowGain = 0.15
	// paceGain is that of the progress of a run that goes on.
	paceGain = 0.05
	// paceLeast is how long a run must have worked before its progress tells the
	// speed of its worker, pacePause the time between two readings of it.
	paceLeast = 400 * time.Millisecond
	pacePause = 250 * time.Millisecond
	// stuckAfter is for how long a run may show no progress before it is stopped
	// and started elsewhere; in long runs it is a tenth of their expected time.
	// Workers described as slow take 6.5 times as long, and one percent of that
	// is 6.5 % of it.
	stuckAfter = 2500 * time.Millisecond
	stuckPart  = 10
)

// Task is one task of a phase.
type Task struct {
	unit  *unit
	index int
	state chart.State
	// worker is set exactly while the task holds room there.
	worker *Worker
	// next is the worker that a place or found event is about.
	next *Worker
	// run numbers the newest run; runs of one task only grow.
	run uint64
	// charge is what the task holds of its worker's room.
	charge core.Resources
	placed time.Time
	// began is when the worker was first known to run the task.
	began time.Time
	// halted is when a stop was last ordered, stopped when the worker has
	// answered one; zero if not.
	halted, stopped time.Time
	// saved is the newest checkpoint known.
	saved string
	// percent is the progress last reported, moved when it last changed.
	percent int
	moved   time.Time
	// paced is when the progress was last taken as a sign of the worker's speed.
	paced time.Time
	// avoid are the workers on which the task has failed.
	avoid core.Set[core.WorkerID]
}

// ID returns the task's name.
func (t *Task) ID() jobs.TaskID { return jobs.TaskID{PhaseID: t.unit.id, Index: t.index} }

// position is the task's place in the job's progress.
func (t *Task) position() int { return t.unit.base + t.index }

func (t *Task) fire(ev chart.Event) { t.unit.job.board.refuse(taskChart.Fire(&t.state, ev, t)) }

func (t *Task) hold() {
	b := t.unit.job.board
	b.held[t] = struct{}{}
	t.charge = t.unit.need()
	t.unit.idle--
	team := t.unit.job.Spec.Team
	b.awaited[team] = b.awaited[team].Add(t.charge)
}

func (t *Task) unhold() {
	b := t.unit.job.board
	delete(b.held, t)
	t.unit.idle++
	team := t.unit.job.Spec.Team
	b.awaited[team] = b.awaited[team].Sub(t.charge)
	b.changed = true
}

// reserve takes room on the chosen worker and of the team's limit.
func (t *Task) reserve() {
	b := t.unit.job.board
	t.worker, t.placed, t.began = t.next, b.now, time.Time{}
	t.halted, t.stopped = time.Time{}, time.Time{}
	t.percent, t.moved, t.paced = 0, b.now, b.now
	t.charge = t.unit.need()
	t.worker.tasks[t.ID()] = t
	t.worker.free = t.worker.free.Sub(t.charge)
	t.unit.idle--
	t.unit.live++
	t.unit.job.live++
	b.take(t.unit.job.Spec.Team, t.charge)
	if t.state == taskRunning {
		t.begin()
	}
}

// release gives the room back.
func (t *Task) release() {
	b, w := t.unit.job.board, t.worker
	delete(w.tasks, t.ID())
	w.free = w.free.Add(t.charge)
	t.worker = nil
	t.unit.idle++
	t.unit.live--
	t.unit.job.live--
	b.give(t.unit.job.Spec.Team, t.charge)
	switch {
	case t.state != taskWaiting || !t.unit.phase.Gang:
	case t.unit.won:
		t.fire(taskEndDone)
	case t.unit.live > 0:
		t.unit.regroup()
	}
}

func (t *Task) begin() {
	if t.began.IsZero() {
		t.began = t.unit.job.board.now
		t.moved = t.began
		t.unit.job.fire(jobBegin)
	}
}

// halt orders the worker to stop the run.
func (t *Task) halt() {
	b := t.unit.job.board
	t.halted = b.now
	b.counts.Stops++
	b.order(Order{Kind: OrderStop, Worker: t.worker.id, Task: t.ID(), Run: t.run})
}

// finish marks the task as ended well.
func (t *Task) finish() {
	u := t.unit
	u.idle--
	if u.won {
		return
	}
	u.left--
	u.job.progress.SetDone(t.position())
	u.job.touch()
	if u.left == 0 {
		u.complete()
	}
}

// win ends a gang well: the end of one member stands for all. Those that still
// hold room give it back as their workers list their ends.
func (u *unit) win() {
	if u.won {
		return
	}
	u.won, u.left = true, 0
	for _, t := range u.tasks {
		u.job.progress.SetDone(t.position())
	}
	u.job.touch()
	u.complete()
	for _, t := range u.tasks {
		if t.state == taskWaiting || t.state == taskHeld {
			t.fire(taskEndDone)
		}
	}
}

// count follows a run that has failed; the run was that of t.failed.
func (t *Task) count() {
	u := t.unit
	at := t.position()
	if u.phase.Gang {
		at = u.base
	}
	if !u.job.progress.AddFailedRun(at, t.run) {
		return
	}
	u.job.board.counts.Failures++
	u.job.touch()
	if !u.phase.LongRunning && len(u.job.progress.FailedRuns[at]) >= u.attempts() {
		u.job.fail()
	}
}

// detach leaves a run of the task to its worker as a stray, which holds its
// room until the worker has listed its end.
func (t *Task) detach() {
	w, run, charge := t.worker, t.run, t.charge
	t.fire(taskCut)
	if t.worker == nil {
		w.addStray(stray{task: t.ID(), run: run, charge: charge, team: t.unit.job.Spec.Team})
	}
}

// ended takes in the end of one run as its worker lists it.
func (t *Task) ended(w *Worker, run uint64, how EndKind, saved string) {
	u, b := t.unit, t.unit.job.board
	mine := t.worker == w && t.run == run
	if saved != "" {
		t.keep(run, saved)
	}
	switch {
	case u.phase.LongRunning && (how == EndDone || how == EndFailed):
		if mine {
			t.fire(taskCut)
		}
	case how == EndDone:
		if mine {
			t.learn()
		} else if t.worker != nil {
			t.detach()
		}
		if u.phase.Gang {
			u.win()
		}
		t.fire(taskEndDone)
	case how == EndFailed && mine:
		t.avoidWorker(w.id)
		t.fire(taskEndFailed)
	case how == EndFailed && t.state != taskDone && t.state != taskDropped:
		t.countOld(run)
	case mine:
		t.fire(taskCut)
	}
	b.counts.Ends++
}

// countOld counts a failed run that is not the task's present one.
func (t *Task) countOld(run uint64) {
	now := t.run
	t.run = run
	t.count()
	t.run = max(now, run)
}

// learn takes the run time into the estimates of the queue.
func (t *Task) learn() {
	if t.began.IsZero() || t.saved != "" {
		return
	}
	b := t.unit.job.board
	took := max(b.now.Sub(t.began), time.Millisecond)
	expected := max(b.guess.Predict(t.unit.job.Spec.Queue, t.unit.phase.Estimate), time.Millisecond)
	t.worker.slow += slowGain * (math.Log(took.Seconds()/expected.Seconds()) - t.worker.slow)
	b.guess.Learn(t.unit.job.Spec.Queue, t.unit.phase.Estimate, took)
}

// keep remembers the newest checkpoint of the task, or of its gang.
func (t *Task) keep(run uint64, saved string) {
	if run < t.run {
		return
	}
	t.saved = saved
	if t.unit.phase.Gang {
		t.unit.saved = saved
	}
}

func (t *Task) avoidWorker(id core.WorkerID) {
	if t.avoid == nil {
		t.avoid = core.NewSet[core.WorkerID]()
	}
	t.avoid.Add(id)
}
