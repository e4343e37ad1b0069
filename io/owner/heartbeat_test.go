package owner_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core/fleet"
	"chicoryturn/core/policy"
)

// silentWorker is a worker that answers no heartbeat.
type silentWorker struct {
	handOver
	// sent receives when each call began, ended how long each has taken that the owner has given
	// up.
	sent  chan time.Time
	ended chan time.Duration
}

func (s *silentWorker) Heartbeat(ctx context.Context, _ fleet.Order) (fleet.RunLists, fleet.Reply, error) {
	began := time.Now()
	s.sent <- began
	<-ctx.Done()
	s.ended <- time.Since(began)
	return fleet.RunLists{}, fleet.ReplyUnanswered, ctx.Err()
}

// TestSilentWorkerIsAskedAgain guards against heartbeats that count as failed too early, never, or
// are all kept: of those without an answer only the first is awaited further.
func TestSilentWorkerIsAskedAgain(t *testing.T) {
	is := is.New(t)
	s := &silentWorker{handOver: newHandOver(), sent: make(chan time.Time, 99), ended: make(chan time.Duration, 99)}
	startOwner(t, s, "a", policy.New(1, nil, nil, []policy.Service{{Name: "s"}}, 0))
	last := <-s.sent
	for range 3 {
		next := <-s.sent
		is.True(next.Sub(last) >= 350*time.Millisecond)
		last = next
	}
	for range 2 {
		is.True(<-s.ended >= 350*time.Millisecond)
	}
}
