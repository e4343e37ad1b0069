package member

import (
	"slices"
	"sort"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/lease"
)

// Action is something that the process must do for its membership.
type Action interface{ action() }

// The actions.
type (
	// WriteSession writes the own session row if it still has a version.
	WriteSession struct {
		Row     Session
		Version uint64
	}
	// DeleteSession deletes a session row.
	DeleteSession struct {
		ID      core.SessionID
		Version uint64
	}
	// Scan reads all session and claim rows.
	Scan struct{}
	// WriteClaim writes a cell's row if it still has a version and the own
	// session row, too, is unchanged: an evicted process claims nothing.
	WriteClaim struct {
		Claim   Claim
		Version uint64
		Self    core.SessionID
		// Session is the version of the own session row.
		Session uint64
	}
	// Probe asks a process whether it is alive.
	Probe struct{ Process core.Process }
	// AskHold asks a peer to renew this process's session or, if the peer does
	// not reach the store either, for a promise not to claim its cells.
	AskHold struct {
		Peer  core.Process
		Round int
		Row   Session
		// Version is that of the row to be renewed on behalf.
		Version uint64
	}
	// Resign asks a peer to delete the row of this process's former session,
	// so that its cells need not wait for the lease to lapse.
	Resign struct {
		Peer    core.Process
		Process core.Process
	}
)

func (WriteSession) action()  {}
func (DeleteSession) action() {}
func (Scan) action()          {}
func (WriteClaim) action()    {}
func (Probe) action()         {}
func (AskHold) action()       {}
func (Resign) action()        {}

// round collects the answers to one set of AskHold.
type round struct {
	number int
	sent   time.Time
	// waits are the peers that have not answered.
	waits core.Set[core.SessionID]
	// failed is set once a peer has neither promised nor been proved dead.
	failed bool
}

// Plan returns what has to be done now.
func (m *Member) Plan(now time.Time) []Action {
	var out []Action
	if m.state == sessGone {
		return nil
	}
	// A gate owns nothing that another process may take over by time alone: its
	// slots stay its own until it is proved dead.
	if m.state == sessLive && m.self.Role == core.RoleSched && !m.lease.Valid(now) {
		m.note(sessionChart.Fire(&m.state, sessLapse, m))
	}
	if r, ok := m.resigned.Get(); ok {
		m.resigned = core.Option[Resign]{}
		out = append(out, r)
	}
	m.note(sessionChart.Fire(&m.state, sessRejoin, m))
	if !m.busy && m.claiming == 0 && !now.Before(m.nextRenew) {
		m.busy = true
		m.nextRenew = now.Add(m.ttl / renewPart)
		out = append(out, WriteSession{m.Row(), m.version})
	}
	if !m.scanning && !now.Before(m.nextScan) {
		m.scanning = true
		m.nextScan = now.Add(m.ttl / (2 * renewPart))
		out = append(out, Scan{})
	}
	out = append(out, m.outage(now)...)
	if m.state == sessLive && m.scanned && !m.busy && m.self.Role == core.RoleSched {
		out = append(out, m.claims(now)...)
	}
	return append(out, m.probes(now)...)
}

// claims decides which cells to claim and which to hand over.
func (m *Member) claims(now time.Time) []Action {
	heirs := m.heirs(now)
	var out []Action
	mine := 0
	for _, h := range m.sorted() {
		if h.state != cellOther && h.state != cellReleasing {
			mine++
		}
	}
	fair := (m.cellCount + len(heirs) - 1) / len(heirs)
	for _, h := range m.sorted() {
		if h.cell.Region != m.self.Region {
			continue
		}
		if h.state == cellOther && m.mayClaim(now, h, heirs, mine, fair) {
			m.note(cellChart.Fire(&h.state, cellClaim, h))
			mine++
			next := h.claim
			next.Cell, next.Owner, next.Offer = h.cell, m.self.ID, ""
			next.Epoch++
			m.claiming++
			out = append(out, m.writeClaim(next))
		}
		if h.state == cellOwned && m.spare(heirs, mine-1) != "" {
			m.note(cellChart.Fire(&h.state, cellRelease, h))
			mine--
		}
	}
	return out
}

