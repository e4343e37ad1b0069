package loop_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/io/loop"
)

// number is a message; negative numbers make the handler panic.
type number int

func (number) Message() {}

// recoverer adds up numbers. Its first tick panics, too.
type recoverer struct {
	sum       int
	ticks     atomic.Int64
	recovered chan error
	sums      chan int
}

func (r *recoverer) Handle(_ time.Time, m loop.Message) {
	if m.(number) < 0 {
		panic("negative number")
	}
	r.sum += int(m.(number))
	r.sums <- r.sum
}

func (r *recoverer) Tick(now time.Time) time.Time {
	if r.ticks.Add(1) == 1 {
		panic("first tick")
	}
	return now.Add(time.Hour)
}

func (r *recoverer) Recover(_ time.Time, err error) { r.recovered <- err }

// TestRecover sends messages of which some make the handler panic. The others must be
// handled, and a tick that has panicked must be repeated.
func TestRecover(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	l := loop.New(ctx)
	h := &recoverer{recovered: make(chan error, 8), sums: make(chan int, 8)}
	ended := make(chan error, 1)
	go func() { ended <- l.Run(h) }()
	for _, n := range []number{1, -1, 2, -2, 3} {
		is.NoErr(l.Post(n))
	}
	for _, want := range []int{1, 3, 6} {
		is.Equal(<-h.sums, want)
	}
	for range 3 {
		is.True(<-h.recovered != nil)
	}
	for end := time.Now().Add(5 * time.Second); h.ticks.Load() < 2 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(h.ticks.Load() >= 2)
	cancel()
	is.NoErr(<-ended)
}

// slowHandler takes handleTime for each message.
type slowHandler struct {
	lags   chan time.Duration
	queues chan int
}

const handleTime = 50 * time.Millisecond

func (*slowHandler) Handle(time.Time, loop.Message) { time.Sleep(handleTime) }

func (*slowHandler) Tick(now time.Time) time.Time { return now.Add(time.Hour) }

func (h *slowHandler) Lagged(_ time.Time, lag time.Duration, queued int) {
	h.lags <- lag
	h.queues <- queued
}

// TestLag posts messages faster than they are handled: the handler must learn how long the
// last one has waited.
func TestLag(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	l := loop.New(ctx)
	h := &slowHandler{lags: make(chan time.Duration, 8), queues: make(chan int, 8)}
	for range 4 {
		is.NoErr(l.Post(number(1)))
	}
	ended := make(chan error, 1)
	go func() { ended <- l.Run(h) }()
	is.True(<-h.lags >= 3*handleTime)
	is.Equal(<-h.queues, 4)
	cancel()
	is.NoErr(<-ended)
}
