// Package member decides which process owns which cell. A process holds one
// session row in the store; renewing it renews all that the process owns.
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
var sessionText []byte

//go:embed cell.toml
var cellText []byte

// Default times of a session.
const (
	DefaultTTL = 2 * time.Second
	// PromiseTTL is how long a peer promises not to claim a silent owner's
	// cells while nobody reaches the store.
	PromiseTTL = 6 * time.Second
	// MaxOutage bounds how long an owner goes on by promises alone.
	MaxOutage = 10 * time.Minute
	// stagger separates the claims of several heirs of one cell.
	stagger = 300 * time.Millisecond
	// renewPart divides the lease time into renewals.
	renewPart = 3
	// aidPart bounds, in lease times, how long peers renew a session for a
	// process that does not reach the store itself.
	aidPart = 1
	// evictAfter is how long a sched that owns nothing may be silent before
	// its session is deleted.
	evictAfter = 10 * time.Second
	// knownBeats is how many renewals of an owner must be seen after joining
	// before the owner surely knows of this process.
	knownBeats = 2
)

// Session is the stored form of a session.
type Session struct {
	Process core.Process
	// Beat grows with every renewal.
	Beat uint64
	// Config is the version of the configuration in force in the process.
	Config  core.Version
	Leaving bool
}

// Claim is the stored form of a cell's ownership.
type Claim struct {
	Cell  core.CellID
	Owner core.SessionID
	Epoch core.Epoch
	// Offer names the process that should claim a released cell.
	Offer core.SessionID
	// Snap names the newest snapshot, Log the first journal row after it.
	Snap string
	Log  uint64
}

// Liveness is what a probe of another process has shown.
type Liveness string

// The results of a probe. Dead is proof: a port is bound by one process at a
// time, so a refused connection or another incarnation means that it is gone.
const (
	Alive  Liveness = "alive"
	Dead   Liveness = "dead"
	Silent Liveness = "silent"
)

type peer struct {
	session Session
	version uint64
	// seen is when the present version was first read.
	seen time.Time
	// joinBeat is the beat at which this process had joined.
	joinBeat uint64
	liveness Liveness
	probed   time.Time
	probing  bool
	// deadSince is zero until the process is proved dead.
	deadSince time.Time
}

type held struct {
	cell    core.CellID
	state   chart.State
	claim   Claim
	version uint64
	// freeSince is when the cell was first seen without a live owner.
	freeSince time.Time
	member    *Member
}

var (
	cellChart     = chart.Must(chart.Load[*held](cellText, nil, nil))
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
	sessionChart = chart.Must(chart.Load(sessionText, nil, map[string]chart.Action[*Member]{
		"drop":    (*Member).drop,
		"release": (*Member).releaseAll,
		"rename":  (*Member).rename,
	}))
	sessJoined  = sessionChart.Event("joined")
	sessLapse   = sessionChart.Event("lapse")
	sessRejoin  = sessionChart.Event("rejoin")
	sessLeave   = sessionChart.Event("leave")
	sessLeft    = sessionChart.Event("left")
	sessJoining = sessionChart.State("joining")
	sessLive    = sessionChart.State("live")
	sessLeaving = sessionChart.State("leaving")
	sessGone    = sessionChart.State("gone")
)

// Member is one process's view of sessions and cells.
type Member struct {
	self core.Process
	// base is the session's name without the count of joins.
	base  string
	joins int
	ttl   time.Duration
	lease *lease.Lease
	state chart.State
	// version is that of the own session row.
	version uint64
	beat    uint64
	config  core.Version
	peers   map[core.SessionID]*peer
	cells   map[core.CellID]*held
	// promises holds until when this process claims no cell of an owner.
	promises map[core.SessionID]time.Time
	// cellCount is the number of cells of the own region.
	cellCount int
	joined    time.Time
	// stored is when the store was last reached, by the time of sending.
	stored time.Time
	// busy is set while a write of the session row or of a claim is in flight.
	busy bool
	// claiming counts the writes of claims in flight; the session row stays as
	// it is meanwhile, as they depend on it.
	claiming  int
	scanning  bool
	scanned   bool
	nextRenew time.Time
	nextScan  time.Time
	round     *round
	resigned  core.Option[Resign]
	refusals  []error
}

// Option changes a member under construction.
type Option func(*Member)

// WithTTL sets the lease time of sessions.
func WithTTL(ttl time.Duration) Option { return func(m *Member) { m.ttl = ttl } }

