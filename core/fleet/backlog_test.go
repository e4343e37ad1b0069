package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
)

const (
	backlogWorkers, backlogVMs = 350, 37
	// backlogStep is the time between two runs that end: some 1,000 end each second.
	backlogStep   = time.Millisecond
	backlogTicket = 1500 * time.Millisecond
	// The fleet is filled with backlogFill jobs at most until no task has started for
	// backlogIdle steps.
	backlogFill, backlogIdle = 100, 500
	// backlogWarmUp is the number of steps before the measurement. The phases that wait are
	// logged by then.
	backlogWarmUp = 1200
)

// backlogQueues are the queues with the share of each in the backlog, and the width and need of
// a job's only phase.
var backlogQueues = []struct {
	queue   policy.Queue
	share   float64
	tasks   int
	cores   int64
	gangs   float64
	runTime time.Duration
	allowed float64
}{
	{policy.Queue{Name: "rebuild", Priority: 1, Slowdown: 2.2, Latency: 1200 * time.Millisecond, Advisor: core.Some(policy.Advisor{Base: 540 * time.Millisecond, PerWorker: 7700 * time.Microsecond})}, 0.05, 20, 18000, 1, 6200 * time.Millisecond, 0.25},
	{policy.Queue{Name: "refresh", Priority: 2, Slowdown: 4, Latency: 3 * time.Second, Advisor: core.Some(policy.Advisor{Base: 100 * time.Millisecond, PerWorker: 1400 * time.Microsecond})}, 0.15, 25, 6900, 0, 2700 * time.Millisecond, 0.45},
	{policy.Queue{Name: "preview", Slowdown: 1.5, Latency: 500 * time.Millisecond, Advisor: core.Some(policy.Advisor{Base: 9 * time.Millisecond, PerWorker: 130 * time.Microsecond})}, 0.8, 3, 9900, 0.3, 800 * time.Millisecond, 0.7},
}

// backlogFleet is a full fleet with a backlog of jobs. Its workers answer a heartbeat when a
// run of theirs ends, which happens to one run in each step.
type backlogFleet struct {
	*fleet.Scheduler
	now     time.Time
	rng     *rand.Rand
	backlog int
	jobs    int
	// waiting holds the jobs of which no task has started.
	waiting core.Set[core.JobID]
	queueOf map[core.JobID]int
	workers map[core.WorkerID]fleet.WorkerInfo
	number  map[core.WorkerID]uint64
	active  []fleet.Order
	// vmFreeAt is when each VM is free for the next request to the advisor.
	vmFreeAt [backlogVMs]time.Time
	requests []benchAdvice
	starts   int
	// tick and round are the processor time of the ticks and of the rounds of advice requests.
	tick, round time.Duration
}

func newBacklogFleet(backlog int, advised bool) *backlogFleet {
	var queues []policy.Queue
	for _, q := range backlogQueues {
		queue := q.queue
		queue.Host, queue.Prefix, queue.Service, queue.Attempts = "h", "/"+string(queue.Name), "s", 3
		if !advised {
			queue.Advisor = core.Option[policy.Advisor]{}
		}
		queues = append(queues, queue)
	}
	var teams []policy.Team
	for i := range 20 {
		teams = append(teams, policy.Team{Name: core.Team(fmt.Sprintf("t%d", i)), Weight: 1000})
	}
	f := &backlogFleet{
		Scheduler: fleet.New(startTime, 1, fleet.Limits{Lease: leaseDuration, RemoteFactor: 1}, policy.New(1, queues, teams, []policy.Service{{Name: "s"}}, 0)),
		now:       startTime, rng: rand.New(rand.NewPCG(1, 1)), backlog: backlog, waiting: core.Set[core.JobID]{}, queueOf: map[core.JobID]int{}, workers: map[core.WorkerID]fleet.WorkerInfo{}, number: map[core.WorkerID]uint64{},
	}
	var list fleet.WorkerList
	for i := range backlogWorkers {
		info := fleet.WorkerInfo{VM: core.VM{
			Name: fmt.Sprintf("w%03d", i), Kind: "worker", Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 80),
			Capacity: core.Resources{Cores: 64000, Memory: 128000}, Service: "s", Rack: fmt.Sprintf("r%d", i/8),
		}, Incarnation: startTime}
		f.workers[info.ID()] = info
		list.Workers = append(list.Workers, info)
	}
	f.Renewed(f.now)
	f.SetWorkers(f.now, list)
	f.RosterStored(f.Roster())
	f.Tick(f.now)
	for id := range f.workers {
		f.heartbeat(id)
	}
	f.Orders()
	// The fleet is filled with a small backlog.
	f.backlog = min(backlog, backlogFill)
	for idle := 0; idle < backlogIdle; idle++ {
		starts := f.starts
		if f.step(false); f.starts > starts {
			idle = 0
		}
	}
	f.backlog = backlog
	return f
}

