package fleet_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
)

// maxEarlierLease is the time after a change of owner by which the longest lease of an
// earlier owner has expired: 6 s on a clock that is 2 % slow, and a second in which that
// owner may not know of the change.
const maxEarlierLease = 6*time.Second*100/98 + time.Second

// newPolicyOf returns a policy that names services.
func newPolicyOf(names ...core.Service) *policy.Policy {
	var services []policy.Service
	for _, n := range names {
		services = append(services, policy.Service{Name: n})
	}
	return policy.New(2, nil, nil, services, 0)
}

// takeOver replaces the fixture's scheduler by that of a new owner that has loaded the
// stored roster and one job, which an earlier owner may have started.
func (f *fixture) takeOver(roster []fleet.WorkerInfo) {
	f.Scheduler = newScheduler(f.now, 2)
	f.RestoreRoster(rosterOf(roster))
	f.Load(f.now, []jobs.Spec{newJob("j", 1, false)}, nil)
}

// starts lists workers, answers the heartbeats of those that are given, and returns the
// starts that the scheduler orders.
func (f *fixture) starts(listed, answering []fleet.WorkerInfo) []fleet.Order {
	f.SetWorkers(f.now, f.list(listed))
	f.RosterStored(f.Roster())
	f.Tick(f.now)
	var out []fleet.Order
	for _, o := range f.Orders() {
		answered := false
		for _, w := range answering {
			if o.Kind == fleet.OrderHeartbeat && o.Worker == w.ID() {
				f.heartbeat(w, nil, nil)
				answered = true
			}
		}
		if o.Kind == fleet.OrderStart {
			out = append(out, o)
		} else if !answered {
			f.HeartbeatFailed(f.now, o.Worker)
		}
	}
	return out
}

// TestForeignEntry guards against entries of another system that hold jobs up for ever
// (review/2): an entry of a service that the configuration does not name is no worker. It
// becomes one once a configuration names its service.
func TestForeignEntry(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 2)
	foreign := newWorkerInfo(9)
	foreign.Service = "of another system"
	f.takeOver(f.workers)
	listed := append([]fleet.WorkerInfo{foreign}, f.workers...)
	starts := f.starts(listed, f.workers)
	is.Equal(len(f.roster()), 2)
	starts = append(starts, f.starts(listed, f.workers)...)
	is.Equal(len(starts), 1)
	f.SetPolicy(newPolicyOf("s", foreign.Service))
	f.starts(listed, f.workers)
	is.Equal(len(f.roster()), 3)
}

// TestListedWorkerNeverAnswers guards against a listed worker that holds up the recovered
// tasks of the whole fleet for ever (review/2) because it never answers a new owner, or
// answers what cannot be read. Its runs are over once the longest lease has expired.
func TestListedWorkerNeverAnswers(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 2)
	f.takeOver(f.workers)
	for {
		starts := f.starts(f.workers, f.workers[:1])
		waited := f.now.Sub(startTime)
		is.True(len(starts) == 0 || waited >= 6*time.Second*100/98)
		if len(starts) > 0 {
			is.Equal(starts[0].Worker, f.workers[0].ID())
			return
		}
		is.True(waited < maxEarlierLease+500*time.Millisecond)
		f.advance(100 * time.Millisecond)
	}
}

// TestEndedIncarnationListed guards against a living worker that counts as gone because
// the list still holds an ended one at its address (review/3). Only an answer at the
// address shows which of the two has ended.
func TestEndedIncarnationListed(t *testing.T) {
	for name, endedFirst := range map[string]bool{"before it": true, "after it": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2, 2)
			living, ended := f.workers[0], newWorkerInfo(7)
			ended.Addr = living.Addr
			listed := []fleet.WorkerInfo{living, f.workers[1], ended}
			if endedFirst {
				listed = []fleet.WorkerInfo{ended, living, f.workers[1]}
			}
			f.takeOver(f.workers)
			is.Equal(len(f.starts(listed, f.workers[1:])), 0)
			is.Equal(len(f.roster()), 3)
			f.HeartbeatFailed(f.now, ended.ID())
			f.IncarnationEnded(f.now, ended)
			is.Equal(len(f.roster()), 2)
			f.heartbeat(living, []fleet.ActiveRun{{Task: newTaskID("j", 0), Run: 1}}, nil)
			is.Equal(len(f.starts(listed, nil)), 0)
			state, _ := f.State("j")
			is.Equal(state, jobs.Running)
		})
	}
}

