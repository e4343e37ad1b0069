package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
)

const (
	// benchWorkers and benchVMs are the size of a grown deployment.
	benchWorkers, benchVMs = 350, 29
	// benchStep is the time between two ticks of an owner that is kept busy, benchWrite how
	// long its writes take.
	benchStep, benchWrite = 6 * time.Millisecond, 24 * time.Millisecond
	// benchWarmUp is the simulated time before the measurement.
	benchWarmUp = 10 * time.Second
	benchTicket = 2500 * time.Millisecond
)

// benchQueues are the queues of the load with their jobs a second, and width, need and mean
// run time of a job's only phase.
var benchQueues = []struct {
	name    core.Queue
	rate    float64
	width   int
	need    core.Resources
	runTime time.Duration
	allowed float64
	advisor policy.Advisor
}{
	{"batch", 4.3, 20, core.Resources{Cores: 4500, Memory: 4500}, 5 * time.Second, 0.25, policy.Advisor{Base: 440 * time.Millisecond, PerWorker: 6200 * time.Microsecond}},
	{"sheet", 7.2, 25, core.Resources{Cores: 1700, Memory: 3200}, 3400 * time.Millisecond, 0.45, policy.Advisor{Base: 120 * time.Millisecond, PerWorker: 1800 * time.Microsecond}},
	{"check", 125, 3, core.Resources{Cores: 2500, Memory: 4600}, 640 * time.Millisecond, 0.7, policy.Advisor{Base: 7200 * time.Microsecond, PerWorker: 100 * time.Microsecond}},
}

// benchWorker is a worker whose heartbeats wait for ends.
type benchWorker struct {
	info   fleet.WorkerInfo
	active map[jobs.TaskID]benchRun
	ended  []fleet.EndedRun
	number uint64
	// heartbeat is the heartbeat that waits until waitUntil; its kind is OrderStart if
	// there is none.
	heartbeat         fleet.Order
	sentAt, waitUntil time.Time
}

type benchRun struct {
	run               uint64
	startedAt, endsAt time.Time
}

// percent returns the progress of the run.
func (r benchRun) percent(now time.Time) int {
	return int(100 * now.Sub(r.startedAt) / r.endsAt.Sub(r.startedAt))
}

// benchFleet is a scheduler at grown size with workers and VMs without faults.
type benchFleet struct {
	now       time.Time
	rng       *rand.Rand
	scheduler *fleet.Scheduler
	workers   map[core.WorkerID]*benchWorker
	list      []*benchWorker
	specs     map[core.JobID]int
	jobs      int
	ticks     int
	nextTick  time.Time
	// renewals is whether the owner's writes take effect.
	renewals           bool
	writtenAt, storeAt time.Time
	// vmFreeAt is when each VM is free for the next request to the advisor.
	vmFreeAt [benchVMs]time.Time
	advice   []benchAdvice
	answers  int
}

type benchAdvice struct {
	request    fleet.AdviceRequest
	answeredAt time.Time
}

func newBenchFleet() *benchFleet {
	var queues []policy.Queue
	for _, q := range benchQueues {
		queues = append(queues, policy.Queue{Name: q.name, Host: "h", Prefix: "/" + string(q.name), Service: "s", Attempts: 3, Slowdown: 2, Latency: 3 * time.Second, Advisor: core.Some(q.advisor)})
	}
	b := &benchFleet{
		now: startTime, rng: rand.New(rand.NewPCG(1, 1)), workers: map[core.WorkerID]*benchWorker{}, specs: map[core.JobID]int{}, renewals: true,
		scheduler: fleet.New(startTime, 1, fleet.Limits{Lease: leaseDuration, RemoteFactor: 1}, policy.New(1, queues, []policy.Team{{Name: "t", Weight: 1000}}, []policy.Service{{Name: "s"}}, 0)),
	}
	var list fleet.WorkerList
	for i := range benchWorkers {
		info := fleet.WorkerInfo{VM: core.VM{
			Name: fmt.Sprintf("w%03d", i), Kind: "worker", Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 80),
			Capacity: core.Resources{Cores: 16000, Memory: 32768}, Service: "s", Rack: fmt.Sprintf("r%d", i/8),
		}, Incarnation: startTime}
		w := &benchWorker{info: info, active: map[jobs.TaskID]benchRun{}}
		b.workers[info.ID()], b.list = w, append(b.list, w)
		list.Workers = append(list.Workers, info)
	}
	b.scheduler.Renewed(b.now)
	b.scheduler.SetWorkers(b.now, list)
	roster, version := b.scheduler.Roster()
	b.scheduler.RosterStored(roster, version)
	return b
}

