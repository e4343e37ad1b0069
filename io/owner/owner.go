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
	// hostsPause is the time between two readings of the list of workers. A
	// leaving worker must get no more work after 2.5 s.
	hostsPause = 500 * time.Millisecond
	// newsLeast and newsMost bound the time between two readings of what VMs
	// have recorded. A VM that reaches the owner tells it at once; while jobs come
	// from VMs that do not, the store is read more often.
	newsLeast = 150 * time.Millisecond
	newsMost  = time.Second
	// tidyPause is the time between two deletions of ended jobs, tidyMost how many
	// go at once: ten a second, three times 250,000 a day.
	tidyPause = 2 * time.Second
	tidyMost  = 20
	// keepSlack is added to the time for which ended jobs are kept.
	keepSlack = 10 * time.Second
	// recordPause keeps the ends of one moment in one write; each is priced.
	recordPause = 15 * time.Millisecond
	// retryPause is the time before a refused write or read is repeated.
	retryPause = 150 * time.Millisecond
	// planPause bounds how often placement runs, so that a burst of messages
	// costs one pass.
	planPause = 6 * time.Millisecond
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
	vault   RecordStore
	workers WorkerClient
	hosts   WorkerLister
	meter   Meter
	log     *logrus.Entry

	reign *elect.Election
	// patience delays the claims of this process, whatever its way to the store.
	patience time.Duration
	limits   fleet.Limits
	policy   *policy.Policy
	// board is nil unless the process owns the fleet.
	board *fleet.Scheduler
	// reigned is the epoch under which the process last had a board.
	reigned core.Epoch
	// heeded is the latest owner named by a job that the process has given way to.
	// If it holds the seat all the same, the job is at fault.
	heeded core.Epoch
	peers  *peers
	// onSeat is told who owns the fleet, whenever that changes.
	onSeat   func(s elect.Record, mine bool)
	lastSeat elect.Record
	// onHosts is told the workers as last listed.
	onHosts func([]fleet.WorkerInfo)
	listed  []fleet.WorkerInfo
	absence *fleet.AbsenceTracker
	hostsAt time.Time

	reading, writing, listing, asking, reloading bool
	nextLook, nextHosts, nextNews                time.Time
	nextWrite, nextPlan, nextHint                time.Time
	wroteAt                                      time.Time
	// unruled is a record that has been read before any configuration was known, nil
	// if there is none.
	unruled *reading
	// nextTidy is when ended jobs are looked for; drops are those whose progress
	// the next record deletes.
	nextTidy  time.Time
	drops     []core.JobID
	tidying   bool
	newsAfter uint64
	newsPause time.Duration
	// newRoster is the list of workers to be recorded, nil if the record is up
	// to rosterVersion.
	newRoster     []fleet.WorkerInfo
	rosterVersion uint64
	leaving       bool
	left          chan struct{}
}

// Option changes an owner under construction.
type Option func(*Owner)

// WithOwnerHook has a function told who owns the fleet.
func WithOwnerHook(f func(s elect.Record, mine bool)) Option { return func(o *Owner) { o.onSeat = f } }

// WithWorkersHook has a function told the workers as last listed.
func WithWorkersHook(f func([]fleet.WorkerInfo)) Option { return func(o *Owner) { o.onHosts = f } }

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
		loop: l, vault: out.Records, workers: out.Workers, hosts: out.Lister, meter: out.Meter, log: log, limits: limits,
		reign: elect.New(me, patience), patience: patience, peers: newPeers(), absence: fleet.NewAbsenceTracker(), newsPause: newsMost,
		onSeat: func(elect.Record, bool) {}, onHosts: func([]fleet.WorkerInfo) {},
		left: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Run handles messages until the context ends.
func (o *Owner) Run() error { return o.loop.Run(o) }

// Drained is closed once the process has given up the seat after Leave.
func (o *Owner) Drained() <-chan struct{} { return o.left }

// Handle implements loop.Handler.
func (o *Owner) Handle(now time.Time, m loop.Message) {
	if t, ok := m.(turn); ok {
		t.run(o, now)
	}
}

// turn is a message that carries what to do with it.
type turn interface {
	loop.Message
	run(o *Owner, now time.Time)
}

// do is a turn made of a function.
type do func(o *Owner, now time.Time)

// Message implements loop.Message.
func (do) Message() {}

func (d do) run(o *Owner, now time.Time) { d(o, now) }

