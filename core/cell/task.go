package cell

import (
	_ "embed"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/chart"
)

//go:embed task.toml
var taskChartText []byte

// maxTaskFailures bounds how often a task that fails is started again.
const maxTaskFailures = 5

// The chart and its names are bound in init, as the actions use them in turn.
var (
	taskChart *chart.Machine[*Task]

	taskEventRestore, taskEventRecover, taskEventPlace, taskEventFound, taskEventRefused, taskEventClear, taskEventLapse, taskEventDone, taskEventFail, taskEventCancel, taskEventYield chart.Event
	taskStateQueued, taskStateStarting, taskStateRunning, taskStateStopping, taskStateYielding                                                                                          chart.State
)

func init() {
	taskChart = chart.Must(chart.Load(taskChartText, map[string]chart.Guard[*Task]{
		"again": func(t *Task) bool { return t.failures < maxTaskFailures && !t.job.cancelled },
	}, map[string]chart.Action[*Task]{
		"reserve":    (*Task).assign,
		"release":    (*Task).release,
		"adopt":      (*Task).adopt,
		"enqueue":    (*Task).enqueue,
		"unqueue":    (*Task).dequeue,
		"close":      (*Task).recordEnd,
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

// Task is one task of a job.
type Task struct {
	job   *Job
	index int
	state chart.State
	// worker is set exactly while the task holds room.
	worker *Worker
	// eventWorker is the worker that a place event is about.
	eventWorker *Worker
	placedAt    time.Time
	startedAt   time.Time
	failures    int
	// run numbers the task's present run.
	run uint64
	// allocated is what the task takes of its worker's room: what it declared, or
	// what it was seen to use if that is more.
	allocated core.Resources
	// checkpointed is the run time that the newest checkpoint holds.
	checkpointed time.Duration
	// nextPreempt is when others may be asked again to make room.
	nextPreempt time.Time
	// failedOn names the workers on which the task has failed.
	failedOn core.Set[core.WorkerID]
	// pendingOutcome is the outcome being closed.
	pendingOutcome Outcome
	outcome        Outcome
	// outcomeStored is set once the store holds the outcome.
	outcomeStored bool
	// ackWorker is where an acknowledgement goes once the end is recorded.
	ackWorker *Worker
}

// ID returns the task's name.
func (t *Task) ID() core.TaskID { return core.TaskID{Job: t.job.Spec.ID, Index: t.index} }

func (t *Task) spec() *TaskSpec { return &t.job.Spec.Tasks[t.index] }

func (t *Task) fire(ev chart.Event) { t.job.cell.recordRefused(taskChart.Fire(&t.state, ev, t)) }

// assign takes room on the chosen worker and from the team's limit.
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

// adopt takes over a task that an earlier owner had started.
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

// release gives the room back.
func (t *Task) release() {
	w, c := t.worker, t.job.cell
	delete(w.tasks, t.ID())
	c.deallocate(w, t.job.Spec.Team, t.allocated)
	t.worker, t.ackWorker = nil, w
	t.job.activeTasks--
}

func (t *Task) enqueue() {
	t.job.cell.removeHeld(t)
	t.job.pushQueued(t.index)
	t.job.cell.enqueue(t.job)
	t.job.updateState()
}

// dequeue takes a task out of the queue that has ended on a worker whose lease
// had lapsed.
func (t *Task) dequeue() {
	t.job.removeQueued(t.index)
	t.job.cell.enqueue(t.job)
}

// recordEnd ends the task and writes its end to the journal.
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

// requestStop and checkpoint have the worker contacted; what it is told follows from
// the task's state.
func (t *Task) requestStop() { t.worker.markOrdersChanged() }

func (t *Task) requestCheckpoint() { t.worker.markOrdersChanged() }

// acknowledgeEnd lets the worker forget a task whose end is recorded.
func (t *Task) acknowledgeEnd() {
	t.outcomeStored = true
	if t.ackWorker != nil {
		t.ackWorker.acks = append(t.ackWorker.acks, Ack{t.ID(), t.run})
		t.ackWorker = nil
	}
}
