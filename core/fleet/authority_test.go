package fleet_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
)

// play runs the scheduler of an owner whose record is not confirmed for a time, while the
// given workers answer its heartbeats and all others are silent. It returns the starts and
// the heartbeats that have renewed a lease.
func (f *fixture) play(d time.Duration, answering ...fleet.WorkerInfo) (starts, renewals []fleet.Order) {
	for _, w := range f.workers {
		if !isOneOf(w.ID(), answering) {
			f.HeartbeatFailed(f.now, w.ID())
		}
	}
	for end := f.now.Add(d); f.now.Before(end); f.advance(100 * time.Millisecond) {
		f.Scheduler.Tick(f.now)
		for _, o := range f.Orders() {
			switch {
			case o.Kind == fleet.OrderStart:
				starts = append(starts, o)
			case o.Kind != fleet.OrderHeartbeat:
			case !isOneOf(o.Worker, answering):
				f.HeartbeatFailed(f.now, o.Worker)
			default:
				if o.LeaseUntil > 0 {
					renewals = append(renewals, o)
				}
				f.heartbeat(o.Info, nil, nil)
			}
		}
	}
	return starts, renewals
}

func isOneOf(id core.WorkerID, workers []fleet.WorkerInfo) bool {
	for _, w := range workers {
		if w.ID() == id {
			return true
		}
	}
	return false
}

// TestOwnerWithFewWorkersStops guards against an owner that is cut off with some workers and
// goes on starting tasks there after its successor has taken over. One that most workers
// answer goes on, as the store may be away for all.
func TestOwnerWithFewWorkersStops(t *testing.T) {
	for answering, acts := range map[int]bool{0: false, 2: false, 3: true, 4: true} {
		is := is.New(t)
		f := newFixture(1, 4)
		f.registerWorkers()
		f.nextOrders(fleet.OrderHeartbeat)
		for _, w := range f.workers {
			f.heartbeat(w, nil, nil)
		}
		_, renewals := f.play(time.Second, f.workers[:answering]...)
		is.Equal(len(renewals) > 0, answering > 0) // the record was confirmed lately
		f.play(2*time.Second, f.workers[:answering]...)
		f.Accept(f.now, newJob("j", 1, false))
		starts, renewals := f.play(3*time.Second, f.workers[:answering]...)
		is.Equal(len(starts) > 0, acts)
		is.Equal(len(renewals) > 0, acts)
		f.Renewed(f.now)
		_, renewals = f.play(time.Second, f.workers[:answering]...)
		is.Equal(len(renewals) > 0, answering > 0)
	}
}

// TestSuspendedOwnerStops guards against an owner that acts after a suspension by authority that
// its successor takes for expired, since its clock has not counted the suspension.
func TestSuspendedOwnerStops(t *testing.T) {
	const suspension = 2400 * time.Millisecond
	for name, c := range map[string]struct {
		sinceRenewal time.Duration
		answering    int
	}{"renewed lately": {300 * time.Millisecond, 2}, "with a quorum": {4 * time.Second, 4}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 4)
			f.registerWorkers()
			f.nextOrders(fleet.OrderHeartbeat)
			for _, w := range f.workers {
				f.heartbeat(w, nil, nil)
			}
			_, renewals := f.play(c.sinceRenewal, f.workers[:c.answering]...)
			is.True(len(renewals) > 0)
			f.Suspended(f.now, suspension)
			f.Confirmed(f.now.Add(time.Millisecond)) // a read finds that there is no successor yet
			f.Accept(f.now, newJob("j", 1, false))
			f.advance(10 * time.Millisecond)
			starts, renewals := f.play(100*time.Millisecond, f.workers[:c.answering]...)
			is.Equal(len(starts), 0)
			is.Equal(len(renewals), 0)
			f.Renewed(f.now)
			starts, renewals = f.play(time.Second, f.workers[:c.answering]...)
			is.Equal(len(starts), 1)
			is.True(len(renewals) > 0)
		})
	}
}

