package node

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"chicoryturn/core"
	"chicoryturn/core/elect"
	"chicoryturn/core/policy"
	"chicoryturn/io/adapt"
	"chicoryturn/io/advice"
	"chicoryturn/io/clock"
	"chicoryturn/io/entry"
	"chicoryturn/io/link"
	"chicoryturn/io/logbuf"
	"chicoryturn/io/loop"
	"chicoryturn/io/owner"
	"chicoryturn/io/proc"
	"chicoryturn/io/record"
	"chicoryturn/io/relay"
	"chicoryturn/io/table"
)

const (
	// sessionBytes is the length of the random part of a session's name.
	sessionBytes = 6
	// policyWait is how long one call waits for a new configuration. It bounds
	// how late a VM finds that its connection has gone silent.
	policyWait = 800 * time.Millisecond
	// policyPause is the time before a failed reading is repeated.
	policyPause = 200 * time.Millisecond
	// collectAt is the growth of the heap, in percent, that starts a collection;
	// peak memory is priced higher than processor time.
	collectAt = 50
	// memoryPart is the part of the memory limit from which on collections are
	// forced.
	memoryPart = 0.75
	// drainTime is how long a stopping process goes on taking connections: the
	// balancer needs two probes, a second apart, to notice.
	drainTime = 2600 * time.Millisecond
	// exitSlack is what is left of the grace period for the exit itself.
	exitSlack = 700 * time.Millisecond
	// ampleShare is the part of a core from which on a VM claims at once, and
	// unhurried is how much later one without any would, so that the seat goes to
	// a large VM.
	ampleShare = 0.8
	unhurried  = 300 * time.Millisecond
	// settingsPause is the time between two looks at the settings, which may
	// change without a signal.
	settingsPause = 3 * time.Second
	// recordSize is what a new owner reads on a busy day, in megabits: 3,000 jobs
	// of 2.5 KB. slowestLink bounds the delay of a VM with a slow link.
	recordSize  = 60.0
	slowestLink = 4 * time.Second
	// headerTime bounds the time in which a client sends its headers.
	headerTime = 5 * time.Second
	// idleTime bounds the time that a connection is kept without a call.
	idleTime = time.Minute
)

// Lister reads the configuration and the workers.
type Lister interface {
	owner.WorkerLister
	// Policy reads the configuration, nil if there is none, and the version
	// from which Changed goes on.
	Policy(ctx context.Context) (*policy.Policy, uint64, error)
	// Changed waits for the next configuration.
	Changed(ctx context.Context, after uint64, wait time.Duration) (*policy.Policy, uint64, error)
}

// Platform is all that a process needs of the outside.
type Platform struct {
	// Store is the table as this VM reaches it.
	Store table.Client
	// Lister makes a reader of the platform's lists over a table.
	Lister  func(table.Client) Lister
	Workers owner.WorkerClient
	Advice  advice.Advisor
	// CallerHandler and Probes make the handlers of the process's doors.
	CallerHandler, ProbeHandler func(*entry.Entry) http.Handler
	// Settings reads the settings again, and Reload tells when they may have
	// changed.
	Settings     func() (Settings, error)
	ReloadSignal <-chan os.Signal
}

// Node is one process.
type Node struct {
	settings Settings
	// grace is the time to stop in, in nanoseconds; it follows the settings.
	grace    atomic.Int64
	session  core.SessionID
	platform Platform
	log      *logrus.Logger
	spool    *logbuf.Writer
	entry    *entry.Entry
	owner    *owner.Owner
	link     *link.Client
	rpc      *link.Server
	lists    Lister
	guide    *advice.Client
	vault    *record.Store
}

// Run runs a process until stop is closed and all calls have been answered, or
// the context ends.
func Run(ctx context.Context, s Settings, p Platform, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	return assemble(s, p, loop.New(ctx)).run(ctx, stop, cancel)
}