// TestLateMisdirectedAnswer guards against an answer to an order for an earlier
// incarnation or address that ends the runs of the present one (related to review/3).
func TestLateMisdirectedAnswer(t *testing.T) {
	for name, change := range map[string]func(*fleet.WorkerInfo){
		"other incarnation": func(w *fleet.WorkerInfo) { w.Incarnation = w.Incarnation.Add(-time.Minute) },
		"other address":     func(w *fleet.WorkerInfo) { w.Addr = newWorkerInfo(9).Addr },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 2)
			s := f.startTask()
			sent := s.Info
			change(&sent)
			f.IncarnationEnded(f.now, sent)
			is.Equal(len(f.roster()), 2)
			is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
		})
	}
}

// TestUnlistedWorkerOfEarlierOwner guards against a worker that is taken as gone because
// the list lacks it, while it runs on under the lease of an earlier owner (review/4). Its
// tasks start elsewhere once the longest lease has expired, reckoned from the change of
// owner, also on a platform that allows leases of 10 s.
func TestUnlistedWorkerOfEarlierOwner(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 2)
	f.takeOver(f.workers)
	f.SetLimits(fleet.Limits{Lease: 10 * time.Second, ListTimeout: 4500 * time.Millisecond, RemoteFactor: 1})
	for {
		starts := f.starts(f.workers[:1], f.workers[:1])
		waited := f.now.Sub(startTime)
		is.True(len(starts) == 0 || waited >= 6*time.Second*100/98)
		if len(starts) > 0 {
			is.True(starts[0].LeaseUntil <= waited+6*time.Second)
			return
		}
		is.True(waited < maxEarlierLease+500*time.Millisecond)
		f.advance(100 * time.Millisecond)
	}
}

// TestUnlistedWorkerAnswersLate checks that a worker which the list lacks keeps its runs
// if it answers a new owner before the longest lease has expired (review/4).
func TestUnlistedWorkerAnswersLate(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 2)
	f.takeOver(f.workers)
	for range 60 {
		is.Equal(len(f.starts(f.workers[:1], f.workers[:1])), 0)
		f.advance(100 * time.Millisecond)
	}
	run := []fleet.ActiveRun{{Task: newTaskID("j", 0), Run: 1}}
	for range 50 {
		f.heartbeat(f.workers[1], run, nil)
		is.Equal(len(f.starts(f.workers[:1], f.workers[:1])), 0)
		f.advance(100 * time.Millisecond)
	}
}

// TestDrainingWorkerOfEarlierOwner guards against a draining worker that counts as ended
// because the platform drops its entry for silence towards the store soon after a change
// of owner (review/5). Only a renewal that this owner has seen dates the entry.
func TestDrainingWorkerOfEarlierOwner(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 2)
	roster := f.workers
	f.takeOver(roster)
	draining := roster[1]
	draining.Leaving, draining.Renewals = true, 7
	run := []fleet.ActiveRun{{Task: newTaskID("j", 0), Run: 1}}
	for i := range 60 {
		listed := []fleet.WorkerInfo{roster[0], draining}
		if i > 20 {
			listed = listed[:1]
		}
		is.Equal(len(f.starts(listed, roster[:1])), 0)
		f.heartbeat(draining, run, nil)
		f.advance(100 * time.Millisecond)
	}
}

// TestDrainingWorkerBehindOutage guards against an entry that counts as renewed when the
// owner reads the list again after a pause (related to review/5): the renewal is older
// than the list that shows it, and so the platform may have dropped the entry for silence.
func TestDrainingWorkerBehindOutage(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 2)
	s := f.startTask()
	listed := append([]fleet.WorkerInfo{}, f.workers...)
	i := slices.IndexFunc(listed, func(w fleet.WorkerInfo) bool { return w.ID() == s.Worker })
	listed[i].Leaving, listed[i].Renewals = true, 7
	f.advance(4 * time.Second)
	f.SetWorkers(f.now, f.list(listed))
	f.advance(500 * time.Millisecond)
	f.SetWorkers(f.now, f.list(slices.Delete(slices.Clone(listed), i, i+1)))
	f.heartbeat(s.Info, []fleet.ActiveRun{{Task: s.Task, Run: s.Run}}, nil)
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
	is.Equal(len(f.roster()), 2)
}

