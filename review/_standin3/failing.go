package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The figures of the case: a submission of tasks that last, which one of 12 minions may run. Each run
// fails once, after a time between the two.
const (
	failMinions      = 12
	failLabelled     = 1
	failTasks        = 6
	minLife, maxLife = 3 * time.Second, 20 * time.Second
	failWatch        = 90 * time.Second
)

// playFailing lets tasks that last fail from time to time. The rule is broken if one does not run for
// 3 s, from 6 s after its last run; nothing else is disturbed, so that all is calm.
func playFailing(e *env) (int, error) {
	var mu sync.Mutex
	runs := map[string]*history{}
	for i := range failMinions {
		kind := "a"
		if i < failLabelled {
			kind = "b"
		}
		m := newMinion(fmt.Sprintf("i-%08x", 0x7f3a9100+i), service, zone, fmt.Sprintf("r1-%d", i/8), kind, e.store)
		m.fails = true
		m.workOf = func(string) time.Duration {
			if !e.trouble {
				return 0
			}
			return minLife + rand.N(maxLife-minLife)
		}
		m.onStart = func(s start) {
			mu.Lock()
			defer mu.Unlock()
			if runs[s.task] == nil {
				runs[s.task] = &history{}
			}
			h := runs[s.task]
			after := ""
			if !h.idleSince.IsZero() {
				after = fmt.Sprintf(", %s after its last run", time.Since(h.idleSince).Round(time.Millisecond))
			}
			h.running++
			h.idleSince = time.Time{}
			e.logf("start of %s run %d on %s%s", s.task, s.run, s.minion, after)
		}
		m.onEnd = func(m *minion, r *run, how string) {
			mu.Lock()
			defer mu.Unlock()
			h := runs[r.task]
			if h.running--; h.running == 0 {
				h.idleSince = time.Now()
			}
			e.logf("end of %s run %d on %s: %s", r.task, r.id, m.id, how)
		}
		if err := m.start(kind); err != nil {
			return notRun, err
		}
		e.minions = append(e.minions, m)
	}
	e.store.put("op", "config", config(7))
	if err := e.startNodes(3); err != nil {
		return notRun, err
	}
	id := "5c0e7a21d94b36f8"
	body := fmt.Sprintf(`{"Spec":"(text)","Phases":[{"Count":%d,"Cpu":1000,"MemMb":512,"LongRunning":true,"Constraints":"b"}]}`, failTasks)
	accepted := eventually(10*time.Second, func() bool {
		status, answer := e.nodes[0].call("POST", queueHost, prefix+id, tenantKey, body)
		e.logf("POST %s -> %d %s", id, status, answer)
		return status == 200
	})
	if !accepted {
		return notRun, fmt.Errorf("the submission was not accepted")
	}
	worst, times := time.Duration(0), 0
	lost := map[string]bool{}
	for end := time.Now().Add(failWatch); time.Now().Before(end); time.Sleep(workTick) {
		mu.Lock()
		for task, h := range runs {
			still := time.Duration(0)
			if !h.idleSince.IsZero() {
				still = time.Since(h.idleSince) - lastRunGrace
			}
			if still > stillTime && !lost[task] {
				times++
				e.logf("LOST: %s has not run for %s since its last run", task, time.Since(h.idleSince).Round(time.Millisecond))
			}
			lost[task] = still > stillTime
			worst = max(worst, still)
		}
		mu.Unlock()
	}
	e.logf("%d times a task has not run for more than 3 s from 6 s after its last run; the longest time since a last run was %s (bound 9s)", times, (worst + lastRunGrace).Round(time.Millisecond))
	mu.Lock()
	defer mu.Unlock()
	if len(runs) != failTasks {
		return notRun, fmt.Errorf("%d of %d tasks have run", len(runs), failTasks)
	}
	if times > 0 {
		return broken, nil
	}
	return held, nil
}
