package owner_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/policy"
	"chicoryturn/io/record"
	"chicoryturn/io/table"
)

// contestedStore is a store whose snapshot is empty and loads at once. Its writes after the first two find the ownership record
// changed, and reads of the record that follow take 2 s.
type contestedStore struct {
	emptyFeedStore
	writes    atomic.Int64
	contested atomic.Bool
	// late counts the heartbeats that are sent 100 ms or more after a write was
	// contested.
	heartbeats, late atomic.Int64
	contestedAt      atomic.Pointer[time.Time]
}

func (s *contestedStore) OwnerRecord(ctx context.Context) (elect.Observation, error) {
	if s.contested.Load() {
		select {
		case <-ctx.Done():
		case <-time.After(2 * time.Second):
		}
		return elect.Observation{Record: elect.Record{Holder: "successor", Epoch: 2}, Version: 9}, nil
	}
	return elect.Observation{}, nil
}

func (s *contestedStore) Write(context.Context, record.OwnerWrite) (table.WriteResult, error) {
	if n := s.writes.Add(1); n > 2 {
		if s.contested.CompareAndSwap(false, true) {
			now := time.Now()
			s.contestedAt.Store(&now)
		}
		return table.WriteResult{}, &table.ConflictError{}
	}
	return table.WriteResult{Version: uint64(s.writes.Load())}, nil
}

func (s *contestedStore) Load(context.Context, *budget.Budget) (*record.Snapshot, error) {
	return &record.Snapshot{}, nil
}

func (s *contestedStore) Workers(context.Context) (fleet.WorkerList, error) {
	return fleet.WorkerList{Workers: []fleet.WorkerInfo{{VM: core.VM{Name: "w", Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80")}}}}, nil
}

func (s *contestedStore) Heartbeat(context.Context, fleet.Order) (fleet.RunLists, fleet.Reply, error) {
	s.heartbeats.Add(1)
	if at := s.contestedAt.Load(); at != nil && time.Since(*at) > 100*time.Millisecond {
		s.late.Add(1)
	}
	time.Sleep(20 * time.Millisecond)
	return fleet.RunLists{Clock: time.Minute, Incarnation: oldIncarnation}, fleet.ReplyOK, nil
}

// TestContestedOwnerSendsNothing guards against two owners that both act around a change of
// owner: one whose write has found its record changed must send nothing until it has read
// whose the record is.
func TestContestedOwnerSendsNothing(t *testing.T) {
	is := is.New(t)
	s := &contestedStore{emptyFeedStore: emptyFeedStore{&fakeDeps{}}}
	startOwner(t, s, "former", policy.New(1, nil, nil, []policy.Service{{Name: "s"}}, 0))
	for end := time.Now().Add(10 * time.Second); !s.contested.Load() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(s.contested.Load())
	time.Sleep(time.Second)
	is.True(s.heartbeats.Load() > 0)
	is.Equal(s.late.Load(), int64(0))
}
