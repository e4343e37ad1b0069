package owner

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/io/clock"
	"chicoryturn/io/record"
	"chicoryturn/io/table"
)

// storeFactor times the way to the store and back is how much later a VM claims:
// each record of an owner takes that way, and reading what is recorded some ten.
// A slow store is no reason to wait beyond storeMost.
const (
	claimDelayFactor = 3
	maxStoreDelay    = 300 * time.Millisecond
)

// maxProgressRows bounds the rows of progress written and dropped in one record; the
// platform takes 100 entries a transaction, with the seat and the roster.
const maxProgressRows = 80

func isCompacted(err error) bool {
	var t *table.CompactedError
	return errors.As(err, &t)
}

// readRecord reads the seat: now and then while others own the fleet, and after a
// write of our own without an answer.
func (o *Owner) readRecord(now time.Time) {
	need := !o.election.IsHolder() || o.election.MustRead() || o.election.Suspended()
	if o.recordReading || o.recordWriting || o.draining || !need || now.Before(o.nextRecordRead) {
		return
	}
	o.recordReading = true
	o.async(func(ctx context.Context) func(*Owner, time.Time) {
		began := time.Now()
		l, err := o.records.OwnerRecord(ctx)
		took := time.Since(began)
		return func(o *Owner, now time.Time) {
			o.recordReading = false
			o.nextRecordRead = now.Add(elect.ReadInterval)
			if err != nil {
				o.nextRecordRead = now.Add(retryInterval)
				o.election.ReadFailed(now)
				o.log.WithError(err).Warn("seat not read")
				return
			}
			o.handleObservation(now, l, took)
		}
	})
}

func (o *Owner) handleObservation(now time.Time, l elect.Observation, took time.Duration) {
	was := o.election.IsHolder()
	s := l.Record
	o.election.SetClaimDelay(o.claimDelay + min(claimDelayFactor*took, maxStoreDelay))
	claim := o.election.Observe(now, l)
	if was && !o.election.IsHolder() {
		o.discardScheduler("the seat has another holder")
	}
	o.announceOwner()
	switch {
	case claim:
		o.log.WithFields(logrus.Fields{"epoch": s.Epoch + 1, "last": s.VM, "version": l.Version, "took": took.String()}).Info("claiming the seat")
		o.nextWrite = now
		o.writeRecord(now)
	case o.election.Loading() && !was:
		o.loadSnapshot()
	case !o.election.IsHolder() && (s.Holder == "" || o.election.HolderSuspect()):
		// The seat is free: look again as soon as it may be claimed.
		o.nextRecordRead = now.Add(retryInterval)
	}
}

// announceOwner tells the process's other parts who owns the fleet.
func (o *Owner) announceOwner() {
	s, _ := o.election.Record()
	if s.Holder == o.announced.Holder && s.Epoch == o.announced.Epoch {
		return
	}
	o.announced = s
	o.log.WithFields(logrus.Fields{"epoch": s.Epoch, "owner": s.VM}).Info("owner known")
	o.onOwner(s, o.election.IsHolder())
}

// OwnerLost has the seat looked at at once, since its holder does not answer;
// over is set if it seems to have ended.
func (o *Owner) OwnerLost(holder core.SessionID, over bool) {
	o.post(func(o *Owner, now time.Time) {
		o.nextRecordRead = now
		o.election.MarkSuspect(holder)
		if over {
			o.election.MarkEnded(holder)
		}
	})
}

// OwnerFound tells that the owner answers.
func (o *Owner) OwnerFound() {
	o.post(func(o *Owner, _ time.Time) { o.election.MarkSuspect("") })
}

// discardScheduler forgets the board after the seat has been lost.
func (o *Owner) discardScheduler(why string) {
	if o.scheduler == nil {
		return
	}
	o.log.WithFields(logrus.Fields{"epoch": o.scheduler.Epoch(), "because": why}).Warn("no longer the owner")
	o.scheduler = nil
	o.unstoredRoster, o.rosterVersion, o.progressDeletes = nil, 0, nil
	o.meter.Own(false)
	o.peers.resetLoads()
}

