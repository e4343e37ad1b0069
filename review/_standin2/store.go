package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the platform's store, from the pages and the settings.
const (
	rowBytes      = 65536
	maxTxnEntries = 100
	maxTxnBytes   = 1 << 20
	maxRows       = 500
	txnTime       = 8 * time.Millisecond
	readTime      = 4 * time.Millisecond
)

// row is a row of the store, as it is spoken.
type row struct {
	Table         string
	Part          string `json:"part"`
	Key           string
	Value         []byte  `json:",omitempty"`
	SchemaVersion *uint64 `json:",omitempty"`
	Deleted       bool    `json:",omitempty"`
}

type rowKey struct{ table, part, key string }

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store is a stand-in of the platform's store. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	parts   map[string]*sync.Mutex
	began   time.Time
	// refusals counts the transactions answered with 400, by the reason.
	refusals map[string]int
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}, began: time.Now(), refusals: map[string]int{}}
}

// door is the address of the store for one node.
type door struct {
	*store
	name string
	// lastConditional is the time of the last conditional transaction that came in here.
	lastConditional atomic.Int64
}

func (d *door) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", d.serveTxn)
	mux.HandleFunc("GET /api/rows-get", d.serveGet)
	mux.HandleFunc("GET /api/rows-feed", d.serveFeed)
	return mux
}

func (s *store) now() float64 { return float64(time.Since(s.began).Microseconds()) / 1000 }

func (s *store) partLock(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[part] == nil {
		s.parts[part] = &sync.Mutex{}
	}
	return s.parts[part]
}

// put stores rows as the operator or a minion does.
func (s *store) put(table, key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: text}}, nil)
}

// apply changes rows; s.mu is held.
func (s *store) apply(puts, removes []row) {
	s.version++
	v := s.version
	for _, r := range puts {
		r.SchemaVersion, r.Deleted = &v, false
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range removes {
		if _, ok := s.rows[r.id()]; !ok {
			continue
		}
		delete(s.rows, r.id())
		r.SchemaVersion, r.Deleted, r.Value = &v, true, nil
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type txn struct {
	ExpectedRevision, Put, Remove []row
}

// check returns why a transaction is not a valid one, or "".
func (t *txn) check(size int64) string {
	if n := len(t.ExpectedRevision) + len(t.Put) + len(t.Remove); n > maxTxnEntries {
		return "more than 100 entries"
	}
	if size > maxTxnBytes {
		return "more than 1 MB"
	}
	for _, r := range t.Put {
		if len(r.Value) > rowBytes {
			return "a row of more than RowBytes"
		}
	}
	return ""
}

func (d *door) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, "body", http.StatusBadRequest)
		return
	}
	part := ""
	for _, e := range slices.Concat(t.ExpectedRevision, t.Put, t.Remove) {
		part = e.Part
		if e.Table == "op" || e.Table == "servers" {
			http.Error(w, "table", http.StatusForbidden)
			return
		}
	}
	if reason := t.check(r.ContentLength); reason != "" {
		d.mu.Lock()
		d.refusals[reason]++
		d.mu.Unlock()
		http.Error(w, reason, http.StatusBadRequest)
		return
	}
	if len(t.ExpectedRevision) > 0 {
		d.lastConditional.Store(time.Now().UnixNano())
	}
	lock := d.partLock(part)
	lock.Lock()
	time.Sleep(txnTime)
	status, body := d.transact(&t)
	lock.Unlock()
	reply(w, status, body)
}

func (s *store) transact(t *txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	current := []row{}
	for _, e := range t.ExpectedRevision {
		have, ok := s.rows[e.id()]
		if ok {
			current = append(current, have)
		}
		want, is := uint64(0), uint64(0)
		if e.SchemaVersion != nil {
			want = *e.SchemaVersion
		}
		if ok {
			is = *have.SchemaVersion
		}
		conflict = conflict || want != is
	}
	if conflict {
		return http.StatusPreconditionFailed, map[string]any{"rows": current, "SchemaVersion": s.version, "NowMs": s.now()}
	}
	s.apply(t.Put, t.Remove)
	return http.StatusOK, map[string]any{"SchemaVersion": s.version, "NowMs": s.now()}
}

func (d *door) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit > maxRows || limit <= 0 {
		limit = maxRows
	}
	time.Sleep(readTime)
	d.mu.Lock()
	var found []row
	for k, v := range d.rows {
		if k.table == q.Get("Table") && k.part == q.Get("part") && k.key >= q.Get("StartKey") && (q.Get("Target") == "" || k.key < q.Get("Target")) {
			found = append(found, v)
		}
	}
	version, now := d.version, d.now()
	d.mu.Unlock()
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	size, n := 0, 0
	for n < len(found) && n < limit && (n == 0 || size+len(found[n].Value) <= 1<<20) {
		size += len(found[n].Value)
		n++
	}
	reply(w, http.StatusOK, map[string]any{"rows": append([]row{}, found[:n]...), "HasMore": n < len(found), "SchemaVersion": version, "NowMs": now})
}

func (d *door) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	time.Sleep(readTime)
	for {
		d.mu.Lock()
		rows := []row{}
		i, _ := slices.BinarySearchFunc(d.history, after+1, func(r row, v uint64) int { return int(int64(*r.SchemaVersion) - int64(v)) })
		for _, h := range d.history[i:] {
			if h.Table == q.Get("Table") {
				rows = append(rows, h)
			}
		}
		version, changed, now := d.version, d.changed, d.now()
		d.mu.Unlock()
		if len(rows) > 0 {
			reply(w, http.StatusOK, map[string]any{"rows": rows, "SchemaVersion": version, "NowMs": now})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"rows": rows, "SchemaVersion": version, "NowMs": now})
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// serveHTTP serves on a loopback address until the process ends.
func serveHTTP(addr string, h http.Handler) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l, nil
}
