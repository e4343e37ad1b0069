package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/policy"
	"chicoryturn/core/rank"
)

const (
	// slownessWeight weighs a worker's learned slowness against the share of
	// its cores that a placement leaves free.
	slownessWeight = 0.5
	// unbounded is the number of slots if nothing bounds the tasks on a worker.
	unbounded = math.MaxInt
	// Work counts as on time if it would meet its deadline even when it takes
	// 1/marginDivisor plus minMargin longer than expected: most run times are
	// within an eighth of the estimate, and it takes about 100 ms until the
	// owner has learned of an end and recorded it.
	marginDivisor = 8
	minMargin     = 100 * time.Millisecond
	// timeToEndTTL is how long a phase's timeToEnd is reused; the estimates
	// behind it change slowly.
	timeToEndTTL = 300 * time.Millisecond
	// maxSmallRuns bounds the runs on a worker to which tasks are added that ask for
	// nothing: each answer to a heartbeat lists all of them.
	maxSmallRuns = 500
	// MaxGang bounds the tasks of a gang, which are all started at once.
	MaxGang = 4000
	// memoryReason and startsReason say why a phase waits.
	memoryReason = "the team's jobs take up the owner's memory"
	startsReason = "too many starts of the team are in flight"
	// unroutedReason says why no task of a job starts.
	unroutedReason = "the configuration names neither the queue nor its service"
	// waitLogDelay is how long a phase waits before the reason is logged,
	// waitLogInterval the time between two such lines.
	waitLogDelay    = time.Second
	waitLogInterval = 2 * time.Second
	// coreUnits is a core in the unit of core.Resources.
	coreUnits = 1000
	// tickInterval is the longest interval between two checks of leases and due
	// times.
	tickInterval = 100 * time.Millisecond
)

// Tick makes the decisions that depend on time: it opens phases that are due,
// orders heartbeats, repeats stops and starts the tasks that fit. It returns
// when it must be called next.
func (s *Scheduler) Tick(now time.Time) time.Time {
	s.beginTick(now)
	if s.needsPlacement && s.authority.acting {
		s.needsPlacement = false
		s.placeAll()
	}
	return now.Add(tickInterval)
}

// beginTick is the part of a tick before the placement.
func (s *Scheduler) beginTick(now time.Time) {
	s.now = now
	s.checkLateness()
	s.buildDue()
	if len(s.unresolved) > 0 || len(s.heldPhases) > 0 {
		s.unreportedCapacity = s.sumUnreportedCapacity()
	}
	s.updateActing()
	s.lapseSilent()
	s.accountForSilent()
	s.logUnreached()
	s.orderHeartbeats()
	s.repeatStops()
}

// rankedPhase is a phase with its place in the order of placement.
type rankedPhase struct {
	phase *phase
	key   rank.Key
}

// rank returns the phase with its place in the order.
func (s *Scheduler) rank(p *phase) rankedPhase { return rankedPhase{p, s.claim(p).Key()} }

// claim returns what the place of a phase in the order depends on.
func (s *Scheduler) claim(p *phase) rank.Claim {
	timeToEnd := s.expectedTimeToEnd(p)
	timeToEnd += timeToEnd/marginDivisor + minMargin
	c := rank.Claim{
		Ends: s.now.Add(timeToEnd), Deadline: p.job.deadline, UsefulUntil: p.job.usefulUntil, Surplus: p.job.exceedsShare,
		Work: float64(p.tasksLeft) * float64(p.need().Cores) * s.estimator.Predict(p.job.Spec.Queue, p.spec.Estimate).Seconds() / coreUnits,
	}
	if g := p.group(); g != nil {
		c.Priority = g.queue.Priority
	}
	return c
}

// compare orders phases, the most urgent first.
func (r *rankedPhase) compare(o *rankedPhase) int {
	if c := r.key.Compare(o.key); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(r.phase.job.seq, o.phase.job.seq), cmp.Compare(r.phase.firstPosition, o.phase.firstPosition))
}

// expectedTimeToEnd returns the expected time from the start of a phase to the
// end of its job, along the critical path.
func (s *Scheduler) expectedTimeToEnd(p *phase) time.Duration {
	if !s.isTimeToEndOld(p) {
		return p.timeToEnd
	}
	phases := p.job.Spec.Phases
	timesToEnd := make([]time.Duration, len(phases))
	for i := len(phases) - 1; i >= p.id.Phase; i-- {
		timesToEnd[i] += s.estimator.Predict(p.job.Spec.Queue, phases[i].Estimate)
		for _, a := range phases[i].After {
			timesToEnd[a] = max(timesToEnd[a], timesToEnd[i])
		}
	}
	p.timeToEnd, p.timeToEndAt = timesToEnd[p.id.Phase], s.now
	return p.timeToEnd
}

