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
	chaosSeed     = flag.Uint64("seed", 1, "seed of the random faults in TestChaos")
	chaosDuration = flag.Duration("for", 12*time.Second, "duration of TestChaos")
)

// fault is a failure that a test injects and later clears.
type fault struct {
	name          string
	inject, clear func()
}

// randomFault returns a fault of a random kind on a random process or link.
func (f *fleet) randomFault(rng *rand.Rand) fault {
	entries := append(append([]*entry{}, f.gates...), f.scheds...)
	anyEntry := entries[rng.IntN(len(entries))]
	sched := f.scheds[rng.IntN(len(f.scheds))]
	workerIndex := rng.IntN(len(f.workers))
	target := fmt.Sprintf("target%d", rng.IntN(len(f.targets)))
	setLink := func(p *fakes.Proxy, l fakes.LinkFaults) func() { return func() { _ = p.SetFaults(l) } }
	workerLink := f.proxies[f.workers[workerIndex].name]
	faults := []fault{
		{"kill " + anyEntry.name, anyEntry.kill, anyEntry.start},
		{"kill " + sched.name, sched.kill, sched.start},
		{"pause " + anyEntry.name, anyEntry.pause, anyEntry.resume},
		{"pause " + sched.name, sched.pause, sched.resume},
		{"cut the store from " + anyEntry.name, setLink(anyEntry.storeProxy, fakes.LinkFaults{Cut: true}), setLink(anyEntry.storeProxy, fakes.LinkFaults{})},
		{"no store replies to " + sched.name, setLink(sched.storeProxy, fakes.LinkFaults{CutDown: true}), setLink(sched.storeProxy, fakes.LinkFaults{})},
		{"cut peers from " + sched.name, setLink(sched.peerProxy, fakes.LinkFaults{Cut: true}), setLink(sched.peerProxy, fakes.LinkFaults{})},
		{"store down", func() { _ = f.setPlatformFaults(fakes.PlatformFaults{Down: true}) }, func() { _ = f.setPlatformFaults(fakes.PlatformFaults{}) }},
		{"store slow", func() { _ = f.setPlatformFaults(fakes.PlatformFaults{Delay: "300ms"}) }, func() { _ = f.setPlatformFaults(fakes.PlatformFaults{}) }},
		{"store loses replies", func() { _ = f.setPlatformFaults(fakes.PlatformFaults{LostReplies: 20}) }, func() { _ = f.setPlatformFaults(fakes.PlatformFaults{}) }},
		{"pause " + f.workers[workerIndex].name, f.workers[workerIndex].pause, f.workers[workerIndex].resume},
		{"cut " + f.workers[workerIndex].name, setLink(workerLink, fakes.LinkFaults{Cut: true}), setLink(workerLink, fakes.LinkFaults{})},
		{"no replies of " + f.workers[workerIndex].name, setLink(workerLink, fakes.LinkFaults{CutDown: true}), setLink(workerLink, fakes.LinkFaults{})},
		{"fail all on " + f.workers[workerIndex].name, func() { _ = f.setWorkerFaults(workerIndex, fakes.WorkerFaults{FailAll: true}) }, func() { _ = f.setWorkerFaults(workerIndex, fakes.WorkerFaults{}) }},
		{"truncate " + target, setLink(f.proxies[target], fakes.LinkFaults{Truncate: 40}), setLink(f.proxies[target], fakes.LinkFaults{})},
		{"cut " + target, setLink(f.proxies[target], fakes.LinkFaults{Cut: true}), setLink(f.proxies[target], fakes.LinkFaults{})},
	}
	return faults[rng.IntN(len(faults))]
}

// TestChaos injects random faults, two at a time, under load, and then checks all
// invariants. For a longer run, use -seed N -for 10m.
func TestChaos(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(*chaosSeed, 0))
	f := newFleet(t, smallPlan(deploy.Glaze()))
	load := batchLoad(*chaosDuration)
	load.Seed = *chaosSeed
	load.Requests = requestLoad(*chaosDuration).Requests
	d := f.openDriver()
	done := make(chan error, 1)
	began := time.Now()
	go func() { done <- d.SendWorkload(context.Background(), load) }()
	for time.Since(began) < *chaosDuration-2*time.Second {
		first, second := f.randomFault(rng), f.randomFault(rng)
		t.Logf("%s: %s; %s", time.Since(began).Round(100*ms), first.name, second.name)
		first.inject()
		sleep(time.Duration(300+rng.IntN(1200)) * ms)
		if second.name == first.name {
			second = fault{"nothing", func() {}, func() {}}
		}
		second.inject()
		sleep(time.Duration(500+rng.IntN(2500)) * ms)
		first.clear()
		sleep(time.Duration(rng.IntN(500)) * ms)
		second.clear()
		f.restoreProcesses()
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if err := d.WaitJobs(context.Background()); err != nil {
		t.Error(err)
	}
	f.checkInvariants(d)
	f.checkNotExecuted(d)
	logResults(t, d)
}

// restoreProcesses starts or resumes every gate and sched that is still down: when
// two faults hit the same process, clearing both can leave it killed or paused.
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

// logResults logs how many requests had each outcome.
func logResults(t *testing.T, d *demo.Driver) {
	t.Helper()
	counts := map[string]int{}
	for _, res := range d.Results() {
		counts[fmt.Sprintf("%d run=%s %s", res.Status, res.Execution, res.Code)]++
	}
	t.Logf("requests: %v", counts)
}