// stepDown follows the news of a later owner from a worker.
func (o *Owner) stepDown(now time.Time, why string) {
	o.election.Superseded()
	o.discardScheduler(why)
	o.nextRecordRead = now
}

// yieldToLaterOwner gives way to a later owner that a job has named, and reports whether it
// has.
func (o *Owner) yieldToLaterOwner(now time.Time) bool {
	later := o.scheduler.LaterEpoch()
	if later <= o.yieldedTo {
		return false
	}
	o.yieldedTo = later
	o.stepDown(now, "a job names a later owner")
	return true
}

// writeRecord claims or renews the seat, with the progress that waits.
func (o *Owner) writeRecord(now time.Time) {
	if o.recordWriting || o.recordReading || o.draining || o.election.MustRead() || now.Before(o.nextWrite) {
		return
	}
	claiming := o.election.State() == "claiming"
	if !claiming && !o.election.IsHolder() {
		return
	}
	seat, version := o.election.NextRecord(now)
	rec := record.OwnerWrite{Record: seat, Version: version}
	if o.scheduler != nil {
		rec.Progress = o.scheduler.Batch()
		rec.Roster = o.unstoredRoster
		if len(rec.Progress)+len(o.progressDeletes) <= maxProgressRows {
			rec.Deletes = o.progressDeletes
		}
	}
	due := claiming || len(rec.Progress) > 0 || len(rec.Deletes) > 0 || rec.Roster != nil || now.Sub(o.lastWrite) >= elect.RenewInterval
	if !due {
		return
	}
	o.recordWriting = true
	epoch, roster := seat.Epoch, o.rosterVersion
	o.async(func(ctx context.Context) func(*Owner, time.Time) {
		began := time.Now()
		done, err := o.records.Write(ctx, rec)
		took := time.Since(began)
		return func(o *Owner, now time.Time) {
			o.recordWriting = false
			o.meter.Record(len(rec.Progress), took)
			o.handleWrite(now, rec, roster, done, epoch, err)
		}
	})
}

// handleWrite follows the outcome of a write; roster is the version of the list of
// workers in it.
func (o *Owner) handleWrite(now time.Time, rec record.OwnerWrite, roster uint64, done table.Done, epoch core.Epoch, err error) {
	same := o.scheduler != nil && o.scheduler.Epoch() == epoch
	o.nextWrite = now.Add(writeInterval)
	var conflict *table.ConflictError
	switch {
	case err == nil:
		was := o.election.IsHolder()
		o.election.WriteSucceeded(now, rec.Record, done.Version, done.Now)
		o.lastWrite = now
		o.announceOwner()
		if !was && o.election.Loading() {
			o.loadSnapshot()
		}
		if same {
			o.scheduler.BatchStored(now)
			o.handleRosterStored(rec.Roster, roster)
			if rec.Deletes != nil {
				o.progressDeletes = nil
			}
			o.tickSoon(now)
		}
		return
	case errors.As(err, &conflict):
		// Either another process has the seat or an earlier write of ours, which
		// had no answer, has been carried out late: the row tells.
		o.log.WithError(err).Warn("seat has changed")
		o.election.WriteUnknown()
		o.nextRecordRead = now
	case record.Refused(err):
		o.log.WithError(err).Warn("record refused")
		o.election.WriteRefused()
		o.nextWrite = now.Add(retryInterval)
	default:
		o.log.WithError(err).Warn("record not confirmed")
		o.election.WriteUnknown()
		o.nextRecordRead = now
		o.nextWrite = now.Add(retryInterval)
	}
	if same {
		// Writing the same progress again does no harm.
		o.scheduler.BatchFailed()
	}
}

// handleRosterStored follows the record of a list of workers. One that has changed
// since is still to be recorded.
func (o *Owner) handleRosterStored(r []fleet.WorkerInfo, version uint64) {
	if r == nil {
		return
	}
	if version == o.rosterVersion {
		o.unstoredRoster = nil
	}
	o.scheduler.RosterStored(r)
	o.stageRoster()
}

