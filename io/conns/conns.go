package conns

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// reason is why a connection was closed.
type reason int

const (
	// tooMany: there were more connections than the bound.
	tooMany reason = iota
	// tooHeavy: the incomplete requests of all connections took too much memory.
	tooHeavy
	// tooLong: the headers of one request were too long.
	tooLong
	reasons
)

var reasonNames = [reasons]string{"connections", "memory", "headers"}

const (
	// logInterval is the least time between two log lines of a listener.
	logInterval = time.Second
	// writeTimeout bounds one write to a client that does not read.
	writeTimeout = 30 * time.Second
	// headersTooLong answers headers over the limit.
	headersTooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// refusalTimeout bounds the last write to a connection that is to be closed.
	refusalTimeout = 100 * time.Millisecond
)

// longAgo is a deadline that ends each read at once.
var longAgo = time.Unix(1, 0)

// ClosedError is the error of a read from a connection that is closed for a limit.
type ClosedError struct{ Listener string }

// Error implements error.
func (e *ClosedError) Error() string {
	return fmt.Sprintf("a connection of the listener for %s is over a limit", e.Listener)
}

// Timeout implements net.Error, so that http.Server closes the connection without an answer.
func (*ClosedError) Timeout() bool { return true }

// Temporary implements net.Error.
func (*ClosedError) Temporary() bool { return false }

// Listener is a net.Listener that bounds what its connections hold. If there are too many, or
// their incomplete requests take too much memory, it closes those that have waited longest for
// a complete request, idle ones first, and then those whose clients do not read the response. It
// never closes a connection whose request is in process: Accept waits instead.
//
// It closes a connection by ending its reads, or the write. The server, which owns the connection, closes
// it then, so no request is processed of which a part was discarded.
type Listener struct {
	net.Listener
	name   string
	log    *logrus.Entry
	limits atomic.Pointer[Limits]
	// userTimeout is the TCP user timeout; 0 means that of the system.
	userTimeout time.Duration
	// readBuffer is the size of the kernel's buffer; 0 means that of the system.
	readBuffer int
	closures   [reasons]*metrics.Counter
	gauge      *metrics.Gauge

	// mu guards the fields below and the entries of all connections. changed is signalled when
	// a connection has been closed.
	mu      sync.Mutex
	changed *sync.Cond
	order   order
	closed  bool
	// newest is the connection that Accept makes room for; nil if there is none.
	newest *entry
	// unlogged counts the connections closed since the last log line, at loggedAt.
	unlogged [reasons]int
	loggedAt time.Time
}

// Option configures a Listener.
type Option func(*Listener)

// WithBodies bounds the memory that incomplete bodies take, in bytes.
func WithBodies(bytes int64) Option {
	return func(l *Listener) { l.order.bounds.Bodies = bytes }
}

// WithLimits sets the limits of each connection. They replace the time-outs of the server.
func WithLimits(limits Limits) Option { return func(l *Listener) { l.SetLimits(limits) } }

// WithUserTimeout closes connections with data unacknowledged for a time. gRPC sets this only on
// connections that are not wrapped.
func WithUserTimeout(d time.Duration) Option { return func(l *Listener) { l.userTimeout = d } }

// WithReadBuffer bounds what the kernel receives before the process reads it, in bytes. Else the
// kernel lets a client that sends much have several megabytes.
func WithReadBuffer(bytes int) Option { return func(l *Listener) { l.readBuffer = bytes } }

// New returns a Listener that accepts the connections of another one. name is that of its
// clients in metrics and log lines.
func New(inner net.Listener, name string, b Bounds, log *logrus.Entry, opts ...Option) *Listener {
	l := &Listener{Listener: inner, name: name, log: log, order: order{bounds: b}}
	l.changed = sync.NewCond(&l.mu)
	for i := range l.closures {
		l.closures[i] = metrics.GetOrCreateCounter(fmt.Sprintf("chicoryturn_connections_closed_total{listener=%q,reason=%q}", name, reasonNames[i]))
	}
	l.gauge = metrics.GetOrCreateGauge(fmt.Sprintf("chicoryturn_connections{listener=%q}", name), nil)
	for _, opt := range opts {
		opt(l)
	}
	// The connections inherit the buffer, also those that have not been accepted yet.
	setOption(inner, unix.SOL_SOCKET, unix.SO_RCVBUF, l.readBuffer)
	return l
}

