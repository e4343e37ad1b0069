package board

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
)

const (
	// adviceWorkers is how many workers the call for advice names that a job's
	// owed time allows for; the platform's rules count one call on 30 workers
	// for each phase.
	adviceWorkers = 30
	// askMost bounds the workers of one call; the platform takes 100.
	askMost = 100
	// ticketSlack is how long before its end a ticket is no longer used, for
	// the way of the order to the worker.
	ticketSlack = 100 * time.Millisecond
	// askPatience times the expected length of a call, and askGrace more, is
	// when a call counts as lost.
	askPatience = 4
	askGrace    = 1500 * time.Millisecond
	// askAgain is the time before a phase that no call would help is looked into
	// again.
	askAgain = 25 * time.Millisecond
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
	// unlikelyPause is the time between two calls for a phase that are not likely
	// to let its tasks start, while few turns are free.
	unlikelyPause = 3 * time.Second
	// unknownShare is the part of the workers that counts as allowed before a
	// queue's calls have told, with the weight of shareTrust workers named.
	// Beyond shareMemory older answers weigh less.
	unknownShare = 0.4
	shareTrust   = 20.0
	shareMemory  = 2000.0
	// mixer spreads the bits of two hashes: 2^64 over the golden ratio.
	mixer = 0x9e3779b97f4a7c15
)

// advice is what is known of the workers that may run a phase.
type advice struct {
	// known is set once the policy has been asked; which workers are allowed
	// never changes.
	known   bool
	named   core.Set[core.WorkerID]
	allowed map[core.WorkerID]ticket
	// fresh is until when the newest ticket is good.
	fresh time.Time
	// idle is until when another call is not worth looking into.
	idle time.Time
	// unlikely is when a call against the odds was last sent.
	unlikely time.Time
	// asked is when a call was sent that has not been answered; zero if none.
	asked time.Time
	// lost is when that call counts as lost.
	lost time.Time
}

// ticket lets a worker run the tasks of a phase for a while.
type ticket struct {
	text  string
	until time.Time
}

// Ask is one call for advice.
type Ask struct {
	Phase   jobs.PhaseID
	Workers []core.WorkerID
	// Cost is the expected length of the call.
	Cost time.Duration
}

// Allowed is one worker that may run a phase.
type Allowed struct {
	Worker core.WorkerID
	Ticket string
}

// Advised takes in an answer for the workers named; valid is what is left of
// the tickets' time.
func (b *Board) Advised(now time.Time, id jobs.PhaseID, named []core.WorkerID, allowed []Allowed, valid time.Duration) {
	b.now = now
	u := b.unit(id)
	if u == nil || u.left == 0 || u.job.ended() {
		return
	}
	a := &u.advice
	n := Note{Job: id.Job, What: "advised", Task: id.String(), Because: fmt.Sprintf("%d of %d workers allowed for %s", len(allowed), len(named), valid.Round(time.Millisecond))}
	if !a.asked.IsZero() {
		n.Wait = now.Sub(a.asked)
	}
	b.note(n)
	a.asked, a.lost = time.Time{}, time.Time{}
	a.known = true
	if a.allowed == nil {
		a.allowed, a.named = map[core.WorkerID]ticket{}, core.NewSet[core.WorkerID]()
	}
	before := len(a.named)
	for _, w := range named {
		a.named.Add(w)
	}
	if before == 0 {
		b.learnShare(u.job.Spec.Queue, len(named), len(allowed))
	}
	for _, w := range allowed {
		a.allowed[w.Worker] = ticket{w.Ticket, now.Add(valid)}
	}
	if len(allowed) > 0 {
		a.fresh = now.Add(valid)
	}
	b.changed = true
}

// Unadvised follows a call for advice that has failed.
func (b *Board) Unadvised(now time.Time, id jobs.PhaseID) {
	b.now = now
	if u := b.unit(id); u != nil {
		u.advice.asked, u.advice.lost = time.Time{}, time.Time{}
		b.changed = true
	}
}

