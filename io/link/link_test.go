package link_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/io/advice"
	"chicoryturn/io/fakes"
	"chicoryturn/io/link"
	"chicoryturn/io/owner"
	"chicoryturn/io/table"
)

// seat is the control state of a process that owns the fleet, as far as links
// need it.
type seat struct{ joined, found, lost atomic.Int64 }

func (s *seat) AddPeer(owner.Peer)                 { s.joined.Add(1) }
func (s *seat) RemovePeer(owner.Peer)              { s.joined.Add(-1) }
func (*seat) Accepted(jobs.Spec, string)           {}
func (*seat) Cancelled(core.JobID)                 {}
func (*seat) AdviceReceived(string, advice.Result) {}
func (s *seat) OwnerLost(core.SessionID, bool)     { s.lost.Add(1) }
func (s *seat) OwnerFound()                        { s.found.Add(1) }
func (*seat) Request(a fleet.AdviceRequest, then func(advice.Result)) {
	then(advice.Result{Request: a})
}
func (*seat) State(context.Context, core.JobID) (state jobs.State, known, mine bool, err error) {
	return "", false, true, nil
}
func (*seat) Pending(context.Context, core.Queue) (int, bool, error) { return 0, true, nil }

// way is how a VM reaches the table.
type way struct {
	out   table.Outcome
	calls atomic.Int64
}

func (w *way) serve(context.Context, table.Call) table.Outcome {
	w.calls.Add(1)
	return w.out
}

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log.WithField("part", "link")
}

// serveOwner runs the owner's side until the test ends.
func serveOwner(t *testing.T, s *seat, log *logrus.Entry) (*link.Server, netip.AddrPort) {
	t.Helper()
	srv := link.NewServer(s, "owner/1", (&way{}).serve, log)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Stop)
	return srv, netip.MustParseAddrPort(l.Addr().String())
}

// TestCarry has the owner's calls carried by VMs of which the table turns most
// away: one that does not is found, and kept to.
func TestCarry(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := quiet()
	s := &seat{}
	srv, at := serveOwner(t, s, log)
	ways := []*way{{out: table.Outcome{RefusedStatus: 503}}, {out: table.NotSent()}, {out: table.Outcome{Done: &table.Done{Version: 7}}}}
	for i, w := range ways {
		c := link.NewClient(string(rune('a'+i)), "zone", s, s, w.serve, log)
		c.SetOwner(link.OwnerAddr{Addr: at, Session: "owner/1"})
		go func() { _ = c.Run(ctx) }()
	}
	for s.joined.Load() < int64(len(ways)) {
		time.Sleep(time.Millisecond)
	}
	for range 5 {
		o, err := srv.Forward(ctx, table.Call{Write: &table.Txn{}})
		is.NoErr(err)
		is.Equal(o.Done.Version, uint64(7))
	}
	is.True(ways[0].calls.Load() <= 1)
	is.True(ways[1].calls.Load() <= 1)
	is.Equal(ways[2].calls.Load(), int64(5))
}

// TestSilentOwner freezes the way to the owner without closing it: the VM
// notices within some 1.2 s, and the seat is looked at.
func TestSilentOwner(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := quiet()
	s := &seat{}
	_, at := serveOwner(t, s, log)
	p := fakes.NewProxy(at)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = p.Serve(ctx, front) }()
	w := &seat{}
	c := link.NewClient("a", "zone", s, w, (&way{}).serve, log)
	c.SetOwner(link.OwnerAddr{Addr: netip.MustParseAddrPort(front.Addr().String()), Session: "owner/1"})
	go func() { _ = c.Run(ctx) }()
	for w.found.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	is.Equal(w.lost.Load(), int64(0)) // an idle owner is not a silent one
	is.NoErr(p.Set(fakes.LinkFaults{Cut: true}))
	began := time.Now()
	for w.lost.Load() == 0 {
		is.True(time.Since(began) < 3*time.Second)
		time.Sleep(time.Millisecond)
	}
}
