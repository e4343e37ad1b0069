package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
	"chicoryturn/core/load"
	"chicoryturn/core/policy"
	"chicoryturn/core/rank"
)

// This file tells the VMs that accept jobs how long a new one waits for its first start.

// backlog keeps the last summary.
type backlog struct {
	summary *load.Summary
	madeAt  time.Time
}

// Backlog returns what a new job waits for, made MakeInterval ago at most, or nil if it waits for
// nothing or if that is not known: the owner is new, may not act, or its workers have not reported.
func (s *Scheduler) Backlog(now time.Time) *load.Summary {
	if !s.allReported || !s.authority.acting || now.Sub(s.reach.since) < load.WarmUp {
		return nil
	}
	if b := &s.backlog; b.madeAt.IsZero() || now.Sub(b.madeAt) >= load.MakeInterval {
		b.summary, b.madeAt = s.summarize(now), now
	}
	return s.backlog.summary
}

// precedence is the work that stands in front of new jobs of a service from a priority on.
type precedence struct {
	service  core.Service
	priority int
}

// open is open work.
type open struct {
	// narrow is what it still takes by team, gangs what waiting gangs of several tasks take.
	narrow, gangs map[core.Team]work
	// waiting holds its tasks that may start at once.
	waiting load.Waiting
	// width is the sum of the room of the waiting gangs, gangCount their number.
	width     work
	gangCount int
}

func newOpen() *open { return &open{narrow: map[core.Team]work{}, gangs: map[core.Team]work{}} }

// addAll adds all that other holds.
func (o *open) addAll(other *open) {
	for team, w := range other.narrow {
		o.narrow[team] = o.narrow[team].add(w)
	}
	for team, w := range other.gangs {
		o.gangs[team] = o.gangs[team].add(w)
	}
	o.waiting.AddAll(&other.waiting)
	o.width, o.gangCount = o.width.add(other.width), o.gangCount+other.gangCount
}

// work is room times seconds.
type work struct{ cores, memory float64 }

// newWork returns the work of room for a number of seconds.
func newWork(r core.Resources, seconds float64) work {
	return work{float64(r.Cores) * seconds, float64(r.Memory) * seconds}
}

func (w work) amount() load.Amount { return load.NewAmount(w.cores, w.memory) }

func (w work) add(o work) work { return work{w.cores + o.cores, w.memory + o.memory} }

// serviceLoad is what the workers of a service have.
type serviceLoad struct {
	capacity core.Resources
	idle     load.Slots
	// held is the room that tasks hold, runs that times their run time.
	held, runs float64
}

// summarize adds up the open work that is still useful.
func (s *Scheduler) summarize(now time.Time) *load.Summary {
	s.now = now
	rooms := s.serviceRooms()
	ranks, teams := map[precedence]*open{}, map[precedence]map[core.Team]*teamOpen{}
	for i := range s.open.phases {
		p := s.open.phases[i].phase
		q := p.queue()
		if q == nil || !load.Predictable(p.spec) || !p.job.isRouted() || rooms[q.Service] == nil {
			continue
		}
		runTime := s.estimator.Predict(p.job.Spec.Queue, p.spec.Estimate).Seconds()
		need := p.need()
		rooms[q.Service].addRuns(float64(p.tasksPlaced)*float64(need.Cores), runTime)
		if p.job.exceedsShare || s.claim(p).Class() == rank.Useless {
			continue
		}
		r, team := precedence{q.Service, q.Priority}, p.job.Spec.Team
		if ranks[r] == nil {
			ranks[r], teams[r] = newOpen(), map[core.Team]*teamOpen{}
		}
		ranks[r].add(p, runTime)
		if !p.startable() {
			continue
		}
		if slots, _ := rooms[q.Service].idle.Count(need, load.Amount{}); !p.spec.Gang || slots >= p.spec.Count {
			ranks[r].waiting.Add(need, p.tasksWaiting)
		}
		if teams[r][team] == nil {
			teams[r][team] = &teamOpen{}
		}
		teams[r][team].add(p, s.used[team])
	}
	return s.newSummary(now, rooms, ranks, teams)
}

// add adds the work of a phase.
func (o *open) add(p *phase, seconds float64) {
	team, need := p.job.Spec.Team, p.need()
	// Half of a run is left, on average.
	o.narrow[team] = o.narrow[team].add(newWork(need, seconds*float64(p.tasksPlaced)/2))
	waiting := newWork(need, seconds*float64(p.tasksWaiting))
	if !p.spec.Gang || p.spec.Count == 1 {
		o.narrow[team] = o.narrow[team].add(waiting)
		return
	}
	o.gangs[team] = o.gangs[team].add(waiting)
	if p.tasksWaiting > 0 {
		o.width, o.gangCount = o.width.add(newWork(need, float64(p.spec.Count))), o.gangCount+1
	}
}

// teamOpen is the room that a team's waiting tasks would take within its limit.
type teamOpen struct{ waiting load.Amount }

func (t *teamOpen) add(p *phase, used core.Resources) {
	need, limit, n := p.need(), p.job.teamLimit(), p.minStartCount()
	for _, d := range [][3]int64{{need.Cores, used.Cores, limit.Cores}, {need.Memory, used.Memory, limit.Memory}} {
		if d[2] > 0 && d[1]+int64(n)*d[0] > d[2] {
			return
		}
	}
	t.waiting = t.waiting.Add(load.RoomOf(need.Times(int64(p.tasksWaiting))))
}

