package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
)

// desk is a board with workers that the test answers for.
type desk struct {
	*fleet.Scheduler
	now   time.Time
	hosts []fleet.WorkerInfo
}

func newDesk(epoch core.Epoch, workers int) *desk {
	d := &desk{now: dawn, Scheduler: fleet.New(dawn, epoch, fleet.Limits{Lease: lease, ListTimeout: 4500 * time.Millisecond, RemoteFactor: 1}, rules(core.Resources{}))}
	for i := range workers {
		h := host(i)
		h.Incarnation = dawn.Add(-time.Hour)
		d.hosts = append(d.hosts, h)
	}
	return d
}

// open makes all workers known and heard.
func (d *desk) open() {
	d.SetWorkers(d.now, d.hosts)
	d.RosterStored(d.Roster())
	for _, h := range d.hosts {
		d.held(h, nil, nil)
	}
}

func (d *desk) held(h fleet.WorkerInfo, active []fleet.ActiveRun, ended []fleet.EndedRun) {
	d.HeartbeatAnswered(d.now, h.ID(), d.now, fleet.RunLists{Clock: d.now.Sub(dawn), Incarnation: h.Incarnation, Active: active, Ended: ended})
}

// done is the end of an order's run, as its worker lists it.
func done(number uint64, o fleet.Order) []fleet.EndedRun {
	return []fleet.EndedRun{{Number: number, Task: o.Task, Run: o.Run, Kind: fleet.EndDone, Reason: "done"}}
}

// plan returns the orders of one kind that the board gives now.
func (d *desk) plan(kind fleet.OrderKind) []fleet.Order {
	d.Tick(d.now)
	var out []fleet.Order
	for _, o := range d.Orders() {
		if o.Kind == kind {
			out = append(out, o)
		}
	}
	return out
}

func (d *desk) pass(t time.Duration) { d.now = d.now.Add(t) }

// plain is a job of one phase.
func plain(id string, count int, gang bool) jobs.Spec {
	return jobs.Spec{ID: core.JobID(id), Team: "t", Queue: "q", Accepted: dawn, Phases: []jobs.Phase{
		{Count: count, Need: core.Resources{Cores: 1000}, Estimate: time.Second, Gang: gang},
	}}
}

func taskOf(id string, index int) jobs.TaskID {
	return jobs.TaskID{PhaseID: jobs.PhaseID{Job: core.JobID(id)}, Index: index}
}

// TestSilentWorker plays a worker that is gone for good while the platform
// still lists it: its task must start elsewhere once the lease has surely
// ended, and not before.
func TestSilentWorker(t *testing.T) {
	is := is.New(t)
	d := newDesk(1, 2)
	d.open()
	d.Accept(d.now, plain("j", 1, false))
	first := d.plan(fleet.OrderStart)
	is.Equal(len(first), 1)
	d.StartAnswered(d.now, first[0].Worker, first[0].Task, first[0].Run, fleet.ReplyOK)
	for _, h := range d.hosts {
		if h.ID() == first[0].Worker {
			d.HeartbeatFailed(d.now, h.ID())
		} else {
			d.held(h, nil, nil)
		}
	}
	longest := lease*100/98 + 200*time.Millisecond
	for d.now.Sub(dawn) < longest {
		d.pass(100 * time.Millisecond)
		d.SetWorkers(d.now, d.hosts)
		d.Tick(d.now)
		var starts []fleet.Order
		for _, o := range d.Orders() {
			switch {
			case o.Kind == fleet.OrderStart:
				starts = append(starts, o)
			case o.Worker == first[0].Worker:
				d.HeartbeatFailed(d.now, o.Worker)
			case o.Kind == fleet.OrderHeartbeat:
				d.held(o.Info, nil, nil)
			}
		}
		if d.now.Sub(dawn) <= lease {
			is.Equal(len(starts), 0) // the lease may still hold
		}
		if len(starts) == 1 {
			is.True(starts[0].Worker != first[0].Worker)
			is.True(starts[0].Run > first[0].Run)
			return
		}
	}
	t.Fatal("the task was not started again")
}

