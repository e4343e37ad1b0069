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

// fakeOwner implements link.Owner, link.Advisor and link.OwnerWatcher. It
// counts the connected peers and the notifications of a watcher.
type fakeOwner struct{ peers, found, lost atomic.Int64 }

func (o *fakeOwner) AddPeer(owner.Peer)                 { o.peers.Add(1) }
func (o *fakeOwner) RemovePeer(owner.Peer)              { o.peers.Add(-1) }
func (*fakeOwner) JobAccepted(jobs.Spec, string)        {}
func (*fakeOwner) JobCancelled(core.JobID)              {}
func (*fakeOwner) AdviceReceived(string, advice.Result) {}
func (o *fakeOwner) OwnerLost(core.SessionID, bool)     { o.lost.Add(1) }
func (o *fakeOwner) OwnerFound()                        { o.found.Add(1) }
func (*fakeOwner) Request(a fleet.AdviceRequest, onResult func(advice.Result)) {
	onResult(advice.Result{Request: a})
}
func (*fakeOwner) State(context.Context, core.JobID) (state jobs.State, known, isOwner bool, err error) {
	return "", false, true, nil
}
func (*fakeOwner) Pending(context.Context, core.Queue) (int, bool, error) { return 0, true, nil }
func (*fakeOwner) Replied(time.Duration)                                  {}

// fakeTable answers every forwarded call with the same outcome.
type fakeTable struct {
	outcome table.Outcome
	calls   atomic.Int64
}

func (f *fakeTable) handle(context.Context, table.Call) table.Outcome {
	f.calls.Add(1)
	return f.outcome
}

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log.WithField("part", "link")
}

// serveOwner runs the owner's server until the test ends.
func serveOwner(t *testing.T, o *fakeOwner, log *logrus.Entry) (*link.Server, netip.AddrPort) {
	t.Helper()
	srv := link.NewServer(o, "owner/1", (&fakeTable{}).handle, log)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Stop)
	return srv, netip.MustParseAddrPort(l.Addr().String())
}

// TestForwardAvoidsRefusedPeers guards against calls that keep going to VMs
// without access to the table: of three VMs, the owner must find the only one
// that reaches it, and forward all further calls there.
func TestForwardAvoidsRefusedPeers(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := discardLog()
	o := &fakeOwner{}
	srv, addr := serveOwner(t, o, log)
	tables := []*fakeTable{{outcome: table.Outcome{RefusedStatus: 503}}, {outcome: table.NotSent()}, {outcome: table.Outcome{Done: &table.WriteResult{Version: 7}}}}
	for i, f := range tables {
		c := link.NewClient(string(rune('a'+i)), "zone", o, o, f.handle, log)
		c.SetOwner(link.OwnerAddr{Addr: addr, Session: "owner/1"})
		go func() { _ = c.Run(ctx) }()
	}
	for o.peers.Load() < int64(len(tables)) {
		time.Sleep(time.Millisecond)
	}
	for range 5 {
		outcome, err := srv.Forward(ctx, table.Call{Write: &table.Txn{}})
		is.NoErr(err)
		is.Equal(outcome.Done.Version, uint64(7))
	}
	is.True(tables[0].calls.Load() <= 1)
	is.True(tables[1].calls.Load() <= 1)
	is.Equal(tables[2].calls.Load(), int64(5))
}

// TestSilentOwner guards against an owner that goes unnoticed when its connection
// stays open but transmits nothing: the VM must report it as lost after about
// 1.2 s. An owner that is connected and idle must not be reported.
func TestSilentOwner(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := discardLog()
	o := &fakeOwner{}
	_, addr := serveOwner(t, o, log)
	proxy := fakes.NewProxy(addr)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = proxy.Serve(ctx, l) }()
	watcher := &fakeOwner{}
	c := link.NewClient("a", "zone", o, watcher, (&fakeTable{}).handle, log)
	c.SetOwner(link.OwnerAddr{Addr: netip.MustParseAddrPort(l.Addr().String()), Session: "owner/1"})
	go func() { _ = c.Run(ctx) }()
	for watcher.found.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	is.Equal(watcher.lost.Load(), int64(0)) // the idle owner's empty messages keep the stream open
	is.NoErr(proxy.SetFaults(fakes.LinkFaults{Cut: true}))
	began := time.Now()
	for watcher.lost.Load() == 0 {
		is.True(time.Since(began) < 3*time.Second)
		time.Sleep(time.Millisecond)
	}
}

// oddTable answers its first call, then panics once, and then returns outcomes that
// belong to no call.
type oddTable struct{ calls atomic.Int64 }

func (p *oddTable) handle(context.Context, table.Call) table.Outcome {
	switch p.calls.Add(1) {
	case 1:
		return table.Outcome{Done: &table.WriteResult{Version: 3}}
	case 2:
		panic("odd call")
	default:
		return table.Outcome{}
	}
}

// TestOddForwardedCalls forwards calls that panic on the other VM, or whose outcome is
// malformed. It is then unknown, and the stream must stay open.
func TestOddForwardedCalls(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := &fakeOwner{}
	srv := link.NewServer(o, "owner/1", (&oddTable{}).handle, discardLog())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = srv.Serve(l) }()
	defer srv.Stop()
	c := link.NewClient("vm-1", "z", o, o, (&fakeTable{}).handle, discardLog())
	go func() { _ = c.Run(ctx) }()
	c.SetOwner(link.OwnerAddr{Addr: netip.MustParseAddrPort(l.Addr().String()), Session: "owner/1"})
	for !c.Connected() {
		time.Sleep(10 * time.Millisecond)
	}
	for _, answered := range []bool{true, false, false} {
		outcome, err := c.Forward(ctx, table.Call{Write: &table.Txn{}})
		is.NoErr(err)
		is.Equal(outcome.NoAnswer == "", answered)
	}
	is.Equal(o.peers.Load(), int64(1))
}
