package fleet

import "time"

// This file decides when the runs on a worker have ended although the worker has not
// said so. The platform's list shows who registers, not what runs: that a worker is
// missing from it means that nothing more is placed there, and is no proof by itself.

// drainMargin is subtracted from the platform's ListTimeout when an entry's last renewal
// shows that it was not removed by time-out, for the store's rounding.
const drainMargin = 500 * time.Millisecond

// lapseDelay is how long after its lease has ended, by its own clock, a worker that is short of
// processor time may notice.
const lapseDelay = 500 * time.Millisecond

// proof is why all runs that any owner has started on a worker have certainly ended.
type proof string

const (
	// proofLease means that the longest lease that any owner has granted has expired
	// on the slowest clock.
	proofLease proof = "its lease has expired"
	// proofDrained means that the worker announced its end and that the platform has
	// removed its entry sooner than it does for silence.
	proofDrained proof = "it has drained"
	// proofReplaced means that another worker answers at its address.
	proofReplaced proof = "another one answers at its address"
	// proofIdle means that the worker answered this owner and had no runs, and that
	// none can have started since.
	proofIdle proof = "it had no runs"
)

// listSeries describes the latest readings of the list of workers that follow one another
// without a failure or a long gap, on the clock of WorkerList. Around an outage of the store
// the list may lack workers that go on.
type listSeries struct {
	// since is when the first list of the series was requested, requestedAt and receivedAt
	// are the times of the last one.
	since, requestedAt, receivedAt time.Duration
	// broken is set if a reading has failed after the last list.
	broken bool
}

// endedBefore reports whether a new list begins another series.
func (l *listSeries) endedBefore(next WorkerList) bool {
	return l.broken || next.ReceivedAt-l.receivedAt > maxOwnerGap
}

// leaseExpired reports whether the lease of all runs on the worker has certainly
// expired. A later owner may have extended it unless the ownership record has been
// confirmed since it expired.
func (w *Worker) leaseExpired() bool {
	s := w.scheduler
	if w.leaseExpiredAt(s.authority.confirmedAt) {
		return true
	}
	if w.leaseExpiredAt(s.now) && !s.WantsConfirmation() {
		s.wantConfirmation()
	}
	return false
}

// leaseExpiredAt reports whether the lease that this owner and earlier ones have granted
// had certainly expired at a time. The leases on a worker that has not answered this owner
// were granted by earlier owners; the orders of these are refused once it has answered.
func (w *Worker) leaseExpiredAt(t time.Time) bool {
	if w.answeredAt.IsZero() {
		return t.After(w.scheduler.earlierLeasesEnd())
	}
	clock := w.clock + time.Duration(float64(t.Sub(w.answeredAt))*minClockRate)
	return clock > w.leaseUntil+leaseSlack
}

// leaseMayGoOn reports whether the lease of a worker that counts as expired may not have ended
// there, as an answer shows that was given at clock: its clock has stood still, or it has not
// acted on it yet. Until it has, the lease is not extended and no end is acknowledged.
func (w *Worker) leaseMayGoOn(clock time.Duration) bool {
	return w.state == workerLapsed && !w.answeredAt.IsZero() && clock <= w.leaseUntil+lapseDelay
}

// hasDrained reports whether the entry of a worker that is missing from a list received
// at the given time was removed because the worker drained: it was leaving, and its last
// renewal is too recent for a removal by time-out and in the series of that list.
func (w *Worker) hasDrained(listReceivedAt time.Duration) bool {
	s := w.scheduler
	silence := listReceivedAt - w.renewedAfter
	return w.info.Leaving && w.renewedAfter > 0 && w.renewedAfter >= s.lists.since && silence < s.limits.ListTimeout-drainMargin
}

// hasNoRuns reports whether the worker has no runs, none can start there, and
// all ends have been handled and acknowledged.
func (w *Worker) hasNoRuns() bool {
	return len(w.tasks) == 0 && len(w.orphans) == 0 && len(w.unknownRuns) == 0 && !w.hidesEnds && w.blockedSince.IsZero() && w.ackedEnd == w.handledEnd
}

// onSlowestClock returns the longest time that passes while a worker's clock advances
// by d.
func onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / minClockRate)
}
