package elect_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core/elect"
	"chicoryturn/core/load"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newElection() *elect.Election {
	return elect.New(elect.Record{Holder: "vm-a/1", VM: "vm-a"}, 0)
}

// newOwner returns a process that has owned the fleet since 10 ms after start, and
// its record, which has version 7.
func newOwner() (*elect.Election, elect.Record) {
	e := newElection()
	e.Observe(at(0), elect.Observation{Record: elect.Record{}, Version: 0})
	rec, _ := e.NextRecord(start)
	e.WriteSucceeded(at(10), at(10), rec, 7, 0)
	e.StateLoaded()
	return e, rec
}

// otherRecord is the ownership record of another process.
func otherRecord(writeNumber int) elect.Record {
	return elect.Record{Holder: "vm-b/1", VM: "vm-b", Epoch: 3, WriteNumber: uint64(writeNumber)}
}

func TestClaimWithoutRecord(t *testing.T) {
	is := is.New(t)
	e := newElection()
	is.True(e.Observe(at(0), elect.Observation{Record: elect.Record{}, Version: 0}))
	rec, version := e.NextRecord(start)
	is.Equal(version, uint64(0))
	is.Equal(uint64(rec.Epoch), uint64(1))
	e.WriteSucceeded(at(10), at(10), rec, 7, 0)
	is.True(e.Loading())
	e.StateLoaded()
	is.True(e.Owning())
}

// TestDeletedRecord deletes the ownership record. Its holder must write it again, and
// another process must claim it after TTL, with a later epoch than the last one.
func TestDeletedRecord(t *testing.T) {
	is := is.New(t)
	owner, rec := newOwner()
	is.True(!owner.Observe(at(100), elect.Observation{}))
	renewed, version := owner.NextRecord(at(100))
	is.True(owner.Owning())
	is.Equal(renewed.Epoch, rec.Epoch)
	is.Equal(version, uint64(0))

	watcher := newElection()
	watcher.Observe(at(0), elect.Observation{Record: otherRecord(1), Version: 7})
	is.True(!watcher.Observe(at(700), elect.Observation{}))
	for ms := 1400; ms <= 3500; ms += 700 {
		is.Equal(watcher.Observe(at(ms), elect.Observation{}), ms == 3500)
	}
	claim, version := watcher.NextRecord(at(3500))
	is.Equal(uint64(claim.Epoch), uint64(4))
	is.Equal(version, uint64(0))
}

// TestClaimAfterTTL checks that a process claims only a record that it has seen
// unchanged for TTL without a gap in its reads. The rows of each case are reads:
// their time, the version read, and whether the process must claim.
func TestClaimAfterTTL(t *testing.T) {
	type read struct {
		ms      int
		version uint64
		claim   bool
	}
	for name, reads := range map[string][]read{
		"renewed":          {{0, 1, false}, {700, 2, false}, {1400, 3, false}, {2100, 4, false}, {2800, 5, false}},
		"not renewed":      {{0, 1, false}, {700, 1, false}, {1400, 1, false}, {2100, 1, false}, {2600, 1, true}},
		"gap in the reads": {{0, 1, false}, {2600, 1, false}, {3300, 1, false}, {4000, 1, false}, {4700, 1, false}, {5200, 1, true}},
		"renewed late":     {{0, 1, false}, {1400, 1, false}, {2400, 2, false}, {3000, 2, false}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newElection()
			for _, r := range reads {
				is.Equal(e.Observe(at(r.ms), elect.Observation{Record: otherRecord(int(r.version)), Version: r.version}), r.claim)
			}
		})
	}
}

// TestClaimBeforeTTL checks that a process claims sooner than after TTL if the holder
// does not answer its peers, has ended, or ran on the same VM.
func TestClaimBeforeTTL(t *testing.T) {
	is := is.New(t)
	e := newElection()
	is.True(!e.Observe(at(0), elect.Observation{Record: otherRecord(1), Version: 1}))
	e.MarkSuspect("vm-b/1")
	is.True(!e.Observe(at(700), elect.Observation{Record: otherRecord(1), Version: 1}))
	is.True(!e.Observe(at(1100), elect.Observation{Record: otherRecord(1), Version: 1}))
	is.True(e.Observe(at(1300), elect.Observation{Record: otherRecord(1), Version: 1})) // the holder neither renews its record nor answers its peers

	e = newElection()
	is.True(!e.Observe(at(0), elect.Observation{Record: otherRecord(1), Version: 1}))
	e.MarkEnded("vm-b/1")
	is.True(e.Observe(at(100), elect.Observation{Record: otherRecord(1), Version: 1}))

	e = newElection()
	// An earlier incarnation on the same VM has ended.
	is.True(e.Observe(at(0), elect.Observation{Record: elect.Record{Holder: "vm-a/0", VM: "vm-a", Epoch: 3}, Version: 1}))
}

