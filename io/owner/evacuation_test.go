package owner_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
	"chicoryturn/io/clock"
	"chicoryturn/io/record"
)

// fullZones are two workers, one in each zone, and jobs that fill one of them. Starts wait before they
// are written.
type fullZones struct {
	*heldStarts
	gang bool
}

func (z *fullZones) Changes(context.Context, uint64) (record.Snapshot, error) {
	return record.Snapshot{Version: 1, Specs: []jobs.Spec{{
		ID: "j", Team: "t", Queue: "q", FirstEpoch: 5, Phases: []jobs.Phase{{Count: 4, Need: core.Resources{Cores: 1000}, Estimate: time.Minute, Gang: z.gang}},
	}}}, nil
}

func (*fullZones) Workers(context.Context) (fleet.WorkerList, error) {
	var list fleet.WorkerList
	for i, zone := range []core.Zone{"a", "b"} {
		list.Workers = append(list.Workers, fleet.WorkerInfo{
			VM: core.VM{Name: fmt.Sprintf("w%d", i), Zone: zone, Service: "s", Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(80+i)), Capacity: core.Resources{Cores: 4000}}, Incarnation: oldIncarnation,
		})
	}
	return list, nil
}

func (*fullZones) Heartbeat(ctx context.Context, _ fleet.Order) (fleet.RunLists, fleet.Reply, error) {
	clock.Sleep(ctx, 20*time.Millisecond)
	return fleet.RunLists{Clock: time.Since(testStart) + time.Minute, Incarnation: oldIncarnation}, fleet.ReplyOK, nil
}

// TestEvacuationWithdrawsStarts guards against starts that reach the workers of an evacuated zone
// although they were queued, or waited for a connection, as the owner learned of the evacuation, and
// against tasks that do not start elsewhere then. Of the four starts to the first worker two are in
// flight and two queued.
func TestEvacuationWithdrawsStarts(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang %v", gang), func(t *testing.T) {
			is := is.New(t)
			z, hook := &fullZones{newHeldStarts(), gang}, &linesHook{}
			o := startOwner(t, z, "a", startPolicy, withHook(hook))
			for range 2 {
				is.Equal((<-z.waiting).Worker, core.WorkerID("w0"))
			}
			o.SetDirectives(policy.Directives{Policy: startPolicy, Evacuated: policy.Zones{"a": 7}}, clock.BootTime())
			elsewhere := <-z.waiting
			is.Equal(elsewhere.Worker, core.WorkerID("w1"))
			for range 2 {
				z.release <- struct{}{}
			}
			sent := []bool{<-z.sent, <-z.sent} // of either worker
			for range 9 {
				z.release <- struct{}{}
			}
			starts := []fleet.Order{elsewhere}
			for len(starts) < 4 {
				starts = append(starts, <-z.waiting)
			}
			for len(sent) < 6 {
				sent = append(sent, <-z.sent)
			}
			count := map[bool]int{}
			for _, s := range sent {
				count[s]++
			}
			is.Equal(count, map[bool]int{true: 4, false: 2})
			for _, s := range starts {
				is.Equal(s.Worker, core.WorkerID("w1"))
			}
			is.Equal(len(hook.withMessage(fleet.EventWithdrawn)), 4)
			lines := hook.withMessage("zone is evacuated")
			is.Equal(len(lines), 1)
			is.Equal(lines[0].Data["zone"], core.Zone("a"))
			is.Equal(lines[0].Data["version"], uint64(7))
			is.Equal(lines[0].Data["withdrawn"], 4)
		})
	}
}

// TestEvacuationBeforeFirstDecision guards against a new owner that starts work in a zone which was
// evacuated before it claimed the record, and against an owner without a configuration that has the
// zones alone. Starts resume once the zone's row is removed.
func TestEvacuationBeforeFirstDecision(t *testing.T) {
	is := is.New(t)
	z := &fullZones{newHeldStarts(), false}
	o := startOwner(t, z, "a", nil)
	both := policy.Zones{"a": 7, "b": 8}
	o.SetDirectives(policy.Directives{Evacuated: both}, clock.BootTime())
	time.Sleep(2500 * time.Millisecond) // time for a claim and a load
	_, _, isOwner, err := o.State(t.Context(), "j")
	is.NoErr(err)
	is.True(!isOwner)
	o.SetDirectives(policy.Directives{Policy: startPolicy, Evacuated: both}, clock.BootTime())
	time.Sleep(time.Second)
	_, known, isOwner, err := o.State(t.Context(), "j")
	is.NoErr(err)
	is.True(isOwner && known)
	is.Equal(len(z.waiting), 0)
	o.SetDirectives(policy.Directives{Policy: startPolicy, Evacuated: policy.Zones{"a": 7}}, clock.BootTime())
	is.Equal((<-z.waiting).Worker, core.WorkerID("w1"))
}

// TestUnreadZones guards against starts of an owner that has renewed its record, but has not read the
// evacuated zones for longer than the settings allow.
func TestUnreadZones(t *testing.T) {
	is := is.New(t)
	z, hook := &fullZones{newHeldStarts(), false}, &linesHook{}
	o := startOwner(t, z, "a", nil, withHook(hook))
	o.SetLimits(fleet.Limits{Lease: 6 * time.Second, RemoteFactor: 1, Evacuate: 5 * time.Second})
	o.SetDirectives(policy.Directives{Policy: startPolicy}, clock.BootTime()-time.Minute)
	time.Sleep(4 * time.Second) // time for a claim, a load and answers of the workers
	is.Equal(len(z.waiting), 0)
	is.Equal(len(hook.withMessage("evacuated zones may have changed; starts are held back")), 1)
	o.SetDirectives(policy.Directives{Policy: startPolicy}, clock.BootTime())
	<-z.waiting
}
