// Package owner runs the control goroutine that owns the fleet's jobs and
// workers while its process holds the seat, and watches the seat otherwise.
package owner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
	"chicoryturn/io/clock"
	"chicoryturn/io/loop"
	"chicoryturn/io/record"
	"chicoryturn/io/table"
)

const (
	// workersInterval is the time between two readings of the list of workers. A
	// leaving worker must get no more work after 2.5 s.
	workersInterval = 500 * time.Millisecond
	// minChangesInterval and newsMost bound the time between two readings of what VMs
	// have recorded. A VM that reaches the owner tells it at once; while jobs come
	// from VMs that do not, the store is read more often.
	minChangesInterval = 150 * time.Millisecond
	maxChangesInterval = time.Second
	// cleanupInterval is the time between two deletions of ended jobs, tidyMost how many
	// go at once: ten a second, three times 250,000 a day.
	cleanupInterval = 2 * time.Second
	cleanupBatch    = 20
	// retentionSlack is added to the time for which ended jobs are kept.
	retentionSlack = 10 * time.Second
	// writeInterval keeps the ends of one moment in one write; each is priced.
	writeInterval = 15 * time.Millisecond
	// retryInterval is the time before a refused write or read is repeated.
	retryInterval = 150 * time.Millisecond
	// tickDelay bounds how often placement runs, so that a burst of messages
	// costs one pass.
	tickDelay = 6 * time.Millisecond
)

// RecordStore is what the owner reads and writes.
type RecordStore interface {
	OwnerRecord(ctx context.Context) (elect.Observation, error)
	Write(ctx context.Context, r record.OwnerWrite) (table.Done, error)
	Load(ctx context.Context) (*record.Snapshot, error)
	Changes(ctx context.Context, after uint64) (record.Snapshot, error)
	Delete(ctx context.Context, ids []core.JobID) error
}

// WorkerClient carries orders to workers.
type WorkerClient interface {
	Start(ctx context.Context, o fleet.Order) (fleet.Reply, error)
	Stop(ctx context.Context, o fleet.Order) (fleet.Reply, error)
	Heartbeat(ctx context.Context, o fleet.Order) (fleet.RunLists, fleet.Reply, error)
}

// WorkerLister lists the workers.
type WorkerLister interface {
	Workers(ctx context.Context) (hosts []fleet.WorkerInfo, left []error, err error)
}

// Meter takes in what operators want to see.
type Meter interface {
	Counts(c fleet.Counts)
	Call(kind string, reply string, took time.Duration)
	Record(rows int, took time.Duration)
	Placement(took time.Duration)
	Own(owning bool)
}

// Owner is the control state of one process.
type Owner struct {
	loop    *loop.Loop
	records RecordStore
	workers WorkerClient
	lister  WorkerLister
	meter   Meter
	log     *logrus.Entry

	election *elect.Election
	// claimDelay delays the claims of this process, whatever its way to the store.
	claimDelay time.Duration
	limits     fleet.Limits
	policy     *policy.Policy
	// scheduler is nil unless the process owns the fleet.
	scheduler *fleet.Scheduler
	// lastOwnedEpoch is the epoch under which the process last had a board.
	lastOwnedEpoch core.Epoch
	// yieldedTo is the latest owner named by a job that the process has given way to.
	// If it holds the seat all the same, the job is at fault.
	yieldedTo core.Epoch
	peers     *peers
	// onOwner is told who owns the fleet, whenever that changes.
	onOwner   func(s elect.Record, mine bool)
	announced elect.Record
	// onWorkers is told the workers as last listed.
	onWorkers    func([]fleet.WorkerInfo)
	workerList   []fleet.WorkerInfo
	absence      *fleet.AbsenceTracker
	workerListAt time.Time

	recordReading, recordWriting, workersReading, changesReading, snapshotReading bool
	nextRecordRead, nextWorkersRead, nextChangesRead                              time.Time
	nextWrite, nextTick, nextHint                                                 time.Time
	lastWrite                                                                     time.Time
	// unappliedSnapshot is a record that has been read before any configuration was known, nil
	// if there is none.
	unappliedSnapshot *loadedSnapshot
	// nextCleanup is when ended jobs are looked for; drops are those whose progress
	// the next record deletes.
	nextCleanup     time.Time
	progressDeletes []core.JobID
	jobsDeleting    bool
	changesVersion  uint64
	changesInterval time.Duration
	// unstoredRoster is the list of workers to be recorded, nil if the record is up
	// to rosterVersion.
	unstoredRoster []fleet.WorkerInfo
	rosterVersion  uint64
	draining       bool
	drained        chan struct{}
}

