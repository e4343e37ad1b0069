package fleet

import (
	"math"
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
)

const (
	// heartbeatWait is how long a worker may delay its answer to a heartbeat
	// until a run ends. If an answer is lost, the owner learns of no end on
	// that worker until the call times out, so the wait is short; the platform
	// allows 2 s.
	heartbeatWait = 600 * time.Millisecond
	// While the ends in a worker's last answer cannot be acknowledged yet, its
	// next heartbeat is delayed, but for no longer than the lease divided by
	// heartbeatDivisor.
	heartbeatDivisor = 4
	// heartbeatRetry is the delay before the next heartbeat to a worker that
	// has not answered the last one.
	heartbeatRetry = 400 * time.Millisecond
	// firstHeartbeatRetry is the same delay for a worker that has never
	// answered this owner. It is short because tasks that an earlier owner may
	// have started cannot start on another worker until all workers have
	// answered.
	firstHeartbeatRetry = 50 * time.Millisecond
	// maxAckAge is the age of a worker's last answer from which on its ends are not
	// acknowledged: it may have restarted since, and must answer once more first.
	maxAckAge = 500 * time.Millisecond
	// maxJobWait is how long, at least, the end of a run of an unknown job waits for
	// that job to be read from the store. A job that is still unknown after several
	// readings has been deleted.
	maxJobWait = 5 * time.Second
)

// HeartbeatAnswered handles a worker's answer to the heartbeat sent at sentAt, which may have
// counted as failed meanwhile. It ignores an answer that a later one has overtaken.
func (s *Scheduler) HeartbeatAnswered(now time.Time, id core.WorkerID, sentAt time.Time, l RunLists) {
	s.now = now
	w := s.workers[id]
	if w == nil || sentAt.Before(w.contactAt) {
		return
	}
	w.logReached()
	if !w.heartbeatInFlight || !sentAt.Before(w.heartbeatSentAt) {
		w.heartbeatInFlight = false
		w.logAcked(l.Ended)
	}
	if !l.Incarnation.Equal(w.info.Incarnation) {
		w.noteEnded()
	}
	w.markHeard()
	if sentAt.After(w.contactAt) {
		w.contactAt = sentAt
	}
	if !w.incarnation.IsZero() && !l.Incarnation.Equal(w.incarnation) {
		w.resetIncarnation()
	}
	w.noteListLength(l)
	w.incarnation = l.Incarnation
	w.setIncarnation(l.Incarnation, "its answer names it")
	leaseMayGoOn := w.leaseMayGoOn(l.Clock)
	if w.answeredAt.IsZero() {
		// An earlier owner may have granted a full lease just before this
		// answer.
		w.leaseUntil = max(w.leaseUntil, l.Clock+s.limits.Lease)
	}
	if l.Clock >= w.clock {
		w.clock, w.answeredAt = l.Clock, now
	}
	w.endAccount()
	if leaseMayGoOn {
		w.applyEnds(l.Ended)
		// Its runs count as over, so that no task waits for what it has not said.
		w.blockedSince = time.Time{}
		return
	}
	w.fire(workerAnswer)
	if w.state == workerGone {
		return
	}
	w.applyEnds(l.Ended)
	w.reconcileActive(sentAt, l)
	s.resolveRecovered()
	s.needsPlacement = true
}

// resetIncarnation resets what is specific to an incarnation when a new one
// answers under the same name: its clock and its numbering of ends start again.
// The runs of the former incarnation have ended, but an order meant for it may
// have reached the new one, whose lists show that. A stop acknowledged by the
// former incarnation does not prevent a run on the new one.
func (w *Worker) resetIncarnation() {
	w.scheduler.counts.Lapses++
	w.unknownRuns, w.blockedSince, w.hidesEnds = nil, time.Time{}, false
	w.scheduler.stopRepeat.schedule(time.Time{})
	for _, t := range w.tasks {
		t.stopSentAt, t.stopAckedAt = time.Time{}, time.Time{}
	}
	for i := range w.orphans {
		w.orphans[i].stopSentAt, w.orphans[i].stopAckedAt = time.Time{}, time.Time{}
	}
	w.clock, w.answeredAt, w.leaseUntil = 0, time.Time{}, 0
	w.handledEnd, w.ackedEnd, w.ackableSeq, w.ack = 0, 0, 0, ack{}
	w.failedInRow = 0
}

