package member

import (
	"slices"
	"sort"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/lease"
)

// Action is an operation that the process must perform for its membership.
type Action interface{ action() }

// The actions.
type (
	// WriteSession writes this process's session row if it still has Version.
	WriteSession struct {
		Row     Session
		Version uint64
	}
	// DeleteSession deletes a session row if it still has Version.
	DeleteSession struct {
		ID      core.SessionID
		Version uint64
	}
	// Scan reads all session and claim rows.
	Scan struct{}
	// WriteClaim writes a cell's claim row if it still has Version and this
	// process's session row is unchanged, so that a process whose session was
	// deleted cannot claim a cell.
	WriteClaim struct {
		Claim   Claim
		Version uint64
		// Self is the session of this process.
		Self core.SessionID
		// Session is the version of this process's session row.
		Session uint64
	}
	// Probe asks a process whether it is alive.
	Probe struct{ Process core.Process }
	// RenewOrPromise asks a peer to renew this process's session or, if the peer does
	// not reach the store either, to promise not to claim its cells.
	RenewOrPromise struct {
		Peer  core.Process
		Round int
		Row   Session
		// Version is the version of the session row that Row replaces.
		Version uint64
	}
	// Resign asks a peer to delete the session row of this process's previous
	// incarnation, so that others can claim its cells before the lease lapses.
	Resign struct {
		Peer    core.Process
		Process core.Process
	}
)

func (WriteSession) action()   {}
func (DeleteSession) action()  {}
func (Scan) action()           {}
func (WriteClaim) action()     {}
func (Probe) action()          {}
func (RenewOrPromise) action() {}
func (Resign) action()         {}

// peerRound collects the answers to the RenewOrPromise requests sent at one time.
type peerRound struct {
	number int
	sent   time.Time
	// unanswered holds the peers that have not answered.
	unanswered core.Set[core.SessionID]
	// failed is set once a peer has neither promised nor been found dead, or a
	// sched is known that was not asked.
	failed bool
}

// Plan returns the actions that are due now.
func (m *Member) Plan(now time.Time) []Action {
	var out []Action
	if m.state == sessionGone {
		return nil
	}
	// Only a sched's session lapses with its lease. A gate owns nothing that
	// another process may take over once a lease has lapsed: it keeps its slots
	// until it is known to be dead.
	if m.state == sessionLive && m.self.Role == core.RoleSched && !m.lease.Valid(now) {
		m.recordRefused(sessionChart.Fire(&m.state, sessionLapse, m))
	}
	if r, ok := m.pendingResign.Get(); ok {
		m.pendingResign = core.Option[Resign]{}
		out = append(out, r)
	}
	// The chart ignores this event unless the session has lapsed.
	m.recordRefused(sessionChart.Fire(&m.state, sessionRejoin, m))
	if !m.renewalInFlight && m.claimWrites == 0 && !now.Before(m.nextRenew) {
		m.renewalInFlight = true
		m.nextRenew = now.Add(m.ttl / renewalsPerTTL)
		out = append(out, WriteSession{m.Row(), m.sessionVersion})
	}
	if !m.scanInFlight && !now.Before(m.nextScan) {
		m.scanInFlight = true
		m.nextScan = now.Add(m.ttl / (2 * renewalsPerTTL))
		out = append(out, Scan{})
	}
	out = append(out, m.startRound(now)...)
	if m.state == sessionLive && m.hasScanned && !m.renewalInFlight && m.self.Role == core.RoleSched {
		out = append(out, m.assignCells(now)...)
	}
	return append(out, m.probeLapsed(now)...)
}

// assignCells claims cells without a live owner and starts to release cells while
// another candidate has at least two fewer.
func (m *Member) assignCells(now time.Time) []Action {
	candidates := m.candidates(now)
	var out []Action
	owned := 0
	for _, e := range m.sortedCells() {
		if e.state != cellOther && e.state != cellReleasing {
			owned++
		}
	}
	fairShare := (m.cellCount + len(candidates) - 1) / len(candidates)
	for _, e := range m.sortedCells() {
		if e.id.Region != m.self.Region {
			continue
		}
		if e.state == cellOther && m.mayClaim(now, e, candidates, owned, fairShare) {
			m.recordRefused(cellChart.Fire(&e.state, cellClaim, e))
			owned++
			next := e.claim
			next.Cell, next.Owner, next.Offer = e.id, m.self.ID, ""
			next.Epoch++
			m.claimWrites++
			out = append(out, m.writeClaim(next))
		}
		if e.state == cellOwned && m.leastLoaded(candidates, owned-1) != "" {
			m.recordRefused(cellChart.Fire(&e.state, cellRelease, e))
			owned--
		}
	}
	return out
}

