package entry

import (
	"sync/atomic"
	"time"

	"chicoryturn/core/load"
)

const (
	// maxPause is the longest time between two looks at the clock that does not count
	// as a pause of the process.
	maxPause = 3 * time.Second
	// confirmTimeout is how long after a pause calls are refused while the
	// configuration cannot be confirmed. A VM that cannot reach the store honours the
	// last configuration, paused before or not.
	confirmTimeout = 5 * time.Second
)

// confirmation tells whether the configuration may be used. After a pause, a key may
// have been withdrawn long ago, so the store must confirm the configuration first.
type confirmation struct {
	// now reads a clock that also counts suspensions.
	now func() time.Duration
	// checkedAt is the time of the last look at the clock, resumedAt that of the end of
	// the last pause, and confirmedAt when the last successful read of the
	// configuration began. All are in nanoseconds.
	checkedAt, resumedAt, confirmedAt atomic.Int64
	// pauses counts the pauses.
	pauses atomic.Uint64
	// resumed receives a value after each pause.
	resumed chan struct{}
}

func newConfirmation(now func() time.Duration) *confirmation {
	return &confirmation{now: now, resumed: make(chan struct{}, 1)}
}

// check looks at the clock and reports whether the configuration may be used.
func (c *confirmation) check() bool {
	now := int64(c.now())
	if last := c.checkedAt.Swap(now); last > 0 && now-last > int64(maxPause) {
		c.resumedAt.Store(now)
		c.pauses.Add(1)
		select {
		case c.resumed <- struct{}{}:
		default:
		}
	}
	resumedAt := c.resumedAt.Load()
	return c.confirmedAt.Load() >= resumedAt || now-resumedAt > int64(confirmTimeout)
}

// Option configures an Entry.
type Option func(*Entry)

// WithClock replaces the clock that shows pauses of the process.
func WithClock(now func() time.Duration) Option {
	return func(e *Entry) { e.confirmation = newConfirmation(now) }
}

// CheckPause looks for a pause of the process. It must be called about once a second.
func (e *Entry) CheckPause() { e.confirmation.check() }

// Resumed returns a channel that receives a value after a pause, when the configuration
// must be read at once.
func (e *Entry) Resumed() <-chan struct{} { return e.confirmation.resumed }

// Clock returns the time to pass to ConfirmPolicy.
func (e *Entry) Clock() time.Duration { return e.confirmation.now() }

// ConfirmPolicy records that a read of the configuration that began at a time has shown
// the newest one, which SetPolicy has received.
func (e *Entry) ConfirmPolicy(began time.Duration) { e.confirmation.confirmedAt.Store(int64(began)) }

// unconfirmed returns the refusal of a call while the configuration is not confirmed.
func unconfirmed(reason string) error {
	return load.Unconfirmed.Refuse(nil, "%s", reason)
}
