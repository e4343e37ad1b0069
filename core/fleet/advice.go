package fleet

import (
	"fmt"
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
	// unlikelyPause is the time between two calls for a phase that are not likely
	// to let its tasks start, while few turns are free.
	unlikelyPause = 3 * time.Second
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

// AdviceRequest is one call for advice.
type AdviceRequest struct {
	Phase   jobs.PhaseID
	Workers []core.WorkerID
	// Cost is the expected length of the call.
	Cost time.Duration
}

// AllowedWorker is one worker that may run a phase.
type AllowedWorker struct {
	Worker core.WorkerID
	Ticket string
}

// AdviceReceived takes in an answer for the workers named; valid is what is left of
// the tickets' time.
func (b *Scheduler) AdviceReceived(now time.Time, id jobs.PhaseID, named []core.WorkerID, allowed []AllowedWorker, valid time.Duration) {
	b.now = now
	u := b.unit(id)
	if u == nil || u.left == 0 || u.job.ended() {
		return
	}
	a := &u.advice
	n := Decision{Job: id.Job, Event: "advised", Task: id.String(), Reason: fmt.Sprintf("%d of %d workers allowed for %s", len(allowed), len(named), valid.Round(time.Millisecond))}
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

// AdviceFailed follows a call for advice that has failed.
func (b *Scheduler) AdviceFailed(now time.Time, id jobs.PhaseID) {
	b.now = now
	if u := b.unit(id); u != nil {
		u.advice.asked, u.advice.lost = time.Time{}, time.Time{}
		b.changed = true
	}
}

// AdvicePending tells that the VM that has accepted a job is asking for its phase. It
// returns the expected length of the call, 0 if it is not waited for.
func (b *Scheduler) AdvicePending(now time.Time, id jobs.PhaseID) time.Duration {
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

func (b *Scheduler) unit(id jobs.PhaseID) *unit {
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
	Take(a AdviceRequest)
}

// AdviceRequests hands out the calls for advice that are worth their time now, the most
// urgent first. A call that would only wait is not made: by the time it begins,
// other work may be more urgent, and room elsewhere. Turns that are to spare, and
// now and then others, go to calls that are less likely to let tasks start.
func (b *Scheduler) AdviceRequests(now time.Time, turns Turns) {
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

func (b *Scheduler) handOut(turns Turns, u *unit, p policy.Advice, names []core.WorkerID) {
	u.advice.wait(b.now, p, len(names))
	b.counts.Asks++
	turns.Take(AdviceRequest{Phase: u.id, Workers: names, Cost: p.Cost(len(names))})
}

// least is how many tasks must start together.
func (u *unit) least() int {
	if u.phase.Gang {
		return u.phase.Count
	}
	return 1
}
