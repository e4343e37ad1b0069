package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Bounds and links of the pages that the case goes by.
const (
	cancelTime  = 3000 * time.Millisecond
	stopBound   = 400 * time.Millisecond
	configApply = 2500 * time.Millisecond
	farDelay    = 20 * time.Millisecond
	nearDelay   = 200 * time.Microsecond
)

// playCancel cancels two submissions of five, whose tasks fill three minions, one in the region
// of the leader and two in others.
func playCancel(w *world, trouble bool) (int, string) {
	const (
		submissions = 20
		tasks       = 150
		perMinion   = submissions * tasks / 3
	)
	work := func(*minion, string, uint64) (time.Duration, bool) { return 45 * time.Second, false }
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
	var ids []string
	for i := range submissions {
		ids = append(ids, fmt.Sprintf("ca%014x", i))
		// The data of each step lies in the rack of one minion.
		var phases []phase
		for _, m := range w.minions {
			phases = append(phases, phase{Count: tasks / 3, CPU: 63000 / perMinion, MemMb: 64, EstimateMs: 45000, Affinity: m.rack})
		}
		if !w.submit("one", ids[i], "key-a", phases) {
			return notRun, "a submission was not accepted"
		}
		if !waitFor(10*time.Second, func() bool { return w.running() >= (i+1)*tasks }) {
			return notRun, fmt.Sprintf("not all tasks run: %v", w.log.counts())
		}
	}
	w.log.printf("all tasks run; %v", w.log.counts())
	if !trouble {
		done := 0
		waitFor(55*time.Second, func() bool {
			done = 0
			for _, id := range ids {
				if w.state("one", id, "key-a") == "completed" {
					done++
				}
			}
			return done == submissions
		})
		text := fmt.Sprintf("without cancellations %d of %d submissions are completed; %v", done, submissions, w.log.counts())
		if done < submissions {
			return broken, text
		}
		return held, text
	}
	var cancelled []string
	for i, id := range ids {
		if i%5 == 0 || i%5 == 2 {
			cancelled = append(cancelled, id)
		}
	}
	confirmed := make([]time.Duration, len(cancelled))
	var g sync.WaitGroup
	for i, id := range cancelled {
		g.Go(func() {
			n := w.nodes[i%len(w.nodes)]
			if status, _ := n.call(http.DefaultClient, "DELETE", "/one/"+id, "key-a", nil); status/100 == 2 {
				confirmed[i] = time.Since(w.log.began)
			}
		})
	}
	g.Wait()
	if slices.Contains(confirmed, 0) {
		return notRun, "a cancelling was not answered with success"
	}
	bound := slices.Max(confirmed) + cancelTime + stopBound
	time.Sleep(bound - time.Since(w.log.began))
	late := w.running(cancelled...)
	waitFor(20*time.Second, func() bool { return w.running(cancelled...) == 0 })
	counts := w.log.counts()
	text := fmt.Sprintf("%d of %d tasks of cancelled submissions ran on %.1f s after the last confirmation; the last ended %.1f s after it; %d leases lapsed; %v",
		late, len(cancelled)*tasks, (cancelTime + stopBound).Seconds(), (w.log.lastEnd(cancelled) - slices.Max(confirmed)).Seconds(), counts["lapsed"], counts)
	if late > 0 {
		return broken, text
	}
	return held, text
}
