package fleet

import (
	"time"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
)

// This file handles the orders that start and stop runs.

const (
	// maxStartsInFlight bounds the starts that have not been answered, each of which takes a
	// goroutine and may take a connection. It is divided among the teams.
	maxStartsInFlight = 1000
	// stopRetry is the delay before an unanswered stop is sent again.
	stopRetry = 500 * time.Millisecond
)

// startTask starts a run of the task on the worker.
func (s *Scheduler) startTask(t *Task, f freeWorker, run uint64, checkpoint string) {
	t.run, t.eventWorker = run, f.worker
	t.fire(taskPlace)
	s.starts.Charge(t.phase.job.Spec.Team, 1)
	s.startTeams[startID{f.worker.id, t.ID(), run}] = t.phase.job.Spec.Team
	s.counts.Starts++
	s.rooms.starts++
	s.addOrder(Order{
		Kind: OrderStart, Worker: f.worker.id, Task: t.ID(), Run: run,
		Payload: t.phase.job.Spec.Payload, Checkpoint: checkpoint, Ticket: f.ticket,
	})
	s.logDecision(Decision{Job: t.phase.id.Job, Event: EventPlaced, Worker: f.worker.id, Task: t.ID().String(), Run: run, Wait: s.now.Sub(t.phase.openedAt), Incarnation: f.worker.info.Incarnation})
}

// StartAnswered handles the outcome of a start.
func (s *Scheduler) StartAnswered(now time.Time, worker core.WorkerID, id jobs.TaskID, run uint64, r Reply) {
	s.now = now
	s.endStart(startID{worker, id, run})
	t := s.placedTask(worker, id, run)
	if t == nil {
		return
	}
	w := t.worker
	switch r {
	case ReplyOK:
		t.fire(taskAccepted)
		return
	case ReplyUnanswered:
		s.counts.Unanswered++
		t.fire(taskUnanswered)
		return
	case ReplyBadTicket:
		t.phase.advice.expireTickets(worker)
	case ReplyUnhealthy:
		w.setAside()
	case ReplyMalformed:
		t.avoidWorker(worker)
	}
	s.counts.Refused++
	t.fire(taskRefused)
}

// StopAnswered handles the outcome of a stop.
func (s *Scheduler) StopAnswered(now time.Time, worker core.WorkerID, id jobs.TaskID, run uint64, r Reply) {
	s.now = now
	if r != ReplyOK && r != ReplyStaleRun {
		return
	}
	var lastAck time.Time
	found := false
	if t := s.placedTask(worker, id, run); t != nil {
		lastAck, found = t.stopAckedAt, true
		t.stopAckedAt = now
	}
	if w := s.workers[worker]; w != nil {
		for i := range w.orphans {
			if o := &w.orphans[i]; o.task == id && o.run == run {
				lastAck, found = o.stopAckedAt, true
				o.stopAckedAt = now
			}
		}
	}
	if found && lastAck.IsZero() {
		s.logDecision(Decision{Job: id.Job, Event: "stop acknowledged", Worker: worker, Task: id.String(), Run: run, Reason: r.String()})
	}
}

// startID names a start that has not been answered.
type startID struct {
	worker core.WorkerID
	task   jobs.TaskID
	run    uint64
}

// endStart records that a start is no longer in flight.
func (s *Scheduler) endStart(id startID) {
	team, ok := s.startTeams[id]
	if !ok {
		return
	}
	delete(s.startTeams, id)
	s.starts.Credit(team, 1)
	s.needsPlacement = true
}

// placedTask returns the task whose current run is on a worker, or nil if it is not there.
func (s *Scheduler) placedTask(worker core.WorkerID, id jobs.TaskID, run uint64) *Task {
	w := s.workers[worker]
	if w == nil {
		return nil
	}
	if t := w.tasks[id]; t != nil && t.run == run {
		return t
	}
	return nil
}

// stopRepeat is when unanswered stops are sent again.
type stopRepeat struct {
	// at is the earliest time at which any may have to be; zero if none may.
	at time.Time
}

// schedule records that a stop was sent at a time, zero if it must be sent again at once.
func (r *stopRepeat) schedule(sentAt time.Time) {
	if at := sentAt.Add(stopRetry); r.at.IsZero() || at.Before(r.at) {
		r.at = at
	}
}

// repeatStops sends unanswered stops again.
func (s *Scheduler) repeatStops() {
	if s.stopRepeat.at.IsZero() || !s.now.After(s.stopRepeat.at) {
		return
	}
	s.stopRepeat.at = time.Time{}
	isDue := func(sentAt time.Time) bool {
		due := s.now.Sub(sentAt) > stopRetry
		if !due {
			s.stopRepeat.schedule(sentAt)
		}
		return due
	}
	for _, w := range s.sortedWorkers {
		for _, t := range w.tasks {
			isStopping := t.state == taskDoubtful || t.state == taskStopping || t.state == taskLeaving
			if isStopping && t.stopAckedAt.IsZero() && isDue(t.stopSentAt) {
				t.orderStop()
			}
		}
		for i := range w.orphans {
			if w.orphans[i].stopAckedAt.IsZero() && isDue(w.orphans[i].stopSentAt) {
				w.stopOrphan(i)
			}
		}
	}
}
