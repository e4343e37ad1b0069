package main

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Bounds of the pages that a minion keeps to, as in the settings.
const (
	holdMax      = 6000 * time.Millisecond
	beatInterval = 1500 * time.Millisecond
	stopTime     = 50 * time.Millisecond
	gangTimeout  = 3000 * time.Millisecond
	maxEndsShown = 500
)

// capacity is what a minion or a task has of each resource.
type capacity struct {
	CPU   int64 `json:"Cpu"`
	MemMb int64
	GPU   int64 `json:"Gpu"`
}

// activeRun is a run that a minion has begun.
type activeRun struct {
	task    string
	run     uint64
	began   time.Duration
	lasts   time.Duration
	fails   bool
	stopsAt time.Duration
	// gang is set for a member of a gang, which works only once all are present.
	gang *gangRun
}

// gangRun is one run of a gang. Its members may be on several minions.
type gangRun struct {
	count int
	mu    sync.Mutex
	// present counts the members that have begun, workingAt is when the last one had; broken is
	// set once one of them has ended otherwise than done.
	present   int
	workingAt time.Time
	broken    bool
}

func (g *gangRun) join() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.present++; g.present == g.count {
		g.workingAt = time.Now()
	}
}

func (g *gangRun) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broken = true
}

// state returns for how long the gang has worked, 0 if it does not yet, and whether it is broken.
func (g *gangRun) state() (worked time.Duration, broken bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.workingAt.IsZero() {
		worked = time.Since(g.workingAt)
	}
	return worked, g.broken
}

// outcome returns how a run ends now, or "" if it goes on.
func (a *activeRun) outcome(now, lease time.Duration) string {
	worked := now - a.began
	broken, alone := false, false
	if a.gang != nil {
		worked, broken = a.gang.state()
		alone = worked == 0 && now-a.began > gangTimeout
	}
	switch {
	case now > lease:
		return "lapsed"
	case now >= a.stopsAt:
		return "stopped"
	case broken:
		return "broken"
	case alone:
		return "alone"
	case worked < a.lasts:
		return ""
	case a.fails:
		return "failed"
	}
	return "done"
}

// endedRun is an end that a minion lists until it has been taken note of.
type endedRun struct {
	n    uint64
	task string
	run  uint64
	how  string
}

// minion is a stand-in of one worker.
type minion struct {
	id, addr, zone, rack string
	// listen is where the minion listens, if that is behind a proxy at addr.
	listen string
	room   capacity
	world  *world
	work   workFunc

	mu     sync.Mutex
	born   time.Time
	fence  uint64
	lease  time.Duration
	active map[string]*activeRun
	ends   []endedRun
	lastN  uint64
	// newest holds the highest run of each task that was stopped or has ended here.
	newest map[string]uint64
	ended  chan struct{}
	seq    int
}

func newMinion(w *world, id, addr, zone, rack string, room capacity) *minion {
	return &minion{id: id, addr: addr, zone: zone, rack: rack, room: room, world: w, born: time.Now(), active: map[string]*activeRun{}, newest: map[string]uint64{}, ended: make(chan struct{})}
}

func (m *minion) clock() time.Duration { return time.Since(m.born) }

// start serves the minion and registers it until the process ends.
func (m *minion) start() error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", m.guard(m.serveStart))
	mux.HandleFunc("POST /api/run-stop", m.guard(m.serveStop))
	mux.HandleFunc("POST /api/hold", m.guard(m.serveHold))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", m.id) })
	listen := m.listen
	if listen == "" {
		listen = m.addr
	}
	if _, err := serveHTTP(listen, mux); err != nil {
		return err
	}
	go func() {
		for {
			m.seq++
			m.world.store.put("servers", m.id, map[string]any{
				"Service": service, "Address": m.addr, "Zone": m.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
				"Capacity": m.room, "Labels": []string{"a", m.rack}, "ClockMs": m.clock().Milliseconds(), "Seq": m.seq, "born": m.born.UnixMilli(),
			})
			time.Sleep(beatInterval)
		}
	}()
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			m.step()
		}
	}()
	return nil
}

// guard answers 421 to calls that are meant for another lifetime.
func (m *minion) guard(f func(http.ResponseWriter, *order, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("Expect-Instance"); want != "" && want != m.id {
			reply(w, http.StatusMisdirectedRequest, map[string]any{})
			return
		}
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
		f(w, &o, r)
	}
}

// order is the body of a call to a minion.
type order struct {
	Task               string
	RunID              uint64 `json:"RunId"`
	Spec               string
	DeadlineMs         int64
	FencingToken       uint64
	Checkpoint, Ticket string
	LastSeen           uint64
	WaitMs             int64
}

