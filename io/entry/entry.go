// Package entry serves clients on every VM: it checks their calls, records
// jobs and cancellations, and answers questions through the owner or, without
// one, from the record.
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
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
	"chicoryturn/io/advice"
	"chicoryturn/io/clock"
)

const (
	// maxEarlyCost is the length up to which the VM that has taken a job asks for
	// advice itself, while the job is being recorded.
	maxEarlyCost = 50 * time.Millisecond
	// maxEarlyDelay is up to which delay by calls before it a VM's own call is worth
	// making: the owner's way to an idle VM takes as long.
	maxEarlyDelay = 30 * time.Millisecond
	// clientRetryAfter is when a client that was refused should come back.
	clientRetryAfter = time.Second
	// cancelRetryDelay is the pause before a cancellation is recorded again.
	cancelRetryDelay = 100 * time.Millisecond
)

// RecordStore records and reads what lasts.
type RecordStore interface {
	Accept(ctx context.Context, spec jobs.Spec) (jobs.Spec, error)
	Cancel(ctx context.Context, id core.JobID, now time.Time) error
	State(ctx context.Context, id core.JobID) (jobs.State, error)
	// Unreachable reports whether the store cannot be reached.
	Unreachable() bool
}

// OwnerLink reaches the owner.
type OwnerLink interface {
	Accepted(spec jobs.Spec, asking bool)
	Advised(r advice.Result)
	Cancelled(id core.JobID)
	State(ctx context.Context, id core.JobID) (state jobs.State, known bool, err error)
	Pending(ctx context.Context, q core.Queue) (n int, known bool, err error)
	// Connected reports whether another VM can be reached.
	Connected() bool
}

// Advisor asks the placement policy.
type Advisor interface {
	Request(a fleet.AdviceRequest, then func(advice.Result))
	// Delay returns how long a call would wait for those before it.
	Delay() time.Duration
}

// Meter takes in what operators want to see.
type Meter interface {
	Call(kind, result string, took time.Duration)
}

// Entry is the state that the traffic goroutines of a VM share. All of it is
// replaced whole.
type Entry struct {
	records RecordStore
	link    OwnerLink
	advisor Advisor
	meter   Meter
	log     *logrus.Entry

	policy  atomic.Pointer[policy.Policy]
	workers atomic.Pointer[[]fleet.WorkerInfo]
	// maxRoom holds the most of each resource that any worker of a service has had
	// since the process began: workers that are away may come back.
	maxRoom atomic.Pointer[map[core.Service]core.Resources]
	// roomHint is the owner's last hint of the workers that have room.
	roomHint atomic.Pointer[roomHint]
	// firstEpoch is the epoch of the first owner that may start what is taken now.
	firstEpoch atomic.Uint64
	draining   atomic.Bool
	// inFlight counts the calls being answered.
	inFlight atomic.Int64
}

// roomHint names workers that had room at a time.
type roomHint struct {
	workers    core.Set[core.WorkerID]
	receivedAt time.Time
}

// SetRoomHint follows the owner's hint of the workers that have room.
func (e *Entry) SetRoomHint(ids []core.WorkerID) {
	e.roomHint.Store(&roomHint{core.NewSet(ids...), time.Now()})
}

// SetOwner follows the seat as this VM last saw it. An owner that has resigned
// starts nothing more.
func (e *Entry) SetOwner(s elect.Record) {
	from := s.Epoch
	if s.Holder == "" {
		from++
	}
	e.firstEpoch.Store(uint64(from))
}

// New returns an entry without a configuration; it refuses all calls.
func New(v RecordStore, l OwnerLink, a Advisor, m Meter, log *logrus.Entry) *Entry {
	return &Entry{records: v, link: l, advisor: a, meter: m, log: log}
}

// SetPolicy follows a newer configuration; an older one changes nothing.
func (e *Entry) SetPolicy(p *policy.Policy) {
	if old := e.policy.Load(); old == nil || p.Version > old.Version {
		e.policy.Store(p)
	}
}

// Version returns that of the configuration in force; 0 means none.
func (e *Entry) Version() core.Version {
	if p := e.policy.Load(); p != nil {
		return p.Version
	}
	return 0
}

// SetWorkers follows a new list of workers. It is called by one goroutine.
func (e *Entry) SetWorkers(hosts []fleet.WorkerInfo) {
	e.workers.Store(&hosts)
	rooms := map[core.Service]core.Resources{}
	if old := e.maxRoom.Load(); old != nil {
		maps.Copy(rooms, *old)
	}
	for _, h := range hosts {
		rooms[h.Service] = rooms[h.Service].Max(h.Room)
	}
	e.maxRoom.Store(&rooms)
}

// Drain has the VM report that it takes no more clients.
func (e *Entry) Drain() { e.draining.Store(true) }

// InFlight returns how many calls are being answered.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// Ready reports whether clients should be sent here: not while this VM is cut off
// from the store and from the other VMs. An outage of the store alone is the
// same for all.
func (e *Entry) Ready() bool {
	cutOff := e.records.Unreachable() && !e.link.Connected()
	return !e.draining.Load() && e.policy.Load() != nil && !cutOff
}

// MaxBody bounds a submission, in bytes; 0 means no configured bound.
func (e *Entry) MaxBody() int64 {
	if p := e.policy.Load(); p != nil {
		return p.MaxBody
	}
	return 0
}

