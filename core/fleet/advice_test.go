package fleet_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
)

// newLargeFixture returns a scheduler of many free workers that have answered a heartbeat.
func newLargeFixture(workers int, p *policy.Policy) *fixture {
	f := &fixture{now: startTime, Scheduler: fleet.New(startTime, 1, fleet.Limits{Lease: leaseDuration, RemoteFactor: 1}, p)}
	for i := range workers {
		w := newWorkerInfo(i)
		w.Name, w.Incarnation = fmt.Sprintf("w%03d", i), startTime.Add(-time.Hour)
		w.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 80)
		f.workers = append(f.workers, w)
	}
	f.registerWorkers()
	return f
}

// newHalfFullFixture returns a scheduler of many workers whose queue q needs advice. The
// first half of the workers by name is full.
func newHalfFullFixture(is *is.I, workers int) *fixture {
	p := policy.New(1, []policy.Queue{{
		Name: "q", Host: "h", Prefix: "/", Service: "s", Attempts: 3, Slowdown: 4, Latency: time.Second,
		Advisor: core.Some(policy.Advisor{Base: 20 * time.Millisecond, PerWorker: time.Millisecond, TicketTTL: time.Second}),
	}, {
		Name: "any", Host: "h", Prefix: "/any/", Service: "s", Attempts: 3, Slowdown: 4, Latency: time.Second,
	}}, []policy.Team{{Name: "t", Weight: 1000}}, []policy.Service{{Name: "s"}}, 0)
	f := newLargeFixture(workers, p)
	filler := newJob("filler", workers/2, false)
	filler.Queue, filler.Phases[0].Need.Cores = "any", 4000
	f.Accept(f.now, filler)
	for _, s := range f.nextOrders(fleet.OrderStart) {
		is.True(s.Worker < "w150")
		f.confirmStarts([]fleet.Order{s})
	}
	return f
}

// TestAdviceNamesWorkersWithRoom checks advice requests on a large fleet that is half full.
// A request names only workers with room and no more than are likely to be needed, and
// the requests of two jobs do not name the same workers.
func TestAdviceNamesWorkersWithRoom(t *testing.T) {
	is := is.New(t)
	f := newHalfFullFixture(is, 300)
	namedWorkers := func(id string, count int, gang bool) []core.WorkerID {
		f.Accept(f.now, newJob(id, count, gang))
		f.nextOrders(fleet.OrderStart)
		peers := &fakePeers{}
		f.AdviceRequests(f.now, peers)
		is.Equal(len(peers.requests), 1)
		is.Equal(peers.requests[0].Phase.Job, core.JobID(id))
		for _, w := range peers.requests[0].Workers {
			is.True(w >= "w150") // in the half with room
		}
		return peers.requests[0].Workers
	}
	first, second := namedWorkers("a", 3, false), namedWorkers("b", 3, false)
	is.True(len(first) <= 20)
	is.True(fmt.Sprint(first) != fmt.Sprint(second))
	is.True(len(namedWorkers("g", 60, true)) <= 100)
}

// TestSecondAdviceRequest checks a gang whose first request has allowed too few workers.
// The second request names only other workers, and with those that it allows the gang
// starts.
func TestSecondAdviceRequest(t *testing.T) {
	is := is.New(t)
	f := newHalfFullFixture(is, 300)
	f.Accept(f.now, newJob("g", 40, true))
	f.nextOrders(fleet.OrderStart)
	peers := &fakePeers{}
	f.AdviceRequests(f.now, peers)
	first := peers.requests[0]
	f.AdviceReceived(f.now, first.Phase, first.Workers, []fleet.AllowedWorker{{Worker: first.Workers[0], Ticket: "a"}}, time.Second)
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0) // the allowed worker has room for 4 of 40 tasks
	peers.busy = false
	f.AdviceRequests(f.now, peers)
	is.Equal(len(peers.requests), 2)
	for _, w := range peers.requests[1].Workers {
		for _, old := range first.Workers {
			is.True(w != old) // its ticket is still valid, or it is not allowed
		}
	}
	var allowed []fleet.AllowedWorker
	for _, w := range peers.requests[1].Workers {
		allowed = append(allowed, fleet.AllowedWorker{Worker: w, Ticket: "b"})
	}
	f.AdviceReceived(f.now, first.Phase, peers.requests[1].Workers, allowed, time.Second)
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 40)
}

