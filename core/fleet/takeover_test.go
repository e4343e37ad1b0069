package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
)

// fixture is a scheduler with workers whose answers the test supplies.
type fixture struct {
	*fleet.Scheduler
	now     time.Time
	workers []fleet.WorkerInfo
	// ends is the number of the newest end that failStarted has listed.
	ends uint64
}

// newScheduler returns a scheduler without jobs and workers, of an owner that has claimed a
// record which does not change any more.
func newScheduler(now time.Time, epoch core.Epoch) *fleet.Scheduler {
	return fleet.New(now, epoch, fleet.Limits{Lease: leaseDuration, ListTimeout: 4500 * time.Millisecond, RemoteFactor: 1}, newPolicy(core.Resources{}), fleet.WithReplacedAt(now.Add(-elect.SuspectTTL)))
}

// Tick runs the scheduler of an owner whose record has just been renewed.
func (f *fixture) Tick(now time.Time) time.Time {
	f.Renewed(now.Add(time.Nanosecond))
	return f.Scheduler.Tick(now)
}

func newFixture(epoch core.Epoch, workers int) *fixture {
	f := &fixture{now: startTime, Scheduler: newScheduler(startTime, epoch)}
	for i := range workers {
		w := newWorkerInfo(i)
		w.Incarnation = startTime.Add(-time.Hour)
		f.workers = append(f.workers, w)
	}
	return f
}

// list returns a list that is requested and received now.
func (f *fixture) list(workers []fleet.WorkerInfo) fleet.WorkerList {
	uptime := time.Hour + f.now.Sub(startTime)
	return fleet.WorkerList{Workers: workers, RequestedAt: uptime, ReceivedAt: uptime}
}

// roster returns the workers of the roster.
func (f *fixture) roster() []fleet.RosterEntry {
	entries, _ := f.Roster()
	return entries
}

// rosterOf returns a roster of workers.
func rosterOf(workers []fleet.WorkerInfo) []fleet.RosterEntry {
	var out []fleet.RosterEntry
	for _, w := range workers {
		out = append(out, fleet.RosterEntry{WorkerInfo: w})
	}
	return out
}

// registerWorkers lists all workers, stores the roster, and has each worker answer a
// heartbeat.
func (f *fixture) registerWorkers() {
	f.SetWorkers(f.now, f.list(f.workers))
	f.RosterStored(f.Roster())
	for _, w := range f.workers {
		f.heartbeat(w, nil, nil)
	}
}

// startTask registers the workers, accepts a job of one task and returns its start, which
// the worker has confirmed.
func (f *fixture) startTask() fleet.Order {
	f.registerWorkers()
	f.Accept(f.now, newJob("j", 1, false))
	starts := f.nextOrders(fleet.OrderStart)
	f.confirmStarts(starts)
	return starts[0]
}

// heartbeat answers a heartbeat for a worker with its active and ended runs.
func (f *fixture) heartbeat(w fleet.WorkerInfo, active []fleet.ActiveRun, ended []fleet.EndedRun) {
	f.answer(w, fleet.RunLists{Active: active, Ended: ended})
}

// doneEnd returns the list of ends with which a worker reports that an order's run is
// done.
func doneEnd(number uint64, o fleet.Order) []fleet.EndedRun {
	return []fleet.EndedRun{{Number: number, Task: o.Task, Run: o.Run, Kind: fleet.EndDone, Reason: "done"}}
}

// nextOrders runs the scheduler and returns its orders of one kind.
func (f *fixture) nextOrders(kind fleet.OrderKind) []fleet.Order {
	f.Tick(f.now)
	var out []fleet.Order
	for _, o := range f.Orders() {
		if o.Kind == kind {
			out = append(out, o)
		}
	}
	return out
}

func (f *fixture) advance(t time.Duration) { f.now = f.now.Add(t) }

