package owner

import (
	"context"
	"time"

	"chicoryturn/io/guard"
	"chicoryturn/io/record"
)

// readParked reads the rows of parked jobs that are due and for which there is memory.
func (o *Owner) readParked(now time.Time) {
	if now.Before(o.nextParkedRead) {
		return
	}
	ids := o.scheduler.ParkedToRead(now)
	if len(ids) == 0 {
		return
	}
	epoch := o.scheduler.Epoch()
	o.async(func(ctx context.Context) func(*Owner, time.Time) {
		snapshot, err := guard.Call(func() (*record.Snapshot, error) { return o.records.Jobs(ctx, ids) })
		return func(o *Owner, now time.Time) {
			if o.scheduler == nil || o.scheduler.Epoch() != epoch {
				return
			}
			if err != nil {
				o.log.WithError(err).WithField("jobs", len(ids)).Warn("cannot read parked jobs")
				o.nextParkedRead = now.Add(retryInterval)
				o.scheduler.ParkedRead(now, ids, nil, nil, err)
				return
			}
			for _, e := range snapshot.RowErrors {
				o.log.WithError(e).Error("skipping a row that cannot be decoded")
			}
			o.scheduler.ParkedRead(now, ids, o.validSpecs(snapshot.Specs), snapshot.Progress, nil)
			o.log.WithField("jobs", len(snapshot.Specs)).Info("parked jobs read")
			if !o.yieldToLaterOwner(now) {
				o.tickSoon(now)
			}
		}
	})
}
