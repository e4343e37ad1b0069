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
	// configInterval is how often the configuration is read.
	configInterval = 500 * time.Millisecond
	// vmListInterval is how often the list of VMs is read.
	vmListInterval = 700 * time.Millisecond
	// ledgerInterval is how often the divided limits are read and adjusted.
	ledgerInterval = 500 * time.Millisecond
	// minLedgerInterval is how often a holder that wants more reads them.
	minLedgerInterval = 60 * time.Millisecond
	// peerRenewTimeout bounds a renewal on a peer's behalf.
	peerRenewTimeout = 400 * time.Millisecond
	// reclaimInterval is how often the rows of dead sessions are looked for.
	reclaimInterval = time.Second
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
	loop    *loop.Loop
	store   Store
	peers   Peers
	host    Host
	log     *logrus.Entry
	name    core.SessionID
	Member  *member.Member
	Conf    *conf.Config
	ledgers []*ledgerSync
	vms     []core.VM
	vmsRead bool
	// rulesObject names the rules file in force.
	rulesObject string
	vmsVersion  uint64
	failing     map[string]bool

	readingConfig, readingVMs, confirming, reclaiming bool

	nextConfigRead, nextVMsRead, nextConfirm, nextReclaim time.Time
}

// ledgerSync is one book of divided limits with the rows that it follows.
type ledgerSync struct {
	ledger   *ledger.Ledger
	prefixes []string
	inFlight bool
	nextRead time.Time
	lastRead time.Time
}

// New returns an agent of a process that has not joined yet.
func New(l *loop.Loop, s Store, p Peers, h Host, m *member.Member, log *logrus.Entry) *Agent {
	return &Agent{
		loop: l, store: s, peers: p, host: h, log: log, Member: m, Conf: conf.New(), name: m.Self().ID, failing: map[string]bool{},
	}
}

// AddLedger has the agent follow a book's rows below some prefixes.
func (a *Agent) AddLedger(b *ledger.Ledger, prefixes ...string) {
	a.ledgers = append(a.ledgers, &ledgerSync{ledger: b, prefixes: prefixes})
}

// RemoveLedger ends the following of a book.
func (a *Agent) RemoveLedger(b *ledger.Ledger) {
	for i, s := range a.ledgers {
		if s.ledger == b {
			a.ledgers = append(a.ledgers[:i:i], a.ledgers[i+1:]...)
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
func (a *Agent) Listed() bool { return a.vmsRead }

// Ready reports whether the process can do work: its session is in the store,
// the list has been read and a configuration is in force.
func (a *Agent) Ready() bool {
	return a.Member.State() == "live" && a.vmsRead && a.Conf.Version() > 0
}

// logFailureOnce logs a condition once until it has ended.
func (a *Agent) logFailureOnce(what string, err error) {
	if err == nil {
		if a.failing[what] {
			delete(a.failing, what)
			a.log.Infof("%s works again", what)
		}
		return
	}
	if !a.failing[what] {
		a.failing[what] = true
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
	case sessionWriteDone:
		a.handleSessionWrite(now, m)
	case membersRead:
		a.handleMembersRead(now, m)
	case claimWriteDone:
		a.logFailureOnce("claiming a cell", a.handleClaimWrite(m))
	case probeDone:
		a.Member.Probed(now, m.id, m.liveness)
	case renewalAnswered:
		a.log.Debugf("%s answers: renewed %t, promised %t, dead %t", m.from, m.answer.Renewed, m.answer.Promised, m.answer.Dead)
		a.Member.Held(m.from, m.round, m.answer)
	case renewalRequest:
		a.handleRenewalRequest(now, m)
	case peerRenewalDone:
		a.handlePeerRenewal(now, m)
	case aliveRequest:
		m.reply <- a.alive(now)
	case configRead:
		a.handleConfigRead(now, m)
	case configReadDue:
		a.nextConfigRead = time.Time{}
	case confirmDone:
		a.handleConfirm(m)
	case vmsReadDone:
		a.handleVMsRead(now, m)
	case ledgerRead:
		a.handleLedgerRead(now, m)
	case ledgerWriteDone:
		a.handleLedgerWrite(m)
	case reclaimDone:
		a.reclaiming = false
	default:
		return false
	}
	return true
}

// Tick does what is due and returns when to be called next.
func (a *Agent) Tick(now time.Time) time.Time {
	for _, act := range a.Member.Plan(now) {
		a.perform(act)
	}
	a.LogRefusals(a.Member.Refusals())
	if a.Member.HasLeft() {
		return now.Add(time.Second)
	}
	a.readConfig(now)
	a.confirm(now)
	a.readVMs(now)
	a.reclaim(now)
	for _, s := range a.ledgers {
		a.readLedger(now, s)
	}
	return now.Add(configInterval / 5)
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
	Limits    []LimitPart
}

// LimitPart is this process's part of one divided limit.
type LimitPart struct {
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
	for _, s := range a.ledgers {
		b := s.ledger
		for _, name := range b.Names() {
			d.Limits = append(d.Limits, LimitPart{b.Holder(), name, b.Held(name), b.Used(name), b.Available(name), b.Total(name)})
		}
	}
	return d
}
