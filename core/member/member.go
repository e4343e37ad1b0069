// Package member decides which process owns which cell. Each process has one
// session row in the store, and its lease lasts while it renews the row. A sched,
// the kind of process that schedules jobs, owns cells through their claim rows;
// its one lease covers all of them.
package member

import (
	_ "embed"
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryturn/core"
	"chicoryturn/core/chart"
	"chicoryturn/core/lease"
)

//go:embed session.toml
var sessionTOML []byte

//go:embed cell.toml
var cellTOML []byte

// Times of a session.
const (
	// DefaultTTL is the lease time of a session unless it is configured.
	DefaultTTL = 2 * time.Second
	// PromiseTTL is how long a peer promises not to claim an owner's cells while
	// neither of them reaches the store.
	PromiseTTL = 6 * time.Second
	// MaxOutage bounds how long an owner extends its lease by promises alone.
	MaxOutage = 10 * time.Minute
	// claimStagger is the difference between the claim delays of consecutive
	// candidates for a cell.
	claimStagger = 300 * time.Millisecond
	// renewalsPerTTL is how many renewals are attempted within the lease time.
	renewalsPerTTL = 3
	// maxPeerRenewalTTLs bounds, in lease times, how long peers may renew the
	// session of a process that does not reach the store itself. After that, the
	// process resigns so that scheds that reach the store can claim its cells.
	maxPeerRenewalTTLs = 1
	// deleteSilentAfter is how long a sched that owns no cell may be silent before
	// its session is deleted.
	deleteSilentAfter = 10 * time.Second
	// minRenewalsSinceJoin is how many renewals of an owner must have been seen since
	// this process joined before the owner is certain to know of this process, and
	// so to ask it for a promise.
	minRenewalsSinceJoin = 2
)

// Session is the stored row of a session.
type Session struct {
	Process core.Process
	// Renewals is how often the process has renewed the row.
	Renewals uint64 `json:"Beat"`
	// Config is the version of the configuration in force in the process.
	Config core.Version
	// Leaving is set during a planned stop.
	Leaving bool
}

// Claim is the stored row of a cell's ownership.
type Claim struct {
	Cell  core.CellID
	Owner core.SessionID
	Epoch core.Epoch
	// Offer is the session that should claim a released cell.
	Offer core.SessionID
	// Snap is the name of the newest snapshot.
	Snap string
	// Log is the number of the first journal row after the snapshot.
	Log uint64
}

// Liveness is the result of probing another process.
type Liveness string

// The results of a probe.
const (
	// Alive means that the process answered.
	Alive Liveness = "alive"
	// Dead means that the process is known to have ended: a port is bound by one
	// process at a time, so a refused connection or an answer from another
	// incarnation proves it.
	Dead Liveness = "dead"
	// Silent means that there was no answer; the process may still run.
	Silent Liveness = "silent"
)

// peer is the state of another process with a session.
type peer struct {
	session Session
	version uint64
	// seenAt is when this version of the session row was first read.
	seenAt time.Time
	// renewalsAtJoin is the peer's Renewals at the time when this process joined.
	renewalsAtJoin uint64
	liveness       Liveness
	probedAt       time.Time
	probeInFlight  bool
	// deadSince is when the process was found dead, or zero.
	deadSince time.Time
}

// cellEntry is this process's view of one cell.
type cellEntry struct {
	id      core.CellID
	state   chart.State
	claim   Claim
	version uint64
	// freeSince is when the cell was first seen without a live owner.
	freeSince time.Time
	member    *Member
}

var (
	cellChart = chart.Must(chart.Load[*cellEntry](cellTOML, nil, nil))
	// Events and states of the cell chart.
	cellClaim     = cellChart.Event("claim")
	cellWon       = cellChart.Event("won")
	cellLost      = cellChart.Event("lost")
	cellLoaded    = cellChart.Event("loaded")
	cellLapse     = cellChart.Event("lapse")
	cellRelease   = cellChart.Event("release")
	cellReleased  = cellChart.Event("released")
	cellOther     = cellChart.State("other")
	cellOwned     = cellChart.State("owned")
	cellReleasing = cellChart.State("releasing")
)

