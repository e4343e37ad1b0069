package owner

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core/jobs"
	"chicoryturn/io/guard"
	"chicoryturn/io/record"
)

// readChanges reads the new jobs and cancellations in the store if the next read is
// due.
func (o *Owner) readChanges(now time.Time) {
	if o.changesReadInFlight || o.snapshotLoadInFlight || now.Before(o.nextChangesRead) {
		return
	}
	o.changesReadInFlight = true
	after, epoch := o.changesVersion, o.scheduler.Epoch()
	// Every job that was stored before the last confirmed write was sent has an earlier
	// version than the ownership record.
	_, recordVersion := o.election.Record()
	renewedAt := o.election.RenewedAt()
	o.async(func(ctx context.Context) func(*Owner, time.Time) {
		sentAt := time.Now()
		changes, err := guard.Call(func() (record.Snapshot, error) { return o.records.Changes(ctx, after) })
		return func(o *Owner, now time.Time) {
			o.changesReadInFlight = false
			o.nextChangesRead = now.Add(o.changesInterval)
			if o.scheduler == nil || o.scheduler.Epoch() != epoch {
				return
			}
			o.handleChanges(now, changes, err)
			switch {
			case err != nil || o.scheduler == nil:
			case changes.Whole:
				o.scheduler.JobsRead(sentAt)
			case recordVersion > 0 && changes.Version >= recordVersion:
				o.scheduler.JobsRead(renewedAt)
			case changes.Version > after:
				o.nextChangesRead = now
			}
		}
	})
}

// handleChanges adds new jobs and cancellations to the scheduler. If the feed of
// changes has been compacted past changesVersion, it loads a whole snapshot.
func (o *Owner) handleChanges(now time.Time, changes record.Snapshot, err error) {
	if err != nil {
		o.log.WithError(err).Warn("cannot read changes from the store")
		if isCompacted(err) {
			o.loadSnapshot()
		}
	}
	o.changesInterval = min(2*o.changesInterval, maxChangesInterval)
	for _, s := range o.validSpecs(changes.Specs) {
		if o.scheduler.Accept(now, s) {
			o.changesInterval = minChangesInterval
			o.log.WithFields(logrus.Fields{"job": s.ID, "queue": s.Queue}).Info("job found in the store")
		}
	}
	for _, id := range changes.Cancelled {
		o.scheduler.Cancel(now, id)
	}
	for _, e := range changes.RowErrors {
		o.log.WithError(e).Error("skipping a job row that cannot be decoded")
	}
	o.changesVersion = max(o.changesVersion, changes.Version)
	if !o.yieldToLaterOwner(now) {
		o.tickSoon(now)
	}
}

// validSpecs returns the jobs that the scheduler can handle. Another writer or build may
// have left others.
func (o *Owner) validSpecs(specs []jobs.Spec) []jobs.Spec {
	return slices.DeleteFunc(specs, func(s jobs.Spec) bool {
		err := s.Validate()
		if err != nil {
			o.log.WithError(err).WithField("job", s.ID).Error("skipping a job that is invalid")
		}
		return err != nil
	})
}
