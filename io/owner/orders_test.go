package owner_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/policy"
	"chicoryturn/io/owner"
)

// startPolicy names the queue, the team and the service of handOver's job.
var startPolicy = policy.New(1,
	[]policy.Queue{{Name: "q", Host: "h", Prefix: "/", Service: "s", Attempts: 3, Slowdown: 2, Latency: time.Second}},
	[]policy.Team{{Name: "t", Weight: 1}}, []policy.Service{{Name: "s"}}, 0)

// newHandOver returns a handOver whose record an owner with epoch 5 may claim at once.
func newHandOver() handOver {
	row := &sharedRow{record: elect.Record{Epoch: 4}, version: 1}
	return handOver{delayedStore: delayedStore{fakeDeps: &fakeDeps{}, row: row, delay: time.Millisecond}}
}

// slowStarts answers starts after answerTime, the first one as if the answer were lost.
type slowStarts struct {
	handOver
	starts int
}

const answerTime = 300 * time.Millisecond

func (s *slowStarts) Start(ctx context.Context, o fleet.Order, maySend func() bool) (fleet.Reply, error) {
	maySend()
	time.Sleep(answerTime)
	s.starts++
	if s.starts == 1 {
		return fleet.ReplyUnanswered, context.DeadlineExceeded
	}
	return s.handOver.Start(ctx, o, maySend)
}

// TestLateStartsAreLogged guards against logs that don't tell when a start was decided, sent
// and answered.
func TestLateStartsAreLogged(t *testing.T) {
	is := is.New(t)
	s, hook := &slowStarts{handOver: newHandOver()}, &linesHook{}
	startOwner(t, s, "a", startPolicy, withHook(hook))
	for end := time.Now().Add(10 * time.Second); len(hook.withMessage("start confirmed late")) == 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	placed := hook.withMessage(fleet.EventPlaced)
	is.Equal(len(placed), 2)
	for i, c := range []struct{ msg, reply string }{{"start not confirmed", "no-answer"}, {"start confirmed late", "done"}} {
		lines := hook.withMessage(c.msg)
		is.Equal(len(lines), 1)
		for _, name := range []string{"job", "task", "run", "worker", "epoch"} {
			is.Equal(lines[0].Data[name], placed[i].Data[name])
		}
		is.Equal(lines[0].Data["epoch"], core.Epoch(5))
		is.Equal(lines[0].Data["reply"], c.reply)
		is.True(durationField(t, lines[0], "sent") < answerTime)
		is.True(durationField(t, lines[0], "after") >= answerTime)
	}
}

// heldStarts holds each start where it would wait for a connection, and asks only then whether
// it may be sent.
type heldStarts struct {
	handOver
	// waiting receives each start as it begins to wait, release lets it go on, and sent
	// receives whether it was sent.
	waiting chan fleet.Order
	release chan struct{}
	sent    chan bool
	// stopped receives the orders to stop a run.
	stopped chan fleet.Order
}

func newHeldStarts() *heldStarts {
	return &heldStarts{
		handOver: newHandOver(), waiting: make(chan fleet.Order, 9), release: make(chan struct{}, 9),
		sent: make(chan bool, 9), stopped: make(chan fleet.Order, 9),
	}
}

func (s *heldStarts) Start(ctx context.Context, o fleet.Order, maySend func() bool) (fleet.Reply, error) {
	s.waiting <- o
	<-s.release
	maySendNow := maySend()
	s.sent <- maySendNow
	if !maySendNow {
		return fleet.ReplyNotSent, nil
	}
	return s.handOver.Start(ctx, o, maySend)
}

func (s *heldStarts) Stop(_ context.Context, o fleet.Order) (fleet.Reply, error) {
	s.stopped <- o
	return fleet.ReplyOK, nil
}

// TestStartsAreCheckedWhenSent guards against a start that is sent although what it was decided
// on no longer holds: it waited for a connection meanwhile.
func TestStartsAreCheckedWhenSent(t *testing.T) {
	for name, c := range map[string]struct {
		meanwhile func(o *owner.Owner, s *heldStarts)
		sent      bool
	}{
		"nothing":       {func(*owner.Owner, *heldStarts) {}, true},
		"time passed":   {func(*owner.Owner, *heldStarts) { time.Sleep(elect.SuspectTTL + 100*time.Millisecond) }, false},
		"job cancelled": {func(o *owner.Owner, s *heldStarts) { o.JobCancelled("j"); <-s.stopped }, false},
		"owner resigned": {func(o *owner.Owner, _ *heldStarts) {
			o.Drain()
			<-o.Drained()
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newHeldStarts()
			o := startOwner(t, s, "a", startPolicy)
			<-s.waiting
			c.meanwhile(o, s)
			s.release <- struct{}{}
			is.Equal(<-s.sent, c.sent)
		})
	}
}
