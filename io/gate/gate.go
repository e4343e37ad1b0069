// Package gate implements the process that accepts callers' requests and jobs.
// Its control goroutine decides which request gets which slot; traffic goroutines
// pass requests on to targets and jobs to their owners.
package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core"
	"chicoryturn/core/admit"
	"chicoryturn/core/cell"
	"chicoryturn/core/ledger"
	"chicoryturn/core/member"
	"chicoryturn/core/rules"
	"chicoryturn/io/agent"
	"chicoryturn/io/loop"
	"chicoryturn/io/once"
	"chicoryturn/io/peer"
)

const (
	// tickInterval is the time between two searches for requests that have
	// waited too long, and so the precision of a queue's wait limit.
	tickInterval = 20 * time.Millisecond
	// demandInterval is the time between two updates of the ledger's demand.
	demandInterval = 200 * time.Millisecond
)

// Peers calls other processes.
type Peers interface {
	agent.Peers
	Submit(ctx context.Context, to core.Process, spec cell.JobSpec) (repeated bool, err error)
	Cancel(ctx context.Context, to core.Process, id core.JobID) error
	Show(ctx context.Context, to core.Process, id core.JobID) (cell.View, error)
	List(ctx context.Context, to core.Process, team core.Team, limit int) ([]cell.View, error)
}

// Meter records the gate's metrics.
type Meter interface {
	// Request records a finished request and the time from its arrival.
	Request(queue core.Queue, team core.Team, result string, took time.Duration)
	// RequestWait records the time that a request waited for its slot.
	RequestWait(queue core.Queue, wait time.Duration)
	// AddCrossRegionBytes records the bytes of a request and its response that were sent
	// between regions.
	AddCrossRegionBytes(queue core.Queue, bytes int)
}

// Gate is the control state of the process, with the clients that its traffic
// goroutines use.
type Gate struct {
	loop      *loop.Loop
	Agent     *agent.Agent
	region    core.Region
	store     agent.Store
	peers     Peers
	meter     Meter
	log       *logrus.Entry
	admission *admit.Controller
	ledger    *ledger.Ledger
	intents   *once.Writer
	transport http.RoundTripper
	// eventChans holds, by request ID, the channel to the traffic goroutine of each
	// request that has not ended.
	eventChans map[uint64]chan<- admit.Event
	nextTick   time.Time
	nextDemand time.Time
	// regionGates and fleetGates count the gates of the region and of the fleet,
	// this one included.
	regionGates, fleetGates int
	// rotation grows with every job, to spread the jobs over a region's cells.
	rotation int
	draining bool
	// sessionEnding is set once the deletion of the session has started.
	sessionEnding bool
	// drained is closed once the session has been deleted or its deletion has failed.
	drained chan struct{}
}

// New returns a gate that has not joined yet.
func New(l *loop.Loop, st agent.Store, p Peers, m *member.Member, mt Meter, log *logrus.Entry) *Gate {
	slots := ledger.New(ledger.Holder(m.Self().ID))
	g := &Gate{
		loop: l, region: m.Self().Region, store: st, peers: p, meter: mt, log: log, ledger: slots,
		admission: admit.New(m.Self().Region, m.Self().Zone, slots), transport: newTransport(),
		eventChans: map[uint64]chan<- admit.Event{}, drained: make(chan struct{}),
	}
	g.intents = once.NewWriter(st)
	g.Agent = agent.New(l, st, p, g, m, log)
	g.Agent.AddLedger(slots, "slots/", "calls/")
	return g
}

// Drained returns a channel that is closed once the drain is complete.
func (g *Gate) Drained() <-chan struct{} { return g.drained }

// Messages to the control goroutine, and the replies to them.
type (
	// authRequest asks whether a key may be used for a queue and a team.
	authRequest struct {
		queue core.Queue
		team  core.Team
		key   string
		reply chan<- authResult
	}
	authResult struct {
		team core.Team
		rule *rules.Queue
		err  error
	}
	// teamRequest asks for the team of a key.
	teamRequest struct {
		key   string
		reply chan<- authResult
	}
	// slotRequest asks for a slot; the answer comes as events.
	slotRequest struct {
		request admit.Request
		events  chan<- admit.Event
	}
	// requestDone reports the outcome of a request that was granted a slot.
	requestDone struct {
		id      uint64
		outcome admit.Outcome
		err     error
	}
	// callerGone reports that the caller closed its connection.
	callerGone    struct{ id uint64 }
	ownersRequest struct{ reply chan<- ownersReply }
	ownersReply   struct {
		cells map[core.CellID]core.Process
		peers []core.Process
		self  core.Process
	}
	dumpRequest struct{ reply chan<- Dump }
	// cellsRequest asks for the cells that have, for each need, a worker large enough
	// for it.
	cellsRequest struct {
		needs []core.Resources
		reply chan<- []core.CellID
	}
	readyRequest struct{ reply chan<- bool }
	drainRequest struct{}
)

