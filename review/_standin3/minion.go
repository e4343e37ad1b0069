package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The platform's figures for minions, as in the site file.
const (
	heartbeat   = 1500 * time.Millisecond
	holdMax     = 6 * time.Second
	stopTimeout = 200 * time.Millisecond
	maxListed   = 500
	workTick    = 10 * time.Millisecond
)

// run is a task at work on a minion.
type run struct {
	task   string
	id     uint64
	began  time.Time
	work   time.Duration
	fails  bool
	stopAt time.Time
}

// end is an entry of Finished.
type end struct {
	number uint64
	task   string
	id     uint64
	how    string
}

// start is what the record says of a run that a minion has begun.
type start struct {
	at         time.Time
	minion     string
	kind       string
	born       int64
	task       string
	run, fence uint64
}

// minion is one minion. Its lifetimes share its Id and its address.
type minion struct {
	id, service, zone, rack string
	addr                    string
	store                   *store
	// workOf returns how long a task works.
	workOf func(task string) time.Duration
	// fails is set if the runs end failed, and not done, once they have worked.
	fails bool
	// onStart is called with each run that begins, onEnd with each that ends.
	onStart func(start)
	onEnd   func(m *minion, r *run, how string)

	mu     sync.Mutex
	up     bool
	server *http.Server
	done   chan struct{}
	kind   string
	born   time.Time
	seq    uint64
	fence  uint64
	lease  time.Duration
	active []*run
	ended  []end
	last   uint64
	barred map[string]uint64
}

func newMinion(id, service, zone, rack, kind string, s *store) *minion {
	return &minion{id: id, service: service, zone: zone, rack: rack, kind: kind, store: s, addr: "127.0.78.1:0", onStart: func(start) {}, onEnd: func(*minion, *run, string) {}}
}

// start begins a lifetime of a kind. The entry is in the store before the minion answers any call.
func (m *minion) start(kind string) error {
	l, err := net.Listen("tcp", m.addr)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.addr, m.kind, m.born, m.seq, m.fence, m.lease = l.Addr().String(), kind, time.Now(), 0, 0, 0
	m.active, m.ended, m.last, m.barred = nil, nil, 0, map[string]uint64{}
	m.up, m.done = true, make(chan struct{})
	done := m.done
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", m.serveStart)
	mux.HandleFunc("POST /api/run-stop", m.serveStop)
	mux.HandleFunc("POST /api/hold", m.serveHold)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", m.id) })
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("Expect-Instance"); want != "" && want != m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	m.server = srv
	m.mu.Unlock()
	m.register()
	go func() { _ = srv.Serve(l) }()
	go m.live(done)
	return nil
}

// crash ends the lifetime without a word.
func (m *minion) crash() {
	m.mu.Lock()
	m.up = false
	close(m.done)
	for _, r := range m.active {
		m.onEnd(m, r, "crash")
	}
	m.active, m.ended = nil, nil
	srv := m.server
	m.mu.Unlock()
	_ = srv.Close()
}

// register writes the entry in the store.
func (m *minion) register() {
	m.mu.Lock()
	m.seq++
	entry := map[string]any{
		"Service": m.service, "Address": m.addr, "Zone": m.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
		"Capacity": map[string]int{"Cpu": 16000, "MemMb": 32768, "Gpu": 0}, "Labels": []string{m.kind, m.rack},
		"ClockMs": m.clock().Milliseconds(), "Seq": m.seq, "born": m.born.UnixMilli(),
	}
	m.mu.Unlock()
	m.store.put("servers", m.id, entry)
}

// live writes liveness reports and lets the runs work until the lifetime ends.
func (m *minion) live(done chan struct{}) {
	beat, tick := time.NewTicker(heartbeat), time.NewTicker(workTick)
	defer beat.Stop()
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-beat.C:
			m.register()
		case <-tick.C:
			m.mu.Lock()
			m.work()
			m.mu.Unlock()
		}
	}
}

// clock returns the minion's steady clock.
func (m *minion) clock() time.Duration { return time.Since(m.born) }

// work ends the runs whose time has come; the caller holds the lock.
func (m *minion) work() {
	now := time.Now()
	m.active = slices.DeleteFunc(m.active, func(r *run) bool {
		how := ""
		switch {
		case m.clock() > m.lease:
			how = "lapsed"
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			how = "stopped"
		case r.work > 0 && now.Sub(r.began) >= r.work && r.fails:
			how = "failed"
		case r.work > 0 && now.Sub(r.began) >= r.work:
			how = "done"
		default:
			return false
		}
		m.last++
		m.ended = append(m.ended, end{m.last, r.task, r.id, how})
		m.barred[r.task] = max(m.barred[r.task], r.id)
		m.onEnd(m, r, how)
		return true
	})
}