// TestUnansweredWrite checks that a read shows whether a write without an answer has
// taken effect.
func TestUnansweredWrite(t *testing.T) {
	is := is.New(t)
	e := newElection()
	is.True(e.Observe(at(0), elect.Observation{Record: elect.Record{}, Version: 0}))
	rec, _ := e.NextRecord(start)
	e.WriteUnknown()
	is.True(e.MustRead())
	// The claim took effect although its answer was lost.
	is.True(!e.Observe(at(100), elect.Observation{Record: rec, Version: 5}))
	is.True(e.Loading())
	e.StateLoaded()
	// A renewal has no answer, and another process has claimed meanwhile.
	e.WriteUnknown()
	is.True(!e.Observe(at(200), elect.Observation{Record: otherRecord(1), Version: 9}))
	is.True(!e.IsHolder())
}

// TestStamp checks that one read is enough for a claim if the record is old by the
// store's clock. Cases: the age of the record by that clock, whether a read has
// failed 1 s before, whether the holder is suspected, and whether the process must
// claim.
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
			e := newElection()
			if c.failed {
				e.ReadFailed(at(9000))
			}
			if c.suspect {
				e.MarkSuspect("vm-b/1")
			}
			rec := otherRecord(1)
			rec.Stamp = time.Minute
			is.Equal(e.Observe(at(10000), elect.Observation{Record: rec, Version: 5, Clock: rec.Stamp + c.age}), c.claim)
		})
	}
}

// TestStaleRead checks that a read that arrives after a newer version of the row is
// ignored.
func TestStaleRead(t *testing.T) {
	is := is.New(t)
	e, _ := newOwner()
	is.True(!e.Observe(at(20), elect.Observation{Record: otherRecord(1), Version: 6}))
	is.True(e.Owning())
}

// TestSuspension checks that a suspended owner may send no orders until it has
// confirmed its record.
func TestSuspension(t *testing.T) {
	is := is.New(t)
	e, rec := newOwner()
	is.True(e.CheckSuspension(at(1000), time.Second, time.Second))
	is.True(!e.CheckSuspension(at(2000), 5*time.Second, 2*time.Second))
	is.True(!e.CheckSuspension(at(3000), 6*time.Second, 3*time.Second)) // the record has not been confirmed yet
	e.Observe(at(3000), elect.Observation{Record: rec, Version: 7, SentAt: at(1900)})
	is.True(!e.CheckSuspension(at(3000), 6*time.Second, 3*time.Second)) // the read was sent before the suspension
	e.Observe(at(3000), elect.Observation{Record: rec, Version: 7, SentAt: at(2900)})
	is.True(e.CheckSuspension(at(4000), 7*time.Second, 4*time.Second))
}

// TestSuspensionAgesRenewal guards against an owner that takes its last renewal for younger than
// it is, by the length of a suspension that the clock of these times doesn't count. A write
// that was sent before the suspension was noticed is of unknown age.
func TestSuspensionAgesRenewal(t *testing.T) {
	is := is.New(t)
	e, rec := newOwner()
	e.CheckSuspension(at(100), time.Second, time.Second)
	is.Equal(e.Suspension(), time.Duration(0))
	e.CheckSuspension(at(200), 3500*time.Millisecond, 1100*time.Millisecond)
	is.Equal(e.Suspension(), 2400*time.Millisecond)
	is.Equal(e.RenewedAt(), at(10-2400))
	e.WriteSucceeded(at(300), at(190), rec, 8, 0)
	is.Equal(e.RenewedAt(), at(10-2400))
	e.CheckSuspension(at(300), 3600*time.Millisecond, 1200*time.Millisecond)
	is.Equal(e.Suspension(), time.Duration(0))
	e.WriteSucceeded(at(320), at(310), rec, 9, 0)
	is.Equal(e.RenewedAt(), at(310))
}

