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

func (s *slowStarts) Start(ctx context.Context, o fleet.Order) (fleet.Reply, error) {
	time.Sleep(answerTime)
	s.starts++
	if s.starts == 1 {
		return fleet.ReplyUnanswered, context.DeadlineExceeded
	}
	return s.handOver.Start(ctx, o)
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
