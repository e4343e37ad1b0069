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
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/io/advice"
	"chicoryturn/io/table"
	"chicoryturn/io/wire"
)

const (
	// dialTime bounds the opening of a connection to the owner.
	dialTime = 700 * time.Millisecond
	// redial is the pause before the owner is joined again.
	redial = 250 * time.Millisecond
)

// Advisor makes calls to the placement policy for the owner.
type Advisor interface {
	Request(a fleet.AdviceRequest, then func(advice.Result))
}

// OwnerWatcher is told whether the owner answers.
type OwnerWatcher interface {
	// OwnerLost tells that the stream has ended; over is set if the owner's
	// incarnation seems to have ended as well.
	OwnerLost(holder core.SessionID, over bool)
	OwnerFound()
}

// Client keeps a stream to the owner, wherever it is.
type Client struct {
	vm, zone string
	adviser  Advisor
	log      *logrus.Entry
	watch    OwnerWatcher

	// mu guards what the traffic goroutines share.
	mu      sync.Mutex
	target  OwnerAddr
	changed chan struct{}
	out     chan *wire.Up

	// onRoomy is told the owner's hints of where room is.
	onRoomy func([]core.WorkerID)
	asked   *waits[*wire.Reply]
	carrier *carrier
}

// OwnerAddr is one incarnation of the owner.
type OwnerAddr struct {
	Addr    netip.AddrPort
	Session core.SessionID
}

// OverError reports that the owner's incarnation has ended.
type OverError struct{ Reason string }

// Error implements error.
func (e *OverError) Error() string { return "the owner has ended: " + e.Reason }

// Option changes a client under construction.
type Option func(*Client)

// WithRoomHint has a function told which workers have room.
func WithRoomHint(f func([]core.WorkerID)) Option { return func(c *Client) { c.onRoomy = f } }

// NewClient returns a client without a stream; Run opens one. Own carries out
// calls of the table for the owner.
func NewClient(vm, zone string, a Advisor, w OwnerWatcher, own Serve, log *logrus.Entry, opts ...Option) *Client {
	c := &Client{
		vm: vm, zone: zone, adviser: a, watch: w, log: log, changed: make(chan struct{}),
		asked: newWaits[*wire.Reply](), carrier: newCarrier(own),
		onRoomy: func([]core.WorkerID) {},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// SetOwner tells where the owner is; an invalid address means nowhere.
func (c *Client) SetOwner(t OwnerAddr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t == c.target {
		return
	}
	c.target = t
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Client) where() (OwnerAddr, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.target, c.changed
}

// Run keeps the stream until the context ends.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		to, changed := c.where()
		if !to.Addr.IsValid() {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		err := c.join(ctx, to, changed)
		if ctx.Err() == nil {
			c.log.WithError(err).WithField("owner", to.Addr.String()).Info("link ended")
			var over *OverError
			c.watch.OwnerLost(to.Session, errors.As(err, &over))
		}
		t := time.NewTimer(redial)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// join opens a stream and serves it until it breaks or the owner changes.
func (c *Client) join(ctx context.Context, to OwnerAddr, changed <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	refused := make(chan struct{}, 1)
	conn, err := grpc.NewClient("passthrough:///"+to.Addr.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithKeepaliveParams(keepAlive),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.DefaultConfig, MinConnectTimeout: dialTime}),
		grpc.WithContextDialer(func(ctx context.Context, at string) (net.Conn, error) {
			d := net.Dialer{Timeout: dialTime}
			conn, err := d.DialContext(ctx, "tcp", at)
			if errors.Is(err, syscall.ECONNREFUSED) {
				select {
				case refused <- struct{}{}:
				default:
				}
			}
			return conn, err
		}),
		grpc.WithInitialWindowSize(window), grpc.WithInitialConnWindowSize(window),
		grpc.WithReadBufferSize(4<<10), grpc.WithWriteBufferSize(4<<10))
	if err != nil {
		return err
	}
	defer conn.Close()
	stream, err := wire.NewLinkClient(conn).Join(ctx)
	if err != nil {
		select {
		case <-refused:
			return &OverError{"its address refuses connections"}
		default:
			return err
		}
	}
	if err := stream.Send(&wire.Up{Kind: &wire.Up_Hello{Hello: &wire.Hello{Vm: c.vm, Zone: c.zone}}}); err != nil {
		return err
	}
	out := make(chan *wire.Up, sendQueue)
	done := make(chan error, 1)
	heard := make(chan struct{}, 1)
	go func() { done <- c.receive(stream, to.Session, out, heard) }()
	defer c.shut()
	silence := time.NewTimer(silentAfter)
	defer silence.Stop()
	for {
		select {
		case <-heard:
			silence.Reset(silentAfter)
		case <-silence.C:
			return &ClosedError{"nothing has come from the owner for " + silentAfter.String()}
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			return &ClosedError{"the owner has changed"}
		case <-refused:
			return &OverError{"its address refuses connections"}
		case err := <-done:
			return err
		case m := <-out:
			if err := stream.Send(m); err != nil {
				return err
			}
		}
	}
}

func (c *Client) open(out chan *wire.Up) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out = out
}

