package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
)

// TestNewIncarnation checks that an owner uses a restarted worker only once its new
// incarnation is in the stored roster and its entry of that incarnation has been read.
func TestNewIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.registerWorkers()
	oldRoster, oldVersion := f.Roster()
	restarted := f.workers[0]
	restarted.Incarnation = f.now
	f.advance(time.Second)
	f.heartbeat(restarted, nil, nil)
	f.Accept(f.now, newJob("j", 1, false))
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
	f.RosterStored(oldRoster, oldVersion) // this write was in flight during the restart
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
	f.RosterStored(f.Roster())
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
	f.SetWorkers(f.now, f.list([]fleet.WorkerInfo{restarted}))
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 1)
}

// TestNewIncarnationBeforeFirstAnswer checks a worker that restarts after it was listed
// and stored in the roster, and before it has answered this owner. The owner learns of
// the new incarnation from the worker's answer or from the list, and uses it only once
// it is in the stored roster and its entry has been read.
func TestNewIncarnationBeforeFirstAnswer(t *testing.T) {
	for name, listed := range map[string]bool{"in its answer": false, "in the list": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 1)
			f.SetWorkers(f.now, fleet.WorkerList{Workers: f.workers})
			f.RosterStored(f.Roster())
			restarted := f.workers[0]
			restarted.Incarnation = f.now
			f.advance(time.Second)
			if listed {
				f.SetWorkers(f.now, fleet.WorkerList{Workers: []fleet.WorkerInfo{restarted}})
			}
			f.heartbeat(restarted, nil, nil)
			f.Accept(f.now, newJob("j", 1, false))
			is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
			is.Equal(f.roster()[0].Incarnation, restarted.Incarnation)
			f.RosterStored(f.Roster())
			is.Equal(len(f.nextOrders(fleet.OrderStart)) > 0, listed)
			if !listed {
				f.SetWorkers(f.now, f.list([]fleet.WorkerInfo{restarted}))
				is.Equal(len(f.nextOrders(fleet.OrderStart)), 1)
			}
		})
	}
}

// TestStartOnNewIncarnation checks a worker that restarts, unknown to the owner, around
// the time of a start order. If the new incarnation reports the run, the task is not
// started on another worker. If only the old incarnation had the run, it is.
func TestStartOnNewIncarnation(t *testing.T) {
	for name, onNewIncarnation := range map[string]bool{"on the new incarnation": true, "on the old incarnation": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 2)
			f.registerWorkers()
			f.Accept(f.now, newJob("j", 1, false))
			s := f.nextOrders(fleet.OrderStart)[0]
			f.confirmStarts([]fleet.Order{s})
			f.advance(100 * time.Millisecond)
			w := s.Info
			w.Incarnation = f.now
			var active []fleet.ActiveRun
			if onNewIncarnation {
				active = []fleet.ActiveRun{{Task: s.Task, Run: s.Run, Percent: 10}}
			}
			f.heartbeat(w, active, nil)
			for _, other := range f.workers {
				if other.ID() != s.Worker {
					f.heartbeat(other, nil, nil)
				}
			}
			is.Equal(len(f.nextOrders(fleet.OrderStart)) == 0, onNewIncarnation)
			if onNewIncarnation {
				f.advance(time.Second)
				f.heartbeat(w, nil, doneEnd(1, s))
				is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
				is.Equal(len(f.Batch()), 1) // the job's end
			}
		})
	}
}

