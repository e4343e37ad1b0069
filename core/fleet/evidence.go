package fleet

import (
	"fmt"
	"slices"
	"time"
)

// This file makes the decisions that show, after a task has run twice, on what the orders of
// each owner rested. It changes no other decision.

const (
	// While an owner waits for workers of earlier owners, it names at most maxNamed of
	// them every reachInterval. Most answer within the first interval.
	reachInterval = time.Second
	maxNamed      = 20
)

// reach is which workers of earlier owners this owner has reached.
type reach struct {
	// since is when this owner took over, loggedAt when it last named the workers that it
	// waits for; zero if it has not.
	since, loggedAt time.Time
	// inherited counts the workers of earlier owners, answered those of them that have
	// answered while this owner waited for them, waiting those that it waits for.
	inherited, answered, waiting int
	// done is set once it waits for none.
	done bool
}

// recordAge returns the time since the last confirmation of the ownership record.
func (s *Scheduler) recordAge() time.Duration { return max(s.now.Sub(s.authority.confirmedAt), 0) }

func (s *Scheduler) logDecision(d Decision) { s.logDecisionAt(d, s.recordAge()) }

// logDecisionAt logs a decision that rests on a record confirmed that long before.
func (s *Scheduler) logDecisionAt(d Decision, confirmed time.Duration) {
	d.Epoch, d.Confirmed = s.epoch, confirmed
	s.decisions = append(s.decisions, d)
}

// logRun logs a decision on the task's run.
func (t *Task) logRun(event, reason string) {
	t.phase.job.scheduler.logDecision(Decision{Job: t.phase.id.Job, Event: event, Worker: t.worker.id, Task: t.ID().String(), Run: t.run, Reason: reason})
}

// Unreached returns how many workers of earlier owners this owner waits for.
func (s *Scheduler) Unreached() int { return s.reach.waiting }

// unreached reports whether an earlier owner may have used the worker, which has not
// answered this owner and whose runs have not certainly ended.
func (w *Worker) unreached() bool { return w.inherited && w.state == workerFresh }

// logUnreached logs the workers that the owner waits for, and once that it waits for none.
func (s *Scheduler) logUnreached() {
	r := &s.reach
	if r.done {
		return
	}
	d := Decision{Event: "workers not reached", Wait: s.now.Sub(r.since)}
	for _, w := range s.sortedWorkers {
		if !w.unreached() {
			continue
		}
		d.Count++
		if len(d.Workers) < maxNamed {
			d.Workers = append(d.Workers, w.id)
		}
	}
	r.waiting, r.done = d.Count, d.Count == 0
	last := r.since
	if !r.loggedAt.IsZero() {
		last = r.loggedAt
	}
	switch {
	case r.done && r.inherited > 0:
		d.Event = "all workers reached"
		if r.answered < r.inherited {
			d.Event = "no worker is waited for"
		}
		d.Reason = fmt.Sprintf("%d of %d answered", r.answered, r.inherited)
		s.logDecision(d)
	case !r.done && s.now.Sub(last) >= reachInterval:
		r.loggedAt = s.now
		s.logDecision(d)
	}
}

// logReached handles an answer of the worker: its first one is logged if the worker may have
// been named as not reached.
func (w *Worker) logReached() {
	s := w.scheduler
	if w.heard || !w.unreached() {
		return
	}
	s.reach.answered++
	if !s.reach.loggedAt.IsZero() {
		s.logDecision(Decision{Event: "worker reached", Worker: w.id, Wait: s.now.Sub(s.reach.since)})
	}
}

// ack is what is known of the acknowledgement of a worker's ends.
type ack struct {
	// first is the number of the oldest end handled whose acknowledgement has not taken
	// effect for certain, last that of the newest one handled; first is 0 if there is none.
	first, last uint64
	// sent is the newest end that the heartbeat in flight acknowledges, 0 if it
	// acknowledges none from first on; confirmed is the age of the record when it was sent.
	sent      uint64
	confirmed time.Duration
	// doubted is the newest end whose acknowledgement has been logged as not confirmed.
	doubted uint64
}

// expect notes an end that has been handled.
func (a *ack) expect(end uint64) {
	if a.first == 0 {
		a.first = end
	}
	a.last = end
}

// send notes the sending of a heartbeat that acknowledges the ends up to a number.
func (a *ack) send(end uint64, confirmed time.Duration) {
	a.sent, a.confirmed = 0, confirmed
	if a.first > 0 && end >= a.first {
		a.sent = end
	}
}

// logAcked logs that the heartbeat in flight, which has been answered with a list of ends, has
// acknowledged ends: the worker does not list them any more.
func (w *Worker) logAcked(listed []EndedRun) {
	a := &w.ack
	sent := a.sent
	a.sent = 0
	if sent == 0 || slices.ContainsFunc(listed, func(e EndedRun) bool { return e.Number <= sent }) {
		return
	}
	w.logAck(EventAcked, sent)
	if a.first = sent + 1; a.first > a.last {
		a.first = 0
	}
}

// logAckUnconfirmed logs, once for each acknowledgement, that it is not known whether it has
// taken effect, since the heartbeat in flight has no answer.
func (w *Worker) logAckUnconfirmed() {
	a := &w.ack
	if a.sent > a.doubted {
		a.doubted = a.sent
		w.logAck(EventAckUnconfirmed, a.sent)
	}
	a.sent = 0
}

func (w *Worker) logAck(event string, sent uint64) {
	s := w.scheduler
	s.logDecisionAt(Decision{Event: event, Worker: w.id, FirstEnd: w.ack.first, LastEnd: sent, Wait: s.now.Sub(w.heartbeatSentAt)}, w.ack.confirmed)
}
