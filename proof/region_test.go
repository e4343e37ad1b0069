package proof_test

import (
	"fmt"
	"testing"
	"time"

	"chicoryturn/core"
	"chicoryturn/io/demo"
	"chicoryturn/io/deploy"
	"chicoryturn/io/fakes"
	"chicoryturn/io/sched"
)

// cellCounts returns, for each sched that answers, how many cells it owns.
func (f *fleet) cellCounts() map[*entry]int {
	counts := map[*entry]int{}
	for _, s := range f.scheds {
		var dump sched.Dump
		if get(s.ops, "/dump", &dump) == nil {
			counts[s] = len(dump.Cells)
		}
	}
	return counts
}

// awaitSpread waits until all cells are owned and no sched owns more than
// maxPerSched of them.
func (f *fleet) awaitSpread(cells, maxPerSched int) {
	f.t.Helper()
	f.eventually("all cells are owned and distributed over the scheds", func() error {
		owned := 0
		for _, n := range f.cellCounts() {
			owned += n
			if n > maxPerSched {
				return fmt.Errorf("a sched owns %d cells", n)
			}
		}
		if owned != cells {
			return fmt.Errorf("%d of %d cells are owned", owned, cells)
		}
		return nil
	})
}

// TestCellDistribution checks that the cells of a region are distributed over its
// scheds, that other scheds take over the cells of a killed one, and that it gets
// cells again after its restart.
func TestCellDistribution(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallPlan(deploy.Glaze()), func(f *fleet) { f.cells = 4 })
	f.runWithFaults(batchLoad(9*time.Second), func() {
		f.awaitSpread(4, 2)
		f.scheds[0].kill()
		f.awaitSpread(4, 2)
		f.scheds[0].start()
		f.eventually("the restarted sched owns a cell", func() error {
			if n := f.cellCounts()[f.scheds[0]]; n == 0 {
				return fmt.Errorf("it owns no cell")
			}
			return nil
		})
	})
}

// TestIsolatedRegion cuts a region off from the store. The region must keep placing
// and running its accepted work, and limits must hold.
func TestIsolatedRegion(t *testing.T) {
	t.Parallel()
	p := smallPlan(deploy.Glaze())
	p.Regions = []string{"hobart", "burnie"}
	p.Gates, p.Scheds, p.Workers, p.Targets = 2, 4, 6, 4
	f := newFleet(t, p)
	load := demo.Workload{Duration: 1500 * ms, Seed: 8, Jobs: []demo.JobStream{
		{Queue: "cure", Team: "foundry", Interval: 200 * ms, TasksPerJob: 12, Cores: 4, Memory: 512, RunTime: 1200 * ms},
		{Queue: "sweep", Team: "office", Interval: 200 * ms, TasksPerJob: 6, Cores: 3, Memory: 512, RunTime: 1200 * ms},
	}}
	setCut := func(cut bool) {
		for _, e := range append(append([]*entry{}, f.gates...), f.scheds...) {
			if e.region == "burnie" {
				_ = e.storeProxy.SetFaults(fakes.LinkFaults{Cut: cut})
			}
		}
	}
	f.runWithFaults(load, func() {
		sleep(1500 * ms)
		setCut(true)
		before := f.countStartsIn("burnie")
		sleep(8 * time.Second)
		if after := f.countStartsIn("burnie"); after <= before {
			t.Errorf("the region that was cut off has started no task: %d starts before, %d after", before, after)
		}
		setCut(false)
	})
}

// countStartsIn returns how many tasks the workers of a region have started.
func (f *fleet) countStartsIn(region string) int {
	n := 0
	for i, worker := range f.WorkerRecords() {
		if f.region(i) != region {
			continue
		}
		for _, record := range worker.Records {
			if id, ok := core.ParseTaskID(record.Task); ok && record.Event == "start" && id.Job != "" {
				n++
			}
		}
	}
	return n
}
