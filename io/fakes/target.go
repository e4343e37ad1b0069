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

// Hit is a target's record of one request.
type Hit struct {
	Target string    `json:"target"`
	ID     string    `json:"id"`
	Team   string    `json:"team"`
	Path   string    `json:"path"`
	Began  time.Time `json:"began"`
	Ended  time.Time `json:"ended"`
}

// TargetRecord is the log of a target. MaxInFlight is the largest number of
// requests in flight; Overfull counts the requests that arrived when all slots were
// in use.
type TargetRecord struct {
	Slots       int   `json:"slots"`
	MaxInFlight int   `json:"most"`
	Overfull    int   `json:"overfull"`
	Hits        []Hit `json:"hits"`
}

// Target fakes a VM that answers requests. It records when there are more
// requests in flight than slots, but does not refuse any. The request header
// Stand-Work sets how long a request takes. Stand-Break makes the target close the
// connection early: "close" before the answer, "half" after half of a body whose
// Content-Length was sent, "chunk" after half of a chunked body.
type Target struct {
	loop     *loop.Loop
	name     string
	record   TargetRecord
	inFlight int
}

// NewTarget returns a target. It answers requests once Run is called.
func NewTarget(ctx context.Context, name string, slots int) *Target {
	return &Target{loop: loop.New(ctx), name: name, record: TargetRecord{Slots: slots}}
}

// Run handles requests until the context that NewTarget received ends.
func (t *Target) Run() error { return t.loop.Run(t) }

// targetMsg asks the control goroutine to call do.
type targetMsg struct {
	do    func(now time.Time, t *Target) TargetRecord
	reply chan<- TargetRecord
}

// Message implements loop.Message.
func (targetMsg) Message() {}

// Handle implements loop.Handler.
func (t *Target) Handle(now time.Time, m loop.Message) {
	if m, ok := m.(targetMsg); ok {
		m.reply <- m.do(now, t)
	}
}

// Tick implements loop.Handler.
func (t *Target) Tick(now time.Time) time.Time { return now.Add(idleInterval) }

// runInLoop calls do on the control goroutine and returns its result.
func (t *Target) runInLoop(do func(now time.Time, t *Target) TargetRecord) TargetRecord {
	r, _ := loop.Ask(context.Background(), t.loop, func(c chan<- TargetRecord) loop.Message { return targetMsg{do, c} })
	return r
}

// Record returns a copy of the target's log.
func (t *Target) Record() TargetRecord {
	return t.runInLoop(func(_ time.Time, t *Target) TargetRecord {
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
	index := 0
	t.runInLoop(func(now time.Time, t *Target) TargetRecord {
		t.inFlight++
		t.record.MaxInFlight = max(t.record.MaxInFlight, t.inFlight)
		if t.inFlight > t.record.Slots {
			t.record.Overfull++
			fmt.Printf("target %s: OVERFULL: %d requests in flight on %d slots\n", t.name, t.inFlight, t.record.Slots)
		}
		index = len(t.record.Hits)
		t.record.Hits = append(t.record.Hits, Hit{t.name, r.Header.Get("Request-Id"), r.Header.Get("Team"), r.URL.Path, now, time.Time{}})
		return TargetRecord{}
	})
	d, _ := time.ParseDuration(r.Header.Get("Stand-Work"))
	sleep(context.WithoutCancel(r.Context()), d)
	t.runInLoop(func(now time.Time, t *Target) TargetRecord {
		t.inFlight--
		t.record.Hits[index].Ended = now
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
