package agent

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/member"
	"chicoryturn/io/loop"
	"chicoryturn/io/peer"
	"chicoryturn/io/store"
)

const (
	memberPrefix  = "member/"
	sessionPrefix = "member/session/"
	cellPrefix    = "member/cell/"
)

// sessionKey returns the key of a session's row.
func sessionKey(id core.SessionID) string { return sessionPrefix + string(id) }

// CellKey returns the key of the row that holds a cell's claim.
func CellKey(id core.CellID) string { return cellPrefix + id.String() }

// Messages to the control goroutine.
type (
	// sessionWriteDone carries the outcome of a write of this process's session row.
	sessionWriteDone struct {
		id      core.SessionID
		sent    time.Time
		version uint64
		err     error
	}
	// membersRead carries the rows of all sessions and claims.
	membersRead struct {
		sent     time.Time
		sessions []core.Row[member.Session]
		claims   []core.Row[member.Claim]
		// malformed holds the errors of the rows that did not parse.
		malformed []error
		err       error
	}
	// claimWriteDone carries the outcome of a claim or of a release.
	claimWriteDone struct {
		claim   member.Claim
		version uint64
		err     error
	}
	probeDone struct {
		id       core.SessionID
		liveness member.Liveness
	}
	// renewalAnswered carries a peer's answer to requestRenewal.
	renewalAnswered struct {
		from   core.SessionID
		round  int
		answer member.Answer
	}
	// renewalRequest is a peer's request to RenewOrPromise.
	renewalRequest struct {
		row     member.Session
		version uint64
		resign  bool
		reply   chan<- member.Answer
	}
	// peerRenewalDone carries the outcome of the renewal of a peer's session.
	peerRenewalDone struct {
		request renewalRequest
		version uint64
		err     error
	}
	aliveRequest struct{ reply chan<- peer.Alive }
)

// Message implements loop.Message.
func (sessionWriteDone) Message() {}

// Message implements loop.Message.
func (membersRead) Message() {}

// Message implements loop.Message.
func (claimWriteDone) Message() {}

// Message implements loop.Message.
func (probeDone) Message() {}

// Message implements loop.Message.
func (renewalAnswered) Message() {}

// Message implements loop.Message.
func (renewalRequest) Message() {}

// Message implements loop.Message.
func (peerRenewalDone) Message() {}

// Message implements loop.Message.
func (aliveRequest) Message() {}

// perform starts one action that the membership has planned.
func (a *Agent) perform(action member.Action) {
	switch action := action.(type) {
	case member.WriteSession:
		a.loop.Go(func(ctx context.Context) loop.Message {
			sent := time.Now()
			v, err := a.writeSession(ctx, action.Row, action.Version)
			return sessionWriteDone{action.Row.Process.ID, sent, v, err}
		})
	case member.Scan:
		a.loop.Go(a.readMembers)
	case member.WriteClaim:
		a.loop.Go(func(ctx context.Context) loop.Message {
			v, err := a.writeClaim(ctx, action)
			return claimWriteDone{action.Claim, v, err}
		})
	case member.Probe:
		a.loop.Go(func(ctx context.Context) loop.Message {
			return probeDone{action.Process.ID, a.probe(ctx, action.Process)}
		})
	case member.RenewOrPromise:
		a.loop.Go(func(ctx context.Context) loop.Message { return a.requestRenewal(ctx, action) })
	case member.Resign:
		a.log.Warn("the store is unreachable from this process but not from its peers; giving up all cells")
		a.loop.Go(func(ctx context.Context) loop.Message {
			ctx, cancel := context.WithTimeout(ctx, peer.ProbeTimeout)
			defer cancel()
			// If this fails, the session's lease expires later.
			_, _ = a.peers.RenewOrPromise(ctx, action.Peer, member.Session{Process: action.Process}, 0, true)
			return nil
		})
	}
}

// writeSession writes a session row if the stored row still has the version.
func (a *Agent) writeSession(ctx context.Context, row member.Session, version uint64) (uint64, error) {
	key := sessionKey(row.Process.ID)
	t := store.Txn{Checks: []store.Check{{Key: key, Version: version}}}
	if err := t.Set(key, row); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, store.LeaseTimeout)
	defer cancel()
	return a.store.Write(ctx, t)
}

