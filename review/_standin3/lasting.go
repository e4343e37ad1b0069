package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// The figures of the case: two of 16 minions are lost for good (a share of 0.125), and the node that
// last wrote to the store under a condition is killed later and does not come back.
const (
	lastingMinions = 16
	lastingTasks   = 4
	lostMinions    = 2
	killDelay      = 4 * time.Second
	watchTime      = 20 * time.Second
	// The bounds of the rule LOST for tasks that last.
	lastRunGrace = 6 * time.Second
	stillTime    = 3 * time.Second
	calmTime     = 4 * time.Second
)

// history is when the runs of a task began and ended.
type history struct {
	running int
	// idleSince is the end of the last run; zero while a run is at work.
	idleSince time.Time
}

// leader returns the node that holds the system's row in the store.
func (e *env) leader() *node {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	var seat struct{ VM string }
	_ = json.Unmarshal(e.store.rows[row{Table: "fleet", Part: "fleet", Key: "seat"}.id()].Value, &seat)
	for _, n := range e.nodes {
		if n.name == seat.VM {
			return n
		}
	}
	return nil
}

// playLasting loses minions that run tasks that last, and then kills the owner. The rule is broken if
// a task does not run for 3 s, from 6 s after its last run, while these 3 s and the 4 s before are calm.
func playLasting(e *env) (int, error) {
	var mu sync.Mutex
	runs := map[string]*history{}
	for i := range lastingMinions {
		m := newMinion(fmt.Sprintf("i-%08x", 0x7f3a9100+i), service, zone, fmt.Sprintf("r1-%d", i/8), "a", e.store)
		m.workOf = func(string) time.Duration { return 0 }
		m.onStart = func(s start) {
			mu.Lock()
			defer mu.Unlock()
			if runs[s.task] == nil {
				runs[s.task] = &history{}
			}
			runs[s.task].running++
			runs[s.task].idleSince = time.Time{}
			e.logf("start of %s run %d on %s fence %d", s.task, s.run, s.minion, s.fence)
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
		if err := m.start("a"); err != nil {
			return notRun, err
		}
		e.minions = append(e.minions, m)
	}
	e.store.put("op", "config", config(7))
	if err := e.startNodes(4); err != nil {
		return notRun, err
	}
	id := "5c0e7a21d94b36f8"
	body := fmt.Sprintf(`{"Spec":"(text)","Phases":[{"Count":%d,"Cpu":2000,"MemMb":1024,"LongRunning":true,"AntiAffinity":1}]}`, lastingTasks)
	accepted := eventually(10*time.Second, func() bool {
		status, answer := e.nodes[0].call("POST", queueHost, prefix+id, tenantKey, body)
		e.logf("POST %s -> %d %s", id, status, answer)
		return status == 200
	})
	allRun := eventually(10*time.Second, func() bool {
		mu.Lock()
		defer mu.Unlock()
		n := 0
		for _, h := range runs {
			n += h.running
		}
		return n == lastingTasks
	})
	if !accepted || !allRun {
		return notRun, fmt.Errorf("the tasks do not run")
	}
	time.Sleep(5 * time.Second)
	calmSince := time.Time{}
	if e.trouble {
		lost := 0
		for _, m := range e.minions {
			m.mu.Lock()
			busy := len(m.active) > 0
			m.mu.Unlock()
			if busy && lost < lostMinions {
				lost++
				e.logf("%s is lost for good", m.id)
				m.crash()
				go func() {
					// Its entry is removed after three intervals of silence.
					time.Sleep(3 * heartbeat)
					e.store.remove("servers", m.id)
					e.logf("the entry of %s is removed", m.id)
				}()
			}
		}
		time.Sleep(killDelay)
		n := e.leader()
		if n == nil {
			return notRun, fmt.Errorf("no node leads")
		}
		n.kill()
		calmSince = time.Now()
		e.logf("%s is killed and does not come back", n.name)
	}
	worst := time.Duration(0)
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(workTick) {
		mu.Lock()
		for task, h := range runs {
			if h.idleSince.IsZero() {
				continue
			}
			from := h.idleSince.Add(lastRunGrace)
			if t := calmSince.Add(calmTime); t.After(from) {
				from = t
			}
			if still := time.Since(from); still > worst {
				if worst <= stillTime && still > stillTime {
					e.logf("LOST: %s has not run for %s since its last run, %s of it when its time was over and all was calm", task, time.Since(h.idleSince).Round(time.Millisecond), still.Round(time.Millisecond))
				}
				worst = still
			}
		}
		mu.Unlock()
	}
	e.logf("longest time in which a task should have run and did not: %s (bound %s)", worst.Round(time.Millisecond), stillTime)
	mu.Lock()
	defer mu.Unlock()
	for task, h := range runs {
		if h.running != 1 {
			e.logf("%s: %d runs at the end", task, h.running)
		}
	}
	if worst > stillTime {
		return broken, nil
	}
	return held, nil
}