// Message implements loop.Message.
func (authRequest) Message() {}

// Message implements loop.Message.
func (slotRequest) Message() {}

// Message implements loop.Message.
func (teamRequest) Message() {}

// Message implements loop.Message.
func (requestDone) Message() {}

// Message implements loop.Message.
func (callerGone) Message() {}

// Message implements loop.Message.
func (ownersRequest) Message() {}

// Message implements loop.Message.
func (dumpRequest) Message() {}

// Message implements loop.Message.
func (readyRequest) Message() {}

// Message implements loop.Message.
func (cellsRequest) Message() {}

// Message implements loop.Message.
func (drainRequest) Message() {}

// Dump is the gate's control state for the operators' pages.
type Dump struct {
	Agent            agent.Dump
	Mailbox          int
	Waiting, Sending int
	Targets          []admit.TargetView
}

// Drain starts the drain.
func (g *Gate) Drain() { _ = g.loop.Post(drainRequest{}) }

// Handle implements loop.Handler.
func (g *Gate) Handle(now time.Time, m loop.Message) {
	if g.Agent.Handle(now, m) || g.Agent.HandleView(now, m) {
		return
	}
	switch m := m.(type) {
	case authRequest:
		m.reply <- g.handleAuth(now, m)
	case teamRequest:
		team, err := g.Agent.Config.TeamOf(now, m.key)
		m.reply <- authResult{team: team, err: err}
	case slotRequest:
		g.eventChans[m.request.ID] = m.events
		g.deliver(g.admission.Admit(now, m.request))
	case requestDone:
		g.deliver(g.admission.RequestEnded(now, m.id, m.outcome, m.err))
	case callerGone:
		g.deliver(g.admission.CallerGone(now, m.id))
	case ownersRequest:
		m.reply <- ownersReply{g.Agent.Member.Owners(), g.Agent.Member.Peers(), g.Agent.Member.Self()}
	case cellsRequest:
		m.reply <- g.candidateCells(m.needs)
	case dumpRequest:
		m.reply <- g.dump()
	case readyRequest:
		m.reply <- !g.draining && g.Agent.Ready()
	case drainRequest:
		g.log.Info("draining: waiting for requests in flight to end")
		g.draining = true
	}
}

// deliver sends events to the traffic goroutines of their requests. An event
// without a target is the request's last one.
func (g *Gate) deliver(events []admit.Event) {
	for _, ev := range events {
		c := g.eventChans[ev.ID]
		if c == nil {
			continue
		}
		c <- ev
		if _, granted := ev.Target.Get(); !granted {
			delete(g.eventChans, ev.ID)
		}
	}
}

// handleAuth checks a key for a queue and a team. It refuses all new work while
// the gate is draining.
func (g *Gate) handleAuth(now time.Time, m authRequest) authResult {
	if g.draining {
		r := core.Refuse(core.CodeLeaving, "this gate is about to stop")
		r.RetryAfter = time.Second
		return authResult{err: r}
	}
	team, rule, err := g.Agent.Config.Admit(now, m.queue, m.team, m.key)
	return authResult{team, rule, err}
}

// Tick implements loop.Handler.
func (g *Gate) Tick(now time.Time) time.Time {
	if !now.Before(g.nextTick) {
		g.nextTick = now.Add(tickInterval)
		g.deliver(g.admission.Tick(now))
		g.reportAdmission()
	}
	if !now.Before(g.nextDemand) {
		g.nextDemand = now.Add(demandInterval)
		g.admission.UpdateDemand()
		g.updateGateCounts()
	}
	next := g.Agent.Tick(now)
	g.renameLedger()
	g.finishDrain()
	return core.Earlier(core.Earlier(next, g.nextTick), g.nextDemand)
}

// reportAdmission logs the events that admission's charts refused and records
// the waits of the requests that were granted a slot.
func (g *Gate) reportAdmission() {
	g.Agent.LogRefusals(g.admission.RefusedEvents())
	for _, w := range g.admission.Waits() {
		g.meter.RequestWait(w.Queue, w.Time)
	}
}

