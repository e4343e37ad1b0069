package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
)

// confirmStarts answers start orders for their workers.
func (f *fixture) confirmStarts(starts []fleet.Order) {
	for _, s := range starts {
		f.StartAnswered(f.now, s.Worker, s.Task, s.Run, fleet.ReplyOK)
	}
}

// TestStalledRun checks that a run without progress is stopped and its task started on
// another worker, and that a run with progress is not stopped.
func TestStalledRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 2)
	f.registerWorkers()
	f.Accept(f.now, newJob("j", 1, false))
	starts := f.nextOrders(fleet.OrderStart)
	f.confirmStarts(starts)
	s := starts[0]
	var worker fleet.WorkerInfo
	for _, w := range f.workers {
		if w.ID() == s.Worker {
			worker = w
		}
	}
	for percent := range 20 {
		f.advance(200 * time.Millisecond)
		f.heartbeat(worker, []fleet.ActiveRun{{Task: s.Task, Run: s.Run, Percent: percent + 1}}, nil)
		is.Equal(len(f.nextOrders(fleet.OrderStop)), 0)
	}
	var stops []fleet.Order
	for range 20 {
		f.advance(200 * time.Millisecond)
		f.heartbeat(worker, []fleet.ActiveRun{{Task: s.Task, Run: s.Run, Percent: 20}}, nil)
		if stops = f.nextOrders(fleet.OrderStop); len(stops) > 0 {
			break
		}
	}
	is.Equal(len(stops), 1)
	f.StopAnswered(f.now, s.Worker, s.Task, s.Run, fleet.ReplyOK)
	f.advance(200 * time.Millisecond)
	for _, w := range f.workers {
		if w.ID() != s.Worker {
			f.heartbeat(w, nil, nil)
		}
	}
	f.heartbeat(worker, nil, []fleet.EndedRun{{Number: 1, Task: s.Task, Run: s.Run, Kind: fleet.EndOther, Reason: "stopped"}})
	again := f.nextOrders(fleet.OrderStart)
	is.Equal(len(again), 1)
	is.True(again[0].Worker != s.Worker)
}

// TestSlowProgressIsNotStalled checks that two kinds of runs are not stopped: a run of
// minutes whose percentage does not change for seconds, and a run whose worker reports no
// progress at all.
func TestSlowProgressIsNotStalled(t *testing.T) {
	for name, reported := range map[string]bool{"slow percent": true, "no percent": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 1)
			f.registerWorkers()
			spec := newJob("j", 1, false)
			spec.Phases[0].Estimate = 10 * time.Minute
			f.Accept(f.now, spec)
			s := f.nextOrders(fleet.OrderStart)[0]
			f.confirmStarts([]fleet.Order{s})
			for i := range 200 {
				f.advance(200 * time.Millisecond)
				a := fleet.ActiveRun{Task: s.Task, Run: s.Run}
				if reported {
					a.Percent = i * 200 / 6000
				}
				f.heartbeat(f.workers[0], []fleet.ActiveRun{a}, nil)
				is.Equal(len(f.nextOrders(fleet.OrderStop)), 0)
			}
		})
	}
}

// TestSlowWorker checks that new work is placed on another worker than one with slow
// progress, even where that one is the better fit.
func TestSlowWorker(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 2)
	f.registerWorkers()
	f.Accept(f.now, newJob("j", 2, false))
	first := f.nextOrders(fleet.OrderStart)
	f.confirmStarts(first)
	is.Equal(first[0].Worker, first[1].Worker) // best fit places both on one worker
	slow := first[0].Worker
	for i := range 30 {
		f.advance(300 * time.Millisecond)
		for _, w := range f.workers {
			var active []fleet.ActiveRun
			if w.ID() == slow {
				for _, s := range first {
					active = append(active, fleet.ActiveRun{Task: s.Task, Run: s.Run, Percent: i + 1})
				}
			}
			f.heartbeat(w, active, nil)
		}
		f.nextOrders(fleet.OrderStop)
	}
	f.Accept(f.now, newJob("k", 1, false))
	next := f.nextOrders(fleet.OrderStart)
	is.Equal(len(next), 1)
	is.True(next[0].Worker != slow)
}

