package cell

import (
	_ "embed"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/chart"
)

//go:embed task.toml
var taskChartText []byte

// maxTaskFailures is the number of failed runs after which a task has failed.
const maxTaskFailures = 5

// The chart, its events and states are set in init. The actions use them, so that
// initializers here would form an initialization cycle.
var (
	taskChart *chart.Machine[*Task]

	taskEventRestore, taskEventRecover, taskEventPlace, taskEventFound,
	taskEventRefused, taskEventClear, taskEventLapse, taskEventDone,
	taskEventFail, taskEventCancel, taskEventYield chart.Event

	taskStateQueued, taskStateStarting, taskStateRunning,
	taskStateStopping, taskStateYielding chart.State
)

func init() {
	taskChart = chart.Must(chart.Load(taskChartText, map[string]chart.Guard[*Task]{
		"retryable": func(t *Task) bool { return t.failures < maxTaskFailures && !t.job.cancelled },
	}, map[string]chart.Action[*Task]{
		"reserve":    (*Task).assign,
		"release":    (*Task).release,
		"adopt":      (*Task).adopt,
		"enqueue":    (*Task).enqueue,
		"dequeue":    (*Task).dequeue,
		"finish":     (*Task).recordEnd,
		"stop":       (*Task).requestStop,
		"checkpoint": (*Task).requestCheckpoint,
	}))
	taskEventRestore = taskChart.Event("restore")
	taskEventRecover = taskChart.Event("recover")
	taskEventPlace = taskChart.Event("place")
	taskEventFound = taskChart.Event("found")
	taskEventRefused = taskChart.Event("refused")
	taskEventClear = taskChart.Event("clear")
	taskEventLapse = taskChart.Event("lapse")
	taskEventDone = taskChart.Event("done")
	taskEventFail = taskChart.Event("fail")
	taskEventCancel = taskChart.Event("cancel")
	taskEventYield = taskChart.Event("yield")
	taskStateRunning = taskChart.State("running")
	taskStateQueued = taskChart.State("queued")
	taskStateStarting = taskChart.State("starting")
	taskStateStopping = taskChart.State("stopping")
	taskStateYielding = taskChart.State("yielding")
}

// Task is one task of a job and its scheduling state.
type Task struct {
	job   *Job
	index int
	state chart.State
	// worker is the worker on which the task holds room, or nil.
	worker *Worker
	// eventWorker is the worker of the newest placement or report. The actions
	// of the place and found events use it.
	eventWorker *Worker
	// placedAt is when the current run was assigned, and startedAt when its
	// worker first reported it as running.
	placedAt  time.Time
	startedAt time.Time
	// failures is the number of failed runs.
	failures int
	// run is the number of the task's current run.
	run uint64
	// allocated is the room that the task takes on its worker: the larger of its
	// declared need and its measured use in each dimension.
	allocated core.Resources
	// checkpointed is the run time that the newest checkpoint covers.
	checkpointed time.Duration
	// nextPreempt is when tasks may next be preempted to make room for this
	// one.
	nextPreempt time.Time
	// failedOn names the workers on which the task has failed. The task is not
	// placed there again unless it has failed on all workers.
	failedOn core.Set[core.WorkerID]
	// pendingOutcome is the outcome that the task gets if the next event ends
	// it.
	pendingOutcome Outcome
	outcome        Outcome
	// outcomeStored is set once the outcome is in the store.
	outcomeStored bool
	// ackWorker is the worker to send an acknowledgement to once the outcome is
	// in the store.
	ackWorker *Worker
}

// ID returns the ID of the task.
func (t *Task) ID() core.TaskID { return core.TaskID{Job: t.job.Spec.ID, Index: t.index} }

func (t *Task) spec() *TaskSpec { return &t.job.Spec.Tasks[t.index] }

func (t *Task) fire(ev chart.Event) { t.job.cell.recordRefused(taskChart.Fire(&t.state, ev, t)) }

// assign assigns a new run of the task to the chosen worker and allocates the
// task's declared need there.
func (t *Task) assign() {
	w, c := t.eventWorker, t.job.cell
	t.worker, t.placedAt = w, c.now
	w.tasks[t.ID()] = t
	c.runCount++
	t.run = uint64(c.epoch)<<epochShift | c.runCount
	t.allocated = t.spec().Need
	c.allocate(w, t.job.Spec.Team, t.allocated)
	w.markOrdersChanged()
	t.job.activeTasks++
	t.job.updateState()
}

// adopt takes over a run that an earlier owner started.
func (t *Task) adopt() {
	w, c := t.eventWorker, t.job.cell
	t.worker, t.placedAt, t.startedAt = w, c.now, c.now
	w.tasks[t.ID()] = t
	c.removeHeld(t)
	t.allocated = t.spec().Need
	c.allocate(w, t.job.Spec.Team, t.allocated)
	t.job.activeTasks++
	t.job.updateState()
}

// release frees the room that the task holds.
func (t *Task) release() {
	w, c := t.worker, t.job.cell
	delete(w.tasks, t.ID())
	c.deallocate(w, t.job.Spec.Team, t.allocated)
	t.worker, t.ackWorker = nil, w
	t.job.activeTasks--
}

// enqueue puts the task back into the queue.
func (t *Task) enqueue() {
	t.job.cell.removeHeld(t)
	t.job.pushQueued(t.index)
	t.job.cell.enqueue(t.job)
	t.job.updateState()
}

// dequeue removes a queued task from the queue after a worker whose lease had
// expired has reported it as done.
func (t *Task) dequeue() {
	t.job.removeQueued(t.index)
	t.job.cell.enqueue(t.job)
}

// recordEnd ends the task and writes its outcome to the journal.
func (t *Task) recordEnd() {
	c := t.job.cell
	c.removeHeld(t)
	t.outcome = t.pendingOutcome
	if t.outcome == "" || t.job.cancelled && t.outcome == Failed {
		t.outcome = Cancelled
	}
	c.appendEntry(Entry{Task: &TaskEnd{Job: t.job.Spec.ID, Index: t.index, Outcome: t.outcome}})
	t.job.openTasks--
	t.job.updateState()
}

// requestStop requests a heartbeat that stops the task. The heartbeat derives the
// stop kind from the task's state.
func (t *Task) requestStop() { t.worker.markOrdersChanged() }

// requestCheckpoint requests a heartbeat that stops the task after a checkpoint.
func (t *Task) requestCheckpoint() { t.worker.markOrdersChanged() }

// acknowledgeEnd marks the outcome as stored and lets the worker stop reporting
// the run.
func (t *Task) acknowledgeEnd() {
	t.outcomeStored = true
	if t.ackWorker != nil {
		t.ackWorker.acks = append(t.ackWorker.acks, Ack{t.ID(), t.run})
		t.ackWorker = nil
	}
}
