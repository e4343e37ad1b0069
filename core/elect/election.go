// Package elect implements leader election among the processes of the fleet:
// the leader owns all jobs and workers. One row in the platform's table, the
// ownership record, names the leader. Every claim and every renewal is a
// conditional write that fails if the row has changed since it was read.
package elect

import (
	_ "embed"
	"net/netip"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/chart"
	"chicoryturn/core/load"
)

const (
	// TTL is how long the ownership record must stay unchanged before other
	// processes may claim it. The owner renews it every RenewInterval, so three
	// renewals may be lost or slow.
	TTL = 2500 * time.Millisecond
	// SuspectTTL replaces TTL when the owner does not answer its peers either.
	SuspectTTL = 1200 * time.Millisecond
	// RenewInterval is the longest time between two writes of an owner.
	RenewInterval = 700 * time.Millisecond
	// ReadInterval is the time between two reads of another owner's record.
	ReadInterval = 700 * time.Millisecond
	// maxReadGap is the longest time between two successful reads of an unchanged
	// record that adds to the record's age. A longer gap restarts the age, since
	// the store may have been unavailable to the owner as well.
	maxReadGap = 1500 * time.Millisecond
	// readFailureWindow is how long after a failed read the store's clock is not
	// used for the age of the record: while the store is unavailable, the owner
	// may be unable to renew the record too.
	readFailureWindow = 3 * time.Second
	// suspendTolerance is the longest suspension after which an owner need not
	// confirm its record.
	suspendTolerance = 250 * time.Millisecond
	// clockNoise is the largest change of the difference between two clocks that shows no
	// suspension: they are read one after the other.
	clockNoise = 10 * time.Millisecond
)

//go:embed election.toml
var chartText []byte

var (
	machine = chart.Must(chart.Load[*Election](chartText, nil, nil))

	eventVacant = machine.Event("vacant")
	eventWon    = machine.Event("won")
	eventLost   = machine.Event("lost")
	eventLoaded = machine.Event("loaded")
	eventFailed = machine.Event("failed")
	eventLeave  = machine.Event("leave")

	stateWatching = machine.State("watching")
	stateClaiming = machine.State("claiming")
	stateLoading  = machine.State("loading")
	stateOwning   = machine.State("owning")
)

// Charts returns the name and drawing of this package's chart.
func Charts() []string { return []string{"reign", machine.Draw()} }

// Record is the ownership record: the row that names the owner.
type Record struct {
	// Holder names one incarnation of a process; it is empty after the owner has
	// resigned.
	Holder core.SessionID
	VM     string
	// Addr is where the owner answers other processes.
	Addr netip.AddrPort
	// Epoch numbers the owners, WriteNumber the writes of one owner.
	Epoch       core.Epoch
	WriteNumber uint64 `json:"Beat"`
	// Stamp is the writer's estimate of the store's clock at the time of the
	// write; 0 if the writer has no estimate.
	Stamp time.Duration
	// Held is what the accepted jobs take of the owner's memory; nil if the owner does
	// not bound it. It is never changed in place.
	Held *budget.Summary `json:",omitempty"`
	// Load is what new jobs wait for; nil if they wait for nothing, or if the owner does not
	// know. It is never changed in place, and holds for its owner alone.
	Load *load.Summary `json:",omitempty"`
	// Yields counts the owners in a row that have given up the record because they did not
	// serve.
	Yields int `json:",omitempty"`
	// Delay is the holder's claim delay; 0 if it is not known.
	Delay time.Duration `json:",omitempty"`
}

// Observation is the result of one read of the ownership record.
type Observation struct {
	Record Record
	// Version is 0 if there is no row; Clock is the store's clock.
	Version uint64
	Clock   time.Duration
	// SentAt is when the read was sent; a read without it confirms nothing.
	SentAt time.Time
}

