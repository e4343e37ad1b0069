package fleet

import (
	"cmp"
	"slices"

	"chicoryturn/core"
	"chicoryturn/core/policy"
)

// This file selects the workers that an advice request names. Each worker named
// makes the call longer, and a VM makes one call at a time: on a fleet of
// hundreds of workers, requests with too few names start nothing, and requests
// with too many keep all VMs busy.

const (
	// A request names allowed workers until they have room for spareTasks more
	// tasks than are waiting, since other tasks may take that room before the
	// answer arrives.
	spareTasks = 2
	// A request names unnamed workers until the number of tasks that are
	// expected to start on them is requestMargin times that of the waiting
	// tasks. It names at least minRequestWorkers if there are as many.
	requestMargin     = 1.5
	minRequestWorkers = 8
	// The waiting tasks divided by minTasksDivisor is the fewest that a request
	// should let start.
	minTasksDivisor = 4
	// priorAllowedShare is the assumed share of allowed workers before the
	// advisor has answered for a queue, with the weight of priorWeight named
	// workers. Once more than maxShareWeight have been named, the weight of
	// older answers is halved.
	priorAllowedShare = 0.4
	priorWeight       = 20.0
	maxShareWeight    = 2000.0
	// hashMultiplier mixes the bits of two hashes: 2^64 over the golden ratio.
	hashMultiplier = 0x9e3779b97f4a7c15
)

// adviceCandidate is a worker that an advice request may name, with the number
// of the phase's tasks that it has room for.
type adviceCandidate struct {
	worker core.WorkerID
	slots  int
	// rank is a hash that spreads the requests for many phases over otherwise
	// equal workers. Its highest bit is set for cold ones, which come last: sorting
	// took a third longer with a field more.
	rank uint64
}

// coldBit is the bit of a rank that marks a cold worker.
const coldBit = 1 << 63

// rankOf returns the rank of a worker for the phase.
func (p *phase) rankOf(w *Worker) uint64 {
	rank := (w.nameHash ^ p.job.hash) * hashMultiplier >> 1
	if w.isCold() {
		rank |= coldBit
	}
	return rank
}

// adviceCandidates are the workers that a request for a phase may name.
type adviceCandidates struct {
	// readySlots counts the tasks that fit on workers whose tickets outlast a
	// call.
	readySlots int
	// expiring holds the allowed workers with room whose tickets do not outlast
	// a call, unnamed those that no request has named, with or without room.
	expiring, unnamed []adviceCandidate
}

// adviceCandidates collects the workers that a request may name. For a gang it
// prefers the workers with the most room, since each one named makes the call
// longer; other phases leave large free room to the tasks that need it. It considers some
// workers only. The candidates are valid until the next call.
func (p *phase) adviceCandidates(advisor policy.Advisor, among []*Worker) adviceCandidates {
	s := p.job.scheduler
	need, queue := p.need(), p.queue()
	// A ticket that expires before the call is answered cannot be combined with
	// the tickets of its answer.
	renewBefore := s.now.Add(ticketSlack + advisor.Cost(min(p.tasksWaiting, maxRequestWorkers)))
	out := adviceCandidates{unnamed: s.scratch.unnamed[:0]}
	for _, w := range among {
		if !p.canRunOn(w, queue) {
			continue
		}
		candidate := adviceCandidate{w.id, p.slotsOn(w, need, w.free), p.rankOf(w)}
		t, allowed := p.advice.allowed[w.id]
		switch {
		case !p.advice.named.Has(w.id):
			out.unnamed = append(out.unnamed, candidate)
		case !allowed || candidate.slots == 0:
		case t.until.After(renewBefore):
			out.readySlots += candidate.slots
		default:
			out.expiring = append(out.expiring, candidate)
		}
	}
	s.scratch.unnamed = out.unnamed
	sortCandidates(out.expiring, true)
	sortCandidates(out.unnamed, p.spec.Gang)
	return out
}

// sortCandidates puts workers with room first, of these warm ones; with mostFirst, it sorts
// them by the number of tasks that they have room for.
func sortCandidates(list []adviceCandidate, mostFirst bool) {
	slices.SortFunc(list, func(x, y adviceCandidate) int {
		sx, sy := x.slots, y.slots
		if !mostFirst || x.rank&coldBit != y.rank&coldBit {
			sx, sy = min(sx, 1), min(sy, 1)
		}
		if sx != sy {
			return cmp.Compare(sy, sx)
		}
		return cmp.Compare(x.rank, y.rank)
	})
}

