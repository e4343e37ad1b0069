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

// zoneNetwork is a harness of workers in two zones that are evacuated at random. Each owner learns
// of a change after a time of its own, as if it could not read the store meanwhile, and a new one
// when it is created. Of the starts in flight then, some are not written yet and withdrawn.
type zoneNetwork struct {
	*harness
	zones policy.Zones
	known map[*simOwner]policy.Zones
	// learnsAt is when an owner learns of the last change.
	learnsAt         map[*simOwner]time.Time
	rows             uint64
	withdrawn, calls int
	// changing is set while zones are evacuated now and then.
	changing bool
}

func newZoneNetwork(t *testing.T, seed uint64) *zoneNetwork {
	n := &zoneNetwork{harness: newHarness(t, seed, 4, core.Resources{}), known: map[*simOwner]policy.Zones{}, learnsAt: map[*simOwner]time.Time{}}
	for i, w := range n.workers {
		w.Info.Zone = core.Zone(fmt.Sprintf("z%d", i%2))
	}
	n.network = n
	n.listWorkers(n.currentOwner())
	return n
}

// change evacuates a zone, or ends its evacuation.
func (n *zoneNetwork) change(zone core.Zone) {
	zones := policy.Zones{}
	for z, row := range n.zones {
		zones[z] = row
	}
	n.rows++
	if zones.Has(zone) {
		delete(zones, zone)
	} else {
		zones[zone] = n.rows
	}
	n.set(zones)
}

func (n *zoneNetwork) set(zones policy.Zones) {
	n.zones = zones
	for _, o := range n.owners {
		n.learnsAt[o] = n.now.Add(time.Duration(n.rng.IntN(1500)) * time.Millisecond)
	}
}

// writeBatch implements network. It precedes the decisions of each tick.
func (n *zoneNetwork) writeBatch(o *simOwner) {
	if known := n.known[o]; !known.Equal(n.zones) && !n.now.Before(n.learnsAt[o]) {
		n.known[o] = n.zones
		o.scheduler.SetEvacuated(n.nowOf(o), n.zones)
		n.withdraw(o)
	}
	n.harness.writeBatch(o)
}

// withdraw withdraws half of the starts in flight to evacuated zones.
func (n *zoneNetwork) withdraw(o *simOwner) {
	var remaining []sentOrder
	for _, sent := range o.inFlight {
		_, evacuated := o.scheduler.InEvacuatedZone(sent.order.Worker)
		if sent.order.Kind != fleet.OrderStart || !evacuated || sent.unanswered || n.rng.IntN(2) == 0 {
			remaining = append(remaining, sent)
			continue
		}
		n.withdrawn++
		o.scheduler.StartWithdrawn(n.nowOf(o), sent.order.Worker, sent.order.Task, sent.order.Run)
	}
	o.inFlight = remaining
}

// sendOrders implements network.
func (n *zoneNetwork) sendOrders(o *simOwner) {
	before := len(o.inFlight)
	n.harness.sendOrders(o)
	for _, sent := range o.inFlight[before:] {
		zone := n.workerAt(sent.order).Info.Zone
		if sent.order.Kind == fleet.OrderStart && n.known[o].Has(zone) {
			n.t.Fatalf("at %s: %s is started in zone %s, which its owner knows to be evacuated", n.now.Sub(startTime), sent.order.Task, zone)
		}
		if sent.order.Kind == fleet.OrderHeartbeat && n.known[o].Has(zone) {
			n.calls++
		}
		if sent.order.Kind == fleet.OrderStart && n.changing && !n.zones.Has(zone) && n.rng.IntN(8) == 0 {
			// The owner learns of it while the start is in flight.
			n.change(zone)
			n.learnsAt[o] = n.now
		}
	}
}

// TestRandomEvacuations guards against starts in a zone that their owner knows to be evacuated,
// against workers there that get no heartbeats, against jobs that are lost as their starts were
// withdrawn or their gangs run in parts there, and against tasks that run twice: with changes of
// owner, owners that learn late of what the store holds, lost and late orders, crashes, two zones
// in turn and both at once. All zones are free at the end.
func TestRandomEvacuations(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			n := newZoneNetwork(t, seed)
			const jobCount = 25
			n.playFaults(seed, jobCount, func(tick int, next *jobs.Spec) {
				n.changing = tick > 30 && tick < 650
				switch {
				case tick == 650:
					n.set(nil)
				case n.changing && n.rng.IntN(40) == 0:
					n.change(core.Zone(fmt.Sprintf("z%d", n.rng.IntN(2))))
				}
				if next != nil {
					n.submit(*next)
				}
			})
			n.checkCompleted(is, jobCount)
			is.True(n.calls > 0)
			t.Logf("%d starts withdrawn", n.withdrawn)
		})
	}
}

// newZonedFixture returns a fixture of workers in the given zones, with room for four tasks of
// newJob each.
func newZonedFixture(zones ...core.Zone) *fixture {
	f := newFixture(1, len(zones))
	for i, z := range zones {
		f.workers[i].Zone = z
	}
	f.registerWorkers()
	return f
}

