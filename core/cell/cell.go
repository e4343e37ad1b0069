// Package cell decides on the workers and jobs of one cell. Its owner calls it
// from one goroutine; time enters as a value and messages leave as values.
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
	// defaultStartDelay is the latest start of work that is owed none.
	defaultStartDelay = time.Hour
	// longPollDivisor divides the lease time of a worker into contacts.
	longPollDivisor = 3
	// retryDivisor divides it into the pause before a missed contact is retried.
	retryDivisor = 12
	// maxBatchEntries bounds the entries of one write.
	maxBatchEntries = 2000
	// maxEndedJobs is how many ended jobs are kept for display.
	maxEndedJobs = 2000
	// queueDegree is that of the trees of waiting jobs.
	queueDegree = 16
	// epochShift leaves room for the runs of one epoch below its number.
	epochShift = 32
	// DefaultWorkerTTL is how long a worker goes on without contact.
	DefaultWorkerTTL = 6 * time.Second
)

// IndexOf returns the cell of its region to which a worker belongs.
func IndexOf(w core.WorkerID, cells int) int {
	return int(xxhash.Sum64String(string(w)) % uint64(max(cells, 1)))
}

// Limits says how much of each team's limit this cell may use.
type Limits interface {
	// Available returns what is left of the cell's part of a limit.
	Available(name string) int64
	// Use takes n of it; negative n gives back.
	Use(name string, n int64)
	// Excess returns what must be ended because a limit has been lowered.
	Excess(name string) int64
	// SetDemand tells what the cell could use now, the used part included.
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
	now       time.Time
	loading   bool

	workers map[core.WorkerID]*Worker
	// workersByID holds the workers sorted by ID.
	workersByID []*Worker
	sendQueue   []*Worker
	// recordedWorkers are the workers that have ever been recorded as used here; tasks
	// are placed on no other.
	recordedWorkers core.Set[core.WorkerID]
	lastOrder       uint64
	// runCount counts the runs begun under this epoch.
	runCount  uint64
	roomIndex *place.Index
	estimator *Estimator
	shares    *share.Table

	jobs     map[core.JobID]*Job
	openJobs int
	// endedJobs holds the ended jobs, the oldest first.
	endedJobs  []core.JobID
	teamQueues map[core.Team]*teamQueue
	// heldTasks are the recovered tasks that may run on a worker not heard of yet;
	// they count against their team's limit.
	heldTasks   core.Set[*Task]
	reservation *gangReservation
	lastJobSeq  uint64
	needsPlan   bool
	// preemptCursor is the worker at which the last search for room ended.
	preemptCursor  int
	pendingEntries []Entry
	inFlight       []Entry
	taskWaits      []TaskWait
	refusedEvents  []error
	counts         Counts
}

// Counts are running totals for metrics.
type Counts struct {
	Starts, Ends, Lapses, Yields uint64
}

// teamQueue is one team's waiting work.
type teamQueue struct {
	team core.Team
	// jobs holds the jobs with queued tasks by latest start.
	jobs *btree.BTreeG[*Job]
	// queuedCores sums the queued tasks, in thousandths of a core.
	queuedCores int64
}

// Option changes a cell under construction.
type Option func(*Cell)

// WithWorkerTTL sets how long a worker goes on without contact.
func WithWorkerTTL(ttl time.Duration) Option { return func(c *Cell) { c.workerTTL = ttl } }

// WithPolicy sets the placement policy.
func WithPolicy(p Policy) Option { return func(c *Cell) { c.policy = p } }

// New returns an empty cell under a new owner's epoch.
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

// ID returns the cell's name.
func (c *Cell) ID() core.CellID { return c.id }

// Epoch returns the owner's epoch.
func (c *Cell) Epoch() core.Epoch { return c.epoch }

// recordRefused keeps an event that a chart refused, for the log.
func (c *Cell) recordRefused(err error) {
	if err != nil {
		c.refusedEvents = append(c.refusedEvents, err)
	}
}

// Refusals returns and forgets the events that a chart refused.
func (c *Cell) Refusals() []error {
	out := c.refusedEvents
	c.refusedEvents = nil
	return out
}

