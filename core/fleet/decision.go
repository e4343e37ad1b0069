package fleet

import (
	"time"

	"chicoryturn/core"
)

// Counts are running totals for metrics.
type Counts struct {
	Starts, Refused, Unanswered, Ends, Failures, Cuts, Lapses, Stops, Asks uint64
}

// Decision is one decision for the log.
type Decision struct {
	Job    core.JobID
	Event  string
	Worker core.WorkerID
	Task   string
	Run    uint64
	Wait   time.Duration
	Reason string
}
