package board

import (
	"cmp"
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
	// spareWorkers is how many workers beyond those needed a repeated call names,
	// since room goes elsewhere meanwhile.
	spareWorkers = 2
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
	a.asked, a.lost = time.Time{}, time.Time{}
	a.known = true
	if a.allowed == nil {
		a.allowed, a.named = map[core.WorkerID]ticket{}, core.NewSet[core.WorkerID]()
	}
	for _, w := range named {
		a.named.Add(w)
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
	u.advice.wait(now, p, len(b.byName))
	return p.Cost(min(len(b.byName), askMost))
}

func (a *advice) wait(now time.Time, p policy.Advice, workers int) {
	a.asked = now
	a.lost = now.Add(askPatience*p.Cost(min(workers, askMost)) + askGrace)
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
	// Take hands a call out.
	Take(a Ask)
}

// Ask hands out the calls for advice that are worth their time now, the most
// urgent first. A call that would only wait is not made: by the time it begins,
// other work may be more urgent, and room elsewhere.
func (b *Board) Ask(now time.Time, turns Turns) {
	b.now = now
	if !turns.Free(0) {
		return
	}
	for _, u := range b.ranked() {
		p, ok := u.policy().Get()
		asking := !u.advice.asked.IsZero() && now.Before(u.advice.lost)
		if !ok || asking || now.Before(u.advice.idle) || !u.startable() || !turns.Free(p.Base) {
			continue
		}
		names := u.worthAsking()
		if len(names) == 0 {
			u.advice.idle = now.Add(askAgain)
			continue
		}
		u.advice.wait(now, p, len(names))
		b.counts.Asks++
		turns.Take(Ask{Phase: u.id, Workers: names, Cost: p.Cost(len(names))})
	}
}

// worthAsking returns the workers whose tickets would let tasks start: all of
// them at first, later those that have room.
func (u *unit) worthAsking() []core.WorkerID {
	b := u.job.board
	need := u.need()
	type chance struct {
		w     *Worker
		slots int
	}
	var fresh []core.WorkerID
	var stale []chance
	ready, room := 0, 0
	renewBefore := b.now.Add(ticketSlack)
	for _, w := range b.byName {
		if !u.suits(w) {
			continue
		}
		if !u.advice.known || !u.advice.named.Has(w.id) {
			fresh = append(fresh, w.id)
			continue
		}
		t, ok := u.advice.allowed[w.id]
		if !ok {
			continue
		}
		slots := u.slots(w, need, w.free)
		if slots == 0 {
			continue
		}
		room += slots
		if t.until.After(renewBefore) {
			ready += slots
		} else {
			stale = append(stale, chance{w, slots})
		}
	}
	if !u.advice.known {
		return fresh[:min(len(fresh), askMost)]
	}
	wanted := u.idle
	if ready >= wanted || !b.withinLimit(u, need, u.least()) {
		return nil
	}
	if room < u.least() {
		// No room to start; workers that have joined since may have some.
		return fresh[:min(len(fresh), askMost)]
	}
	slices.SortStableFunc(stale, func(a, b chance) int { return cmp.Compare(b.slots, a.slots) })
	var out []core.WorkerID
	got := ready
	for _, c := range stale {
		if got >= wanted+spareWorkers || len(out) == askMost {
			break
		}
		out = append(out, c.w.id)
		got += c.slots
	}
	return out
}

// least is how many tasks must start together.
func (u *unit) least() int {
	if u.phase.Gang {
		return u.phase.Count
	}
	return 1
}
