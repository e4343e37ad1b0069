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

// begin confirms starts.
func (d *desk) begin(starts []fleet.Order) {
	for _, s := range starts {
		d.StartAnswered(d.now, s.Worker, s.Task, s.Run, fleet.ReplyOK)
	}
}

// TestStandingRun plays a run whose progress stands still: it is stopped and
// started on another worker; a run that goes on is left alone.
func TestStandingRun(t *testing.T) {
	is := is.New(t)
	d := newDesk(1, 2)
	d.open()
	d.Accept(d.now, plain("j", 1, false))
	starts := d.plan(fleet.OrderStart)
	d.begin(starts)
	s := starts[0]
	var here fleet.WorkerInfo
	for _, h := range d.hosts {
		if h.ID() == s.Worker {
			here = h
		}
	}
	for percent := range 20 {
		d.pass(200 * time.Millisecond)
		d.held(here, []fleet.ActiveRun{{Task: s.Task, Run: s.Run, Percent: percent + 1}}, nil)
		is.Equal(len(d.plan(fleet.OrderStop)), 0)
	}
	var stops []fleet.Order
	for range 20 {
		d.pass(200 * time.Millisecond)
		d.held(here, []fleet.ActiveRun{{Task: s.Task, Run: s.Run, Percent: 20}}, nil)
		if stops = d.plan(fleet.OrderStop); len(stops) > 0 {
			break
		}
	}
	is.Equal(len(stops), 1)
	d.StopAnswered(d.now, s.Worker, s.Task, s.Run, fleet.ReplyOK)
	d.pass(200 * time.Millisecond)
	for _, h := range d.hosts {
		if h.ID() != s.Worker {
			d.held(h, nil, nil)
		}
	}
	d.held(here, nil, []fleet.EndedRun{{Number: 1, Task: s.Task, Run: s.Run, Kind: fleet.EndOther, Reason: "stopped"}})
	again := d.plan(fleet.OrderStart)
	is.Equal(len(again), 1)
	is.True(again[0].Worker != s.Worker)
}

// TestLongRun plays a run of minutes whose percent stands still for seconds, and
// one whose worker tells no progress at all: both are left alone.
func TestLongRun(t *testing.T) {
	for name, tells := range map[string]bool{"slow percent": true, "no percent": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDesk(1, 1)
			d.open()
			spec := plain("j", 1, false)
			spec.Phases[0].Estimate = 10 * time.Minute
			d.Accept(d.now, spec)
			s := d.plan(fleet.OrderStart)[0]
			d.begin([]fleet.Order{s})
			for i := range 200 {
				d.pass(200 * time.Millisecond)
				a := fleet.ActiveRun{Task: s.Task, Run: s.Run}
				if tells {
					a.Percent = i * 200 / 6000
				}
				d.held(d.hosts[0], []fleet.ActiveRun{a}, nil)
				is.Equal(len(d.plan(fleet.OrderStop)), 0)
			}
		})
	}
}

// TestSlowWorker plays a worker on which progress is slow: new work prefers
// others, though it would fill that worker better.
func TestSlowWorker(t *testing.T) {
	is := is.New(t)
	d := newDesk(1, 2)
	d.open()
	d.Accept(d.now, plain("j", 2, false))
	first := d.plan(fleet.OrderStart)
	d.begin(first)
	is.Equal(first[0].Worker, first[1].Worker) // best fit fills one worker
	slow := first[0].Worker
	for i := range 30 {
		d.pass(300 * time.Millisecond)
		for _, h := range d.hosts {
			var active []fleet.ActiveRun
			if h.ID() == slow {
				for _, s := range first {
					active = append(active, fleet.ActiveRun{Task: s.Task, Run: s.Run, Percent: i + 1})
				}
			}
			d.held(h, active, nil)
		}
		d.plan(fleet.OrderStop)
	}
	d.Accept(d.now, plain("k", 1, false))
	next := d.plan(fleet.OrderStart)
	is.Equal(len(next), 1)
	is.True(next[0].Worker != slow)
}

// TestLimit plays a team at its limit, whose tasks wait though there is room,
// also while tasks of an earlier owner may still run.
func TestLimit(t *testing.T) {
	is := is.New(t)
	limited := rules(core.Resources{Cores: 2500})
	b := fleet.New(dawn, 2, fleet.Limits{Lease: lease, ListTimeout: 4500 * time.Millisecond, RemoteFactor: 1}, limited)
	d := newDesk(2, 2)
	d.Scheduler = b
	d.Load(d.now, []jobs.Spec{plain("j", 1, false)}, nil)
	d.SetWorkers(d.now, d.hosts)
	d.RosterStored(d.Roster())
	d.held(d.hosts[0], []fleet.ActiveRun{{Task: taskOf("j", 0), Run: 1}}, nil)
	d.held(d.hosts[1], nil, nil)
	d.Accept(d.now, plain("k", 4, false))
	is.Equal(len(d.plan(fleet.OrderStart)), 1) // one runs, half of another would fit
}

