package fleet

import (
	"math"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/chart"
	"chicoryturn/core/jobs"
)

const (
	// slownessGain is the weight of the newest run in the learned speed of a worker.
	slownessGain = 0.15
	// progressGain is that of the progress of a run that goes on.
	progressGain = 0.05
	// minProgressTime is how long a run must have worked before its progress tells the
	// speed of its worker, pacePause the time between two readings of it.
	minProgressTime  = 400 * time.Millisecond
	progressInterval = 250 * time.Millisecond
	// stallTimeout is for how long a run may show no progress before it is stopped
	// and started elsewhere; in long runs it is a tenth of their expected time.
	// Workers described as slow take 6.5 times as long, and one percent of that
	// is 6.5 % of it.
	stallTimeout = 2500 * time.Millisecond
	stallDivisor = 10
)

// Task is one task of a phase.
type Task struct {
	phase *phase
	index int
	state chart.State
	// worker is set exactly while the task holds room there.
	worker *Worker
	// eventWorker is the worker that a place or found event is about.
	eventWorker *Worker
	// run numbers the newest run; runs of one task only grow.
	run uint64
	// reserved is what the task holds of its worker's room.
	reserved core.Resources
	placed   time.Time
	// startedAt is when the worker was first known to run the task.
	startedAt time.Time
	// stopSentAt is when a stop was last ordered, stopped when the worker has
	// answered one; zero if not.
	stopSentAt, stopAckedAt time.Time
	// checkpoint is the newest checkpoint known.
	checkpoint string
	// percent is the progress last reported, moved when it last changed.
	percent           int
	progressChangedAt time.Time
	// speedReadAt is when the progress was last taken as a sign of the worker's speed.
	speedReadAt time.Time
	// avoid are the workers on which the task has failed.
	avoid core.Set[core.WorkerID]
}

// ID returns the task's name.
func (t *Task) ID() jobs.TaskID { return jobs.TaskID{PhaseID: t.phase.id, Index: t.index} }

// position is the task's place in the job's progress.
func (t *Task) position() int { return t.phase.firstPosition + t.index }

func (t *Task) fire(ev chart.Event) {
	t.phase.job.scheduler.addRefusal(taskChart.Fire(&t.state, ev, t))
}

func (t *Task) addUnresolved() {
	b := t.phase.job.scheduler
	b.unresolved[t] = struct{}{}
	t.reserved = t.phase.need()
	t.phase.tasksWaiting--
	team := t.phase.job.Spec.Team
	b.unresolvedNeed[team] = b.unresolvedNeed[team].Add(t.reserved)
}

func (t *Task) removeUnresolved() {
	b := t.phase.job.scheduler
	delete(b.unresolved, t)
	t.phase.tasksWaiting++
	team := t.phase.job.Spec.Team
	b.unresolvedNeed[team] = b.unresolvedNeed[team].Sub(t.reserved)
	b.needsPlacement = true
}

// reserve takes room on the chosen worker and of the team's limit.
func (t *Task) reserve() {
	b := t.phase.job.scheduler
	t.worker, t.placed, t.startedAt = t.eventWorker, b.now, time.Time{}
	t.stopSentAt, t.stopAckedAt = time.Time{}, time.Time{}
	t.percent, t.progressChangedAt, t.speedReadAt = 0, b.now, b.now
	t.reserved = t.phase.need()
	t.worker.tasks[t.ID()] = t
	t.worker.free = t.worker.free.Sub(t.reserved)
	t.phase.tasksWaiting--
	t.phase.tasksPlaced++
	t.phase.job.tasksPlaced++
	b.chargeTeam(t.phase.job.Spec.Team, t.reserved)
	if t.state == taskRunning {
		t.markStarted()
	}
}

// release gives the room back.
func (t *Task) release() {
	b, w := t.phase.job.scheduler, t.worker
	delete(w.tasks, t.ID())
	w.free = w.free.Add(t.reserved)
	t.worker = nil
	t.phase.tasksWaiting++
	t.phase.tasksPlaced--
	t.phase.job.tasksPlaced--
	b.creditTeam(t.phase.job.Spec.Team, t.reserved)
	switch {
	case t.state != taskWaiting || !t.phase.spec.Gang:
	case t.phase.gangDone:
		t.fire(taskEndDone)
	case t.phase.tasksPlaced > 0:
		t.phase.stopGang()
	}
}

func (t *Task) markStarted() {
	if t.startedAt.IsZero() {
		t.startedAt = t.phase.job.scheduler.now
		t.progressChangedAt = t.startedAt
		t.phase.job.fire(jobBegin)
	}
}

