// Package fleet decides on all jobs and workers of the fleet under one owner.
// The owner calls it from one goroutine; time enters as a value, and orders to
// workers, questions about placement and records leave as values.
package fleet

import (
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/cell"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
)

const (
	// runNumberBits leaves room for the runs of one task below an owner's epoch, so
	// that numbers grow over owners. The first owner's runs begin at 1.
	runNumberBits = 20
	// maxBatchRows bounds the rows of one record; the platform takes 100 entries a
	// transaction, and the owner's own row is one of them.
	maxBatchRows = 90
	// maxClosedJobs bounds the ended jobs that are kept to answer questions, at some
	// 5 KB each; of older ones the record tells.
	maxClosedJobs = 8000
	// maxLease bounds the leases granted, where the platform allows longer ones:
	// what a silent worker ran may start elsewhere only once its lease has ended.
	// It outlasts a change of owner, 2.5 s, with the reading of the record and the
	// first contact, some 1.5 s, and the age of the last renewal, 1.5 s.
	maxLease = 6 * time.Second
)

// Limits are the figures of the fleet that bound the board's decisions.
type Limits struct {
	// Lease is the longest time for which a worker goes on without contact.
	Lease time.Duration
	// ListTimeout is for how long a worker has been silent, at least, when the
	// platform drops it from its list.
	ListTimeout time.Duration
	// Retention is how long clients may ask for an ended job.
	Retention time.Duration
	// GangWait is how long a gang's tasks wait for one another.
	GangWait time.Duration
	// RemoteFactor multiplies run times away from a phase's rack.
	RemoteFactor float64
}

// Scheduler is the state of the fleet under one owner.
type Scheduler struct {
	epoch     core.Epoch
	now       time.Time
	limits    Limits
	policy    *policy.Policy
	estimator *cell.Estimator

	jobs    map[core.JobID]*Job
	workers map[core.WorkerID]*Worker
	// sortedWorkers holds the workers sorted by name, so that decisions repeat.
	sortedWorkers []*Worker
	// openPhases holds the phases that have waiting tasks and may start.
	openPhases map[*phase]struct{}
	// futurePhases holds the phases of occurrences that are not due yet.
	futurePhases map[*phase]struct{}
	// used is what each team holds on workers.
	used map[core.Team]core.Resources
	// unresolved are the recovered tasks that may run on a worker not heard of yet,
	// awaited is what those of each team would take.
	unresolved     map[*Task]struct{}
	unresolvedNeed map[core.Team]core.Resources
	// unreportedRoom is the room of the workers that have not been heard of; it is kept up
	// to date while tasks are held.
	unreportedRoom core.Resources
	shares         map[core.Team]*teamShare
	// adviceStats tell how many of the workers named for a queue have been allowed.
	adviceStats map[core.Queue]adviceStats
	// rosterVersion numbers the changes of the list of workers.
	rosterVersion uint64
	// listedAt is when the list of workers was last read.
	listedAt time.Time
	// settled is set once every worker of earlier owners has been heard of.
	settled bool
	// ownEpoch is the least epoch that a job must name for no earlier owner, and no
	// earlier board of this one, to have started any of it.
	ownEpoch core.Epoch

	// dirty are the jobs whose progress waits for a record, flying those in the
	// record whose outcome is not known.
	dirty    map[core.JobID]*Job
	inFlight []inFlightRow
	// changeSeq numbers the changes of progress. Those up to confirmed are in the
	// store, those up to mark will be once the record in flight is.
	changeSeq, inFlightSeq, storedSeq uint64
	// closed holds the ended jobs, the first to end in front.
	closed []closedJob

	orders         []Order
	decisions      []Decision
	refusals       []error
	counts         Counts
	lastJobSeq     uint64
	needsPlacement bool
	// progressSeen is set once a worker has told of any run's progress.
	progressSeen bool
	// unknownJobSeen is set when a worker names a job that the board does not know.
	unknownJobSeen bool
	// laterEpoch is the latest owner that a job has named, if later than this one.
	laterEpoch core.Epoch
}

