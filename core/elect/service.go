package elect

import (
	"time"

	"chicoryturn/core"
)

// YieldReason is why an owner must give up the ownership record.
type YieldReason string

// The reasons for giving up the record.
const (
	// YieldUnready means that the owner has no schedule: it has not loaded the stored jobs.
	YieldUnready YieldReason = "not-loaded"
	// YieldLate means that the owner's replies come too late for other processes.
	YieldLate YieldReason = "late"
)

const (
	// ReplyTimeout is how long other processes wait for the owner's reply to a question.
	ReplyTimeout = 600 * time.Millisecond
	// minTenure is how long an owner may be without a schedule, and how long it keeps the
	// record with one, before it yields. Each owner in a row that has yielded doubles it, up to
	// maxTenure, since the others may be no fitter.
	minTenure = 20 * time.Second
	maxTenure = 160 * time.Second
	// An owner yields when its replies have been late for lateLimit more than the part
	// 1/lateShare of the time in which they were not.
	lateLimit = 6 * time.Second
	lateShare = 2
	// maxLateYields bounds the owners in a row that yield because they are late.
	maxLateYields = 2
	// settledAfter is how long an owner must serve before earlier yields count no more.
	settledAfter = 30 * time.Second
	// standBackDelay is added to the claim delay of a process for unfitFor after it has yielded. It
	// is longer than the claim delays of other processes.
	standBackDelay = 8 * time.Second
	unfitFor       = 5 * time.Minute
)

// service tells how an owner serves the other processes.
type service struct {
	// epoch is that of the owner.
	epoch core.Epoch
	// readySince is since when the owner has a schedule, unreadySince since when it has been
	// without one while it renewed its record. One of them is zero.
	readySince, unreadySince time.Time
	// goodSince is since when the owner has served; zero if it does not.
	goodSince time.Time
	settled   bool
	// messages is the lateness of the messages that wait for the control state, replies that of
	// the replies to other processes, which wait for more than that.
	messages, replies lateness
}

// lateness tells how late what an owner does has been.
type lateness struct {
	// sum is for how long it has been late, less a part of the time since in which it was not,
	// from 0 to lateLimit.
	sum time.Duration
	// at is when the owner last did something.
	at time.Time
}

// add records that something is done now, which has been late for a time.
func (l *lateness) add(now time.Time, late time.Duration) {
	if !l.at.IsZero() {
		elapsed := now.Sub(l.at)
		late = min(max(late, 0), elapsed)
		// After a longer stall other processes may claim the record in any case.
		l.sum += min(late, TTL) - (elapsed-late)/lateShare
		l.sum = min(max(l.sum, 0), lateLimit)
	}
	l.at = now
}

// MessagesHandled records that a process has handled messages of which the oldest had waited for
// a time.
func (e *Election) MessagesHandled(now time.Time, waited time.Duration) {
	if e.IsHolder() {
		e.service.messages.add(now, waited-ReplyTimeout)
	}
}

// Replied records that a process has replied to another one, or has given up the reply, a time after
// it received the question.
func (e *Election) Replied(now time.Time, took time.Duration) {
	if !e.IsHolder() {
		return
	}
	late := time.Duration(0)
	if took >= ReplyTimeout {
		// No other reply has been in time since the last one.
		late = now.Sub(e.service.replies.at)
	}
	e.service.replies.add(now, late)
}

// CheckService reports whether the owner must give up the record because it does not serve,
// and why. Ready tells whether it has a schedule, or lacks what no process has.
func (e *Election) CheckService(now time.Time, ready bool) (reason YieldReason, yield bool) {
	if !e.IsHolder() {
		e.service = service{}
		return "", false
	}
	s := &e.service
	if s.epoch != e.record.Epoch {
		*s = service{epoch: e.record.Epoch}
	}
	switch {
	case ready && s.readySince.IsZero():
		// What was late beside a load tells nothing of the time after it.
		s.readySince, s.unreadySince, s.messages, s.replies = now, time.Time{}, lateness{}, lateness{}
	case !ready && (s.unreadySince.IsZero() || now.Sub(e.renewedAt) > TTL):
		// While the store does not take the record, no process can load.
		s.readySince, s.unreadySince = time.Time{}, now
	}
	late := max(s.messages.sum, s.replies.sum)
	switch {
	case !ready || late > lateLimit/2:
		s.goodSince = time.Time{}
	case s.goodSince.IsZero():
		s.goodSince = now
	}
	s.settled = !s.goodSince.IsZero() && now.Sub(s.goodSince) >= settledAfter
	switch {
	case !ready:
		return YieldUnready, now.Sub(s.unreadySince) >= e.tenure()
	case late == lateLimit && e.record.Yields < maxLateYields:
		return YieldLate, now.Sub(s.readySince) >= e.tenure()
	}
	return "", false
}

// tenure returns for how long this owner does not yield.
func (e *Election) tenure() time.Duration {
	p := minTenure
	for range e.record.Yields {
		if p *= 2; p >= maxTenure {
			return maxTenure
		}
	}
	return p
}

// YieldRecord returns the record with which an owner that does not serve lets other processes
// claim, and the version that the row must still have. For some time this process claims later
// than the others.
func (e *Election) YieldRecord(now time.Time) (Record, uint64) {
	e.yieldedAt = now
	rec, version := e.ResignRecord()
	rec.Yields++
	// The others wait for their claim delays from now on, not from the last renewal.
	rec.Stamp = e.estimateStoreClock(now)
	return rec, version
}

// Yielded handles a write of YieldRecord that has taken effect.
func (e *Election) Yielded(now time.Time, rec Record, version uint64) {
	e.fire(eventLost)
	if version < e.version {
		return
	}
	e.record, e.version, e.readAt, e.changedAt = rec, version, now, now
}

// standBack returns the time that this process adds to its claim delay now.
func (e *Election) standBack(now time.Time) time.Duration {
	if !e.yieldedAt.IsZero() && now.Sub(e.yieldedAt) < unfitFor {
		return standBackDelay
	}
	return 0
}
