package link

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/io/advice"
	"chicoryturn/io/owner"
	"chicoryturn/io/table"
	"chicoryturn/io/wire"
)

// Owner is what the server needs of the process's control state.
type Owner interface {
	AddPeer(p owner.Peer)
	RemovePeer(p owner.Peer)
	Accepted(spec jobs.Spec, asking string)
	Cancelled(id core.JobID)
	AdviceReceived(vm string, r advice.Result)
	State(ctx context.Context, id core.JobID) (state jobs.State, known, mine bool, err error)
	Pending(ctx context.Context, q core.Queue) (n int, ok bool, err error)
}

type server struct {
	wire.UnimplementedLinkServer
	owner   Owner
	session core.SessionID
	serve   Serve
	log     *logrus.Entry

	// mu guards the VMs that have joined.
	mu    sync.Mutex
	peers []*peer
	next  int
	// good is the peer that has last had an answer of the table.
	good *peer
}

// Server takes the streams of other VMs.
type Server struct {
	*grpc.Server
	impl *server
}

// NewServer returns a grpc server that takes the streams of other VMs. Session
// names this incarnation, serve carries out calls of the table for them.
func NewServer(o Owner, session core.SessionID, serve Serve, log *logrus.Entry) *Server {
	s := grpc.NewServer(grpc.KeepaliveEnforcementPolicy(enforce), grpc.KeepaliveParams(serverAlive),
		grpc.MaxRecvMsgSize(maxMessage), grpc.InitialWindowSize(window), grpc.InitialConnWindowSize(window),
		grpc.ReadBufferSize(4<<10), grpc.WriteBufferSize(4<<10))
	impl := &server{owner: o, session: session, serve: serve, log: log}
	wire.RegisterLinkServer(s, impl)
	return &Server{s, impl}
}

// Forward implements relay.Carrier: a VM that has joined carries out a call. One
// that the table turns away as well is passed over for a while.
func (s *Server) Forward(ctx context.Context, call table.Call) (table.Outcome, error) {
	for try := 0; ; try++ {
		p := s.impl.pick(time.Now())
		if p == nil {
			return table.Outcome{}, &table.RelayError{Reason: "no VM that has joined reaches the table"}
		}
		o, err := p.carrier.carry(ctx, call, func(m *wire.Call) bool { return p.send(&wire.Down{Kind: &wire.Down_Call{Call: m}}) })
		if err != nil {
			return o, err
		}
		answered := o.Answered() && o.RefusedStatus == 0
		s.impl.rate(p, answered, time.Now())
		// A call without an outcome may have been carried out: only reads are
		// made again.
		again := o.RefusedStatus != 0 || o.NoAnswer != "" && call.Write == nil
		if answered || !again || try+1 == carryTries || ctx.Err() != nil {
			return o, nil
		}
	}
}

// Joined reports whether any VM has joined.
func (s *Server) Joined() bool {
	s.impl.mu.Lock()
	defer s.impl.mu.Unlock()
	return len(s.impl.peers) > 0
}

// pick returns the VM that should carry a call: the one that did so last, or one
// after the other of those not known to be turned away.
func (s *server) pick(now time.Time) *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.good != nil {
		return s.good
	}
	for range s.peers {
		s.next++
		if p := s.peers[s.next%len(s.peers)]; now.After(p.shunned) {
			return p
		}
	}
	return nil
}

// rate takes in whether the table has answered a call through a VM.
func (s *server) rate(p *peer, answered bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case answered:
		s.good = p
	default:
		p.shunned = now.Add(shunTime)
		if s.good == p {
			s.good = nil
		}
	}
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
	if s.good == p {
		s.good = nil
	}
}

// peer is a VM that has joined.
type peer struct {
	name string
	out  chan *wire.Down
	// cancel ends the stream.
	cancel  context.CancelFunc
	carrier *carrier
	// shunned is until when the VM is not asked to carry calls.
	shunned time.Time
}

// Name implements owner.Peer.
func (p *peer) Name() string { return p.name }

// RequestAdvice implements owner.Peer.
func (p *peer) RequestAdvice(a fleet.AdviceRequest) {
	p.send(&wire.Down{Kind: &wire.Down_Advise{Advise: fromAsk(a)}})
}

// RoomHint implements owner.Peer.
func (p *peer) RoomHint(ids []core.WorkerID) {
	p.send(&wire.Down{Kind: &wire.Down_Roomy{Roomy: &wire.Roomy{Workers: names(ids)}}})
}

// OwnerResigned implements owner.Peer.
func (p *peer) OwnerResigned() { p.send(&wire.Down{Kind: &wire.Down_Resigned{Resigned: true}}) }

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
	p := &peer{name: first.GetHello().GetVm(), out: make(chan *wire.Down, sendQueue), cancel: cancel, carrier: newCarrier(s.serve)}
	if err := stream.Send(&wire.Down{Kind: &wire.Down_Session{Session: string(s.session)}}); err != nil {
		return err
	}
	s.owner.AddPeer(p)
	defer s.owner.RemovePeer(p)
	s.enter(p)
	defer func() {
		s.exit(p)
		p.carrier.waits.close()
	}()
	done := make(chan error, 1)
	go func() { done <- s.receive(ctx, stream, p) }()
	beat := time.NewTicker(beatPause)
	defer beat.Stop()
	for {
		select {
		case <-beat.C:
			if err := stream.Send(&wire.Down{}); err != nil {
				return err
			}
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
		s.owner.AdviceReceived(p.name, r)
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