// WithCells sets the number of cells of the region.
func WithCells(n int) Option { return func(m *Member) { m.cellCount = n } }

// New returns a member that has not joined yet.
func New(self core.Process, opts ...Option) *Member {
	m := &Member{
		self: self, base: string(self.ID), ttl: DefaultTTL, cellCount: 1,
		state: sessionChart.Start(), peers: map[core.SessionID]*peer{}, cells: map[core.CellID]*held{},
		promises: map[core.SessionID]time.Time{},
	}
	for _, o := range opts {
		o(m)
	}
	m.lease = lease.New(m.ttl)
	for i := range m.cellCount {
		id := core.CellID{Region: self.Region, Index: i}
		m.cells[id] = &held{cell: id, state: cellChart.Start(), member: m}
	}
	return m
}

// Self returns the process under its present session name.
func (m *Member) Self() core.Process { return m.self }

// State returns the name of the session's state.
func (m *Member) State() string { return sessionChart.Name(m.state) }

// SessionValid reports whether the session holds now.
func (m *Member) SessionValid(now time.Time) bool {
	return m.lease.Valid(now) && (m.state == sessLive || m.state == sessLeaving)
}

// HasLeft reports whether the process has left.
func (m *Member) HasLeft() bool { return m.state == sessGone }

// EndSession ends a leaving process's session.
func (m *Member) EndSession() { m.note(sessionChart.Fire(&m.state, sessLeft, m)) }

// StoreReachedAt returns when the store was last reached.
func (m *Member) StoreReachedAt() time.Time { return m.stored }

// SetConfig sets the version that the session row shows.
func (m *Member) SetConfig(v core.Version) { m.config = v }

func (m *Member) note(err error) {
	if err != nil {
		m.refusals = append(m.refusals, err)
	}
}

// Refusals returns and forgets the events that a chart refused.
func (m *Member) Refusals() []error {
	out := m.refusals
	m.refusals = nil
	return out
}

// drop gives up all cells at once.
func (m *Member) drop() {
	m.lease.Release()
	for _, h := range m.cells {
		m.note(cellChart.Fire(&h.state, cellLapse, h))
	}
}

func (m *Member) releaseAll() {
	for _, h := range m.cells {
		m.note(cellChart.Fire(&h.state, cellRelease, h))
	}
}

// rename begins a new incarnation, so that writes of the old one fail.
func (m *Member) rename() {
	m.joins++
	m.self.ID = core.SessionID(fmt.Sprintf("%s.%d", m.base, m.joins))
	m.version, m.beat, m.busy, m.scanned, m.round = 0, 0, false, false, nil
}

// Drain begins a planned stop.
func (m *Member) Drain() { m.note(sessionChart.Fire(&m.state, sessLeave, m)) }

// Row returns the session row to be written next.
func (m *Member) Row() Session {
	return Session{Process: m.self, Beat: m.beat + 1, Config: m.config, Leaving: m.state == sessLeaving}
}

// Renewed follows a write of the session row that has taken effect.
func (m *Member) Renewed(now, sent time.Time, version uint64) {
	m.busy = false
	m.beat++
	m.version = version
	m.stored = sent
	m.round = nil
	if m.state == sessJoining {
		m.joined = now
		m.note(sessionChart.Fire(&m.state, sessJoined, m))
	}
	m.lease.Renew(sent, m.ttl)
}

// RenewFailed follows a write whose outcome is not known; the next scan tells.
func (m *Member) RenewFailed(now time.Time) {
	m.busy = false
	m.nextRenew = now.Add(m.ttl / (4 * renewPart))
	m.nextScan = time.Time{}
}

// RenewRefused follows a write that the store has refused: the row has been
// changed by a peer on this process's behalf, or deleted.
func (m *Member) RenewRefused(now time.Time) {
	m.busy = false
	m.nextScan = time.Time{}
	m.nextRenew = now.Add(m.ttl / (4 * renewPart))
}

