// Package fakes holds small stand-ins for what surrounds the system: the
// platform, workers, targets and faulty links. They are for tests and the
// demonstration only.
package fakes

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"chicoryturn/io/loop"
	"chicoryturn/io/store"
)

const idleWake = time.Second

// PlatformFaults are what the platform can be told to do wrong.
type PlatformFaults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay string `json:"delay"`
	// Lose is how many of the next writes take effect without an answer.
	Lose int `json:"lose"`
}

// Platform is the table service, the object store and the list of VMs.
type Platform struct {
	loop    *loop.Loop
	version uint64
	rows    map[string]store.Row
	objects map[string][]byte
	list    store.List
	faults  PlatformFaults
	delay   time.Duration
	writes  uint64
	reads   uint64
	// sent and received count the bytes of bodies.
	sent, received atomic.Uint64
}

// NewPlatform returns an empty platform; Serve runs it.
func NewPlatform(ctx context.Context) *Platform {
	return &Platform{
		loop: loop.New(ctx), rows: map[string]store.Row{}, objects: map[string][]byte{},
		list: store.List{Version: 1},
	}
}

// Run owns the platform's state until the context ends.
func (p *Platform) Run() error { return p.loop.Run(p) }

// request is one call, to be answered by the control goroutine.
type request struct {
	do    func(p *Platform) reply
	write bool
	admin bool
	reply chan<- reply
}

type reply struct {
	status int
	body   any
	text   []byte
	delay  time.Duration
	lost   bool
}

// Message implements loop.Message.
func (request) Message() {}

// Handle implements loop.Handler.
func (p *Platform) Handle(_ time.Time, m loop.Message) {
	q, ok := m.(request)
	if !ok {
		return
	}
	switch {
	case q.admin:
		q.reply <- q.do(p)
		return
	case p.faults.Down:
		q.reply <- reply{status: http.StatusServiceUnavailable, delay: p.delay}
		return
	case q.write:
		p.writes++
	default:
		p.reads++
	}
	r := q.do(p)
	r.delay = p.delay
	if q.write && p.faults.Lose > 0 {
		p.faults.Lose--
		r.lost = true
	}
	q.reply <- r
}

// Wake implements loop.Handler.
func (p *Platform) Wake(now time.Time) time.Time { return now.Add(idleWake) }

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /txn", p.handle(true, false, p.txn))
	mux.HandleFunc("GET /rows", p.handle(false, false, p.scan))
	mux.HandleFunc("PUT /objects/", p.handle(true, false, p.putObject))
	mux.HandleFunc("GET /objects/", p.handle(false, false, p.getObject))
	mux.HandleFunc("DELETE /objects/", p.handle(true, false, p.delObject))
	mux.HandleFunc("GET /vms", p.handle(false, false, p.vms))
	mux.HandleFunc("PUT /stand/vms", p.handle(false, true, p.setVMs))
	mux.HandleFunc("PUT /stand/faults", p.handle(false, true, p.setFaults))
	mux.HandleFunc("GET /stand/counts", p.handle(false, true, p.counts))
	return mux
}

type build func(r *http.Request, body []byte) func(p *Platform) reply

func (p *Platform) handle(write, admin bool, b build) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		a, err := loop.Ask(r.Context(), p.loop, func(c chan<- reply) loop.Message {
			return request{b(r, body), write, admin, c}
		})
		if err != nil {
			return
		}
		pause(r.Context(), a.delay)
		if a.lost {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(max(a.status, http.StatusOK))
		if a.text == nil {
			a.text, _ = json.Marshal(a.body)
		}
		p.sent.Add(uint64(len(a.text)))
		p.received.Add(uint64(len(body)))
		_, _ = w.Write(a.text)
	}
}

// pause waits without holding up anything else.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (p *Platform) txn(_ *http.Request, body []byte) func(*Platform) reply {
	var t store.Txn
	if err := json.Unmarshal(body, &t); err != nil {
		return func(*Platform) reply { return reply{status: http.StatusBadRequest} }
	}
	return func(p *Platform) reply { return reply{body: p.apply(t)} }
}