// setIncarnation records the incarnation that the worker or the platform's list
// reports, and the reason. A new one is not in the stored roster yet.
func (w *Worker) setIncarnation(incarnation time.Time, reason string) {
	if w.info.Incarnation.Equal(incarnation) {
		return
	}
	w.info.Incarnation, w.incarnationSince = incarnation, w.scheduler.now
	w.scheduler.logDecision(Decision{Event: EventIncarnation, Worker: w.id, Incarnation: incarnation, Reason: reason})
	w.scheduler.expireTicketsOf(w.id)
	w.leaveQuorum()
	w.changeRoster()
}

// setEntryIncarnation records the incarnation that the worker's entry is of.
func (w *Worker) setEntryIncarnation(incarnation time.Time) {
	if w.entryIncarnation.Equal(incarnation) {
		return
	}
	isFirst := w.entryIncarnation.IsZero()
	w.entryIncarnation = incarnation
	if isFirst {
		return
	}
	d := Decision{Event: EventEntry, Worker: w.id, Incarnation: incarnation, Reason: "the worker has not answered as it"}
	if w.info.Incarnation.Equal(incarnation) {
		d.Reason = ""
		if !w.incarnationSince.IsZero() {
			d.Wait = w.scheduler.now.Sub(w.incarnationSince)
		}
	}
	w.scheduler.logDecision(d)
}

// applyEnds handles the listed ends that are new. At the first end of an
// unknown job it stops, until that job has been read or maxJobWait has passed.
func (w *Worker) applyEnds(ends []EndedRun) {
	s := w.scheduler
	for _, e := range ends {
		if e.Number <= w.handledEnd {
			continue
		}
		if s.jobs[e.Task.Job] == nil && w.mustAwaitJob(e.Task.Job, ends[len(ends)-1].Number) {
			w.ackableSeq = s.changeSeq
			return
		}
		if e.Number >= w.blockedThrough {
			w.blockedSince = time.Time{}
		}
		w.handledEnd = e.Number
		w.ack.expect(e.Number)
		w.countOutcome(e.Kind)
		if i := slices.IndexFunc(w.orphans, func(o orphanedRun) bool { return o.task == e.Task && o.run == e.Run }); i >= 0 {
			w.releaseOrphan(w.orphans[i])
			w.orphans = slices.Delete(w.orphans, i, i+1)
			w.hidesEnds = false
		}
		t := s.namedTask(e.Task)
		d := Decision{Job: e.Task.Job, Event: EventRunEnded + e.Reason, Worker: w.id, Task: e.Task.String(), Run: e.Run, LastEnd: e.Number}
		if t != nil {
			if t.worker == w && t.run == e.Run {
				w.hidesEnds = false
				if !t.startedAt.IsZero() {
					d.Wait = s.now.Sub(t.startedAt)
				}
			}
			t.runEnded(w, e.Run, e.Kind, e.Checkpoint)
		}
		s.logDecision(d)
	}
	w.ackableSeq = s.changeSeq
}

// mustAwaitJob reports whether the end of a run of an unknown job must wait
// until that job has been read: acknowledging the end would lose it, and the
// task would run again. It also requests that reading and records since when
// the ends up to lastListed wait.
func (w *Worker) mustAwaitJob(id core.JobID, lastListed uint64) bool {
	s := w.scheduler
	s.unknownJobSeen = true
	if w.blockedSince.IsZero() {
		w.blockedSince, w.blockedThrough = s.now, lastListed
	}
	return s.nameParked(id) || s.now.Sub(w.blockedSince) < maxJobWait || !s.jobsReadAt.After(w.blockedSince)
}

