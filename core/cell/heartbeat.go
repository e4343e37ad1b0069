package cell

import (
	"net/netip"
	"sort"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/chart"
)

// StopKind says how a task is stopped.
type StopKind string

// The ways to hold a task back: end it at once, end it after writing a
// checkpoint, or throttle it to what it declared.
const (
	StopNow        StopKind = "now"
	StopCheckpoint StopKind = "saved"
	StopThrottle   StopKind = "slow"
)

// Stop asks a worker to end or throttle a task.
type Stop struct {
	Task core.TaskID
	How  StopKind
}

// Ack lets a worker forget a run that has ended.
type Ack struct {
	Task core.TaskID
	Run  uint64
}

// Start asks a worker to run a task. A worker that runs it already ignores it.
type Start struct {
	Task core.TaskID
	// Run numbers the runs of all tasks of a cell, so that a late report of an
	// earlier run of the task is not taken for this one.
	Run      uint64
	Team     core.Team
	Need     core.Resources
	Estimate time.Duration
	Command  string
	// Saved is the run time that the task's newest checkpoint holds.
	Saved time.Duration
}

// Heartbeat is one message to a worker. It renews the worker's lease from the
// time at which the worker made Stamp. A worker refuses a contact of an older
// epoch, and starts nothing on a stamp older than its lease time.
type Heartbeat struct {
	Worker core.WorkerID
	Addr   netip.AddrPort
	Cell   core.CellID
	Epoch  core.Epoch
	// Order grows with every contact of an epoch. A worker starts nothing on
	// an order older than one it has seen, so a delayed message is harmless.
	Order uint64
	Stamp string
	TTL   time.Duration
	// Incarnation is the worker's incarnation as last reported.
	Incarnation string
	// After and Wait let the worker hold its answer until it has news, and
	// report only what has changed since.
	After  uint64
	Wait   time.Duration
	Starts []Start
	Stops  []Stop
	Acks   []Ack
}

// TaskState is a task's state as its worker reports it.
type TaskState string

// The states that a worker reports.
const (
	TaskRunning      TaskState = "running"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskCheckpointed TaskState = "saved"
	TaskStopped      TaskState = "stopped"
	TaskRefused      TaskState = "refused"
)

// TaskReport is one task as its worker reports it.
type TaskReport struct {
	Task  core.TaskID
	Run   uint64
	State TaskState
	Team  core.Team
	Need  core.Resources
	// Used is what the task was lately seen to use; zero if not known yet.
	Used core.Resources
	// Elapsed is how long the task has run.
	Elapsed time.Duration
}

// Report is a worker's answer to a contact.
type Report struct {
	Stamp string
	// Incarnation names the worker's incarnation; sequence numbers belong to it.
	Incarnation string
	Seq         uint64
	// Full is set when Tasks holds every task of the worker. Otherwise it holds
	// those that have changed after the contact's After.
	Full  bool
	Room  core.Resources
	Tasks []TaskReport
}

// Heartbeats returns the messages to be sent to workers now.
func (c *Cell) Heartbeats(now time.Time) []Heartbeat {
	c.now = now
	var out []Heartbeat
	ready := c.sendQueue
	c.sendQueue = nil
	for _, w := range ready {
		w.inSendQueue = false
		if w.state == workerStateGone || !w.vm.Addr.IsValid() || now.Before(w.retryAt) {
			continue
		}
		if w.hasNewOrders && !w.pushInFlight && w.stamp != "" {
			w.pushInFlight, w.hasNewOrders = true, false
			out = append(out, c.newHeartbeat(w, 0))
		}
		if !w.pollInFlight {
			w.pollInFlight = true
			wait := c.workerTTL / longPollDivisor
			if w.stamp == "" {
				wait = 0
			}
			out = append(out, c.newHeartbeat(w, wait))
		}
	}
	return out
}

// queueHeartbeat puts a worker on the list of those to be contacted.
func (c *Cell) queueHeartbeat(w *Worker) {
	if !w.inSendQueue {
		w.inSendQueue = true
		c.sendQueue = append(c.sendQueue, w)
	}
}