var (
	sessionChart = chart.Must(chart.Load(sessionTOML, nil, map[string]chart.Action[*Member]{
		"lose":    (*Member).loseCells,
		"release": (*Member).releaseCells,
		"restart": (*Member).startIncarnation,
	}))
	// Events and states of the session chart.
	sessionJoined  = sessionChart.Event("joined")
	sessionLapse   = sessionChart.Event("lapse")
	sessionRejoin  = sessionChart.Event("rejoin")
	sessionLeave   = sessionChart.Event("leave")
	sessionLeft    = sessionChart.Event("left")
	sessionJoining = sessionChart.State("joining")
	sessionLive    = sessionChart.State("live")
	sessionLeaving = sessionChart.State("leaving")
	sessionGone    = sessionChart.State("gone")
)

// Member is one process's view of sessions and cells.
type Member struct {
	self core.Process
	// baseID is the session ID of the first incarnation; later ones append
	// rejoinCount to it.
	baseID      string
	rejoinCount int
	ttl         time.Duration
	lease       *lease.Lease
	state       chart.State
	// sessionVersion is the version of this process's session row.
	sessionVersion uint64
	renewals       uint64
	config         core.Version
	peers          map[core.SessionID]*peer
	cells          map[core.CellID]*cellEntry
	// promises holds, for each owner, until when this process must not claim its
	// cells.
	promises map[core.SessionID]time.Time
	// cellCount is the number of cells of this process's region.
	cellCount int
	joinedAt  time.Time
	// storeReachedAt is when the latest successful renewal or scan was sent.
	storeReachedAt time.Time
	// renewalInFlight is set while a write of the session row is in flight.
	renewalInFlight bool
	// claimWrites counts the writes of claims in flight. Until they end, the
	// session row is not renewed, since they check its version.
	claimWrites  int
	scanInFlight bool
	hasScanned   bool
	nextRenew    time.Time
	nextScan     time.Time
	// round is the latest round of RenewOrPromise requests since the last renewal.
	round         *peerRound
	pendingResign core.Option[Resign]
	// refusedEvents holds the errors of chart events refused in their state.
	refusedEvents []error
}

// Option configures a new member.
type Option func(*Member)

// WithTTL sets the lease time of sessions.
func WithTTL(ttl time.Duration) Option { return func(m *Member) { m.ttl = ttl } }

// WithCells sets the number of cells of the region.
func WithCells(n int) Option { return func(m *Member) { m.cellCount = n } }

// New returns a member that has not joined yet.
func New(self core.Process, opts ...Option) *Member {
	m := &Member{
		self: self, baseID: string(self.ID), ttl: DefaultTTL, cellCount: 1,
		state: sessionChart.Start(), peers: map[core.SessionID]*peer{}, cells: map[core.CellID]*cellEntry{},
		promises: map[core.SessionID]time.Time{},
	}
	for _, o := range opts {
		o(m)
	}
	m.lease = lease.New(m.ttl)
	for i := range m.cellCount {
		id := core.CellID{Region: self.Region, Index: i}
		m.cells[id] = &cellEntry{id: id, state: cellChart.Start(), member: m}
	}
	return m
}

// Self returns this process with its current session ID.
func (m *Member) Self() core.Process { return m.self }

// State returns the name of the session's state.
func (m *Member) State() string { return sessionChart.Name(m.state) }

// SessionValid reports whether the session's lease is valid now.
func (m *Member) SessionValid(now time.Time) bool {
	return m.lease.Valid(now) && (m.state == sessionLive || m.state == sessionLeaving)
}

// HasLeft reports whether the session has ended for good.
func (m *Member) HasLeft() bool { return m.state == sessionGone }

// EndSession completes a planned stop.
func (m *Member) EndSession() { m.recordRefused(sessionChart.Fire(&m.state, sessionLeft, m)) }

// StoreReachedAt returns when the latest successful renewal or scan was sent.
func (m *Member) StoreReachedAt() time.Time { return m.storeReachedAt }

