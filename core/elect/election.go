// Package elect decides which process owns the fleet's jobs and workers. One
// row in the platform's table names the owner; every claim and renewal is a
// write on the condition that the row has not changed.
package elect

import (
	_ "embed"
	"net/netip"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/chart"
)

const (
	// TTL is how long an owner's row may stay unchanged, as its watchers see it,
	// before they claim. Owners renew every Renewal, so that three renewals may
	// be lost or slow.
	TTL = 2500 * time.Millisecond
	// SuspectTTL stands for TTL when the owner does not answer its peers either.
	SuspectTTL = 1200 * time.Millisecond
	// RenewInterval is the longest pause between two writes of an owner.
	RenewInterval = 700 * time.Millisecond
	// ReadInterval is the time between two looks at another owner's row.
	ReadInterval = 700 * time.Millisecond
	// blind is the longest pause between two successful looks that still counts
	// as having watched the row all the while.
	blind = 1500 * time.Millisecond
	// dimmed is how long after a failed look the store's clock does not tell the
	// age of the row: the owner may have been unable to write as well.
	dimmed = 3 * time.Second
	// thaw is by how much the clock that counts suspended time may run ahead of
	// the one that does not before an owner must confirm its row.
	thaw = 250 * time.Millisecond
)

//go:embed election.toml
var text []byte

var (
	machine = chart.Must(chart.Load[*Election](text, nil, nil))

	vacant = machine.Event("vacant")
	won    = machine.Event("won")
	lost   = machine.Event("lost")
	loaded = machine.Event("loaded")
	failed = machine.Event("failed")
	leave  = machine.Event("leave")

	watching = machine.State("watching")
	claiming = machine.State("claiming")
	loading  = machine.State("loading")
	owning   = machine.State("owning")
)

// Charts returns the name and drawing of this package's chart.
func Charts() []string { return []string{"reign", machine.Draw()} }

// Record is the row that names the owner.
type Record struct {
	// Holder names one incarnation of a process; it is empty if the last owner
	// has left.
	Holder core.SessionID
	VM     string
	// Addr is where the owner answers other processes.
	Addr netip.AddrPort
	// Epoch numbers the owners, Beat the writes of one owner.
	Epoch core.Epoch
	Beat  uint64
	// Stamp is the store's clock when the row was written, as its writer
	// estimates it; 0 if it does not know.
	Stamp time.Duration
}

// Observation is the row as read from the store.
type Observation struct {
	Record Record
	// Version is 0 if there is no row; Clock is the store's clock.
	Version uint64
	Clock   time.Duration
}

// Election follows the seat as one process sees it.
type Election struct {
	me    Record
	state chart.State
	// seat and version are the row as last read or written; version is 0 while
	// there is none.
	seat    Record
	version uint64
	// changed is when the row was first seen as it is, looked when it was last
	// read.
	changed, looked time.Time
	// failed is when a look last failed.
	failed time.Time
	// clock is the store's clock as last heard, at clockAt.
	clock   time.Duration
	clockAt time.Time
	// patience is added to the time before a claim; the process best suited to
	// own has the least.
	patience time.Duration
	// doubt is set while the outcome of a write is not known.
	doubt bool
	// skew is how far the two clocks were apart at the last check, checked what
	// the counting one read then.
	skew, checked time.Duration
	// over names an incarnation that is known to have ended.
	over core.SessionID
	// suspect names an incarnation that does not answer this process.
	suspect core.SessionID
	// frozen is set after a suspension until the row has been confirmed.
	frozen bool
}

// New returns the view of a process that has not read the row yet. Patience
// delays its claims.
func New(me Record, patience time.Duration) *Election {
	return &Election{me: me, state: machine.Start(), patience: patience}
}

func (r *Election) fire(ev chart.Event) {
	// Every state of the chart decides every event without refusing any.
	_ = machine.Fire(&r.state, ev, r)
}

// Record returns the row as last seen, and its version.
func (r *Election) Record() (Record, uint64) { return r.seat, r.version }

// State returns the name of the present state.
func (r *Election) State() string { return machine.Name(r.state) }

// Owning reports whether the process decides.
func (r *Election) Owning() bool { return r.state == owning }

// Loading reports whether the process has won and must read what is recorded.
func (r *Election) Loading() bool { return r.state == loading }

// IsHolder reports whether the process holds the row.
func (r *Election) IsHolder() bool { return r.state == owning || r.state == loading }

// SetClaimDelay changes the delay of claims.
func (r *Election) SetClaimDelay(p time.Duration) { r.patience = p }

// ReadFailed follows a look without result.
func (r *Election) ReadFailed(now time.Time) { r.failed = now }

// age returns how long the row has not changed, as far as is known.
func (r *Election) age(now time.Time) time.Duration {
	age := now.Sub(r.changed)
	if r.seat.Stamp > 0 && now.Sub(r.failed) > dimmed {
		age = max(age, r.clock-r.seat.Stamp)
	}
	return age
}

