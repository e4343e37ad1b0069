package peer

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"chicoryturn/core"
	"chicoryturn/core/cell"
	"chicoryturn/core/member"
	"chicoryturn/io/wire"
)

// Backend handles the calls of peers.
type Backend interface {
	Alive(ctx context.Context) (Alive, error)
	RenewOrPromise(ctx context.Context, row member.Session, version uint64, resign bool) (member.Answer, error)
	Submit(ctx context.Context, spec cell.JobSpec) (repeated bool, err error)
	Cancel(ctx context.Context, id core.JobID) error
	Show(ctx context.Context, id core.JobID) (cell.View, error)
	List(ctx context.Context, team core.Team, limit int) ([]cell.View, error)
}

type server struct {
	wire.UnimplementedPeerServer
	backend Backend
}

const (
	// maxHeaderBytes bounds the headers of a call, which are some 200 bytes.
	maxHeaderBytes = 16 << 10
	// maxStreams bounds the calls that a peer has in flight; further ones wait at the peer.
	maxStreams = 1000
	// setupTimeout bounds the time until a connection has been set up.
	setupTimeout = 3 * time.Second
)

// NewServer returns a gRPC server that passes calls to a backend.
func NewServer(b Backend, opts ...grpc.ServerOption) *grpc.Server {
	opts = append(opts, grpc.MaxHeaderListSize(maxHeaderBytes), grpc.MaxConcurrentStreams(maxStreams), grpc.ConnectionTimeout(setupTimeout),
		grpc.ReadBufferSize(4<<10), grpc.WriteBufferSize(4<<10))
	s := grpc.NewServer(opts...)
	wire.RegisterPeerServer(s, &server{backend: b})
	return s
}

// statusOf converts an error to a gRPC status. A refusal is attached to the status.
func statusOf(err error) error {
	var r *core.RefusalError
	if !errors.As(err, &r) {
		return status.Error(codes.Unknown, err.Error())
	}
	s := status.New(codes.FailedPrecondition, r.Reason)
	withRefusal, detailsErr := s.WithDetails(&wire.Refusal{
		Code: string(r.Code), Run: string(r.Execution), Reason: r.Reason, RetryAfter: durationpb.New(r.RetryAfter),
	})
	if detailsErr != nil {
		return s.Err()
	}
	return withRefusal.Err()
}

// Alive implements wire.PeerServer.
func (s *server) Alive(ctx context.Context, _ *wire.AliveRequest) (*wire.AliveReply, error) {
	a, err := s.backend.Alive(ctx)
	if err != nil {
		return nil, statusOf(err)
	}
	return &wire.AliveReply{
		Session: string(a.Session), Stored: a.StoreReachable, Config: uint64(a.Config), Confirmed: durationpb.New(a.Confirmed),
	}, nil
}

// Hold implements wire.PeerServer.
func (s *server) Hold(ctx context.Context, r *wire.HoldRequest) (*wire.HoldReply, error) {
	p, err := toProcess(r.Process)
	if err != nil {
		return nil, statusOf(err)
	}
	a, err := s.backend.RenewOrPromise(ctx, member.Session{Process: p, Renewals: r.Beat, Config: core.Version(r.Config)}, r.Version, r.Resign)
	if err != nil {
		return nil, statusOf(err)
	}
	out := &wire.HoldReply{Renewed: a.Renewed, Version: a.Version, Promised: a.Promised}
	for _, p := range a.Scheds {
		out.Scheds = append(out.Scheds, fromProcess(p))
	}
	return out, nil
}

// Submit implements wire.PeerServer.
func (s *server) Submit(ctx context.Context, r *wire.SubmitRequest) (*wire.SubmitReply, error) {
	repeated, err := s.backend.Submit(ctx, toSpec(r))
	if err != nil {
		return nil, statusOf(err)
	}
	return &wire.SubmitReply{RepeatedSubmit: repeated}, nil
}

// Cancel implements wire.PeerServer.
func (s *server) Cancel(ctx context.Context, r *wire.CancelRequest) (*wire.CancelReply, error) {
	if err := s.backend.Cancel(ctx, core.JobID(r.Id)); err != nil {
		return nil, statusOf(err)
	}
	return &wire.CancelReply{}, nil
}

// Show implements wire.PeerServer.
func (s *server) Show(ctx context.Context, r *wire.ShowRequest) (*wire.JobView, error) {
	v, err := s.backend.Show(ctx, core.JobID(r.Id))
	if err != nil {
		return nil, statusOf(err)
	}
	return fromView(v), nil
}

// List implements wire.PeerServer.
func (s *server) List(ctx context.Context, r *wire.ListRequest) (*wire.ListReply, error) {
	views, err := s.backend.List(ctx, core.Team(r.Team), int(r.Most))
	if err != nil {
		return nil, statusOf(err)
	}
	out := &wire.ListReply{}
	for _, v := range views {
		out.Jobs = append(out.Jobs, fromView(v))
	}
	return out, nil
}
