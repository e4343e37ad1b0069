package load_test

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
	"chicoryturn/core/load"
)

const (
	workers      = 10
	workerCores  = 10_000
	fleetCores   = workers * workerCores
	usefulTime   = 12 * time.Second
	declaredTime = 2 * time.Second
	// slack is how long such a job may wait.
	slack = usefulTime - declaredTime
)

var day = time.Unix(1_700_000_000, 0)

// newJob returns a job of tasks of one core.
func newJob(id string, tasks int, gang bool) load.Job {
	spec := jobs.Spec{ID: core.JobID(id), Team: "t", Queue: "q", Phases: []jobs.Phase{{Count: tasks, Gang: gang, Need: core.Resources{Cores: 1000, Memory: 200}, Estimate: declaredTime}}}
	return load.NewJob(&spec, "s", usefulTime)
}

// newLine returns what jobs wait for if the workers need a time for the work in front.
func newLine(wait time.Duration) load.Line {
	return load.Line{Ahead: load.NewAmount(wait.Seconds()*fleetCores, 0), Room: load.NewAmount(fleetCores, fleetCores), Run: 4 * time.Second, Ratio: 1}
}

// newSummary returns the n-th summary of an owner, with the free cores of each worker.
func newSummary(n int, l load.Line, free int64) *load.Summary {
	var idle load.Slots
	for range workers {
		idle.Add(core.Resources{Cores: free, Memory: 10 * free})
	}
	b := load.NewBuilder(day.Add(time.Duration(n) * load.MakeInterval))
	b.AddQueue("s", "q", l, idle)
	return b.Summary()
}

// TestDecisions guards against jobs that are accepted and end when nobody waits for them any more,
// and against refusals without a certain reason.
func TestDecisions(t *testing.T) {
	repeated, longRunning := newJob("j", 1, false), newJob("j", 1, false)
	repeated.Useful = load.NewJob(&jobs.Spec{Repeat: 2, Phases: []jobs.Phase{{Count: 1}}}, "s", usefulTime).Useful
	longRunning.Useful = load.NewJob(&jobs.Spec{Phases: []jobs.Phase{{Count: 1, LongRunning: true}}}, "s", usefulTime).Useful
	waitingFor := func(wait time.Duration, cores int64) load.Line {
		l := newLine(wait)
		l.Waiting = load.Amount{Cores: cores}
		return l
	}
	behindGangs := newLine(time.Second)
	behindGangs.Gangs, behindGangs.Width = load.NewAmount(3600*fleetCores, 0), load.NewAmount(20_000, 0)
	slow := newLine(13 * time.Second)
	slow.Ratio = 2
	for name, c := range map[string]struct {
		summary *load.Summary
		job     load.Job
		age     time.Duration
		want    load.Reason
	}{
		"no summary":                      {nil, newJob("j", 1, false), 0, load.NoEstimate},
		"short wait is not told":          {newSummary(1, newLine(900*time.Millisecond), 0), newJob("j", 1, false), 0, load.NoEstimate},
		"late but useful":                 {newSummary(1, newLine(slack), 0), newJob("j", 1, false), 0, load.InTime},
		"near the level":                  {newSummary(1, newLine(slack*12/10), 0), newJob("j", 1, false), 0, load.InTime},
		"useless":                         {newSummary(1, newLine(slack*16/10), 0), newJob("j", 1, false), 0, load.QueueBehind},
		"useless, runs take twice":        {newSummary(1, slow, 0), newJob("j", 1, false), 0, load.QueueBehind},
		"stale":                           {newSummary(1, newLine(slack*16/10), 0), newJob("j", 1, false), 3001 * time.Millisecond, load.Stale},
		"not stale yet":                   {newSummary(1, newLine(slack*16/10), 0), newJob("j", 1, false), 3 * time.Second, load.QueueBehind},
		"room for a task":                 {newSummary(1, newLine(time.Hour), 1000), newJob("j", 25, false), 0, load.Room},
		"room that work in front takes":   {newSummary(1, waitingFor(time.Hour, 10_000), 1000), newJob("j", 25, false), 0, load.QueueBehind},
		"room that it leaves":             {newSummary(1, waitingFor(time.Hour, 9000), 1000), newJob("j", 25, false), 0, load.Room},
		"pieces too small":                {newSummary(1, newLine(time.Hour), 800), newJob("j", 1, false), 0, load.QueueBehind},
		"room for a gang":                 {newSummary(1, newLine(time.Hour), 2000), newJob("j", 20, true), 0, load.Room},
		"no room for the whole gang":      {newSummary(1, newLine(time.Hour), 1900), newJob("j", 20, true), 0, load.QueueBehind},
		"gangs in front of narrow work":   {newSummary(1, behindGangs, 0), newJob("j", 25, false), 0, load.InTime},
		"gangs in front of a gang":        {newSummary(1, behindGangs, 0), newJob("j", 20, true), 0, load.QueueBehind},
		"gangs in front of a narrow gang": {newSummary(1, behindGangs, 0), newJob("j", 4, true), 0, load.InTime},
		"repeated":                        {newSummary(1, newLine(time.Hour), 0), repeated, 0, load.NoEstimate},
		"long-running":                    {newSummary(1, newLine(time.Hour), 0), longRunning, 0, load.NoEstimate},
		"another queue":                   {newSummary(1, newLine(time.Hour), 0), func() load.Job { j := newJob("j", 1, false); j.Queue = "other"; return j }(), 0, load.NoEstimate},
		"longer than its useful time":     {newSummary(1, newLine(usefulTime/2), 0), func() load.Job { j := newJob("j", 1, false); j.Run = time.Hour; return j }(), 0, load.InTime},
		"longer than its useful time too": {newSummary(1, newLine(usefulTime), 0), func() load.Job { j := newJob("j", 1, false); j.Run = time.Hour; return j }(), 0, load.QueueBehind},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := load.NewDoor()
			d.Observe(0, c.summary)
			got := d.Decide(c.age, day, c.job)
			is.Equal(got.Reason, c.want)
			is.Equal(got.Refused(), c.want == load.QueueBehind)
			is.Equal(got.Refused(), got.Retry > 0)
			if got.Reason != load.NoEstimate {
				is.Equal(got.Age, c.age)
			}
		})
	}
}