// TestGangWhole plays a gang that does not fit: none of it starts.
func TestGangWhole(t *testing.T) {
	is := is.New(t)
	d := newDesk(1, 1)
	d.open()
	d.Accept(d.now, plain("g", 5, true)) // room for four
	d.Accept(d.now, plain("j", 2, false))
	starts := d.plan(fleet.OrderStart)
	is.Equal(len(starts), 2)
	for _, s := range starts {
		is.Equal(s.Task.Job, core.JobID("j"))
	}
}

// TestPhases plays phases that wait for one another.
func TestPhases(t *testing.T) {
	is := is.New(t)
	d := newDesk(1, 1)
	d.open()
	spec := plain("j", 1, false)
	spec.Phases = append(spec.Phases, jobs.Phase{Count: 1, Need: core.Resources{Cores: 100}, After: []int{0}})
	d.Accept(d.now, spec)
	first := d.plan(fleet.OrderStart)
	is.Equal(len(first), 1)
	is.Equal(first[0].Task.Phase, 0)
	d.begin(first)
	d.pass(time.Second)
	d.held(d.hosts[0], nil, done(1, first[0]))
	second := d.plan(fleet.OrderStart)
	is.Equal(len(second), 1)
	is.Equal(second[0].Task.Phase, 1)
}

// TestAttempts plays a task that fails each time: its job fails with the last
// attempt, and an end that is listed again counts once.
func TestAttempts(t *testing.T) {
	is := is.New(t)
	d := newDesk(1, 4)
	d.open()
	d.Accept(d.now, plain("j", 1, false))
	number := map[core.WorkerID]uint64{}
	for attempt := range 3 {
		state, _ := d.State("j")
		is.True(state != jobs.Failed)
		starts := d.plan(fleet.OrderStart)
		is.Equal(len(starts), 1)
		d.begin(starts)
		d.pass(100 * time.Millisecond)
		s := starts[0]
		number[s.Worker]++
		for _, h := range d.hosts {
			if h.ID() == s.Worker {
				end := []fleet.EndedRun{{Number: number[s.Worker], Task: s.Task, Run: s.Run, Kind: fleet.EndFailed, Reason: "failed"}}
				d.held(h, nil, end)
				d.held(h, nil, end)
			}
		}
		is.Equal(uint64(attempt+1), d.Counts().Failures)
	}
	d.Batch()
	d.BatchStored(d.now)
	state, _ := d.State("j")
	is.Equal(state, jobs.Failed)
	is.Equal(len(d.plan(fleet.OrderStart)), 0)
}

// turns lends out calls for advice to one VM at a time.
type turns struct {
	busy bool
	asks []fleet.AdviceRequest
}

// Free implements board.Turns.
func (t *turns) Free(time.Duration) bool { return !t.busy }

// Spare implements board.Turns.
func (t *turns) Spare() bool { return !t.busy }

// Take implements board.Turns.
func (t *turns) Take(a fleet.AdviceRequest) {
	t.asks = append(t.asks, a)
	t.busy = true
}

// TestAdvice plays a queue with a placement policy: the first call names all
// workers; tasks start only where allowed and while the ticket is good; then
// only allowed workers with room are named.
func TestAdvice(t *testing.T) {
	is := is.New(t)
	p := policy.New(1, []policy.Queue{{
		Name: "q", Host: "h", Prefix: "/", Service: "s", Attempts: 3, Slowdown: 2, Latency: time.Second,
		Advice: core.Some(policy.Advice{Base: 10 * time.Millisecond, PerWorker: time.Millisecond, Valid: time.Second}),
	}}, []policy.Team{{Name: "t", Weight: 100}}, []policy.Service{{Name: "s"}}, 0)
	d := newDesk(1, 4)
	d.Scheduler = fleet.New(dawn, 1, fleet.Limits{Lease: lease, RemoteFactor: 1}, p)
	d.open()
	d.Accept(d.now, plain("j", 1, false))
	is.Equal(len(d.plan(fleet.OrderStart)), 0)
	ts := &turns{}
	d.AdviceRequests(d.now, ts)
	is.Equal(len(ts.asks), 1)
	is.Equal(len(ts.asks[0].Workers), 4)
	ts.busy = false
	d.AdviceRequests(d.now, ts)
	is.Equal(len(ts.asks), 1) // one call for a phase at a time
	allowed := []fleet.AllowedWorker{{Worker: "w2", Ticket: "good"}}
	d.AdviceReceived(d.now, ts.asks[0].Phase, ts.asks[0].Workers, allowed, time.Second)
	d.pass(time.Second) // too late to use it
	is.Equal(len(d.plan(fleet.OrderStart)), 0)
	d.AdviceRequests(d.now, ts)
	is.Equal(len(ts.asks), 2)
	is.Equal(ts.asks[1].Workers, []core.WorkerID{"w2"})
	d.AdviceReceived(d.now, ts.asks[1].Phase, ts.asks[1].Workers, allowed, time.Second)
	starts := d.plan(fleet.OrderStart)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Worker, core.WorkerID("w2"))
	is.Equal(starts[0].Ticket, "good")
}