// TestStall checks that an owner whose process stalled while both clocks advanced
// must confirm its record, since other processes may have claimed meanwhile.
func TestStall(t *testing.T) {
	is := is.New(t)
	e, rec := newOwner()
	is.True(e.CheckSuspension(at(20), time.Hour, time.Hour))
	is.True(e.CheckSuspension(at(720), time.Hour+700*time.Millisecond, time.Hour+700*time.Millisecond)) // the usual interval
	is.True(!e.CheckSuspension(at(3020), time.Hour+3*time.Second, time.Hour+3*time.Second))
	e.WriteSucceeded(at(3100), at(3100), rec, 8, 0)
	is.True(e.CheckSuspension(at(3120), time.Hour+3100*time.Millisecond, time.Hour+3100*time.Millisecond))
}

// TestContestedWrite guards against an owner that goes on sending orders after a write
// has shown that another process may have claimed its record. It may send orders again
// once it has read that the record is its own.
func TestContestedWrite(t *testing.T) {
	is := is.New(t)
	e := newElection()
	free := otherRecord(9)
	free.Holder = ""
	is.True(e.Observe(at(0), elect.Observation{Record: free, Version: 4}))
	rec, _ := e.NextRecord(start)
	e.WriteSucceeded(at(10), at(10), rec, 5, 0)
	is.True(e.CheckSuspension(at(20), time.Hour, time.Hour))
	e.WriteContested(at(40))
	is.True(!e.CheckSuspension(at(20), time.Hour, time.Hour))
	is.True(e.MustRead())
	e.Observe(at(50), elect.Observation{Record: rec, Version: 6, SentAt: at(45)})
	is.True(e.CheckSuspension(at(20), time.Hour, time.Hour))
}

// TestReplacedAt checks that a new owner knows a time after its predecessor's last write: when
// it first saw that write, however old the store's clock shows it to be.
func TestReplacedAt(t *testing.T) {
	is := is.New(t)
	e := newElection()
	is.True(!e.Observe(at(0), elect.Observation{Record: otherRecord(1), Version: 1, Clock: time.Minute}))
	rec := otherRecord(2)
	rec.Stamp = time.Minute
	is.True(e.Observe(at(100), elect.Observation{Record: rec, Version: 2, Clock: time.Minute + 3*time.Second}))
	claim, _ := e.NextRecord(at(100))
	e.WriteSucceeded(at(120), at(110), claim, 3, 0)
	is.Equal(e.ReplacedAt(), at(100))
	is.Equal(e.ConfirmedAt(), at(110))
	// A read confirms the record, but its successor may have seen only the write before.
	e.Observe(at(900), elect.Observation{Record: claim, Version: 3, SentAt: at(890)})
	is.Equal(e.ConfirmedAt(), at(890))
	is.Equal(e.RenewedAt(), at(110))
}

// TestLostStateNeedsNewEpoch guards against an owner that has dropped its state and goes on under
// its epoch, with the calls of that epoch still on their way.
func TestLostStateNeedsNewEpoch(t *testing.T) {
	is := is.New(t)
	e, rec := newOwner()
	e.StateLost()
	is.True(!e.IsHolder())
	// A renewal that was in flight has taken effect.
	e.WriteSucceeded(at(100), at(20), rec, 8, 0)
	is.True(!e.IsHolder())
	is.Equal(e.RenewedAt(), at(10))
	is.True(e.Observe(at(120), elect.Observation{Record: rec, Version: 8, SentAt: at(110)}))
	is.True(!e.IsHolder())
	is.Equal(e.ConfirmedAt(), at(10))
	is.Equal(e.Claim().Reason, elect.ClaimStateLost)
	claim, version := e.NextRecord(at(120))
	is.Equal(claim.Epoch, rec.Epoch+1)
	is.Equal(version, uint64(8))
	e.WriteUnknown()
	is.True(!e.Observe(at(200), elect.Observation{Record: claim, Version: 9, SentAt: at(190)}))
	is.True(e.Loading())
	is.Equal(e.ReplacedAt(), at(100))
}

