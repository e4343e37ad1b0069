package fleet_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
)

// smallMemory is the memory limit of the smallest VM that may own a fleet.
const smallMemory = 184 << 20

// withMemory replaces the fixture's scheduler by that of a VM with a memory limit and two
// teams.
func (f *fixture) withMemory(limit int64) *fixture {
	p := policy.New(1,
		[]policy.Queue{{Name: "q", Host: "h", Prefix: "/", Service: "s", Attempts: 3, Slowdown: 2, Latency: time.Second}},
		[]policy.Team{{Name: "t", Weight: 1000}, {Name: "u", Weight: 1000}}, []policy.Service{{Name: "s"}}, 0)
	f.Scheduler = fleet.New(f.now, 1, fleet.Limits{Lease: leaseDuration, ListTimeout: 4500 * time.Millisecond, RemoteFactor: 1, Memory: limit}, p)
	return f
}

// TestOverlappingOccurrences guards against owners that exceed their memory limit by what is
// due at the same time (review/1): occurrences wait for memory as they wait for room, and
// another team's job still starts.
func TestOverlappingOccurrences(t *testing.T) {
	for name, s := range map[string]shape{
		"many occurrences":       {8760, 1, 1, 0, time.Millisecond},
		"many occurrences, wide": {1000, 1, 100, 0, 0},
		"many phases":            {100, 200, 5, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 4).withMemory(smallMemory)
			f.registerWorkers()
			before := heapBytes()
			for i := range 200 {
				f.Accept(f.now, s.job(fmt.Sprint("j", i)))
			}
			f.advance(10 * time.Second)
			for _, w := range f.workers {
				f.heartbeat(w, nil, nil)
			}
			f.Tick(f.now)
			f.Orders()
			f.Decisions()
			grown := heapBytes() - before
			t.Logf("%d MiB of %d", grown>>20, int64(smallMemory)>>20)
			is.True(grown < smallMemory/3)
			use := f.MemoryUse()
			is.True(use.Built <= use.BuiltLimit)
			is.True(use.Waiting > 0)

			other := newJob("other", 1, false)
			other.Team = "u"
			other.Phases[0].Need = core.Resources{Memory: 1}
			f.Accept(f.now, other)
			is.True(tasksOf(f.nextOrders(fleet.OrderStart)).Has(newTaskID("other", 0)))
			runtime.KeepAlive(f)
		})
	}
}

// TestTasksThatAskForNothing guards against owners that exceed their memory limit by tasks
// that all fit on one worker, and by the starts of all of them at once.
func TestTasksThatAskForNothing(t *testing.T) {
	is := is.New(t)
	const maxStarts, maxRuns = 1000, 500
	f := newFixture(1, 4).withMemory(smallMemory)
	f.registerWorkers()
	spec := newJob("j", 100_000, false)
	spec.Phases[0].Need = core.Resources{}
	f.Accept(f.now, spec)
	// Nothing has been answered: the other team has starts of its own.
	starts := f.nextOrders(fleet.OrderStart)
	is.True(len(starts) < maxStarts)
	other := newJob("other", 1, false)
	other.Team = "u"
	f.Accept(f.now, other)
	is.Equal(tasksOf(f.nextOrders(fleet.OrderStart)), core.NewSet(newTaskID("other", 0)))
	started := 0
	for range 200 {
		f.confirmStarts(starts)
		f.Decisions()
		started += len(starts)
		starts = f.nextOrders(fleet.OrderStart)
	}
	use := f.MemoryUse()
	t.Logf("%d started, %d of %d bytes", started, use.Placed, use.PlacedLimit)
	is.True(started > maxStarts)
	is.True(started <= maxRuns*len(f.workers))
	is.True(use.Placed <= use.PlacedLimit)
}

