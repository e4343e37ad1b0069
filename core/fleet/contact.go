package fleet

import (
	"math"
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
)

const (
	// heartbeatWait is how long a hold waits for an end. A hold whose answer is lost
	// hides the ends on its worker until it times out, so it is kept short; the
	// platform takes up to 2 s.
	heartbeatWait = 600 * time.Millisecond
	// heartbeatDivisor divides the lease into the longest pause between two holds.
	heartbeatDivisor = 4
	// heartbeatRetry is the time before a worker that has not answered is asked again.
	heartbeatRetry = 400 * time.Millisecond
	// firstHeartbeatRetry is that of one that has never answered this owner: until all have,
	// what an earlier owner may have started there cannot start elsewhere.
	firstHeartbeatRetry = 50 * time.Millisecond
	// stopRetry is the time before a stop without answer is sent again.
	stopRetry = 500 * time.Millisecond
	// maxBlocked is how long an end waits for its job to be read. A job that is
	// unknown after several readings has been deleted.
	maxBlocked = 5 * time.Second
)

// HeartbeatAnswered takes in a worker's answer to a hold that was sent at a time.
func (b *Scheduler) HeartbeatAnswered(now time.Time, id core.WorkerID, sent time.Time, l RunLists) {
	b.now = now
	w := b.workers[id]
	if w == nil {
		return
	}
	w.heartbeatInFlight = false
	if !w.incarnation.IsZero() && !l.Incarnation.Equal(w.incarnation) {
		w.resetIncarnation()
	}
	w.incarnation = l.Incarnation
	w.setListedIncarnation(l.Incarnation)
	if w.answeredAt.IsZero() {
		// An earlier owner may have granted a full lease up to this answer.
		w.leaseUntil = max(w.leaseUntil, l.Clock+b.limits.Lease)
	}
	if l.Clock >= w.clock {
		w.clock, w.answeredAt = l.Clock, now
	}
	w.fire(workerAnswer)
	if w.state == workerGone {
		return
	}
	w.takeEnds(l.Ended)
	w.reconcileActive(sent, l)
	b.resolveRecovered()
	b.needsPlacement = true
}

// resetIncarnation follows a new incarnation under the same name: its numbers and clock
// begin anew. The old one's runs are over, but an order may have reached the new
// one: its lists tell, and a stop that the old one has answered bars nothing
// there.
func (w *Worker) resetIncarnation() {
	w.scheduler.counts.Lapses++
	w.unknownRuns, w.blockedSince = nil, time.Time{}
	for _, t := range w.tasks {
		t.stopSentAt, t.stopAckedAt = time.Time{}, time.Time{}
	}
	for i := range w.orphans {
		w.orphans[i].stopSentAt, w.orphans[i].stopAckedAt = time.Time{}, time.Time{}
	}
	w.clock, w.answeredAt, w.leaseUntil = 0, time.Time{}, 0
	w.takenEnd, w.ackedEnd, w.ackableSeq = 0, 0, 0
	w.failedInRow = 0
}

// setListedIncarnation follows the incarnation that a worker or the list names. The recorded
// roster does not hold a new one yet.
func (w *Worker) setListedIncarnation(born time.Time) {
	if w.info.Incarnation.Equal(born) {
		return
	}
	w.info.Incarnation, w.inRoster = born, false
	w.scheduler.rosterVersion++
}

func (w *Worker) takeEnds(ends []EndedRun) {
	b := w.scheduler
	for _, e := range ends {
		if e.Number <= w.takenEnd {
			continue
		}
		if b.jobs[e.Task.Job] == nil && w.mustAwaitJob() {
			w.ackableSeq = b.changeSeq
			return
		}
		w.blockedSince = time.Time{}
		w.takenEnd = e.Number
		w.countOutcome(e.Kind)
		if i := slices.IndexFunc(w.orphans, func(s orphanedRun) bool { return s.task == e.Task && s.run == e.Run }); i >= 0 {
			w.releaseOrphan(w.orphans[i])
			w.orphans = slices.Delete(w.orphans, i, i+1)
		}
		t := b.task(e.Task)
		n := Decision{Job: e.Task.Job, Event: "run ended " + e.Reason, Worker: w.id, Task: e.Task.String(), Run: e.Run}
		if t != nil {
			if t.worker == w && t.run == e.Run && !t.startedAt.IsZero() {
				n.Wait = b.now.Sub(t.startedAt)
			}
			t.runEnded(w, e.Run, e.Kind, e.Checkpoint)
		}
		b.logDecision(n)
	}
	w.ackableSeq = b.changeSeq
}

// mustAwaitJob reports whether the end of a job that the board has not read must
// wait: an end that is passed over would be lost, and the task run again.
func (w *Worker) mustAwaitJob() bool {
	w.scheduler.unknownJobSeen = true
	if w.blockedSince.IsZero() {
		w.blockedSince = w.scheduler.now
	}
	return w.scheduler.now.Sub(w.blockedSince) < maxBlocked
}

