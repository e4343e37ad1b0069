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

// WithMemory sets the memory limit of the process in bytes, which bounds the accepted jobs
// until an owner tells what it holds.
func WithMemory(limit int64) Option {
	return func(e *Entry) { e.door.decisions = budget.NewDoor(fleet.AcceptedLimit(limit)) }
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
