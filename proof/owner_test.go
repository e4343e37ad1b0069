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

// ownedCell is the epoch of a cell and the sched that owns it.
type ownedCell struct {
	entry *entry
	epoch uint64
}

// cellOwner returns the owner of the region's only cell, and an error unless
// exactly one sched says that it owns it.
func (f *fleet) cellOwner() (ownedCell, error) {
	var found []ownedCell
	for _, s := range f.scheds {
		var dump sched.Dump
		if err := getWith(shortTimeoutClient, s.ops, "/dump", &dump); err != nil {
			continue
		}
		for _, cell := range dump.Cells {
			found = append(found, ownedCell{s, uint64(cell.Load.Epoch)})
		}
	}
	if len(found) != 1 {
		return ownedCell{}, fmt.Errorf("%d owners", len(found))
	}
	return found[0], nil
}

// awaitOwner waits until the cell has an owner whose epoch is later than afterEpoch.
func (f *fleet) awaitOwner(afterEpoch uint64) ownedCell {
	f.t.Helper()
	var owned ownedCell
	f.eventually(fmt.Sprintf("the cell has an owner with an epoch later than %d", afterEpoch), func() error {
		var err error
		if owned, err = f.cellOwner(); err == nil && owned.epoch <= afterEpoch {
			err = fmt.Errorf("still epoch %d", owned.epoch)
		}
		return err
	})
	return owned
}

// batchLoad submits batch jobs at a constant rate for a given time.
func batchLoad(d time.Duration) demo.Workload {
	return demo.Workload{Duration: d, Seed: 7, Jobs: []demo.JobStream{
		{Queue: "cure", Team: "foundry", Interval: 250 * ms, TasksPerJob: 8, Cores: 4, Memory: 2048, RunTime: 600 * ms, EstimateError: 4},
		{Queue: "sweep", Team: "pewter", Interval: 250 * ms, TasksPerJob: 8, Cores: 2, Memory: 1024, RunTime: 300 * ms, EstimateError: 4},
	}}
}

// runWithFaults runs a load, calls faults 500 ms after its start, waits until all
// work has ended, and checks all invariants.
func (f *fleet) runWithFaults(load demo.Workload, faults func()) *demo.Driver {
	f.t.Helper()
	d := f.openDriver()
	done := make(chan error, 1)
	go func() { done <- d.RunWorkload(context.Background(), load) }()
	sleep(500 * ms)
	faults()
	if err := <-done; err != nil {
		f.t.Error(err)
	}
	f.checkInvariants(d)
	return d
}

// sleep lets a fault last for a time. No check depends on the exact duration.
func sleep(d time.Duration) { <-time.After(d) }

// TestTakeover makes the owner of a cell fail in several ways. Another sched must
// take over the cell, and no task may be lost or run twice.
func TestTakeover(t *testing.T) {
	tests := map[string]struct {
		inject, clear func(owner *entry)
		// keepsCell is set if the owner is expected to keep the cell.
		keepsCell bool
	}{
		"killed": {inject: func(owner *entry) { owner.kill() }, clear: func(owner *entry) { owner.start() }},
		"paused": {inject: func(owner *entry) { owner.pause() }, clear: func(owner *entry) { owner.resume() }},
		"cut from the store": {
			inject: func(owner *entry) { _ = owner.storeProxy.SetFaults(fakes.LinkFaults{Cut: true}) },
			clear:  func(owner *entry) { _ = owner.storeProxy.SetFaults(fakes.LinkFaults{}) },
		},
		"no replies from the store": {
			inject: func(owner *entry) { _ = owner.storeProxy.SetFaults(fakes.LinkFaults{CutDown: true}) },
			clear:  func(owner *entry) { _ = owner.storeProxy.SetFaults(fakes.LinkFaults{}) },
		},
		"cut from store and peers": {
			inject: func(owner *entry) {
				_ = owner.storeProxy.SetFaults(fakes.LinkFaults{Cut: true})
				_ = owner.peerProxy.SetFaults(fakes.LinkFaults{Cut: true})
			},
			clear: func(owner *entry) {
				_ = owner.storeProxy.SetFaults(fakes.LinkFaults{})
				_ = owner.peerProxy.SetFaults(fakes.LinkFaults{})
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, smallPlan(deploy.Glaze()))
			f.runWithFaults(batchLoad(8*time.Second), func() {
				owner := f.awaitOwner(0)
				began := time.Now()
				tt.inject(owner.entry)
				next := f.awaitOwner(owner.epoch)
				t.Logf("%s: the cell has a new owner after %s", name, time.Since(began).Round(10*ms))
				if next.entry == owner.entry {
					t.Error("the failed owner owns the cell again")
				}
				sleep(time.Second)
				tt.clear(owner.entry)
			})
		})
	}
}

// TestStoreOutage checks that owners keep placing tasks while no process can reach
// the store, and that processes killed just before, during and after the outage
// cause no violation.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	outage := 60 * time.Second
	if testing.Short() {
		outage = 10 * time.Second
	}
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()), directPeers)
	d := f.openDriver()
	ctx := context.Background()
	owner := f.awaitOwner(0)
	// otherSched is killed just before the outage, so that its session has not yet
	// expired when the outage begins.
	otherSched := f.scheds[0]
	if otherSched == owner.entry {
		otherSched = f.scheds[1]
	}
	// The jobs are accepted before the outage and last for all of it.
	load := demo.Workload{Duration: 100 * ms, Seed: 3, Jobs: []demo.JobStream{
		{Queue: "cure", Team: "foundry", Interval: time.Second, TasksPerJob: 15 * int(outage/time.Second), Cores: 8, Memory: 1024, RunTime: time.Second},
	}}
	is.NoErr(d.SendWorkload(ctx, load))
	otherSched.kill()
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
	is.True(after > middle)  // and also in the second half of the outage
	current, err := f.cellOwner()
	is.NoErr(err)
	is.Equal(current.entry, owner.entry) // the cell still has the same owner
	owner.entry.kill()
	f.awaitOwner(owner.epoch)
	is.NoErr(d.WaitJobs(ctx))
	f.checkInvariants(d)
}

// countStarts returns how many tasks all workers have started.
func countStarts(f *fleet) int {
	n := 0
	for _, worker := range f.WorkerRecords() {
		for _, record := range worker.Records {
			if record.Event == "start" {
				n++
			}
		}
	}
	return n
}

// TestTakeoverWithUnreachableWorker cuts off two workers and kills the owner of
// their cell. The new owner must not start a task again that may still run on one
// of these workers.
func TestTakeoverWithUnreachableWorker(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallPlan(deploy.Glaze()), longWorkerLeases)
	load := demo.Workload{Duration: 3 * time.Second, Seed: 4, Jobs: []demo.JobStream{
		{Queue: "cure", Team: "foundry", Interval: 800 * ms, TasksPerJob: 10, Cores: 2, Memory: 256, RunTime: 8 * time.Second},
	}}
	f.runWithFaults(load, func() {
		owner := f.awaitOwner(0)
		sleep(500 * ms)
		for _, worker := range []string{"worker0", "worker1"} {
			_ = f.proxies[worker].SetFaults(fakes.LinkFaults{Cut: true})
		}
		owner.entry.kill()
		f.awaitOwner(owner.epoch)
		sleep(8 * time.Second)
		for _, worker := range []string{"worker0", "worker1"} {
			_ = f.proxies[worker].SetFaults(fakes.LinkFaults{})
		}
	})
}