// isTimeToEndOld reports whether the phase's timeToEnd must be computed again.
func (s *Scheduler) isTimeToEndOld(p *phase) bool {
	return p.timeToEndAt.IsZero() || s.now.Sub(p.timeToEndAt) >= timeToEndTTL
}

// startable reports whether the phase has tasks that may be placed now. A gang
// waits until no member of its last run holds room.
func (p *phase) startable() bool {
	if p.spec.Gang {
		return p.tasksWaiting == p.spec.Count && p.tasksPlaced == 0
	}
	return p.tasksWaiting > 0
}

// canRunOn reports whether the phase may run on the worker, whatever room is
// free there. Its queue is q, nil if the policy has none.
func (p *phase) canRunOn(w *Worker, q *policy.Queue) bool {
	return q != nil && w.usable() && p.suits(w, q)
}

// suits reports whether the worker is one for tasks of the phase, whose queue is q.
func (p *phase) suits(w *Worker, q *policy.Queue) bool {
	return p.need().FitsIn(w.info.Capacity) && q.Service == w.info.Service && w.hasLabel(p.spec.Label)
}

// hasLabel reports whether the worker has a label, which each has if it is empty.
func (w *Worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.info.Labels, label)
}

// queue returns the policy of the phase's queue, nil if there is none.
func (p *phase) queue() *policy.Queue { return p.job.queue() }

// slotsOn returns how many tasks of the phase fit into the free room of a
// worker.
func (p *phase) slotsOn(w *Worker, need, free core.Resources) int {
	n := slotsIn(need, free)
	if p.spec.PerWorker > 0 && n > 0 {
		n = min(n, p.spec.PerWorker-w.countTasks(p))
	}
	if n == unbounded {
		n = maxSmallRuns - len(w.tasks) - len(w.orphans)
	}
	return max(n, 0)
}

// slotsIn returns how often a need fits into free room: unbounded if it asks for nothing,
// below 1 if not at all.
func slotsIn(need, free core.Resources) int {
	n := unbounded
	for _, d := range [...][2]int64{{need.Cores, free.Cores}, {need.Memory, free.Memory}, {need.Accel, free.Accel}} {
		if d[0] > 0 {
			n = min(n, int(d[1]/d[0]))
		}
	}
	return n
}

// countTasks counts the runs of a phase on the worker, orphaned ones included.
func (w *Worker) countTasks(p *phase) int {
	n := 0
	for _, t := range w.tasks {
		if t.phase == p {
			n++
		}
	}
	for _, o := range w.orphans {
		if o.task.PhaseID == p.id {
			n++
		}
	}
	return n
}

// withinLimit reports whether the phase's team may run n more tasks.
func (s *Scheduler) withinLimit(p *phase, need core.Resources, n int) bool {
	limit := p.job.teamLimit()
	// Runs of an earlier owner that are not known yet cannot exceed the capacity
	// of the workers that have not reported.
	used := s.used[p.job.Spec.Team].Add(s.unresolvedNeed[p.job.Spec.Team].Min(s.unreportedCapacity))
	for _, d := range [][3]int64{
		{need.Cores, used.Cores, limit.Cores}, {need.Memory, used.Memory, limit.Memory}, {need.Accel, used.Accel, limit.Accel},
	} {
		if d[2] > 0 && d[0] > 0 && d[1]+int64(n)*d[0] > d[2] {
			return false
		}
	}
	return true
}

// freeWorker is a worker with room for tasks of a phase.
type freeWorker struct {
	worker *Worker
	ticket string
	// slots is how many more tasks fit.
	slots int
	// score is lowest for the best worker.
	score float64
}

// scratch holds slices whose memory is used again, for the workers of one phase after another.
type scratch struct {
	free    []freeWorker
	unnamed []adviceCandidate
}