// TestTeamLimit checks that the tasks of a team at its limit wait although workers have
// room. A run that an earlier owner started counts towards the limit.
func TestTeamLimit(t *testing.T) {
	is := is.New(t)
	limited := newPolicy(core.Resources{Cores: 2500})
	scheduler := fleet.New(startTime, 2, fleet.Limits{Lease: leaseDuration, ListTimeout: 4500 * time.Millisecond, RemoteFactor: 1}, limited)
	f := newFixture(2, 2)
	f.Scheduler = scheduler
	f.Load(f.now, []jobs.Spec{newJob("j", 1, false)}, nil)
	f.SetWorkers(f.now, fleet.WorkerList{Workers: f.workers})
	f.RosterStored(f.Roster())
	f.heartbeat(f.workers[0], []fleet.ActiveRun{{Task: newTaskID("j", 0), Run: 1}}, nil)
	f.heartbeat(f.workers[1], nil, nil)
	f.Accept(f.now, newJob("k", 4, false))
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 1) // one task runs, and 2,500 allows one more
}

// TestGangWithoutRoom checks that no task of a gang starts if the fleet has no room for
// all of them, and that other work starts.
func TestGangWithoutRoom(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.registerWorkers()
	f.Accept(f.now, newJob("g", 5, true)) // the worker has room for four
	f.Accept(f.now, newJob("j", 2, false))
	starts := f.nextOrders(fleet.OrderStart)
	is.Equal(len(starts), 2)
	for _, s := range starts {
		is.Equal(s.Task.Job, core.JobID("j"))
	}
}

// TestPhaseOrder checks that a phase starts only after the phase it depends on.
func TestPhaseOrder(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.registerWorkers()
	spec := newJob("j", 1, false)
	spec.Phases = append(spec.Phases, jobs.Phase{Count: 1, Need: core.Resources{Cores: 100}, After: []int{0}})
	f.Accept(f.now, spec)
	first := f.nextOrders(fleet.OrderStart)
	is.Equal(len(first), 1)
	is.Equal(first[0].Task.Phase, 0)
	f.confirmStarts(first)
	f.advance(time.Second)
	f.heartbeat(f.workers[0], nil, doneEnd(1, first[0]))
	second := f.nextOrders(fleet.OrderStart)
	is.Equal(len(second), 1)
	is.Equal(second[0].Task.Phase, 1)
}

// TestAttempts checks that a job fails with the last attempt of a task that always fails,
// and that an end that is listed twice counts once.
func TestAttempts(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 4)
	f.registerWorkers()
	f.Accept(f.now, newJob("j", 1, false))
	number := map[core.WorkerID]uint64{}
	for attempt := range 3 {
		state, _ := f.State("j")
		is.True(state != jobs.Failed)
		starts := f.nextOrders(fleet.OrderStart)
		is.Equal(len(starts), 1)
		f.confirmStarts(starts)
		f.advance(100 * time.Millisecond)
		s := starts[0]
		number[s.Worker]++
		for _, w := range f.workers {
			if w.ID() == s.Worker {
				end := []fleet.EndedRun{{Number: number[s.Worker], Task: s.Task, Run: s.Run, Kind: fleet.EndFailed, Reason: "failed"}}
				f.heartbeat(w, nil, end)
				f.heartbeat(w, nil, end)
			}
		}
		is.Equal(uint64(attempt+1), f.Counts().Failures)
	}
	f.Batch()
	f.BatchStored(f.now)
	state, _ := f.State("j")
	is.Equal(state, jobs.Failed)
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
}