// TestDrainedOnlyWithoutOutage guards against a draining worker that counts as ended because
// its entry vanished around an outage of the store: only readings of the list without a gap
// from its last renewal on show that the worker has left.
func TestDrainedOnlyWithoutOutage(t *testing.T) {
	for name, c := range map[string]struct {
		readFails bool
		lastGap   time.Duration
		starts    int
	}{"none": {false, 500 * time.Millisecond, 1}, "failed read": {true, time.Second, 0}, "late read": {false, 2 * time.Second, 0}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 2)
			s := f.startTask()
			i := slices.IndexFunc(f.workers, func(w fleet.WorkerInfo) bool { return w.ID() == s.Worker })
			listed := slices.Clone(f.workers)
			for beat := range uint64(3) {
				f.advance(500 * time.Millisecond)
				listed[i].Leaving, listed[i].Renewals = true, beat
				f.SetWorkers(f.now, f.list(listed))
			}
			if c.readFails {
				f.ListFailed()
			}
			f.HeartbeatFailed(f.now, s.Worker)
			f.advance(c.lastGap)
			f.SetWorkers(f.now, f.list(slices.Delete(listed, i, i+1)))
			f.heartbeat(f.workers[1-i], nil, nil)
			is.Equal(len(f.nextOrders(fleet.OrderStart)), c.starts)
			is.Equal(len(f.roster()), 2-c.starts)
		})
	}
}

// TestDrainedWorkerStillAnswers guards against a draining worker that counts as ended because
// the platform has removed its entry, while it still answers.
func TestDrainedWorkerStillAnswers(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 2)
	s := f.startTask()
	i := slices.IndexFunc(f.workers, func(w fleet.WorkerInfo) bool { return w.ID() == s.Worker })
	listed := slices.Clone(f.workers)
	for beat := range uint64(3) {
		f.advance(500 * time.Millisecond)
		listed[i].Leaving, listed[i].Renewals = true, beat
		f.SetWorkers(f.now, f.list(listed))
	}
	listed = slices.Delete(listed, i, i+1)
	for range 20 {
		f.advance(500 * time.Millisecond)
		f.SetWorkers(f.now, f.list(listed))
		f.heartbeat(f.workers[1-i], nil, nil)
		is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
		f.heartbeat(s.Info, []fleet.ActiveRun{{Task: s.Task, Run: s.Run}}, nil)
	}
}

// TestRosterOmitsEndedWorkers guards against a change of owner that makes the fleet wait
// again for a worker whose runs the former owner knew to have ended. The worker is used
// again only once a roster that was made after its return has been stored.
func TestRosterOmitsEndedWorkers(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 2)
	f.registerWorkers()
	before, version := f.Roster()
	for range 80 {
		f.advance(100 * time.Millisecond)
		f.starts(f.workers, f.workers[:1])
	}
	is.Equal(len(f.roster()), 1)
	f.heartbeat(f.workers[1], nil, nil)
	is.Equal(len(f.roster()), 2)
	f.RosterStored(before, version) // this write was in flight since before the silence
	f.Accept(f.now, newJob("k", 8, false))
	for _, o := range f.nextOrders(fleet.OrderStart) {
		is.Equal(o.Worker, f.workers[0].ID())
	}
	f.RosterStored(f.Roster())
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 4) // the room of the worker that is back
}

// TestOnlyInheritedWorkersAreAwaited checks that a new owner waits for no worker that is
// listed and not in the stored roster: no earlier owner can have used it.
func TestOnlyInheritedWorkersAreAwaited(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 2)
	f.takeOver(f.workers[:1])
	starts := append(f.starts(f.workers, f.workers[:1]), f.starts(f.workers, f.workers[:1])...)
	is.Equal(len(starts), 1)
}
