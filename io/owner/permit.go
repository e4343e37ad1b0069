package owner

import (
	"sync/atomic"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/io/clock"
)

// permit is the permission to send one start. The goroutine that sends the start takes it
// right before the order leaves; the control goroutine withdraws it when the decision no
// longer holds. Only one of them succeeds.
type permit struct {
	worker core.WorkerID
	run    uint64
	// decided is the boot time of the decision.
	decided time.Duration
	// used is set once the permit is taken or withdrawn, delay then holds how long after
	// the decision, in nanoseconds, it was taken.
	used  atomic.Bool
	delay atomic.Int64
}

// take reports whether the start may be sent now.
func (p *permit) take() bool {
	delay := clock.BootTime() - p.decided
	if delay > fleet.MaxStartAge || !p.used.CompareAndSwap(false, true) {
		return false
	}
	p.delay.Store(int64(delay))
	return true
}

// withdraw reports whether the start has certainly not been sent and will not be.
func (p *permit) withdraw() bool { return p.used.CompareAndSwap(false, true) }

// permitOrder gives a start its permit, and withdraws those of earlier starts of the task. A stop
// of a run withdraws that run's.
func (o *Owner) permitOrder(ord fleet.Order, decided time.Duration) {
	last := o.permits[ord.Task]
	if last != nil && (ord.Kind == fleet.OrderStart || ord.Kind == fleet.OrderStop && last.run == ord.Run) {
		last.withdraw()
	}
	if ord.Kind == fleet.OrderStart {
		o.permits[ord.Task] = &permit{worker: ord.Worker, run: ord.Run, decided: decided}
	}
}

// withdrawPermits withdraws all permits, as the process no longer owns the fleet.
func (o *Owner) withdrawPermits() {
	for _, p := range o.permits {
		p.withdraw()
	}
	clear(o.permits)
}
