package cell

import (
	_ "embed"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/chart"
	"chicoryturn/core/lease"
)

//go:embed worker.toml
var workerChartText []byte

//go:embed health.toml
var healthChartText []byte

const (
	// maxConsecutiveFailures is the number of consecutive failed runs after
	// which a worker is set aside (health state aside).
	maxConsecutiveFailures = 3
	// minProbeDelay is how long a worker is set aside before its first trial.
	// The delay doubles with each failed trial up to maxProbeDelay.
	minProbeDelay = 10 * time.Second
	maxProbeDelay = 10 * time.Minute
)

// The charts, events and states are set in init. The actions use them, so that
// initializers here would form an initialization cycle.
var (
	workerChart, healthChart *chart.Machine[*Worker]

	workerEventReport, workerEventMiss, workerEventExpire, workerEventVanish,
	healthEventDone, healthEventFail, healthEventProbe chart.Event

	workerStateNew, workerStateLive, workerStateGone, workerStateLapsed,
	healthStateGood, healthStateAside, healthStateTrial chart.State
)

func init() {
	workerChart = chart.Must(chart.Load(workerChartText, nil, map[string]chart.Action[*Worker]{
		"offer":    (*Worker).offerRoom,
		"withdraw": (*Worker).withdrawRoom,
		"requeue":  (*Worker).requeueTasks,
	}))
	workerEventReport = workerChart.Event("report")
	workerEventMiss = workerChart.Event("miss")
	workerEventExpire = workerChart.Event("expire")
	workerEventVanish = workerChart.Event("vanish")
	workerStateNew = workerChart.State("new")
	workerStateLive = workerChart.State("live")
	workerStateGone = workerChart.State("gone")
	workerStateLapsed = workerChart.State("lapsed")

	healthChart = chart.Must(chart.Load(healthChartText, map[string]chart.Guard[*Worker]{
		"failing": func(w *Worker) bool { return w.consecutiveFailures >= maxConsecutiveFailures },
	}, map[string]chart.Action[*Worker]{
		"aside":   (*Worker).setAside,
		"readmit": (*Worker).readmit,
		"reset":   func(w *Worker) { w.consecutiveFailures, w.probeDelay = 0, 0 },
	}))
	healthEventDone = healthChart.Event("done")
	healthEventFail = healthChart.Event("fail")
	healthEventProbe = healthChart.Event("probe")
	healthStateGood = healthChart.State("good")
	healthStateAside = healthChart.State("aside")
	healthStateTrial = healthChart.State("trial")
}

// orphanedRun is a run that a worker reports although it is not the current run of
// a task on that worker. It is being stopped.
type orphanedRun struct {
	team core.Team
	need core.Resources
}

// Worker is one worker VM, as the owner of its cell sees it.
type Worker struct {
	vm     core.VM
	id     core.WorkerID
	cell   *Cell
	state  chart.State
	health chart.State
	// capacity is the smaller of the listed and the reported capacity in each
	// dimension.
	capacity core.Resources
	// free is the worker's room: capacity minus the allocations of tasks and
	// orphaned runs. It is negative if the capacity has shrunk below them or tasks
	// use more than they declared.
	free core.Resources
	// stamp is the newest stamp received from the worker. A heartbeat that carries
	// it renews the lease, counted from the time at which the worker issued it.
	stamp string
	// lastReportAt is when the newest report was received. The owner counts the
	// worker's lease from it.
	lastReportAt time.Time
	// incarnation is the worker's incarnation; reportSeq and stamp are valid
	// only within it.
	incarnation string
	// reportSeq is the sequence number of the newest report; older reports are
	// ignored.
	reportSeq uint64
	// retryAt is when a worker that missed a heartbeat is sent the next one.
	retryAt time.Time
	// pollInFlight is set while a long poll is in flight, and pushInFlight
	// while a heartbeat that delivers new orders is.
	pollInFlight, pushInFlight bool
	// inSendQueue is set while the worker is in the cell's send queue.
	inSendQueue bool
	// hasNewOrders is set while the newest orders have not been sent.
	hasNewOrders bool
	tasks        map[core.TaskID]*Task
	// orphans are the orphaned runs. They take room until they have ended.
	orphans map[core.TaskID]orphanedRun
	// acks are the ended runs to acknowledge in the next heartbeat, so that the
	// worker may stop reporting them.
	acks []Ack
	// consecutiveFailures is the number of failed runs since the last success, as
	// counted by updateHealth.
	consecutiveFailures int
	// lastFailedJob is the job of the newest failed run.
	lastFailedJob core.JobID
	// probeDelay is how long the worker was last set aside, or zero after a
	// success.
	probeDelay time.Duration
	// leaving is set when the platform is about to remove the VM.
	leaving bool
	// nextProbe is when the next trial starts.
	nextProbe time.Time
}

func (w *Worker) fire(ev chart.Event) { w.cell.recordRefused(workerChart.Fire(&w.state, ev, w)) }

// offerRoom makes the worker's room available to placement.
func (w *Worker) offerRoom() { w.cell.updateRoom(w) }

// withdrawRoom stops the placement of tasks on the worker.
func (w *Worker) withdrawRoom() { w.cell.roomIndex.Remove(w.id) }

// requeueTasks ends all runs on a worker whose lease has certainly ended and
// queues their tasks again.
func (w *Worker) requeueTasks() {
	for _, t := range w.sortedTasks() {
		w.cell.counts.Lapses++
		t.fire(taskEventLapse)
	}
	for id, o := range w.orphans {
		delete(w.orphans, id)
		w.cell.deallocate(w, o.team, o.need)
	}
	w.acks = nil
	w.cell.requeueHeld()
}

// setAside sets the worker aside: no task is placed on it until its next trial.
func (w *Worker) setAside() {
	w.probeDelay = min(max(2*w.probeDelay, minProbeDelay), maxProbeDelay)
	w.nextProbe = w.cell.now.Add(w.probeDelay)
	w.cell.roomIndex.Remove(w.id)
}

// readmit makes the worker's room available to placement again.
func (w *Worker) readmit() { w.cell.updateRoom(w) }

// markOrdersChanged requests a heartbeat that delivers the worker's new orders at
// once, even while a long poll is in flight.
func (w *Worker) markOrdersChanged() {
	w.hasNewOrders = true
	w.cell.queueHeartbeat(w)
}

// usable reports whether new tasks may be placed on the worker.
func (w *Worker) usable() bool {
	if w.state != workerStateLive || w.leaving {
		return false
	}
	switch w.health {
	case healthStateGood:
		return true
	case healthStateTrial:
		return len(w.tasks) == 0
	default:
		return false
	}
}

// leaseEnd returns when the worker's lease has certainly ended, with allowance
// for clock drift.
func (w *Worker) leaseEnd() time.Time {
	ttl := w.cell.workerTTL
	return w.lastReportAt.Add(ttl + ttl*lease.DriftPercent/100)
}

// sortedTasks returns the worker's tasks in a fixed order, so that decisions
// are reproducible.
func (w *Worker) sortedTasks() []*Task {
	out := make([]*Task, 0, len(w.tasks))
	for _, t := range w.tasks {
		out = append(out, t)
	}
	sortTasks(out)
	return out
}