// newJob returns a job of one phase.
func newJob(id string, count int, gang bool) jobs.Spec {
	return jobs.Spec{ID: core.JobID(id), Team: "t", Queue: "q", Accepted: startTime, Phases: []jobs.Phase{
		{Count: count, Need: core.Resources{Cores: 1000}, Estimate: time.Second, Gang: gang},
	}}
}

func newTaskID(id string, index int) jobs.TaskID {
	return jobs.TaskID{PhaseID: jobs.PhaseID{Job: core.JobID(id)}, Index: index}
}

// TestSilentWorker checks a worker that stops answering heartbeats while the platform
// still lists it. Its task must start on another worker, but only once the lease has
// ended even if the worker's clock is slow.
func TestSilentWorker(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 2)
	f.registerWorkers()
	f.Accept(f.now, newJob("j", 1, false))
	first := f.nextOrders(fleet.OrderStart)
	is.Equal(len(first), 1)
	f.StartAnswered(f.now, first[0].Worker, first[0].Task, first[0].Run, fleet.ReplyOK)
	for _, w := range f.workers {
		if w.ID() == first[0].Worker {
			f.HeartbeatFailed(f.now, w.ID())
		} else {
			f.heartbeat(w, nil, nil)
		}
	}
	maxWait := leaseDuration*100/98 + 200*time.Millisecond
	for f.now.Sub(startTime) < maxWait {
		f.advance(100 * time.Millisecond)
		f.SetWorkers(f.now, fleet.WorkerList{Workers: f.workers})
		f.Tick(f.now)
		var starts []fleet.Order
		for _, o := range f.Orders() {
			switch {
			case o.Kind == fleet.OrderStart:
				starts = append(starts, o)
			case o.Worker == first[0].Worker:
				f.HeartbeatFailed(f.now, o.Worker)
			case o.Kind == fleet.OrderHeartbeat:
				f.heartbeat(o.Info, nil, nil)
			}
		}
		if f.now.Sub(startTime) <= leaseDuration {
			is.Equal(len(starts), 0) // the lease may still be valid
		}
		if len(starts) == 1 {
			is.True(starts[0].Worker != first[0].Worker)
			is.True(starts[0].Run > first[0].Run)
			return
		}
	}
	t.Fatal("the task was not started again")
}

// TestWorkerAnswersAgain checks that a worker is used again when it answers long after
// its lease has ended.
func TestWorkerAnswersAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.registerWorkers()
	f.nextOrders(fleet.OrderHeartbeat)
	f.HeartbeatFailed(f.now, f.workers[0].ID())
	for range 100 {
		f.advance(100 * time.Millisecond)
		if len(f.nextOrders(fleet.OrderHeartbeat)) > 0 {
			f.HeartbeatFailed(f.now, f.workers[0].ID())
		}
	}
	f.heartbeat(f.workers[0], nil, nil)
	f.Accept(f.now, newJob("j", 1, false))
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0) // it is not in the stored roster yet
	f.RosterStored(f.Roster())
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 1)
}

// TestUnlistedWorker checks when the task of a worker that the platform no longer lists
// may start on another worker at once. Cases: whether the worker's last entry said that
// it was leaving, how long before the entry disappeared it was renewed, and whether the
// task starts at once.
func TestUnlistedWorker(t *testing.T) {
	for name, c := range map[string]struct {
		leaving      bool
		sinceRenewal time.Duration
		startsAtOnce bool
	}{
		"drained":                   {leaving: true, sinceRenewal: time.Second, startsAtOnce: true},
		"leaving, then unreachable": {leaving: true, sinceRenewal: 4500 * time.Millisecond},
		"disappeared":               {sinceRenewal: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 2)
			f.registerWorkers()
			f.Accept(f.now, newJob("j", 1, false))
			first := f.nextOrders(fleet.OrderStart)
			f.confirmStarts(first)
			var remaining []fleet.WorkerInfo
			for i := range f.workers {
				f.workers[i].Renewals++
				if f.workers[i].ID() == first[0].Worker {
					f.workers[i].Leaving = c.leaving
				} else {
					remaining = append(remaining, f.workers[i])
				}
			}
			f.SetWorkers(f.now, f.list(f.workers))
			f.advance(c.sinceRenewal)
			f.heartbeat(remaining[0], nil, nil)
			f.HeartbeatFailed(f.now, first[0].Worker)
			f.SetWorkers(f.now, f.list(remaining))
			is.Equal(len(f.nextOrders(fleet.OrderStart)) == 1, c.startsAtOnce)
		})
	}
}

