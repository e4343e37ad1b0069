package owner

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/lanes"
	"chicoryturn/core/rank"
	"chicoryturn/io/clock"
	"chicoryturn/io/guard"
	"chicoryturn/io/record"
	"chicoryturn/io/table"
)

// The claim delay includes claimDelayFactor times the latency of a read of the
// store, so that the process nearest to the store becomes the owner: each write of
// an owner takes one such round trip, and loading a snapshot about ten. A slow
// store must not delay claims by more than maxStoreDelay.
const (
	claimDelayFactor = 3
	maxStoreDelay    = 300 * time.Millisecond
)

// maxProgressRows bounds the progress rows that one write stores and deletes; with
// more, the deletes wait for a later write. The platform accepts 100 entries per
// transaction, which include the ownership record and the roster.
const maxProgressRows = 80

// loadFactor multiplies the memory for jobs in a load, as some of those that are read have
// ended. The scheduler keeps what fits.
const loadFactor = 2

// reloadDivisor divides the memory for jobs in a load beside a scheduler, which has most of
// them already.
const reloadDivisor = 4

// isCompacted reports whether the feed of changes has been compacted past the
// requested version.
func isCompacted(err error) bool {
	var compacted *table.CompactedError
	return errors.As(err, &compacted)
}

// readRecord reads the ownership record if the next read is due: every
// elect.ReadInterval while another process holds it, and after a suspension or an
// unanswered write of this process.
func (o *Owner) readRecord(now time.Time) {
	needed := !o.election.IsHolder() || o.election.MustRead() || o.election.Suspended()
	if o.recordReadInFlight || o.recordWriteInFlight || o.draining || !needed || now.Before(o.nextRecordRead) {
		return
	}
	o.recordReadInFlight = true
	o.async(func(ctx context.Context) func(*Owner, time.Time) {
		began := time.Now()
		obs, err := guard.Call(func() (elect.Observation, error) { return o.records.OwnerRecord(ctx) })
		took := time.Since(began)
		return func(o *Owner, now time.Time) {
			o.recordReadInFlight = false
			o.nextRecordRead = now.Add(elect.ReadInterval)
			if err != nil {
				o.nextRecordRead = now.Add(retryInterval)
				o.election.ReadFailed(now)
				o.log.WithError(err).Warn("cannot read the ownership record")
				return
			}
			obs.SentAt = began
			o.handleObservation(now, obs, took)
		}
	})
}

// handleObservation handles the ownership record as read from the store; took is
// the latency of the read.
func (o *Owner) handleObservation(now time.Time, obs elect.Observation, took time.Duration) {
	wasHolder := o.election.IsHolder()
	rec := obs.Record
	o.election.SetClaimDelay(o.claimDelay + min(claimDelayFactor*took, maxStoreDelay))
	_, versionBefore := o.election.Record()
	claim := o.election.Observe(now, obs)
	if current, version := o.election.Record(); version != versionBefore {
		o.onRecord(current)
	}
	if wasHolder && !o.election.IsHolder() {
		o.discardScheduler("another process holds the ownership record")
	}
	o.confirmScheduler(now)
	o.announceOwner()
	switch {
	case claim:
		o.logClaim(logrus.Fields{"epoch": rec.Epoch + 1, "last": rec.VM, "version": obs.Version, "took": took.String()}, "claiming ownership")
		o.meter.Claim(o.election.Claim().Reason)
		o.nextWrite = now
		o.writeRecord(now)
	case o.election.Loading() && !wasHolder:
		o.loadSnapshot()
	case !o.election.IsHolder() && (rec.Holder == "" || o.election.HolderSuspect()):
		// The record may be claimed soon: read it again after the shorter interval.
		o.nextRecordRead = now.Add(retryInterval)
	}
}

// confirmScheduler passes the last confirmation of the ownership record on to the scheduler.
func (o *Owner) confirmScheduler(now time.Time) {
	if o.scheduler == nil || !o.election.IsHolder() {
		return
	}
	o.scheduler.Confirmed(o.election.ConfirmedAt())
	o.tickSoon(now)
}

// handleSuspension handles the end of a suspension of the VM for d: the next renewal is due
// sooner, and authority expires earlier.
func (o *Owner) handleSuspension(now time.Time, d time.Duration) {
	o.log.WithFields(logrus.Fields{"after": ageText(d), "owning": o.scheduler != nil}).Warn("resumed after a suspension")
	o.lastWrite = o.election.RenewedAt()
	o.directives.resumedAt = clock.BootTime()
	if o.scheduler != nil {
		o.scheduler.Suspended(now, d)
	}
}