// TestWithdrawnGang guards against a gang that runs in parts, or whose start counts as refused by a
// worker: the starts of two of its eight members are withdrawn, the others have been sent.
func TestWithdrawnGang(t *testing.T) {
	is := is.New(t)
	f := newZonedFixture("a", "b", "c", "d")
	gang := newJob("g", 8, true)
	f.Accept(f.now, gang)
	starts := f.nextOrders(fleet.OrderStart)
	is.Equal(len(starts), 8) // on w0 and w1
	f.SetEvacuated(f.now, policy.Zones{"a": 1})
	withdrawn := 0
	var sent []fleet.Order
	for _, o := range starts {
		if zone, ok := f.InEvacuatedZone(o.Worker); ok && withdrawn < 2 {
			is.Equal(zone, core.Zone("a"))
			f.StartWithdrawn(f.now, o.Worker, o.Task, o.Run)
			f.StartAnswered(f.now, o.Worker, o.Task, o.Run, fleet.ReplyNotSent) // its call ends later
			withdrawn++
			continue
		}
		sent = append(sent, o)
	}
	is.Equal(len(f.decisionsOf(fleet.EventWithdrawn)), 2)
	is.Equal(f.Counts().Refused, uint64(0))
	stops := f.nextOrders(fleet.OrderStop)
	is.Equal(len(stops), 7) // all after the first one that was withdrawn
	for _, o := range sent {
		f.StartAnswered(f.now, o.Worker, o.Task, o.Run, fleet.ReplyNotSent)
	}
	again := f.nextOrders(fleet.OrderStart)
	is.Equal(len(again), 8)
	for _, o := range again {
		_, evacuated := f.InEvacuatedZone(o.Worker)
		is.True(!evacuated)
		is.True(o.Run > starts[0].Run)
	}
}

// TestWithdrawnStartsEnd guards against withdrawn starts that go on counting as in flight, of which
// the scheduler has at most 1,000.
func TestWithdrawnStartsEnd(t *testing.T) {
	is := is.New(t)
	f := newZonedFixture("a")
	f.Accept(f.now, newJob("j", 4, false))
	for range 300 {
		starts := f.nextOrders(fleet.OrderStart)
		is.Equal(len(starts), 4)
		f.SetEvacuated(f.now, policy.Zones{"a": 1})
		for _, o := range starts {
			f.StartWithdrawn(f.now, o.Worker, o.Task, o.Run)
		}
		is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
		f.SetEvacuated(f.now, nil)
	}
}

// TestEvacuationWaits guards against log lines that don't tell that a task waits for an
// evacuation, and against starts and advice requests while all of its workers are evacuated.
func TestEvacuationWaits(t *testing.T) {
	for name, c := range map[string]struct {
		zones  policy.Zones
		advice bool
		reason string
		starts int
	}{
		"none":        {nil, false, "no worker that may run it has room", 2},
		"one":         {policy.Zones{"a": 1}, false, "no worker that may run it has room; workers in evacuated zones (a): 1", 1},
		"all":         {policy.Zones{"b": 1, "a": 2, "other": 3}, false, "all workers that may run it are in evacuated zones: a, b", 0},
		"with advice": {policy.Zones{"a": 1, "b": 1}, true, "all workers that may run it are in evacuated zones: a, b", 0},
		"other zone":  {policy.Zones{"other": 1}, false, "no worker that may run it has room", 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newZonedFixture("a", "b")
			if c.advice {
				q := queueWith(3)
				q.Advisor = core.Some(policy.Advisor{Base: 10 * time.Millisecond, TicketTTL: time.Second})
				f.SetPolicy(policyWith([]policy.Queue{q}, termsTeam))
			}
			f.SetEvacuated(f.now, c.zones)
			large := newJob("j", 9, false)
			large.Phases[0].Need.Cores = 2500
			f.Accept(f.now, large)
			is.Equal(len(f.nextOrders(fleet.OrderStart)), c.starts)
			peers := &fakePeers{}
			f.AdviceRequests(f.now, peers)
			is.Equal(len(peers.requests), 0)
			f.advance(1100 * time.Millisecond)
			for _, w := range f.workers {
				f.heartbeat(w, nil, nil)
			}
			f.Tick(f.now)
			lines := f.decisionsOf("waits")
			is.Equal(len(lines), 1)
			is.Equal(lines[0].Reason, c.reason)
		})
	}
}

