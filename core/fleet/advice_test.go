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

// largeDesk returns an owner of many free workers that it has heard of.
func largeDesk(workers int, p *policy.Policy) *desk {
	d := &desk{now: dawn, Scheduler: fleet.New(dawn, 1, fleet.Limits{Lease: lease, RemoteFactor: 1}, p)}
	for i := range workers {
		h := host(i)
		h.Name, h.Incarnation = fmt.Sprintf("w%03d", i), dawn.Add(-time.Hour)
		h.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 80)
		d.hosts = append(d.hosts, h)
	}
	d.open()
	return d
}

// wide is a fleet of many workers whose queue has a placement policy. The
// first half of the workers by name is full.
func wide(is *is.I, workers int) *desk {
	p := policy.New(1, []policy.Queue{{
		Name: "q", Host: "h", Prefix: "/", Service: "s", Attempts: 3, Slowdown: 4, Latency: time.Second,
		Advice: core.Some(policy.Advice{Base: 20 * time.Millisecond, PerWorker: time.Millisecond, Valid: time.Second}),
	}, {
		Name: "any", Host: "h", Prefix: "/any/", Service: "s", Attempts: 3, Slowdown: 4, Latency: time.Second,
	}}, []policy.Team{{Name: "t", Weight: 1000}}, []policy.Service{{Name: "s"}}, 0)
	d := largeDesk(workers, p)
	filler := plain("filler", workers/2, false)
	filler.Queue, filler.Phases[0].Need.Cores = "any", 4000
	d.Accept(d.now, filler)
	for _, s := range d.plan(fleet.OrderStart) {
		is.True(s.Worker < "w150")
		d.begin([]fleet.Order{s})
	}
	return d
}

// TestAskWhereRoomIs plays a large fleet, half of it full. A call names workers
// that have room, no more of them than are likely to be needed, and calls of
// several jobs do not all name the same ones.
func TestAskWhereRoomIs(t *testing.T) {
	is := is.New(t)
	d := wide(is, 300)
	named := func(id string, count int, gang bool) []core.WorkerID {
		d.Accept(d.now, plain(id, count, gang))
		d.plan(fleet.OrderStart)
		ts := &turns{}
		d.AdviceRequests(d.now, ts)
		is.Equal(len(ts.asks), 1)
		is.Equal(ts.asks[0].Phase.Job, core.JobID(id))
		for _, w := range ts.asks[0].Workers {
			is.True(w >= "w150") // it has room
		}
		return ts.asks[0].Workers
	}
	first, second := named("a", 3, false), named("b", 3, false)
	is.True(len(first) <= 20)
	is.True(fmt.Sprint(first) != fmt.Sprint(second))
	is.True(len(named("g", 60, true)) <= 100)
}

// TestAskAgainWhereKnown plays a gang whose first call has allowed too few
// workers: the next one names those with the others that may be allowed, and no
// call is made while room is short.
func TestAskAgainWhereKnown(t *testing.T) {
	is := is.New(t)
	d := wide(is, 300)
	d.Accept(d.now, plain("g", 40, true))
	d.plan(fleet.OrderStart)
	ts := &turns{}
	d.AdviceRequests(d.now, ts)
	first := ts.asks[0]
	d.AdviceReceived(d.now, first.Phase, first.Workers, []fleet.AllowedWorker{{Worker: first.Workers[0], Ticket: "a"}}, time.Second)
	is.Equal(len(d.plan(fleet.OrderStart)), 0) // 4 of 40 fit
	ts.busy = false
	d.AdviceRequests(d.now, ts)
	is.Equal(len(ts.asks), 2)
	for _, w := range ts.asks[1].Workers {
		for _, old := range first.Workers {
			is.True(w != old) // its ticket is good, or it is not allowed
		}
	}
	var allowed []fleet.AllowedWorker
	for _, w := range ts.asks[1].Workers {
		allowed = append(allowed, fleet.AllowedWorker{Worker: w, Ticket: "b"})
	}
	d.AdviceReceived(d.now, first.Phase, ts.asks[1].Workers, allowed, time.Second)
	is.Equal(len(d.plan(fleet.OrderStart)), 40)
}

