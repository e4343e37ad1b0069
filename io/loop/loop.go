// Package loop runs the control goroutine of a process. It owns all control
// state; traffic goroutines send it typed messages through a bounded mailbox.
package loop

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// mailboxSize bounds the messages that wait; a sender blocks while it is full.
const mailboxSize = 4096

// Message is anything that a handler takes.
type Message interface{ Message() }

// Handler owns control state. It is called from one goroutine only.
type Handler interface {
	// Handle takes in one message.
	Handle(now time.Time, m Message)
	// Wake follows the passing of time and returns when to be called next.
	Wake(now time.Time) time.Time
}

// StoppedError reports a message to a loop that has stopped.
type StoppedError struct{}

// Error implements error.
func (*StoppedError) Error() string { return "the control loop has stopped" }

// Loop is a mailbox with one reader.
type Loop struct {
	mailbox chan Message
	stopped chan struct{}
	group   *errgroup.Group
	ctx     context.Context
}

// New returns a loop that has not been started.
func New(ctx context.Context) *Loop {
	group, ctx := errgroup.WithContext(ctx)
	return &Loop{mailbox: make(chan Message, mailboxSize), stopped: make(chan struct{}), group: group, ctx: ctx}
}

// Post sends a message; it blocks while the mailbox is full.
func (l *Loop) Post(m Message) error {
	select {
	case l.mailbox <- m:
		return nil
	case <-l.stopped:
		return &StoppedError{}
	}
}

// Go runs I/O on a goroutine of its own and sends its result, if any, to the
// control goroutine.
func (l *Loop) Go(work func(ctx context.Context) Message) {
	l.group.Go(func() error {
		if m := work(l.ctx); m != nil {
			// A stopped loop needs no result.
			_ = l.Post(m)
		}
		return nil
	})
}

// Depth returns how many messages wait.
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
		case m := <-l.mailbox:
			h.Handle(time.Now(), m)
			l.handleQueued(h)
		case <-timer.C:
		}
		now := time.Now()
		timer.Reset(time.Until(h.Wake(now)))
	}
}

// handleQueued handles what has arrived meanwhile, so that Wake is not run between
// the messages of a burst.
func (l *Loop) handleQueued(h Handler) {
	for range mailboxSize {
		select {
		case m := <-l.mailbox:
			h.Handle(time.Now(), m)
		default:
			return
		}
	}
}

// Wait waits for the I/O that has been started; the context has ended before.
func (l *Loop) Wait() error { return l.group.Wait() }

// Ask sends the message that build returns and waits for the reply.
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