// TestUnreadEvacuations guards against starts of an owner that may have missed an evacuation, and
// against an owner that starts nothing while the store is away, or where the settings name no bound.
func TestUnreadEvacuations(t *testing.T) {
	const bound, skew = 5 * time.Second, 8 * time.Second
	for name, c := range map[string]struct {
		bound, unread time.Duration
		suspended     bool
		starts        int
	}{
		"read lately":              {bound, time.Second, true, 1},
		"store away":               {bound, -time.Minute, true, 1},
		"disturbed store":          {bound, bound, false, 1},
		"disturbed for too long":   {bound, bound + skew, false, 0},
		"suspended":                {bound, bound, true, 0},
		"no bound in the settings": {0, time.Hour, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newZonedFixture("a")
			f.SetLimits(fleet.Limits{Lease: leaseDuration, RemoteFactor: 1, Evacuate: c.bound, EvacuateSkew: skew})
			f.EvacuatedRead(c.unread, c.suspended)
			f.Accept(f.now, newJob("j", 1, false))
			is.Equal(len(f.nextOrders(fleet.OrderStart)), c.starts)
			f.EvacuatedRead(time.Second, false)
			is.Equal(len(f.nextOrders(fleet.OrderStart)), 1-c.starts)
		})
	}
}

// TestAdviceNamesWarmWorkersFirst guards against requests that name cold workers while they leave out
// warm ones with room.
func TestAdviceNamesWarmWorkersFirst(t *testing.T) {
	for _, gang := range []bool{false, true} {
		is := is.New(t)
		f := newAdvisedFixture(60, policy.Advisor{Base: 5 * time.Millisecond, PerWorker: time.Millisecond, TicketTTL: time.Second})
		cold := core.Set[core.WorkerID]{}
		for i := range f.workers {
			if i%2 == 0 {
				f.workers[i].ColdFor, f.workers[i].Capacity.Cores = time.Minute, 2*f.workers[i].Capacity.Cores
				cold.Add(f.workers[i].ID())
			}
		}
		f.SetWorkers(f.now, f.list(f.workers))
		f.Accept(f.now, newJob("j", 4, gang))
		f.Tick(f.now)
		peers := &fakePeers{}
		f.AdviceRequests(f.now, peers)
		is.True(len(peers.requests[0].Workers) < 30)
		for _, w := range peers.requests[0].Workers {
			is.True(!cold.Has(w))
		}
	}
}

// TestColdWorkers guards against work on a cold worker while a warm one has room, and against
// estimates that take the slowness of a cold start for that of the queue or the worker.
func TestColdWorkers(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 2)
	f.workers[0].ColdFor, f.workers[0].Renewals = 3*time.Second, 1 // w0 is the better fit
	f.workers[0].Capacity.Cores = 2000
	f.registerWorkers()
	f.Accept(f.now, newJob("j", 6, false))
	starts := f.nextOrders(fleet.OrderStart)
	is.Equal(len(starts), 6)
	for i, o := range starts {
		is.Equal(o.Worker == "w0", i >= 4)
	}
	f.confirmStarts(starts)
	for _, d := range []time.Duration{time.Second, 2800 * time.Millisecond} { // progress does not change for that long
		f.advance(d)
		f.heartbeat(f.workers[0], []fleet.ActiveRun{{Task: starts[4].Task, Run: starts[4].Run, Percent: 2}, {Task: starts[5].Task, Run: starts[5].Run, Percent: 2}}, nil)
		is.Equal(len(f.nextOrders(fleet.OrderStop)), 0)
	}
	f.advance(5 * time.Second) // nine times the expected time; w0 is warm by now
	f.SetWorkers(f.now, f.list(f.workers))
	is.Equal(len(f.nextOrders(fleet.OrderStop)), 0)
	for i, o := range starts[4:] {
		f.heartbeat(f.workers[0], nil, []fleet.EndedRun{{Number: uint64(i + 1), Task: o.Task, Run: o.Run, Kind: fleet.EndDone, Reason: "done"}})
	}
	for _, w := range f.Dump().Workers {
		is.Equal(w.Slow, 0.0)
	}
	f.Accept(f.now, newJob("k", 1, false))
	is.Equal(f.nextOrders(fleet.OrderStart)[0].Worker, core.WorkerID("w0"))
	f.workers[0].Renewals, f.workers[0].ColdFor = 2, time.Minute // started again
	f.SetWorkers(f.now, f.list(f.workers))
	f.Accept(f.now, newJob("l", 1, false))
	cold := f.nextOrders(fleet.OrderStart)
	is.Equal(len(cold), 1) // the only one with room is cold
	f.confirmStarts(cold)
	f.workers[0].Renewals, f.workers[0].ColdFor = 3, 0
	f.SetWorkers(f.now, f.list(f.workers))
	f.heartbeat(f.workers[0], nil, []fleet.EndedRun{{Number: 3, Task: cold[0].Task, Run: cold[0].Run, Kind: fleet.EndDone, Reason: "done"}})
	f.heartbeat(f.workers[1], nil, []fleet.EndedRun{{Number: 1, Task: starts[0].Task, Run: starts[0].Run, Kind: fleet.EndDone, Reason: "done"}})
	f.Accept(f.now, newJob("m", 1, false))
	is.Equal(f.nextOrders(fleet.OrderStart)[0].Worker, core.WorkerID("w0")) // warm before its time was over
}
