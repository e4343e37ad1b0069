package node

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
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
	"chicoryturn/io/conns"
	"chicoryturn/io/entry"
	"chicoryturn/io/guard"
	"chicoryturn/io/link"
	"chicoryturn/io/logbuf"
	"chicoryturn/io/loop"
	"chicoryturn/io/owner"
	"chicoryturn/io/record"
	"chicoryturn/io/relay"
	"chicoryturn/io/table"
)

const (
	// sessionIDBytes is the length of the random part of a session ID.
	sessionIDBytes = 6
	// gcPercent is the growth of the heap, in percent, that starts a garbage
	// collection. It is low since peak memory costs more than processor time.
	gcPercent = 50
	// ownerGCPercent is the same while the process owns the fleet, on a VM with at least
	// ownerGCMemory bytes: there an owner has several hundred workers, lacks processor time under load, and
	// is one of many VMs. The memory limit holds all the same.
	ownerGCPercent = 200
	ownerGCMemory  = 400 << 20
	// memoryLimitShare is the share of the process's memory limit from which on
	// the Go runtime forces garbage collections.
	memoryLimitShare = 0.75
	// drainTime is how long a stopping process still accepts connections: the
	// load balancer needs two probes, one second apart, to notice.
	drainTime = 2600 * time.Millisecond
	// exitReserve is the part of the grace period reserved for the exit itself.
	exitReserve = 700 * time.Millisecond
	// A VM with at least fullShare of a core claims ownership at once; one with
	// less waits, up to maxShareDelay longer, so that a large VM becomes the
	// owner.
	fullShare     = 0.8
	maxShareDelay = 300 * time.Millisecond
	// settingsInterval is the time between two reads of the settings, which may
	// change without a signal.
	settingsInterval = 3 * time.Second
	// snapshotMegabits is what a new owner reads on a busy day: 3,000 jobs of
	// 2.5 KB. maxReadDelay bounds the claim delay of a VM with a slow link.
	snapshotMegabits = 60.0
	maxReadDelay     = 4 * time.Second
)

// Lister reads what operators have set and the list of workers.
type Lister interface {
	owner.WorkerLister
	// Directives reads the configuration and the evacuated zones.
	Directives(ctx context.Context) (policy.Directives, error)
	// AwaitDirectives waits for a change of either after last, for at most the
	// duration wait, and returns last with the changes.
	AwaitDirectives(ctx context.Context, last policy.Directives, wait time.Duration) (policy.Directives, error)
}

// Platform is the process's access to the platform.
type Platform struct {
	// Store is the table, called directly from this VM.
	Store table.Client
	// Lister returns a Lister that reads through a table client.
	Lister  func(table.Client) Lister
	Workers owner.WorkerClient
	Advisor advice.Advisor
	// CallerHandler and ProbeHandler return the HTTP handlers for clients and
	// for readiness probes.
	CallerHandler, ProbeHandler func(*entry.Entry) http.Handler
	// Settings reads the settings. ReloadSignal receives a signal when they may
	// have changed.
	Settings     func() (Settings, error)
	ReloadSignal <-chan os.Signal
}

// Node is the process of one VM.
type Node struct {
	settings Settings
	// grace is the grace period of a stop in nanoseconds; applySettings updates
	// it.
	grace      atomic.Int64
	session    core.SessionID
	platform   Platform
	log        *logrus.Logger
	logBuf     *logbuf.Writer
	entry      *entry.Entry
	owner      *owner.Owner
	linkClient *link.Client
	linkServer *link.Server
	lister     Lister
	advice     *advice.Client
	records    *record.Store
	// directivesAt is the boot time in nanoseconds at which the last successful read
	// of what operators have set was sent; 0 before the first one.
	directivesAt atomic.Int64
	// listeners are those for HTTP. They are set before the goroutines start.
	listeners []*conns.Listener
}

// Run runs a process until stop is closed and all calls have been answered, or
// until the context ends.
func Run(ctx context.Context, s Settings, p Platform, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	return assemble(s, p, loop.New(ctx)).run(ctx, stop, cancel)
}

// assemble creates the parts of the process and connects them.
func assemble(s Settings, p Platform, l *loop.Loop) *Node {
	n := &Node{settings: s, platform: p, logBuf: logbuf.New(os.Stdout), log: logrus.New()}
	n.grace.Store(int64(s.Grace))
	n.log.SetOutput(n.logBuf)
	n.log.SetFormatter(logbuf.NewFormatter())
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil {
		n.log.SetLevel(level)
	}
	n.advice = advice.New(p.Advisor)
	toOwner := &ownerLink{vm: s.VM}
	store := relay.New(p.Store, toOwner)
	// The lister has its own adaptive time-outs, since its reads are larger
	// than those of the record store.
	n.records, n.lister = record.New(adapt.New(store), record.WithReachability(store)), p.Lister(adapt.New(store))
	n.entry = entry.New(n.records, toOwner, n.advice, Meter{}, n.logger("entry"), entry.WithMemory(s.Limits.Memory))
	n.session = newSessionID(s.VM)
	candidate := elect.Record{Holder: n.session, VM: s.VM, Addr: s.Peers, Delay: claimDelay(s)}
	n.owner = owner.New(l, owner.Deps{Records: n.records, Workers: p.Workers, Lister: n.lister, Meter: Meter{}}, candidate, claimDelay(s), s.Limits, n.logger("owner"),
		owner.WithWorkersHook(n.entry.SetWorkers), owner.WithTickHook(n.entry.CheckPause), owner.WithRecordHook(n.entry.SetRecord),
		owner.WithOwnerHook(func(r elect.Record, isOwner bool) { n.ownerChanged(toOwner, r, isOwner) }))
	n.linkClient = link.NewClient(s.VM, string(s.Zone), n.advice, n.owner, store.ServeDirect, n.logger("link"), link.WithRoomHint(n.entry.SetRoomHint))
	n.linkServer = link.NewServer(n.owner, n.session, store.Serve, n.logger("link"), conns.StreamStats())
	toOwner.owner, toOwner.client, toOwner.server = n.owner, n.linkClient, n.linkServer
	return n
}