// TestTeamBehind checks that a team that waits for its own limit alone is refused alone, and not
// while the limit leaves room.
func TestTeamBehind(t *testing.T) {
	is := is.New(t)
	line := newLine(time.Hour)
	decide := func(l load.Line, team core.Team) load.Reason {
		d := load.NewDoor()
		b := load.NewBuilder(day)
		b.AddTeam("t", "q", l)
		d.Observe(0, b.Summary())
		j := newJob("j", 1, false)
		j.Team = team
		return d.Decide(0, day, j).Reason
	}
	is.Equal(decide(line, "t"), load.TeamBehind)
	is.Equal(decide(line, "u"), load.NoEstimate)
	line.Free = load.NewAmount(1000, 200)
	is.Equal(decide(line, "t"), load.Room)
	line.Waiting = load.NewAmount(500, 100)
	is.Equal(decide(line, "t"), load.TeamBehind)
}

// TestAcceptedCounts guards against a VM that accepts more than can be served before it sees
// another summary. The same summary in a later record brings no new age.
func TestAcceptedCounts(t *testing.T) {
	is := is.New(t)
	d := load.NewDoor()
	s := newSummary(1, newLine(slack*11/10), 0)
	d.Observe(0, s)
	accepted := 0
	for ; !d.Decide(0, day, newJob("j", 25, false)).Refused(); accepted++ {
		d.Accepted(newJob("j", 25, false))
	}
	// A job takes half a second of the fleet, and 1.5 s are left.
	is.Equal(accepted, 4)
	// Gangs stand in front of gangs alone.
	gangs := load.NewDoor()
	gangs.Observe(0, s)
	for range 100 {
		gangs.Accepted(newJob("j", 25, true))
	}
	is.Equal(gangs.Decide(0, day, newJob("j", 25, false)).Reason, load.InTime)
	is.Equal(gangs.Decide(0, day, newJob("j", 25, true)).Reason, load.QueueBehind)
	d.Observe(2*time.Second, s)
	is.Equal(d.Decide(3*time.Second, day, newJob("j", 1, false)).Reason, load.QueueBehind)
	is.Equal(d.Decide(4*time.Second, day, newJob("j", 1, false)).Reason, load.Stale)
}

