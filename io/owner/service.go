package owner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core/elect"
	"chicoryturn/io/guard"
	"chicoryturn/io/record"
	"chicoryturn/io/table"
)

// checkService gives up the ownership record if this process holds it and does not serve.
func (o *Owner) checkService(now time.Time) {
	// Without a configuration no process can make a schedule.
	reason, yield := o.election.CheckService(now, o.scheduler != nil || o.unappliedSnapshot != nil)
	if !yield || o.draining || o.recordWriteInFlight || o.recordReadInFlight || o.election.MustRead() || now.Before(o.nextWrite) {
		return
	}
	o.yield(now, reason)
}

// yield lets other processes claim the ownership record and stores the last progress.
func (o *Owner) yield(now time.Time, reason elect.YieldReason) {
	vacated, version := o.election.YieldRecord(now)
	write := record.OwnerWrite{Record: vacated, Version: version}
	if o.scheduler != nil {
		write.Progress = o.scheduler.Batch()
	}
	log := o.log.WithFields(logrus.Fields{"epoch": vacated.Epoch, "because": reason, "yields": vacated.Yields})
	log.Warn("giving up ownership")
	o.meter.Yield(reason)
	o.recordWriteInFlight = true
	o.election.StateLost()
	o.discardScheduler(string(reason))
	o.abandonLoad()
	o.async(func(ctx context.Context) func(*Owner, time.Time) {
		result, err := o.writeVacated(ctx, write)
		return func(o *Owner, now time.Time) {
			o.recordWriteInFlight = false
			o.handleYield(now, vacated, result, err, log)
		}
	})
}

// writeVacated stores a vacated record with the last progress, or without it if the store does
// not take that.
func (o *Owner) writeVacated(ctx context.Context, write record.OwnerWrite) (table.WriteResult, error) {
	store := func() (table.WriteResult, error) { return o.records.Write(ctx, write) }
	result, err := guard.Call(store)
	if record.Rejected(err) && record.Refused(err) && len(write.Progress) > 0 {
		write.Progress = nil
		return guard.Call(store)
	}
	return result, err
}

// handleYield handles the outcome of the write of a vacated record.
func (o *Owner) handleYield(now time.Time, vacated elect.Record, result table.WriteResult, err error, log *logrus.Entry) {
	o.nextRecordRead = now
	if err == nil {
		o.election.Yielded(now, vacated, result.Version)
		log.Info("ownership given up")
		o.onRecord(vacated)
		o.announceOwner()
		o.peers.notifyResigned()
		return
	}
	log.WithError(err).Warn("ownership not given up")
	if !record.Refused(err) {
		o.election.WriteContested(now)
	}
}