// loadSnapshot reads all that is recorded, after a claim or when the feed of changes
// has been cut. One reading at a time is enough, and takes seconds on a full
// record.
func (o *Owner) loadSnapshot() {
	if o.snapshotReading {
		return
	}
	o.snapshotReading = true
	seat, _ := o.election.Record()
	epoch := seat.Epoch
	o.async(func(ctx context.Context) func(*Owner, time.Time) {
		began := time.Now()
		rec, err := o.records.Load(ctx)
		took := time.Since(began)
		return func(o *Owner, now time.Time) {
			o.snapshotReading = false
			if !o.election.IsHolder() {
				return
			}
			if seat, _ := o.election.Record(); seat.Epoch != epoch {
				o.loadSnapshot()
				return
			}
			if err != nil {
				o.log.WithError(err).Warn("record not loaded")
				o.retryLoad()
				return
			}
			o.handleSnapshot(now, loadedSnapshot{epoch, rec, took})
		}
	})
}

// loadedSnapshot is all that is recorded, as an owner under an epoch has read it.
type loadedSnapshot struct {
	epoch    core.Epoch
	snapshot *record.Snapshot
	took     time.Duration
}

// retryLoad repeats a failed load.
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

func (o *Owner) handleSnapshot(now time.Time, r loadedSnapshot) {
	o.unappliedSnapshot = nil
	epoch, rec := r.epoch, r.snapshot
	if seat, _ := o.election.Record(); !o.election.IsHolder() || seat.Epoch != epoch {
		return
	}
	for _, e := range rec.RowErrors {
		o.log.WithError(e).Error("recorded row left out")
	}
	if o.policy == nil {
		// Without a configuration nothing can be decided. What is recorded
		// meanwhile comes with the news.
		o.unappliedSnapshot = &r
		return
	}
	if o.scheduler == nil {
		var opts []fleet.Option
		if epoch == o.lastOwnedEpoch {
			opts = append(opts, fleet.WithLostState())
		}
		o.scheduler, o.lastOwnedEpoch = fleet.New(now, epoch, o.limits, o.policy, opts...), epoch
		o.scheduler.Recover(rec.Roster, o.absence.Since())
		o.unstoredRoster, o.rosterVersion = nil, 0
		o.meter.Own(true)
	}
	o.scheduler.Load(now, rec.Specs, rec.Progress)
	for _, id := range rec.Cancelled {
		o.scheduler.Cancel(now, id)
	}
	if o.yieldToLaterOwner(now) {
		return
	}
	if !o.workerListAt.IsZero() {
		o.scheduler.SetWorkers(now, o.workerList)
	}
	o.stageRoster()
	o.changesVersion = rec.Version
	o.nextWorkersRead, o.nextChangesRead, o.nextTick = now, now, now
	o.election.StateLoaded()
	o.log.WithFields(logrus.Fields{"epoch": epoch, "jobs": len(rec.Specs), "workers": len(o.workerList), "took": r.took.Round(time.Millisecond).String()}).Info("owning the fleet")
	o.onOwner(o.announced, true)
}

// resign frees the seat for another process.
func (o *Owner) resign() {
	if !o.election.IsHolder() {
		o.election.Drain()
		close(o.drained)
		return
	}
	if o.recordWriting {
		// The write in flight decides the version of the next one.
		o.async(func(ctx context.Context) func(*Owner, time.Time) {
			clock.Sleep(ctx, writeInterval)
			return func(o *Owner, _ time.Time) { o.resign() }
		})
		return
	}
	seat, version := o.election.ResignRecord()
	rec := record.OwnerWrite{Record: seat, Version: version}
	if o.scheduler != nil {
		rec.Progress = o.scheduler.Batch()
	}
	o.recordWriting = true
	o.discardScheduler("the process is stopping")
	o.async(func(ctx context.Context) func(*Owner, time.Time) {
		_, err := o.records.Write(ctx, rec)
		return func(o *Owner, _ time.Time) {
			o.recordWriting = false
			o.log.WithField("error", err).Info("seat given up")
			o.election.Drain()
			o.peers.notifyResigned()
			close(o.drained)
		}
	})
}