// TestOnlyOpenWorkCounts guards against refusals because of jobs of which no work stands in front of
// others: those that the owner leaves out of its summary, and phases that open later.
func TestOnlyOpenWorkCounts(t *testing.T) {
	first := jobs.Phase{Count: 1, Need: core.Resources{Cores: 1000}, Estimate: time.Millisecond}
	large := first
	large.Count, large.Estimate = 1000, time.Hour
	with := func(change func(*jobs.Phase)) []jobs.Phase {
		p := large
		change(&p)
		return []jobs.Phase{p}
	}
	for name, spec := range map[string]jobs.Spec{
		"repeated":     {Repeat: 2, Phases: []jobs.Phase{large}},
		"filler":       {Phases: with(func(p *jobs.Phase) { p.Filler = true })},
		"long-running": {Phases: with(func(p *jobs.Phase) { p.LongRunning = true })},
		"labelled":     {Phases: with(func(p *jobs.Phase) { p.Label = "l" })},
		"later phase":  {Phases: append([]jobs.Phase{first}, with(func(p *jobs.Phase) { p.After = []int{0} })...)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := load.NewDoor()
			d.Observe(0, newSummary(1, newLine(slack), 0))
			spec.ID, spec.Team, spec.Queue = "first", "t", "q"
			d.Accepted(load.NewJob(&spec, "s", usefulTime))
			is.Equal(d.Decide(0, day, newJob("j", 1, false)).Reason, load.InTime)
		})
	}
}

// TestPause guards against refusals by a summary that was read before a pause of the process.
func TestPause(t *testing.T) {
	is := is.New(t)
	d := load.NewDoor()
	l := newLine(time.Hour)
	d.Observe(0, newSummary(1, l, 0))
	is.True(d.Decide(0, day, newJob("j", 1, false)).Refused())
	d.Paused()
	is.Equal(d.Decide(0, day, newJob("j", 1, false)).Reason, load.NoEstimate)
	d.Observe(time.Minute, newSummary(2, l, 0))
	is.Equal(d.Decide(time.Minute, day, newJob("j", 1, false)).Reason, load.Stale)
	d.Observe(time.Minute+time.Second, newSummary(3, l, 0))
	is.True(d.Decide(time.Minute+time.Second, day, newJob("j", 1, false)).Refused())
}

// TestNoFlapping plays random waits and guards against decisions on like jobs that change faster than the
// wait does: from a refusal to an acceptance it has fallen by a fifth at least, or rises by as much.
func TestNoFlapping(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 2))
		d := load.NewDoor()
		type turn struct {
			refused bool
			// changed is set if the turn was a change.
			changed bool
			wait    time.Duration
		}
		last := map[int]turn{}
		wait, changes := slack, 0
		for n := range 2000 {
			wait = time.Duration(float64(wait) * math.Exp(0.2*rng.Float64()-0.1))
			wait = min(max(wait, slack/2), 2*slack)
			d.Observe(time.Duration(n)*load.MakeInterval, newSummary(n+1, newLine(wait), 0))
			for size := range 3 {
				j := newJob(fmt.Sprint(n), 1, false)
				j.Run = time.Duration(size) * declaredTime
				got := d.Decide(time.Duration(n)*load.MakeInterval, day, j).Refused()
				before, ok := last[size]
				if ok && before.changed && before.refused != got {
					changes++
					quotient := float64(max(wait, before.wait)) / float64(min(wait, before.wait))
					is.Equal(got, wait > before.wait)
					is.True(quotient > 1.25/1.11) // the change before was up to a step beyond its level
				}
				if !ok || before.refused != got {
					last[size] = turn{got, ok, wait}
				}
			}
		}
		is.True(changes > 0)
	}
}

