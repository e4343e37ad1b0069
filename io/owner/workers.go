package owner

import (
	"context"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/io/clock"
	"chicoryturn/io/guard"
)

const (
	// workersInterval is the time between two reads of the worker list. A worker
	// that announces its shutdown must receive no new work after 2.5 s.
	workersInterval = 500 * time.Millisecond
	// ownerEntryInterval and entryInterval are added up over the entries of the list to
	// the shortest time between two reads, by the owner and by the other VMs, so that
	// the bytes that a VM reads a second do not grow with the fleet. The owner's
	// reads are at most maxOwnerInterval apart, so that it notices in time which
	// workers are leaving or missing.
	ownerEntryInterval = time.Millisecond
	entryInterval      = 5 * time.Millisecond
	maxOwnerInterval   = time.Second
)

// readWorkers reads the worker list if the next read is due.
func (o *Owner) readWorkers(now time.Time) {
	if o.workersReadInFlight || now.Before(o.nextWorkersRead) {
		return
	}
	o.workersReadInFlight = true
	o.async(func(ctx context.Context) func(*Owner, time.Time) {
		requested := clock.BootTime()
		list, err := guard.Call(func() (fleet.WorkerList, error) { return o.lister.Workers(ctx) })
		list.RequestedAt, list.ReceivedAt = requested, clock.BootTime()
		return func(o *Owner, now time.Time) {
			o.workersReadInFlight = false
			if err != nil {
				o.nextWorkersRead = now.Add(o.workersReadDelay())
				o.log.WithError(err).Warn("cannot read the worker list")
				if o.scheduler != nil {
					o.scheduler.ListFailed()
				}
				return
			}
			o.logUnusable(list.Unusable)
			o.workerList, o.workerListAt = list, now
			o.retainLanes()
			o.nextWorkersRead = now.Add(o.workersReadDelay())
			o.onWorkers(list.Workers)
			if o.scheduler != nil {
				o.scheduler.SetWorkers(now, list)
				if len(o.directives.evacuated) > 0 {
					// A worker may be listed in another zone than before.
					o.withdrawEvacuated(now)
				}
				o.stageRoster()
				o.tickSoon(now)
			}
		}
	})
}

// retainLanes forgets what is known of the way to workers that have left.
func (o *Owner) retainLanes() {
	listed := core.Set[core.WorkerID]{}
	for _, w := range o.workerList.Workers {
		listed.Add(w.ID())
	}
	o.lanes.Retain(listed)
}

// logUnusable logs the entries of the worker list that cannot be used, and why. An entry
// is logged again only when the reason changes.
func (o *Owner) logUnusable(entries []fleet.UnusableEntry) {
	reasons := make(map[core.WorkerID]string, len(entries))
	for _, e := range entries {
		reasons[e.ID] = e.Err.Error()
		if o.unusable[e.ID] != reasons[e.ID] {
			o.log.WithError(e.Err).WithField("worker", e.ID).Warn("skipping a worker list entry")
		}
	}
	o.unusable = reasons
}

// workersReadDelay returns the time until the next read of the worker list. It is
// longer on VMs that do not own the fleet, which need the list only for advice
// requests, and on large fleets.
func (o *Owner) workersReadDelay() time.Duration {
	entries := time.Duration(len(o.workerList.Workers) + len(o.workerList.Unusable))
	if o.election.IsHolder() {
		return max(workersInterval, min(entries*ownerEntryInterval, maxOwnerInterval))
	}
	return max(4*workersInterval, entries*entryInterval)
}
