package link

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"chicoryturn/core"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/io/advice"
	"chicoryturn/io/guard"
	"chicoryturn/io/table"
	"chicoryturn/io/wire"
)

const (
	// dialTimeout bounds the opening of a connection to the owner.
	dialTimeout = 700 * time.Millisecond
	// reconnectDelay is the time between the end of a stream and the next
	// attempt to open one.
	reconnectDelay = 250 * time.Millisecond
)

// Advisor sends the owner's advice requests to the placement advisor.
type Advisor interface {
	Request(a fleet.AdviceRequest, onResult func(advice.Result))
}

// OwnerWatcher is notified when the stream to the owner opens and ends.
type OwnerWatcher interface {
	// OwnerLost reports that the stream to holder has ended; ended is set if
	// holder's process seems to have ended, too.
	OwnerLost(holder core.SessionID, ended bool)
	// OwnerFound reports that the stream to the owner has opened.
	OwnerFound()
}

// Client keeps a stream open to the current owner.
type Client struct {
	vm, zone string
	advisor  Advisor
	log      *logrus.Entry
	watcher  OwnerWatcher

	// mu guards owner, ownerChanged and outgoing.
	mu           sync.Mutex
	owner        OwnerAddr
	ownerChanged chan struct{}
	outgoing     chan *wire.Up

	// onRoomHint is called with the workers of each room hint.
	onRoomHint func([]core.WorkerID)
	replies    *pendingReplies[*wire.Reply]
	answers    answers
	forwarder  *forwarder
}

// OwnerAddr is the address and the session of one incarnation of the owner.
type OwnerAddr struct {
	Addr    netip.AddrPort
	Session core.SessionID
}

// OwnerEndedError reports that the owner's incarnation has ended.
type OwnerEndedError struct{ Reason string }

// Error implements error.
func (e *OwnerEndedError) Error() string { return "the owner's incarnation has ended: " + e.Reason }

// Option configures a client.
type Option func(*Client)

// WithRoomHint sets a function that is called with the workers of each room
// hint.
func WithRoomHint(f func([]core.WorkerID)) Option { return func(c *Client) { c.onRoomHint = f } }

// NewClient returns a client without a stream; Run opens one. h makes the table
// calls that the owner forwards.
func NewClient(vm, zone string, a Advisor, w OwnerWatcher, h CallHandler, log *logrus.Entry, opts ...Option) *Client {
	c := &Client{
		vm: vm, zone: zone, advisor: a, watcher: w, log: log, ownerChanged: make(chan struct{}),
		replies: newPendingReplies[*wire.Reply](), forwarder: newForwarder(h),
		onRoomHint: func([]core.WorkerID) {},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// SetOwner sets the owner to connect to; an invalid address means that there is
// none.
func (c *Client) SetOwner(a OwnerAddr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a == c.owner {
		return
	}
	c.owner = a
	close(c.ownerChanged)
	c.ownerChanged = make(chan struct{})
}

func (c *Client) currentOwner() (OwnerAddr, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner, c.ownerChanged
}

// Run keeps a stream open to the owner until the context ends.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		owner, changed := c.currentOwner()
		if !owner.Addr.IsValid() {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		err := c.runStream(ctx, owner, changed)
		if ctx.Err() == nil {
			c.log.WithError(err).WithField("owner", owner.Addr.String()).Info("stream to the owner ended")
			var ended *OwnerEndedError
			c.watcher.OwnerLost(owner.Session, errors.As(err, &ended))
		}
		delay := time.NewTimer(reconnectDelay)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-delay.C:
		}
		delay.Stop()
	}
	return nil
}

