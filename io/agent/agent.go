// Package agent holds the part of the control state that every gate and every
// sched has: its session, the configuration in force, the list of VMs and the
// divided limits. Only the process's control goroutine accesses that state.
// Exported methods that take a context are for traffic goroutines and query the
// control goroutine.
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
	// configInterval is the time between two reads of the configuration.
	configInterval = 500 * time.Millisecond
	// vmListInterval is the time between two reads of the list of VMs.
	vmListInterval = 700 * time.Millisecond
	// ledgerInterval is the time between two reads of a ledger's rows, each of
	// which may be followed by a write.
	ledgerInterval = 500 * time.Millisecond
	// minLedgerInterval replaces ledgerInterval while the ledger needs more than
	// it holds.
	minLedgerInterval = 60 * time.Millisecond
	// peerRenewTimeout bounds the renewal of a peer's session on its behalf. The
	// peer waits for the answer for peer.ProbeTimeout.
	peerRenewTimeout = 400 * time.Millisecond
	// reclaimInterval is the time between two searches for sessions to delete.
	reclaimInterval = time.Second
)

// Store reads and writes the platform's store and lists the platform's VMs.
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
	RenewOrPromise(ctx context.Context, to core.Process, row member.Session, version uint64, resign bool) (member.Answer, error)
	CloseExcept(addrs core.Set[netip.AddrPort])
}

// Callbacks is implemented by the gate and the sched, which the agent notifies of
// changes.
type Callbacks interface {
	// ConfigChanged is called after a new configuration has come into force.
	ConfigChanged(now time.Time)
	// VMsChanged is called after a new list of VMs has been read.
	VMsChanged(now time.Time, vms []core.VM)
	// LedgerRead is called after a ledger's rows have been read.
	LedgerRead(now time.Time)
}

// Agent is the part of the control state that every gate and every sched has.
type Agent struct {
	loop           *loop.Loop
	store          Store
	peers          Peers
	callbacks      Callbacks
	log            *logrus.Entry
	initialSession core.SessionID
	Member         *member.Member
	Config         *conf.Config
	ledgers        []*ledgerSync
	vms            []core.VM
	vmsRead        bool
	// rulesObject names the object that holds the rules file in force.
	rulesObject string
	// vmsVersion is the version of the list in vms.
	vmsVersion uint64
	// failing holds the operations whose last attempt failed.
	failing map[string]bool

	// Each is set while its operation is in flight, so that no second one starts.
	readingConfig, readingVMs, confirming, reclaiming bool

	nextConfigRead, nextVMsRead, nextConfirm, nextReclaim time.Time
}

// ledgerSync keeps one ledger in step with its rows in the store.
type ledgerSync struct {
	ledger *ledger.Ledger
	// prefixes select the rows that are read, below limitPrefix.
	prefixes []string
	// inFlight is set while a read or a write of the rows is in flight.
	inFlight bool
	nextRead time.Time
	lastRead time.Time
}

// New returns an agent of a process that has not joined yet.
func New(l *loop.Loop, s Store, p Peers, c Callbacks, m *member.Member, log *logrus.Entry) *Agent {
	return &Agent{
		loop: l, store: s, peers: p, callbacks: c, log: log, Member: m, Config: conf.New(), initialSession: m.Self().ID, failing: map[string]bool{},
	}
}

// AddLedger starts to read and write a ledger's rows, which are those with one
// of the prefixes.
func (a *Agent) AddLedger(l *ledger.Ledger, prefixes ...string) {
	a.ledgers = append(a.ledgers, &ledgerSync{ledger: l, prefixes: prefixes})
}

// RemoveLedger stops reading and writing a ledger's rows.
func (a *Agent) RemoveLedger(l *ledger.Ledger) {
	for i, s := range a.ledgers {
		if s.ledger == l {
			a.ledgers = append(a.ledgers[:i:i], a.ledgers[i+1:]...)
			return
		}
	}
}

// InitialSession returns the session ID with which the process started. A rejoin does
// not change it, so traffic goroutines may call InitialSession.
func (a *Agent) InitialSession() core.SessionID { return a.initialSession }

// VMs returns the VMs of the list read last.
func (a *Agent) VMs() []core.VM { return a.vms }

// VMsRead reports whether the list of VMs has been read at least once.
func (a *Agent) VMsRead() bool { return a.vmsRead }

// Ready reports whether the process can do work: its session is live, the list
// of VMs has been read and a configuration is in force.
func (a *Agent) Ready() bool {
	return a.Member.State() == "live" && a.vmsRead && a.Config.Version() > 0
}

// logFailureOnce logs the first failure of an operation that is repeated, and
// its first success after that. The failures in between are not logged.
func (a *Agent) logFailureOnce(operation string, err error) {
	if err == nil {
		if a.failing[operation] {
			delete(a.failing, operation)
			a.log.Infof("%s succeeded after failures", operation)
		}
		return
	}
	if !a.failing[operation] {
		a.failing[operation] = true
		a.log.WithError(err).Warnf("%s failed; will retry", operation)
	}
}

// LogRefusals logs events that a state chart has refused.
func (a *Agent) LogRefusals(errs []error) {
	for _, err := range errs {
		a.log.WithError(err).Warn("state chart refused an event")
	}
}

// Handle handles a message and reports whether it was addressed to the agent.
// It leaves the message of View to HandleView.
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
		a.log.Debugf("peer %s answered the renewal request: renewed %t, promised %t, dead %t", m.from, m.answer.Renewed, m.answer.Promised, m.answer.Dead)
		a.Member.PeerAnswered(m.from, m.round, m.answer)
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

// Tick starts the operations that are due and returns when to call it again.
func (a *Agent) Tick(now time.Time) time.Time {
	for _, action := range a.Member.Plan(now) {
		a.perform(action)
	}
	a.LogRefusals(a.Member.RefusedEvents())
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

// Dump is the agent's state for the operators' pages.
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

// LimitPart is one holder's part of a divided limit.
type LimitPart struct {
	Holder ledger.Holder
	Name   string
	// Granted is the sum of all holders' parts.
	Held, Used, Free, Granted int64
}

// Dump returns the agent's state.
func (a *Agent) Dump() Dump {
	d := Dump{
		Session: string(a.Member.Self().ID), State: a.Member.State(), Stored: a.Member.StoreReachedAt(),
		Config: a.Config.Version(), Confirmed: a.Config.Confirmed(), Peers: a.Member.Peers(),
		Owners: map[string]core.SessionID{}, VMs: len(a.vms),
	}
	for id, p := range a.Member.Owners() {
		d.Owners[id.String()] = p.ID
	}
	for _, s := range a.ledgers {
		l := s.ledger
		for _, name := range l.Names() {
			d.Limits = append(d.Limits, LimitPart{l.Holder(), name, l.Held(name), l.Used(name), l.Available(name), l.Allocated(name)})
		}
	}
	return d
}