// fakePeers is a fleet.AdvicePeers that accepts one advice request at a time.
type fakePeers struct {
	busy     bool
	requests []fleet.AdviceRequest
}

// HasCapacity implements fleet.AdvicePeers.
func (t *fakePeers) HasCapacity(time.Duration) bool { return !t.busy }

// MostlyIdle implements fleet.AdvicePeers.
func (t *fakePeers) MostlyIdle() bool { return !t.busy }

// Send implements fleet.AdvicePeers.
func (t *fakePeers) Send(a fleet.AdviceRequest) {
	t.requests = append(t.requests, a)
	t.busy = true
}

// TestAdvice checks a queue that needs advice. The first request names all workers, a task
// starts only on an allowed worker and while its ticket is valid, and later requests name
// only allowed workers with room.
func TestAdvice(t *testing.T) {
	is := is.New(t)
	p := policy.New(1, []policy.Queue{{
		Name: "q", Host: "h", Prefix: "/", Service: "s", Attempts: 3, Slowdown: 2, Latency: time.Second,
		Advisor: core.Some(policy.Advisor{Base: 10 * time.Millisecond, PerWorker: time.Millisecond, TicketTTL: time.Second}),
	}}, []policy.Team{{Name: "t", Weight: 100}}, []policy.Service{{Name: "s"}}, 0)
	f := newFixture(1, 4)
	f.Scheduler = fleet.New(startTime, 1, fleet.Limits{Lease: leaseDuration, RemoteFactor: 1}, p)
	f.registerWorkers()
	f.Accept(f.now, newJob("j", 1, false))
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
	peers := &fakePeers{}
	f.AdviceRequests(f.now, peers)
	is.Equal(len(peers.requests), 1)
	is.Equal(len(peers.requests[0].Workers), 4)
	peers.busy = false
	f.AdviceRequests(f.now, peers)
	is.Equal(len(peers.requests), 1) // one request for a phase at a time
	allowed := []fleet.AllowedWorker{{Worker: "w2", Ticket: "good"}}
	f.AdviceReceived(f.now, peers.requests[0].Phase, peers.requests[0].Workers, allowed, time.Second)
	f.advance(time.Second) // the ticket has expired
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
	f.AdviceRequests(f.now, peers)
	is.Equal(len(peers.requests), 2)
	is.Equal(peers.requests[1].Workers, []core.WorkerID{"w2"})
	f.AdviceReceived(f.now, peers.requests[1].Phase, peers.requests[1].Workers, allowed, time.Second)
	starts := f.nextOrders(fleet.OrderStart)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Worker, core.WorkerID("w2"))
	is.Equal(starts[0].Ticket, "good")
}

// TestRefusedTicket checks that after a worker has refused a ticket, the other tickets of
// the same answer are not tried, and new ones are requested.
func TestRefusedTicket(t *testing.T) {
	is := is.New(t)
	p := policy.New(1, []policy.Queue{{
		Name: "q", Host: "h", Prefix: "/", Service: "s", Attempts: 3, Slowdown: 2, Latency: time.Second,
		Advisor: core.Some(policy.Advisor{Base: 10 * time.Millisecond, TicketTTL: time.Second}),
	}}, []policy.Team{{Name: "t", Weight: 100}}, []policy.Service{{Name: "s"}}, 0)
	f := newFixture(1, 3)
	f.Scheduler = fleet.New(startTime, 1, fleet.Limits{Lease: leaseDuration, RemoteFactor: 1}, p)
	f.registerWorkers()
	f.Accept(f.now, newJob("j", 1, false))
	peers := &fakePeers{}
	f.AdviceRequests(f.now, peers)
	allowed := []fleet.AllowedWorker{{Worker: "w0", Ticket: "a"}, {Worker: "w1", Ticket: "b"}, {Worker: "w2", Ticket: "c"}}
	f.AdviceReceived(f.now, peers.requests[0].Phase, peers.requests[0].Workers, allowed, time.Second)
	s := f.nextOrders(fleet.OrderStart)[0]
	f.StartAnswered(f.now, s.Worker, s.Task, s.Run, fleet.ReplyBadTicket)
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
	peers.busy = false
	f.AdviceRequests(f.now, peers)
	is.Equal(len(peers.requests), 2)
}

