// Package pool keeps open connections to servers. A call takes one, uses it alone and returns it,
// on its own goroutine: idle connections have none.
package pool

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// minSweepInterval is the shortest time between two looks for connections that have been idle for
// too long.
const minSweepInterval = time.Second

// Dialer opens connections. It bounds the time that this takes.
type Dialer interface {
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// DialError reports that no connection could be opened.
type DialError struct{ Err error }

// Error implements error.
func (e *DialError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// WaitError reports that no connection became free in time.
type WaitError struct{ Wait time.Duration }

// Error implements error.
func (e *WaitError) Error() string { return fmt.Sprintf("no connection within %s", e.Wait) }

// Counts tells of the connections of a pool to all servers. Any goroutine may read it.
type Counts struct {
	// Open counts those that are open, Opened all that were opened, and Lost those of them that
	// their server had closed before their next use.
	Open, Opened, Lost atomic.Uint64
}

// Pool holds the connections to all servers.
type Pool struct {
	dialer Dialer
	// perServer bounds the connections to one server, with those that are being opened.
	perServer int
	// idleTimeout is how long an unused connection is kept.
	idleTimeout time.Duration
	counts      Counts

	mu      sync.Mutex
	servers map[netip.AddrPort]*server
	// sweeper runs sweep; it is set while isSweeping.
	sweeper    *time.Timer
	isSweeping bool
}

// server holds the connections to one server. The mutex of the pool guards it.
type server struct {
	addr netip.AddrPort
	// name is the address as text.
	name string
	// idle holds the unused connections, the one used last at the end. There is none while calls
	// wait.
	idle []*Conn
	// waiting holds the calls that wait for a connection, the first one first.
	waiting []*waiter
	// open counts the connections that are open or being opened.
	open int
}

// waiter is a call that waits for a connection.
type waiter struct {
	// ready receives one delivery once the waiter has left the list of its server.
	ready chan delivery
	// isDialing is set once a connection is being opened for the call.
	isDialing bool
}

type delivery struct {
	conn *Conn
	err  error
}

// Option configures a pool.
type Option func(*Pool)

// WithIdleTimeout sets how long an unused connection is kept; without it that is unlimited.
func WithIdleTimeout(d time.Duration) Option { return func(p *Pool) { p.idleTimeout = d } }

// New returns a pool with at most perServer connections to one server.
func New(d Dialer, perServer int, opts ...Option) *Pool {
	p := &Pool{dialer: d, perServer: perServer, servers: map[netip.AddrPort]*server{}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Counts returns the counts of the pool.
func (p *Pool) Counts() *Counts { return &p.counts }

// Get returns a connection that no other call uses. It opens one only while all others are in use.
// The call that has it ends with Put or Discard. The error is a DialError, a WaitError or that of
// the context. Nothing ends the opening of a connection, which another call can use.
func (p *Pool) Get(ctx context.Context, addr netip.AddrPort, wait time.Duration) (*Conn, error) {
	for {
		c, s, w := p.take(addr)
		if w != nil {
			return p.await(ctx, s, w, wait)
		}
		if c.isOpen() {
			return c, nil
		}
		p.counts.Lost.Add(1)
		p.Discard(c)
	}
}

// take returns an idle connection, or else a waiter for one.
func (p *Pool) take(addr netip.AddrPort) (*Conn, *server, *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[addr]
	if s == nil {
		s = &server{addr: addr, name: addr.String()}
		p.servers[addr] = s
	}
	if last := len(s.idle) - 1; last >= 0 {
		c := s.idle[last]
		s.idle = slices.Delete(s.idle, last, last+1)
		return c, s, nil
	}
	w := &waiter{ready: make(chan delivery, 1)}
	s.waiting = append(s.waiting, w)
	p.openMore(s)
	return nil, s, w
}

// openMore opens connections for the calls that wait, as far as the limit allows.
func (p *Pool) openMore(s *server) {
	for _, w := range s.waiting {
		if s.open >= p.perServer {
			return
		}
		if !w.isDialing {
			w.isDialing = true
			s.open++
			go p.dial(s, w)
		}
	}
}

// dial opens a connection for a waiter. If that has ended, the connection is for another.
func (p *Pool) dial(s *server, w *waiter) {
	netConn, err := p.dialer.DialContext(context.Background(), "tcp", s.name)
	p.mu.Lock()
	defer p.mu.Unlock()
	isWaiting := s.remove(w)
	if err != nil {
		if isWaiting {
			w.ready <- delivery{err: &DialError{err}}
		}
		p.closed(s)
		return
	}
	p.counts.Opened.Add(1)
	p.counts.Open.Add(1)
	c := newConn(netConn, s)
	if isWaiting {
		w.ready <- delivery{conn: c}
		return
	}
	p.deliver(c)
}

// remove removes a waiter from the list and reports whether it was there.
func (s *server) remove(w *waiter) bool {
	i := slices.Index(s.waiting, w)
	if i < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return true
}

// await waits for the connection of a waiter.
func (p *Pool) await(ctx context.Context, s *server, w *waiter, wait time.Duration) (*Conn, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var err error
	select {
	case d := <-w.ready:
		return d.conn, d.err
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = &WaitError{wait}
	}
	p.mu.Lock()
	wasWaiting := s.remove(w)
	p.forgetUnused(s)
	p.mu.Unlock()
	if wasWaiting {
		return nil, err
	}
	if d := <-w.ready; d.err != nil {
		return nil, d.err
	} else if d.conn != nil {
		p.Put(d.conn)
	}
	return nil, err
}

// Put returns a connection on which the last answer has been read to its end.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(c)
}

// deliver passes a connection to the first waiter, or keeps it.
func (p *Pool) deliver(c *Conn) {
	s := c.server
	if len(s.waiting) > 0 {
		w := s.waiting[0]
		s.waiting = slices.Delete(s.waiting, 0, 1)
		w.ready <- delivery{conn: c}
		return
	}
	c.idleSince = time.Now()
	s.idle = append(s.idle, c)
	if p.idleTimeout > 0 && !p.isSweeping {
		p.scheduleSweep(p.idleTimeout)
	}
}

// Discard closes a connection.
func (p *Pool) Discard(c *Conn) {
	// The connection is not used again, whatever the error.
	_ = c.Close()
	p.counts.Open.Add(^uint64(0))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed(c.server)
}

// closed records that one connection less is open.
func (p *Pool) closed(s *server) {
	s.open--
	p.openMore(s)
	p.forgetUnused(s)
}

// forgetUnused forgets a server without connections and calls. A call that has given up may name
// one that is forgotten already, at whose address there is another by now.
func (p *Pool) forgetUnused(s *server) {
	if s.open == 0 && len(s.waiting) == 0 && p.servers[s.addr] == s {
		delete(p.servers, s.addr)
	}
}

func (p *Pool) scheduleSweep(after time.Duration) {
	p.isSweeping = true
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(after, p.sweep)
	} else {
		p.sweeper.Reset(after)
	}
}

// sweep closes the connections that have been idle for too long.
func (p *Pool) sweep() {
	now := time.Now()
	next := time.Duration(-1)
	var expired []*Conn
	p.mu.Lock()
	for _, s := range p.servers {
		for len(s.idle) > 0 && now.Sub(s.idle[0].idleSince) >= p.idleTimeout {
			expired = append(expired, s.idle[0])
			s.idle = slices.Delete(s.idle, 0, 1)
			s.open--
		}
		if len(s.idle) == 0 {
			p.forgetUnused(s)
		} else if left := p.idleTimeout - now.Sub(s.idle[0].idleSince); next < 0 || left < next {
			next = left
		}
	}
	p.isSweeping = false
	if next >= 0 {
		p.scheduleSweep(max(next, minSweepInterval))
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
		p.counts.Open.Add(^uint64(0))
	}
}
