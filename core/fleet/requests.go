package fleet

import (
	"slices"
	"time"
)

// This file decides for which phases advice is requested in one round, and in which order.

// adviceLane names the phases of a round that the same events exclude.
type adviceLane struct {
	// base is the duration of a call that names no worker.
	base time.Duration
	// intervalOver is whether a low-yield request may be sent though most VMs are busy.
	intervalOver bool
}

// adviceRound is the state of one round of advice requests.
type adviceRound struct {
	peers AdvicePeers
	bases []baseCapacity
	// exhausted counts the entries of bases that no VM accepts any more.
	exhausted int
	// promising orders the phases for which a request may be worthwhile, lowYield those for which
	// a request that is unlikely to let tasks start may be sent. Unpromising holds the phases for
	// which no request is worthwhile, examined all phases for which that has been found.
	promising, lowYield   turns[adviceLane]
	unpromising, examined []*phase
}

// baseCapacity is whether a VM accepts calls of a duration.
type baseCapacity struct {
	base time.Duration
	// exhausted is set once no VM does, which the request for last has caused; its phase is nil
	// if none did at the start of the round.
	exhausted bool
	last      rankedPhase
}

// begin begins a round.
func (a *adviceRound) begin(peers AdvicePeers) {
	a.peers, a.bases, a.exhausted = peers, a.bases[:0], 0
	a.promising.reset()
	a.lowYield.reset()
	clear(a.unpromising)
	clear(a.examined)
	a.unpromising, a.examined = a.unpromising[:0], a.examined[:0]
}

// capacity returns the capacity for calls of a duration. Each duration is first looked up
// before the first request of the round.
func (a *adviceRound) capacity(base time.Duration) *baseCapacity {
	i := slices.IndexFunc(a.bases, func(c baseCapacity) bool { return c.base == base })
	if i < 0 {
		i = len(a.bases)
		a.bases = append(a.bases, baseCapacity{base: base})
		a.lookUp(&a.bases[i], rankedPhase{})
	}
	return &a.bases[i]
}

// lookUp notes whether there is capacity left after the request for a phase.
func (a *adviceRound) lookUp(c *baseCapacity, last rankedPhase) {
	if !c.exhausted && !a.peers.HasCapacity(c.base) {
		c.exhausted, c.last = true, last
		a.exhausted++
	}
}

// sent notes that a request for a phase has been sent.
func (a *adviceRound) sent(r rankedPhase) {
	for i := range a.bases {
		a.lookUp(&a.bases[i], r)
	}
}

// had reports whether there was capacity when it was the turn of a phase.
func (c *baseCapacity) had(r *rankedPhase) bool {
	return !c.exhausted || c.last.phase != nil && r.compare(&c.last) < 0
}

// AdviceRequests sends the advice requests that are worthwhile now, the most
// urgent first. A request that would have to queue is not sent: by the time its
// call begins, other work may be more urgent and other workers may have room.
// Requests that are unlikely to let tasks start are sent while most VMs are
// idle, and otherwise at most once per lowYieldInterval and phase.
func (s *Scheduler) AdviceRequests(now time.Time, peers AdvicePeers) {
	s.now = now
	if !peers.HasCapacity(0) {
		return
	}
	if s.exhaustive {
		s.requestExhaustively(peers)
		return
	}
	s.beginPass()
	a := &s.round
	a.begin(peers)
	since := s.sinceStart(now)
	for i := range s.open.phases {
		o := &s.open.phases[i]
		p, needsAdvice := o.phase, o.group != nil && o.group.needsAdvice
		if needsAdvice && o.adviceAt > since || !needsAdvice && o.lookAt > since {
			continue
		}
		if p.tasksWaiting == 0 || !needsAdvice && !s.isTimeToEndOld(p) || !p.mayRequestAdvice() {
			continue
		}
		s.expectedTimeToEnd(p)
		switch {
		case !needsAdvice:
		case p.mayBeWorthRequest():
			advisor, _ := p.advisor().Get()
			a.capacity(advisor.Base)
			a.promising.add(adviceLane{base: advisor.Base}, s.rank(p))
		default:
			advisor, _ := p.advisor().Get()
			a.capacity(advisor.Base)
			a.unpromising = append(a.unpromising, p)
		}
	}
	s.sendPromising()
	s.sendLowYield()
}