// TestWaitingOccurrencesRun checks that occurrences that wait for memory run in their order
// once others are complete, and that all of them do.
func TestWaitingOccurrencesRun(t *testing.T) {
	is := is.New(t)
	const times = 3000
	f := newFixture(1, 4).withMemory(2 << 20)
	f.registerWorkers()
	f.Accept(f.now, repeated(newJob("j", 1, false), times, 0, 0))
	is.True(f.MemoryUse().Waiting > 0)
	next := 0
	numbers := map[core.WorkerID]uint64{}
	for range times {
		starts := f.nextOrders(fleet.OrderStart)
		f.confirmStarts(starts)
		for _, s := range starts {
			is.Equal(s.Task.Occurrence, next)
			next++
			numbers[s.Worker]++
			w := f.workers[s.Worker[1]-'0']
			f.heartbeat(w, f.activeExcept(starts, s, w), doneEnd(numbers[s.Worker], s))
		}
		f.store()
		f.Decisions()
		f.advance(100 * time.Millisecond)
	}
	is.Equal(next, times)
	state, _ := f.State("j")
	is.Equal(state, jobs.Completed)
	is.Equal(f.MemoryUse().Built, int64(0))
	is.Equal(f.MemoryUse().Placed, int64(0))
	is.Equal(f.MemoryUse().Accepted, int64(0))
}

// activeExcept returns the runs of a worker that orders after one of them have started.
func (f *fixture) activeExcept(starts []fleet.Order, ended fleet.Order, w fleet.WorkerInfo) []fleet.ActiveRun {
	var out []fleet.ActiveRun
	after := false
	for _, s := range starts {
		if after && s.Worker == w.ID() {
			out = append(out, fleet.ActiveRun{Task: s.Task, Run: s.Run})
		}
		after = after || s.Task == ended.Task
	}
	return out
}

// TestMemoryEstimates checks that no estimate of what jobs take is below what they take.
func TestMemoryEstimates(t *testing.T) {
	for name, s := range map[string]shape{
		"one task":         {0, 1, 1, 0, 0},
		"many phases":      {0, 100, 1, 0, 0},
		"many tasks":       {0, 1, 1000, 0, 0},
		"many occurrences": {1000, 1, 1, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const jobCount = 100
			f := newFixture(1, 100).withMemory(1 << 40)
			f.registerWorkers()
			f.Decisions()
			before := heapBytes()
			for i := range jobCount {
				spec := s.job(fmt.Sprint("j", i))
				spec.Phases[0].Need = core.Resources{Cores: 1}
				for k := range spec.Phases[1:] {
					spec.Phases[k+1].After = []int{0}
				}
				spec.Payload = string(make([]byte, 2000))
				f.Accept(f.now, spec)
			}
			f.Tick(f.now)
			f.Orders()
			f.Decisions()
			taken, use := heapBytes()-before, f.MemoryUse()
			t.Logf("%d bytes taken, %d estimated", taken, use.Accepted+use.Built+use.Placed)
			is.True(taken <= use.Accepted+use.Built+use.Placed)
			runtime.KeepAlive(f)
		})
	}
}

// TestParkedJobs guards against owners that cannot hold what is stored (review/1): the
// jobs that don't fit are parked, read when they are due and there is room, and make way
// for what is due before them; another team's jobs start at once.
func TestParkedJobs(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 4).withMemory(2 << 20)
	f.registerWorkers()
	stored := map[core.JobID]jobs.Spec{}
	var stubs []fleet.Stub
	for i := range 300 {
		far := shape{10, 1, 1, time.Hour, time.Hour}.job(fmt.Sprint("far", i))
		now := newJob(fmt.Sprint("now", i), 1, false)
		for _, spec := range []jobs.Spec{far, now} {
			stored[spec.ID] = spec
		}
		stubs = append(stubs, fleet.NewStub(&now))
		f.Accept(f.now, far)
	}
	f.Park(f.now, stubs)
	is.True(f.MemoryUse().Parked > 300)
	is.True(slices.ContainsFunc(f.Decisions(), func(d fleet.Decision) bool { return d.Job == "now0" && d.Event == "waits" }))
	is.Equal(f.Pending()["q"], 600)
	other := newJob("other", 1, false)
	other.Team = "u"
	f.Accept(f.now, other)
	is.True(tasksOf(f.nextOrders(fleet.OrderStart)).Has(newTaskID("other", 0)))

	done := 0
	numbers := map[core.WorkerID]uint64{}
	for range 600 {
		f.readParked(stored, nil)
		starts := f.nextOrders(fleet.OrderStart)
		f.confirmStarts(starts)
		for _, s := range starts {
			done++
			numbers[s.Worker]++
			w := f.workers[s.Worker[1]-'0']
			f.heartbeat(w, f.activeExcept(starts, s, w), doneEnd(numbers[s.Worker], s))
		}
		f.store()
		use := f.MemoryUse()
		is.True(use.Accepted <= use.AcceptedLimit)
		f.advance(100 * time.Millisecond)
	}
	is.Equal(done, 300)
}