// Option changes an owner under construction.
type Option func(*Owner)

// WithOwnerHook has a function told who owns the fleet.
func WithOwnerHook(f func(s elect.Record, mine bool)) Option { return func(o *Owner) { o.onOwner = f } }

// WithWorkersHook has a function told the workers as last listed.
func WithWorkersHook(f func([]fleet.WorkerInfo)) Option { return func(o *Owner) { o.onWorkers = f } }

// Deps is what the owner reaches.
type Deps struct {
	Records RecordStore
	Workers WorkerClient
	Lister  WorkerLister
	Meter   Meter
}

// New returns the control state of a process that has not read the seat yet.
// Me is the seat as the process would hold it; patience delays its claims.
func New(l *loop.Loop, out Deps, me elect.Record, patience time.Duration, limits fleet.Limits, log *logrus.Entry, opts ...Option) *Owner {
	o := &Owner{
		loop: l, records: out.Records, workers: out.Workers, lister: out.Lister, meter: out.Meter, log: log, limits: limits,
		election: elect.New(me, patience), claimDelay: patience, peers: newPeers(), absence: fleet.NewAbsenceTracker(), changesInterval: maxChangesInterval,
		onOwner: func(elect.Record, bool) {}, onWorkers: func([]fleet.WorkerInfo) {},
		drained: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Run handles messages until the context ends.
func (o *Owner) Run() error { return o.loop.Run(o) }

// Drained is closed once the process has given up the seat after Leave.
func (o *Owner) Drained() <-chan struct{} { return o.drained }

// Handle implements loop.Handler.
func (o *Owner) Handle(now time.Time, m loop.Message) {
	if t, ok := m.(action); ok {
		t.run(o, now)
	}
}

// action is a message that carries what to do with it.
type action interface {
	loop.Message
	run(o *Owner, now time.Time)
}

// actionFunc is a turn made of a function.
type actionFunc func(o *Owner, now time.Time)

// Message implements loop.Message.
func (actionFunc) Message() {}

func (d actionFunc) run(o *Owner, now time.Time) { d(o, now) }

// post sends a turn from a traffic goroutine.
func (o *Owner) post(f func(o *Owner, now time.Time)) {
	// A stopped loop needs no messages.
	_ = o.loop.Post(actionFunc(f))
}

// async runs I/O on a goroutine of its own and what it returns on the control
// goroutine.
func (o *Owner) async(work func(ctx context.Context) func(o *Owner, now time.Time)) {
	o.loop.Go(func(ctx context.Context) loop.Message {
		if f := work(ctx); f != nil {
			return actionFunc(f)
		}
		return nil
	})
}

// Wake implements loop.Handler.
func (o *Owner) Wake(now time.Time) time.Time {
	awake := o.election.CheckSuspension(clock.BootTime(), clock.Monotonic())
	o.readRecord(now)
	o.readWorkers(now)
	next := now.Add(elect.ReadInterval)
	if o.scheduler != nil && awake && !o.draining {
		o.readChanges(now)
		o.deleteExpired(now)
		if !now.Before(o.nextTick) {
			o.tick(now)
		}
		next = o.nextTick.Add(time.Millisecond)
	}
	o.writeRecord(now)
	for _, t := range []time.Time{o.nextRecordRead, o.nextWorkersRead, o.nextWrite} {
		if t.After(now) && t.Before(next) {
			next = t
		}
	}
	return next
}

// tick lets the board decide and carries out what it has decided.
func (o *Owner) tick(now time.Time) {
	began := time.Now()
	until := o.scheduler.Tick(now)
	o.dispatch(o.scheduler.Orders())
	o.sendAdviceRequests(now)
	o.sendRoomHint(now)
	o.meter.Placement(time.Since(began))
	o.meter.Counts(o.scheduler.Counts())
	o.logDecisions()
	o.nextTick = until
}

// tickSoon has the board decide shortly.
func (o *Owner) tickSoon(now time.Time) {
	if t := now.Add(tickDelay); o.nextTick.After(t) {
		o.nextTick = t
	}
}

func (o *Owner) logDecisions() {
	for _, n := range o.scheduler.Decisions() {
		f := logrus.Fields{"job": n.Job}
		if n.Task != "" {
			f["task"] = n.Task
		}
		if n.Run > 0 {
			f["run"], f["worker"] = n.Run, n.Worker
		}
		if n.Wait > 0 {
			f["after"] = n.Wait.Round(time.Millisecond).String()
		}
		if n.Reason != "" {
			f["because"] = n.Reason
		}
		o.log.WithFields(f).Info(n.Event)
	}
	for _, err := range o.scheduler.Refusals() {
		o.log.WithError(err).Error("event refused")
	}
}

// readWorkers reads the workers when it is time.
func (o *Owner) readWorkers(now time.Time) {
	if o.workersReading || now.Before(o.nextWorkersRead) {
		return
	}
	o.workersReading = true
	o.async(func(ctx context.Context) func(*Owner, time.Time) {
		hosts, left, err := o.lister.Workers(ctx)
		return func(o *Owner, now time.Time) {
			o.workersReading = false
			o.nextWorkersRead = now.Add(o.workersReadDelay())
			if err != nil {
				o.log.WithError(err).Warn("list of workers not read")
				return
			}
			for _, e := range left {
				o.log.WithError(e).Warn("worker left out")
			}
			o.workerList, o.workerListAt = hosts, now
			o.absence.Observe(now, hosts)
			o.onWorkers(hosts)
			if o.scheduler != nil {
				o.scheduler.SetWorkers(now, hosts)
				o.stageRoster()
				o.tickSoon(now)
			}
		}
	})
}

// workersReadDelay is longer on VMs that own nothing: they need the list only to ask
// for advice.
func (o *Owner) workersReadDelay() time.Duration {
	if o.election.IsHolder() {
		return workersInterval
	}
	return 4 * workersInterval
}

// stageRoster has the list of workers recorded when it has changed.
func (o *Owner) stageRoster() {
	if v := o.scheduler.RosterVersion(); v != o.rosterVersion {
		o.rosterVersion, o.unstoredRoster = v, o.scheduler.Roster()
	}
}

// readChanges reads what VMs have recorded when it is time.
func (o *Owner) readChanges(now time.Time) {
	if o.changesReading || o.snapshotReading || now.Before(o.nextChangesRead) {
		return
	}
	o.changesReading = true
	after, epoch := o.changesVersion, o.scheduler.Epoch()
	o.async(func(ctx context.Context) func(*Owner, time.Time) {
		n, err := o.records.Changes(ctx, after)
		return func(o *Owner, now time.Time) {
			o.changesReading = false
			o.nextChangesRead = now.Add(o.changesInterval)
			if o.scheduler == nil || o.scheduler.Epoch() != epoch {
				return
			}
			o.handleChanges(now, n, err)
		}
	})
}

func (o *Owner) handleChanges(now time.Time, n record.Snapshot, err error) {
	if err != nil {
		o.log.WithError(err).Warn("news not read")
		if isCompacted(err) {
			o.loadSnapshot()
		}
	}
	o.changesInterval = min(2*o.changesInterval, maxChangesInterval)
	for _, s := range n.Specs {
		if o.scheduler.Accept(now, s) {
			o.changesInterval = minChangesInterval
			o.log.WithFields(logrus.Fields{"job": s.ID, "queue": s.Queue}).Info("job found in the store")
		}
	}
	for _, id := range n.Cancelled {
		o.scheduler.Cancel(now, id)
	}
	for _, e := range n.RowErrors {
		o.log.WithError(e).Error("recorded job left out")
	}
	o.changesVersion = max(o.changesVersion, n.Version)
	if !o.yieldToLaterOwner(now) {
		o.tickSoon(now)
	}
}

// deleteExpired deletes the rows of jobs that ended longer ago than clients may ask for
// them.
func (o *Owner) deleteExpired(now time.Time) {
	if o.jobsDeleting || now.Before(o.nextCleanup) || len(o.progressDeletes) > 0 {
		return
	}
	o.nextCleanup = now.Add(cleanupInterval)
	ids := o.scheduler.Expired(now, o.limits.Retention+retentionSlack, cleanupBatch)
	if len(ids) == 0 {
		return
	}
	o.jobsDeleting = true
	epoch := o.scheduler.Epoch()
	o.async(func(ctx context.Context) func(*Owner, time.Time) {
		err := o.records.Delete(ctx, ids)
		return func(o *Owner, _ time.Time) {
			o.jobsDeleting = false
			if err != nil {
				o.log.WithError(err).WithField("jobs", len(ids)).Warn("ended jobs not deleted; a later owner does")
				return
			}
			if o.scheduler != nil && o.scheduler.Epoch() == epoch {
				o.progressDeletes = ids
			}
		}
	})
}

// SetPolicy follows a newer configuration.
func (o *Owner) SetPolicy(p *policy.Policy) {
	o.post(func(o *Owner, now time.Time) {
		o.policy = p
		if r := o.unappliedSnapshot; r != nil {
			o.handleSnapshot(now, *r)
		}
		if o.scheduler != nil {
			o.scheduler.SetPolicy(p)
			o.tickSoon(now)
		}
	})
}

// SetLimits follows changed settings.
func (o *Owner) SetLimits(l fleet.Limits) {
	o.post(func(o *Owner, _ time.Time) {
		o.limits = l
		if o.scheduler != nil {
			o.scheduler.SetLimits(l)
		}
	})
}

// Drain gives the seat up and claims it no more.
func (o *Owner) Drain() {
	o.post(func(o *Owner, _ time.Time) {
		o.draining = true
		o.resign()
	})
}

// jobState is the answer to a question about a job.
type jobState struct {
	state  jobs.State
	known  bool
	owning bool
}

// State returns how a job is shown. Mine is false unless this process owns the
// fleet, known is false for a job that it has not heard of.
func (o *Owner) State(ctx context.Context, id core.JobID) (state jobs.State, known, mine bool, err error) {
	s, err := query(ctx, o, func(o *Owner, _ time.Time) jobState {
		if o.scheduler == nil {
			return jobState{}
		}
		st, ok := o.scheduler.State(id)
		return jobState{st, ok, true}
	})
	return s.state, s.known, s.owning, err
}

// Pending returns the length of a queue; ok is false unless this process owns
// the fleet.
func (o *Owner) Pending(ctx context.Context, q core.Queue) (n int, ok bool, err error) {
	n, err = query(ctx, o, func(o *Owner, _ time.Time) int {
		if o.scheduler == nil {
			return -1
		}
		return o.scheduler.Pending()[q]
	})
	return max(n, 0), n >= 0, err
}

func query[R any](ctx context.Context, o *Owner, f func(o *Owner, now time.Time) R) (R, error) {
	return loop.Ask(ctx, o.loop, func(reply chan<- R) loop.Message {
		return actionFunc(func(o *Owner, now time.Time) { reply <- f(o, now) })
	})
}

// Accepted takes in a job that is in the store. Asking is the peer that is
// asking for advice on its first phase; it may be empty.
func (o *Owner) Accepted(spec jobs.Spec, asking string) {
	o.post(func(o *Owner, now time.Time) {
		if o.scheduler == nil {
			return
		}
		o.scheduler.Accept(now, spec)
		if o.yieldToLaterOwner(now) {
			return
		}
		if id := (jobs.PhaseID{Job: spec.ID}); asking != "" {
			cost := o.scheduler.AdvicePending(now, id)
			if l := o.peers.byName[asking]; l != nil && cost > 0 {
				l.addRequest(now, id, cost)
			}
		}
		o.tickSoon(now)
	})
}

// Cancelled takes in a cancellation that is in the store.
func (o *Owner) Cancelled(id core.JobID) {
	o.post(func(o *Owner, now time.Time) {
		if o.scheduler != nil {
			o.scheduler.Cancel(now, id)
			o.tickSoon(now)
		}
	})
}
