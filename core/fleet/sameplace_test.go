package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
)

// twin is one of two schedulers that get the same inputs, with the VMs that call the advisor.
type twin struct {
	*fleet.Scheduler
	now      time.Time
	vmFreeAt []time.Time
	requests []fleet.AdviceRequest
}

// HasCapacity implements fleet.AdvicePeers. Only every other VM takes long calls.
func (w *twin) HasCapacity(cost time.Duration) bool { return w.freeVM(cost) >= 0 }

// MostlyIdle implements fleet.AdvicePeers.
func (w *twin) MostlyIdle() bool {
	idle := 0
	for _, t := range w.vmFreeAt {
		if !t.After(w.now) {
			idle++
		}
	}
	return idle > len(w.vmFreeAt)/2
}

// Send implements fleet.AdvicePeers.
func (w *twin) Send(r fleet.AdviceRequest) {
	vm := w.freeVM(r.Cost)
	if vm < 0 {
		vm = w.freeVM(0)
	}
	w.vmFreeAt[vm] = w.now.Add(r.Cost)
	w.requests = append(w.requests, r)
}

func (w *twin) freeVM(cost time.Duration) int {
	for i, t := range w.vmFreeAt {
		if !t.After(w.now) && (i%2 == 0 || cost < 50*time.Millisecond) {
			return i
		}
	}
	return -1
}

// decide lets the twin decide, and returns its starts, its requests and its other decisions.
func (w *twin) decide(now time.Time) ([]fleet.Order, []fleet.AdviceRequest, []string) {
	w.now, w.requests = now, nil
	w.Tick(now)
	w.AdviceRequests(now, w)
	var starts []fleet.Order
	var others []string
	for _, o := range w.Orders() {
		if o.Kind == fleet.OrderStart {
			starts = append(starts, o)
		} else {
			others = append(others, fmt.Sprint(o))
		}
	}
	for _, d := range w.Decisions() {
		others = append(others, fmt.Sprint(d))
	}
	// The orders and log lines of one event may come in any order.
	slices.Sort(others)
	return starts, w.requests, others
}

// samePlay feeds two schedulers with the same inputs.
type samePlay struct {
	rng      *rand.Rand
	now      time.Time
	twins    []*twin
	workers  []fleet.WorkerInfo
	active   []fleet.Order
	ends     map[core.WorkerID][]fleet.EndedRun
	requests []benchAdvice
	// zones are evacuated; stale is set while the schedulers may not know all of them.
	zones  policy.Zones
	stale  bool
	jobs   int
	starts int
	asked  int
}

// each passes an input to both twins.
func (s *samePlay) each(input func(*twin)) {
	for _, w := range s.twins {
		input(w)
	}
}

func (s *samePlay) newPolicy(version core.Version) *policy.Policy {
	queues := []policy.Queue{
		{Name: "free", Priority: 1, Service: "s"},
		{Name: "slow", Priority: 1, Service: "s", Advisor: core.Some(policy.Advisor{Base: 60 * time.Millisecond, PerWorker: 3 * time.Millisecond})},
		{Name: "fast", Priority: s.rng.IntN(3), Service: "s", Advisor: core.Some(policy.Advisor{Base: 5 * time.Millisecond, PerWorker: 100 * time.Microsecond})},
		{Name: "other", Priority: s.rng.IntN(3), Service: "s2"},
	}
	for i := range queues {
		queues[i].Host, queues[i].Prefix, queues[i].Attempts = "h", "/"+string(queues[i].Name), 3
		queues[i].Slowdown, queues[i].Latency = 1+s.rng.Float64(), time.Duration(s.rng.IntN(3000))*time.Millisecond
	}
	queues = queues[:len(queues)-s.rng.IntN(2)] // jobs outlive their queue
	teams := []policy.Team{{Name: "a", Weight: 100}, {Name: "b", Weight: 2, Limit: core.Resources{Cores: 6000 + s.rng.Int64N(20000)}}}
	return policy.New(version, queues, teams, []policy.Service{{Name: "s"}, {Name: "s2"}}, 0)
}

