package owner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
	"chicoryturn/io/record"
)

// invalidSpecs are jobs that another writer or build may have left, or that a message
// from another VM may hold.
var invalidSpecs = []jobs.Spec{
	{ID: "none"},
	{ID: "later", Phases: []jobs.Phase{{Count: 1, After: []int{5}}}},
	{ID: "self", Phases: []jobs.Phase{{Count: 1, After: []int{0}}}},
	{ID: "before", Phases: []jobs.Phase{{Count: 1, After: []int{-1}}}},
	{ID: "negative", Phases: []jobs.Phase{{Count: -1}}},
	{ID: "many", Phases: []jobs.Phase{{Count: 1 << 60}}},
	{ID: "often", Repeat: 1 << 62, Phases: []jobs.Phase{{Count: 4}}},
}

var goodSpec = jobs.Spec{ID: "good", Team: "t", Queue: "q", Phases: []jobs.Phase{{Count: 1}}}

// oddDeps is a store with invalid jobs among its rows and its changes. Every third call
// of each kind panics.
type oddDeps struct {
	*fakeDeps
	workers, changes, heartbeats atomic.Int64
}

func (o *oddDeps) Load(context.Context, *budget.Budget) (*record.Snapshot, error) {
	return &record.Snapshot{Specs: append([]jobs.Spec{goodSpec}, invalidSpecs...)}, nil
}

func (o *oddDeps) Changes(context.Context, uint64) (record.Snapshot, error) {
	if o.changes.Add(1)%3 == 1 {
		panic("odd change")
	}
	return record.Snapshot{Specs: append([]jobs.Spec(nil), invalidSpecs...)}, nil
}

func (o *oddDeps) Workers(context.Context) (fleet.WorkerList, error) {
	if o.workers.Add(1)%3 == 1 {
		panic("odd worker list")
	}
	return fleet.WorkerList{Workers: []fleet.WorkerInfo{{VM: core.VM{Name: "w", Service: "s"}, Incarnation: oldIncarnation}}}, nil
}

func (o *oddDeps) Heartbeat(context.Context, fleet.Order) (fleet.RunLists, fleet.Reply, error) {
	if o.heartbeats.Add(1)%3 == 1 {
		panic("odd answer")
	}
	return fleet.RunLists{Clock: time.Second, Incarnation: oldIncarnation}, fleet.ReplyOK, nil
}

// TestOddInput gives an owner invalid jobs from every side and makes its calls panic.
// It must go on scheduling the valid job, and read and call on.
func TestOddInput(t *testing.T) {
	is := is.New(t)
	deps := &oddDeps{fakeDeps: &fakeDeps{}}
	o := startOwner(t, deps, "a", policy.New(1, nil, nil, []policy.Service{{Name: "s"}}, 0))
	time.Sleep(2500 * time.Millisecond)
	for _, s := range invalidSpecs {
		o.JobAccepted(s, "")
	}
	time.Sleep(1500 * time.Millisecond)
	_, known, isOwner, err := o.State(t.Context(), "good")
	is.NoErr(err)
	is.True(isOwner)
	is.True(known)
	for _, s := range invalidSpecs {
		_, known, _, err = o.State(t.Context(), s.ID)
		is.NoErr(err)
		is.True(!known)
	}
	is.True(deps.workers.Load() > 3)
	is.True(deps.changes.Load() > 3)
	is.True(deps.heartbeats.Load() > 3)
}
