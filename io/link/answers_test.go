package link_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"chicoryturn/core"
	"chicoryturn/io/link"
)

// lateOwner is an owner that keeps its streams open and answers no question while it is silent.
type lateOwner struct {
	fakeOwner
	silent atomic.Bool
}

func (o *lateOwner) Pending(ctx context.Context, _ core.Queue) (int, bool, error) {
	for o.silent.Load() && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	return 0, true, nil
}

// TestUnansweredQuestionsAreLogged guards against an owner that answers nobody without a line in the
// other VMs' logs: one must tell so, and one that it answers again.
func TestUnansweredQuestionsAreLogged(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := &lateOwner{}
	srv := link.NewServer(o, "owner/1", (&fakeTable{}).handle, discardLog())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = srv.Serve(l) }()
	defer srv.Stop()
	log, lines := logtest.NewNullLogger()
	count := func(text string) (n int) {
		for _, e := range lines.AllEntries() {
			if e.Message == text {
				n++
			}
		}
		return n
	}
	c := link.NewClient("vm-1", "z", &o.fakeOwner, &o.fakeOwner, (&fakeTable{}).handle, logrus.NewEntry(log))
	go func() { _ = c.Run(ctx) }()
	c.SetOwner(link.OwnerAddr{Addr: netip.MustParseAddrPort(l.Addr().String()), Session: "owner/1"})
	for !c.Connected() {
		time.Sleep(10 * time.Millisecond)
	}
	_, _, err = c.Pending(ctx, "q")
	is.NoErr(err)
	o.silent.Store(true)
	for range 2 {
		_, _, err = c.Pending(ctx, "q")
		is.True(err != nil)
	}
	is.Equal(count("the owner does not answer"), 0) // two late replies are no line
	for range 5 {
		_, _, err = c.Pending(ctx, "q")
		is.True(err != nil)
	}
	is.Equal(count("the owner does not answer"), 1)
	is.Equal(count("the owner answers again"), 0)
	o.silent.Store(false)
	for range 3 {
		time.Sleep(100 * time.Millisecond)
		_, _, err = c.Pending(ctx, "q")
		is.NoErr(err)
	}
	is.Equal(count("the owner does not answer"), 1)
	is.Equal(count("the owner answers again"), 1)
}

// slowOwner is an owner that needs 250 ms for each answer. It counts the replies that took so long.
type slowOwner struct {
	fakeOwner
	slow atomic.Int64
}

func (o *slowOwner) Replied(took time.Duration) {
	if took >= 250*time.Millisecond {
		o.slow.Add(1)
	}
}

func (*slowOwner) Pending(context.Context, core.Queue) (int, bool, error) {
	time.Sleep(250 * time.Millisecond)
	return 0, true, nil
}

// TestQuestionsDoNotQueue guards against questions that wait for the answers to earlier ones on
// their stream: a VM that asks more often than its owner answers had none in time, ever.
func TestQuestionsDoNotQueue(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := &slowOwner{}
	srv := link.NewServer(o, "owner/1", (&fakeTable{}).handle, discardLog())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = srv.Serve(l) }()
	defer srv.Stop()
	c := link.NewClient("vm-1", "z", &o.fakeOwner, &o.fakeOwner, (&fakeTable{}).handle, discardLog())
	go func() { _ = c.Run(ctx) }()
	c.SetOwner(link.OwnerAddr{Addr: netip.MustParseAddrPort(l.Addr().String()), Session: "owner/1"})
	for !c.Connected() {
		time.Sleep(10 * time.Millisecond)
	}
	const questions = 20
	failed := make(chan error, questions)
	for range questions {
		go func() {
			_, _, err := c.Pending(ctx, "q")
			failed <- err
		}()
	}
	for range questions {
		is.NoErr(<-failed)
	}
	for end := time.Now().Add(time.Second); o.slow.Load() < questions && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(o.slow.Load(), int64(questions))
}