// heirs are the live scheds of the region that are not leaving.
func (m *Member) heirs(now time.Time) []core.SessionID {
	out := []core.SessionID{m.self.ID}
	for id, p := range m.peers {
		s := p.session
		if s.Process.Role == core.RoleSched && s.Process.Region == m.self.Region && !s.Leaving &&
			!lease.Lapsed(p.seen, now, m.ttl) {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (m *Member) mayClaim(now time.Time, h *held, heirs []core.SessionID, mine, fair int) bool {
	if h.freeSince.IsZero() && h.claim.Owner != "" {
		return false
	}
	if h.freeSince.IsZero() {
		h.freeSince = now
	}
	if h.claim.Offer != m.self.ID {
		turn := 0
		for _, id := range heirs {
			if rank(h.cell, id) < rank(h.cell, m.self.ID) {
				turn++
			}
		}
		if mine >= fair || slices.Contains(heirs, h.claim.Offer) {
			turn += len(heirs)
		}
		if now.Before(h.freeSince.Add(time.Duration(turn) * stagger)) {
			return false
		}
	}
	return h.claim.Owner == "" || m.surelyLapsed(now, h.claim.Owner)
}

// surelyLapsed reports whether an owner can hold its session neither by the
// store nor by promises.
func (m *Member) surelyLapsed(now time.Time, owner core.SessionID) bool {
	p := m.peers[owner]
	if p == nil {
		return true
	}
	if !lease.Lapsed(p.seen, now, m.ttl) {
		return false
	}
	switch p.liveness {
	case Dead:
		return true
	case Silent:
		if now.Before(m.promises[owner]) {
			return false
		}
		return p.session.Beat >= p.joinBeat+knownBeats || now.Sub(p.seen) > MaxOutage
	default:
		return false
	}
}

// spare returns the live heir with the fewest cells, if it has fewer than most.
func (m *Member) spare(heirs []core.SessionID, most int) core.SessionID {
	count := map[core.SessionID]int{}
	for _, h := range m.cells {
		count[h.claim.Owner]++
		if h.claim.Offer != "" {
			count[h.claim.Offer]++
		}
	}
	best := core.SessionID("")
	for _, id := range heirs {
		if id != m.self.ID && count[id] < most && (best == "" || count[id] < count[best]) {
			best = id
		}
	}
	return best
}

// Release returns the row that hands a cell over.
func (m *Member) Release(now time.Time, c Claim) WriteClaim {
	heirs := m.heirs(now)
	next := c
	next.Owner = ""
	next.Offer = m.spare(heirs, m.cellCount+1)
	m.claiming++
	return m.writeClaim(next)
}

func (m *Member) writeClaim(c Claim) WriteClaim {
	return WriteClaim{c, m.ClaimVersion(c.Cell), m.self.ID, m.version}
}

// ReleaseFailed follows a hand-over whose write has failed.
func (m *Member) ReleaseFailed() { m.claiming-- }

// Released follows the write that handed a cell over.
func (m *Member) Released(c Claim, version uint64) {
	m.claiming--
	h := m.cells[c.Cell]
	if h == nil {
		return
	}
	m.SetClaim(c, version)
	h.freeSince = time.Time{}
	m.note(cellChart.Fire(&h.state, cellReleased, h))
}

// Claimed follows the write of a claim. An unknown outcome counts as lost: the
// next scan shows an owner by this name, and the claim is made anew.
func (m *Member) Claimed(c Claim, version uint64, ok bool) {
	m.claiming--
	h := m.cells[c.Cell]
	if h == nil {
		return
	}
	if !ok || m.state != sessLive || c.Owner != m.self.ID {
		m.note(cellChart.Fire(&h.state, cellLost, h))
		m.nextScan = time.Time{}
		return
	}
	m.SetClaim(c, version)
	h.freeSince = time.Time{}
	m.note(cellChart.Fire(&h.state, cellWon, h))
}

// Loaded follows the reading of a cell's journal.
func (m *Member) Loaded(id core.CellID) {
	if h := m.cells[id]; h != nil {
		m.note(cellChart.Fire(&h.state, cellLoaded, h))
	}
}

// Lost follows the proof that another process owns a cell: a worker or the
// store has refused the epoch.
func (m *Member) Lost(id core.CellID) {
	if h := m.cells[id]; h != nil {
		m.note(cellChart.Fire(&h.state, cellLost, h))
		m.nextScan = time.Time{}
	}
}

// probes asks lapsed processes whether they are alive.
func (m *Member) probes(now time.Time) []Action {
	var out []Action
	for _, id := range m.sortedPeers() {
		p := m.peers[id]
		if p.probing || !lease.Lapsed(p.seen, now, m.ttl) || now.Sub(p.probed) < m.ttl/renewPart {
			continue
		}
		p.probing, p.probed = true, now
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

// Probed follows a probe.
func (m *Member) Probed(now time.Time, id core.SessionID, l Liveness) {
	p := m.peers[id]
	if p == nil {
		return
	}
	p.probing = false
	if !lease.Lapsed(p.seen, now, m.ttl) {
		return
	}
	p.liveness = l
	if l == Dead && p.deadSince.IsZero() {
		p.deadSince = now
	}
}

// VMGone follows the platform's word that a VM does not exist any more.
func (m *Member) VMGone(now time.Time, vm string) {
	for _, p := range m.peers {
		if p.session.Process.VM == vm && lease.Lapsed(p.seen, now, m.ttl) && p.deadSince.IsZero() {
			p.liveness, p.deadSince = Dead, now
		}
	}
}

// DeadFor returns the sessions that have been proved dead for at least wait,
// and those of scheds that have been silent for long and own nothing: they can
// neither claim nor renew without their row.
func (m *Member) DeadFor(now time.Time, wait time.Duration) []DeleteSession {
	var out []DeleteSession
	for _, id := range m.sortedPeers() {
		p := m.peers[id]
		dead := !p.deadSince.IsZero() && now.Sub(p.deadSince) >= wait
		silent := p.session.Process.Role == core.RoleSched && p.liveness == Silent && now.Sub(p.seen) > evictAfter
		if (dead || silent) && !m.owns(id) {
			out = append(out, DeleteSession{id, p.version})
		}
	}
	return out
}

func (m *Member) owns(id core.SessionID) bool {
	for _, h := range m.cells {
		if h.claim.Owner == id {
			return true
		}
	}
	return false
}
