package conns

import (
	"context"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
)

// RemoteAddr implements net.Conn. The address leads gRPC's statistics back to the connection.
func (c *Conn) RemoteAddr() net.Addr { return &connAddr{c.Conn.RemoteAddr(), c} }

// connAddr is the address of a connection's client.
type connAddr struct {
	net.Addr
	conn *Conn
}

// StreamStats lets a Listener follow the streams of a gRPC server: a connection with an open
// stream has a request in process.
func StreamStats() grpc.ServerOption { return grpc.StatsHandler(streamStats{}) }

// streamStats implements stats.Handler.
type streamStats struct{}

// TagConn implements stats.Handler.
func (streamStats) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	if a, ok := info.RemoteAddr.(*connAddr); ok {
		return context.WithValue(ctx, connKey{}, a.conn)
	}
	return ctx
}

// HandleConn implements stats.Handler.
func (streamStats) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (streamStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (streamStats) HandleRPC(ctx context.Context, s stats.RPCStats) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return
	}
	switch s.(type) {
	case *stats.Begin:
		c.streamOpened()
	case *stats.End:
		c.streamEnded()
	}
}

func (c *Conn) streamOpened() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.streams++; c.streams == 1 {
		c.completeLocked(process)
	}
}

func (c *Conn) streamEnded() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.streams--; c.streams == 0 {
		c.enterLocked(idle)
	}
}
