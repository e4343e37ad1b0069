package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
)

// bodiesDivisor is the part of the memory limit, as its divisor, for the bodies that are being
// processed. Decoded and encoded again, they take about three times as much.
const bodiesDivisor = 16

// door shares a VM's decisions on which jobs are admitted among its traffic goroutines.
type door struct {
	mu        sync.Mutex
	decisions *budget.Door
}

func (d *door) admit(spec *jobs.Spec) (retry time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.decisions.Admit(spec.Team, spec.Bytes())
}

// WithMemory sets the memory limit of the process in bytes. It bounds the bodies that are
// being processed, and the accepted jobs until an owner tells what it holds.
func WithMemory(limit int64) Option {
	return func(e *Entry) {
		e.door.decisions = budget.NewDoor(fleet.AcceptedLimit(limit))
		e.maxBodies = limit / bodiesDivisor
	}
}

// ReserveBody reserves memory for the body of a submission until release is called. It
// refuses the submission if too many bodies are being processed: those that the store keeps
// waiting hold their memory, too.
func (e *Entry) ReserveBody(bytes int64) (release func(), err error) {
	if held := e.bodies.Add(bytes); e.maxBodies > 0 && held > e.maxBodies {
		e.bodies.Add(-bytes)
		r := core.Refuse(core.CodeBusy, "the submissions in process take %d bytes", held-bytes)
		r.RetryAfter = clientRetryAfter
		return nil, r
	}
	return func() { e.bodies.Add(-bytes) }, nil
}

// SetRecord updates what the VM knows of the memory that accepted jobs take, from a new
// version of the ownership record.
func (e *Entry) SetRecord(rec elect.Record) {
	e.door.mu.Lock()
	defer e.door.mu.Unlock()
	e.door.decisions.Observe(rec.Held)
}

// refuseOverBudget refuses a job for which the fleet has no memory, unless it has been
// stored by an earlier call.
func (e *Entry) refuseOverBudget(ctx context.Context, spec jobs.Spec, retry time.Duration) (string, error) {
	stored, found, err := e.records.Find(ctx, spec)
	var refusal *core.RefusalError
	switch {
	case errors.As(err, &refusal):
		return "", err
	case err != nil:
		return "", core.RefuseUnknown(core.CodeStoreUnavailable, err, "the store does not tell whether an earlier call has stored the job")
	case found:
		e.link.JobAccepted(stored, false)
		return "accepted", nil
	}
	r := core.Refuse(core.CodeOverLimit, "the accepted jobs of team %s take as much memory as it may use", spec.Team)
	r.RetryAfter = retry
	return "", r
}