// announceOwner calls the owner hook if the owner or its epoch has changed.
func (o *Owner) announceOwner() {
	rec, _ := o.election.Record()
	if rec.Holder == o.announcedRecord.Holder && rec.Epoch == o.announcedRecord.Epoch {
		return
	}
	o.announcedRecord = rec
	o.log.WithFields(logrus.Fields{"epoch": rec.Epoch, "owner": rec.VM}).Info("new owner")
	o.onOwner(rec, o.election.IsHolder())
}

// OwnerLost reads the ownership record at once because its holder does not answer.
// Ended reports that the holder's process has probably ended, so that a claim need
// not wait until the record expires.
func (o *Owner) OwnerLost(holder core.SessionID, ended bool) {
	o.post(func(o *Owner, now time.Time) {
		o.nextRecordRead = now
		o.election.MarkSuspect(holder)
		if ended {
			o.election.MarkEnded(holder)
		}
	})
}

// OwnerFound clears the suspicion that OwnerLost has set, since the owner answers.
func (o *Owner) OwnerFound() {
	o.post(func(o *Owner, _ time.Time) { o.election.MarkSuspect("") })
}

// discardScheduler drops the scheduler when the process no longer owns the fleet.
func (o *Owner) discardScheduler(reason string) {
	if o.scheduler == nil {
		return
	}
	o.logDecisions()
	o.log.WithFields(logrus.Fields{"epoch": o.scheduler.Epoch(), "because": reason, "confirmed": ageText(time.Since(o.scheduler.ConfirmedAt()))}).Warn("no longer the owner")
	o.scheduler = nil
	o.withdrawPermits()
	o.lanes = lanes.New()
	o.rosterToStore, o.rosterVersion, o.progressToDelete = nil, 0, nil
	o.meter.SetOwning(false)
	o.meter.Authority(0, 0)
	o.meter.Waiting([rank.Classes]int{})
	o.peers.resetLoads()
}

// stepDown ends this process's ownership because a later owner may exist, or because the
// scheduler's state can't be used any more. If the ownership record still names this process,
// it claims a new epoch.
func (o *Owner) stepDown(now time.Time, reason string) {
	o.election.StateLost()
	o.discardScheduler(reason)
	o.nextRecordRead = now
}

// yieldToLaterOwner steps down, once for each later epoch, if a job names a later
// owner than this one. It reports whether it has stepped down.
func (o *Owner) yieldToLaterOwner(now time.Time) bool {
	later := o.scheduler.LaterEpoch()
	if later <= o.yieldedToEpoch {
		return false
	}
	o.yieldedToEpoch = later
	o.stepDown(now, "a job names a later owner")
	return true
}

// writeRecord writes the ownership record if a claim or renewal is due or if
// progress, deletes or a roster wait to be stored. One transaction holds all of them.
func (o *Owner) writeRecord(now time.Time) {
	if o.recordWriteInFlight || o.recordReadInFlight || o.draining || o.election.MustRead() || now.Before(o.nextWrite) {
		return
	}
	claiming := o.election.State() == "claiming"
	if !claiming && !o.election.IsHolder() {
		return
	}
	next, version := o.election.NextRecord(now)
	write := record.OwnerWrite{Record: next, Version: version}
	isolating := o.scheduler != nil && o.scheduler.Isolating()
	if o.scheduler != nil {
		write.Record.Held, write.Record.Load = o.scheduler.Held(now), o.scheduler.Backlog(now)
		write.Progress = o.scheduler.Batch()
		if !isolating {
			write.Roster = o.rosterToStore
		}
		if !isolating && len(write.Progress)+len(o.progressToDelete) <= maxProgressRows {
			write.Deletes = o.progressToDelete
		}
	}
	hasRows := len(write.Progress) > 0 || len(write.Deletes) > 0 || write.Roster != nil
	confirms := isolating || o.scheduler != nil && o.scheduler.WantsConfirmation()
	if !claiming && !hasRows && !confirms && now.Sub(o.lastWrite) < elect.RenewInterval {
		return
	}
	o.recordWriteInFlight = true
	epoch, rosterVersion := next.Epoch, o.rosterVersion
	o.async(func(ctx context.Context) func(*Owner, time.Time) {
		began := time.Now()
		result, err := guard.Call(func() (table.WriteResult, error) { return o.records.Write(ctx, write) })
		took := time.Since(began)
		return func(o *Owner, now time.Time) {
			o.recordWriteInFlight = false
			o.meter.Record(len(write.Progress), took)
			o.handleWrite(now, began, write, rosterVersion, result, epoch, err)
		}
	})
}

