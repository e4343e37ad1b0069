// Package owner runs the control goroutine that takes part in the leader election
// of the fleet's owner. While its process holds the ownership record, it schedules
// the fleet's jobs on the workers; otherwise it watches the record.
package owner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/lanes"
	"chicoryturn/core/rank"
	"chicoryturn/io/clock"
	"chicoryturn/io/guard"
	"chicoryturn/io/loop"
	"chicoryturn/io/record"
	"chicoryturn/io/table"
	"chicoryturn/io/timer"
)

const (
	// minChangesInterval and maxChangesInterval bound the time between two reads of
	// the jobs and cancellations in the store. VMs that are connected to the owner
	// notify it at once. While reads find jobs that no VM has reported, the interval
	// is shorter.
	minChangesInterval = 150 * time.Millisecond
	maxChangesInterval = time.Second
	// cleanupInterval is the time between two deletions of ended jobs; cleanupBatch
	// bounds the jobs of one deletion. Together they allow ten jobs a second, which
	// is more than three times 250,000 jobs a day.
	cleanupInterval = 2 * time.Second
	cleanupBatch    = 20
	// retentionSlack is added to the retention period of ended jobs.
	retentionSlack = 10 * time.Second
	// writeInterval is the shortest time between two writes. It collects runs that
	// end at the same time into one write, since the platform charges for each write.
	writeInterval = 15 * time.Millisecond
	// retryInterval is the time before a failed read or write is retried.
	retryInterval = 150 * time.Millisecond
	// tickDelay is the time between a change and the scheduler's tick, so that a
	// burst of messages leads to one placement pass.
	tickDelay = 6 * time.Millisecond
	// maxLag is how long a message may wait for the control goroutine before that is
	// logged, once in lagLogInterval.
	maxLag         = 250 * time.Millisecond
	lagLogInterval = time.Second
)

// RecordStore reads and writes the stored state of the fleet. Package record describes
// its methods.
type RecordStore interface {
	OwnerRecord(ctx context.Context) (elect.Observation, error)
	Write(ctx context.Context, r record.OwnerWrite) (table.WriteResult, error)
	Load(ctx context.Context, b *budget.Budget) (*record.Snapshot, error)
	Jobs(ctx context.Context, ids []core.JobID) (*record.Snapshot, error)
	Changes(ctx context.Context, after uint64) (record.Snapshot, error)
	Delete(ctx context.Context, ids []core.JobID) error
}

// WorkerClient sends orders to workers.
type WorkerClient interface {
	// Start sends a start. It calls maySend once, right before it writes the order to a
	// connection; if that returns false, it sends nothing and replies ReplyNotSent.
	Start(ctx context.Context, o fleet.Order, maySend func() bool) (fleet.Reply, error)
	Stop(ctx context.Context, o fleet.Order) (fleet.Reply, error)
	Heartbeat(ctx context.Context, o fleet.Order) (fleet.RunLists, fleet.Reply, error)
}

// WorkerLister lists the workers that the platform knows.
type WorkerLister interface {
	Workers(ctx context.Context) (fleet.WorkerList, error)
}

