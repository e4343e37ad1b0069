package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/google/btree"

	"chicoryturn/core"
	"chicoryturn/core/rules"
)

const (
	// MaxTasks is the maximum number of tasks of one job.
	MaxTasks = 10000
	// maxTriedJobs is the maximum number of jobs of a team that one pass tries
	// without success.
	maxTriedJobs = 32
	// urgentWithin is how long before its latest start a job is placed
	// regardless of the shares.
	urgentWithin = 2 * time.Second
	// maxPlacements is the maximum number of placements in one pass, so that a
	// pass takes only milliseconds.
	maxPlacements = 500
)

// Order is the order in which queued work is placed.
type Order string

// The orders.
const (
	// ByLatest serves the team furthest below its share first, and of its jobs
	// the one with the earliest latest start.
	ByLatest Order = "latest"
	// ByArrival serves jobs in order of submission, whatever their team. It is
	// a baseline for measurements.
	ByArrival Order = "arrival"
)

// Weight is the source of the teams' weights.
type Weight string

// The weights.
const (
	// ByShare weighs teams by the shares in the rules.
	ByShare Weight = "share"
	// ByEqualWeight gives all teams the same weight. It is a baseline for
	// measurements.
	ByEqualWeight Weight = "equal"
	// ByDemand weighs teams by the cores of their running and queued tasks,
	// after the task-demand policy of Ghit, Yigitbasi, Iosup and Epema
	// (SIGMETRICS 2014).
	ByDemand Weight = "demand"
)

// Policy configures the placement of a cell.
type Policy struct {
	Order  Order
	Weight Weight
	// BestFit places a task on the worker on which it leaves the least room unused,
	// instead of the one with the most free cores.
	BestFit bool
	// Backfill lets short tasks use room that is reserved for a gang.
	Backfill bool
	// Reserve reserves room for a gang that does not fit yet.
	Reserve bool
	// Preempt preempts batch tasks of teams above their share for jobs with a start
	// deadline and for jobs of teams below theirs that have waited for
	// preemptAfter.
	Preempt bool
}

// DefaultPolicy returns the policy of a cell unless WithPolicy sets another.
func DefaultPolicy() Policy {
	return Policy{Order: ByLatest, Weight: ByShare, BestFit: true, Backfill: true, Reserve: true, Preempt: true}
}

// lessJob orders jobs by latest start, then by submission.
func lessJob(a, b *Job) bool {
	if !a.latestStart.Equal(b.latestStart) {
		return a.latestStart.Before(b.latestStart)
	}
	return a.seq < b.seq
}

// queueOf returns a team's queue, which it creates if necessary.
func (c *Cell) queueOf(team core.Team) *teamQueue {
	q := c.teamQueues[team]
	if q == nil {
		q = &teamQueue{team: team, jobs: btree.NewG(queueDegree, lessJob)}
		c.teamQueues[team] = q
	}
	return q
}

// enqueue puts a job into its team's queue, ordered by latest start. A job
// without queued tasks is removed from the queue.
func (c *Cell) enqueue(j *Job) {
	if len(j.queuedTasks) == 0 || j.cancelled || jobChart.Final(j.state) {
		c.dequeue(j)
		return
	}
	c.needsPlan = true
	previous := j.latestStart
	latest := j.Spec.Submitted
	if c.policy.Order != ByArrival {
		latest = j.computeLatestStart()
	}
	if j.inTeamQueue && latest.Equal(previous) {
		return
	}
	c.dequeue(j)
	j.latestStart = latest
	q := c.queueOf(j.Spec.Team)
	q.jobs.ReplaceOrInsert(j)
	q.queuedCores += j.queuedCores
	j.inTeamQueue = true
}

// dequeue removes a job from its team's queue.
func (c *Cell) dequeue(j *Job) {
	if !j.inTeamQueue {
		return
	}
	q := c.queueOf(j.Spec.Team)
	q.jobs.Delete(j)
	q.queuedCores -= j.queuedCores
	j.inTeamQueue = false
}

