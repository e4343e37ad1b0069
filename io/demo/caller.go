// Package demo drives a running deployment the way its users do and reports
// what they measure: waiting time, packing and nearness to share.
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
	// clientConns bounds the idle connections that the load keeps to a gate.
	clientConns   = 256
	clientTimeout = 90 * time.Second
)

// Caller sends requests and jobs to gates as the callers of one team.
type Caller struct {
	http  *http.Client
	gates []netip.AddrPort
	rng   *rand.Rand
	Team  core.Team
	Key   string
}

// NewClient returns an HTTP client for many callers.
func NewClient() *http.Client {
	d := &net.Dialer{Timeout: time.Second}
	return &http.Client{Timeout: clientTimeout, Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: clientConns, IdleConnTimeout: time.Minute,
	}}
}

// Result is the answer to one request.
type Result struct {
	Queue  core.Queue
	Team   core.Team
	ID     string
	Status int
	Run    core.Execution
	Code   core.Code
	Body   string
	// Took is the time from sending to the whole answer, Work the part of it
	// that the target was told to work.
	Took, Work time.Duration
	Err        error
}

// Call sends one request through a gate.
func (c *Caller) Call(ctx context.Context, at netip.AddrPort, queue core.Queue, id string, work time.Duration, header http.Header) Result {
	r := Result{Queue: queue, Team: c.Team, ID: id, Work: work}
	url := fmt.Sprintf("http://%s/call/%s/%s", at, queue, id)
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
	req.Header.Set("Stand-Work", work.String())
	began := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		r.Err = err
		return r
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.Took = time.Since(began)
	r.Status, r.Run, r.Body, r.Err = resp.StatusCode, core.Execution(resp.Header.Get(httpx.RunHeader)), string(body), err
	if resp.StatusCode >= http.StatusBadRequest {
		var refusal httpx.Refusal
		_ = json.Unmarshal(body, &refusal)
		r.Code = core.Code(refusal.Code)
	}
	return r
}

// send sends a body and reads a JSON answer.
func send(ctx context.Context, c *http.Client, method string, at netip.AddrPort, path, key string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.String()+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("building a call: %w", err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := c.Do(req)
	if err != nil {
		return fmt.Errorf("calling %s: %w", at, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("reading the answer of %s: %w", at, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		var r httpx.Refusal
		_ = json.Unmarshal(text, &r)
		return &core.RefusalError{Code: core.Code(r.Code), Execution: core.Execution(r.Run), Reason: r.Reason + strings.Join(r.Lines, "; ")}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(text, out); err != nil {
		return fmt.Errorf("parsing the answer of %s: %w", at, err)
	}
	return nil
}

// Submit hands in a job and returns its name.
func (c *Caller) Submit(ctx context.Context, at netip.AddrPort, job gate.JobRequest) (string, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return "", fmt.Errorf("encoding a job: %w", err)
	}
	var s gate.Submitted
	err = send(ctx, c.http, http.MethodPost, at, "/jobs", c.Key, body, &s)
	return s.ID, err
}

// Cancel asks for the end of a job.
func (c *Caller) Cancel(ctx context.Context, at netip.AddrPort, id string) error {
	return send(ctx, c.http, http.MethodDelete, at, "/jobs/"+id, c.Key, nil, nil)
}

// Show returns a job.
func (c *Caller) Show(ctx context.Context, at netip.AddrPort, id string) (gate.JobView, error) {
	var v gate.JobView
	err := send(ctx, c.http, http.MethodGet, at, "/jobs/"+id, c.Key, nil, &v)
	return v, err
}

// any returns one of the gates.
func (c *Caller) any() netip.AddrPort { return c.gates[c.rng.IntN(len(c.gates))] }
