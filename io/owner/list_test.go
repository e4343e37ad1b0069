package owner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/budget"
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

func (*leftWorker) Load(context.Context, *budget.Budget) (*record.Snapshot, error) {
	worker := fleet.WorkerInfo{VM: core.VM{Name: "w", Service: "s", Capacity: core.Resources{Cores: 1000}}, Incarnation: oldIncarnation}
	return &record.Snapshot{Specs: []jobs.Spec{goodSpec}, Roster: []fleet.RosterEntry{{WorkerInfo: worker}}}, nil
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

func (l *leftWorker) Start(context.Context, fleet.Order, func() bool) (fleet.Reply, error) {
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

// largeFleet is a list of 2,000 workers, and a store in which another process holds the
// ownership record if other is set.
type largeFleet struct {
	emptyFeedStore
	other bool
	reads atomic.Int64
}

func (l *largeFleet) OwnerRecord(context.Context) (elect.Observation, error) {
	if l.other {
		return elect.Observation{Record: elect.Record{Holder: "b", VM: "b", Epoch: 1, WriteNumber: uint64(time.Now().UnixMilli())}, Version: uint64(time.Now().UnixMilli())}, nil
	}
	return elect.Observation{}, nil
}

func (l *largeFleet) Workers(context.Context) (fleet.WorkerList, error) {
	l.reads.Add(1)
	return fleet.WorkerList{Workers: make([]fleet.WorkerInfo, 2000)}, nil
}

// TestReadsOfLargeList checks how often the list of a large fleet is read: by the owner
// often enough to notice in time which workers are leaving, by other VMs rarely.
func TestReadsOfLargeList(t *testing.T) {
	for name, c := range map[string]struct {
		other       bool
		least, most int64
	}{"owner": {false, 3, 8}, "other VM": {true, 1, 1}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := &largeFleet{emptyFeedStore: emptyFeedStore{&fakeDeps{}}, other: c.other}
			startOwner(t, l, "a", policy.New(1, nil, nil, nil, 0))
			time.Sleep(5 * time.Second)
			if n := l.reads.Load(); n < c.least || n > c.most {
				t.Errorf("%d reads in 5 s, want %d to %d", n, c.least, c.most)
			}
		})
	}
}