// TestStartOrder checks the order in which jobs start on a full fleet: first jobs within
// their team's share that can end on time, then those beyond the share, then late jobs, which have lost
// most of their worth. The late job and the job beyond the share start in the end too.
func TestStartOrder(t *testing.T) {
	is := is.New(t)
	p := policy.New(1,
		[]policy.Queue{{Name: "q", Host: "h", Prefix: "/", Service: "s", Attempts: 3, Slowdown: 2, Latency: time.Second}},
		[]policy.Team{{Name: "t", Weight: 100}, {Name: "flood", Weight: 0.5}}, []policy.Service{{Name: "s"}}, 0)
	f := newFixture(1, 1)
	f.Scheduler = fleet.New(startTime, 1, fleet.Limits{Lease: leaseDuration, RemoteFactor: 1}, p)
	f.registerWorkers()
	newLargeJob := func(id string, team core.Team, accepted time.Time) jobs.Spec {
		s := newJob(id, 1, false)
		s.Phases[0].Need.Cores = 4000
		s.Team, s.Accepted = team, accepted
		return s
	}
	f.advance(time.Minute)
	f.heartbeat(f.workers[0], nil, nil)
	f.Accept(f.now, newLargeJob("flood0", "flood", f.now))
	f.Accept(f.now, newLargeJob("flood1", "flood", f.now))
	f.Accept(f.now, newLargeJob("late", "t", f.now.Add(-4*time.Second)))
	f.Accept(f.now, newLargeJob("fresh", "t", f.now))
	var order []string
	for i := range 4 {
		starts := f.nextOrders(fleet.OrderStart)
		is.Equal(len(starts), 1)
		f.confirmStarts(starts)
		order = append(order, string(starts[0].Task.Job))
		f.advance(100 * time.Millisecond)
		f.heartbeat(f.workers[0], nil, doneEnd(uint64(i+1), starts[0]))
	}
	is.Equal(fmt.Sprint(order), "[flood0 fresh flood1 late]")
}

// TestForgetExpired checks that an ended job is kept for as long as clients may query it.
func TestForgetExpired(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.registerWorkers()
	f.Accept(f.now, newJob("j", 1, false))
	f.Cancel(f.now, "j")
	is.Equal(len(f.ForgetExpired(f.now.Add(time.Hour), time.Minute, 10)), 0) // not stored yet
	f.Batch()
	f.BatchStored(f.now)
	f.advance(59 * time.Second)
	f.JobsRead(f.now)
	is.Equal(len(f.ForgetExpired(f.now, time.Minute, 10)), 0)
	_, known := f.State("j")
	is.True(known)
	f.advance(2 * time.Second)
	is.Equal(f.ForgetExpired(f.now, time.Minute, 10), []core.JobID{"j"})
	_, known = f.State("j")
	is.True(!known)
}

// TestUncertainDeadline checks the order of two jobs on a full fleet: one would be late if
// it took any longer than expected, the other has time to spare. The latter starts
// first, because otherwise both would probably be late.
func TestUncertainDeadline(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.registerWorkers()
	f.advance(time.Minute)
	f.heartbeat(f.workers[0], nil, nil)
	for id, age := range map[string]time.Duration{"close": 1950 * time.Millisecond, "fresh": 0} {
		s := newJob(id, 1, false) // takes 1 s and is due within 3 s
		s.Phases[0].Need.Cores, s.Accepted = 4000, f.now.Add(-age)
		f.Accept(f.now, s)
	}
	is.Equal(f.nextOrders(fleet.OrderStart)[0].Task.Job, core.JobID("fresh"))
}