func (c *Cell) newHeartbeat(w *Worker, wait time.Duration) Heartbeat {
	c.lastOrder++
	k := Heartbeat{
		Worker: w.id, Addr: w.vm.Addr, Cell: c.id, Epoch: c.epoch, Order: c.lastOrder, Stamp: w.stamp,
		TTL: c.workerTTL, Incarnation: w.incarnation, After: w.reportSeq, Wait: wait, Acks: w.acks,
	}
	w.acks = nil
	for _, t := range w.sortedTasks() {
		switch t.state {
		case taskStateStarting:
			s := t.spec()
			k.Starts = append(k.Starts, Start{t.ID(), t.run, t.job.Spec.Team, s.Need, s.Estimate, s.Command, t.checkpointed})
		case taskStateStopping:
			k.Stops = append(k.Stops, Stop{t.ID(), StopNow})
		case taskStateYielding:
			k.Stops = append(k.Stops, Stop{t.ID(), StopCheckpoint})
		case taskStateRunning:
			if w.overfull() && t.allocated != t.spec().Need {
				k.Stops = append(k.Stops, Stop{t.ID(), StopThrottle})
			}
		}
	}
	for id := range w.orphans {
		k.Stops = append(k.Stops, Stop{id, StopNow})
	}
	sort.Slice(k.Stops, func(i, j int) bool { return lessTaskID(k.Stops[i].Task, k.Stops[j].Task) })
	return k
}

// HeartbeatFailed follows a contact without an answer.
func (c *Cell) HeartbeatFailed(now time.Time, k Heartbeat) {
	c.now = now
	w := c.workers[k.Worker]
	if w == nil {
		return
	}
	c.heartbeatEnded(w, k)
	w.acks = append(w.acks, k.Acks...)
	w.hasNewOrders = true
	w.retryAt = now.Add(c.workerTTL / retryDivisor)
	w.fire(workerEventMiss)
}

func (c *Cell) heartbeatEnded(w *Worker, k Heartbeat) {
	c.queueHeartbeat(w)
	if k.Wait > 0 || k.Stamp == "" {
		w.pollInFlight = false
		return
	}
	w.pushInFlight = false
}

// Report follows a worker's answer.
func (c *Cell) Report(now time.Time, k Heartbeat, r Report) {
	c.now = now
	w := c.workers[k.Worker]
	if w == nil || w.state == workerStateGone {
		return
	}
	c.heartbeatEnded(w, k)
	w.lastReportAt, w.retryAt = now, time.Time{}
	if w.incarnation == r.Incarnation && r.Seq < w.reportSeq {
		return
	}
	if w.incarnation != r.Incarnation && !r.Full {
		// What has changed since another incarnation says nothing.
		w.incarnation, w.reportSeq, w.stamp = "", 0, ""
		return
	}
	first := w.state != workerStateLive
	w.incarnation, w.stamp, w.reportSeq = r.Incarnation, r.Stamp, r.Seq
	c.setReportedRoom(w, r.Room)
	c.applyTaskReports(w, k, r)
	w.fire(workerEventReport)
	if first {
		c.requeueHeld()
	}
	c.updateRoom(w)
}

// setReportedRoom takes the smaller of the listed and the reported room.
func (c *Cell) setReportedRoom(w *Worker, room core.Resources) {
	least := core.Resources{
		Cores:  min(w.vm.Room.Cores, room.Cores),
		Memory: min(w.vm.Room.Memory, room.Memory),
		Accel:  min(w.vm.Room.Accel, room.Accel),
	}
	w.free = w.free.Add(least.Sub(w.room))
	w.room = least
}

func (c *Cell) applyTaskReports(w *Worker, k Heartbeat, r Report) {
	seen := core.NewSet[core.TaskID]()
	for i := range r.Tasks {
		seen.Add(r.Tasks[i].Task)
		c.applyTaskReport(w, &r.Tasks[i])
	}
	for id := range w.orphans {
		if r.Full && !seen.Has(id) {
			c.removeOrphan(w, id)
		}
	}
	c.handleUnreported(w, k, seen, r.Full)
}

// handleUnreported follows tasks that the worker does not report: it has lost them,
// unless their start is still on its way.
func (c *Cell) handleUnreported(w *Worker, k Heartbeat, seen core.Set[core.TaskID], full bool) {
	asked := core.NewSet[core.TaskID]()
	for i := range k.Starts {
		asked.Add(k.Starts[i].Task)
	}
	for _, t := range w.sortedTasks() {
		id := t.ID()
		if seen.Has(id) {
			continue
		}
		if t.state == taskStateStarting && !asked.Has(id) {
			continue
		}
		if !full && t.state == taskStateRunning {
			continue
		}
		if (t.state == taskStateStopping || t.state == taskStateYielding) && !w.stopRequested(k, id) {
			w.markOrdersChanged()
			continue
		}
		t.pendingOutcome = ""
		t.fire(taskEventLapse)
	}
}

// overfull reports whether tasks use more than the worker has.
func (w *Worker) overfull() bool {
	return w.free.Cores < 0 || w.free.Memory < 0 || w.free.Accel < 0
}

// stopRequested reports whether a contact has asked the worker to end a task.
func (w *Worker) stopRequested(k Heartbeat, id core.TaskID) bool {
	for i := range k.Stops {
		if k.Stops[i].Task == id && k.Stops[i].How != StopThrottle {
			return true
		}
	}
	return false
}