// countOutcome counts consecutive failed runs and sets the worker aside when
// there are too many.
func (w *Worker) countOutcome(kind EndKind) {
	switch kind {
	case EndDone:
		w.failedInRow, w.asidePeriod = 0, 0
	case EndFailed:
		if w.failedInRow++; w.failedInRow >= maxFailedInRow {
			w.setAside()
		}
	}
}

// setAside excludes the worker from placement for a period that doubles each
// time.
func (w *Worker) setAside() {
	w.asidePeriod = min(max(2*w.asidePeriod, minAside), maxAside)
	w.asideUntil = w.scheduler.now.Add(w.asidePeriod)
}

// reconcileActive reconciles the scheduler's state with the runs that the
// worker lists as active.
func (w *Worker) reconcileActive(sentAt time.Time, l RunLists) {
	s := w.scheduler
	unknownBefore := w.unknownRuns
	w.unknownRuns = nil
	listed, endsWaiting := &s.listedRuns, &s.waitingEnds
	listed.reset()
	endsWaiting.reset()
	for _, a := range l.Active {
		listed.add(runID{a.Task, a.Run})
		t := s.namedTask(a.Task)
		switch {
		case t == nil:
			w.addUnknownRun(a.Task, a.Run)
		case t.worker == w && t.run == a.Run:
			t.fire(taskFound)
			t.applyReport(a)
		case t.state == taskHeld:
			t.eventWorker, t.run = w, a.Run
			t.fire(taskFound)
			t.applyReport(a)
		default:
			w.orphanFound(t, a)
		}
	}
	// An end that waits for an unknown job before it is not handled yet.
	for _, e := range l.Ended {
		if e.Number > w.handledEnd {
			endsWaiting.add(runID{e.Task, e.Run})
		}
	}
	for id, run := range unknownBefore {
		// The run may have ended behind the last end that is listed.
		if s.jobs[id.Job] == nil && l.More && !slices.ContainsFunc(l.Ended, func(e EndedRun) bool { return e.Task == id && e.Run == run }) {
			w.addUnknownRun(id, run)
		}
	}
	var notListed []*Task
	for id, t := range w.tasks {
		if r := (runID{id, t.run}); !listed.has(r) && !endsWaiting.has(r) {
			notListed = append(notListed, t)
		}
	}
	sortTasks(notListed)
	for _, t := range notListed {
		t.runNotListed(sentAt, l.More)
	}
	w.orphans = slices.DeleteFunc(w.orphans, func(o orphanedRun) bool {
		// A run that neither list names after the worker acknowledged its stop
		// will never start.
		willNotStart := !listed.has(runID{o.task, o.run}) && !o.stopAckedAt.IsZero() && sentAt.After(o.stopAckedAt)
		if willNotStart {
			w.releaseOrphan(o)
		}
		return willNotStart
	})
}

// addUnknownRun records a run of a job that the scheduler does not know, and requests that
// the job is read.
func (w *Worker) addUnknownRun(id jobs.TaskID, run uint64) {
	if w.unknownRuns == nil {
		w.unknownRuns = map[jobs.TaskID]uint64{}
	}
	w.unknownRuns[id] = run
	w.scheduler.unknownJobSeen = true
	w.scheduler.nameParked(id.Job)
}

// orphanFound records a listed run that is not the task's current run as an
// orphaned run and stops it.
func (w *Worker) orphanFound(t *Task, a ActiveRun) {
	if slices.ContainsFunc(w.orphans, func(o orphanedRun) bool { return o.task == a.Task && o.run == a.Run }) {
		return
	}
	w.scheduler.logDecision(Decision{Job: a.Task.Job, Event: "orphaned run found; stopping it", Worker: w.id, Task: a.Task.String(), Run: a.Run, Reason: "task is " + taskChart.Name(t.state)})
	if t.run < a.Run {
		t.run = a.Run
	}
	w.addOrphan(orphanedRun{task: a.Task, run: a.Run, reserved: t.phase.need(), team: t.phase.job.Spec.Team})
}

