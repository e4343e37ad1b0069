package main

import (
	"fmt"
	"time"
)

// playGang hands in one gang, whose data lies in the rack of a minion in another region than the
// leader's, while all minions are idle.
func playGang(w *world, trouble bool) (int, string) {
	const (
		members = 100
		id      = "9a00000000000001"
	)
	work := func(*minion, string, uint64) (time.Duration, bool) { return 2 * time.Second, false }
	if err := w.startNodes(9); err != nil {
		return notRun, err.Error()
	}
	time.Sleep(4 * time.Second)
	near, rack := w.leader().zone, ""
	if err := w.addMinions(6, capacity{CPU: 64000, MemMb: 262144}, work, func(m *minion) time.Duration {
		if m.zone == near {
			return nearDelay
		}
		rack = m.rack
		if !trouble {
			return nearDelay
		}
		return farDelay
	}); err != nil {
		return notRun, err.Error()
	}
	time.Sleep(4 * time.Second)
	w.addGang(id, members)
	if !w.submit("one", id, "key-a", []phase{{Count: members, CPU: 600, MemMb: 64, EstimateMs: 2000, Gang: true, Affinity: rack}}) {
		return notRun, "the submission was not accepted"
	}
	began := time.Now()
	done := waitFor(60*time.Second, func() bool { return w.state("one", id, "key-a") == "completed" })
	text := fmt.Sprintf("after %.1f s: completed: %v; its members were all present at once: %v; %v", time.Since(began).Seconds(), done, w.hasWorked(id), w.log.counts())
	switch {
	case done:
		return held, text
	case w.hasWorked(id):
		return notRun, text
	}
	return broken, text
}

// hasWorked reports whether all members of a gang were ever present.
func (w *world) hasWorked(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, g := range w.gangRuns {
		if worked, _ := g.state(); worked > 0 && key[:len(id)] == id {
			return true
		}
	}
	return false
}
