package link

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"chicoryturn/io/guard"
	"chicoryturn/io/table"
	"chicoryturn/io/wire"
)

// forwardTimeout bounds a table call that is forwarded to another VM, on both
// sides of the stream.
const forwardTimeout = 2500 * time.Millisecond

// pendingReplies holds a channel for each request in flight, by the request's
// number.
type pendingReplies[R any] struct {
	mu         sync.Mutex
	lastNumber uint64
	channels   map[uint64]chan R
}

func newPendingReplies[R any]() *pendingReplies[R] {
	return &pendingReplies[R]{channels: map[uint64]chan R{}}
}

// add registers a request. It returns the request's number and the channel for
// its reply; the channel is closed without a reply if the stream ends first.
func (p *pendingReplies[R]) add() (uint64, <-chan R) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNumber++
	ch := make(chan R, 1)
	p.channels[p.lastNumber] = ch
	return p.lastNumber, ch
}

// remove drops a request; a later reply to it is ignored.
func (p *pendingReplies[R]) remove(n uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.channels, n)
}

// deliver passes a reply to the request with its number.
func (p *pendingReplies[R]) deliver(n uint64, r R) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ch, ok := p.channels[n]; ok {
		ch <- r
		delete(p.channels, n)
	}
}

// close closes the channels of all requests in flight.
func (p *pendingReplies[R]) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, ch := range p.channels {
		close(ch)
		delete(p.channels, n)
	}
}

// CallHandler makes a table call for another VM.
type CallHandler func(ctx context.Context, c table.Call) table.Outcome

// forwarder forwards table calls to the other side of a stream, and makes the
// calls that the other side forwards.
type forwarder struct {
	handler CallHandler
	replies *pendingReplies[table.Outcome]
}

func newForwarder(h CallHandler) *forwarder {
	return &forwarder{handler: h, replies: newPendingReplies[table.Outcome]()}
}

// forward sends a call and waits for its outcome. It returns an error only if
// the call was not sent; a call that was sent and has no outcome may have taken
// effect.
func (f *forwarder) forward(ctx context.Context, call table.Call, send func(*wire.Call) bool) (table.Outcome, error) {
	body, err := json.Marshal(call)
	if err != nil {
		return table.Outcome{}, &table.RelayError{Reason: err.Error()}
	}
	n, reply := f.replies.add()
	defer f.replies.remove(n)
	if !send(&wire.Call{Number: n, Body: body}) {
		return table.Outcome{}, &table.RelayError{Reason: "no stream to the other VM"}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	select {
	case o, ok := <-reply:
		if !ok {
			return table.Outcome{NoAnswer: "the stream has ended"}, nil
		}
		if !o.Matches(call) {
			return table.Outcome{NoAnswer: "the other VM has sent the outcome of another call"}, nil
		}
		return o, nil
	case <-ctx.Done():
		return table.Outcome{NoAnswer: ctx.Err().Error()}, nil
	}
}

// handleOutcome delivers the outcome of a forwarded call.
func (f *forwarder) handleOutcome(m *wire.Carried) error {
	var o table.Outcome
	if err := json.Unmarshal(m.Body, &o); err != nil {
		return &FormatError{err.Error()}
	}
	f.replies.deliver(m.Number, o)
	return nil
}

// handleCall makes a call for the other side in a new goroutine and sends the
// outcome back.
func (f *forwarder) handleCall(ctx context.Context, m *wire.Call, send func(*wire.Carried)) error {
	var call table.Call
	if err := json.Unmarshal(m.Body, &call); err != nil {
		return &FormatError{err.Error()}
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		outcome, err := guard.Call(func() (table.Outcome, error) { return f.handler(ctx, call), nil })
		if err != nil {
			outcome = table.Outcome{NoAnswer: err.Error()}
		}
		body, err := json.Marshal(outcome)
		if err != nil {
			// Without a message, the other side times out and treats the outcome
			// as unknown.
			return
		}
		send(&wire.Carried{Number: m.Number, Body: body})
	}()
	return nil
}
