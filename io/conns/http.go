package conns

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// bodyTimeout bounds the time in which a body arrives: 256 KB at 70 kbit/s.
	bodyTimeout = 30 * time.Second
	// maxHeaderBytes bounds the headers where the limits of the listener are higher still.
	maxHeaderBytes = 1 << 20
	// defaultTimeout applies to headers and idle connections of a listener without limits.
	defaultTimeout = time.Minute
)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// Server returns an HTTP server for the connections of the listener.
func (l *Listener) Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: boundBodies(h), ReadHeaderTimeout: defaultTimeout, IdleTimeout: defaultTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState:   l.State,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ErrorLog:    nil,
	}
}

// boundBodies returns a handler whose requests have bodyTimeout for their bodies. Until a body is
// complete its connection counts as one that waits.
func boundBodies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if ok && r.Body != nil && r.Body != http.NoBody {
			c.enter(body)
			// An error means that the connection has been closed.
			_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
			r.Body = &bodyReader{ReadCloser: r.Body, conn: c}
		}
		h.ServeHTTP(w, r)
	})
}

// bodyReader is the body of a request. At its end the request is complete.
type bodyReader struct {
	io.ReadCloser
	conn *Conn
	done bool
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.done {
		b.done = true
		b.conn.complete(process)
		_ = b.conn.SetReadDeadline(time.Time{})
	}
	return n, err
}
