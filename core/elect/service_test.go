package elect_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/elect"
)

// newHolder returns a process that has claimed the record at start after a number of owners in a
// row have yielded.
func newHolder(yields int) *elect.Election {
	e := newElection()
	e.Observe(at(0), elect.Observation{Record: elect.Record{Epoch: 3, Yields: yields}, Version: 6})
	rec, _ := e.NextRecord(start)
	e.WriteSucceeded(at(0), at(0), rec, 7, 0)
	return e
}

// yieldTime renews the record of an owner every 700 ms and returns after how long it yields, 0 if
// it does not within a time, and why. Waits returns how long the message that is handled at a time
// has waited.
func yieldTime(e *elect.Election, ready bool, within time.Duration, waits func(at time.Duration) time.Duration) (time.Duration, elect.YieldReason) {
	version := uint64(7)
	for after := time.Duration(0); after <= within; after += 100 * time.Millisecond {
		now := start.Add(after)
		if after%(700*time.Millisecond) == 0 {
			rec, _ := e.NextRecord(now)
			version++
			e.WriteSucceeded(now, now, rec, version, 0)
		}
		e.MessageHandled(now, waits(after))
		if reason, yield := e.CheckService(now, ready); yield {
			return after, reason
		}
	}
	return 0, ""
}

func inTime(time.Duration) time.Duration { return 10 * time.Millisecond }

// TestUnreadyOwnerYields guards against an owner that renews its record for ever without having
// loaded the stored jobs. If earlier owners did not either, it has more time.
func TestUnreadyOwnerYields(t *testing.T) {
	for yields, want := range []time.Duration{20 * time.Second, 40 * time.Second, 80 * time.Second, 160 * time.Second, 160 * time.Second} {
		is := is.New(t)
		after, reason := yieldTime(newHolder(yields), false, time.Hour, inTime)
		is.Equal(after, want)
		is.Equal(reason, elect.YieldUnready)
	}
}

// TestOutageIsNoReasonToYield guards against an owner that yields because no process can load: the
// store does not take its renewals either.
func TestOutageIsNoReasonToYield(t *testing.T) {
	is := is.New(t)
	e := newHolder(0)
	for after := time.Duration(0); after <= time.Minute; after += 100 * time.Millisecond {
		_, yield := e.CheckService(start.Add(after), false)
		is.True(!yield)
	}
}

// TestLateOwnerYields guards against an owner whose replies reach nobody in time. Cases: how long
// messages wait, how many owners in a row have yielded, and after how long the owner yields, 0 if
// never.
func TestLateOwnerYields(t *testing.T) {
	const late = 2 * time.Second
	for name, c := range map[string]struct {
		waits  func(at time.Duration) time.Duration
		yields int
		want   time.Duration
	}{
		"in time":          {waits: inTime},
		"always late":      {waits: func(time.Duration) time.Duration { return late }, want: 20 * time.Second},
		"others no fitter": {waits: func(time.Duration) time.Duration { return late }, yields: 2},
		"late for 5 s": {waits: func(at time.Duration) time.Duration {
			if at > 30*time.Second && at < 35*time.Second {
				return late
			}
			return 0
		}},
		"late for 10 s": {waits: func(at time.Duration) time.Duration {
			if at > 30*time.Second && at < 40*time.Second {
				return late
			}
			return 0
		}, want: 36 * time.Second},
		"late for a quarter of the time": {waits: func(at time.Duration) time.Duration {
			if at%(4*time.Second) < time.Second {
				return late
			}
			return 0
		}},
		"one long stall": {waits: func(at time.Duration) time.Duration {
			if at == 30*time.Second {
				return time.Minute
			}
			return 0
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newHolder(c.yields)
			e.StateLoaded()
			after, reason := yieldTime(e, true, 2*time.Minute, c.waits)
			is.Equal(after, c.want)
			is.Equal(reason == elect.YieldLate, c.want > 0)
		})
	}
}

