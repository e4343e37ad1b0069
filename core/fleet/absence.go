package fleet

import (
	"time"

	"chicoryturn/core"
)

// maxTrackerGap is the longest interval between two readings of the list over
// which AbsenceTracker counts a worker that is missing from both as
// continuously missing. VMs that are not the owner read the list every 2 s.
const maxTrackerGap = 3 * time.Second

// AbsenceTracker records since when workers have been missing from the
// platform's list. It runs on every VM, so that a new owner does not wait again
// for workers that disappeared before it was elected.
type AbsenceTracker struct {
	everListed   core.Set[core.WorkerID]
	missingSince map[core.WorkerID]time.Time
	readAt       time.Time
}

// NewAbsenceTracker returns a tracker without any workers.
func NewAbsenceTracker() *AbsenceTracker {
	return &AbsenceTracker{everListed: core.NewSet[core.WorkerID](), missingSince: map[core.WorkerID]time.Time{}}
}

// Observe updates the tracker with a list read at the given time.
func (t *AbsenceTracker) Observe(now time.Time, list WorkerList) {
	if now.Sub(t.readAt) > maxTrackerGap {
		clear(t.missingSince)
	}
	t.readAt = now
	listed := core.NewSet[core.WorkerID]()
	for _, info := range list.Workers {
		listed.Add(info.ID())
		t.everListed.Add(info.ID())
		delete(t.missingSince, info.ID())
	}
	for _, e := range list.Unusable {
		listed.Add(e.ID)
		delete(t.missingSince, e.ID)
	}
	for id := range t.everListed {
		if _, isMissing := t.missingSince[id]; !isMissing && !listed.Has(id) {
			t.missingSince[id] = now
		}
	}
}

// MissingSince returns, for each missing worker, when it was first found missing.
func (t *AbsenceTracker) MissingSince() map[core.WorkerID]time.Time { return t.missingSince }
