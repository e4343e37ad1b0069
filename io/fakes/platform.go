// Package fakes holds fakes of the systems around chicoryturn: the platform,
// workers, targets and faulty links. Only tests, measurements and the
// demonstration use them; command standin runs each of them as a process.
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

// idleInterval is the time to the next Tick of a fake that has no timer pending.
const idleInterval = time.Second

// PlatformFaults are the faults that a test can inject into the platform.
type PlatformFaults struct {
	// Down answers every call with status 503.
	Down bool `json:"down"`
	// Delay is the duration by which every answer is delayed; empty means none.
	Delay string `json:"delay"`
	// LostReplies is how many of the next writes are applied but get no answer: the
	// platform closes their connections instead.
	LostReplies int `json:"lose"`
}

// Platform fakes the platform's table service, object store and list of VMs.
type Platform struct {
	loop *loop.Loop
	// lastVersion is the version that the last transaction gave to its rows.
	lastVersion uint64
	rows        map[string]store.Row
	objects     map[string][]byte
	vmList      store.List
	faults      PlatformFaults
	delay       time.Duration
	writes      uint64
	reads       uint64
	// sentBytes and receivedBytes count bytes of HTTP bodies.
	sentBytes, receivedBytes atomic.Uint64
}

// NewPlatform returns an empty platform. It answers calls once Run is called.
func NewPlatform(ctx context.Context) *Platform {
	return &Platform{
		loop: loop.New(ctx), rows: map[string]store.Row{}, objects: map[string][]byte{},
		vmList: store.List{Version: 1},
	}
}

// Run handles calls until the context that NewPlatform received ends.
func (p *Platform) Run() error { return p.loop.Run(p) }

// request is one call for the control goroutine. A call with isAdmin set is exempt
// from faults and is counted neither as a write nor as a read.
type request struct {
	do      func(p *Platform) reply
	isWrite bool
	isAdmin bool
	reply   chan<- reply
}

// reply is the answer to a call to a fake.
type reply struct {
	// status is the HTTP status; 0 means 200.
	status int
	// value is sent as JSON unless raw is set.
	value any
	raw   []byte
	// delay is the time to wait before the answer is sent.
	delay time.Duration
	// connectionLost closes the connection without an answer.
	connectionLost bool
}

// Message implements loop.Message.
func (request) Message() {}

// Handle implements loop.Handler.
func (p *Platform) Handle(_ time.Time, m loop.Message) {
	req, ok := m.(request)
	if !ok {
		return
	}
	switch {
	case req.isAdmin:
		req.reply <- req.do(p)
		return
	case p.faults.Down:
		req.reply <- reply{status: http.StatusServiceUnavailable, delay: p.delay}
		return
	case req.isWrite:
		p.writes++
	default:
		p.reads++
	}
	r := req.do(p)
	r.delay = p.delay
	if req.isWrite && p.faults.LostReplies > 0 {
		p.faults.LostReplies--
		r.connectionLost = true
	}
	req.reply <- r
}

// Tick implements loop.Handler.
func (p *Platform) Tick(now time.Time) time.Time { return now.Add(idleInterval) }

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /txn", p.httpHandler(true, false, p.runTxn))
	mux.HandleFunc("GET /rows", p.httpHandler(false, false, p.scanRows))
	mux.HandleFunc("PUT /objects/", p.httpHandler(true, false, p.putObject))
	mux.HandleFunc("GET /objects/", p.httpHandler(false, false, p.getObject))
	mux.HandleFunc("DELETE /objects/", p.httpHandler(true, false, p.deleteObject))
	mux.HandleFunc("GET /vms", p.httpHandler(false, false, p.listVMs))
	mux.HandleFunc("PUT /stand/vms", p.httpHandler(false, true, p.setVMs))
	mux.HandleFunc("PUT /stand/faults", p.httpHandler(false, true, p.setFaults))
	mux.HandleFunc("GET /stand/counts", p.httpHandler(false, true, p.getCounts))
	return mux
}

// parseFunc parses a call and returns the function that carries it out on the
// control goroutine.
type parseFunc func(r *http.Request, body []byte) func(p *Platform) reply

