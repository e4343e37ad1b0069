package board

import (
	"cmp"
	"math"
	"slices"
	"time"

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
	// holdWait is how long a hold waits for an end. A hold whose answer is lost
	// hides the ends on its worker until it times out, so it is kept short; the
	// platform takes up to 2 s.
	holdWait = 600 * time.Millisecond
	// holdPart divides the lease into the longest pause between two holds.
	holdPart = 4
	// missedPause is the time before a worker that has not answered is asked again.
	missedPause = 400 * time.Millisecond
	// stopPause is the time before a stop without answer is sent again.
	stopPause = 500 * time.Millisecond
	// vanishWait is how long an entry must be missing from the platform's list
	// before it counts as gone: entries that lapse while the store is away are
	// back within 2 s of its return.
	vanishWait = 2500 * time.Millisecond
	// listGap is the longest pause between two readings of the list that still
	// shows that an entry was missing all the while.
	listGap = 1500 * time.Millisecond
	// blockedMost is how long an end waits for its job to be read. A job that is
	// unknown after several readings has been deleted.
	blockedMost = 5 * time.Second
	// brokenRuns is how many runs must fail on a worker in a row before it is
	// set aside.
	brokenRuns = 3
	// asideFirst and asideMost bound the time for which a worker that fails
	// what it starts is set aside; the time doubles.
	asideFirst = 1 * time.Second
	asideMost  = 8 * time.Second
)

// Host is a worker as the platform lists it.
type Host struct {
	core.VM
	Labels []string
	// Left is the least time until a leaving worker is gone.
	Left time.Duration
	// Born marks the incarnation, as far as the list tells.
	Born time.Time
}

// Worker returns the worker's name.
func (h Host) Worker() core.WorkerID { return core.WorkerID(h.Name) }

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
	board *Board
	state chart.State
	host  Host
	// recorded is set once the worker is in the roster that a later owner reads.
	recorded bool
	// listed is set while the platform lists the worker, missing since when it
	// does not.
	listed  bool
	missing time.Time
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

