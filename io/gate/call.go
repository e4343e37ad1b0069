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
	"chicoryturn/io/once"
)

const (
	// maxBody bounds a request's body, which is read in full before a slot is
	// requested.
	maxBody = 8 << 20
	// bufferLimit is the size below which a response is read in full before any
	// of it is passed on. If reading fails, the gate can still send the request
	// to another target.
	bufferLimit  = 256 << 10
	bearerPrefix = "Bearer "
	// The request headers that the gate itself reads.
	teamHeader        = "Team"
	idempotencyHeader = "Idempotency-Key"
	requestIDHeader   = "Request-Id"
)

// lastCallID is the ID given to the newest call.
var lastCallID atomic.Uint64

// hopHeaders are the headers that are not passed on: those that belong to one
// connection, and Authorization, which holds the caller's key.
var hopHeaders = core.NewSet("Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Proxy-Connection")

// ForwardError reports a request that cannot be sent to the target, or a
// response that cannot be passed on in full.
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

// call is one caller's request to a target.
type call struct {
	gate *Gate
	// id is unique within the process.
	id uint64
	// requestID is the value of the Request-Id header sent to the target.
	requestID string
	queue     core.Queue
	team      core.Team
	rule      *rules.Queue
	method    string
	path      string
	header    http.Header
	body      []byte
}

// credentials returns the team and key in a request's headers.
func credentials(r *http.Request) (core.Team, string) {
	return core.Team(r.Header.Get(teamHeader)), strings.TrimPrefix(r.Header.Get("Authorization"), bearerPrefix)
}

// authorize checks that a key is valid for a queue and a team, and returns the
// team and the queue's rule.
func (g *Gate) authorize(ctx context.Context, queue core.Queue, team core.Team, key string) (core.Team, *rules.Queue, error) {
	result, err := loop.Ask(ctx, g.loop, func(c chan<- authResult) loop.Message {
		return authRequest{queue: queue, team: team, key: key, reply: c}
	})
	if err != nil {
		return "", nil, core.Refuse(core.CodeLeaving, "this gate has stopped")
	}
	return result.team, result.rule, result.err
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
	var forwardErr *ForwardError
	if errors.As(err, &forwardErr) && forwardErr.Reason == reasonTruncated {
		// Part of the response has been passed on, so only an aborted connection
		// can tell the caller that it is truncated.
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		httpx.WriteError(w, err)
	}
}

// reasonTruncated is the reason of the ForwardError for a response that broke
// off after part of it was passed on.
const reasonTruncated = "response truncated"

// resultLabel returns the metric label for a failed call: the code of the refusal,
// or "cut" for any other error, such as a truncated response.
func resultLabel(err error) string {
	var r *core.RefusalError
	if errors.As(err, &r) {
		return string(r.Code)
	}
	return "cut"
}

// newCall authorizes a request and reads its body.
func (g *Gate) newCall(w http.ResponseWriter, r *http.Request, queue core.Queue) (*call, error) {
	claimedTeam, key := credentials(r)
	team, rule, err := g.authorize(r.Context(), queue, claimedTeam, key)
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
		c.requestID = fmt.Sprintf("%s-%d", g.Agent.InitialSession(), c.id)
	}
	return c, nil
}

// serve waits for a slot, sends the call to the target of the slot and passes
// the response on. The control goroutine may grant another slot after a failure
// that allows a retry.
func (c *call) serve(w http.ResponseWriter, r *http.Request) error {
	if err := c.recordFirstUse(r); err != nil {
		return err
	}
	events := make(chan admit.Event, 2)
	if err := c.gate.loop.Post(slotRequest{admit.Request{ID: c.id, Team: c.team, Rule: c.rule}, events}); err != nil {
		return core.Refuse(core.CodeLeaving, "this gate has stopped")
	}
	disconnected := r.Context().Done()
	callerLeft := false
	for {
		select {
		case <-disconnected:
			// A slot may have been granted already, so wait for one more event.
			disconnected, callerLeft = nil, true
			c.post(callerGone{c.id})
		case ev := <-events:
			target, granted := ev.Target.Get()
			switch {
			case ev.Err != nil:
				return ev.Err
			case !granted:
				// The last event of a request carries no target.
				return nil
			case callerLeft:
				c.post(requestDone{c.id, admit.Abandoned, nil})
				continue
			}
			// If the caller disconnects, the target keeps working on the
			// request and uses its slot until it has finished.
			disconnected = nil
			resp, outcome, err := c.send(context.WithoutCancel(r.Context()), w, target)
			c.countCrossRegionBytes(target, resp)
			c.post(requestDone{c.id, outcome, err})
			if outcome == admit.Truncated {
				// Wait for the last event of the request.
				<-events
				return &ForwardError{reasonTruncated, err}
			}
			if outcome == admit.Completed && resp != nil {
				<-events
				resp.write(w)
				return nil
			}
		}
	}
}