// SetLimits changes the limits of each connection.
func (l *Listener) SetLimits(limits Limits) { l.limits.Store(&limits) }

// Accept implements net.Listener. It waits until there is room for the connection.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	setOption(inner, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.userTimeout/time.Millisecond))
	c := &Conn{Conn: inner, listener: l}
	c.entry.conn = c
	l.mu.Lock()
	l.order.add(&c.entry, time.Now())
	l.newest = &c.entry
	l.gauge.Inc()
	for !l.closed && l.order.open > l.order.bounds.Conns {
		l.makeRoom(time.Now())
		l.changed.Wait()
	}
	closed := l.closed
	l.newest = nil
	l.unlockAndLog()
	if closed {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	return c, nil
}

// setOption sets an option of the socket of a listener or connection; in tests there is none. An
// error means that it has been closed.
func setOption(socket any, level, option, value int) {
	s, ok := socket.(syscall.Conn)
	if !ok || value == 0 {
		return
	}
	if raw, err := s.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), level, option, value) })
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// makeRoom ends connections while there are too many; the caller holds the lock.
func (l *Listener) makeRoom(now time.Time) { l.end(l.order.crowded(l.newest, now), tooMany) }

// end ends the reads, or the writes, of connections; the caller holds the lock.
func (l *Listener) end(entries []*entry, why reason) {
	for _, e := range entries {
		e.conn.why = why
		// An error means that the connection has been closed.
		if e.phase == sending {
			_ = e.conn.Conn.SetWriteDeadline(e.since.Add(grace))
			continue
		}
		_ = e.conn.Conn.SetReadDeadline(longAgo)
	}
}

// unlockAndLog releases the lock and logs how many connections were closed, unless the last
// line is too young.
func (l *Listener) unlockAndLog() {
	n, open, now := l.unlogged, l.order.open, time.Now()
	due := n != [reasons]int{} && now.Sub(l.loggedAt) >= logInterval
	if due {
		l.unlogged, l.loggedAt = [reasons]int{}, now
	}
	l.mu.Unlock()
	if due {
		l.log.WithFields(logrus.Fields{
			"listener": l.name, "open": open, "bound": l.order.bounds.Conns,
			reasonNames[tooMany]: n[tooMany], reasonNames[tooHeavy]: n[tooHeavy], reasonNames[tooLong]: n[tooLong],
		}).Warn("connections closed for a limit")
	}
}

// State follows the requests of an http.Server; it is for http.Server.ConnState.
func (l *Listener) State(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.complete(process)
	case http.StateIdle:
		c.enter(idle)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	// entry and streams, the number of open streams of gRPC, are guarded by the lock of the
	// listener.
	entry   entry
	streams int
	// why is the reason if the connection is to be closed, refused whether the server has been
	// told so; guarded likewise.
	why     reason
	refused bool
	// uncounted is set while the bytes that arrive belong to no incomplete request that is bounded.
	uncounted atomic.Bool
}

