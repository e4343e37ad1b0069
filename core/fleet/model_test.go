package fleet_test

import (
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
	leaseDuration = 6 * time.Second
	stopDelay     = 200 * time.Millisecond
	tickInterval  = 20 * time.Millisecond
)

var startTime = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// newPolicy returns a policy with one queue and one team.
func newPolicy(limit core.Resources) *policy.Policy {
	return policy.New(1,
		[]policy.Queue{{Name: "q", Host: "h", Prefix: "/", Service: "s", Attempts: 3, Slowdown: 2, Latency: time.Second}},
		[]policy.Team{{Name: "t", Weight: 1000, Limit: limit}}, []policy.Service{{Name: "s"}}, 0)
}

func newWorkerInfo(i int) fleet.WorkerInfo {
	return fleet.WorkerInfo{VM: core.VM{
		Name: fmt.Sprintf("w%d", i), Kind: "worker", Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), Capacity: core.Resources{Cores: 4000, Memory: 4000}, Service: "s", Rack: "r",
	}}
}

// simOwner is one owner with its orders and its write in flight.
type simOwner struct {
	scheduler *fleet.Scheduler
	// skew is how far the owner's clock is ahead.
	skew time.Duration
	// stopped owners make no further decisions, but their orders in flight may still
	// arrive.
	stopped bool
	// suspended owners send no orders until they have read their record.
	suspended bool
	inFlight  []sentOrder
	// writtenAt is when the write in flight takes effect; zero if there is none.
	// It was sent at sentAt and holds batch and, if it has changed, the roster of
	// rosterVersion.
	sentAt, writtenAt time.Time
	// parkedRead holds the parked jobs that are being read until parkedReadAt, nil if none
	// are.
	parkedRead    []core.JobID
	parkedReadAt  time.Time
	batch         []jobs.Progress
	roster        []fleet.RosterEntry
	rosterVersion uint64
}

// sentOrder is an order in flight.
type sentOrder struct {
	order     fleet.Order
	sentAt    time.Time
	arrivesAt time.Time
	// unanswered orders are executed, but their answers are lost.
	unanswered bool
}

// harness simulates owners and workers with random faults and checks the invariants
// after each tick.
type harness struct {
	t              *testing.T
	rng            *rand.Rand
	now            time.Time
	policy         *policy.Policy
	workers        []*model.Worker
	owners         []*simOwner
	specs          map[core.JobID]jobs.Spec
	storedSpecs    []jobs.Spec
	storedProgress map[core.JobID]jobs.Progress
	storedRoster   []fleet.RosterEntry
	// recordedAt is when the ownership record was last written.
	recordedAt time.Time
	// reportedEnds holds the ends of done tasks that an owner has read.
	reportedEnds map[jobs.TaskID]endReport
	// unannounced are stored jobs that the current owner reads at its next read of
	// the store.
	unannounced []jobs.Spec
	// feedPaused keeps the current owner from reading new jobs from the store.
	feedPaused bool
	// deleted holds the jobs whose rows have been deleted after their end.
	deleted core.Set[core.JobID]
	// refused holds the jobs of which the store takes no progress but the end.
	refused core.Set[core.JobID]
	// list returns the list of workers that an owner reads, or false if it cannot be
	// read.
	list func() (fleet.WorkerList, bool)
	// maxSkew bounds how far the clock of an owner is ahead or behind.
	maxSkew time.Duration
	// memory is the memory limit of an owner; 0 means none.
	memory int64
	// kinds holds the kinds of the workers that change theirs with each restart.
	kinds map[*model.Worker][]string
	// lossRate is the share of orders whose answer is lost, delayRate the share of
	// those orders that are also executed seconds late.
	lossRate, delayRate float64
	// network carries the calls of the owners; the harness itself unless a test replaces
	// it.
	network network
	// checkEnded fails the test if a run has started although its task had ended. The
	// test may replace it.
	checkEnded func(started *model.RunRecord)
}

// network carries the calls of owners to workers and to the store.
type network interface {
	// sendOrders sends the orders that an owner has decided, deliverOrders delivers those
	// that have arrived and their answers.
	sendOrders(o *simOwner)
	deliverOrders(o *simOwner)
	// writeBatch advances the writes of an owner.
	writeBatch(o *simOwner)
	// reachesStore reports whether an owner can read from the store.
	reachesStore(o *simOwner) bool
	// hears reports whether an owner receives a job from the VM that accepts it.
	hears(o *simOwner) bool
}