// TestLapseNeedsConfirmation guards against an owner that takes a worker's lease for expired
// while its successor, of which it doesn't know, extends it.
func TestLapseNeedsConfirmation(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 3)
	s := f.startTask()
	var others []fleet.WorkerInfo
	for _, w := range f.workers {
		if w.ID() != s.Worker {
			others = append(others, w)
		}
	}
	starts, _ := f.play(8*time.Second, others...)
	is.Equal(len(starts), 0)
	is.True(f.WantsConfirmation())
	f.Renewed(f.now)
	is.Equal(len(f.roster()), 3)
	f.play(100*time.Millisecond, others...)
	is.Equal(len(f.roster()), 2) // the lease had expired when the record was confirmed
	f.Renewed(f.now)
	starts, _ = f.play(100*time.Millisecond, others...)
	is.Equal(len(starts), 1)
}

// TestRestartNeedsConfirmation guards against two owners that both start a task again because
// both have learned of the end of its last run: it starts again only once the record has
// been confirmed after that.
func TestRestartNeedsConfirmation(t *testing.T) {
	for name, end := range map[string]func(f *fixture, s fleet.Order){
		"failed": func(f *fixture, s fleet.Order) {
			f.heartbeat(s.Info, nil, []fleet.EndedRun{{Number: 1, Task: s.Task, Run: s.Run, Kind: fleet.EndFailed, Reason: "failed"}})
		},
		"stopped": func(f *fixture, s fleet.Order) {
			f.heartbeat(s.Info, nil, []fleet.EndedRun{{Number: 1, Task: s.Task, Run: s.Run, Kind: fleet.EndOther, Reason: "stopped"}})
		},
		"restarted worker": func(f *fixture, s fleet.Order) {
			f.advance(100 * time.Millisecond)
			restarted := s.Info
			restarted.Incarnation = f.now
			f.heartbeat(restarted, nil, nil)
		},
		"other worker at its address": func(f *fixture, s fleet.Order) { f.IncarnationEnded(f.now, s.Info) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 3)
			s := f.startTask()
			f.advance(100 * time.Millisecond)
			f.Renewed(f.now)
			end(f, s)
			starts, _ := f.play(200*time.Millisecond, f.workers...)
			is.Equal(len(starts), 0)
			is.True(f.WantsConfirmation())
			f.Renewed(f.now)
			starts, _ = f.play(100*time.Millisecond, f.workers...)
			is.Equal(len(starts), 1)
			is.True(!f.WantsConfirmation())
		})
	}
}

// TestSuccessorWithFewWorkersWaits guards against a successor that starts tasks again because
// a time has passed, while its predecessor goes on with most workers. It takes over their
// tasks once half of the workers have answered it and the leases of the others have expired.
func TestSuccessorWithFewWorkersWaits(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 4)
	f.takeOver(f.workers)
	f.SetWorkers(f.now, f.list(f.workers))
	is.Equal(f.await(25*time.Second, f.workers[0]), 0)
	settled := f.now
	is.Equal(f.await(10*time.Second, f.workers[:2]...), 1)
	is.True(f.now.Sub(settled) >= 6*time.Second*100/98)
	is.True(f.now.Sub(settled) < maxEarlierLease+500*time.Millisecond)
	is.Equal(len(f.roster()), 2) // those that have answered
}

// TestThirdOwnerCountsOldWorkers guards against a third owner that takes new workers, which the
// second one has added, for a majority of those of the first, which may still act.
func TestThirdOwnerCountsOldWorkers(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 4)
	f.takeOver(f.workers)
	listed := slices.Clone(f.workers)
	for i := range 4 {
		w := newWorkerInfo(50 + i)
		w.Incarnation = startTime
		listed = append(listed, w)
	}
	f.SetWorkers(f.now, f.list(listed))
	roster, _ := f.Roster()
	is.Equal(len(roster), 8)
	f.Scheduler = newScheduler(f.now, 3)
	f.RestoreRoster(roster)
	f.Load(f.now, []jobs.Spec{newJob("j", 1, false)}, nil)
	f.SetWorkers(f.now, f.list(listed))
	is.Equal(f.await(20*time.Second, append(listed[4:], listed[0])...), 0)
	is.Equal(f.await(10*time.Second, listed[1:]...), 1)
}

