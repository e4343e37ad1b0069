package owner

import (
	"context"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
	"chicoryturn/io/loop"
)

// State returns the state of a job as clients see it. IsOwner reports whether this
// process owns the fleet, known whether its scheduler has the job.
func (o *Owner) State(ctx context.Context, id core.JobID) (state jobs.State, known, isOwner bool, err error) {
	s, err := query(ctx, o, func(o *Owner, _ time.Time) jobState {
		if o.scheduler == nil {
			return jobState{}
		}
		st, ok := o.scheduler.State(id)
		return jobState{st, ok, true}
	})
	return s.state, s.known, s.isOwner, err
}

// Pending returns how many jobs of a queue wait for their first start. IsOwner
// reports whether this process owns the fleet.
func (o *Owner) Pending(ctx context.Context, q core.Queue) (n int, isOwner bool, err error) {
	n, err = query(ctx, o, func(o *Owner, _ time.Time) int {
		if o.scheduler == nil {
			return -1
		}
		return o.scheduler.Pending()[q]
	})
	return max(n, 0), n >= 0, err
}

// query runs f on the control goroutine and returns its result.
func query[R any](ctx context.Context, o *Owner, f func(o *Owner, now time.Time) R) (R, error) {
	return loop.Ask(ctx, o.loop, func(reply chan<- R) loop.Message {
		return newAction(func(o *Owner, now time.Time) { reply <- f(o, now) })
	})
}

// JobAccepted adds a stored job to the scheduler. Requester names the VM that has an
// advice request for the job's first phase in flight; it is empty if there is none.
func (o *Owner) JobAccepted(spec jobs.Spec, requester string) {
	o.post(func(o *Owner, now time.Time) {
		if o.scheduler == nil || len(o.validSpecs([]jobs.Spec{spec})) == 0 {
			return
		}
		o.scheduler.Accept(now, spec)
		if o.yieldToLaterOwner(now) {
			return
		}
		if id := (jobs.PhaseID{Job: spec.ID}); requester != "" {
			cost := o.scheduler.AdvicePending(now, id)
			if s := o.peers.byName[requester]; s != nil && cost > 0 {
				s.addRequest(now, id, cost)
			}
		}
		o.tickSoon(now)
	})
}

// JobCancelled cancels a job whose cancellation is stored.
func (o *Owner) JobCancelled(id core.JobID) {
	o.post(func(o *Owner, now time.Time) {
		if o.scheduler != nil {
			o.scheduler.Cancel(now, id)
			o.tickSoon(now)
		}
	})
}

// Replied records that a question of another VM was answered, or given up, a time after it had been
// received.
func (o *Owner) Replied(took time.Duration) {
	o.post(func(o *Owner, now time.Time) { o.election.Replied(now, took) })
}