// post sends a turn from a traffic goroutine.
func (o *Owner) post(f func(o *Owner, now time.Time)) {
	// A stopped loop needs no messages.
	_ = o.loop.Post(do(f))
}

// call runs I/O on a goroutine of its own and what it returns on the control
// goroutine.
func (o *Owner) call(work func(ctx context.Context) func(o *Owner, now time.Time)) {
	o.loop.Go(func(ctx context.Context) loop.Message {
		if f := work(ctx); f != nil {
			return do(f)
		}
		return nil
	})
}

// Wake implements loop.Handler.
func (o *Owner) Wake(now time.Time) time.Time {
	awake := o.reign.CheckSuspension(clock.BootTime(), clock.Monotonic())
	o.look(now)
	o.list(now)
	next := now.Add(elect.ReadInterval)
	if o.board != nil && awake && !o.leaving {
		o.news(now)
		o.tidy(now)
		if !now.Before(o.nextPlan) {
			o.plan(now)
		}
		next = o.nextPlan.Add(time.Millisecond)
	}
	o.write(now)
	for _, t := range []time.Time{o.nextLook, o.nextHosts, o.nextWrite} {
		if t.After(now) && t.Before(next) {
			next = t
		}
	}
	return next
}

// plan lets the board decide and carries out what it has decided.
func (o *Owner) plan(now time.Time) {
	began := time.Now()
	until := o.board.Tick(now)
	o.dispatch(o.board.Orders())
	o.advise(now)
	o.hint(now)
	o.meter.Placement(time.Since(began))
	o.meter.Counts(o.board.Counts())
	o.logNotes()
	o.nextPlan = until
}

// soon has the board decide shortly.
func (o *Owner) soon(now time.Time) {
	if t := now.Add(planPause); o.nextPlan.After(t) {
		o.nextPlan = t
	}
}