// orderRequest holds the fields of all calls.
type orderRequest struct {
	Task               string
	RunID              uint64 `json:"RunId"`
	Spec, Checkpoint   string
	DeadlineMs, WaitMs int64
	FencingToken       uint64
	LastSeen           uint64
}

// accept decodes a call and checks its fence; it returns with the lock held if it reports true.
func (m *minion) accept(w http.ResponseWriter, r *http.Request) (c orderRequest, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return c, false
	}
	m.mu.Lock()
	if c.FencingToken < m.fence {
		m.refuse(w, "fence")
		m.mu.Unlock()
		return c, false
	}
	m.fence = c.FencingToken
	return c, true
}

func (m *minion) refuse(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"ClockMs": m.clock().Milliseconds(), "Reason": reason})
}

// extend extends the lease of all runs.
func (m *minion) extend(deadlineMs int64) {
	m.lease = max(m.lease, min(time.Duration(deadlineMs)*time.Millisecond, m.clock()+holdMax))
}

func (m *minion) serveStart(w http.ResponseWriter, r *http.Request) {
	c, ok := m.accept(w, r)
	if !ok {
		return
	}
	defer m.mu.Unlock()
	m.work()
	isThere := slices.ContainsFunc(m.active, func(r *run) bool { return r.task == c.Task && r.id == c.RunID })
	switch {
	case isThere:
		m.extend(c.DeadlineMs)
	case c.RunID <= m.barred[c.Task]:
		m.extend(c.DeadlineMs)
		m.refuse(w, "old")
		return
	case time.Duration(c.DeadlineMs)*time.Millisecond < m.clock():
		m.refuse(w, "late")
		return
	default:
		m.extend(c.DeadlineMs)
		m.active = append(m.active, &run{task: c.Task, id: c.RunID, began: time.Now(), work: m.workOf(c.Task), fails: m.fails})
		m.onStart(start{time.Now(), m.id, m.kind, m.born.UnixMilli(), c.Task, c.RunID, c.FencingToken})
	}
	writeJSON(w, http.StatusOK, map[string]any{"ClockMs": m.clock().Milliseconds()})
}

func (m *minion) serveStop(w http.ResponseWriter, r *http.Request) {
	c, ok := m.accept(w, r)
	if !ok {
		return
	}
	defer m.mu.Unlock()
	m.barred[c.Task] = max(m.barred[c.Task], c.RunID)
	for _, a := range m.active {
		if a.task == c.Task && a.id == c.RunID && a.stopAt.IsZero() {
			a.stopAt = time.Now().Add(stopTimeout / 2)
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"ClockMs": m.clock().Milliseconds()})
}

func (m *minion) serveHold(w http.ResponseWriter, r *http.Request) {
	c, ok := m.accept(w, r)
	if !ok {
		return
	}
	m.extend(c.DeadlineMs)
	m.ended = slices.DeleteFunc(m.ended, func(e end) bool { return e.number <= c.LastSeen })
	done := m.done
	until := time.Now().Add(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond)
	for len(m.ended) == 0 && time.Now().Before(until) {
		m.mu.Unlock()
		select {
		case <-time.After(workTick):
		case <-r.Context().Done():
			return
		case <-done:
			return
		}
		m.mu.Lock()
	}
	defer m.mu.Unlock()
	active, ended := [][]any{}, [][]any{}
	for _, a := range m.active {
		percent := 100
		if a.work > 0 {
			percent = min(int(100*time.Since(a.began)/a.work), 99)
		}
		active = append(active, []any{a.task, a.id, "", percent, 0})
	}
	for _, e := range m.ended[:min(len(m.ended), maxListed)] {
		ended = append(ended, []any{e.number, e.task, e.id, e.how, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{"ClockMs": m.clock().Milliseconds(), "born": m.born.UnixMilli(), "Active": active, "Finished": ended})
}

// taskOf returns the parts of a task's name: the submission, and K, step and index.
func taskOf(name string) (id string, k, step, index int) {
	p := strings.Split(name, ".")
	if len(p) != 4 {
		return name, 0, 0, 0
	}
	k, _ = strconv.Atoi(p[1])
	step, _ = strconv.Atoi(p[2])
	index, _ = strconv.Atoi(p[3])
	return p[0], k, step, index
}