// row is a fleet of free workers whose queue has a placement policy.
func row(workers int, a policy.Advice) *desk {
	p := policy.New(1, []policy.Queue{{
		Name: "q", Host: "h", Prefix: "/", Service: "s", Attempts: 3, Slowdown: 4, Latency: time.Second, Advice: core.Some(a),
	}}, []policy.Team{{Name: "t", Weight: 1000}}, []policy.Service{{Name: "s"}}, 0)
	return largeDesk(workers, p)
}

// started answers calls for advice, each after its length, until a number of
// tasks start together; it gives up after 10 s.
func (d *desk) started(tasks int, valid time.Duration, may func(core.WorkerID) bool) bool {
	ts := &turns{}
	var answer time.Time
	for begin := d.now; d.now.Sub(begin) < 10*time.Second; d.pass(20 * time.Millisecond) {
		for _, h := range d.hosts {
			d.held(h, nil, nil)
		}
		if ts.busy && !d.now.Before(answer) {
			ask := ts.asks[len(ts.asks)-1]
			var allowed []fleet.AllowedWorker
			for _, w := range ask.Workers {
				if may(w) {
					allowed = append(allowed, fleet.AllowedWorker{Worker: w, Ticket: "t"})
				}
			}
			d.AdviceReceived(d.now, ask.Phase, ask.Workers, allowed, valid)
			ts.busy = false
		}
		if len(d.plan(fleet.OrderStart)) == tasks {
			return true
		}
		if !ts.busy {
			d.AdviceRequests(d.now, ts)
			if ts.busy {
				answer = d.now.Add(ts.asks[len(ts.asks)-1].Cost)
			}
		}
	}
	return false
}

// TestGangOfManyCalls plays a gang for which no single call finds enough
// workers, on a fleet with room for it.
func TestGangOfManyCalls(t *testing.T) {
	is := is.New(t)
	d := row(300, policy.Advice{Base: 400 * time.Millisecond, PerWorker: 4 * time.Millisecond, Valid: 800 * time.Millisecond})
	g := plain("g", 55, true)
	g.Phases[0].PerWorker = 1
	d.Accept(d.now, g)
	is.True(d.started(55, 800*time.Millisecond, func(w core.WorkerID) bool { return w[len(w)-1]%4 == 0 }))
}

// TestStaggeredTickets plays a gang whose tickets are of different age: those
// that would be too old when a call is answered are asked for again with it, so
// that at last all are good at once.
func TestStaggeredTickets(t *testing.T) {
	is := is.New(t)
	d := row(60, policy.Advice{Base: 400 * time.Millisecond, PerWorker: 8 * time.Millisecond, Valid: 1500 * time.Millisecond})
	g := plain("g", 40, true)
	g.Phases[0].PerWorker = 1
	d.Accept(d.now, g)
	phase := jobs.PhaseID{Job: "g"}
	for _, part := range []struct{ from, to int }{{39, 60}, {0, 0}, {0, 0}, {0, 15}, {15, 30}, {30, 39}} {
		d.pass(500 * time.Millisecond)
		var named []core.WorkerID
		var allowed []fleet.AllowedWorker
		for _, h := range d.hosts[part.from:part.to] {
			named = append(named, h.ID())
			allowed = append(allowed, fleet.AllowedWorker{Worker: h.ID(), Ticket: "t"})
		}
		d.AdviceReceived(d.now, phase, named, allowed, 1500*time.Millisecond)
	}
	is.True(d.started(40, 1500*time.Millisecond, func(core.WorkerID) bool { return true }))
}

// TestAskAgainstOdds plays a gang after answers that have allowed nobody: while
// other workers have room for it, they are asked for, however unlikely.
func TestAskAgainstOdds(t *testing.T) {
	is := is.New(t)
	d := row(6, policy.Advice{Base: 5 * time.Millisecond, PerWorker: 100 * time.Microsecond, Valid: time.Second})
	d.Accept(d.now, plain("g", 3, true))
	d.Accept(d.now, plain("other", 1, false))
	var named []core.WorkerID
	for _, h := range d.hosts {
		named = append(named, h.ID())
	}
	d.AdviceReceived(d.now, jobs.PhaseID{Job: "other"}, named, nil, time.Second)
	d.AdviceReceived(d.now, jobs.PhaseID{Job: "g"}, named[:3], nil, time.Second)
	is.True(d.started(3, time.Second, func(w core.WorkerID) bool { return w >= "w003" }))
}
