// Package store is the client of the platform: its transactional table, its
// object store and its list of VMs. It is the one place that knows their
// protocol.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"chicoryturn/core"
)

const (
	// Timeout bounds every call.
	Timeout = 5 * time.Second
	// Quick bounds the calls on which leases depend.
	Quick       = time.Second
	dialTimeout = 500 * time.Millisecond
	// maxResponseBytes bounds what is read of one answer.
	maxResponseBytes = 64 << 20
	maxIdleConns     = 16
)

// Row is one row of the table.
type Row struct {
	Key     string          `json:"key"`
	Val     json.RawMessage `json:"val"`
	Version uint64          `json:"version"`
}

// Check demands that a row still has a version; version 0 demands its absence.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes a row.
type Put struct {
	Key string          `json:"key"`
	Val json.RawMessage `json:"val"`
}

// Txn is applied whole if every check holds, and not at all otherwise.
type Txn struct {
	Checks []Check  `json:"checks,omitempty"`
	Puts   []Put    `json:"puts,omitempty"`
	Dels   []string `json:"dels,omitempty"`
}

// Set adds a write of a value to the transaction.
func (t *Txn) Set(key string, val any) error {
	text, err := json.Marshal(val)
	if err != nil {
		return &FormatError{Key: key, Err: err}
	}
	t.Puts = append(t.Puts, Put{key, text})
	return nil
}

// Answer is the outcome of a transaction.
type Answer struct {
	// Version is that of all rows written; versions only grow.
	Version uint64 `json:"version"`
	// Conflicts are the rows whose check has failed.
	Conflicts []Row `json:"conflicts,omitempty"`
}