// takeFence notes the fence of an order and reports whether it is not a lower one; m.mu is
// held.
func (m *minion) takeFence(w http.ResponseWriter, o *order) bool {
	if o.FencingToken < m.fence {
		m.refuse(w, "fence")
		return false
	}
	m.fence = o.FencingToken
	return true
}

func (m *minion) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"ClockMs": m.clock().Milliseconds(), "Reason": reason, "born": m.born.UnixMilli()})
}

func (m *minion) extend(ms int64) {
	m.lease = max(m.lease, min(time.Duration(ms)*time.Millisecond, m.clock()+holdMax))
}

func (m *minion) serveStart(w http.ResponseWriter, o *order, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.takeFence(w, o) {
		return
	}
	if time.Duration(o.DeadlineMs)*time.Millisecond <= m.clock() {
		m.refuse(w, "late")
		return
	}
	m.extend(o.DeadlineMs)
	if a := m.active[o.Task]; a != nil && a.run == o.RunID {
		m.ok(w)
		return
	}
	if a := m.active[o.Task]; o.RunID <= m.newest[o.Task] || a != nil && a.run > o.RunID {
		m.refuse(w, "old")
		return
	}
	lasts, fails := m.work(m, o.Task, o.RunID)
	gang := m.world.gangOf(o.Task, o.RunID)
	if gang != nil {
		gang.join()
	}
	m.active[o.Task] = &activeRun{task: o.Task, run: o.RunID, began: m.clock(), lasts: lasts, fails: fails, stopsAt: math.MaxInt64, gang: gang}
	m.world.log.started(m.id, o.Task, o.RunID, o.FencingToken, o.Spec)
	m.ok(w)
}

func (m *minion) ok(w http.ResponseWriter) {
	reply(w, http.StatusOK, map[string]any{"ClockMs": m.clock().Milliseconds(), "born": m.born.UnixMilli()})
}

func (m *minion) serveStop(w http.ResponseWriter, o *order, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.takeFence(w, o) {
		return
	}
	m.newest[o.Task] = max(m.newest[o.Task], o.RunID)
	if a := m.active[o.Task]; a != nil && a.run <= o.RunID {
		a.stopsAt = min(a.stopsAt, m.clock()+stopTime)
	}
	m.ok(w)
}

func (m *minion) serveHold(w http.ResponseWriter, o *order, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.takeFence(w, o) {
		return
	}
	if o.DeadlineMs > 0 {
		m.extend(o.DeadlineMs)
	}
	for len(m.ends) > 0 && m.ends[0].n <= o.LastSeen {
		m.world.log.noted(m.id, m.ends[0].task, m.ends[0].run)
		m.ends = m.ends[1:]
	}
	if wait := time.Duration(min(o.WaitMs, 2000)) * time.Millisecond; wait > 0 && len(m.ends) == 0 {
		ended := m.ended
		m.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		m.mu.Lock()
	}
	active, finished := [][]any{}, [][]any{}
	for _, a := range m.active {
		worked := m.clock() - a.began
		if a.gang != nil {
			worked, _ = a.gang.state()
		}
		percent := min(100, int(100*worked/max(a.lasts, 1)))
		active = append(active, []any{a.task, a.run, "", percent})
	}
	for _, e := range m.ends[:min(len(m.ends), maxEndsShown)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	reply(w, http.StatusOK, map[string]any{"ClockMs": m.clock().Milliseconds(), "born": m.born.UnixMilli(), "Active": active, "Finished": finished})
}

// step ends the runs that are over, and all of them when the lease has expired.
func (m *minion) step() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	var over []*activeRun
	how := map[*activeRun]string{}
	for _, a := range m.active {
		if end := a.outcome(now, m.lease); end != "" {
			over = append(over, a)
			how[a] = end
		}
	}
	slices.SortFunc(over, func(a, b *activeRun) int { return int(a.began + a.lasts - b.began - b.lasts) })
	for _, a := range over {
		how := how[a]
		if a.gang != nil && how != "done" {
			a.gang.leave()
		}
		delete(m.active, a.task)
		m.lastN++
		m.newest[a.task] = max(m.newest[a.task], a.run)
		m.ends = append(m.ends, endedRun{m.lastN, a.task, a.run, how})
		m.world.log.ended(m.id, a.task, a.run, how)
	}
	if len(over) > 0 {
		close(m.ended)
		m.ended = make(chan struct{})
	}
}