// TestUnansweredStartOnNewIncarnation checks a start order without an answer to a worker
// that has restarted since. The new incarnation may still execute the order, so the task
// waits until that incarnation has answered a stop.
func TestUnansweredStartOnNewIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 2)
	f.registerWorkers()
	f.Accept(f.now, newJob("j", 1, false))
	s := f.nextOrders(fleet.OrderStart)[0]
	f.StartAnswered(f.now, s.Worker, s.Task, s.Run, fleet.ReplyUnanswered)
	is.Equal(len(f.Orders()), 1)                                  // a stop
	f.StopAnswered(f.now, s.Worker, s.Task, s.Run, fleet.ReplyOK) // answered by the old incarnation
	f.advance(100 * time.Millisecond)
	w := s.Info
	w.Incarnation = f.now
	answerHeartbeats := func() {
		for _, other := range f.workers {
			if other.ID() != s.Worker {
				f.heartbeat(other, nil, nil)
			}
		}
		f.heartbeat(w, nil, nil)
	}
	answerHeartbeats()
	f.Tick(f.now)
	stops := 0
	for _, o := range f.Orders() {
		is.True(o.Kind != fleet.OrderStart)
		if o.Kind == fleet.OrderStop {
			stops++
		}
	}
	is.Equal(stops, 1)
	f.StopAnswered(f.now, s.Worker, s.Task, s.Run, fleet.ReplyOK)
	f.advance(100 * time.Millisecond)
	answerHeartbeats()
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 1)
}

// TestStaleAcknowledgement checks ends that are stored a second after the worker has
// listed them. The worker may have restarted by then, and a new incarnation numbers its
// ends from 1 again, so the ends must not be acknowledged by the old numbers before the
// worker has answered another heartbeat.
func TestStaleAcknowledgement(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.registerWorkers()
	f.Accept(f.now, newJob("j", 1, false))
	s := f.nextOrders(fleet.OrderStart)[0]
	f.confirmStarts([]fleet.Order{s})
	f.advance(time.Second)
	f.heartbeat(f.workers[0], nil, doneEnd(1, s))
	is.Equal(len(f.Batch()), 1)
	is.Equal(len(f.nextOrders(fleet.OrderHeartbeat)), 0)
	f.advance(time.Second)
	f.BatchStored(f.now)
	heartbeats := f.nextOrders(fleet.OrderHeartbeat)
	is.Equal(len(heartbeats), 1)
	is.Equal(heartbeats[0].AckedEnd, uint64(0)) // it has answered no heartbeat for a second
	f.heartbeat(f.workers[0], nil, doneEnd(1, s))
	is.Equal(f.nextOrders(fleet.OrderHeartbeat)[0].AckedEnd, uint64(1))
}

// TestTrimmedJobs ends more jobs than are kept in memory. The rows of all of them must
// be deleted after their retention period.
func TestTrimmedJobs(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 0)
	const count = 8100
	for i := range count {
		id := core.JobID(fmt.Sprintf("j%d", i))
		f.Accept(f.now, newJob(string(id), 1, false))
		f.Cancel(f.now, id)
	}
	f.Tick(f.now)
	f.JobsRead(f.now.Add(time.Nanosecond))
	for len(f.Batch()) > 0 {
		f.BatchStored(f.now)
	}
	f.advance(time.Minute)
	deleted := core.NewSet[core.JobID]()
	for range count {
		for _, id := range f.ForgetExpired(f.now, time.Second, 20) {
			deleted.Add(id)
		}
	}
	is.Equal(len(deleted), count)
}