// applyReport records the checkpoint and the progress that the worker reports
// for the active run, and stops the run if it has stalled.
func (t *Task) applyReport(a ActiveRun) {
	s := t.phase.job.scheduler
	if a.Checkpoint != "" {
		t.keepCheckpoint(a.Run, a.Checkpoint)
	}
	if a.Percent != t.percent {
		t.percent, t.progressChangedAt = a.Percent, s.now
		s.progressSeen = true
	}
	switch {
	case t.state != taskRunning || t.startedAt.IsZero() || t.phase.spec.LongRunning:
	case t.stalled():
		t.stopStalled()
	default:
		t.learnFromProgress()
	}
}

// stalled reports whether the run has made no progress for too long. The
// time-out is longer for gangs, since a gang that waits for a member makes no
// progress until its worker ends it after GangWait, and for long runs, since
// progress is reported in whole percent.
func (t *Task) stalled() bool {
	s := t.phase.job.scheduler
	since := t.progressChangedAt
	// A cold worker makes progress at an unknown rate until it is warm.
	if cold := t.worker.coldUntil; cold.After(since) {
		since = cold
	}
	unchanged := s.now.Sub(since)
	// The prediction is not needed for most runs.
	if !s.progressSeen || t.percent >= 100 || unchanged <= stallTimeout {
		return false
	}
	timeout := max(stallTimeout, s.estimator.Predict(t.phase.job.Spec.Queue, t.phase.spec.Estimate)/stallDivisor)
	if t.phase.spec.Gang {
		timeout += s.limits.GangWait
	}
	return unchanged > timeout
}

// stopStalled stops a stalled run, so that the task starts on another worker.
func (t *Task) stopStalled() {
	s, w := t.phase.job.scheduler, t.worker
	s.logDecision(Decision{Job: t.phase.id.Job, Event: "run makes no progress; stopping it", Worker: w.id, Task: t.ID().String(), Run: t.run, Wait: s.now.Sub(t.progressChangedAt)})
	t.avoidWorker(w.id)
	w.setAside()
	t.fire(taskStop)
}

// learnFromProgress updates the worker's learned slowness from the progress of
// the active run.
func (t *Task) learnFromProgress() {
	s := t.phase.job.scheduler
	worked := s.now.Sub(t.startedAt)
	if t.percent == 0 || t.checkpoint != "" || t.ranCold() || worked < minProgressTime || s.now.Sub(t.slownessLearnedAt) < progressInterval {
		return
	}
	t.slownessLearnedAt = s.now
	runTime := worked.Seconds() * 100 / float64(t.percent)
	expected := max(s.estimator.Predict(t.phase.job.Spec.Queue, t.phase.spec.Estimate), time.Millisecond)
	t.worker.slowness += progressGain * (math.Log(runTime/expected.Seconds()) - t.worker.slowness)
}

// runNotListed handles a heartbeat answer that lists the task's run neither as
// active nor as ended. If there are more ends, its own may be among them.
func (t *Task) runNotListed(sentAt time.Time, more bool) {
	if more {
		return
	}
	switch t.state {
	case taskRunning:
		// The worker had confirmed the run before the heartbeat was sent.
		if !t.startedAt.IsZero() && sentAt.After(t.startedAt) {
			s := t.phase.job.scheduler
			s.logDecision(Decision{Job: t.phase.id.Job, Event: "run is missing from the lists of its worker", Worker: t.worker.id, Task: t.ID().String(), Run: t.run})
			t.fire(taskCut)
		}
	case taskDoubtful, taskStopping, taskLeaving:
		// Once the worker has acknowledged the stop, the run can no longer
		// start.
		if !t.stopAckedAt.IsZero() && sentAt.After(t.stopAckedAt) {
			t.logRun("stopped run is in no list of its worker", "")
			t.fire(taskRefused)
		}
	}
}