// SetConfig sets the configuration version that the session row reports.
func (m *Member) SetConfig(v core.Version) { m.config = v }

func (m *Member) recordRefused(err error) {
	if err != nil {
		m.refusedEvents = append(m.refusedEvents, err)
	}
}

// RefusedEvents returns the errors of the chart events that were refused since the
// last call.
func (m *Member) RefusedEvents() []error {
	out := m.refusedEvents
	m.refusedEvents = nil
	return out
}

// loseCells gives up the lease and all cells at once.
func (m *Member) loseCells() {
	m.lease.Release()
	for _, e := range m.cells {
		m.recordRefused(cellChart.Fire(&e.state, cellLapse, e))
	}
}

// releaseCells starts the release of all cells.
func (m *Member) releaseCells() {
	for _, e := range m.cells {
		m.recordRefused(cellChart.Fire(&e.state, cellRelease, e))
	}
}

// startIncarnation starts a new incarnation under a new session ID, so that
// writes of the old one fail.
func (m *Member) startIncarnation() {
	m.rejoinCount++
	m.self.ID = core.SessionID(fmt.Sprintf("%s.%d", m.baseID, m.rejoinCount))
	m.sessionVersion, m.renewals, m.renewalInFlight, m.hasScanned, m.round = 0, 0, false, false, nil
}

// Drain begins a planned stop.
func (m *Member) Drain() { m.recordRefused(sessionChart.Fire(&m.state, sessionLeave, m)) }

// Row returns the session row of the next renewal.
func (m *Member) Row() Session {
	return Session{Process: m.self, Renewals: m.renewals + 1, Config: m.config, Leaving: m.state == sessionLeaving}
}

// Renewed handles a successful write of the session row.
func (m *Member) Renewed(now, sent time.Time, version uint64) {
	m.renewalInFlight = false
	m.renewals++
	m.sessionVersion = version
	m.storeReachedAt = sent
	m.round = nil
	if m.state == sessionJoining {
		m.joinedAt = now
		m.recordRefused(sessionChart.Fire(&m.state, sessionJoined, m))
	}
	m.lease.Renew(sent, m.ttl)
}

// RenewFailed handles a write of the session row whose outcome is unknown; the
// next scan shows the row.
func (m *Member) RenewFailed(now time.Time) {
	m.renewalInFlight = false
	m.nextRenew = now.Add(m.ttl / (4 * renewalsPerTTL))
	m.nextScan = time.Time{}
}

// RenewRefused handles a write of the session row that the store has refused: a
// peer has renewed the row on this process's behalf, or the row was deleted.
func (m *Member) RenewRefused(now time.Time) {
	m.renewalInFlight = false
	m.nextScan = time.Time{}
	m.nextRenew = now.Add(m.ttl / (4 * renewalsPerTTL))
}

// Scanned handles all session and claim rows read by the scan that started at sent.
func (m *Member) Scanned(now, sent time.Time, sessions []core.Row[Session], claims []core.Row[Claim]) {
	m.scanInFlight, m.hasScanned = false, true
	m.storeReachedAt = sent
	present := core.NewSet[core.SessionID]()
	for _, row := range sessions {
		s, version := row.Val, row.Version
		id := s.Process.ID
		present.Add(id)
		if id == m.self.ID {
			m.observeSelf(version, s)
			continue
		}
		p := m.peers[id]
		if p == nil {
			p = &peer{renewalsAtJoin: s.Renewals}
			m.peers[id] = p
		}
		if m.joinedAt.IsZero() {
			p.renewalsAtJoin = s.Renewals
		}
		if p.version != version {
			p.session, p.version, p.seenAt = s, version, now
			p.liveness, p.deadSince = "", time.Time{}
		}
	}
	for id := range m.peers {
		if !present.Has(id) {
			delete(m.peers, id)
			delete(m.promises, id)
		}
	}
	if !present.Has(m.self.ID) && m.state == sessionLive && sent.After(m.joinedAt) {
		m.recordRefused(sessionChart.Fire(&m.state, sessionLapse, m))
	}
	for _, row := range claims {
		m.observeClaim(now, row.Version, row.Val)
	}
}

