// Package proc runs the gate and sched processes: it binds their addresses, starts
// their goroutines and stops them in order.
package proc

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"chicoryturn/core"
	"chicoryturn/core/member"
	"chicoryturn/io/agent"
	"chicoryturn/io/conns"
	"chicoryturn/io/gate"
	"chicoryturn/io/httpx"
	"chicoryturn/io/loop"
	"chicoryturn/io/meter"
	"chicoryturn/io/parse"
	"chicoryturn/io/peer"
	"chicoryturn/io/sched"
	"chicoryturn/io/store"
	"chicoryturn/io/work"
)

const (
	// sessionIDBytes is the number of random bytes in a session ID.
	sessionIDBytes = 6
	// memoryLimitShare is the share of the process's memory from which on the Go runtime
	// forces garbage collections.
	memoryLimitShare = 0.75
	// gcPercent is the growth of the heap, in percent, that starts a garbage collection. It is
	// low since requests that are discarded must not add up to the memory of the process.
	gcPercent = 50
	// readBuffer is the kernel's buffer of a connection in bytes. Bodies of calls have up to 8 MB.
	readBuffer = 64 << 10
	// bodyShare is the share of a gate's memory that the bodies of calls may take.
	bodyShare = 0.3
)

// ListenError reports an address that cannot be bound.
type ListenError struct {
	Name string
	Addr netip.AddrPort
	Err  error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen on %s address %s: %v", e.Name, e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// NewLogger returns the logger of one part of the program, in the format and level
// of the settings.
func NewLogger(s parse.Settings, part string) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(os.Stderr)
	if s.LogFormat == "json" {
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	} else {
		l.SetFormatter(&prefixFormatter{logrus.TextFormatter{FullTimestamp: true, DisableColors: true, TimestampFormat: "15:04:05.000"}})
	}
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil {
		l.SetLevel(level)
	}
	return l.WithField("part", part)
}

// prefixFormatter is a text format that puts the field part before the message.
type prefixFormatter struct{ logrus.TextFormatter }

// Format implements logrus.Formatter.
func (p *prefixFormatter) Format(e *logrus.Entry) ([]byte, error) {
	out := *e
	out.Data = logrus.Fields{}
	for k, v := range e.Data {
		if k != "part" {
			out.Data[k] = v
		}
	}
	out.Message = fmt.Sprintf("%v: %s", e.Data["part"], e.Message)
	return p.TextFormatter.Format(&out)
}

// process is a gate or a sched.
type process interface {
	loop.Handler
	peer.Backend
	httpx.Process
	Run(ctx context.Context) error
	Drain()
	Drained() <-chan struct{}
}

// connLimits are the limits of each connection of a client.
var connLimits = conns.WithLimits(conns.Limits{HeaderBytes: httpx.MaxHeader, HeaderTimeout: httpx.HeaderTimeout, IdleTimeout: httpx.IdleTimeout})

// Serve starts an HTTP server on a listener in the group, for clients that are trusted. The
// server runs until the context ends.
func Serve(ctx context.Context, group *errgroup.Group, l net.Listener, h http.Handler) {
	Run(ctx, group, l, &http.Server{
		Handler: h, ReadHeaderTimeout: httpx.HeaderTimeout, IdleTimeout: httpx.IdleTimeout, MaxHeaderBytes: httpx.MaxHeader,
		ErrorLog: nil,
	})
}

// Run runs an HTTP server on a listener in the group until the context ends.
func Run(ctx context.Context, group *errgroup.Group, l net.Listener, srv *http.Server) {
	group.Go(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return srv.Close()
	})
}

// Listen binds a TCP address. The name of the address is used in errors.
func Listen(name string, addr netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, &ListenError{name, addr, err}
	}
	return l, nil
}

// newIdentity returns the description of this process, with a new random session ID.
func newIdentity(s parse.Settings, role core.Role) core.Process {
	b := make([]byte, sessionIDBytes)
	// rand.Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(b)
	return core.Process{
		ID: core.SessionID(fmt.Sprintf("%s/%s/%x", s.VM, role, b)), VM: s.VM, Role: role,
		Region: s.Region, Zone: s.Zone, Peer: s.Public,
	}
}

