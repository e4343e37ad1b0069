package cell

import (
	"net/netip"
	"sort"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/chart"
)

// StopKind is the way in which a worker ends or throttles a task.
type StopKind string

// The stop kinds: end the task at once, end it after it has written a
// checkpoint, or throttle it to its declared resources.
const (
	StopNow        StopKind = "now"
	StopCheckpoint StopKind = "saved"
	StopThrottle   StopKind = "slow"
)

// Stop orders a worker to end or throttle a task.
type Stop struct {
	Task core.TaskID
	Kind StopKind
}

// Ack tells a worker that the end of a run is recorded, so that the worker may
// stop reporting it.
type Ack struct {
	Task core.TaskID
	Run  uint64
}

// Start orders a worker to run a task. A worker that already runs it ignores the
// order.
type Start struct {
	Task core.TaskID
	// Run is unique among the runs of all tasks of a cell, so that a late report
	// of an earlier run of the task is not mistaken for one of this run.
	Run      uint64
	Team     core.Team
	Need     core.Resources
	Estimate time.Duration
	Command  string
	// Checkpoint is the run time that the task's newest checkpoint covers.
	Checkpoint time.Duration
}

// Heartbeat is one message to a worker. It renews the worker's lease, counted
// from the time at which the worker issued Stamp. A worker refuses a heartbeat of
// an older epoch and starts no task if the stamp is older than TTL.
type Heartbeat struct {
	Worker core.WorkerID
	Addr   netip.AddrPort
	Cell   core.CellID
	Epoch  core.Epoch
	// Order increases with each heartbeat of an epoch. A worker starts no task if
	// it has already received a higher Order, so a delayed heartbeat is harmless.
	Order uint64
	// Stamp is the newest stamp that the worker has reported; it is empty if there
	// is none.
	Stamp string
	// TTL is the duration of the lease.
	TTL time.Duration
	// Incarnation is the worker's incarnation as last reported.
	Incarnation string
	// After is the sequence number of the last report. The worker reports only
	// changes after it, and delays its answer by up to Wait until there are some.
	After  uint64
	Wait   time.Duration
	Starts []Start
	Stops  []Stop
	Acks   []Ack
}

// TaskState is the state of a task on its worker.
type TaskState string

// The task states that a worker reports. TaskCheckpointed is a run that was stopped
// after it had written a checkpoint, and TaskStopped one that was stopped without a
// checkpoint, by an order or because the lease expired. TaskRefused is a run that
// the worker did not start.
const (
	TaskRunning      TaskState = "running"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskCheckpointed TaskState = "saved"
	TaskStopped      TaskState = "stopped"
	TaskRefused      TaskState = "refused"
)

// TaskReport is a worker's report on one task.
type TaskReport struct {
	Task  core.TaskID
	Run   uint64
	State TaskState
	Team  core.Team
	Need  core.Resources
	// Used is the task's recent resource use; it is zero if not known yet.
	Used core.Resources
	// Elapsed is how long this run has lasted.
	Elapsed time.Duration
}

// Report is a worker's answer to a heartbeat.
type Report struct {
	Stamp string
	// Incarnation is the worker's incarnation. Stamps and sequence numbers are
	// valid only within one incarnation.
	Incarnation string
	Seq         uint64
	// Full is set when Tasks holds all tasks of the worker. Otherwise it holds
	// those that have changed since the sequence number After of the heartbeat.
	Full bool
	// Room is the worker's capacity.
	Room  core.Resources
	Tasks []TaskReport
}

