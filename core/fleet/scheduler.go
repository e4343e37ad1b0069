// Package fleet makes the decisions for all jobs and workers of the fleet under
// one owner. The owner calls it from one goroutine. Time is passed in as a
// value; orders to workers, advice requests and progress to record are returned
// as values.
package fleet

import (
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/cell"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
)

const (
	// A run number holds the owner's epoch above runNumberBits bits that count
	// the runs of a task, so that later owners use higher numbers. The first
	// owner's runs begin at 1.
	runNumberBits = 20
	// maxClosedJobs bounds the ended jobs kept in memory to answer queries. Older ones
	// are read from the store.
	maxClosedJobs = 8000
	// maxLease bounds the leases granted where the platform allows longer ones,
	// since the tasks of a silent worker can start on another one only after
	// its lease has expired. It outlasts a change of owner: 2.5 s for the
	// election, 1.5 s for loading the state and the first heartbeat, and 1.5 s
	// for the age of the last renewal.
	maxLease = 6 * time.Second
)

// Limits are the settings and platform figures that bound the scheduler's
// decisions.
type Limits struct {
	// Lease is how long a worker keeps its runs without a renewal.
	Lease time.Duration
	// ListTimeout is the shortest silence of a worker after which the platform
	// removes it from its list.
	ListTimeout time.Duration
	// Retention is how long clients may query an ended job.
	Retention time.Duration
	// GangWait is how long the tasks of a gang wait for one another.
	GangWait time.Duration
	// Memory is the memory limit of the process in bytes; 0 means none.
	Memory int64
	// RemoteFactor multiplies the run times of tasks outside their phase's
	// rack.
	RemoteFactor float64
	// Evacuate is the time after which nothing more is started in a zone that the operator
	// has evacuated; 0 if the settings name none.
	Evacuate time.Duration
	// EvacuateSkew is by how much disturbances of the store may extend that.
	EvacuateSkew time.Duration
}

