package fleet

import "slices"

// This file holds exhaustive placement, which sorts all open phases and looks at all workers
// for each of them. The decisions are the same; its cost grows with the backlog times the fleet. It shows
// whether a phase that waits has been left out by mistake.

// WithExhaustivePlacement makes the scheduler examine all open phases and all workers in each
// pass.
func WithExhaustivePlacement() Option { return func(s *Scheduler) { s.exhaustive = true } }

// placeExhaustively is placeAll for all open phases and workers.
func (s *Scheduler) placeExhaustively() {
	s.beginPass()
	for _, p := range s.sortedPhases(func(*phase) bool { return true }) {
		p.logWait(s.place(p, s.sortedWorkers))
	}
}

// requestExhaustively is AdviceRequests for all open phases and workers.
func (s *Scheduler) requestExhaustively(peers AdvicePeers) {
	s.beginPass()
	var lowYield []*phase
	for _, p := range s.sortedPhases((*phase).mayRequestAdvice) {
		advisor, ok := p.advisor().Get()
		if !ok || !peers.HasCapacity(advisor.Base) {
			continue
		}
		if workers := p.workersToRequest(advisor, s.sortedWorkers); len(workers) > 0 {
			s.requestAdvice(peers, p, advisor, workers)
			continue
		}
		p.advice.recheckAt = s.now.Add(recheckDelay)
		lowYield = append(lowYield, p)
	}
	for _, p := range lowYield {
		advisor, ok := p.advisor().Get()
		intervalOver := s.now.Sub(p.openedAt) > lowYieldInterval && s.now.Sub(p.advice.lowYieldAt) > lowYieldInterval
		if !ok || !peers.HasCapacity(advisor.Base) || !peers.MostlyIdle() && !intervalOver {
			continue
		}
		if workers := p.lowYieldWorkers(advisor, s.sortedWorkers); len(workers) > 0 {
			p.advice.lowYieldAt = s.now
			s.requestAdvice(peers, p, advisor, workers)
		}
	}
}

// sortedPhases returns the open phases with waiting tasks that are relevant, the most urgent
// first.
func (s *Scheduler) sortedPhases(isRelevant func(*phase) bool) []*phase {
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