// handleSessionWrite reports the outcome of a write of this process's session
// row to the membership, unless the process has since rejoined under another ID.
func (a *Agent) handleSessionWrite(now time.Time, m sessionWriteDone) {
	if m.id != a.Member.Self().ID {
		return
	}
	a.logFailureOnce("renewing the session", m.err)
	var conflict *store.ConflictError
	switch {
	case m.err == nil:
		a.Member.Renewed(now, m.sent, m.version)
	case errors.As(m.err, &conflict):
		a.Member.RenewRefused(now)
	default:
		a.Member.RenewFailed(now)
	}
}

// readMembers reads the rows of all sessions and claims.
func (a *Agent) readMembers(ctx context.Context) loop.Message {
	m := membersRead{sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, store.LeaseTimeout)
	defer cancel()
	rows, err := a.store.Scan(ctx, memberPrefix, "")
	if err != nil {
		m.err = err
		return m
	}
	for _, r := range rows {
		var parseErr error
		if strings.HasPrefix(r.Key, sessionPrefix) {
			m.sessions, parseErr = decodeRow(m.sessions, r)
		} else if strings.HasPrefix(r.Key, cellPrefix) {
			m.claims, parseErr = decodeRow(m.claims, r)
		}
		if parseErr != nil {
			m.malformed = append(m.malformed, parseErr)
		}
	}
	return m
}

// decodeRow parses a row and appends it to rows. If the row does not parse, it
// returns rows unchanged and the error.
func decodeRow[T any](rows []core.Row[T], r store.Row) ([]core.Row[T], error) {
	var val T
	if err := json.Unmarshal(r.Val, &val); err != nil {
		return rows, &store.FormatError{Key: r.Key, Err: err}
	}
	return append(rows, core.Row[T]{Val: val, Version: r.Version}), nil
}

// handleMembersRead updates the membership and closes the connections to
// processes that no longer have a session.
func (a *Agent) handleMembersRead(now time.Time, m membersRead) {
	a.logFailureOnce("reading the sessions", m.err)
	if m.err != nil {
		a.Member.ScanFailed()
		return
	}
	for _, err := range m.malformed {
		a.logFailureOnce("parsing a session or claim row", err)
	}
	a.Member.Scanned(now, m.sent, m.sessions, m.claims)
	keep := core.NewSet[netip.AddrPort]()
	for _, p := range a.Member.Peers() {
		keep.Add(p.Peer)
	}
	a.peers.CloseExcept(keep)
}

// writeClaim writes a cell's claim if the claim's row and this process's session
// row still have the versions that the action names.
func (a *Agent) writeClaim(ctx context.Context, action member.WriteClaim) (uint64, error) {
	key := CellKey(action.Claim.Cell)
	t := store.Txn{Checks: []store.Check{
		{Key: key, Version: action.Version}, {Key: sessionKey(action.Self), Version: action.Session},
	}}
	if err := t.Set(key, action.Claim); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, store.LeaseTimeout)
	defer cancel()
	return a.store.Write(ctx, t)
}

// handleClaimWrite reports the outcome of a claim or a release to the
// membership. It returns the error to be logged. A conflict is not logged, since
// losing a claim to another process is no failure.
func (a *Agent) handleClaimWrite(m claimWriteDone) error {
	var conflict *store.ConflictError
	if m.claim.Owner == "" {
		if m.err != nil {
			a.Member.ReleaseFailed()
			return m.err
		}
		a.Member.Released(m.claim, m.version)
		return nil
	}
	a.Member.Claimed(m.claim, m.version, m.err == nil)
	if m.err == nil {
		a.log.Infof("claimed cell %s with epoch %d", m.claim.Cell, m.claim.Epoch)
	}
	if errors.As(m.err, &conflict) {
		return nil
	}
	return m.err
}