// Election is one process's view of the leader election.
type Election struct {
	self  Record
	state chart.State
	// record and version are the row as last read or written; version is 0
	// while there is no row.
	record  Record
	version uint64
	// changedAt is when the present version was first seen, readAt when the row
	// was last read, firstReadAt when it was first read, holderSeenAt when it was first
	// read with its present holder, seenAt when the present version was first read whatever
	// the gaps between reads since.
	changedAt, readAt, firstReadAt, holderSeenAt, seenAt time.Time
	readFailedAt                                         time.Time
	// storeClock is the store's clock as received at storeClockAt.
	storeClock   time.Duration
	storeClockAt time.Time
	// claimDelay is added to the time before a claim; the process best suited
	// to own the fleet has the shortest delay.
	claimDelay time.Duration
	// outcomeUnknown is set after a write without an answer until the row is read.
	outcomeUnknown bool
	// clockSkew is the difference between the two local clocks after the last suspension,
	// checkedAt the boot time at the last call of CheckSuspension.
	clockSkew, checkedAt time.Duration
	// suspension is the length of the suspension that the last call of CheckSuspension
	// has found, 0 if none; resumedAt is when one was found last.
	suspension time.Duration
	resumedAt  time.Time
	// endedHolder names an incarnation that seems to have ended.
	endedHolder core.SessionID
	// suspectHolder names an incarnation that does not answer this process, reachedHolder the
	// one that answers it.
	suspectHolder, reachedHolder core.SessionID
	// configured is set once the process has a configuration.
	configured bool
	// suspended is set after a suspension, a stall or a contested write, at
	// suspendedAt, until the record has been confirmed by a call that was sent later.
	suspended   bool
	suspendedAt time.Time
	// confirmedAt is when the last call was sent that has shown that this process
	// holds the record, renewedAt when the last confirmed write was sent, moved back by the
	// suspensions since.
	confirmedAt, renewedAt time.Time
	// replacedAt is when the record that this process has claimed last was first seen
	// as it then was.
	replacedAt time.Time
	// claim is the last claim of this process.
	claim Claim
	// lostEpoch is the latest epoch of which this process has lost the state. It holds the
	// record under a later one only: calls of the lost epoch may still be on their way.
	lostEpoch core.Epoch
	// service tells how this process serves as the owner; yieldedAt is when it last tried to
	// give up the record because it did not.
	service   service
	yieldedAt time.Time
}

// New returns the view of a process that has not read the ownership record yet.
// ClaimDelay is the time that it adds before each claim.
func New(self Record, claimDelay time.Duration) *Election {
	return &Election{self: self, state: machine.Start(), claimDelay: claimDelay}
}

func (e *Election) fire(ev chart.Event) {
	// The chart refuses no event in any state, so Fire returns no error.
	_ = machine.Fire(&e.state, ev, e)
}

// Record returns the ownership record as last seen, and its version.
func (e *Election) Record() (Record, uint64) { return e.record, e.version }

// State returns the name of the present state.
func (e *Election) State() string { return machine.Name(e.state) }

// ConfirmedAt returns when the last call was sent that has shown that this process holds
// the record. No other process has claimed the record before.
func (e *Election) ConfirmedAt() time.Time { return e.confirmedAt }

// RenewedAt returns when the last write that this process knows to have taken effect was sent.
// A process that claims the record has seen that write, or a later one, afterwards. The time
// is moved back by the suspensions since then.
func (e *Election) RenewedAt() time.Time { return e.renewedAt }

// ReplacedAt returns a time after the last write of every earlier owner: when this process
// first saw the record that it has replaced by its claim.
func (e *Election) ReplacedAt() time.Time { return e.replacedAt }

func (e *Election) confirm(sentAt time.Time) {
	if sentAt.After(e.confirmedAt) {
		e.confirmedAt = sentAt
	}
	if sentAt.After(e.suspendedAt) {
		e.suspended = false
	}
}

func (e *Election) suspend(now time.Time) { e.suspended, e.suspendedAt = true, now }

// Owning reports whether the process owns the fleet and has loaded its state.
func (e *Election) Owning() bool { return e.state == stateOwning }

// Loading reports whether the process has won the election and must read the
// stored jobs before it may make decisions.
func (e *Election) Loading() bool { return e.state == stateLoading }

// IsHolder reports whether the process is named in the ownership record.
func (e *Election) IsHolder() bool { return e.state == stateOwning || e.state == stateLoading }

// SetClaimDelay sets the time that is added before each claim.
func (e *Election) SetClaimDelay(d time.Duration) { e.claimDelay = d }

// ReadFailed records that a read of the row has failed.
func (e *Election) ReadFailed(now time.Time) { e.readFailedAt = now }

// recordAge returns for how long the record is known to have been unchanged.
func (e *Election) recordAge(now time.Time) time.Duration {
	age := now.Sub(e.changedAt)
	if e.record.Stamp > 0 && now.Sub(e.readFailedAt) > readFailureWindow {
		age = max(age, e.storeClock-e.record.Stamp)
	}
	return age
}