// TestWorkerComesBack plays a worker that answers again long after its lease
// has ended: it is used again.
func TestWorkerComesBack(t *testing.T) {
	is := is.New(t)
	d := newDesk(1, 1)
	d.open()
	d.plan(fleet.OrderHeartbeat)
	d.HeartbeatFailed(d.now, d.hosts[0].ID())
	for range 100 {
		d.pass(100 * time.Millisecond)
		if len(d.plan(fleet.OrderHeartbeat)) > 0 {
			d.HeartbeatFailed(d.now, d.hosts[0].ID())
		}
	}
	d.held(d.hosts[0], nil, nil)
	d.Accept(d.now, plain("j", 1, false))
	is.Equal(len(d.plan(fleet.OrderStart)), 1)
}

// TestWorkerLeaves has rows: what the last entry of a worker said, how long
// before its disappearance it was renewed, and whether its task starts elsewhere
// at once.
func TestWorkerLeaves(t *testing.T) {
	for name, c := range map[string]struct {
		leaving bool
		silence time.Duration
		at1     bool
	}{
		"left by plan":          {leaving: true, silence: time.Second, at1: true},
		"leaving, then cut off": {leaving: true, silence: 4500 * time.Millisecond},
		"vanished":              {silence: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDesk(1, 2)
			d.open()
			d.Accept(d.now, plain("j", 1, false))
			first := d.plan(fleet.OrderStart)
			d.begin(first)
			var kept []fleet.WorkerInfo
			for i := range d.hosts {
				d.hosts[i].Renewals++
				if d.hosts[i].ID() == first[0].Worker {
					d.hosts[i].Leaving = c.leaving
				} else {
					kept = append(kept, d.hosts[i])
				}
			}
			d.SetWorkers(d.now, d.hosts)
			d.pass(c.silence)
			d.held(kept[0], nil, nil)
			d.HeartbeatFailed(d.now, first[0].Worker)
			d.SetWorkers(d.now, kept)
			is.Equal(len(d.plan(fleet.OrderStart)) == 1, c.at1)
		})
	}
}

// TestIdleWorkerLeaves plays a worker on which nothing runs that falls silent
// and is no longer listed: a later owner need not wait for it.
func TestIdleWorkerLeaves(t *testing.T) {
	is := is.New(t)
	d := newDesk(1, 2)
	d.open()
	d.plan(fleet.OrderHeartbeat)
	d.HeartbeatFailed(d.now, d.hosts[0].ID())
	for range 6 {
		d.SetWorkers(d.now, d.hosts[1:])
		d.pass(500 * time.Millisecond)
	}
	is.Equal(len(d.Roster()), 1)
}

// TestAbsence plays a new owner whose process has seen a worker of the roster
// missing from the list for long: older tasks need not wait for it. A gap in the
// readings shows nothing.
func TestAbsence(t *testing.T) {
	for name, c := range map[string]struct {
		pause  time.Duration
		starts int
	}{"seen all the while": {2 * time.Second, 1}, "with gaps": {4 * time.Second, 0}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDesk(2, 2)
			a := fleet.NewAbsenceTracker()
			a.Observe(d.now, d.hosts)
			for range 4 {
				d.pass(c.pause)
				a.Observe(d.now, d.hosts[:1])
			}
			d.Recover(d.hosts, a.Since())
			d.Load(d.now, []jobs.Spec{plain("j", 1, false)}, nil)
			d.SetWorkers(d.now, d.hosts[:1])
			d.RosterStored(d.Roster())
			d.held(d.hosts[0], nil, nil)
			is.Equal(len(d.plan(fleet.OrderStart)), c.starts)
		})
	}
}

