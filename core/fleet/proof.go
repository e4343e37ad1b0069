package fleet

import "time"

// This file decides when the runs on a worker have ended although the worker has not
// said so. The platform's list shows who registers, not what runs: that a worker is
// missing from it means that nothing more is placed there, and is no proof by itself.

// proof is why all runs that any owner has started on a worker have certainly ended.
type proof string

const (
	// noProof means that runs may be active.
	noProof proof = ""
	// proofLease means that the longest lease that any owner has granted has expired
	// on the slowest clock.
	proofLease proof = "its lease has expired"
)

// endProof returns why all runs on the worker have certainly ended.
func (w *Worker) endProof() proof {
	if w.leaseExpired() {
		return proofLease
	}
	return noProof
}

// leaseExpired reports whether the lease of all runs on the worker has certainly
// expired. The leases on a worker that has not answered this owner were granted by
// earlier owners; the orders of these are refused once it has answered.
func (w *Worker) leaseExpired() bool {
	s := w.scheduler
	if w.answeredAt.IsZero() {
		return s.now.After(s.earlierLeasesEnd)
	}
	clock := w.clock + time.Duration(float64(s.now.Sub(w.answeredAt))*minClockRate)
	return clock > w.leaseUntil+leaseSlack
}

// onSlowestClock returns the longest time that passes while a worker's clock advances
// by d.
func onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / minClockRate)
}
