package fleet

import (
	"time"

	"chicoryturn/core"
)

// maxAbsentGap is the longest pause between two readings of the list that still
// shows that an entry was missing all the while. VMs that own nothing read it
// every 2 s.
const maxAbsentGap = 3 * time.Second

// AbsenceTracker follows which workers the platform lists no more, on VMs that own
// nothing, too: a new owner need not begin to wait for those long gone.
type AbsenceTracker struct {
	seen   core.Set[core.WorkerID]
	since  map[core.WorkerID]time.Time
	readAt time.Time
}

// NewAbsenceTracker returns a value that has seen no list.
func NewAbsenceTracker() *AbsenceTracker {
	return &AbsenceTracker{seen: core.NewSet[core.WorkerID](), since: map[core.WorkerID]time.Time{}}
}

// Observe takes in a list.
func (a *AbsenceTracker) Observe(now time.Time, hosts []WorkerInfo) {
	if now.Sub(a.readAt) > maxAbsentGap {
		clear(a.since)
	}
	a.readAt = now
	listed := core.NewSet[core.WorkerID]()
	for _, h := range hosts {
		listed.Add(h.ID())
		a.seen.Add(h.ID())
		delete(a.since, h.ID())
	}
	for id := range a.seen {
		if _, known := a.since[id]; !known && !listed.Has(id) {
			a.since[id] = now
		}
	}
}

// Since returns since when each absent worker has not been listed.
func (a *AbsenceTracker) Since() map[core.WorkerID]time.Time { return a.since }
