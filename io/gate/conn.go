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
	// idleTimeout is shorter than what targets usually allow, so that a reused
	// connection is rarely one that the target is about to close.
	idleTimeout = 5 * time.Second
	// maxIdle bounds the idle connections to one target. Those in use are
	// bounded by its slots, so with nine gates and 8 slots a target has at most
	// 44 of its 64 connections open.
	maxIdle = 4
)

// emptyBody is an empty body that the HTTP client cannot take for one that may be
// sent again.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

// WriteBlockedError reports a write to a connection whose request has been given up.
type WriteBlockedError struct{}

// Error implements error.
func (*WriteBlockedError) Error() string { return "the request has been given up" }

// trackedConn knows whether anything has been written since it was marked.
type trackedConn struct {
	net.Conn
	mu      sync.Mutex
	wrote   bool
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

// startRequest begins a new request on a connection.
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

// blockWrites lets nothing more be written and reports whether nothing has been
// written since the mark: then the request has surely not been sent.
func (c *trackedConn) blockWrites() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = true
	return !c.wrote
}

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