// freeWorkers returns those of some workers that have room for the phase, the best first. They
// are valid until the next call.
func (p *phase) freeWorkers(among []*Worker) []freeWorker {
	s := p.job.scheduler
	need, queue := p.need(), p.queue()
	out := s.scratch.free[:0]
	add := func(w *Worker, ticket string) {
		if !p.canRunOn(w, queue) {
			return
		}
		if n := p.slotsOn(w, need, w.free); n > 0 {
			out = append(out, freeWorker{w, ticket, n, p.score(w, need)})
		}
	}
	if _, needsAdvice := p.advisor().Get(); !needsAdvice {
		for _, w := range among {
			add(w, "")
		}
	} else if minExpiry := s.now.Add(ticketSlack); minExpiry.Before(p.advice.ticketsUntil) {
		p.eachAllowed(among, func(w *Worker, t ticket) bool {
			if minExpiry.Before(t.until) {
				add(w, t.text)
			}
			return true
		})
	}
	slices.SortFunc(out, func(x, y freeWorker) int {
		if x.score != y.score {
			return cmp.Compare(x.score, y.score)
		}
		return cmp.Compare(x.worker.id, y.worker.id)
	})
	s.scratch.free = out
	return out
}

// score rates a worker for the phase. It is lowest for a worker that the task
// would leave little free room on, that is fast, and that is in the rack of the
// data; a cold worker's is above that of any other.
func (p *phase) score(w *Worker, need core.Resources) float64 {
	capacity := max(w.info.Capacity.Cores, 1)
	score := float64(w.free.Cores-need.Cores)/float64(capacity) + slownessWeight*w.slowness
	if p.spec.Rack != "" && p.spec.Rack != w.info.Rack {
		score += p.job.scheduler.limits.RemoteFactor
	}
	if w.isCold() {
		score += coldScore
	}
	return score
}

// placeAll starts the tasks that fit, the most urgent first, and logs why other phases wait.
// It leaves out the phases that cannot start and of which no log line is due.
func (s *Scheduler) placeAll() {
	if s.exhaustive {
		s.placeExhaustively()
		return
	}
	s.beginPass()
	s.placing.reset()
	now := s.sinceStart(s.now)
	for i := range s.open.phases {
		o := &s.open.phases[i]
		p, isDue := o.phase, o.lookAt <= now
		if !isDue && !s.hasRoom(o.group, p) {
			continue
		}
		if p.tasksWaiting == 0 {
			o.lookAt = now
			continue
		}
		if isDue {
			// The time is computed at fixed intervals, whether it is used now or not.
			s.expectedTimeToEnd(p)
			o.lookAt = s.nextLook(p)
		}
		switch {
		case isDue && p.waitLogDue():
			s.placing.add(nil, s.rank(p))
		case o.group != nil && !o.group.needsAdvice && p.mayFit():
			s.placing.add(o.group, s.rank(p))
		}
	}
	s.addTicketed()
	s.placing.start()
	for r, g, ok := s.placing.first(); ok; r, g, ok = s.placing.first() {
		p := r.phase
		switch {
		case g == nil:
			s.placing.pop()
			p.logWait(s.place(p, p.workersWithRoom()))
		case s.rooms.roomOf(g).slots == 0 || s.atLimit(g, p):
			s.placing.drop()
		default:
			s.placing.pop()
			if p.mayFit() {
				s.place(p, p.workersWithRoom())
			}
		}
	}
}

// place starts the tasks of a phase that fit on some workers. It returns why others still
// wait, or "".
func (s *Scheduler) place(p *phase, among []*Worker) string {
	reason := p.blockReason()
	switch {
	case reason != "":
		return reason
	case p.spec.Gang:
		return s.placeGang(p, among)
	}
	return s.placeTasks(p, among)
}

// blockReason returns why no task of the phase may start whatever room is free,
// or "".
func (p *phase) blockReason() string {
	switch s := p.job.scheduler; {
	case s.evacuation.stale:
		return staleReason
	case !p.startable():
		return "previous run of the gang has not ended"
	case p.spec.Gang && !p.verified():
		return unverifiedReason
	case !p.job.isRouted():
		return unroutedReason
	case !s.withinLimit(p, p.need(), p.minStartCount()):
		return "team is at its limit"
	}
	return ""
}

// waitLogDue reports whether it is to be logged if the phase waits: once it has waited for
// waitLogDelay, and again after each waitLogInterval.
func (p *phase) waitLogDue() bool {
	now := p.job.scheduler.now
	return now.Sub(p.waitLoggedAt) >= waitLogInterval && now.Sub(p.openedAt) >= waitLogDelay
}

