package owner

import (
	"context"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/io/timer"
)

const (
	// answerSlack is how much longer than its wait for ended runs the answer to a heartbeat
	// may take before the heartbeat counts as failed.
	answerSlack = 500 * time.Millisecond
	// noWaitTimeout is the same time for a heartbeat that does not wait. Such a heartbeat
	// reads the lists of a worker that has not answered yet; the short time-out allows an
	// early retry if the answer is lost.
	noWaitTimeout = 350 * time.Millisecond
)

// heartbeatCall is a heartbeat without an answer. Only the control goroutine uses its fields.
type heartbeatCall struct {
	worker core.WorkerID
	epoch  core.Epoch
	cancel context.CancelFunc
	// overdue is set once the heartbeat counts as failed, ended once the call has ended.
	overdue, ended bool
}

// watchHeartbeat returns the context of the call, the call itself, and the wait after which it
// counts as failed. The call ends with the wait and the context.
func (o *Owner) watchHeartbeat(ctx context.Context, ord fleet.Order) (context.Context, *heartbeatCall, *timer.Wait[*heartbeatCall]) {
	ctx, cancel := context.WithCancel(ctx)
	c := &heartbeatCall{worker: ord.Worker, epoch: ord.Epoch, cancel: cancel}
	timeout := ord.Wait + answerSlack
	if ord.Wait == 0 {
		timeout = noWaitTimeout
	}
	return ctx, c, o.answerWaits.Start(timeout, c)
}

// heartbeatOverdue counts a heartbeat as failed. Its answer is awaited further, as an owner that
// is short of processor time or behind a full link reads answers late; of several such
// heartbeats to a worker only the first is kept.
func (o *Owner) heartbeatOverdue(now time.Time, c *heartbeatCall) {
	if c.ended {
		return
	}
	c.overdue = true
	if o.late[c.worker] == nil {
		o.late[c.worker] = c
	} else {
		c.cancel()
	}
	if o.scheduler != nil && o.scheduler.Epoch() == c.epoch {
		o.scheduler.HeartbeatFailed(now, c.worker)
		o.tickSoon(now)
	}
}

// heartbeatEnded records that a call has ended. It reports whether it has been counted as failed.
func (o *Owner) heartbeatEnded(c *heartbeatCall) (overdue bool) {
	c.ended = true
	if o.late[c.worker] == c {
		delete(o.late, c.worker)
	}
	return c.overdue
}