// TestLostStateAfterClaimByOther checks that a process which has dropped its state leaves the
// record to the one that has claimed it meanwhile.
func TestLostStateAfterClaimByOther(t *testing.T) {
	is := is.New(t)
	e, _ := newOwner()
	e.StateLost()
	is.True(!e.Observe(at(100), elect.Observation{Record: otherRecord(1), Version: 8, SentAt: at(90)}))
	is.True(!e.IsHolder())
}

func TestClaimAfterResignation(t *testing.T) {
	is := is.New(t)
	e := newElection()
	free := otherRecord(9)
	free.Holder = ""
	is.True(e.Observe(at(0), elect.Observation{Record: free, Version: 4}))
	rec, version := e.NextRecord(start)
	is.Equal(version, uint64(4))
	is.Equal(uint64(rec.Epoch), uint64(4))
	e.WriteConflicted()
	e.Drain()
	is.True(!e.Observe(at(100), elect.Observation{Record: free, Version: 5})) // a draining process does not claim
}

// TestClaimReason guards against claims of which the logs don't tell why they were allowed, and
// how old the record was.
func TestClaimReason(t *testing.T) {
	for want, prepare := range map[elect.ClaimReason]func(e *elect.Election, rec *elect.Record) time.Duration{
		elect.ClaimExpired: func(*elect.Election, *elect.Record) time.Duration { return elect.TTL },
		elect.ClaimSuspected: func(e *elect.Election, rec *elect.Record) time.Duration {
			e.MarkSuspect(rec.Holder)
			return elect.SuspectTTL
		},
		elect.ClaimEnded:    func(e *elect.Election, rec *elect.Record) time.Duration { e.MarkEnded(rec.Holder); return 0 },
		elect.ClaimResigned: func(_ *elect.Election, rec *elect.Record) time.Duration { rec.Holder = ""; return 0 },
	} {
		t.Run(string(want), func(t *testing.T) {
			is := is.New(t)
			e, rec := newElection(), otherRecord(1)
			age := prepare(e, &rec)
			claimed := false
			for after := time.Duration(0); !claimed && after <= elect.TTL; after += 100 * time.Millisecond {
				is.Equal(e.Claim(), elect.Claim{})
				claimed = e.Observe(start.Add(after), elect.Observation{Record: rec, Version: 1})
			}
			is.True(claimed)
			is.Equal(e.Claim(), elect.Claim{Reason: want, RecordAge: age})
		})
	}
}

// TestDelayOrdersClaimsOfOldRecord guards against a small VM that becomes the owner because the
// record was old when all processes started. Cases: the last owner, and when a process of the
// given claim delay must claim, in milliseconds after its first read.
func TestDelayOrdersClaimsOfOldRecord(t *testing.T) {
	expired, resigned, sameVM := otherRecord(1), otherRecord(1), otherRecord(1)
	resigned.Holder = ""
	sameVM.VM = "vm-a"
	for name, c := range map[string]struct {
		rec   elect.Record
		delay time.Duration
		want  int
	}{
		"expired, large VM":  {rec: expired, delay: 300 * time.Millisecond, want: 300},
		"expired, small VM":  {rec: expired, delay: 4200 * time.Millisecond, want: 4200},
		"resigned, large VM": {rec: resigned, delay: 300 * time.Millisecond, want: 300},
		"resigned, small VM": {rec: resigned, delay: 4200 * time.Millisecond, want: 4200},
		"same VM":            {rec: sameVM, delay: 300 * time.Millisecond, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := elect.New(elect.Record{Holder: "vm-a/1", VM: "vm-a"}, c.delay)
			c.rec.Stamp = time.Minute
			claimed := -1
			for ms := 0; claimed < 0 && ms <= 10_000; ms += 100 {
				clock := c.rec.Stamp + 10*time.Second + time.Duration(ms)*time.Millisecond
				if e.Observe(at(ms), elect.Observation{Record: c.rec, Version: 5, Clock: clock}) {
					claimed = ms
				}
			}
			is.Equal(claimed, c.want)
		})
	}
}

