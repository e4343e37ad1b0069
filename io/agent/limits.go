package agent

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/ledger"
	"chicoryturn/core/member"
	"chicoryturn/io/loop"
	"chicoryturn/io/store"
)

// limitPrefix is the prefix of the keys of all ledger rows.
const limitPrefix = "limit/"

// Messages to the control goroutine.
type (
	vmsReadDone struct {
		list store.List
		err  error
	}
	ledgerRead struct {
		sync *ledgerSync
		rows []store.Row
		err  error
	}
	ledgerWriteDone struct {
		sync    *ledgerSync
		changes []ledger.Change
		version uint64
		err     error
	}
	reclaimDone struct{}
)

// Message implements loop.Message.
func (vmsReadDone) Message() {}

// Message implements loop.Message.
func (ledgerRead) Message() {}

// Message implements loop.Message.
func (ledgerWriteDone) Message() {}

// Message implements loop.Message.
func (reclaimDone) Message() {}

// readVMs reads the list of VMs, once per vmListInterval.
func (a *Agent) readVMs(now time.Time) {
	if a.readingVMs || now.Before(a.nextVMsRead) {
		return
	}
	a.readingVMs = true
	a.nextVMsRead = now.Add(vmListInterval)
	since := a.vmsVersion
	a.loop.Go(func(ctx context.Context) loop.Message {
		l, err := a.store.VMs(ctx, since)
		return vmsReadDone{l, err}
	})
}

// handleVMsRead replaces the list of VMs if it is newer. It tells the membership
// which entry VMs are gone, since the processes on them are gone too.
func (a *Agent) handleVMsRead(now time.Time, m vmsReadDone) {
	a.readingVMs = false
	a.logFailureOnce("reading the list of VMs", m.err)
	if m.err != nil || m.list.Same || m.list.Version < a.vmsVersion {
		return
	}
	a.vmsVersion = m.list.Version
	goneEntries := core.NewSet[string]()
	for _, vm := range a.vms {
		if vm.Kind == "entry" {
			goneEntries.Add(vm.Name)
		}
	}
	a.vms = a.vms[:0:0]
	for _, v := range m.list.VMs {
		vm, err := v.Core()
		if err != nil {
			a.logFailureOnce("parsing the list of VMs", err)
			continue
		}
		delete(goneEntries, vm.Name)
		a.vms = append(a.vms, vm)
	}
	for name := range goneEntries {
		a.Member.VMGone(now, name)
	}
	a.vmsRead = true
	a.callbacks.VMsChanged(now, a.vms)
}

// readLedger reads a ledger's rows, once per ledgerInterval, or once per
// minLedgerInterval while the ledger needs more than it holds.
func (a *Agent) readLedger(now time.Time, s *ledgerSync) {
	urgent := now.After(s.lastRead.Add(minLedgerInterval)) && s.ledger.NeedsMore()
	if s.inFlight || (now.Before(s.nextRead) && !urgent) {
		return
	}
	s.inFlight = true
	s.lastRead = now
	s.nextRead = now.Add(ledgerInterval)
	a.loop.Go(func(ctx context.Context) loop.Message {
		m := ledgerRead{sync: s}
		for _, prefix := range s.prefixes {
			rows, err := a.store.Scan(ctx, limitPrefix+prefix, "")
			if err != nil {
				m.err = err
				return m
			}
			m.rows = append(m.rows, rows...)
		}
		return m
	})
}

// handleLedgerRead updates a ledger from its rows and then writes the changes
// that the ledger plans.
func (a *Agent) handleLedgerRead(now time.Time, m ledgerRead) {
	s := m.sync
	s.inFlight = false
	a.logFailureOnce("reading limits", m.err)
	if m.err != nil {
		return
	}
	for _, r := range m.rows {
		name := strings.TrimPrefix(r.Key, limitPrefix)
		var row ledger.Row
		if err := json.Unmarshal(r.Val, &row); err != nil {
			a.logFailureOnce("parsing the limit "+name, &store.FormatError{Key: r.Key, Err: err})
			s.ledger.MarkMalformed(name)
			continue
		}
		s.ledger.Observe(name, r.Version, row)
	}
	a.callbacks.LedgerRead(now)
	a.writeLedger(s)
}

// writeLedger writes the changes that a ledger plans, if any, in one transaction.
func (a *Agent) writeLedger(s *ledgerSync) {
	changes := s.ledger.Plan()
	if len(changes) == 0 {
		return
	}
	s.inFlight = true
	a.loop.Go(func(ctx context.Context) loop.Message {
		var t store.Txn
		for _, c := range changes {
			key := limitPrefix + c.Name
			t.Checks = append(t.Checks, store.Check{Key: key, Version: c.Version})
			if err := t.Set(key, c.Row); err != nil {
				return ledgerWriteDone{s, changes, 0, err}
			}
		}
		v, err := a.store.Write(ctx, t)
		return ledgerWriteDone{s, changes, v, err}
	})
}

// handleLedgerWrite reports the outcome of a write to the ledger. After a
// conflict the rows are read again at once.
func (a *Agent) handleLedgerWrite(m ledgerWriteDone) {
	s := m.sync
	s.inFlight = false
	versions := make([]uint64, len(m.changes))
	for i := range versions {
		versions[i] = m.version
	}
	s.ledger.Applied(m.changes, versions, m.err == nil)
	var conflict *store.ConflictError
	if errors.As(m.err, &conflict) {
		s.nextRead = time.Time{}
		return
	}
	a.logFailureOnce("writing limits", m.err)
}

// reclaim frees the parts of the sessions that the membership wants deleted, and
// deletes their rows. A process must have been dead for the longest time that a
// request may take, since a target may still be working on a request that a dead
// gate sent.
func (a *Agent) reclaim(now time.Time) {
	if a.reclaiming || now.Before(a.nextReclaim) || a.Member.State() != "live" {
		return
	}
	a.nextReclaim = now.Add(reclaimInterval)
	dead := a.Member.SessionsToDelete(now, a.longestRequestTime())
	if len(dead) == 0 {
		return
	}
	a.reclaiming = true
	a.loop.Go(func(ctx context.Context) loop.Message {
		for _, session := range dead {
			if err := a.reclaimSession(ctx, session); err != nil {
				a.log.WithError(err).WithField("session", session.ID).Warn("cannot reclaim the parts of a dead process; will retry")
				break
			}
		}
		return reclaimDone{}
	})
}

// longestRequestTime returns the longest run time-out of all queues.
func (a *Agent) longestRequestTime() time.Duration {
	longest := time.Duration(0)
	for _, q := range a.Config.Rules().Queues {
		longest = max(longest, q.RunTimeout)
	}
	return longest
}

// reclaimSession removes a session's parts from all ledger rows and deletes the
// session's row, in one transaction.
func (a *Agent) reclaimSession(ctx context.Context, session member.DeleteSession) error {
	rows, err := a.store.Scan(ctx, limitPrefix, "")
	if err != nil {
		return err
	}
	key := sessionKey(session.ID)
	t := store.Txn{Checks: []store.Check{{Key: key, Version: session.Version}}, Deletes: []string{key}}
	for _, r := range rows {
		var row ledger.Row
		if json.Unmarshal(r.Val, &row) != nil {
			continue
		}
		remaining, changed := ledger.Reclaim(row, ledger.Holder(session.ID))
		if !changed {
			continue
		}
		t.Checks = append(t.Checks, store.Check{Key: r.Key, Version: r.Version})
		if err := t.Set(r.Key, remaining); err != nil {
			return err
		}
	}
	_, err = a.store.Write(ctx, t)
	return err
}
