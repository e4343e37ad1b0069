package fleet

import (
	"maps"
	"slices"
	"time"

	"chicoryturn/core"
)

// This file bounds what an owner may do while it cannot confirm that the ownership record
// still names it, and what its successor may suppose of it. An owner that is cut off alone
// cannot learn of its successor; one that goes on without the store, which is away for all
// processes, has none. The workers tell the two apart, since each obeys one owner only.

const (
	// recordTTL is how long an owner starts tasks and extends leases after it has sent
	// the last write of its record that has taken effect.
	recordTTL = 2 * time.Second
	// maxUnconfirmed is how long it does so while most workers of the stored roster
	// answer it. It is also how long a successor that does not reach half of them waits.
	maxUnconfirmed = 30 * time.Second
	// contactTTL is how long a worker counts as obeying the owner after a heartbeat was
	// sent that it has answered.
	contactTTL = time.Second
	// contactInterval is the time between two heartbeats to a worker while only the
	// workers' answers let the owner go on. An owner that is behind with its ticks sends them
	// no more often than heartbeats that wait, so as not to fall further behind.
	contactInterval     = 400 * time.Millisecond
	lateContactInterval = heartbeatWait
	// maxTickGap is the time between two ticks from which on an owner counts as behind, for
	// behindTTL.
	maxTickGap = 3 * tickInterval / 2
	behindTTL  = 2 * time.Second
	// contactLead is how long before the end of recordTTL the owner begins to send such
	// heartbeats: those that wait and were sent before are answered by then.
	contactLead = heartbeatWait + 100*time.Millisecond
)

// authority is what an owner knows of its ownership and of earlier owners.
type authority struct {
	// confirmedAt is when the last call was sent that has shown that the ownership
	// record names this owner, renewedAt when the last write of the record was sent that
	// has taken effect, moved back by the suspensions since. No call makes them earlier.
	confirmedAt, renewedAt time.Time
	// resumedAt is when the last suspension of the VM was noticed.
	resumedAt time.Time
	// wantedAt is the latest time after which the record must be confirmed before the
	// tasks that wait for it may start.
	wantedAt time.Time
	// replacedAt is a time after the last renewal by every earlier owner.
	replacedAt time.Time
	// inherited counts the workers of the stored roster that this owner has loaded, by the
	// epoch in their entries; unheard counts those of them that have neither answered this
	// owner nor ended.
	inherited, unheard map[core.Epoch]int
	// settledAt is when no earlier owner could be answered by most of its workers any
	// more; zero before.
	settledAt time.Time
	// storedRoster holds the workers that the stored roster may name, stagedRoster those
	// of the newest roster that may be stored next.
	storedRoster, stagedRoster core.Set[core.WorkerID]
	// endedAt is when a worker that had not reported was last found to have ended or to
	// have started again.
	endedAt time.Time
	// tickedAt is when the last tick was, behindUntil until when the owner counts as behind
	// with its ticks.
	tickedAt, behindUntil time.Time
	// acting is whether the owner could start tasks and extend leases at the last tick.
	acting bool
}

// WithReplacedAt gives a time after the last renewal by every earlier owner. Without it,
// that is when the scheduler is created.
func WithReplacedAt(t time.Time) Option {
	return func(s *Scheduler) { s.authority.replacedAt = t }
}

// Confirmed records that the ownership record still names this owner, as a call sent at
// sentAt has shown.
func (s *Scheduler) Confirmed(sentAt time.Time) {
	if !sentAt.After(s.authority.confirmedAt) {
		return
	}
	s.needsPlacement = s.needsPlacement || s.WantsConfirmation()
	s.authority.confirmedAt = sentAt
	s.resolveRecovered()
}

// Renewed records that a write of the ownership record, sent at sentAt, has taken effect.
func (s *Scheduler) Renewed(sentAt time.Time) {
	if sentAt.After(s.authority.renewedAt) {
		s.authority.renewedAt = sentAt
	}
	s.Confirmed(sentAt)
}

