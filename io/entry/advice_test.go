package entry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
)

// TestEarlyAdvice submits jobs on a VM of a large fleet. Its early advice request must
// name a few workers: only workers of the room hint if there is one, and any workers
// otherwise. It must send no request if the hint is empty, and name no worker of an evacuated
// zone.
func TestEarlyAdvice(t *testing.T) {
	is := is.New(t)
	deps := &fakeDeps{}
	e := newEntry(deps)
	e.SetPolicy(policy.New(1, []policy.Queue{{
		Name: "q", Host: "h", Prefix: "/", Service: "s",
		Advisor: core.Some(policy.Advisor{Base: 10 * time.Millisecond, PerWorker: 500 * time.Microsecond, TicketTTL: time.Second}),
	}}, nil, []policy.Service{{Name: "s"}}, 0))
	var workers []fleet.WorkerInfo
	for i := range 350 {
		workers = append(workers, fleet.WorkerInfo{VM: core.VM{Name: fmt.Sprintf("w%03d", i), Service: "s", Zone: core.Zone(fmt.Sprint("z", i%2)), Capacity: core.Resources{Cores: 64000}}})
	}
	e.SetWorkers(workers)
	submit := func(id string) []core.WorkerID {
		deps.requests = nil
		is.NoErr(e.Submit(context.Background(), jobs.Spec{ID: core.JobID(id), Queue: "q", Phases: []jobs.Phase{{Count: 3, Need: core.Resources{Cores: 9900}}}}))
		if len(deps.requests) == 0 {
			return nil
		}
		return deps.requests[0].Workers
	}
	first, second := submit("a"), submit("b")
	is.True(len(first) >= 8 && len(first) <= 20)
	is.True(fmt.Sprint(first) != fmt.Sprint(second)) // different jobs name different workers
	deps.delay = 600 * time.Millisecond
	is.Equal(len(submit("busy")), 0) // the owner's request to another VM is answered sooner
	deps.delay = 0
	e.SetRoomHint([]core.WorkerID{"w300", "w200"})
	is.Equal(len(submit("c")), 2)
	e.SetRoomHint([]core.WorkerID{"w300", "w201"})
	e.SetEvacuated(policy.Zones{"z0": 1})
	is.Equal(submit("e"), []core.WorkerID{"w201"})
	e.SetEvacuated(policy.Zones{"z0": 1, "z1": 2})
	is.Equal(len(submit("f")), 0)
	e.SetEvacuated(nil)
	is.Equal(len(submit("g")), 2)
	e.SetRoomHint(nil)
	is.Equal(len(submit("d")), 0)
}
