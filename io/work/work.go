// Package work is the client of the worker VMs. Only this package knows their
// protocol: the heartbeat, an HTTP call that delivers orders, renews the worker's
// lease and returns a report of the tasks that the worker runs.
package work

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/cell"
)

const (
	// answerTimeout is how long a worker may take to answer in addition to the wait
	// that the heartbeat asks for.
	answerTimeout = 1500 * time.Millisecond
	// maxReportBytes is how much of a report is read at most.
	maxReportBytes = 8 << 20
)

// Room is an amount of capacity: thousandths of a core, MiB, accelerators.
type Room struct {
	Cores  int64 `json:"cores"`
	Memory int64 `json:"memory"`
	Accel  int64 `json:"accel,omitempty"`
}

// Start orders a worker to start a run of a task.
type Start struct {
	Task     string `json:"task"`
	Run      uint64 `json:"try"`
	Team     string `json:"team"`
	Need     Room   `json:"need"`
	Estimate string `json:"run"`
	Command  string `json:"command"`
	// Checkpoint is the elapsed time of the task at its newest checkpoint.
	Checkpoint string `json:"saved,omitempty"`
}

// Ack tells a worker that the end of a run is stored, so that the worker stops
// reporting it.
type Ack struct {
	Task string `json:"task"`
	Run  uint64 `json:"try"`
}

// Stop orders a worker to end or throttle a task. Kind is a cell.StopKind.
type Stop struct {
	Task string `json:"task"`
	Kind string `json:"how"`
}

// Heartbeat is the body of a heartbeat. Its fields are described at cell.Heartbeat.
type Heartbeat struct {
	Cell        string  `json:"cell"`
	Epoch       uint64  `json:"epoch"`
	Order       uint64  `json:"order"`
	Stamp       string  `json:"stamp,omitempty"`
	TTL         string  `json:"ttl"`
	Incarnation string  `json:"born,omitempty"`
	After       uint64  `json:"after"`
	Wait        string  `json:"wait"`
	Starts      []Start `json:"starts,omitempty"`
	Stops       []Stop  `json:"stops,omitempty"`
	Acks        []Ack   `json:"acks,omitempty"`
}

// Task is the state of a task in a report.
type Task struct {
	Task    string `json:"task"`
	Run     uint64 `json:"try"`
	State   string `json:"state"`
	Team    string `json:"team"`
	Need    Room   `json:"need"`
	Used    Room   `json:"used"`
	Elapsed string `json:"ran"`
}

// Report is the answer to a heartbeat. Its fields are described at cell.Report.
type Report struct {
	Stamp       string `json:"stamp"`
	Incarnation string `json:"born"`
	Seq         uint64 `json:"seq"`
	Full        bool   `json:"full,omitempty"`
	// Room is the worker's whole capacity, not the free part of it.
	Room  Room   `json:"room"`
	Tasks []Task `json:"tasks,omitempty"`
}

// StaleEpochError reports that the worker has accepted a newer epoch and so refused the
// heartbeat.
type StaleEpochError struct{ Worker core.WorkerID }

// Error implements error.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("worker %s has accepted a newer epoch", e.Worker)
}

// HeartbeatError reports a heartbeat without a usable answer.
type HeartbeatError struct {
	Worker core.WorkerID
	Err    error
}

// Error implements error.
func (e *HeartbeatError) Error() string { return fmt.Sprintf("worker %s: %v", e.Worker, e.Err) }

// Unwrap returns the cause.
func (e *HeartbeatError) Unwrap() error { return e.Err }

// StatusError reports an unexpected HTTP status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }

// Client sends heartbeats to workers.
type Client struct{ http *http.Client }

// New returns a client.
func New() *Client {
	dialer := &net.Dialer{Timeout: answerTimeout / 2}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute,
	}}}
}

// Heartbeat sends a heartbeat and returns the worker's report.
func (c *Client) Heartbeat(ctx context.Context, h cell.Heartbeat) (cell.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, h.Wait+answerTimeout)
	defer cancel()
	fail := func(err error) (cell.Report, error) { return cell.Report{}, &HeartbeatError{h.Worker, err} }
	body, err := json.Marshal(toMessage(h))
	if err != nil {
		return fail(err)
	}
	// The HTTP client retries a request only if it can rewind the body. A body that
	// cannot be rewound prevents that.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Addr.String()+"/contact", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return fail(err)
	}
	req.ContentLength = int64(len(body))
	resp, err := c.http.Do(req)
	if err != nil {
		return fail(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	switch {
	case err != nil:
		return fail(err)
	case resp.StatusCode == http.StatusConflict:
		return cell.Report{}, &StaleEpochError{h.Worker}
	case resp.StatusCode != http.StatusOK:
		return fail(&StatusError{resp.StatusCode})
	}
	r, err := Decode(data)
	if err != nil {
		return fail(err)
	}
	return r, nil
}

func toRoom(r core.Resources) Room { return Room{r.Cores, r.Memory, r.Accel} }

// Core returns the capacity as the type of package core.
func (r Room) Core() core.Resources {
	return core.Resources{Cores: r.Cores, Memory: r.Memory, Accel: r.Accel}
}

// toMessage converts a heartbeat to the form that is sent as JSON.
func toMessage(h cell.Heartbeat) Heartbeat {
	out := Heartbeat{
		Cell: h.Cell.String(), Epoch: uint64(h.Epoch), Order: h.Order, Stamp: h.Stamp,
		TTL: h.TTL.String(), Incarnation: h.Incarnation, After: h.After, Wait: h.Wait.String(),
	}
	for _, s := range h.Starts {
		out.Starts = append(out.Starts, Start{s.Task.String(), s.Run, string(s.Team), toRoom(s.Need), s.Estimate.String(), s.Command, s.Checkpoint.String()})
	}
	for _, s := range h.Stops {
		out.Stops = append(out.Stops, Stop{s.Task.String(), string(s.Kind)})
	}
	for _, a := range h.Acks {
		out.Acks = append(out.Acks, Ack{a.Task.String(), a.Run})
	}
	return out
}

// FormatError reports a field of a worker's report that cannot be parsed.
type FormatError struct {
	Field, Text string
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("cannot parse field %s: %q", e.Field, e.Text)
}

// Decode parses a worker's report.
func Decode(data []byte) (cell.Report, error) {
	var r Report
	if err := json.Unmarshal(data, &r); err != nil {
		return cell.Report{}, err
	}
	if r.Stamp == "" {
		return cell.Report{}, &FormatError{"stamp", ""}
	}
	out := cell.Report{Stamp: r.Stamp, Incarnation: r.Incarnation, Seq: r.Seq, Full: r.Full, Room: r.Room.Core()}
	for _, t := range r.Tasks {
		id, ok := core.ParseTaskID(t.Task)
		if !ok {
			return cell.Report{}, &FormatError{"task", t.Task}
		}
		elapsed, err := time.ParseDuration(t.Elapsed)
		if err != nil {
			return cell.Report{}, &FormatError{"ran", t.Elapsed}
		}
		out.Tasks = append(out.Tasks, cell.TaskReport{
			Task: id, Run: t.Run, State: cell.TaskState(t.State), Team: core.Team(t.Team), Need: t.Need.Core(), Used: t.Used.Core(), Elapsed: elapsed,
		})
	}
	return out, nil
}