func (e *Election) setStoreClock(now time.Time, clock time.Duration) {
	if clock > 0 {
		e.storeClock, e.storeClockAt = clock, now
	}
}

// estimateStoreClock returns 0 if the store's clock has not been read yet.
func (e *Election) estimateStoreClock(now time.Time) time.Duration {
	if e.storeClock == 0 {
		return 0
	}
	return e.storeClock + now.Sub(e.storeClockAt)
}

// Observe handles a successful read of the row. It reports whether the process
// should write a claim now.
func (e *Election) Observe(now time.Time, o Observation) bool {
	rec, version := o.Record, o.Version
	if version == 0 {
		// The row may have been deleted. Its holder may still act on it, and the next
		// owner needs a later epoch.
		rec = e.record
	} else if version < e.version {
		return false
	}
	e.setStoreClock(now, o.Clock)
	if e.firstReadAt.IsZero() {
		e.firstReadAt = now
	}
	holdsRecord := rec.Holder == e.self.Holder
	// The row shows whether a write without an answer has taken effect.
	e.outcomeUnknown = false
	if rec.Holder != e.record.Holder || e.holderSeenAt.IsZero() {
		e.holderSeenAt = now
	}
	if version != e.version || e.seenAt.IsZero() {
		e.seenAt = now
	}
	if e.IsHolder() {
		e.record, e.version, e.readAt = rec, version, now
		if !holdsRecord {
			e.fire(eventLost)
			e.changedAt = now
			return false
		}
		if version > 0 {
			e.confirm(o.SentAt)
		}
		return false
	}
	if version != e.version || e.changedAt.IsZero() || now.Sub(e.readAt) > maxReadGap {
		e.changedAt = now
	}
	e.record, e.version, e.readAt = rec, version, now
	if holdsRecord && version > 0 && rec.Epoch > e.lostEpoch {
		// A claim without an answer has taken effect.
		e.confirm(o.SentAt)
		e.fire(eventWon)
		return false
	}
	if e.state != stateWatching {
		return false
	}
	delay, reason := e.claimDelay+e.standBack(now), ClaimExpired
	wait := delay
	// Processes that find an old record at the same time claim in the order of their delays.
	delayedFrom := e.seenAt
	switch {
	case holdsRecord:
		wait, reason, delayedFrom = e.standBack(now), ClaimStateLost, time.Time{}
	case rec.Holder == "":
		reason, delayedFrom = ClaimResigned, e.firstReadAt
		if version == 0 {
			reason = ClaimNoRecord
		}
	case rec.VM == e.self.VM || rec.Holder == e.endedHolder:
		// Only one process at a time can bind the VM's address, so an earlier
		// holder on this VM has ended.
		reason, delayedFrom = ClaimEnded, time.Time{}
		if rec.VM == e.self.VM {
			reason = ClaimSameVM
		}
	case e.isFitter(now):
		wait, reason, delayedFrom = 0, ClaimFitter, time.Time{}
	case rec.Holder == e.suspectHolder:
		reason = ClaimSuspected
		wait += SuspectTTL
	default:
		wait += TTL
	}
	if e.recordAge(now) < wait || now.Sub(delayedFrom) < delay {
		return false
	}
	e.replacedAt, e.claim = e.changedAt, Claim{Reason: reason, RecordAge: e.recordAge(now)}
	e.fire(eventVacant)
	return e.state == stateClaiming
}

// MarkEnded records that an incarnation seems to have ended, so that its record
// may be claimed without waiting for TTL. If it has not ended, the only effect
// is a change of owner: workers refuse orders of the earlier epoch.
func (e *Election) MarkEnded(holder core.SessionID) { e.endedHolder = holder }

// MarkSuspect records that an incarnation does not answer this process. An empty
// name means that the owner answers.
func (e *Election) MarkSuspect(holder core.SessionID) {
	e.suspectHolder, e.reachedHolder = holder, ""
	if holder == "" {
		e.reachedHolder = e.record.Holder
	}
}

// Configured records that the process has a configuration.
func (e *Election) Configured() { e.configured = true }

// HolderSuspect reports whether the holder seems to have ended or does not answer.
func (e *Election) HolderSuspect() bool {
	return e.record.Holder != "" && (e.record.Holder == e.endedHolder || e.record.Holder == e.suspectHolder)
}

