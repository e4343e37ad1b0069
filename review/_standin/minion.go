package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax     = 6 * time.Second
	stopTime    = 100 * time.Millisecond
	stepTime    = 5 * time.Millisecond
	maxFinished = 500
)

// amount is an amount of a minion's room.
type amount struct{ Cpu, MemMb, Gpu int64 }

func (a amount) add(b amount) amount { return amount{a.Cpu + b.Cpu, a.MemMb + b.MemMb, a.Gpu + b.Gpu} }

// run is one start of a task on a minion, as the record keeps it.
type run struct {
	Task   string
	Run    uint64
	Minion string
	Born   time.Time
	Labels []string
	Start  time.Time
	// End is zero while the run goes on. How is empty if the minion's process ended.
	End   time.Time
	How   string
	stop  time.Time
	ends  time.Time
	fails bool
	need  amount
	// notedAt is when the end was acknowledged.
	notedAt time.Time
	number  uint64
}

func (r *run) job() string { return strings.SplitN(r.Task, ".", 2)[0] }

// minion is a stand-in for a minion: one address, and one lifetime after another.
type minion struct {
	w    *world
	id   string
	addr string

	mu       sync.Mutex
	up       bool
	reaches  bool
	draining bool
	capacity amount
	labels   []string
	born     time.Time
	fence    uint64
	lease    time.Time
	active   []*run
	finished []*run
	last     uint64
	barred   map[string]uint64
	ended    chan struct{}
	listener net.Listener
	server   *http.Server
	log      []*run
}

func newMinion(w *world, id string, capacity amount, labels ...string) *minion {
	m := &minion{w: w, id: id, capacity: capacity, labels: labels, addr: "127.0.0.1:0", ended: make(chan struct{}), reaches: true}
	m.start()
	go m.steps()
	go m.reports()
	return m
}

// start begins a lifetime, which knows nothing of the one before.
func (m *minion) start() {
	l, err := net.Listen("tcp", m.addr)
	if err != nil {
		m.w.abort("minion %s: %v", m.id, err)
	}
	m.mu.Lock()
	m.addr, m.listener, m.up = l.Addr().String(), l, true
	m.born = time.Now().Truncate(time.Millisecond)
	m.fence, m.lease, m.active, m.finished, m.last, m.barred = 0, time.Time{}, nil, nil, 0, map[string]uint64{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", m.guard(m.serveStart))
	mux.HandleFunc("POST /api/run-stop", m.guard(m.serveStop))
	mux.HandleFunc("POST /api/hold", m.guard(m.serveHold))
	m.server = &http.Server{Handler: mux}
	srv := m.server
	m.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	m.report()
}

// crash ends the lifetime: its connections are reset and its runs are gone.
func (m *minion) crash() {
	m.mu.Lock()
	m.up = false
	for _, r := range m.active {
		r.End = time.Now()
	}
	m.active = nil
	srv := m.server
	m.mu.Unlock()
	_ = srv.Close()
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() }

// report writes the entry in the servers table unless the way to the store is cut.
func (m *minion) report() {
	m.mu.Lock()
	ok := m.up && m.reaches
	entry := map[string]any{
		"Service": m.w.service, "Address": m.addr, "Zone": "z2", "Version": "v1", "Slots": 8, "State": "ready", "Seq": m.clock() / 1500,
		"Capacity": m.capacity, "Labels": m.labels, "born": m.born.UnixMilli(),
	}
	if m.draining {
		entry["State"], entry["RemainingMs"] = "draining", 2500
	}
	m.mu.Unlock()
	if ok {
		m.w.store.put("servers", m.id, entry)
	}
}

func (m *minion) reports() {
	for range time.Tick(heartbeat) {
		m.report()
	}
}

// rename gives the next lifetime another Id.
func (m *minion) rename(id string) {
	m.mu.Lock()
	m.id = id
	m.mu.Unlock()
}

// drain reports that the minion is going to leave.
func (m *minion) drain() {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	m.report()
}

// cutFromStore sets whether the minion's reports reach the store.
func (m *minion) cutFromStore(cut bool) {
	m.mu.Lock()
	m.reaches = !cut
	m.mu.Unlock()
}

// steps lets runs end in time.
func (m *minion) steps() {
	for range time.Tick(stepTime) {
		now := time.Now()
		m.mu.Lock()
		var left []*run
		for _, r := range m.active {
			switch {
			case now.After(m.lease):
				m.end(r, m.lease, "lapsed")
			case !r.stop.IsZero() && now.After(r.stop):
				m.end(r, r.stop, "stopped")
			case !r.ends.IsZero() && now.After(r.ends) && r.fails:
				m.end(r, r.ends, "failed")
			case !r.ends.IsZero() && now.After(r.ends):
				m.end(r, r.ends, "done")
			default:
				left = append(left, r)
			}
		}
		m.active = left
		m.mu.Unlock()
	}
}

// end lists the end of a run; the caller holds the lock.
func (m *minion) end(r *run, at time.Time, how string) {
	r.End, r.How = at, how
	m.last++
	r.number = m.last
	m.barred[r.Task] = max(m.barred[r.Task], r.Run)
	m.finished = append(m.finished, r)
	close(m.ended)
	m.ended = make(chan struct{})
}

// guard answers calls that are meant for another minion, and lets the others arrive
// after the round trip.
func (m *minion) guard(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("Expect-Instance"); want != "" && want != m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		time.Sleep(m.w.roundTrip)
		h(w, r)
	}
}