// countOutcome sets a worker aside that fails all it starts.
func (w *Worker) countOutcome(how EndKind) {
	switch how {
	case EndDone:
		w.failedInRow, w.asidePeriod = 0, 0
	case EndFailed:
		if w.failedInRow++; w.failedInRow >= maxFailedInRow {
			w.setAside()
		}
	}
}

func (w *Worker) setAside() {
	w.asidePeriod = min(max(2*w.asidePeriod, minAside), maxAside)
	w.asideUntil = w.scheduler.now.Add(w.asidePeriod)
}

// reconcileActive reconciles the board with all that runs on the worker.
func (w *Worker) reconcileActive(sent time.Time, l RunLists) {
	b := w.scheduler
	w.unknownRuns = nil
	type runID struct {
		task jobs.TaskID
		run  uint64
	}
	seen := make(map[runID]struct{}, len(l.Active))
	for _, a := range l.Active {
		seen[runID{a.Task, a.Run}] = struct{}{}
		t := b.task(a.Task)
		switch {
		case t == nil:
			if w.unknownRuns == nil {
				w.unknownRuns = map[jobs.TaskID]uint64{}
			}
			w.unknownRuns[a.Task] = a.Run
			b.unknownJobSeen = true
		case t.worker == w && t.run == a.Run:
			t.fire(taskFound)
			t.takeReport(a)
		case t.state == taskHeld:
			t.eventWorker, t.run = w, a.Run
			t.fire(taskFound)
			t.takeReport(a)
		default:
			w.orphanFound(t, a)
		}
	}
	for _, t := range w.sortedTasks() {
		if _, ok := seen[runID{t.ID(), t.run}]; !ok {
			t.runNotListed(sent, len(l.Ended))
		}
	}
	w.orphans = slices.DeleteFunc(w.orphans, func(s orphanedRun) bool {
		_, ok := seen[runID{s.task, s.run}]
		// A run that is in neither list after its stop will never begin.
		over := !ok && !s.stopAckedAt.IsZero() && sent.After(s.stopAckedAt)
		if over {
			w.releaseOrphan(s)
		}
		return over
	})
}

// orphanFound follows a run that the board wants elsewhere or not at all.
func (w *Worker) orphanFound(t *Task, a ActiveRun) {
	if slices.ContainsFunc(w.orphans, func(s orphanedRun) bool { return s.task == a.Task && s.run == a.Run }) {
		return
	}
	w.scheduler.logDecision(Decision{Job: a.Task.Job, Event: "run found that is not wanted; stopping it", Worker: w.id, Task: a.Task.String(), Run: a.Run, Reason: "task is " + taskChart.Name(t.state)})
	if t.run < a.Run {
		t.run = a.Run
	}
	w.addOrphan(orphanedRun{task: a.Task, run: a.Run, reserved: t.phase.need(), team: t.phase.job.Spec.Team})
}

// takeReport takes in what the worker says of a running task.
func (t *Task) takeReport(a ActiveRun) {
	b := t.phase.job.scheduler
	if a.Checkpoint != "" {
		t.keepCheckpoint(a.Run, a.Checkpoint)
	}
	if a.Percent != t.percent {
		t.percent, t.progressChangedAt = a.Percent, b.now
		b.progressSeen = true
	}
	switch {
	case t.state != taskRunning || t.startedAt.IsZero() || t.phase.spec.LongRunning:
	case t.stalled():
		t.stopStalled()
	default:
		t.learnFromProgress()
	}
}

// stalled reports whether the run stands still. A gang that waits for a member
// does so too; its worker ends it when the members' time is up. Progress is told
// in whole percent, which take long in long runs.
func (t *Task) stalled() bool {
	b := t.phase.job.scheduler
	if !b.progressSeen || t.percent >= 100 {
		return false
	}
	most := max(stallTimeout, b.estimator.Predict(t.phase.job.Spec.Queue, t.phase.spec.Estimate)/stallDivisor)
	if t.phase.spec.Gang {
		most += b.limits.GangWait
	}
	return b.now.Sub(t.progressChangedAt) > most
}

// stopStalled stops a run that stands still, to start it on another worker.
func (t *Task) stopStalled() {
	b, w := t.phase.job.scheduler, t.worker
	b.logDecision(Decision{Job: t.phase.id.Job, Event: "run stands still; stopping it", Worker: w.id, Task: t.ID().String(), Run: t.run, Wait: b.now.Sub(t.progressChangedAt)})
	t.avoidWorker(w.id)
	w.setAside()
	t.fire(taskStop)
}

