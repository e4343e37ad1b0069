package fleet_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/model"
	"chicoryturn/core/policy"
)

const (
	lease    = 6 * time.Second
	stopTime = 200 * time.Millisecond
	step     = 20 * time.Millisecond
)

var dawn = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// rules returns a policy with one queue and one team.
func rules(limit core.Resources) *policy.Policy {
	return policy.New(1,
		[]policy.Queue{{Name: "q", Host: "h", Prefix: "/", Service: "s", Attempts: 3, Slowdown: 2, Latency: time.Second}},
		[]policy.Team{{Name: "t", Weight: 1000, Limit: limit}}, []policy.Service{{Name: "s"}}, 0)
}

func host(i int) fleet.WorkerInfo {
	return fleet.WorkerInfo{VM: core.VM{
		Name: fmt.Sprintf("w%d", i), Kind: "worker", Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), Room: core.Resources{Cores: 4000, Memory: 4000}, Service: "s", Rack: "r",
	}}
}

// owner is one board with the orders and records that are on their way.
type owner struct {
	board *fleet.Scheduler
	// dead owners decide nothing more, but their orders may still arrive.
	dead    bool
	orders  []flight
	written time.Time
	writing []jobs.Progress
	roster  []fleet.WorkerInfo
}

// flight is an order on its way.
type flight struct {
	order  fleet.Order
	sent   time.Time
	arrive time.Time
	// lost orders are carried out but not answered.
	lost bool
}

// reading is an end that an owner was told of by one incarnation of a worker.
type reading struct {
	at     time.Time
	worker *model.Worker
	born   time.Time
	// void is set if the worker's lease lapsed between the end and the reading:
	// the task may have been started elsewhere meanwhile.
	void bool
}

// harness plays owners and workers under random trouble and checks what must
// always hold.
type harness struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	policy  *policy.Policy
	workers []*model.Worker
	owners  []*owner
	specs   map[core.JobID]jobs.Spec
	stored  []jobs.Spec
	kept    map[core.JobID]jobs.Progress
	roster  []fleet.WorkerInfo
	// read holds the ends of done tasks that an owner was told of.
	read map[jobs.TaskID]reading
	// news are jobs that the owner has not been told of yet.
	news []jobs.Spec
	// loss and late are the shares of orders without answer and of those that
	// are also carried out seconds later.
	loss, late float64
}

func newFleet(t *testing.T, seed uint64, workers int, limit core.Resources) *harness {
	f := &harness{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: dawn, policy: rules(limit),
		specs: map[core.JobID]jobs.Spec{}, kept: map[core.JobID]jobs.Progress{}, read: map[jobs.TaskID]reading{},
	}
	for i := range workers {
		f.workers = append(f.workers, model.New(host(i), f, dawn, 0.98+0.02*f.random.Float64(), lease))
	}
	f.succeed()
	return f
}

// Task implements mimic.Tasks.
func (f *harness) Task(id jobs.TaskID) model.TaskSpec {
	p := f.specs[id.Job].Phases[id.Phase]
	s := model.TaskSpec{Need: p.Need, Work: p.Estimate, Gang: 1}
	if p.Gang {
		s.Gang = p.Count
	}
	return s
}

// Present implements mimic.Tasks.
func (f *harness) Present(id jobs.PhaseID, run uint64) int {
	n := 0
	for _, w := range f.workers {
		n += w.GangSize(id, run)
	}
	return n
}

// succeed lets a new owner take over from what is recorded; earlier ones may
// live on, unaware.
func (f *harness) succeed() {
	o := &owner{board: fleet.New(f.now, core.Epoch(len(f.owners)+1), fleet.Limits{Lease: lease, ListTimeout: 4500 * time.Millisecond, RemoteFactor: 1}, f.policy)}
	o.board.Recover(f.roster, nil)
	o.board.Load(f.now, slices.Clone(f.stored), maps.Clone(f.kept))
	f.owners = append(f.owners, o)
	f.list(o)
}

func (f *harness) current() *owner { return f.owners[len(f.owners)-1] }

func (f *harness) list(o *owner) {
	var hosts []fleet.WorkerInfo
	for _, w := range f.workers {
		if w.Up {
			hosts = append(hosts, w.Info)
		}
	}
	o.board.SetWorkers(f.now, hosts)
}

func (f *harness) submit(spec jobs.Spec) {
	spec.Accepted, spec.Team, spec.Queue = f.now, "t", "q"
	// VMs hear of a new owner now or later.
	spec.FirstEpoch = core.Epoch(len(f.owners) - f.random.IntN(2))
	f.specs[spec.ID] = spec
	f.stored = append(f.stored, spec)
	// Any owner that lives may hear of it, also one that has been replaced.
	for _, o := range f.owners {
		if !o.dead && f.random.IntN(3) > 0 {
			o.board.Accept(f.now, spec)
			o.dead = o.board.LaterEpoch() > 0
		}
	}
	f.news = append(f.news, spec)
}

