package fleet_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
)

// reloads is a harness whose current owner loads the stored state beside its scheduler, forgets
// ended jobs and deletes their rows, and receives messages about jobs that have been stored
// before. Rows are read, and deleted, some time before their readers act on them.
type reloads struct {
	*harness
	// load is the load in flight, or nil.
	load *loadBeside
	// later holds what happens at a time.
	later []laterEvent
	// completedAt is when the end of a job was first seen stored.
	completedAt map[core.JobID]time.Time
	// read counts the loads that have been applied, forgotten the jobs that have been
	// forgotten, repeated the messages about them.
	read, forgotten, repeated int
}

// loadBeside is a load of an owner that has begun at began. Its progress is read at progressAt.
type loadBeside struct {
	owner                     *simOwner
	began, progressAt, doneAt time.Time
	specs                     []jobs.Spec
	parked                    []fleet.Stub
	progress                  map[core.JobID]jobs.Progress
}

type laterEvent struct {
	at time.Time
	do func()
}

// afterDelay calls f after a random time of at most limit.
func (r *reloads) afterDelay(limit time.Duration, f func()) {
	r.later = append(r.later, laterEvent{r.now.Add(time.Duration(r.rng.Int64N(int64(limit)))), f})
}

func (r *reloads) step() {
	due := []laterEvent{}
	r.later = slices.DeleteFunc(r.later, func(e laterEvent) bool {
		if e.at.After(r.now) {
			return false
		}
		due = append(due, e)
		return true
	})
	for _, e := range due {
		e.do()
	}
	r.stepLoad()
	r.forgetEnded()
	r.repeatMessages()
	r.tick()
	for id, p := range r.storedProgress {
		if _, ok := r.completedAt[id]; p.State.Final() && !ok {
			r.completedAt[id] = r.now
		}
	}
}

// stepLoad begins, goes on with, or ends a load. While it runs, the owner reads no feed.
func (r *reloads) stepLoad() {
	if r.load == nil {
		if o := r.currentOwner(); !o.stopped && r.rng.IntN(60) == 0 {
			specs, parked := r.loadJobs()
			r.load = &loadBeside{owner: o, began: r.now, specs: specs, parked: parked}
			r.load.progressAt = r.now.Add(time.Duration(r.rng.IntN(1500)) * time.Millisecond)
			r.load.doneAt = r.load.progressAt.Add(time.Duration(r.rng.IntN(1500)) * time.Millisecond)
			r.feedPaused = true
		}
		return
	}
	l := r.load
	if l.progress == nil && !r.now.Before(l.progressAt) {
		l.progress = maps.Clone(r.storedProgress)
	}
	if r.now.Before(l.doneAt) || l.progress == nil {
		return
	}
	r.load, r.feedPaused = nil, false
	if l.owner != r.currentOwner() || l.owner.stopped {
		return
	}
	r.read++
	for i, stub := range l.parked {
		p, started := l.progress[stub.ID]
		l.parked[i].Started, l.parked[i].Ended = started, p.State.Final()
	}
	s := l.owner.scheduler
	s.Load(r.nowOf(l.owner), l.specs, l.progress)
	s.Park(r.nowOf(l.owner), l.parked)
	s.JobsRead(l.began.Add(l.owner.skew))
}

// forgetEnded deletes the rows of ended jobs: first the job, then, by its owner alone, the
// progress.
func (r *reloads) forgetEnded() {
	o := r.currentOwner()
	if o.stopped || r.rng.IntN(10) > 0 {
		return
	}
	ids := o.scheduler.ForgetExpired(r.nowOf(o), 300*time.Millisecond, 3)
	r.forgotten += len(ids)
	for _, id := range ids {
		r.afterDelay(400*time.Millisecond, func() {
			r.storedSpecs = slices.DeleteFunc(r.storedSpecs, func(spec jobs.Spec) bool { return spec.ID == id })
			r.deleted.Add(id)
			r.afterDelay(50*time.Millisecond, func() {
				if o.stopped {
					return
				}
				o.scheduler.RowsDeleted(r.nowOf(o), []core.JobID{id})
				r.afterDelay(400*time.Millisecond, func() {
					if o == r.currentOwner() && !o.stopped {
						delete(r.storedProgress, id)
					}
				})
			})
		})
	}
}

// repeatMessages lets a VM find a job that is stored and tell the current owner.
func (r *reloads) repeatMessages() {
	if len(r.storedSpecs) == 0 || r.rng.IntN(10) > 0 {
		return
	}
	spec := r.storedSpecs[r.rng.IntN(len(r.storedSpecs))]
	r.afterDelay(500*time.Millisecond, func() {
		if o := r.currentOwner(); !o.stopped {
			if _, known := o.scheduler.State(spec.ID); !known {
				r.repeated++
			}
			o.scheduler.Accept(r.nowOf(o), spec)
			o.stopped = o.scheduler.LaterEpoch() > 0
		}
	})
}

// checkEndedOnce fails the test if a task has started after the end of its job was stored.
func (r *reloads) checkEndedOnce() {
	r.t.Helper()
	for _, w := range r.workers {
		for _, s := range w.Log {
			if at, ok := r.completedAt[s.Task.Job]; ok && s.At.After(at) {
				r.t.Fatalf("run %d of %s started on %s at %s, after the end of its job was stored at %s", s.Run, s.Task, w.Info.ID(), s.At.Sub(startTime), at.Sub(startTime))
			}
		}
	}
}

// TestRandomReloads simulates owners that load the stored state again beside their scheduler,
// park, forget and delete jobs, and hear again of old ones, with the faults of
// TestRandomRepeats. Each case has its own random seed.
func TestRandomReloads(t *testing.T) {
	t.Parallel()
	read, forgotten, repeatedCount := 0, 0, 0
	for seed := range *repeatSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			r := &reloads{harness: newHarness(t, seed, 4, core.Resources{}), completedAt: map[core.JobID]time.Time{}}
			r.maxSkew, r.deleted = 2*time.Second, core.Set[core.JobID]{}
			if seed%2 == 0 {
				r.memory = 120 << 10
				r.currentOwner().scheduler.SetLimits(fleet.Limits{Lease: leaseDuration, ListTimeout: 4500 * time.Millisecond, RemoteFactor: 1, Memory: r.memory})
			}
			r.cutLists(seed)
			r.lossRate, r.delayRate = 0.05*r.rng.Float64(), r.rng.Float64()
			const jobCount, faultyTicks, calmTicks = 20, 900, 20_000
			for i := range faultyTicks {
				if i%40 == 0 && i/40 < jobCount {
					r.submit(r.randomRepeatedJob(i / 40))
				}
				r.injectFault()
				r.step()
			}
			r.endFaults()
			for i := 0; i < calmTicks && r.completedJobs() < jobCount; i++ {
				r.step()
			}
			r.checkNotEarly()
			r.checkEndedOnce()
			r.checkCompleted(is, jobCount)
			read, forgotten, repeatedCount = read+r.read, forgotten+r.forgotten, repeatedCount+r.repeated
		})
	}
	t.Logf("%d loads, %d jobs forgotten, %d messages about them", read, forgotten, repeatedCount)
	is.New(t).True(read > 0 && forgotten > 0 && repeatedCount > 0)
}