// runStream opens a stream to the owner and serves it until it breaks or the
// owner changes.
func (c *Client) runStream(ctx context.Context, owner OwnerAddr, changed <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	refused := make(chan struct{}, 1)
	conn, err := grpc.NewClient("passthrough:///"+owner.Addr.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithKeepaliveParams(clientKeepAlive),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.DefaultConfig, MinConnectTimeout: dialTimeout}),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			d := net.Dialer{Timeout: dialTimeout}
			conn, err := d.DialContext(ctx, "tcp", addr)
			if errors.Is(err, syscall.ECONNREFUSED) {
				select {
				case refused <- struct{}{}:
				default:
				}
			}
			return conn, err
		}),
		grpc.WithInitialWindowSize(flowControlWindow), grpc.WithInitialConnWindowSize(flowControlWindow),
		grpc.WithReadBufferSize(4<<10), grpc.WithWriteBufferSize(4<<10))
	if err != nil {
		return err
	}
	defer conn.Close()
	stream, err := wire.NewLinkClient(conn).Join(ctx)
	if err != nil {
		select {
		case <-refused:
			return &OwnerEndedError{"its address refuses connections"}
		default:
			return err
		}
	}
	if err := stream.Send(&wire.Up{Kind: &wire.Up_Hello{Hello: &wire.Hello{Vm: c.vm, Zone: c.zone}}}); err != nil {
		return err
	}
	outgoing := make(chan *wire.Up, sendQueueLen)
	done := make(chan error, 1)
	received := make(chan struct{}, 1)
	go func() { done <- c.receive(stream, owner.Session, outgoing, received) }()
	defer c.streamClosed()
	silenceTimer := time.NewTimer(ownerSilenceTimeout)
	defer silenceTimer.Stop()
	for {
		select {
		case <-received:
			silenceTimer.Reset(ownerSilenceTimeout)
		case <-silenceTimer.C:
			return &ClosedError{"no message from the owner for " + ownerSilenceTimeout.String()}
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			return &ClosedError{"the owner has changed"}
		case <-refused:
			return &OwnerEndedError{"its address refuses connections"}
		case err := <-done:
			return err
		case m := <-outgoing:
			if err := stream.Send(m); err != nil {
				return err
			}
		}
	}
}

// streamOpened makes outgoing the queue of messages to the owner.
func (c *Client) streamOpened(outgoing chan *wire.Up) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outgoing = outgoing
}

// streamClosed stops the queueing of messages and ends all requests to the owner
// that are in flight.
func (c *Client) streamClosed() {
	c.mu.Lock()
	c.outgoing = nil
	c.mu.Unlock()
	c.replies.close()
	c.forwarder.replies.close()
}

// receive handles the owner's messages. The first one must name the expected
// session.
func (c *Client) receive(stream grpc.BidiStreamingClient[wire.Up, wire.Down], session core.SessionID, outgoing chan *wire.Up, received chan<- struct{}) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetSession() != string(session) {
		return &OwnerEndedError{"another incarnation answers at its address"}
	}
	c.streamOpened(outgoing)
	c.watcher.OwnerFound()
	c.log.WithField("owner", string(session)).Info("connected to the owner")
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		select {
		case received <- struct{}{}:
		default:
		}
		if _, ok := m.Kind.(*wire.Down_Resigned); ok {
			return &ClosedError{"the owner has resigned"}
		}
		if err := guard.Do(func() error { return c.handle(stream.Context(), m) }); err != nil {
			c.log.WithError(err).Error("message dropped")
		}
	}
}

// handle passes one message of the owner to its receiver in this process.
func (c *Client) handle(ctx context.Context, m *wire.Down) error {
	switch k := m.Kind.(type) {
	case *wire.Down_Advise:
		a, err := toAdviceRequest(k.Advise)
		if err != nil {
			return err
		}
		c.advisor.Request(a, c.ReportAdvice)
	case *wire.Down_Roomy:
		c.onRoomHint(workerIDs(k.Roomy.Workers))
	case *wire.Down_Reply:
		c.replies.deliver(k.Reply.Number, k.Reply)
	case *wire.Down_Carried:
		return c.forwarder.handleOutcome(k.Carried)
	case *wire.Down_Call:
		return c.forwarder.handleCall(ctx, k.Call, func(r *wire.Carried) { c.send(&wire.Up{Kind: &wire.Up_Carried{Carried: r}}) })
	}
	return nil
}

