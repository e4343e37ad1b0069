package fleet

import (
	"fmt"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
)

const (
	// A job's deadline includes the time for one advice request per phase, which
	// names deadlineWorkers workers; the platform's rules count a call on 30
	// workers for each phase.
	deadlineWorkers = 30
	// maxRequestWorkers bounds the workers of one request; the platform accepts
	// 100.
	maxRequestWorkers = 100
	// ticketSlack is subtracted from the validity of a ticket to allow for the
	// time that an order needs to reach the worker.
	ticketSlack = 100 * time.Millisecond
	// A request counts as lost after lostFactor times its expected duration
	// plus lostGrace.
	lostFactor = 4
	lostGrace  = 1500 * time.Millisecond
	// recheckDelay is the time before a phase for which no request was
	// worthwhile is examined again.
	recheckDelay = 25 * time.Millisecond
	// lowYieldInterval is the time between two requests for a phase that are
	// unlikely to let its tasks start, while few VMs are free to call the
	// advisor.
	lowYieldInterval = 3 * time.Second
)

// advice holds the advisor's answers on which workers may run a phase.
type advice struct {
	// received is set once the advisor has answered.
	received bool
	// named holds the workers that answered requests have named, allowed those
	// of them that may run the phase. The advisor never changes its answer for a
	// worker and a phase, but the tickets expire.
	named   core.Set[core.WorkerID]
	allowed map[core.WorkerID]ticket
	// ticketsUntil is when the newest tickets expire.
	ticketsUntil time.Time
	// recheckAt is when the phase is next examined for a worthwhile request.
	recheckAt time.Time
	// lowYieldAt is when the last request was sent that was unlikely to let
	// tasks start.
	lowYieldAt time.Time
	// requestedAt is when the last request was sent; zero if it has been
	// answered.
	requestedAt time.Time
	// lostAt is when an unanswered request counts as lost.
	lostAt time.Time
}

// ticket permits a worker to run the tasks of a phase until it expires.
type ticket struct {
	text  string
	until time.Time
}

// MinTicketTTL returns the least time before its expiry at which a ticket is due for renewal. A
// ticket that is not valid for longer is due when it arrives.
func MinTicketTTL(a policy.Advisor) time.Duration { return ticketSlack + a.Cost(1) }

// AdviceRequest is one call to the placement advisor.
type AdviceRequest struct {
	Phase   jobs.PhaseID
	Workers []core.WorkerID
	// Cost is the expected duration of the call.
	Cost time.Duration
}

// AllowedWorker is a worker that the advisor allows to run a phase.
type AllowedWorker struct {
	Worker core.WorkerID
	Ticket string
}

// AdviceReceived handles the advisor's answer to a request that named some
// workers. The tickets stay valid for ticketTTL.
func (s *Scheduler) AdviceReceived(now time.Time, id jobs.PhaseID, named []core.WorkerID, allowed []AllowedWorker, ticketTTL time.Duration) {
	s.now = now
	p := s.phase(id)
	if p == nil || p.tasksLeft == 0 || p.job.ended() {
		return
	}
	a := &p.advice
	d := Decision{Job: id.Job, Event: "advice received", Task: id.String(), Reason: fmt.Sprintf("%d of %d workers allowed, tickets valid for %s", len(allowed), len(named), ticketTTL.Round(time.Millisecond))}
	if !a.requestedAt.IsZero() {
		d.Wait = now.Sub(a.requestedAt)
	}
	s.logDecision(d)
	a.requestedAt, a.lostAt = time.Time{}, time.Time{}
	a.received = true
	if a.allowed == nil {
		a.allowed, a.named = make(map[core.WorkerID]ticket, len(allowed)), make(core.Set[core.WorkerID], len(named))
	}
	namedBefore := len(a.named)
	for _, w := range named {
		a.named.Add(w)
	}
	s.advised.Charge(p.job.Spec.Team, adviceBytes*int64(len(a.named)-namedBefore))
	if namedBefore == 0 {
		s.learnAllowedShare(p.job.Spec.Queue, len(named), len(allowed))
	}
	for _, w := range allowed {
		a.allowed[w.Worker] = ticket{w.Ticket, now.Add(ticketTTL)}
	}
	if len(allowed) > 0 {
		a.ticketsUntil = now.Add(ticketTTL)
		if !p.isTicketed {
			p.isTicketed = true
			s.rooms.ticketed = append(s.rooms.ticketed, p)
		}
	}
	s.boundAdvice(p.job.Spec.Team)
	s.needsPlacement = true
}

// AdviceFailed handles a failed advice request.
func (s *Scheduler) AdviceFailed(now time.Time, id jobs.PhaseID) {
	s.now = now
	if p := s.phase(id); p != nil {
		p.advice.requestedAt, p.advice.lostAt = time.Time{}, time.Time{}
		s.needsPlacement = true
	}
}

// AdvicePending records that the VM that accepted a job has itself requested
// advice for the phase. It returns the expected duration of the call, or 0 if
// the scheduler does not wait for the answer.
func (s *Scheduler) AdvicePending(now time.Time, id jobs.PhaseID) time.Duration {
	s.now = now
	p := s.phase(id)
	if p == nil || p.advice.received {
		return 0
	}
	advisor, ok := p.advisor().Get()
	if !ok {
		return 0
	}
	n := min(len(s.sortedWorkers), earlyRequestSize(advisor, p.spec.Count))
	p.advice.markRequested(now, advisor, n)
	return advisor.Cost(n)
}

// markRequested records that a request has been sent.
func (a *advice) markRequested(now time.Time, advisor policy.Advisor, workers int) {
	a.requestedAt = now
	a.lostAt = now.Add(lostFactor*advisor.Cost(workers) + lostGrace)
}

// expireTickets handles a worker's refusal of its ticket: it marks that ticket
// and all tickets that expire no later as expired.
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

// expireTicketsOf marks the tickets for a worker as expired, since they are valid for one incarnation.
func (s *Scheduler) expireTicketsOf(worker core.WorkerID) {
	for _, p := range s.rooms.ticketed {
		if t, ok := p.advice.allowed[worker]; ok {
			p.advice.allowed[worker] = ticket{text: t.text}
		}
	}
}

// advisor returns the policy of the queue's placement advisor, if it has one.
func (p *phase) advisor() core.Option[policy.Advisor] {
	if g := p.group(); g != nil {
		return g.queue.Advisor
	}
	return core.Option[policy.Advisor]{}
}

// AdvicePeers assigns advice requests to the VMs, each of which makes one call
// to the placement advisor at a time.
type AdvicePeers interface {
	// HasCapacity reports whether a VM could soon begin a call of the given
	// duration.
	HasCapacity(cost time.Duration) bool
	// MostlyIdle reports whether most VMs are idle.
	MostlyIdle() bool
	// Send assigns a request to a VM.
	Send(a AdviceRequest)
}

func (s *Scheduler) requestAdvice(peers AdvicePeers, p *phase, advisor policy.Advisor, workers []core.WorkerID) {
	p.advice.markRequested(s.now, advisor, len(workers))
	s.counts.Asks++
	peers.Send(AdviceRequest{Phase: p.id, Workers: workers, Cost: advisor.Cost(len(workers))})
}

// minStartCount returns how many tasks must start together.
func (p *phase) minStartCount() int {
	if p.spec.Gang {
		return p.spec.Count
	}
	return 1
}