// tick lets a moment pass.
func (f *harness) tick() {
	f.now = f.now.Add(step)
	for _, w := range f.workers {
		w.Advance(f.now)
	}
	for _, w := range f.workers {
		w.EndFinished()
	}
	if f.now.UnixMilli()%500 < step.Milliseconds() {
		for _, o := range f.owners {
			if !o.dead {
				f.list(o)
			}
		}
		for _, s := range f.news {
			f.current().board.Accept(f.now, s)
		}
		f.news = nil
	}
	for _, o := range f.owners {
		f.deliver(o)
		if !o.dead {
			f.record(o)
			o.board.Tick(f.now)
			f.send(o)
		}
	}
	f.check()
}

func (f *harness) send(o *owner) {
	for _, ord := range o.board.Orders() {
		fl := flight{order: ord, sent: f.now, arrive: f.now.Add(time.Duration(1+f.random.IntN(60)) * time.Millisecond)}
		if f.random.Float64() < f.loss {
			fl.lost = true
			if f.random.Float64() < f.late {
				fl.arrive = f.now.Add(time.Duration(1000+f.random.IntN(9000)) * time.Millisecond)
			}
		}
		o.orders = append(o.orders, fl)
	}
}

// deliver carries out what has arrived.
func (f *harness) deliver(o *owner) {
	var rest []flight
	due := o.orders
	o.orders = nil
	for _, fl := range due {
		switch {
		case fl.arrive.After(f.now):
			rest = append(rest, fl)
		default:
			f.carryOut(o, fl)
		}
	}
	// Unanswered calls time out at their sender.
	for i, fl := range rest {
		if fl.lost && f.now.Sub(fl.sent) > 700*time.Millisecond && !o.dead {
			f.answer(o, fl, fleet.RunLists{}, fleet.ReplyUnanswered)
			rest[i].order.Wait = -1
		}
	}
	o.orders = append(o.orders, rest...)
}

func (f *harness) carryOut(o *owner, fl flight) {
	w := f.worker(fl.order.Worker)
	reply, lists := fleet.ReplyUnanswered, fleet.RunLists{}
	// An order on its way to an incarnation ends with it.
	if w.Up && !w.Unreachable && !w.Info.Incarnation.After(fl.sent) {
		switch fl.order.Kind {
		case fleet.OrderStart:
			reply = w.Start(fl.order)
		case fleet.OrderStop:
			reply = w.Stop(fl.order, stopTime)
		case fleet.OrderHeartbeat:
			lists, reply = w.Heartbeat(fl.order)
		}
	}
	if fl.lost {
		reply = fleet.ReplyUnanswered
	}
	if fl.order.Wait >= 0 && !o.dead {
		f.answer(o, fl, lists, reply)
	}
}

func (f *harness) worker(id core.WorkerID) *model.Worker {
	return f.workers[slices.IndexFunc(f.workers, func(w *model.Worker) bool { return w.Info.ID() == id })]
}

func (f *harness) answer(o *owner, fl flight, l fleet.RunLists, r fleet.Reply) {
	if fl.order.Wait < 0 {
		return
	}
	switch {
	case r == fleet.ReplyFenced:
		o.dead = true
	case fl.order.Kind == fleet.OrderStart:
		o.board.StartAnswered(f.now, fl.order.Worker, fl.order.Task, fl.order.Run, r)
	case fl.order.Kind == fleet.OrderStop:
		o.board.StopAnswered(f.now, fl.order.Worker, fl.order.Task, fl.order.Run, r)
	case r == fleet.ReplyOK:
		for _, e := range l.Ended {
			if _, known := f.read[e.Task]; !known && e.Kind == fleet.EndDone {
				w := f.worker(fl.order.Worker)
				f.read[e.Task] = reading{f.now, w, w.Info.Incarnation, w.LastLapse.After(endOf(w, e))}
			}
		}
		o.board.HeartbeatAnswered(f.now, fl.order.Worker, fl.sent, l)
	default:
		o.board.HeartbeatFailed(f.now, fl.order.Worker)
	}
}

// endOf returns when a run that a worker lists has ended.
func endOf(w *model.Worker, e fleet.EndedRun) time.Time {
	i := slices.IndexFunc(w.Log, func(s *model.Start) bool { return s.Task == e.Task && s.Run == e.Run })
	return w.Log[i].End
}

