package fleet_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
)

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// shape is the shape of a job: how many occurrences, phases and tasks, and when.
type shape struct {
	times, phases, count int
	delay, every         time.Duration
}

func (s shape) job(id string) jobs.Spec {
	spec := repeated(newJob(id, s.count, false), s.times, s.delay, s.every)
	for len(spec.Phases) < s.phases {
		spec.Phases = append(spec.Phases, spec.Phases[0])
	}
	return spec
}

// waitingJobBytes bounds what a job of one phase that waits may take, phaseBytes what each
// other phase adds, whatever their numbers of tasks and occurrences are.
const waitingJobBytes, phaseBytes = 4 << 10, 1 << 10

// TestFarOccurrences guards against owners that exceed their memory limit by what is due
// later (review/1): occurrences that are not due are held as the job's specification, and
// tasks that wait for room are held as counts.
func TestFarOccurrences(t *testing.T) {
	for name, s := range map[string]shape{
		"hourly for a year":    {8760, 1, 1, time.Hour, time.Hour},
		"wide, in an hour":     {1, 1, 100_000, time.Hour, 0},
		"wide and long":        {1000, 10, 10, time.Hour, time.Hour},
		"wide, at once":        {1, 1, 100_000, 0, 0},
		"wide phases, at once": {1, 5, 20_000, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const jobCount = 200
			f := newFixture(1, 1)
			before := heapBytes()
			for i := range jobCount {
				f.Accept(f.now, s.job(fmt.Sprint("j", i)))
			}
			f.Tick(f.now)
			got := (heapBytes() - before) / jobCount
			t.Logf("%d bytes a job", got)
			is.True(got <= int64(waitingJobBytes+phaseBytes*(s.phases-1)))
			runtime.KeepAlive(f)
		})
	}
}

// TestCompleteOccurrences guards against owners that keep what is complete: an occurrence
// whose tasks have ended takes a bit for each task.
func TestCompleteOccurrences(t *testing.T) {
	is := is.New(t)
	const times = 2000
	f := newFixture(1, 1)
	f.registerWorkers()
	f.Accept(f.now, repeated(newJob("j", 2, false), times, 0, time.Second))
	before := heapBytes()
	number := uint64(0)
	for range times {
		starts := f.nextOrders(fleet.OrderStart)
		is.Equal(len(starts), 2)
		f.confirmStarts(starts)
		var ends []fleet.EndedRun
		for _, s := range starts {
			number++
			ends = append(ends, doneEnd(number, s)...)
		}
		f.heartbeat(f.workers[0], nil, ends)
		f.Decisions()
		f.store()
		f.advance(time.Second)
	}
	is.True(heapBytes()-before < 64<<10)
	state, _ := f.State("j")
	is.Equal(state, jobs.Completed)
	is.Equal(f.RefusedEvents(), nil)
}

// store stores the progress that waits.
func (f *fixture) store() {
	f.Batch()
	f.BatchStored(f.now)
}

// takeOverJob replaces the scheduler by that of a new owner that has loaded a job and the
// roster of an earlier one.
func (f *fixture) takeOverJob(spec jobs.Spec, roster []fleet.RosterEntry) {
	f.Scheduler = newScheduler(f.now, 2)
	f.RestoreRoster(roster)
	f.Load(f.now, []jobs.Spec{spec}, nil)
	f.SetWorkers(f.now, f.list(f.workers))
	f.RosterStored(f.Roster())
}

// tasksOf returns the tasks that orders start.
func tasksOf(orders []fleet.Order) core.Set[jobs.TaskID] {
	out := core.NewSet[jobs.TaskID]()
	for _, o := range orders {
		out.Add(o.Task)
	}
	return out
}

// runOf returns a run of the first phase of an occurrence as a worker lists it.
func runOf(job string, occurrence, index int) fleet.ActiveRun {
	return fleet.ActiveRun{Task: jobs.TaskID{PhaseID: jobs.PhaseID{Job: core.JobID(job), Occurrence: occurrence}, Index: index}, Run: 1}
}

// TestRunOfFutureOccurrence guards against a second run of a task that an earlier owner,
// whose clock was ahead, has started before its occurrence is due for its successor.
func TestRunOfFutureOccurrence(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 2)
	spec := repeated(newJob("j", 2, false), 3, time.Second, time.Hour)
	f.takeOverJob(spec, rosterOf(f.workers))
	active := []fleet.ActiveRun{runOf("j", 0, 0)}
	f.heartbeat(f.workers[0], active, nil)
	f.heartbeat(f.workers[1], nil, nil)
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0) // not due yet
	is.Equal(len(f.nextOrders(fleet.OrderStop)), 0)
	state, _ := f.State("j")
	is.Equal(state, jobs.Running)

	f.advance(1100 * time.Millisecond)
	f.heartbeat(f.workers[0], active, nil)
	f.heartbeat(f.workers[1], nil, nil)
	started := tasksOf(f.nextOrders(fleet.OrderStart))
	is.Equal(started, core.NewSet(runOf("j", 0, 1).Task))
	is.Equal(f.RefusedEvents(), nil)
}

