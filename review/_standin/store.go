package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and latencies of the platform's store, as DEPLOY.md lists them for a small
// site.
const (
	rowBytes     = 65536
	txnEntries   = 100
	txnBytes     = 1 << 20
	pageRows     = 500
	pageBytes    = 1 << 20
	txnLatency   = 8 * time.Millisecond
	readLatency  = 4 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
	missedReport = 3
)

type row struct {
	Table         string
	Part          string `json:"part"`
	Key           string
	Value         []byte `json:",omitempty"`
	SchemaVersion uint64
	Deleted       bool `json:",omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is a stand-in for the platform's metadata store.
type store struct {
	addr  string
	began time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]row
	history []row
	changed chan struct{}
	// reported is when each entry of the servers table was last written.
	reported map[string]time.Time
	// tooLarge counts the transactions that were refused because of a row above
	// rowBytes; largest is the largest such row.
	tooLarge, largest int
}

func newStore() (*store, error) {
	s := &store{began: time.Now(), rows: map[string]row{}, changed: make(chan struct{}), reported: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.serveTxn)
	mux.HandleFunc("GET /api/rows-get", s.serveGet)
	mux.HandleFunc("GET /api/rows-parts", s.serveParts)
	mux.HandleFunc("GET /api/rows-feed", s.serveFeed)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	go func() { _ = http.Serve(l, mux) }()
	go s.expire()
	return s, nil
}

func (s *store) nowMs() float64 { return float64(time.Since(s.began).Microseconds()) / 1000 }

// expire removes the entries of servers that have been silent for three intervals.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, at := range s.reported {
			if time.Since(at) > missedReport*heartbeat {
				delete(s.reported, id)
				s.apply(nil, []row{{Table: "servers", Key: id}})
			}
		}
		s.mu.Unlock()
	}
}

// put writes a row that does not belong to the system.
func (s *store) put(table, key string, val any) {
	text, _ := json.Marshal(val)
	s.mu.Lock()
	defer s.mu.Unlock()
	if table == "servers" {
		s.reported[key] = time.Now()
	}
	s.apply([]row{{Table: table, Key: key, Value: text}}, nil)
}

// apply changes rows under one new version; the caller holds the lock.
func (s *store) apply(puts, removes []row) {
	s.version++
	for _, r := range puts {
		r.SchemaVersion = s.version
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range removes {
		if _, ok := s.rows[r.id()]; ok {
			delete(s.rows, r.id())
			s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, SchemaVersion: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns a row of the system.
func (s *store) get(table, part, key string) (row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[row{Table: table, Part: part, Key: key}.id()]
	return r, ok
}

func answer(w http.ResponseWriter, status int, val any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(val)
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct{ ExpectedRevision, Put, Remove []row }
	body := http.MaxBytesReader(w, r.Body, txnBytes)
	if err := json.NewDecoder(body).Decode(&t); err != nil {
		answer(w, http.StatusBadRequest, map[string]string{"Error": err.Error()})
		return
	}
	time.Sleep(txnLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	part, first := "", true
	for _, list := range [][]row{t.ExpectedRevision, t.Put, t.Remove} {
		for _, e := range list {
			if first {
				part, first = e.Part, false
			}
			if e.Part != part || e.Table == "" || len(e.Table) > 200 || len(e.Key) > 200 || len(e.Part) > 200 {
				answer(w, http.StatusBadRequest, map[string]string{"Error": "part or name"})
				return
			}
		}
	}
	if len(t.ExpectedRevision)+len(t.Put)+len(t.Remove) > txnEntries {
		answer(w, http.StatusBadRequest, map[string]string{"Error": "entries"})
		return
	}
	for _, e := range append(t.Put, t.Remove...) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if len(e.Value) > rowBytes {
			s.tooLarge++
			s.largest = max(s.largest, len(e.Value))
			answer(w, http.StatusBadRequest, map[string]string{"Error": "the value of a row is too large"})
			return
		}
	}
	current, conflict := []row{}, false
	for _, e := range t.ExpectedRevision {
		r, ok := s.rows[e.id()]
		if ok {
			current = append(current, r)
		}
		conflict = conflict || r.SchemaVersion != e.SchemaVersion
	}
	if conflict {
		answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "SchemaVersion": s.version, "NowMs": s.nowMs()})
		return
	}
	s.apply(t.Put, t.Remove)
	answer(w, http.StatusOK, map[string]any{"SchemaVersion": s.version, "NowMs": s.nowMs()})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	time.Sleep(readLatency)
	s.mu.Lock()
	found := []row{}
	for _, e := range s.rows {
		if e.Table == q.Get("Table") && e.Part == q.Get("part") && e.Key >= q.Get("StartKey") && (q.Get("Target") == "" || e.Key < q.Get("Target")) {
			found = append(found, e)
		}
	}
	version, now := s.version, s.nowMs()
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	n, bytes := 0, 0
	for n < len(found) && n < limit && (n == 0 || bytes+len(found[n].Value) <= pageBytes) {
		bytes += len(found[n].Value)
		n++
	}
	answer(w, http.StatusOK, map[string]any{"rows": found[:n], "HasMore": n < len(found), "SchemaVersion": version, "NowMs": now})
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	parts := map[string]bool{}
	for _, e := range s.rows {
		if e.Table == q.Get("Table") && strings.Compare(e.Part, q.Get("After")) > 0 {
			parts[e.Part] = true
		}
	}
	version, now := s.version, s.nowMs()
	s.mu.Unlock()
	names := []string{}
	for p := range parts {
		names = append(names, p)
	}
	sort.Strings(names)
	answer(w, http.StatusOK, map[string]any{"parts": names, "SchemaVersion": version, "NowMs": now})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	time.Sleep(readLatency)
	for waiting := ms > 0; ; {
		s.mu.Lock()
		rows := []row{}
		i := sort.Search(len(s.history), func(i int) bool { return s.history[i].SchemaVersion > after })
		for _, e := range s.history[i:] {
			if e.Table == q.Get("Table") {
				rows = append(rows, e)
			}
		}
		version, now, changed := s.version, s.nowMs(), s.changed
		s.mu.Unlock()
		if len(rows) == 0 && waiting {
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			case <-timeout:
				waiting = false
			}
			continue
		}
		answer(w, http.StatusOK, map[string]any{"rows": rows, "SchemaVersion": version, "NowMs": now})
		return
	}
}
