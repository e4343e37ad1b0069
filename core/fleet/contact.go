package fleet

import (
	"math"
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
)

const (
	// holdWait is how long a hold waits for an end. A hold whose answer is lost
	// hides the ends on its worker until it times out, so it is kept short; the
	// platform takes up to 2 s.
	holdWait = 600 * time.Millisecond
	// holdPart divides the lease into the longest pause between two holds.
	holdPart = 4
	// missedPause is the time before a worker that has not answered is asked again.
	missedPause = 400 * time.Millisecond
	// freshPause is that of one that has never answered this owner: until all have,
	// what an earlier owner may have started there cannot start elsewhere.
	freshPause = 50 * time.Millisecond
	// stopPause is the time before a stop without answer is sent again.
	stopPause = 500 * time.Millisecond
	// blockedMost is how long an end waits for its job to be read. A job that is
	// unknown after several readings has been deleted.
	blockedMost = 5 * time.Second
)

// HeartbeatAnswered takes in a worker's answer to a hold that was sent at a time.
func (b *Scheduler) HeartbeatAnswered(now time.Time, id core.WorkerID, sent time.Time, l RunLists) {
	b.now = now
	w := b.workers[id]
	if w == nil {
		return
	}
	w.holding = false
	if !w.born.IsZero() && !l.Incarnation.Equal(w.born) {
		w.reborn()
	}
	w.born = l.Incarnation
	w.setBorn(l.Incarnation)
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

// reborn follows a new incarnation under the same name: its numbers and clock
// begin anew. The old one's runs are over, but an order may have reached the new
// one: its lists tell, and a stop that the old one has answered bars nothing
// there.
func (w *Worker) reborn() {
	w.board.counts.Lapses++
	w.foreign, w.blocked = nil, time.Time{}
	for _, t := range w.tasks {
		t.halted, t.stopped = time.Time{}, time.Time{}
	}
	for i := range w.strays {
		w.strays[i].halted, w.strays[i].stopped = time.Time{}, time.Time{}
	}
	w.clock, w.heard, w.until = 0, time.Time{}, 0
	w.taken, w.seen, w.after = 0, 0, 0
	w.failed = 0
}

// setBorn follows the incarnation that a worker or the list names. The recorded
// roster does not hold a new one yet.
func (w *Worker) setBorn(born time.Time) {
	if w.host.Incarnation.Equal(born) {
		return
	}
	w.host.Incarnation, w.recorded = born, false
	w.board.roster++
}

func (w *Worker) takeEnds(ends []EndedRun) {
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
		w.score(e.Kind)
		if i := slices.IndexFunc(w.strays, func(s stray) bool { return s.task == e.Task && s.run == e.Run }); i >= 0 {
			w.dropStray(w.strays[i])
			w.strays = slices.Delete(w.strays, i, i+1)
		}
		t := b.task(e.Task)
		n := Decision{Job: e.Task.Job, Event: "run ended " + e.Reason, Worker: w.id, Task: e.Task.String(), Run: e.Run}
		if t != nil {
			if t.worker == w && t.run == e.Run && !t.began.IsZero() {
				n.Wait = b.now.Sub(t.began)
			}
			t.ended(w, e.Run, e.Kind, e.Checkpoint)
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
func (w *Worker) score(how EndKind) {
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
func (w *Worker) takeActive(sent time.Time, l RunLists) {
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
func (w *Worker) strayFound(t *Task, a ActiveRun) {
	if slices.ContainsFunc(w.strays, func(s stray) bool { return s.task == a.Task && s.run == a.Run }) {
		return
	}
	w.board.note(Decision{Job: a.Task.Job, Event: "run found that is not wanted; stopping it", Worker: w.id, Task: a.Task.String(), Run: a.Run, Reason: "task is " + taskChart.Name(t.state)})
	if t.run < a.Run {
		t.run = a.Run
	}
	w.addStray(stray{task: a.Task, run: a.Run, charge: t.unit.need(), team: t.unit.job.Spec.Team})
}

// report takes in what the worker says of a running task.
func (t *Task) report(a ActiveRun) {
	b := t.unit.job.board
	if a.Checkpoint != "" {
		t.keep(a.Run, a.Checkpoint)
	}
	if a.Percent != t.percent {
		t.percent, t.moved = a.Percent, b.now
		b.progress = true
	}
	switch {
	case t.state != taskRunning || t.began.IsZero() || t.unit.phase.LongRunning:
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
		most += b.limits.GangWait
	}
	return b.now.Sub(t.moved) > most
}

// unstick stops a run that stands still, to start it on another worker.
func (t *Task) unstick() {
	b, w := t.unit.job.board, t.worker
	b.note(Decision{Job: t.unit.id.Job, Event: "run stands still; stopping it", Worker: w.id, Task: t.ID().String(), Run: t.run, Wait: b.now.Sub(t.moved)})
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
			b := t.unit.job.board
			b.note(Decision{Job: t.unit.id.Job, Event: "run is on its worker no more", Worker: t.worker.id, Task: t.ID().String(), Run: t.run})
			t.fire(taskCut)
		}
	case taskDoubtful, taskStopping, taskLeaving:
		// A stop that the worker has answered keeps the run from beginning later.
		if !t.stopped.IsZero() && sent.After(t.stopped) {
			t.fire(taskRefused)
		}
	}
}

// HeartbeatFailed follows a hold without answer.
func (b *Scheduler) HeartbeatFailed(now time.Time, id core.WorkerID) {
	b.now = now
	w := b.workers[id]
	if w == nil {
		return
	}
	w.holding = false
	w.next = now.Add(missedPause)
	if w.state == workerFresh && w.listed {
		w.next = now.Add(freshPause)
	}
	w.fire(workerMiss)
	b.changed = true
}

// IncarnationEnded follows the proof that a worker's incarnation is over.
func (b *Scheduler) IncarnationEnded(now time.Time, id core.WorkerID) {
	b.now = now
	if w := b.workers[id]; w != nil {
		w.fire(workerVanish)
		b.dropGone()
		b.settle()
	}
}

// stops repeats the stops that have not been answered.
func (b *Scheduler) stops() {
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
func (b *Scheduler) holds() {
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
func (b *Scheduler) orderHold(w *Worker, wait time.Duration) {
	o := Order{Kind: OrderHeartbeat, Worker: w.id, Info: w.host, Epoch: b.epoch, AckedEnd: w.seen, Wait: wait}
	if w.state == workerLive {
		o.LeaseUntil = w.lease()
	}
	b.orders = append(b.orders, o)
}
