// Package proc assembles the processes: it binds their addresses, starts their
// goroutines and stops them in order.
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
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"chicoryturn/core"
	"chicoryturn/core/member"
	"chicoryturn/io/agent"
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

// sessionNameBytes is the length of the random part of a session's name.
const sessionNameBytes = 6

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

// Log returns a log with the prefix of one part.
func Log(s parse.Settings, part string) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(os.Stderr)
	if s.Form == "json" {
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	} else {
		l.SetFormatter(&prefixFormatter{logrus.TextFormatter{FullTimestamp: true, DisableColors: true, TimestampFormat: "15:04:05.000"}})
	}
	if level, err := logrus.ParseLevel(s.Level); err == nil {
		l.SetLevel(level)
	}
	return l.WithField("part", part)
}

// prefixFormatter puts the part's name before the message.
type prefixFormatter struct{ logrus.TextFormatter }

// Format implements logrus.Formatter.
func (p *prefixFormatter) Format(e *logrus.Entry) ([]byte, error) {
	c := *e
	c.Data = logrus.Fields{}
	for k, v := range e.Data {
		if k != "part" {
			c.Data[k] = v
		}
	}
	c.Message = fmt.Sprintf("%v: %s", e.Data["part"], e.Message)
	return p.TextFormatter.Format(&c)
}

// process is what gates and scheds have in common here.
type process interface {
	loop.Handler
	peer.Backend
	httpx.Process
	Run(ctx context.Context) error
	Leave()
	Left() <-chan struct{}
}

// Serve runs an HTTP server on a bound listener until the context ends.
func Serve(ctx context.Context, group *errgroup.Group, l net.Listener, h http.Handler) {
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: httpx.HeaderTimeout, IdleTimeout: httpx.IdleTimeout, MaxHeaderBytes: httpx.MaxHeader,
		ErrorLog: nil,
	}
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

// Listen binds an address.
func Listen(name string, addr netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, &ListenError{name, addr, err}
	}
	return l, nil
}

func newIdentity(s parse.Settings, role core.Role) core.Process {
	b := make([]byte, sessionNameBytes)
	// rand.Read never fails: it ends the program instead.
	_, _ = rand.Read(b)
	return core.Process{
		ID: core.SessionID(fmt.Sprintf("%s/%s/%x", s.VM, role, b)), VM: s.VM, Role: role,
		Region: s.Region, Zone: s.Zone, Peer: s.Public,
	}
}

// Gate runs a gate until the context ends or stop has been followed by a
// graceful shutdown.
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

// Sched runs a sched until the context ends or stop has been followed by a
// hand-over of its cells.
func Sched(ctx context.Context, s parse.Settings, stop <-chan struct{}, opts ...sched.Option) error {
	opts = append([]sched.Option{sched.WithWorkerTTL(s.Worker)}, opts...)
	return run(ctx, s, core.RoleSched, stop, func(l *loop.Loop, st *store.Client, p *peer.Pool, m *member.Member, log *logrus.Entry) (process, *agent.Agent, http.Handler, net.Listener) {
		sc := sched.New(l, st, p, work.New(), m, meter.Meter{}, log, opts...)
		return sc, sc.Agent, nil, nil
	})
}

type buildFunc func(l *loop.Loop, st *store.Client, p *peer.Pool, m *member.Member, log *logrus.Entry) (process, *agent.Agent, http.Handler, net.Listener)

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
	m := member.New(newIdentity(s, role), member.WithTTL(s.Session), member.WithCells(s.Cells))
	log := Log(s, string(role)+" "+s.VM)
	st := store.New(s.Platform)
	p, a, callers, callersAt := build(l, st, pool, m, log)
	meter.RegisterStore(st)
	rpc := peer.NewServer(p)
	group.Go(func() error { return p.Run(ctx) })
	group.Go(func() error { return rpc.Serve(peers) })
	group.Go(func() error {
		<-ctx.Done()
		rpc.Stop()
		return nil
	})
	Serve(ctx, group, ops, httpx.Ops(p, a))
	if callers != nil {
		Serve(ctx, group, callersAt, callers)
	}
	log.Infof("started: peers %s, ops %s", s.Peers, s.Ops)
	group.Go(func() error { return shutdown(ctx, s, stop, p, log, cancel) })
	return errors.Join(group.Wait(), l.Wait())
}

// shutdown follows a planned stop: no new work, the rest to its end.
func shutdown(ctx context.Context, s parse.Settings, stop <-chan struct{}, p process, log *logrus.Entry, cancel func()) error {
	select {
	case <-ctx.Done():
		return nil
	case <-stop:
	}
	p.Leave()
	limit := time.NewTimer(s.Drain)
	defer limit.Stop()
	select {
	case <-p.Left():
		log.Info("left: nothing was cut off")
	case <-limit.C:
		log.Warnf("not everything has ended within %s", s.Drain)
	case <-ctx.Done():
	}
	cancel()
	return nil
}
