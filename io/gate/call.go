package gate

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/admit"
	"chicoryturn/core/rules"
	"chicoryturn/io/httpx"
	"chicoryturn/io/loop"
)

const (
	// maxBody bounds a request's body, which is read before a slot is taken.
	maxBody = 8 << 20
	// bufferLimit is the size up to which an answer is read whole before any of
	// it is passed on, so that a broken one can still be asked for again.
	bufferLimit  = 256 << 10
	bearerPrefix = "Bearer "
	// The headers of a request that the gate itself reads.
	teamHeader        = "Team"
	idempotencyHeader = "Idempotency-Key"
	requestIDHeader   = "Request-Id"
)

var lastCallID atomic.Uint64

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = core.NewSet("Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Proxy-Connection")

// ForwardError reports an answer that cannot be passed on as whole.
type ForwardError struct {
	Reason string
	Err    error
}

// Error implements error.
func (e *ForwardError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %v", e.Reason, e.Err)
	}
	return e.Reason
}

// Unwrap returns the cause.
func (e *ForwardError) Unwrap() error { return e.Err }

// call is one caller's request on its way to a target.
type call struct {
	gate      *Gate
	id        uint64
	requestID string
	queue     core.Queue
	team      core.Team
	rule      *rules.Queue
	method    string
	path      string
	header    http.Header
	body      []byte
}

// credentials returns the team and key that a caller shows.
func credentials(r *http.Request) (core.Team, string) {
	return core.Team(r.Header.Get(teamHeader)), strings.TrimPrefix(r.Header.Get("Authorization"), bearerPrefix)
}

// authorize checks a caller's key and returns the team and rule of its work.
func (g *Gate) authorize(ctx context.Context, queue core.Queue, team core.Team, key string) (core.Team, *rules.Queue, error) {
	a, err := loop.Ask(ctx, g.loop, func(c chan<- authResult) loop.Message {
		return authRequest{queue: queue, team: team, key: key, reply: c}
	})
	if err != nil {
		return "", nil, core.Refuse(core.CodeLeaving, "this gate has stopped")
	}
	return a.team, a.rule, a.err
}

// serveCall handles a request for a target.
func (g *Gate) serveCall(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	queue := core.Queue(r.PathValue("queue"))
	team, result := core.Team(""), "answered"
	c, err := g.newCall(w, r, queue)
	if err == nil {
		team = c.team
		err = c.serve(w, r)
	}
	if err != nil {
		result = resultLabel(err)
	}
	g.meter.Request(queue, team, result, time.Since(began))
	var broken *ForwardError
	if errors.As(err, &broken) && broken.Reason == reasonTruncated {
		// Part of the answer has gone out: only a broken connection can tell
		// the caller that it is not whole.
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		httpx.WriteError(w, err)
	}
}

const reasonTruncated = "the answer broke off"

func resultLabel(err error) string {
	var r *core.RefusalError
	if errors.As(err, &r) {
		return string(r.Code)
	}
	return "cut"
}

func (g *Gate) newCall(w http.ResponseWriter, r *http.Request, queue core.Queue) (*call, error) {
	claimed, key := credentials(r)
	team, rule, err := g.authorize(r.Context(), queue, claimed, key)
	if err != nil {
		return nil, err
	}
	if rule.Kind != rules.Answer {
		return nil, core.Refuse(core.CodeBadInput, "queue %q takes jobs, not requests", queue)
	}
	body, err := httpx.ReadBody(w, r, maxBody)
	if err != nil {
		return nil, err
	}
	c := &call{
		gate: g, id: lastCallID.Add(1), queue: queue, team: team, rule: rule, method: r.Method,
		path: "/" + r.PathValue("rest"), header: r.Header, body: body, requestID: r.Header.Get(requestIDHeader),
	}
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	if c.requestID == "" {
		c.requestID = fmt.Sprintf("%s-%d", g.Agent.Name(), c.id)
	}
	return c, nil
}

// serve takes the call through admission to its answer.
func (c *call) serve(w http.ResponseWriter, r *http.Request) error {
	if err := c.recordFirstUse(r); err != nil {
		return err
	}
	events := make(chan admit.Event, 2)
	if err := c.gate.loop.Post(slotRequest{admit.Request{ID: c.id, Team: c.team, Rule: c.rule}, events}); err != nil {
		return core.Refuse(core.CodeLeaving, "this gate has stopped")
	}
	gone := r.Context().Done()
	left := false
	for {
		select {
		case <-gone:
			// The grant may be on its way: wait for one event more.
			gone, left = nil, true
			c.post(callerGone{c.id})
		case ev := <-events:
			target, granted := ev.Target.Get()
			switch {
			case ev.Err != nil:
				return ev.Err
			case !granted:
				return nil
			case left:
				c.post(requestDone{c.id, admit.Abandoned, nil})
				continue
			}
			// The target's work goes on to its end even if the caller leaves:
			// its slot is in use until then.
			gone = nil
			answer, outcome, err := c.send(context.WithoutCancel(r.Context()), w, target)
			c.countCrossRegionBytes(target, answer)
			c.post(requestDone{c.id, outcome, err})
			if outcome == admit.Truncated {
				<-events
				return &ForwardError{reasonTruncated, err}
			}
			if outcome == admit.Completed && answer != nil {
				<-events
				answer.write(w)
				return nil
			}
		}
	}
}