// handleWrite handles the outcome of a write, sent at sentAt, by the owner of an epoch.
// RosterVersion is the version of the roster in the write.
func (o *Owner) handleWrite(now, sentAt time.Time, write record.OwnerWrite, rosterVersion uint64, result table.WriteResult, epoch core.Epoch, err error) {
	sameEpoch := o.scheduler != nil && o.scheduler.Epoch() == epoch
	o.nextWrite = now.Add(writeInterval)
	var conflict *table.ConflictError
	switch {
	case err == nil:
		wasHolder := o.election.IsHolder()
		o.election.WriteSucceeded(now, sentAt, write.Record, result.Version, result.Now)
		o.onRecord(write.Record)
		o.lastWrite = o.election.RenewedAt()
		o.announceOwner()
		if !wasHolder && o.election.Loading() {
			o.loadSnapshot()
		}
		if sameEpoch {
			o.scheduler.Renewed(o.election.RenewedAt())
			o.scheduler.BatchStored(now)
			o.handleRosterStored(write.Roster, rosterVersion)
			if write.Deletes != nil {
				o.progressToDelete = nil
			}
			o.tickSoon(now)
		}
		return
	case errors.As(err, &conflict):
		// Either another process holds the ownership record, or an earlier write of
		// this process, which had no answer, took effect late. Reading the record
		// shows which.
		o.log.WithError(err).Warn("ownership record has changed")
		o.election.WriteContested(now)
		o.nextRecordRead = now
	case record.Rejected(err):
		o.handleRejected(now, write, sameEpoch, err)
		return
	case record.Refused(err):
		o.log.WithError(err).Warn("store refused the owner's write")
		o.election.WriteRefused()
		o.nextWrite = now.Add(retryInterval)
	default:
		o.log.WithError(err).Warn("owner's write not confirmed")
		o.election.WriteUnknown()
		o.nextRecordRead = now
		o.nextWrite = now.Add(retryInterval)
	}
	if sameEpoch {
		// Even if the write took effect, writing the same progress again is harmless.
		o.scheduler.BatchFailed()
	}
}

// handleRejected handles a write that the store does not take for what it holds. The next one
// holds the ownership record alone, which is renewed that way whatever the rows hold.
func (o *Owner) handleRejected(now time.Time, write record.OwnerWrite, sameEpoch bool, err error) {
	rows := len(write.Progress) + len(write.Deletes) + len(write.Roster)
	o.log.WithError(err).WithFields(logrus.Fields{"jobs": len(write.Progress), "deletes": len(write.Deletes), "workers": len(write.Roster)}).Error("store does not take the owner's write")
	if record.Refused(err) {
		o.election.WriteRefused()
	} else {
		// A part of it has taken effect.
		o.election.WriteUnknown()
		o.nextRecordRead = now
	}
	if rows == 0 {
		o.nextWrite = now.Add(retryInterval)
	}
	if sameEpoch {
		o.scheduler.BatchRefused(now)
	}
}

// handleRosterStored handles the write of a roster, nil if the write held none. If
// the roster has changed since, rosterToStore keeps the newer one.
func (o *Owner) handleRosterStored(roster []fleet.RosterEntry, version uint64) {
	if roster == nil {
		return
	}
	if version == o.rosterVersion {
		o.rosterToStore = nil
	}
	o.scheduler.RosterStored(roster, version)
	o.stageRoster()
}

// loadSnapshot loads all stored rows, after a claim or when the feed of changes has
// been compacted. It takes seconds on a full store, so one load runs at a time.
func (o *Owner) loadSnapshot() {
	if o.snapshotLoadInFlight {
		return
	}
	o.snapshotLoadInFlight = true
	current, _ := o.election.Record()
	epoch := current.Epoch
	memory := loadFactor * o.limits.Memory
	if o.scheduler != nil {
		// The jobs that the scheduler has are read again, and dropped.
		memory /= reloadDivisor
	}
	accepted := fleet.NewAcceptedBudget(memory, o.directives.policy)
	abandoned, abandon := context.WithCancel(context.Background())
	o.abandonLoad = abandon
	o.async(func(ctx context.Context) func(*Owner, time.Time) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(abandoned, cancel)()
		began := time.Now()
		snapshot, err := guard.Call(func() (*record.Snapshot, error) { return o.records.Load(ctx, accepted) })
		took := time.Since(began)
		return func(o *Owner, now time.Time) {
			o.snapshotLoadInFlight = false
			abandon()
			if !o.election.IsHolder() {
				return
			}
			if current, _ := o.election.Record(); current.Epoch != epoch {
				o.loadSnapshot()
				return
			}
			if err != nil {
				o.log.WithError(err).Warn("cannot load the snapshot")
				o.retryLoad()
				return
			}
			o.handleSnapshot(now, loadedSnapshot{epoch, snapshot, began, took})
		}
	})
}

