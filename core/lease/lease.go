// Package lease decides how long a right holds when only the holder's own
// monotonic clock can be trusted.
package lease

import "time"

// DriftPercent is the largest difference in rate between two clocks.
const DriftPercent = 5

// Lease is a right that its holder must renew.
type Lease struct {
	// sent is when the newest successful renewal was sent, not answered.
	sent time.Time
	// until is never moved back except by Drop.
	until time.Time
	// looked is the last time the holder checked the lease.
	looked time.Time
	// gap is the longest time between two checks that is not a pause.
	gap time.Duration
}

// New returns a lease that holds nothing yet.
func New(gap time.Duration) *Lease { return &Lease{gap: gap} }

// Renew extends the lease from the time at which the renewal was sent.
func (l *Lease) Renew(sent time.Time, ttl time.Duration) {
	if sent.After(l.sent) {
		l.sent = sent
	}
	if until := sent.Add(ttl); until.After(l.until) {
		l.until = until
	}
}

// Release gives the right up at once.
func (l *Lease) Release() { l.until = time.Time{} }

// Until returns when the lease ends unless renewed.
func (l *Lease) Until() time.Time { return l.until }

// Valid reports whether the right may be used now. A wall clock that moved
// further than the monotonic one, or a gap between checks longer than allowed,
// is a pause: the lease counts as lapsed.
func (l *Lease) Valid(now time.Time) bool {
	if !l.looked.IsZero() {
		mono := now.Sub(l.looked)
		wall := now.Round(0).Sub(l.looked.Round(0))
		if mono > l.gap || wall-mono > l.gap {
			l.Release()
		}
	}
	l.looked = now
	return now.Before(l.until)
}

// Lapsed reports whether a lease of another holder, last seen renewed at seen,
// has surely ended on the holder's clock.
func Lapsed(seen, now time.Time, ttl time.Duration) bool {
	return now.Sub(seen) > ttl+ttl*DriftPercent/100
}
