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
	// slownessWeight is what a worker's learned slowness counts against the share
	// of its cores that a placement leaves free.
	slownessWeight = 0.5
	// unbounded stands for a phase without a bound on tasks per worker.
	unbounded = math.MaxInt
	// marginDivisor of the expected time, and marginLeast more, is how much longer
	// work may take and still count as on time: most run times are within an
	// eighth, and an end takes some 100 ms to be heard of and recorded.
	marginDivisor = 8
	minMargin     = 100 * time.Millisecond
	// timeLeftTTL is how long an estimate of the remaining time is used again.
	timeLeftTTL = 300 * time.Millisecond
	// waitLogDelay is how long work waits before the log says why, tellPause the time
	// between two such lines.
	waitLogDelay    = time.Second
	waitLogInterval = 2 * time.Second
	// tickInterval is the longest pause between two looks at leases and due times.
	tickInterval = 100 * time.Millisecond
)

// Tick follows the passing of time: it renews leases, repeats stops and places
// what fits. It returns when to be called next.
func (b *Scheduler) Tick(now time.Time) time.Time {
	b.now = now
	for u := range b.futurePhases {
		if !u.job.Spec.Due(u.id.Occurrence).After(now) {
			u.open()
		}
	}
	if len(b.unresolved) > 0 {
		b.unreportedRoom = b.sumUnreportedRoom()
	}
	b.orderHeartbeats()
	b.repeatStops()
	if b.needsPlacement {
		b.needsPlacement = false
		b.placeAll()
	}
	return now.Add(tickInterval)
}

// rankedPhase is the order in which work is served.
type rankedPhase struct {
	phase *phase
	// lateness is 0 while the job can end on time, 1 while its end is worth
	// something, 2 after that or if it exceeds its team's share.
	lateness    int
	priority    int
	latestStart time.Time
}

