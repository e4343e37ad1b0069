// Package entry serves client calls on every VM. It checks the calls, stores jobs and
// cancellations, and notifies the owner. It reads the state of a job from the owner
// or, if the owner does not know it or does not answer, from the store.
package entry

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/load"
	"chicoryturn/core/policy"
	"chicoryturn/io/advice"
	"chicoryturn/io/clock"
)

const (
	// maxEarlyCost is the longest expected duration of an advice request that the VM
	// sends itself while it stores a new job.
	maxEarlyCost = 50 * time.Millisecond
	// maxEarlyDelay is the longest time that such a request may wait behind other
	// requests of this VM. The owner reaches an idle VM in about that time.
	maxEarlyDelay = 30 * time.Millisecond
	// cancelRetryDelay is the time before a failed write of a cancellation is retried.
	cancelRetryDelay = 100 * time.Millisecond
)

// RecordStore stores jobs and cancellations.
type RecordStore interface {
	// Accept stores a job and returns it as it is in the store, where an earlier call
	// may have put it.
	Accept(ctx context.Context, spec jobs.Spec) (jobs.Spec, error)
	// Find returns the stored job that a call repeats, if there is one.
	Find(ctx context.Context, spec jobs.Spec) (stored jobs.Spec, found bool, err error)
	Cancel(ctx context.Context, id core.JobID, now time.Time) error
	// State returns the state of a job from the stored rows alone.
	State(ctx context.Context, id core.JobID) (jobs.State, error)
	// Unreachable reports whether the store cannot be reached.
	Unreachable() bool
}

// OwnerLink connects the VM to the owner.
type OwnerLink interface {
	// JobAccepted notifies the owner of a stored job. AdvicePending reports that this VM
	// has an advice request for the job's first phase in flight.
	JobAccepted(spec jobs.Spec, advicePending bool)
	// ReportAdvice sends the result of an advice request to the owner.
	ReportAdvice(r advice.Result)
	// JobCancelled notifies the owner of a stored cancellation.
	JobCancelled(id core.JobID)
	// State returns the state of a job; known reports whether the owner has the job.
	State(ctx context.Context, id core.JobID) (state jobs.State, known bool, err error)
	// Pending returns how many jobs of a queue wait for their first start; known is
	// false if no owner answers.
	Pending(ctx context.Context, q core.Queue) (n int, known bool, err error)
	// Connected reports whether this VM can reach any other VM.
	Connected() bool
}

// Advisor sends advice requests of this VM to the placement advisor.
type Advisor interface {
	// Request queues a request and calls onResult with its result.
	Request(r fleet.AdviceRequest, onResult func(advice.Result))
	// Delay returns how long a new request would wait behind earlier ones.
	Delay() time.Duration
}

// Meter records metrics.
type Meter interface {
	Call(kind, result string, took time.Duration)
	// Refused counts a job that was refused since it can't end while it is useful.
	Refused(q core.Queue, reason load.Reason)
	// EstimateAge sets the age of the estimate that the last decision on a job rests on.
	EstimateAge(age time.Duration)
}

// Entry serves client calls. The traffic goroutines of a VM share its state, each part
// of which is replaced atomically as a whole.
type Entry struct {
	records RecordStore
	link    OwnerLink
	advisor Advisor
	meter   Meter
	log     *logrus.Entry

	policy       atomic.Pointer[policy.Policy]
	confirmation *confirmation
	workers      atomic.Pointer[[]fleet.WorkerInfo]
	// evacuated holds the zones whose workers no advice request names.
	evacuated atomic.Pointer[policy.Zones]
	// maxCapacity holds, for each service, the largest capacity of any of its workers
	// since the process started, separately for each resource. It includes workers
	// that are no longer listed, since they may return.
	maxCapacity atomic.Pointer[map[core.Service]core.Resources]
	// roomHint is the last room hint of the owner.
	roomHint atomic.Pointer[roomHint]
	// firstEpoch is the epoch of the first owner that may start a job accepted now.
	firstEpoch atomic.Uint64
	door       door
	// finds holds a value for each read of refuseUnlessStored.
	finds    chan struct{}
	draining atomic.Bool
	// inFlight counts the calls that have not been answered.
	inFlight atomic.Int64
}