func assemble(s Settings, p Platform, l *loop.Loop) *Node {
	n := &Node{settings: s, platform: p, spool: logbuf.New(os.Stdout), log: logrus.New()}
	n.grace.Store(int64(s.Grace))
	n.log.SetOutput(n.spool)
	n.log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	if level, err := logrus.ParseLevel(s.Level); err == nil {
		n.log.SetLevel(level)
	}
	n.guide = advice.New(p.Advice)
	d := &desk{vm: s.VM}
	store := relay.New(p.Store, d)
	// The lists are larger than what the vault reads, and paced by themselves.
	n.vault, n.lists = record.New(adapt.New(store), record.WithReach(store)), p.Lister(adapt.New(store))
	n.entry = entry.New(n.vault, d, n.guide, gauge{}, n.part("entry"))
	n.session = session(s.VM)
	me := elect.Record{Holder: n.session, VM: s.VM, Addr: s.Peers}
	n.owner = owner.New(l, owner.Deps{Records: n.vault, Workers: p.Workers, Lister: n.lists, Meter: gauge{}}, me, patience(s), s.Limits, n.part("owner"),
		owner.WithWorkersHook(n.entry.SetWorkers),
		owner.WithOwnerHook(func(seat elect.Record, mine bool) { n.follow(d, seat, mine) }))
	n.link = link.NewClient(s.VM, string(s.Zone), n.guide, n.owner, store.ServeDirect, n.part("link"), link.WithRoomHint(n.entry.SetRoomHint))
	n.rpc = link.NewServer(n.owner, n.session, store.Serve, n.part("link"))
	d.owner, d.link, d.rpc = n.owner, n.link, n.rpc
	return n
}

func (n *Node) part(name string) *logrus.Entry {
	return n.log.WithFields(logrus.Fields{"vm": n.settings.VM, "part": name})
}

// patience delays the claims of small VMs, and of those that would take long to
// read what is recorded.
func patience(s Settings) time.Duration {
	p := time.Duration(max(1-s.CoreShare/ampleShare, 0) * float64(unhurried))
	if s.LinkMbps > 0 {
		p += min(time.Duration(recordSize/s.LinkMbps*float64(time.Second)), slowestLink)
	}
	return p
}

func session(vm string) core.SessionID {
	b := make([]byte, sessionBytes)
	// rand.Read never fails: it ends the program instead.
	_, _ = rand.Read(b)
	return core.SessionID(fmt.Sprintf("%s/%x", vm, b))
}

// follow joins the owner of the fleet.
func (n *Node) follow(d *desk, seat elect.Record, mine bool) {
	d.mine.Store(mine)
	n.entry.SetOwner(seat)
	if mine || seat.Holder == "" {
		n.link.SetOwner(link.OwnerAddr{})
		return
	}
	n.link.SetOwner(link.OwnerAddr{Addr: seat.Addr, Session: seat.Holder})
}

func (n *Node) run(ctx context.Context, stop <-chan struct{}, end context.CancelFunc) error {
	debug.SetGCPercent(collectAt)
	if n.settings.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(n.settings.Memory)))
	}
	g, ctx := errgroup.WithContext(ctx)
	logs, endLogs := context.WithCancel(context.WithoutCancel(ctx))
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = n.spool.Run(logs)
	}()
	defer func() {
		endLogs()
		<-written
	}()
	if err := n.serve(ctx, g, stop, end); err != nil {
		return err
	}
	g.Go(n.owner.Run)
	g.Go(func() error { return n.vault.Run(ctx) })
	g.Go(func() error { return n.guide.Run(ctx) })
	g.Go(func() error { return n.link.Run(ctx) })
	g.Go(func() error { return n.watchPolicy(ctx) })
	g.Go(func() error { return n.watchSettings(ctx) })
	n.owner.AddPeer(&local{vm: n.settings.VM, guide: n.guide, owner: n.owner, entry: n.entry})
	n.part("node").WithFields(logrus.Fields{
		"callers": n.settings.Callers.String(), "peers": n.settings.Peers.String(), "share": n.settings.CoreShare, "memory": n.settings.Memory,
	}).Info("started")
	return g.Wait()
}

