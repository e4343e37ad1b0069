package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
)

// TestMissingRunsOfLongLists guards against a run that counts as listed though it is missing, or as
// missing though it is listed as active or has ended, in lists of any length.
func TestMissingRunsOfLongLists(t *testing.T) {
	for _, count := range []int{3, 16, 17, 18, 19, 60} {
		is := is.New(t)
		f := newFixture(1, 1)
		w := &f.workers[0]
		w.Capacity = core.Resources{Cores: 1 << 30, Memory: 1 << 30}
		f.SetWorkers(f.now, f.list(f.workers))
		f.RosterStored(f.Roster())
		f.heartbeat(*w, nil, nil)
		f.Load(f.now, []jobs.Spec{newJob("j", count, false)}, nil)
		starts := f.nextOrders(fleet.OrderStart)
		is.Equal(len(starts), count)
		f.confirmStarts(starts)
		f.advance(time.Second)
		f.Decisions()
		var active []fleet.ActiveRun
		for _, o := range starts[1 : count-1] {
			active = append(active, fleet.ActiveRun{Task: o.Task, Run: o.Run})
		}
		f.answer(*w, fleet.RunLists{Active: active})
		missing := map[string]bool{}
		for _, d := range f.Decisions() {
			if d.Event == "run is missing from the lists of its worker" {
				missing[d.Task] = true
			}
		}
		is.Equal(missing, map[string]bool{starts[0].Task.String(): true, starts[count-1].Task.String(): true})
	}
}
