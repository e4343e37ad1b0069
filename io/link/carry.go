package link

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"chicoryturn/io/table"
	"chicoryturn/io/wire"
)

// carryTime bounds a call that is carried out for another VM.
const carryTime = 2500 * time.Millisecond

// waits holds the replies that are waited for, by number.
type waits[R any] struct {
	mu   sync.Mutex
	last uint64
	open map[uint64]chan R
}

func newWaits[R any]() *waits[R] { return &waits[R]{open: map[uint64]chan R{}} }

// add returns a number and where its reply comes; a closed channel means that
// none will.
func (w *waits[R]) add() (uint64, <-chan R) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last++
	ch := make(chan R, 1)
	w.open[w.last] = ch
	return w.last, ch
}

func (w *waits[R]) drop(n uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.open, n)
}

func (w *waits[R]) deliver(n uint64, r R) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ch, ok := w.open[n]; ok {
		ch <- r
		delete(w.open, n)
	}
}

// close ends all waits.
func (w *waits[R]) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n, ch := range w.open {
		close(ch)
		delete(w.open, n)
	}
}

// Serve carries out a call of the table for another VM.
type Serve func(ctx context.Context, c table.Call) table.Outcome

// carrier has the other side of a stream carry out calls of the table, and
// carries out its calls.
type carrier struct {
	own   Serve
	waits *waits[table.Outcome]
}

func newCarrier(own Serve) *carrier {
	return &carrier{own: own, waits: newWaits[table.Outcome]()}
}

// carry sends a call and waits for its outcome. Once sent, a call without an
// outcome may have been carried out.
func (c *carrier) carry(ctx context.Context, call table.Call, send func(*wire.Call) bool) (table.Outcome, error) {
	body, err := json.Marshal(call)
	if err != nil {
		return table.Outcome{}, &table.RelayError{Reason: err.Error()}
	}
	n, reply := c.waits.add()
	defer c.waits.drop(n)
	if !send(&wire.Call{Number: n, Body: body}) {
		return table.Outcome{}, &table.RelayError{Reason: "not joined"}
	}
	ctx, cancel := context.WithTimeout(ctx, carryTime)
	defer cancel()
	select {
	case o, ok := <-reply:
		if !ok {
			return table.Outcome{NoAnswer: "the stream has ended"}, nil
		}
		return o, nil
	case <-ctx.Done():
		return table.Outcome{NoAnswer: ctx.Err().Error()}, nil
	}
}

// carried takes in an outcome.
func (c *carrier) carried(m *wire.Carried) error {
	var o table.Outcome
	if err := json.Unmarshal(m.Body, &o); err != nil {
		return &FormatError{err.Error()}
	}
	c.waits.deliver(m.Number, o)
	return nil
}

// serve carries out a call of the other side, on a goroutine of its own.
func (c *carrier) serve(ctx context.Context, m *wire.Call, send func(*wire.Carried)) error {
	var call table.Call
	if err := json.Unmarshal(m.Body, &call); err != nil {
		return &FormatError{err.Error()}
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, carryTime)
		defer cancel()
		body, err := json.Marshal(c.own(ctx, call))
		if err != nil {
			// No outcome reads as one that is not known.
			return
		}
		send(&wire.Carried{Number: m.Number, Body: body})
	}()
	return nil
}