// TestUnlistedIdleWorker checks that an idle worker is removed from the roster soon after
// it has stopped answering and the platform no longer lists it, so that a later owner
// need not wait for it.
func TestUnlistedIdleWorker(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 2)
	f.registerWorkers()
	f.nextOrders(fleet.OrderHeartbeat)
	f.HeartbeatFailed(f.now, f.workers[0].ID())
	for range 6 {
		f.SetWorkers(f.now, fleet.WorkerList{Workers: f.workers[1:]})
		f.advance(500 * time.Millisecond)
	}
	is.Equal(len(f.roster()), 1)
}

// TestEndOfUnknownJob checks that a task does not run again if its end reaches a new
// owner before its job does.
func TestEndOfUnknownJob(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 2)
	f.SetWorkers(f.now, fleet.WorkerList{Workers: f.workers})
	f.RosterStored(f.Roster())
	ends := []fleet.EndedRun{{Number: 1, Task: newTaskID("j", 0), Run: 1, Kind: fleet.EndDone, Reason: "done"}}
	f.heartbeat(f.workers[0], nil, ends)
	f.heartbeat(f.workers[1], nil, nil)
	is.True(f.UnknownJobSeen()) // the owner must read the stored jobs
	f.Accept(f.now, newJob("j", 1, false))
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
	f.advance(100 * time.Millisecond)
	f.heartbeat(f.workers[0], nil, ends)
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
	is.Equal(len(f.Batch()), 1)
	f.BatchStored(f.now)
	state, known := f.State("j")
	is.True(known)
	is.Equal(state, jobs.Completed)
}

// TestEndBehindUnknownJob guards against a second run of a task whose end a worker lists
// behind that of a job that a new owner has not read yet: the end has not been handled, but
// the run has not vanished either.
func TestEndBehindUnknownJob(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 2)
	f.takeOver(f.workers)
	f.SetWorkers(f.now, f.list(f.workers))
	f.RosterStored(f.Roster())
	run := fleet.ActiveRun{Task: newTaskID("j", 0), Run: 1}
	f.heartbeat(f.workers[0], []fleet.ActiveRun{run}, nil)
	f.heartbeat(f.workers[1], nil, nil)
	ends := []fleet.EndedRun{
		{Number: 1, Task: newTaskID("unknown", 0), Run: 1, Kind: fleet.EndDone, Reason: "done"},
		{Number: 2, Task: run.Task, Run: run.Run, Kind: fleet.EndDone, Reason: "done"},
	}
	for range 10 {
		f.advance(100 * time.Millisecond)
		f.heartbeat(f.workers[0], nil, ends)
		f.heartbeat(f.workers[1], nil, nil)
		is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
	}
	f.Accept(f.now, newJob("unknown", 1, false))
	f.heartbeat(f.workers[0], nil, ends)
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
	f.Batch()
	f.BatchStored(f.now)
	for _, id := range []core.JobID{"j", "unknown"} {
		state, _ := f.State(id)
		is.Equal(state, jobs.Completed)
	}
}

// TestRunOfUnknownJob checks that a task is not started again if a worker reports its run
// to a new owner before the owner has read the job.
func TestRunOfUnknownJob(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 2)
	f.SetWorkers(f.now, fleet.WorkerList{Workers: f.workers})
	f.RosterStored(f.Roster())
	f.heartbeat(f.workers[0], []fleet.ActiveRun{{Task: newTaskID("j", 0), Run: 1}}, nil)
	f.heartbeat(f.workers[1], nil, nil)
	f.Accept(f.now, newJob("j", 1, false))
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
	state, _ := f.State("j")
	is.Equal(state, jobs.Running)
}

