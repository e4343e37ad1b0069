package proof_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chicoryturn/io/demo"
	"chicoryturn/io/deploy"
	"chicoryturn/io/fakes"
)

var (
	chaosSeed     = flag.Uint64("seed", 1, "seed of the random failure run")
	chaosDuration = flag.Duration("for", 12*time.Second, "length of the random failure run")
)

// fault is one thing that goes wrong for a while.
type fault struct {
	name          string
	inject, clear func()
}

// randomFault draws a fault of a random kind in a random place.
func (f *fleet) randomFault(rng *rand.Rand) fault {
	entries := append(append([]*entry{}, f.gates...), f.scheds...)
	e := entries[rng.IntN(len(entries))]
	s := f.scheds[rng.IntN(len(f.scheds))]
	w := rng.IntN(len(f.workers))
	target := fmt.Sprintf("target%d", rng.IntN(len(f.targets)))
	set := func(p *fakes.Proxy, l fakes.LinkFaults) func() { return func() { _ = p.Set(l) } }
	wl := f.proxies[f.workers[w].name]
	list := []fault{
		{"kill " + e.name, e.kill, e.start},
		{"kill " + s.name, s.kill, s.start},
		{"pause " + e.name, e.pause, e.resume},
		{"pause " + s.name, s.pause, s.resume},
		{"cut the store from " + e.name, set(e.storeProxy, fakes.LinkFaults{Cut: true}), set(e.storeProxy, fakes.LinkFaults{})},
		{"no store replies to " + s.name, set(s.storeProxy, fakes.LinkFaults{Down: true}), set(s.storeProxy, fakes.LinkFaults{})},
		{"cut peers from " + s.name, set(s.peerProxy, fakes.LinkFaults{Cut: true}), set(s.peerProxy, fakes.LinkFaults{})},
		{"store down", func() { _ = f.setPlatformFaults(fakes.PlatformFaults{Down: true}) }, func() { _ = f.setPlatformFaults(fakes.PlatformFaults{}) }},
		{"store slow", func() { _ = f.setPlatformFaults(fakes.PlatformFaults{Delay: "300ms"}) }, func() { _ = f.setPlatformFaults(fakes.PlatformFaults{}) }},
		{"store loses replies", func() { _ = f.setPlatformFaults(fakes.PlatformFaults{Lose: 20}) }, func() { _ = f.setPlatformFaults(fakes.PlatformFaults{}) }},
		{"pause " + f.workers[w].name, f.workers[w].pause, f.workers[w].resume},
		{"cut " + f.workers[w].name, set(wl, fakes.LinkFaults{Cut: true}), set(wl, fakes.LinkFaults{})},
		{"no replies of " + f.workers[w].name, set(wl, fakes.LinkFaults{Down: true}), set(wl, fakes.LinkFaults{})},
		{"fail all on " + f.workers[w].name, func() { _ = f.setWorkerFaults(w, fakes.WorkerFaults{FailAll: true}) }, func() { _ = f.setWorkerFaults(w, fakes.WorkerFaults{}) }},
		{"truncate " + target, set(f.proxies[target], fakes.LinkFaults{Truncate: 40}), set(f.proxies[target], fakes.LinkFaults{})},
		{"cut " + target, set(f.proxies[target], fakes.LinkFaults{Cut: true}), set(f.proxies[target], fakes.LinkFaults{})},
	}
	return list[rng.IntN(len(list))]
}

// TestChaos mixes all faults at random, two at a time, then checks every
// invariant. Run longer ones with -seed N -for 10m.
func TestChaos(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(*chaosSeed, 0))
	f := newFleet(t, smallPlan(deploy.Glaze()))
	l := batchLoad(*chaosDuration)
	l.Seed = *chaosSeed
	l.Calls = requestLoad(*chaosDuration).Calls
	r := f.openRun()
	done := make(chan error, 1)
	began := time.Now()
	go func() { done <- r.Submit(context.Background(), l) }()
	for time.Since(began) < *chaosDuration-2*time.Second {
		a, b := f.randomFault(rng), f.randomFault(rng)
		t.Logf("%s: %s; %s", time.Since(began).Round(100*ms), a.name, b.name)
		a.inject()
		sleep(time.Duration(300+rng.IntN(1200)) * ms)
		if b.name == a.name {
			b = fault{"nothing", func() {}, func() {}}
		}
		b.inject()
		sleep(time.Duration(500+rng.IntN(2500)) * ms)
		a.clear()
		sleep(time.Duration(rng.IntN(500)) * ms)
		b.clear()
		f.restoreProcesses()
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if err := r.WaitJobs(context.Background()); err != nil {
		t.Error(err)
	}
	f.checkInvariants(r)
	f.checkNotExecuted(r)
	logResults(t, r)
}

// restoreProcesses starts what two overlapping faults have left dead.
func (f *fleet) restoreProcesses() {
	for _, e := range append(append([]*entry{}, f.gates...), f.scheds...) {
		select {
		case <-e.done:
			e.start()
		default:
			e.resume()
		}
	}
}

// logResults logs what became of the requests.
func logResults(t *testing.T, r *demo.Run) {
	t.Helper()
	count := map[string]int{}
	for _, res := range r.Results() {
		count[fmt.Sprintf("%d run=%s %s", res.Status, res.Run, res.Code)]++
	}
	t.Logf("requests: %v", count)
}
