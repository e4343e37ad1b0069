package board

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
	// OrderHold renews the lease of all that runs on a worker and reads its lists.
	OrderHold
)

// Order is one call to a worker.
type Order struct {
	Kind   OrderKind
	Worker core.WorkerID
	// Host is where and which incarnation of the worker is meant.
	Host Host
	// Epoch fences the orders of earlier owners.
	Epoch core.Epoch

	Task jobs.TaskID
	Run  uint64
	// Text, Saved and Ticket belong to a start. Saved is the checkpoint to
	// start from, if any.
	Text   string
	Saved  string
	Ticket string

	// Until is the end of the lease on the worker's clock; 0 asks for none.
	Until time.Duration
	// Seen is the number of the newest end that is safe with the owner.
	Seen uint64
	// Wait is how long a hold may wait for an end.
	Wait time.Duration
}

// Reply is the outcome of a start or stop.
type Reply uint8

// The outcomes of a start or stop. Only ReplyNone leaves it open whether the
// call is carried out later.
const (
	ReplyDone Reply = iota
	// ReplyNone means that no answer came.
	ReplyNone
	// ReplyFenced means that the worker knows a later owner.
	ReplyFenced
	// ReplyOld means that the worker has ended or stopped this or a later run.
	ReplyOld
	// ReplyLate means that the lease of the order had ended.
	ReplyLate
	// ReplyRoom means that the worker has no room for the task.
	ReplyRoom
	// ReplyTicket means that the ticket is not or no longer good.
	ReplyTicket
	// ReplyBad means that the worker does not understand the order.
	ReplyBad
	// ReplyBusy means that an unhealthy worker has done nothing.
	ReplyBusy
	// ReplyStranger means that another incarnation of the worker has answered.
	ReplyStranger
	// ReplyUnsent means that the order surely never left this process.
	ReplyUnsent
)

var replyNames = [...]string{"done", "no-answer", "fenced", "old-run", "late", "no-room", "ticket", "bad-order", "unhealthy", "other-incarnation", "not-sent"}

// String returns the name used in logs.
func (r Reply) String() string { return replyNames[r] }

// End is how a run ended on its worker.
type End string

// The ways in which a run ends.
const (
	EndDone   End = "done"
	EndFailed End = "failed"
	// EndOther stands for all ends that are neither: stopped, lapsed, or ended
	// because of other members of a gang.
	EndOther End = "other"
)

// Active is one run on a worker.
type Active struct {
	Task jobs.TaskID
	Run  uint64
	// Saved is the newest checkpoint, Percent the progress.
	Saved   string
	Percent int
	// Load is the latency of a serving task in milliseconds, or the processor
	// time of any other in thousandths of a core.
	Load int
}

// Ended is one end that a worker lists until it has been acknowledged.
type Ended struct {
	// Number grows by one with each end of one incarnation.
	Number uint64
	Task   jobs.TaskID
	Run    uint64
	How    End
	// Word is the worker's own word for how the run ended.
	Word  string
	Saved string
}

// Lists is what a worker answers to a hold.
type Lists struct {
	// Clock is the worker's own steady clock.
	Clock time.Duration
	// Born marks the incarnation of the worker.
	Born time.Time
	// Active holds all that runs there; Ended may hold only the first part of
	// what has not been acknowledged.
	Active []Active
	Ended  []Ended
}

// order adds a call; the worker's address and the lease are filled in.
func (b *Board) order(o Order) {
	w := b.workers[o.Worker]
	if w == nil {
		return
	}
	o.Host, o.Epoch = w.host, b.epoch
	if o.Kind == OrderStart {
		o.Until = w.lease()
	}
	b.orders = append(b.orders, o)
}
