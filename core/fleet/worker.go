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
	// slowestClock is the least rate of a worker's clock; the platform allows
	// clocks that are 2 % slow.
	slowestClock = 0.98
	// lapseSlack is added to a lease before it counts as ended, for rounding on
	// both sides.
	lapseSlack = 50 * time.Millisecond
	// vanishWait is how long an entry must be missing from the platform's list
	// before it counts as gone: entries that lapse while the store is away are
	// back within 2 s of its return.
	vanishWait = 2500 * time.Millisecond
	// leftMargin is how much earlier than the platform's bound of silence an entry
	// must have gone to show that its worker has left.
	leftMargin = 1500 * time.Millisecond
	// listGap is the longest pause between two readings of the list that still
	// shows that an entry was missing all the while.
	listGap = 1500 * time.Millisecond
	// brokenRuns is how many runs must fail on a worker in a row before it is
	// set aside.
	brokenRuns = 3
	// asideFirst and asideMost bound the time for which a worker that fails
	// what it starts is set aside; the time doubles.
	asideFirst = 1 * time.Second
	asideMost  = 8 * time.Second
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

// stray is a run that holds room on a worker but is not what the board wants
// there.
type stray struct {
	task   jobs.TaskID
	run    uint64
	charge core.Resources
	team   core.Team
	// halted is when its stop was last ordered, stopped when the worker has
	// answered one.
	halted, stopped time.Time
}

// Worker is a worker VM as the owner knows it.
type Worker struct {
	id    core.WorkerID
	board *Scheduler
	// order is a hash of the name.
	order uint64
	state chart.State
	host  WorkerInfo
	// recorded is set once the worker is in the roster that a later owner reads.
	recorded bool
	// listed is set while the platform lists the worker, missing since when it
	// does not.
	listed  bool
	missing time.Time
	// renewed is when the entry was first seen as it was last listed.
	renewed time.Time
	// free is the room less what the tasks and strays hold.
	free   core.Resources
	tasks  map[jobs.TaskID]*Task
	strays []stray
	// foreign are runs of jobs that the board has not read yet; nothing is placed
	// on the worker meanwhile.
	foreign map[jobs.TaskID]uint64
	// blocked is since when an end of an unknown job keeps later ends from being
	// taken in; zero if none does.
	blocked time.Time

	// clock is the worker's clock as of its last answer, which came at heard.
	clock time.Duration
	heard time.Time
	born  time.Time
	// until is the latest lease ever sent, on the worker's clock.
	until time.Duration

	// holding is set while a hold is in flight, asked is when it was sent.
	holding bool
	asked   time.Time
	// next is when a worker that has missed a contact is asked again.
	next time.Time
	// taken is the newest end taken in, seen the newest one acknowledged;
	// those up to taken may be acknowledged once the change numbered after is
	// in the store.
	taken, seen uint64
	after       uint64

	// slow is the mean logarithm of the run times here over those predicted.
	slow float64
	// failed counts the runs that have failed since one ended well.
	failed int
	aside  time.Time
	pause  time.Duration
}

func (w *Worker) fire(ev chart.Event) { w.board.refuse(workerChart.Fire(&w.state, ev, w)) }

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
		w.follow(h)
	}
	for _, w := range slices.Clone(b.byName) {
		if !listed[w.id] {
			w.unlist()
		}
	}
	b.listedAt = now
	b.dropGone()
	b.settle()
	b.changed = true
}

// Recover adds the workers that an earlier owner may have used. Absent tells
// since when the platform has not listed a worker, as far as this process has
// seen.
func (b *Scheduler) Recover(hosts []WorkerInfo, absent map[core.WorkerID]time.Time) {
	for _, h := range hosts {
		if b.workers[h.ID()] == nil {
			b.addWorker(h.ID(), h).missing = absent[h.ID()]
		}
	}
}

// RosterVersion changes whenever the roster does.
func (b *Scheduler) RosterVersion() uint64 { return b.roster }

