// Package agent is the part of the control state that gates and scheds have in
// common: the session, the configuration in force, the list of VMs and the
// divided limits. All of it is owned by the process's control goroutine.
package agent

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core"
	"chicoryturn/core/conf"
	"chicoryturn/core/ledger"
	"chicoryturn/core/member"
	"chicoryturn/io/loop"
	"chicoryturn/io/peer"
	"chicoryturn/io/store"
)

const (
	// followEvery is how often the configuration is read.
	followEvery = 500 * time.Millisecond
	// listEvery is how often the list of VMs is read.
	listEvery = 700 * time.Millisecond
	// bookEvery is how often the divided limits are read and adjusted.
	bookEvery = 500 * time.Millisecond
	// starvedEvery is how often a holder that wants more reads them.
	starvedEvery = 60 * time.Millisecond
	// holdTimeout bounds a renewal on a peer's behalf.
	holdTimeout = 400 * time.Millisecond
	// reclaimEvery is how often the rows of dead sessions are looked for.
	reclaimEvery = time.Second
)

// Store is the platform's service.
type Store interface {
	Write(ctx context.Context, t store.Txn) (uint64, error)
	Scan(ctx context.Context, prefix, after string) ([]store.Row, error)
	PutObject(ctx context.Context, name string, val []byte) error
	Object(ctx context.Context, name string) ([]byte, error)
	VMs(ctx context.Context, since uint64) (store.List, error)
}

// Peers calls other processes.
type Peers interface {
	Alive(ctx context.Context, to core.Process) (peer.Alive, error)
	Hold(ctx context.Context, to core.Process, row member.Session, version uint64, resign bool) (member.Answer, error)
	Keep(addrs core.Set[netip.AddrPort])
}

// Host is the rest of the process's control state.
type Host interface {
	// ConfigChanged follows a new configuration.
	ConfigChanged(now time.Time)
	// VMsChanged follows a new list of VMs.
	VMsChanged(now time.Time, vms []core.VM)
	// BookRead follows a reading of divided limits.
	BookRead(now time.Time)
}

// Agent is the common control state of a process.
type Agent struct {
	loop   *loop.Loop
	store  Store
	peers  Peers
	host   Host
	log    *logrus.Entry
	name   core.SessionID
	Member *member.Member
	Conf   *conf.Config
	books  []*shelf
	vms    []core.VM
	listed bool
	// object names the rules file in force.
	object  string
	listVer uint64
	faults  map[string]bool

	following, listing, asking, reclaiming bool

	nextFollow, nextList, nextAsk, nextReclaim time.Time
}

// shelf is one book of divided limits with the rows that it follows.
type shelf struct {
	book     *ledger.Ledger
	prefixes []string
	busy     bool
	next     time.Time
	read     time.Time
}

// New returns an agent of a process that has not joined yet.
func New(l *loop.Loop, s Store, p Peers, h Host, m *member.Member, log *logrus.Entry) *Agent {
	return &Agent{
		loop: l, store: s, peers: p, host: h, log: log, Member: m, Conf: conf.New(), name: m.Self().ID, faults: map[string]bool{},
	}
}

// AddLedger has the agent follow a book's rows below some prefixes.
func (a *Agent) AddLedger(b *ledger.Ledger, prefixes ...string) {
	a.books = append(a.books, &shelf{book: b, prefixes: prefixes})
}

// RemoveLedger ends the following of a book.
func (a *Agent) RemoveLedger(b *ledger.Ledger) {
	for i, s := range a.books {
		if s.book == b {
			a.books = append(a.books[:i:i], a.books[i+1:]...)
			return
		}
	}
}

// Name returns the name under which the process started; it does not change,
// so traffic goroutines may ask for it.
func (a *Agent) Name() core.SessionID { return a.name }

// VMs returns the list of VMs as last read.
func (a *Agent) VMs() []core.VM { return a.vms }