// SetHosts follows a new list of the platform.
func (b *Board) SetHosts(now time.Time, hosts []Host) {
	b.now = now
	listed := map[core.WorkerID]bool{}
	for _, h := range hosts {
		id := h.Worker()
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

// Recover adds the workers that an earlier owner may have used.
func (b *Board) Recover(hosts []Host) {
	for _, h := range hosts {
		if b.workers[h.Worker()] == nil {
			b.addWorker(h.Worker(), h)
		}
	}
}

// RosterVersion changes whenever the roster does.
func (b *Board) RosterVersion() uint64 { return b.roster }

// Roster returns the workers that a later owner must hear of before it starts
// older tasks.
func (b *Board) Roster() []Host {
	out := make([]Host, 0, len(b.byName))
	for _, w := range b.byName {
		out = append(out, w.host)
	}
	return out
}

// Known tells which incarnations of workers are in the recorded roster. Tasks
// are placed on no other: an owner that has been replaced unawares can record
// nothing, and so uses no worker that its successor does not know.
func (b *Board) Known(roster []Host) {
	known := make(map[core.WorkerID]time.Time, len(roster))
	for _, h := range roster {
		known[h.Worker()] = h.Born
	}
	for _, w := range b.byName {
		born, ok := known[w.id]
		w.recorded = ok && born.Equal(w.host.Born)
	}
	b.changed = true
}

func (b *Board) addWorker(id core.WorkerID, h Host) *Worker {
	w := &Worker{id: id, board: b, state: workerChart.Start(), host: h, free: h.Room, tasks: map[jobs.TaskID]*Task{}}
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

func (w *Worker) follow(h Host) {
	w.listed, w.missing = true, time.Time{}
	if h.Room != w.host.Room {
		w.free = w.free.Add(h.Room).Sub(w.host.Room)
	}
	if !w.born.IsZero() {
		// What the worker itself says of its incarnation is newer than the list.
		h.Born = w.born
	}
	w.host = h
}

// unlist follows a list that does not name the worker. One that still answers
// runs on; one that does not is gone once its lease has surely ended. The
// platform drops an entry after some silence, and that much of the lease of a
// worker that this owner has never heard has passed.
func (w *Worker) unlist() {
	b := w.board
	w.listed = false
	if w.missing.IsZero() || b.now.Sub(b.listedAt) > listGap {
		w.missing = b.now
	}
	gone := b.now.Sub(w.missing)
	left := time.Duration(float64(b.limits.Lease)/slowestClock) - b.limits.Silence
	if gone >= vanishWait && (w.state == workerLapsed || w.state == workerFresh && gone >= left) {
		w.fire(workerVanish)
	}
}

func (b *Board) dropGone() {
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
		w.board.note(Note{Job: t.unit.id.Job, What: "lost with its worker", Worker: w.id, Task: t.ID().String(), Run: t.run, Because: workerChart.Name(w.state)})
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

// Held takes in a worker's answer to a hold that was sent at a time.
func (b *Board) Held(now time.Time, id core.WorkerID, sent time.Time, l Lists) {
	b.now = now
	w := b.workers[id]
	if w == nil {
		return
	}
	w.holding = false
	if !w.born.IsZero() && !l.Born.Equal(w.born) {
		w.reborn()
	}
	w.born = l.Born
	if !w.host.Born.Equal(l.Born) {
		w.host.Born = l.Born
		b.roster++
	}
	if w.heard.IsZero() {
		// An earlier owner may have granted a full lease up to this answer.
		w.until = max(w.until, l.Clock+b.limits.Lease)
	}
	if l.Clock >= w.clock {
		w.clock, w.heard = l.Clock, now
	}
	w.fire(workerAnswer)
	if w.state == workerGone {
		return
	}
	w.takeEnds(l.Ended)
	w.takeActive(sent, l)
	b.settle()
	b.changed = true
}

// reborn follows a new incarnation under the same name: the old one's runs are
// over and its numbers and clock begin anew.
func (w *Worker) reborn() {
	w.cut()
	w.clock, w.heard, w.until = 0, time.Time{}, 0
	w.taken, w.seen, w.after = 0, 0, 0
	w.failed = 0
	w.recorded = false
}

func (w *Worker) takeEnds(ends []Ended) {
	b := w.board
	for _, e := range ends {
		if e.Number <= w.taken {
			continue
		}
		if b.jobs[e.Task.Job] == nil && w.blocks() {
			w.after = b.changes
			return
		}
		w.blocked = time.Time{}
		w.taken = e.Number
		w.score(e.How)
		if i := slices.IndexFunc(w.strays, func(s stray) bool { return s.task == e.Task && s.run == e.Run }); i >= 0 {
			w.dropStray(w.strays[i])
			w.strays = slices.Delete(w.strays, i, i+1)
		}
		t := b.task(e.Task)
		n := Note{Job: e.Task.Job, What: "run ended " + e.Word, Worker: w.id, Task: e.Task.String(), Run: e.Run}
		if t != nil {
			if t.worker == w && t.run == e.Run && !t.began.IsZero() {
				n.Wait = b.now.Sub(t.began)
			}
			t.ended(w, e.Run, e.How, e.Saved)
		}
		b.note(n)
	}
	w.after = b.changes
}

// blocks reports whether the end of a job that the board has not read must
// wait: an end that is passed over would be lost, and the task run again.
func (w *Worker) blocks() bool {
	w.board.missed = true
	if w.blocked.IsZero() {
		w.blocked = w.board.now
	}
	return w.board.now.Sub(w.blocked) < blockedMost
}

// score sets a worker aside that fails all it starts.
func (w *Worker) score(how End) {
	switch how {
	case EndDone:
		w.failed, w.pause = 0, 0
	case EndFailed:
		if w.failed++; w.failed >= brokenRuns {
			w.setAside()
		}
	}
}

func (w *Worker) setAside() {
	w.pause = min(max(2*w.pause, asideFirst), asideMost)
	w.aside = w.board.now.Add(w.pause)
}

// takeActive reconciles the board with all that runs on the worker.
func (w *Worker) takeActive(sent time.Time, l Lists) {
	b := w.board
	w.foreign = nil
	type runID struct {
		task jobs.TaskID
		run  uint64
	}
	seen := make(map[runID]struct{}, len(l.Active))
	for _, a := range l.Active {
		seen[runID{a.Task, a.Run}] = struct{}{}
		t := b.task(a.Task)
		switch {
		case t == nil:
			if w.foreign == nil {
				w.foreign = map[jobs.TaskID]uint64{}
			}
			w.foreign[a.Task] = a.Run
			b.missed = true
		case t.worker == w && t.run == a.Run:
			t.fire(taskFound)
			t.report(a)
		case t.state == taskHeld:
			t.next, t.run = w, a.Run
			t.fire(taskFound)
			t.report(a)
		default:
			w.strayFound(t, a)
		}
	}
	for _, t := range w.ownTasks() {
		if _, ok := seen[runID{t.ID(), t.run}]; !ok {
			t.absent(sent, len(l.Ended))
		}
	}
	w.strays = slices.DeleteFunc(w.strays, func(s stray) bool {
		_, ok := seen[runID{s.task, s.run}]
		// A run that is in neither list after its stop will never begin.
		over := !ok && !s.stopped.IsZero() && sent.After(s.stopped)
		if over {
			w.dropStray(s)
		}
		return over
	})
}

// strayFound follows a run that the board wants elsewhere or not at all.
func (w *Worker) strayFound(t *Task, a Active) {
	if slices.ContainsFunc(w.strays, func(s stray) bool { return s.task == a.Task && s.run == a.Run }) {
		return
	}
	w.board.note(Note{Job: a.Task.Job, What: "run found that is not wanted; stopping it", Worker: w.id, Task: a.Task.String(), Run: a.Run, Because: "task is " + taskChart.Name(t.state)})
	if t.run < a.Run {
		t.run = a.Run
	}
	w.addStray(stray{task: a.Task, run: a.Run, charge: t.unit.need(), team: t.unit.job.Spec.Team})
}

// report takes in what the worker says of a running task.
func (t *Task) report(a Active) {
	b := t.unit.job.board
	if a.Saved != "" {
		t.keep(a.Run, a.Saved)
	}
	if a.Percent != t.percent {
		t.percent, t.moved = a.Percent, b.now
		b.progress = true
	}
	switch {
	case t.state != taskRunning || t.began.IsZero() || t.unit.phase.Lasts:
	case t.stuck():
		t.unstick()
	default:
		t.pace()
	}
}

// stuck reports whether the run stands still. A gang that waits for a member
// does so too; its worker ends it when the members' time is up. Progress is told
// in whole percent, which take long in long runs.
func (t *Task) stuck() bool {
	b := t.unit.job.board
	if !b.progress || t.percent >= 100 {
		return false
	}
	most := max(stuckAfter, b.guess.Predict(t.unit.job.Spec.Queue, t.unit.phase.Estimate)/stuckPart)
	if t.unit.phase.Gang {
		most += b.limits.Gang
	}
	return b.now.Sub(t.moved) > most
}

// unstick stops a run that stands still, to start it on another worker.
func (t *Task) unstick() {
	b, w := t.unit.job.board, t.worker
	b.note(Note{Job: t.unit.id.Job, What: "run stands still; stopping it", Worker: w.id, Task: t.ID().String(), Run: t.run, Wait: b.now.Sub(t.moved)})
	t.avoidWorker(w.id)
	w.setAside()
	t.fire(taskStop)
}

// pace takes the progress of a run as a sign of its worker's speed.
func (t *Task) pace() {
	b := t.unit.job.board
	worked := b.now.Sub(t.began)
	if t.percent == 0 || t.saved != "" || worked < paceLeast || b.now.Sub(t.paced) < pacePause {
		return
	}
	t.paced = b.now
	whole := worked.Seconds() * 100 / float64(t.percent)
	expected := max(b.guess.Predict(t.unit.job.Spec.Queue, t.unit.phase.Estimate), time.Millisecond)
	t.worker.slow += paceGain * (math.Log(whole/expected.Seconds()) - t.worker.slow)
}

// fullList is how many ends an answer holds at most; a run that is in neither
// list may be among the ends that did not fit.
const fullList = 500

// absent follows an answer that names the task neither as running nor as ended.
func (t *Task) absent(sent time.Time, ends int) {
	if ends >= fullList {
		return
	}
	switch t.state {
	case taskRunning:
		// The worker had confirmed the run before it was asked.
		if !t.began.IsZero() && sent.After(t.began) {
			t.fire(taskCut)
		}
	case taskDoubtful, taskStopping, taskLeaving:
		// A stop that the worker has answered keeps the run from beginning later.
		if !t.stopped.IsZero() && sent.After(t.stopped) {
			t.fire(taskRefused)
		}
	}
}

// Silent follows a hold without answer.
func (b *Board) Silent(now time.Time, id core.WorkerID) {
	b.now = now
	w := b.workers[id]
	if w == nil {
		return
	}
	w.holding = false
	w.next = now.Add(missedPause)
	w.fire(workerMiss)
	b.changed = true
}

// Replaced follows the proof that a worker's incarnation is over.
func (b *Board) Replaced(now time.Time, id core.WorkerID) {
	b.now = now
	if w := b.workers[id]; w != nil {
		w.fire(workerVanish)
		b.dropGone()
		b.settle()
	}
}

// stops repeats the stops that have not been answered.
func (b *Board) stops() {
	for _, w := range b.byName {
		for _, t := range w.tasks {
			halting := t.state == taskDoubtful || t.state == taskStopping || t.state == taskLeaving
			if halting && t.stopped.IsZero() && b.now.Sub(t.halted) > stopPause {
				t.halt()
			}
		}
		for i := range w.strays {
			if w.strays[i].stopped.IsZero() && b.now.Sub(w.strays[i].halted) > stopPause {
				w.stopStray(i)
			}
		}
	}
}

// holds orders the contacts that are due.
func (b *Board) holds() {
	for _, w := range b.byName {
		if w.state != workerLive && w.lapsed(b.now) {
			w.fire(workerLapse)
		}
		if w.holding || b.now.Before(w.next) {
			continue
		}
		wait := holdWait
		switch {
		case w.state == workerFresh || w.heard.IsZero():
			wait = 0
		case w.state != workerLive:
			wait = 0
			w.next = b.now.Add(missedPause)
		case b.confirmed < w.after:
			// The ends just listed would be listed again at once.
			if b.now.Sub(w.asked) < b.limits.Lease/holdPart {
				continue
			}
			wait = 0
		default:
			w.seen = w.taken
		}
		w.holding, w.asked = true, b.now
		b.orderHold(w, wait)
	}
}

// orderHold asks for a worker's lists. Only a worker that has answered the last
// hold is granted more time: a lease sent to a silent one may arrive late, and
// what runs there would never surely end.
func (b *Board) orderHold(w *Worker, wait time.Duration) {
	o := Order{Kind: OrderHold, Worker: w.id, Host: w.host, Epoch: b.epoch, Seen: w.seen, Wait: wait}
	if w.state == workerLive {
		o.Until = w.lease()
	}
	b.orders = append(b.orders, o)
}

// usable reports whether tasks may be placed on the worker.
func (w *Worker) usable() bool {
	return w.state == workerLive && w.listed && w.recorded && !w.host.Leaving && len(w.foreign) == 0 && !w.board.now.Before(w.aside)
}
