// Package peer carries the calls between the system's processes over grpc. It
// translates between the messages of package wire and the types of the
// decisions.
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
	// ProbeTimeout bounds a question about liveness.
	ProbeTimeout = 700 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// Pool keeps one connection to each peer.
type Pool struct {
	// mu guards conns, which traffic goroutines share.
	mu    sync.Mutex
	conns map[netip.AddrPort]*grpc.ClientConn
}

// NewPool returns a pool without connections.
func NewPool() *Pool { return &Pool{conns: map[netip.AddrPort]*grpc.ClientConn{}} }

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

// Keep closes the connections to all peers that are not named.
func (p *Pool) Keep(addrs core.Set[netip.AddrPort]) {
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
func (p *Pool) Close() { p.Keep(core.NewSet[netip.AddrPort]()) }

// Alive is a peer's answer about itself.
type Alive struct {
	Session core.SessionID
	// Stored is set when the peer reaches the store.
	Stored bool
	Config core.Version
	// Confirmed is how long ago the peer confirmed that Config is the newest.
	Confirmed time.Duration
}

// Alive asks a peer about itself.
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

// Hold asks a peer to renew a session, or to promise not to claim its cells, or
// to delete the session if its holder resigns.
func (p *Pool) Hold(ctx context.Context, to core.Process, row member.Session, version uint64, resign bool) (member.Answer, error) {
	c, err := p.client(to.Peer)
	if err != nil {
		return member.Answer{}, refusalOf(err)
	}
	r, err := c.Hold(ctx, &wire.HoldRequest{
		Process: fromProcess(row.Process), Beat: row.Beat, Config: uint64(row.Config), Version: version, Resign: resign,
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

// Submit hands a job to the owner of its cell. It is idempotent.
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

// Cancel asks the owner of a job's cell to cancel it.
func (p *Pool) Cancel(ctx context.Context, to core.Process, id core.JobID) error {
	c, err := p.client(to.Peer)
	if err == nil {
		_, err = c.Cancel(ctx, &wire.CancelRequest{Id: string(id)})
	}
	return refusalOf(err)
}

// Show returns a job.
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

// List returns the newest jobs of one sched.
func (p *Pool) List(ctx context.Context, to core.Process, team core.Team, most int) ([]cell.View, error) {
	c, err := p.client(to.Peer)
	if err != nil {
		return nil, refusalOf(err)
	}
	r, err := c.List(ctx, &wire.ListRequest{Team: string(team), Most: int32(most)})
	if err != nil {
		return nil, refusalOf(err)
	}
	var out []cell.View
	for _, v := range r.Jobs {
		out = append(out, toView(v))
	}
	return out, nil
}

// RefusedError reports that nothing listens at a peer's address.
type RefusedError struct{ Err error }

// Error implements error.
func (e *RefusedError) Error() string { return "peer refused the connection: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }

// refusalOf turns grpc errors into refusals.
func refusalOf(err error) error {
	if err == nil {
		return nil
	}
	s, ok := status.FromError(err)
	if !ok {
		return core.RefuseUnknown(core.CodeOwner, err, "call to peer failed")
	}
	for _, d := range s.Details() {
		if r, ok := d.(*wire.Refusal); ok {
			return &core.RefusalError{
				Code: core.Code(r.Code), Execution: core.Execution(r.Run), Reason: r.Reason, RetryAfter: r.RetryAfter.AsDuration(),
			}
		}
	}
	if s.Code() == codes.Unavailable {
		return core.RefuseUnknown(core.CodeOwner, &RefusedError{err}, "peer is not available")
	}
	return core.RefuseUnknown(core.CodeOwner, err, "call to peer failed")
}