// shut ends all that waits for the owner.
func (c *Client) shut() {
	c.mu.Lock()
	c.out = nil
	c.mu.Unlock()
	c.asked.close()
	c.carrier.waits.close()
}

func (c *Client) receive(stream grpc.BidiStreamingClient[wire.Up, wire.Down], session core.SessionID, out chan *wire.Up, heard chan<- struct{}) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetSession() != string(session) {
		return &OverError{"another incarnation answers at its address"}
	}
	c.open(out)
	c.watch.OwnerFound()
	c.log.WithField("owner", string(session)).Info("joined the owner")
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		select {
		case heard <- struct{}{}:
		default:
		}
		if _, ok := m.Kind.(*wire.Down_Resigned); ok {
			return &ClosedError{"the owner has resigned"}
		}
		if err := c.take(stream.Context(), m); err != nil {
			c.log.WithError(err).Error("message dropped")
		}
	}
}

func (c *Client) take(ctx context.Context, m *wire.Down) error {
	switch k := m.Kind.(type) {
	case *wire.Down_Advise:
		a, err := toAsk(k.Advise)
		if err != nil {
			return err
		}
		c.adviser.Request(a, c.Advised)
	case *wire.Down_Roomy:
		c.onRoomy(workers(k.Roomy.Workers))
	case *wire.Down_Reply:
		c.asked.deliver(k.Reply.Number, k.Reply)
	case *wire.Down_Carried:
		return c.carrier.carried(k.Carried)
	case *wire.Down_Call:
		return c.carrier.serve(ctx, k.Call, func(r *wire.Carried) { c.send(&wire.Up{Kind: &wire.Up_Carried{Carried: r}}) })
	}
	return nil
}

// Forward implements relay.Carrier: the owner's VM carries out the call.
func (c *Client) Forward(ctx context.Context, call table.Call) (table.Outcome, error) {
	return c.carrier.carry(ctx, call, func(m *wire.Call) bool { return c.send(&wire.Up{Kind: &wire.Up_Call{Call: m}}) })
}

// Connected reports whether the stream to the owner is open.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.out != nil
}

// send reports whether the message was queued; without a stream it is not.
func (c *Client) send(m *wire.Up) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.out == nil {
		return false
	}
	select {
	case c.out <- m:
		return true
	default:
		return false
	}
}

// Advised passes the result of a call for advice to the owner. A lost one is
// asked for again once its time is up.
func (c *Client) Advised(r advice.Result) {
	if !c.send(&wire.Up{Kind: &wire.Up_Advised{Advised: fromResult(r)}}) {
		c.log.WithField("job", r.Request.Phase.Job).Warn("advice not passed on")
	}
}

// Accepted tells the owner of a job that is in the store. If it is not
// delivered, the owner finds the job there.
func (c *Client) Accepted(spec jobs.Spec, asking bool) {
	text, err := json.Marshal(spec)
	if err != nil {
		c.log.WithError(err).WithField("job", spec.ID).Error("job not passed on")
		return
	}
	if !c.send(&wire.Up{Kind: &wire.Up_Accepted{Accepted: &wire.Accepted{Spec: text, Asking: asking}}}) {
		c.log.WithField("job", spec.ID).Info("job left to the store")
	}
}

// Cancelled tells the owner of a cancellation that is in the store.
func (c *Client) Cancelled(id core.JobID) {
	if !c.send(&wire.Up{Kind: &wire.Up_Cancelled{Cancelled: string(id)}}) {
		c.log.WithField("job", id).Info("cancellation left to the store")
	}
}

// State asks the owner for the state of a job.
func (c *Client) State(ctx context.Context, id core.JobID) (jobs.State, bool, error) {
	r, err := c.question(ctx, &wire.Question{Job: string(id)})
	if err != nil {
		return "", false, err
	}
	return jobs.State(r.State), r.Known, nil
}

// Pending asks the owner for the length of a queue.
func (c *Client) Pending(ctx context.Context, q core.Queue) (int, bool, error) {
	r, err := c.question(ctx, &wire.Question{Queue: string(q)})
	if err != nil {
		return 0, false, err
	}
	return int(r.Pending), r.Known, nil
}

func (c *Client) question(ctx context.Context, q *wire.Question) (*wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, replyTime)
	defer cancel()
	n, reply := c.asked.add()
	defer c.asked.drop(n)
	q.Number = n
	if !c.send(&wire.Up{Kind: &wire.Up_Question{Question: q}}) {
		return nil, &ClosedError{"not joined"}
	}
	select {
	case r, ok := <-reply:
		if !ok {
			return nil, &ClosedError{"the stream has ended"}
		}
		return r, nil
	case <-ctx.Done():
		return nil, &ClosedError{ctx.Err().Error()}
	}
}
