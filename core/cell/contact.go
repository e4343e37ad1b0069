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
	StopNow   StopKind = "now"
	StopSaved StopKind = "saved"
	StopSlow  StopKind = "slow"
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
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskSaved   TaskState = "saved"
	TaskStopped TaskState = "stopped"
	TaskRefused TaskState = "refused"
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
	ready := c.ready
	c.ready = nil
	for _, w := range ready {
		w.listed = false
		if w.state == workerGone || !w.vm.Addr.IsValid() || now.Before(w.due) {
			continue
		}
		if w.dirty && !w.pushing && w.stamp != "" {
			w.pushing, w.dirty = true, false
			out = append(out, c.contact(w, 0))
		}
		if !w.watching {
			w.watching = true
			wait := c.workerTTL / watchPart
			if w.stamp == "" {
				wait = 0
			}
			out = append(out, c.contact(w, wait))
		}
	}
	return out
}

// wake puts a worker on the list of those to be contacted.
func (c *Cell) wake(w *Worker) {
	if !w.listed {
		w.listed = true
		c.ready = append(c.ready, w)
	}
}

func (c *Cell) contact(w *Worker, wait time.Duration) Heartbeat {
	c.orders++
	k := Heartbeat{
		Worker: w.id, Addr: w.vm.Addr, Cell: c.id, Epoch: c.epoch, Order: c.orders, Stamp: w.stamp,
		TTL: c.workerTTL, Incarnation: w.born, After: w.seq, Wait: wait, Acks: w.acks,
	}
	w.acks = nil
	for _, t := range w.sorted() {
		switch t.state {
		case taskStarting:
			s := t.spec()
			k.Starts = append(k.Starts, Start{t.ID(), t.try, t.job.Spec.Team, s.Need, s.Estimate, s.Command, t.saved})
		case taskStopping:
			k.Stops = append(k.Stops, Stop{t.ID(), StopNow})
		case taskYielding:
			k.Stops = append(k.Stops, Stop{t.ID(), StopSaved})
		case taskRunning:
			if w.overfull() && t.charge != t.spec().Need {
				k.Stops = append(k.Stops, Stop{t.ID(), StopSlow})
			}
		}
	}
	for id := range w.orphans {
		k.Stops = append(k.Stops, Stop{id, StopNow})
	}
	sort.Slice(k.Stops, func(i, j int) bool { return lessTask(k.Stops[i].Task, k.Stops[j].Task) })
	return k
}

// HeartbeatFailed follows a contact without an answer.
func (c *Cell) HeartbeatFailed(now time.Time, k Heartbeat) {
	c.now = now
	w := c.workers[k.Worker]
	if w == nil {
		return
	}
	c.landed(w, k)
	w.acks = append(w.acks, k.Acks...)
	w.dirty = true
	w.due = now.Add(c.workerTTL / retryPart)
	w.fire(workerMiss)
}

func (c *Cell) landed(w *Worker, k Heartbeat) {
	c.wake(w)
	if k.Wait > 0 || k.Stamp == "" {
		w.watching = false
		return
	}
	w.pushing = false
}

// Report follows a worker's answer.
func (c *Cell) Report(now time.Time, k Heartbeat, r Report) {
	c.now = now
	w := c.workers[k.Worker]
	if w == nil || w.state == workerGone {
		return
	}
	c.landed(w, k)
	w.heard, w.due = now, time.Time{}
	if w.born == r.Incarnation && r.Seq < w.seq {
		return
	}
	if w.born != r.Incarnation && !r.Full {
		// What has changed since another incarnation says nothing.
		w.born, w.seq, w.stamp = "", 0, ""
		return
	}
	first := w.state != workerLive
	w.born, w.stamp, w.seq = r.Incarnation, r.Stamp, r.Seq
	c.resize(w, r.Room)
	c.readTasks(w, k, r)
	w.fire(workerReport)
	if first {
		c.clearHeld()
	}
	c.index(w)
}

// resize takes the smaller of the listed and the reported room.
func (c *Cell) resize(w *Worker, room core.Resources) {
	least := core.Resources{
		Cores:  min(w.vm.Room.Cores, room.Cores),
		Memory: min(w.vm.Room.Memory, room.Memory),
		Accel:  min(w.vm.Room.Accel, room.Accel),
	}
	w.free = w.free.Add(least.Sub(w.room))
	w.room = least
}

func (c *Cell) readTasks(w *Worker, k Heartbeat, r Report) {
	seen := core.NewSet[core.TaskID]()
	for i := range r.Tasks {
		seen.Add(r.Tasks[i].Task)
		c.readTask(w, &r.Tasks[i])
	}
	for id := range w.orphans {
		if r.Full && !seen.Has(id) {
			c.dropOrphan(w, id)
		}
	}
	c.readMissing(w, k, seen, r.Full)
}