// Forward implements relay.Forwarder; the owner's VM makes the call.
func (c *Client) Forward(ctx context.Context, call table.Call) (table.Outcome, error) {
	return c.forwarder.forward(ctx, call, func(m *wire.Call) bool { return c.send(&wire.Up{Kind: &wire.Up_Call{Call: m}}) })
}

// Connected reports whether the stream to the owner is open.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outgoing != nil
}

// send queues a message. It returns false if there is no stream or the queue is
// full.
func (c *Client) send(m *wire.Up) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outgoing == nil {
		return false
	}
	select {
	case c.outgoing <- m:
		return true
	default:
		return false
	}
}

// ReportAdvice sends the result of an advice request to the owner. If the result is
// lost, the owner repeats the request after a time-out.
func (c *Client) ReportAdvice(r advice.Result) {
	if !c.send(&wire.Up{Kind: &wire.Up_Advised{Advised: fromResult(r)}}) {
		c.log.WithField("job", r.Request.Phase.Job).Warn("advice result not sent to the owner")
	}
}

// JobAccepted notifies the owner of a job that has been stored. advicePending reports
// that this VM has an advice request for the job's first phase in flight. If the
// message is lost, the owner reads the job from the store.
func (c *Client) JobAccepted(spec jobs.Spec, advicePending bool) {
	text, err := json.Marshal(spec)
	if err != nil {
		c.log.WithError(err).WithField("job", spec.ID).Error("job not passed on")
		return
	}
	if !c.send(&wire.Up{Kind: &wire.Up_Accepted{Accepted: &wire.Accepted{Spec: text, Asking: advicePending}}}) {
		c.log.WithField("job", spec.ID).Info("job left to the store")
	}
}

// JobCancelled notifies the owner of a cancellation that has been stored. If the
// message is lost, the owner reads the cancellation from the store.
func (c *Client) JobCancelled(id core.JobID) {
	if !c.send(&wire.Up{Kind: &wire.Up_Cancelled{Cancelled: string(id)}}) {
		c.log.WithField("job", id).Info("cancellation not sent to the owner, which reads it from the store")
	}
}

// State queries the owner for the state of a job; the boolean is false if the
// owner does not know the job.
func (c *Client) State(ctx context.Context, id core.JobID) (jobs.State, bool, error) {
	r, err := c.query(ctx, &wire.Question{Job: string(id)})
	if err != nil {
		return "", false, err
	}
	return jobs.State(r.State), r.Known, nil
}

// Pending queries the owner for the length of a queue; the boolean is false if
// the VM that replies does not own the fleet.
func (c *Client) Pending(ctx context.Context, q core.Queue) (int, bool, error) {
	r, err := c.query(ctx, &wire.Question{Queue: string(q)})
	if err != nil {
		return 0, false, err
	}
	return int(r.Pending), r.Known, nil
}

// query sends a question to the owner and waits for the reply.
func (c *Client) query(ctx context.Context, q *wire.Question) (*wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, elect.ReplyTimeout)
	defer cancel()
	n, reply := c.replies.add()
	defer c.replies.remove(n)
	q.Number = n
	if !c.send(&wire.Up{Kind: &wire.Up_Question{Question: q}}) {
		return nil, &ClosedError{"not connected"}
	}
	sentAt := time.Now()
	select {
	case r, ok := <-reply:
		if !ok {
			return nil, &ClosedError{"the stream has ended"}
		}
		if since, changed := c.answers.answered(time.Now()); changed {
			c.logAnswers(since).Info("the owner answers again")
		}
		return r, nil
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			if since, changed := c.answers.unanswered(time.Now(), sentAt); changed {
				c.logAnswers(since).Warn("the owner does not answer")
			}
		}
		return nil, &ClosedError{ctx.Err().Error()}
	}
}

// logAnswers returns an entry that names the owner and for how long it has not answered.
func (c *Client) logAnswers(since time.Duration) *logrus.Entry {
	owner, _ := c.currentOwner()
	return c.log.WithFields(logrus.Fields{"owner": string(owner.Session), "after": since.Round(time.Millisecond).String()})
}