// VM is one row of the platform's list.
type VM struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Addr    string `json:"addr"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	Leaving bool   `json:"leaving,omitempty"`
	Cores   int64  `json:"cores,omitempty"`
	Memory  int64  `json:"memory,omitempty"`
	Accel   int64  `json:"accel,omitempty"`
	Service string `json:"service,omitempty"`
	Slots   int64  `json:"slots,omitempty"`
}

// List is the platform's list of VMs.
type List struct {
	Version uint64 `json:"version"`
	// Same is set when nothing has changed since the version asked for.
	Same bool `json:"same,omitempty"`
	VMs  []VM `json:"vms,omitempty"`
}

// Core returns the VM in the types of the decisions.
func (v VM) Core() (core.VM, error) {
	addr, err := netip.ParseAddrPort(v.Addr)
	if err != nil {
		return core.VM{}, &FormatError{Key: v.Name, Err: err}
	}
	return core.VM{
		Name: v.Name, Kind: v.Kind, Addr: addr, Region: core.Region(v.Region), Zone: core.Zone(v.Zone),
		Rack: v.Rack, Leaving: v.Leaving, Room: core.Resources{Cores: v.Cores, Memory: v.Memory, Accel: v.Accel},
		Service: core.Service(v.Service), Slots: v.Slots,
	}, nil
}

// DownError reports that the platform gave no answer. A write may have taken
// effect.
type DownError struct{ Err error }

// Error implements error.
func (e *DownError) Error() string { return fmt.Sprintf("the platform does not answer: %v", e.Err) }

// Unwrap returns the cause.
func (e *DownError) Unwrap() error { return e.Err }

// ConflictError reports that a check has failed and nothing was written.
type ConflictError struct{ Rows []Row }

// Error implements error.
func (e *ConflictError) Error() string {
	keys := make([]string, 0, len(e.Rows))
	for _, r := range e.Rows {
		keys = append(keys, r.Key)
	}
	return "rows have changed: " + strings.Join(keys, ", ")
}

// AbsentError reports an object that does not exist.
type AbsentError struct{ Name string }

// Error implements error.
func (e *AbsentError) Error() string { return fmt.Sprintf("no object %q", e.Name) }

// FormatError reports a row or answer that does not parse.
type FormatError struct {
	Key string
	Err error
}

// Error implements error.
func (e *FormatError) Error() string { return fmt.Sprintf("%s does not parse: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Err }

// Client calls the platform.
type Client struct {
	base   string
	http   *http.Client
	counts Counts
}

// Counts are running totals of calls and bytes.
type Counts struct {
	Writes, Reads, Failures, Sent, Received atomic.Uint64
}

// New returns a client of the platform at an address.
func New(addr netip.AddrPort) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		base: "http://" + addr.String(),
		http: &http.Client{
			Timeout:   Timeout,
			Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: time.Minute},
		},
	}
}

// Counts returns the running totals.
func (c *Client) Counts() *Counts { return &c.counts }

func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, int, error) {
	// A body that cannot be rewound keeps the HTTP client from repeating a call
	// on its own.
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, 0, &FormatError{Key: path, Err: err}
	}
	req.ContentLength = int64(len(body))
	resp, err := c.http.Do(req)
	if err != nil {
		c.counts.Failures.Add(1)
		return nil, 0, &DownError{err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil || resp.StatusCode >= http.StatusInternalServerError {
		c.counts.Failures.Add(1)
		return nil, 0, &DownError{err}
	}
	c.counts.Sent.Add(uint64(len(body) + len(path)))
	c.counts.Received.Add(uint64(len(text)))
	return text, resp.StatusCode, nil
}

// Write applies a transaction. After a DownError it may have taken effect.
func (c *Client) Write(ctx context.Context, t Txn) (uint64, error) {
	c.counts.Writes.Add(1)
	body, err := json.Marshal(t)
	if err != nil {
		return 0, &FormatError{Key: "txn", Err: err}
	}
	text, _, err := c.call(ctx, http.MethodPost, "/txn", body)
	if err != nil {
		return 0, err
	}
	var a Answer
	if err := json.Unmarshal(text, &a); err != nil {
		return 0, &DownError{&FormatError{Key: "txn", Err: err}}
	}
	if len(a.Conflicts) > 0 {
		return 0, &ConflictError{a.Conflicts}
	}
	return a.Version, nil
}

// Scan reads the rows whose keys begin with prefix and come after a key.
func (c *Client) Scan(ctx context.Context, prefix, after string) ([]Row, error) {
	c.counts.Reads.Add(1)
	q := url.Values{"prefix": {prefix}, "after": {after}}
	text, _, err := c.call(ctx, http.MethodGet, "/rows?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	var rows []Row
	if err := json.Unmarshal(text, &rows); err != nil {
		return nil, &FormatError{Key: prefix, Err: err}
	}
	return rows, nil
}

// PutObject stores an object that never changes afterwards.
func (c *Client) PutObject(ctx context.Context, name string, val []byte) error {
	c.counts.Writes.Add(1)
	_, _, err := c.call(ctx, http.MethodPut, "/objects/"+name, val)
	return err
}

// Object reads an object.
func (c *Client) Object(ctx context.Context, name string) ([]byte, error) {
	c.counts.Reads.Add(1)
	text, status, err := c.call(ctx, http.MethodGet, "/objects/"+name, nil)
	if err != nil {
		return nil, err
	}
	if status == http.StatusNotFound {
		return nil, &AbsentError{name}
	}
	return text, nil
}

// DeleteObject deletes an object that no row names any more.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	c.counts.Writes.Add(1)
	_, _, err := c.call(ctx, http.MethodDelete, "/objects/"+name, nil)
	return err
}

// VMs reads the list of VMs if it has changed since a version.
func (c *Client) VMs(ctx context.Context, since uint64) (List, error) {
	c.counts.Reads.Add(1)
	text, _, err := c.call(ctx, http.MethodGet, fmt.Sprintf("/vms?since=%d", since), nil)
	if err != nil {
		return List{}, err
	}
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return List{}, &FormatError{Key: "vms", Err: err}
	}
	return l, nil
}