// serviceRooms adds up the workers by service. Those that do not answer count as room, since they
// may answer again soon, but not as free.
func (s *Scheduler) serviceRooms() map[core.Service]*serviceLoad {
	out := map[core.Service]*serviceLoad{}
	for _, w := range s.sortedWorkers {
		r := out[w.info.Service]
		if r == nil {
			r = &serviceLoad{}
			out[w.info.Service] = r
		}
		if w.listed {
			r.capacity = r.capacity.Add(w.info.Capacity)
		}
		if w.usable() {
			r.idle.Add(w.free)
		}
	}
	return out
}

func (r *serviceLoad) addRuns(cores, seconds float64) {
	r.held += cores
	r.runs += cores * seconds
}

// runTime returns the mean run time of the tasks that hold the room.
func (r *serviceLoad) runTime() time.Duration {
	if r.held == 0 {
		return 0
	}
	return time.Duration(min(r.runs/r.held, maxRunSeconds) * float64(time.Second))
}

// maxRunSeconds bounds a mean run time.
const maxRunSeconds = 1 << 30

// newSummary returns the summary of the queues and teams whose new jobs wait.
func (s *Scheduler) newSummary(now time.Time, rooms map[core.Service]*serviceLoad, ranks map[precedence]*open, teams map[precedence]map[core.Team]*teamOpen) *load.Summary {
	b := load.NewBuilder(now)
	for _, name := range slices.Sorted(maps.Keys(s.policy.Queues)) {
		q := s.policy.Queues[name]
		room := rooms[q.Service]
		if room == nil {
			continue
		}
		ahead := newOpen()
		teamWaiting := map[core.Team]load.Amount{}
		for r, o := range ranks {
			if r.service != q.Service || r.priority > q.Priority {
				continue
			}
			ahead.addAll(o)
			for team, t := range teams[r] {
				teamWaiting[team] = teamWaiting[team].Add(t.waiting)
			}
		}
		line := load.Line{Room: load.RoomOf(room.capacity), Run: room.runTime(), Ratio: s.learnedRatio(name)}
		all := maps.Clone(ahead.narrow)
		for team, w := range ahead.gangs {
			all[team] = all[team].add(w)
		}
		line.Ahead = s.drainedBy(room.capacity, ahead.narrow)
		line.Gangs = s.drainedBy(room.capacity, all).Sub(line.Ahead)
		if n := float64(ahead.gangCount); n > 0 {
			line.Width = load.NewAmount(ahead.width.cores/n, ahead.width.memory/n)
		}
		line.Waiting = ahead.waiting.In(room.idle)
		b.AddQueue(q.Service, name, line, room.idle)
		for team := range all {
			if t := s.policy.Teams[team]; t != nil && (t.Limit.Cores > 0 || t.Limit.Memory > 0) {
				own := line
				own.Room, own.Ahead, own.Waiting = load.RoomOf(t.Limit), ahead.narrow[team].amount(), teamWaiting[team]
				own.Gangs = ahead.gangs[team].amount()
				own.Free = load.RoomOf(t.Limit.Sub(s.used[team]))
				b.AddTeam(team, name, own)
			}
		}
	}
	return b.Summary()
}

// learnedRatio returns the ratio of learned to declared run time of a queue.
func (s *Scheduler) learnedRatio(q core.Queue) float64 {
	return s.estimator.Predict(q, time.Second).Seconds()
}

// dimension selects an amount of room, and of work.
type dimension func(r core.Resources, w work) (room, work float64)

func coresOf(r core.Resources, w work) (room, sum float64)  { return float64(r.Cores), w.cores }
func memoryOf(r core.Resources, w work) (room, sum float64) { return float64(r.Memory), w.memory }

// drainedBy is drained in both dimensions.
func (s *Scheduler) drainedBy(capacity core.Resources, open map[core.Team]work) load.Amount {
	return load.NewAmount(s.drained(open, capacity, coresOf), s.drained(open, capacity, memoryOf))
}

// drained returns the work that is done in the capacity before all of it is: no team's work takes
// more than the team's limit, and what is left of it then stands in front of nobody else.
func (s *Scheduler) drained(open map[core.Team]work, capacity core.Resources, of dimension) float64 {
	type teamWork struct{ work, limit, alone float64 }
	var list []teamWork
	sum := 0.0
	for team, w := range open {
		limit := core.Resources{}
		if t := s.policy.Teams[team]; t != nil {
			limit = t.Limit
		}
		bound, amount := of(limit, w)
		t := teamWork{work: amount, limit: bound}
		if bound > 0 {
			t.alone = amount / bound
		}
		list = append(list, t)
		sum += amount
	}
	// Those that take longest under their own limit are left over first.
	slices.SortFunc(list, func(x, y teamWork) int { return cmp.Compare(y.alone, x.alone) })
	room, _ := of(capacity, work{})
	rest := room
	for _, t := range list {
		if rest <= 0 || t.alone <= sum/rest {
			break
		}
		sum, rest = sum-t.work, rest-t.limit
	}
	if rest <= 0 {
		return 0
	}
	return max(sum, 0) / rest * room
}

// UsefulFor returns the time after its acceptance up to which the end of a job in a queue is
// useful to its client; 0 if the queue sets no deadline.
func UsefulFor(spec *jobs.Spec, q *policy.Queue) time.Duration {
	return usefulFactor * allowedTime(spec, q)
}

// allowedTime returns the time after its acceptance up to which a job ends on time.
func allowedTime(spec *jobs.Spec, q *policy.Queue) time.Duration {
	adviceTime := time.Duration(0)
	if a, ok := q.Advisor.Get(); ok {
		adviceTime = a.Cost(deadlineWorkers)
	}
	return time.Duration(q.Slowdown*float64(spec.CriticalPath(adviceTime))) + q.Latency
}