// readMissing follows tasks that the worker does not report: it has lost them,
// unless their start is still on its way.
func (c *Cell) readMissing(w *Worker, k Heartbeat, seen core.Set[core.TaskID], full bool) {
	asked := core.NewSet[core.TaskID]()
	for i := range k.Starts {
		asked.Add(k.Starts[i].Task)
	}
	for _, t := range w.sorted() {
		id := t.ID()
		if seen.Has(id) {
			continue
		}
		if t.state == taskStarting && !asked.Has(id) {
			continue
		}
		if !full && t.state == taskRunning {
			continue
		}
		if (t.state == taskStopping || t.state == taskYielding) && !w.told(k, id) {
			w.touch()
			continue
		}
		t.result = ""
		t.fire(taskLapse)
	}
}

// overfull reports whether tasks use more than the worker has.
func (w *Worker) overfull() bool {
	return w.free.Cores < 0 || w.free.Memory < 0 || w.free.Accel < 0
}

// told reports whether a contact has asked the worker to end a task.
func (w *Worker) told(k Heartbeat, id core.TaskID) bool {
	for i := range k.Stops {
		if k.Stops[i].Task == id && k.Stops[i].How != StopSlow {
			return true
		}
	}
	return false
}

func (c *Cell) readTask(w *Worker, r *TaskReport) {
	t := c.task(r.Task)
	if t == nil || t.outcome != "" || !t.concerns(w, r) {
		c.readStray(w, t, r)
		return
	}
	t.next, t.try = w, r.Run
	switch r.State {
	case TaskRunning:
		c.readRunning(t)
		c.recharge(t, r.Used)
	case TaskDone:
		c.learn(t, r.Elapsed)
		t.result, t.endedOn = Done, w
		t.fire(taskDone)
		c.judge(w, t, healthDone)
	case TaskFailed:
		c.failed(w, t)
		c.judge(w, t, healthFail)
	case TaskSaved, TaskStopped:
		// A checkpoint is not a failure; nor is the end of a lapsed lease.
		t.result, t.endedOn = Cancelled, w
		if r.State == TaskSaved {
			t.saved += r.Elapsed
		}
		t.fire(taskFail)
		w.acks = append(w.acks, Ack{r.Task, r.Run})
	case TaskRefused:
		t.fire(taskRefused)
		w.acks = append(w.acks, Ack{r.Task, r.Run})
	}
}

// concerns reports whether a worker's report is about the task's present run:
// the one placed there, one of an earlier owner, or one that has ended well on
// a worker whose lease had lapsed.
func (t *Task) concerns(w *Worker, r *TaskReport) bool {
	switch {
	case t.worker != nil:
		return t.worker == w && t.try == r.Run
	case t.state == taskQueued:
		return r.State == TaskDone
	default:
		return true
	}
}

func (c *Cell) readRunning(t *Task) {
	if t.worker == nil && !c.held.Has(t) {
		return
	}
	if t.started.IsZero() {
		t.started = c.now
		if t.job.firstStart.IsZero() {
			t.job.firstStart = c.now
		}
		c.waits = append(c.waits, Wait{t.job.Spec.Queue, t.job.Spec.Team, c.now.Round(0).Sub(t.job.Spec.Submitted)})
	}
	t.fire(taskFound)
}

// recharge follows what a task is seen to use: a task that takes more than it
// declared is charged for it, so that its worker is given no more work than it
// has room for.
func (c *Cell) recharge(t *Task, used core.Resources) {
	if t.worker == nil {
		return
	}
	need := t.spec().Need
	charge := need.Max(used)
	if charge == t.charge {
		return
	}
	c.take(t.worker, t.job.Spec.Team, charge.Sub(t.charge))
	t.charge = charge
	if t.worker.overfull() {
		t.worker.touch()
	}
}

// readStray follows a report of a task that does not belong on the worker.
func (c *Cell) readStray(w *Worker, t *Task, r *TaskReport) {
	if r.State != TaskRunning {
		c.dropOrphan(w, r.Task)
		if t == nil || t.recorded || t.outcome == "" {
			w.acks = append(w.acks, Ack{r.Task, r.Run})
		}
		return
	}
	if _, ok := w.orphans[r.Task]; !ok {
		w.orphans[r.Task] = orphan{r.Team, r.Need}
		c.take(w, r.Team, r.Need)
		w.touch()
	}
}

// dropOrphan frees the room of a stray task that has ended.
func (c *Cell) dropOrphan(w *Worker, id core.TaskID) {
	if o, ok := w.orphans[id]; ok {
		delete(w.orphans, id)
		c.give(w, o.team, o.need)
	}
}

func (c *Cell) failed(w *Worker, t *Task) {
	t.result, t.endedOn = Failed, w
	t.tries++
	if t.avoid == nil {
		t.avoid = core.NewSet[core.WorkerID]()
	}
	t.avoid.Add(w.id)
	again := t.tries < maxTries
	t.fire(taskFail)
	if again {
		w.acks = append(w.acks, Ack{t.ID(), t.try})
	}
}

// judge counts failures in a row; a worker that fails all it starts is set
// aside. A job that has never succeeded is held against a worker only once.
func (c *Cell) judge(w *Worker, t *Task, ev chart.Event) {
	if ev == healthFail {
		if t.job.succeeded || w.blamed != t.job.Spec.ID {
			w.fails++
		}
		w.blamed = t.job.Spec.ID
	} else {
		w.fails = 0
		t.job.succeeded = true
	}
	c.note(healthChart.Fire(&w.health, ev, w))
}
