package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
)

// fieldError is the reason why an entry cannot be used.
type fieldError struct{}

func (fieldError) Error() string { return "port is 0" }

// TestUnusableEntry lists a worker with a running task whose entry cannot be used for a
// while, also while it is leaving: an entry that is gone then means that the worker has
// ended. The run must go on, and nothing more may be placed on the worker until its
// entry is usable again.
func TestUnusableEntry(t *testing.T) {
	for name, leaving := range map[string]bool{"ready": false, "leaving": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 2)
			s := f.startTask()
			odd, other := s.Info, f.workers[0]
			if other.ID() == odd.ID() {
				other = f.workers[1]
			}
			odd.Leaving, odd.Renewals = leaving, 7
			f.SetWorkers(f.now, fleet.WorkerList{Workers: []fleet.WorkerInfo{odd, other}})
			unusable := fleet.WorkerList{Workers: []fleet.WorkerInfo{other}, Unusable: []fleet.UnusableEntry{{ID: odd.ID(), Err: fieldError{}}, {ID: "stranger", Err: fieldError{}}}}
			for i := range 8 {
				f.advance(500 * time.Millisecond)
				f.SetWorkers(f.now, unusable)
				f.heartbeat(odd, []fleet.ActiveRun{{Task: s.Task, Run: s.Run, Percent: 10 * i}}, nil)
				f.heartbeat(other, nil, nil)
				is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
			}
			f.Accept(f.now, newJob("k", 6, false))
			starts := f.nextOrders(fleet.OrderStart)
			is.Equal(len(starts), 4) // the other worker has room for four
			for _, o := range starts {
				is.Equal(o.Worker, other.ID())
			}
			f.SetWorkers(f.now, fleet.WorkerList{Workers: []fleet.WorkerInfo{odd, other}})
			is.Equal(len(f.nextOrders(fleet.OrderStart)) == 0, leaving)
		})
	}
}

// TestMisdirectedEntry lists an entry with the address of another worker, which refuses
// the calls that it receives for the entry. They must end until the entry changes.
func TestMisdirectedEntry(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 2)
	f.workers[1].Addr = f.workers[0].Addr
	list := fleet.WorkerList{Workers: f.workers}
	f.SetWorkers(f.now, list)
	is.Equal(len(f.nextOrders(fleet.OrderHeartbeat)), 2)
	f.heartbeat(f.workers[0], nil, nil)
	f.IncarnationEnded(f.now, f.workers[1])
	version := f.RosterVersion()
	called := func() core.Set[core.WorkerID] {
		ids := core.NewSet[core.WorkerID]()
		for range 5 {
			f.advance(500 * time.Millisecond)
			f.SetWorkers(f.now, list)
			for _, o := range f.nextOrders(fleet.OrderHeartbeat) {
				ids.Add(o.Worker)
				if o.Worker == f.workers[0].ID() {
					f.heartbeat(f.workers[0], nil, nil)
				}
			}
		}
		return ids
	}
	is.True(!called().Has(f.workers[1].ID()))
	is.Equal(f.RosterVersion(), version)
	f.workers[1].Incarnation = f.now
	is.True(called().Has(f.workers[1].ID()))
}

// TestEntryWithOtherAddress guards against an odd entry that sends an owner's calls for a
// living worker to another one, whose refusal would then count as the end of its runs.
func TestEntryWithOtherAddress(t *testing.T) {
	for name, incarnation := range map[string]time.Time{"same incarnation": startTime.Add(-time.Hour), "none": {}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 2)
			s := f.startTask()
			odd := s.Info
			odd.Addr, odd.Incarnation = newWorkerInfo(9).Addr, incarnation
			f.SetWorkers(f.now, fleet.WorkerList{Workers: []fleet.WorkerInfo{odd}})
			f.IncarnationEnded(f.now, odd)
			is.Equal(len(f.roster()), 2)
			f.heartbeat(s.Info, []fleet.ActiveRun{{Task: s.Task, Run: s.Run}}, nil)
			for _, o := range f.nextOrders(fleet.OrderHeartbeat) {
				is.True(o.Worker != s.Worker || o.Info.Addr == s.Info.Addr)
			}
		})
	}
}
