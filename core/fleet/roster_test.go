package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
)

// silence keeps one worker from answering for a while; the other workers answer.
func (f *fixture) silence(w core.WorkerID, d time.Duration) {
	var answering []fleet.WorkerInfo
	f.HeartbeatFailed(f.now, w)
	for _, other := range f.workers {
		if other.ID() != w {
			answering = append(answering, other)
			f.heartbeat(other, nil, nil)
		}
	}
	for end := f.now.Add(d); f.now.Before(end); f.advance(100 * time.Millisecond) {
		f.starts(f.workers, answering)
	}
}

// TestSilentWorkerHoldsItsTasksOnly guards against one worker, lost before a change of
// owner, that holds up the recovered tasks of the whole fleet: its entry in the roster
// names the tasks that may run there, and a new owner starts all others at once.
func TestSilentWorkerHoldsItsTasksOnly(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 2)
	s := f.startTask()
	f.silence(s.Worker, 800*time.Millisecond)
	for _, e := range f.roster() {
		is.True(!e.Silent)
	}
	f.silence(s.Worker, 600*time.Millisecond)
	for _, e := range f.roster() {
		is.Equal(e.Silent, e.ID() == s.Worker)
		is.Equal(len(e.Runs), map[bool]int{true: 1}[e.Silent])
	}

	stored := f.roster()
	f.Scheduler = newScheduler(f.now, 2)
	f.RestoreRoster(stored)
	f.Load(f.now, []jobs.Spec{newJob("j", 1, false), newJob("k", 2, false)}, nil)
	var other []fleet.WorkerInfo
	for _, w := range f.workers {
		if w.ID() != s.Worker {
			other = append(other, w)
		}
	}
	began := f.now
	started := map[core.JobID]time.Duration{}
	for ; f.now.Sub(began) < maxEarlierLease+500*time.Millisecond; f.advance(100 * time.Millisecond) {
		for _, o := range f.starts(f.workers, other) {
			started[o.Task.Job] = f.now.Sub(began)
		}
	}
	is.True(started["k"] <= 100*time.Millisecond)
	is.True(started["j"] >= 6*time.Second*100/98)
}

// TestAccountNeedsRecordedEnds checks that a silent worker's entry names no tasks while an
// end that it has listed is not recorded: a new owner must learn of that end from the worker.
func TestAccountNeedsRecordedEnds(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 2)
	s := f.startTask()
	f.advance(100 * time.Millisecond)
	f.heartbeat(s.Info, nil, doneEnd(1, s))
	is.Equal(len(f.Batch()), 1) // in flight
	f.silence(s.Worker, 2*time.Second)
	for _, e := range f.roster() {
		is.True(!e.Silent)
	}
	f.BatchStored(f.now)
	f.silence(s.Worker, 200*time.Millisecond)
	for _, e := range f.roster() {
		is.Equal(e.Silent, e.ID() == s.Worker)
	}
}

// TestAccountEnds checks that a worker which answers again gets no tasks until a roster is
// stored that no longer names its runs.
func TestAccountEnds(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.registerWorkers()
	w := f.workers[0]
	f.silence(w.ID(), 1500*time.Millisecond)
	is.True(f.roster()[0].Silent)
	named, version := f.Roster()
	f.heartbeat(w, nil, nil)
	is.True(!f.roster()[0].Silent)
	f.Accept(f.now, newJob("j", 1, false))
	f.RosterStored(named, version)
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
	f.RosterStored(f.Roster())
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 1)
}

// TestAccountIsBounded checks that a silent worker with more tasks than a row of the roster
// can name has an entry that names none, so that a later owner holds back all tasks for it.
func TestAccountIsBounded(t *testing.T) {
	for count, named := range map[int]bool{10: true, 40: false} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 1)
			f.registerWorkers()
			j := newJob("0123456789abcdef", count, false)
			j.Phases[0].Need.Cores = 100
			f.Accept(f.now, j)
			f.confirmStarts(f.nextOrders(fleet.OrderStart))
			f.silence(f.workers[0].ID(), 1500*time.Millisecond)
			is.Equal(f.roster()[0].Silent, named)
		})
	}
}

// TestUnknownRoster checks an owner that cannot read all of the stored roster, which an
// earlier build may have written: it waits for the longest lease, and not for ever.
func TestUnknownRoster(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 1)
	f.Scheduler = fleet.New(f.now, 2, fleet.Limits{Lease: leaseDuration, RemoteFactor: 1}, newPolicy(core.Resources{}), fleet.WithUnknownRoster(), fleet.WithReplacedAt(f.now.Add(-elect.SuspectTTL)))
	f.Load(f.now, []jobs.Spec{newJob("j", 1, false)}, nil)
	started := false
	for ; f.now.Sub(startTime) < maxEarlierLease+500*time.Millisecond; f.advance(100 * time.Millisecond) {
		if len(f.starts(f.workers, f.workers)) > 0 {
			started = true
			is.True(f.now.Sub(startTime) >= 6*time.Second*100/98)
		}
	}
	is.True(started)
}
