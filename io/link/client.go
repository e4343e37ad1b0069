package link

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"chicoryturn/core"
	"chicoryturn/core/board"
	"chicoryturn/core/jobs"
	"chicoryturn/io/guide"
	"chicoryturn/io/wire"
)

const (
	// dialTime bounds the opening of a connection to the owner.
	dialTime = 700 * time.Millisecond
	// redial is the pause before the owner is joined again.
	redial = 250 * time.Millisecond
)

// Adviser makes calls to the placement policy for the owner.
type Adviser interface {
	Ask(a board.Ask, then func(guide.Result))
}

// Client keeps a stream to the owner, wherever it is.
type Client struct {
	vm, zone string
	adviser  Adviser
	log      *logrus.Entry
	// lost is called when a stream has ended, with the owner perhaps gone.
	lost func()

	// mu guards what the traffic goroutines share.
	mu      sync.Mutex
	target  netip.AddrPort
	changed chan struct{}
	out     chan *wire.Up
	asked   map[uint64]chan *wire.Reply
	number  uint64
}

// NewClient returns a client without a stream; Run opens one.
func NewClient(vm, zone string, a Adviser, lost func(), log *logrus.Entry) *Client {
	return &Client{vm: vm, zone: zone, adviser: a, lost: lost, log: log, changed: make(chan struct{}), asked: map[uint64]chan *wire.Reply{}}
}

// Follow tells where the owner is; an invalid address means nowhere.
func (c *Client) Follow(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.target {
		return
	}
	c.target = addr
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Client) where() (netip.AddrPort, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.target, c.changed
}

// Run keeps the stream until the context ends.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		addr, changed := c.where()
		if !addr.IsValid() {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		err := c.join(ctx, addr, changed)
		if ctx.Err() == nil {
			c.log.WithError(err).WithField("owner", addr.String()).Info("link ended")
			c.lost()
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
func (c *Client) join(ctx context.Context, addr netip.AddrPort, changed <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+addr.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithKeepaliveParams(keepAlive),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.DefaultConfig, MinConnectTimeout: dialTime}),
		grpc.WithContextDialer(func(ctx context.Context, at string) (net.Conn, error) {
			d := net.Dialer{Timeout: dialTime}
			return d.DialContext(ctx, "tcp", at)
		}),
		grpc.WithInitialWindowSize(window), grpc.WithInitialConnWindowSize(window),
		grpc.WithReadBufferSize(4<<10), grpc.WithWriteBufferSize(4<<10))
	if err != nil {
		return err
	}
	defer conn.Close()
	stream, err := wire.NewLinkClient(conn).Join(ctx)
	if err != nil {
		return err
	}
	if err := stream.Send(&wire.Up{Kind: &wire.Up_Hello{Hello: &wire.Hello{Vm: c.vm, Zone: c.zone}}}); err != nil {
		return err
	}
	out := make(chan *wire.Up, sendQueue)
	c.open(out)
	defer c.shut()
	c.log.WithField("owner", addr.String()).Info("joined the owner")
	done := make(chan error, 1)
	go func() { done <- c.receive(stream) }()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			return &ClosedError{"the owner has changed"}
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

// shut ends all questions that wait.
func (c *Client) shut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out = nil
	for n, reply := range c.asked {
		close(reply)
		delete(c.asked, n)
	}
}

func (c *Client) receive(stream grpc.BidiStreamingClient[wire.Up, wire.Down]) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		switch k := m.Kind.(type) {
		case *wire.Down_Advise:
			a, err := toAsk(k.Advise)
			if err != nil {
				c.log.WithError(err).Error("message dropped")
				continue
			}
			c.adviser.Ask(a, c.Advised)
		case *wire.Down_Reply:
			c.deliver(k.Reply)
		case *wire.Down_Resigned:
			return &ClosedError{"the owner has resigned"}
		}
	}
}

func (c *Client) deliver(r *wire.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch, ok := c.asked[r.Number]; ok {
		ch <- r
		delete(c.asked, r.Number)
	}
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
func (c *Client) Advised(r guide.Result) {
	if !c.send(&wire.Up{Kind: &wire.Up_Advised{Advised: fromResult(r)}}) {
		c.log.WithField("job", r.Ask.Phase.Job).Warn("advice not passed on")
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
	reply := make(chan *wire.Reply, 1)
	c.mu.Lock()
	c.number++
	q.Number = c.number
	c.asked[q.Number] = reply
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.asked, q.Number)
	}()
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
