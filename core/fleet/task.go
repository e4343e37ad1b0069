package fleet

import (
	"math"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/chart"
	"chicoryturn/core/jobs"
)

const (
	// slownessGain is the weight of the newest run in a worker's learned
	// slowness, progressGain that of one progress report of an active run.
	slownessGain = 0.15
	progressGain = 0.05
	// minProgressTime is how long a run must have been active before its
	// progress is used to learn its worker's slowness, progressInterval the
	// time between two such updates.
	minProgressTime  = 400 * time.Millisecond
	progressInterval = 250 * time.Millisecond
	// stallTimeout is how long the progress of a run may stay unchanged before
	// the run is stopped and the task starts on another worker; for long runs it
	// is a tenth of their expected run time. On a slow worker, a run may take up
	// to 6.5 times its expected run time, so one percent of progress takes up to
	// 6.5 % of that time, which is less than a tenth.
	stallTimeout = 2500 * time.Millisecond
	stallDivisor = 10
)

// Task is the scheduler's state of one task of a phase.
type Task struct {
	phase *phase
	index int
	state chart.State
	// worker is where the task holds room; nil if it holds none.
	worker *Worker
	// eventWorker is the worker to which the next place or found event refers.
	// It is set before the event is fired.
	eventWorker *Worker
	// run is the number of the newest run. It only grows.
	run uint64
	// reserved is the room that the task holds on its worker.
	reserved core.Resources
	// placedAt is when the task was last placed.
	placedAt time.Time
	// startedAt is when the worker was first known to run the task.
	startedAt time.Time
	// endedAt is when the end of the last run was learned, or that there is no such run;
	// zero if the task has not run.
	endedAt time.Time
	// stopSentAt is when a stop was last ordered, stopAckedAt when the worker
	// acknowledged it; zero if not.
	stopSentAt, stopAckedAt time.Time
	// checkpoint is the newest known checkpoint.
	checkpoint string
	// percent is the last reported progress, progressChangedAt when it last
	// changed.
	percent           int
	progressChangedAt time.Time
	// slownessLearnedAt is when the progress was last used to learn the worker's
	// slowness; at first, when the task was placed.
	slownessLearnedAt time.Time
	// avoid holds the workers on which the task has failed or stalled.
	avoid core.Set[core.WorkerID]
}

// ID returns the task's ID.
func (t *Task) ID() jobs.TaskID { return jobs.TaskID{PhaseID: t.phase.id, Index: t.index} }

// position returns the task's position in the job's progress.
func (t *Task) position() int { return t.phase.firstPosition + t.index }

// fire handles an event. A task that is done or dropped needs no state of its own.
func (t *Task) fire(ev chart.Event) {
	t.phase.job.scheduler.recordRefused(taskChart.Fire(&t.state, ev, t))
	if t.state == taskDone || t.state == taskDropped {
		t.phase.removeTask(t)
	}
}

// addUnresolved marks a recovered task that may be running on a worker that has
// not reported.
func (t *Task) addUnresolved() {
	s := t.phase.job.scheduler
	s.unresolved[t] = struct{}{}
	t.reserved = t.phase.need()
	t.phase.tasksWaiting--
	team := t.phase.job.Spec.Team
	s.unresolvedNeed[team] = s.unresolvedNeed[team].Add(t.reserved)
}

func (t *Task) removeUnresolved() {
	s := t.phase.job.scheduler
	delete(s.unresolved, t)
	t.phase.tasksWaiting++
	team := t.phase.job.Spec.Team
	s.unresolvedNeed[team] = s.unresolvedNeed[team].Sub(t.reserved)
	s.needsPlacement = true
}

// reserve charges the task's need to eventWorker's free room and to the team.
func (t *Task) reserve() {
	s := t.phase.job.scheduler
	t.worker, t.placedAt, t.startedAt = t.eventWorker, s.now, time.Time{}
	t.stopSentAt, t.stopAckedAt = time.Time{}, time.Time{}
	t.percent, t.progressChangedAt, t.slownessLearnedAt = 0, s.now, s.now
	t.reserved = t.phase.need()
	t.worker.tasks[t.ID()] = t
	t.worker.free = t.worker.free.Sub(t.reserved)
	t.phase.tasksWaiting--
	t.phase.tasksPlaced++
	t.phase.occurrence.tasksPlaced++
	t.phase.job.tasksPlaced++
	s.chargeTeam(t.phase.job.Spec.Team, t.reserved)
	if t.state == taskRunning {
		t.markStarted()
	}
}

// release returns the room to the worker and the team.
func (t *Task) release() {
	s, w := t.phase.job.scheduler, t.worker
	delete(w.tasks, t.ID())
	w.free = w.free.Add(t.reserved)
	t.worker = nil
	t.phase.tasksWaiting++
	t.phase.tasksPlaced--
	t.phase.occurrence.tasksPlaced--
	t.phase.job.tasksPlaced--
	s.creditTeam(t.phase.job.Spec.Team, t.reserved)
	t.phase.occurrence.discardIfUnneeded()
	switch {
	case t.state != taskWaiting || !t.phase.spec.Gang:
	case t.phase.gangDone:
		t.fire(taskEndDone)
	case t.phase.tasksPlaced > 0:
		t.phase.stopGang()
	}
}

