package fleet_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
	"chicoryturn/core/model"
)

// injectFault injects a fault of a worker or a change of owner in one of about 40 ticks.
func (h *harness) injectFault() {
	w := h.workers[h.rng.IntN(len(h.workers))]
	switch h.rng.IntN(400) {
	case 0:
		w.Crash(h.now)
	case 1:
		if !w.Up {
			h.restart(w)
		}
	case 2:
		w.Unreachable = true
	case 3, 4:
		w.Unreachable = false
	case 5:
		// The owner is replaced and does not know it.
		h.addOwner()
	case 6:
		// The owner stops and is replaced.
		h.currentOwner().stopped = true
		h.addOwner()
	case 7, 8, 9:
		// The worker restarts so quickly that no list shows it.
		if w.Up {
			h.restart(w)
		}
	}
}

// restart starts a new incarnation of a worker, of the next kind if the worker has several.
func (h *harness) restart(w *model.Worker) {
	if kinds := h.kinds[w]; len(kinds) > 0 {
		next := (slices.Index(kinds, w.Info.Labels[0]) + 1) % len(kinds)
		w.Info.Labels = []string{kinds[next]}
	}
	w.Restart(h.now)
}

func (h *harness) endFaults() {
	h.lossRate = 0
	for _, w := range h.workers {
		w.Unreachable = false
		if !w.Up {
			h.restart(w)
		}
	}
	if h.currentOwner().stopped {
		h.addOwner()
	}
}

// playFaults plays lost and late orders, crashes, unreachable workers, and owners that go on
// after they have been replaced, until all of it has long been over. It calls each in each tick,
// with the next job now and then, else with nil.
func (h *harness) playFaults(seed uint64, jobCount int, each func(tick int, next *jobs.Spec)) {
	h.cutLists(seed)
	h.lossRate, h.delayRate = 0.05*h.rng.Float64(), h.rng.Float64()
	const faultyTicks, calmTicks = 700, 3500
	for i := range faultyTicks {
		var next *jobs.Spec
		if i%28 == 0 && i/28 < jobCount {
			spec := h.randomJob(i / 28)
			next = &spec
		}
		each(i, next)
		h.injectFault()
		h.tick()
	}
	h.endFaults()
	for range calmTicks {
		h.tick()
	}
}

// checkStates checks the stored state of each job.
func (h *harness) checkStates(want func(spec jobs.Spec, state jobs.State) bool) {
	h.t.Helper()
	for id, spec := range h.specs {
		if state := h.storedProgress[id].State; !want(spec, state) {
			h.logState()
			h.t.Errorf("job %s is %q", id, state)
		}
	}
}

// TestRandomKinds guards against tasks that start on an incarnation of a worker without their label,
// in plays of playFaults in which two of six workers change their kind with each restart.
func TestRandomKinds(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, seed, 6, core.Resources{})
			kinds := []string{"a", "b"}
			h.kinds = map[*model.Worker][]string{h.workers[4]: kinds, h.workers[5]: kinds}
			for i, w := range h.workers {
				w.Info.Labels = []string{kinds[i%2]}
			}
			const jobCount = 25
			h.playFaults(seed, jobCount, func(tick int, next *jobs.Spec) {
				if next == nil {
					return
				}
				for i := range next.Phases {
					next.Phases[i].Label = append(kinds, "")[(tick+i)%3]
				}
				h.submit(*next)
			})
			for _, w := range h.workers {
				for _, r := range w.Log {
					label := h.specs[r.Task.Job].Phases[r.Task.Phase].Label
					if label != "" && !slices.Contains(r.Labels, label) {
						t.Errorf("ROUTE: run %d of %s, which needs the label %s, started on %s of kind %v at %s", r.Run, r.Task, label, r.Worker, r.Labels, r.At.Sub(startTime))
					}
				}
			}
			h.checkCompleted(is, jobCount)
		})
	}
}
