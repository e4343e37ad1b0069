package fleet

import (
	"time"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
)

// OrderKind is the kind of a call to a worker.
type OrderKind uint8

// The kinds of calls to a worker.
const (
	// OrderStart starts a run.
	OrderStart OrderKind = iota
	// OrderStop stops a run, or prevents it if it has not started.
	OrderStop
	// OrderHeartbeat renews the lease of all runs on a worker and reads its
	// lists.
	OrderHeartbeat
)

// Order is one call to a worker.
type Order struct {
	Kind   OrderKind
	Worker core.WorkerID
	// Info holds the address and the incarnation of the worker. A start must reach no other
	// incarnation.
	Info WorkerInfo
	// Epoch fences off the orders of earlier owners.
	Epoch core.Epoch

	Task jobs.TaskID
	Run  uint64
	// Payload, Checkpoint and Ticket belong to a start. Checkpoint is the one
	// to resume from, if any.
	Payload    string
	Checkpoint string
	Ticket     string

	// LeaseUntil is the end of the lease on the worker's clock; 0 requests
	// none.
	LeaseUntil time.Duration
	// AckedEnd acknowledges all ends up to this number, whose progress is
	// stored. It must reach no other incarnation than Info.Incarnation.
	AckedEnd uint64
	// Wait is how long a worker may delay its answer to a heartbeat until a run
	// ends.
	Wait time.Duration
}

// Reply is the outcome of a start or stop.
type Reply uint8

// The outcomes of a start or stop. Only ReplyUnanswered leaves open whether the
// worker will still carry out the call.
const (
	ReplyOK Reply = iota
	// ReplyUnanswered means that no answer arrived.
	ReplyUnanswered
	// ReplyFenced means that the worker has seen a later epoch.
	ReplyFenced
	// ReplyStaleRun means that the worker has already ended or stopped this run
	// or a later one of the task.
	ReplyStaleRun
	// ReplyLeaseExpired means that the order's lease had expired on arrival.
	ReplyLeaseExpired
	// ReplyNoRoom means that the worker has no room for the task.
	ReplyNoRoom
	// ReplyBadTicket means that the ticket is invalid or has expired.
	ReplyBadTicket
	// ReplyMalformed means that the worker does not understand the order.
	ReplyMalformed
	// ReplyUnhealthy means that the worker is unhealthy and did not carry out
	// the order.
	ReplyUnhealthy
	// ReplyOtherIncarnation means that another incarnation of the worker
	// answered.
	ReplyOtherIncarnation
	// ReplyNotSent means that the order certainly never left this process.
	ReplyNotSent
)

var replyNames = [...]string{"done", "no-answer", "fenced", "old-run", "late", "no-room", "ticket", "bad-order", "unhealthy", "other-incarnation", "not-sent"}

// String returns the name used in logs.
func (r Reply) String() string { return replyNames[r] }

// EndKind is how a run ended on its worker.
type EndKind string

// The ways in which a run ends.
const (
	EndDone   EndKind = "done"
	EndFailed EndKind = "failed"
	// EndOther stands for all other ends: the run was stopped, its lease
	// lapsed, or it ended because of other members of its gang.
	EndOther EndKind = "other"
)

// ActiveRun is one active run on a worker.
type ActiveRun struct {
	Task jobs.TaskID
	Run  uint64
	// Checkpoint is the newest checkpoint, Percent the progress.
	Checkpoint string
	Percent    int
	// Load is the latency of a serving task in milliseconds, or the processor
	// time of any other task in thousandths of a core.
	Load int
}

// EndedRun is an end that a worker lists until it has been acknowledged.
type EndedRun struct {
	// Number grows by one with each end of one incarnation.
	Number uint64
	Task   jobs.TaskID
	Run    uint64
	Kind   EndKind
	// Reason is the worker's description of how the run ended.
	Reason     string
	Checkpoint string
}

// RunLists is a worker's answer to a heartbeat: its active and ended runs.
type RunLists struct {
	// Clock is the worker's own monotonic clock.
	Clock time.Duration
	// Incarnation identifies the incarnation of the worker.
	Incarnation time.Time
	// Active holds all active runs, Ended the oldest of the ends that have not been
	// acknowledged. More is set unless these are certainly all of them.
	Active []ActiveRun
	Ended  []EndedRun
	More   bool
}

// addOrder adds a call and fills in the worker's address and the lease.
func (s *Scheduler) addOrder(o Order) {
	w := s.workers[o.Worker]
	if w == nil {
		return
	}
	o.Info, o.Epoch = w.info, s.epoch
	if o.Kind == OrderStart {
		o.LeaseUntil = w.extendLease()
	}
	s.orders = append(s.orders, o)
}
