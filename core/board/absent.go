package board

import (
	"time"

	"chicoryturn/core"
)

// absentGap is the longest pause between two readings of the list that still
// shows that an entry was missing all the while. VMs that own nothing read it
// every 2 s.
const absentGap = 3 * time.Second

// Absence follows which workers the platform lists no more, on VMs that own
// nothing, too: a new owner need not begin to wait for those long gone.
type Absence struct {
	seen  core.Set[core.WorkerID]
	since map[core.WorkerID]time.Time
	at    time.Time
}

// NewAbsence returns a value that has seen no list.
func NewAbsence() *Absence {
	return &Absence{seen: core.NewSet[core.WorkerID](), since: map[core.WorkerID]time.Time{}}
}

// Listed takes in a list.
func (a *Absence) Listed(now time.Time, hosts []Host) {
	if now.Sub(a.at) > absentGap {
		clear(a.since)
	}
	a.at = now
	listed := core.NewSet[core.WorkerID]()
	for _, h := range hosts {
		listed.Add(h.Worker())
		a.seen.Add(h.Worker())
		delete(a.since, h.Worker())
	}
	for id := range a.seen {
		if _, known := a.since[id]; !known && !listed.Has(id) {
			a.since[id] = now
		}
	}
}

// Since returns since when each absent worker has not been listed.
func (a *Absence) Since() map[core.WorkerID]time.Time { return a.since }