// TestEndOfUnknownJob plays an end that reaches a new owner before the job
// does: the task must not run again.
func TestEndOfUnknownJob(t *testing.T) {
	is := is.New(t)
	d := newDesk(2, 2)
	d.SetWorkers(d.now, d.hosts)
	d.RosterStored(d.Roster())
	ends := []fleet.EndedRun{{Number: 1, Task: taskOf("j", 0), Run: 1, Kind: fleet.EndDone, Reason: "done"}}
	d.held(d.hosts[0], nil, ends)
	d.held(d.hosts[1], nil, nil)
	is.True(d.UnknownJobSeen()) // the owner is told to read what is recorded
	d.Accept(d.now, plain("j", 1, false))
	is.Equal(len(d.plan(fleet.OrderStart)), 0)
	d.pass(100 * time.Millisecond)
	d.held(d.hosts[0], nil, ends)
	is.Equal(len(d.plan(fleet.OrderStart)), 0)
	is.Equal(len(d.Batch()), 1)
	d.BatchStored(d.now)
	state, known := d.State("j")
	is.True(known)
	is.Equal(state, jobs.Completed)
}

// TestRunOfUnknownJob plays a run that reaches a new owner before the job does.
func TestRunOfUnknownJob(t *testing.T) {
	is := is.New(t)
	d := newDesk(2, 2)
	d.SetWorkers(d.now, d.hosts)
	d.RosterStored(d.Roster())
	d.held(d.hosts[0], []fleet.ActiveRun{{Task: taskOf("j", 0), Run: 1}}, nil)
	d.held(d.hosts[1], nil, nil)
	d.Accept(d.now, plain("j", 1, false))
	is.Equal(len(d.plan(fleet.OrderStart)), 0)
	state, _ := d.State("j")
	is.Equal(state, jobs.Running)
}

// TestRebornWorker plays a worker that starts anew under its name: an owner
// uses it only once the new incarnation is in the recorded roster.
// TestRebornBeforeFirstAnswer plays a worker that starts anew after it was listed
// and recorded, before it has ever answered this owner: the new incarnation, told
// by its own answer or by the list, is used only once it is recorded.
// TestNewJobsAfterTakeOver plays a take-over with a worker that does not answer. Has
// rows: how a job reaches the new owner, which owner its VM knew of when it took
// the job, and whether the job starts while the worker is awaited: what an earlier
// owner cannot have started need not wait.
func TestNewJobsAfterTakeOver(t *testing.T) {
	for name, c := range map[string]struct {
		from   core.Epoch
		load   bool
		starts int
	}{
		"told, earlier owner known":    {from: 1},
		"told, this owner known":       {from: 2, starts: 1},
		"recorded, earlier owner":      {from: 1, load: true},
		"recorded, this owner":         {from: 2, load: true, starts: 1},
		"told, of a later owner":       {from: 3},
		"recorded, of a later owner":   {from: 3, load: true},
		"recorded by an older version": {load: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDesk(2, 2)
			d.Recover(d.hosts, nil)
			old, young := plain("old", 1, false), plain("young", 1, false)
			old.FirstEpoch, young.FirstEpoch = 1, c.from
			recorded := []jobs.Spec{old}
			if c.load {
				recorded = append(recorded, young)
			}
			d.Load(d.now, recorded, nil)
			d.SetWorkers(d.now, d.hosts)
			d.RosterStored(d.Roster())
			d.held(d.hosts[0], nil, nil)
			if !c.load {
				d.Accept(d.now, young)
			}
			starts := d.plan(fleet.OrderStart)
			is.Equal(len(starts), c.starts)
			for _, s := range starts {
				is.Equal(s.Task.Job, young.ID)
				is.Equal(s.Worker, d.hosts[0].ID())
			}
			is.Equal(d.LaterEpoch() > 0, c.from > 2)
			d.begin(starts)
			d.held(d.hosts[1], nil, nil)
			if c.from <= 2 {
				is.Equal(len(d.plan(fleet.OrderStart)), 2-c.starts) // all has been heard of
			}
		})
	}
}