// candidates returns the live scheds of the region that are not leaving, including
// this process, sorted by session ID.
func (m *Member) candidates(now time.Time) []core.SessionID {
	out := []core.SessionID{m.self.ID}
	for id, p := range m.peers {
		s := p.session
		if s.Process.Role == core.RoleSched && s.Process.Region == m.self.Region && !s.Leaving &&
			!lease.Lapsed(p.seenAt, now, m.ttl) {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// mayClaim reports whether this process may claim a cell now. It starts the claim
// delay of a cell that has no owner. The delays of the candidates are claimStagger
// apart, in the order of claimRank, so that they do not all write the claim at
// once. A process that has its fair share of cells, or that sees the cell offered
// to another candidate, lets all candidates try first. The process to which the
// cell is offered has no delay.
func (m *Member) mayClaim(now time.Time, e *cellEntry, candidates []core.SessionID, owned, fairShare int) bool {
	if e.freeSince.IsZero() && e.claim.Owner != "" {
		return false
	}
	if e.freeSince.IsZero() {
		e.freeSince = now
	}
	if e.claim.Offer != m.self.ID {
		steps := 0
		for _, id := range candidates {
			if claimRank(e.id, id) < claimRank(e.id, m.self.ID) {
				steps++
			}
		}
		if owned >= fairShare || slices.Contains(candidates, e.claim.Offer) {
			steps += len(candidates)
		}
		if now.Before(e.freeSince.Add(time.Duration(steps) * claimStagger)) {
			return false
		}
	}
	return e.claim.Owner == "" || m.provablyLapsed(now, e.claim.Owner)
}

// provablyLapsed reports whether an owner's lease must have ended, since the owner
// can have extended it neither through the store nor through promises.
func (m *Member) provablyLapsed(now time.Time, owner core.SessionID) bool {
	p := m.peers[owner]
	if p == nil {
		return true
	}
	if !lease.Lapsed(p.seenAt, now, m.ttl) {
		return false
	}
	switch p.liveness {
	case Dead:
		return true
	case Silent:
		if now.Before(m.promises[owner]) {
			return false
		}
		// An owner that knows of this process would have asked for its promise, and
		// no owner extends its lease by promises for longer than MaxOutage.
		return p.session.Renewals >= p.renewalsAtJoin+minRenewalsSinceJoin || now.Sub(p.seenAt) > MaxOutage
	default:
		return false
	}
}

// leastLoaded returns the other candidate with the fewest cells, owned or offered,
// or an empty ID if none has fewer than limit.
func (m *Member) leastLoaded(candidates []core.SessionID, limit int) core.SessionID {
	counts := map[core.SessionID]int{}
	for _, e := range m.cells {
		counts[e.claim.Owner]++
		if e.claim.Offer != "" {
			counts[e.claim.Offer]++
		}
	}
	best := core.SessionID("")
	for _, id := range candidates {
		if id != m.self.ID && counts[id] < limit && (best == "" || counts[id] < counts[best]) {
			best = id
		}
	}
	return best
}

// Release returns the write that releases a cell and offers it to the candidate
// with the fewest cells.
func (m *Member) Release(now time.Time, c Claim) WriteClaim {
	candidates := m.candidates(now)
	next := c
	next.Owner = ""
	next.Offer = m.leastLoaded(candidates, m.cellCount+1)
	m.claimWrites++
	return m.writeClaim(next)
}

func (m *Member) writeClaim(c Claim) WriteClaim {
	return WriteClaim{c, m.ClaimVersion(c.Cell), m.self.ID, m.sessionVersion}
}

// ReleaseFailed handles a failed write of a release.
func (m *Member) ReleaseFailed() { m.claimWrites-- }

// Released handles a successful write of a release.
func (m *Member) Released(c Claim, version uint64) {
	m.claimWrites--
	e := m.cells[c.Cell]
	if e == nil {
		return
	}
	m.SetClaim(c, version)
	e.freeSince = time.Time{}
	m.recordRefused(cellChart.Fire(&e.state, cellReleased, e))
}

// Claimed handles the end of a claim's write. An unknown outcome counts as a lost
// claim: if the next scan shows this process as the owner, it claims again.
func (m *Member) Claimed(c Claim, version uint64, ok bool) {
	m.claimWrites--
	e := m.cells[c.Cell]
	if e == nil {
		return
	}
	if !ok || m.state != sessionLive || c.Owner != m.self.ID {
		m.recordRefused(cellChart.Fire(&e.state, cellLost, e))
		m.nextScan = time.Time{}
		return
	}
	m.SetClaim(c, version)
	e.freeSince = time.Time{}
	m.recordRefused(cellChart.Fire(&e.state, cellWon, e))
}

// CellLoaded handles the end of reading a cell's journal.
func (m *Member) CellLoaded(id core.CellID) {
	if e := m.cells[id]; e != nil {
		m.recordRefused(cellChart.Fire(&e.state, cellLoaded, e))
	}
}

// CellLost handles the proof that another process owns a cell: a worker or the
// store has refused this process's epoch.
func (m *Member) CellLost(id core.CellID) {
	if e := m.cells[id]; e != nil {
		m.recordRefused(cellChart.Fire(&e.state, cellLost, e))
		m.nextScan = time.Time{}
	}
}

// probeLapsed probes the peers whose leases have lapsed.
func (m *Member) probeLapsed(now time.Time) []Action {
	var out []Action
	for _, id := range m.sortedPeers() {
		p := m.peers[id]
		if p.probeInFlight || !lease.Lapsed(p.seenAt, now, m.ttl) || now.Sub(p.probedAt) < m.ttl/renewalsPerTTL {
			continue
		}
		p.probeInFlight, p.probedAt = true, now
		out = append(out, Probe{p.session.Process})
	}
	return out
}

func (m *Member) sortedPeers() []core.SessionID {
	out := make([]core.SessionID, 0, len(m.peers))
	for id := range m.peers {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Probed handles the result of a probe.
func (m *Member) Probed(now time.Time, id core.SessionID, l Liveness) {
	p := m.peers[id]
	if p == nil {
		return
	}
	p.probeInFlight = false
	if !lease.Lapsed(p.seenAt, now, m.ttl) {
		return
	}
	p.liveness = l
	if l == Dead && p.deadSince.IsZero() {
		p.deadSince = now
	}
}

// VMGone handles the platform's report that a VM no longer exists: processes of the
// VM whose leases have lapsed count as dead.
func (m *Member) VMGone(now time.Time, vm string) {
	for _, p := range m.peers {
		if p.session.Process.VM == vm && lease.Lapsed(p.seenAt, now, m.ttl) && p.deadSince.IsZero() {
			p.liveness, p.deadSince = Dead, now
		}
	}
}

// SessionsToDelete returns the sessions to be deleted, none of which owns a cell:
// those of processes found dead at least wait ago, and those of scheds that have
// been silent for longer than deleteSilentAfter. Deleting the session of a silent
// sched is safe, since it can neither claim nor renew without its row.
func (m *Member) SessionsToDelete(now time.Time, wait time.Duration) []DeleteSession {
	var out []DeleteSession
	for _, id := range m.sortedPeers() {
		p := m.peers[id]
		dead := !p.deadSince.IsZero() && now.Sub(p.deadSince) >= wait
		silent := p.session.Process.Role == core.RoleSched && p.liveness == Silent && now.Sub(p.seenAt) > deleteSilentAfter
		if (dead || silent) && !m.ownsCell(id) {
			out = append(out, DeleteSession{id, p.version})
		}
	}
	return out
}

func (m *Member) ownsCell(id core.SessionID) bool {
	for _, e := range m.cells {
		if e.claim.Owner == id {
			return true
		}
	}
	return false
}
