package fleet

import (
	"slices"
	"time"
)

// This file holds the plain way of placement, which sorts all open phases and looks at all
// workers for each of them. Tests compare the decisions of the scheduler with it.

// PlainTick is Tick in the plain way.
func (s *Scheduler) PlainTick(now time.Time) {
	s.beginTick(now)
	if !s.needsPlacement || !s.authority.acting {
		return
	}
	s.needsPlacement = false
	s.beginPass()
	for _, p := range s.plainRanked(func(*phase) bool { return true }) {
		p.logWait(s.place(p, s.sortedWorkers))
	}
}

// PlainAdviceRequests is AdviceRequests in the plain way.
func (s *Scheduler) PlainAdviceRequests(now time.Time, peers AdvicePeers) {
	s.now = now
	if !peers.HasCapacity(0) {
		return
	}
	s.beginPass()
	var lowYield []*phase
	for _, p := range s.plainRanked((*phase).mayRequestAdvice) {
		advisor, ok := p.advisor().Get()
		if !ok || !peers.HasCapacity(advisor.Base) {
			continue
		}
		if workers := p.workersToRequest(advisor, s.sortedWorkers); len(workers) > 0 {
			s.requestAdvice(peers, p, advisor, workers)
			continue
		}
		p.advice.recheckAt = now.Add(recheckDelay)
		lowYield = append(lowYield, p)
	}
	for _, p := range lowYield {
		advisor, ok := p.advisor().Get()
		intervalOver := now.Sub(p.openedAt) > lowYieldInterval && now.Sub(p.advice.lowYieldAt) > lowYieldInterval
		if !ok || !peers.HasCapacity(advisor.Base) || !peers.MostlyIdle() && !intervalOver {
			continue
		}
		if workers := p.lowYieldWorkers(advisor, s.sortedWorkers); len(workers) > 0 {
			p.advice.lowYieldAt = now
			s.requestAdvice(peers, p, advisor, workers)
		}
	}
}

// plainRanked returns the open phases with waiting tasks that are relevant, the most urgent
// first.
func (s *Scheduler) plainRanked(isRelevant func(*phase) bool) []*phase {
	var ranked []rankedPhase
	for _, o := range s.open.phases {
		p := o.phase
		if p.tasksWaiting > 0 && isRelevant(p) {
			ranked = append(ranked, s.rank(p))
		}
	}
	slices.SortFunc(ranked, func(x, y rankedPhase) int { return x.compare(&y) })
	out := make([]*phase, len(ranked))
	for i, r := range ranked {
		out[i] = r.phase
	}
	return out
}