// Heartbeats returns the heartbeats to send now. A worker has at most two in
// flight: a long poll that waits for changes and a push that delivers new orders.
func (c *Cell) Heartbeats(now time.Time) []Heartbeat {
	c.now = now
	var out []Heartbeat
	queue := c.sendQueue
	c.sendQueue = nil
	for _, w := range queue {
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

// queueHeartbeat adds a worker to the send queue unless it is already there.
func (c *Cell) queueHeartbeat(w *Worker) {
	if !w.inSendQueue {
		w.inSendQueue = true
		c.sendQueue = append(c.sendQueue, w)
	}
}

// newHeartbeat returns a heartbeat with all current orders for a worker, which may
// delay its answer by up to wait.
func (c *Cell) newHeartbeat(w *Worker, wait time.Duration) Heartbeat {
	c.lastOrder++
	h := Heartbeat{
		Worker: w.id, Addr: w.vm.Addr, Cell: c.id, Epoch: c.epoch, Order: c.lastOrder, Stamp: w.stamp,
		TTL: c.workerTTL, Incarnation: w.incarnation, After: w.reportSeq, Wait: wait, Acks: w.acks,
	}
	w.acks = nil
	for _, t := range w.sortedTasks() {
		switch t.state {
		case taskStateStarting:
			s := t.spec()
			h.Starts = append(h.Starts, Start{t.ID(), t.run, t.job.Spec.Team, s.Need, s.Estimate, s.Command, t.checkpointed})
		case taskStateStopping:
			h.Stops = append(h.Stops, Stop{t.ID(), StopNow})
		case taskStateYielding:
			h.Stops = append(h.Stops, Stop{t.ID(), StopCheckpoint})
		case taskStateRunning:
			if w.overcommitted() && t.allocated != t.spec().Need {
				h.Stops = append(h.Stops, Stop{t.ID(), StopThrottle})
			}
		}
	}
	for id := range w.orphans {
		h.Stops = append(h.Stops, Stop{id, StopNow})
	}
	sort.Slice(h.Stops, func(i, j int) bool { return lessTaskID(h.Stops[i].Task, h.Stops[j].Task) })
	return h
}

// HeartbeatFailed handles a heartbeat that the worker did not answer.
func (c *Cell) HeartbeatFailed(now time.Time, h Heartbeat) {
	c.now = now
	w := c.workers[h.Worker]
	if w == nil {
		return
	}
	c.heartbeatEnded(w, h)
	w.acks = append(w.acks, h.Acks...)
	w.hasNewOrders = true
	w.retryAt = now.Add(c.workerTTL / retryDivisor)
	w.fire(workerEventMiss)
}

// heartbeatEnded marks a heartbeat as no longer in flight. A heartbeat without
// a stamp counts as a long poll, although the worker answers it at once.
func (c *Cell) heartbeatEnded(w *Worker, h Heartbeat) {
	c.queueHeartbeat(w)
	if h.Wait > 0 || h.Stamp == "" {
		w.pollInFlight = false
		return
	}
	w.pushInFlight = false
}

// Report handles a worker's answer to a heartbeat.
func (c *Cell) Report(now time.Time, h Heartbeat, r Report) {
	c.now = now
	w := c.workers[h.Worker]
	if w == nil || w.state == workerStateGone {
		return
	}
	c.heartbeatEnded(w, h)
	w.lastReportAt, w.retryAt = now, time.Time{}
	if w.incarnation == r.Incarnation && r.Seq < w.reportSeq {
		return
	}
	if w.incarnation != r.Incarnation && !r.Full {
		// A partial report lists changes since a sequence number of the previous
		// incarnation, so it is useless. The next heartbeat asks for a full one.
		w.incarnation, w.reportSeq, w.stamp = "", 0, ""
		return
	}
	becameLive := w.state != workerStateLive
	w.incarnation, w.stamp, w.reportSeq = r.Incarnation, r.Stamp, r.Seq
	c.setReportedCapacity(w, r.Room)
	c.applyTaskReports(w, h, r)
	w.fire(workerEventReport)
	if becameLive {
		c.requeueHeld()
	}
	c.updateRoom(w)
}

// setReportedCapacity sets the worker's capacity to the smaller of the listed and
// the reported capacity in each dimension.
func (c *Cell) setReportedCapacity(w *Worker, reported core.Resources) {
	capacity := core.Resources{
		Cores:  min(w.vm.Capacity.Cores, reported.Cores),
		Memory: min(w.vm.Capacity.Memory, reported.Memory),
		Accel:  min(w.vm.Capacity.Accel, reported.Accel),
	}
	w.free = w.free.Add(capacity.Sub(w.capacity))
	w.capacity = capacity
}

// applyTaskReports updates the tasks of a worker from its report.
func (c *Cell) applyTaskReports(w *Worker, h Heartbeat, r Report) {
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
	c.handleUnreported(w, h, seen, r.Full)
}

// handleUnreported ends the runs of the tasks that a worker's report omits, because
// the worker does not run them. Exceptions are tasks whose start or stop order the
// heartbeat did not carry yet, and running tasks if the report is partial.
func (c *Cell) handleUnreported(w *Worker, h Heartbeat, seen core.Set[core.TaskID], full bool) {
	startsSent := core.NewSet[core.TaskID]()
	for i := range h.Starts {
		startsSent.Add(h.Starts[i].Task)
	}
	for _, t := range w.sortedTasks() {
		id := t.ID()
		if seen.Has(id) {
			continue
		}
		if t.state == taskStateStarting && !startsSent.Has(id) {
			continue
		}
		if !full && t.state == taskStateRunning {
			continue
		}
		if (t.state == taskStateStopping || t.state == taskStateYielding) && !w.stopRequested(h, id) {
			w.markOrdersChanged()
			continue
		}
		t.pendingOutcome = ""
		t.fire(taskEventLapse)
	}
}

// overcommitted reports whether the allocations on a worker exceed its capacity.
func (w *Worker) overcommitted() bool {
	return w.free.Cores < 0 || w.free.Memory < 0 || w.free.Accel < 0
}

// stopRequested reports whether a heartbeat ordered the worker to end a task.
func (w *Worker) stopRequested(h Heartbeat, id core.TaskID) bool {
	for i := range h.Stops {
		if h.Stops[i].Task == id && h.Stops[i].Kind != StopThrottle {
			return true
		}
	}
	return false
}

// applyTaskReport updates one task from a worker's report.
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
		// Neither a stop after a checkpoint nor one on an expired lease counts as a
		// failure of the task.
		t.pendingOutcome, t.ackWorker = Cancelled, w
		if r.State == TaskCheckpointed {
			t.checkpointed += r.Elapsed
		}
		t.fire(taskEventFail)
		w.acknowledgeUnlessFinal(t, r)
	case TaskRefused:
		t.fire(taskEventRefused)
		w.acknowledgeUnlessFinal(t, r)
	}
}

