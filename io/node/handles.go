package node

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"chicoryturn/core/rank"
)

// Looking a metric up takes its name to be formatted, or a lock, which costs more than to record
// the value. The functions below look it up once, on the first use, so that a process shows only
// what it records.

func counter(name string) func() *metrics.Counter {
	return sync.OnceValue(func() *metrics.Counter { return metrics.GetOrCreateCounter(name) })
}

func gauge(name string) func() *metrics.Gauge {
	return sync.OnceValue(func() *metrics.Gauge { return metrics.GetOrCreateGauge(name, nil) })
}

func histogram(name string) func() *metrics.Histogram {
	return sync.OnceValue(func() *metrics.Histogram { return metrics.GetOrCreateHistogram(name) })
}

// family holds the metrics of one name by their labels.
type family[L comparable, M any] struct {
	create func(labels L) M

	mu     sync.RWMutex
	metric map[L]M
}

func newFamily[L comparable, M any](create func(labels L) M) *family[L, M] {
	return &family[L, M]{create: create, metric: map[L]M{}}
}

// with returns the metric with some labels.
func (f *family[L, M]) with(labels L) M {
	f.mu.RLock()
	m, ok := f.metric[labels]
	f.mu.RUnlock()
	if ok {
		return m
	}
	m = f.create(labels)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.metric[labels] = m
	return m
}

// callLabels are the labels of a call.
type callLabels struct{ call, result string }

// callMetrics are the metrics of a call.
type callMetrics struct {
	total   *metrics.Counter
	seconds *metrics.Histogram
}

var calls = newFamily(func(l callLabels) callMetrics {
	return callMetrics{
		metrics.GetOrCreateCounter(fmt.Sprintf(`chicoryturn_calls_total{call=%q,result=%q}`, l.call, l.result)),
		metrics.GetOrCreateHistogram(fmt.Sprintf(`chicoryturn_call_seconds{call=%q}`, l.call)),
	}
})

// The metrics of a tick, of a write and of a burst of messages.
var (
	starts     = counter("chicoryturn_board_starts_total")
	refused    = counter("chicoryturn_board_refused_total")
	unanswered = counter("chicoryturn_board_unanswered_total")
	ends       = counter("chicoryturn_board_ends_total")
	failures   = counter("chicoryturn_board_failures_total")
	lapses     = counter("chicoryturn_board_lapses_total")
	stops      = counter("chicoryturn_board_stops_total")
	asks       = counter("chicoryturn_board_asks_total")
	rejected   = counter("chicoryturn_board_rejected_total")

	acceptedBytes = gauge(`chicoryturn_jobs_bytes{part="accepted"}`)
	builtBytes    = gauge(`chicoryturn_jobs_bytes{part="built"}`)
	placedBytes   = gauge(`chicoryturn_jobs_bytes{part="placed"}`)
	advisedBytes  = gauge(`chicoryturn_jobs_bytes{part="advice"}`)
	acceptedLimit = gauge(`chicoryturn_jobs_limit_bytes{part="accepted"}`)
	builtLimit    = gauge(`chicoryturn_jobs_limit_bytes{part="built"}`)
	placedLimit   = gauge(`chicoryturn_jobs_limit_bytes{part="placed"}`)
	advisedLimit  = gauge(`chicoryturn_jobs_limit_bytes{part="advice"}`)
	jobsParked    = gauge("chicoryturn_jobs_parked")
	teamsWaiting  = gauge("chicoryturn_teams_waiting_for_memory")

	phasesWaiting = [rank.Classes]func() *metrics.Gauge{
		rank.OnTime:  gauge(`chicoryturn_phases_waiting{class="on-time"}`),
		rank.Late:    gauge(`chicoryturn_phases_waiting{class="late"}`),
		rank.Useless: gauge(`chicoryturn_phases_waiting{class="useless"}`),
	}

	ordersQueued    = gauge("chicoryturn_orders_queued")
	ordersOneWorker = gauge("chicoryturn_orders_queued_one_worker")
	recordAgeGauge  = gauge("chicoryturn_record_age_seconds")
	unreachedGauge  = gauge("chicoryturn_workers_unreached")
	planSeconds     = histogram("chicoryturn_plan_seconds")

	recordedRows  = counter("chicoryturn_recorded_rows_total")
	recordSeconds = histogram("chicoryturn_record_seconds")

	mailboxLag      = metrics.NewHistogram("chicoryturn_mailbox_lag_seconds")
	mailboxMessages = metrics.NewGauge("chicoryturn_mailbox_messages", nil)
)
