package owner_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/fleet"
	"chicoryturn/core/policy"
	"chicoryturn/io/record"
)

// benchWorkers is how many workers an owner of a benchmark has.
const benchWorkers = 350

// promptWorkers are workers that answer each heartbeat at once with empty lists.
type promptWorkers struct {
	handOver
	// answered counts the heartbeats; done is closed when none of target is left.
	answered, target atomic.Int64
	done             chan struct{}
}

func (*promptWorkers) Load(context.Context, *budget.Budget) (*record.Snapshot, error) {
	return &record.Snapshot{}, nil
}

func (*promptWorkers) Workers(context.Context) (fleet.WorkerList, error) {
	var list fleet.WorkerList
	for i := range benchWorkers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 80)
		list.Workers = append(list.Workers, fleet.WorkerInfo{VM: core.VM{Name: fmt.Sprintf("w%03d", i), Service: "s", Addr: addr}, Incarnation: oldIncarnation})
	}
	return list, nil
}

func (p *promptWorkers) Heartbeat(context.Context, fleet.Order) (fleet.RunLists, fleet.Reply, error) {
	if p.answered.Add(1) == p.target.Load() {
		close(p.done)
	}
	return fleet.RunLists{Clock: time.Minute, Incarnation: oldIncarnation}, fleet.ReplyOK, nil
}

// BenchmarkHeartbeatRound measures what a heartbeat without runs costs an owner beside the call
// itself, from the decision to its outcome.
func BenchmarkHeartbeatRound(b *testing.B) {
	p := &promptWorkers{handOver: newHandOver(), done: make(chan struct{})}
	p.target.Store(10 * benchWorkers)
	startOwner(b, p, "a", policy.New(1, nil, nil, []policy.Service{{Name: "s"}}, 0))
	<-p.done
	p.done = make(chan struct{})
	b.ReportAllocs()
	before := processorTime(b)
	b.ResetTimer()
	p.target.Store(p.answered.Load() + int64(max(b.N, 2*benchWorkers)))
	<-p.done
	b.StopTimer()
	b.ReportMetric(float64(processorTime(b)-before)/float64(max(b.N, 2*benchWorkers)), "cpu-ns/op")
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var r unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &r); err != nil {
		b.Fatal(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
