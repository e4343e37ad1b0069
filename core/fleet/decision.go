package fleet

import (
	"time"

	"chicoryturn/core"
)

// Counts are running totals for metrics.
type Counts struct {
	Starts, Refused, Unanswered, Ends, Failures, Cuts, Lapses, Stops, Asks uint64
	// Rejected counts the jobs whose progress the store does not take.
	Rejected uint64
}

// Events of decisions that link the orders of several owners.
const (
	// EventPlaced is the start of a run, EventRunEnded and the worker's word for it the end
	// of one.
	EventPlaced   = "placed"
	EventRunEnded = "run ended "
	// EventAcked means that a worker has taken the acknowledgement of ends,
	// EventAckUnconfirmed that it is not known whether it has.
	EventAcked          = "ends acknowledged"
	EventAckUnconfirmed = "acknowledgement not confirmed"
	// EventReadAgain means that a job has come in from a state that may be older than its
	// end.
	EventReadAgain = "job has come in again; reading its rows"
	// EventUnnamed means that the configuration does not name a queue with jobs any more, and
	// EventNamed that it does again.
	EventUnnamed = "queue left the configuration; its jobs go on"
	EventNamed   = "queue is in the configuration again"
	// EventRejected means that the store does not take the progress of a job.
	EventRejected = "progress cannot be stored"
	// EventIncarnation means that a worker has started again, as its answer or its entry shows,
	// EventEntry that the list has its entry of an incarnation for the first time.
	EventIncarnation = "worker has a new incarnation"
	EventEntry       = "entry of a new incarnation"
)

// Decision is one decision for the log.
type Decision struct {
	Job    core.JobID
	Event  string
	Worker core.WorkerID
	Task   string
	Run    uint64
	Wait   time.Duration
	Reason string

	// Epoch is the owner's, Confirmed the age of the last confirmation of its ownership
	// record when the order was given or the decision made.
	Epoch     core.Epoch
	Confirmed time.Duration
	// Class says of a phase that waits whether its job can still be on time; see rank.Class.
	Class string
	// LastEnd is the number of a run's end on its worker, or of the last of the ends that
	// an acknowledgement covers from FirstEnd on; both are 0 for other decisions.
	FirstEnd, LastEnd uint64
	// Incarnation is the one of the worker that the decision goes by; zero if it goes by none.
	Incarnation time.Time
	// Count counts workers or tasks, and Workers names the first workers of them.
	Count   int
	Workers []core.WorkerID
}