// updateGateCounts tells admission how many gates share the region's targets and
// how many share the teams' limits.
func (g *Gate) updateGateCounts() {
	inRegion, inFleet := 1, 1
	self := g.Agent.Member.Self()
	for _, p := range g.Agent.Member.Peers() {
		if p.Role == core.RoleGate {
			inFleet++
			if p.Region == self.Region {
				inRegion++
			}
		}
	}
	if inRegion != g.regionGates || inFleet != g.fleetGates {
		g.regionGates, g.fleetGates = inRegion, inFleet
		g.admission.SetGates(inRegion, inFleet)
	}
}

// renameLedger moves the ledger to the new session ID after the process has
// rejoined. The parts of the old ID stay in the rows until they are reclaimed.
func (g *Gate) renameLedger() {
	if h := ledger.Holder(g.Agent.Member.Self().ID); h != g.ledger.Holder() {
		g.ledger.Rename(h)
	}
}

// ConfigChanged implements agent.Callbacks.
func (g *Gate) ConfigChanged(time.Time) { g.admission.SetRules(g.Agent.Config.Rules()) }

// VMsChanged implements agent.Callbacks.
func (g *Gate) VMsChanged(now time.Time, vms []core.VM) {
	var targets []core.VM
	for _, vm := range vms {
		if vm.Kind == "target" {
			targets = append(targets, vm)
		}
	}
	g.deliver(g.admission.SetTargets(now, targets))
}

// LedgerRead implements agent.Callbacks. It grants slots that the gate now holds to
// waiting requests.
func (g *Gate) LedgerRead(now time.Time) { g.deliver(g.admission.Tick(now)) }

func (g *Gate) dump() Dump {
	d := Dump{Agent: g.Agent.Dump(), Mailbox: g.loop.Depth(), Targets: g.admission.Targets()}
	d.Waiting, d.Sending = g.admission.RequestCounts()
	return d
}

// Dump returns the control state for the operators' pages; it is called by
// traffic goroutines.
func (g *Gate) Dump(ctx context.Context) (any, error) {
	return loop.Ask(ctx, g.loop, func(c chan<- Dump) loop.Message { return dumpRequest{c} })
}

// Ready reports whether the load balancer may send requests to this gate; it is
// called by traffic goroutines.
func (g *Gate) Ready(ctx context.Context) bool {
	ok, err := loop.Ask(ctx, g.loop, func(c chan<- bool) loop.Message { return readyRequest{c} })
	return err == nil && ok
}

// finishDrain completes the drain, one step per call: it waits until no request
// is in flight, gives all parts of the ledger back, waits until that is stored,
// and then ends the session.
func (g *Gate) finishDrain() {
	if !g.draining || g.sessionEnding {
		return
	}
	if waiting, sending := g.admission.RequestCounts(); waiting+sending > 0 || g.intents.InFlight() > 0 {
		return
	}
	g.ledger.ZeroTotals(func(string) bool { return false })
	for _, name := range g.ledger.Names() {
		if g.ledger.Held(name) > 0 {
			return
		}
	}
	g.sessionEnding = true
	g.Agent.Member.Drain()
	g.Agent.DeleteSession(g.drained)
}

// Alive implements peer.Backend.
func (g *Gate) Alive(ctx context.Context) (peer.Alive, error) { return g.Agent.Alive(ctx) }

// RenewOrPromise implements peer.Backend.
func (g *Gate) RenewOrPromise(ctx context.Context, row member.Session, version uint64, resign bool) (member.Answer, error) {
	return g.Agent.RenewOrPromise(ctx, row, version, resign)
}

// notSchedRefusal returns the refusal of all calls that only a sched serves.
func notSchedRefusal() error { return core.Refuse(core.CodeNoOwner, "a gate owns no cells") }

// Submit implements peer.Backend.
func (g *Gate) Submit(context.Context, cell.JobSpec) (bool, error) { return false, notSchedRefusal() }

// Cancel implements peer.Backend.
func (g *Gate) Cancel(context.Context, core.JobID) error { return notSchedRefusal() }

// Show implements peer.Backend.
func (g *Gate) Show(context.Context, core.JobID) (cell.View, error) {
	return cell.View{}, notSchedRefusal()
}

// List implements peer.Backend.
func (g *Gate) List(context.Context, core.Team, int) ([]cell.View, error) {
	return nil, notSchedRefusal()
}
