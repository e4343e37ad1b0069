// Package lease decides how long the holder of a lease may rely on it when only
// the holder's own monotonic clock can be trusted.
package lease

import "time"

// DriftPercent is the largest expected difference in rate between two clocks, in
// percent.
const DriftPercent = 5

// Lease is a right that its holder must renew.
type Lease struct {
	// renewedAt is when the newest successful renewal was sent, not when it was
	// answered.
	renewedAt time.Time
	// until is when the lease ends; only Release makes it earlier.
	until time.Time
	// checkedAt is the time of the last call of Valid.
	checkedAt time.Time
	// maxGap is the longest time between two calls of Valid for which the process
	// does not count as suspended.
	maxGap time.Duration
}

// New returns a lease that has not been granted yet. A process that does not call
// Valid for longer than maxGap loses the lease.
func New(maxGap time.Duration) *Lease { return &Lease{maxGap: maxGap} }

// Renew extends the lease to ttl after the time at which the renewal was sent.
func (l *Lease) Renew(sent time.Time, ttl time.Duration) {
	if sent.After(l.renewedAt) {
		l.renewedAt = sent
	}
	if until := sent.Add(ttl); until.After(l.until) {
		l.until = until
	}
}

// Release ends the lease at once.
func (l *Lease) Release() { l.until = time.Time{} }

// Until returns when the lease ends unless renewed.
func (l *Lease) Until() time.Time { return l.until }

// Valid reports whether the lease holds now. It releases the lease if the process
// seems to have been suspended since the last call: either more than maxGap has
// passed, or the wall clock has advanced more than maxGap further than the
// monotonic clock.
func (l *Lease) Valid(now time.Time) bool {
	if !l.checkedAt.IsZero() {
		monotonic := now.Sub(l.checkedAt)
		wall := now.Round(0).Sub(l.checkedAt.Round(0))
		if monotonic > l.maxGap || wall-monotonic > l.maxGap {
			l.Release()
		}
	}
	l.checkedAt = now
	return now.Before(l.until)
}

// Lapsed reports whether a lease of another holder, last seen renewed at seen,
// has ended on the holder's clock even if that clock is slow by DriftPercent.
func Lapsed(seen, now time.Time, ttl time.Duration) bool {
	return now.Sub(seen) > ttl+ttl*DriftPercent/100
}