// reachesStore implements network.
func (h *harness) reachesStore(*simOwner) bool { return true }

// hears implements network.
func (h *harness) hears(*simOwner) bool { return h.rng.IntN(3) > 0 }

func newHarness(t *testing.T, seed uint64, workers int, limit core.Resources) *harness {
	h := &harness{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: startTime, policy: newPolicy(limit),
		specs: map[core.JobID]jobs.Spec{}, storedProgress: map[core.JobID]jobs.Progress{}, reportedEnds: map[jobs.TaskID]endReport{},
	}
	for i := range workers {
		h.workers = append(h.workers, model.New(newWorkerInfo(i), h, startTime, 0.98+0.02*h.rng.Float64(), leaseDuration))
	}
	h.list, h.network, h.checkEnded = h.listUp, h, h.checkRead
	h.addOwner()
	return h
}

// cutLists cuts off the workers' lists of ends in plays with an odd seed.
func (h *harness) cutLists(seed uint64) {
	if seed%2 == 1 {
		for _, w := range h.workers {
			w.MaxEnds = 2 + int(seed/2%4)
		}
	}
}

// listUp lists the workers that are up.
func (h *harness) listUp() (fleet.WorkerList, bool) {
	var list fleet.WorkerList
	for _, w := range h.workers {
		if w.Up {
			list.Workers = append(list.Workers, w.Info)
		}
	}
	return list, true
}

// Task implements model.Tasks.
func (h *harness) Task(id jobs.TaskID) model.TaskSpec {
	p := h.specs[id.Job].Phases[id.Phase]
	s := model.TaskSpec{Need: p.Need, Work: p.Estimate, Gang: 1, Fails: p.Image == failingImage || p.Image == flakyImage && !h.hasFailed(id)}
	if p.Gang {
		s.Gang = p.Count
	}
	return s
}

// hasFailed reports whether a run of the task has failed.
func (h *harness) hasFailed(id jobs.TaskID) bool {
	return slices.ContainsFunc(h.workers, func(w *model.Worker) bool {
		return slices.ContainsFunc(w.Log, func(r *model.RunRecord) bool { return r.Task == id && r.Kind == fleet.EndFailed })
	})
}

// Present implements model.Tasks.
func (h *harness) Present(id jobs.PhaseID, run uint64) int {
	n := 0
	for _, w := range h.workers {
		n += w.ActiveInGang(id, run)
	}
	return n
}

// addOwner lets a new owner take over from the stored state. Earlier owners go on
// without knowing that they have been replaced, unless they are stopped.
func (h *harness) addOwner() {
	h.startOwner(h.recordedAt, h.now)
	h.recordedAt = h.now
}

// startOwner starts an owner that has first seen the record of its predecessor at seenAt and
// sent its claim at claimedAt.
func (h *harness) startOwner(seenAt, claimedAt time.Time) {
	o := &simOwner{}
	if h.maxSkew > 0 {
		o.skew = time.Duration(h.rng.Int64N(2*int64(h.maxSkew))) - h.maxSkew
	}
	o.scheduler = fleet.New(h.nowOf(o), core.Epoch(len(h.owners)+1), fleet.Limits{Lease: leaseDuration, ListTimeout: 4500 * time.Millisecond, RemoteFactor: 1, Memory: h.memory}, h.policy, fleet.WithReplacedAt(seenAt.Add(o.skew)))
	o.scheduler.RestoreRoster(h.storedRoster)
	o.scheduler.Renewed(claimedAt.Add(o.skew))
	specs, parked := h.loadJobs()
	o.scheduler.Load(h.nowOf(o), specs, maps.Clone(h.storedProgress))
	o.scheduler.Park(h.nowOf(o), parked)
	h.owners = append(h.owners, o)
	h.listWorkers(o)
}

// nowOf returns the time on an owner's clock.
func (h *harness) nowOf(o *simOwner) time.Time { return h.now.Add(o.skew) }

func (h *harness) currentOwner() *simOwner { return h.owners[len(h.owners)-1] }

func (h *harness) listWorkers(o *simOwner) {
	if list, ok := h.list(); ok && h.network.reachesStore(o) {
		o.scheduler.SetWorkers(h.nowOf(o), list)
	}
}

