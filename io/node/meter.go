package node

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chicoryturn/core/fleet"
)

// gauge keeps the metrics of the process.
type gauge struct{}

// Call takes in one answered call: of a client or to a worker.
func (gauge) Call(kind, result string, took time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`chicoryturn_calls_total{call=%q,result=%q}`, kind, result)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`chicoryturn_call_seconds{call=%q}`, kind)).Update(took.Seconds())
}

// Counts takes in the running totals of the owner's decisions.
func (gauge) Counts(c fleet.Counts) {
	for name, n := range map[string]uint64{
		"starts": c.Starts, "refused": c.Refused, "unanswered": c.Unanswered, "ends": c.Ends, "failures": c.Failures,
		"lapses": c.Lapses, "stops": c.Stops, "asks": c.Asks,
	} {
		metrics.GetOrCreateCounter(fmt.Sprintf("chicoryturn_board_%s_total", name)).Set(n)
	}
}

// Record takes in one write of the owner.
func (gauge) Record(rows int, took time.Duration) {
	metrics.GetOrCreateCounter("chicoryturn_recorded_rows_total").Add(rows)
	metrics.GetOrCreateHistogram("chicoryturn_record_seconds").Update(took.Seconds())
}

// Placement takes in the length of one placement pass.
func (gauge) Placement(took time.Duration) {
	metrics.GetOrCreateHistogram("chicoryturn_plan_seconds").Update(took.Seconds())
}

// Own tells whether the process owns the fleet.
func (gauge) Own(owning bool) {
	v := 0.0
	if owning {
		v = 1
	}
	metrics.GetOrCreateGauge("chicoryturn_owning", nil).Set(v)
}