// submit accepts one job.
func (f *backlogFleet) submit() {
	f.jobs++
	share, k := f.rng.Float64(), 0
	for ; share > backlogQueues[k].share && k < len(backlogQueues)-1; k++ {
		share -= backlogQueues[k].share
	}
	q := backlogQueues[k]
	id := core.JobID(fmt.Sprintf("%016x", f.jobs))
	f.queueOf[id] = k
	f.waiting.Add(id)
	f.Accept(f.now, jobs.Spec{
		ID: id, Team: core.Team(fmt.Sprintf("t%d", f.rng.IntN(20))), Queue: q.queue.Name, Accepted: f.now, FirstEpoch: 1, Payload: "p",
		Phases: []jobs.Phase{{Count: q.tasks, Need: core.Resources{Cores: q.cores, Memory: q.cores}, Gang: f.rng.Float64() < q.gangs, Estimate: q.runTime}},
	})
}

// heartbeat answers a worker's heartbeat with the ends.
func (f *backlogFleet) heartbeat(id core.WorkerID, ended ...fleet.EndedRun) {
	lists := fleet.RunLists{Clock: f.now.Sub(startTime), Incarnation: startTime, Ended: ended}
	for _, o := range f.active {
		if o.Worker == id {
			lists.Active = append(lists.Active, fleet.ActiveRun{Task: o.Task, Run: o.Run})
		}
	}
	f.HeartbeatAnswered(f.now, id, f.now, lists)
}

// step lets a step pass, with the end of one run if ends is set.
func (f *backlogFleet) step(ends bool) {
	f.now = f.now.Add(backlogStep)
	f.Renewed(f.now)
	if ends {
		i := f.rng.IntN(len(f.active))
		o := f.active[i]
		f.active[i] = f.active[len(f.active)-1]
		f.active = f.active[:len(f.active)-1]
		f.number[o.Worker]++
		f.heartbeat(o.Worker, fleet.EndedRun{Number: f.number[o.Worker], Task: o.Task, Run: o.Run, Kind: fleet.EndDone})
	}
	for len(f.waiting) < f.backlog {
		f.submit()
	}
	f.answerAdvice()
	f.Batch()
	f.BatchStored(f.now)
	began := time.Now()
	f.Tick(f.now)
	f.tick += time.Since(began)
	for _, o := range f.Orders() {
		if o.Kind == fleet.OrderStart {
			f.active = append(f.active, o)
			f.starts++
			delete(f.waiting, o.Task.Job)
			f.StartAnswered(f.now, o.Worker, o.Task, o.Run, fleet.ReplyOK)
		}
	}
	began = time.Now()
	f.AdviceRequests(f.now, f)
	f.round += time.Since(began)
	f.Decisions()
}

func (f *backlogFleet) answerAdvice() {
	left := f.requests[:0]
	for _, r := range f.requests {
		if r.answeredAt.After(f.now) {
			left = append(left, r)
			continue
		}
		var allowed []fleet.AllowedWorker
		for _, w := range r.request.Workers {
			if f.rng.Float64() < backlogQueues[f.queueOf[r.request.Phase.Job]].allowed {
				allowed = append(allowed, fleet.AllowedWorker{Worker: w, Ticket: "ticket"})
			}
		}
		f.AdviceReceived(f.now, r.request.Phase, r.request.Workers, allowed, backlogTicket)
	}
	f.requests = left
}

// HasCapacity implements fleet.AdvicePeers.
func (f *backlogFleet) HasCapacity(time.Duration) bool { return f.idleVMs() > 0 }

// MostlyIdle implements fleet.AdvicePeers.
func (f *backlogFleet) MostlyIdle() bool { return f.idleVMs() > backlogVMs/2 }

// Send implements fleet.AdvicePeers.
func (f *backlogFleet) Send(r fleet.AdviceRequest) {
	for i := range f.vmFreeAt {
		if !f.vmFreeAt[i].After(f.now) {
			f.vmFreeAt[i] = f.now.Add(r.Cost)
			break
		}
	}
	f.requests = append(f.requests, benchAdvice{r, f.now.Add(r.Cost)})
}

func (f *backlogFleet) idleVMs() int {
	n := 0
	for _, t := range f.vmFreeAt {
		if !t.After(f.now) {
			n++
		}
	}
	return n
}

// BenchmarkBacklog measures a tick and a round of advice requests after the end of one run on a
// full fleet. It guards against a cost that grows with the backlog, in which the owner falls
// behind when it is needed most.
func BenchmarkBacklog(b *testing.B) {
	for _, advised := range []bool{false, true} {
		for _, backlog := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("advised=%t/jobs=%d", advised, backlog), func(b *testing.B) {
				f := newBacklogFleet(backlog, advised)
				for range backlogWarmUp {
					f.step(true)
				}
				f.tick, f.round, f.starts = 0, 0, 0
				b.ResetTimer()
				for b.Loop() {
					f.step(true)
				}
				b.ReportMetric(float64(f.tick.Nanoseconds())/float64(b.N), "ns/tick")
				b.ReportMetric(float64(f.starts)/float64(b.N), "starts/op")
				b.ReportMetric(float64(f.round.Nanoseconds())/float64(b.N), "ns/round")
			})
		}
	}
}
