package conns

import (
	"container/list"
	"time"
)

// phase is what a connection waits for.
type phase int

// A connection without a request is idle, also if it has never had one. The order of the
// waiting phases is that in which connections are closed.
const (
	idle phase = iota
	header
	body
	// sending is a response that the client has not room for yet.
	sending
	// process is a complete request until its response is sent.
	process
	waitingPhases = process
)

// entry is a connection in an order.
type entry struct {
	conn  *Conn
	phase phase
	// place is the entry's element in the list of its phase; nil in phase process, and once the
	// connection is to be closed.
	place *list.Element
	// since is when the phase began.
	since time.Time
	// headers and bodies are the bytes of the request that has not ended.
	headers, bodies int64
	// chosen is set if the connection is to be closed; closed once it has been.
	chosen, closed bool
}

// grace is how long a connection may wait in a phase before it is closed, unless all of them are
// younger. A new connection has it to send its request, and a client to read a response.
const grace = time.Second

// order decides which connections of a listener are closed. It is not safe for concurrent use.
type order struct {
	bounds Bounds
	// waiting holds the connections of each waiting phase, that with the longest wait first.
	waiting [waitingPhases]list.List
	// open counts the connections, chosen those of them that are to be closed.
	open, chosen int
	// headers and bodies are the sums of all connections that are not to be closed.
	headers, bodies int64
}

func (o *order) add(e *entry, now time.Time) {
	o.open++
	o.enter(e, idle, now)
}

// remove takes a closed connection out. It reports whether it was in.
func (o *order) remove(e *entry) bool {
	if e.closed {
		return false
	}
	e.closed = true
	o.open--
	if e.chosen {
		o.chosen--
	}
	o.leave(e)
	o.forget(e)
	return true
}

// leave takes a connection out of the list of its phase.
func (o *order) leave(e *entry) {
	if e.place != nil {
		o.waiting[e.phase].Remove(e.place)
		e.place = nil
	}
}

// forget drops the bytes of a request that has ended.
func (o *order) forget(e *entry) {
	o.headers -= e.headers
	o.bodies -= e.bodies
	e.headers, e.bodies = 0, 0
}

// enter begins a phase.
func (o *order) enter(e *entry, p phase, now time.Time) {
	o.leave(e)
	if p == idle {
		o.forget(e)
	}
	e.phase, e.since = p, now
	if p < waitingPhases && !e.chosen && !e.closed {
		e.place = o.waiting[p].PushBack(e)
	}
}

// keep takes back the choice of a connection whose request has become complete meanwhile.
func (o *order) keep(e *entry) {
	if e.chosen && !e.closed {
		e.chosen = false
		o.chosen--
	}
}

// received counts bytes of a request.
func (o *order) received(e *entry, n int64, now time.Time) {
	switch e.phase {
	case idle:
		o.enter(e, header, now)
		fallthrough
	case header:
		e.headers += n
		o.headers += n
	case body:
		e.bodies += n
		o.bodies += n
	case sending, process:
	}
}

// choose marks a connection as to be closed. Its bytes no longer count: its memory is freed
// soon, and further ones must not be closed for it.
func (o *order) choose(e *entry) {
	o.leave(e)
	o.forget(e)
	e.chosen = true
	o.chosen++
}

// next returns the connection that is closed first, nil if there is none: of the earliest phase
// from one on the one that has waited longest. It prefers those that have waited for grace, and any
// other to last.
func (o *order) next(from phase, last *entry, now time.Time) *entry {
	var young *entry
	for p := from; p < waitingPhases; p++ {
		place := o.waiting[p].Front()
		if place != nil && place.Value.(*entry) == last {
			place = place.Next()
		}
		if place == nil {
			continue
		}
		e := place.Value.(*entry)
		if now.Sub(e.since) >= grace {
			return e
		}
		if young == nil {
			young = e
		}
	}
	if young != nil {
		return young
	}
	if last != nil && last.place != nil {
		return last
	}
	return nil
}

// crowded chooses connections to close until there is room for all, as far as any can be closed.
// newest, which has just been opened, is never chosen.
func (o *order) crowded(newest *entry, now time.Time) []*entry {
	var out []*entry
	for o.open-o.chosen > o.bounds.Conns {
		e := o.next(idle, newest, now)
		if e == nil || e == newest {
			break
		}
		o.choose(e)
		out = append(out, e)
	}
	return out
}

// heavy chooses connections to close until the bytes of requests are within the bounds, as far
// as any can be closed; last, which has just received bytes, after the others.
func (o *order) heavy(last *entry, now time.Time) []*entry {
	var out []*entry
	for over := o.over(); over != waitingPhases; over = o.over() {
		e := o.next(over, last, now)
		if e == nil {
			break
		}
		o.choose(e)
		out = append(out, e)
	}
	return out
}

// over returns the first phase whose connections hold too much, waitingPhases if none does.
func (o *order) over() phase {
	switch {
	case o.bounds.Headers > 0 && o.headers*headerWeight > o.bounds.Headers:
		return header
	case o.bounds.Bodies > 0 && o.bodies*bodyWeight > o.bounds.Bodies:
		return body
	}
	return waitingPhases
}