// Asking tells that the VM that has accepted a job is asking for its phase. It
// returns the expected length of the call, 0 if it is not waited for.
func (b *Board) Asking(now time.Time, id jobs.PhaseID) time.Duration {
	b.now = now
	u := b.unit(id)
	if u == nil || u.advice.known {
		return 0
	}
	p, ok := u.policy().Get()
	if !ok {
		return 0
	}
	n := min(len(b.byName), earlyCount(p, u.phase.Count))
	u.advice.wait(now, p, n)
	return p.Cost(n)
}

func (a *advice) wait(now time.Time, p policy.Advice, workers int) {
	a.asked = now
	a.lost = now.Add(askPatience*p.Cost(workers) + askGrace)
}

// expire follows the refusal of a ticket: those that came with it are no better.
func (a *advice) expire(worker core.WorkerID) {
	until := a.allowed[worker].until
	if !a.fresh.After(until) {
		a.fresh = time.Time{}
	}
	for id, t := range a.allowed {
		if !t.until.After(until) {
			a.allowed[id] = ticket{t.text, time.Time{}}
		}
	}
}

func (b *Board) unit(id jobs.PhaseID) *unit {
	t := b.task(jobs.TaskID{PhaseID: id})
	if t == nil {
		return nil
	}
	return t.unit
}

// policy returns the placement policy of the unit's queue, if it has one.
func (u *unit) policy() core.Option[policy.Advice] {
	if q := u.job.board.policy.Queues[u.job.Spec.Queue]; q != nil {
		return q.Advice
	}
	return core.Option[policy.Advice]{}
}

// Turns are the VMs' turns at the placement policy.
type Turns interface {
	// Free reports whether a call of some length would begin soon.
	Free(cost time.Duration) bool
	// Spare reports whether more turns are free than calls are likely to come.
	Spare() bool
	// Take hands a call out.
	Take(a Ask)
}

// Ask hands out the calls for advice that are worth their time now, the most
// urgent first. A call that would only wait is not made: by the time it begins,
// other work may be more urgent, and room elsewhere. Turns that are to spare, and
// now and then others, go to calls that are less likely to let tasks start.
func (b *Board) Ask(now time.Time, turns Turns) {
	b.now = now
	if !turns.Free(0) {
		return
	}
	var later []*unit
	for _, u := range b.ranked() {
		p, ok := u.policy().Get()
		asking := !u.advice.asked.IsZero() && now.Before(u.advice.lost)
		if !ok || asking || now.Before(u.advice.idle) || !u.startable() || !turns.Free(p.Base) {
			continue
		}
		if names := u.worthAsking(p); len(names) > 0 {
			b.handOut(turns, u, p, names)
			continue
		}
		u.advice.idle = now.Add(askAgain)
		later = append(later, u)
	}
	for _, u := range later {
		p, ok := u.policy().Get()
		rested := now.Sub(u.since) > unlikelyPause && now.Sub(u.advice.unlikely) > unlikelyPause
		if !ok || !turns.Free(p.Base) || !turns.Spare() && !rested {
			continue
		}
		if names := u.unlikely(p); len(names) > 0 {
			u.advice.unlikely = now
			b.handOut(turns, u, p, names)
		}
	}
}

func (b *Board) handOut(turns Turns, u *unit, p policy.Advice, names []core.WorkerID) {
	u.advice.wait(b.now, p, len(names))
	b.counts.Asks++
	turns.Take(Ask{Phase: u.id, Workers: names, Cost: p.Cost(len(names))})
}

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
func (b *Board) allowedShare(q core.Queue) float64 {
	o := b.odds[q]
	return (unknownShare*shareTrust + o.allowed) / (shareTrust + o.named)
}

// learnShare takes in one answer.
func (b *Board) learnShare(q core.Queue, named, allowed int) {
	o := b.odds[q]
	if o.named > shareMemory {
		o.named, o.allowed = o.named/2, o.allowed/2
	}
	b.odds[q] = odds{o.named + float64(named), o.allowed + float64(allowed)}
}

// least is how many tasks must start together.
func (u *unit) least() int {
	if u.phase.Gang {
		return u.phase.Count
	}
	return 1
}