// serve binds the process's addresses.
func (n *Node) serve(ctx context.Context, g *errgroup.Group, stop <-chan struct{}, end context.CancelFunc) error {
	callers, err := proc.Listen("callers", n.settings.Callers)
	if err != nil {
		return err
	}
	probes, err := proc.Listen("probes", n.settings.Probes)
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	peers, err := proc.Listen("peers", n.settings.Peers)
	if err != nil {
		return errors.Join(err, callers.Close(), probes.Close())
	}
	ops, err := proc.Listen("ops", n.settings.Ops)
	if err != nil {
		return errors.Join(err, callers.Close(), probes.Close(), peers.Close())
	}
	g.Go(func() error { return n.rpc.Serve(peers) })
	g.Go(func() error {
		<-ctx.Done()
		n.rpc.Stop()
		return nil
	})
	door := n.httpServer(ctx, g, callers, n.platform.CallerHandler(n.entry))
	n.httpServer(ctx, g, probes, n.platform.ProbeHandler(n.entry))
	n.httpServer(ctx, g, ops, n.ops())
	g.Go(func() error { return n.shutdown(ctx, stop, door, end) })
	return nil
}

func (n *Node) httpServer(ctx context.Context, g *errgroup.Group, l net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, ErrorLog: nil}
	g.Go(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		return srv.Close()
	})
	return srv
}

// shutdown follows a planned stop: the balancer is told, the seat given up,
// and what has been taken is answered.
func (n *Node) shutdown(ctx context.Context, stop <-chan struct{}, door *http.Server, end context.CancelFunc) error {
	select {
	case <-ctx.Done():
		return nil
	case <-stop:
	}
	began := time.Now()
	log := n.part("node")
	log.Info("stopping")
	grace := time.Duration(n.grace.Load())
	n.entry.Drain()
	n.owner.Drain()
	// Each further answer closes its connection.
	door.SetKeepAlivesEnabled(false)
	clock.Sleep(ctx, min(drainTime, grace/2))
	limit, cancel := context.WithTimeout(ctx, max(grace-exitSlack-time.Since(began), exitSlack))
	defer cancel()
	if err := door.Shutdown(limit); err != nil {
		log.WithError(err).WithField("calls", n.entry.InFlight()).Warn("calls left")
	}
	select {
	case <-n.owner.Drained():
	case <-limit.Done():
	}
	log.WithField("took", time.Since(began).Round(time.Millisecond).String()).Info("stopped")
	end()
	return nil
}

// watchPolicy follows the configuration.
func (n *Node) watchPolicy(ctx context.Context) error {
	log := n.part("config")
	for ctx.Err() == nil {
		p, version, err := n.lists.Policy(ctx)
		if err != nil {
			log.WithError(err).Warn("configuration not read")
			clock.Sleep(ctx, policyPause)
			continue
		}
		n.setPolicy(p)
		for ctx.Err() == nil {
			p, version, err = n.lists.Changed(ctx, version, policyWait)
			if err != nil {
				var trimmed *table.CompactedError
				if !errors.As(err, &trimmed) {
					log.WithError(err).Warn("configuration not followed")
					clock.Sleep(ctx, policyPause)
				}
				break
			}
			n.setPolicy(p)
		}
	}
	return nil
}

func (n *Node) setPolicy(p *policy.Policy) {
	if p == nil {
		return
	}
	old := n.entry.Version()
	n.entry.SetPolicy(p)
	if p.Version > old {
		n.owner.SetPolicy(p)
		n.part("config").WithFields(logrus.Fields{"version": p.Version, "last": old}).Info("configuration in force")
	}
}

// ops returns the operators' pages.
func (n *Node) ops() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.GetOrCreateCounter("chicoryturn_log_lines_dropped_total").Set(n.spool.Dropped())
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, r *http.Request) {
		d, err := n.owner.Dump(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// An error here means that the reader has gone.
		_ = json.NewEncoder(w).Encode(d)
	})
	return mux
}
