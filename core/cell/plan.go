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
	// MaxTasks bounds the tasks of one job.
	MaxTasks = 10000
	// maxTriedJobs bounds the jobs of a team that are tried while none fits.
	maxTriedJobs = 32
	// urgentWithin is how close a latest start must be to come before shares.
	urgentWithin = 2 * time.Second
	// maxPlacements bounds the placements of one pass, so that a pass stays within
	// milliseconds.
	maxPlacements = 500
)

// Order says in which order waiting work is placed.
type Order string

// The orders.
const (
	// ByLatest serves the team furthest below its share, then the job that
	// must start first.
	ByLatest Order = "latest"
	// ByArrival serves jobs as they came, whatever their team; it is the
	// baseline.
	ByArrival Order = "arrival"
)

// Weight says by what teams are weighed against each other.
type Weight string

// The weights.
const (
	// ByShare weighs teams by the shares in the rules.
	ByShare Weight = "share"
	// Equally weighs all teams alike; it is a baseline.
	Equally Weight = "equal"
	// ByDemand weighs teams by the cores of their running and waiting tasks,
	// after the task-demand policy of Ghit, Yigitbasi, Iosup and Epema
	// (SIGMETRICS 2014).
	ByDemand Weight = "demand"
)

// Policy is what the placement of a cell may vary in.
type Policy struct {
	Order  Order
	Weight Weight
	// BestFit picks the tightest worker instead of the first one.
	BestFit bool
	// Backfill lets small work run on room that is reserved for a gang.
	Backfill bool
	// Reserve keeps room for a gang that does not fit yet.
	Reserve bool
	// Yield has batch tasks of teams above their share checkpoint and make
	// room for urgent work and for teams long below theirs.
	Yield bool
}

// DefaultPolicy returns the policy in use.
func DefaultPolicy() Policy {
	return Policy{Order: ByLatest, Weight: ByShare, BestFit: true, Backfill: true, Reserve: true, Yield: true}
}

func lessJob(a, b *Job) bool {
	if !a.latestStart.Equal(b.latestStart) {
		return a.latestStart.Before(b.latestStart)
	}
	return a.seq < b.seq
}

func (c *Cell) queueOf(team core.Team) *teamQueue {
	l := c.teamQueues[team]
	if l == nil {
		l = &teamQueue{team: team, jobs: btree.NewG(queueDegree, lessJob)}
		c.teamQueues[team] = l
	}
	return l
}

// enqueue puts a job where its latest start belongs, if it has queued tasks.
func (c *Cell) enqueue(j *Job) {
	if len(j.queuedTasks) == 0 || j.cancelled || jobChart.Final(j.state) {
		c.dequeue(j)
		return
	}
	c.needsPlan = true
	was := j.latestStart
	latest := j.Spec.Submitted
	if c.policy.Order != ByArrival {
		latest = j.computeLatestStart()
	}
	if j.inQueue && latest.Equal(was) {
		return
	}
	c.dequeue(j)
	j.latestStart = latest
	l := c.queueOf(j.Spec.Team)
	l.jobs.ReplaceOrInsert(j)
	l.queuedCores += j.queuedCores
	j.inQueue = true
}

func (c *Cell) dequeue(j *Job) {
	if !j.inQueue {
		return
	}
	l := c.queueOf(j.Spec.Team)
	l.jobs.Delete(j)
	l.queuedCores -= j.queuedCores
	j.inQueue = false
}

// pushQueued and pull keep the sum of queued cores beside the queued tasks.
func (j *Job) pushQueued(i int) {
	j.queuedTasks = append(j.queuedTasks, i)
	j.addQueuedCores(j.Spec.Tasks[i].Need.Cores)
}

func (j *Job) removeQueued(i int) {
	last := len(j.queuedTasks) - 1
	if last >= 0 && j.queuedTasks[last] == i {
		j.queuedTasks = j.queuedTasks[:last]
	} else if at := slices.Index(j.queuedTasks, i); at >= 0 {
		j.queuedTasks = slices.Delete(j.queuedTasks, at, at+1)
	} else {
		return
	}
	j.addQueuedCores(-j.Spec.Tasks[i].Need.Cores)
}

func (j *Job) addQueuedCores(cores int64) {
	j.queuedCores += cores
	if j.inQueue {
		j.cell.queueOf(j.Spec.Team).queuedCores += cores
	}
}

// placementPass is one round of placement.
type placementPass struct {
	cell *Cell
	// unfitNeeds are needs that no worker has room for; anything larger is skipped.
	unfitNeeds []core.Resources
	placements int
}