func (h *harness) submit(spec jobs.Spec) {
	spec.Accepted, spec.Team, spec.Queue = h.now, "t", "q"
	// The VM that accepts the job may not know the current owner yet.
	spec.FirstEpoch = core.Epoch(len(h.owners) - h.rng.IntN(2))
	h.specs[spec.ID] = spec
	h.storedSpecs = append(h.storedSpecs, spec)
	// Any running owner may receive the job, even one that has been replaced.
	for _, o := range h.owners {
		if !o.stopped && h.network.hears(o) {
			o.scheduler.Accept(h.nowOf(o), spec)
			o.stopped = o.scheduler.LaterEpoch() > 0
		}
	}
	h.unannounced = append(h.unannounced, spec)
}

// tick advances the simulation by tickInterval.
func (h *harness) tick() {
	h.now = h.now.Add(tickInterval)
	for _, w := range h.workers {
		w.Advance(h.now)
	}
	for _, w := range h.workers {
		w.EndFinished()
	}
	if h.now.UnixMilli()%500 < tickInterval.Milliseconds() {
		for _, o := range h.owners {
			if !o.stopped {
				h.listWorkers(o)
			}
		}
		if o := h.currentOwner(); h.network.reachesStore(o) && !h.feedPaused {
			for _, s := range h.unannounced {
				o.scheduler.Accept(h.nowOf(o), s)
			}
			h.unannounced = nil
			o.scheduler.JobsRead(h.nowOf(o))
		}
	}
	for _, o := range h.owners {
		h.network.deliverOrders(o)
		if !o.stopped {
			h.network.writeBatch(o)
			h.readParked(o)
		}
		if !o.stopped && !o.suspended {
			o.scheduler.Tick(h.nowOf(o))
			h.network.sendOrders(o)
		}
	}
	h.checkInvariants()
}

func (h *harness) sendOrders(o *simOwner) {
	for _, ord := range o.scheduler.Orders() {
		sent := sentOrder{order: ord, sentAt: h.now, arrivesAt: h.now.Add(time.Duration(1+h.rng.IntN(60)) * time.Millisecond)}
		if h.rng.Float64() < h.lossRate {
			sent.unanswered = true
			if h.rng.Float64() < h.delayRate {
				sent.arrivesAt = h.now.Add(time.Duration(1000+h.rng.IntN(9000)) * time.Millisecond)
			}
		}
		o.inFlight = append(o.inFlight, sent)
	}
}

// deliverOrders executes the orders that have arrived.
func (h *harness) deliverOrders(o *simOwner) {
	var remaining []sentOrder
	orders := o.inFlight
	o.inFlight = nil
	for _, sent := range orders {
		switch {
		case sent.arrivesAt.After(h.now):
			remaining = append(remaining, sent)
		default:
			h.execute(o, sent)
		}
	}
	// Unanswered calls time out at the owner.
	for i, sent := range remaining {
		if sent.unanswered && h.now.Sub(sent.sentAt) > 700*time.Millisecond && !o.stopped {
			h.answer(o, sent, fleet.RunLists{}, fleet.ReplyUnanswered)
			remaining[i].order.Wait = -1 // its outcome has been reported
		}
	}
	o.inFlight = append(o.inFlight, remaining...)
}

func (h *harness) execute(o *simOwner, sent sentOrder) {
	lists, reply := h.carryOut(sent)
	if sent.unanswered {
		reply = fleet.ReplyUnanswered
	}
	if sent.order.Wait >= 0 && !o.stopped {
		h.answer(o, sent, lists, reply)
	}
}

// carryOut lets a worker execute an order that has reached it.
func (h *harness) carryOut(sent sentOrder) (fleet.RunLists, fleet.Reply) {
	w := h.workerAt(sent.order)
	// Orders sent to an earlier incarnation of the worker are lost.
	if !w.Up || w.Unreachable || w.Info.Incarnation.After(sent.sentAt) {
		return fleet.RunLists{}, fleet.ReplyUnanswered
	}
	switch kind := sent.order.Kind; {
	case w.Info.ID() != sent.order.Worker:
		return fleet.RunLists{}, fleet.ReplyOtherIncarnation
	case kind == fleet.OrderStart && !sent.order.Info.Incarnation.Equal(w.Info.Incarnation):
		// The client sends no start on a connection of another incarnation.
		return fleet.RunLists{}, fleet.ReplyOtherIncarnation
	case kind == fleet.OrderStart:
		return fleet.RunLists{}, w.Start(sent.order)
	case kind == fleet.OrderStop:
		return fleet.RunLists{}, w.Stop(sent.order, stopDelay)
	}
	// The client acknowledges ends only on a connection of the incarnation that
	// listed them.
	if !sent.order.Info.Incarnation.Equal(w.Info.Incarnation) {
		sent.order.AckedEnd = 0
	}
	h.checkAcknowledged(w, sent.order.AckedEnd)
	return w.Heartbeat(sent.order)
}