// readParked reads the parked jobs that the scheduler asks for.
func (f *fixture) readParked(stored map[core.JobID]jobs.Spec, progress map[core.JobID]jobs.Progress) int {
	ids := f.ParkedToRead(f.now)
	var specs []jobs.Spec
	for _, id := range ids {
		specs = append(specs, stored[id])
	}
	if len(ids) > 0 {
		f.ParkedRead(f.now, ids, specs, progress, nil)
	}
	return len(ids)
}

// TestRunOfParkedJob guards against a lost or second run of a task of a parked job that an
// earlier owner has started: the job is read at once, and its end counts however long
// reading it takes.
func TestRunOfParkedJob(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 1)
	f.RestoreRoster(rosterOf(f.workers))
	f.SetWorkers(f.now, f.list(f.workers))
	f.RosterStored(f.Roster())
	active, ended := newJob("active", 1, false), newJob("ended", 1, false)
	f.Park(f.now, []fleet.Stub{fleet.NewStub(&active), fleet.NewStub(&ended)})
	lists := func() {
		f.heartbeat(f.workers[0], []fleet.ActiveRun{runOf("active", 0, 0)}, []fleet.EndedRun{{Number: 1, Task: runOf("ended", 0, 0).Task, Run: 1, Kind: fleet.EndDone, Reason: "done"}})
	}
	lists()
	ids := f.ParkedToRead(f.now)
	is.Equal(ids, []core.JobID{"active", "ended"})
	f.ParkedRead(f.now, ids, nil, nil, fmt.Errorf("the store is down"))
	for range 100 { // 10 s, longer than an unknown job is awaited
		f.advance(100 * time.Millisecond)
		lists()
		f.Tick(f.now)
	}
	is.Equal(f.readParked(map[core.JobID]jobs.Spec{"active": active, "ended": ended}, nil), 2)
	lists()
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
	is.Equal(len(f.nextOrders(fleet.OrderStop)), 0)
	f.store()
	state, _ := f.State("ended")
	is.Equal(state, jobs.Completed)
	state, _ = f.State("active")
	is.Equal(state, jobs.Running)
}

// TestCancelParkedJob checks that a cancelled parked job is read and ends without a start.
func TestCancelParkedJob(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1).withMemory(smallMemory)
	f.registerWorkers()
	spec := shape{10, 1, 1, time.Hour, time.Hour}.job("j")
	f.Park(f.now, []fleet.Stub{fleet.NewStub(&spec)})
	is.Equal(len(f.ParkedToRead(f.now)), 0) // far from due
	is.True(f.Cancel(f.now, "j"))
	is.Equal(f.Pending()["q"], 0)
	is.Equal(f.readParked(map[core.JobID]jobs.Spec{"j": spec}, nil), 1)
	f.store()
	state, known := f.State("j")
	is.True(known)
	is.Equal(state, jobs.Cancelled)
}

// TestParkedJobIgnoresLoad guards against occurrences that run again because a load, which has
// read the progress of a job before they ended, takes the job back after it has been parked.
func TestParkedJobIgnoresLoad(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1).withMemory(2 << 20)
	f.registerWorkers()
	spec := shape{10, 1, 1, 0, time.Hour}.job("j")
	f.Accept(f.now, spec)
	starts := f.nextOrders(fleet.OrderStart)
	is.Equal(len(starts), 1)
	f.confirmStarts(starts)
	f.advance(time.Second)
	f.heartbeat(starts[0].Info, nil, doneEnd(1, starts[0]))
	f.store()
	var stubs []fleet.Stub
	for i := range 300 { // due at once, and more than fit
		other := newJob(fmt.Sprint("now", i), 1, false)
		other.Payload = string(make([]byte, 4000))
		stubs = append(stubs, fleet.NewStub(&other))
	}
	f.Park(f.now, stubs)
	f.ParkedToRead(f.now)
	f.ParkedRead(f.now, nil, nil, nil, fmt.Errorf("the store is down"))
	_, known := f.State("j")
	is.True(!known) // parked
	f.Load(f.now, []jobs.Spec{spec}, nil)
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
}

