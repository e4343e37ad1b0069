package elect_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core/elect"
)

var dawn = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return dawn.Add(time.Duration(ms) * time.Millisecond) }

func newReign() *elect.Election {
	return elect.New(elect.Record{Holder: "vm-a/1", VM: "vm-a"}, 0)
}

// newOwner is a process that owns the fleet since 10 ms, with its row, which has
// version 7.
func newOwner() (*elect.Election, elect.Record) {
	r := newReign()
	r.Observe(at(0), elect.Observation{Record: elect.Record{}, Version: 0})
	s, _ := r.NextRecord(dawn)
	r.WriteSucceeded(at(10), s, 7, 0)
	r.StateLoaded()
	return r, s
}

// other is the seat of another process.
func other(beat int) elect.Record {
	return elect.Record{Holder: "vm-b/1", VM: "vm-b", Epoch: 3, Beat: uint64(beat)}
}

func TestClaimOfEmptySeat(t *testing.T) {
	is := is.New(t)
	r := newReign()
	is.True(r.Observe(at(0), elect.Observation{Record: elect.Record{}, Version: 0}))
	s, version := r.NextRecord(dawn)
	is.Equal(version, uint64(0))
	is.Equal(uint64(s.Epoch), uint64(1))
	r.WriteSucceeded(at(10), s, 7, 0)
	is.True(r.Loading())
	r.StateLoaded()
	is.True(r.Owning())
}

// TestWatch has rows: when the seat was looked at, its version, and whether the
// process claims.
func TestWatch(t *testing.T) {
	type look struct {
		ms      int
		version uint64
		claim   bool
	}
	for name, looks := range map[string][]look{
		"renewed":         {{0, 1, false}, {700, 2, false}, {1400, 3, false}, {2100, 4, false}, {2800, 5, false}},
		"silent":          {{0, 1, false}, {700, 1, false}, {1400, 1, false}, {2100, 1, false}, {2600, 1, true}},
		"not looked at":   {{0, 1, false}, {2600, 1, false}, {3300, 1, false}, {4000, 1, false}, {4700, 1, false}, {5200, 1, true}},
		"renewed at last": {{0, 1, false}, {1400, 1, false}, {2400, 2, false}, {3000, 2, false}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newReign()
			for _, l := range looks {
				is.Equal(r.Observe(at(l.ms), elect.Observation{Record: other(int(l.version)), Version: l.version}), l.claim)
			}
		})
	}
}

func TestHints(t *testing.T) {
	is := is.New(t)
	r := newReign()
	is.True(!r.Observe(at(0), elect.Observation{Record: other(1), Version: 1}))
	r.MarkSuspect("vm-b/1")
	is.True(!r.Observe(at(700), elect.Observation{Record: other(1), Version: 1}))
	is.True(!r.Observe(at(1100), elect.Observation{Record: other(1), Version: 1}))
	is.True(r.Observe(at(1300), elect.Observation{Record: other(1), Version: 1})) // it answers neither the store nor its peers

	r = newReign()
	is.True(!r.Observe(at(0), elect.Observation{Record: other(1), Version: 1}))
	r.MarkEnded("vm-b/1")
	is.True(r.Observe(at(100), elect.Observation{Record: other(1), Version: 1}))

	r = newReign()
	// An earlier incarnation on this VM cannot live.
	is.True(r.Observe(at(0), elect.Observation{Record: elect.Record{Holder: "vm-a/0", VM: "vm-a", Epoch: 3}, Version: 1}))
}

func TestLostAnswer(t *testing.T) {
	is := is.New(t)
	r := newReign()
	is.True(r.Observe(at(0), elect.Observation{Record: elect.Record{}, Version: 0}))
	s, _ := r.NextRecord(dawn)
	r.WriteUnknown()
	is.True(r.MustRead())
	// The claim took effect after all.
	is.True(!r.Observe(at(100), elect.Observation{Record: s, Version: 5}))
	is.True(r.Loading())
	r.StateLoaded()
	// A renewal without answer; meanwhile another process has claimed.
	r.WriteUnknown()
	is.True(!r.Observe(at(200), elect.Observation{Record: other(1), Version: 9}))
	is.True(!r.IsHolder())
}

// TestStamp has rows: the age of the row by the store's clock, whether a look
// has failed lately, whether the owner is suspected, and whether one look is
// enough for a claim.
func TestStamp(t *testing.T) {
	for name, c := range map[string]struct {
		age             time.Duration
		failed, suspect bool
		claim           bool
	}{
		"fresh":                 {age: 300 * time.Millisecond},
		"old":                   {age: 3 * time.Second, claim: true},
		"old after an outage":   {age: 3 * time.Second, failed: true},
		"suspected":             {age: 1300 * time.Millisecond, suspect: true, claim: true},
		"suspected but renewed": {age: 500 * time.Millisecond, suspect: true},
		"not suspected":         {age: 1300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newReign()
			if c.failed {
				r.ReadFailed(at(9000))
			}
			if c.suspect {
				r.MarkSuspect("vm-b/1")
			}
			s := other(1)
			s.Stamp = time.Minute
			is.Equal(r.Observe(at(10000), elect.Observation{Record: s, Version: 5, Clock: s.Stamp + c.age}), c.claim)
		})
	}
}

// TestStaleRead plays answers that overtake one another: an older row changes
// nothing.
func TestStaleRead(t *testing.T) {
	is := is.New(t)
	r, _ := newOwner()
	is.True(!r.Observe(at(20), elect.Observation{Record: other(1), Version: 6}))
	is.True(r.Owning())
}

func TestSuspension(t *testing.T) {
	is := is.New(t)
	r, s := newOwner()
	is.True(r.CheckSuspension(time.Second, time.Second))
	is.True(!r.CheckSuspension(5*time.Second, 2*time.Second))
	is.True(!r.CheckSuspension(6*time.Second, 3*time.Second)) // until the row is confirmed
	r.Observe(at(3000), elect.Observation{Record: s, Version: 7})
	is.True(r.CheckSuspension(7*time.Second, 4*time.Second))
}

// TestStall plays an owner that was stopped while both clocks went on: others may
// have claimed meanwhile.
func TestStall(t *testing.T) {
	is := is.New(t)
	r, s := newOwner()
	is.True(r.CheckSuspension(time.Hour, time.Hour))
	is.True(r.CheckSuspension(time.Hour+700*time.Millisecond, time.Hour+700*time.Millisecond)) // its usual pause
	is.True(!r.CheckSuspension(time.Hour+3*time.Second, time.Hour+3*time.Second))
	r.WriteSucceeded(at(3100), s, 8, 0)
	is.True(r.CheckSuspension(time.Hour+3100*time.Millisecond, time.Hour+3100*time.Millisecond))
}

func TestResignedSeat(t *testing.T) {
	is := is.New(t)
	r := newReign()
	free := other(9)
	free.Holder = ""
	is.True(r.Observe(at(0), elect.Observation{Record: free, Version: 4}))
	s, version := r.NextRecord(dawn)
	is.Equal(version, uint64(4))
	is.Equal(uint64(s.Epoch), uint64(4))
	r.WriteConflicted()
	r.Drain()
	is.True(!r.Observe(at(100), elect.Observation{Record: free, Version: 5})) // a process that is stopping claims nothing
}
