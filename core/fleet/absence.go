package fleet

import (
	"time"

	"chicoryturn/core"
)

// maxAbsentGap is the longest interval between two readings of the list over
// which a worker that is missing from both counts as continuously absent. VMs
// that are not the owner read the list every 2 s.
const maxAbsentGap = 3 * time.Second

// AbsenceTracker records since when workers have been missing from the
// platform's list. It runs on every VM, so that a new owner need not start the
// waiting time of workers that disappeared long ago.
type AbsenceTracker struct {
	seen   core.Set[core.WorkerID]
	since  map[core.WorkerID]time.Time
	readAt time.Time
}

// NewAbsenceTracker returns a tracker that has observed no list.
func NewAbsenceTracker() *AbsenceTracker {
	return &AbsenceTracker{seen: core.NewSet[core.WorkerID](), since: map[core.WorkerID]time.Time{}}
}

// Observe updates the tracker with a list read at the given time.
func (t *AbsenceTracker) Observe(now time.Time, infos []WorkerInfo) {
	if now.Sub(t.readAt) > maxAbsentGap {
		clear(t.since)
	}
	t.readAt = now
	listed := core.NewSet[core.WorkerID]()
	for _, info := range infos {
		listed.Add(info.ID())
		t.seen.Add(info.ID())
		delete(t.since, info.ID())
	}
	for id := range t.seen {
		if _, known := t.since[id]; !known && !listed.Has(id) {
			t.since[id] = now
		}
	}
}

// MissingSince returns, for each absent worker, when it was first found missing.
func (t *AbsenceTracker) MissingSince() map[core.WorkerID]time.Time { return t.since }