// StateLost gives up ownership, if held, because the process has dropped what it had decided
// under its epoch. If the record still names this process, it claims a new epoch at once.
func (e *Election) StateLost() {
	if e.IsHolder() {
		e.lostEpoch = e.record.Epoch
		e.fire(eventLost)
		e.changedAt = time.Time{}
	}
}

// NextRecord returns the record to write next, a claim or a renewal, and the
// version that the row must still have.
func (e *Election) NextRecord(now time.Time) (Record, uint64) {
	rec := e.self
	rec.Held, rec.Yields = e.record.Held, e.record.Yields
	if e.IsHolder() && e.service.settled {
		rec.Yields = 0
	}
	rec.Stamp = e.estimateStoreClock(now)
	rec.Epoch, rec.WriteNumber = e.record.Epoch, e.record.WriteNumber+1
	if !e.IsHolder() {
		rec.Epoch, rec.WriteNumber = e.record.Epoch+1, 1
	}
	return rec, e.version
}

// ResignRecord returns the record that lets other processes claim at once, and
// the version that the row must still have.
func (e *Election) ResignRecord() (Record, uint64) {
	rec := e.record
	rec.Holder, rec.WriteNumber, rec.Load = "", e.record.WriteNumber+1, nil
	return rec, e.version
}

// WriteSucceeded handles a write, sent at sentAt, that has taken effect. Version is the
// row's new version, storeClock the store's clock.
func (e *Election) WriteSucceeded(now, sentAt time.Time, rec Record, version uint64, storeClock time.Duration) {
	e.setStoreClock(now, storeClock)
	e.record, e.version, e.readAt, e.changedAt, e.outcomeUnknown = rec, version, now, now, false
	if rec.Epoch <= e.lostEpoch {
		// It was sent before the state was lost.
		return
	}
	e.confirm(sentAt)
	// How long ago a write before the last suspension was sent isn't known.
	if sentAt.After(e.renewedAt) && sentAt.After(e.resumedAt) {
		e.renewedAt = sentAt
	}
	e.fire(eventWon)
}

// WriteConflicted handles a write that failed because the row had changed.
func (e *Election) WriteConflicted() {
	e.fire(eventLost)
	e.changedAt = time.Time{}
}

// WriteUnknown handles a write without an answer. The row must be read before the
// next write.
func (e *Election) WriteUnknown() {
	e.outcomeUnknown = true
	e.fire(eventFailed)
}

// WriteContested handles a write without effect because the row had changed: another
// process has claimed it, or an earlier write of this process without an answer has taken
// effect. Until the row has been read, no orders may be sent.
func (e *Election) WriteContested(now time.Time) {
	e.WriteUnknown()
	if e.IsHolder() {
		e.suspend(now)
	}
}

// WriteRefused handles a write that is known not to have taken effect.
func (e *Election) WriteRefused() { e.fire(eventFailed) }

// MustRead reports whether the row must be read before the next write.
func (e *Election) MustRead() bool { return e.outcomeUnknown }

// StateLoaded marks the stored jobs as read, so that a new owner may make
// decisions.
func (e *Election) StateLoaded() { e.fire(eventLoaded) }

// Drain withdraws the process from the election: it makes no further claims.
func (e *Election) Drain() { e.fire(eventLeave) }

// CheckSuspension reports whether orders may be sent. An owner must first confirm
// its record if its process was suspended, or stalled for so long that others may
// have claimed the record, or if a write found the record changed. BootTime is a clock that
// counts suspended time, monotonic one that does not.
func (e *Election) CheckSuspension(now time.Time, bootTime, monotonic time.Duration) bool {
	skew := bootTime - monotonic
	if e.checkedAt == 0 {
		e.clockSkew = skew
	}
	e.suspension = 0
	if d := skew - e.clockSkew; d > clockNoise {
		e.suspension, e.clockSkew = d, skew
		e.renewedAt, e.resumedAt = e.renewedAt.Add(-d), now
	}
	stalled := e.checkedAt > 0 && bootTime-e.checkedAt > SuspectTTL
	if (e.suspension > suspendTolerance || stalled) && e.IsHolder() {
		e.suspend(now)
	}
	e.checkedAt = bootTime
	return !e.suspended
}

// Suspension returns how long the VM was suspended before the last call of CheckSuspension.
func (e *Election) Suspension() time.Duration { return e.suspension }

// Suspended reports whether the owner must confirm its record before it sends orders.
func (e *Election) Suspended() bool { return e.suspended }
