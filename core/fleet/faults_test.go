package fleet_test

import (
	"chicoryturn/core/jobs"
)

// injectFault injects a fault of a worker or a change of owner in one of about 40 ticks.
func (h *harness) injectFault() {
	w := h.workers[h.rng.IntN(len(h.workers))]
	switch h.rng.IntN(400) {
	case 0:
		w.Crash(h.now)
	case 1:
		if !w.Up {
			w.Restart(h.now)
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
			w.Restart(h.now)
		}
	}
}

func (h *harness) endFaults() {
	h.lossRate = 0
	for _, w := range h.workers {
		w.Unreachable = false
		if !w.Up {
			w.Restart(h.now)
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
