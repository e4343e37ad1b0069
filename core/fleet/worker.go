package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryturn/core"
	"chicoryturn/core/chart"
	"chicoryturn/core/jobs"
)

const (
	// minClockRate is the least rate of a worker's clock; the platform allows
	// clocks that are 2 % slow.
	minClockRate = 0.98
	// leaseSlack is added to a lease before it counts as ended, for rounding on
	// both sides.
	leaseSlack = 50 * time.Millisecond
	// goneDelay is how long an entry must be missing from the platform's list
	// before it counts as gone: entries that lapse while the store is away are
	// back within 2 s of its return.
	goneDelay = 2500 * time.Millisecond
	// drainMargin is how much earlier than the platform's bound of silence an entry
	// must have gone to show that its worker has left.
	drainMargin = 1500 * time.Millisecond
	// maxListGap is the longest pause between two readings of the list that still
	// shows that an entry was missing all the while.
	maxListGap = 1500 * time.Millisecond
	// maxFailedInRow is how many runs must fail on a worker in a row before it is
	// set aside.
	maxFailedInRow = 3
	// minAside and asideMost bound the time for which a worker that fails
	// what it starts is set aside; the time doubles.
	minAside = 1 * time.Second
	maxAside = 8 * time.Second
)

// WorkerInfo is a worker as the platform lists it.
type WorkerInfo struct {
	core.VM
	Labels []string
	// LeavesIn is the least time until a leaving worker is gone.
	LeavesIn time.Duration `json:"Left"`
	// Incarnation marks the incarnation, as far as the list tells.
	Incarnation time.Time `json:"Born"`
	// Renewals changes whenever the worker renews its entry.
	Renewals uint64 `json:"Beat"`
}

// ID returns the worker's name.
func (h WorkerInfo) ID() core.WorkerID { return core.WorkerID(h.Name) }

// orphanedRun is a run that holds room on a worker but is not what the board wants
// there.
type orphanedRun struct {
	task     jobs.TaskID
	run      uint64
	reserved core.Resources
	team     core.Team
	// stopSentAt is when its stop was last ordered, stopped when the worker has
	// answered one.
	stopSentAt, stopAckedAt time.Time
}

// Worker is a worker VM as the owner knows it.
type Worker struct {
	id        core.WorkerID
	scheduler *Scheduler
	// nameHash is a hash of the name.
	nameHash uint64
	state    chart.State
	info     WorkerInfo
	// inRoster is set once the worker is in the roster that a later owner reads.
	inRoster bool
	// listed is set while the platform lists the worker, missing since when it
	// does not.
	listed       bool
	missingSince time.Time
	// renewedAt is when the entry was first seen as it was last listed.
	renewedAt time.Time
	// free is the room less what the tasks and strays hold.
	free    core.Resources
	tasks   map[jobs.TaskID]*Task
	orphans []orphanedRun
	// unknownRuns are runs of jobs that the board has not read yet; nothing is placed
	// on the worker meanwhile.
	unknownRuns map[jobs.TaskID]uint64
	// blockedSince is since when an end of an unknown job keeps later ends from being
	// taken in; zero if none does.
	blockedSince time.Time

	// clock is the worker's clock as of its last answer, which came at heard.
	clock       time.Duration
	answeredAt  time.Time
	incarnation time.Time
	// leaseUntil is the latest lease ever sent, on the worker's clock.
	leaseUntil time.Duration

	// heartbeatInFlight is set while a hold is in flight, asked is when it was sent.
	heartbeatInFlight bool
	heartbeatSentAt   time.Time
	// nextHeartbeat is when a worker that has missed a contact is asked again.
	nextHeartbeat time.Time
	// takenEnd is the newest end taken in, seen the newest one acknowledged;
	// those up to taken may be acknowledged once the change numbered after is
	// in the store.
	takenEnd, ackedEnd uint64
	ackableSeq         uint64

	// slowness is the mean logarithm of the run times here over those predicted.
	slowness float64
	// failedInRow counts the runs that have failed since one ended well.
	failedInRow int
	asideUntil  time.Time
	asidePeriod time.Duration
}

