package main

import (
	"fmt"
	"net/http"
	"time"
)

// Bounds and links of the pages that the case goes by.
const (
	cancelTime = 3000 * time.Millisecond
	stopBound  = 400 * time.Millisecond
	farDelay   = 20 * time.Millisecond
	nearDelay  = 200 * time.Microsecond
)

// playCancel cancels a submission whose tasks fill three minions, one in the region of the
// leader and two in others.
func playCancel(w *world, trouble bool) (int, string) {
	const (
		perMinion = 400
		id        = "ca00000000000001"
	)
	work := func(*minion, string, uint64) (time.Duration, bool) { return 60 * time.Second, false }
	if err := w.startNodes(9); err != nil {
		return notRun, err.Error()
	}
	time.Sleep(4 * time.Second)
	near := w.leader().zone
	if err := w.addMinions(3, capacity{CPU: 64000, MemMb: 262144}, work, func(m *minion) time.Duration {
		if m.zone == near {
			return nearDelay
		}
		return farDelay
	}); err != nil {
		return notRun, err.Error()
	}
	time.Sleep(4 * time.Second)
	if !w.submit("one", id, "key-a", []phase{{Count: 3 * perMinion, CPU: 64000 / perMinion, MemMb: 64, EstimateMs: 60000}}) {
		return notRun, "the submission was not accepted"
	}
	if !waitFor(40*time.Second, func() bool { return w.running() >= 3*perMinion }) {
		return notRun, fmt.Sprintf("not all tasks run: %v", w.log.counts())
	}
	if !trouble {
		done := waitFor(62*time.Second, func() bool { return w.state("one", id, "key-a") == "completed" })
		text := fmt.Sprintf("without a cancellation completed: %v; %v", done, w.log.counts())
		if !done {
			return broken, text
		}
		return held, text
	}
	if status, _ := w.nodes[0].call(http.DefaultClient, "DELETE", "/one/"+id, "key-a", nil); status/100 != 2 {
		return notRun, fmt.Sprintf("the cancelling was answered with %d", status)
	}
	confirmed := time.Since(w.log.began)
	bound := confirmed + cancelTime + stopBound
	time.Sleep(bound - time.Since(w.log.began))
	late := w.running()
	waitFor(30*time.Second, func() bool { return w.running() == 0 })
	last, lapsed := w.log.lastEnd(), w.log.counts()["lapsed"]
	text := fmt.Sprintf("%d of %d tasks of a cancelled submission ran on %.1f s after the confirmation; the last ended %.1f s after it; %d ended because their lease lapsed; %v",
		late, 3*perMinion, (cancelTime + stopBound).Seconds(), (last - confirmed).Seconds(), lapsed, w.log.counts())
	if late > 0 {
		return broken, text
	}
	return held, text
}