// loadedSnapshot is a snapshot that the owner of an epoch has loaded; began and took are
// the start and the duration of the load.
type loadedSnapshot struct {
	epoch    core.Epoch
	snapshot *record.Snapshot
	began    time.Time
	took     time.Duration
}

// retryLoad loads the snapshot again after retryInterval.
func (o *Owner) retryLoad() {
	o.async(func(ctx context.Context) func(*Owner, time.Time) {
		if !clock.Sleep(ctx, retryInterval) {
			return nil
		}
		return func(o *Owner, _ time.Time) {
			if o.election.IsHolder() {
				o.loadSnapshot()
			}
		}
	})
}

// handleSnapshot passes a loaded snapshot to the scheduler, which it creates after a
// claim.
func (o *Owner) handleSnapshot(now time.Time, loaded loadedSnapshot) {
	o.unappliedSnapshot = nil
	epoch, snapshot := loaded.epoch, loaded.snapshot
	if current, _ := o.election.Record(); !o.election.IsHolder() || current.Epoch != epoch {
		return
	}
	for _, e := range slices.Concat(snapshot.RowErrors, snapshot.RosterErrors) {
		o.log.WithError(e).Error("skipping a row that cannot be decoded")
	}
	if o.directives.policy == nil {
		// Nothing can be scheduled without a configuration. SetDirectives applies the
		// snapshot; rows that are stored in between are in the feed of changes.
		o.unappliedSnapshot = &loaded
		return
	}
	beside := o.scheduler != nil && o.scheduler.Epoch() == epoch
	if !beside {
		o.discardScheduler("its epoch has ended")
		opts := []fleet.Option{fleet.WithReplacedAt(o.election.ReplacedAt())}
		if len(snapshot.RosterErrors) > 0 {
			opts = append(opts, fleet.WithUnknownRoster())
		}
		o.scheduler = fleet.New(now, epoch, o.limits, o.directives.policy, opts...)
		o.scheduler.SetEvacuated(now, o.directives.evacuated)
		o.scheduler.RestoreRoster(snapshot.Roster)
		o.scheduler.Renewed(o.election.RenewedAt())
		o.scheduler.Confirmed(o.election.ConfirmedAt())
		o.rosterToStore, o.rosterVersion = nil, 0
		o.meter.SetOwning(true)
	}
	o.scheduler.Exclude(snapshot.Unreadable)
	o.scheduler.Load(now, o.validSpecs(snapshot.Specs), snapshot.Progress)
	o.scheduler.Park(now, snapshot.Parked)
	o.scheduler.JobsRead(loaded.began)
	for _, id := range snapshot.Cancelled {
		o.scheduler.Cancel(now, id)
	}
	if o.yieldToLaterOwner(now) {
		return
	}
	// Workers of an older list may have left; the next list follows at once.
	if now.Sub(o.workerListAt) < workersInterval {
		o.scheduler.SetWorkers(now, o.workerList)
	}
	o.stageRoster()
	o.changesVersion = snapshot.Version
	o.nextWorkersRead, o.nextChangesRead, o.nextTick = now, now, now
	o.election.StateLoaded()
	o.logClaim(logrus.Fields{"epoch": epoch, "version": snapshot.Version, "beside": beside, "jobs": len(snapshot.Specs), "parked": len(snapshot.Parked), "workers": len(o.workerList.Workers), "roster": len(snapshot.Roster), "took": loaded.took.Round(time.Millisecond).String()}, "owning the fleet")
	o.onOwner(o.announcedRecord, true)
}

// resign releases the ownership record if this process holds it, stores the last
// progress and closes drained.
func (o *Owner) resign() {
	if o.recordWriteInFlight {
		// The next write needs the version that results from the one in flight.
		o.async(func(ctx context.Context) func(*Owner, time.Time) {
			clock.Sleep(ctx, writeInterval)
			return func(o *Owner, _ time.Time) { o.resign() }
		})
		return
	}
	if !o.election.IsHolder() {
		o.election.Drain()
		close(o.drained)
		return
	}
	vacated, version := o.election.ResignRecord()
	write := record.OwnerWrite{Record: vacated, Version: version}
	if o.scheduler != nil {
		write.Progress = o.scheduler.Batch()
	}
	o.recordWriteInFlight = true
	o.discardScheduler("the process is stopping")
	o.async(func(ctx context.Context) func(*Owner, time.Time) {
		_, err := o.writeVacated(ctx, write)
		return func(o *Owner, _ time.Time) {
			o.recordWriteInFlight = false
			if err != nil {
				o.log.WithError(err).Warn("ownership not released; others wait until it lapses")
			} else {
				o.log.Info("ownership released")
			}
			o.election.Drain()
			o.peers.notifyResigned()
			close(o.drained)
		}
	})
}