// Meter records metrics.
type Meter interface {
	Counts(c fleet.Counts)
	Call(kind string, reply string, took time.Duration)
	Record(rows int, took time.Duration)
	Placement(took time.Duration)
	Memory(use fleet.MemoryUse)
	// Waiting sets how many phases wait for room, by the class of their jobs.
	Waiting(counts [rank.Classes]int)
	SetOwning(isOwner bool)
	// Claim counts a claim of the ownership record by its reason.
	Claim(reason elect.ClaimReason)
	// Yield counts the times that this owner has given up the ownership record by reason.
	Yield(reason elect.YieldReason)
	// Evacuated sets how many zones are evacuated, Withdrawn counts starts that were withdrawn
	// for that.
	Evacuated(zones int)
	Withdrawn(starts int)
	// Authority sets the age of the last confirmation of the ownership record and how
	// many workers of earlier owners this owner still waits for; 0 on other processes.
	Authority(recordAge time.Duration, unreached int)
	// Queued records how many starts and stops wait for their turn, and for one worker at
	// most.
	Queued(total, longest int)
	// Mailbox records how long the oldest message of a burst has waited for the control
	// goroutine, and how many messages the mailbox held then.
	Mailbox(lag time.Duration, queued int)
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
	// claimDelay is the configured part of the claim delay; the part that depends on
	// the latency of the store is added to it.
	claimDelay time.Duration
	limits     fleet.Limits
	directives directives
	// scheduler is nil unless the process owns the fleet.
	scheduler *fleet.Scheduler
	// yieldedToEpoch is the latest epoch, named by a job, for which the process has
	// stepped down. If the process then owns the fleet again under an earlier epoch, the
	// job is at fault, and the process schedules the other jobs.
	yieldedToEpoch core.Epoch
	// permits holds the permits of the starts that have not been answered.
	permits map[jobs.TaskID]*permit
	// lanes holds the starts and stops that have not ended.
	lanes *lanes.Lanes
	// late holds, for each worker, the first heartbeat that counts as failed and may still be
	// answered.
	late map[core.WorkerID]*heartbeatCall
	// answerWaits holds the waits after which heartbeats count as failed; any goroutine may use
	// it.
	answerWaits *timer.Set[*heartbeatCall]
	peers       *peers
	// onOwner is called when the owner of the fleet changes and when this process
	// starts to schedule.
	onOwner func(rec elect.Record, isOwner bool)
	// onRecord is called with the ownership record whenever it has been read or written.
	onRecord func(rec elect.Record)
	// announcedRecord is the ownership record last passed to onOwner.
	announcedRecord elect.Record
	// onWorkers is called with each new worker list.
	onWorkers func([]fleet.WorkerInfo)
	// onTick is called by each tick.
	onTick func()
	// workerList is the last worker list.
	workerList fleet.WorkerList
	// unusable holds why entries of that list cannot be used, as logged.
	unusable map[core.WorkerID]string
	// workerListAt is when the last worker list arrived; zero before the first.
	workerListAt time.Time

	// At most one call of each kind is in flight. The next one starts no earlier than
	// its time below. lastWrite is when the last successful write was sent.
	recordReadInFlight, recordWriteInFlight, workersReadInFlight, changesReadInFlight, snapshotLoadInFlight bool
	nextRecordRead, nextWorkersRead, nextChangesRead                                                        time.Time
	nextWrite, nextTick, nextHint                                                                           time.Time
	lastWrite                                                                                               time.Time
	// abandonLoad ends the snapshot load in flight.
	abandonLoad context.CancelFunc
	// unappliedSnapshot is a snapshot that was loaded before the process had a
	// configuration, or nil.
	unappliedSnapshot *loadedSnapshot
	// nextCleanup is the time of the next deletion of ended jobs. The next write
	// deletes the progress rows of progressToDelete.
	nextCleanup time.Time
	// nextParkedRead is the earliest time of the next read of parked jobs.
	nextParkedRead   time.Time
	progressToDelete []core.JobID
	deleteInFlight   bool
	// changesVersion is the version after which the next read of changes starts.
	changesVersion  uint64
	changesInterval time.Duration
	// rosterToStore is the roster for the next write, nil if the store holds
	// rosterVersion.
	rosterToStore []fleet.RosterEntry
	rosterVersion uint64
	// nextLagLog is the earliest time of the next log line on a late control goroutine.
	nextLagLog time.Time
	draining   bool
	drained    chan struct{}
}

// Option configures an owner.
type Option func(*Owner)

// WithOwnerHook sets a function that is called when the owner of the fleet changes
// and when this process becomes the owner.
func WithOwnerHook(f func(rec elect.Record, isOwner bool)) Option {
	return func(o *Owner) { o.onOwner = f }
}

// WithRecordHook sets a function that is called with each new version of the ownership
// record.
func WithRecordHook(f func(rec elect.Record)) Option { return func(o *Owner) { o.onRecord = f } }