// await has the record confirmed and the roster stored while the given workers answer, until
// tasks start, and returns their number.
func (f *fixture) await(d time.Duration, answering ...fleet.WorkerInfo) int {
	for end := f.now.Add(d); f.now.Before(end); {
		f.Renewed(f.now)
		f.RosterStored(f.Roster())
		if starts, _ := f.play(100*time.Millisecond, answering...); len(starts) > 0 {
			return len(starts)
		}
	}
	return 0
}

// TestSuccessorDoesNotWaitForEver checks that tasks start again, also on a new worker, although
// most workers are lost with their owner, whether the platform still lists them or not.
func TestSuccessorDoesNotWaitForEver(t *testing.T) {
	for name, lost := range map[string]int{"listed": 3, "missing": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2, 4)
			f.takeOver(f.workers)
			newcomer := newWorkerInfo(9)
			newcomer.Incarnation = startTime
			full := newJob("k", 5, false)
			full.FirstEpoch = 2
			f.Accept(f.now, full)
			used, restarted := core.NewSet[core.WorkerID](), false
			for range 140 {
				f.SetWorkers(f.now, f.list(append([]fleet.WorkerInfo{newcomer}, f.workers[:1+lost]...)))
				f.RosterStored(f.Roster())
				f.Renewed(f.now)
				starts, _ := f.play(time.Second, f.workers[0], newcomer)
				for _, s := range starts {
					used.Add(s.Worker)
					restarted = restarted || s.Task == newTaskID("j", 0)
				}
			}
			is.True(used.Has(newcomer.ID()))
			is.True(restarted)
			is.Equal(len(f.roster()), 2)
		})
	}
}

// TestLostStateWaitsForLeases guards against an owner that has lost its state (after a panic),
// has claimed a new epoch and starts at once what its own former scheduler has started.
func TestLostStateWaitsForLeases(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 4)
	f.Scheduler = fleet.New(f.now, 3, fleet.Limits{Lease: leaseDuration, RemoteFactor: 1}, newPolicy(core.Resources{}), fleet.WithReplacedAt(f.now))
	f.RestoreRoster(rosterOf(f.workers))
	f.Load(f.now, []jobs.Spec{newJob("j", 1, false)}, nil)
	for ; f.now.Sub(startTime) < 6*time.Second; f.advance(100 * time.Millisecond) {
		is.Equal(len(f.starts(f.workers, f.workers[:1])), 0)
	}
}

// TestReturnedWorkerCountsWithoutStore guards against an owner that loses its authority in an
// outage of the store because a worker, silent for a moment, must be recorded anew before it
// is used.
func TestReturnedWorkerCountsWithoutStore(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 3)
	f.registerWorkers()
	f.Tick(f.now)
	f.play(1500*time.Millisecond, f.workers[0])
	f.play(2*time.Second, f.workers[:2]...)
	_, renewals := f.play(10*time.Second, f.workers[:2]...)
	is.True(len(renewals) > 40)
}

// TestNewWorkersThoughMostNeverAnswer guards against an owner that takes no new worker for as
// long as most of the inherited ones are listed and don't answer it.
func TestNewWorkersThoughMostNeverAnswer(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 4)
	f.takeOver(f.workers)
	newcomer := newWorkerInfo(9)
	newcomer.Incarnation = startTime
	listed := append([]fleet.WorkerInfo{newcomer}, f.workers...)
	answering := []fleet.WorkerInfo{newcomer, f.workers[0]}
	for ; f.now.Sub(startTime) < 3*time.Minute; f.advance(100 * time.Millisecond) {
		f.starts(listed, answering)
	}
	is.Equal(len(f.roster()), 2) // those that answer
}

