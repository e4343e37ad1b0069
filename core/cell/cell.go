// Package cell schedules the jobs of one cell on its workers. The owner of the
// cell calls it from one goroutine, passes the time in, and sends the messages
// that it returns.
package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/btree"

	"chicoryturn/core"
	"chicoryturn/core/place"
	"chicoryturn/core/rules"
	"chicoryturn/core/share"
)

const (
	// defaultStartDelay is the time from submission to the latest start of a
	// job that declares neither a start nor a due time.
	defaultStartDelay = time.Hour
	// longPollDivisor is the number of long polls per lease of a worker: a long
	// poll lasts at most a third of the lease, so that the lease is renewed well
	// before it expires.
	longPollDivisor = 3
	// retryDivisor is the number of retry delays per lease: a failed heartbeat is
	// retried after a twelfth of the lease.
	retryDivisor = 12
	// maxBatchEntries is the maximum number of journal entries in one write.
	maxBatchEntries = 2000
	// maxEndedJobs is the number of ended jobs that are kept for display.
	maxEndedJobs = 2000
	// queueDegree is the degree of the B-trees of queued jobs.
	queueDegree = 16
	// epochShift puts the epoch into the upper bits of a run number, so that run
	// numbers of different epochs never collide.
	epochShift = 32
	// DefaultWorkerTTL is the duration of a worker's lease, which a heartbeat
	// renews.
	DefaultWorkerTTL = 6 * time.Second
)

// IndexOf returns the index, within its region, of the cell that a worker
// belongs to.
func IndexOf(w core.WorkerID, cells int) int {
	return int(xxhash.Sum64String(string(w)) % uint64(max(cells, 1)))
}

// Limits is this cell's part of each team's limit.
type Limits interface {
	// Available returns the unused amount of the cell's part of a limit.
	Available(name string) int64
	// Use adds n to the used amount of a limit; a negative n subtracts.
	Use(name string, n int64)
	// Excess returns the used amount that must be freed because the limit has
	// been lowered.
	Excess(name string) int64
	// SetDemand reports the amount that the cell could use now, including what it
	// already uses.
	SetDemand(name string, n int64)
}

// LimitName returns the name of the limit on a team's running tasks.
func LimitName(t core.Team) string { return "cores/" + string(t) }

// TaskWait is the time from a task's submission to its start.
type TaskWait struct {
	Queue core.Queue
	Team  core.Team
	Time  time.Duration
}

// Cell is the state of one cell under one owner.
type Cell struct {
	id        core.CellID
	epoch     core.Epoch
	workerTTL time.Duration
	policy    Policy
	limits    Limits
	// now is the time passed to the current call.
	now time.Time
	// loading is set while LoadJournal replays entries, which must not be written
	// again.
	loading bool

	workers map[core.WorkerID]*Worker
	// workersByID holds the workers in order of their ID.
	workersByID []*Worker
	// sendQueue holds the workers for which a heartbeat may be due.
	sendQueue []*Worker
	// recordedWorkers are the workers that the journal lists as used by the
	// cell. Tasks are placed only on these, so that the next owner knows all
	// workers that may run tasks.
	recordedWorkers core.Set[core.WorkerID]
	// lastOrder is the Order of the newest heartbeat of this epoch.
	lastOrder uint64
	// runCount is the number of runs assigned in this epoch.
	runCount  uint64
	roomIndex *place.Index
	estimator *Estimator
	shares    *share.Table

	jobs     map[core.JobID]*Job
	openJobs int
	// endedJobs holds the ended jobs, oldest first.
	endedJobs  []core.JobID
	teamQueues map[core.Team]*teamQueue
	// heldTasks are the tasks in state held. They may run on a worker that has
	// not reported yet, so they count against their team's limit.
	heldTasks core.Set[*Task]
	// reservation is the room reserved for one gang, if any.
	reservation *gangReservation
	// lastJobSeq is the sequence number of the newest job.
	lastJobSeq uint64
	// needsPlan is set when a change may allow a task to be placed.
	needsPlan bool
	// preemptCursor is the index in workersByID at which the last search for
	// tasks to preempt ended.
	preemptCursor  int
	pendingEntries []Entry
	// inFlight is the batch being written, if any.
	inFlight  []Entry
	taskWaits []TaskWait
	// refusedEvents are the events that a chart refused, for the log.
	refusedEvents []error
	counts        Counts
}

// Counts are running totals for metrics: runs assigned to a worker (Starts), runs
// that are done (Ends), runs lost with their worker (Lapses), and tasks preempted
// to make room for another task (Yields).
type Counts struct {
	Starts, Ends, Lapses, Yields uint64
}

// teamQueue holds one team's queued work.
type teamQueue struct {
	team core.Team
	// jobs holds the jobs with queued tasks, ordered by latest start.
	jobs *btree.BTreeG[*Job]
	// queuedCores is the cores of all queued tasks, in thousandths of a core.
	queuedCores int64
}

// Option configures a new cell.
type Option func(*Cell)

