package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
)

const (
	// slowWeight is what a worker's learned slowness counts against the share
	// of its cores that a placement leaves free.
	slowWeight = 0.5
	// noBound stands for a phase without a bound on tasks per worker.
	noBound = math.MaxInt
	// marginPart of the expected time, and marginLeast more, is how much longer
	// work may take and still count as on time: most run times are within an
	// eighth, and an end takes some 100 ms to be heard of and recorded.
	marginPart  = 8
	marginLeast = 100 * time.Millisecond
	// restFresh is how long an estimate of the remaining time is used again.
	restFresh = 300 * time.Millisecond
	// tellAfter is how long work waits before the log says why, tellPause the time
	// between two such lines.
	tellAfter = time.Second
	tellPause = 2 * time.Second
	// tick is the longest pause between two looks at leases and due times.
	tick = 100 * time.Millisecond
)

// Tick follows the passing of time: it renews leases, repeats stops and places
// what fits. It returns when to be called next.
func (b *Scheduler) Tick(now time.Time) time.Time {
	b.now = now
	for u := range b.timed {
		if !u.job.Spec.Due(u.id.Occurrence).After(now) {
			u.open()
		}
	}
	if len(b.held) > 0 {
		b.hidden = b.unheardRoom()
	}
	b.holds()
	b.stops()
	if b.changed {
		b.changed = false
		b.place()
	}
	return now.Add(tick)
}

// standing is the order in which work is served.
type standing struct {
	unit *unit
	// tardy is 0 while the job can end on time, 1 while its end is worth
	// something, 2 after that or if it exceeds its team's share.
	tardy    int
	priority int
	latest   time.Time
}