// logger returns the process's logger with the name of a part.
func (n *Node) logger(name string) *logrus.Entry {
	return n.log.WithFields(logrus.Fields{"vm": n.settings.VM, "part": name})
}

// claimDelay returns how long this VM waits before it claims ownership: longer
// for small VMs, and for those that would take long to read the stored jobs.
func claimDelay(s Settings) time.Duration {
	delay := time.Duration(max(1-s.CoreShare/fullShare, 0) * float64(maxShareDelay))
	if s.LinkMbps > 0 {
		delay += min(time.Duration(snapshotMegabits/s.LinkMbps*float64(time.Second)), maxReadDelay)
	}
	return delay
}

// newSessionID returns a name for this incarnation of the VM's process.
func newSessionID(vm string) core.SessionID {
	b := make([]byte, sessionIDBytes)
	// rand.Read never returns an error: it ends the program instead.
	_, _ = rand.Read(b)
	return core.SessionID(fmt.Sprintf("%s/%x", vm, b))
}

// ownerChanged connects to a new owner. It closes the stream if this process is
// the owner or if there is no owner.
func (n *Node) ownerChanged(l *ownerLink, r elect.Record, isOwner bool) {
	l.isOwner.Store(isOwner)
	debug.SetGCPercent(gcPercentFor(isOwner, n.settings.Limits.Memory))
	n.entry.SetOwner(r)
	if isOwner || r.Holder == "" {
		n.linkClient.SetOwner(link.OwnerAddr{})
		return
	}
	n.linkClient.SetOwner(link.OwnerAddr{Addr: r.Addr, Session: r.Holder})
}

// run starts all parts and waits until they have ended; exit ends the context.
func (n *Node) run(ctx context.Context, stop <-chan struct{}, exit context.CancelFunc) error {
	debug.SetGCPercent(gcPercent)
	setMemoryLimit(n.settings.Limits.Memory)
	g, ctx := errgroup.WithContext(ctx)
	logCtx, stopLogs := context.WithCancel(context.WithoutCancel(ctx))
	logsWritten := make(chan struct{})
	go func() {
		defer close(logsWritten)
		_ = n.logBuf.Run(logCtx)
	}()
	defer func() {
		stopLogs()
		<-logsWritten
	}()
	if err := n.serve(ctx, g, stop, exit); err != nil {
		return err
	}
	g.Go(n.owner.Run)
	g.Go(func() error { return n.records.Run(ctx) })
	g.Go(func() error { return n.advice.Run(ctx) })
	g.Go(func() error { return n.linkClient.Run(ctx) })
	g.Go(func() error { return n.watchDirectives(ctx) })
	g.Go(func() error { return n.watchSettings(ctx) })
	n.owner.AddPeer(&localPeer{vm: n.settings.VM, advice: n.advice, owner: n.owner, entry: n.entry})
	n.logger("node").WithFields(logrus.Fields{
		"callers": n.settings.Callers.String(), "peers": n.settings.Peers.String(), "share": n.settings.CoreShare, "memory": n.settings.Limits.Memory,
	}).Info("started")
	return g.Wait()
}

// gcPercentFor returns the growth of the heap that starts a garbage collection, for a process with a
// memory limit in bytes.
func gcPercentFor(isOwner bool, memory int64) int {
	if isOwner && memory >= ownerGCMemory {
		return ownerGCPercent
	}
	return gcPercent
}

// setMemoryLimit bounds the heap by a part of the process's memory limit, if there is one.
func setMemoryLimit(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(bytes)))
	}
}

// shutdown handles a planned stop: it fails the readiness probes, resigns
// ownership and waits for the calls in flight.
func (n *Node) shutdown(ctx context.Context, stop <-chan struct{}, callerServer *http.Server, exit context.CancelFunc) error {
	select {
	case <-ctx.Done():
		return nil
	case <-stop:
	}
	start := time.Now()
	log := n.logger("node")
	log.Info("stopping")
	grace := time.Duration(n.grace.Load())
	n.entry.Drain()
	n.owner.Drain()
	// Without keep-alives, each further response closes its connection.
	callerServer.SetKeepAlivesEnabled(false)
	clock.Sleep(ctx, min(drainTime, grace/2))
	deadline, cancel := context.WithTimeout(ctx, max(grace-exitReserve-time.Since(start), exitReserve))
	defer cancel()
	if err := callerServer.Shutdown(deadline); err != nil {
		log.WithError(err).WithField("calls", n.entry.InFlight()).Warn("calls still in flight at the deadline")
	}
	select {
	case <-n.owner.Drained():
	case <-deadline.Done():
	}
	log.WithField("took", time.Since(start).Round(time.Millisecond).String()).Info("stopped")
	exit()
	return nil
}

// opsHandler returns the HTTP handler for operators.
func (n *Node) opsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.GetOrCreateCounter("chicoryturn_log_lines_dropped_total").Set(n.logBuf.Dropped())
		metrics.GetOrCreateCounter("chicoryturn_panics_total").Set(guard.Caught())
		metrics.GetOrCreateGauge("chicoryturn_evacuations_age_seconds", nil).Set(n.directivesAge().Seconds())
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, r *http.Request) {
		d, err := n.owner.Dump(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(d)
	})
	return mux
}