// WithWorkerTTL sets the duration of a worker's lease.
func WithWorkerTTL(ttl time.Duration) Option { return func(c *Cell) { c.workerTTL = ttl } }

// WithPolicy sets the placement policy.
func WithPolicy(p Policy) Option { return func(c *Cell) { c.policy = p } }

// New returns an empty cell for an owner with the given epoch.
func New(id core.CellID, epoch core.Epoch, limits Limits, opts ...Option) *Cell {
	c := &Cell{
		id: id, epoch: epoch, limits: limits, workerTTL: DefaultWorkerTTL, policy: DefaultPolicy(),
		workers: map[core.WorkerID]*Worker{}, recordedWorkers: core.NewSet[core.WorkerID](),
		roomIndex: place.New(), estimator: NewEstimator(), shares: share.New(),
		jobs: map[core.JobID]*Job{}, teamQueues: map[core.Team]*teamQueue{}, heldTasks: core.NewSet[*Task](),
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// ID returns the ID of the cell.
func (c *Cell) ID() core.CellID { return c.id }

// Epoch returns the owner's epoch.
func (c *Cell) Epoch() core.Epoch { return c.epoch }

// recordRefused keeps the error of an event that a chart refused, for the log.
func (c *Cell) recordRefused(err error) {
	if err != nil {
		c.refusedEvents = append(c.refusedEvents, err)
	}
}

// RefusedEvents returns the events that a chart refused since the last call.
func (c *Cell) RefusedEvents() []error {
	out := c.refusedEvents
	c.refusedEvents = nil
	return out
}

// TaskWaits returns the wait times of the tasks that started since the last call.
func (c *Cell) TaskWaits() []TaskWait {
	out := c.taskWaits
	c.taskWaits = nil
	return out
}

// Counts returns the running totals.
func (c *Cell) Counts() Counts { return c.counts }

// SetRules applies the rules of a new configuration.
func (c *Cell) SetRules(set *rules.Set) {
	c.shares.SetRules(set)
	c.needsPlan = true
}

// SetRemoteUse sets the cores that count as a team's use in other cells and the
// cores of the whole fleet, both in thousandths of a core.
func (c *Cell) SetRemoteUse(team core.Team, cores, fleetCores int64) {
	c.shares.SetRemoteUse(team, cores, fleetCores)
}

// SetWorkers replaces the list of the cell's worker VMs.
func (c *Cell) SetWorkers(now time.Time, vms []core.VM) {
	c.now = now
	listed := core.NewSet[core.WorkerID]()
	for _, vm := range vms {
		id := core.WorkerID(vm.Name)
		listed.Add(id)
		w := c.workers[id]
		if w == nil || w.state == workerStateGone {
			w = c.addWorker(id)
		}
		w.vm, w.leaving = vm, vm.Leaving
		c.queueHeartbeat(w)
		c.updateRoom(w)
	}
	for _, w := range c.workersByID {
		if !listed.Has(w.id) && w.vm.Addr.IsValid() {
			w.fire(workerEventVanish)
		}
	}
	c.removeGoneWorkers()
	c.checkBlocked()
}

// addWorker adds a worker. It also adds a journal entry unless the worker is
// already recorded.
func (c *Cell) addWorker(id core.WorkerID) *Worker {
	w := &Worker{
		id: id, cell: c, state: workerChart.Start(), health: healthChart.Start(), lastReportAt: c.now,
		tasks: map[core.TaskID]*Task{}, orphans: map[core.TaskID]orphanedRun{},
	}
	c.workers[id] = w
	i, _ := slices.BinarySearchFunc(c.workersByID, id, func(o *Worker, id core.WorkerID) int { return cmp.Compare(o.id, id) })
	c.workersByID = slices.Insert(c.workersByID, i, w)
	if !c.recordedWorkers.Has(id) {
		c.appendEntry(Entry{Worker: id})
	}
	return w
}

// removeGoneWorkers removes the workers in state gone and adds journal entries
// for them.
func (c *Cell) removeGoneWorkers() {
	c.workersByID = slices.DeleteFunc(c.workersByID, func(w *Worker) bool {
		if w.state == workerStateGone {
			delete(c.workers, w.id)
			c.roomIndex.Remove(w.id)
			c.appendEntry(Entry{Gone: w.id})
		}
		return w.state == workerStateGone
	})
}

func (c *Cell) recordedWorkerIDs() []core.WorkerID {
	out := make([]core.WorkerID, 0, len(c.recordedWorkers))
	for id := range c.recordedWorkers {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// sortedJobs returns the jobs in order of submission.
func (c *Cell) sortedJobs() []*Job {
	out := make([]*Job, 0, len(c.jobs))
	for _, j := range c.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *Job) int { return cmp.Compare(a.seq, b.seq) })
	return out
}

// updateRoom puts the worker's room into the placement index if tasks may be
// placed on it, and removes it otherwise.
func (c *Cell) updateRoom(w *Worker) {
	if !w.usable() || !c.recordedWorkers.Has(w.id) {
		c.roomIndex.Remove(w.id)
		return
	}
	c.roomIndex.Put(w.id, w.free, w.capacity)
	c.needsPlan = true
}

// allocate takes room of a worker and counts it against a team's share and
// limit.
func (c *Cell) allocate(w *Worker, team core.Team, need core.Resources) {
	w.free = w.free.Sub(need)
	c.shares.AddUse(team, need)
	c.limits.Use(LimitName(team), need.Cores)
	c.updateRoom(w)
}

// deallocate reverses allocate.
func (c *Cell) deallocate(w *Worker, team core.Team, need core.Resources) {
	negated := core.Resources{}.Sub(need)
	w.free = w.free.Add(need)
	c.shares.AddUse(team, negated)
	c.limits.Use(LimitName(team), -need.Cores)
	c.updateRoom(w)
}

// addHeld counts a held task against its team's limit, because it may run on a
// worker that has not reported yet.
func (c *Cell) addHeld(t *Task) {
	c.heldTasks.Add(t)
	c.limits.Use(LimitName(t.job.Spec.Team), t.spec().Need.Cores)
}

// removeHeld reverses addHeld if the task is held.
func (c *Cell) removeHeld(t *Task) {
	if c.heldTasks.Has(t) {
		delete(c.heldTasks, t)
		c.limits.Use(LimitName(t.job.Spec.Team), -t.spec().Need.Cores)
	}
}

// requeueHeld queues the held tasks once no worker can be running them.
func (c *Cell) requeueHeld() {
	if len(c.heldTasks) == 0 || c.loading || c.countUnreported() > 0 {
		return
	}
	held := make([]*Task, 0, len(c.heldTasks))
	for t := range c.heldTasks {
		held = append(held, t)
	}
	sortTasks(held)
	for _, t := range held {
		t.fire(taskEventClear)
	}
}

// countUnreported returns the number of workers that have not reported to this
// owner and may run tasks of an earlier one.
func (c *Cell) countUnreported() int {
	n := 0
	for _, w := range c.workersByID {
		if w.state == workerStateNew {
			n++
		}
	}
	return n
}

// Tick handles everything that is due at a given time: expired leases, trials of
// workers set aside, heartbeats, gang reservations and lowered limits.
func (c *Cell) Tick(now time.Time) {
	c.now = now
	removeGone := false
	for _, w := range c.workersByID {
		if w.state != workerStateLapsed && now.After(w.leaseEnd()) {
			w.fire(workerEventExpire)
		}
		if w.state == workerStateLapsed && !w.vm.Addr.IsValid() {
			w.fire(workerEventVanish)
			removeGone = true
		}
		if w.health == healthStateAside && now.After(w.nextProbe) {
			c.recordRefused(healthChart.Fire(&w.health, healthEventProbe, w))
		}
		if !w.pollInFlight || w.hasNewOrders {
			c.queueHeartbeat(w)
		}
	}
	if removeGone {
		c.removeGoneWorkers()
	}
	c.expireReservation()
	c.enforceLimits()
}

// Cancel cancels a job. Its queued and held tasks end at once, the others when
// their workers have confirmed the stop.
func (c *Cell) Cancel(now time.Time, id core.JobID) error {
	c.now = now
	j := c.jobs[id]
	if j == nil {
		return core.Refuse(core.CodeUnknownJob, "no job %q in cell %s", id, c.id)
	}
	if j.cancelled || j.openTasks == 0 {
		return nil
	}
	if c.IsRecording(id) {
		r := core.Refuse(core.CodeBusy, "job %q is still being recorded", id)
		r.RetryAfter = time.Second
		return r
	}
	c.appendEntry(Entry{Cancel: id})
	j.fire(jobEventCancel)
	return nil
}

// Job returns the state of one job for display.
func (c *Cell) Job(id core.JobID) (View, bool) {
	j := c.jobs[id]
	if j == nil {
		return View{}, false
	}
	return j.View(), true
}

// List returns the state of up to limit jobs of a team, newest first. An empty
// team means all teams.
func (c *Cell) List(team core.Team, limit int) []View {
	var out []View
	jobs := c.sortedJobs()
	slices.Reverse(jobs)
	for _, j := range jobs {
		if len(out) < limit && (team == "" || j.Spec.Team == team) {
			out = append(out, j.View())
		}
	}
	return out
}

func (c *Cell) task(id core.TaskID) *Task {
	j := c.jobs[id.Job]
	if j == nil || id.Index < 0 || id.Index >= len(j.tasks) {
		return nil
	}
	return &j.tasks[id.Index]
}

// recordSuccess counts a run that is done and passes its run time to the
// estimator.
func (c *Cell) recordSuccess(t *Task, elapsed time.Duration) {
	c.counts.Ends++
	c.estimator.Learn(t.job.Spec.Queue, t.spec().Estimate, elapsed)
}

func lessTaskID(a, b core.TaskID) bool {
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	return a.Index < b.Index
}

func sortTasks(ts []*Task) {
	slices.SortFunc(ts, func(a, b *Task) int {
		if lessTaskID(a.ID(), b.ID()) {
			return -1
		}
		return 1
	})
}
