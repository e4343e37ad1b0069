package fleet

import (
	"time"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
)

// OrderKind tells the calls to workers apart.
type OrderKind uint8

// The kinds of calls to a worker.
const (
	// OrderStart starts a run.
	OrderStart OrderKind = iota
	// OrderStop stops a run, and makes it impossible if it has not begun.
	OrderStop
	// OrderHeartbeat renews the lease of all that runs on a worker and reads its lists.
	OrderHeartbeat
)

// Order is one call to a worker.
type Order struct {
	Kind   OrderKind
	Worker core.WorkerID
	// Info is where and which incarnation of the worker is meant.
	Info WorkerInfo
	// Epoch fences the orders of earlier owners.
	Epoch core.Epoch

	Task jobs.TaskID
	Run  uint64
	// Payload, Checkpoint and Ticket belong to a start. Checkpoint is the one to
	// start from, if any.
	Payload    string
	Checkpoint string
	Ticket     string

	// LeaseUntil is the end of the lease on the worker's clock; 0 asks for none.
	LeaseUntil time.Duration
	// AckedEnd is the number of the newest end that is safe with the owner.
	AckedEnd uint64
	// Wait is how long a hold may wait for an end.
	Wait time.Duration
}

// Reply is the outcome of a start or stop.
type Reply uint8

// The outcomes of a start or stop. Only ReplyNone leaves it open whether the
// call is carried out later.
const (
	ReplyOK Reply = iota
	// ReplyUnanswered means that no answer came.
	ReplyUnanswered
	// ReplyFenced means that the worker knows a later owner.
	ReplyFenced
	// ReplyStaleRun means that the worker has ended or stopped this or a later run.
	ReplyStaleRun
	// ReplyLeaseExpired means that the lease of the order had ended.
	ReplyLeaseExpired
	// ReplyNoRoom means that the worker has no room for the task.
	ReplyNoRoom
	// ReplyBadTicket means that the ticket is not or no longer good.
	ReplyBadTicket
	// ReplyMalformed means that the worker does not understand the order.
	ReplyMalformed
	// ReplyUnhealthy means that an unhealthy worker has done nothing.
	ReplyUnhealthy
	// ReplyOtherIncarnation means that another incarnation of the worker has answered.
	ReplyOtherIncarnation
	// ReplyNotSent means that the order surely never left this process.
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
	// EndOther stands for all ends that are neither: stopped, lapsed, or ended
	// because of other members of a gang.
	EndOther EndKind = "other"
)

// ActiveRun is one run on a worker.
type ActiveRun struct {
	Task jobs.TaskID
	Run  uint64
	// Checkpoint is the newest checkpoint, Percent the progress.
	Checkpoint string
	Percent    int
	// Load is the latency of a serving task in milliseconds, or the processor
	// time of any other in thousandths of a core.
	Load int
}

// EndedRun is one end that a worker lists until it has been acknowledged.
type EndedRun struct {
	// Number grows by one with each end of one incarnation.
	Number uint64
	Task   jobs.TaskID
	Run    uint64
	Kind   EndKind
	// Reason is the worker's own word for how the run ended.
	Reason     string
	Checkpoint string
}

// RunLists is what a worker answers to a hold.
type RunLists struct {
	// Clock is the worker's own steady clock.
	Clock time.Duration
	// Incarnation marks the incarnation of the worker.
	Incarnation time.Time
	// Active holds all that runs there; Ended may hold only the first part of
	// what has not been acknowledged.
	Active []ActiveRun
	Ended  []EndedRun
}

// addOrder adds a call; the worker's address and the lease are filled in.
func (b *Scheduler) addOrder(o Order) {
	w := b.workers[o.Worker]
	if w == nil {
		return
	}
	o.Info, o.Epoch = w.info, b.epoch
	if o.Kind == OrderStart {
		o.LeaseUntil = w.extendLease()
	}
	b.orders = append(b.orders, o)
}
