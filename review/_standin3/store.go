package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The platform's figures for its store, as in the site file.
const (
	txnTime      = 8 * time.Millisecond
	readTime     = 4 * time.Millisecond
	historyTime  = 20 * time.Second
	maxTxnItems  = 100
	maxValue     = 64 << 10
	maxPageRows  = 500
	maxPageBytes = 1 << 20
)

// row is a row of the store on the wire.
type row struct {
	Table         string
	Part          string `json:"part"`
	Key           string
	Value         []byte  `json:",omitempty"`
	SchemaVersion *uint64 `json:",omitempty"`
	Deleted       bool    `json:",omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// change is an entry of the store's history.
type change struct {
	row row
	at  time.Time
}

// store is the platform's metadata store.
type store struct {
	began time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]row
	history []change
	// forgotten is the newest version of which the history is gone.
	forgotten uint64
	changed   chan struct{}
	parts     map[string]*sync.Mutex
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[string]row{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.serveTxn)
	mux.HandleFunc("GET /api/rows-get", s.serveGet)
	mux.HandleFunc("GET /api/rows-feed", s.serveFeed)
	mux.HandleFunc("GET /api/rows-parts", s.serveParts)
	return mux
}

func (s *store) nowMs() int64 { return time.Since(s.began).Milliseconds() }

// put writes a row of a table that only the platform writes.
func (s *store) put(table, key string, val any) {
	text, err := json.Marshal(val)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: text}, s.version)
	s.notify()
}

// remove removes a row of a table that only the platform writes.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Deleted: true}, s.version)
	s.notify()
}

func (s *store) apply(r row, version uint64) {
	r.SchemaVersion = &version
	if r.Deleted {
		if _, ok := s.rows[r.id()]; !ok {
			return
		}
		delete(s.rows, r.id())
		r.Value = nil
	} else {
		s.rows[r.id()] = r
	}
	now := time.Now()
	s.history = append(s.history, change{r, now})
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.forgotten = *s.history[0].row.SchemaVersion
		s.history = s.history[1:]
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) part(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct{ ExpectedRevision, Put, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	all := slices.Concat(txn.ExpectedRevision, txn.Put, txn.Remove)
	if len(all) == 0 || len(all) > maxTxnItems {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, e := range all {
		if e.Part != all[0].Part || len(e.Value) > maxValue {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	for _, e := range slices.Concat(txn.Put, txn.Remove) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	// A part executes its transactions one after another.
	part := s.part(all[0].Part)
	part.Lock()
	defer part.Unlock()
	time.Sleep(txnTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var present []row
	conflict := false
	for _, e := range txn.ExpectedRevision {
		current, ok := s.rows[e.id()]
		has, want := uint64(0), uint64(0)
		if ok {
			present, has = append(present, current), *current.SchemaVersion
		}
		if e.SchemaVersion != nil {
			want = *e.SchemaVersion
		}
		conflict = conflict || has != want
	}
	if conflict {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": present, "SchemaVersion": s.version, "NowMs": s.nowMs()})
		return
	}
	s.version++
	for _, p := range txn.Put {
		s.apply(p, s.version)
	}
	for _, p := range txn.Remove {
		p.Deleted = true
		s.apply(p, s.version)
	}
	s.notify()
	writeJSON(w, http.StatusOK, map[string]any{"SchemaVersion": s.version, "NowMs": s.nowMs()})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, e := range s.rows {
		if e.Table == q.Get("Table") && e.Part == q.Get("part") && e.Key >= q.Get("StartKey") && (q.Get("Target") == "" || e.Key < q.Get("Target")) {
			rows = append(rows, e)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	n, bytes := 0, 0
	for n < len(rows) && n < limit && (n == 0 || bytes+len(rows[n].Value) <= maxPageBytes) {
		bytes += len(rows[n].Value)
		n++
	}
	writeJSON(w, http.StatusOK, map[string]any{"rows": rows[:n], "HasMore": n < len(rows), "SchemaVersion": s.version, "NowMs": s.nowMs()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.forgotten {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := []row{}
		for _, c := range s.history {
			if c.row.Table == q.Get("Table") && *c.row.SchemaVersion > after {
				rows = append(rows, c.row)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) == 0 && wait > 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "SchemaVersion": version, "NowMs": s.nowMs()})
		return
	}
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := map[string]bool{}
	for _, e := range s.rows {
		if e.Table == r.URL.Query().Get("Table") {
			names[e.Part] = true
		}
	}
	parts := []string{}
	for n := range names {
		parts = append(parts, n)
	}
	slices.Sort(parts)
	writeJSON(w, http.StatusOK, map[string]any{"parts": parts, "HasMore": false, "SchemaVersion": s.version, "NowMs": s.nowMs()})
}

func writeJSON(w http.ResponseWriter, status int, val any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(val)
}