// probe checks whether a process is alive. A refused connection proves that it
// is dead, since a process listens on its port for as long as it runs. So does
// an answer under another session ID, since two processes cannot bind one port.
func (a *Agent) probe(ctx context.Context, p core.Process) member.Liveness {
	ctx, cancel := context.WithTimeout(ctx, peer.ProbeTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", p.Peer.String())
	if errors.Is(err, syscall.ECONNREFUSED) {
		return member.Dead
	}
	if err != nil {
		return member.Silent
	}
	_ = conn.Close()
	answer, err := a.peers.Alive(ctx, p)
	switch {
	case err != nil:
		return member.Silent
	case answer.Session == p.ID:
		return member.Alive
	default:
		return member.Dead
	}
}

// requestRenewal asks a peer to renew this process's session, or to promise not
// to claim its cells. It probes a peer that does not answer.
func (a *Agent) requestRenewal(ctx context.Context, action member.RenewOrPromise) loop.Message {
	ctx, cancel := context.WithTimeout(ctx, peer.ProbeTimeout)
	defer cancel()
	answer, err := a.peers.RenewOrPromise(ctx, action.Peer, action.Row, action.Version, false)
	if err != nil {
		answer = member.Answer{Dead: a.probe(context.WithoutCancel(ctx), action.Peer) == member.Dead}
	}
	return renewalAnswered{action.Peer.ID, action.Round, answer}
}

// RenewOrPromise answers a peer that cannot renew its session itself. It renews
// the peer's session if this process reaches the store; otherwise it may promise
// not to claim the peer's cells. If resign is set, it deletes the peer's session
// instead. It is called by traffic goroutines.
func (a *Agent) RenewOrPromise(ctx context.Context, row member.Session, version uint64, resign bool) (member.Answer, error) {
	return loop.Ask(ctx, a.loop, func(c chan<- member.Answer) loop.Message { return renewalRequest{row, version, resign, c} })
}

// handleRenewalRequest handles the message that RenewOrPromise sends.
func (a *Agent) handleRenewalRequest(now time.Time, m renewalRequest) {
	if m.resign {
		a.loop.Go(func(ctx context.Context) loop.Message {
			// If this fails, the session's lease expires later.
			_, _ = a.store.Write(ctx, store.Txn{Deletes: []string{sessionKey(m.row.Process.ID)}})
			m.reply <- member.Answer{}
			return nil
		})
		return
	}
	if !a.Member.StoreReachable(now) {
		m.reply <- a.Member.Promise(now, m.row.Process)
		return
	}
	a.loop.Go(func(ctx context.Context) loop.Message {
		ctx, cancel := context.WithTimeout(ctx, peerRenewTimeout)
		defer cancel()
		v, err := a.writeSession(ctx, m.row, m.version)
		return peerRenewalDone{m, v, err}
	})
}

// handlePeerRenewal answers the peer after the attempt to renew its session.
func (a *Agent) handlePeerRenewal(now time.Time, m peerRenewalDone) {
	if m.err == nil {
		m.request.reply <- member.Answer{Renewed: true, Version: m.version}
		return
	}
	m.request.reply <- a.Member.Promise(now, m.request.row.Process)
}

// Alive returns this process's session and the state of its configuration, for
// a peer. It is called by traffic goroutines.
func (a *Agent) Alive(ctx context.Context) (peer.Alive, error) {
	return loop.Ask(ctx, a.loop, func(c chan<- peer.Alive) loop.Message { return aliveRequest{c} })
}

func (a *Agent) alive(now time.Time) peer.Alive {
	return peer.Alive{
		Session: a.Member.Self().ID, StoreReachable: a.Member.StoreReachable(now),
		Config: a.Config.Version(), Confirmed: now.Sub(a.Config.Confirmed()),
	}
}

// ReleaseCell writes the claim that gives up a cell and offers it to another
// process.
func (a *Agent) ReleaseCell(now time.Time, c member.Claim) { a.perform(a.Member.Release(now, c)) }

// DeleteSession deletes this process's session at the end of a drain, and then
// closes done, even if the deletion failed.
func (a *Agent) DeleteSession(done chan<- struct{}) {
	key := sessionKey(a.Member.Self().ID)
	a.loop.Go(func(ctx context.Context) loop.Message {
		if _, err := a.store.Write(ctx, store.Txn{Deletes: []string{key}}); err != nil {
			a.log.WithError(err).Warn("session row not deleted; the session's lease will expire")
		}
		close(done)
		return nil
	})
	a.Member.EndSession()
}