// record writes for the owner that holds the seat; for one that has been
// replaced the write has no effect.
func (f *harness) record(o *owner) {
	if !o.written.IsZero() {
		if f.now.Before(o.written) {
			return
		}
		o.written = time.Time{}
		if o != f.current() {
			o.dead = true
			return
		}
		for _, p := range o.writing {
			f.kept[p.Job] = p
		}
		f.roster = o.roster
		o.board.BatchStored(f.now)
		o.board.RosterStored(o.roster)
	}
	o.writing, o.roster = o.board.Batch(), o.board.Roster()
	o.written = f.now.Add(time.Duration(10+f.random.IntN(400)) * time.Millisecond)
}

// check finds what must never be.
func (f *harness) check() {
	f.t.Helper()
	for i, o := range f.owners {
		for _, n := range o.board.Decisions() {
			f.t.Logf("%s owner %d: %s %s run %d on %s %s", f.now.Sub(dawn), i+1, n.Event, n.Task, n.Run, n.Worker, n.Reason)
		}
	}
	open := map[jobs.TaskID]*model.Start{}
	var starts []*model.Start
	for _, w := range f.workers {
		if !w.Running().Fits(w.Info.Room) {
			f.t.Fatalf("%s holds %+v of %+v", w.Info.Name, w.Running(), w.Info.Room)
		}
		starts = append(starts, w.Log...)
	}
	for _, s := range starts {
		// Ends are lost with the worker that lists them, unless recorded.
		if r, ok := f.read[s.Task]; ok && !r.void && s.At.After(r.at) && r.worker.Up && !r.worker.Unreachable && r.worker.Info.Incarnation.Equal(r.born) {
			f.t.Fatalf("an owner has read at %s that %s is done; run %d started at %s", r.at.Sub(dawn), s.Task, s.Run, s.At.Sub(dawn))
		}
		if !s.End.IsZero() {
			continue
		}
		if other := open[s.Task]; other != nil {
			f.t.Fatalf("at %s: %s runs on %s (run %d) and %s (run %d)", f.now.Sub(dawn), s.Task, other.Worker, other.Run, s.Worker, s.Run)
		}
		open[s.Task] = s
	}
}

func (f *harness) finished() int {
	n := 0
	for id := range f.specs {
		if f.kept[id].State == jobs.Completed {
			n++
		}
	}
	return n
}

func (f *harness) job(i int) jobs.Spec {
	spec := jobs.Spec{ID: core.JobID(fmt.Sprintf("j%d", i)), Payload: "x"}
	for p := range 1 + f.random.IntN(2) {
		ph := jobs.Phase{
			Count: 1 + f.random.IntN(4), Need: core.Resources{Cores: 500 + f.random.Int64N(1500), Memory: 100},
			Estimate: time.Duration(200+f.random.IntN(2500)) * time.Millisecond, Gang: f.random.IntN(3) == 0,
		}
		if p > 0 {
			ph.After = []int{p - 1}
		}
		spec.Phases = append(spec.Phases, ph)
	}
	return spec
}

func TestCalmFleet(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 4, core.Resources{})
	for i := range 20 {
		f.submit(f.job(i))
	}
	for range 3000 {
		f.tick()
	}
	is.Equal(f.finished(), 20)
	is.Equal(f.current().board.Refusals(), nil)
}

// TestTroubledFleet plays seeds with lost and late orders, crashes, cuts and
// owners that are replaced while they live on.
func TestTroubledFleet(t *testing.T) {
	for seed := range uint64(120) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, seed, 4, core.Resources{})
			f.loss, f.late = 0.05*f.random.Float64(), f.random.Float64()
			const jobsTotal, trouble, calm = 25, 700, 3500
			for i := range trouble {
				if i%28 == 0 && i/28 < jobsTotal {
					f.submit(f.job(i / 28))
				}
				f.disturb()
				f.tick()
			}
			f.heal()
			for range calm {
				f.tick()
			}
			if f.finished() != jobsTotal {
				f.explain()
			}
			is.Equal(f.finished(), jobsTotal)
			is.Equal(f.current().board.Refusals(), nil)
		})
	}
}

func (f *harness) disturb() {
	w := f.workers[f.random.IntN(len(f.workers))]
	switch f.random.IntN(400) {
	case 0:
		w.Crash(f.now)
	case 1:
		if !w.Up {
			w.Restart(f.now)
		}
	case 2:
		w.Unreachable = true
	case 3, 4:
		w.Unreachable = false
	case 5:
		// The owner is replaced and knows nothing of it.
		f.succeed()
	case 6:
		f.current().dead = true
		f.succeed()
	}
}

func (f *harness) heal() {
	f.loss = 0
	for _, w := range f.workers {
		w.Unreachable = false
		if !w.Up {
			w.Restart(f.now)
		}
	}
	if f.current().dead {
		f.succeed()
	}
}

// explain logs what keeps jobs from ending.
func (f *harness) explain() {
	text, err := json.MarshalIndent(f.current().board.Dump(), "", " ")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Logf("%s", text)
}