// TestResumedBoard plays an owner that has forgotten what it decided under its
// epoch: nothing is taken for not started.
func TestResumedBoard(t *testing.T) {
	for _, epoch := range []core.Epoch{1, 2} {
		is := is.New(t)
		d := newDesk(epoch, 2)
		d.Scheduler = fleet.New(dawn, epoch, fleet.Limits{Lease: lease, RemoteFactor: 1}, rules(core.Resources{}), fleet.WithLostState())
		d.Recover(d.hosts, nil)
		j := plain("j", 1, false)
		j.FirstEpoch = epoch
		d.Load(d.now, []jobs.Spec{j}, nil)
		d.SetWorkers(d.now, d.hosts)
		d.RosterStored(d.Roster())
		d.held(d.hosts[0], nil, nil)
		is.Equal(len(d.plan(fleet.OrderStart)), 0)
		d.held(d.hosts[1], nil, nil)
		is.Equal(len(d.plan(fleet.OrderStart)), 1)
	}
}

// TestAwaitedTasksAndLimit plays a take-over with many recorded tasks of a team
// and one worker that does not answer: they count towards the team's limit with no
// more than that worker has room for.
func TestAwaitedTasksAndLimit(t *testing.T) {
	for name, c := range map[string]struct {
		limit  int64
		starts int
	}{"room beside the worker's": {6000, 2}, "none": {4000, 0}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDesk(2, 3)
			d.SetPolicy(rules(core.Resources{Cores: c.limit}))
			d.Recover(d.hosts, nil)
			old, young := plain("old", 40, false), plain("young", 4, false)
			young.FirstEpoch = 2
			d.Load(d.now, []jobs.Spec{old}, nil)
			d.SetWorkers(d.now, d.hosts)
			d.RosterStored(d.Roster())
			d.held(d.hosts[0], nil, nil)
			d.held(d.hosts[1], nil, nil)
			d.Accept(d.now, young)
			is.Equal(len(d.plan(fleet.OrderStart)), c.starts) // the third has room for 4,000
		})
	}
}

// TestGangLacksMember plays a take-over in which one member of a gang runs
// nowhere: the others are stopped, and the gang starts again as a whole.
func TestGangLacksMember(t *testing.T) {
	is := is.New(t)
	d := newDesk(2, 2)
	d.Load(d.now, []jobs.Spec{plain("j", 2, true)}, nil)
	d.SetWorkers(d.now, d.hosts)
	d.RosterStored(d.Roster())
	d.held(d.hosts[0], []fleet.ActiveRun{{Task: taskOf("j", 0), Run: 1}}, nil)
	d.held(d.hosts[1], nil, nil)
	stops := d.plan(fleet.OrderStop)
	is.Equal(len(stops), 1)
	d.StopAnswered(d.now, stops[0].Worker, stops[0].Task, stops[0].Run, fleet.ReplyOK)
	d.pass(300 * time.Millisecond)
	d.held(d.hosts[0], nil, []fleet.EndedRun{{Number: 1, Task: taskOf("j", 0), Run: 1, Kind: fleet.EndOther, Reason: "stopped"}})
	starts := d.plan(fleet.OrderStart)
	is.Equal(len(starts), 2)
	is.Equal(starts[0].Run, starts[1].Run)
	is.True(starts[0].Run > 1)
}

// TestLeaseOfEarlierOwner plays the first answer of a worker to a new owner:
// what runs there has been granted a lease that the new owner has not sent.
func TestLeaseOfEarlierOwner(t *testing.T) {
	is := is.New(t)
	d := newDesk(2, 2)
	d.Load(d.now, []jobs.Spec{plain("j", 1, false)}, nil)
	d.SetWorkers(d.now, d.hosts)
	d.RosterStored(d.Roster())
	d.held(d.hosts[0], []fleet.ActiveRun{{Task: taskOf("j", 0), Run: 1}}, nil)
	d.held(d.hosts[1], nil, nil)
	for range 3 {
		d.pass(200 * time.Millisecond)
		is.Equal(len(d.plan(fleet.OrderStart)), 0)
		d.held(d.hosts[1], nil, nil)
	}
	is.Equal(d.Counts().Lapses, uint64(0))
}

