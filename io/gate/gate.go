// Package gate is the process that takes callers' requests. Its control
// goroutine decides on admission; traffic goroutines carry the bytes.
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
	"chicoryturn/io/peer"
)

const (
	// tickEvery is the precision of a request's longest wait.
	tickEvery = 20 * time.Millisecond
	// wantEvery is how often the wanted slots are worked out.
	wantEvery = 200 * time.Millisecond
)

// Peers calls other processes.
type Peers interface {
	agent.Peers
	Submit(ctx context.Context, to core.Process, spec cell.JobSpec) (repeated bool, err error)
	Cancel(ctx context.Context, to core.Process, id core.JobID) error
	Show(ctx context.Context, to core.Process, id core.JobID) (cell.View, error)
	List(ctx context.Context, to core.Process, team core.Team, most int) ([]cell.View, error)
}

// Meter takes in what the gate measures.
type Meter interface {
	Request(queue core.Queue, team core.Team, result string, took time.Duration)
	RequestWait(queue core.Queue, wait time.Duration)
	// Crossed takes in the bytes of a request and its answer that crossed
	// between regions.
	Crossed(queue core.Queue, bytes int)
}

// Gate is the control state of the process.
type Gate struct {
	loop    *loop.Loop
	Agent   *agent.Agent
	region  core.Region
	store   agent.Store
	peers   Peers
	meter   Meter
	log     *logrus.Entry
	admit   *admit.Controller
	book    *ledger.Ledger
	onces   *onces
	targets http.RoundTripper
	// waiting holds the traffic goroutine that waits for each request.
	waiting  map[uint64]chan<- admit.Event
	nextTick time.Time
	nextWant time.Time
	// near and all count the gates of the region and of the fleet.
	near, all int
	// turn spreads jobs over the cells of the region.
	turn     int
	leaving  bool
	leftDone bool
	left     chan struct{}
}

// New returns a gate that has not joined yet.
func New(l *loop.Loop, st agent.Store, p Peers, m *member.Member, mt Meter, log *logrus.Entry) *Gate {
	book := ledger.New(ledger.Holder(m.Self().ID))
	g := &Gate{
		loop: l, region: m.Self().Region, store: st, peers: p, meter: mt, log: log, book: book,
		admit: admit.New(m.Self().Region, m.Self().Zone, book), targets: newTransport(),
		waiting: map[uint64]chan<- admit.Event{}, left: make(chan struct{}),
	}
	g.onces = newOnces(st)
	g.Agent = agent.New(l, st, p, g, m, log)
	g.Agent.AddLedger(book, "slots/", "calls/")
	return g
}

// Left is closed once a planned stop is complete.
func (g *Gate) Left() <-chan struct{} { return g.left }

type (
	admitAsked struct {
		queue core.Queue
		team  core.Team
		key   string
		reply chan<- admitted
	}
	admitted struct {
		team core.Team
		rule *rules.Queue
		err  error
	}
	ownerAsked struct {
		key   string
		reply chan<- admitted
	}
	slotAsked struct {
		ask    admit.Request
		events chan<- admit.Event
	}
	ended struct {
		id      uint64
		outcome admit.Outcome
		err     error
	}
	callerLeft struct{ id uint64 }
	ownersRead struct{ reply chan<- owners }
	owners     struct {
		cells map[core.CellID]core.Process
		peers []core.Process
		self  core.Process
	}
	dumpAsked   struct{ reply chan<- Dump }
	placesAsked struct {
		needs []core.Resources
		reply chan<- []core.CellID
	}
	readyAsked struct{ reply chan<- bool }
	leave      struct{}
)

// Message implements loop.Message.
func (admitAsked) Message() {}

// Message implements loop.Message.
func (slotAsked) Message() {}

// Message implements loop.Message.
func (ownerAsked) Message() {}

// Message implements loop.Message.
func (ended) Message() {}

// Message implements loop.Message.
func (callerLeft) Message() {}

// Message implements loop.Message.
func (ownersRead) Message() {}

// Message implements loop.Message.
func (dumpAsked) Message() {}

// Message implements loop.Message.
func (readyAsked) Message() {}

// Message implements loop.Message.
func (placesAsked) Message() {}

// Message implements loop.Message.
func (leave) Message() {}

// Dump is the whole control state for people.
type Dump struct {
	Agent            agent.Dump
	Mailbox          int
	Waiting, Sending int
	Targets          []admit.TargetView
}

// Leave begins a planned stop.
func (g *Gate) Leave() { _ = g.loop.Post(leave{}) }

// Handle implements loop.Handler.
func (g *Gate) Handle(now time.Time, m loop.Message) {
	if g.Agent.Handle(now, m) || g.Agent.HandleView(now, m) {
		return
	}
	switch m := m.(type) {
	case admitAsked:
		m.reply <- g.admitted(now, m)
	case ownerAsked:
		team, err := g.Agent.Conf.TeamOf(now, m.key)
		m.reply <- admitted{team: team, err: err}
	case slotAsked:
		g.waiting[m.ask.ID] = m.events
		g.tell(g.admit.Admit(now, m.ask))
	case ended:
		g.tell(g.admit.RequestEnded(now, m.id, m.outcome, m.err))
	case callerLeft:
		g.tell(g.admit.CallerGone(now, m.id))
	case ownersRead:
		m.reply <- owners{g.Agent.Member.Owners(), g.Agent.Member.Peers(), g.Agent.Member.Self()}
	case placesAsked:
		m.reply <- g.places(m.needs)
	case dumpAsked:
		m.reply <- g.dump()
	case readyAsked:
		m.reply <- !g.leaving && g.Agent.Ready()
	case leave:
		g.log.Info("leaving: finishing the requests in flight")
		g.leaving = true
	}
}