func newSamePlay(seed uint64) *samePlay {
	s := &samePlay{rng: rand.New(rand.NewPCG(seed, 1)), now: startTime, ends: map[core.WorkerID][]fleet.EndedRun{}}
	p := s.newPolicy(1)
	for i := range 24 {
		w := newWorkerInfo(i)
		w.Rack, w.Incarnation, w.Zone = fmt.Sprintf("r%d", i/6), startTime, core.Zone(fmt.Sprintf("z%d", i%5))
		w.Capacity.Cores = 2000 + 2000*s.rng.Int64N(3)
		if i%3 == 0 {
			w.Labels = []string{"l"}
		}
		if i%8 == 7 {
			w.Service = "s2"
		}
		s.workers = append(s.workers, w)
	}
	for _, opts := range [][]fleet.Option{nil, {fleet.WithExhaustivePlacement()}} {
		s.twins = append(s.twins, &twin{
			Scheduler: fleet.New(startTime, 1, fleet.Limits{Lease: leaseDuration, RemoteFactor: 1, Evacuate: 5 * time.Second}, p, opts...), vmFreeAt: make([]time.Time, 6),
		})
	}
	s.each(func(w *twin) {
		w.Renewed(s.now)
		w.SetWorkers(s.now, fleet.WorkerList{Workers: s.workers})
		w.RosterStored(w.Roster())
		w.Tick(s.now)
		w.Orders()
	})
	for i := range s.workers {
		s.heartbeat(i)
	}
	return s
}

// submit accepts a job of random phases.
func (s *samePlay) submit() {
	s.jobs++
	spec := jobs.Spec{
		ID: core.JobID(fmt.Sprintf("j%04d", s.jobs)), Team: []core.Team{"a", "b", "c"}[s.rng.IntN(3)], Queue: []core.Queue{"free", "slow", "fast", "other"}[s.rng.IntN(4)],
		Accepted: s.now.Add(-time.Duration(s.rng.IntN(1000)) * time.Millisecond), FirstEpoch: 1, Payload: "p",
	}
	if spec.Team == "c" {
		// No configuration names the team, so that the limit is that of each job's terms.
		spec.Terms = &jobs.Terms{Limit: core.Resources{Cores: 5000 + 5000*s.rng.Int64N(2)}}
	}
	for i := range 1 + s.rng.IntN(2) {
		p := jobs.Phase{
			Count: 1 + s.rng.IntN(8), Need: core.Resources{Cores: 500 * s.rng.Int64N(5), Memory: 500 * s.rng.Int64N(3)},
			Estimate: time.Duration(200+s.rng.IntN(1500)) * time.Millisecond, Gang: s.rng.IntN(4) == 0, Filler: s.rng.IntN(12) == 0,
		}
		p.SameRack = p.Gang && s.rng.IntN(2) == 0
		if s.rng.IntN(4) == 0 {
			p.Label = "l"
		}
		if s.rng.IntN(4) == 0 {
			p.PerWorker = 1 + s.rng.IntN(2)
		}
		if s.rng.IntN(4) == 0 {
			p.Rack = fmt.Sprintf("r%d", s.rng.IntN(4))
		}
		if i > 0 && s.rng.IntN(2) == 0 {
			p.After = []int{0}
		}
		spec.Phases = append(spec.Phases, p)
	}
	s.each(func(w *twin) { w.Accept(s.now, spec) })
}

// heartbeat answers a heartbeat of a worker.
func (s *samePlay) heartbeat(worker int) {
	id := s.workers[worker].ID()
	lists := fleet.RunLists{Clock: s.now.Sub(startTime), Incarnation: startTime, Ended: s.ends[id]}
	for _, o := range s.active {
		if o.Worker == id {
			lists.Active = append(lists.Active, fleet.ActiveRun{Task: o.Task, Run: o.Run})
		}
	}
	s.each(func(w *twin) { w.HeartbeatAnswered(s.now, id, s.now, lists) })
}

// end ends an active run.
func (s *samePlay) end(i int) {
	o, kind := s.active[i], fleet.EndDone
	if s.rng.IntN(6) == 0 {
		kind = fleet.EndFailed
	}
	s.active = slices.Delete(s.active, i, i+1)
	ends := s.ends[o.Worker]
	s.ends[o.Worker] = append(ends, fleet.EndedRun{Number: uint64(len(ends) + 1), Task: o.Task, Run: o.Run, Kind: kind})
	s.heartbeat(slices.IndexFunc(s.workers, func(w fleet.WorkerInfo) bool { return w.ID() == o.Worker }))
}

// answer gives the advisor's answer to the requests that are due.
func (s *samePlay) answer() {
	s.requests = slices.DeleteFunc(s.requests, func(r benchAdvice) bool {
		if r.answeredAt.After(s.now) {
			return false
		}
		if s.rng.IntN(20) == 0 {
			s.each(func(w *twin) { w.AdviceFailed(s.now, r.request.Phase) })
			return true
		}
		var allowed []fleet.AllowedWorker
		for _, w := range r.request.Workers {
			if s.rng.IntN(2) == 0 {
				allowed = append(allowed, fleet.AllowedWorker{Worker: w, Ticket: fmt.Sprint(s.rng.IntN(100))})
			}
		}
		ttl := time.Duration(200+s.rng.IntN(1500)) * time.Millisecond
		s.each(func(w *twin) { w.AdviceReceived(s.now, r.request.Phase, r.request.Workers, allowed, ttl) })
		return true
	})
}