// TestNewJobsAfterTakeOver checks a new owner while one worker of the roster has not
// answered yet. A job starts at once only if no earlier owner can have started it.
// Cases: whether the new owner reads the job from the store or receives it from a VM,
// which owner that VM knew when it accepted the job, and how many jobs start.
func TestNewJobsAfterTakeOver(t *testing.T) {
	for name, c := range map[string]struct {
		firstEpoch core.Epoch
		stored     bool
		starts     int
	}{
		"received, earlier owner":    {firstEpoch: 1},
		"received, this owner":       {firstEpoch: 2, starts: 1},
		"stored, earlier owner":      {firstEpoch: 1, stored: true},
		"stored, this owner":         {firstEpoch: 2, stored: true, starts: 1},
		"received, later owner":      {firstEpoch: 3},
		"stored, later owner":        {firstEpoch: 3, stored: true},
		"stored by an older version": {stored: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2, 2)
			f.RestoreRoster(rosterOf(f.workers))
			old, young := newJob("old", 1, false), newJob("young", 1, false)
			old.FirstEpoch, young.FirstEpoch = 1, c.firstEpoch
			stored := []jobs.Spec{old}
			if c.stored {
				stored = append(stored, young)
			}
			f.Load(f.now, stored, nil)
			f.SetWorkers(f.now, fleet.WorkerList{Workers: f.workers})
			f.RosterStored(f.Roster())
			f.heartbeat(f.workers[0], nil, nil)
			if !c.stored {
				f.Accept(f.now, young)
			}
			starts := f.nextOrders(fleet.OrderStart)
			is.Equal(len(starts), c.starts)
			for _, s := range starts {
				is.Equal(s.Task.Job, young.ID)
				is.Equal(s.Worker, f.workers[0].ID())
			}
			is.Equal(f.LaterEpoch() > 0, c.firstEpoch > 2)
			f.confirmStarts(starts)
			f.heartbeat(f.workers[1], nil, nil)
			if c.firstEpoch <= 2 {
				is.Equal(len(f.nextOrders(fleet.OrderStart)), 2-c.starts) // all workers have answered
			}
		})
	}
}

// TestLostState checks an owner that has lost its decisions and goes on under the next epoch. It
// must assume that any task may have been started until all workers have answered.
func TestLostState(t *testing.T) {
	for _, epoch := range []core.Epoch{1, 2} {
		is := is.New(t)
		f := newFixture(epoch, 2)
		f.Scheduler = fleet.New(startTime, epoch+1, fleet.Limits{Lease: leaseDuration, RemoteFactor: 1}, newPolicy(core.Resources{}))
		f.RestoreRoster(rosterOf(f.workers))
		j := newJob("j", 1, false)
		j.FirstEpoch = epoch
		f.Load(f.now, []jobs.Spec{j}, nil)
		f.SetWorkers(f.now, fleet.WorkerList{Workers: f.workers})
		f.RosterStored(f.Roster())
		f.heartbeat(f.workers[0], nil, nil)
		is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
		f.heartbeat(f.workers[1], nil, nil)
		is.Equal(len(f.nextOrders(fleet.OrderStart)), 1)
	}
}

// TestRecoveredTasksAndLimit checks a new owner that has read many stored tasks of a team
// while one worker has not answered. The tasks count towards the team's limit with at
// most the room of that worker.
func TestRecoveredTasksAndLimit(t *testing.T) {
	for name, c := range map[string]struct {
		limit  int64
		starts int
	}{"limit above the room of the worker": {6000, 2}, "limit equal to it": {4000, 0}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2, 3)
			f.SetPolicy(newPolicy(core.Resources{Cores: c.limit}))
			f.RestoreRoster(rosterOf(f.workers))
			old, young := newJob("old", 40, false), newJob("young", 4, false)
			young.FirstEpoch = 2
			f.Load(f.now, []jobs.Spec{old}, nil)
			f.SetWorkers(f.now, fleet.WorkerList{Workers: f.workers})
			f.RosterStored(f.Roster())
			f.heartbeat(f.workers[0], nil, nil)
			f.heartbeat(f.workers[1], nil, nil)
			f.Accept(f.now, young)
			is.Equal(len(f.nextOrders(fleet.OrderStart)), c.starts) // the worker that has not answered has room for 4,000
		})
	}
}