// Plan places waiting tasks and reports whether another pass is worth while.
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

// updateWeights sets the teams' weights for this pass if they do not come from the
// rules.
func (c *Cell) updateWeights() {
	for _, l := range c.teamQueues {
		switch c.policy.Weight {
		case Equally:
			c.shares.SetShare(l.team, 1)
		case ByDemand:
			c.shares.SetShare(l.team, float64(c.shares.Used(l.team).Cores+l.queuedCores))
		}
	}
}

// updateDemand tells the limits what each team could use.
func (c *Cell) updateDemand() {
	for _, l := range c.teamQueues {
		c.limits.SetDemand(LimitName(l.team), c.shares.Used(l.team).Cores+l.queuedCores)
	}
}

// placeUrgent places what is owed an early start or is about to miss its latest
// one, whatever the shares.
func (p *placementPass) placeUrgent() {
	if p.cell.policy.Order == ByArrival {
		return
	}
	for _, l := range p.sortedQueues() {
		tried := 0
		for p.placements < maxPlacements && tried < maxTriedJobs {
			j := p.nextJob(l, &tried)
			if j == nil || (j.Spec.Start.IsZero() && j.latestStart.Sub(p.cell.now) > urgentWithin) {
				break
			}
			p.tryJob(j, &tried)
		}
	}
}

// sortedQueues returns the teams with waiting work, the one furthest below its share
// first.
func (p *placementPass) sortedQueues() []*teamQueue {
	var out []*teamQueue
	for _, l := range p.cell.teamQueues {
		if l.jobs.Len() > 0 {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b *teamQueue) int {
		return cmp.Or(cmp.Compare(p.cell.queueRank(a), p.cell.queueRank(b)), cmp.Compare(a.team, b.team))
	})
	return out
}

func (c *Cell) queueRank(l *teamQueue) float64 {
	if c.policy.Order == ByArrival {
		if j, ok := l.jobs.Min(); ok {
			return float64(j.latestStart.UnixNano())
		}
	}
	return c.shares.Rank(l.team)
}

// placeByShare gives each placement to the team that is furthest below its share.
func (p *placementPass) placeByShare() {
	lines := p.sortedQueues()
	tried := map[*teamQueue]*int{}
	for len(lines) > 0 && p.placements < maxPlacements {
		l := lines[0]
		if tried[l] == nil {
			tried[l] = new(int)
		}
		j := p.nextJob(l, tried[l])
		if j == nil || *tried[l] >= maxTriedJobs {
			lines = lines[1:]
			continue
		}
		p.tryJob(j, tried[l])
		lines = p.reorderFirst(lines)
	}
}

// reorderFirst moves the first line back to where its rank belongs.
func (p *placementPass) reorderFirst(lines []*teamQueue) []*teamQueue {
	first := lines[0]
	if first.jobs.Len() == 0 {
		return lines[1:]
	}
	rank := p.cell.queueRank(first)
	i := 1
	for i < len(lines) && p.cell.queueRank(lines[i]) < rank {
		lines[i-1] = lines[i]
		i++
	}
	lines[i-1] = first
	return lines
}

// nextJob returns the line's job after those that were tried in vain.
func (p *placementPass) nextJob(l *teamQueue, tried *int) *Job {
	var found *Job
	i := 0
	l.jobs.Ascend(func(j *Job) bool {
		if i == *tried {
			found = j
			return false
		}
		i++
		return true
	})
	return found
}

// tryJob places the next task of a job, or all tasks of a gang; in vain, it
// counts the job as tried.
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

func (p *placementPass) placeTask(t *Task, w *Worker) {
	j := t.job
	j.removeQueued(t.index)
	t.eventWorker = w
	t.startedAt = time.Time{}
	t.fire(taskEventPlace)
	p.placements++
	p.cell.counts.Starts++
}

func (p *placementPass) findWorker(t *Task, need core.Resources) (core.WorkerID, bool) {
	for _, u := range p.unfitNeeds {
		if u.Fits(need) {
			return "", false
		}
	}
	c := p.cell
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
	search := c.roomIndex.First
	if c.policy.BestFit {
		search = c.roomIndex.Best
	}
	id, ok := search(need, allow)
	if !ok && !restricted {
		p.unfitNeeds = append(p.unfitNeeds, need)
	}
	if !ok && len(t.failedOn) > 0 && len(t.failedOn) >= c.roomIndex.Len() {
		t.failedOn = nil
	}
	return id, ok
}