func (c *Cell) applyTaskReport(w *Worker, r *TaskReport) {
	t := c.task(r.Task)
	if t == nil || t.outcome != "" || !t.matchesRun(w, r) {
		c.handleOrphanReport(w, t, r)
		return
	}
	t.eventWorker, t.run = w, r.Run
	switch r.State {
	case TaskRunning:
		c.handleRunning(t)
		c.updateAllocation(t, r.Used)
	case TaskDone:
		c.recordSuccess(t, r.Elapsed)
		t.pendingOutcome, t.ackWorker = Done, w
		t.fire(taskEventDone)
		c.updateHealth(w, t, healthEventDone)
	case TaskFailed:
		c.handleFailure(w, t)
		c.updateHealth(w, t, healthEventFail)
	case TaskCheckpointed, TaskStopped:
		// A checkpoint is not a failure; nor is the end of a lapsed lease.
		t.pendingOutcome, t.ackWorker = Cancelled, w
		if r.State == TaskCheckpointed {
			t.checkpointed += r.Elapsed
		}
		t.fire(taskEventFail)
		w.acks = append(w.acks, Ack{r.Task, r.Run})
	case TaskRefused:
		t.fire(taskEventRefused)
		w.acks = append(w.acks, Ack{r.Task, r.Run})
	}
}

// matchesRun reports whether a worker's report is about the task's present run:
// the one placed there, one of an earlier owner, or one that has ended well on
// a worker whose lease had lapsed.
func (t *Task) matchesRun(w *Worker, r *TaskReport) bool {
	switch {
	case t.worker != nil:
		return t.worker == w && t.run == r.Run
	case t.state == taskStateQueued:
		return r.State == TaskDone
	default:
		return true
	}
}

func (c *Cell) handleRunning(t *Task) {
	if t.worker == nil && !c.heldTasks.Has(t) {
		return
	}
	if t.startedAt.IsZero() {
		t.startedAt = c.now
		if t.job.firstStart.IsZero() {
			t.job.firstStart = c.now
		}
		c.taskWaits = append(c.taskWaits, TaskWait{t.job.Spec.Queue, t.job.Spec.Team, c.now.Round(0).Sub(t.job.Spec.Submitted)})
	}
	t.fire(taskEventFound)
}

// updateAllocation follows what a task is seen to use: a task that takes more than it
// declared is charged for it, so that its worker is given no more work than it
// has room for.
func (c *Cell) updateAllocation(t *Task, used core.Resources) {
	if t.worker == nil {
		return
	}
	need := t.spec().Need
	charge := need.Max(used)
	if charge == t.allocated {
		return
	}
	c.allocate(t.worker, t.job.Spec.Team, charge.Sub(t.allocated))
	t.allocated = charge
	if t.worker.overfull() {
		t.worker.markOrdersChanged()
	}
}

// handleOrphanReport follows a report of a task that does not belong on the worker.
func (c *Cell) handleOrphanReport(w *Worker, t *Task, r *TaskReport) {
	if r.State != TaskRunning {
		c.removeOrphan(w, r.Task)
		if t == nil || t.outcomeStored || t.outcome == "" {
			w.acks = append(w.acks, Ack{r.Task, r.Run})
		}
		return
	}
	if _, ok := w.orphans[r.Task]; !ok {
		w.orphans[r.Task] = orphanedRun{r.Team, r.Need}
		c.allocate(w, r.Team, r.Need)
		w.markOrdersChanged()
	}
}

// removeOrphan frees the room of a stray task that has ended.
func (c *Cell) removeOrphan(w *Worker, id core.TaskID) {
	if o, ok := w.orphans[id]; ok {
		delete(w.orphans, id)
		c.deallocate(w, o.team, o.need)
	}
}

func (c *Cell) handleFailure(w *Worker, t *Task) {
	t.pendingOutcome, t.ackWorker = Failed, w
	t.failures++
	if t.failedOn == nil {
		t.failedOn = core.NewSet[core.WorkerID]()
	}
	t.failedOn.Add(w.id)
	again := t.failures < maxTaskFailures
	t.fire(taskEventFail)
	if again {
		w.acks = append(w.acks, Ack{t.ID(), t.run})
	}
}

// updateHealth counts failures in a row; a worker that fails all it starts is set
// aside. A job that has never succeeded is held against a worker only once.
func (c *Cell) updateHealth(w *Worker, t *Task, ev chart.Event) {
	if ev == healthEventFail {
		if t.job.hasSucceeded || w.lastFailedJob != t.job.Spec.ID {
			w.consecutiveFailures++
		}
		w.lastFailedJob = t.job.Spec.ID
	} else {
		w.consecutiveFailures = 0
		t.job.hasSucceeded = true
	}
	c.recordRefused(healthChart.Fire(&w.health, ev, w))
}
