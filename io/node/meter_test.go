package node_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"chicoryturn/core/fleet"
	"chicoryturn/core/load"
	"chicoryturn/core/rank"
	"chicoryturn/io/node"
)

// TestMetrics guards against metrics that lose their names or are mixed up.
func TestMetrics(t *testing.T) {
	is := is.New(t)
	var m node.Meter
	m.Counts(fleet.Counts{Starts: 1, Refused: 2, Unanswered: 3, Ends: 4, Failures: 5, Lapses: 6, Stops: 7, Asks: 8, Rejected: 9})
	m.Memory(fleet.MemoryUse{Accepted: 11, AcceptedLimit: 12, Built: 13, BuiltLimit: 14, Placed: 15, PlacedLimit: 16, Advised: 17, AdvisedLimit: 18, Waiting: 19, Parked: 20})
	m.Queued(21, 22)
	m.Authority(23*time.Second, 24)
	m.Record(25, 2*time.Second)
	m.Placement(3 * time.Second)
	for range 2 {
		m.Call("start", "ok", time.Second)
	}
	m.Call("start", "no room", time.Second)
	m.Call("test", "ok", time.Second)
	m.Waiting([rank.Classes]int{rank.OnTime: 26, rank.Late: 27, rank.Useless: 28})
	m.Evacuated(29)
	m.Withdrawn(30)
	m.Refused("q", load.TeamBehind)
	m.EstimateAge(31 * time.Second)
	var text bytes.Buffer
	metrics.WritePrometheus(&text, false)
	for _, line := range []string{
		"chicoryturn_board_starts_total 1", "chicoryturn_board_refused_total 2", "chicoryturn_board_unanswered_total 3", "chicoryturn_board_ends_total 4",
		"chicoryturn_board_failures_total 5", "chicoryturn_board_lapses_total 6", "chicoryturn_board_stops_total 7", "chicoryturn_board_asks_total 8", "chicoryturn_board_rejected_total 9",
		`chicoryturn_jobs_bytes{part="accepted"} 11`, `chicoryturn_jobs_limit_bytes{part="accepted"} 12`, `chicoryturn_jobs_bytes{part="built"} 13`, `chicoryturn_jobs_limit_bytes{part="built"} 14`,
		`chicoryturn_jobs_bytes{part="placed"} 15`, `chicoryturn_jobs_limit_bytes{part="placed"} 16`, `chicoryturn_jobs_bytes{part="advice"} 17`, `chicoryturn_jobs_limit_bytes{part="advice"} 18`,
		"chicoryturn_teams_waiting_for_memory 19", "chicoryturn_jobs_parked 20", "chicoryturn_orders_queued 21", "chicoryturn_orders_queued_one_worker 22",
		"chicoryturn_record_age_seconds 23", "chicoryturn_workers_unreached 24", "chicoryturn_recorded_rows_total 25", "chicoryturn_record_seconds_sum 2", "chicoryturn_plan_seconds_sum 3",
		`chicoryturn_calls_total{call="start",result="ok"} 2`, `chicoryturn_calls_total{call="start",result="no room"} 1`, `chicoryturn_calls_total{call="test",result="ok"} 1`, `chicoryturn_call_seconds_count{call="start"} 3`,
		`chicoryturn_phases_waiting{class="on-time"} 26`, `chicoryturn_phases_waiting{class="late"} 27`, `chicoryturn_phases_waiting{class="useless"} 28`,
		"chicoryturn_zones_evacuated 29", "chicoryturn_starts_withdrawn_total 30", `chicoryturn_refused_total{queue="q",reason="team"} 1`, "chicoryturn_estimate_age_seconds 31",
	} {
		if !strings.Contains("\n"+text.String(), "\n"+line+"\n") {
			t.Errorf("no line %q", line)
		}
	}
	is.True(!strings.Contains(text.String(), "chicoryturn_owning")) // nothing has been recorded
}

// BenchmarkTickMetrics measures what the metrics of one tick of an owner cost.
func BenchmarkTickMetrics(b *testing.B) {
	var m node.Meter
	counts, use := fleet.Counts{Starts: 1}, fleet.MemoryUse{Accepted: 1 << 20, AcceptedLimit: 1 << 25}
	b.ReportAllocs()
	for b.Loop() {
		counts.Starts++
		use.Accepted++
		m.Authority(300*time.Millisecond, 0)
		m.Placement(2 * time.Millisecond)
		m.Counts(counts)
		m.Memory(use)
		m.Queued(7, 2)
		m.Mailbox(3*time.Millisecond, 4)
	}
}

// BenchmarkCallMetrics measures what the metrics of one call to a worker cost.
func BenchmarkCallMetrics(b *testing.B) {
	var m node.Meter
	b.ReportAllocs()
	for b.Loop() {
		m.Call("hold", "ok", 30*time.Millisecond)
	}
}
