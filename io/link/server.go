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
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/io/advice"
	"chicoryturn/io/guard"
	"chicoryturn/io/owner"
	"chicoryturn/io/table"
	"chicoryturn/io/wire"
)

// Owner is the control state of the process that serves the streams.
type Owner interface {
	AddPeer(p owner.Peer)
	RemovePeer(p owner.Peer)
	JobAccepted(spec jobs.Spec, requester string)
	JobCancelled(id core.JobID)
	AdviceReceived(vm string, r advice.Result)
	State(ctx context.Context, id core.JobID) (state jobs.State, known, isOwner bool, err error)
	Pending(ctx context.Context, q core.Queue) (n int, isOwner bool, err error)
	// Replied is called with how long each question has taken until its reply, or until it was
	// given up.
	Replied(took time.Duration)
}

// server implements wire.LinkServer.
type server struct {
	wire.UnimplementedLinkServer
	owner   Owner
	session core.SessionID
	handler CallHandler
	log     *logrus.Entry

	// mu guards the fields below.
	mu    sync.Mutex
	peers []*peer
	// lastPeer is the index, modulo the number of peers, of the peer last chosen
	// in turn.
	lastPeer int
	// preferred is the last peer through which the table processed a call. It
	// is nil if a later call through it failed.
	preferred *peer
}

// Server accepts the streams of other VMs.
type Server struct {
	*grpc.Server
	impl *server
}

// NewServer returns a gRPC server that accepts the streams of other VMs. session
// names this incarnation; h makes the table calls that the VMs forward.
func NewServer(o Owner, session core.SessionID, h CallHandler, log *logrus.Entry, opts ...grpc.ServerOption) *Server {
	opts = append(opts, grpc.KeepaliveEnforcementPolicy(keepAlivePolicy), grpc.KeepaliveParams(serverKeepAlive),
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.InitialWindowSize(flowControlWindow), grpc.InitialConnWindowSize(flowControlWindow),
		grpc.ReadBufferSize(4<<10), grpc.WriteBufferSize(4<<10),
		grpc.MaxHeaderListSize(maxHeaderBytes), grpc.MaxConcurrentStreams(maxStreams), grpc.ConnectionTimeout(helloTimeout))
	s := grpc.NewServer(opts...)
	impl := &server{owner: o, session: session, handler: h, log: log}
	wire.RegisterLinkServer(s, impl)
	return &Server{s, impl}
}

// Forward implements relay.Forwarder; a connected VM makes the call. A VM
// through which the table refused or did not answer a call is not chosen again
// for forwardBackoff.
func (s *Server) Forward(ctx context.Context, call table.Call) (table.Outcome, error) {
	for attempt := 0; ; attempt++ {
		p := s.impl.choosePeer(time.Now())
		if p == nil {
			return table.Outcome{}, &table.RelayError{Reason: "no connected VM can reach the table"}
		}
		o, err := p.forwarder.forward(ctx, call, func(m *wire.Call) bool { return p.send(&wire.Down{Kind: &wire.Down_Call{Call: m}}) })
		if err != nil {
			return o, err
		}
		processed := o.Answered() && o.RefusedStatus == 0
		s.impl.recordResult(p, processed, time.Now())
		// A call without an outcome may have taken effect, so only reads are
		// retried.
		retry := o.RefusedStatus != 0 || o.NoAnswer != "" && call.Write == nil
		if processed || !retry || attempt+1 == maxForwardAttempts || ctx.Err() != nil {
			return o, nil
		}
	}
}

// HasPeers reports whether any VM is connected.
func (s *Server) HasPeers() bool {
	s.impl.mu.Lock()
	defer s.impl.mu.Unlock()
	return len(s.impl.peers) > 0
}

// choosePeer returns the VM that should make a call: the preferred one, or else
// the next in turn that is not in back-off. It returns nil if there is none.
func (s *server) choosePeer(now time.Time) *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.preferred != nil {
		return s.preferred
	}
	for range s.peers {
		s.lastPeer++
		if p := s.peers[s.lastPeer%len(s.peers)]; now.After(p.avoidUntil) {
			return p
		}
	}
	return nil
}

// recordResult updates the choice of peers after a call through p; processed
// reports whether the table processed the call.
func (s *server) recordResult(p *peer, processed bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case processed:
		s.preferred = p
	default:
		p.avoidUntil = now.Add(forwardBackoff)
		if s.preferred == p {
			s.preferred = nil
		}
	}
}

func (s *server) addPeer(p *peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = append(s.peers, p)
}

func (s *server) removePeer(p *peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = slices.DeleteFunc(s.peers, func(o *peer) bool { return o == p })
	if s.preferred == p {
		s.preferred = nil
	}
}

// peer is a connected VM.
type peer struct {
	name     string
	outgoing chan *wire.Down
	// cancel closes the stream.
	cancel    context.CancelFunc
	forwarder *forwarder
	// avoidUntil is the end of the back-off after a failed call.
	avoidUntil time.Time
	// answering holds a token for each question that is being answered.
	answering chan struct{}
}

// Name implements owner.Peer.
func (p *peer) Name() string { return p.name }

// RequestAdvice implements owner.Peer.
func (p *peer) RequestAdvice(a fleet.AdviceRequest) {
	p.send(&wire.Down{Kind: &wire.Down_Advise{Advise: fromAdviceRequest(a)}})
}

// RoomHint implements owner.Peer.
func (p *peer) RoomHint(ids []core.WorkerID) {
	p.send(&wire.Down{Kind: &wire.Down_Roomy{Roomy: &wire.Roomy{Workers: workerNames(ids)}}})
}

