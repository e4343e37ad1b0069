package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/load"
	"chicoryturn/core/policy"
)

// newLoaded returns an owner of two workers of 4 cores with a queue of high and one of low priority.
// Team c may use one core. The owner has been in office for warmUp.
func newLoaded(warmUp time.Duration) *fixture {
	f := newFixture(1, 2)
	queue := policy.Queue{Name: "q", Host: "h", Prefix: "/", Service: "s", Attempts: 3, Slowdown: 20, Latency: time.Second}
	low := queue
	low.Name, low.Prefix, low.Priority = "low", "/low", 1
	f.Scheduler = fleet.New(f.now, 1, fleet.Limits{Lease: leaseDuration, RemoteFactor: 1}, policy.New(1, []policy.Queue{queue, low},
		[]policy.Team{{Name: "t", Weight: 1000}, {Name: "c", Weight: 1000, Limit: core.Resources{Cores: 1000}}}, []policy.Service{{Name: "s"}}, 0))
	f.advance(warmUp)
	f.registerWorkers()
	return f
}

// accept accepts jobs of a number of tasks of 1 s on one core, and starts those that fit.
func (f *fixture) accept(n, tasks int, change func(*jobs.Spec)) {
	for i := range n {
		spec := newJob(fmt.Sprint("j", i), tasks, false)
		spec.Accepted = f.now
		if change != nil {
			change(&spec)
		}
		f.Accept(f.now, spec)
	}
	f.Tick(f.now)
	f.Orders()
}

// TestBacklog guards against VMs that learn nothing of work that makes new jobs useless, or that are
// told of waits which nobody has.
func TestBacklog(t *testing.T) {
	inQueue := func(q core.Queue) func(*jobs.Spec) { return func(s *jobs.Spec) { s.Queue = q } }
	for name, c := range map[string]struct {
		warmUp time.Duration
		jobs   int
		change func(*jobs.Spec)
		// age is how long the jobs wait.
		age time.Duration
		// queue and low are the expected waits of new jobs in seconds, gang that of a gang.
		queue, low, gang float64
	}{
		"no work":             {load.WarmUp, 0, nil, 0, 0, 0, 0},
		"work that fits":      {load.WarmUp, 1, nil, 0, 0, 0, 0},
		"ten seconds of work": {load.WarmUp, 10, nil, 0, 9.5, 9.5, 9.5},
		"first seconds":       {load.WarmUp - time.Millisecond, 10, nil, 0, 0, 0, 0},
		"lower priority":      {load.WarmUp, 10, inQueue("low"), 0, 0, 9.5, 0},
		"useless":             {load.WarmUp, 10, nil, 70 * time.Second, 0, 0, 0},
		"other workers only":  {load.WarmUp, 10, func(s *jobs.Spec) { s.Phases[0].Label = "x" }, 0, 0, 0, 0},
		"team at its limit":   {load.WarmUp, 10, func(s *jobs.Spec) { s.Team = "c" }, 0, 0, 0, 0},
		"gangs":               {load.WarmUp, 10, func(s *jobs.Spec) { s.Phases[0].Gang = true }, 0, 0.5, 0.5, 9.5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newLoaded(c.warmUp)
			f.accept(c.jobs, 8, c.change)
			if c.age > 0 {
				f.advance(c.age)
				f.Tick(f.now)
			}
			s := f.Backlog(f.now)
			wait := func(q core.Queue) float64 {
				if s == nil {
					return 0
				}
				return s.Queues[q].Wait(false).Seconds()
			}
			is.Equal(wait("q"), c.queue)
			is.Equal(wait("low"), c.low)
			if s != nil {
				is.Equal(s.Queues["q"].Wait(true).Seconds(), c.gang)
			}
			is.Equal(s != nil && s.Teams["c"] != nil, name == "team at its limit")
			if s == nil || len(s.Queues) == 0 {
				return
			}
			is.Equal(s.Queues["low"].Room, load.Amount{Cores: 8000, Memory: 8000})
			is.Equal(s.Queues["low"].Run, time.Second)
			n, _ := s.Idle["s"].Count(core.Resources{Cores: 1000}, load.Amount{})
			is.Equal(n, 0)
		})
	}
}

// TestBacklogOfTeam checks what a team under its own limit waits for.
func TestBacklogOfTeam(t *testing.T) {
	is := is.New(t)
	f := newLoaded(load.WarmUp)
	f.accept(1, 8, func(s *jobs.Spec) { s.Team = "c" })
	s := f.Backlog(f.now)
	is.Equal(len(s.Queues), 0)
	is.Equal(s.Teams["c"]["q"].Wait(false), 7500*time.Millisecond)
	is.Equal(s.Teams["c"]["q"].Free, load.Amount{})
	is.Equal(s.Teams["t"], nil)
}

// TestNoBacklogOfUnsureOwner guards against refusals by an owner that doesn't know what runs, or may
// not start anything.
func TestNoBacklogOfUnsureOwner(t *testing.T) {
	is := is.New(t)
	f := newLoaded(load.WarmUp)
	f.accept(10, 8, nil)
	is.True(f.Backlog(f.now) != nil)
	f.advance(time.Minute)
	f.Scheduler.Tick(f.now) // without a renewal of its record
	is.True(f.Backlog(f.now) == nil)

	f = newFixture(2, 2)
	f.RestoreRoster(rosterOf(f.workers))
	f.SetWorkers(f.now, f.list(f.workers))
	f.accept(10, 8, nil)
	f.advance(load.WarmUp)
	f.Tick(f.now)
	is.True(!f.AllReported())
	is.True(f.Backlog(f.now) == nil)
}

// TestBacklogIsKept guards against an owner that adds up all its work for each write of its record.
func TestBacklogIsKept(t *testing.T) {
	is := is.New(t)
	f := newLoaded(load.WarmUp)
	f.accept(10, 8, nil)
	first := f.Backlog(f.now)
	f.advance(load.MakeInterval - 1)
	is.Equal(f.Backlog(f.now), first)
	f.advance(1)
	is.True(f.Backlog(f.now) != first)
}

// BenchmarkSummary measures one summary of an owner with many jobs.
func BenchmarkSummary(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newLoaded(load.WarmUp)
			f.accept(n, 3, nil)
			now := f.now
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(load.MakeInterval)
				f.Backlog(now)
			}
		})
	}
}
