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
	// lookahead bounds the jobs of a team that are tried while none fits.
	lookahead = 32
	// urgentWithin is how close a latest start must be to come before shares.
	urgentWithin = 2 * time.Second
	// maxPlan bounds the placements of one pass, so that a pass stays within
	// milliseconds.
	maxPlan = 500
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
	if !a.latest.Equal(b.latest) {
		return a.latest.Before(b.latest)
	}
	return a.seq < b.seq
}

func (c *Cell) line(team core.Team) *line {
	l := c.teams[team]
	if l == nil {
		l = &line{team: team, jobs: btree.NewG(queueDegree, lessJob)}
		c.teams[team] = l
	}
	return l
}

// enqueue puts a job where its latest start belongs, if it has queued tasks.
func (c *Cell) enqueue(j *Job) {
	if len(j.queued) == 0 || j.cancelled || jobChart.Final(j.state) {
		c.dequeue(j)
		return
	}
	c.changed = true
	was := j.latest
	latest := j.Spec.Submitted
	if c.policy.Order != ByArrival {
		latest = j.due()
	}
	if j.inQueue && latest.Equal(was) {
		return
	}
	c.dequeue(j)
	j.latest = latest
	l := c.line(j.Spec.Team)
	l.jobs.ReplaceOrInsert(j)
	l.cores += j.cores
	j.inQueue = true
}

func (c *Cell) dequeue(j *Job) {
	if !j.inQueue {
		return
	}
	l := c.line(j.Spec.Team)
	l.jobs.Delete(j)
	l.cores -= j.cores
	j.inQueue = false
}

// push and pull keep the sum of queued cores beside the queued tasks.
func (j *Job) push(i int) {
	j.queued = append(j.queued, i)
	j.charge(j.Spec.Tasks[i].Need.Cores)
}

func (j *Job) pull(i int) {
	last := len(j.queued) - 1
	if last >= 0 && j.queued[last] == i {
		j.queued = j.queued[:last]
	} else if at := slices.Index(j.queued, i); at >= 0 {
		j.queued = slices.Delete(j.queued, at, at+1)
	} else {
		return
	}
	j.charge(-j.Spec.Tasks[i].Need.Cores)
}

func (j *Job) charge(cores int64) {
	j.cores += cores
	if j.inQueue {
		j.cell.line(j.Spec.Team).cores += cores
	}
}

// pass is one round of placement.
type pass struct {
	cell *Cell
	// unfit are needs that no worker has room for; anything larger is skipped.
	unfit  []core.Resources
	placed int
}

// Plan places waiting tasks and reports whether another pass is worth while.
func (c *Cell) Plan(now time.Time) bool {
	c.now = now
	if !c.changed {
		return false
	}
	c.changed = false
	c.shares.SetTotal(c.rooms.Total())
	c.weigh()
	p := &pass{cell: c}
	p.urgent()
	p.shared()
	c.wants()
	if p.placed >= maxPlan {
		c.changed = true
	}
	return c.changed
}

// weigh sets the teams' weights for this pass if they do not come from the
// rules.
func (c *Cell) weigh() {
	for _, l := range c.teams {
		switch c.policy.Weight {
		case Equally:
			c.shares.SetShare(l.team, 1)
		case ByDemand:
			c.shares.SetShare(l.team, float64(c.shares.Used(l.team).Cores+l.cores))
		}
	}
}

// wants tells the limits what each team could use.
func (c *Cell) wants() {
	for _, l := range c.teams {
		c.limits.SetDemand(LimitName(l.team), c.shares.Used(l.team).Cores+l.cores)
	}
}

// urgent places what is owed an early start or is about to miss its latest
// one, whatever the shares.
func (p *pass) urgent() {
	if p.cell.policy.Order == ByArrival {
		return
	}
	for _, l := range p.lines() {
		tried := 0
		for p.placed < maxPlan && tried < lookahead {
			j := p.next(l, &tried)
			if j == nil || (j.Spec.Start.IsZero() && j.latest.Sub(p.cell.now) > urgentWithin) {
				break
			}
			p.one(j, &tried)
		}
	}
}

// lines returns the teams with waiting work, the one furthest below its share
// first.
func (p *pass) lines() []*line {
	var out []*line
	for _, l := range p.cell.teams {
		if l.jobs.Len() > 0 {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b *line) int {
		return cmp.Or(cmp.Compare(p.cell.rank(a), p.cell.rank(b)), cmp.Compare(a.team, b.team))
	})
	return out
}

func (c *Cell) rank(l *line) float64 {
	if c.policy.Order == ByArrival {
		if j, ok := l.jobs.Min(); ok {
			return float64(j.latest.UnixNano())
		}
	}
	return c.shares.Rank(l.team)
}

// shared gives each placement to the team that is furthest below its share.
func (p *pass) shared() {
	lines := p.lines()
	tried := map[*line]*int{}
	for len(lines) > 0 && p.placed < maxPlan {
		l := lines[0]
		if tried[l] == nil {
			tried[l] = new(int)
		}
		j := p.next(l, tried[l])
		if j == nil || *tried[l] >= lookahead {
			lines = lines[1:]
			continue
		}
		p.one(j, tried[l])
		lines = p.sink(lines)
	}
}

// sink moves the first line back to where its rank belongs.
func (p *pass) sink(lines []*line) []*line {
	first := lines[0]
	if first.jobs.Len() == 0 {
		return lines[1:]
	}
	rank := p.cell.rank(first)
	i := 1
	for i < len(lines) && p.cell.rank(lines[i]) < rank {
		lines[i-1] = lines[i]
		i++
	}
	lines[i-1] = first
	return lines
}

// next returns the line's job after those that were tried in vain.
func (p *pass) next(l *line, tried *int) *Job {
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

// one places the next task of a job, or all tasks of a gang; in vain, it
// counts the job as tried.
func (p *pass) one(j *Job, tried *int) {
	if j.Spec.Kind == rules.Gang && j.active == 0 {
		if !p.cell.placeGang(p, j) {
			*tried++
		}
		return
	}
	c := p.cell
	t := &j.tasks[j.queued[len(j.queued)-1]]
	need := t.spec().Need
	if c.limits.Available(LimitName(j.Spec.Team)) < need.Cores {
		*tried++
		return
	}
	id, ok := p.find(t, need)
	if !ok {
		if c.mayYield(j) {
			c.yield(t)
		}
		*tried++
		return
	}
	p.place(t, c.workers[id])
	c.enqueue(j)
}

func (p *pass) place(t *Task, w *Worker) {
	j := t.job
	j.pull(t.index)
	t.next = w
	t.started = time.Time{}
	t.fire(taskPlace)
	p.placed++
	p.cell.counts.Starts++
}

func (p *pass) find(t *Task, need core.Resources) (core.WorkerID, bool) {
	for _, u := range p.unfit {
		if u.Fits(need) {
			return "", false
		}
	}
	c := p.cell
	restricted := len(t.avoid) > 0
	allow := func(id core.WorkerID) bool {
		if t.avoid.Has(id) || !c.workers[id].usable() {
			restricted = true
			return false
		}
		if c.gang.blocks(c, t, id) {
			restricted = true
			return false
		}
		return true
	}
	search := c.rooms.First
	if c.policy.BestFit {
		search = c.rooms.Best
	}
	id, ok := search(need, allow)
	if !ok && !restricted {
		p.unfit = append(p.unfit, need)
	}
	if !ok && len(t.avoid) > 0 && len(t.avoid) >= c.rooms.Len() {
		t.avoid = nil
	}
	return id, ok
}