type order struct {
	Task, Spec, Checkpoint, Ticket string
	RunId, FencingToken, LastSeen  uint64
	DeadlineMs, WaitMs             int64
}

// alive breaks the call off if the minion's process has ended.
func (m *minion) alive() {
	if !m.up {
		panic(http.ErrAbortHandler)
	}
}

// fenced refuses an order with a fence number below the highest one seen. The caller
// holds the lock.
func (m *minion) fenced(w http.ResponseWriter, o order) bool {
	if o.FencingToken < m.fence {
		answer(w, http.StatusConflict, map[string]any{"ClockMs": m.clock(), "Reason": "fence"})
		return true
	}
	m.fence = o.FencingToken
	return false
}

// extend takes the deadline of an order; the caller holds the lock.
func (m *minion) extend(o order) {
	if o.DeadlineMs <= 0 {
		return
	}
	t := m.born.Add(time.Duration(o.DeadlineMs) * time.Millisecond)
	if most := time.Now().Add(holdMax); t.After(most) {
		t = most
	}
	if t.After(m.lease) {
		m.lease = t
	}
}

func (m *minion) serveStart(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Task == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.alive()
	if m.fenced(w, o) {
		return
	}
	refuse := func(reason string) {
		answer(w, http.StatusConflict, map[string]any{"ClockMs": m.clock(), "Reason": reason})
	}
	for _, a := range m.active {
		if a.Task == o.Task && a.Run == o.RunId {
			m.extend(o)
			answer(w, http.StatusOK, map[string]any{"ClockMs": m.clock()})
			return
		}
	}
	switch {
	case o.RunId <= m.barred[o.Task]:
		m.extend(o)
		refuse("old")
		return
	case o.DeadlineMs < m.clock():
		refuse("late")
		return
	}
	m.extend(o)
	t := m.w.task(o.Task)
	now := time.Now()
	n := &run{Task: o.Task, Run: o.RunId, Minion: m.id, Born: m.born, Labels: m.labels, Start: now, need: t.need, fails: t.fails}
	if t.work > 0 {
		n.ends = now.Add(t.work)
	}
	m.active = append(m.active, n)
	m.log = append(m.log, n)
	if m.w.onStart != nil {
		m.w.onStart(m, n)
	}
	answer(w, http.StatusOK, map[string]any{"ClockMs": m.clock()})
}

func (m *minion) serveStop(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.alive()
	if m.fenced(w, o) {
		return
	}
	for _, a := range m.active {
		if a.Task == o.Task && a.Run == o.RunId && a.stop.IsZero() {
			a.stop = time.Now().Add(stopTime)
		}
	}
	m.barred[o.Task] = max(m.barred[o.Task], o.RunId)
	answer(w, http.StatusOK, map[string]any{"ClockMs": m.clock()})
}

func (m *minion) serveHold(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	until := time.After(time.Duration(min(max(o.WaitMs, 0), 2000)) * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.alive()
	if m.fenced(w, o) {
		return
	}
	m.extend(o)
	for len(m.finished) > 0 && m.finished[0].number <= o.LastSeen {
		m.finished[0].notedAt = time.Now()
		m.finished = m.finished[1:]
	}
	for waiting := o.WaitMs > 0; waiting && len(m.finished) == 0; {
		ended, born := m.ended, m.born
		m.mu.Unlock()
		select {
		case <-ended:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			m.mu.Lock()
			return
		}
		m.mu.Lock()
		if !born.Equal(m.born) {
			panic(http.ErrAbortHandler)
		}
		m.alive()
	}
	active, finished := [][]any{}, [][]any{}
	for _, a := range m.active {
		percent := 100
		if !a.ends.IsZero() {
			percent = int(min(99, 100*time.Since(a.Start)/a.ends.Sub(a.Start)))
		}
		active = append(active, []any{a.Task, a.Run, "", percent, 0})
	}
	for _, f := range m.finished[:min(len(m.finished), maxFinished)] {
		finished = append(finished, []any{f.number, f.Task, f.Run, f.How, ""})
	}
	answer(w, http.StatusOK, map[string]any{"ClockMs": m.clock(), "born": m.born.UnixMilli(), "Active": active, "Finished": finished})
}

// used returns the room that the minion's runs take.
func (m *minion) used() amount {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sum amount
	for _, r := range m.active {
		sum = sum.add(r.need)
	}
	return sum
}

// runs returns copies of all runs of all lifetimes.
func (m *minion) runs() []run {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]run, 0, len(m.log))
	for _, r := range m.log {
		out = append(out, *r)
	}
	return out
}

// phaseOf returns the job and the step of a task's name.
func phaseOf(task string) (string, int) {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return "", 0
	}
	n, _ := strconv.Atoi(p[2])
	return p[0], n
}