// workerAt returns the worker at the address to which an order is sent.
func (h *harness) workerAt(o fleet.Order) *model.Worker {
	return h.workers[slices.IndexFunc(h.workers, func(w *model.Worker) bool { return w.Info.Addr == o.Info.Addr })]
}

func (h *harness) answer(o *simOwner, sent sentOrder, l fleet.RunLists, r fleet.Reply) {
	if sent.order.Wait < 0 {
		return
	}
	if r == fleet.ReplyOtherIncarnation {
		o.scheduler.IncarnationEnded(h.nowOf(o), sent.order.Info)
	}
	switch {
	case r == fleet.ReplyFenced:
		o.stopped = true
	case sent.order.Kind == fleet.OrderStart:
		o.scheduler.StartAnswered(h.nowOf(o), sent.order.Worker, sent.order.Task, sent.order.Run, r)
	case sent.order.Kind == fleet.OrderStop:
		o.scheduler.StopAnswered(h.nowOf(o), sent.order.Worker, sent.order.Task, sent.order.Run, r)
	case r == fleet.ReplyOK:
		for _, e := range l.Ended {
			if _, known := h.reportedEnds[e.Task]; !known && e.Kind == fleet.EndDone {
				w := h.workerAt(sent.order)
				h.reportedEnds[e.Task] = endReport{h.now, w, w.Info.Incarnation, recordOf(w, e)}
			}
		}
		o.scheduler.HeartbeatAnswered(h.nowOf(o), sent.order.Worker, sent.sentAt.Add(o.skew), l)
	default:
		o.scheduler.HeartbeatFailed(h.nowOf(o), sent.order.Worker)
	}
}

// writeBatch completes the owner's write in flight once it is due and sends the next
// one. A write by an owner that has been replaced has no effect and stops the owner.
func (h *harness) writeBatch(o *simOwner) {
	if !o.writtenAt.IsZero() {
		if h.now.Before(o.writtenAt) {
			return
		}
		o.writtenAt = time.Time{}
		if o != h.currentOwner() {
			o.stopped = true
			return
		}
		if h.refuses(o.batch) {
			o.scheduler.BatchRefused(h.nowOf(o))
			h.sendBatch(o)
			return
		}
		h.storeProgress(o.batch)
		h.recordedAt = h.now
		o.scheduler.Renewed(o.sentAt.Add(o.skew))
		o.scheduler.BatchStored(h.nowOf(o))
		if o.roster != nil {
			h.storedRoster = o.roster
			o.scheduler.RosterStored(o.roster, o.rosterVersion)
		}
	}
	h.sendBatch(o)
}

// sendBatch sends the next write of an owner.
func (h *harness) sendBatch(o *simOwner) {
	o.batch, o.roster = o.scheduler.Batch(), nil
	if v := o.scheduler.RosterVersion(); v != o.rosterVersion {
		o.roster, o.rosterVersion = o.scheduler.Roster()
	}
	o.sentAt = h.now
	o.writtenAt = h.now.Add(time.Duration(10+h.rng.IntN(400)) * time.Millisecond)
}

// storeProgress stores changes of progress.
func (h *harness) storeProgress(changes []jobs.Progress) {
	for _, change := range changes {
		p := h.storedProgress[change.Job]
		p = p.Clone()
		p.Merge(&change)
		h.storedProgress[change.Job] = p
	}
}

// refuses reports whether the store takes none of the changes, since one is of a job whose
// progress it refuses.
func (h *harness) refuses(changes []jobs.Progress) bool {
	return slices.ContainsFunc(changes, func(p jobs.Progress) bool { return h.refused.Has(p.Job) && p.State == "" })
}

// TestNoFaults checks that all jobs complete without faults.
func TestNoFaults(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 4, core.Resources{})
	for i := range 20 {
		h.submit(h.randomJob(i))
	}
	for range 3000 {
		h.tick()
	}
	h.checkCompleted(is, 20)
}

// TestRandomFaults is playFaults with jobs that must all complete. Each case has its own random
// seed.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(120) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, seed, 4, core.Resources{})
			const jobCount = 25
			h.playFaults(seed, jobCount, func(_ int, next *jobs.Spec) {
				if next != nil {
					h.submit(*next)
				}
			})
			h.checkCompleted(is, jobCount)
		})
	}
}
