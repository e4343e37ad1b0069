package fleet_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
)

var repeatSeeds = flag.Uint64("repeat.seeds", 24, "number of seeds of TestRandomRepeats and TestRandomMemory")

// repeated makes a job run several times, at first after a delay.
func repeated(spec jobs.Spec, times int, delay, every time.Duration) jobs.Spec {
	spec.Repeat, spec.First, spec.Every = times, startTime.Add(delay), every
	return spec
}

// randomRepeatedJob returns a random job that runs up to five times; its occurrences may
// overlap.
func (h *harness) randomRepeatedJob(i int) jobs.Spec {
	spec := h.randomJob(i)
	if h.rng.IntN(4) > 0 {
		spec.Repeat = 1 + h.rng.IntN(5)
		spec.First = h.now.Add(time.Duration(h.rng.IntN(6000)-1000) * time.Millisecond)
		spec.Every = time.Duration(h.rng.IntN(3000)) * time.Millisecond
	}
	return spec
}

// checkNotEarly fails the test if a task has started before its occurrence was due on the
// fastest clock of an owner, or before the phases that it depends on were complete.
func (h *harness) checkNotEarly() {
	h.t.Helper()
	ends := map[jobs.TaskID]time.Time{}
	for _, w := range h.workers {
		for _, s := range w.Log {
			// A task may run again after its end if no owner has recorded that.
			if first, ok := ends[s.Task]; s.Kind == fleet.EndDone && (!ok || s.End.Before(first)) {
				ends[s.Task] = s.End
			}
		}
	}
	for _, w := range h.workers {
		for _, s := range w.Log {
			spec := h.specs[s.Task.Job]
			if due := spec.Due(s.Task.Occurrence); s.At.Before(due.Add(-h.maxSkew)) {
				h.t.Fatalf("task %s, due at %s, started at %s", s.Task, due.Sub(startTime), s.At.Sub(startTime))
			}
			for _, a := range spec.Phases[s.Task.Phase].After {
				for i := range spec.Phases[a].Count {
					before := s.Task
					before.Phase, before.Index = a, i
					if end, ok := ends[before]; !spec.Phases[a].Gang && (!ok || end.After(s.At)) {
						h.t.Fatalf("task %s started before the end of %s", s.Task, before)
					}
				}
			}
		}
	}
}

// TestRandomRepeats simulates repeated jobs under owners whose clocks differ by up to four
// seconds, with the faults of TestRandomFaults: a new owner meets runs of occurrences that
// are not due on its own clock. Each case has its own random seed.
func TestRandomRepeats(t *testing.T) {
	for seed := range *repeatSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, seed, 4, core.Resources{})
			h.cutLists(seed)
			h.maxSkew = 2 * time.Second
			h.lossRate, h.delayRate = 0.05*h.rng.Float64(), h.rng.Float64()
			const jobCount, faultyTicks, calmTicks = 15, 900, 4500
			for i := range faultyTicks {
				if i%50 == 0 && i/50 < jobCount {
					h.submit(h.randomRepeatedJob(i / 50))
				}
				h.injectFault()
				h.tick()
			}
			h.endFaults()
			for range calmTicks {
				h.tick()
			}
			h.checkNotEarly()
			h.checkCompleted(is, jobCount)
		})
	}
}

// loadJobs returns the stored jobs that a load keeps, and the stubs of the others.
func (h *harness) loadJobs() (specs []jobs.Spec, parked []fleet.Stub) {
	b := fleet.NewAcceptedBudget(2*h.memory, h.policy)
	for _, spec := range h.storedSpecs {
		if b.AdmitsOne(spec.Team, spec.Bytes()) {
			b.Charge(spec.Team, spec.Bytes())
			specs = append(specs, spec)
			continue
		}
		progress, started := h.storedProgress[spec.ID]
		stub := fleet.NewStub(&spec)
		stub.Started, stub.Ended = started, progress.State.Final()
		parked = append(parked, stub)
	}
	return specs, parked
}

// readParked reads the rows of parked jobs that an owner asks for. One read in ten fails.
func (h *harness) readParked(o *simOwner) {
	if o.parkedRead == nil {
		o.parkedRead = o.scheduler.ParkedToRead(h.nowOf(o))
		o.parkedReadAt = h.now.Add(time.Duration(10+h.rng.IntN(400)) * time.Millisecond)
		return
	}
	if h.now.Before(o.parkedReadAt) {
		return
	}
	ids := o.parkedRead
	o.parkedRead = nil
	if h.rng.IntN(10) == 0 {
		o.scheduler.ParkedRead(h.nowOf(o), ids, nil, nil, context.DeadlineExceeded)
		return
	}
	var specs []jobs.Spec
	progress := map[core.JobID]jobs.Progress{}
	for _, id := range ids {
		if h.deleted.Has(id) {
			continue
		}
		specs = append(specs, h.specs[id])
		if p, ok := h.storedProgress[id]; ok {
			progress[id] = p
		}
	}
	o.scheduler.ParkedRead(h.nowOf(o), ids, specs, progress, nil)
}

// TestRandomMemory is TestRandomRepeats with owners that have memory for few of the jobs, some
// of them wide: jobs are parked, read, and wait for memory around the same faults.
func TestRandomMemory(t *testing.T) {
	t.Parallel()
	parked := 0
	for seed := range *repeatSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, seed, 4, core.Resources{})
			h.cutLists(seed)
			h.maxSkew, h.memory = 2*time.Second, 120<<10
			h.currentOwner().scheduler.SetLimits(fleet.Limits{Lease: leaseDuration, ListTimeout: 4500 * time.Millisecond, RemoteFactor: 1, Memory: h.memory})
			h.lossRate, h.delayRate = 0.05*h.rng.Float64(), h.rng.Float64()
			const jobCount, faultyTicks, calmTicks = 20, 900, 30_000
			for i := range faultyTicks {
				if i%40 == 0 && i/40 < jobCount {
					spec := h.randomRepeatedJob(i / 40)
					if i%160 == 0 {
						spec.Phases[0].Count, spec.Phases[0].Gang = 30, false
						spec.Phases[0].Estimate /= 8
					}
					h.submit(spec)
				}
				h.injectFault()
				h.tick()
				use := h.currentOwner().scheduler.MemoryUse()
				parked = max(parked, use.Parked)
			}
			h.endFaults()
			// With memory for five tasks the work takes long, but it must end.
			for i := 0; i < calmTicks && h.completedJobs() < jobCount; i++ {
				h.tick()
			}
			h.checkNotEarly()
			h.checkCompleted(is, jobCount)
		})
	}
	is.New(t).True(parked > 0)
}