// roomHint names the workers that had room when the owner sent it.
type roomHint struct {
	workers    core.Set[core.WorkerID]
	receivedAt time.Time
}

// SetRoomHint replaces the room hint of the owner.
func (e *Entry) SetRoomHint(ids []core.WorkerID) {
	e.roomHint.Store(&roomHint{core.NewSet(ids...), time.Now()})
}

// SetOwner updates the first epoch for new jobs from the ownership record as this VM
// last saw it. An owner that has resigned starts no jobs, so the first epoch is
// then that of its successor.
func (e *Entry) SetOwner(rec elect.Record) {
	first := rec.Epoch
	if rec.Holder == "" {
		first++
	}
	e.firstEpoch.Store(uint64(first))
}

// New returns an entry without a configuration. Authorize refuses all calls until
// SetPolicy is called.
func New(records RecordStore, link OwnerLink, advisor Advisor, meter Meter, log *logrus.Entry, opts ...Option) *Entry {
	e := &Entry{records: records, link: link, advisor: advisor, meter: meter, log: log, confirmation: newConfirmation(clock.BootTime), finds: make(chan struct{}, maxFinds)}
	e.door.decisions, e.door.bodies, e.door.loads = budget.NewDoor(0), budget.New(0, 1), load.NewDoor()
	for _, o := range opts {
		o(e)
	}
	return e
}

// SetPolicy replaces the configuration if p is newer.
func (e *Entry) SetPolicy(p *policy.Policy) {
	if old := e.policy.Load(); old == nil || p.Version > old.Version {
		e.policy.Store(p)
		e.door.setTeams(len(p.Teams) + 1)
	}
}

// SetEvacuated replaces the zones that the operator has evacuated.
func (e *Entry) SetEvacuated(zones policy.Zones) { e.evacuated.Store(&zones) }

// Version returns the version of the current configuration, or 0 if there is none.
func (e *Entry) Version() core.Version {
	if p := e.policy.Load(); p != nil {
		return p.Version
	}
	return 0
}

// SetWorkers replaces the worker list. Only one goroutine may call it.
func (e *Entry) SetWorkers(workers []fleet.WorkerInfo) {
	e.workers.Store(&workers)
	maxCapacity := map[core.Service]core.Resources{}
	if old := e.maxCapacity.Load(); old != nil {
		maps.Copy(maxCapacity, *old)
	}
	for _, w := range workers {
		maxCapacity[w.Service] = maxCapacity[w.Service].Max(w.Capacity)
	}
	e.maxCapacity.Store(&maxCapacity)
}

// Drain makes Ready report false, so that clients are sent to other VMs.
func (e *Entry) Drain() { e.draining.Store(true) }

// InFlight returns the number of calls that have not been answered.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// Ready reports whether the load balancer should send clients to this VM. A VM that
// can reach neither the store nor another VM is not ready. A VM that can reach another
// VM stays ready without the store, because an outage of the store affects all VMs
// alike.
func (e *Entry) Ready() bool {
	isolated := e.records.Unreachable() && !e.link.Connected()
	return !e.draining.Load() && e.policy.Load() != nil && !isolated
}

// MaxBody returns the size limit of a submission in bytes, or 0 if none is configured.
func (e *Entry) MaxBody() int64 {
	if p := e.policy.Load(); p != nil {
		return p.MaxBody
	}
	return 0
}

