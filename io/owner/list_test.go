package owner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
	"chicoryturn/io/record"
)

// leftWorker is a store in which another process holds the ownership record for 1.5 s,
// and a list from which a worker has been removed in that time. The list is slow.
type leftWorker struct {
	emptyFeedStore
	began         time.Time
	reads, starts atomic.Int64
}

func (l *leftWorker) OwnerRecord(context.Context) (elect.Observation, error) {
	if time.Since(l.began) < 1500*time.Millisecond {
		return elect.Observation{Record: elect.Record{Holder: "b", VM: "b", Epoch: 1}, Version: 1}, nil
	}
	return elect.Observation{Record: elect.Record{Epoch: 1}, Version: 2}, nil
}

func (*leftWorker) Load(context.Context) (*record.Snapshot, error) {
	worker := fleet.WorkerInfo{VM: core.VM{Name: "w", Service: "s", Capacity: core.Resources{Cores: 1000}}, Incarnation: oldIncarnation}
	return &record.Snapshot{Specs: []jobs.Spec{goodSpec}, Roster: []fleet.WorkerInfo{worker}}, nil
}

func (l *leftWorker) Workers(context.Context) (fleet.WorkerList, error) {
	if l.reads.Add(1) == 1 {
		return fleet.WorkerList{Workers: []fleet.WorkerInfo{{VM: core.VM{Name: "w", Service: "s", Capacity: core.Resources{Cores: 1000}}, Incarnation: oldIncarnation}}}, nil
	}
	time.Sleep(700 * time.Millisecond)
	return fleet.WorkerList{}, nil
}

func (*leftWorker) Heartbeat(context.Context, fleet.Order) (fleet.RunLists, fleet.Reply, error) {
	time.Sleep(20 * time.Millisecond)
	return fleet.RunLists{Clock: time.Second, Incarnation: oldIncarnation}, fleet.ReplyOK, nil
}

func (l *leftWorker) Start(context.Context, fleet.Order) (fleet.Reply, error) {
	l.starts.Add(1)
	return fleet.ReplyOK, nil
}

// TestOldWorkerList lets a process that has read the worker list seconds ago become the
// owner. It must not start tasks on a worker that has left since.
func TestOldWorkerList(t *testing.T) {
	is := is.New(t)
	l := &leftWorker{emptyFeedStore: emptyFeedStore{&fakeDeps{}}, began: time.Now()}
	o := startOwner(t, l, "a", policy.New(1, []policy.Queue{{Name: "q", Service: "s", Attempts: 3}}, []policy.Team{{Name: "t"}}, []policy.Service{{Name: "s"}}, 0))
	time.Sleep(4 * time.Second)
	_, known, isOwner, err := o.State(t.Context(), "good")
	is.NoErr(err)
	is.True(known && isOwner)
	is.Equal(l.starts.Load(), int64(0))
}
