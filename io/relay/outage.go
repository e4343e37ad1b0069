package relay

import (
	"net/http"
	"time"

	"chicoryturn/io/table"
)

const (
	// minRefusals and minOutage are how many calls in a row the table must have refused
	// on every route, and for how long it must have processed none, to count as
	// refusing all calls. If it refuses some of its partitions only, the reads that
	// every VM repeats succeed in between.
	minRefusals = 6
	minOutage   = 800 * time.Millisecond
	// probeInterval is the time between two calls that are made while the table refuses
	// all.
	probeInterval = 150 * time.Millisecond
)

// outage tells whether the table refuses all calls. Repeating them through all VMs would
// then only keep the VMs busy, above all the owner's, through which the others go.
type outage struct {
	// refusals counts the calls in a row that were refused, the last with the outcome
	// last. processedAt is when the table last processed a call.
	refusals    int
	last        table.Outcome
	processedAt time.Time
	nextProbe   time.Time
}

// observe records the outcome of a call that was made on every route.
func (o *outage) observe(now time.Time, outcome table.Outcome) {
	switch {
	case outcome.RefusedStatus == http.StatusServiceUnavailable:
		o.refusals++
		o.last = outcome
	case outcome.Unreachable():
		// No VM could be asked, which says nothing about the table.
	case outcome.Answered():
		o.refusals, o.processedAt = 0, now
	default:
		// A call without an answer is no refusal.
		o.refusals = 0
	}
}

// refusesAll reports whether the table refuses all calls.
func (o *outage) refusesAll(now time.Time) bool {
	return o.refusals >= minRefusals && now.Sub(o.processedAt) > minOutage
}

// treatment says how a call is made.
type treatment uint8

const (
	// routed calls take the current route.
	routed treatment = iota
	// probing calls are made directly first: another VM may not know yet that the table
	// serves again.
	probing
	// suppressed calls are not made.
	suppressed
)

// treat returns how the next call is made.
func (o *outage) treat(now time.Time) treatment {
	switch {
	case !o.refusesAll(now):
		return routed
	case now.Before(o.nextProbe):
		return suppressed
	}
	o.nextProbe = now.Add(probeInterval)
	return probing
}

// treat returns how the next call is made, and its outcome if it is not made.
func (s *Store) treat() (treatment, table.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage.treat(s.clock()), s.outage.last
}
