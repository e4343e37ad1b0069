package advice_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/io/advice"
)

// policy answers after a while.
type policy struct{ wait time.Duration }

func (p policy) Advise(ctx context.Context, _ jobs.PhaseID, _ []core.WorkerID) ([]fleet.AllowedWorker, time.Duration, error) {
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(p.wait):
		return []fleet.AllowedWorker{{Worker: "w", Ticket: "t"}}, time.Second, nil
	}
}

// TestAge keeps an answer for a while, as a job does that is not recorded yet:
// its tickets are not taken for fresh ones.
func TestAge(t *testing.T) {
	is := is.New(t)
	g := advice.New(policy{10 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = g.Run(ctx) }()
	got := make(chan advice.Result, 1)
	g.Request(fleet.AdviceRequest{Cost: 10 * time.Millisecond}, func(r advice.Result) { got <- r })
	r := <-got
	is.NoErr(r.Err)
	is.True(r.TicketsLeft(r.At.Add(400*time.Millisecond)) == 600*time.Millisecond)
	is.True(r.TicketsLeft(r.At.Add(2*time.Second)) < 0)
}

// TestFull asks for more than can wait: the call fails at once.
func TestFull(t *testing.T) {
	is := is.New(t)
	g := advice.New(policy{})
	failed := 0
	for range 100 {
		g.Request(fleet.AdviceRequest{}, func(r advice.Result) {
			if r.Err != nil {
				failed++
			}
		})
	}
	is.Equal(failed, 70)
}

// TestDelay has calls under way and waiting: a further one would wait for both.
func TestDelay(t *testing.T) {
	is := is.New(t)
	g := advice.New(policy{time.Second})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	is.Equal(g.Delay(), time.Duration(0))
	done := make(chan advice.Result, 2)
	for range 2 {
		g.Request(fleet.AdviceRequest{Cost: time.Second}, func(r advice.Result) { done <- r })
	}
	is.Equal(g.Delay(), 2*time.Second)
	go func() { _ = g.Run(ctx) }()
	time.Sleep(500 * time.Millisecond)
	is.True(g.Delay() > 1200*time.Millisecond && g.Delay() < 1700*time.Millisecond)
	<-done
	<-done
	is.Equal(g.Delay(), time.Duration(0))
}