// firstUnnamed returns at most limit workers that no request has named.
func (c adviceCandidates) firstUnnamed(limit int) []core.WorkerID {
	var out []core.WorkerID
	for _, candidate := range c.unnamed[:min(len(c.unnamed), limit)] {
		out = append(out, candidate.worker)
	}
	return out
}

// workersToRequest returns the workers whose tickets would let enough tasks
// start: allowed ones with expiring tickets, then as many unnamed ones as are
// likely to be needed. If one request is not expected to let enough tasks
// start, but requests for all unnamed workers are, it names unnamed workers
// only, to learn which of them are allowed. It returns none if no request is
// worthwhile. Among are the workers with room and maybe others.
func (p *phase) workersToRequest(advisor policy.Advisor, among []*Worker) []core.WorkerID {
	s := p.job.scheduler
	candidates := p.adviceCandidates(advisor, among)
	if candidates.readySlots >= p.tasksWaiting || !s.withinLimit(p, p.need(), p.minStartCount()) {
		return nil
	}
	share := s.allowedShare(p.job.Spec.Queue)
	allowedSlots := float64(candidates.readySlots)
	var expiring []core.WorkerID
	for _, c := range candidates.expiring {
		if allowedSlots >= float64(p.tasksWaiting+spareTasks) || len(expiring) == maxRequestWorkers {
			break
		}
		expiring = append(expiring, c.worker)
		allowedSlots += float64(c.slots)
	}
	if allowedSlots >= float64(p.tasksWaiting) {
		return expiring
	}
	var unnamed []core.WorkerID
	unnamedSlots, requestSlots := 0.0, allowedSlots
	for _, c := range candidates.unnamed {
		if c.slots == 0 {
			break
		}
		slots := share * float64(min(c.slots, p.tasksWaiting))
		unnamedSlots += slots
		enough := requestSlots >= requestMargin*float64(p.tasksWaiting) && len(expiring)+len(unnamed) >= cheapRequestSize(advisor)
		if len(expiring)+len(unnamed) < maxRequestWorkers && !enough {
			unnamed = append(unnamed, c.worker)
			requestSlots += slots
		}
	}
	switch required := float64(p.minRequestTasks()); {
	case allowedSlots+unnamedSlots < required:
		return nil
	case requestSlots < required:
		return p.adviceCandidates(advisor, s.sortedWorkers).firstUnnamed(maxRequestWorkers)
	}
	return append(expiring, unnamed...)
}

// lowYieldWorkers returns the workers for a request that is unlikely to let
// tasks start, or none if the tasks need no request or it could not let any
// start. If the advisor has not answered for the phase, it returns unnamed
// workers, to learn which of them are allowed. Among are the workers with room and maybe
// others.
func (p *phase) lowYieldWorkers(advisor policy.Advisor, among []*Worker) []core.WorkerID {
	if !p.advice.received {
		return p.adviceCandidates(advisor, p.job.scheduler.sortedWorkers).firstUnnamed(maxRequestWorkers)
	}
	candidates := p.adviceCandidates(advisor, among)
	slots := candidates.readySlots
	var workers []core.WorkerID
	for _, list := range [][]adviceCandidate{candidates.expiring, candidates.unnamed} {
		for _, c := range list {
			if c.slots > 0 && len(workers) < maxRequestWorkers {
				workers = append(workers, c.worker)
				slots += c.slots
			}
		}
	}
	if candidates.readySlots >= p.tasksWaiting || slots < p.minStartCount() || !p.job.scheduler.withinLimit(p, p.need(), p.minStartCount()) {
		return nil
	}
	return workers
}

// minRequestTasks returns how many tasks a request must be expected to let
// start. A call takes about as long for one task as for many, so one for few is
// not worthwhile.
func (p *phase) minRequestTasks() int {
	if p.spec.Gang {
		return p.spec.Count
	}
	return p.tasksWaiting / minTasksDivisor
}

// adviceStats counts the workers named in a queue's requests and those allowed.
type adviceStats struct{ named, allowed float64 }

// allowedShare estimates the share of workers that a queue's advisor allows.
func (s *Scheduler) allowedShare(q core.Queue) float64 {
	stats := s.adviceStats[q]
	return (priorAllowedShare*priorWeight + stats.allowed) / (priorWeight + stats.named)
}

// learnAllowedShare updates the estimate with one answer.
func (s *Scheduler) learnAllowedShare(q core.Queue, named, allowed int) {
	stats := s.adviceStats[q]
	if stats.named > maxShareWeight {
		stats.named, stats.allowed = stats.named/2, stats.allowed/2
	}
	s.adviceStats[q] = adviceStats{stats.named + float64(named), stats.allowed + float64(allowed)}
}
