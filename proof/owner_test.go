package proof_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/io/demo"
	"chicoryturn/io/deploy"
	"chicoryturn/io/fakes"
	"chicoryturn/io/sched"
)

// ownedCell is a sched that owns a cell, with the cell's epoch.
type ownedCell struct {
	entry *entry
	epoch uint64
}

// cellOwner returns the sched that owns the region's only cell.
func (f *fleet) cellOwner() (ownedCell, error) {
	var found []ownedCell
	for _, s := range f.scheds {
		var d sched.Dump
		if err := getJSONWith(shortTimeoutClient, s.ops, "/dump", &d); err != nil {
			continue
		}
		for _, c := range d.Cells {
			found = append(found, ownedCell{s, uint64(c.Load.Epoch)})
		}
	}
	if len(found) != 1 {
		return ownedCell{}, fmt.Errorf("%d owners", len(found))
	}
	return found[0], nil
}

func (f *fleet) awaitOwner(after uint64) ownedCell {
	f.t.Helper()
	var o ownedCell
	f.eventually(fmt.Sprintf("a cell has an owner after epoch %d", after), func() error {
		var err error
		if o, err = f.cellOwner(); err == nil && o.epoch <= after {
			err = fmt.Errorf("still epoch %d", o.epoch)
		}
		return err
	})
	return o
}

// batchLoad offers batch work for a time.
func batchLoad(d time.Duration) demo.Workload {
	return demo.Workload{Duration: d, Seed: 7, Jobs: []demo.JobStream{
		{Queue: "cure", Team: "foundry", Every: 250 * ms, Count: 8, Cores: 4, Memory: 2048, Run: 600 * ms, EstimateError: 4},
		{Queue: "sweep", Team: "pewter", Every: 250 * ms, Count: 8, Cores: 2, Memory: 1024, Run: 300 * ms, EstimateError: 4},
	}}
}

// runWithFaults drives a load while faults are made, then checks every invariant.
func (f *fleet) runWithFaults(l demo.Workload, faults func()) *demo.Run {
	f.t.Helper()
	r := f.openRun()
	done := make(chan error, 1)
	go func() { done <- r.RunWorkload(context.Background(), l) }()
	sleep(500 * ms)
	faults()
	if err := <-done; err != nil {
		f.t.Error(err)
	}
	f.checkInvariants(r)
	return r
}

// sleep lets a fault last; no verdict depends on it.
func sleep(d time.Duration) { <-time.After(d) }

// TestTakeover proves that a cell finds a new owner and that no task is lost
// or doubled, whatever has become of the old one.
func TestTakeover(t *testing.T) {
	tests := map[string]struct {
		fail, mend func(o *entry)
		// stays is set when the owner is expected to keep the cell.
		stays bool
	}{
		"killed": {fail: func(o *entry) { o.kill() }, mend: func(o *entry) { o.start() }},
		"paused": {fail: func(o *entry) { o.pause() }, mend: func(o *entry) { o.resume() }},
		"cut from the store": {
			fail: func(o *entry) { _ = o.storeProxy.Set(fakes.LinkFaults{Cut: true}) },
			mend: func(o *entry) { _ = o.storeProxy.Set(fakes.LinkFaults{}) },
		},
		"no replies from the store": {
			fail: func(o *entry) { _ = o.storeProxy.Set(fakes.LinkFaults{Down: true}) },
			mend: func(o *entry) { _ = o.storeProxy.Set(fakes.LinkFaults{}) },
		},
		"cut from store and peers": {
			fail: func(o *entry) {
				_ = o.storeProxy.Set(fakes.LinkFaults{Cut: true})
				_ = o.peerProxy.Set(fakes.LinkFaults{Cut: true})
			},
			mend: func(o *entry) {
				_ = o.storeProxy.Set(fakes.LinkFaults{})
				_ = o.peerProxy.Set(fakes.LinkFaults{})
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, smallPlan(deploy.Glaze()))
			f.runWithFaults(batchLoad(8*time.Second), func() {
				o := f.awaitOwner(0)
				began := time.Now()
				tt.fail(o.entry)
				next := f.awaitOwner(o.epoch)
				t.Logf("%s: a new owner decides after %s", name, time.Since(began).Round(10*ms))
				if next.entry == o.entry {
					t.Error("the failed owner has the cell again")
				}
				sleep(time.Second)
				tt.mend(o.entry)
			})
		})
	}
}

// TestStoreOutage proves that owners go on deciding while nobody reaches the
// store, and that kills before, during and after the outage do no harm.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	outage := 60 * time.Second
	if testing.Short() {
		outage = 10 * time.Second
	}
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()), directPeers)
	r := f.openRun()
	ctx := context.Background()
	o := f.awaitOwner(0)
	// Killed before: its session has not lapsed when the outage begins.
	bystander := f.scheds[0]
	if bystander == o.entry {
		bystander = f.scheds[1]
	}
	// Work for the whole outage is accepted before it.
	long := demo.Workload{Duration: 100 * ms, Seed: 3, Jobs: []demo.JobStream{
		{Queue: "cure", Team: "foundry", Every: time.Second, Count: 15 * int(outage/time.Second), Cores: 8, Memory: 1024, Run: time.Second},
	}}
	is.NoErr(r.Submit(ctx, long))
	bystander.kill()
	is.NoErr(f.setPlatformFaults(fakes.PlatformFaults{Down: true}))
	before := countStarts(f)
	sleep(outage / 2)
	middle := countStarts(f)
	f.gates[2].kill()
	sleep(outage / 2)
	after := countStarts(f)
	is.NoErr(f.setPlatformFaults(fakes.PlatformFaults{}))
	t.Logf("starts: %d before, %d in the first half, %d in the second", before, middle-before, after-middle)
	is.True(middle > before) // tasks start while the store is down
	is.True(after > middle)  // and go on starting
	now, err := f.cellOwner()
	is.NoErr(err)
	is.Equal(now.entry, o.entry) // the owner kept its cell
	o.entry.kill()
	f.awaitOwner(o.epoch)
	is.NoErr(r.WaitJobs(ctx))
	f.checkInvariants(r)
}

func countStarts(f *fleet) int {
	n := 0
	for _, w := range f.WorkerRecords() {
		for _, e := range w.Records {
			if e.Event == "start" {
				n++
			}
		}
	}
	return n
}

// TestTakeoverWithUnreachableWorker proves that a new owner starts no task again
// that may still run on a worker that is cut off.
func TestTakeoverWithUnreachableWorker(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallPlan(deploy.Glaze()), longWorkerLeases)
	l := demo.Workload{Duration: 3 * time.Second, Seed: 4, Jobs: []demo.JobStream{
		{Queue: "cure", Team: "foundry", Every: 800 * ms, Count: 10, Cores: 2, Memory: 256, Run: 8 * time.Second},
	}}
	f.runWithFaults(l, func() {
		o := f.awaitOwner(0)
		sleep(500 * ms)
		for _, w := range []string{"worker0", "worker1"} {
			_ = f.proxies[w].Set(fakes.LinkFaults{Cut: true})
		}
		o.entry.kill()
		f.awaitOwner(o.epoch)
		sleep(8 * time.Second)
		for _, w := range []string{"worker0", "worker1"} {
			_ = f.proxies[w].Set(fakes.LinkFaults{})
		}
	})
}
