package member

import (
	"time"

	"chicoryturn/core"
	"chicoryturn/core/lease"
)

// Answer is a peer's answer to RenewOrPromise.
type Answer struct {
	// Renewed is set when the peer has renewed the session row in the store.
	Renewed bool
	// Version is the version of the renewed row.
	Version uint64
	// Promised is set when the peer has promised not to claim cells of the asking
	// process for PromiseTTL.
	Promised bool
	// Dead is set when the peer did not answer and was found dead.
	Dead bool
	// Scheds are all scheds of the region known to the peer.
	Scheds []core.Process
}

// startRound asks all scheds of the region to renew the session or to promise not
// to claim its cells once the store has not answered for half the lease time. It
// repeats this until the store answers or MaxOutage has passed.
func (m *Member) startRound(now time.Time) []Action {
	if m.state != sessionLive || m.self.Role != core.RoleSched || now.Sub(m.storeReachedAt) < m.ttl/2 {
		return nil
	}
	if now.Sub(m.storeReachedAt) > MaxOutage {
		return nil
	}
	if m.round != nil && now.Sub(m.round.sent) < m.ttl/renewalsPerTTL {
		return nil
	}
	number := 1
	if m.round != nil {
		number = m.round.number + 1
	}
	m.round = &peerRound{number: number, sent: now, unanswered: core.NewSet[core.SessionID]()}
	var out []Action
	for _, id := range m.sortedPeers() {
		p := m.peers[id].session.Process
		if p.Role == core.RoleSched && p.Region == m.self.Region {
			m.round.unanswered.Add(id)
			out = append(out, RenewOrPromise{p, number, m.Row(), m.sessionVersion})
		}
	}
	// If there is no other sched, no answer is needed.
	m.extendIfPromised()
	return out
}

// PeerAnswered handles a peer's answer to RenewOrPromise.
func (m *Member) PeerAnswered(from core.SessionID, number int, a Answer) {
	r := m.round
	if r == nil || r.number != number || m.state != sessionLive {
		return
	}
	if a.Renewed {
		if r.sent.Sub(m.storeReachedAt) > maxPeerRenewalTTLs*m.ttl {
			m.resignTo(from)
			return
		}
		m.renewals++
		m.sessionVersion = a.Version
		m.lease.Renew(r.sent, m.ttl)
		return
	}
	delete(r.unanswered, from)
	if !a.Promised && !a.Dead {
		r.failed = true
	}
	for _, p := range a.Scheds {
		if p.ID != m.self.ID && m.peers[p.ID] == nil {
			// This process has not asked the new sched for its promise.
			m.peers[p.ID] = &peer{session: Session{Process: p}, seenAt: r.sent}
			r.failed = true
		}
	}
	m.extendIfPromised()
}

// resignTo gives up all cells when only this process is cut off from the store:
// other scheds can both make decisions and record them. The given peer has shown
// that it reaches the store, so it is asked to delete the session.
func (m *Member) resignTo(to core.SessionID) {
	p := m.peers[to]
	if p == nil {
		return
	}
	m.pendingResign = core.Some(Resign{p.session.Process, m.self})
	m.recordRefused(sessionChart.Fire(&m.state, sessionLapse, m))
}

// extendIfPromised extends the lease once every other sched of the region has
// promised not to claim its cells or was found dead.
func (m *Member) extendIfPromised() {
	r := m.round
	if r == nil || r.failed || len(r.unanswered) > 0 {
		return
	}
	m.lease.Renew(r.sent, PromiseTTL)
}

// Promise answers RenewOrPromise when this process cannot renew the owner's
// session. It promises not to claim the owner's cells, unless it reaches the store
// or is about to claim one of them.
func (m *Member) Promise(now time.Time, from core.Process) Answer {
	a := Answer{Scheds: m.regionScheds()}
	if m.state == sessionGone || m.StoreReachable(now) {
		// While others reach the store, an owner that does not must let its
		// lease lapse.
		return a
	}
	for _, e := range m.cells {
		if cellChart.Name(e.state) == "claiming" && e.claim.Owner == from.ID {
			return a
		}
	}
	m.promises[from.ID] = now.Add(PromiseTTL + PromiseTTL*lease.DriftPercent/100)
	a.Promised = true
	return a
}

// regionScheds returns all known scheds of the region, including this process.
func (m *Member) regionScheds() []core.Process {
	out := []core.Process{}
	for _, p := range m.Peers() {
		if p.Role == core.RoleSched && p.Region == m.self.Region {
			out = append(out, p)
		}
	}
	if m.self.Role == core.RoleSched {
		out = append(out, m.self)
	}
	return out
}

// StoreReachable reports whether the store has answered a request that was sent
// less than half the lease time ago.
func (m *Member) StoreReachable(now time.Time) bool { return now.Sub(m.storeReachedAt) < m.ttl/2 }