// sendPromising sends the worthwhile requests and collects the phases for which there is none.
func (s *Scheduler) sendPromising() {
	a := &s.round
	a.promising.start()
	for r, lane, ok := a.promising.first(); ok; r, lane, ok = a.promising.first() {
		if a.capacity(lane.base).exhausted {
			a.promising.drop()
			continue
		}
		a.promising.pop()
		p := r.phase
		advisor, _ := p.advisor().Get()
		if workers := p.workersToRequest(advisor, p.workersWithRoom()); len(workers) > 0 {
			s.requestAdvice(a.peers, p, advisor, workers)
			a.sent(r)
			continue
		}
		a.examined = append(a.examined, p)
	}
	for _, p := range a.unpromising {
		advisor, _ := p.advisor().Get()
		c := a.capacity(advisor.Base)
		if !c.exhausted {
			a.examined = append(a.examined, p)
			continue
		}
		if r := s.rank(p); c.had(&r) {
			a.examined = append(a.examined, p)
		}
	}
	for _, p := range a.examined {
		p.advice.recheckAt = s.now.Add(recheckDelay)
		s.open.phases[p.listed-1].adviceAt = s.sinceStart(p.advice.recheckAt)
	}
}

// sendLowYield sends requests that are unlikely to let tasks start.
func (s *Scheduler) sendLowYield() {
	a := &s.round
	if a.exhausted == len(a.bases) {
		return
	}
	idle := a.peers.MostlyIdle()
	for _, p := range a.examined {
		advisor, _ := p.advisor().Get()
		intervalOver := s.now.Sub(p.openedAt) > lowYieldInterval && s.now.Sub(p.advice.lowYieldAt) > lowYieldInterval
		if (idle || intervalOver) && !a.capacity(advisor.Base).exhausted && p.mayYield() {
			a.lowYield.add(adviceLane{advisor.Base, intervalOver}, s.rank(p))
		}
	}
	a.lowYield.start()
	for r, lane, ok := a.lowYield.first(); ok; r, lane, ok = a.lowYield.first() {
		if a.capacity(lane.base).exhausted || !idle && !lane.intervalOver {
			a.lowYield.drop()
			continue
		}
		a.lowYield.pop()
		p := r.phase
		advisor, _ := p.advisor().Get()
		if workers := p.lowYieldWorkers(advisor, p.workersWithRoom()); len(workers) > 0 {
			p.advice.lowYieldAt = s.now
			s.requestAdvice(a.peers, p, advisor, workers)
			a.sent(r)
			idle = idle && a.peers.MostlyIdle()
		}
	}
}

// mayRequestAdvice reports whether it may be worthwhile to request advice for the phase now.
func (p *phase) mayRequestAdvice() bool {
	now := p.job.scheduler.now
	isPending := !p.advice.requestedAt.IsZero() && now.Before(p.advice.lostAt)
	return !p.job.scheduler.evacuation.stale && !isPending && !now.Before(p.advice.recheckAt) && p.startable() && p.isRouted()
}

// isRouted is Job.isRouted for the phase's job.
func (p *phase) isRouted() bool {
	g := p.group()
	return g != nil && g.isRouted
}

// mayBeWorthRequest reports whether workersToRequest may return any workers. It does not if
// even all of the room is too little for the fewest tasks that a request should let start.
func (p *phase) mayBeWorthRequest() bool {
	s, g := p.job.scheduler, p.group()
	r := s.rooms.roomOf(g)
	if r.slots == 0 || s.atLimit(g, p) {
		return false
	}
	required := p.minRequestTasks()
	// The share exceeds 1 if an advisor has allowed workers that were not named.
	return r.slots >= required || s.allowedShare(p.job.Spec.Queue)*float64(r.slots) >= float64(required)
}

// mayYield reports whether lowYieldWorkers may return any workers.
func (p *phase) mayYield() bool {
	s, g := p.job.scheduler, p.group()
	if !p.advice.received {
		return s.rooms.hasUsable(g)
	}
	slots := s.rooms.roomOf(g).slots
	return slots > 0 && slots >= p.minStartCount() && !s.atLimit(g, p)
}
