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
	case outcome.RefusedStatus == http.StatusServiceUnavailable, outcome.Unreachable():
		o.refusals++
		o.last = outcome
	case outcome.Answered():
		o.refusals, o.processedAt = 0, now
	}
}

// refusesAll reports whether the table refuses all calls.
func (o *outage) refusesAll(now time.Time) bool {
	return o.refusals >= minRefusals && now.Sub(o.processedAt) > minOutage
}

// suppress reports whether a call need not be made, and its outcome then.
func (o *outage) suppress(now time.Time) (table.Outcome, bool) {
	if !o.refusesAll(now) {
		return table.Outcome{}, false
	}
	if !now.Before(o.nextProbe) {
		o.nextProbe = now.Add(probeInterval)
		return table.Outcome{}, false
	}
	return o.last, true
}

func (s *Store) suppress() (table.Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage.suppress(s.clock())
}
