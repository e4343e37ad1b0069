package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
)

// answer answers a heartbeat for a worker with lists to which it adds the clock and the
// incarnation.
func (f *fixture) answer(w fleet.WorkerInfo, l fleet.RunLists) {
	l.Clock, l.Incarnation = f.now.Sub(startTime), w.Incarnation
	f.HeartbeatAnswered(f.now, w.ID(), f.now, l)
}

// newSuccessor returns a new owner of two workers, which has loaded job j of one task.
func newSuccessor() *fixture {
	f := newFixture(2, 2)
	f.takeOver(f.workers)
	f.SetWorkers(f.now, f.list(f.workers))
	f.RosterStored(f.Roster())
	return f
}

// TestEndsBehindListAfterTakeover guards against a second run of a task whose end a worker has
// not listed to a new owner yet, since it lists only so many ends at a time.
func TestEndsBehindListAfterTakeover(t *testing.T) {
	end := func(number uint64, index int) fleet.EndedRun {
		return fleet.EndedRun{Number: number, Task: newTaskID("j", index), Run: 1, Kind: fleet.EndDone, Reason: "done"}
	}
	active := []fleet.ActiveRun{{Task: newTaskID("j", 3), Run: 1}}
	for name, c := range map[string]struct {
		// last is the last answer, starts how many tasks start then.
		last   fleet.RunLists
		starts int
	}{
		"list complete":         {fleet.RunLists{Active: active, Ended: []fleet.EndedRun{end(2, 1)}}, 1},
		"full again":            {fleet.RunLists{Active: active, Ended: []fleet.EndedRun{end(2, 1)}, More: true}, 0},
		"full of its own tasks": {fleet.RunLists{Ended: []fleet.EndedRun{end(2, 1), end(3, 3)}, More: true}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2, 2)
			f.RestoreRoster(rosterOf(f.workers))
			f.Load(f.now, []jobs.Spec{newJob("j", 4, false)}, nil)
			f.SetWorkers(f.now, f.list(f.workers))
			f.RosterStored(f.Roster())
			f.heartbeat(f.workers[1], nil, nil)
			first := fleet.RunLists{Active: active, Ended: []fleet.EndedRun{end(1, 0)}, More: true}
			for range 2 {
				f.answer(f.workers[0], first)
				is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
				f.advance(50 * time.Millisecond)
			}
			f.answer(f.workers[0], first)
			f.store()
			heartbeats := f.nextOrders(fleet.OrderHeartbeat)
			is.Equal(heartbeats[0].Worker, f.workers[0].ID())
			is.Equal(heartbeats[0].AckedEnd, uint64(1))
			is.Equal(heartbeats[0].Wait, time.Duration(0)) // what is behind the list is asked for at once
			f.answer(f.workers[0], c.last)
			is.Equal(len(f.nextOrders(fleet.OrderStart)), c.starts)
		})
	}
}

// TestEndsBehindListOfLostWorker guards against a new owner that takes a worker's runs for known
// although it has not listed all ends: as it falls silent, later owners must go on waiting
// for it.
func TestEndsBehindListOfLostWorker(t *testing.T) {
	is := is.New(t)
	f := newSuccessor()
	f.heartbeat(f.workers[1], nil, nil)
	f.answer(f.workers[0], fleet.RunLists{More: true})
	for range 30 {
		f.advance(100 * time.Millisecond)
		f.HeartbeatFailed(f.now, f.workers[0].ID())
		f.heartbeat(f.workers[1], nil, nil)
		is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
		f.SetWorkers(f.now, f.list(f.workers[1:]))
	}
	roster := f.roster()
	is.Equal(len(roster), 2)
	is.True(!roster[0].Silent) // its entry names no tasks, so any may run there
}

// TestUnknownRunEndsBehindList guards against a second run of a task whose job a new owner does
// not know yet: its run is listed as active, and then ends behind a list that is cut off.
func TestUnknownRunEndsBehindList(t *testing.T) {
	is := is.New(t)
	f := newSuccessor()
	f.heartbeat(f.workers[0], []fleet.ActiveRun{{Task: newTaskID("unknown", 0), Run: 1}, {Task: newTaskID("j", 0), Run: 1}}, nil)
	f.heartbeat(f.workers[1], nil, nil)
	f.advance(100 * time.Millisecond)
	f.answer(f.workers[0], fleet.RunLists{
		More:  true,
		Ended: []fleet.EndedRun{{Number: 1, Task: newTaskID("j", 0), Run: 1, Kind: fleet.EndDone, Reason: "done"}},
	})
	f.Accept(f.now, newJob("unknown", 1, false))
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
}

// TestAcknowledgement checks that the end of a run is acknowledged to its worker, and
// shown to clients, only once it is in the store.
func TestAcknowledgement(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.registerWorkers()
	f.Accept(f.now, newJob("j", 1, false))
	s := f.nextOrders(fleet.OrderStart)[0]
	f.StartAnswered(f.now, s.Worker, s.Task, s.Run, fleet.ReplyOK)
	f.advance(time.Second)
	f.heartbeat(f.workers[0], nil, doneEnd(1, s))
	is.Equal(len(f.Batch()), 1)
	state, _ := f.State("j")
	is.Equal(state, jobs.Running)
	f.advance(1800 * time.Millisecond)
	heartbeats := f.nextOrders(fleet.OrderHeartbeat)
	is.Equal(len(heartbeats), 1) // renews the lease although the end is not stored yet
	is.Equal(heartbeats[0].AckedEnd, uint64(0))
	f.BatchStored(f.now)
	state, _ = f.State("j")
	is.Equal(state, jobs.Completed)
	f.heartbeat(f.workers[0], nil, nil)
	is.Equal(f.nextOrders(fleet.OrderHeartbeat)[0].AckedEnd, uint64(1))
}