// OwnerResigned implements owner.Peer.
func (p *peer) OwnerResigned() { p.send(&wire.Down{Kind: &wire.Down_Resigned{Resigned: true}}) }

// send queues a message without blocking and reports whether it did. If the queue
// is full, send closes the stream; the VM reconnects.
func (p *peer) send(m *wire.Down) bool {
	select {
	case p.outgoing <- m:
		return true
	default:
		p.cancel()
		return false
	}
}

// Join implements wire.LinkServer.
func (s *server) Join(stream grpc.BidiStreamingServer[wire.Up, wire.Down]) error {
	first, err := receiveFirst(stream)
	if err != nil {
		return err
	}
	if first.GetHello().GetVm() == "" {
		return &FormatError{"the first message is not a hello"}
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	p := &peer{name: first.GetHello().GetVm(), outgoing: make(chan *wire.Down, sendQueueLen), cancel: cancel, forwarder: newForwarder(s.handler), answering: make(chan struct{}, maxAnswers)}
	if err := stream.Send(&wire.Down{Kind: &wire.Down_Session{Session: string(s.session)}}); err != nil {
		return err
	}
	s.owner.AddPeer(p)
	defer s.owner.RemovePeer(p)
	s.addPeer(p)
	defer func() {
		s.removePeer(p)
		p.forwarder.replies.close()
	}()
	done := make(chan error, 1)
	go func() { done <- s.receive(ctx, stream, p) }()
	emptyMessages := time.NewTicker(emptyMessageInterval)
	defer emptyMessages.Stop()
	for {
		select {
		case <-emptyMessages.C:
			if err := stream.Send(&wire.Down{}); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		case err := <-done:
			return err
		case m := <-p.outgoing:
			if err := stream.Send(m); err != nil {
				return err
			}
		}
	}
}

// receiveFirst returns the first message of a stream, which must come within helloTimeout.
func receiveFirst(stream grpc.BidiStreamingServer[wire.Up, wire.Down]) (*wire.Up, error) {
	type result struct {
		message *wire.Up
		err     error
	}
	received := make(chan result, 1)
	// The end of the stream ends a call that is still waiting.
	go func() {
		m, err := stream.Recv()
		received <- result{m, err}
	}()
	timer := time.NewTimer(helloTimeout)
	defer timer.Stop()
	select {
	case r := <-received:
		return r.message, r.err
	case <-timer.C:
		return nil, &FormatError{"no hello within " + helloTimeout.String()}
	}
}

// receive handles a VM's messages until its stream ends.
func (s *server) receive(ctx context.Context, stream grpc.BidiStreamingServer[wire.Up, wire.Down], p *peer) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := guard.Do(func() error { return s.handle(ctx, p, m) }); err != nil {
			s.log.WithError(err).WithField("vm", p.name).Error("message dropped")
		}
	}
}

// handle passes one message to the control state or the forwarder.
func (s *server) handle(ctx context.Context, p *peer, m *wire.Up) error {
	switch k := m.Kind.(type) {
	case *wire.Up_Accepted:
		var spec jobs.Spec
		if err := json.Unmarshal(k.Accepted.Spec, &spec); err != nil {
			return &FormatError{err.Error()}
		}
		requester := ""
		if k.Accepted.Asking {
			requester = p.name
		}
		s.owner.JobAccepted(spec, requester)
	case *wire.Up_Advised:
		r, err := toResult(k.Advised)
		if err != nil {
			return err
		}
		s.owner.AdviceReceived(p.name, r)
	case *wire.Up_Cancelled:
		s.owner.JobCancelled(core.JobID(k.Cancelled))
	case *wire.Up_Carried:
		return p.forwarder.handleOutcome(k.Carried)
	case *wire.Up_Call:
		return p.forwarder.handleCall(ctx, k.Call, func(r *wire.Carried) { p.send(&wire.Down{Kind: &wire.Down_Carried{Carried: r}}) })
	case *wire.Up_Question:
		s.startAnswer(ctx, p, k.Question)
	}
	return nil
}

// startAnswer answers a question on its own goroutine, so that later messages of the VM do not wait
// for the control goroutine.
func (s *server) startAnswer(ctx context.Context, p *peer, q *wire.Question) {
	select {
	case p.answering <- struct{}{}:
	default:
		return
	}
	askedAt := time.Now()
	go func() {
		defer func() {
			s.owner.Replied(time.Since(askedAt))
			<-p.answering
		}()
		ctx, cancel := context.WithTimeout(ctx, elect.ReplyTimeout)
		defer cancel()
		err := guard.Do(func() error { return s.answer(ctx, p, q) })
		// Without an answer in time nobody waits for one; the VM logs it.
		if err != nil && ctx.Err() == nil {
			s.log.WithError(err).WithField("vm", p.name).Error("question not answered")
		}
	}()
}

// answer replies to a VM's question about a job or a queue.
func (s *server) answer(ctx context.Context, p *peer, q *wire.Question) error {
	r := &wire.Reply{Number: q.Number}
	if q.Job != "" {
		state, known, _, err := s.owner.State(ctx, core.JobID(q.Job))
		if err != nil {
			return err
		}
		r.Known, r.State = known, string(state)
	} else {
		n, isOwner, err := s.owner.Pending(ctx, core.Queue(q.Queue))
		if err != nil {
			return err
		}
		r.Known, r.Pending = isOwner, int64(n)
	}
	p.send(&wire.Down{Kind: &wire.Down_Reply{Reply: r}})
	return nil
}