// TestEndInFutureOccurrence guards against a second run of a task whose end, in an
// occurrence that is not due yet, a worker lists to a new owner.
func TestEndInFutureOccurrence(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 1)
	f.takeOverJob(repeated(newJob("j", 1, false), 2, time.Second, time.Second), rosterOf(f.workers))
	f.heartbeat(f.workers[0], nil, []fleet.EndedRun{{Number: 1, Task: runOf("j", 1, 0).Task, Run: 1, Kind: fleet.EndDone, Reason: "done"}})
	is.Equal(len(f.Batch()), 1) // the end is recorded
	f.BatchStored(f.now)
	f.advance(time.Second)
	starts := f.nextOrders(fleet.OrderStart)
	is.Equal(tasksOf(starts), core.NewSet(runOf("j", 0, 0).Task))
	f.confirmStarts(starts)
	f.heartbeat(f.workers[0], nil, doneEnd(2, starts[0]))
	f.store()
	f.advance(time.Second)
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
	state, _ := f.State("j")
	is.Equal(state, jobs.Completed)
}

// TestDueWhileWorkerUnreported guards against a second run of a task of an occurrence that
// becomes due after a change of owner, while a worker has not told whether it runs there.
func TestDueWhileWorkerUnreported(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 2)
	f.takeOverJob(repeated(newJob("j", 1, false), 2, time.Second, time.Hour), rosterOf(f.workers))
	f.heartbeat(f.workers[0], nil, nil)
	f.advance(1100 * time.Millisecond)
	f.heartbeat(f.workers[0], nil, nil)
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
	f.heartbeat(f.workers[1], []fleet.ActiveRun{runOf("j", 0, 0)}, nil)
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
	is.Equal(len(f.nextOrders(fleet.OrderStop)), 0)
}

// TestDueWhileWorkerSilent is the same for a worker whose roster entry names the run: only
// that task waits for it, and the worker keeps the run if it answers.
func TestDueWhileWorkerSilent(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 2)
	roster := rosterOf(f.workers)
	run := runOf("j", 0, 0)
	roster[1].Silent, roster[1].Runs = true, []jobs.TaskID{run.Task}
	f.takeOverJob(repeated(newJob("j", 2, false), 2, time.Second, time.Hour), roster)
	f.heartbeat(f.workers[0], nil, nil)
	is.True(f.AllReported())
	f.advance(1100 * time.Millisecond)
	f.heartbeat(f.workers[0], nil, nil)
	started := f.nextOrders(fleet.OrderStart)
	is.Equal(tasksOf(started), core.NewSet(runOf("j", 0, 1).Task))
	f.heartbeat(f.workers[1], []fleet.ActiveRun{run}, nil)
	is.Equal(len(f.nextOrders(fleet.OrderStop)), 0)
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
}

// TestSilentWorkerNamesFutureRun is the same for a worker that answers before the
// occurrence is due.
func TestSilentWorkerNamesFutureRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 2)
	roster := rosterOf(f.workers)
	run := runOf("j", 0, 0)
	roster[1].Silent, roster[1].Runs = true, []jobs.TaskID{run.Task}
	f.takeOverJob(repeated(newJob("j", 1, false), 2, time.Second, time.Hour), roster)
	f.heartbeat(f.workers[0], nil, nil)
	f.nextOrders(fleet.OrderStart)
	f.heartbeat(f.workers[1], []fleet.ActiveRun{run}, nil)
	is.Equal(len(f.nextOrders(fleet.OrderStop)), 0)
	f.advance(1100 * time.Millisecond)
	f.heartbeat(f.workers[0], nil, nil)
	f.heartbeat(f.workers[1], []fleet.ActiveRun{run}, nil)
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
}

// TestUnknownRunOfFutureOccurrence guards against the loss of a run that a worker lists
// before the scheduler knows its job, in an occurrence that is not due yet.
func TestUnknownRunOfFutureOccurrence(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 1)
	f.RestoreRoster(rosterOf(f.workers))
	f.SetWorkers(f.now, f.list(f.workers))
	f.RosterStored(f.Roster())
	run := runOf("j", 1, 0)
	f.heartbeat(f.workers[0], []fleet.ActiveRun{run}, nil)
	f.Accept(f.now, repeated(newJob("j", 1, false), 2, time.Hour, time.Hour))
	f.heartbeat(f.workers[0], []fleet.ActiveRun{run}, nil)
	is.Equal(len(f.nextOrders(fleet.OrderStop)), 0)
	f.advance(2 * time.Hour)
	f.heartbeat(f.workers[0], []fleet.ActiveRun{run}, nil)
	is.Equal(tasksOf(f.nextOrders(fleet.OrderStart)), core.NewSet(runOf("j", 0, 0).Task))
}

// TestCancelFarOccurrences checks that nothing of a cancelled job becomes due.
func TestCancelFarOccurrences(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.registerWorkers()
	f.Accept(f.now, repeated(newJob("j", 1, false), 10, time.Second, time.Second))
	f.Cancel(f.now, "j")
	f.store()
	f.advance(time.Minute)
	f.heartbeat(f.workers[0], nil, nil)
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
	is.Equal(f.RefusedEvents(), nil)
}