// TestRetry checks the times that refused clients are told: they grow with the backlog, clients of
// like jobs are spread, and none is sent away for more than a minute.
func TestRetry(t *testing.T) {
	is := is.New(t)
	retry := func(id string, wait time.Duration) time.Duration {
		d := load.NewDoor()
		d.Observe(0, newSummary(1, newLine(wait), 0))
		return d.Decide(0, day, newJob(id, 1, false)).Retry
	}
	seconds := map[time.Duration]int{}
	for i := range 300 {
		id, last := fmt.Sprint(i), time.Duration(0)
		for _, wait := range []time.Duration{16, 18, 20, 25, 40, 100, 1000} {
			got := retry(id, wait*time.Second)
			is.True(got >= last)
			is.True(got >= load.MinRetry)
			is.True(got <= time.Minute)
			last = got
		}
		seconds[retry(id, 25*time.Second).Truncate(time.Second)]++
	}
	is.True(len(seconds) >= 12)
	for _, n := range seconds {
		is.True(n < 60)
	}
}

// TestLargestAreServed guards against wide gangs that are shut out for as long as narrow jobs keep
// the wait below their own limit.
func TestLargestAreServed(t *testing.T) {
	is := is.New(t)
	d := load.NewDoor()
	// The wait is below the level of narrow jobs; the widest gangs wait 4 s more.
	d.Observe(0, newSummary(1, newLine(slack*11/10), 0))
	refused := 0
	for i := range 200 {
		is.True(!d.Decide(0, day, newJob(fmt.Sprint(i), 1, false)).Refused())
		id := fmt.Sprint("wide", i)
		first := d.Decide(0, day, newJob(id, 100, true)).Refused()
		if !first {
			continue
		}
		refused++
		later := 0
		for minute := range 10 {
			if !d.Decide(0, day.Add(time.Duration(minute)*time.Minute), newJob(id, 100, true)).Refused() {
				later++
			}
		}
		is.True(later > 0)
	}
	is.True(refused > 50)
	is.True(refused < 150)
}

// burstPlay is a burst of jobs and the clients that wait for their jobs to be accepted.
type burstPlay struct {
	refusals, useful, useless, waiting int
	// idle is how long workers were idle while clients waited, last when the last job was accepted.
	idle, last time.Duration
}