// orderStop orders the worker to stop the run.
func (t *Task) orderStop() {
	b := t.phase.job.scheduler
	t.stopSentAt = b.now
	b.counts.Stops++
	b.addOrder(Order{Kind: OrderStop, Worker: t.worker.id, Task: t.ID(), Run: t.run})
}

// markDone marks the task as ended well.
func (t *Task) markDone() {
	u := t.phase
	u.tasksWaiting--
	if u.gangDone {
		return
	}
	u.tasksLeft--
	u.job.progress.SetDone(t.position())
	u.job.markDirty()
	if u.tasksLeft == 0 {
		u.complete()
	}
}

// completeGang ends a gang well: the end of one member stands for all. Those that still
// hold room give it back as their workers list their ends.
func (u *phase) completeGang() {
	if u.gangDone {
		return
	}
	u.gangDone, u.tasksLeft = true, 0
	for _, t := range u.tasks {
		u.job.progress.SetDone(t.position())
	}
	u.job.markDirty()
	u.complete()
	for _, t := range u.tasks {
		if t.state == taskWaiting || t.state == taskHeld {
			t.fire(taskEndDone)
		}
	}
}

// countFailure follows a run that has failed; the run was that of t.failed.
func (t *Task) countFailure() {
	u := t.phase
	at := t.position()
	if u.spec.Gang {
		at = u.firstPosition
	}
	if !u.job.progress.AddFailedRun(at, t.run) {
		return
	}
	u.job.scheduler.counts.Failures++
	u.job.markDirty()
	if !u.spec.LongRunning && len(u.job.progress.FailedRuns[at]) >= u.maxAttempts() {
		u.job.fail()
	}
}

// detachRun leaves a run of the task to its worker as a stray, which holds its
// room until the worker has listed its end.
func (t *Task) detachRun() {
	w, run, charge := t.worker, t.run, t.reserved
	t.fire(taskCut)
	if t.worker == nil {
		w.addOrphan(orphanedRun{task: t.ID(), run: run, reserved: charge, team: t.phase.job.Spec.Team})
	}
}

// runEnded takes in the end of one run as its worker lists it.
func (t *Task) runEnded(w *Worker, run uint64, how EndKind, saved string) {
	u, b := t.phase, t.phase.job.scheduler
	mine := t.worker == w && t.run == run
	if saved != "" {
		t.keepCheckpoint(run, saved)
	}
	switch {
	case u.spec.LongRunning && (how == EndDone || how == EndFailed):
		if mine {
			t.fire(taskCut)
		}
	case how == EndDone:
		if mine {
			t.learnRunTime()
		} else if t.worker != nil {
			t.detachRun()
		}
		if u.spec.Gang {
			u.completeGang()
		}
		t.fire(taskEndDone)
	case how == EndFailed && mine:
		t.avoidWorker(w.id)
		t.fire(taskEndFailed)
	case how == EndFailed && t.state != taskDone && t.state != taskDropped:
		t.countOldFailure(run)
	case mine:
		t.fire(taskCut)
	}
	b.counts.Ends++
}

// countOldFailure counts a failed run that is not the task's present one.
func (t *Task) countOldFailure(run uint64) {
	now := t.run
	t.run = run
	t.countFailure()
	t.run = max(now, run)
}

// learnRunTime takes the run time into the estimates of the queue.
func (t *Task) learnRunTime() {
	if t.startedAt.IsZero() || t.checkpoint != "" {
		return
	}
	b := t.phase.job.scheduler
	took := max(b.now.Sub(t.startedAt), time.Millisecond)
	expected := max(b.estimator.Predict(t.phase.job.Spec.Queue, t.phase.spec.Estimate), time.Millisecond)
	t.worker.slowness += slownessGain * (math.Log(took.Seconds()/expected.Seconds()) - t.worker.slowness)
	b.estimator.Learn(t.phase.job.Spec.Queue, t.phase.spec.Estimate, took)
}

// keepCheckpoint remembers the newest checkpoint of the task, or of its gang.
func (t *Task) keepCheckpoint(run uint64, saved string) {
	if run < t.run {
		return
	}
	t.checkpoint = saved
	if t.phase.spec.Gang {
		t.phase.gangCheckpoint = saved
	}
}

func (t *Task) avoidWorker(id core.WorkerID) {
	if t.avoid == nil {
		t.avoid = core.NewSet[core.WorkerID]()
	}
	t.avoid.Add(id)
}
