package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"chicoryturn/io/loop"
)

// Hit is one request as a target saw it.
type Hit struct {
	Target string    `json:"target"`
	ID     string    `json:"id"`
	Team   string    `json:"team"`
	Path   string    `json:"path"`
	Began  time.Time `json:"began"`
	Ended  time.Time `json:"ended"`
}

// TargetRecord is all that a target has seen.
type TargetRecord struct {
	Slots    int   `json:"slots"`
	Most     int   `json:"most"`
	Overfull int   `json:"overfull"`
	Hits     []Hit `json:"hits"`
}

// Target answers requests, a bounded number at a time. The caller's header
// Stand-Work says how long one takes, Stand-Break how it goes wrong.
type Target struct {
	loop   *loop.Loop
	name   string
	record TargetRecord
	busy   int
}

// NewTarget returns a target; Run runs it.
func NewTarget(ctx context.Context, name string, slots int) *Target {
	return &Target{loop: loop.New(ctx), name: name, record: TargetRecord{Slots: slots}}
}

// Run owns the target's state until the context ends.
func (t *Target) Run() error { return t.loop.Run(t) }

type targetMsg struct {
	do    func(now time.Time, t *Target) TargetRecord
	reply chan<- TargetRecord
}

// Message implements loop.Message.
func (targetMsg) Message() {}

// Handle implements loop.Handler.
func (t *Target) Handle(now time.Time, m loop.Message) {
	if q, ok := m.(targetMsg); ok {
		q.reply <- q.do(now, t)
	}
}

// Wake implements loop.Handler.
func (t *Target) Wake(now time.Time) time.Time { return now.Add(idleWake) }

func (t *Target) ask(do func(now time.Time, t *Target) TargetRecord) TargetRecord {
	r, _ := loop.Ask(context.Background(), t.loop, func(c chan<- TargetRecord) loop.Message { return targetMsg{do, c} })
	return r
}

// Record returns all that the target has seen.
func (t *Target) Record() TargetRecord {
	return t.ask(func(_ time.Time, t *Target) TargetRecord {
		r := t.record
		r.Hits = append([]Hit{}, r.Hits...)
		return r
	})
}

// Handler returns the target's HTTP interface.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stand/record", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(t.Record())
	})
	mux.HandleFunc("/", t.serve)
	return mux
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	at := 0
	t.ask(func(now time.Time, t *Target) TargetRecord {
		t.busy++
		t.record.Most = max(t.record.Most, t.busy)
		if t.busy > t.record.Slots {
			t.record.Overfull++
			fmt.Printf("target %s: OVERFULL: %d of %d slots\n", t.name, t.busy, t.record.Slots)
		}
		at = len(t.record.Hits)
		t.record.Hits = append(t.record.Hits, Hit{t.name, r.Header.Get("Request-Id"), r.Header.Get("Team"), r.URL.Path, now, time.Time{}})
		return TargetRecord{}
	})
	d, _ := time.ParseDuration(r.Header.Get("Stand-Work"))
	pause(context.WithoutCancel(r.Context()), d)
	t.ask(func(now time.Time, t *Target) TargetRecord {
		t.busy--
		t.record.Hits[at].Ended = now
		return TargetRecord{}
	})
	t.answer(w, r, body)
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	text := fmt.Sprintf("%s %s answered by %s: %s\n", r.Method, r.URL.Path, t.name, body)
	switch r.Header.Get("Stand-Break") {
	case "close":
		panic(http.ErrAbortHandler)
	case "half":
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	case "chunk":
		_, _ = io.WriteString(w, text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	_, _ = io.WriteString(w, text)
}