// pushQueued adds a task to the job's queued tasks and its cores to the sums.
func (j *Job) pushQueued(i int) {
	j.queuedTasks = append(j.queuedTasks, i)
	j.addQueuedCores(j.Spec.Tasks[i].Need.Cores)
}

// removeQueued removes a task from the job's queued tasks and its cores from
// the sums.
func (j *Job) removeQueued(i int) {
	last := len(j.queuedTasks) - 1
	if last >= 0 && j.queuedTasks[last] == i {
		j.queuedTasks = j.queuedTasks[:last]
	} else if pos := slices.Index(j.queuedTasks, i); pos >= 0 {
		j.queuedTasks = slices.Delete(j.queuedTasks, pos, pos+1)
	} else {
		return
	}
	j.addQueuedCores(-j.Spec.Tasks[i].Need.Cores)
}

// addQueuedCores adds to the sums of queued cores of the job and of its team.
func (j *Job) addQueuedCores(cores int64) {
	j.queuedCores += cores
	if j.inTeamQueue {
		j.cell.queueOf(j.Spec.Team).queuedCores += cores
	}
}

// placementPass is the state of one pass of placement.
type placementPass struct {
	cell *Cell
	// unfitNeeds are needs for which the search found no worker with room. Tasks
	// whose need is at least as large are skipped.
	unfitNeeds []core.Resources
	placements int
}

// Plan places queued tasks and reports whether another pass may place more.
func (c *Cell) Plan(now time.Time) bool {
	c.now = now
	if !c.needsPlan {
		return false
	}
	c.needsPlan = false
	c.shares.SetTotal(c.roomIndex.Total())
	c.updateWeights()
	p := &placementPass{cell: c}
	p.placeUrgent()
	p.placeByShare()
	c.updateDemand()
	if p.placements >= maxPlacements {
		c.needsPlan = true
	}
	return c.needsPlan
}

// updateWeights sets the teams' weights for this pass, unless they come from
// the rules.
func (c *Cell) updateWeights() {
	for _, q := range c.teamQueues {
		switch c.policy.Weight {
		case ByEqualWeight:
			c.shares.SetShare(q.team, 1)
		case ByDemand:
			c.shares.SetShare(q.team, float64(c.shares.Used(q.team).Cores+q.queuedCores))
		}
	}
}

// updateDemand reports to the limits what each team could use now.
func (c *Cell) updateDemand() {
	for _, q := range c.teamQueues {
		c.limits.SetDemand(LimitName(q.team), c.shares.Used(q.team).Cores+q.queuedCores)
	}
}

// placeUrgent places jobs that have a start deadline or are close to their
// latest start, regardless of the shares.
func (p *placementPass) placeUrgent() {
	if p.cell.policy.Order == ByArrival {
		return
	}
	for _, q := range p.sortedQueues() {
		tried := 0
		for p.placements < maxPlacements && tried < maxTriedJobs {
			j := p.nextJob(q, &tried)
			if j == nil || (j.Spec.Start.IsZero() && j.latestStart.Sub(p.cell.now) > urgentWithin) {
				break
			}
			p.tryJob(j, &tried)
		}
	}
}

// sortedQueues returns the queues of teams with queued work, the team furthest
// below its share first.
func (p *placementPass) sortedQueues() []*teamQueue {
	var out []*teamQueue
	for _, q := range p.cell.teamQueues {
		if q.jobs.Len() > 0 {
			out = append(out, q)
		}
	}
	slices.SortFunc(out, func(a, b *teamQueue) int {
		return cmp.Or(cmp.Compare(p.cell.queueRank(a), p.cell.queueRank(b)), cmp.Compare(a.team, b.team))
	})
	return out
}

// queueRank returns the position of a team's queue in the placement order; the
// lowest is served first.
func (c *Cell) queueRank(q *teamQueue) float64 {
	if c.policy.Order == ByArrival {
		if j, ok := q.jobs.Min(); ok {
			return float64(j.latestStart.UnixNano())
		}
	}
	return c.shares.Rank(q.team)
}