// Suspended records that the VM was suspended for d before now. Times here come from a clock
// that doesn't count suspensions, unlike those of a successor.
func (s *Scheduler) Suspended(now time.Time, d time.Duration) {
	s.now = now
	s.authority.renewedAt, s.authority.resumedAt = s.authority.renewedAt.Add(-d), now
}

// ConfirmedAt returns when the last call was sent that has confirmed the record.
func (s *Scheduler) ConfirmedAt() time.Time { return s.authority.confirmedAt }

// WantsConfirmation reports whether tasks wait until the record has been confirmed by a
// call that is sent from now on.
func (s *Scheduler) WantsConfirmation() bool { return !s.confirmedSince(s.authority.wantedAt) }

// wantConfirmation requests that the record is confirmed after now.
func (s *Scheduler) wantConfirmation() { s.authority.wantedAt = s.now }

// confirmedSince reports whether the record has been confirmed after a time. What this
// owner had learned by then, no successor can have learned before it.
func (s *Scheduler) confirmedSince(t time.Time) bool {
	return t.IsZero() || s.authority.confirmedAt.After(t)
}

// sinceRenewal returns the time since the last renewal of the record was sent.
func (s *Scheduler) sinceRenewal() time.Duration { return s.now.Sub(s.authority.renewedAt) }

// mayAct reports whether the owner may start tasks and extend leases: its record has been
// renewed lately, or most workers of the stored roster obey it. Reads of the record do not
// count, as a successor goes by the last write that it has seen.
func (s *Scheduler) mayAct() bool {
	age := s.sinceRenewal()
	return age <= recordTTL || age <= maxUnconfirmed && s.hasQuorum()
}

// hasQuorum reports whether more than half of the workers that the stored roster may name
// have obeyed this owner lately. A successor that has answers of the other half can be sure
// that this one has stopped.
func (s *Scheduler) hasQuorum() bool {
	reached := 0
	for _, w := range s.sortedWorkers {
		if w.inQuorum && s.now.Sub(w.contactAt) <= contactTTL && w.contactAt.After(s.authority.resumedAt) {
			reached++
		}
	}
	return 2*reached > len(s.authority.storedRoster)
}

// updateActing sets whether the owner may act in this tick, and logs each change.
func (s *Scheduler) updateActing() {
	acting := s.mayAct()
	if acting == s.authority.acting {
		return
	}
	s.authority.acting = acting
	s.needsPlacement = true
	event := "authority regained"
	if !acting {
		event = "authority lost"
	}
	s.logDecision(Decision{Event: event, Wait: s.sinceRenewal(), Reason: "ownership record last renewed"})
}

// settle notes when no earlier owner can act any more but for contactTTL: they have lost
// their quorums, or have all stopped for want of a renewal. The entries of workers that this
// owner adds before tell a later one by which of them each earlier owner counts.
func (s *Scheduler) settle() {
	a := &s.authority
	if !a.settledAt.IsZero() || !a.earlierQuorumsLost() && !a.confirmedAt.After(a.replacedAt.Add(onSlowestClock(maxUnconfirmed))) {
		return
	}
	a.settledAt = s.now
	s.rosterVersion++
	for _, w := range s.sortedWorkers {
		w.since = 0
	}
}

// earlierQuorumsLost reports whether at least half of the workers of every earlier owner have
// answered this owner or ended. The owner of an epoch counts by the entries up to that epoch.
func (a *authority) earlierQuorumsLost() bool {
	inherited, unheard := 0, 0
	for _, epoch := range slices.Sorted(maps.Keys(a.inherited)) {
		inherited += a.inherited[epoch]
		unheard += a.unheard[epoch]
		if 2*unheard > inherited {
			return false
		}
	}
	return true
}

// inherit counts a worker of the stored roster.
func (a *authority) inherit(since core.Epoch) {
	if a.inherited == nil {
		a.inherited, a.unheard = map[core.Epoch]int{}, map[core.Epoch]int{}
	}
	a.inherited[since]++
	a.unheard[since]++
}