// Scheduler holds the state of the fleet under one owner and makes its
// decisions.
type Scheduler struct {
	epoch     core.Epoch
	now       time.Time
	startedAt time.Time
	// exhaustive makes each pass examine all open phases and workers.
	exhaustive bool
	waiting    waiting
	limits     Limits
	policy     *policy.Policy
	estimator  *cell.Estimator

	// listedRuns and waitingEnds are used while an answer is handled: the runs that it lists as
	// active, and those of its ends that are not handled yet.
	listedRuns, waitingEnds runSet

	jobs    map[core.JobID]*Job
	workers map[core.WorkerID]*Worker
	// sortedWorkers holds the workers sorted by name, for deterministic
	// decisions.
	sortedWorkers []*Worker
	misdirected   misdirected
	evacuation    evacuation
	// open holds the phases whose tasks may start.
	open openList
	// due holds the jobs with occurrences that have not been built in their turn.
	due map[core.Team]dueQueue
	// accepted counts the bytes of the jobs that have not ended, built those of the
	// occurrences in memory, placed those of the tasks with a state of their own, and
	// advised those of the advisor's answers, which for a team were last freed at
	// adviceFreedAt.
	accepted, built, placed, advised *budget.Budget
	adviceFreedAt                    map[core.Team]time.Time
	// parked holds the jobs for which there is no memory, parkedOf those of each team and
	// parkedBytes what they would take. urgentParked are those that are read whether there
	// is room or not, since they are cancelled or a worker has named their runs.
	parked       map[core.JobID]*parkedJob
	parkedOf     map[core.Team]parkedQueue
	parkedBytes  map[core.Team]int64
	urgentParked core.Set[core.JobID]
	// readingParked is set while rows of parked jobs are read, for which the budget
	// accepted holds what reserved takes.
	readingParked bool
	reserved      []*parkedJob
	// teamsWaiting counts the teams of which an occurrence that is due waits for memory.
	teamsWaiting int
	// used is the room that each team's runs hold on workers.
	used map[core.Team]core.Resources
	// unresolved holds the recovered tasks that may still run on a worker that
	// has not reported, unresolvedNeed what those of each team would take.
	unresolved     map[*Task]struct{}
	unresolvedNeed map[core.Team]core.Resources
	// heldPhases holds the phases with such tasks that no worker has named.
	heldPhases map[*phase]struct{}
	// unreportedCapacity is the total capacity of the workers that have not
	// reported. It is updated only while tasks are unresolved.
	unreportedCapacity core.Resources
	shares             map[core.Team]*teamShare
	// adviceStats counts how many of the workers named for a queue were
	// allowed.
	adviceStats map[core.Queue]adviceStats
	// rosterVersion is incremented when the roster changes.
	rosterVersion uint64
	// listedAt is when the list of workers was last read.
	listedAt  time.Time
	lists     listSeries
	authority authority
	reach     reach
	// rosterUnknown is set if earlier owners may have used workers that the restored
	// roster lacks.
	rosterUnknown bool
	// allReported is set once the runs of earlier owners are known, except on workers
	// whose roster entries name them.
	allReported bool

	// dirty holds the jobs whose progress must be stored, inFlight those in the
	// batch whose outcome is not known yet. While the store refuses a batch for what it
	// holds, isolation finds the job.
	dirty     map[core.JobID]*Job
	inFlight  []inFlightRow
	isolation isolation
	// changeSeq numbers the changes of progress. Those up to storedSeq are in
	// the store; those up to inFlightSeq will be once the batch in flight is
	// stored.
	changeSeq, inFlightSeq, storedSeq uint64
	// closed holds the jobs whose end has been stored and whose rows have not been
	// deleted, the oldest end first. The first trimmed ones are no longer in jobs.
	closed  []closedJob
	trimmed int
	// forgotten holds the jobs that have ended, or could not be read, and are not in jobs,
	// each with the time when its rows were deleted, zero before. deleted holds those with
	// a time, the oldest first.
	forgotten map[core.JobID]time.Time
	deleted   []deletedJob
	// cancelledEarly holds the jobs whose cancellation has come in before them, with the time.
	cancelledEarly map[core.JobID]time.Time

	// orders, decisions and refusedEvents hold what the caller has not collected
	// yet.
	orders        []Order
	decisions     []Decision
	refusedEvents []error
	counts        Counts
	// starts counts the starts that have not been answered, startTeams holds the team of
	// each.
	starts     *budget.Budget
	startTeams map[startID]core.Team
	lastJobSeq uint64
	stopRepeat stopRepeat
	scratch    scratch
	// rooms and placing are the state of one pass over the open phases.
	rooms   rooms
	placing turns[*group]
	round   adviceRound
	backlog backlog
	// needsPlacement is set when a change may let waiting tasks start.
	needsPlacement bool
	// progressSeen is set once any worker has reported progress of a run.
	progressSeen bool
	// jobsReadAt is when the last successful read of new jobs from the store was sent.
	jobsReadAt time.Time
	// unknownJobSeen is set when a worker names a job that the scheduler does
	// not know.
	unknownJobSeen bool
	// laterEpoch is the highest FirstEpoch of a job above this owner's epoch, 0
	// if there is none.
	laterEpoch core.Epoch
}

// bounded returns the limits with the lease reduced to maxLease.
func (l Limits) bounded() Limits {
	l.Lease = min(l.Lease, maxLease)
	return l
}

// Option configures a new Scheduler.
type Option func(*Scheduler)

// WithUnknownRoster marks an owner that does not know all workers that earlier ones may
// have used.
func WithUnknownRoster() Option { return func(s *Scheduler) { s.rosterUnknown = true } }