// TestUnansweredStart plays a start without answer: the task starts elsewhere
// only after a stop has been answered and the worker lists nothing of it.
func TestUnansweredStart(t *testing.T) {
	is := is.New(t)
	d := newDesk(1, 1)
	d.open()
	d.Accept(d.now, plain("j", 1, false))
	s := d.plan(fleet.OrderStart)[0]
	d.StartAnswered(d.now, s.Worker, s.Task, s.Run, fleet.ReplyUnanswered)
	stops := d.plan(fleet.OrderStop)
	is.Equal(len(stops), 1)
	d.pass(50 * time.Millisecond)
	d.held(d.hosts[0], nil, nil)
	is.Equal(len(d.plan(fleet.OrderStart)), 0) // the stop has not been answered
	d.pass(600 * time.Millisecond)
	is.Equal(len(d.plan(fleet.OrderStop)), 1) // and is repeated
	d.StopAnswered(d.now, s.Worker, s.Task, s.Run, fleet.ReplyOK)
	d.pass(50 * time.Millisecond)
	d.held(d.hosts[0], nil, nil)
	again := d.plan(fleet.OrderStart)
	is.Equal(len(again), 1)
	is.True(again[0].Run > s.Run)
}

// TestAcknowledgement plays an end: the worker may forget it only once it is
// in the store, and clients are told no sooner.
func TestAcknowledgement(t *testing.T) {
	is := is.New(t)
	d := newDesk(1, 1)
	d.open()
	d.Accept(d.now, plain("j", 1, false))
	s := d.plan(fleet.OrderStart)[0]
	d.StartAnswered(d.now, s.Worker, s.Task, s.Run, fleet.ReplyOK)
	d.pass(time.Second)
	d.held(d.hosts[0], nil, done(1, s))
	is.Equal(len(d.Batch()), 1)
	state, _ := d.State("j")
	is.Equal(state, jobs.Running)
	d.pass(1800 * time.Millisecond)
	holds := d.plan(fleet.OrderHeartbeat)
	is.Equal(len(holds), 1) // the lease is renewed all the same
	is.Equal(holds[0].AckedEnd, uint64(0))
	d.BatchStored(d.now)
	state, _ = d.State("j")
	is.Equal(state, jobs.Completed)
	d.held(d.hosts[0], nil, nil)
	is.Equal(d.plan(fleet.OrderHeartbeat)[0].AckedEnd, uint64(1))
}

// TestVanishedWorkerOfEarlierOwner plays a take-over on a platform that allows
// leases of 10 s, with a worker in the record that the platform lists no more:
// what may have run there starts elsewhere within a lease of 6 s on the slowest
// clock, less the silence after which an entry is dropped.
func TestVanishedWorkerOfEarlierOwner(t *testing.T) {
	is := is.New(t)
	d := newDesk(2, 2)
	d.Scheduler = fleet.New(dawn, 2, fleet.Limits{Lease: 10 * time.Second, ListTimeout: 4500 * time.Millisecond, RemoteFactor: 1}, rules(core.Resources{}))
	d.Recover(d.hosts, nil)
	d.Load(d.now, []jobs.Spec{plain("j", 1, false)}, nil)
	d.SetWorkers(d.now, d.hosts[:1])
	d.RosterStored(d.Roster())
	d.held(d.hosts[0], nil, nil)
	bound := 2500 * time.Millisecond // also how long an entry must be missing
	for d.now.Sub(dawn) <= bound+200*time.Millisecond {
		starts := d.plan(fleet.OrderStart)
		if len(starts) > 0 {
			is.True(d.now.Sub(dawn) >= 6*time.Second*100/98-4500*time.Millisecond)
			is.True(starts[0].LeaseUntil <= d.now.Sub(dawn)+6*time.Second)
			return
		}
		d.pass(100 * time.Millisecond)
		d.SetWorkers(d.now, d.hosts[:1])
		d.held(d.hosts[0], nil, nil)
	}
	t.Fatal("the task was not started")
}

// TestStartOnRebornWorker plays a worker that has started again unnoticed before
// an order to start reached it: the run is on the new incarnation, and starts
// nowhere else. A run that only the old one had starts elsewhere.
// TestUnansweredStartOnRebornWorker plays a start without answer to a worker that
// has started again meanwhile: it may yet be carried out by the new incarnation,
// so the task waits until that one has answered a stop.
