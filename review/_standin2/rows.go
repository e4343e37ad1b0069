package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// Bounds of the pages and settings that the case goes by.
const (
	greyTime = 6500 * time.Millisecond
	finish   = 14 * time.Second
)

// playRows lets three of 36 minions fail all that they start for some seconds, while one large
// submission runs. Small submissions of another tenant follow. If the large one does not get
// done, its client cancels it.
func playRows(w *world, trouble bool) (int, string) {
	const (
		tasks   = 40000
		small   = 10
		largeID = "1a00000000000001"
	)
	var grey atomic.Bool
	work := func(m *minion, _ string, _ uint64) (time.Duration, bool) {
		return time.Second, grey.Load() && m.id <= "i-0003"
	}
	if err := w.addMinions(36, capacity{CPU: 64000, MemMb: 262144}, work); err != nil {
		return notRun, err.Error()
	}
	if err := w.startNodes(9); err != nil {
		return notRun, err.Error()
	}
	w.log.brief = true
	time.Sleep(5 * time.Second)
	if trouble {
		grey.Store(true)
		w.log.printf("minions i-0001 to i-0003 fail all that they start")
		time.AfterFunc(greyTime, func() {
			grey.Store(false)
			w.log.printf("minions i-0001 to i-0003 are sound again; %v", w.log.counts())
		})
	}
	if !w.submit("one", largeID, "key-a", []phase{{Count: tasks, CPU: 16, MemMb: 16, EstimateMs: 1000}}) {
		return notRun, "the large submission was not accepted"
	}
	time.Sleep(10 * time.Second)
	var ids []string
	for i := range small {
		ids = append(ids, fmt.Sprintf("5c%014x", i))
		if !w.submit("two", ids[i], "key-b", []phase{{Count: 2, CPU: 1000, MemMb: 64, EstimateMs: 1000}}) {
			return notRun, "a small submission was not accepted"
		}
	}
	w.log.printf("end of the traffic; %v", w.log.counts())
	openSmall := func() int {
		n := 0
		for _, id := range ids {
			if w.state("two", id, "key-b") != "completed" {
				n++
			}
		}
		return n
	}
	time.Sleep(finish)
	openAfterFinish, counts := openSmall(), w.log.counts()
	if w.state("one", largeID, "key-a") != "completed" {
		w.log.printf("the client of the large submission cancels it; %v", counts)
		w.nodes[0].call(http.DefaultClient, "DELETE", "/one/"+largeID, "key-a", nil)
	}
	waitFor(40*time.Second, func() bool {
		c := w.log.counts()
		return openSmall() == 0 && w.running() == 0 && c["noted"] >= c["start"]
	})
	w.store.mu.Lock()
	refusals := fmt.Sprint(w.store.refusals)
	w.store.mu.Unlock()
	afterDone, atOnce := w.log.twice()
	ofSmall := 0
	for _, e := range afterDone {
		if e.task[:2] == "5c" {
			ofSmall++
			w.log.printf("TWICE: %s run %d started on %s at %.3f", e.task, e.run, e.minion, e.at.Seconds())
		}
	}
	text := fmt.Sprintf("%d s after the traffic %d of %d small submissions are not completed, %v; at the end %d; %d starts after a run had ended done that was taken note of, among them %d of the small submissions; %d while another run was active; %v; the store refused transactions for %s",
		int(finish.Seconds()), openAfterFinish, small, counts, openSmall(), len(afterDone), ofSmall, len(atOnce), w.log.counts(), refusals)
	if len(afterDone)+len(atOnce) > 0 {
		return broken, text
	}
	return held, text
}