// rankedPhases returns the open phases, those to be served first in front: work that
// can still be on time before work that is late, then by the queue's priority,
// then by the latest start that keeps what is owed.
func (b *Scheduler) rankedPhases() []*phase {
	list := make([]rankedPhase, 0, len(b.openPhases))
	for u := range b.openPhases {
		if u.tasksWaiting == 0 {
			continue
		}
		s := rankedPhase{phase: u}
		left := b.expectedTimeLeft(u)
		left += left/marginDivisor + minMargin
		switch {
		case u.job.overShare:
			s.lateness = 2
		case !b.now.Add(left).After(u.job.onTimeUntil):
		case !b.now.Add(left).After(u.job.usefulUntil):
			s.lateness = 1
		default:
			s.lateness = 2
		}
		s.latestStart = u.job.onTimeUntil.Add(-left)
		if q := b.policy.Queues[u.job.Spec.Queue]; q != nil {
			s.priority = q.Priority
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(x, y rankedPhase) int {
		return cmp.Or(cmp.Compare(x.lateness, y.lateness), cmp.Compare(x.priority, y.priority),
			x.latestStart.Compare(y.latestStart), cmp.Compare(x.phase.job.seq, y.phase.job.seq), cmp.Compare(x.phase.firstPosition, y.phase.firstPosition))
	})
	out := make([]*phase, len(list))
	for i, s := range list {
		out[i] = s.phase
	}
	return out
}

// expectedTimeLeft is the expected time from the start of a phase to the end of its
// job, along the longest chain. What is learned moves it slowly.
func (b *Scheduler) expectedTimeLeft(u *phase) time.Duration {
	if !u.timeLeftAt.IsZero() && b.now.Sub(u.timeLeftAt) < timeLeftTTL {
		return u.timeLeft
	}
	phases := u.job.Spec.Phases
	tail := make([]time.Duration, len(phases))
	for i := len(phases) - 1; i >= u.id.Phase; i-- {
		tail[i] += b.estimator.Predict(u.job.Spec.Queue, phases[i].Estimate)
		for _, a := range phases[i].After {
			tail[a] = max(tail[a], tail[i])
		}
	}
	u.timeLeft, u.timeLeftAt = tail[u.id.Phase], b.now
	return u.timeLeft
}

// startable reports whether the phase has tasks that may be placed now; a gang
// waits until nothing is left of its last run.
func (u *phase) startable() bool {
	if u.spec.Gang {
		return u.tasksWaiting == u.spec.Count && u.tasksPlaced == 0
	}
	return u.tasksWaiting > 0
}

// canRunOn reports whether the phase may run on a worker at all.
func (u *phase) canRunOn(w *Worker) bool {
	b := u.job.scheduler
	if !w.usable() || !u.need().Fits(w.info.Room) {
		return false
	}
	if q := b.policy.Queues[u.job.Spec.Queue]; q == nil || q.Service != w.info.Service {
		return false
	}
	return u.spec.Label == "" || slices.Contains(w.info.Labels, u.spec.Label)
}

// slotsOn returns how many tasks of the phase fit into what a worker has free.
func (u *phase) slotsOn(w *Worker, need, free core.Resources) int {
	n := unbounded
	if u.spec.PerWorker > 0 {
		n = u.spec.PerWorker - w.countTasks(u)
	}
	for _, d := range [][2]int64{{need.Cores, free.Cores}, {need.Memory, free.Memory}, {need.Accel, free.Accel}} {
		if d[0] > 0 {
			n = min(n, int(d[1]/d[0]))
		}
	}
	return max(n, 0)
}

func (w *Worker) countTasks(u *phase) int {
	n := 0
	for _, t := range w.tasks {
		if t.phase == u {
			n++
		}
	}
	for _, s := range w.orphans {
		if s.task.PhaseID == u.id {
			n++
		}
	}
	return n
}

// withinLimit reports whether a team may run n more tasks.
func (b *Scheduler) withinLimit(u *phase, need core.Resources, n int) bool {
	t := b.policy.Teams[u.job.Spec.Team]
	if t == nil {
		return true
	}
	// What an earlier owner may have started fits on the workers not heard of.
	after := b.used[u.job.Spec.Team].Add(b.unresolvedNeed[u.job.Spec.Team].Min(b.unreportedRoom))
	for _, d := range [][3]int64{
		{need.Cores, after.Cores, t.Limit.Cores}, {need.Memory, after.Memory, t.Limit.Memory}, {need.Accel, after.Accel, t.Limit.Accel},
	} {
		if d[2] > 0 && d[0] > 0 && d[1]+int64(n)*d[0] > d[2] {
			return false
		}
	}
	return true
}

// freeWorker is a worker that a phase may use now.
type freeWorker struct {
	worker *Worker
	ticket string
	// slots is how many tasks still fit.
	slots int
	score float64
}

// freeWorkers returns the workers with room for the phase, the best first.
func (u *phase) freeWorkers() []freeWorker {
	b := u.job.scheduler
	need := u.need()
	var out []freeWorker
	add := func(w *Worker, ticket string) {
		if !u.canRunOn(w) {
			return
		}
		if n := u.slotsOn(w, need, w.free); n > 0 {
			out = append(out, freeWorker{w, ticket, n, u.score(w, need)})
		}
	}
	if _, advised := u.advisor().Get(); !advised {
		for _, w := range b.sortedWorkers {
			add(w, "")
		}
	} else if good := b.now.Add(ticketSlack); good.Before(u.advice.ticketsUntil) {
		for id, t := range u.advice.allowed {
			if w := b.workers[id]; w != nil && good.Before(t.until) {
				add(w, t.text)
			}
		}
	}
	slices.SortFunc(out, func(x, y freeWorker) int {
		return cmp.Or(cmp.Compare(x.score, y.score), cmp.Compare(x.worker.id, y.worker.id))
	})
	return out
}

// score is lowest for the best worker: one that the task fills best, that is
// fast, and that is near the data.
func (u *phase) score(w *Worker, need core.Resources) float64 {
	room := max(w.info.Room.Cores, 1)
	s := float64(w.free.Cores-need.Cores)/float64(room) + slownessWeight*w.slowness
	if u.spec.Rack != "" && u.spec.Rack != w.info.Rack {
		s += u.job.scheduler.limits.RemoteFactor
	}
	return s
}

// placeAll starts what fits, and tells of work that has waited for a while what
// it waits for.
func (b *Scheduler) placeAll() {
	for _, u := range b.rankedPhases() {
		why := u.blockReason()
		switch {
		case why != "":
		case u.spec.Gang:
			why = b.placeGang(u)
		default:
			why = b.placeTasks(u)
		}
		u.logWait(why)
	}
}

// blockReason says why no task of the phase may start, whatever room there is.
func (u *phase) blockReason() string {
	switch b := u.job.scheduler; {
	case !u.startable():
		return "last run of the gang has not ended"
	case !b.withinLimit(u, u.need(), u.minStartCount()):
		return "team is at its limit"
	}
	return ""
}

// logWait logs now and then why work that has waited for long still waits.
func (u *phase) logWait(why string) {
	b := u.job.scheduler
	waited := b.now.Sub(u.openedAt)
	if why == "" || waited < waitLogDelay || b.now.Sub(u.waitLoggedAt) < waitLogInterval {
		return
	}
	u.waitLoggedAt = b.now
	b.logDecision(Decision{Job: u.id.Job, Event: "waits", Task: u.id.String(), Wait: waited, Reason: why})
}

// placeTasks starts as many waiting tasks as fit, and says why others do not.
func (b *Scheduler) placeTasks(u *phase) string {
	seats := u.freeWorkers()
	if len(seats) == 0 {
		return u.noFreeWorkerReason()
	}
	for _, t := range u.tasks {
		if t.state != taskWaiting {
			continue
		}
		i := slices.IndexFunc(seats, func(s freeWorker) bool { return s.slots > 0 && !t.avoid.Has(s.worker.id) })
		if i < 0 {
			// A task that has failed everywhere may run anywhere again.
			i = slices.IndexFunc(seats, func(s freeWorker) bool { return s.slots > 0 && len(t.avoid) >= len(seats) })
		}
		if i < 0 {
			continue
		}
		if !b.withinLimit(u, u.need(), 1) {
			return "team is at its limit"
		}
		b.startTask(t, seats[i], u.nextRun(t.run), t.checkpoint)
		seats[i].slots--
	}
	if u.tasksWaiting > 0 {
		return u.noFreeWorkerReason()
	}
	return ""
}

// noFreeWorkerReason says why no worker can take a task.
func (u *phase) noFreeWorkerReason() string {
	switch _, advised := u.advisor().Get(); {
	case advised && !u.advice.received:
		return "placement policy has not answered"
	case advised && u.job.scheduler.now.Before(u.advice.lostAt):
		return "placement policy is being asked again"
	}
	return "no worker that may run it has room"
}

// placeGang starts all tasks together, or none and says why.
func (b *Scheduler) placeGang(u *phase) string {
	seats := u.freeWorkers()
	if u.spec.SameRack {
		seats = oneRack(seats, u.spec.Count)
	}
	room := 0
	for _, s := range seats {
		room = min(room+s.slots, u.spec.Count)
	}
	if room < u.spec.Count {
		return fmt.Sprintf("%s for all %d tasks at once", u.noFreeWorkerReason(), u.spec.Count)
	}
	run := u.nextRun(u.gangRun)
	for _, t := range u.tasks {
		run = max(run, u.nextRun(t.run))
	}
	u.gangRun = run
	at := 0
	for _, t := range u.tasks {
		for seats[at].slots == 0 {
			at++
		}
		b.startTask(t, seats[at], run, u.gangCheckpoint)
		seats[at].slots--
	}
	return ""
}

// oneRack returns the seats of the rack that holds the whole gang best, or all
// seats if none does.
func oneRack(seats []freeWorker, count int) []freeWorker {
	racks := map[string][]freeWorker{}
	var names []string
	for _, s := range seats {
		rack := s.worker.info.Rack
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

// startTask places one task.
func (b *Scheduler) startTask(t *Task, s freeWorker, run uint64, saved string) {
	t.run, t.eventWorker = run, s.worker
	t.fire(taskPlace)
	b.counts.Starts++
	b.addOrder(Order{
		Kind: OrderStart, Worker: s.worker.id, Task: t.ID(), Run: run,
		Payload: t.phase.job.Spec.Payload, Checkpoint: saved, Ticket: s.ticket,
	})
	b.logDecision(Decision{Job: t.phase.id.Job, Event: "placed", Worker: s.worker.id, Task: t.ID().String(), Run: run, Wait: b.now.Sub(t.phase.openedAt)})
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
		b.logDecision(Decision{Job: id.Job, Event: "start not confirmed", Worker: worker, Task: id.String(), Run: run, Reason: r.String()})
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
		t.phase.advice.expireTickets(worker)
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
		t.stopAckedAt = now
	}
	if w := b.workers[worker]; w != nil {
		for i := range w.orphans {
			if s := &w.orphans[i]; s.task == id && s.run == run {
				s.stopAckedAt = now
			}
		}
	}
}

// logDecision adds a decision to the log.
func (b *Scheduler) logDecision(n Decision) { b.decisions = append(b.decisions, n) }