// placeByShare gives each placement to the team that is furthest below its
// share.
func (p *placementPass) placeByShare() {
	queues := p.sortedQueues()
	tried := map[*teamQueue]*int{}
	for len(queues) > 0 && p.placements < maxPlacements {
		q := queues[0]
		if tried[q] == nil {
			tried[q] = new(int)
		}
		j := p.nextJob(q, tried[q])
		if j == nil || *tried[q] >= maxTriedJobs {
			queues = queues[1:]
			continue
		}
		p.tryJob(j, tried[q])
		queues = p.reorderFirst(queues)
	}
}

// reorderFirst moves the first queue to its position by rank after a placement
// has changed the rank, or removes it if it is empty.
func (p *placementPass) reorderFirst(queues []*teamQueue) []*teamQueue {
	first := queues[0]
	if first.jobs.Len() == 0 {
		return queues[1:]
	}
	rank := p.cell.queueRank(first)
	next := 1
	for next < len(queues) && p.cell.queueRank(queues[next]) < rank {
		queues[next-1] = queues[next]
		next++
	}
	queues[next-1] = first
	return queues
}

// nextJob returns the first job of a queue after those that were tried without
// success.
func (p *placementPass) nextJob(q *teamQueue, tried *int) *Job {
	var found *Job
	i := 0
	q.jobs.Ascend(func(j *Job) bool {
		if i == *tried {
			found = j
			return false
		}
		i++
		return true
	})
	return found
}

// tryJob places the next task of a job, or all tasks of a gang. If that fails,
// it counts the job as tried.
func (p *placementPass) tryJob(j *Job, tried *int) {
	if j.Spec.Kind == rules.Gang && j.activeTasks == 0 {
		if !p.cell.placeGang(p, j) {
			*tried++
		}
		return
	}
	c := p.cell
	t := &j.tasks[j.queuedTasks[len(j.queuedTasks)-1]]
	need := t.spec().Need
	if c.limits.Available(LimitName(j.Spec.Team)) < need.Cores {
		*tried++
		return
	}
	id, ok := p.findWorker(t, need)
	if !ok {
		if c.mayPreempt(j) {
			c.preemptFor(t)
		}
		*tried++
		return
	}
	p.placeTask(t, c.workers[id])
	c.enqueue(j)
}

// placeTask starts a new run of a queued task on a worker.
func (p *placementPass) placeTask(t *Task, w *Worker) {
	j := t.job
	j.removeQueued(t.index)
	t.eventWorker = w
	t.startedAt = time.Time{}
	t.fire(taskEventPlace)
	p.placements++
	p.cell.counts.Starts++
}

// findWorker returns a worker that has room for a task and may run it.
func (p *placementPass) findWorker(t *Task, need core.Resources) (core.WorkerID, bool) {
	for _, unfit := range p.unfitNeeds {
		if unfit.FitsIn(need) {
			return "", false
		}
	}
	c := p.cell
	// restricted is set when the search skips a worker for a reason that may not
	// apply to other tasks. The need is then not added to unfitNeeds.
	restricted := len(t.failedOn) > 0
	allow := func(id core.WorkerID) bool {
		if t.failedOn.Has(id) || !c.workers[id].usable() {
			restricted = true
			return false
		}
		if c.reservation.blocks(c, t, id) {
			restricted = true
			return false
		}
		return true
	}
	search := c.roomIndex.WorstFit
	if c.policy.BestFit {
		search = c.roomIndex.BestFit
	}
	id, ok := search(need, allow)
	if !ok && !restricted {
		p.unfitNeeds = append(p.unfitNeeds, need)
	}
	// A task that has failed on all workers may run on any of them again.
	if !ok && len(t.failedOn) > 0 && len(t.failedOn) >= c.roomIndex.Len() {
		t.failedOn = nil
	}
	return id, ok
}
