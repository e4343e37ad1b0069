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
	chaosSeed = flag.Uint64("seed", 1, "seed of the random failure run")
	chaosFor  = flag.Duration("for", 12*time.Second, "length of the random failure run")
)

// fault is one thing that goes wrong for a while.
type fault struct {
	name       string
	fail, mend func()
}

// pick draws a fault of a random kind in a random place.
func (f *fleet) pick(rng *rand.Rand) fault {
	entries := append(append([]*entry{}, f.gates...), f.scheds...)
	e := entries[rng.IntN(len(entries))]
	s := f.scheds[rng.IntN(len(f.scheds))]
	w := rng.IntN(len(f.workers))
	target := fmt.Sprintf("target%d", rng.IntN(len(f.targets)))
	set := func(p *fakes.Proxy, l fakes.LinkFaults) func() { return func() { _ = p.Set(l) } }
	wl := f.links[f.workers[w].name]
	list := []fault{
		{"kill " + e.name, e.kill, e.run},
		{"kill " + s.name, s.kill, s.run},
		{"pause " + e.name, e.pause, e.resume},
		{"pause " + s.name, s.pause, s.resume},
		{"cut the store from " + e.name, set(e.toStore, fakes.LinkFaults{Cut: true}), set(e.toStore, fakes.LinkFaults{})},
		{"no store replies to " + s.name, set(s.toStore, fakes.LinkFaults{Down: true}), set(s.toStore, fakes.LinkFaults{})},
		{"cut peers from " + s.name, set(s.toPeers, fakes.LinkFaults{Cut: true}), set(s.toPeers, fakes.LinkFaults{})},
		{"store down", func() { _ = f.faults(fakes.PlatformFaults{Down: true}) }, func() { _ = f.faults(fakes.PlatformFaults{}) }},
		{"store slow", func() { _ = f.faults(fakes.PlatformFaults{Delay: "300ms"}) }, func() { _ = f.faults(fakes.PlatformFaults{}) }},
		{"store loses replies", func() { _ = f.faults(fakes.PlatformFaults{Lose: 20}) }, func() { _ = f.faults(fakes.PlatformFaults{}) }},
		{"pause " + f.workers[w].name, f.workers[w].pause, f.workers[w].resume},
		{"cut " + f.workers[w].name, set(wl, fakes.LinkFaults{Cut: true}), set(wl, fakes.LinkFaults{})},
		{"no replies of " + f.workers[w].name, set(wl, fakes.LinkFaults{Down: true}), set(wl, fakes.LinkFaults{})},
		{"fail all on " + f.workers[w].name, func() { _ = f.habit(w, fakes.WorkerFaults{FailAll: true}) }, func() { _ = f.habit(w, fakes.WorkerFaults{}) }},
		{"truncate " + target, set(f.links[target], fakes.LinkFaults{Truncate: 40}), set(f.links[target], fakes.LinkFaults{})},
		{"cut " + target, set(f.links[target], fakes.LinkFaults{Cut: true}), set(f.links[target], fakes.LinkFaults{})},
	}
	return list[rng.IntN(len(list))]
}

// TestChaos mixes all faults at random, two at a time, then checks every
// invariant. Run longer ones with -seed N -for 10m.
func TestChaos(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(*chaosSeed, 0))
	f := newFleet(t, small(deploy.Glaze()))
	l := steady(*chaosFor)
	l.Seed = *chaosSeed
	l.Calls = requests(*chaosFor).Calls
	r := f.open()
	done := make(chan error, 1)
	began := time.Now()
	go func() { done <- r.Submit(context.Background(), l) }()
	for time.Since(began) < *chaosFor-2*time.Second {
		a, b := f.pick(rng), f.pick(rng)
		t.Logf("%s: %s; %s", time.Since(began).Round(100*ms), a.name, b.name)
		a.fail()
		wait(time.Duration(300+rng.IntN(1200)) * ms)
		if b.name == a.name {
			b = fault{"nothing", func() {}, func() {}}
		}
		b.fail()
		wait(time.Duration(500+rng.IntN(2500)) * ms)
		a.mend()
		wait(time.Duration(rng.IntN(500)) * ms)
		b.mend()
		f.revive()
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if err := r.WaitJobs(context.Background()); err != nil {
		t.Error(err)
	}
	f.check(r)
	f.truth(r)
	report(t, r)
}

// revive starts what two overlapping faults have left dead.
func (f *fleet) revive() {
	for _, e := range append(append([]*entry{}, f.gates...), f.scheds...) {
		select {
		case <-e.done:
			e.run()
		default:
			e.resume()
		}
	}
}

// report logs what became of the requests.
func report(t *testing.T, r *demo.Run) {
	t.Helper()
	count := map[string]int{}
	for _, res := range r.Results() {
		count[fmt.Sprintf("%d run=%s %s", res.Status, res.Run, res.Code)]++
	}
	t.Logf("requests: %v", count)
}