// WithWorkersHook sets a function that is called with each new worker list.
func WithWorkersHook(f func([]fleet.WorkerInfo)) Option { return func(o *Owner) { o.onWorkers = f } }

// WithTickHook sets a function that is called by each tick, at least every
// elect.ReadInterval while the process runs.
func WithTickHook(f func()) Option { return func(o *Owner) { o.onTick = f } }

// Deps are the external dependencies of an owner.
type Deps struct {
	Records RecordStore
	Workers WorkerClient
	Lister  WorkerLister
	Meter   Meter
}

// New returns the control state of a process that has not read the ownership record
// yet. Self is the record with which the process claims ownership, claimDelay the
// configured delay of its claims.
func New(l *loop.Loop, deps Deps, self elect.Record, claimDelay time.Duration, limits fleet.Limits, log *logrus.Entry, opts ...Option) *Owner {
	o := &Owner{
		loop: l, records: deps.Records, workers: deps.Workers, lister: deps.Lister, meter: deps.Meter, log: log, limits: limits,
		election: elect.New(self, claimDelay), claimDelay: claimDelay, peers: newPeers(), permits: map[jobs.TaskID]*permit{}, lanes: lanes.New(), late: map[core.WorkerID]*heartbeatCall{}, changesInterval: maxChangesInterval,
		onOwner: func(elect.Record, bool) {}, onRecord: func(elect.Record) {}, onWorkers: func([]fleet.WorkerInfo) {}, onTick: func() {}, abandonLoad: func() {},
		drained: make(chan struct{}),
	}
	o.answerWaits = timer.New(func(c *heartbeatCall) {
		o.post(func(o *Owner, now time.Time) { o.heartbeatOverdue(now, c) })
	})
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Run handles messages until the context of the loop ends.
func (o *Owner) Run() error { return o.loop.Run(o) }

// Drained returns a channel that is closed when the process has released the
// ownership record after Drain.
func (o *Owner) Drained() <-chan struct{} { return o.drained }

// Handle implements loop.Handler.
func (o *Owner) Handle(now time.Time, m loop.Message) {
	if a, ok := m.(action); ok {
		a.run(o, now)
	}
}

// action is a message that the control goroutine runs.
type action interface {
	loop.Message
	run(o *Owner, now time.Time)
}

// actionFunc is an action that calls a function.
type actionFunc func(o *Owner, now time.Time)

// Message implements loop.Message.
func (actionFunc) Message() {}

func (f actionFunc) run(o *Owner, now time.Time) { f(o, now) }

// post runs f on the control goroutine; traffic goroutines call it.
func (o *Owner) post(f func(o *Owner, now time.Time)) {
	// The error means that the loop has stopped, and the message is obsolete.
	_ = o.loop.Post(actionFunc(f))
}

// async runs the function work, which does I/O, on a new goroutine and then the
// function that work returns on the control goroutine.
func (o *Owner) async(work func(ctx context.Context) func(o *Owner, now time.Time)) {
	o.loop.Go(func(ctx context.Context) loop.Message {
		if f := work(ctx); f != nil {
			return actionFunc(f)
		}
		return nil
	})
}

// Recover implements loop.Recoverer. The scheduler may be inconsistent after a panic: the
// process drops it, and claims a new epoch to load the stored state under.
func (o *Owner) Recover(now time.Time, err error) {
	o.log.WithError(err).Error("panic in the control goroutine; the message is lost")
	o.unappliedSnapshot = nil
	switch {
	case o.scheduler != nil:
		o.stepDown(now, "a panic")
		o.nextRecordRead = now.Add(retryInterval)
	case o.election.IsHolder():
		// Nothing has been decided under this epoch.
		o.retryLoad()
	}
}

// Lagged implements loop.Observer.
func (o *Owner) Lagged(now time.Time, lag time.Duration, queued int) {
	o.election.MessagesHandled(now, lag)
	o.meter.Mailbox(lag, queued)
	if lag < maxLag || now.Before(o.nextLagLog) {
		return
	}
	o.nextLagLog = now.Add(lagLogInterval)
	o.log.WithFields(logrus.Fields{"lag": ageText(lag), "queued": queued, "owning": o.scheduler != nil}).Warn("control goroutine is late")
}

// Tick implements loop.Handler.
func (o *Owner) Tick(now time.Time) time.Time {
	o.onTick()
	bootTime := clock.BootTime()
	decided := bootTime - time.Since(now)
	maySendOrders := o.election.CheckSuspension(now, bootTime, clock.Monotonic())
	if d := o.election.Suspension(); d > 0 {
		o.handleSuspension(now, d)
	}
	o.checkService(now)
	o.readRecord(now)
	o.readWorkers(now)
	next := now.Add(elect.ReadInterval)
	if o.scheduler != nil {
		o.meter.Authority(now.Sub(o.scheduler.ConfirmedAt()), o.scheduler.Unreached())
	}
	if o.scheduler != nil && maySendOrders && !o.draining {
		o.readChanges(now)
		o.deleteExpired(now)
		o.readParked(now)
		if !now.Before(o.nextTick) {
			o.tick(now, decided)
		}
		o.sendQueued(now)
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

// tick runs the scheduler and sends its orders, advice requests and room hints. Decided is
// now as boot time.
func (o *Owner) tick(now time.Time, decided time.Duration) {
	began := time.Now()
	o.checkEvacuatedAge()
	next := o.scheduler.Tick(now)
	o.stageRoster()
	o.dispatch(o.scheduler.Orders(), decided)
	o.sendAdviceRequests(now)
	o.sendRoomHint(now)
	o.meter.Placement(time.Since(began))
	o.meter.Counts(o.scheduler.Counts())
	o.meter.Memory(o.scheduler.MemoryUse())
	o.meter.Waiting(o.scheduler.Waiting())
	o.meter.Queued(o.lanes.Queued())
	o.logDecisions()
	o.nextTick = next
}

// tickSoon schedules the next tick after tickDelay, unless it is due earlier.
func (o *Owner) tickSoon(now time.Time) {
	if t := now.Add(tickDelay); o.nextTick.After(t) {
		o.nextTick = t
	}
}

// stageRoster adds the roster to the next write if it has changed.
func (o *Owner) stageRoster() {
	if v := o.scheduler.RosterVersion(); v != o.rosterVersion {
		o.rosterToStore, o.rosterVersion = o.scheduler.Roster()
	}
}

// deleteExpired deletes the rows of jobs whose retention period after their end has
// passed.
func (o *Owner) deleteExpired(now time.Time) {
	if o.deleteInFlight || now.Before(o.nextCleanup) || len(o.progressToDelete) > 0 {
		return
	}
	o.nextCleanup = now.Add(cleanupInterval)
	ids := o.scheduler.ForgetExpired(now, o.limits.Retention+retentionSlack, cleanupBatch)
	if len(ids) == 0 {
		return
	}
	o.deleteInFlight = true
	epoch := o.scheduler.Epoch()
	o.async(func(ctx context.Context) func(*Owner, time.Time) {
		err := guard.Do(func() error { return o.records.Delete(ctx, ids) })
		return func(o *Owner, now time.Time) {
			o.deleteInFlight = false
			if err != nil {
				o.log.WithError(err).WithField("jobs", len(ids)).Warn("cannot delete ended jobs; a later owner deletes them")
				return
			}
			if o.scheduler != nil && o.scheduler.Epoch() == epoch {
				o.progressToDelete = ids
				o.scheduler.RowsDeleted(now, ids)
			}
		}
	})
}

// SetLimits replaces the limits from the settings.
func (o *Owner) SetLimits(l fleet.Limits) {
	o.post(func(o *Owner, _ time.Time) {
		o.limits = l
		if o.scheduler != nil {
			o.scheduler.SetLimits(l)
		}
	})
}

// Drain releases the ownership record. The process makes no further claims.
func (o *Owner) Drain() {
	o.post(func(o *Owner, _ time.Time) {
		o.draining = true
		o.resign()
	})
}

// jobState holds the results of State.
type jobState struct {
	state   jobs.State
	known   bool
	isOwner bool
}