// TestExpiredLeaseIsNotExtended guards against a run that ends as done on a worker whose lease
// counts as expired, and that is taken note of there although its task has started again.
func TestExpiredLeaseIsNotExtended(t *testing.T) {
	for name, late := range map[string]time.Duration{"its clock has stood still": -2 * time.Second, "it ends its lease late": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 2)
			first := f.startTask()
			other := f.workers[slices.IndexFunc(f.workers, func(w fleet.WorkerInfo) bool { return w.ID() != first.Worker })]
			var second []fleet.Order
			for len(second) == 0 {
				f.advance(100 * time.Millisecond)
				f.HeartbeatFailed(f.now, first.Worker)
				f.heartbeat(other, nil, nil)
				second = f.nextOrders(fleet.OrderStart)
			}
			f.confirmStarts(second)
			running := []fleet.ActiveRun{{Task: second[0].Task, Run: second[0].Run}}

			leaseEnd := first.LeaseUntil
			answer := func(clock time.Duration) fleet.Order {
				f.HeartbeatAnswered(f.now, first.Worker, f.now, fleet.RunLists{Clock: clock, Incarnation: first.Info.Incarnation, Ended: doneEnd(1, first)})
				f.heartbeat(other, running, nil)
				f.BatchStored(f.now)
				f.Batch()
				f.BatchStored(f.now)
				f.advance(500 * time.Millisecond)
				orders := f.nextOrders(fleet.OrderHeartbeat)
				return orders[slices.IndexFunc(orders, func(o fleet.Order) bool { return o.Worker == first.Worker })]
			}
			next := answer(leaseEnd + late)
			is.Equal(next.LeaseUntil, time.Duration(0))
			is.Equal(next.AckedEnd, uint64(0))
			answer(leaseEnd + time.Second)
			next = answer(leaseEnd + 2*time.Second)
			is.Equal(next.AckedEnd, uint64(1))
		})
	}
}

// TestEndOnLapsedWorkerHoldsNoTask guards against recovered tasks that wait for ever for a worker
// that has listed the end of an unknown job's run after its lease counted as expired, and is silent.
func TestEndOnLapsedWorkerHoldsNoTask(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 3)
	f.takeOver(f.workers)
	lapsing := f.workers[1]
	f.starts(f.workers, f.workers[:2])
	for answered := false; ; f.advance(100 * time.Millisecond) {
		waited := f.now.Sub(startTime)
		is.True(waited < 20*time.Second)
		if len(f.starts(f.workers, f.workers[:1])) > 0 {
			is.True(answered)
			return
		}
		f.JobsRead(f.now)
		if !answered && waited > 6500*time.Millisecond {
			answered = true
			f.HeartbeatAnswered(f.now, lapsing.ID(), f.now, fleet.RunLists{Clock: 3 * time.Second, Incarnation: lapsing.Incarnation,
				Ended: []fleet.EndedRun{{Number: 1, Task: newTaskID("unknown", 0), Run: 1, Kind: fleet.EndDone, Reason: "done"}}})
		}
	}
}

// TestLateAnswerCounts guards against a task that starts again although its worker has listed its
// end: the owner has read that answer late, after it had counted the heartbeat as failed.
func TestLateAnswerCounts(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 2)
	first := f.startTask()
	w := first.Info
	f.nextOrders(fleet.OrderHeartbeat)
	sent := f.now
	f.advance(time.Second)
	f.HeartbeatFailed(f.now, w.ID())
	f.advance(500 * time.Millisecond)
	isToWorker := func(o fleet.Order) bool { return o.Worker == w.ID() }
	is.True(slices.ContainsFunc(f.nextOrders(fleet.OrderHeartbeat), isToWorker))
	lists := fleet.RunLists{Clock: sent.Sub(startTime) + time.Second, Incarnation: w.Incarnation, Ended: doneEnd(1, first)}
	f.HeartbeatAnswered(f.now, w.ID(), sent, lists)
	state, _ := f.State("j")
	is.Equal(state, jobs.Running) // until it is stored
	f.store()
	state, _ = f.State("j")
	is.Equal(state, jobs.Completed)
	is.True(!slices.ContainsFunc(f.nextOrders(fleet.OrderHeartbeat), isToWorker)) // one is in flight

	f.heartbeat(w, nil, nil)
	running := fleet.RunLists{Clock: lists.Clock, Incarnation: w.Incarnation, Active: []fleet.ActiveRun{{Task: first.Task, Run: first.Run}}}
	f.HeartbeatAnswered(f.now, w.ID(), sent, running) // overtaken
	is.Equal(len(f.nextOrders(fleet.OrderStop)), 0)
}
