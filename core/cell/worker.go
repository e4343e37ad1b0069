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
	// maxConsecutiveFailures is how many tasks in a row must fail on a worker before it is
	// set aside.
	maxConsecutiveFailures = 3
	// minProbeDelay is how long a worker stays aside before its first trial; it
	// doubles with each failed trial up to probeMost.
	minProbeDelay = 10 * time.Second
	maxProbeDelay = 10 * time.Minute
)

// The charts and their names are bound in init, as the actions use them in
// turn.
var (
	workerChart, healthChart *chart.Machine[*Worker]

	workerEventReport, workerEventMiss, workerEventExpire, workerEventVanish, healthEventDone, healthEventFail, healthEventProbe chart.Event
	workerStateNew, workerStateLive, workerStateGone, workerStateLapsed, healthStateGood, healthStateAside, healthStateTrial     chart.State
)

func init() {
	workerChart = chart.Must(chart.Load(workerChartText, nil, map[string]chart.Action[*Worker]{
		"open":    (*Worker).offerRoom,
		"shut":    (*Worker).withdrawRoom,
		"requeue": (*Worker).requeueTasks,
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
		"streak": func(w *Worker) bool { return w.consecutiveFailures >= maxConsecutiveFailures },
	}, map[string]chart.Action[*Worker]{
		"exclude": (*Worker).exclude,
		"include": (*Worker).include,
		"trust":   func(w *Worker) { w.consecutiveFailures, w.probeDelay = 0, 0 },
	}))
	healthEventDone = healthChart.Event("done")
	healthEventFail = healthChart.Event("fail")
	healthEventProbe = healthChart.Event("probe")
	healthStateGood = healthChart.State("good")
	healthStateAside = healthChart.State("aside")
	healthStateTrial = healthChart.State("trial")
}

type orphanedRun struct {
	team core.Team
	need core.Resources
}

// Worker is one worker VM as its cell's owner sees it.
type Worker struct {
	vm     core.VM
	id     core.WorkerID
	cell   *Cell
	state  chart.State
	health chart.State
	// room is the smaller of the listed and the reported room.
	room core.Resources
	// free is room less that of tasks and orphans; a worker that has
	// shrunk may have a negative one.
	free core.Resources
	// stamp is the newest one received; the worker's lease ends a lease time
	// after it made the stamp, whatever message brings it back.
	stamp string
	// lastReportAt is when the newest report was received; the lease counts from it.
	lastReportAt time.Time
	// incarnation is the worker's incarnation; seq and stamp belong to it.
	incarnation string
	// reportSeq is that of the newest report; older ones are passed over.
	reportSeq uint64
	// retryAt is when a worker that missed a contact is contacted again.
	retryAt time.Time
	// pollInFlight is set while a contact waits at the worker for news, pushing
	// while one that brings orders is in flight.
	pollInFlight, pushInFlight bool
	// inSendQueue is set while the worker is on the list of those to be contacted.
	inSendQueue bool
	// hasNewOrders is set while the worker has not been told the newest orders.
	hasNewOrders bool
	tasks        map[core.TaskID]*Task
	// orphans run on the worker but do not belong there; they are being
	// stopped and take room until they are gone.
	orphans map[core.TaskID]orphanedRun
	// acks are ended tasks whose end is recorded, so that the worker may
	// forget them.
	acks                []Ack
	consecutiveFailures int
	lastFailedJob       core.JobID
	probeDelay          time.Duration
	leaving             bool
	nextProbe           time.Time
}

func (w *Worker) fire(ev chart.Event) { w.cell.recordRefused(workerChart.Fire(&w.state, ev, w)) }

func (w *Worker) offerRoom() { w.cell.updateRoom(w) }

// withdrawRoom keeps new tasks off the worker.
func (w *Worker) withdrawRoom() { w.cell.roomIndex.Drop(w.id) }

// requeueTasks frees all tasks of a worker whose lease has surely ended.
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

func (w *Worker) exclude() {
	w.probeDelay = min(max(2*w.probeDelay, minProbeDelay), maxProbeDelay)
	w.nextProbe = w.cell.now.Add(w.probeDelay)
	w.cell.roomIndex.Drop(w.id)
}

func (w *Worker) include() { w.cell.updateRoom(w) }

// markOrdersChanged has the worker contacted with new orders.
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

// leaseEnd returns when the worker's lease has surely ended.
func (w *Worker) leaseEnd() time.Time {
	ttl := w.cell.workerTTL
	return w.lastReportAt.Add(ttl + ttl*lease.DriftPercent/100)
}

// sortedTasks returns the worker's tasks in a fixed order, so that a run can be
// replayed.
func (w *Worker) sortedTasks() []*Task {
	out := make([]*Task, 0, len(w.tasks))
	for _, t := range w.tasks {
		out = append(out, t)
	}
	sortTasks(out)
	return out
}
