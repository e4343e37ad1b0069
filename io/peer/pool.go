// Package peer is the gRPC client and server of the calls between gates and
// scheds. It converts between the messages of package wire and the types of the
// core packages.
package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"chicoryturn/core"
	"chicoryturn/core/cell"
	"chicoryturn/core/member"
	"chicoryturn/io/wire"
)

const (
	// ProbeTimeout is the time-out of a liveness probe.
	ProbeTimeout = 700 * time.Millisecond
	// maxBackoff is the longest wait between two attempts to connect to a peer.
	maxBackoff = 500 * time.Millisecond
)

// Pool holds one connection per peer. Any goroutine may call it.
type Pool struct {
	// mu guards conns.
	mu    sync.Mutex
	conns map[netip.AddrPort]*grpc.ClientConn
}

// NewPool returns a pool without connections.
func NewPool() *Pool { return &Pool{conns: map[netip.AddrPort]*grpc.ClientConn{}} }

// client returns a client of the peer at an address. It opens a connection if there
// is none.
func (p *Pool) client(addr netip.AddrPort) (wire.PeerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[addr]
	if c == nil {
		var err error
		b := backoff.DefaultConfig
		b.BaseDelay, b.MaxDelay = maxBackoff/4, maxBackoff
		c, err = grpc.NewClient("passthrough:///"+addr.String(),
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: b, MinConnectTimeout: ProbeTimeout}))
		if err != nil {
			return nil, err
		}
		p.conns[addr] = c
	}
	return wire.NewPeerClient(c), nil
}

// CloseExcept closes the connections to all peers except those in addrs.
func (p *Pool) CloseExcept(addrs core.Set[netip.AddrPort]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.conns {
		if !addrs.Has(addr) {
			_ = c.Close()
			delete(p.conns, addr)
		}
	}
}

// Close closes all connections.
func (p *Pool) Close() { p.CloseExcept(core.NewSet[netip.AddrPort]()) }

// Alive is a peer's answer to a liveness probe.
type Alive struct {
	// Session is the ID of the peer's session.
	Session core.SessionID
	// StoreReachable is set when the peer can reach the store.
	StoreReachable bool
	// Config is the version of the configuration in force in the peer.
	Config core.Version
	// Confirmed is the time since the peer last confirmed that Config is the newest
	// version.
	Confirmed time.Duration
}

// Alive sends a liveness probe to a peer.
func (p *Pool) Alive(ctx context.Context, to core.Process) (Alive, error) {
	c, err := p.client(to.Peer)
	if err != nil {
		return Alive{}, refusalOf(err)
	}
	r, err := c.Alive(ctx, &wire.AliveRequest{})
	if err != nil {
		return Alive{}, refusalOf(err)
	}
	return Alive{
		core.SessionID(r.Session), r.Stored, core.Version(r.Config), r.Confirmed.AsDuration(),
	}, nil
}

// RenewOrPromise asks a peer to renew the caller's session in the store or, if the peer
// cannot, to promise not to claim the caller's cells for a while. With resign set,
// it asks the peer to delete the session instead.
func (p *Pool) RenewOrPromise(ctx context.Context, to core.Process, row member.Session, version uint64, resign bool) (member.Answer, error) {
	c, err := p.client(to.Peer)
	if err != nil {
		return member.Answer{}, refusalOf(err)
	}
	r, err := c.Hold(ctx, &wire.HoldRequest{
		Process: fromProcess(row.Process), Beat: row.Renewals, Config: uint64(row.Config), Version: version, Resign: resign,
	})
	if err != nil {
		return member.Answer{}, refusalOf(err)
	}
	a := member.Answer{Renewed: r.Renewed, Version: r.Version, Promised: r.Promised}
	for _, s := range r.Scheds {
		if proc, err := toProcess(s); err == nil {
			a.Scheds = append(a.Scheds, proc)
		}
	}
	return a, nil
}

// Submit sends a job to the owner of its cell. It is idempotent.
func (p *Pool) Submit(ctx context.Context, to core.Process, spec cell.JobSpec) (repeated bool, err error) {
	c, err := p.client(to.Peer)
	if err != nil {
		return false, refusalOf(err)
	}
	r, err := c.Submit(ctx, fromSpec(spec))
	if err != nil {
		return false, refusalOf(err)
	}
	return r.RepeatedSubmit, nil
}

// Cancel sends the cancellation of a job to the owner of its cell.
func (p *Pool) Cancel(ctx context.Context, to core.Process, id core.JobID) error {
	c, err := p.client(to.Peer)
	if err == nil {
		_, err = c.Cancel(ctx, &wire.CancelRequest{Id: string(id)})
	}
	return refusalOf(err)
}

// Show returns a job from the owner of its cell.
func (p *Pool) Show(ctx context.Context, to core.Process, id core.JobID) (cell.View, error) {
	c, err := p.client(to.Peer)
	if err != nil {
		return cell.View{}, refusalOf(err)
	}
	v, err := c.Show(ctx, &wire.ShowRequest{Id: string(id)})
	if err != nil {
		return cell.View{}, refusalOf(err)
	}
	return toView(v), nil
}

// List returns a team's newest jobs in the cells of one sched, at most limit per cell.
func (p *Pool) List(ctx context.Context, to core.Process, team core.Team, limit int) ([]cell.View, error) {
	c, err := p.client(to.Peer)
	if err != nil {
		return nil, refusalOf(err)
	}
	r, err := c.List(ctx, &wire.ListRequest{Team: string(team), Most: int32(limit)})
	if err != nil {
		return nil, refusalOf(err)
	}
	var out []cell.View
	for _, v := range r.Jobs {
		out = append(out, toView(v))
	}
	return out, nil
}

// ConnectionError reports that the connection to a peer could not be opened or broke.
type ConnectionError struct{ Err error }

// Error implements error.
func (e *ConnectionError) Error() string { return "connection failed: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConnectionError) Unwrap() error { return e.Err }

// refusalOf converts an error of a gRPC call to a refusal. It restores the refusal
// that the peer attached to the status.
func refusalOf(err error) error {
	if err == nil {
		return nil
	}
	s, ok := status.FromError(err)
	if !ok {
		return core.RefuseUnknown(core.CodeNoOwner, err, "the call to the peer failed")
	}
	for _, d := range s.Details() {
		if r, ok := d.(*wire.Refusal); ok {
			return &core.RefusalError{
				Code: core.Code(r.Code), Execution: core.Execution(r.Run), Reason: r.Reason, RetryAfter: r.RetryAfter.AsDuration(),
			}
		}
	}
	if s.Code() == codes.Unavailable {
		return core.RefuseUnknown(core.CodeNoOwner, &ConnectionError{err}, "the peer is not available")
	}
	return core.RefuseUnknown(core.CodeNoOwner, err, "the call to the peer failed")
}