// run simulates a time.
func (b *benchFleet) run(d time.Duration) {
	for until := b.now.Add(d); b.now.Before(until); b.now = b.now.Add(benchStep) {
		events := b.submit() + b.answerAdvice() + b.store()
		for _, w := range b.list {
			events += b.answerHeartbeat(w)
		}
		if events == 0 && b.now.Before(b.nextTick) {
			continue
		}
		b.ticks++
		b.nextTick = b.scheduler.Tick(b.now)
		b.sendOrders()
		b.scheduler.AdviceRequests(b.now, b)
		b.scheduler.Decisions()
	}
}

// submit accepts the jobs of a step and returns how many.
func (b *benchFleet) submit() int {
	n := 0
	for i, q := range benchQueues {
		if b.rng.Float64() >= q.rate*benchStep.Seconds() {
			continue
		}
		b.jobs, n = b.jobs+1, n+1
		id := core.JobID(fmt.Sprintf("%016x", b.jobs))
		b.specs[id] = i
		b.scheduler.Accept(b.now, jobs.Spec{
			ID: id, Team: "t", Queue: q.name, Accepted: b.now, FirstEpoch: 1, Payload: "p",
			Phases: []jobs.Phase{{Count: 1 + b.rng.IntN(2*q.width), Need: q.need, Estimate: q.runTime}},
		})
	}
	return n
}

// answerAdvice answers the requests that are due and returns how many.
func (b *benchFleet) answerAdvice() int {
	before := len(b.advice)
	b.advice = slices.DeleteFunc(b.advice, func(a benchAdvice) bool {
		if a.answeredAt.After(b.now) {
			return false
		}
		share := benchQueues[b.specs[a.request.Phase.Job]].allowed
		var allowed []fleet.AllowedWorker
		for _, w := range a.request.Workers {
			if b.rng.Float64() < share {
				allowed = append(allowed, fleet.AllowedWorker{Worker: w, Ticket: "ticket"})
			}
		}
		b.scheduler.AdviceReceived(b.now, a.request.Phase, a.request.Workers, allowed, benchTicket)
		return true
	})
	return before - len(b.advice)
}

// store ends the write in flight, if it is due, and sends the next one.
func (b *benchFleet) store() int {
	stored := 0
	if !b.renewals || b.now.Before(b.storeAt) {
		return 0
	}
	if !b.writtenAt.IsZero() {
		b.scheduler.Renewed(b.writtenAt)
		b.scheduler.BatchStored(b.now)
		b.scheduler.JobsRead(b.now)
		b.writtenAt, stored = time.Time{}, 1
	}
	if len(b.scheduler.Batch()) > 0 {
		b.writtenAt, b.storeAt = b.now, b.now.Add(benchWrite)
	}
	return stored
}

// answerHeartbeat ends the runs of a worker that are due, and answers its heartbeat once a
// run has ended or the wait is over.
func (b *benchFleet) answerHeartbeat(w *benchWorker) int {
	for id, r := range w.active {
		if r.endsAt.After(b.now) {
			continue
		}
		w.end(id, fleet.EndDone)
	}
	if w.heartbeat.Kind != fleet.OrderHeartbeat || len(w.ended) == 0 && b.now.Before(w.waitUntil) {
		return 0
	}
	lists := fleet.RunLists{Clock: b.now.Sub(startTime), Incarnation: w.info.Incarnation, Ended: slices.Clone(w.ended)}
	for id, r := range w.active {
		lists.Active = append(lists.Active, fleet.ActiveRun{Task: id, Run: r.run, Percent: r.percent(b.now)})
	}
	w.heartbeat = fleet.Order{}
	b.answers++
	b.scheduler.HeartbeatAnswered(b.now, w.info.ID(), w.sentAt, lists)
	return 1
}