// tell passes events on to the traffic goroutines that wait for them.
func (g *Gate) tell(events []admit.Event) {
	for _, ev := range events {
		c := g.waiting[ev.ID]
		if c == nil {
			continue
		}
		c <- ev
		if _, granted := ev.Target.Get(); !granted {
			delete(g.waiting, ev.ID)
		}
	}
}

func (g *Gate) admitted(now time.Time, m admitAsked) admitted {
	if g.leaving {
		r := core.Refuse(core.CodeLeaving, "this gate is about to stop")
		r.RetryAfter = time.Second
		return admitted{err: r}
	}
	team, rule, err := g.Agent.Conf.Admit(now, m.queue, m.team, m.key)
	return admitted{team, rule, err}
}

// Wake implements loop.Handler.
func (g *Gate) Wake(now time.Time) time.Time {
	if !now.Before(g.nextTick) {
		g.nextTick = now.Add(tickEvery)
		g.tell(g.admit.Tick(now))
		g.observe()
	}
	if !now.Before(g.nextWant) {
		g.nextWant = now.Add(wantEvery)
		g.admit.UpdateDemand()
		g.countGates()
	}
	next := g.Agent.Tick(now)
	g.rename()
	g.leave()
	return core.Earlier(core.Earlier(next, g.nextTick), g.nextWant)
}

func (g *Gate) observe() {
	g.Agent.LogRefusals(g.admit.Refusals())
	for _, w := range g.admit.Waits() {
		g.meter.RequestWait(w.Queue, w.Time)
	}
}

// countGates follows the number of gates that divide the region's targets.
func (g *Gate) countGates() {
	near, all := 1, 1
	self := g.Agent.Member.Self()
	for _, p := range g.Agent.Member.Peers() {
		if p.Role == core.RoleGate {
			all++
			if p.Region == self.Region {
				near++
			}
		}
	}
	if near != g.near || all != g.all {
		g.near, g.all = near, all
		g.admit.SetGates(near, all)
	}
}

// rename carries the slots over when the session has joined under a new name.
// The parts of the old name stay counted until they are reclaimed.
func (g *Gate) rename() {
	if h := ledger.Holder(g.Agent.Member.Self().ID); h != g.book.Holder() {
		g.book.Rename(h)
	}
}

// ConfigChanged implements agent.Host.
func (g *Gate) ConfigChanged(time.Time) { g.admit.SetRules(g.Agent.Conf.Rules()) }

// VMsChanged implements agent.Host.
func (g *Gate) VMsChanged(now time.Time, vms []core.VM) {
	var targets []core.VM
	for _, vm := range vms {
		if vm.Kind == "target" {
			targets = append(targets, vm)
		}
	}
	g.tell(g.admit.SetTargets(now, targets))
}

// BookRead implements agent.Host.
func (g *Gate) BookRead(now time.Time) { g.tell(g.admit.Tick(now)) }

func (g *Gate) dump() Dump {
	d := Dump{Agent: g.Agent.Dump(), Mailbox: g.loop.Depth(), Targets: g.admit.Targets()}
	d.Waiting, d.Sending = g.admit.Waiting()
	return d
}

// Dump returns the whole control state; it is called by traffic goroutines.
func (g *Gate) Dump(ctx context.Context) (any, error) {
	return loop.Ask(ctx, g.loop, func(c chan<- Dump) loop.Message { return dumpAsked{c} })
}

// Ready reports whether the balancer may send requests here.
func (g *Gate) Ready(ctx context.Context) bool {
	ok, err := loop.Ask(ctx, g.loop, func(c chan<- bool) loop.Message { return readyAsked{c} })
	return err == nil && ok
}

// leave ends a planned stop: requests in flight end, slots go back, then the
// session ends.
func (g *Gate) leave() {
	if !g.leaving || g.leftDone {
		return
	}
	if waiting, sending := g.admit.Waiting(); waiting+sending > 0 || g.onces.active() > 0 {
		return
	}
	g.book.ZeroTotals(func(string) bool { return false })
	for _, name := range g.book.Names() {
		if g.book.Held(name) > 0 {
			return
		}
	}
	g.leftDone = true
	g.Agent.Member.Drain()
	g.Agent.DeleteSession(g.left)
}

// Alive implements peer.Backend.
func (g *Gate) Alive(ctx context.Context) (peer.Alive, error) { return g.Agent.Alive(ctx) }

// Hold implements peer.Backend.
func (g *Gate) Hold(ctx context.Context, row member.Session, version uint64, resign bool) (member.Answer, error) {
	return g.Agent.RenewOrPromise(ctx, row, version, resign)
}

func notSched() error { return core.Refuse(core.CodeOwner, "a gate owns no cells") }

// Submit implements peer.Backend.
func (g *Gate) Submit(context.Context, cell.JobSpec) (bool, error) { return false, notSched() }

// Cancel implements peer.Backend.
func (g *Gate) Cancel(context.Context, core.JobID) error { return notSched() }

// Show implements peer.Backend.
func (g *Gate) Show(context.Context, core.JobID) (cell.View, error) { return cell.View{}, notSched() }

// List implements peer.Backend.
func (g *Gate) List(context.Context, core.Team, int) ([]cell.View, error) { return nil, notSched() }
