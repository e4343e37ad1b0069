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
	// spareWorkers is for how many tasks more than needed a call names workers
	// that are known to be allowed, since room goes elsewhere meanwhile.
	spareWorkers = 2
	// askMargin times the tasks that wait is for how many a call names workers
	// that may or may not be allowed, askLeast the fewest that it names.
	askMargin = 1.5
	askLeast  = 8
	// askPart divides the tasks that wait into the fewest that a call should
	// find room for.
	askPart = 4
	// unknownShare is the part of the workers that counts as allowed before a
	// queue's calls have told, with the weight of shareTrust workers named.
	// Beyond shareMemory older answers weigh less.
	unknownShare = 0.4
	shareTrust   = 20.0
	shareMemory  = 2000.0
	// mixer spreads the bits of two hashes: 2^64 over the golden ratio.
	mixer = 0x9e3779b97f4a7c15
)

// chance is a worker with room for some tasks of a phase.
type chance struct {
	worker core.WorkerID
	slots  int
	// order spreads the calls of many phases over workers that are alike.
	order uint64
}

// chances are the workers that a call for a phase may name.
type chances struct {
	// ready is how many tasks fit where tickets outlast a call.
	ready int
	// stale are allowed workers with room whose tickets have aged, fresh those
	// that no call has named, with room or without.
	stale, fresh []chance
}

// chances looks through the fleet for workers that a call may name. The tasks
// of a gang go to as few workers as possible, as each one named takes time;
// other work leaves large gaps alone.
func (u *unit) chances(p policy.Advice) chances {
	b := u.job.board
	need := u.need()
	// Tickets that age before a call is answered are worth nothing with its own.
	renewBefore := b.now.Add(ticketSlack + p.Cost(min(u.idle, askMost)))
	var out chances
	for _, w := range b.byName {
		if !u.suits(w) {
			continue
		}
		c := chance{w.id, u.slots(w, need, w.free), (w.order ^ u.order) * mixer}
		t, allowed := u.advice.allowed[w.id]
		switch {
		case !u.advice.named.Has(w.id):
			out.fresh = append(out.fresh, c)
		case !allowed || c.slots == 0:
		case t.until.After(renewBefore):
			out.ready += c.slots
		default:
			out.stale = append(out.stale, c)
		}
	}
	sortChances(out.stale, true)
	sortChances(out.fresh, u.phase.Gang)
	return out
}

// sortChances puts workers with room in front, those with most of it first if
// roomiest is set.
func sortChances(list []chance, roomiest bool) {
	slices.SortFunc(list, func(x, y chance) int {
		if roomiest {
			return cmp.Or(cmp.Compare(y.slots, x.slots), cmp.Compare(x.order, y.order))
		}
		return cmp.Or(cmp.Compare(min(y.slots, 1), min(x.slots, 1)), cmp.Compare(x.order, y.order))
	})
}

// unnamed returns workers that no call has named yet, at most some.
func (c chances) unnamed(most int) []core.WorkerID {
	var out []core.WorkerID
	for _, f := range c.fresh[:min(len(c.fresh), most)] {
		out = append(out, f.worker)
	}
	return out
}

// worthAsking returns the workers whose tickets would let enough tasks start:
// those known to be allowed, then as many others as are likely to be. Where one
// call cannot find enough, it names others alone, to learn who else may run them.
func (u *unit) worthAsking(p policy.Advice) []core.WorkerID {
	b := u.job.board
	c := u.chances(p)
	if c.ready >= u.idle || !b.withinLimit(u, u.need(), u.least()) {
		return nil
	}
	share := b.allowedShare(u.job.Spec.Queue)
	known := float64(c.ready)
	var again []core.WorkerID
	for _, s := range c.stale {
		if known >= float64(u.idle+spareWorkers) || len(again) == askMost {
			break
		}
		again = append(again, s.worker)
		known += float64(s.slots)
	}
	if known >= float64(u.idle) {
		return again
	}
	var others []core.WorkerID
	hoped, got := 0.0, known
	for _, f := range c.fresh {
		if f.slots == 0 {
			break
		}
		hope := share * float64(min(f.slots, u.idle))
		hoped += hope
		enough := got >= askMargin*float64(u.idle) && len(again)+len(others) >= cheapNames(p)
		if len(again)+len(others) < askMost && !enough {
			others = append(others, f.worker)
			got += hope
		}
	}
	switch least := float64(u.worthLeast()); {
	case known+hoped < least:
		return nil
	case got < least:
		return c.unnamed(askMost)
	}
	return append(again, others...)
}

// unlikely returns the workers of a call that may let tasks start against the
// odds, or learns who may run a phase of which nothing is known.
func (u *unit) unlikely(p policy.Advice) []core.WorkerID {
	c := u.chances(p)
	if !u.advice.known {
		return c.unnamed(askMost)
	}
	room := c.ready
	var names []core.WorkerID
	for _, list := range [][]chance{c.stale, c.fresh} {
		for _, w := range list {
			if w.slots > 0 && len(names) < askMost {
				names = append(names, w.worker)
				room += w.slots
			}
		}
	}
	if c.ready >= u.idle || room < u.least() || !u.job.board.withinLimit(u, u.need(), u.least()) {
		return nil
	}
	return names
}

// worthLeast is for how many tasks a call must find room: it takes about the
// same time for one task as for many.
func (u *unit) worthLeast() int {
	if u.phase.Gang {
		return u.phase.Count
	}
	return u.idle / askPart
}

// odds is how many of the workers named for a queue have been allowed.
type odds struct{ named, allowed float64 }

// allowedShare returns the part of the workers that a queue's policy allows, as
// far as its answers have told.
func (b *Scheduler) allowedShare(q core.Queue) float64 {
	o := b.odds[q]
	return (unknownShare*shareTrust + o.allowed) / (shareTrust + o.named)
}

// learnShare takes in one answer.
func (b *Scheduler) learnShare(q core.Queue, named, allowed int) {
	o := b.odds[q]
	if o.named > shareMemory {
		o.named, o.allowed = o.named/2, o.allowed/2
	}
	b.odds[q] = odds{o.named + float64(named), o.allowed + float64(allowed)}
}