// Waits returns and forgets the waiting times of tasks started since the last
// call.
func (c *Cell) Waits() []TaskWait {
	out := c.taskWaits
	c.taskWaits = nil
	return out
}

// Counts returns the running totals.
func (c *Cell) Counts() Counts { return c.counts }

// SetRules follows a new configuration.
func (c *Cell) SetRules(set *rules.Set) {
	c.shares.SetRules(set)
	c.needsPlan = true
}

// SetRemoteUse tells what a team uses in other cells and the fleet's room.
func (c *Cell) SetRemoteUse(team core.Team, cores, fleet int64) { c.shares.SetAfar(team, cores, fleet) }

// SetWorkers follows a new list of the cell's worker VMs.
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

func (c *Cell) removeGoneWorkers() {
	c.workersByID = slices.DeleteFunc(c.workersByID, func(w *Worker) bool {
		if w.state == workerStateGone {
			delete(c.workers, w.id)
			c.roomIndex.Drop(w.id)
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

func (c *Cell) sortedJobs() []*Job {
	out := make([]*Job, 0, len(c.jobs))
	for _, j := range c.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *Job) int { return cmp.Compare(a.seq, b.seq) })
	return out
}

// updateRoom shows the worker's room to placement if it may take tasks.
func (c *Cell) updateRoom(w *Worker) {
	if !w.usable() || !c.recordedWorkers.Has(w.id) {
		c.roomIndex.Drop(w.id)
		return
	}
	c.roomIndex.Put(w.id, w.free, w.room)
	c.needsPlan = true
}

// allocate charges room on a worker and a team's limit.
func (c *Cell) allocate(w *Worker, team core.Team, need core.Resources) {
	w.free = w.free.Sub(need)
	c.shares.Use(team, need)
	c.limits.Use(LimitName(team), need.Cores)
	c.updateRoom(w)
}

func (c *Cell) deallocate(w *Worker, team core.Team, need core.Resources) {
	back := core.Resources{}.Sub(need)
	w.free = w.free.Add(need)
	c.shares.Use(team, back)
	c.limits.Use(LimitName(team), -need.Cores)
	c.updateRoom(w)
}

// addHeld counts a task against its team's limit while it may run somewhere.
func (c *Cell) addHeld(t *Task) {
	c.heldTasks.Add(t)
	c.limits.Use(LimitName(t.job.Spec.Team), t.spec().Need.Cores)
}

func (c *Cell) removeHeld(t *Task) {
	if c.heldTasks.Has(t) {
		delete(c.heldTasks, t)
		c.limits.Use(LimitName(t.job.Spec.Team), -t.spec().Need.Cores)
	}
}

// requeueHeld queues the recovered tasks once no worker can be running them.
func (c *Cell) requeueHeld() {
	if len(c.heldTasks) == 0 || c.loading || c.unreportedWorkers() > 0 {
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

// unreportedWorkers counts the workers that may run tasks of an earlier owner.
func (c *Cell) unreportedWorkers() int {
	n := 0
	for _, w := range c.workersByID {
		if w.state == workerStateNew {
			n++
		}
	}
	return n
}

// Tick follows the passing of time.
func (c *Cell) Tick(now time.Time) {
	c.now = now
	gone := false
	for _, w := range c.workersByID {
		if w.state != workerStateLapsed && now.After(w.leaseEnd()) {
			w.fire(workerEventExpire)
		}
		if w.state == workerStateLapsed && !w.vm.Addr.IsValid() {
			w.fire(workerEventVanish)
			gone = true
		}
		if w.health == healthStateAside && now.After(w.nextProbe) {
			c.recordRefused(healthChart.Fire(&w.health, healthEventProbe, w))
		}
		if !w.pollInFlight || w.hasNewOrders {
			c.queueHeartbeat(w)
		}
	}
	if gone {
		c.removeGoneWorkers()
	}
	c.expireReservation()
	c.enforceLimits()
}

// Submit takes in a job. The job counts once Recorded has named it; a repeated
// submission of the same ID returns false and no error.
func (c *Cell) Submit(now time.Time, spec JobSpec) (bool, error) {
	c.now = now
	if c.jobs[spec.ID] != nil {
		return false, nil
	}
	if err := c.checkSize(&spec); err != nil {
		return false, err
	}
	j := c.addJob(spec)
	c.appendEntry(Entry{Accept: &j.Spec})
	return true, nil
}

// Recording reports whether a job is still on its way to the store.
func (c *Cell) Recording(id core.JobID) bool {
	j := c.jobs[id]
	return j != nil && jobChart.Name(j.state) == "offered"
}

func (c *Cell) addJob(spec JobSpec) *Job {
	c.lastJobSeq++
	j := &Job{Spec: spec, cell: c, state: jobChart.Start(), seq: c.lastJobSeq, openTasks: len(spec.Tasks)}
	j.tasks = make([]Task, len(spec.Tasks))
	for i := range j.tasks {
		j.tasks[i] = Task{job: j, index: i, state: taskChart.Start()}
	}
	c.jobs[spec.ID] = j
	c.openJobs++
	return j
}

func (c *Cell) checkSize(spec *JobSpec) error {
	if len(spec.Tasks) == 0 || len(spec.Tasks) > MaxTasks {
		return core.Refuse(core.CodeBadInput, "a job has 1 to %d tasks, not %d", MaxTasks, len(spec.Tasks))
	}
	sum := core.Resources{}
	for i, t := range spec.Tasks {
		if t.Need.Cores <= 0 || t.Need.Memory < 0 || t.Need.Accel < 0 || t.Estimate < 0 {
			return core.Refuse(core.CodeBadInput, "task %d needs a positive number of cores and no negative amount", i)
		}
		if !c.fitsAnyWorker(t.Need) {
			return core.Refuse(core.CodeTooLarge, "task %d is larger than any worker of cell %s", i, c.id)
		}
		sum = sum.Add(t.Need)
	}
	if spec.Kind == rules.Gang && !sum.Fits(c.totalRoom()) {
		return core.Refuse(core.CodeTooLarge, "the job's tasks together are larger than cell %s", c.id)
	}
	return nil
}

// fitsAnyWorker reports whether a task fits some worker that is empty.
func (c *Cell) fitsAnyWorker(need core.Resources) bool {
	for _, w := range c.workersByID {
		if need.Fits(w.vm.Room) {
			return true
		}
	}
	return false
}

func (c *Cell) totalRoom() core.Resources {
	sum := core.Resources{}
	for _, w := range c.workersByID {
		sum = sum.Add(w.vm.Room)
	}
	return sum
}

// Cancel ends a job. Its queued tasks end at once, the others when their
// workers have confirmed.
func (c *Cell) Cancel(now time.Time, id core.JobID) error {
	c.now = now
	j := c.jobs[id]
	if j == nil {
		return core.Refuse(core.CodeNoJob, "no job %q in cell %s", id, c.id)
	}
	if j.cancelled || j.openTasks == 0 {
		return nil
	}
	if c.Recording(id) {
		r := core.Refuse(core.CodeBusy, "job %q is still being recorded", id)
		r.RetryAfter = time.Second
		return r
	}
	c.appendEntry(Entry{Cancel: id})
	j.fire(jobEventCancel)
	return nil
}

// Show returns one job.
func (c *Cell) Show(id core.JobID) (View, bool) {
	j := c.jobs[id]
	if j == nil {
		return View{}, false
	}
	return j.View(), true
}

// List returns the jobs of a team, or of all teams, the newest first.
func (c *Cell) List(team core.Team, most int) []View {
	var out []View
	jobs := c.sortedJobs()
	slices.Reverse(jobs)
	for _, j := range jobs {
		if len(out) < most && (team == "" || j.Spec.Team == team) {
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

func (c *Cell) recordSuccess(t *Task, ran time.Duration) {
	c.counts.Ends++
	c.estimator.Learn(t.job.Spec.Queue, t.spec().Estimate, ran)
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