// end ends a run.
func (w *benchWorker) end(id jobs.TaskID, kind fleet.EndKind) {
	w.number++
	w.ended = append(w.ended, fleet.EndedRun{Number: w.number, Task: id, Run: w.active[id].run, Kind: kind, Reason: string(kind)})
	delete(w.active, id)
}

// sendOrders carries out the orders of a tick.
func (b *benchFleet) sendOrders() {
	for _, o := range b.scheduler.Orders() {
		w := b.workers[o.Worker]
		switch o.Kind {
		case fleet.OrderStart:
			mean := benchQueues[b.specs[o.Task.Job]].runTime
			w.active[o.Task] = benchRun{o.Run, b.now, b.now.Add(mean/2 + time.Duration(b.rng.Int64N(int64(mean))))}
			b.scheduler.StartAnswered(b.now, o.Worker, o.Task, o.Run, fleet.ReplyOK)
		case fleet.OrderStop:
			if r, ok := w.active[o.Task]; ok && r.run == o.Run {
				w.end(o.Task, fleet.EndOther)
			}
			b.scheduler.StopAnswered(b.now, o.Worker, o.Task, o.Run, fleet.ReplyOK)
		case fleet.OrderHeartbeat:
			w.heartbeat, w.sentAt, w.waitUntil = o, b.now, b.now.Add(max(o.Wait, benchStep))
			w.ended = slices.DeleteFunc(w.ended, func(e fleet.EndedRun) bool { return e.Number <= o.AckedEnd })
		}
	}
}

// HasCapacity implements fleet.AdvicePeers.
func (b *benchFleet) HasCapacity(time.Duration) bool { return b.idleVMs() > 0 }

// MostlyIdle implements fleet.AdvicePeers.
func (b *benchFleet) MostlyIdle() bool { return b.idleVMs() > benchVMs/2 }

// Send implements fleet.AdvicePeers.
func (b *benchFleet) Send(r fleet.AdviceRequest) {
	vm := slices.IndexFunc(b.vmFreeAt[:], func(t time.Time) bool { return !t.After(b.now) })
	b.vmFreeAt[vm] = b.now.Add(r.Cost)
	b.advice = append(b.advice, benchAdvice{r, b.now.Add(r.Cost)})
}

func (b *benchFleet) idleVMs() int {
	n := 0
	for _, t := range b.vmFreeAt {
		if !t.After(b.now) {
			n++
		}
	}
	return n
}

// BenchmarkGrownFleet measures what a second of a grown deployment costs the scheduler, and
// the fakes around it. An owner keeps its authority through an outage for 30 operations.
func BenchmarkGrownFleet(b *testing.B) {
	for _, c := range []struct {
		name     string
		renewals bool
	}{{"renewed", true}, {"outage", false}} {
		b.Run(c.name, func(b *testing.B) {
			f := newBenchFleet()
			f.run(benchWarmUp)
			f.ticks, f.answers = 0, 0
			f.renewals = c.renewals
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				f.run(time.Second)
			}
			b.ReportMetric(float64(f.ticks)/float64(b.N), "ticks/op")
			b.ReportMetric(float64(f.answers)/float64(b.N), "answers/op")
		})
	}
}

// BenchmarkHeartbeatAnswered measures the scheduler's share of an answer that lists eight active
// runs and no end.
func BenchmarkHeartbeatAnswered(b *testing.B) {
	f := newBenchFleet()
	f.run(benchWarmUp)
	i := slices.IndexFunc(f.list, func(w *benchWorker) bool { return len(w.active) == 8 && len(w.ended) == 0 })
	if i < 0 {
		b.Fatal("no worker has eight active runs")
	}
	w := f.list[i]
	lists := fleet.RunLists{Clock: f.now.Sub(startTime), Incarnation: w.info.Incarnation}
	for id, r := range w.active {
		lists.Active = append(lists.Active, fleet.ActiveRun{Task: id, Run: r.run, Percent: r.percent(f.now)})
	}
	b.ReportAllocs()
	for b.Loop() {
		f.scheduler.HeartbeatAnswered(f.now, w.info.ID(), f.now, lists)
	}
}