// httpHandler returns the HTTP handler for one kind of call.
func (p *Platform) httpHandler(isWrite, isAdmin bool, parse parseFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		a, err := loop.Ask(r.Context(), p.loop, func(c chan<- reply) loop.Message {
			return request{parse(r, body), isWrite, isAdmin, c}
		})
		if err != nil {
			return
		}
		sleep(r.Context(), a.delay)
		if a.connectionLost {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(max(a.status, http.StatusOK))
		if a.raw == nil {
			a.raw, _ = json.Marshal(a.value)
		}
		p.sentBytes.Add(uint64(len(a.raw)))
		p.receivedBytes.Add(uint64(len(body)))
		_, _ = w.Write(a.raw)
	}
}

// sleep returns after a duration or when the context ends.
func sleep(ctx context.Context, d time.Duration) {
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

func (p *Platform) runTxn(_ *http.Request, body []byte) func(*Platform) reply {
	var t store.Txn
	if err := json.Unmarshal(body, &t); err != nil {
		return func(*Platform) reply { return reply{status: http.StatusBadRequest} }
	}
	return func(p *Platform) reply { return reply{value: p.apply(t)} }
}

// apply writes and deletes rows if all checked rows have the expected versions;
// otherwise it returns the conflicting rows.
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
	p.lastVersion++
	a.Version = p.lastVersion
	for _, put := range t.Puts {
		p.rows[put.Key] = store.Row{Key: put.Key, Val: put.Val, Version: p.lastVersion}
	}
	for _, key := range t.Deletes {
		delete(p.rows, key)
	}
	return a
}

func (p *Platform) scanRows(r *http.Request, _ []byte) func(*Platform) reply {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	return func(p *Platform) reply {
		rows := []store.Row{}
		for key, row := range p.rows {
			if strings.HasPrefix(key, prefix) && key > after {
				rows = append(rows, row)
			}
		}
		sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
		return reply{value: rows}
	}
}

func objectName(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, "/objects/") }

// putObject stores an object unless one with the same name exists.
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
			return reply{raw: body}
		}
		return reply{status: http.StatusNotFound}
	}
}

func (p *Platform) deleteObject(r *http.Request, _ []byte) func(*Platform) reply {
	name := objectName(r)
	return func(p *Platform) reply {
		delete(p.objects, name)
		return reply{}
	}
}

func (p *Platform) listVMs(r *http.Request, _ []byte) func(*Platform) reply {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	return func(p *Platform) reply {
		if since == p.vmList.Version {
			return reply{value: store.List{Version: since, Same: true}}
		}
		return reply{value: p.vmList}
	}
}

func (p *Platform) setVMs(_ *http.Request, body []byte) func(*Platform) reply {
	var vms []store.VM
	if err := json.Unmarshal(body, &vms); err != nil {
		return func(*Platform) reply { return reply{status: http.StatusBadRequest} }
	}
	return func(p *Platform) reply { return p.replaceVMs(vms) }
}

func (p *Platform) replaceVMs(vms []store.VM) reply {
	p.vmList = store.List{Version: p.vmList.Version + 1, VMs: vms}
	return reply{}
}

// SetVMs replaces the list of VMs and increments its version.
func (p *Platform) SetVMs(vms []store.VM) {
	_, _ = loop.Ask(context.Background(), p.loop, func(c chan<- reply) loop.Message {
		return request{do: func(p *Platform) reply { return p.replaceVMs(vms) }, isAdmin: true, reply: c}
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

// PlatformCounts holds the platform's counters and its number of rows. Writes and
// Reads do not count calls that were answered with status 503, nor calls to
// /stand/, with which tests control the platform.
type PlatformCounts struct {
	Writes uint64 `json:"writes"`
	Reads  uint64 `json:"reads"`
	Rows   int    `json:"rows"`
	// SentBytes and ReceivedBytes count bytes of HTTP bodies.
	SentBytes     uint64 `json:"sent"`
	ReceivedBytes uint64 `json:"received"`
}

// Counts returns the platform's counters.
func (p *Platform) Counts() PlatformCounts {
	r, _ := loop.Ask(context.Background(), p.loop, func(c chan<- reply) loop.Message {
		return request{do: p.countsReply, isAdmin: true, reply: c}
	})
	n, _ := r.value.(PlatformCounts)
	return n
}

func (p *Platform) countsReply(*Platform) reply {
	return reply{value: PlatformCounts{p.writes, p.reads, len(p.rows), p.sentBytes.Load(), p.receivedBytes.Load()}}
}

func (p *Platform) getCounts(_ *http.Request, _ []byte) func(*Platform) reply {
	return p.countsReply
}
