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

func sessionKey(id core.SessionID) string { return sessionPrefix + string(id) }

// CellKey returns the key of a cell's row.
func CellKey(id core.CellID) string { return cellPrefix + id.String() }

type (
	sessionWriteDone struct {
		id      core.SessionID
		sent    time.Time
		version uint64
		err     error
	}
	membersRead struct {
		sent      time.Time
		sessions  []core.Row[member.Session]
		claims    []core.Row[member.Claim]
		malformed []error
		err       error
	}
	claimWriteDone struct {
		claim   member.Claim
		version uint64
		err     error
	}
	probeDone struct {
		id       core.SessionID
		liveness member.Liveness
	}
	renewalAnswered struct {
		from   core.SessionID
		round  int
		answer member.Answer
	}
	renewalRequest struct {
		row     member.Session
		version uint64
		resign  bool
		reply   chan<- member.Answer
	}
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

// perform carries out one action of the membership.
func (a *Agent) perform(act member.Action) {
	switch act := act.(type) {
	case member.WriteSession:
		a.loop.Go(func(ctx context.Context) loop.Message {
			sent := time.Now()
			v, err := a.writeSession(ctx, act.Row, act.Version)
			return sessionWriteDone{act.Row.Process.ID, sent, v, err}
		})
	case member.Scan:
		a.loop.Go(a.readMembers)
	case member.WriteClaim:
		a.loop.Go(func(ctx context.Context) loop.Message {
			v, err := a.writeClaim(ctx, act)
			return claimWriteDone{act.Claim, v, err}
		})
	case member.Probe:
		a.loop.Go(func(ctx context.Context) loop.Message { return probeDone{act.Process.ID, a.probe(ctx, act.Process)} })
	case member.AskHold:
		a.loop.Go(func(ctx context.Context) loop.Message { return a.requestRenewal(ctx, act) })
	case member.Resign:
		a.log.Warn("cut off from the store alone: giving the cells up")
		a.loop.Go(func(ctx context.Context) loop.Message {
			ctx, cancel := context.WithTimeout(ctx, peer.ProbeTimeout)
			defer cancel()
			// Without an answer the lease lapses by itself.
			_, _ = a.peers.Hold(ctx, act.Peer, member.Session{Process: act.Process}, 0, true)
			return nil
		})
	}
}

func (a *Agent) writeSession(ctx context.Context, row member.Session, version uint64) (uint64, error) {
	key := sessionKey(row.Process.ID)
	t := store.Txn{Checks: []store.Check{{Key: key, Version: version}}}
	if err := t.Set(key, row); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, store.Quick)
	defer cancel()
	return a.store.Write(ctx, t)
}

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

func (a *Agent) readMembers(ctx context.Context) loop.Message {
	m := membersRead{sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, store.Quick)
	defer cancel()
	rows, err := a.store.Scan(ctx, memberPrefix, "")
	if err != nil {
		m.err = err
		return m
	}
	for _, r := range rows {
		var bad error
		if strings.HasPrefix(r.Key, sessionPrefix) {
			m.sessions, bad = decodeRow(m.sessions, r)
		} else if strings.HasPrefix(r.Key, cellPrefix) {
			m.claims, bad = decodeRow(m.claims, r)
		}
		if bad != nil {
			m.malformed = append(m.malformed, bad)
		}
	}
	return m
}

// decodeRow appends a row's value; a row that does not parse is passed over.
func decodeRow[T any](into []core.Row[T], r store.Row) ([]core.Row[T], error) {
	var val T
	if err := json.Unmarshal(r.Val, &val); err != nil {
		return into, &store.FormatError{Key: r.Key, Err: err}
	}
	return append(into, core.Row[T]{Val: val, Version: r.Version}), nil
}

func (a *Agent) handleMembersRead(now time.Time, m membersRead) {
	a.logFailureOnce("reading the sessions", m.err)
	if m.err != nil {
		a.Member.ScanFailed()
		return
	}
	for _, err := range m.malformed {
		a.logFailureOnce("parsing a row", err)
	}
	a.Member.Scanned(now, m.sent, m.sessions, m.claims)
	keep := core.NewSet[netip.AddrPort]()
	for _, p := range a.Member.Peers() {
		keep.Add(p.Peer)
	}
	a.peers.Keep(keep)
}