// countCrossRegionBytes notes what has crossed between regions.
func (c *call) countCrossRegionBytes(target core.VM, answer *response) {
	if target.Region == c.gate.region {
		return
	}
	bytes := len(c.body)
	if answer != nil {
		bytes += len(answer.body)
	}
	c.gate.meter.Crossed(c.queue, bytes)
}

func (c *call) post(m loop.Message) {
	// A stopped loop has no slots left to count.
	_ = c.gate.loop.Post(m)
}

// recordFirstUse makes a request that must not run twice known to every gate
// before anything of it is sent.
func (c *call) recordFirstUse(r *http.Request) error {
	key := r.Header.Get(idempotencyHeader)
	if c.rule.Repeat || key == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.rule.Wait)
	defer cancel()
	v := c.gate.intents.record(ctx, intentKey("call", c.team, key), intent{
		Gate: c.gate.Agent.Name(), Nonce: rand.Text(), At: time.Now().UTC(),
	})
	if v.err != nil {
		e := core.Refuse(core.CodeStore, "the idempotency key cannot be recorded")
		e.Err = v.err
		e.RetryAfter = time.Second
		return e
	}
	if !v.isFirst {
		e := core.RefuseUnknown(core.CodeRepeat, nil, "the request with this key was first sent through %s at %s",
			v.earlier.Gate, v.earlier.At.Format(time.RFC3339))
		return e
	}
	return nil
}

// response is an answer that has been read whole.
type response struct {
	status int
	header http.Header
	body   []byte
}

func (a *response) write(w http.ResponseWriter) {
	copyHeader(w.Header(), a.header)
	w.Header().Set(httpx.RunHeader, string(core.Executed))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

func copyHeader(to, from http.Header) {
	for name, vals := range from {
		if !hopHeaders.Has(name) {
			to[name] = vals
		}
	}
}

// send sends the call to a target once and reads the answer. A large answer
// is passed on while it is read.
func (c *call) send(ctx context.Context, w http.ResponseWriter, target core.VM) (*response, admit.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, c.rule.Run)
	defer cancel()
	var conn *trackedConn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { conn = startRequest(i.Conn) },
	})
	// A body that cannot be rewound keeps the HTTP client from sending the
	// request again on its own, whatever the method and headers.
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+target.Addr.String()+c.path, io.NopCloser(bytes.NewReader(c.body)))
	if err != nil {
		return nil, admit.Unsent, &ForwardError{"the request cannot be sent", err}
	}
	req.ContentLength = int64(len(c.body))
	if len(c.body) == 0 {
		req.Body = emptyBody{}
	}
	copyHeader(req.Header, c.header)
	req.Header.Set(requestIDHeader, c.requestID)
	req.Header.Set(teamHeader, string(c.team))
	resp, err := c.gate.transport.RoundTrip(req)
	if err != nil {
		if conn == nil || conn.blockWrites() {
			return nil, admit.Unsent, err
		}
		return nil, admit.Aborted, err
	}
	defer resp.Body.Close()
	return c.read(w, resp)
}

func (c *call) read(w http.ResponseWriter, resp *http.Response) (*response, admit.Outcome, error) {
	if id := resp.Header.Get(requestIDHeader); id != "" && id != c.requestID {
		return nil, admit.Aborted, &ForwardError{"the answer belongs to request " + id, nil}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && c.method != http.MethodHead {
		return nil, admit.Aborted, &ForwardError{"the answer has no length, so it cannot be known to be whole", nil}
	}
	first, err := io.ReadAll(io.LimitReader(resp.Body, bufferLimit))
	if err != nil {
		return nil, admit.Aborted, err
	}
	if len(first) < bufferLimit {
		return &response{resp.StatusCode, resp.Header, first}, admit.Completed, nil
	}
	head := response{resp.StatusCode, resp.Header, first}
	head.write(w)
	if _, err := io.Copy(w, resp.Body); err != nil {
		return nil, admit.Truncated, err
	}
	return nil, admit.Completed, nil
}