// New returns a scheduler without jobs and workers for a new owner's epoch.
func New(now time.Time, epoch core.Epoch, limits Limits, p *policy.Policy, opts ...Option) *Scheduler {
	s := &Scheduler{
		epoch: epoch, now: now, startedAt: now, allReported: epoch <= 1,
		authority: authority{replacedAt: now, acting: true},
		limits:    limits.bounded(), policy: p, estimator: cell.NewEstimator(),
		jobs: map[core.JobID]*Job{}, workers: map[core.WorkerID]*Worker{}, misdirected: misdirected{},
		due: map[core.Team]dueQueue{}, rooms: newRooms(),
		used: map[core.Team]core.Resources{}, shares: map[core.Team]*teamShare{}, adviceStats: map[core.Queue]adviceStats{},
		unresolved: map[*Task]struct{}{}, unresolvedNeed: map[core.Team]core.Resources{}, heldPhases: map[*phase]struct{}{},
		accepted: budget.New(0, 0), built: budget.New(0, 0), placed: budget.New(0, 0), advised: budget.New(0, 0),
		adviceFreedAt: map[core.Team]time.Time{}, starts: budget.New(0, 0), startTeams: map[startID]core.Team{},
		parked: map[core.JobID]*parkedJob{}, parkedOf: map[core.Team]parkedQueue{}, parkedBytes: map[core.Team]int64{},
		urgentParked: core.Set[core.JobID]{}, forgotten: map[core.JobID]time.Time{}, cancelledEarly: map[core.JobID]time.Time{}, dirty: map[core.JobID]*Job{},
		reach: reach{since: now},
	}
	s.resizeBudgets()
	for _, o := range opts {
		o(s)
	}
	return s
}

// Epoch returns the owner's epoch.
func (s *Scheduler) Epoch() core.Epoch { return s.epoch }

// Counts returns the running totals.
func (s *Scheduler) Counts() Counts { return s.counts }

// SetLimits replaces the limits.
func (s *Scheduler) SetLimits(l Limits) {
	s.limits = l.bounded()
	s.resizeBudgets()
}

// SetPolicy replaces the policy, and recomputes the deadlines of the jobs that have not ended
// and whether they have failed.
func (s *Scheduler) SetPolicy(p *policy.Policy) {
	old := s.policy
	s.policy = p
	s.resizeBudgets()
	s.logUnnamed(old)
	for _, j := range s.jobs {
		if !j.ended() {
			j.setPolicy(old)
		}
	}
	s.rooms.forget()
	s.needsPlacement = true
}

// Decisions returns the decisions since the last call and clears them.
func (s *Scheduler) Decisions() []Decision {
	out := s.decisions
	s.decisions = nil
	return out
}

// RefusedEvents returns the events that a chart has refused since the last call and
// clears them.
func (s *Scheduler) RefusedEvents() []error {
	out := s.refusedEvents
	s.refusedEvents = nil
	return out
}

func (s *Scheduler) recordRefused(err error) {
	if err != nil {
		s.refusedEvents = append(s.refusedEvents, err)
	}
}

// Orders returns the calls to workers decided since the last call and clears
// them.
func (s *Scheduler) Orders() []Order {
	out := s.orders
	s.orders = nil
	return out
}

// Accept adds a job that is in the store. It reports whether the job is new.
func (s *Scheduler) Accept(now time.Time, spec jobs.Spec) bool {
	s.now = now
	if s.jobs[spec.ID] != nil || s.parked[spec.ID] != nil || s.isForLaterOwner(spec.FirstEpoch) {
		return false
	}
	if s.readAgain(NewStub(&spec), "came in by a message or the feed") {
		return false
	}
	if !s.accepted.AdmitsOne(spec.Team, spec.Bytes()) {
		s.park(&parkedJob{Stub: NewStub(&spec)})
		s.logParked(spec.ID)
		return true
	}
	j := s.add(spec)
	s.adoptUnknownRuns(j)
	s.addDue(j)
	j.cancelIfEarly()
	s.buildDue()
	s.resolveRecovered()
	return true
}