// disturb passes a rare input.
func (s *samePlay) disturb(step int) {
	switch s.rng.IntN(80) {
	case 0:
		p := s.newPolicy(core.Version(step + 2))
		s.each(func(w *twin) { w.SetPolicy(p) })
	case 1:
		id := core.JobID(fmt.Sprintf("j%04d", 1+s.rng.IntN(s.jobs+1)))
		s.each(func(w *twin) { w.Cancel(s.now, id) })
	case 2:
		id := s.workers[s.rng.IntN(len(s.workers))].ID()
		s.each(func(w *twin) { w.HeartbeatFailed(s.now, id) })
	case 3:
		i := s.rng.IntN(len(s.workers))
		s.workers[i].Leaving = !s.workers[i].Leaving
		s.each(func(w *twin) { w.SetWorkers(s.now, fleet.WorkerList{Workers: s.workers}) })
	case 4:
		zones := policy.Zones{}
		for z := range 3 {
			if s.rng.IntN(4) == 0 {
				zones[core.Zone(fmt.Sprintf("z%d", z))] = uint64(step + 1)
			}
		}
		s.zones = zones
		s.each(func(w *twin) { w.SetEvacuated(s.now, zones) })
	case 5:
		i := s.rng.IntN(len(s.workers))
		s.workers[i].ColdFor, s.workers[i].Renewals = time.Duration(s.rng.IntN(3000))*time.Millisecond, s.workers[i].Renewals+1
		s.each(func(w *twin) { w.SetWorkers(s.now, fleet.WorkerList{Workers: s.workers}) })
	case 6, 7:
		unread := time.Duration(s.rng.IntN(3)) * 2 * time.Second
		s.stale = unread == 4*time.Second
		s.each(func(w *twin) { w.EvacuatedRead(unread, true) })
	default:
		s.heartbeat(s.rng.IntN(len(s.workers)))
	}
}

// step lets some milliseconds pass and compares what the twins decide.
func (s *samePlay) step(is *is.I, step int) {
	s.now = s.now.Add(time.Duration(1+s.rng.IntN(20)) * time.Millisecond)
	s.each(func(w *twin) { w.Renewed(s.now) })
	if s.rng.IntN(4) > 0 {
		for range min(s.rng.IntN(3), len(s.active)) {
			s.end(s.rng.IntN(len(s.active)))
		}
		for s.rng.IntN(3) == 0 {
			s.submit()
		}
		s.answer()
		s.disturb(step)
	}
	s.each(func(w *twin) {
		w.Batch()
		w.BatchStored(s.now)
	})
	starts, requests, others := s.twins[0].decide(s.now)
	allStarts, allRequests, allOthers := s.twins[1].decide(s.now)
	is.Equal(starts, allStarts)
	is.Equal(requests, allRequests)
	is.Equal(others, allOthers)
	is.True(!s.stale || len(starts)+len(requests) == 0)
	for _, o := range starts {
		is.True(!s.zones.Has(o.Info.Zone))
		s.starts++
		reply := fleet.ReplyOK
		switch s.rng.IntN(12) {
		case 0:
			reply = fleet.ReplyBadTicket
		case 1:
			reply = fleet.ReplyUnhealthy
		default:
			s.active = append(s.active, o)
		}
		s.each(func(w *twin) { w.StartAnswered(s.now, o.Worker, o.Task, o.Run, reply) })
	}
	for _, r := range requests {
		for _, w := range s.workers {
			is.True(!s.zones.Has(w.Zone) || !slices.Contains(r.Workers, w.ID()))
		}
		s.asked++
		s.requests = append(s.requests, benchAdvice{r, s.now.Add(r.Cost)})
	}
}

// TestSamePlacement checks on random plays that the starts, the advice requests and the log
// lines are those of exhaustive placement, in the same order. It guards against a phase that is left
// out of a pass though it could start, or that takes its turn too early or too late, and against starts
// and requests in evacuated zones, or while these are not known.
func TestSamePlacement(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSamePlay(seed)
			for step := range 1500 {
				s.step(is, step)
			}
			t.Logf("%d jobs, %d starts, %d requests", s.jobs, s.starts, s.asked)
			is.True(s.starts > s.jobs && s.asked > 100)
		})
	}
}