// TestYieldedProcessStandsBack guards against an owner that yields and then claims before others
// can. If none does, it claims again.
func TestYieldedProcessStandsBack(t *testing.T) {
	is := is.New(t)
	e := newHolder(0)
	vacated, version := e.YieldRecord(at(20_000))
	is.Equal(version, uint64(7))
	is.Equal(vacated.Holder, core.SessionID(""))
	is.Equal(vacated.Yields, 1)
	e.Yielded(at(20_000), vacated, 8)
	is.True(!e.IsHolder())
	claimed := 0
	for ms := 20_000; claimed == 0 && ms < 60_000; ms += 100 {
		if e.Observe(at(ms), elect.Observation{Record: vacated, Version: 8}) {
			claimed = ms
		}
	}
	is.Equal(claimed, 28_000)
	claim, _ := e.NextRecord(at(claimed))
	is.Equal(claim.Yields, 1)
}

// TestSettledOwnerForgetsYields guards against owners that have too much time to load because
// others yielded long before.
func TestSettledOwnerForgetsYields(t *testing.T) {
	is := is.New(t)
	e := newHolder(2)
	e.StateLoaded()
	after, _ := yieldTime(e, true, 32*time.Second, inTime)
	is.Equal(after, time.Duration(0))
	rec, _ := e.Record()
	is.Equal(rec.Yields, 0)
}

// TestLateLoadIsNoReasonToYield guards against an owner that yields as soon as it has loaded,
// because its replies were late during the load.
func TestLateLoadIsNoReasonToYield(t *testing.T) {
	is := is.New(t)
	e := newHolder(1)
	late := func(time.Duration) time.Duration { return 2 * time.Second }
	after, _ := yieldTime(e, false, 39*time.Second, late)
	is.Equal(after, time.Duration(0))
	e.StateLoaded()
	_, yield := e.CheckService(at(39_500), true)
	is.True(!yield)
	_, yield = e.CheckService(at(80_000), true)
	is.True(!yield)
}

// TestLateRepliesYield guards against an owner whose control state is in time while its replies
// reach nobody. Cases: which of a hundred replies are late, and whether it yields within a minute.
func TestLateRepliesYield(t *testing.T) {
	for name, c := range map[string]struct {
		late  int
		yield bool
	}{"all": {100, true}, "half": {50, true}, "a quarter": {25, false}, "none": {0, false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newHolder(0)
			e.StateLoaded()
			n := 0
			after, _ := yieldTime(e, true, time.Minute, func(at time.Duration) time.Duration {
				took := 200 * time.Millisecond
				if n++; n*37%100 < c.late {
					took = elect.ReplyTimeout
				}
				e.Replied(start.Add(at), took)
				return 10 * time.Millisecond
			})
			is.Equal(after > 0, c.yield)
		})
	}
}

// TestYieldOrdersClaims guards against a small VM that claims as early as a large one because the
// owner that yields has renewed its record long before.
func TestYieldOrdersClaims(t *testing.T) {
	is := is.New(t)
	e := newElection()
	e.Observe(at(0), elect.Observation{Version: 0, Clock: time.Minute})
	rec, _ := e.NextRecord(at(0))
	e.WriteSucceeded(at(0), at(0), rec, 7, time.Minute)
	vacated, _ := e.YieldRecord(at(4000))
	small := elect.New(elect.Record{Holder: "vm-c/1", VM: "vm-c"}, 4200*time.Millisecond)
	small.Observe(at(3900), elect.Observation{Record: rec, Version: 7, Clock: time.Minute + 3900*time.Millisecond})
	for ms := 4000; ms <= 8200; ms += 100 {
		clock := time.Minute + time.Duration(ms)*time.Millisecond
		is.Equal(small.Observe(at(ms), elect.Observation{Record: vacated, Version: 8, Clock: clock}), ms == 8200)
	}
}