func (w *Worker) fire(ev chart.Event) { w.scheduler.addRefusal(workerChart.Fire(&w.state, ev, w)) }

// SetWorkers follows a new list of the platform.
func (b *Scheduler) SetWorkers(now time.Time, hosts []WorkerInfo) {
	b.now = now
	listed := map[core.WorkerID]bool{}
	for _, h := range hosts {
		id := h.ID()
		listed[id] = true
		w := b.workers[id]
		if w == nil {
			w = b.addWorker(id, h)
		}
		w.updateInfo(h)
	}
	for _, w := range slices.Clone(b.sortedWorkers) {
		if !listed[w.id] {
			w.handleUnlisted()
		}
	}
	b.listedAt = now
	b.removeGone()
	b.resolveRecovered()
	b.needsPlacement = true
}

// Recover adds the workers that an earlier owner may have used. Absent tells
// since when the platform has not listed a worker, as far as this process has
// seen.
func (b *Scheduler) Recover(hosts []WorkerInfo, absent map[core.WorkerID]time.Time) {
	for _, h := range hosts {
		if b.workers[h.ID()] == nil {
			b.addWorker(h.ID(), h).missingSince = absent[h.ID()]
		}
	}
}

// RosterVersion changes whenever the roster does.
func (b *Scheduler) RosterVersion() uint64 { return b.rosterVersion }

// Roster returns the workers that a later owner must hear of before it starts
// older tasks.
func (b *Scheduler) Roster() []WorkerInfo {
	out := make([]WorkerInfo, 0, len(b.sortedWorkers))
	for _, w := range b.sortedWorkers {
		out = append(out, w.info)
	}
	return out
}

// RosterStored tells which incarnations of workers are in the recorded roster. Tasks
// are placed on no other: an owner that has been replaced unawares can record
// nothing, and so uses no worker that its successor does not know.
func (b *Scheduler) RosterStored(roster []WorkerInfo) {
	known := make(map[core.WorkerID]time.Time, len(roster))
	for _, h := range roster {
		known[h.ID()] = h.Incarnation
	}
	for _, w := range b.sortedWorkers {
		born, ok := known[w.id]
		w.inRoster = ok && born.Equal(w.info.Incarnation)
	}
	b.needsPlacement = true
}

func (b *Scheduler) addWorker(id core.WorkerID, h WorkerInfo) *Worker {
	w := &Worker{id: id, scheduler: b, nameHash: xxhash.Sum64String(string(id)), state: workerChart.Start(), info: h, free: h.Room, tasks: map[jobs.TaskID]*Task{}}
	b.workers[id] = w
	b.rosterVersion++
	i, _ := slices.BinarySearchFunc(b.sortedWorkers, id, func(o *Worker, id core.WorkerID) int { return cmp.Compare(o.id, id) })
	b.sortedWorkers = slices.Insert(b.sortedWorkers, i, w)
	// A port is bound by one process at a time: another worker at the same
	// address is over.
	for _, o := range b.sortedWorkers {
		if o != w && o.info.Addr == h.Addr && !o.listed {
			o.fire(workerVanish)
		}
	}
	return w
}

func (w *Worker) updateInfo(h WorkerInfo) {
	if h.Renewals != w.info.Renewals {
		w.renewedAt = w.scheduler.now
	}
	w.listed, w.missingSince = true, time.Time{}
	if h.Room != w.info.Room {
		w.free = w.free.Add(h.Room).Sub(w.info.Room)
	}
	if w.incarnation.IsZero() {
		w.setListedIncarnation(h.Incarnation)
	}
	// What the worker itself says of its incarnation is newer than the list.
	h.Incarnation = w.info.Incarnation
	w.info = h
}