// Roster returns the workers that a later owner must hear of before it starts
// older tasks.
func (b *Scheduler) Roster() []WorkerInfo {
	out := make([]WorkerInfo, 0, len(b.byName))
	for _, w := range b.byName {
		out = append(out, w.host)
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
	for _, w := range b.byName {
		born, ok := known[w.id]
		w.recorded = ok && born.Equal(w.host.Incarnation)
	}
	b.changed = true
}

func (b *Scheduler) addWorker(id core.WorkerID, h WorkerInfo) *Worker {
	w := &Worker{id: id, board: b, order: xxhash.Sum64String(string(id)), state: workerChart.Start(), host: h, free: h.Room, tasks: map[jobs.TaskID]*Task{}}
	b.workers[id] = w
	b.roster++
	i, _ := slices.BinarySearchFunc(b.byName, id, func(o *Worker, id core.WorkerID) int { return cmp.Compare(o.id, id) })
	b.byName = slices.Insert(b.byName, i, w)
	// A port is bound by one process at a time: another worker at the same
	// address is over.
	for _, o := range b.byName {
		if o != w && o.host.Addr == h.Addr && !o.listed {
			o.fire(workerVanish)
		}
	}
	return w
}

func (w *Worker) follow(h WorkerInfo) {
	if h.Renewals != w.host.Renewals {
		w.renewed = w.board.now
	}
	w.listed, w.missing = true, time.Time{}
	if h.Room != w.host.Room {
		w.free = w.free.Add(h.Room).Sub(w.host.Room)
	}
	if w.born.IsZero() {
		w.setBorn(h.Incarnation)
	}
	// What the worker itself says of its incarnation is newer than the list.
	h.Incarnation = w.host.Incarnation
	w.host = h
}

// unlist follows a list that does not name the worker. One that still answers
// runs on. One that does not is gone at once if it has left by plan or if
// nothing ran there, else once its lease has surely ended. The platform drops an
// entry after some silence, and that much of the lease of a worker that this
// owner has never heard has passed.
func (w *Worker) unlist() {
	b := w.board
	w.listed = false
	if w.missing.IsZero() || !b.listedAt.IsZero() && b.now.Sub(b.listedAt) > listGap {
		w.missing = b.now
	}
	gone := b.now.Sub(w.missing)
	left := time.Duration(float64(b.limits.Lease)/slowestClock) - b.limits.ListTimeout
	switch {
	case w.hasLeft():
	case gone < vanishWait:
		return
	case w.state == workerSilent && w.quiet():
	case w.state == workerLapsed:
	case w.state == workerFresh && gone >= left:
	default:
		return
	}
	w.fire(workerVanish)
}

// hasLeft reports whether the entry went because the worker has left: it was
// leaving, and its entry was renewed too lately to have been dropped for
// silence.
func (w *Worker) hasLeft() bool {
	b := w.board
	return w.host.Leaving && !w.renewed.IsZero() && b.now.Sub(w.renewed) < b.limits.ListTimeout-leftMargin
}

// quiet reports whether nothing runs on the worker, nor may begin to.
func (w *Worker) quiet() bool {
	return len(w.tasks) == 0 && len(w.strays) == 0 && len(w.foreign) == 0 && w.blocked.IsZero() && w.seen == w.taken
}

func (b *Scheduler) dropGone() {
	b.byName = slices.DeleteFunc(b.byName, func(w *Worker) bool {
		if w.state == workerGone {
			delete(b.workers, w.id)
			b.roster++
		}
		return w.state == workerGone
	})
}

// cut follows the end of all that ran on the worker.
func (w *Worker) cut() {
	w.board.counts.Lapses++
	for _, t := range w.ownTasks() {
		w.board.note(Decision{Job: t.unit.id.Job, Event: "lost with its worker", Worker: w.id, Task: t.ID().String(), Run: t.run, Reason: workerChart.Name(w.state)})
		t.fire(taskCut)
	}
	for _, s := range w.strays {
		w.dropStray(s)
	}
	w.strays = nil
	w.foreign, w.blocked = nil, time.Time{}
}

func (w *Worker) ownTasks() []*Task {
	out := make([]*Task, 0, len(w.tasks))
	for _, t := range w.tasks {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *Task) int { return cmp.Compare(a.ID().String(), b.ID().String()) })
	return out
}

func (w *Worker) addStray(s stray) {
	w.strays = append(w.strays, s)
	w.free = w.free.Sub(s.charge)
	w.board.take(s.team, s.charge)
	w.stopStray(len(w.strays) - 1)
}

func (w *Worker) dropStray(s stray) {
	w.free = w.free.Add(s.charge)
	w.board.give(s.team, s.charge)
}

func (w *Worker) stopStray(i int) {
	s := &w.strays[i]
	s.halted = w.board.now
	w.board.counts.Stops++
	w.board.order(Order{Kind: OrderStop, Worker: w.id, Task: s.task, Run: s.run})
}

// lease returns the end of a full lease from now on, on the worker's clock,
// and remembers it as sent.
func (w *Worker) lease() time.Duration {
	if w.heard.IsZero() {
		return 0
	}
	until := w.clock + w.board.now.Sub(w.heard) + w.board.limits.Lease
	w.until = max(w.until, until)
	return until
}

// lapsed reports whether everything on the worker has surely ended, however
// slow its clock is.
func (w *Worker) lapsed(now time.Time) bool {
	if w.heard.IsZero() {
		return false
	}
	least := w.clock + time.Duration(float64(now.Sub(w.heard))*slowestClock)
	return least > w.until+lapseSlack
}

// usable reports whether tasks may be placed on the worker.
func (w *Worker) usable() bool {
	return w.state == workerLive && w.listed && w.recorded && !w.host.Leaving && len(w.foreign) == 0 && !w.board.now.Before(w.aside)
}