func (o *Owner) logNotes() {
	for _, n := range o.board.Decisions() {
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
	for _, err := range o.board.Refusals() {
		o.log.WithError(err).Error("event refused")
	}
}

// list reads the workers when it is time.
func (o *Owner) list(now time.Time) {
	if o.listing || now.Before(o.nextHosts) {
		return
	}
	o.listing = true
	o.call(func(ctx context.Context) func(*Owner, time.Time) {
		hosts, left, err := o.hosts.Workers(ctx)
		return func(o *Owner, now time.Time) {
			o.listing = false
			o.nextHosts = now.Add(o.hostsPause())
			if err != nil {
				o.log.WithError(err).Warn("list of workers not read")
				return
			}
			for _, e := range left {
				o.log.WithError(e).Warn("worker left out")
			}
			o.listed, o.hostsAt = hosts, now
			o.absence.Observe(now, hosts)
			o.onHosts(hosts)
			if o.board != nil {
				o.board.SetWorkers(now, hosts)
				o.checkRoster()
				o.soon(now)
			}
		}
	})
}

// hostsPause is longer on VMs that own nothing: they need the list only to ask
// for advice.
func (o *Owner) hostsPause() time.Duration {
	if o.reign.IsHolder() {
		return hostsPause
	}
	return 4 * hostsPause
}

// checkRoster has the list of workers recorded when it has changed.
func (o *Owner) checkRoster() {
	if v := o.board.RosterVersion(); v != o.rosterVersion {
		o.rosterVersion, o.newRoster = v, o.board.Roster()
	}
}

// news reads what VMs have recorded when it is time.
func (o *Owner) news(now time.Time) {
	if o.asking || o.reloading || now.Before(o.nextNews) {
		return
	}
	o.asking = true
	after, epoch := o.newsAfter, o.board.Epoch()
	o.call(func(ctx context.Context) func(*Owner, time.Time) {
		n, err := o.vault.Changes(ctx, after)
		return func(o *Owner, now time.Time) {
			o.asking = false
			o.nextNews = now.Add(o.newsPause)
			if o.board == nil || o.board.Epoch() != epoch {
				return
			}
			o.takeNews(now, n, err)
		}
	})
}

func (o *Owner) takeNews(now time.Time, n record.Snapshot, err error) {
	if err != nil {
		o.log.WithError(err).Warn("news not read")
		if isTrimmed(err) {
			o.reload()
		}
	}
	o.newsPause = min(2*o.newsPause, newsMost)
	for _, s := range n.Specs {
		if o.board.Accept(now, s) {
			o.newsPause = newsLeast
			o.log.WithFields(logrus.Fields{"job": s.ID, "queue": s.Queue}).Info("job found in the store")
		}
	}
	for _, id := range n.Cancelled {
		o.board.Cancel(now, id)
	}
	for _, e := range n.Unread {
		o.log.WithError(e).Error("recorded job left out")
	}
	o.newsAfter = max(o.newsAfter, n.Version)
	if !o.yields(now) {
		o.soon(now)
	}
}

// tidy deletes the rows of jobs that ended longer ago than clients may ask for
// them.
func (o *Owner) tidy(now time.Time) {
	if o.tidying || now.Before(o.nextTidy) || len(o.drops) > 0 {
		return
	}
	o.nextTidy = now.Add(tidyPause)
	ids := o.board.Expired(now, o.limits.Retention+keepSlack, tidyMost)
	if len(ids) == 0 {
		return
	}
	o.tidying = true
	epoch := o.board.Epoch()
	o.call(func(ctx context.Context) func(*Owner, time.Time) {
		err := o.vault.Delete(ctx, ids)
		return func(o *Owner, _ time.Time) {
			o.tidying = false
			if err != nil {
				o.log.WithError(err).WithField("jobs", len(ids)).Warn("ended jobs not deleted; a later owner does")
				return
			}
			if o.board != nil && o.board.Epoch() == epoch {
				o.drops = ids
			}
		}
	})
}

// SetPolicy follows a newer configuration.
func (o *Owner) SetPolicy(p *policy.Policy) {
	o.post(func(o *Owner, now time.Time) {
		o.policy = p
		if r := o.unruled; r != nil {
			o.loaded(now, *r)
		}
		if o.board != nil {
			o.board.SetPolicy(p)
			o.soon(now)
		}
	})
}

// SetLimits follows changed settings.
func (o *Owner) SetLimits(l fleet.Limits) {
	o.post(func(o *Owner, _ time.Time) {
		o.limits = l
		if o.board != nil {
			o.board.SetLimits(l)
		}
	})
}

// Drain gives the seat up and claims it no more.
func (o *Owner) Drain() {
	o.post(func(o *Owner, _ time.Time) {
		o.leaving = true
		o.resign()
	})
}

// jobState is the answer to a question about a job.
type jobState struct {
	state jobs.State
	known bool
	mine  bool
}

// State returns how a job is shown. Mine is false unless this process owns the
// fleet, known is false for a job that it has not heard of.
func (o *Owner) State(ctx context.Context, id core.JobID) (state jobs.State, known, mine bool, err error) {
	s, err := ask(ctx, o, func(o *Owner, _ time.Time) jobState {
		if o.board == nil {
			return jobState{}
		}
		st, ok := o.board.State(id)
		return jobState{st, ok, true}
	})
	return s.state, s.known, s.mine, err
}

// Pending returns the length of a queue; ok is false unless this process owns
// the fleet.
func (o *Owner) Pending(ctx context.Context, q core.Queue) (n int, ok bool, err error) {
	n, err = ask(ctx, o, func(o *Owner, _ time.Time) int {
		if o.board == nil {
			return -1
		}
		return o.board.Pending()[q]
	})
	return max(n, 0), n >= 0, err
}

func ask[R any](ctx context.Context, o *Owner, f func(o *Owner, now time.Time) R) (R, error) {
	return loop.Ask(ctx, o.loop, func(reply chan<- R) loop.Message {
		return do(func(o *Owner, now time.Time) { reply <- f(o, now) })
	})
}

// Accepted takes in a job that is in the store. Asking is the peer that is
// asking for advice on its first phase; it may be empty.
func (o *Owner) Accepted(spec jobs.Spec, asking string) {
	o.post(func(o *Owner, now time.Time) {
		if o.board == nil {
			return
		}
		o.board.Accept(now, spec)
		if o.yields(now) {
			return
		}
		if id := (jobs.PhaseID{Job: spec.ID}); asking != "" {
			cost := o.board.AdvicePending(now, id)
			if l := o.peers.byName[asking]; l != nil && cost > 0 {
				l.lend(now, id, cost)
			}
		}
		o.soon(now)
	})
}

// Cancelled takes in a cancellation that is in the store.
func (o *Owner) Cancelled(id core.JobID) {
	o.post(func(o *Owner, now time.Time) {
		if o.board != nil {
			o.board.Cancel(now, id)
			o.soon(now)
		}
	})
}