// Scanned takes in all session and claim rows as read by a scan sent at sent.
func (m *Member) Scanned(now, sent time.Time, sessions []core.Row[Session], claims []core.Row[Claim]) {
	m.scanning, m.scanned = false, true
	m.stored = sent
	present := core.NewSet[core.SessionID]()
	for _, row := range sessions {
		s, version := row.Val, row.Version
		id := s.Process.ID
		present.Add(id)
		if id == m.self.ID {
			m.seenSelf(version, s)
			continue
		}
		p := m.peers[id]
		if p == nil {
			p = &peer{joinBeat: s.Beat}
			m.peers[id] = p
		}
		if m.joined.IsZero() {
			p.joinBeat = s.Beat
		}
		if p.version != version {
			p.session, p.version, p.seen = s, version, now
			p.liveness, p.deadSince = "", time.Time{}
		}
	}
	for id := range m.peers {
		if !present.Has(id) {
			delete(m.peers, id)
			delete(m.promises, id)
		}
	}
	if !present.Has(m.self.ID) && m.state == sessLive && sent.After(m.joined) {
		m.note(sessionChart.Fire(&m.state, sessLapse, m))
	}
	for _, row := range claims {
		m.seenClaim(now, row.Version, row.Val)
	}
}

// ScanFailed follows a scan without an answer.
func (m *Member) ScanFailed() { m.scanning = false }

func (m *Member) seenSelf(version uint64, s Session) {
	if m.busy || version < m.version {
		return
	}
	m.version, m.beat = version, s.Beat
}

func (m *Member) seenClaim(now time.Time, version uint64, c Claim) {
	h := m.cells[c.Cell]
	if h == nil {
		if c.Cell.Region == m.self.Region {
			return
		}
		h = &held{cell: c.Cell, state: cellChart.Start(), member: m}
		m.cells[c.Cell] = h
	}
	if version < h.version {
		return
	}
	h.version, h.claim = version, c
	if c.Owner != m.self.ID && h.state != cellOther && cellChart.Name(h.state) != "claiming" {
		m.note(cellChart.Fire(&h.state, cellLost, h))
	}
	if m.ownerLive(now, c.Owner) && (c.Owner != m.self.ID || h.state != cellOther) {
		h.freeSince = time.Time{}
	} else if h.freeSince.IsZero() {
		h.freeSince = now
	}
}

func (m *Member) ownerLive(now time.Time, owner core.SessionID) bool {
	if owner == m.self.ID {
		return true
	}
	p := m.peers[owner]
	return p != nil && !lease.Lapsed(p.seen, now, m.ttl)
}

// Owners returns the peer address of each cell's owner, as last read.
func (m *Member) Owners() map[core.CellID]core.Process {
	out := map[core.CellID]core.Process{}
	for id, h := range m.cells {
		if h.claim.Owner == m.self.ID {
			out[id] = m.self
		} else if p := m.peers[h.claim.Owner]; p != nil {
			out[id] = p.session.Process
		}
	}
	return out
}

// Cells returns the number of cells of the region.
func (m *Member) Cells() int { return m.cellCount }

// Peers returns the processes with a session, sorted by name.
func (m *Member) Peers() []core.Process {
	var out []core.Process
	for _, p := range m.peers {
		out = append(out, p.session.Process)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// LowestConfig returns the lowest configuration version in force in any live
// process.
func (m *Member) LowestConfig(now time.Time) core.Version {
	low := m.config
	for _, p := range m.peers {
		if !lease.Lapsed(p.seen, now, m.ttl) {
			low = min(low, p.session.Config)
		}
	}
	return low
}

// Owned returns the cells that may be decided on now, and the cells whose
// journal must be read first.
func (m *Member) Owned() (owned, loading, releasing []Claim) {
	for _, h := range m.sorted() {
		switch cellChart.Name(h.state) {
		case "owned":
			owned = append(owned, h.claim)
		case "loading":
			loading = append(loading, h.claim)
		case "releasing":
			releasing = append(releasing, h.claim)
		}
	}
	return owned, loading, releasing
}

func (m *Member) sorted() []*held {
	out := make([]*held, 0, len(m.cells))
	for _, h := range m.cells {
		out = append(out, h)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].cell.String() < out[j].cell.String() })
	return out
}

// ClaimVersion returns the version of a cell's row.
func (m *Member) ClaimVersion(id core.CellID) uint64 {
	if h := m.cells[id]; h != nil {
		return h.version
	}
	return 0
}

// SetClaim follows a write of an owned cell's row by its owner.
func (m *Member) SetClaim(c Claim, version uint64) {
	if h := m.cells[c.Cell]; h != nil && version > h.version {
		h.claim, h.version = c, version
	}
}

// rank orders the heirs of a cell; lower comes first.
func rank(c core.CellID, s core.SessionID) uint64 {
	return xxhash.Sum64String(c.String() + "|" + string(s))
}