// logWait logs why a phase waits, if that is due.
func (p *phase) logWait(reason string) {
	s := p.job.scheduler
	if reason == "" || !p.waitLogDue() {
		return
	}
	p.waitLoggedAt = s.now
	s.logDecision(Decision{Job: p.id.Job, Event: "waits", Task: p.id.String(), Wait: s.now.Sub(p.openedAt), Reason: p.withEvacuation(reason), Class: s.claim(p).Class().String()})
}

// placeTasks starts as many waiting tasks as fit on some workers. It returns why others still
// wait, or "".
func (s *Scheduler) placeTasks(p *phase, among []*Worker) string {
	free := p.freeWorkers(among)
	if len(free) == 0 {
		return p.noFreeWorkerReason()
	}
	for index := range p.spec.Count {
		if !p.isWaiting(index) {
			continue
		}
		avoid := p.avoidedBy(index)
		i := slices.IndexFunc(free, func(f freeWorker) bool { return f.slots > 0 && !avoid.Has(f.worker.id) })
		if i < 0 {
			// A task that has failed on all these workers may run on any of
			// them again.
			i = slices.IndexFunc(free, func(f freeWorker) bool { return f.slots > 0 && len(avoid) >= len(free) })
		}
		if i < 0 && len(avoid) == 0 {
			// No worker has room for any task.
			break
		}
		if i < 0 {
			continue
		}
		switch {
		case !s.withinLimit(p, p.need(), 1):
			return "team is at its limit"
		case !p.mayAddTasks(index, 1):
			return memoryReason
		case !s.starts.Admits(p.job.Spec.Team, 1):
			return startsReason
		}
		t := p.task(index)
		s.startTask(t, free[i], p.nextRun(t.run), t.checkpoint)
		free[i].slots--
	}
	switch {
	case p.tasksWaiting > 0 && !p.verified():
		return unverifiedReason
	case p.tasksWaiting > 0:
		return p.noFreeWorkerReason()
	}
	return ""
}

// isWaiting reports whether the task with an index may be placed.
func (p *phase) isWaiting(index int) bool {
	if t := p.tasks[index]; t != nil {
		return t.state == taskWaiting && t.verified()
	}
	return p.held == 0 && !p.isDone(index)
}

// mayAddTasks reports whether there is memory for n tasks, unless the one with an index has
// a state of its own already.
func (p *phase) mayAddTasks(index, n int) bool {
	return p.tasks[index] != nil || p.job.scheduler.placed.AdmitsOne(p.job.Spec.Team, int64(n)*taskBytes)
}

// avoidedBy returns the workers that the task with an index avoids.
func (p *phase) avoidedBy(index int) core.Set[core.WorkerID] {
	if t := p.tasks[index]; t != nil {
		return t.avoid
	}
	return nil
}

// noFreeWorkerReason returns why no worker can take a task.
func (p *phase) noFreeWorkerReason() string {
	switch _, needsAdvice := p.advisor().Get(); {
	case needsAdvice && !p.advice.received:
		return "placement advisor has not answered"
	case needsAdvice && p.job.scheduler.now.Before(p.advice.lostAt):
		return "another advice request is in flight"
	}
	return "no worker that may run it has room"
}

// placeGang starts all tasks of a gang together on some workers, or none and returns why.
func (s *Scheduler) placeGang(p *phase, among []*Worker) string {
	free := p.freeWorkers(among)
	if warm := warmOf(free); len(warm) < len(free) && slotsOf(warm, p.spec.Count) == p.spec.Count {
		free = warm
	}
	if p.spec.SameRack {
		free = oneRack(free, p.spec.Count)
	}
	if slotsOf(free, p.spec.Count) < p.spec.Count {
		return fmt.Sprintf("%s (gang of %d tasks)", p.noFreeWorkerReason(), p.spec.Count)
	}
	switch {
	case p.spec.Count > MaxGang:
		return fmt.Sprintf("a gang of %d tasks cannot be started at once", p.spec.Count)
	case !p.mayAddTasks(0, p.spec.Count):
		return memoryReason
	case !s.starts.AdmitsOne(p.job.Spec.Team, int64(p.spec.Count)):
		return startsReason
	}
	run := p.nextRun(p.gangRun)
	for _, t := range p.tasks {
		run = max(run, p.nextRun(t.run))
	}
	p.gangRun = run
	i := 0
	for index := range p.spec.Count {
		for free[i].slots == 0 {
			i++
		}
		s.startTask(p.task(index), free[i], run, p.gangCheckpoint)
		free[i].slots--
	}
	return ""
}
