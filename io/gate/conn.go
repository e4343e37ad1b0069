package gate

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	// idleTimeout is shorter than the idle time-out of most targets, so that the
	// gate rarely reuses a connection that the target is about to close.
	idleTimeout = 5 * time.Second
	// maxIdle bounds the idle connections of one gate to one target. Connections
	// in use are bounded by the target's slots. With nine gates and 8 slots, a
	// target has at most 8 + 9*4 = 44 of its 64 connections open.
	maxIdle = 4
)

// emptyBody is an empty body that the HTTP client does not recognize as empty.
// The client would send a request without a body again after some failures.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

// WriteBlockedError reports a write to a connection after blockWrites.
type WriteBlockedError struct{}

// Error implements error.
func (*WriteBlockedError) Error() string {
	return "write blocked: the request on this connection has already failed"
}

// trackedConn is a connection that records whether any byte of the current
// request has been written to it.
type trackedConn struct {
	net.Conn
	mu sync.Mutex
	// wrote is set by the first write after startRequest.
	wrote bool
	// blocked is set by blockWrites; all later writes fail.
	blocked bool
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.blocked {
		c.mu.Unlock()
		return 0, &WriteBlockedError{}
	}
	c.wrote = true
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// startRequest marks the start of a new request on a connection. It returns nil
// if the connection is not tracked.
func startRequest(conn net.Conn) *trackedConn {
	c, ok := conn.(*trackedConn)
	if !ok {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
	return c
}

// blockWrites makes all further writes fail and reports whether nothing has been
// written since startRequest. If so, no byte of the request can reach the target,
// and the request can be sent again.
func (c *trackedConn) blockWrites() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = true
	return !c.wrote
}

// newTransport returns an HTTP transport whose connections are tracked.
func newTransport() http.RoundTripper {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
	}
}
