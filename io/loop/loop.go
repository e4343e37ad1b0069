// Package loop runs the control goroutine of a process. Only this goroutine uses the
// control state; other goroutines send it typed messages through a bounded mailbox.
package loop

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"chicoryturn/io/guard"
)

// mailboxSize is the capacity of the mailbox. A sender blocks while it is full.
const mailboxSize = 4096

// Message is a message to a handler. Its method only marks the type as a message.
type Message interface{ Message() }

// Handler owns the control state of a process. Only the control goroutine calls it.
type Handler interface {
	// Handle handles one message.
	Handle(now time.Time, m Message)
	// Tick does the work that is due and returns the time of the next call. It is
	// also called after messages have been handled.
	Tick(now time.Time) time.Time
}

// Recoverer is a Handler that can go on after one of its methods has panicked, although
// its state may be inconsistent. After a panic of any other handler the process ends.
type Recoverer interface {
	Handler
	// Recover restores the state after a panic.
	Recover(now time.Time, err error)
}

// Observer is a Handler that learns how late it is.
type Observer interface {
	Handler
	// Lagged is called after each burst of messages with the longest time that one of
	// them was in the mailbox, and with the length of the mailbox before the burst.
	Lagged(now time.Time, lag time.Duration, queued int)
}

// recoverDelay is the time from a panic to the next call of Tick, so that a handler that
// always panics does not keep the processor busy.
const recoverDelay = 100 * time.Millisecond

// StoppedError reports that the loop has stopped and no longer handles messages.
type StoppedError struct{}

// Error implements error.
func (*StoppedError) Error() string { return "the control loop has stopped" }

// letter is a message that was posted at a time.
type letter struct {
	message  Message
	postedAt time.Time
}

// Loop is the mailbox of a control goroutine.
type Loop struct {
	mailbox chan letter
	stopped chan struct{}
	group   *errgroup.Group
	ctx     context.Context
}

// New returns a loop that has not been started.
func New(ctx context.Context) *Loop {
	group, ctx := errgroup.WithContext(ctx)
	return &Loop{mailbox: make(chan letter, mailboxSize), stopped: make(chan struct{}), group: group, ctx: ctx}
}

// Post sends a message to the control goroutine. It blocks while the mailbox is full
// and returns a StoppedError if the loop has stopped.
func (l *Loop) Post(m Message) error {
	select {
	case l.mailbox <- letter{m, time.Now()}:
		return nil
	case <-l.stopped:
		return &StoppedError{}
	}
}

// Go runs work, which may do I/O, on a new goroutine. It posts the message that work
// returns, unless that is nil.
func (l *Loop) Go(work func(ctx context.Context) Message) {
	l.group.Go(func() error {
		if m := work(l.ctx); m != nil {
			// Post fails only if the loop has stopped; it then handles no more results.
			_ = l.Post(m)
		}
		return nil
	})
}

// Depth returns the number of messages in the mailbox.
func (l *Loop) Depth() int { return len(l.mailbox) }

// Run handles messages until the context ends.
func (l *Loop) Run(h Handler) error {
	defer close(l.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return nil
		case first := <-l.mailbox:
			l.handleBurst(h, first)
		case <-timer.C:
		}
		timer.Reset(time.Until(tick(h, time.Now())))
	}
}

// handle handles one message and returns how long it was in the mailbox. A panic costs that
// message if the handler can recover.
func handle(h Handler, m letter) time.Duration {
	now := time.Now()
	if r, ok := h.(Recoverer); !ok {
		h.Handle(now, m.message)
	} else if err := guard.Do(func() error { r.Handle(now, m.message); return nil }); err != nil {
		r.Recover(time.Now(), err)
	}
	return now.Sub(m.postedAt)
}

// tick does the work that is due and returns the time of the next call.
func tick(h Handler, now time.Time) time.Time {
	r, ok := h.(Recoverer)
	if !ok {
		return h.Tick(now)
	}
	next, err := guard.Call(func() (time.Time, error) { return r.Tick(now), nil })
	if err != nil {
		r.Recover(time.Now(), err)
		return now.Add(recoverDelay)
	}
	return next
}

// handleBurst handles a message and those already in the mailbox, so that Tick does not run
// between the messages of a burst.
func (l *Loop) handleBurst(h Handler, first letter) {
	queued := 1 + l.Depth()
	lag := max(handle(h, first), l.handleQueued(h))
	if o, ok := h.(Observer); ok {
		o.Lagged(time.Now(), lag, queued)
	}
}

// handleQueued handles the messages already in the mailbox and returns the longest time that
// one of them was there. It handles at most mailboxSize of them, so that Tick also runs under
// constant load.
func (l *Loop) handleQueued(h Handler) (lag time.Duration) {
	for range mailboxSize {
		select {
		case m := <-l.mailbox:
			lag = max(lag, handle(h, m))
		default:
			return lag
		}
	}
	return lag
}

// Wait waits for the goroutines started by Go. Call it after the context has ended.
func (l *Loop) Wait() error { return l.group.Wait() }

// Ask posts the message that build returns and waits for the reply to it.
func Ask[R any](ctx context.Context, l *Loop, build func(reply chan<- R) Message) (R, error) {
	reply := make(chan R, 1)
	var zero R
	if err := l.Post(build(reply)); err != nil {
		return zero, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-l.stopped:
		return zero, &StoppedError{}
	}
}