// isForLaterOwner reports whether a job must be left to a later owner, which
// relies on no earlier one having started any of its tasks.
func (s *Scheduler) isForLaterOwner(first core.Epoch) bool {
	if first <= s.epoch {
		return false
	}
	s.laterEpoch = max(s.laterEpoch, first)
	return true
}

// LaterEpoch returns the highest epoch that a job is reserved for, or 0 if none
// is later than this owner's.
func (s *Scheduler) LaterEpoch() core.Epoch { return s.laterEpoch }

// UnknownJobSeen reports whether a worker has named a job that the scheduler
// does not know, and clears the mark.
func (s *Scheduler) UnknownJobSeen() bool {
	seen := s.unknownJobSeen
	s.unknownJobSeen = false
	return seen
}

// Load adds the stored jobs with their progress. Tasks that an earlier owner
// may have started may still be running. It parks the jobs for which there is no memory.
func (s *Scheduler) Load(now time.Time, specs []jobs.Spec, progress map[core.JobID]jobs.Progress) {
	s.now = now
	s.load(specs, progress, false)
}

// load is Load, or adds the rows of parked jobs, of which it parks none again.
func (s *Scheduler) load(specs []jobs.Spec, progress map[core.JobID]jobs.Progress, rowsOfParked bool) {
	slices.SortFunc(specs, func(x, y jobs.Spec) int { return x.Accepted.Compare(y.Accepted) })
	for _, spec := range specs {
		recorded := progress[spec.ID]
		if s.jobs[spec.ID] != nil || s.isForLaterOwner(spec.FirstEpoch) {
			continue
		}
		p := s.parked[spec.ID]
		// A parked or forgotten job may have made progress that a load has missed.
		if !rowsOfParked && (p != nil || s.readAgain(loadedStub(&spec, &recorded), "was loaded")) {
			continue
		}
		if p != nil {
			s.unpark(p)
		}
		if !rowsOfParked && !recorded.State.Final() && !s.accepted.AdmitsOne(spec.Team, spec.Bytes()) {
			s.park(&parkedJob{Stub: loadedStub(&spec, &recorded)})
			continue
		}
		j := s.add(spec)
		j.restore(&recorded)
		if j.state == jobClosed {
			j.shrink()
			s.closed = append(s.closed, closedJob{j.Spec.ID, s.now})
			continue
		}
		s.adoptUnknownRuns(j)
		s.addDue(j)
		j.completeIfDone()
		j.failIfSpent()
		if p != nil && p.cancelled {
			j.cancel()
		}
		j.cancelIfEarly()
	}
	s.trimClosed()
	s.buildDue()
}

// Cancel ends a job whose cancellation is in the store. It reports whether the
// job is known.
func (s *Scheduler) Cancel(now time.Time, id core.JobID) bool {
	s.now = now
	if p := s.parked[id]; p != nil {
		p.cancelled = true
		s.urgentParked.Add(id)
		return true
	}
	j := s.jobs[id]
	if j == nil {
		s.cancelEarly(id)
		return false
	}
	j.cancel()
	return true
}

// State returns the state that clients see of a job, if the job is known.
func (s *Scheduler) State(id core.JobID) (jobs.State, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", false
	}
	return j.clientState(), true
}

// Pending returns, for each queue, the number of jobs that have not started any
// task.
func (s *Scheduler) Pending() map[core.Queue]int {
	out := map[core.Queue]int{}
	for _, j := range s.jobs {
		if j.state == jobQueued {
			out[j.Spec.Queue]++
		}
	}
	for _, p := range s.parked {
		if !p.Started && !p.cancelled {
			out[p.Queue]++
		}
	}
	return out
}

func (s *Scheduler) chargeTeam(team core.Team, r core.Resources) { s.used[team] = s.used[team].Add(r) }

func (s *Scheduler) creditTeam(team core.Team, r core.Resources) {
	s.used[team] = s.used[team].Sub(r)
	s.needsPlacement = true
}