// newAdvisedFixture returns a scheduler of many free workers whose queue needs advice.
func newAdvisedFixture(workers int, a policy.Advisor) *fixture {
	p := policy.New(1, []policy.Queue{{
		Name: "q", Host: "h", Prefix: "/", Service: "s", Attempts: 3, Slowdown: 4, Latency: time.Second, Advisor: core.Some(a),
	}}, []policy.Team{{Name: "t", Weight: 1000}}, []policy.Service{{Name: "s"}}, 0)
	return newLargeFixture(workers, p)
}

// startsTogether answers advice requests, each after its expected duration, with tickets
// for the workers that allows accepts. It reports whether, within 10 s, the given number of
// tasks start in one tick.
func (f *fixture) startsTogether(tasks int, ticketTTL time.Duration, allows func(core.WorkerID) bool) bool {
	peers := &fakePeers{}
	var answerAt time.Time
	for began := f.now; f.now.Sub(began) < 10*time.Second; f.advance(20 * time.Millisecond) {
		for _, w := range f.workers {
			f.heartbeat(w, nil, nil)
		}
		if peers.busy && !f.now.Before(answerAt) {
			request := peers.requests[len(peers.requests)-1]
			var allowed []fleet.AllowedWorker
			for _, w := range request.Workers {
				if allows(w) {
					allowed = append(allowed, fleet.AllowedWorker{Worker: w, Ticket: "t"})
				}
			}
			f.AdviceReceived(f.now, request.Phase, request.Workers, allowed, ticketTTL)
			peers.busy = false
		}
		if len(f.nextOrders(fleet.OrderStart)) == tasks {
			return true
		}
		if !peers.busy {
			f.AdviceRequests(f.now, peers)
			if peers.busy {
				answerAt = f.now.Add(peers.requests[len(peers.requests)-1].Cost)
			}
		}
	}
	return false
}

// TestGangNeedsManyAdviceRequests checks that a gang starts although no single advice
// request can find enough workers for it.
func TestGangNeedsManyAdviceRequests(t *testing.T) {
	is := is.New(t)
	f := newAdvisedFixture(300, policy.Advisor{Base: 400 * time.Millisecond, PerWorker: 4 * time.Millisecond, TicketTTL: 800 * time.Millisecond})
	gang := newJob("g", 55, true)
	gang.Phases[0].PerWorker = 1
	f.Accept(f.now, gang)
	is.True(f.startsTogether(55, 800*time.Millisecond, func(w core.WorkerID) bool { return w[len(w)-1]%4 == 0 }))
}

// TestStaggeredTickets checks a gang whose tickets expire at different times. A request
// also names the workers whose tickets would expire before it is answered, so that in the
// end all tickets are valid at once.
func TestStaggeredTickets(t *testing.T) {
	is := is.New(t)
	f := newAdvisedFixture(60, policy.Advisor{Base: 400 * time.Millisecond, PerWorker: 8 * time.Millisecond, TicketTTL: 1500 * time.Millisecond})
	gang := newJob("g", 40, true)
	gang.Phases[0].PerWorker = 1
	f.Accept(f.now, gang)
	phase := jobs.PhaseID{Job: "g"}
	for _, part := range []struct{ from, to int }{{39, 60}, {0, 0}, {0, 0}, {0, 15}, {15, 30}, {30, 39}} {
		f.advance(500 * time.Millisecond)
		var named []core.WorkerID
		var allowed []fleet.AllowedWorker
		for _, w := range f.workers[part.from:part.to] {
			named = append(named, w.ID())
			allowed = append(allowed, fleet.AllowedWorker{Worker: w.ID(), Ticket: "t"})
		}
		f.AdviceReceived(f.now, phase, named, allowed, 1500*time.Millisecond)
	}
	is.True(f.startsTogether(40, 1500*time.Millisecond, func(core.WorkerID) bool { return true }))
}

// TestUnlikelyAdviceRequest checks a gang after answers that have allowed no worker. The
// workers that have not been named for it are still requested while they have room, even
// though they are unlikely to be allowed.
func TestUnlikelyAdviceRequest(t *testing.T) {
	is := is.New(t)
	f := newAdvisedFixture(6, policy.Advisor{Base: 5 * time.Millisecond, PerWorker: 100 * time.Microsecond, TicketTTL: time.Second})
	f.Accept(f.now, newJob("g", 3, true))
	f.Accept(f.now, newJob("other", 1, false))
	var named []core.WorkerID
	for _, w := range f.workers {
		named = append(named, w.ID())
	}
	f.AdviceReceived(f.now, jobs.PhaseID{Job: "other"}, named, nil, time.Second)
	f.AdviceReceived(f.now, jobs.PhaseID{Job: "g"}, named[:3], nil, time.Second)
	is.True(f.startsTogether(3, time.Second, func(w core.WorkerID) bool { return w >= "w003" }))
}