func (p *Platform) apply(t store.Txn) store.Answer {
	var a store.Answer
	for _, c := range t.Checks {
		if r := p.rows[c.Key]; r.Version != c.Version {
			r.Key = c.Key
			a.Conflicts = append(a.Conflicts, r)
		}
	}
	if len(a.Conflicts) > 0 {
		return a
	}
	p.version++
	a.Version = p.version
	for _, put := range t.Puts {
		p.rows[put.Key] = store.Row{Key: put.Key, Val: put.Val, Version: p.version}
	}
	for _, key := range t.Dels {
		delete(p.rows, key)
	}
	return a
}

func (p *Platform) scan(r *http.Request, _ []byte) func(*Platform) reply {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	return func(p *Platform) reply {
		rows := []store.Row{}
		for key, row := range p.rows {
			if strings.HasPrefix(key, prefix) && key > after {
				rows = append(rows, row)
			}
		}
		sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
		return reply{body: rows}
	}
}

func objectName(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, "/objects/") }

func (p *Platform) putObject(r *http.Request, body []byte) func(*Platform) reply {
	name := objectName(r)
	return func(p *Platform) reply {
		if _, ok := p.objects[name]; !ok {
			p.objects[name] = body
		}
		return reply{}
	}
}

func (p *Platform) getObject(r *http.Request, _ []byte) func(*Platform) reply {
	name := objectName(r)
	return func(p *Platform) reply {
		if body, ok := p.objects[name]; ok {
			return reply{text: body}
		}
		return reply{status: http.StatusNotFound}
	}
}

func (p *Platform) delObject(r *http.Request, _ []byte) func(*Platform) reply {
	name := objectName(r)
	return func(p *Platform) reply {
		delete(p.objects, name)
		return reply{}
	}
}

func (p *Platform) vms(r *http.Request, _ []byte) func(*Platform) reply {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	return func(p *Platform) reply {
		if since == p.list.Version {
			return reply{body: store.List{Version: since, Same: true}}
		}
		return reply{body: p.list}
	}
}

func (p *Platform) setVMs(_ *http.Request, body []byte) func(*Platform) reply {
	var vms []store.VM
	if err := json.Unmarshal(body, &vms); err != nil {
		return func(*Platform) reply { return reply{status: http.StatusBadRequest} }
	}
	return func(p *Platform) reply { return p.relist(vms) }
}

func (p *Platform) relist(vms []store.VM) reply {
	p.list = store.List{Version: p.list.Version + 1, VMs: vms}
	return reply{}
}

// SetVMs replaces the list of VMs.
func (p *Platform) SetVMs(vms []store.VM) {
	_, _ = loop.Ask(context.Background(), p.loop, func(c chan<- reply) loop.Message {
		return request{do: func(p *Platform) reply { return p.relist(vms) }, admin: true, reply: c}
	})
}

func (p *Platform) setFaults(_ *http.Request, body []byte) func(*Platform) reply {
	var f PlatformFaults
	delay, err := time.Duration(0), json.Unmarshal(body, &f)
	if err == nil && f.Delay != "" {
		delay, err = time.ParseDuration(f.Delay)
	}
	if err != nil {
		return func(*Platform) reply { return reply{status: http.StatusBadRequest} }
	}
	return func(p *Platform) reply {
		p.faults, p.delay = f, delay
		return reply{}
	}
}

// PlatformCounts are the calls that the platform has served.
type PlatformCounts struct {
	Writes uint64 `json:"writes"`
	Reads  uint64 `json:"reads"`
	Rows   int    `json:"rows"`
	// Sent and Received count the bytes of bodies.
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
}

// Counts returns the calls that the platform has served.
func (p *Platform) Counts() PlatformCounts {
	r, _ := loop.Ask(context.Background(), p.loop, func(c chan<- reply) loop.Message {
		return request{do: p.counted, admin: true, reply: c}
	})
	n, _ := r.body.(PlatformCounts)
	return n
}

func (p *Platform) counted(*Platform) reply {
	return reply{body: PlatformCounts{p.writes, p.reads, len(p.rows), p.sent.Load(), p.received.Load()}}
}

func (p *Platform) counts(_ *http.Request, _ []byte) func(*Platform) reply {
	return p.counted
}
