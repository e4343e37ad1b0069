package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/policy"
)

// TestRestartIsLogged guards against logs that don't tell whether a task was placed on a restarted
// worker before its entry of that incarnation had been read.
func TestRestartIsLogged(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.registerWorkers()
	f.Decisions()
	restarted := f.workers[0]
	restarted.Incarnation = f.now
	f.advance(time.Second)
	f.heartbeat(restarted, nil, nil)
	f.advance(300 * time.Millisecond)
	f.SetWorkers(f.now, f.list([]fleet.WorkerInfo{restarted}))
	f.RosterStored(f.Roster())
	f.Accept(f.now, newJob("j", 1, false))
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 1)
	want := []struct {
		event string
		wait  time.Duration
	}{{fleet.EventIncarnation, 0}, {fleet.EventEntry, 300 * time.Millisecond}, {fleet.EventPlaced, 0}}
	got := f.Decisions()
	is.Equal(len(got), len(want))
	for i, d := range got {
		is.Equal(d.Event, want[i].event)
		is.Equal(d.Worker, restarted.ID())
		is.True(d.Incarnation.Equal(restarted.Incarnation))
		is.Equal(d.Wait, want[i].wait)
	}
}

// TestOddEntryIsLogged guards against a wait without a beginning in the log, once an entry that has named
// another incarnation for a while is right again.
func TestOddEntryIsLogged(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.registerWorkers()
	odd := f.workers[0]
	odd.Incarnation = f.now
	f.Decisions()
	for _, info := range []fleet.WorkerInfo{odd, f.workers[0]} {
		f.SetWorkers(f.now, f.list([]fleet.WorkerInfo{info}))
		got := f.Decisions()
		is.Equal(len(got), 1)
		is.Equal(got[0].Event, fleet.EventEntry)
		is.Equal(got[0].Wait, time.Duration(0))
	}
}

// TestEntryOfFormerIncarnation guards against a task that starts on a restarted worker by the label,
// the service, the room or the state of its former incarnation, of which the list still has the entry.
func TestEntryOfFormerIncarnation(t *testing.T) {
	for name, change := range map[string]func(*fleet.WorkerInfo){
		"label":   func(info *fleet.WorkerInfo) { info.Labels = []string{"b"} },
		"service": func(info *fleet.WorkerInfo) { info.Service = "other" },
		"room":    func(info *fleet.WorkerInfo) { info.Capacity = core.Resources{Cores: 500, Memory: 500} },
		"leaving": func(info *fleet.WorkerInfo) { info.Leaving = true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 1)
			f.workers[0].Labels = []string{"a"}
			f.registerWorkers()
			job := newJob("j", 1, false)
			job.Phases[0].Label = "a"
			restart := func() fleet.WorkerInfo {
				f.advance(time.Second)
				info := f.workers[0]
				info.Incarnation = f.now
				f.heartbeat(info, nil, nil)
				f.RosterStored(f.Roster())
				return info
			}
			other := restart()
			f.Accept(f.now, job)
			is.Equal(len(f.nextOrders(fleet.OrderStart)), 0) // the list has the former entry
			f.SetWorkers(f.now, f.list(f.workers))
			is.Equal(len(f.nextOrders(fleet.OrderStart)), 0) // still
			change(&other)
			f.SetWorkers(f.now, f.list([]fleet.WorkerInfo{other}))
			is.Equal(len(f.nextOrders(fleet.OrderStart)), 0) // this incarnation is another kind
			same := restart()
			is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
			f.SetWorkers(f.now, f.list([]fleet.WorkerInfo{same}))
			is.Equal(len(f.nextOrders(fleet.OrderStart)), 1)
		})
	}
}

// TestEntryOfLaterIncarnation guards against a task that is placed by the entry of an incarnation that
// has not answered yet, under the name of the one before it.
func TestEntryOfLaterIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.registerWorkers()
	later := f.workers[0]
	later.Incarnation, later.Labels = f.now.Add(time.Second), []string{"a"}
	f.advance(1100 * time.Millisecond)
	f.SetWorkers(f.now, f.list([]fleet.WorkerInfo{later}))
	job := newJob("j", 1, false)
	job.Phases[0].Label = "a"
	f.Accept(f.now, job)
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
	f.heartbeat(later, nil, nil)
	f.RosterStored(f.Roster())
	starts := f.nextOrders(fleet.OrderStart)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Info.Incarnation, later.Incarnation)
}

// TestTicketOfFormerIncarnation guards against a start that a restarted worker refuses, as its ticket
// was valid for the former incarnation only; such a refusal ends the other tickets of the phase as well.
func TestTicketOfFormerIncarnation(t *testing.T) {
	for name, learn := range map[string]func(*fixture, fleet.WorkerInfo){
		"its answer":            func(f *fixture, restarted fleet.WorkerInfo) { f.heartbeat(restarted, nil, nil) },
		"its answer to a start": func(f *fixture, _ fleet.WorkerInfo) { f.IncarnationEnded(f.now, f.workers[0]) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newAdvisedFixture(2, policy.Advisor{Base: 20 * time.Millisecond, PerWorker: time.Millisecond, TicketTTL: 10 * time.Second})
			job := newJob("j", 2, false)
			job.Phases[0].Need.Cores = 3000 // one on each worker
			f.Accept(f.now, job)
			advise := func(ticket string) core.Set[core.WorkerID] {
				f.nextOrders(fleet.OrderStart)
				peers := &fakePeers{}
				f.AdviceRequests(f.now, peers)
				is.Equal(len(peers.requests), 1)
				request := peers.requests[0]
				var allowed []fleet.AllowedWorker
				for _, w := range request.Workers {
					allowed = append(allowed, fleet.AllowedWorker{Worker: w, Ticket: ticket})
				}
				f.AdviceReceived(f.now, request.Phase, request.Workers, allowed, 10*time.Second)
				return core.NewSet(request.Workers...)
			}
			is.Equal(len(advise("old")), 2)
			starts := f.nextOrders(fleet.OrderStart)
			is.Equal(len(starts), 2)
			f.confirmStarts(starts)

			restarted := f.workers[0]
			restarted.Incarnation = f.now
			f.advance(100 * time.Millisecond)
			learn(f, restarted)
			f.SetWorkers(f.now, f.list([]fleet.WorkerInfo{restarted, f.workers[1]}))
			f.RosterStored(f.Roster())
			f.heartbeat(restarted, nil, nil)
			is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
			f.advance(100 * time.Millisecond)
			is.Equal(advise("new"), core.NewSet(restarted.ID()))
			starts = f.nextOrders(fleet.OrderStart)
			is.Equal(len(starts), 1)
			is.Equal(starts[0].Ticket, "new")
		})
	}
}