// inFlightRow is a job in a record and the state that the record gives it.
type inFlightRow struct {
	job   *Job
	state jobs.State
}

// closedJob is a job whose end is in the store since a time.
type closedJob struct {
	job      core.JobID
	storedAt time.Time
}

// Counts are running totals for metrics.
type Counts struct {
	Starts, Refused, Unanswered, Ends, Failures, Cuts, Lapses, Stops, Asks uint64
}

// Decision is one decision for the log.
type Decision struct {
	Job    core.JobID
	Event  string
	Worker core.WorkerID
	Task   string
	Run    uint64
	Wait   time.Duration
	Reason string
}

// bounded returns the limits that the board goes by.
func (l Limits) bounded() Limits {
	l.Lease = min(l.Lease, maxLease)
	return l
}

// Option changes a board under construction.
type Option func(*Scheduler)

// WithLostState is for an owner that has decided under its epoch before and has
// forgotten what.
func WithLostState() Option {
	return func(b *Scheduler) { b.settled, b.ownEpoch = false, b.epoch+1 }
}

// New returns an empty board under a new owner's epoch.
func New(now time.Time, epoch core.Epoch, limits Limits, p *policy.Policy, opts ...Option) *Scheduler {
	b := &Scheduler{
		epoch: epoch, ownEpoch: epoch, now: now, settled: epoch <= 1, limits: limits.bounded(), policy: p, estimator: cell.NewEstimator(),
		jobs: map[core.JobID]*Job{}, workers: map[core.WorkerID]*Worker{},
		openPhases: map[*phase]struct{}{}, futurePhases: map[*phase]struct{}{},
		used: map[core.Team]core.Resources{}, shares: map[core.Team]*teamShare{}, adviceStats: map[core.Queue]adviceStats{}, unresolved: map[*Task]struct{}{}, unresolvedNeed: map[core.Team]core.Resources{}, dirty: map[core.JobID]*Job{},
	}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Epoch returns the owner's epoch.
func (b *Scheduler) Epoch() core.Epoch { return b.epoch }

// Counts returns the running totals.
func (b *Scheduler) Counts() Counts { return b.counts }

// SetLimits follows changed figures of the fleet.
func (b *Scheduler) SetLimits(l Limits) { b.limits = l.bounded() }

// SetPolicy follows a newer configuration.
func (b *Scheduler) SetPolicy(p *policy.Policy) {
	b.policy = p
	for _, j := range b.jobs {
		if !j.ended() {
			j.setDeadlines()
		}
	}
	b.needsPlacement = true
}

// Decisions returns and forgets the decisions since the last call.
func (b *Scheduler) Decisions() []Decision {
	out := b.decisions
	b.decisions = nil
	return out
}

// Refusals returns and forgets the events that a chart refused.
func (b *Scheduler) Refusals() []error {
	out := b.refusals
	b.refusals = nil
	return out
}

func (b *Scheduler) addRefusal(err error) {
	if err != nil {
		b.refusals = append(b.refusals, err)
	}
}

// Orders returns and forgets the calls to workers decided since the last call.
func (b *Scheduler) Orders() []Order {
	out := b.orders
	b.orders = nil
	return out
}

// Accept takes in a job that is in the store. It reports whether it is new.
func (b *Scheduler) Accept(now time.Time, spec jobs.Spec) bool {
	b.now = now
	if b.jobs[spec.ID] != nil || b.isForLaterOwner(&spec) {
		return false
	}
	j := b.add(spec)
	b.recoverJob(j)
	b.resolveRecovered()
	j.openPhases()
	return true
}

// isForLaterOwner reports whether a job is left to a later owner, which relies on no earlier
// one having started any of it.
func (b *Scheduler) isForLaterOwner(spec *jobs.Spec) bool {
	if spec.FirstEpoch <= b.epoch {
		return false
	}
	b.laterEpoch = max(b.laterEpoch, spec.FirstEpoch)
	return true
}

// LaterEpoch returns the epoch of the latest owner that a job has named, 0 if none is
// later than this one.
func (b *Scheduler) LaterEpoch() core.Epoch { return b.laterEpoch }

// recoverJob finds what an earlier owner, which may have known the job first, has
// started of it. Until every worker has been heard of, and has had its ends
// taken in, it may have run anywhere, unless its VM knew of this owner before.
func (b *Scheduler) recoverJob(j *Job) {
	if j.ended() || j.Spec.FirstEpoch >= b.ownEpoch {
		return
	}
	started := !b.settled || b.hasUnreportedWorkers()
	for _, w := range b.sortedWorkers {
		for id := range w.unknownRuns {
			started = started || id.Job == j.Spec.ID
		}
	}
	if !started {
		return
	}
	for _, t := range j.tasks {
		t.fire(taskRecover)
	}
	for _, w := range b.sortedWorkers {
		for id, run := range w.unknownRuns {
			if t := b.task(id); id.Job == j.Spec.ID && t != nil && t.state == taskHeld {
				t.eventWorker, t.run = w, run
				t.fire(taskFound)
				delete(w.unknownRuns, id)
			}
		}
	}
}

// UnknownJobSeen reports, once, whether a worker has named a job that the board does
// not know.
func (b *Scheduler) UnknownJobSeen() bool {
	m := b.unknownJobSeen
	b.unknownJobSeen = false
	return m
}

// Load takes over the recorded jobs. What an earlier owner may have started may
// still run somewhere.
func (b *Scheduler) Load(now time.Time, specs []jobs.Spec, progress map[core.JobID]jobs.Progress) {
	b.now = now
	slices.SortFunc(specs, func(x, y jobs.Spec) int { return x.Accepted.Compare(y.Accepted) })
	for _, s := range specs {
		p := progress[s.ID]
		if b.jobs[s.ID] != nil || b.isForLaterOwner(&s) {
			continue
		}
		j := b.add(s)
		j.restore(&p)
		b.recoverJob(j)
		j.openPhases()
		j.completeIfDone()
		if j.state == jobClosed {
			b.closed = append(b.closed, closedJob{j.Spec.ID, now})
		}
	}
}

// Cancel ends a job whose cancellation is in the store. It reports whether the
// job is known.
func (b *Scheduler) Cancel(now time.Time, id core.JobID) bool {
	b.now = now
	j := b.jobs[id]
	if j == nil {
		return false
	}
	if !j.ended() {
		j.progress.State = jobs.Cancelled
		j.fire(jobCancel)
		j.markDirty()
	}
	return true
}

// State returns how a job is shown to its client, if it is known.
func (b *Scheduler) State(id core.JobID) (jobs.State, bool) {
	j := b.jobs[id]
	if j == nil {
		return "", false
	}
	return j.clientState(), true
}

// Pending returns how many jobs of each queue have not started any task and
// are due.
func (b *Scheduler) Pending() map[core.Queue]int {
	out := map[core.Queue]int{}
	for _, j := range b.jobs {
		if j.state == jobQueued {
			out[j.Spec.Queue]++
		}
	}
	return out
}

// Batch returns the progress to record next, and nothing while an earlier
// record is in flight.
func (b *Scheduler) Batch() []jobs.Progress {
	if b.inFlight != nil || len(b.dirty) == 0 {
		return nil
	}
	var rows []jobs.Progress
	for id, j := range b.dirty {
		if len(rows) == maxBatchRows {
			break
		}
		rows = append(rows, j.progress.Clone())
		b.inFlight = append(b.inFlight, inFlightRow{j, j.progress.State})
		delete(b.dirty, id)
	}
	if len(b.dirty) == 0 {
		b.inFlightSeq = b.changeSeq
	}
	return rows
}

// BatchStored follows a record that is in the store.
func (b *Scheduler) BatchStored(now time.Time) {
	b.now = now
	for _, f := range b.inFlight {
		if f.state != "" && f.job.state == jobClosing {
			f.job.fire(jobRecorded)
			f.job.logEnd()
			b.closed = append(b.closed, closedJob{f.job.Spec.ID, now})
		}
	}
	b.inFlight = nil
	b.storedSeq = b.inFlightSeq
	for len(b.closed) > maxClosedJobs {
		b.forgetOldest()
	}
}

// forgetOldest forgets the job that ended first, and returns its name.
func (b *Scheduler) forgetOldest() core.JobID {
	id := b.closed[0].job
	b.closed = b.closed[1:]
	b.forget(id)
	return id
}

// Expired returns, and forgets, jobs that have ended longer ago than clients may
// ask for them; their rows can be deleted. It returns at most a number of them.
func (b *Scheduler) Expired(now time.Time, keep time.Duration, most int) []core.JobID {
	var out []core.JobID
	for len(b.closed) > 0 && len(out) < most && now.Sub(b.closed[0].storedAt) > keep {
		out = append(out, b.forgetOldest())
	}
	return out
}

// BatchFailed puts a record back that surely is not in the store.
func (b *Scheduler) BatchFailed() {
	for _, f := range b.inFlight {
		b.dirty[f.job.Spec.ID] = f.job
	}
	b.inFlight = nil
	b.inFlightSeq = b.storedSeq
}

func (b *Scheduler) forget(id core.JobID) {
	if j := b.jobs[id]; j != nil && j.tasksPlaced == 0 {
		delete(b.jobs, id)
	}
}

func (b *Scheduler) chargeTeam(team core.Team, r core.Resources) { b.used[team] = b.used[team].Add(r) }

func (b *Scheduler) creditTeam(team core.Team, r core.Resources) {
	b.used[team] = b.used[team].Sub(r)
	b.needsPlacement = true
}

// task returns a task by its name.
func (b *Scheduler) task(id jobs.TaskID) *Task {
	j := b.jobs[id.Job]
	if j == nil || id.Phase >= len(j.Spec.Phases) || id.Occurrence >= j.Spec.Occurrences() {
		return nil
	}
	u := j.phases[id.Occurrence*len(j.Spec.Phases)+id.Phase]
	if id.Index >= len(u.tasks) {
		return nil
	}
	return u.tasks[id.Index]
}

// Settled reports whether every worker that an earlier owner may have used has
// been heard of.
func (b *Scheduler) Settled() bool { return b.settled }

// resolveRecovered frees the recovered tasks once every worker has been heard of: what
// no worker has reported runs nowhere.
func (b *Scheduler) resolveRecovered() {
	if b.settled && len(b.unresolved) == 0 || b.hasUnreportedWorkers() {
		return
	}
	b.settled = true
	b.needsPlacement = true
	freed := map[*phase]struct{}{}
	for t := range b.unresolved {
		t.fire(taskClear)
		freed[t.phase] = struct{}{}
	}
	for u := range freed {
		// A gang that lacks a member does not work.
		if u.spec.Gang && u.tasksPlaced > 0 && !u.gangDone {
			u.stopGang()
		}
	}
}

// hasUnreportedWorkers reports whether a worker may run, or may have ended, tasks that the
// board does not know of.
func (b *Scheduler) hasUnreportedWorkers() bool {
	return slices.ContainsFunc(b.sortedWorkers, (*Worker).unreported)
}

func (w *Worker) unreported() bool { return w.state == workerFresh || !w.blockedSince.IsZero() }

// sumUnreportedRoom returns the room of the workers that have not been heard of.
func (b *Scheduler) sumUnreportedRoom() core.Resources {
	var sum core.Resources
	for _, w := range b.sortedWorkers {
		if w.unreported() {
			sum = sum.Add(w.info.Room)
		}
	}
	return sum
}
