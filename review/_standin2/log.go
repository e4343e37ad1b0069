package main

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// event is something that a client, a minion or the platform has seen.
type event struct {
	at           time.Duration
	kind         string
	minion, task string
	run          uint64
	how          string
}

// record writes what was sent, answered and run to record.txt, and keeps the events of tasks.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	// byTask holds the events of each task.
	byTask map[string][]event
	// brief leaves out the lines of single tasks.
	brief bool
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	return &record{file: f, began: time.Now(), byTask: map[string][]event{}}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(fmt.Sprintf(format, args...))
}

func (r *record) line(text string) {
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), text)
}

func (r *record) add(kind, minion, task string, run uint64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byTask[task] = append(r.byTask[task], event{time.Since(r.began), kind, minion, task, run, how})
	if !r.brief {
		r.line(fmt.Sprintf("%s %s %s run %d %s", minion, kind, task, run, how))
	}
}

func (r *record) started(minion, task string, run, fence uint64, _ string) {
	r.add("start", minion, task, run, fmt.Sprintf("fence %d", fence))
}
func (r *record) ended(minion, task string, run uint64, how string) {
	r.add("end", minion, task, run, how)
}
func (r *record) noted(minion, task string, run uint64) { r.add("noted", minion, task, run, "") }

// counts returns how many starts, ends of each kind and ends taken note of there were.
func (r *record) counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for _, events := range r.byTask {
		for _, e := range events {
			if e.kind == "end" {
				out[e.how]++
			} else {
				out[e.kind]++
			}
		}
	}
	return out
}

// twice returns the starts of tasks after one of their runs had ended done, where that end was
// taken note of then or later and no lease of its minion lapsed in between, and those while
// another run of the task was active.
func (r *record) twice() (afterDone, atOnce []event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	type runKey struct {
		minion string
		run    uint64
	}
	lapses := map[string][]time.Duration{}
	for _, events := range r.byTask {
		for _, e := range events {
			if e.how == "lapsed" {
				lapses[e.minion] = append(lapses[e.minion], e.at)
			}
		}
	}
	for _, events := range r.byTask {
		doneAt, notedAt, active := map[runKey]time.Duration{}, map[runKey]time.Duration{}, map[runKey]bool{}
		for _, e := range events {
			k := runKey{e.minion, e.run}
			switch {
			case e.kind == "noted":
				notedAt[k] = e.at
			case e.kind == "end":
				delete(active, k)
				if e.how == "done" {
					doneAt[k] = e.at
				}
			case e.kind == "start":
				if len(active) > 0 {
					atOnce = append(atOnce, e)
				}
				active[k] = true
			}
		}
		// first is when the first run ended done whose end was taken note of.
		first := time.Duration(math.MaxInt64)
		for k, done := range doneAt {
			noted, ok := notedAt[k]
			for _, l := range lapses[k.minion] {
				ok = ok && !(l > done && l < noted)
			}
			if ok {
				first = min(first, done)
			}
		}
		for _, e := range events {
			if e.kind == "start" && e.at > first {
				afterDone = append(afterDone, e)
			}
		}
	}
	return afterDone, atOnce
}

// lastEnd returns when the last run of some submissions ended.
func (r *record) lastEnd(ids []string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := time.Duration(0)
	for task, events := range r.byTask {
		for _, e := range events {
			if e.kind == "end" && slices.Contains(ids, submissionOf(task)) {
				last = max(last, e.at)
			}
		}
	}
	return last
}

// submissionOf returns the ID of the submission of a task.
func submissionOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
