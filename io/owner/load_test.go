package owner_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/load"
	"chicoryturn/core/policy"
	"chicoryturn/io/record"
)

// loadedStore is a store with more jobs than its one worker runs in an hour.
type loadedStore struct{ *delayedStore }

func (loadedStore) Load(context.Context, *budget.Budget) (*record.Snapshot, error) {
	s := &record.Snapshot{}
	for i := range 100 {
		s.Specs = append(s.Specs, jobs.Spec{ID: core.JobID(fmt.Sprint("j", i)), Team: "t", Queue: "q", Accepted: time.Now(), Phases: []jobs.Phase{{Count: 1, Need: core.Resources{Cores: 1000}, Estimate: time.Minute}}})
	}
	return s, nil
}

func (loadedStore) Changes(context.Context, uint64) (record.Snapshot, error) {
	return record.Snapshot{}, nil
}

func (loadedStore) Workers(context.Context) (fleet.WorkerList, error) {
	return fleet.WorkerList{Workers: []fleet.WorkerInfo{{
		VM: core.VM{Name: "w", Kind: "worker", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Capacity: core.Resources{Cores: 1000, Memory: 1000}, Service: "s"}, Incarnation: time.Unix(1, 0),
	}}}, nil
}

// TestRecordTellsLoad guards against an ownership record that doesn't tell what new jobs wait for, or
// tells it in the first seconds of an owner.
func TestRecordTellsLoad(t *testing.T) {
	is := is.New(t)
	row := &sharedRow{}
	began := time.Now()
	startOwner(t, loadedStore{&delayedStore{fakeDeps: &fakeDeps{}, row: row}}, "a",
		policy.New(1, []policy.Queue{{Name: "q", Host: "h", Prefix: "/", Service: "s", Attempts: 3, Slowdown: 1000}}, []policy.Team{{Name: "t", Weight: 1000}}, []policy.Service{{Name: "s"}}, 0))
	for time.Since(began) < load.WarmUp+5*time.Second {
		time.Sleep(50 * time.Millisecond)
		row.mu.Lock()
		told, epoch := row.record.Load, row.record.Epoch
		row.mu.Unlock()
		if told == nil {
			continue
		}
		is.True(time.Since(began) >= load.WarmUp)
		is.Equal(epoch, core.Epoch(1))
		is.True(told.Queues["q"].Wait(false) > 30*time.Minute)
		return
	}
	t.Fatal("the record tells nothing")
}
