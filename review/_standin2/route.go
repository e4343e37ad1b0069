package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// playRoute removes the route of accepted submissions and adds it again some seconds later. Their
// tasks fail once each, in between, and may fail three more times.
func playRoute(w *world, trouble bool) (int, string) {
	const submissions = 5
	var mu sync.Mutex
	began := map[string]bool{}
	work := func(_ *minion, task string, _ uint64) (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		first := !began[task]
		began[task] = true
		return 3 * time.Second, first
	}
	if err := w.addMinions(6, capacity{CPU: 64000, MemMb: 262144}, work); err != nil {
		return notRun, err.Error()
	}
	if err := w.startNodes(9); err != nil {
		return notRun, err.Error()
	}
	time.Sleep(5 * time.Second)
	var ids []string
	for i := range submissions {
		ids = append(ids, fmt.Sprintf("70%014x", i))
		if !w.submit("two", ids[i], "key-b", []phase{{Count: 4, CPU: 1000, MemMb: 64, EstimateMs: 3000}}) {
			return notRun, "a submission was not accepted"
		}
	}
	time.Sleep(time.Second)
	if trouble {
		w.setConfig(func(c *config) { c.Routes = slices.Clone(c.Routes[:1]) })
		time.Sleep(8 * time.Second)
		w.setConfig(func(c *config) { c.Routes = append(c.Routes, newRoute("two", 1)) })
		time.Sleep(configApply)
	}
	states := map[string]int{}
	waitFor(30*time.Second, func() bool {
		clear(states)
		for _, id := range ids {
			states[w.state("two", id, "key-b")]++
		}
		return states["completed"]+states["failed"] == submissions
	})
	text := fmt.Sprintf("submissions by state: %v; %v; Attempts is 4 in each desired state that has the route, and no task failed more than once", states, w.log.counts())
	if states["failed"] > 0 {
		return broken, text
	}
	if states["completed"] < submissions {
		return notRun, text
	}
	return held, text
}
