// Package demo sends requests and submits jobs to a running deployment. It reports
// waiting times, packing and the deviation from fair shares, and checks the
// invariants.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"chicoryturn/core"
	"chicoryturn/io/gate"
	"chicoryturn/io/httpx"
)

const (
	// maxIdleConnsPerGate bounds the idle connections of a client to each gate.
	maxIdleConnsPerGate = 256
	clientTimeout       = 90 * time.Second
)

// Caller sends requests and jobs to gates with the key of one team.
type Caller struct {
	http  *http.Client
	gates []netip.AddrPort
	rng   *rand.Rand
	Team  core.Team
	Key   string
}

// NewClient returns an HTTP client that many callers share.
func NewClient() *http.Client {
	d := &net.Dialer{Timeout: time.Second}
	return &http.Client{Timeout: clientTimeout, Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: maxIdleConnsPerGate, IdleConnTimeout: time.Minute,
	}}
}

// Result is the answer to one request.
type Result struct {
	Queue  core.Queue
	Team   core.Team
	ID     string
	Status int
	// Execution states whether a target executed the request.
	Execution core.Execution
	// Code is set if the request was refused.
	Code core.Code
	Body string
	// Elapsed is the time from sending the request to the end of the answer. WorkTime
	// is the time that the target was told to take for it.
	Elapsed, WorkTime time.Duration
	// Err is set if there was no answer.
	Err error
}

// Call sends one request to a gate. Its header Stand-Work tells the target to take
// the given work time for it.
func (c *Caller) Call(ctx context.Context, addr netip.AddrPort, queue core.Queue, id string, workTime time.Duration, header http.Header) Result {
	r := Result{Queue: queue, Team: c.Team, ID: id, WorkTime: workTime}
	url := fmt.Sprintf("http://%s/call/%s/%s", addr, queue, id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("ask "+id))
	if err != nil {
		r.Err = err
		return r
	}
	for name, vals := range header {
		req.Header[name] = vals
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Request-Id", id)
	req.Header.Set("Stand-Work", workTime.String())
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		r.Err = err
		return r
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.Elapsed = time.Since(start)
	r.Status, r.Execution, r.Body, r.Err = resp.StatusCode, core.Execution(resp.Header.Get(httpx.ExecutionHeader)), string(body), err
	if resp.StatusCode >= http.StatusBadRequest {
		var refusal httpx.Refusal
		_ = json.Unmarshal(body, &refusal)
		r.Code = core.Code(refusal.Code)
	}
	return r
}

// callJSON sends a request and parses the JSON answer into out. It returns a
// *core.RefusalError if the status is 400 or above.
func callJSON(ctx context.Context, c *http.Client, method string, addr netip.AddrPort, path, key string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("building a request: %w", err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := c.Do(req)
	if err != nil {
		return fmt.Errorf("calling %s: %w", addr, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("reading the answer of %s: %w", addr, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		var r httpx.Refusal
		_ = json.Unmarshal(text, &r)
		return &core.RefusalError{Code: core.Code(r.Code), Execution: core.Execution(r.Execution), Reason: r.Reason + strings.Join(r.Lines, "; ")}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(text, out); err != nil {
		return fmt.Errorf("parsing the answer of %s: %w", addr, err)
	}
	return nil
}

// Submit submits a job and returns its ID.
func (c *Caller) Submit(ctx context.Context, addr netip.AddrPort, job gate.JobRequest) (string, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return "", fmt.Errorf("encoding a job request: %w", err)
	}
	var s gate.Submitted
	err = callJSON(ctx, c.http, http.MethodPost, addr, "/jobs", c.Key, body, &s)
	return s.ID, err
}

// Cancel cancels a job.
func (c *Caller) Cancel(ctx context.Context, addr netip.AddrPort, id string) error {
	return callJSON(ctx, c.http, http.MethodDelete, addr, "/jobs/"+id, c.Key, nil, nil)
}

// Job returns the state of a job.
func (c *Caller) Job(ctx context.Context, addr netip.AddrPort, id string) (gate.JobView, error) {
	var v gate.JobView
	err := callJSON(ctx, c.http, http.MethodGet, addr, "/jobs/"+id, c.Key, nil, &v)
	return v, err
}

// randomGate returns the address of a gate chosen at random.
func (c *Caller) randomGate() netip.AddrPort { return c.gates[c.rng.IntN(len(c.gates))] }