// ScanFailed handles a scan that the store did not answer.
func (m *Member) ScanFailed() { m.scanInFlight = false }

// observeSelf records this process's session row as read by a scan.
func (m *Member) observeSelf(version uint64, s Session) {
	if m.renewalInFlight || version < m.sessionVersion {
		return
	}
	m.sessionVersion, m.renewals = version, s.Renewals
}

// observeClaim records a claim row as read by a scan.
func (m *Member) observeClaim(now time.Time, version uint64, c Claim) {
	e := m.cells[c.Cell]
	if e == nil {
		if c.Cell.Region == m.self.Region {
			return
		}
		e = &cellEntry{id: c.Cell, state: cellChart.Start(), member: m}
		m.cells[c.Cell] = e
	}
	if version < e.version {
		return
	}
	e.version, e.claim = version, c
	if c.Owner != m.self.ID && e.state != cellOther && cellChart.Name(e.state) != "claiming" {
		m.recordRefused(cellChart.Fire(&e.state, cellLost, e))
	}
	if m.ownerLive(now, c.Owner) && (c.Owner != m.self.ID || e.state != cellOther) {
		e.freeSince = time.Time{}
	} else if e.freeSince.IsZero() {
		e.freeSince = now
	}
}

// ownerLive reports whether the owner is this process or a peer whose lease has
// not lapsed.
func (m *Member) ownerLive(now time.Time, owner core.SessionID) bool {
	if owner == m.self.ID {
		return true
	}
	p := m.peers[owner]
	return p != nil && !lease.Lapsed(p.seenAt, now, m.ttl)
}

// Owners returns the owner of each cell, as last read. Cells without a known owner
// are absent.
func (m *Member) Owners() map[core.CellID]core.Process {
	out := map[core.CellID]core.Process{}
	for id, e := range m.cells {
		if e.claim.Owner == m.self.ID {
			out[id] = m.self
		} else if p := m.peers[e.claim.Owner]; p != nil {
			out[id] = p.session.Process
		}
	}
	return out
}

// CellCount returns the number of cells of the region.
func (m *Member) CellCount() int { return m.cellCount }

// Peers returns the other processes with a session, sorted by session ID.
func (m *Member) Peers() []core.Process {
	var out []core.Process
	for _, p := range m.peers {
		out = append(out, p.session.Process)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// LowestConfig returns the lowest configuration version in force in this process
// and all live peers.
func (m *Member) LowestConfig(now time.Time) core.Version {
	low := m.config
	for _, p := range m.peers {
		if !lease.Lapsed(p.seenAt, now, m.ttl) {
			low = min(low, p.session.Config)
		}
	}
	return low
}

// Owned returns the claims of this process's cells: those for which it may make
// decisions, those whose journal it must read first, and those that it is
// releasing.
func (m *Member) Owned() (owned, loading, releasing []Claim) {
	for _, e := range m.sortedCells() {
		switch cellChart.Name(e.state) {
		case "owned":
			owned = append(owned, e.claim)
		case "loading":
			loading = append(loading, e.claim)
		case "releasing":
			releasing = append(releasing, e.claim)
		}
	}
	return owned, loading, releasing
}

// sortedCells returns all cells in the order of their names.
func (m *Member) sortedCells() []*cellEntry {
	out := make([]*cellEntry, 0, len(m.cells))
	for _, e := range m.cells {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id.String() < out[j].id.String() })
	return out
}

// ClaimVersion returns the last known version of a cell's claim row.
func (m *Member) ClaimVersion(id core.CellID) uint64 {
	if e := m.cells[id]; e != nil {
		return e.version
	}
	return 0
}

// SetClaim records a claim row that this process has written as the owner.
func (m *Member) SetClaim(c Claim, version uint64) {
	if e := m.cells[c.Cell]; e != nil && version > e.version {
		e.claim, e.version = c, version
	}
}

// claimRank orders the candidates for a cell; the lowest claims first.
func claimRank(c core.CellID, s core.SessionID) uint64 {
	return xxhash.Sum64String(c.String() + "|" + string(s))
}