// TestReplacedFleetRunsNewJobs guards against a fleet that stands still for minutes because its
// workers have been replaced together with its owner: no earlier owner knows of the new workers
// or of the job.
func TestReplacedFleetRunsNewJobs(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 4)
	f.takeOver(f.workers)
	newcomer := newWorkerInfo(9)
	newcomer.Incarnation = startTime
	j := newJob("new", 1, false)
	j.FirstEpoch = 2
	f.Accept(f.now, j)
	for ; f.now.Sub(startTime) < 10*time.Second; f.advance(100 * time.Millisecond) {
		if len(f.starts([]fleet.WorkerInfo{newcomer}, []fleet.WorkerInfo{newcomer})) > 0 {
			return
		}
	}
	is.Fail() // the job was not started
}

// TestChurnKeepsMajority guards against an owner that counts workers which left long ago
// because its roster has changed again during each write.
func TestChurnKeepsMajority(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 4)
	f.registerWorkers()
	for i := range 20 {
		passing := newWorkerInfo(50 + i)
		passing.Incarnation = startTime
		f.SetWorkers(f.now, f.list(append([]fleet.WorkerInfo{passing}, f.workers...)))
		roster, version := f.Roster()
		f.IncarnationEnded(f.now, passing)
		f.RosterStored(roster, version)
	}
	f.Tick(f.now)
	for _, w := range f.workers {
		f.heartbeat(w, nil, nil)
	}
	f.play(3*time.Second, f.workers...)
	_, renewals := f.play(time.Second, f.workers...)
	is.True(len(renewals) > 0)
}

// TestUnreadJobKeepsItsEnd guards against an end that is acknowledged, and so lost, because
// its job was not read for maxJobWait while nothing could be read from the store.
func TestUnreadJobKeepsItsEnd(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.registerWorkers()
	f.Renewed(f.now)
	ends := []fleet.EndedRun{{Number: 1, Task: newTaskID("unread", 0), Run: 1, Kind: fleet.EndDone, Reason: "done"}}
	for ; f.now.Sub(startTime) < 8*time.Second; f.advance(100 * time.Millisecond) {
		f.heartbeat(f.workers[0], nil, ends)
		f.Scheduler.Tick(f.now)
		for _, o := range f.Orders() {
			is.Equal(o.AckedEnd, uint64(0))
		}
	}
}

// TestSuccessorAwaitsAuthority guards against a successor that starts a task while its silent
// worker may hold a lease which its predecessor has granted late: recordTTL after its last renewal,
// or contactTTL after most workers had left it.
func TestSuccessorAwaitsAuthority(t *testing.T) {
	for name, c := range map[string]struct{ settlesAfter, ends time.Duration }{
		"after its last renewal":  {0, 2 * time.Second},
		"after its last contacts": {3 * time.Second, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2, 2)
			f.Scheduler = fleet.New(f.now, 2, fleet.Limits{Lease: leaseDuration, RemoteFactor: 1}, newPolicy(core.Resources{}), fleet.WithReplacedAt(f.now))
			f.RestoreRoster(rosterOf(f.workers))
			f.Load(f.now, []jobs.Spec{newJob("j", 1, false)}, nil)
			for ; ; f.advance(50 * time.Millisecond) {
				elapsed := f.now.Sub(startTime)
				var answering []fleet.WorkerInfo
				if elapsed >= c.settlesAfter {
					answering = f.workers[:1]
				}
				if len(f.starts(f.workers, answering)) > 0 {
					is.True(elapsed >= c.ends+leaseDuration*100/98)
					return
				}
				is.True(elapsed < c.ends+leaseDuration*100/98+time.Second)
			}
		})
	}
}

// TestEndsOfDeletedJobsWaitTogether guards against a worker whose ends are not handled for
// minutes because each end of a deleted job before them waits in its turn.
func TestEndsOfDeletedJobsWaitTogether(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	s := f.startTask()
	var ends []fleet.EndedRun
	for i := range 10 {
		ends = append(ends, fleet.EndedRun{Number: uint64(i + 1), Task: newTaskID("deleted", i), Run: 1, Kind: fleet.EndDone, Reason: "done"})
	}
	ends = append(ends, doneEnd(11, s)...)
	for range 55 {
		f.heartbeat(f.workers[0], nil, ends)
		f.advance(100 * time.Millisecond)
		f.JobsRead(f.now)
	}
	f.heartbeat(f.workers[0], nil, ends)
	is.Equal(len(f.Batch()), 1) // the end of the known job
}