func (r *Election) setClock(now time.Time, clock time.Duration) {
	if clock > 0 {
		r.clock, r.clockAt = clock, now
	}
}

// stamp estimates the store's clock.
func (r *Election) stamp(now time.Time) time.Duration {
	if r.clock == 0 {
		return 0
	}
	return r.clock + now.Sub(r.clockAt)
}

// Observe takes in the row as read at a time. It reports whether the process
// should claim now.
func (r *Election) Observe(now time.Time, l Observation) bool {
	s, version := l.Record, l.Version
	if version < r.version {
		return false
	}
	r.setClock(now, l.Clock)
	mine := s.Holder == r.me.Holder
	// Whatever a write without an answer has done shows in the row.
	r.doubt = false
	if r.IsHolder() {
		r.seat, r.version, r.looked = s, version, now
		if !mine {
			r.fire(lost)
			r.changed = now
			return false
		}
		r.frozen = false
		return false
	}
	if version != r.version || r.changed.IsZero() || now.Sub(r.looked) > blind {
		r.changed = now
	}
	r.seat, r.version, r.looked = s, version, now
	if mine && version > 0 {
		// A claim without an answer has taken effect.
		r.fire(won)
		return false
	}
	if r.state != watching {
		return false
	}
	wait := r.patience
	switch {
	case version == 0 || s.Holder == "":
	case s.VM == r.me.VM || s.Holder == r.over:
		// An address is bound by one process at a time: an earlier holder on
		// this VM has ended.
	case s.Holder == r.suspect:
		wait += SuspectTTL
	default:
		wait += TTL
	}
	if r.age(now) < wait {
		return false
	}
	r.fire(vacant)
	return r.state == claiming
}

// MarkEnded tells that an incarnation seems to have ended, so that its seat need not
// be watched before a claim. A wrong hint does no harm but a change of owner:
// workers obey the later one.
func (r *Election) MarkEnded(holder core.SessionID) { r.over = holder }

// MarkSuspect tells that an incarnation does not answer this process; an empty name
// that the owner does.
func (r *Election) MarkSuspect(holder core.SessionID) { r.suspect = holder }

// HolderSuspect reports whether the holder seems to have ended or does not answer.
func (r *Election) HolderSuspect() bool {
	return r.seat.Holder != "" && (r.seat.Holder == r.over || r.seat.Holder == r.suspect)
}

// Superseded follows the news of a later owner.
func (r *Election) Superseded() {
	if r.IsHolder() {
		r.fire(lost)
		r.changed = time.Time{}
	}
}

// NextRecord returns the row to write next: a claim or a renewal.
func (r *Election) NextRecord(now time.Time) (Record, uint64) {
	s := r.me
	s.Stamp = r.stamp(now)
	s.Epoch, s.Beat = r.seat.Epoch, r.seat.Beat+1
	if !r.IsHolder() {
		s.Epoch, s.Beat = r.seat.Epoch+1, 1
	}
	return s, r.version
}

// ResignRecord returns the row that frees the seat for others.
func (r *Election) ResignRecord() (Record, uint64) {
	s := r.seat
	s.Holder, s.Beat = "", r.seat.Beat+1
	return s, r.version
}

// WriteSucceeded follows a write that has taken effect; clock is the store's.
func (r *Election) WriteSucceeded(now time.Time, s Record, version uint64, clock time.Duration) {
	r.setClock(now, clock)
	r.seat, r.version, r.looked, r.changed, r.doubt, r.frozen = s, version, now, now, false, false
	r.fire(won)
}

// WriteConflicted follows a write whose condition failed.
func (r *Election) WriteConflicted() {
	r.fire(lost)
	r.changed = time.Time{}
}

// WriteUnknown follows a write without an answer; the row must be read before the
// next one.
func (r *Election) WriteUnknown() {
	r.doubt = true
	r.fire(failed)
}

// WriteRefused follows a write that surely has not taken effect.
func (r *Election) WriteRefused() { r.fire(failed) }

// MustRead reports whether the row must be read again before it is written.
func (r *Election) MustRead() bool { return r.doubt }

// StateLoaded follows the end of reading what is recorded.
func (r *Election) StateLoaded() { r.fire(loaded) }

// Drain ends all claims of a process that is stopping.
func (r *Election) Drain() { r.fire(leave) }

// CheckSuspension compares the time since start on a clock that counts suspended time
// with that on one that does not. It reports whether orders may be sent: after
// a suspension, or when the process has been stopped for long enough that others
// may have claimed, the row must be confirmed first.
func (r *Election) CheckSuspension(counting, steady time.Duration) bool {
	skew := counting - steady
	stalled := r.checked > 0 && counting-r.checked > SuspectTTL
	if (skew-r.skew > thaw || stalled) && r.IsHolder() {
		r.frozen = true
	}
	r.skew, r.checked = skew, counting
	return !r.frozen
}

// Suspended reports whether the row must be confirmed after a suspension or a stop.
func (r *Election) Suspended() bool { return r.frozen }