// learnFromProgress takes the progress of a run as a sign of its worker's speed.
func (t *Task) learnFromProgress() {
	b := t.phase.job.scheduler
	worked := b.now.Sub(t.startedAt)
	if t.percent == 0 || t.checkpoint != "" || worked < minProgressTime || b.now.Sub(t.speedReadAt) < progressInterval {
		return
	}
	t.speedReadAt = b.now
	whole := worked.Seconds() * 100 / float64(t.percent)
	expected := max(b.estimator.Predict(t.phase.job.Spec.Queue, t.phase.spec.Estimate), time.Millisecond)
	t.worker.slowness += progressGain * (math.Log(whole/expected.Seconds()) - t.worker.slowness)
}

// maxListedEnds is how many ends an answer holds at most; a run that is in neither
// list may be among the ends that did not fit.
const maxListedEnds = 500

// runNotListed follows an answer that names the task neither as running nor as ended.
func (t *Task) runNotListed(sent time.Time, ends int) {
	if ends >= maxListedEnds {
		return
	}
	switch t.state {
	case taskRunning:
		// The worker had confirmed the run before it was asked.
		if !t.startedAt.IsZero() && sent.After(t.startedAt) {
			b := t.phase.job.scheduler
			b.logDecision(Decision{Job: t.phase.id.Job, Event: "run is on its worker no more", Worker: t.worker.id, Task: t.ID().String(), Run: t.run})
			t.fire(taskCut)
		}
	case taskDoubtful, taskStopping, taskLeaving:
		// A stop that the worker has answered keeps the run from beginning later.
		if !t.stopAckedAt.IsZero() && sent.After(t.stopAckedAt) {
			t.fire(taskRefused)
		}
	}
}

// HeartbeatFailed follows a hold without answer.
func (b *Scheduler) HeartbeatFailed(now time.Time, id core.WorkerID) {
	b.now = now
	w := b.workers[id]
	if w == nil {
		return
	}
	w.heartbeatInFlight = false
	w.nextHeartbeat = now.Add(heartbeatRetry)
	if w.state == workerFresh && w.listed {
		w.nextHeartbeat = now.Add(firstHeartbeatRetry)
	}
	w.fire(workerMiss)
	b.needsPlacement = true
}

// IncarnationEnded follows the proof that a worker's incarnation is over.
func (b *Scheduler) IncarnationEnded(now time.Time, id core.WorkerID) {
	b.now = now
	if w := b.workers[id]; w != nil {
		w.fire(workerVanish)
		b.removeGone()
		b.resolveRecovered()
	}
}

// repeatStops repeats the stops that have not been answered.
func (b *Scheduler) repeatStops() {
	for _, w := range b.sortedWorkers {
		for _, t := range w.tasks {
			halting := t.state == taskDoubtful || t.state == taskStopping || t.state == taskLeaving
			if halting && t.stopAckedAt.IsZero() && b.now.Sub(t.stopSentAt) > stopRetry {
				t.orderStop()
			}
		}
		for i := range w.orphans {
			if w.orphans[i].stopAckedAt.IsZero() && b.now.Sub(w.orphans[i].stopSentAt) > stopRetry {
				w.stopOrphan(i)
			}
		}
	}
}

// orderHeartbeats orders the contacts that are due.
func (b *Scheduler) orderHeartbeats() {
	for _, w := range b.sortedWorkers {
		if w.state != workerLive && w.leaseLapsed(b.now) {
			w.fire(workerLapse)
		}
		if w.heartbeatInFlight || b.now.Before(w.nextHeartbeat) {
			continue
		}
		wait := heartbeatWait
		switch {
		case w.state == workerFresh || w.answeredAt.IsZero():
			wait = 0
		case w.state != workerLive:
			wait = 0
			w.nextHeartbeat = b.now.Add(heartbeatRetry)
		case b.storedSeq < w.ackableSeq:
			// The ends just listed would be listed again at once.
			if b.now.Sub(w.heartbeatSentAt) < b.limits.Lease/heartbeatDivisor {
				continue
			}
			wait = 0
		default:
			w.ackedEnd = w.takenEnd
		}
		w.heartbeatInFlight, w.heartbeatSentAt = true, b.now
		b.orderHeartbeat(w, wait)
	}
}

// orderHeartbeat asks for a worker's lists. Only a worker that has answered the last
// hold is granted more time: a lease sent to a silent one may arrive late, and
// what runs there would never surely end.
func (b *Scheduler) orderHeartbeat(w *Worker, wait time.Duration) {
	o := Order{Kind: OrderHeartbeat, Worker: w.id, Info: w.info, Epoch: b.epoch, AckedEnd: w.ackedEnd, Wait: wait}
	if w.state == workerLive {
		o.LeaseUntil = w.extendLease()
	}
	b.orders = append(b.orders, o)
}
