package main

import (
	"fmt"
	"syscall"
	"time"
)

// freezeTime is how long the leading node stands still.
const freezeTime = 3500 * time.Millisecond

// playEnds freezes the leading node once while some 800 tasks of 1.2 s run on each minion.
// They end before the next node leads, and a minion lists 500 ends at a time.
func playEnds(w *world, trouble bool) (int, string) {
	const (
		tasks = 9000
		id    = "5c0e7a21d94b36f8"
	)
	lasts := 1200 * time.Millisecond
	work := func(*minion, string, uint64) (time.Duration, bool) { return lasts, false }
	if err := w.addMinions(3, capacity{CPU: 64000, MemMb: 262144}, work); err != nil {
		return notRun, err.Error()
	}
	if err := w.startNodes(9); err != nil {
		return notRun, err.Error()
	}
	time.Sleep(5 * time.Second)
	if !w.submit("one", id, "key-a", []phase{{Count: tasks, CPU: 80, MemMb: 64, EstimateMs: 1200}}) {
		return notRun, "the submission was not accepted"
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		leader := w.leader()
		leader.signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		leader.signal(syscall.SIGCONT)
	}
	completed := waitFor(60*time.Second, func() bool { return w.state("one", id, "key-a") == "completed" })
	time.Sleep(2 * time.Second)
	afterDone, atOnce := w.log.twice()
	text := fmt.Sprintf("completed: %v; %v; %d tasks started after a run had ended done that was taken note of, %d while another run was active", completed, w.log.counts(), len(afterDone), len(atOnce))
	for _, e := range afterDone[:min(len(afterDone), 5)] {
		w.log.printf("TWICE: %s run %d started on %s at %.3f", e.task, e.run, e.minion, e.at.Seconds())
	}
	if len(afterDone)+len(atOnce) > 0 {
		return broken, text
	}
	return held, text
}
