package fleet_test

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
