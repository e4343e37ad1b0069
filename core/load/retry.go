package load

import (
	"time"

	"chicoryturn/core"
)

const (
	// MinRetry is the shortest time after which a refused client should return. A return
	// may go through another VM, and most network partitions leave some VMs connected to the store.
	MinRetry = time.Second
	// MaxRetry is the longest such time. It is told to clients of a team whose jobs do not end.
	MaxRetry = time.Hour
	// maxReturn bounds the time by which the wait must fall, before it is spread: by then the work
	// in front has become useless, or the estimate is another one.
	maxReturn = 30 * time.Second
	// minSpread is the shortest time over which clients are spread. Retry-After has full seconds.
	minSpread = 3 * time.Second
)

// Case is a situation in which a VM does not serve a call.
type Case string

// The cases of refusals. Those of package record and entry that depend on nothing else get code,
// execution and time to return from answers alone.
const (
	// StoreUnreachable: this VM is cut off from the store.
	StoreUnreachable Case = "store-unreachable"
	// StoreClosed: the store has turned a job away until its time was over, and holds nothing of it.
	StoreClosed Case = "store-closed"
	// StoreSilent: the store has not answered a write, which may have taken effect.
	StoreSilent Case = "store-silent"
	// StoreUnread: the store has not answered a read for a client.
	StoreUnread Case = "store-unread"
	// WritesFull: too many jobs wait for the store, which is slow or busy.
	WritesFull Case = "writes-full"
	// BodiesFull: the bodies in process take too much memory.
	BodiesFull Case = "bodies-full"
	// Unconfirmed: the VM has no configuration, or was paused and has not confirmed it.
	Unconfirmed Case = "unconfirmed"
	// OwnerAway: no owner answers a question that only an owner can answer. Submissions do not
	// depend on it.
	OwnerAway Case = "owner-away"
	// MemoryFull: the team's jobs take as much of the owner's memory as they may.
	MemoryFull Case = "memory-full"
	// Behind: the job can't end while it is useful.
	Behind Case = "behind"
)

// answer is what a client is told in a case.
type answer struct {
	code      core.Code
	execution core.Execution
	// retry is the time to return; 0 if the decision itself gives it, or if the call must be repeated
	// to learn what has become of it.
	retry time.Duration
}

var answers = map[Case]answer{
	StoreUnreachable: {core.CodeStoreUnavailable, core.NotExecuted, MinRetry},
	StoreClosed:      {core.CodeStoreUnavailable, core.NotExecuted, MinRetry},
	StoreSilent:      {core.CodeStoreUnavailable, core.ExecutionUnknown, 0},
	StoreUnread:      {core.CodeStoreUnavailable, core.NotExecuted, MinRetry},
	WritesFull:       {core.CodeBusy, core.NotExecuted, MinRetry},
	BodiesFull:       {core.CodeBusy, core.NotExecuted, MinRetry},
	Unconfirmed:      {core.CodeConfigUnconfirmed, core.NotExecuted, MinRetry},
	OwnerAway:        {core.CodeNoOwner, core.NotExecuted, MinRetry},
	MemoryFull:       {core.CodeOverLimit, core.NotExecuted, 0},
	Behind:           {core.CodeOverload, core.NotExecuted, 0},
}

// Cases returns all cases.
func Cases() []Case {
	return []Case{StoreUnreachable, StoreClosed, StoreSilent, StoreUnread, WritesFull, BodiesFull, Unconfirmed, OwnerAway, MemoryFull, Behind}
}

// Refuse returns the refusal of a call in a case.
func (c Case) Refuse(err error, format string, args ...any) *core.RefusalError {
	a := answers[c]
	r := core.Refuse(a.code, format, args...)
	r.Execution, r.RetryAfter, r.Err = a.execution, a.retry, err
	return r
}

// RefuseFor is Refuse with a time to return that the decision has given.
func (c Case) RefuseFor(retry time.Duration, format string, args ...any) *core.RefusalError {
	r := c.Refuse(nil, format, args...)
	r.RetryAfter = retry
	return r
}
