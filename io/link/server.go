package link

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"chicoryturn/core"
	"chicoryturn/core/board"
	"chicoryturn/core/jobs"
	"chicoryturn/io/guide"
	"chicoryturn/io/owner"
	"chicoryturn/io/table"
	"chicoryturn/io/wire"
)

// Owner is what the server needs of the process's control state.
type Owner interface {
	Join(p owner.Peer)
	Part(p owner.Peer)
	Accepted(spec jobs.Spec, asking string)
	Cancelled(id core.JobID)
	Advised(vm string, r guide.Result)
	State(ctx context.Context, id core.JobID) (state jobs.State, known, mine bool, err error)
	Pending(ctx context.Context, q core.Queue) (n int, ok bool, err error)
}

type server struct {
	wire.UnimplementedLinkServer
	owner   Owner
	session core.SessionID
	direct  table.Doer
	log     *logrus.Entry

	// mu guards the VMs that have joined.
	mu    sync.Mutex
	peers []*peer
	next  int
}

// Server takes the streams of other VMs.
type Server struct {
	*grpc.Server
	impl *server
}

// NewServer returns a grpc server that takes the streams of other VMs. Session
// names this incarnation, direct is the table as this VM reaches it.
func NewServer(o Owner, session core.SessionID, direct table.Doer, log *logrus.Entry) *Server {
	s := grpc.NewServer(grpc.KeepaliveEnforcementPolicy(enforce), grpc.KeepaliveParams(serverAlive),
		grpc.MaxRecvMsgSize(maxMessage), grpc.InitialWindowSize(window), grpc.InitialConnWindowSize(window),
		grpc.ReadBufferSize(4<<10), grpc.WriteBufferSize(4<<10))
	impl := &server{owner: o, session: session, direct: direct, log: log}
	wire.RegisterLinkServer(s, impl)
	return &Server{s, impl}
}

// Carry implements relay.Carrier: one VM that has joined after the other
// carries out a call.
func (s *Server) Carry(ctx context.Context, call table.Call) (table.Outcome, error) {
	p := s.impl.pick()
	if p == nil {
		return table.Outcome{}, &table.RelayError{Reason: "no VM has joined"}
	}
	return p.carrier.carry(ctx, call, func(m *wire.Call) bool { return p.send(&wire.Down{Kind: &wire.Down_Call{Call: m}}) })
}

// Joined reports whether any VM has joined.
func (s *Server) Joined() bool {
	s.impl.mu.Lock()
	defer s.impl.mu.Unlock()
	return len(s.impl.peers) > 0
}

func (s *server) pick() *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peers) == 0 {
		return nil
	}
	s.next++
	return s.peers[s.next%len(s.peers)]
}

func (s *server) enter(p *peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = append(s.peers, p)
}

func (s *server) exit(p *peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = slices.DeleteFunc(s.peers, func(o *peer) bool { return o == p })
}

// peer is a VM that has joined.
type peer struct {
	name string
	out  chan *wire.Down
	// cancel ends the stream.
	cancel  context.CancelFunc
	carrier *carrier
}

// Name implements owner.Peer.
func (p *peer) Name() string { return p.name }

// Advise implements owner.Peer.
func (p *peer) Advise(a board.Ask) { p.send(&wire.Down{Kind: &wire.Down_Advise{Advise: fromAsk(a)}}) }

// Roomy implements owner.Peer.
func (p *peer) Roomy(ids []core.WorkerID) {
	m := &wire.Roomy{}
	for _, id := range ids {
		m.Workers = append(m.Workers, string(id))
	}
	p.send(&wire.Down{Kind: &wire.Down_Roomy{Roomy: m}})
}

// Resigned implements owner.Peer.
func (p *peer) Resigned() { p.send(&wire.Down{Kind: &wire.Down_Resigned{Resigned: true}}) }

// send never blocks: a VM that does not keep up loses its stream and joins
// again.
func (p *peer) send(m *wire.Down) bool {
	select {
	case p.out <- m:
		return true
	default:
		p.cancel()
		return false
	}
}

// Join implements wire.LinkServer.
func (s *server) Join(stream grpc.BidiStreamingServer[wire.Up, wire.Down]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetHello().GetVm() == "" {
		return &FormatError{"the first message is no hello"}
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	p := &peer{name: first.GetHello().GetVm(), out: make(chan *wire.Down, sendQueue), cancel: cancel, carrier: newCarrier(s.direct)}
	if err := stream.Send(&wire.Down{Kind: &wire.Down_Session{Session: string(s.session)}}); err != nil {
		return err
	}
	s.owner.Join(p)
	defer s.owner.Part(p)
	s.enter(p)
	defer func() {
		s.exit(p)
		p.carrier.waits.close()
	}()
	done := make(chan error, 1)
	go func() { done <- s.receive(ctx, stream, p) }()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-done:
			return err
		case m := <-p.out:
			if err := stream.Send(m); err != nil {
				return err
			}
		}
	}
}

func (s *server) receive(ctx context.Context, stream grpc.BidiStreamingServer[wire.Up, wire.Down], p *peer) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := s.take(ctx, p, m); err != nil {
			s.log.WithError(err).WithField("vm", p.name).Error("message dropped")
		}
	}
}

func (s *server) take(ctx context.Context, p *peer, m *wire.Up) error {
	switch k := m.Kind.(type) {
	case *wire.Up_Accepted:
		var spec jobs.Spec
		if err := json.Unmarshal(k.Accepted.Spec, &spec); err != nil {
			return &FormatError{err.Error()}
		}
		asking := ""
		if k.Accepted.Asking {
			asking = p.name
		}
		s.owner.Accepted(spec, asking)
	case *wire.Up_Advised:
		r, err := toResult(k.Advised)
		if err != nil {
			return err
		}
		s.owner.Advised(p.name, r)
	case *wire.Up_Cancelled:
		s.owner.Cancelled(core.JobID(k.Cancelled))
	case *wire.Up_Carried:
		return p.carrier.carried(k.Carried)
	case *wire.Up_Call:
		return p.carrier.serve(ctx, k.Call, func(r *wire.Carried) { p.send(&wire.Down{Kind: &wire.Down_Carried{Carried: r}}) })
	case *wire.Up_Question:
		return s.reply(ctx, p, k.Question)
	}
	return nil
}

func (s *server) reply(ctx context.Context, p *peer, q *wire.Question) error {
	r := &wire.Reply{Number: q.Number}
	if q.Job != "" {
		state, known, _, err := s.owner.State(ctx, core.JobID(q.Job))
		if err != nil {
			return err
		}
		r.Known, r.State = known, string(state)
	} else {
		n, ok, err := s.owner.Pending(ctx, core.Queue(q.Queue))
		if err != nil {
			return err
		}
		r.Known, r.Pending = ok, int64(n)
	}
	p.send(&wire.Down{Kind: &wire.Down_Reply{Reply: r}})
	return nil
}