// Read implements net.Conn. Of a connection that is to be closed it returns nothing, so that
// no further request of it becomes complete.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.uncounted.Load() {
		return n, err
	}
	l := c.listener
	l.mu.Lock()
	defer l.unlockAndLog()
	if c.entry.chosen {
		return c.refuse()
	}
	if n == 0 {
		return n, err
	}
	limits, now := l.limits.Load(), time.Now()
	if limits != nil && c.entry.phase == idle {
		_ = c.Conn.SetReadDeadline(now.Add(limits.HeaderTimeout))
	}
	l.order.received(&c.entry, int64(n), now)
	if limits != nil && c.entry.phase == header && c.entry.headers > limits.HeaderBytes+headerSlack {
		l.order.choose(&c.entry)
		l.end([]*entry{&c.entry}, tooLong)
		_ = c.Conn.SetWriteDeadline(now.Add(refusalTimeout))
		// The buffer of a connection that waits for headers is empty, so this does not wait. An
		// error means that the client has closed the connection.
		_, _ = c.Conn.Write([]byte(headersTooLong))
		return c.refuse()
	}
	l.end(l.order.heavy(&c.entry, now), tooHeavy)
	if c.entry.chosen {
		return c.refuse()
	}
	return n, err
}

// refuse ends the reads of the server for good; the caller holds the lock.
func (c *Conn) refuse() (int, error) {
	c.refused = true
	return 0, &ClosedError{c.listener.name}
}

// Write implements net.Conn. It fails if the client does not read for writeTimeout, or for
// refusalTimeout if the connection is to be closed, as others wait for its room.
func (c *Conn) Write(p []byte) (int, error) {
	c.beginWrite()
	n, err := c.Conn.Write(p)
	c.endWrite(err)
	return n, err
}

func (c *Conn) beginWrite() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	timeout := writeTimeout
	switch {
	case c.entry.chosen:
		timeout = refusalTimeout
	case c.entry.phase == process:
		c.enterLocked(sending)
	}
	// An error means that the connection has been closed, and ends the write as well.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(timeout))
}

// endWrite keeps a connection that was to be closed if the client has read in time.
func (c *Conn) endWrite(err error) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.entry.phase != sending {
		return
	}
	if err == nil {
		l.order.keep(&c.entry)
	}
	c.enterLocked(process)
}

// chosen reports whether the connection is to be closed.
func (c *Conn) chosen() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.entry.chosen
}

// SetReadDeadline implements net.Conn. The limits of the listener replace the time-outs of the
// server for headers and idle connections.
func (c *Conn) SetReadDeadline(t time.Time) error {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.entry.chosen {
		return c.Conn.SetReadDeadline(longAgo)
	}
	if limits := l.limits.Load(); limits != nil && !t.IsZero() {
		switch c.entry.phase {
		case idle:
			t = time.Now().Add(limits.IdleTimeout)
		case header:
			t = time.Now().Add(limits.HeaderTimeout)
		case body, sending, process:
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite closes the sending half. http.Server calls it after its last response and leaves the
// client some time to read that; a connection that is to be closed is closed at once.
func (c *Conn) CloseWrite() error {
	if c.chosen() {
		return c.Close()
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Close()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	l := c.listener
	err := c.Conn.Close()
	l.mu.Lock()
	defer l.unlockAndLog()
	if l.order.remove(&c.entry) {
		if c.entry.chosen {
			l.closures[c.why].Inc()
			l.unlogged[c.why]++
		}
		l.gauge.Dec()
		l.changed.Broadcast()
	}
	return err
}

// enter begins a phase.
func (c *Conn) enter(p phase) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.enterLocked(p)
}

func (c *Conn) enterLocked(p phase) {
	l := c.listener
	l.order.enter(&c.entry, p, time.Now())
	c.uncounted.Store(p >= sending || p == body && l.order.bounds.Bodies == 0)
	// A client that sends its next requests before it has the response of the last one is idle for
	// a moment only, so its connection is chosen here. It is closed once it has to be read.
	if l.order.open > l.order.bounds.Conns {
		l.makeRoom(c.entry.since)
	}
}

// complete begins a phase after the connection has received a complete request, or all headers of
// one. If it was to be closed meanwhile, it is kept.
func (c *Conn) complete(p phase) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.completeLocked(p)
}

func (c *Conn) completeLocked(p phase) {
	if c.entry.chosen && !c.refused {
		c.listener.order.keep(&c.entry)
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	c.enterLocked(p)
}