// TestWatcherClaimsWithoutSecondDelay guards against changes of owner that take longer because of
// the order among processes that have just started.
func TestWatcherClaimsWithoutSecondDelay(t *testing.T) {
	for name, c := range map[string]struct {
		resigned bool
		want     int
	}{"expired": {want: 2500 + 600 - 100}, "resigned": {resigned: true, want: 700}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := elect.New(elect.Record{Holder: "vm-a/1", VM: "vm-a"}, 600*time.Millisecond)
			rec := otherRecord(1)
			rec.Stamp = time.Minute
			// The record is 100 ms old when it is read at 0 ms.
			claimed := -1
			for ms := 0; claimed < 0 && ms <= 10_000; ms += 100 {
				version := uint64(5)
				if c.resigned && ms >= 700 {
					rec.Holder, version = "", 6
				}
				clock := rec.Stamp + time.Duration(100+ms)*time.Millisecond
				if e.Observe(at(ms), elect.Observation{Record: rec, Version: version, Clock: clock}) {
					claimed = ms
				}
			}
			is.Equal(claimed, c.want)
		})
	}
}

// TestFitterVMTakesOver guards against a small VM that owns the fleet for good, since it renews its
// record, although a large one is there. Cases: the claim delays of the owner and of a process that
// reads the record, and when the latter claims, in milliseconds; -1 if never.
func TestFitterVMTakesOver(t *testing.T) {
	for name, c := range map[string]struct {
		owner, own time.Duration
		unreached  bool
		want       int
	}{
		"large VM, small owner":  {owner: 4200 * time.Millisecond, own: 300 * time.Millisecond, want: 5600},
		"large VM that is cut":   {owner: 4200 * time.Millisecond, own: 300 * time.Millisecond, unreached: true, want: -1},
		"small VM, small owner":  {owner: 4200 * time.Millisecond, own: 4200 * time.Millisecond, want: -1},
		"small VM, large owner":  {owner: 300 * time.Millisecond, own: 4200 * time.Millisecond, want: -1},
		"owner of unknown delay": {own: 300 * time.Millisecond, want: -1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := elect.New(elect.Record{Holder: "vm-a/1", VM: "vm-a", Delay: c.own}, c.own)
			e.Configured()
			claimed := -1
			for ms := 0; claimed < 0 && ms <= 20_000; ms += 700 {
				rec := otherRecord(1)
				rec.Delay = c.owner
				if e.Observe(at(ms), elect.Observation{Record: rec, Version: uint64(5 + ms)}) {
					claimed = ms
					is.Equal(e.Claim().Reason, elect.ClaimFitter)
					is.Equal(e.ReplacedAt(), at(ms))
				}
				if !c.unreached {
					e.MarkSuspect("")
				}
			}
			is.Equal(claimed, c.want)
		})
	}
}

// TestSlowReaderClaims guards against a record that a process never claims, since the gaps between
// its reads are long.
func TestSlowReaderClaims(t *testing.T) {
	is := is.New(t)
	e := elect.New(elect.Record{Holder: "vm-a/1", VM: "vm-a"}, 400*time.Millisecond)
	rec := otherRecord(1)
	rec.Stamp = time.Minute
	claimed := -1
	for ms := 0; claimed < 0 && ms <= 60_000; ms += 1600 {
		if e.Observe(at(ms), elect.Observation{Record: rec, Version: 5, Clock: rec.Stamp + time.Duration(ms)*time.Millisecond}) {
			claimed = ms
		}
	}
	is.Equal(claimed, 3200)
}

// TestLoadOfOneOwner guards against VMs that refuse jobs by what an earlier owner has told: neither
// a claim nor the record of an owner that has resigned holds it.
func TestLoadOfOneOwner(t *testing.T) {
	is := is.New(t)
	owner, _ := newOwner()
	rec, version := owner.NextRecord(at(700))
	rec.Load = &load.Summary{}
	owner.WriteSucceeded(at(710), at(700), rec, version+1, 0)
	resigned, _ := owner.ResignRecord()
	is.Equal(resigned.Load, nil)

	watcher := elect.New(elect.Record{Holder: "vm-c/1"}, 0)
	watcher.Observe(at(800), elect.Observation{Record: rec, Version: 8})
	claim, _ := watcher.NextRecord(at(800))
	is.Equal(claim.Load, nil)
}