func (a *Agent) writeClaim(ctx context.Context, act member.WriteClaim) (uint64, error) {
	key := CellKey(act.Claim.Cell)
	t := store.Txn{Checks: []store.Check{
		{Key: key, Version: act.Version}, {Key: sessionKey(act.Self), Version: act.Session},
	}}
	if err := t.Set(key, act.Claim); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, store.Quick)
	defer cancel()
	return a.store.Write(ctx, t)
}

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

// probe asks a process whether it is alive. A refused connection proves that
// it is not: it listens for as long as it lives, and nobody else can have
// bound its port.
func (a *Agent) probe(ctx context.Context, p core.Process) member.Liveness {
	ctx, cancel := context.WithTimeout(ctx, peer.ProbeTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", p.Peer.String())
	if errors.Is(err, syscall.ECONNREFUSED) {
		return member.Dead
	}
	if err != nil {
		return member.Silent
	}
	_ = c.Close()
	r, err := a.peers.Alive(ctx, p)
	switch {
	case err != nil:
		return member.Silent
	case r.Session == p.ID:
		return member.Alive
	default:
		return member.Dead
	}
}

func (a *Agent) requestRenewal(ctx context.Context, act member.AskHold) loop.Message {
	ctx, cancel := context.WithTimeout(ctx, peer.ProbeTimeout)
	defer cancel()
	answer, err := a.peers.Hold(ctx, act.Peer, act.Row, act.Version, false)
	if err != nil {
		answer = member.Answer{Dead: a.probe(context.WithoutCancel(ctx), act.Peer) == member.Dead}
	}
	return renewalAnswered{act.Peer.ID, act.Round, answer}
}

// RenewOrPromise answers a peer that cannot renew its session; it is called by traffic
// goroutines.
func (a *Agent) RenewOrPromise(ctx context.Context, row member.Session, version uint64, resign bool) (member.Answer, error) {
	return loop.Ask(ctx, a.loop, func(c chan<- member.Answer) loop.Message { return renewalRequest{row, version, resign, c} })
}

func (a *Agent) handleRenewalRequest(now time.Time, m renewalRequest) {
	if m.resign {
		a.loop.Go(func(ctx context.Context) loop.Message {
			// Without an answer the lease lapses by itself.
			_, _ = a.store.Write(ctx, store.Txn{Dels: []string{sessionKey(m.row.Process.ID)}})
			m.reply <- member.Answer{}
			return nil
		})
		return
	}
	if !a.Member.Reaches(now) {
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

func (a *Agent) handlePeerRenewal(now time.Time, m peerRenewalDone) {
	if m.err == nil {
		m.request.reply <- member.Answer{Renewed: true, Version: m.version}
		return
	}
	m.request.reply <- a.Member.Promise(now, m.request.row.Process)
}

// Alive answers a peer's question about this process; it is called by traffic
// goroutines.
func (a *Agent) Alive(ctx context.Context) (peer.Alive, error) {
	return loop.Ask(ctx, a.loop, func(c chan<- peer.Alive) loop.Message { return aliveRequest{c} })
}

func (a *Agent) alive(now time.Time) peer.Alive {
	return peer.Alive{
		Session: a.Member.Self().ID, Stored: a.Member.Reaches(now),
		Config: a.Conf.Version(), Confirmed: now.Sub(a.Conf.Confirmed()),
	}
}

// ReleaseCell writes the row that hands a cell over.
func (a *Agent) ReleaseCell(now time.Time, c member.Claim) { a.perform(a.Member.Release(now, c)) }

// DeleteSession deletes the own session row and closes done, which ends a planned
// stop.
func (a *Agent) DeleteSession(done chan<- struct{}) {
	key := sessionKey(a.Member.Self().ID)
	a.loop.Go(func(ctx context.Context) loop.Message {
		if _, err := a.store.Write(ctx, store.Txn{Dels: []string{key}}); err != nil {
			a.log.WithError(err).Warn("the session will lapse by itself")
		}
		close(done)
		return nil
	})
	a.Member.EndSession()
}