// Gate runs a gate until the context ends or the drain, which starts when stop is
// closed, is complete or times out.
func Gate(ctx context.Context, s parse.Settings, stop <-chan struct{}) error {
	callers, err := Listen("callers", s.Callers)
	if err != nil {
		return err
	}
	return run(ctx, s, core.RoleGate, stop, func(l *loop.Loop, st *store.Client, p *peer.Pool, m *member.Member, log *logrus.Entry) (process, *agent.Agent, http.Handler, net.Listener) {
		g := gate.New(l, st, p, m, meter.Meter{}, log)
		return g, g.Agent, g.Handler(), callers
	})
}

// Sched runs a sched until the context ends or the drain, which starts when stop is
// closed, is complete or times out.
func Sched(ctx context.Context, s parse.Settings, stop <-chan struct{}, opts ...sched.Option) error {
	opts = append([]sched.Option{sched.WithWorkerTTL(s.WorkerTTL)}, opts...)
	return run(ctx, s, core.RoleSched, stop, func(l *loop.Loop, st *store.Client, p *peer.Pool, m *member.Member, log *logrus.Entry) (process, *agent.Agent, http.Handler, net.Listener) {
		sc := sched.New(l, st, p, work.New(), m, meter.Meter{}, log, opts...)
		return sc, sc.Agent, nil, nil
	})
}

// buildFunc returns a process, its agent, and the handler and listener for callers,
// which are nil for a sched.
type buildFunc func(l *loop.Loop, st *store.Client, p *peer.Pool, m *member.Member, log *logrus.Entry) (process, *agent.Agent, http.Handler, net.Listener)

// run binds the addresses of a process, builds it and runs it until the context ends
// or the drain is complete or times out.
func run(ctx context.Context, s parse.Settings, role core.Role, stop <-chan struct{}, build buildFunc) error {
	peers, err := Listen("peers", s.Peers)
	if err != nil {
		return err
	}
	ops, err := Listen("ops", s.Ops)
	if err != nil {
		return errors.Join(err, peers.Close())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	l := loop.New(ctx)
	pool := peer.NewPool()
	defer pool.Close()
	m := member.New(newIdentity(s, role), member.WithTTL(s.SessionTTL), member.WithCells(s.Cells))
	log := NewLogger(s, string(role)+" "+s.VM)
	st := store.New(s.Platform)
	p, a, callersHandler, callersListener := build(l, st, pool, m, log)
	meter.RegisterStore(st)
	resources := conns.Resources{Memory: s.Memory, Files: s.Files}
	bound := func(l net.Listener, name string, share conns.Share, opts ...conns.Option) *conns.Listener {
		return conns.New(l, name, resources.Bounds(share), log, opts...)
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Memory)))
	peerServer := peer.NewServer(p, conns.StreamStats())
	group.Go(func() error { return p.Run(ctx) })
	group.Go(func() error { return peerServer.Serve(bound(peers, "peers", conns.PeerShare)) })
	group.Go(func() error {
		<-ctx.Done()
		peerServer.Stop()
		return nil
	})
	// Rules files are bounded by their handlers, one at a time.
	opsListener := bound(ops, "ops", conns.OperatorShare, connLimits, conns.WithReadBuffer(readBuffer))
	Run(ctx, group, opsListener, opsListener.Server(httpx.Ops(p, a)))
	if callersHandler != nil {
		l := bound(callersListener, "callers", conns.ClientShare, connLimits, conns.WithReadBuffer(readBuffer), conns.WithBodies(int64(bodyShare*float64(s.Memory))))
		Run(ctx, group, l, l.Server(callersHandler))
	}
	log.Infof("started; listening for peers on %s and for operators on %s", s.Peers, s.Ops)
	group.Go(func() error { return shutdown(ctx, s, stop, p, log, cancel) })
	return errors.Join(group.Wait(), l.Wait())
}

// shutdown waits for the stop signal and then drains the process for at most the
// drain time of the settings. At its end it cancels the context of the process.
func shutdown(ctx context.Context, s parse.Settings, stop <-chan struct{}, p process, log *logrus.Entry, cancel func()) error {
	select {
	case <-ctx.Done():
		return nil
	case <-stop:
	}
	p.Drain()
	timeout := time.NewTimer(s.DrainTimeout)
	defer timeout.Stop()
	select {
	case <-p.Drained():
		log.Info("drained: all requests ended and all cells released")
	case <-timeout.C:
		log.Warnf("drain timed out after %s; stopping with work unfinished", s.DrainTimeout)
	case <-ctx.Done():
	}
	cancel()
	return nil
}
