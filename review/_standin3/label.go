package main

import (
	"fmt"
	"time"
)

// The figures of the case: two of 16 minions crash at a time (a share of 0.125), three times.
const (
	labelMinions = 16
	labelKind    = "a"
	otherKind    = "b"
	labelTasks   = 320
	labelWork    = 1500 * time.Millisecond
	crashes      = 3
	crashedEach  = 2
	downTime     = time.Second
	crashGap     = 3 * time.Second
)

// playLabel lets minions crash and start again under their Ids as another kind, while tasks with
// Constraints wait for room. The rule is broken if a task starts on a minion whose lifetime does not
// have its label.
func playLabel(e *env) (int, error) {
	wrong := 0
	for i := range labelMinions {
		kind := labelKind
		if i%2 == 1 {
			kind = otherKind
		}
		m := newMinion(fmt.Sprintf("i-%08x", 0x7f3a9100+i), service, zone, fmt.Sprintf("r1-%d", i/8), kind, e.store)
		m.workOf = func(string) time.Duration { return labelWork }
		m.onStart = func(s start) {
			verdict := ""
			if s.kind != labelKind {
				// The callers hold the locks of different minions.
				e.mu.Lock()
				wrong++
				e.mu.Unlock()
				verdict = "  ROUTE: it does not have the label " + labelKind
			}
			e.logf("start of %s run %d on %s (kind %s, born %d) fence %d%s", s.task, s.run, s.minion, s.kind, s.born, s.fence, verdict)
		}
		m.onEnd = func(m *minion, r *run, how string) { e.logf("end of %s run %d on %s: %s", r.task, r.id, m.id, how) }
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
	body := fmt.Sprintf(`{"Spec":"(text)","Phases":[{"Count":%d,"Cpu":4000,"MemMb":1024,"EstimateMs":%d,"Constraints":%q}]}`, labelTasks, labelWork.Milliseconds(), labelKind)
	accepted := eventually(10*time.Second, func() bool {
		status, answer := e.nodes[0].call("POST", queueHost, prefix+id, tenantKey, body)
		e.logf("POST %s -> %d %s", id, status, answer)
		return status == 200
	})
	if !accepted {
		return notRun, fmt.Errorf("the submission was not accepted")
	}
	time.Sleep(crashGap)
	// The minions of even number are of the label's kind.
	victims := e.minions
	for round := range crashes {
		for j := range crashedEach {
			if m := victims[2*(round*crashedEach+j)]; e.trouble {
				e.logf("%s (kind %s, born %d) crashes", m.id, m.kind, m.born.UnixMilli())
				m.crash()
			}
		}
		time.Sleep(downTime)
		for j := range crashedEach {
			if m := victims[2*(round*crashedEach+j)]; e.trouble {
				if err := m.start(otherKind); err != nil {
					return notRun, err
				}
				e.logf("%s is back as kind %s, born %d; its entry is in the store", m.id, m.kind, m.born.UnixMilli())
			}
		}
		time.Sleep(crashGap)
	}
	done := eventually(60*time.Second, func() bool {
		_, answer := e.nodes[1].call("GET", queueHost, prefix+id, tenantKey, "")
		return answer == `{"State":"completed"}`
	})
	e.mu.Lock()
	n := wrong
	e.mu.Unlock()
	e.logf("completed: %v; starts on minions without the label: %d", done, n)
	if !e.trouble && !done {
		return notRun, fmt.Errorf("the submission did not complete without trouble")
	}
	if n > 0 {
		return broken, nil
	}
	return held, nil
}