// Listed reports whether the list of VMs has been read at least once.
func (a *Agent) Listed() bool { return a.listed }

// Ready reports whether the process can do work: its session is in the store,
// the list has been read and a configuration is in force.
func (a *Agent) Ready() bool {
	return a.Member.State() == "live" && a.listed && a.Conf.Version() > 0
}

// warn logs a condition once until it has ended.
func (a *Agent) warn(what string, err error) {
	if err == nil {
		if a.faults[what] {
			delete(a.faults, what)
			a.log.Infof("%s works again", what)
		}
		return
	}
	if !a.faults[what] {
		a.faults[what] = true
		a.log.WithError(err).Warnf("%s fails; it is tried again", what)
	}
}

// LogRefusals logs the events that a chart has refused.
func (a *Agent) LogRefusals(errs []error) {
	for _, err := range errs {
		a.log.WithError(err).Warn("event refused")
	}
}

// Handle takes in a message and reports whether it was one of the agent's.
func (a *Agent) Handle(now time.Time, m loop.Message) bool {
	switch m := m.(type) {
	case sessionWritten:
		a.sessionWritten(now, m)
	case scanned:
		a.scanned(now, m)
	case claimWritten:
		a.warn("claiming a cell", a.claimWritten(m))
	case probed:
		a.Member.Probed(now, m.id, m.liveness)
	case held:
		a.log.Debugf("%s answers: renewed %t, promised %t, dead %t", m.from, m.answer.Renewed, m.answer.Promised, m.answer.Dead)
		a.Member.Held(m.from, m.round, m.answer)
	case holdAsked:
		a.holdAsked(now, m)
	case renewedFor:
		a.renewedFor(now, m)
	case aliveAsked:
		m.reply <- a.alive(now)
	case followed:
		a.followed(now, m)
	case followSoon:
		a.nextFollow = time.Time{}
	case confirmed:
		a.confirmed(m)
	case list:
		a.list(now, m)
	case bookRead:
		a.bookRead(now, m)
	case bookWritten:
		a.bookWritten(m)
	case reclaimed:
		a.reclaiming = false
	default:
		return false
	}
	return true
}

// Tick does what is due and returns when to be called next.
func (a *Agent) Tick(now time.Time) time.Time {
	for _, act := range a.Member.Plan(now) {
		a.act(act)
	}
	a.LogRefusals(a.Member.Refusals())
	if a.Member.HasLeft() {
		return now.Add(time.Second)
	}
	a.follow(now)
	a.confirm(now)
	a.readList(now)
	a.reclaim(now)
	for _, s := range a.books {
		a.readBook(now, s)
	}
	return now.Add(followEvery / 5)
}

// Dump is the agent's state for people.
type Dump struct {
	Session   string
	State     string
	Stored    time.Time
	Config    core.Version
	Confirmed time.Time
	Peers     []core.Process
	Owners    map[string]core.SessionID
	VMs       int
	Limits    []Part
}

// Part is this process's part of one divided limit.
type Part struct {
	Holder                    ledger.Holder
	Name                      string
	Held, Used, Free, Granted int64
}

// Dump returns the agent's state.
func (a *Agent) Dump() Dump {
	d := Dump{
		Session: string(a.Member.Self().ID), State: a.Member.State(), Stored: a.Member.StoreReachedAt(),
		Config: a.Conf.Version(), Confirmed: a.Conf.Confirmed(), Peers: a.Member.Peers(),
		Owners: map[string]core.SessionID{}, VMs: len(a.vms),
	}
	for id, p := range a.Member.Owners() {
		d.Owners[id.String()] = p.ID
	}
	for _, s := range a.books {
		b := s.book
		for _, name := range b.Names() {
			d.Limits = append(d.Limits, Part{b.Holder(), name, b.Held(name), b.Used(name), b.Available(name), b.Total(name)})
		}
	}
	return d
}