// HeartbeatFailed handles a heartbeat without answer.
func (s *Scheduler) HeartbeatFailed(now time.Time, id core.WorkerID) {
	s.now = now
	w := s.workers[id]
	if w == nil {
		return
	}
	w.heartbeatInFlight = false
	w.logAckUnconfirmed()
	w.nextHeartbeat = now.Add(heartbeatRetry)
	if w.state == workerFresh && w.listed {
		w.nextHeartbeat = now.Add(firstHeartbeatRetry)
	}
	if w.state == workerLive {
		w.silentSince = now
	}
	w.fire(workerMiss)
	s.needsPlacement = true
}

// IncarnationEnded handles an answer of another worker, or of another incarnation of the worker, to an
// order that was sent to the address and incarnation in sent: that incarnation has ended, since a
// port is bound by one process at a time. If the worker has another address or incarnation by now, the
// answer says nothing of it.
func (s *Scheduler) IncarnationEnded(now time.Time, sent WorkerInfo) {
	s.now = now
	w := s.workers[sent.ID()]
	if w == nil || w.info.Addr != sent.Addr || !w.info.Incarnation.Equal(sent.Incarnation) {
		return
	}
	s.misdirected.add(w.info)
	s.logDecision(Decision{Event: "worker has ended", Worker: w.id, Reason: string(proofReplaced)})
	w.fire(workerVanish)
	s.removeGone()
	s.resolveRecovered()
}

// lapseSilent marks the workers that do not answer as lapsed once their runs have
// certainly ended.
func (s *Scheduler) lapseSilent() {
	for _, w := range s.sortedWorkers {
		if w.state == workerLive || w.state == workerLapsed {
			continue
		}
		if w.leaseExpired() {
			s.logDecision(Decision{Event: "worker does not answer; its runs have ended", Worker: w.id, Reason: string(proofLease)})
			w.fire(workerLapse)
		}
	}
	s.resolveRecovered()
}

// orderHeartbeats orders the heartbeats that are due.
func (s *Scheduler) orderHeartbeats() {
	needsContacts := s.needsContacts()
	for _, w := range s.sortedWorkers {
		if w.heartbeatInFlight || s.now.Before(w.nextHeartbeat) {
			continue
		}
		wait, sinceLast := heartbeatWait, s.now.Sub(w.heartbeatSentAt)
		mayAck := s.storedSeq >= w.ackableSeq
		switch {
		case w.state == workerFresh || w.answeredAt.IsZero():
			wait = 0
		case w.state != workerLive:
			wait = 0
			w.nextHeartbeat = s.now.Add(heartbeatRetry)
		case needsContacts && sinceLast < s.contactInterval():
			continue
		case !needsContacts && !mayAck && sinceLast < s.limits.Lease/heartbeatDivisor:
			// The worker would list the unacknowledged ends again at once.
			continue
		default:
			if needsContacts || !mayAck || w.hidesEnds {
				wait = 0
			}
			if mayAck {
				w.ackedEnd = w.handledEnd
			}
		}
		w.heartbeatInFlight, w.heartbeatSentAt = true, s.now
		s.orderHeartbeat(w, wait)
	}
}

// orderHeartbeat orders a heartbeat. Only an owner that may act renews leases, and only
// those of workers that answered the last one: a renewal sent to a silent worker may arrive late,
// and no time would be known by which the runs there must have ended.
func (s *Scheduler) orderHeartbeat(w *Worker, wait time.Duration) {
	o := Order{Kind: OrderHeartbeat, Worker: w.id, Info: w.info, Epoch: s.epoch, Wait: wait}
	if w.state == workerLive {
		if s.authority.acting {
			o.LeaseUntil = w.extendLease()
		}
		if s.now.Sub(w.answeredAt) <= maxAckAge {
			o.AckedEnd = w.ackedEnd
		}
	}
	w.ack.send(o.AckedEnd, s.recordAge())
	s.orders = append(s.orders, o)
}