// Authorize returns the queue, the team and the remaining path of a call. It refuses calls
// without a queue, and calls without a valid key unless the queue is public.
func (e *Entry) Authorize(host, path, key string) (*policy.Queue, core.Team, string, error) {
	// The check comes first: a configuration that is loaded after it is confirmed.
	confirmed := e.confirmation.check()
	p := e.policy.Load()
	switch {
	case p == nil:
		return nil, "", "", unconfirmed("this VM has no configuration yet")
	case !confirmed:
		return nil, "", "", unconfirmed("this VM was paused and has not confirmed its configuration yet")
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	q, rest, ok := p.Route(host, path)
	if !ok {
		return nil, "", "", core.Refuse(core.CodeUnknownQueue, "no queue for %s%s in configuration version %d", host, path, p.Version)
	}
	t, known := p.TeamOf(key)
	switch {
	case known:
		return q, t.Name, rest, nil
	case q.Public:
		return q, "", rest, nil
	}
	return nil, "", "", core.Refuse(core.CodeBadKey, "the key belongs to no team in configuration version %d", p.Version)
}

// track runs f as a call of a kind, counts it and logs its outcome. It does not log
// successful reads of a job's state.
func (e *Entry) track(kind string, id core.JobID, f func() (string, error)) error {
	return e.trackWith(kind, id, func(logrus.Fields) (string, error) { return f() })
}

// trackWith is track for a call that adds fields to its log line.
func (e *Entry) trackWith(kind string, id core.JobID, f func(logrus.Fields) (string, error)) error {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	began := time.Now()
	fields := logrus.Fields{"job": id}
	result, err := f(fields)
	took := time.Since(began)
	if err != nil {
		result = "failed"
		var refusal *core.RefusalError
		if errors.As(err, &refusal) {
			result = string(refusal.Code)
		}
	}
	e.meter.Call(kind, result, took)
	fields["result"], fields["took"] = result, took.Round(time.Millisecond).String()
	l := e.log.WithFields(fields)
	if err != nil {
		l = l.WithError(err)
	}
	if kind != "state" || err != nil {
		l.Info(kind)
	}
	return err
}

// Submit stores a job, with the limit of its team in its terms, and notifies the owner. A nil
// error means that the job will be run.
func (e *Entry) Submit(ctx context.Context, spec jobs.Spec) error {
	return e.trackWith("submit", spec.ID, func(fields logrus.Fields) (string, error) {
		if err := spec.Validate(); err != nil {
			return "", core.Refuse(core.CodeBadInput, "%v", err)
		}
		if err := e.checkCapacity(&spec); err != nil {
			return "", err
		}
		job := e.loadOf(&spec)
		if d := e.predict(job, fields); d.Refused() {
			return e.refuseUseless(ctx, spec, d)
		}
		if retry, ok := e.door.admit(&spec); !ok {
			return e.refuseOverBudget(ctx, spec, retry)
		}
		early := e.requestEarlyAdvice(&spec)
		spec.FirstEpoch = core.Epoch(e.firstEpoch.Load())
		if t := e.policy.Load().Teams[spec.Team]; t != nil && spec.Terms != nil {
			spec.Terms.Limit = t.Limit
		}
		stored, err := e.records.Accept(ctx, spec)
		if err != nil {
			return "", err
		}
		if stored.Accepted.Equal(spec.Accepted) {
			// Otherwise an earlier call has stored it, and its work is counted already.
			e.door.accepted(job)
		}
		e.link.JobAccepted(stored, early != nil)
		if early != nil {
			go func() { e.link.ReportAdvice(<-early) }()
		}
		return "accepted", nil
	})
}

// checkCapacity refuses a job with a task that would not fit even on an idle worker of
// its service, or with a gang that cannot be started at once.
func (e *Entry) checkCapacity(spec *jobs.Spec) error {
	for i, ph := range spec.Phases {
		if ph.Gang && ph.Count > fleet.MaxGang {
			return core.Refuse(core.CodeTooLarge, "phase %d is a gang of %d tasks; the limit is %d", i, ph.Count, fleet.MaxGang)
		}
	}
	q, maxCapacity := e.policy.Load().Queues[spec.Queue], e.maxCapacity.Load()
	if q == nil || maxCapacity == nil {
		return nil
	}
	capacity, known := (*maxCapacity)[q.Service]
	for i, ph := range spec.Phases {
		if known && !ph.Need.FitsIn(capacity) {
			return core.Refuse(core.CodeTooLarge, "a task of phase %d needs more than the capacity of any worker of the service", i)
		}
	}
	return nil
}

// requestEarlyAdvice sends an advice request for the first phase of a new job, so that
// it is in flight while the job is stored. It sends none if the request would be
// long or would wait, or if no worker has room. The returned channel receives one
// result; it is nil if no request was sent.
func (e *Entry) requestEarlyAdvice(spec *jobs.Spec) <-chan advice.Result {
	p, workers := e.policy.Load(), e.workers.Load()
	q := p.Queues[spec.Queue]
	if q == nil || workers == nil || spec.Repeat > 0 {
		return nil
	}
	a, ok := q.Advisor.Get()
	if !ok || e.advisor.Delay() > maxEarlyDelay {
		return nil
	}
	hint := e.roomHint.Load()
	hintValid := hint != nil && time.Since(hint.receivedAt) < fleet.RoomHintTTL
	var evacuated policy.Zones
	if z := e.evacuated.Load(); z != nil {
		evacuated = *z
	}
	var candidates []core.WorkerID
	for _, w := range *workers {
		if w.Service == q.Service && !w.Leaving && !evacuated.Has(w.Zone) && (!hintValid || hint.workers.Has(w.ID())) {
			candidates = append(candidates, w.ID())
		}
	}
	req := fleet.AdviceRequest{Phase: jobs.PhaseID{Job: spec.ID}, Workers: fleet.EarlyCandidates(spec, a, candidates)}
	req.Cost = a.Cost(len(req.Workers))
	if len(req.Workers) == 0 || req.Cost > maxEarlyCost {
		return nil
	}
	out := make(chan advice.Result, 1)
	e.advisor.Request(req, func(r advice.Result) { out <- r })
	return out
}

// State returns the state of a job. It reads the store if the owner does not answer or
// does not know the job, since only the store shows that a job does not exist.
func (e *Entry) State(ctx context.Context, id core.JobID) (jobs.State, error) {
	var state jobs.State
	err := e.track("state", id, func() (string, error) {
		s, known, err := e.link.State(ctx, id)
		if err == nil && known {
			state = s
			return "owner", nil
		}
		state, err = e.records.State(ctx, id)
		return "record", e.refuseUnavailable(err)
	})
	return state, err
}

// refuseUnavailable wraps an error of the store in a refusal. It returns refusals
// unchanged.
func (e *Entry) refuseUnavailable(err error) error {
	var refusal *core.RefusalError
	if err == nil || errors.As(err, &refusal) {
		return err
	}
	return load.StoreUnread.Refuse(err, "the store does not answer")
}

// Cancel stores a cancellation, with retries until the context ends, and notifies the
// owner.
func (e *Entry) Cancel(ctx context.Context, id core.JobID) error {
	return e.track("cancel", id, func() (string, error) {
		for {
			err := e.records.Cancel(ctx, id, time.Now())
			var refusal *core.RefusalError
			if err == nil {
				e.link.JobCancelled(id)
				return "cancelled", nil
			}
			if errors.As(err, &refusal) {
				return "", err
			}
			if !clock.Sleep(ctx, cancelRetryDelay) {
				return "", load.StoreSilent.Refuse(err, "the cancellation is not confirmed")
			}
		}
	})
}

// Pending returns how many jobs of a queue wait for their first start.
func (e *Entry) Pending(ctx context.Context, q core.Queue) (int, error) {
	n := 0
	err := e.track("pending", "", func() (string, error) {
		var known bool
		var err error
		n, known, err = e.link.Pending(ctx, q)
		if err != nil || !known {
			return "", load.OwnerAway.Refuse(err, "no owner answers at present")
		}
		return "owner", nil
	})
	return n, err
}
