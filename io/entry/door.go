package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/load"
)

// bodiesDivisor is the part of the memory limit, as its divisor, for the bodies that are being
// processed. Decoded and encoded again, they take about three times as much.
const bodiesDivisor = 16

// maxFinds bounds the reads that look at the same time for jobs of refused calls.
const maxFinds = 4

// door shares a VM's decisions on which jobs are admitted among its traffic goroutines.
type door struct {
	mu        sync.Mutex
	decisions *budget.Door
	// loads decides by what new jobs wait for; pauses counts those of the process that it knows.
	loads  *load.Door
	pauses uint64
	// bodies counts the bytes of the bodies that are being processed, at most maxBodies; 0
	// means no limit.
	bodies    *budget.Budget
	maxBodies int64
}

// reserve reports whether there is memory for a body of a team, and reserves it.
func (d *door) reserve(team core.Team, bytes int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.bodies.AdmitsOne(team, bytes) {
		return false
	}
	d.bodies.Charge(team, bytes)
	return true
}

func (d *door) release(team core.Team, bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bodies.Credit(team, bytes)
}

// setTeams divides the memory for bodies among a number of teams.
func (d *door) setTeams(teams int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bodies.Resize(d.maxBodies, teams)
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
		e.door.maxBodies = limit / bodiesDivisor
		e.door.setTeams(1)
	}
}

// ReserveBody reserves memory for the body of a submission until release is called. If too
// many bodies of the team are being processed, it refuses the submission, or reports that the job is
// stored already. Bodies that the store keeps waiting hold their memory, too.
func (e *Entry) ReserveBody(ctx context.Context, spec jobs.Spec, bytes int64) (release func(), stored bool, err error) {
	if e.door.reserve(spec.Team, bytes) {
		return func() { e.door.release(spec.Team, bytes) }, false, nil
	}
	r := load.BodiesFull.Refuse(nil, "the submissions of team %s in process take too much memory", spec.Team)
	err = e.track("submit", spec.ID, func() (string, error) { return e.refuseUnlessStored(ctx, spec, r) })
	return nil, err == nil, err
}

// SetRecord updates what the VM knows of the memory that accepted jobs take, and of what new ones
// wait for, from a new version of the ownership record.
func (e *Entry) SetRecord(rec elect.Record) {
	e.door.mu.Lock()
	defer e.door.mu.Unlock()
	e.door.decisions.Observe(rec.Held)
	if rec.Holder == "" {
		rec.Load = nil
	}
	e.door.loads.Observe(e.confirmation.now(), rec.Load)
}

// loadOf returns what the decision on a job depends on, beside the load.
func (e *Entry) loadOf(spec *jobs.Spec) load.Job {
	q := e.policy.Load().Queues[spec.Queue]
	if q == nil {
		return load.Job{ID: spec.ID}
	}
	return load.NewJob(spec, q.Service, fleet.UsefulFor(spec, q))
}

// predict decides whether a job can end while it is useful, and adds what the decision rests on
// to the fields of its log line.
func (e *Entry) predict(j load.Job, fields logrus.Fields) load.Decision {
	d := e.door.predict(e.confirmation, j)
	if d.Reason == load.NoEstimate {
		return d
	}
	e.meter.EstimateAge(d.Age)
	fields["estimate"], fields["age"] = string(d.Reason), d.Age.Round(time.Millisecond).String()
	if d.Reason != load.Stale {
		fields["wait"], fields["slack"] = d.Wait.Round(time.Millisecond).String(), d.Slack.Round(time.Millisecond).String()
	}
	return d
}

func (d *door) predict(c *confirmation, j load.Job) load.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := c.pauses.Load(); n != d.pauses {
		d.pauses = n
		d.loads.Paused()
	}
	return d.loads.Decide(c.now(), time.Now(), j)
}

func (d *door) accepted(j load.Job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loads.Accepted(j)
}

// refuseUseless refuses a job that can't end while it is useful, unless it has been stored by an
// earlier call.
func (e *Entry) refuseUseless(ctx context.Context, spec jobs.Spec, d load.Decision) (string, error) {
	r := load.Behind.RefuseFor(d.Retry, "the job would start in %s at the earliest, and its end is useful if it starts in %s", d.Wait.Round(time.Millisecond), d.Slack.Round(time.Millisecond))
	result, err := e.refuseUnlessStored(ctx, spec, r)
	if errors.Is(err, r) {
		e.meter.Refused(spec.Queue, d.Reason)
	}
	return result, err
}

// refuseOverBudget refuses a job for which the fleet has no memory until the time retry has
// passed, unless it has been stored by an earlier call.
func (e *Entry) refuseOverBudget(ctx context.Context, spec jobs.Spec, retry time.Duration) (string, error) {
	r := load.MemoryFull.RefuseFor(retry, "the accepted jobs of team %s take as much memory as it may use", spec.Team)
	return e.refuseUnlessStored(ctx, spec, r)
}

// refuseUnlessStored returns a refusal unless the job has been stored by an earlier call. It
// limits the reads of a flood of refused calls, which others need, too.
func (e *Entry) refuseUnlessStored(ctx context.Context, spec jobs.Spec, r *core.RefusalError) (string, error) {
	unknown := func(err error) error {
		return load.StoreSilent.Refuse(err, "the store does not tell whether an earlier call has stored the job")
	}
	select {
	case e.finds <- struct{}{}:
		defer func() { <-e.finds }()
	case <-ctx.Done():
		return "", unknown(ctx.Err())
	}
	stored, found, err := e.records.Find(ctx, spec)
	var refusal *core.RefusalError
	switch {
	case errors.As(err, &refusal):
		return "", err
	case err != nil:
		return "", unknown(err)
	case found:
		e.link.JobAccepted(stored, false)
		return "accepted", nil
	}
	return "", r
}