// markHeard records that the worker has answered this owner or has ended.
func (w *Worker) markHeard() {
	if a := &w.scheduler.authority; w.inherited && !w.heard && a.settledAt.IsZero() {
		a.unheard[w.since]--
	}
	w.heard = true
}

// earlierOwnersEnd returns when the last earlier owner has certainly stopped starting tasks
// and extending leases.
func (s *Scheduler) earlierOwnersEnd() time.Time {
	a := &s.authority
	if a.settledAt.IsZero() {
		return a.replacedAt.Add(onSlowestClock(maxUnconfirmed))
	}
	end := a.settledAt.Add(onSlowestClock(contactTTL))
	if t := a.replacedAt.Add(onSlowestClock(recordTTL)); t.After(end) {
		end = t
	}
	return end
}

// earlierLeasesEnd returns when every lease that an earlier owner has granted has certainly
// expired.
func (s *Scheduler) earlierLeasesEnd() time.Time {
	return s.earlierOwnersEnd().Add(onSlowestClock(maxLease + leaseSlack))
}

// rosterStaged records that a roster may be stored from now on.
func (a *authority) rosterStaged(entries []RosterEntry) {
	a.stagedRoster = rosterIDs(entries)
	if a.storedRoster == nil {
		a.storedRoster = core.NewSet[core.WorkerID]()
	}
	for id := range a.stagedRoster {
		a.storedRoster.Add(id)
	}
}

// rosterStored records that a roster is stored, and that no other can be but the newest one.
func (a *authority) rosterStored(entries []RosterEntry) {
	a.storedRoster = rosterIDs(entries)
	for id := range a.stagedRoster {
		a.storedRoster.Add(id)
	}
}

func rosterIDs(entries []RosterEntry) core.Set[core.WorkerID] {
	out := core.NewSet[core.WorkerID]()
	for _, e := range entries {
		out.Add(e.ID())
	}
	return out
}

// noteEnded records that the worker was found to have ended or to have started again, before
// that changes what is known of it. What ran on one that has reported is known by its tasks.
func (w *Worker) noteEnded() {
	if w.inherited && !w.heard || w.hidesEnds || !w.blockedSince.IsZero() || len(w.unknownRuns) > 0 {
		w.scheduler.authority.endedAt = w.scheduler.now
		w.scheduler.wantConfirmation()
	}
}

// needsContacts reports whether the owner may soon depend on recent answers of the workers.
func (s *Scheduler) needsContacts() bool { return s.sinceRenewal() > recordTTL-contactLead }

// contactInterval returns the time between two heartbeats to a worker whose recent answers the
// owner may depend on.
func (s *Scheduler) contactInterval() time.Duration {
	if s.now.Before(s.authority.behindUntil) {
		return lateContactInterval
	}
	return contactInterval
}

// checkLateness records whether the owner is behind with its ticks.
func (s *Scheduler) checkLateness() {
	a := &s.authority
	if !a.tickedAt.IsZero() && s.now.Sub(a.tickedAt) > maxTickGap {
		a.behindUntil = s.now.Add(behindTTL)
	}
	a.tickedAt = s.now
}

// verify makes the task wait until the record has been confirmed after the end of its last
// run was learned: a successor may know of that end as well, and start the task.
func (t *Task) verify() {
	s := t.phase.job.scheduler
	t.endedAt = s.now
	s.wantConfirmation()
}

// verified reports whether the end of the task's last run, if any, was learned by the owner
// of that moment.
func (t *Task) verified() bool { return t.phase.job.scheduler.confirmedSince(t.endedAt) }

// verified reports whether the ends of the last runs of all tasks were learned by the owner of
// that moment.
func (p *phase) verified() bool {
	for _, t := range p.tasks {
		if !t.verified() {
			return false
		}
	}
	return true
}

// unverifiedReason says why a phase waits.
const unverifiedReason = "the ownership record has not been confirmed since the last run ended"
