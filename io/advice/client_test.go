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

// fakeAdvisor answers after a delay.
type fakeAdvisor struct{ delay time.Duration }

func (f fakeAdvisor) Advise(ctx context.Context, _ jobs.PhaseID, _ []core.WorkerID) ([]fleet.AllowedWorker, time.Duration, error) {
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(f.delay):
		return []fleet.AllowedWorker{{Worker: "w", Ticket: "t"}}, time.Second, nil
	}
}

// TestTicketsLeft guards against treating the tickets of an old answer as new
// ones: an answer may wait until its job has been stored, and the tickets'
// validity ends meanwhile.
func TestTicketsLeft(t *testing.T) {
	is := is.New(t)
	c := advice.New(fakeAdvisor{10 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = c.Run(ctx) }()
	got := make(chan advice.Result, 1)
	c.Request(fleet.AdviceRequest{Cost: 10 * time.Millisecond}, func(r advice.Result) { got <- r })
	r := <-got
	is.NoErr(r.Err)
	is.True(r.TicketsLeft(r.At.Add(400*time.Millisecond)) == 600*time.Millisecond)
	is.True(r.TicketsLeft(r.At.Add(2*time.Second)) < 0)
}

// TestFull checks that requests beyond the length of the queue fail at once.
func TestFull(t *testing.T) {
	is := is.New(t)
	c := advice.New(fakeAdvisor{})
	failed := 0
	for range 100 {
		c.Request(fleet.AdviceRequest{}, func(r advice.Result) {
			if r.Err != nil {
				failed++
			}
		})
	}
	is.Equal(failed, 70)
}

// TestDelay checks that the delay includes both the queued calls and the one in
// progress.
func TestDelay(t *testing.T) {
	is := is.New(t)
	c := advice.New(fakeAdvisor{time.Second})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	is.Equal(c.Delay(), time.Duration(0))
	done := make(chan advice.Result, 2)
	for range 2 {
		c.Request(fleet.AdviceRequest{Cost: time.Second}, func(r advice.Result) { done <- r })
	}
	is.Equal(c.Delay(), 2*time.Second)
	go func() { _ = c.Run(ctx) }()
	time.Sleep(500 * time.Millisecond)
	is.True(c.Delay() > 1200*time.Millisecond && c.Delay() < 1700*time.Millisecond)
	<-done
	<-done
	is.Equal(c.Delay(), time.Duration(0))
}