// ranked returns the open phases, those to be served first in front: work that
// can still be on time before work that is late, then by the queue's priority,
// then by the latest start that keeps what is owed.
func (b *Scheduler) ranked() []*unit {
	list := make([]standing, 0, len(b.open))
	for u := range b.open {
		if u.idle == 0 {
			continue
		}
		s := standing{unit: u}
		left := b.remaining(u)
		left += left/marginPart + marginLeast
		switch {
		case u.job.beyond:
			s.tardy = 2
		case !b.now.Add(left).After(u.job.onTime):
		case !b.now.Add(left).After(u.job.late):
			s.tardy = 1
		default:
			s.tardy = 2
		}
		s.latest = u.job.onTime.Add(-left)
		if q := b.policy.Queues[u.job.Spec.Queue]; q != nil {
			s.priority = q.Priority
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(x, y standing) int {
		return cmp.Or(cmp.Compare(x.tardy, y.tardy), cmp.Compare(x.priority, y.priority),
			x.latest.Compare(y.latest), cmp.Compare(x.unit.job.seq, y.unit.job.seq), cmp.Compare(x.unit.base, y.unit.base))
	})
	out := make([]*unit, len(list))
	for i, s := range list {
		out[i] = s.unit
	}
	return out
}

// remaining is the expected time from the start of a phase to the end of its
// job, along the longest chain. What is learned moves it slowly.
func (b *Scheduler) remaining(u *unit) time.Duration {
	if !u.restAt.IsZero() && b.now.Sub(u.restAt) < restFresh {
		return u.rest
	}
	phases := u.job.Spec.Phases
	tail := make([]time.Duration, len(phases))
	for i := len(phases) - 1; i >= u.id.Phase; i-- {
		tail[i] += b.guess.Predict(u.job.Spec.Queue, phases[i].Estimate)
		for _, a := range phases[i].After {
			tail[a] = max(tail[a], tail[i])
		}
	}
	u.rest, u.restAt = tail[u.id.Phase], b.now
	return u.rest
}

// startable reports whether the phase has tasks that may be placed now; a gang
// waits until nothing is left of its last run.
func (u *unit) startable() bool {
	if u.phase.Gang {
		return u.idle == u.phase.Count && u.live == 0
	}
	return u.idle > 0
}

// suits reports whether the phase may run on a worker at all.
func (u *unit) suits(w *Worker) bool {
	b := u.job.board
	if !w.usable() || !u.need().Fits(w.host.Room) {
		return false
	}
	if q := b.policy.Queues[u.job.Spec.Queue]; q == nil || q.Service != w.host.Service {
		return false
	}
	return u.phase.Label == "" || slices.Contains(w.host.Labels, u.phase.Label)
}

// slots returns how many tasks of the phase fit into what a worker has free.
func (u *unit) slots(w *Worker, need, free core.Resources) int {
	n := noBound
	if u.phase.PerWorker > 0 {
		n = u.phase.PerWorker - w.countOf(u)
	}
	for _, d := range [][2]int64{{need.Cores, free.Cores}, {need.Memory, free.Memory}, {need.Accel, free.Accel}} {
		if d[0] > 0 {
			n = min(n, int(d[1]/d[0]))
		}
	}
	return max(n, 0)
}

func (w *Worker) countOf(u *unit) int {
	n := 0
	for _, t := range w.tasks {
		if t.unit == u {
			n++
		}
	}
	for _, s := range w.strays {
		if s.task.PhaseID == u.id {
			n++
		}
	}
	return n
}

// withinLimit reports whether a team may run n more tasks.
func (b *Scheduler) withinLimit(u *unit, need core.Resources, n int) bool {
	t := b.policy.Teams[u.job.Spec.Team]
	if t == nil {
		return true
	}
	// What an earlier owner may have started fits on the workers not heard of.
	after := b.used[u.job.Spec.Team].Add(b.awaited[u.job.Spec.Team].Min(b.hidden))
	for _, d := range [][3]int64{
		{need.Cores, after.Cores, t.Limit.Cores}, {need.Memory, after.Memory, t.Limit.Memory}, {need.Accel, after.Accel, t.Limit.Accel},
	} {
		if d[2] > 0 && d[0] > 0 && d[1]+int64(n)*d[0] > d[2] {
			return false
		}
	}
	return true
}

// seat is a worker that a phase may use now.
type seat struct {
	worker *Worker
	ticket string
	// slots is how many tasks still fit.
	slots int
	score float64
}

// seats returns the workers with room for the phase, the best first.
func (u *unit) seats() []seat {
	b := u.job.board
	need := u.need()
	var out []seat
	add := func(w *Worker, ticket string) {
		if !u.suits(w) {
			return
		}
		if n := u.slots(w, need, w.free); n > 0 {
			out = append(out, seat{w, ticket, n, u.score(w, need)})
		}
	}
	if _, advised := u.policy().Get(); !advised {
		for _, w := range b.byName {
			add(w, "")
		}
	} else if good := b.now.Add(ticketSlack); good.Before(u.advice.fresh) {
		for id, t := range u.advice.allowed {
			if w := b.workers[id]; w != nil && good.Before(t.until) {
				add(w, t.text)
			}
		}
	}
	slices.SortFunc(out, func(x, y seat) int {
		return cmp.Or(cmp.Compare(x.score, y.score), cmp.Compare(x.worker.id, y.worker.id))
	})
	return out
}

// score is lowest for the best worker: one that the task fills best, that is
// fast, and that is near the data.
func (u *unit) score(w *Worker, need core.Resources) float64 {
	room := max(w.host.Room.Cores, 1)
	s := float64(w.free.Cores-need.Cores)/float64(room) + slowWeight*w.slow
	if u.phase.Rack != "" && u.phase.Rack != w.host.Rack {
		s += u.job.board.limits.RemoteFactor
	}
	return s
}

// place starts what fits, and tells of work that has waited for a while what
// it waits for.
func (b *Scheduler) place() {
	for _, u := range b.ranked() {
		why := u.hindrance()
		switch {
		case why != "":
		case u.phase.Gang:
			why = b.placeGang(u)
		default:
			why = b.placeEach(u)
		}
		u.tellWait(why)
	}
}

// hindrance says why no task of the phase may start, whatever room there is.
func (u *unit) hindrance() string {
	switch b := u.job.board; {
	case !u.startable():
		return "last run of the gang has not ended"
	case !b.withinLimit(u, u.need(), u.least()):
		return "team is at its limit"
	}
	return ""
}

// tellWait logs now and then why work that has waited for long still waits.
func (u *unit) tellWait(why string) {
	b := u.job.board
	waited := b.now.Sub(u.since)
	if why == "" || waited < tellAfter || b.now.Sub(u.told) < tellPause {
		return
	}
	u.told = b.now
	b.note(Decision{Job: u.id.Job, Event: "waits", Task: u.id.String(), Wait: waited, Reason: why})
}

// placeEach starts as many waiting tasks as fit, and says why others do not.
func (b *Scheduler) placeEach(u *unit) string {
	seats := u.seats()
	if len(seats) == 0 {
		return u.noSeat()
	}
	for _, t := range u.tasks {
		if t.state != taskWaiting {
			continue
		}
		i := slices.IndexFunc(seats, func(s seat) bool { return s.slots > 0 && !t.avoid.Has(s.worker.id) })
		if i < 0 {
			// A task that has failed everywhere may run anywhere again.
			i = slices.IndexFunc(seats, func(s seat) bool { return s.slots > 0 && len(t.avoid) >= len(seats) })
		}
		if i < 0 {
			continue
		}
		if !b.withinLimit(u, u.need(), 1) {
			return "team is at its limit"
		}
		b.start(t, seats[i], u.nextRun(t.run), t.saved)
		seats[i].slots--
	}
	if u.idle > 0 {
		return u.noSeat()
	}
	return ""
}

// noSeat says why no worker can take a task.
func (u *unit) noSeat() string {
	switch _, advised := u.policy().Get(); {
	case advised && !u.advice.known:
		return "placement policy has not answered"
	case advised && u.job.board.now.Before(u.advice.lost):
		return "placement policy is being asked again"
	}
	return "no worker that may run it has room"
}

// placeGang starts all tasks together, or none and says why.
func (b *Scheduler) placeGang(u *unit) string {
	seats := u.seats()
	if u.phase.SameRack {
		seats = oneRack(seats, u.phase.Count)
	}
	room := 0
	for _, s := range seats {
		room = min(room+s.slots, u.phase.Count)
	}
	if room < u.phase.Count {
		return fmt.Sprintf("%s for all %d tasks at once", u.noSeat(), u.phase.Count)
	}
	run := u.nextRun(u.run)
	for _, t := range u.tasks {
		run = max(run, u.nextRun(t.run))
	}
	u.run = run
	at := 0
	for _, t := range u.tasks {
		for seats[at].slots == 0 {
			at++
		}
		b.start(t, seats[at], run, u.saved)
		seats[at].slots--
	}
	return ""
}

// oneRack returns the seats of the rack that holds the whole gang best, or all
// seats if none does.
func oneRack(seats []seat, count int) []seat {
	racks := map[string][]seat{}
	var names []string
	for _, s := range seats {
		rack := s.worker.host.Rack
		if racks[rack] == nil {
			names = append(names, rack)
		}
		racks[rack] = append(racks[rack], s)
	}
	for _, name := range names {
		room := 0
		for _, s := range racks[name] {
			room = min(room+s.slots, count)
		}
		if room == count {
			return racks[name]
		}
	}
	return seats
}

// start places one task.
func (b *Scheduler) start(t *Task, s seat, run uint64, saved string) {
	t.run, t.next = run, s.worker
	t.fire(taskPlace)
	b.counts.Starts++
	b.order(Order{
		Kind: OrderStart, Worker: s.worker.id, Task: t.ID(), Run: run,
		Payload: t.unit.job.Spec.Payload, Checkpoint: saved, Ticket: s.ticket,
	})
	b.note(Decision{Job: t.unit.id.Job, Event: "placed", Worker: s.worker.id, Task: t.ID().String(), Run: run, Wait: b.now.Sub(t.unit.since)})
}

// StartAnswered follows the answer to a start.
func (b *Scheduler) StartAnswered(now time.Time, worker core.WorkerID, id jobs.TaskID, run uint64, r Reply) {
	b.now = now
	t := b.task(id)
	if t == nil || t.worker == nil || t.worker.id != worker || t.run != run {
		return
	}
	w := t.worker
	if r != ReplyOK {
		b.note(Decision{Job: id.Job, Event: "start not confirmed", Worker: worker, Task: id.String(), Run: run, Reason: r.String()})
	}
	switch r {
	case ReplyOK:
		t.fire(taskAccepted)
		return
	case ReplyUnanswered:
		b.counts.Unanswered++
		t.fire(taskUnanswered)
		return
	case ReplyBadTicket:
		t.unit.advice.expire(worker)
	case ReplyUnhealthy:
		w.setAside()
	case ReplyOtherIncarnation:
		b.IncarnationEnded(now, worker)
		return
	case ReplyMalformed:
		t.avoidWorker(worker)
	}
	b.counts.Refused++
	t.fire(taskRefused)
}

// StopAnswered follows the answer to a stop.
func (b *Scheduler) StopAnswered(now time.Time, worker core.WorkerID, id jobs.TaskID, run uint64, r Reply) {
	b.now = now
	if r == ReplyOtherIncarnation {
		b.IncarnationEnded(now, worker)
		return
	}
	if r != ReplyOK && r != ReplyStaleRun {
		return
	}
	if t := b.task(id); t != nil && t.worker != nil && t.worker.id == worker && t.run == run {
		t.stopped = now
	}
	if w := b.workers[worker]; w != nil {
		for i := range w.strays {
			if s := &w.strays[i]; s.task == id && s.run == run {
				s.stopped = now
			}
		}
	}
}

// note adds a decision to the log.
func (b *Scheduler) note(n Decision) { b.notes = append(b.notes, n) }