// handleUnlisted follows a list that does not name the worker. One that still answers
// runs on. One that does not is gone at once if it has left by plan or if
// nothing ran there, else once its lease has surely ended. The platform drops an
// entry after some silence, and that much of the lease of a worker that this
// owner has never heard has passed.
func (w *Worker) handleUnlisted() {
	b := w.scheduler
	w.listed = false
	if w.missingSince.IsZero() || !b.listedAt.IsZero() && b.now.Sub(b.listedAt) > maxListGap {
		w.missingSince = b.now
	}
	gone := b.now.Sub(w.missingSince)
	left := time.Duration(float64(b.limits.Lease)/minClockRate) - b.limits.ListTimeout
	switch {
	case w.hasDrained():
	case gone < goneDelay:
		return
	case w.state == workerSilent && w.hasNoRuns():
	case w.state == workerLapsed:
	case w.state == workerFresh && gone >= left:
	default:
		return
	}
	w.fire(workerVanish)
}

// hasDrained reports whether the entry went because the worker has left: it was
// leaving, and its entry was renewed too lately to have been dropped for
// silence.
func (w *Worker) hasDrained() bool {
	b := w.scheduler
	return w.info.Leaving && !w.renewedAt.IsZero() && b.now.Sub(w.renewedAt) < b.limits.ListTimeout-drainMargin
}

// hasNoRuns reports whether nothing runs on the worker, nor may begin to.
func (w *Worker) hasNoRuns() bool {
	return len(w.tasks) == 0 && len(w.orphans) == 0 && len(w.unknownRuns) == 0 && w.blockedSince.IsZero() && w.ackedEnd == w.takenEnd
}

func (b *Scheduler) removeGone() {
	b.sortedWorkers = slices.DeleteFunc(b.sortedWorkers, func(w *Worker) bool {
		if w.state == workerGone {
			delete(b.workers, w.id)
			b.rosterVersion++
		}
		return w.state == workerGone
	})
}

// endRuns follows the end of all that ran on the worker.
func (w *Worker) endRuns() {
	w.scheduler.counts.Lapses++
	for _, t := range w.sortedTasks() {
		w.scheduler.logDecision(Decision{Job: t.phase.id.Job, Event: "lost with its worker", Worker: w.id, Task: t.ID().String(), Run: t.run, Reason: workerChart.Name(w.state)})
		t.fire(taskCut)
	}
	for _, s := range w.orphans {
		w.releaseOrphan(s)
	}
	w.orphans = nil
	w.unknownRuns, w.blockedSince = nil, time.Time{}
}

func (w *Worker) sortedTasks() []*Task {
	out := make([]*Task, 0, len(w.tasks))
	for _, t := range w.tasks {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *Task) int { return cmp.Compare(a.ID().String(), b.ID().String()) })
	return out
}

func (w *Worker) addOrphan(s orphanedRun) {
	w.orphans = append(w.orphans, s)
	w.free = w.free.Sub(s.reserved)
	w.scheduler.chargeTeam(s.team, s.reserved)
	w.stopOrphan(len(w.orphans) - 1)
}

func (w *Worker) releaseOrphan(s orphanedRun) {
	w.free = w.free.Add(s.reserved)
	w.scheduler.creditTeam(s.team, s.reserved)
}

func (w *Worker) stopOrphan(i int) {
	s := &w.orphans[i]
	s.stopSentAt = w.scheduler.now
	w.scheduler.counts.Stops++
	w.scheduler.addOrder(Order{Kind: OrderStop, Worker: w.id, Task: s.task, Run: s.run})
}

// extendLease returns the end of a full lease from now on, on the worker's clock,
// and remembers it as sent.
func (w *Worker) extendLease() time.Duration {
	if w.answeredAt.IsZero() {
		return 0
	}
	until := w.clock + w.scheduler.now.Sub(w.answeredAt) + w.scheduler.limits.Lease
	w.leaseUntil = max(w.leaseUntil, until)
	return until
}

// leaseLapsed reports whether everything on the worker has surely ended, however
// slow its clock is.
func (w *Worker) leaseLapsed(now time.Time) bool {
	if w.answeredAt.IsZero() {
		return false
	}
	least := w.clock + time.Duration(float64(now.Sub(w.answeredAt))*minClockRate)
	return least > w.leaseUntil+leaseSlack
}

// usable reports whether tasks may be placed on the worker.
func (w *Worker) usable() bool {
	return w.state == workerLive && w.listed && w.inRoster && !w.info.Leaving && len(w.unknownRuns) == 0 && !w.scheduler.now.Before(w.asideUntil)
}
