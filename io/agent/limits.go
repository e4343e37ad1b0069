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

const limitPrefix = "limit/"

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

// readVMs reads the list of VMs.
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

func (a *Agent) handleVMsRead(now time.Time, m vmsReadDone) {
	a.readingVMs = false
	a.logFailureOnce("reading the list of VMs", m.err)
	if m.err != nil || m.list.Same || m.list.Version < a.vmsVersion {
		return
	}
	a.vmsVersion = m.list.Version
	old := core.NewSet[string]()
	for _, vm := range a.vms {
		if vm.Kind == "entry" {
			old.Add(vm.Name)
		}
	}
	a.vms = a.vms[:0:0]
	for _, v := range m.list.VMs {
		vm, err := v.Core()
		if err != nil {
			a.logFailureOnce("parsing the list of VMs", err)
			continue
		}
		delete(old, vm.Name)
		a.vms = append(a.vms, vm)
	}
	for name := range old {
		a.Member.VMGone(now, name)
	}
	a.vmsRead = true
	a.host.VMsChanged(now, a.vms)
}

// readLedger reads a book's rows; the changes that it plans follow the reading.
func (a *Agent) readLedger(now time.Time, s *ledgerSync) {
	hurry := now.After(s.lastRead.Add(minLedgerInterval)) && s.ledger.NeedsMore()
	if s.inFlight || (now.Before(s.nextRead) && !hurry) {
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
	a.host.BookRead(now)
	a.writeLedger(s)
}

// writeLedger writes the changes that a book plans on what it has just read.
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

// reclaim frees the parts of sessions that are surely dead once the longest
// request that they may have sent has surely ended, then deletes their rows.
func (a *Agent) reclaim(now time.Time) {
	if a.reclaiming || now.Before(a.nextReclaim) || a.Member.State() != "live" {
		return
	}
	a.nextReclaim = now.Add(reclaimInterval)
	dead := a.Member.DeadFor(now, a.longestRequestTime())
	if len(dead) == 0 {
		return
	}
	a.reclaiming = true
	a.loop.Go(func(ctx context.Context) loop.Message {
		for _, d := range dead {
			if err := a.reclaimSession(ctx, d); err != nil {
				break
			}
		}
		return reclaimDone{}
	})
}

func (a *Agent) longestRequestTime() time.Duration {
	longest := time.Duration(0)
	for _, q := range a.Conf.Rules().Queues {
		longest = max(longest, q.Run)
	}
	return longest
}

func (a *Agent) reclaimSession(ctx context.Context, d member.DeleteSession) error {
	rows, err := a.store.Scan(ctx, limitPrefix, "")
	if err != nil {
		return err
	}
	key := sessionKey(d.ID)
	t := store.Txn{Checks: []store.Check{{Key: key, Version: d.Version}}, Dels: []string{key}}
	for _, r := range rows {
		var row ledger.Row
		if json.Unmarshal(r.Val, &row) != nil {
			continue
		}
		without, had := ledger.Reclaim(row, ledger.Holder(d.ID))
		if !had {
			continue
		}
		t.Checks = append(t.Checks, store.Check{Key: r.Key, Version: r.Version})
		if err := t.Set(r.Key, without); err != nil {
			return err
		}
	}
	_, err = a.store.Write(ctx, t)
	return err
}
