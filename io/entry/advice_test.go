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

// TestEarlyAdvice takes jobs on a VM of a large fleet. Its own call names a few
// workers: of those with room if the owner has told lately, none if there are
// none, or else any.
func TestEarlyAdvice(t *testing.T) {
	is := is.New(t)
	o := &fakeDeps{}
	e := newEntry(o)
	e.SetPolicy(policy.New(1, []policy.Queue{{
		Name: "q", Host: "h", Prefix: "/", Service: "s",
		Advice: core.Some(policy.Advice{Base: 10 * time.Millisecond, PerWorker: 500 * time.Microsecond, Valid: time.Second}),
	}}, nil, []policy.Service{{Name: "s"}}, 0))
	var hosts []fleet.WorkerInfo
	for i := range 350 {
		hosts = append(hosts, fleet.WorkerInfo{VM: core.VM{Name: fmt.Sprintf("w%03d", i), Service: "s", Room: core.Resources{Cores: 64000}}})
	}
	e.SetWorkers(hosts)
	submit := func(id string) []core.WorkerID {
		o.requests = nil
		is.NoErr(e.Submit(context.Background(), jobs.Spec{ID: core.JobID(id), Queue: "q", Phases: []jobs.Phase{{Count: 3, Need: core.Resources{Cores: 9900}}}}))
		if len(o.requests) == 0 {
			return nil
		}
		return o.requests[0].Workers
	}
	first, second := submit("a"), submit("b")
	is.True(len(first) >= 8 && len(first) <= 20)
	is.True(fmt.Sprint(first) != fmt.Sprint(second)) // jobs do not crowd on some workers
	o.delay = 600 * time.Millisecond
	is.Equal(len(submit("busy")), 0) // another VM answers sooner
	o.delay = 0
	e.SetRoomHint([]core.WorkerID{"w300", "w200"})
	is.Equal(len(submit("c")), 2)
	e.SetRoomHint(nil)
	is.Equal(len(submit("d")), 0)
}