// countCrossRegionBytes counts the bytes of the call's body and of its response,
// if buffered, when the target is in another region.
func (c *call) countCrossRegionBytes(target core.VM, resp *response) {
	if target.Region == c.gate.region {
		return
	}
	bytes := len(c.body)
	if resp != nil {
		bytes += len(resp.body)
	}
	c.gate.meter.AddCrossRegionBytes(c.queue, bytes)
}

// post sends a message to the control goroutine.
func (c *call) post(m loop.Message) {
	// Post fails only if the loop has stopped, and a stopped loop counts no slots.
	_ = c.gate.loop.Post(m)
}

// recordFirstUse records the idempotency key of a request that must not run
// twice, before anything of the request is sent. It refuses a key that has been
// recorded by any gate before.
func (c *call) recordFirstUse(r *http.Request) error {
	key := r.Header.Get(idempotencyHeader)
	if c.rule.Retry || key == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.rule.MaxWait)
	defer cancel()
	result := c.gate.intents.Record(ctx, once.Key("call", c.team, key), once.Intent{
		Gate: c.gate.Agent.InitialSession(), Nonce: rand.Text(), At: time.Now().UTC(),
	})
	if result.Err != nil {
		e := core.Refuse(core.CodeStoreUnavailable, "the idempotency key cannot be recorded")
		e.Err = result.Err
		e.RetryAfter = time.Second
		return e
	}
	if !result.IsFirst {
		e := core.RefuseUnknown(core.CodeAlreadySent, nil, "the request with this key was first sent through %s at %s",
			result.Earlier.Gate, result.Earlier.At.Format(time.RFC3339))
		return e
	}
	return nil
}

// response is a target's response, or its first part if the response is large.
type response struct {
	status int
	header http.Header
	body   []byte
}

// write passes the response on to the caller.
func (r *response) write(w http.ResponseWriter) {
	copyHeader(w.Header(), r.header)
	w.Header().Set(httpx.ExecutionHeader, string(core.Executed))
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body)
}

// copyHeader copies all headers that are passed on.
func copyHeader(to, from http.Header) {
	for name, vals := range from {
		if !hopHeaders.Has(name) {
			to[name] = vals
		}
	}
}

// send sends the call to a target once and reads the response. A response of at
// least bufferLimit bytes is passed on while it is read; send then returns nil.
func (c *call) send(ctx context.Context, w http.ResponseWriter, target core.VM) (*response, admit.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, c.rule.RunTimeout)
	defer cancel()
	var conn *trackedConn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = startRequest(info.Conn) },
	})
	// The HTTP client retries a request only if it can rewind the body.
	// io.NopCloser keeps it from rewinding the body, so the client sends the
	// request at most once, whatever the method and headers.
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+target.Addr.String()+c.path, io.NopCloser(bytes.NewReader(c.body)))
	if err != nil {
		return nil, admit.Unsent, &ForwardError{"request could not be built", err}
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

// read reads the response. It refuses one that carries another request's ID, and
// one whose truncation could not be detected.
func (c *call) read(w http.ResponseWriter, resp *http.Response) (*response, admit.Outcome, error) {
	if id := resp.Header.Get(requestIDHeader); id != "" && id != c.requestID {
		return nil, admit.Aborted, &ForwardError{"response carries the ID of another request: " + id, nil}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && c.method != http.MethodHead {
		return nil, admit.Aborted, &ForwardError{"response has neither a length nor a transfer encoding, so its truncation could not be detected", nil}
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