// TestRestartedInheritedWorkerNeedsConfirmation guards against two owners that both start a
// recovered task because its worker has restarted: the later owner may have found the run there
// before, and the new incarnation doesn't know of it.
func TestRestartedInheritedWorkerNeedsConfirmation(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 2)
	f.takeOver(f.workers)
	f.SetWorkers(f.now, f.list(f.workers))
	f.RosterStored(f.Roster())
	f.Renewed(f.now)
	f.heartbeat(f.workers[0], nil, nil)
	f.advance(100 * time.Millisecond)
	f.workers[1].Incarnation = f.now
	f.heartbeat(f.workers[1], nil, nil)
	starts, _ := f.play(200*time.Millisecond, f.workers...)
	is.Equal(len(starts), 0)
	f.Renewed(f.now)
	starts, _ = f.play(100*time.Millisecond, f.workers...)
	is.Equal(len(starts), 1)
}

// TestEndedJobIsNotReadAgain guards against an ended job that is forgotten while the store cannot
// be read, and that runs again when a later read returns it.
func TestEndedJobIsNotReadAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	s := f.startTask()
	f.heartbeat(s.Info, nil, doneEnd(1, s))
	f.Batch()
	f.BatchStored(f.now)
	f.advance(time.Hour)
	is.Equal(len(f.ForgetExpired(f.now, time.Minute, 10)), 0)
	is.True(!f.Accept(f.now, newJob("j", 1, false)))
	f.JobsRead(f.now)
	is.Equal(len(f.ForgetExpired(f.now, time.Minute, 10)), 1)
}

// serve runs the scheduler with a tick at each interval, while idle workers answer their
// heartbeats 40 ms after the wait, 10 s with and 25 s without renewals of the record. It returns
// how many heartbeats were sent in each part and how often the owner lost its authority.
func (f *fixture) serve(interval time.Duration) (renewed, unrenewed, losses int) {
	type answer struct {
		order      fleet.Order
		sentAt, at time.Time
	}
	var inFlight []answer
	outage := f.now.Add(10 * time.Second)
	for end := outage.Add(25 * time.Second); f.now.Before(end); f.advance(interval) {
		inFlight = slices.DeleteFunc(inFlight, func(a answer) bool {
			if a.at.After(f.now) {
				return false
			}
			f.HeartbeatAnswered(f.now, a.order.Worker, a.sentAt, fleet.RunLists{Clock: f.now.Sub(startTime), Incarnation: a.order.Info.Incarnation})
			return true
		})
		sent := &unrenewed
		if f.now.Before(outage) {
			sent = &renewed
			f.Renewed(f.now)
		}
		f.Scheduler.Tick(f.now)
		for _, o := range f.Orders() {
			*sent++
			inFlight = append(inFlight, answer{o, f.now, f.now.Add(o.Wait + 40*time.Millisecond)})
		}
		for _, e := range f.Decisions() {
			if e.Event == "authority lost" {
				losses++
			}
		}
	}
	return renewed, unrenewed, losses
}

// TestLateOwnerCallsNoMore guards against an owner that is behind and calls its workers more
// often than heartbeats that wait, because its renewals are late, too; and against one that loses
// its authority for want of calls.
func TestLateOwnerCallsNoMore(t *testing.T) {
	for tick, least := range map[time.Duration]time.Duration{10: 400, 100: 400, 160: 600, 200: 600, 250: 600, 300: 600} {
		is := is.New(t)
		f := newFixture(1, 10)
		f.registerWorkers()
		renewed, unrenewed, losses := f.serve(tick * time.Millisecond)
		t.Logf("tick every %d ms: %.2f heartbeats a second and worker, %.2f without the store", tick, float64(renewed)/100, float64(unrenewed)/250)
		is.True(unrenewed <= 10*int(25*time.Second/(least*time.Millisecond)+1))
		is.Equal(losses, 0)
	}
}