// TestRefusedTicket plays a ticket that a worker refuses: those of the same
// answer are not tried one after another, but asked for again.
func TestRefusedTicket(t *testing.T) {
	is := is.New(t)
	p := policy.New(1, []policy.Queue{{
		Name: "q", Host: "h", Prefix: "/", Service: "s", Attempts: 3, Slowdown: 2, Latency: time.Second,
		Advice: core.Some(policy.Advice{Base: 10 * time.Millisecond, Valid: time.Second}),
	}}, []policy.Team{{Name: "t", Weight: 100}}, []policy.Service{{Name: "s"}}, 0)
	d := newDesk(1, 3)
	d.Scheduler = fleet.New(dawn, 1, fleet.Limits{Lease: lease, RemoteFactor: 1}, p)
	d.open()
	d.Accept(d.now, plain("j", 1, false))
	ts := &turns{}
	d.AdviceRequests(d.now, ts)
	allowed := []fleet.AllowedWorker{{Worker: "w0", Ticket: "a"}, {Worker: "w1", Ticket: "b"}, {Worker: "w2", Ticket: "c"}}
	d.AdviceReceived(d.now, ts.asks[0].Phase, ts.asks[0].Workers, allowed, time.Second)
	s := d.plan(fleet.OrderStart)[0]
	d.StartAnswered(d.now, s.Worker, s.Task, s.Run, fleet.ReplyBadTicket)
	is.Equal(len(d.plan(fleet.OrderStart)), 0)
	ts.busy = false
	d.AdviceRequests(d.now, ts)
	is.Equal(len(ts.asks), 2)
}

// TestOrderOfService plays a full fleet with work of three kinds: within its
// team's share and on time, late, and beyond the share. Room goes to them in
// this order, and to the late and the excess work in the end too.
func TestOrderOfService(t *testing.T) {
	is := is.New(t)
	p := policy.New(1,
		[]policy.Queue{{Name: "q", Host: "h", Prefix: "/", Service: "s", Attempts: 3, Slowdown: 2, Latency: time.Second}},
		[]policy.Team{{Name: "t", Weight: 100}, {Name: "flood", Weight: 0.5}}, []policy.Service{{Name: "s"}}, 0)
	d := newDesk(1, 1)
	d.Scheduler = fleet.New(dawn, 1, fleet.Limits{Lease: lease, RemoteFactor: 1}, p)
	d.open()
	full := func(id string, team core.Team, sent time.Time) jobs.Spec {
		s := plain(id, 1, false)
		s.Phases[0].Need.Cores = 4000
		s.Team, s.Accepted = team, sent
		return s
	}
	d.pass(time.Minute)
	d.held(d.hosts[0], nil, nil)
	d.Accept(d.now, full("flood0", "flood", d.now))
	d.Accept(d.now, full("flood1", "flood", d.now))
	d.Accept(d.now, full("late", "t", d.now.Add(-4*time.Second)))
	d.Accept(d.now, full("fresh", "t", d.now))
	var order []string
	for i := range 4 {
		starts := d.plan(fleet.OrderStart)
		is.Equal(len(starts), 1)
		d.begin(starts)
		order = append(order, string(starts[0].Task.Job))
		d.pass(100 * time.Millisecond)
		d.held(d.hosts[0], nil, done(uint64(i+1), starts[0]))
	}
	is.Equal(fmt.Sprint(order), "[flood0 fresh late flood1]")
}

// TestExpired keeps an ended job for as long as clients may ask for it.
func TestExpired(t *testing.T) {
	is := is.New(t)
	d := newDesk(1, 1)
	d.open()
	d.Accept(d.now, plain("j", 1, false))
	d.Cancel(d.now, "j")
	is.Equal(len(d.Expired(d.now.Add(time.Hour), time.Minute, 10)), 0) // not recorded yet
	d.Batch()
	d.BatchStored(d.now)
	d.pass(59 * time.Second)
	is.Equal(len(d.Expired(d.now, time.Minute, 10)), 0)
	_, known := d.State("j")
	is.True(known)
	d.pass(2 * time.Second)
	is.Equal(d.Expired(d.now, time.Minute, 10), []core.JobID{"j"})
	_, known = d.State("j")
	is.True(!known)
}

// TestClosePrediction plays a job that would end on time only if it took not a
// moment longer than expected, on a full fleet: one that surely can goes first,
// as both would be late otherwise.
func TestClosePrediction(t *testing.T) {
	is := is.New(t)
	d := newDesk(1, 1)
	d.open()
	d.pass(time.Minute)
	d.held(d.hosts[0], nil, nil)
	for id, age := range map[string]time.Duration{"close": 1950 * time.Millisecond, "fresh": 0} {
		s := plain(id, 1, false) // 1 s long, owed within 3 s
		s.Phases[0].Need.Cores, s.Accepted = 4000, d.now.Add(-age)
		d.Accept(d.now, s)
	}
	is.Equal(d.plan(fleet.OrderStart)[0].Task.Job, core.JobID("fresh"))
}
