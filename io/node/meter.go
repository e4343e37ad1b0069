package node

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chicoryturn/core"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/load"
	"chicoryturn/core/rank"
)

// estimateAge is updated for each submission.
var estimateAge = metrics.NewGauge("chicoryturn_estimate_age_seconds", nil)

// Meter writes to the process's metrics.
type Meter struct{}

// Call counts one answered call, from a client or to a worker, and its
// duration.
func (Meter) Call(kind, result string, took time.Duration) {
	m := calls.with(callLabels{kind, result})
	m.total.Inc()
	m.seconds.Update(took.Seconds())
}

// Refused counts a job that was refused since it can't end while it is useful.
func (Meter) Refused(q core.Queue, reason load.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`chicoryturn_refused_total{queue=%q,reason=%q}`, q, reason)).Inc()
}

// EstimateAge sets the age of the estimate that the last decision on a job rests on.
func (Meter) EstimateAge(age time.Duration) { estimateAge.Set(age.Seconds()) }

// Counts sets the totals of the owner's decisions.
func (Meter) Counts(c fleet.Counts) {
	starts().Set(c.Starts)
	refused().Set(c.Refused)
	unanswered().Set(c.Unanswered)
	ends().Set(c.Ends)
	failures().Set(c.Failures)
	lapses().Set(c.Lapses)
	stops().Set(c.Stops)
	asks().Set(c.Asks)
	rejected().Set(c.Rejected)
}

// Queued sets how many starts and stops wait for their turn.
func (Meter) Queued(total, longest int) {
	ordersQueued().Set(float64(total))
	ordersOneWorker().Set(float64(longest))
}

// Record counts one write of the owner and its duration.
func (Meter) Record(rows int, took time.Duration) {
	recordedRows().Add(rows)
	recordSeconds().Update(took.Seconds())
}

// Placement records the duration of one placement pass.
func (Meter) Placement(took time.Duration) { planSeconds().Update(took.Seconds()) }

// Memory sets what the jobs of the fleet take of the owner's memory.
func (Meter) Memory(use fleet.MemoryUse) {
	acceptedBytes().Set(float64(use.Accepted))
	builtBytes().Set(float64(use.Built))
	placedBytes().Set(float64(use.Placed))
	advisedBytes().Set(float64(use.Advised))
	acceptedLimit().Set(float64(use.AcceptedLimit))
	builtLimit().Set(float64(use.BuiltLimit))
	placedLimit().Set(float64(use.PlacedLimit))
	advisedLimit().Set(float64(use.AdvisedLimit))
	jobsParked().Set(float64(use.Parked))
	teamsWaiting().Set(float64(use.Waiting))
}

// Waiting sets how many phases wait for room.
func (Meter) Waiting(counts [rank.Classes]int) {
	for class, n := range counts {
		phasesWaiting[class]().Set(float64(n))
	}
}

// Claim counts one claim of the ownership record.
func (Meter) Claim(reason elect.ClaimReason) {
	metrics.GetOrCreateCounter(fmt.Sprintf("chicoryturn_claims_total{because=%q}", reason)).Inc()
}

// Yield counts one time that this process has given up the ownership record.
func (Meter) Yield(reason elect.YieldReason) {
	metrics.GetOrCreateCounter(fmt.Sprintf("chicoryturn_yields_total{because=%q}", reason)).Inc()
}

// Evacuated sets how many zones are evacuated.
func (Meter) Evacuated(zones int) {
	metrics.GetOrCreateGauge("chicoryturn_zones_evacuated", nil).Set(float64(zones))
}

// Withdrawn counts starts that were withdrawn as their workers' zone was evacuated.
func (Meter) Withdrawn(starts int) {
	metrics.GetOrCreateCounter("chicoryturn_starts_withdrawn_total").Add(starts)
}

// Authority sets on what the owner's orders rest.
func (Meter) Authority(recordAge time.Duration, unreached int) {
	recordAgeGauge().Set(recordAge.Seconds())
	unreachedGauge().Set(float64(unreached))
}

// Mailbox records the lag of the control goroutine and sets the length of its mailbox.
func (Meter) Mailbox(lag time.Duration, queued int) {
	mailboxLag.Update(lag.Seconds())
	mailboxMessages.Set(float64(queued))
}

// SetOwning sets whether this process owns the fleet.
func (Meter) SetOwning(isOwner bool) {
	v := 0.0
	if isOwner {
		v = 1
	}
	metrics.GetOrCreateGauge("chicoryturn_owning", nil).Set(v)
}
