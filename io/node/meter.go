package node

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
)

// The metrics of the mailbox are updated for each burst of messages.
var (
	mailboxLag      = metrics.NewHistogram("chicoryturn_mailbox_lag_seconds")
	mailboxMessages = metrics.NewGauge("chicoryturn_mailbox_messages", nil)
)

// meter writes to the process's metrics.
type meter struct{}

// Call counts one answered call, from a client or to a worker, and its
// duration.
func (meter) Call(kind, result string, took time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`chicoryturn_calls_total{call=%q,result=%q}`, kind, result)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`chicoryturn_call_seconds{call=%q}`, kind)).Update(took.Seconds())
}

// Counts sets the totals of the owner's decisions.
func (meter) Counts(c fleet.Counts) {
	for name, n := range map[string]uint64{
		"starts": c.Starts, "refused": c.Refused, "unanswered": c.Unanswered, "ends": c.Ends, "failures": c.Failures,
		"lapses": c.Lapses, "stops": c.Stops, "asks": c.Asks, "rejected": c.Rejected,
	} {
		metrics.GetOrCreateCounter(fmt.Sprintf("chicoryturn_board_%s_total", name)).Set(n)
	}
}

// Queued sets how many starts and stops wait for their turn.
func (meter) Queued(total, longest int) {
	metrics.GetOrCreateGauge("chicoryturn_orders_queued", nil).Set(float64(total))
	metrics.GetOrCreateGauge("chicoryturn_orders_queued_one_worker", nil).Set(float64(longest))
}

// Record counts one write of the owner and its duration.
func (meter) Record(rows int, took time.Duration) {
	metrics.GetOrCreateCounter("chicoryturn_recorded_rows_total").Add(rows)
	metrics.GetOrCreateHistogram("chicoryturn_record_seconds").Update(took.Seconds())
}

// Placement records the duration of one placement pass.
func (meter) Placement(took time.Duration) {
	metrics.GetOrCreateHistogram("chicoryturn_plan_seconds").Update(took.Seconds())
}

// Memory sets what the jobs of the fleet take of the owner's memory.
func (meter) Memory(use fleet.MemoryUse) {
	for name, n := range map[string]int64{
		`chicoryturn_jobs_bytes{part="accepted"}`: use.Accepted, `chicoryturn_jobs_bytes{part="built"}`: use.Built, `chicoryturn_jobs_bytes{part="placed"}`: use.Placed, `chicoryturn_jobs_bytes{part="advice"}`: use.Advised,
		`chicoryturn_jobs_limit_bytes{part="accepted"}`: use.AcceptedLimit, `chicoryturn_jobs_limit_bytes{part="built"}`: use.BuiltLimit, `chicoryturn_jobs_limit_bytes{part="placed"}`: use.PlacedLimit, `chicoryturn_jobs_limit_bytes{part="advice"}`: use.AdvisedLimit,
		"chicoryturn_jobs_parked": int64(use.Parked), "chicoryturn_teams_waiting_for_memory": int64(use.Waiting),
	} {
		metrics.GetOrCreateGauge(name, nil).Set(float64(n))
	}
}

// Claim counts one claim of the ownership record.
func (meter) Claim(reason elect.ClaimReason) {
	metrics.GetOrCreateCounter(fmt.Sprintf("chicoryturn_claims_total{because=%q}", reason)).Inc()
}

// Yield counts one time that this process has given up the ownership record.
func (meter) Yield(reason elect.YieldReason) {
	metrics.GetOrCreateCounter(fmt.Sprintf("chicoryturn_yields_total{because=%q}", reason)).Inc()
}

// Evacuated sets how many zones are evacuated.
func (meter) Evacuated(zones int) {
	metrics.GetOrCreateGauge("chicoryturn_zones_evacuated", nil).Set(float64(zones))
}

// Withdrawn counts starts that were withdrawn as their workers' zone was evacuated.
func (meter) Withdrawn(starts int) {
	metrics.GetOrCreateCounter("chicoryturn_starts_withdrawn_total").Add(starts)
}

// Authority sets on what the owner's orders rest.
func (meter) Authority(recordAge time.Duration, unreached int) {
	metrics.GetOrCreateGauge("chicoryturn_record_age_seconds", nil).Set(recordAge.Seconds())
	metrics.GetOrCreateGauge("chicoryturn_workers_unreached", nil).Set(float64(unreached))
}

// Mailbox records the lag of the control goroutine and sets the length of its mailbox.
func (meter) Mailbox(lag time.Duration, queued int) {
	mailboxLag.Update(lag.Seconds())
	mailboxMessages.Set(float64(queued))
}

// SetOwning sets whether this process owns the fleet.
func (meter) SetOwning(isOwner bool) {
	v := 0.0
	if isOwner {
		v = 1
	}
	metrics.GetOrCreateGauge("chicoryturn_owning", nil).Set(v)
}
