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

// cellCounts returns how many cells each live sched owns.
func (f *fleet) cellCounts() map[*entry]int {
	out := map[*entry]int{}
	for _, s := range f.scheds {
		var d sched.Dump
		if getJSON(s.ops, "/dump", &d) == nil {
			out[s] = len(d.Cells)
		}
	}
	return out
}

// awaitSpread waits until all cells are owned and none of the live scheds has more
// than its part.
func (f *fleet) awaitSpread(cells, most int) {
	f.t.Helper()
	f.eventually("all cells are owned and spread", func() error {
		sum := 0
		for _, n := range f.cellCounts() {
			sum += n
			if n > most {
				return fmt.Errorf("one sched owns %d", n)
			}
		}
		if sum != cells {
			return fmt.Errorf("%d of %d owned", sum, cells)
		}
		return nil
	})
}

// TestCellDistribution proves that several cells of a region are spread over its scheds,
// taken over when one dies and handed back when it returns.
func TestCellDistribution(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallPlan(deploy.Glaze()), func(f *fleet) { f.cells = 4 })
	f.runWithFaults(batchLoad(9*time.Second), func() {
		f.awaitSpread(4, 2)
		f.scheds[0].kill()
		f.awaitSpread(4, 2)
		f.scheds[0].start()
		f.eventually("the new sched owns a cell", func() error {
			if n := f.cellCounts()[f.scheds[0]]; n == 0 {
				return fmt.Errorf("it owns none")
			}
			return nil
		})
	})
}

// TestIsolatedRegion proves that a region cut off from the store and from the other
// region keeps running and placing its accepted work, and that limits hold.
func TestIsolatedRegion(t *testing.T) {
	t.Parallel()
	p := smallPlan(deploy.Glaze())
	p.Regions = []string{"hobart", "burnie"}
	p.Gates, p.Scheds, p.Workers, p.Targets = 2, 4, 6, 4
	f := newFleet(t, p)
	l := demo.Workload{Duration: 1500 * ms, Seed: 8, Jobs: []demo.JobStream{
		{Queue: "cure", Team: "foundry", Every: 200 * ms, Count: 12, Cores: 4, Memory: 512, Run: 1200 * ms},
		{Queue: "sweep", Team: "office", Every: 200 * ms, Count: 6, Cores: 3, Memory: 512, Run: 1200 * ms},
	}}
	cut := func(on bool) {
		for _, e := range append(append([]*entry{}, f.gates...), f.scheds...) {
			if e.region == "burnie" {
				_ = e.storeProxy.Set(fakes.LinkFaults{Cut: on})
			}
		}
	}
	f.runWithFaults(l, func() {
		sleep(1500 * ms)
		cut(true)
		before := f.countStartsIn("burnie")
		sleep(8 * time.Second)
		if after := f.countStartsIn("burnie"); after <= before {
			t.Errorf("the region that was cut off has started nothing: %d, then %d", before, after)
		}
		cut(false)
	})
}

// countStartsIn counts the tasks started in a region.
func (f *fleet) countStartsIn(region string) int {
	n := 0
	for i, w := range f.WorkerRecords() {
		if f.region(i) != region {
			continue
		}
		for _, e := range w.Records {
			if id, ok := core.ParseTaskID(e.Task); ok && e.Event == "start" && id.Job != "" {
				n++
			}
		}
	}
	return n
}
