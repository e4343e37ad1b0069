package fleet

import (
	"cmp"
	"slices"

	"chicoryturn/core"
	"chicoryturn/core/policy"
)

// This file decides which workers a call for advice names. Each one named makes
// the call longer, and a VM makes one call at a time: on a fleet of hundreds of
// workers, too few names start nothing and too many use up the turns of all VMs.

const (
	// spareTasks is for how many tasks more than needed a call names workers
	// that are known to be allowed, since room goes elsewhere meanwhile.
	spareTasks = 2
	// requestMargin times the tasks that wait is for how many a call names workers
	// that may or may not be allowed, askLeast the fewest that it names.
	requestMargin     = 1.5
	minRequestWorkers = 8
	// minTasksDivisor divides the tasks that wait into the fewest that a call should
	// find room for.
	minTasksDivisor = 4
	// priorAllowedShare is the part of the workers that counts as allowed before a
	// queue's calls have told, with the weight of shareTrust workers named.
	// Beyond shareMemory older answers weigh less.
	priorAllowedShare = 0.4
	priorWeight       = 20.0
	maxShareWeight    = 2000.0
	// hashMultiplier spreads the bits of two hashes: 2^64 over the golden ratio.
	hashMultiplier = 0x9e3779b97f4a7c15
)

// adviceCandidate is a worker with room for some tasks of a phase.
type adviceCandidate struct {
	worker core.WorkerID
	slots  int
	// rank spreads the calls of many phases over workers that are alike.
	rank uint64
}

// adviceCandidates are the workers that a call for a phase may name.
type adviceCandidates struct {
	// readySlots is how many tasks fit where tickets outlast a call.
	readySlots int
	// expiring are allowed workers with room whose tickets have aged, fresh those
	// that no call has named, with room or without.
	expiring, unnamed []adviceCandidate
}

// adviceCandidates looks through the fleet for workers that a call may name. The tasks
// of a gang go to as few workers as possible, as each one named takes time;
// other work leaves large gaps alone.
func (u *phase) adviceCandidates(p policy.Advice) adviceCandidates {
	b := u.job.scheduler
	need := u.need()
	// Tickets that age before a call is answered are worth nothing with its own.
	renewBefore := b.now.Add(ticketSlack + p.Cost(min(u.tasksWaiting, maxRequestWorkers)))
	var out adviceCandidates
	for _, w := range b.sortedWorkers {
		if !u.canRunOn(w) {
			continue
		}
		c := adviceCandidate{w.id, u.slotsOn(w, need, w.free), (w.nameHash ^ u.nameHash) * hashMultiplier}
		t, allowed := u.advice.allowed[w.id]
		switch {
		case !u.advice.named.Has(w.id):
			out.unnamed = append(out.unnamed, c)
		case !allowed || c.slots == 0:
		case t.until.After(renewBefore):
			out.readySlots += c.slots
		default:
			out.expiring = append(out.expiring, c)
		}
	}
	sortCandidates(out.expiring, true)
	sortCandidates(out.unnamed, u.spec.Gang)
	return out
}

// sortCandidates puts workers with room in front, those with most of it first if
// roomiest is set.
func sortCandidates(list []adviceCandidate, roomiest bool) {
	slices.SortFunc(list, func(x, y adviceCandidate) int {
		if roomiest {
			return cmp.Or(cmp.Compare(y.slots, x.slots), cmp.Compare(x.rank, y.rank))
		}
		return cmp.Or(cmp.Compare(min(y.slots, 1), min(x.slots, 1)), cmp.Compare(x.rank, y.rank))
	})
}

// firstUnnamed returns workers that no call has named yet, at most some.
func (c adviceCandidates) firstUnnamed(most int) []core.WorkerID {
	var out []core.WorkerID
	for _, f := range c.unnamed[:min(len(c.unnamed), most)] {
		out = append(out, f.worker)
	}
	return out
}

// workersToRequest returns the workers whose tickets would let enough tasks start:
// those known to be allowed, then as many others as are likely to be. Where one
// call cannot find enough, it names others alone, to learn who else may run them.
func (u *phase) workersToRequest(p policy.Advice) []core.WorkerID {
	b := u.job.scheduler
	c := u.adviceCandidates(p)
	if c.readySlots >= u.tasksWaiting || !b.withinLimit(u, u.need(), u.minStartCount()) {
		return nil
	}
	share := b.allowedShare(u.job.Spec.Queue)
	known := float64(c.readySlots)
	var again []core.WorkerID
	for _, s := range c.expiring {
		if known >= float64(u.tasksWaiting+spareTasks) || len(again) == maxRequestWorkers {
			break
		}
		again = append(again, s.worker)
		known += float64(s.slots)
	}
	if known >= float64(u.tasksWaiting) {
		return again
	}
	var others []core.WorkerID
	hoped, got := 0.0, known
	for _, f := range c.unnamed {
		if f.slots == 0 {
			break
		}
		hope := share * float64(min(f.slots, u.tasksWaiting))
		hoped += hope
		enough := got >= requestMargin*float64(u.tasksWaiting) && len(again)+len(others) >= cheapRequestSize(p)
		if len(again)+len(others) < maxRequestWorkers && !enough {
			others = append(others, f.worker)
			got += hope
		}
	}
	switch least := float64(u.minRequestTasks()); {
	case known+hoped < least:
		return nil
	case got < least:
		return c.firstUnnamed(maxRequestWorkers)
	}
	return append(again, others...)
}

// lowYieldWorkers returns the workers of a call that may let tasks start against the
// odds, or learns who may run a phase of which nothing is known.
func (u *phase) lowYieldWorkers(p policy.Advice) []core.WorkerID {
	c := u.adviceCandidates(p)
	if !u.advice.received {
		return c.firstUnnamed(maxRequestWorkers)
	}
	room := c.readySlots
	var names []core.WorkerID
	for _, list := range [][]adviceCandidate{c.expiring, c.unnamed} {
		for _, w := range list {
			if w.slots > 0 && len(names) < maxRequestWorkers {
				names = append(names, w.worker)
				room += w.slots
			}
		}
	}
	if c.readySlots >= u.tasksWaiting || room < u.minStartCount() || !u.job.scheduler.withinLimit(u, u.need(), u.minStartCount()) {
		return nil
	}
	return names
}

// minRequestTasks is for how many tasks a call must find room: it takes about the
// same time for one task as for many.
func (u *phase) minRequestTasks() int {
	if u.spec.Gang {
		return u.spec.Count
	}
	return u.tasksWaiting / minTasksDivisor
}

// adviceStats is how many of the workers named for a queue have been allowed.
type adviceStats struct{ named, allowed float64 }

// allowedShare returns the part of the workers that a queue's policy allows, as
// far as its answers have told.
func (b *Scheduler) allowedShare(q core.Queue) float64 {
	o := b.adviceStats[q]
	return (priorAllowedShare*priorWeight + o.allowed) / (priorWeight + o.named)
}

// learnAllowedShare takes in one answer.
func (b *Scheduler) learnAllowedShare(q core.Queue, named, allowed int) {
	o := b.adviceStats[q]
	if o.named > maxShareWeight {
		o.named, o.allowed = o.named/2, o.allowed/2
	}
	b.adviceStats[q] = adviceStats{o.named + float64(named), o.allowed + float64(allowed)}
}
