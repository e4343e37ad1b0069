package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// The figures of the case: one tenant hands in volumeRate submissions a second, 7.5 times its part of the site's
// 56.5, through seven nodes, until the system refuses refusals of them or volumeTime is over. Each is
// one small task that lasts.
const (
	volumeMinions = 12
	volumeNodes   = 7
	volumeRate    = 70
	volumeTime    = 85 * time.Second
	volumeCalm    = 300
	refusals      = 60
	specBytes     = 4000
	// finishTime is finish_s.
	finishTime = 14 * time.Second
)

// playVolume hands in submissions until the system refuses more. The rule is broken if one that was
// accepted has nothing running finishTime after the end of the traffic and 3 s more, with idle minions.
func playVolume(e *env) (int, error) {
	var mu sync.Mutex
	running := map[string]bool{}
	for i := range volumeMinions {
		m := newMinion(fmt.Sprintf("i-%08x", 0x7f3a9100+i), service, zone, fmt.Sprintf("r1-%d", i/8), "a", e.store)
		m.workOf = func(string) time.Duration { return 0 }
		m.onStart = func(s start) {
			id, _, _, _ := taskOf(s.task)
			mu.Lock()
			defer mu.Unlock()
			running[id] = true
		}
		m.onEnd = func(m *minion, r *run, how string) {
			id, _, _, _ := taskOf(r.task)
			mu.Lock()
			defer mu.Unlock()
			delete(running, id)
			e.logf("end of %s run %d on %s: %s", r.task, r.id, m.id, how)
		}
		if err := m.start("a"); err != nil {
			return notRun, err
		}
		e.minions = append(e.minions, m)
	}
	e.store.put("op", "config", config(7))
	if err := e.startNodes(volumeNodes); err != nil {
		return notRun, err
	}
	limit := 1 << 20
	if !e.trouble {
		limit = volumeCalm
	}
	spec := strings.Repeat("x", specBytes)
	accepted := map[string]bool{}
	refused, others := 0, 0
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Second / volumeRate)
	defer ticker.Stop()
	for n, end := 1, time.Now().Add(volumeTime); n <= limit && time.Now().Before(end); n++ {
		<-ticker.C
		mu.Lock()
		stop := refused >= refusals
		mu.Unlock()
		if stop {
			break
		}
		calls.Add(1)
		go func() {
			defer calls.Done()
			id := fmt.Sprintf("5c0e7a21%08x", uint32(n)*2654435761)
			body := fmt.Sprintf(`{"Spec":%q,"Phases":[{"Count":1,"Cpu":4,"MemMb":8,"LongRunning":true}]}`, spec)
			status, answer := e.nodes[n%volumeNodes].call("POST", queueHost, prefix+id, tenantKey, body)
			mu.Lock()
			defer mu.Unlock()
			switch status {
			case 200:
				accepted[id] = true
			case 429, 503:
				if refused++; refused <= 3 {
					e.logf("POST %s -> %d %s", id, status, answer)
				}
			default:
				if others++; others <= 3 {
					e.logf("POST %s -> %d %s", id, status, answer)
				}
			}
		}()
	}
	calls.Wait()
	mu.Lock()
	e.logf("end of the traffic: %d accepted, %d refused, %d without such an answer; %d run", len(accepted), refused, others, len(running))
	mu.Unlock()
	time.Sleep(finishTime + stillTime)
	mu.Lock()
	defer mu.Unlock()
	still := 0
	for id := range accepted {
		if running[id] {
			continue
		}
		if still++; still <= 5 {
			status, answer := e.nodes[0].call("GET", queueHost, prefix+id, tenantKey, "")
			e.logf("LOST: %s was accepted and has nothing running; GET -> %d %s", id, status, answer)
		}
	}
	used := 4 * len(running)
	e.logf("%d accepted submissions have nothing running; %d of %d thousandths of a core are in use", still, used, volumeMinions*16000)
	if len(accepted) == 0 {
		return notRun, fmt.Errorf("nothing was accepted")
	}
	if still > 0 {
		return broken, nil
	}
	return held, nil
}