// markStarted records that the worker runs the task.
func (t *Task) markStarted() {
	if t.startedAt.IsZero() {
		t.startedAt = t.phase.job.scheduler.now
		t.progressChangedAt = t.startedAt
		t.phase.job.fire(jobBegin)
	}
}

// orderStop orders the worker to stop the run.
func (t *Task) orderStop() {
	s := t.phase.job.scheduler
	if t.stopSentAt.IsZero() {
		t.logRun("stop ordered", "task is "+taskChart.Name(t.state))
	}
	t.stopSentAt = s.now
	s.stopRepeat.schedule(s.now)
	s.counts.Stops++
	s.addOrder(Order{Kind: OrderStop, Worker: t.worker.id, Task: t.ID(), Run: t.run})
}

// markDone records that the task has succeeded.
func (t *Task) markDone() {
	p := t.phase
	p.tasksWaiting--
	if p.gangDone {
		return
	}
	p.tasksLeft--
	p.job.progress.SetDone(t.position())
	p.job.markDirty()
	if p.tasksLeft == 0 {
		p.complete()
	}
}

// completeGang completes a gang: the success of one member counts for all.
// Members that still hold room release it when their workers list their ends.
func (p *phase) completeGang() {
	if p.gangDone {
		return
	}
	p.clearHeld()
	p.tasksWaiting -= p.spec.Count - len(p.tasks)
	p.gangDone, p.tasksLeft = true, 0
	for i := range p.spec.Count {
		p.job.progress.SetDone(p.firstPosition + i)
	}
	p.job.markDirty()
	for _, t := range p.sortedTasks() {
		if t.state == taskWaiting || t.state == taskHeld {
			t.fire(taskEndDone)
		}
	}
	p.complete()
}

// countFailure counts the failed run t.run and fails the job after too many
// failures. The failures of a gang are counted at its first task.
func (t *Task) countFailure() {
	p := t.phase
	position := t.position()
	if p.spec.Gang {
		position = p.firstPosition
	}
	if p.job.ended() || !p.job.progress.AddFailedRun(position, t.run) {
		return
	}
	p.job.scheduler.counts.Failures++
	p.job.dirtyPages.Add(jobs.PageOf(position))
	p.job.markDirty()
	if !p.spec.LongRunning && p.job.progress.CountFailedRuns(position) >= p.job.maxAttempts() {
		p.job.fail()
	}
}

// detachRun turns the task's run into an orphaned run, which holds its room
// until the worker lists its end.
func (t *Task) detachRun() {
	w, run, reserved := t.worker, t.run, t.reserved
	t.fire(taskCut)
	if t.worker == nil {
		w.addOrphan(orphanedRun{task: t.ID(), run: run, reserved: reserved, team: t.phase.job.Spec.Team})
	}
}

// runEnded handles the end of one run as its worker lists it.
func (t *Task) runEnded(w *Worker, run uint64, kind EndKind, checkpoint string) {
	p, s := t.phase, t.phase.job.scheduler
	isCurrent := t.worker == w && t.run == run
	if checkpoint != "" {
		t.keepCheckpoint(run, checkpoint)
	}
	switch {
	case p.spec.LongRunning && (kind == EndDone || kind == EndFailed):
		if isCurrent {
			t.fire(taskCut)
		}
	case kind == EndDone:
		if isCurrent {
			t.learnRunTime()
		} else if t.worker != nil {
			t.detachRun()
		}
		if p.spec.Gang {
			p.completeGang()
		}
		t.fire(taskEndDone)
	case kind == EndFailed && isCurrent:
		t.avoidWorker(w.id)
		t.fire(taskEndFailed)
	case kind == EndFailed && t.state != taskDone && t.state != taskDropped:
		t.countOldFailure(run)
	case isCurrent:
		t.fire(taskCut)
	}
	s.counts.Ends++
}

// countOldFailure counts a failed run that is not the task's current one.
func (t *Task) countOldFailure(run uint64) {
	newest := t.run
	t.run = run
	t.countFailure()
	t.run = max(newest, run)
}

// learnRunTime updates the queue's estimates and the worker's slowness with the
// run time.
func (t *Task) learnRunTime() {
	if t.startedAt.IsZero() || t.checkpoint != "" || t.ranCold() {
		return
	}
	s := t.phase.job.scheduler
	runTime := max(s.now.Sub(t.startedAt), time.Millisecond)
	expected := max(s.estimator.Predict(t.phase.job.Spec.Queue, t.phase.spec.Estimate), time.Millisecond)
	t.worker.slowness += slownessGain * (math.Log(runTime.Seconds()/expected.Seconds()) - t.worker.slowness)
	s.estimator.Learn(t.phase.job.Spec.Queue, t.phase.spec.Estimate, runTime)
}

// keepCheckpoint records the newest checkpoint of the task and of its gang.
func (t *Task) keepCheckpoint(run uint64, checkpoint string) {
	if run < t.run {
		return
	}
	t.checkpoint = checkpoint
	if t.phase.spec.Gang {
		t.phase.gangCheckpoint = checkpoint
	}
}

func (t *Task) avoidWorker(id core.WorkerID) {
	if t.avoid == nil {
		t.avoid = core.NewSet[core.WorkerID]()
	}
	t.avoid.Add(id)
}