// TestHeldNamesParkedTeam checks what other VMs learn of parked jobs: their team has no
// more room, other teams have.
func TestHeldNamesParkedTeam(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1).withMemory(smallMemory)
	var stubs []fleet.Stub
	for i := range 20_000 {
		spec := newJob(fmt.Sprint("j", i), 1, false)
		stubs = append(stubs, fleet.NewStub(&spec))
	}
	f.Park(f.now, stubs)
	held := f.Held(f.now)
	is.True(held.Retry("t", 1000, 0, 0) > 0)
	is.Equal(held.Retry("u", 1000, 0, 0), time.Duration(0))
}

// TestAdviceIsBounded guards against owners that exceed their memory limit by the advisor's
// answers for jobs that wait: those whose tickets have expired are freed, and asked for again.
func TestAdviceIsBounded(t *testing.T) {
	is := is.New(t)
	const phases, named, limit = 2000, 100, 32 << 20
	f := newLargeFixture(named, newPolicy(core.Resources{}))
	f.SetLimits(fleet.Limits{Lease: leaseDuration, RemoteFactor: 1, Memory: limit})
	for i := range phases {
		spec := newJob(fmt.Sprint("j", i), 1, false)
		spec.Phases[0].Need.Cores = 1 << 20 // no worker has room
		f.Accept(f.now, spec)
	}
	f.Tick(f.now)
	f.Decisions()
	f.Orders()
	var workers []core.WorkerID
	for _, w := range f.workers {
		workers = append(workers, w.ID())
	}
	before := heapBytes()
	peak := int64(0)
	for i := range phases {
		var allowed []fleet.AllowedWorker
		for _, w := range workers[:40] {
			allowed = append(allowed, fleet.AllowedWorker{Worker: w, Ticket: fmt.Sprintf("ticket of phase %d for %s", i, w)})
		}
		f.AdviceReceived(f.now, jobs.PhaseID{Job: core.JobID(fmt.Sprint("j", i))}, workers, allowed, time.Second)
		f.advance(10 * time.Millisecond)
		if i%100 == 99 {
			f.Decisions()
			taken := heapBytes() - before
			peak = max(peak, taken)
			is.True(taken <= f.MemoryUse().Advised)
		}
	}
	// A tenth of the limit, and what 1.1 s bring.
	t.Logf("at most %d bytes for %d phases", peak, phases)
	is.True(peak < limit/10)
	runtime.KeepAlive(f)
}

// TestEndedParkedJob checks that a parked job that has ended is read, so that its rows are
// deleted in time, and runs nothing.
func TestEndedParkedJob(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 1).withMemory(smallMemory)
	f.registerWorkers()
	spec := newJob("j", 1, false)
	stub := fleet.NewStub(&spec)
	stub.Started, stub.Ended = true, true
	f.Park(f.now, []fleet.Stub{stub})
	n := f.readParked(map[core.JobID]jobs.Spec{"j": spec}, map[core.JobID]jobs.Progress{"j": {Job: "j", State: jobs.Completed}})
	is.Equal(n, 1)
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
	f.advance(time.Minute)
	f.JobsRead(f.now)
	is.Equal(f.ForgetExpired(f.now, time.Second, 10), []core.JobID{"j"})
}

// TestLoadParksWhatDoesNotFit checks that a scheduler keeps no more of a load than fits.
func TestLoadParksWhatDoesNotFit(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 1).withMemory(2 << 20)
	var specs []jobs.Spec
	for i := range 500 {
		specs = append(specs, newJob(fmt.Sprint("j", i), 1, false))
	}
	f.Load(f.now, specs, nil)
	use := f.MemoryUse()
	is.True(use.Accepted <= use.AcceptedLimit)
	is.True(use.Parked > 0)
	is.Equal(f.Pending()["q"], 500)
}
