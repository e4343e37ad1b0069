package fleet

import (
	"fmt"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
)

const (
	// deadlineWorkers is how many workers the call for advice names that a job's
	// owed time allows for; the platform's rules count one call on 30 workers
	// for each phase.
	deadlineWorkers = 30
	// maxRequestWorkers bounds the workers of one call; the platform takes 100.
	maxRequestWorkers = 100
	// ticketSlack is how long before its end a ticket is no longer used, for
	// the way of the order to the worker.
	ticketSlack = 100 * time.Millisecond
	// lostFactor times the expected length of a call, and askGrace more, is
	// when a call counts as lost.
	lostFactor = 4
	lostGrace  = 1500 * time.Millisecond
	// recheckDelay is the time before a phase that no call would help is looked into
	// again.
	recheckDelay = 25 * time.Millisecond
	// lowYieldInterval is the time between two calls for a phase that are not likely
	// to let its tasks start, while few turns are free.
	lowYieldInterval = 3 * time.Second
)

// advice is what is known of the workers that may run a phase.
type advice struct {
	// received is set once the policy has been asked; which workers are allowed
	// never changes.
	received bool
	named    core.Set[core.WorkerID]
	allowed  map[core.WorkerID]ticket
	// ticketsUntil is until when the newest ticket is good.
	ticketsUntil time.Time
	// recheckAt is until when another call is not worth looking into.
	recheckAt time.Time
	// lowYieldAt is when a call against the odds was last sent.
	lowYieldAt time.Time
	// requestedAt is when a call was sent that has not been answered; zero if none.
	requestedAt time.Time
	// lostAt is when that call counts as lost.
	lostAt time.Time
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
	u := b.phase(id)
	if u == nil || u.tasksLeft == 0 || u.job.ended() {
		return
	}
	a := &u.advice
	n := Decision{Job: id.Job, Event: "advised", Task: id.String(), Reason: fmt.Sprintf("%d of %d workers allowed for %s", len(allowed), len(named), valid.Round(time.Millisecond))}
	if !a.requestedAt.IsZero() {
		n.Wait = now.Sub(a.requestedAt)
	}
	b.logDecision(n)
	a.requestedAt, a.lostAt = time.Time{}, time.Time{}
	a.received = true
	if a.allowed == nil {
		a.allowed, a.named = map[core.WorkerID]ticket{}, core.NewSet[core.WorkerID]()
	}
	before := len(a.named)
	for _, w := range named {
		a.named.Add(w)
	}
	if before == 0 {
		b.learnAllowedShare(u.job.Spec.Queue, len(named), len(allowed))
	}
	for _, w := range allowed {
		a.allowed[w.Worker] = ticket{w.Ticket, now.Add(valid)}
	}
	if len(allowed) > 0 {
		a.ticketsUntil = now.Add(valid)
	}
	b.needsPlacement = true
}

// AdviceFailed follows a call for advice that has failed.
func (b *Scheduler) AdviceFailed(now time.Time, id jobs.PhaseID) {
	b.now = now
	if u := b.phase(id); u != nil {
		u.advice.requestedAt, u.advice.lostAt = time.Time{}, time.Time{}
		b.needsPlacement = true
	}
}

// AdvicePending tells that the VM that has accepted a job is asking for its phase. It
// returns the expected length of the call, 0 if it is not waited for.
func (b *Scheduler) AdvicePending(now time.Time, id jobs.PhaseID) time.Duration {
	b.now = now
	u := b.phase(id)
	if u == nil || u.advice.received {
		return 0
	}
	p, ok := u.advisor().Get()
	if !ok {
		return 0
	}
	n := min(len(b.sortedWorkers), earlyRequestSize(p, u.spec.Count))
	u.advice.markRequested(now, p, n)
	return p.Cost(n)
}

func (a *advice) markRequested(now time.Time, p policy.Advice, workers int) {
	a.requestedAt = now
	a.lostAt = now.Add(lostFactor*p.Cost(workers) + lostGrace)
}

// expireTickets follows the refusal of a ticket: those that came with it are no better.
func (a *advice) expireTickets(worker core.WorkerID) {
	until := a.allowed[worker].until
	if !a.ticketsUntil.After(until) {
		a.ticketsUntil = time.Time{}
	}
	for id, t := range a.allowed {
		if !t.until.After(until) {
			a.allowed[id] = ticket{t.text, time.Time{}}
		}
	}
}

func (b *Scheduler) phase(id jobs.PhaseID) *phase {
	t := b.task(jobs.TaskID{PhaseID: id})
	if t == nil {
		return nil
	}
	return t.phase
}

// advisor returns the placement policy of the unit's queue, if it has one.
func (u *phase) advisor() core.Option[policy.Advice] {
	if q := u.job.scheduler.policy.Queues[u.job.Spec.Queue]; q != nil {
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
	var later []*phase
	for _, u := range b.rankedPhases() {
		p, ok := u.advisor().Get()
		asking := !u.advice.requestedAt.IsZero() && now.Before(u.advice.lostAt)
		if !ok || asking || now.Before(u.advice.recheckAt) || !u.startable() || !turns.Free(p.Base) {
			continue
		}
		if names := u.workersToRequest(p); len(names) > 0 {
			b.requestAdvice(turns, u, p, names)
			continue
		}
		u.advice.recheckAt = now.Add(recheckDelay)
		later = append(later, u)
	}
	for _, u := range later {
		p, ok := u.advisor().Get()
		rested := now.Sub(u.openedAt) > lowYieldInterval && now.Sub(u.advice.lowYieldAt) > lowYieldInterval
		if !ok || !turns.Free(p.Base) || !turns.Spare() && !rested {
			continue
		}
		if names := u.lowYieldWorkers(p); len(names) > 0 {
			u.advice.lowYieldAt = now
			b.requestAdvice(turns, u, p, names)
		}
	}
}

func (b *Scheduler) requestAdvice(turns Turns, u *phase, p policy.Advice, names []core.WorkerID) {
	u.advice.markRequested(b.now, p, len(names))
	b.counts.Asks++
	turns.Take(AdviceRequest{Phase: u.id, Workers: names, Cost: p.Cost(len(names))})
}

// minStartCount is how many tasks must start together.
func (u *phase) minStartCount() int {
	if u.spec.Gang {
		return u.spec.Count
	}
	return 1
}
