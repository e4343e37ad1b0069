// Package meter records the metrics of a process.
package meter

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chicoryturn/core"
	"chicoryturn/core/cell"
	"chicoryturn/io/store"
)

// Meter records metrics in the process's registry.
type Meter struct{}

// TaskWait records the time from a task's submission to its start.
func (Meter) TaskWait(queue core.Queue, team core.Team, wait time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf(`chicoryturn_task_wait_seconds{queue=%q,team=%q}`, queue, team)).Update(wait.Seconds())
}

// Placement records the duration of one placement pass.
func (Meter) Placement(took time.Duration) {
	metrics.GetOrCreateHistogram("chicoryturn_plan_seconds").Update(took.Seconds())
}

// Counts sets the counters of a cell.
func (Meter) Counts(id core.CellID, c cell.Counts) {
	for name, n := range map[string]uint64{"starts": c.Starts, "ends": c.Ends, "lapses": c.Lapses, "yields": c.Yields} {
		metrics.GetOrCreateCounter(fmt.Sprintf(`chicoryturn_task_%s_total{cell=%q}`, name, id)).Set(n)
	}
}

// Request records the result and duration of one request.
func (Meter) Request(queue core.Queue, team core.Team, result string, took time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`chicoryturn_requests_total{queue=%q,team=%q,result=%q}`, queue, team, result)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`chicoryturn_request_seconds{queue=%q}`, queue)).Update(took.Seconds())
}

// RequestWait records the time that a request waited for a slot.
func (Meter) RequestWait(queue core.Queue, wait time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf(`chicoryturn_request_wait_seconds{queue=%q}`, queue)).Update(wait.Seconds())
}

// AddCrossRegionBytes counts bytes sent to another region.
func (Meter) AddCrossRegionBytes(queue core.Queue, bytes int) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`chicoryturn_crossed_bytes_total{queue=%q}`, queue)).Add(bytes)
}

// RegisterStore registers the counters of a store client as metrics.
func RegisterStore(c *store.Client) {
	n := c.Counts()
	for name, v := range map[string]*atomic.Uint64{
		"writes": &n.Writes, "reads": &n.Reads, "failures": &n.Failures, "sent_bytes": &n.Sent, "received_bytes": &n.Received,
	} {
		metrics.GetOrCreateGauge(fmt.Sprintf("chicoryturn_store_%s_total", name), func() float64 { return float64(v.Load()) })
	}
}