// acknowledgeUnlessFinal acknowledges the end of a run that has not ended its task. A
// final outcome is acknowledged once it is stored.
func (w *Worker) acknowledgeUnlessFinal(t *Task, r *TaskReport) {
	if t.outcome == "" {
		w.acks = append(w.acks, Ack{r.Task, r.Run})
	}
}

// matchesRun reports whether a worker's report applies to the task. For a
// placed task, the report must come from the task's worker and be about its
// current run. A queued task accepts only a report that it is done, from a
// worker whose lease had expired. A held task accepts any report, as an earlier
// owner started the run.
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

// handleRunning handles a report that a task runs.
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

// updateAllocation sets a task's allocation to the larger of its declared need
// and its measured use, so that no more tasks are placed on its worker than fit.
func (c *Cell) updateAllocation(t *Task, used core.Resources) {
	if t.worker == nil {
		return
	}
	need := t.spec().Need
	allocated := need.Max(used)
	if allocated == t.allocated {
		return
	}
	c.allocate(t.worker, t.job.Spec.Team, allocated.Sub(t.allocated))
	t.allocated = allocated
	if t.worker.overcommitted() {
		t.worker.markOrdersChanged()
	}
}

// handleOrphanReport handles a report of a run that is not the current run of a
// task on this worker. It stops the run if it is running. Otherwise it acknowledges
// the run, unless the outcome of the task is not stored yet.
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

// removeOrphan frees the room of an orphaned run that has ended.
func (c *Cell) removeOrphan(w *Worker, id core.TaskID) {
	if o, ok := w.orphans[id]; ok {
		delete(w.orphans, id)
		c.deallocate(w, o.team, o.need)
	}
}

// handleFailure handles a failed run. The task is not placed on the same worker
// again unless it has failed on all workers. A final failure is acknowledged only
// once it is stored.
func (c *Cell) handleFailure(w *Worker, t *Task) {
	t.pendingOutcome, t.ackWorker = Failed, w
	t.failures++
	if t.failedOn == nil {
		t.failedOn = core.NewSet[core.WorkerID]()
	}
	t.failedOn.Add(w.id)
	retry := t.failures < maxTaskFailures
	t.fire(taskEventFail)
	if retry {
		w.acks = append(w.acks, Ack{t.ID(), t.run})
	}
}

// updateHealth counts consecutive failed runs on a worker; a worker that reaches
// maxConsecutiveFailures is set aside. Until a task of a job has succeeded, the job
// itself may be faulty, so consecutive failures of its tasks count only once per
// worker.
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