// TestGangLacksMember checks a new owner that finds one task of a gang not running. The
// other tasks are stopped, and all tasks of the gang start again together.
func TestGangLacksMember(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 2)
	f.RestoreRoster(rosterOf(f.workers))
	f.Load(f.now, []jobs.Spec{newJob("j", 2, true)}, nil)
	f.SetWorkers(f.now, fleet.WorkerList{Workers: f.workers})
	f.RosterStored(f.Roster())
	f.heartbeat(f.workers[0], []fleet.ActiveRun{{Task: newTaskID("j", 0), Run: 1}}, nil)
	f.heartbeat(f.workers[1], nil, nil)
	stops := f.nextOrders(fleet.OrderStop)
	is.Equal(len(stops), 1)
	f.StopAnswered(f.now, stops[0].Worker, stops[0].Task, stops[0].Run, fleet.ReplyOK)
	f.advance(300 * time.Millisecond)
	f.heartbeat(f.workers[0], nil, []fleet.EndedRun{{Number: 1, Task: newTaskID("j", 0), Run: 1, Kind: fleet.EndOther, Reason: "stopped"}})
	starts := f.nextOrders(fleet.OrderStart)
	is.Equal(len(starts), 2)
	is.Equal(starts[0].Run, starts[1].Run)
	is.True(starts[0].Run > 1)
}

// TestLeaseOfEarlierOwner checks that the runs on a worker that answers a new owner for
// the first time are not counted as lapsed: an earlier owner has granted their lease.
func TestLeaseOfEarlierOwner(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 2)
	f.RestoreRoster(rosterOf(f.workers))
	f.Load(f.now, []jobs.Spec{newJob("j", 1, false)}, nil)
	f.SetWorkers(f.now, fleet.WorkerList{Workers: f.workers})
	f.RosterStored(f.Roster())
	f.heartbeat(f.workers[0], []fleet.ActiveRun{{Task: newTaskID("j", 0), Run: 1}}, nil)
	f.heartbeat(f.workers[1], nil, nil)
	for range 3 {
		f.advance(200 * time.Millisecond)
		is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
		f.heartbeat(f.workers[1], nil, nil)
	}
	is.Equal(f.Counts().Lapses, uint64(0))
}

// TestUnansweredStart checks a start order without an answer. The task starts again only
// after the worker has answered a stop and lists the run neither as active nor as ended.
func TestUnansweredStart(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.registerWorkers()
	f.Accept(f.now, newJob("j", 1, false))
	s := f.nextOrders(fleet.OrderStart)[0]
	f.StartAnswered(f.now, s.Worker, s.Task, s.Run, fleet.ReplyUnanswered)
	stops := f.nextOrders(fleet.OrderStop)
	is.Equal(len(stops), 1)
	f.advance(50 * time.Millisecond)
	f.heartbeat(f.workers[0], nil, nil)
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0) // the stop has not been answered
	f.advance(600 * time.Millisecond)
	is.Equal(len(f.nextOrders(fleet.OrderStop)), 1) // the stop is repeated
	f.StopAnswered(f.now, s.Worker, s.Task, s.Run, fleet.ReplyOK)
	f.advance(50 * time.Millisecond)
	f.heartbeat(f.workers[0], nil, nil)
	again := f.nextOrders(fleet.OrderStart)
	is.Equal(len(again), 1)
	is.True(again[0].Run > s.Run)
}
