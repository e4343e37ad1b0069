package node

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"chicoryturn/core/policy"
	"chicoryturn/io/conns"
	"chicoryturn/io/guard"
	"chicoryturn/io/link"
	"chicoryturn/io/proc"
)

const (
	// headerTimeout and idleTimeout are the least time that a client has for its headers, and
	// that an idle connection is kept.
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
	// timeoutSlack is what a client has beyond the configured times, as its bytes travel.
	timeoutSlack = 2 * time.Second
	// readBuffer is the kernel's buffer of a connection in bytes. A body of 256 KB from a client
	// 40 ms away takes 8 round trips.
	readBuffer = 32 << 10
	// headerBytes limits the headers of a request if the configuration does not.
	headerBytes = 16 << 10
)

// connLimits returns the limits of connections under a configuration. They are never tighter than
// what it names.
func connLimits(c policy.ClientLimits) conns.Limits {
	return conns.Limits{
		HeaderBytes:   max(headerBytes, c.HeaderBytes),
		HeaderTimeout: max(headerTimeout, c.HeaderTimeout+timeoutSlack),
		IdleTimeout:   max(idleTimeout, c.IdleTimeout+timeoutSlack),
	}
}

// listen binds an address. Its listener may use a share of the process's memory and descriptors.
func (n *Node) listen(name string, addr netip.AddrPort, share conns.Share, opts ...conns.Option) (*conns.Listener, error) {
	l, err := proc.Listen(name, addr)
	if err != nil {
		return nil, err
	}
	r := conns.Resources{Memory: n.settings.Limits.Memory, Files: n.settings.MaxFiles}
	return conns.New(l, name, r.Bounds(share), n.logger("conns"), opts...), nil
}

// serve listens on the process's addresses and starts their servers.
func (n *Node) serve(ctx context.Context, g *errgroup.Group, stop <-chan struct{}, exit context.CancelFunc) error {
	limits, buffer := conns.WithLimits(connLimits(policy.ClientLimits{})), conns.WithReadBuffer(readBuffer)
	callers, err := n.listen("callers", n.settings.Callers, conns.ClientShare, limits, buffer)
	if err != nil {
		return err
	}
	probes, err := n.listen("probes", n.settings.Probes, conns.ProbeShare, limits, buffer)
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	peers, err := n.listen("peers", n.settings.Peers, conns.PeerShare, conns.WithUserTimeout(link.KeepAliveTimeout))
	if err != nil {
		return errors.Join(err, callers.Close(), probes.Close())
	}
	ops, err := n.listen("ops", n.settings.Ops, conns.OperatorShare, limits, buffer)
	if err != nil {
		return errors.Join(err, callers.Close(), probes.Close(), peers.Close())
	}
	n.listeners = []*conns.Listener{callers, probes, ops}
	g.Go(func() error { return n.linkServer.Serve(peers) })
	g.Go(func() error {
		<-ctx.Done()
		n.linkServer.Stop()
		return nil
	})
	callerServer := n.httpServer(ctx, g, callers, n.platform.CallerHandler(n.entry))
	n.httpServer(ctx, g, probes, n.platform.ProbeHandler(n.entry))
	n.httpServer(ctx, g, ops, n.opsHandler())
	g.Go(func() error { return n.shutdown(ctx, stop, callerServer, exit) })
	return nil
}

// httpServer starts an HTTP server that is closed when the context ends.
func (n *Node) httpServer(ctx context.Context, g *errgroup.Group, l *conns.Listener, h http.Handler) *http.Server {
	h = guard.Handler(h, func(err error) { n.logger("node").WithError(err).Error("panic in a handler; the request is lost") })
	srv := l.Server(h)
	proc.Run(ctx, g, l, srv)
	return srv
}