// Visit finds the queue of a call and checks its key.
func (e *Entry) Visit(host, path, key string) (*policy.Queue, core.Team, string, error) {
	p := e.policy.Load()
	if p == nil {
		r := core.Refuse(core.CodeConfig, "this VM has no configuration yet")
		r.RetryAfter = clientRetryAfter
		return nil, "", "", r
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	q, rest, ok := p.Route(host, path)
	if !ok {
		return nil, "", "", core.Refuse(core.CodeNoQueue, "no queue for %s%s in version %d", host, path, p.Version)
	}
	t, known := p.Key(key)
	switch {
	case known:
		return q, t.Name, rest, nil
	case q.Public:
		return q, "", rest, nil
	}
	return nil, "", "", core.Refuse(core.CodeBadKey, "the key belongs to no team in version %d", p.Version)
}

// track counts a call and logs its outcome.
func (e *Entry) track(kind string, id core.JobID, f func() (string, error)) error {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	began := time.Now()
	what, err := f()
	took := time.Since(began)
	if err != nil {
		what = "failed"
		var r *core.RefusalError
		if errors.As(err, &r) {
			what = string(r.Code)
		}
	}
	e.meter.Call(kind, what, took)
	l := e.log.WithFields(logrus.Fields{"job": id, "result": what, "took": took.Round(time.Millisecond).String()})
	if err != nil {
		l = l.WithError(err)
	}
	if kind != "state" || err != nil {
		l.Info(kind)
	}
	return err
}

// Submit records a job and tells the owner. A nil error means that the job
// will be run.
func (e *Entry) Submit(ctx context.Context, spec jobs.Spec) error {
	return e.track("submit", spec.ID, func() (string, error) {
		if err := spec.Validate(); err != nil {
			return "", core.Refuse(core.CodeBadInput, "%v", err)
		}
		if err := e.checkRoom(&spec); err != nil {
			return "", err
		}
		early := e.requestEarlyAdvice(&spec)
		spec.FirstEpoch = core.Epoch(e.firstEpoch.Load())
		recorded, err := e.records.Accept(ctx, spec)
		if err != nil {
			return "", err
		}
		e.link.Accepted(recorded, early != nil)
		if early != nil {
			go func() { e.link.Advised(<-early) }()
		}
		return "accepted", nil
	})
}

// checkRoom refuses a job with a task that no worker of its service has had room
// for, however empty it was.
func (e *Entry) checkRoom(spec *jobs.Spec) error {
	q, rooms := e.policy.Load().Queues[spec.Queue], e.maxRoom.Load()
	if q == nil || rooms == nil {
		return nil
	}
	most, known := (*rooms)[q.Service]
	for i, ph := range spec.Phases {
		if known && !ph.Need.Fits(most) {
			return core.Refuse(core.CodeTooLarge, "no worker of the service has room for a task of phase %d", i)
		}
	}
	return nil
}

// requestEarlyAdvice asks for advice on the first phase while the job is being recorded,
// if the call is short, its turn comes soon and some worker has room. The channel
// yields one result.
func (e *Entry) requestEarlyAdvice(spec *jobs.Spec) <-chan advice.Result {
	p, hosts := e.policy.Load(), e.workers.Load()
	q := p.Queues[spec.Queue]
	if q == nil || hosts == nil || spec.Repeat > 0 {
		return nil
	}
	a, ok := q.Advice.Get()
	if !ok || e.advisor.Delay() > maxEarlyDelay {
		return nil
	}
	room := e.roomHint.Load()
	hinted := room != nil && time.Since(room.receivedAt) < fleet.RoomHintTTL
	var candidates []core.WorkerID
	for _, h := range *hosts {
		if h.Service == q.Service && !h.Leaving && (!hinted || room.workers.Has(h.ID())) {
			candidates = append(candidates, h.ID())
		}
	}
	ask := fleet.AdviceRequest{Phase: jobs.PhaseID{Job: spec.ID}, Workers: fleet.EarlyCandidates(spec, a, candidates)}
	ask.Cost = a.Cost(len(ask.Workers))
	if len(ask.Workers) == 0 || ask.Cost > maxEarlyCost {
		return nil
	}
	out := make(chan advice.Result, 1)
	e.advisor.Request(ask, func(r advice.Result) { out <- r })
	return out
}

// State returns how a job is shown. Only the record tells that there is none.
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

// refuseUnavailable turns a failure of the store into a refusal.
func (e *Entry) refuseUnavailable(err error) error {
	var r *core.RefusalError
	if err == nil || errors.As(err, &r) {
		return err
	}
	out := core.Refuse(core.CodeStore, "the store does not answer")
	out.Err, out.RetryAfter = err, clientRetryAfter
	return out
}

// Cancel records a cancellation and tells the owner.
func (e *Entry) Cancel(ctx context.Context, id core.JobID) error {
	return e.track("cancel", id, func() (string, error) {
		for {
			err := e.records.Cancel(ctx, id, time.Now())
			var r *core.RefusalError
			if err == nil {
				e.link.Cancelled(id)
				return "cancelled", nil
			}
			if errors.As(err, &r) {
				return "", err
			}
			if !clock.Sleep(ctx, cancelRetryDelay) {
				return "", core.RefuseUnknown(core.CodeStore, err, "the cancellation is not confirmed")
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
			r := core.Refuse(core.CodeOwner, "no owner answers at present")
			r.Err, r.RetryAfter = err, clientRetryAfter
			return "", r
		}
		return "owner", nil
	})
	return n, err
}