// playBurst plays a burst of twice what can be served. VMs have summaries that are late and
// sometimes missing; if refuses is not set, they never refuse. Jobs that can be on time are served
// first, then late ones that are still useful, each in the order in which they were accepted.
func playBurst(seed uint64, refuses bool) (out burstPlay) {
	const vms, step, burst, jobTasks = 5, 100 * time.Millisecond, 40 * time.Second, 10
	type client struct {
		job  load.Job
		back time.Duration
	}
	type accepted struct {
		at   time.Duration
		left int64
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	var doors [vms]*load.Door
	for i := range doors {
		doors[i] = load.NewDoor()
	}
	var clients []client
	var queue []accepted
	capacity, capacityOfJob := int64(0), newJob("", jobTasks, false).Work.Cores
	for now := time.Duration(0); now < 10*time.Minute; now += step {
		// What is left of a step is not enough for a job, and is used in the next one.
		capacity = min(capacity, capacityOfJob) + int64(fleetCores*step.Seconds())
		queue = slices.DeleteFunc(queue, func(a accepted) bool {
			if now-a.at > slack {
				out.useless++
			}
			return now-a.at > slack
		})
		for _, limit := range []time.Duration{slack / 3, slack} {
			queue = slices.DeleteFunc(queue, func(a accepted) bool {
				if now-a.at > limit || a.left > capacity {
					return false
				}
				capacity -= a.left
				out.useful++
				return true
			})
		}
		if capacity > capacityOfJob && len(clients) > 0 && now > burst {
			out.idle += step
		}
		if now%load.MakeInterval == 0 && refuses {
			work, free := int64(0), int64(0)
			for _, a := range queue {
				work += a.left
			}
			if work == 0 {
				free = workerCores
			}
			l := newLine(time.Duration(float64(work) / fleetCores * float64(time.Second)))
			for _, d := range doors {
				if rng.IntN(5) > 0 {
					d.Observe(now, newSummary(int(now/load.MakeInterval)+1, l, free))
				}
			}
		}
		for range rng.IntN(5) {
			if now < burst {
				clients = append(clients, client{newJob(fmt.Sprint(seed, now, rng.Uint64()), jobTasks, false), now})
			}
		}
		var rest []client
		for _, c := range clients {
			if c.back > now {
				rest = append(rest, c)
				continue
			}
			d := doors[rng.IntN(vms)]
			if got := d.Decide(now, day.Add(now), c.job); got.Refused() {
				out.refusals++
				rest = append(rest, client{c.job, now + got.Retry})
				continue
			}
			d.Accepted(c.job)
			queue = append(queue, accepted{now, c.job.Work.Cores})
			out.last = now
		}
		clients = rest
	}
	out.waiting = len(clients)
	return out
}

// TestClientsComeBack guards against clients that are sent away for good, or while workers are idle,
// and against jobs that are accepted and are useless when they end, which take their turn from others.
func TestClientsComeBack(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		without, with := playBurst(seed, false), playBurst(seed, true)
		t.Logf("seed %d: without refusals %+v, with them %+v", seed, without, with)
		is.Equal(with.waiting, 0)
		is.True(with.refusals > 0)
		is.True(with.useful > without.useful)
		// At most 1.25 slacks of work wait, which expire in one slack while the fleet serves one.
		is.True(float64(with.useless) < 1.25*float64(with.useful))
		is.True(with.useless*without.useful < without.useless*with.useful)
		// Work that expires shortens the wait sooner than the clients were told.
		is.True(with.idle < with.last/10)
	}
}

// TestSummaryIsBounded guards against ownership records that the store does not take, or that no VM
// can read every 700 ms.
func TestSummaryIsBounded(t *testing.T) {
	is := is.New(t)
	b := load.NewBuilder(day)
	var idle load.Slots
	for range 13_000 {
		idle.Add(core.Resources{Cores: 1 << 40, Memory: 1 << 40})
	}
	line := load.Line{Ahead: load.NewAmount(1e300, 1e300), Room: load.NewAmount(1, 1), Waiting: load.NewAmount(1e300, 1e300), Free: load.NewAmount(1e300, 1e300), Gangs: load.NewAmount(1e300, 1e300), Width: load.NewAmount(1e300, 1e300), Run: time.Hour * 1e6, Ratio: 1.0 / 3}
	for i := range 100 {
		name := core.Queue(strings.Repeat("\x01", 20) + fmt.Sprint(i))
		b.AddQueue(core.Service(name), name, line, idle)
		b.AddTeam(core.Team(name), name, line)
	}
	data, err := json.Marshal(b.Summary())
	is.NoErr(err)
	t.Logf("%d bytes", len(data))
	is.True(len(data) <= 13<<10)
	is.True(len(b.Summary().Queues) > 0)
}

// TestWaitingInPieces checks that tasks that fit nowhere do not count as taking the room that
// smaller tasks could use.
func TestWaitingInPieces(t *testing.T) {
	is := is.New(t)
	var idle load.Slots
	for range 10 {
		idle.Add(core.Resources{Cores: 1500, Memory: 15_000})
	}
	var waiting load.Waiting
	waiting.Add(core.Resources{Cores: 4000, Memory: 100}, 100)
	is.Equal(waiting.In(idle).Cores, int64(0))
	small := core.Resources{Cores: 1000, Memory: 100}
	n, known := idle.Count(small, waiting.In(idle))
	is.True(known)
	is.Equal(n, 10)
	waiting.Add(small, 4)
	n, _ = idle.Count(small, waiting.In(idle))
	is.Equal(n, 6)
	_, known = idle.Count(core.Resources{Cores: 50}, load.Amount{})
	is.True(!known)
}
