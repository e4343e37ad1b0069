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
	list struct {
		list store.List
		err  error
	}
	bookRead struct {
		shelf *shelf
		rows  []store.Row
		err   error
	}
	bookWritten struct {
		shelf   *shelf
		changes []ledger.Change
		version uint64
		err     error
	}
	reclaimed struct{}
)

// Message implements loop.Message.
func (list) Message() {}

// Message implements loop.Message.
func (bookRead) Message() {}

// Message implements loop.Message.
func (bookWritten) Message() {}

// Message implements loop.Message.
func (reclaimed) Message() {}

// readList reads the list of VMs.
func (a *Agent) readList(now time.Time) {
	if a.listing || now.Before(a.nextList) {
		return
	}
	a.listing = true
	a.nextList = now.Add(listEvery)
	since := a.listVer
	a.loop.Go(func(ctx context.Context) loop.Message {
		l, err := a.store.VMs(ctx, since)
		return list{l, err}
	})
}

func (a *Agent) list(now time.Time, m list) {
	a.listing = false
	a.warn("reading the list of VMs", m.err)
	if m.err != nil || m.list.Same || m.list.Version < a.listVer {
		return
	}
	a.listVer = m.list.Version
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
			a.warn("parsing the list of VMs", err)
			continue
		}
		delete(old, vm.Name)
		a.vms = append(a.vms, vm)
	}
	for name := range old {
		a.Member.VMGone(now, name)
	}
	a.listed = true
	a.host.VMsChanged(now, a.vms)
}

// readBook reads a book's rows; the changes that it plans follow the reading.
func (a *Agent) readBook(now time.Time, s *shelf) {
	hurry := now.After(s.read.Add(starvedEvery)) && s.book.NeedsMore()
	if s.busy || (now.Before(s.next) && !hurry) {
		return
	}
	s.busy = true
	s.read = now
	s.next = now.Add(bookEvery)
	a.loop.Go(func(ctx context.Context) loop.Message {
		m := bookRead{shelf: s}
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

func (a *Agent) bookRead(now time.Time, m bookRead) {
	s := m.shelf
	s.busy = false
	a.warn("reading limits", m.err)
	if m.err != nil {
		return
	}
	for _, r := range m.rows {
		name := strings.TrimPrefix(r.Key, limitPrefix)
		var row ledger.Row
		if err := json.Unmarshal(r.Val, &row); err != nil {
			a.warn("parsing the limit "+name, &store.FormatError{Key: r.Key, Err: err})
			s.book.MarkMalformed(name)
			continue
		}
		s.book.Observe(name, r.Version, row)
	}
	a.host.BookRead(now)
	a.writeBook(s)
}

// writeBook writes the changes that a book plans on what it has just read.
func (a *Agent) writeBook(s *shelf) {
	changes := s.book.Plan()
	if len(changes) == 0 {
		return
	}
	s.busy = true
	a.loop.Go(func(ctx context.Context) loop.Message {
		var t store.Txn
		for _, c := range changes {
			key := limitPrefix + c.Name
			t.Checks = append(t.Checks, store.Check{Key: key, Version: c.Version})
			if err := t.Set(key, c.Row); err != nil {
				return bookWritten{s, changes, 0, err}
			}
		}
		v, err := a.store.Write(ctx, t)
		return bookWritten{s, changes, v, err}
	})
}

func (a *Agent) bookWritten(m bookWritten) {
	s := m.shelf
	s.busy = false
	versions := make([]uint64, len(m.changes))
	for i := range versions {
		versions[i] = m.version
	}
	s.book.Applied(m.changes, versions, m.err == nil)
	var conflict *store.ConflictError
	if errors.As(m.err, &conflict) {
		s.next = time.Time{}
		return
	}
	a.warn("writing limits", m.err)
}

// reclaim frees the parts of sessions that are surely dead once the longest
// request that they may have sent has surely ended, then deletes their rows.
func (a *Agent) reclaim(now time.Time) {
	if a.reclaiming || now.Before(a.nextReclaim) || a.Member.State() != "live" {
		return
	}
	a.nextReclaim = now.Add(reclaimEvery)
	dead := a.Member.DeadFor(now, a.longestRun())
	if len(dead) == 0 {
		return
	}
	a.reclaiming = true
	a.loop.Go(func(ctx context.Context) loop.Message {
		for _, d := range dead {
			if err := a.reclaimOne(ctx, d); err != nil {
				break
			}
		}
		return reclaimed{}
	})
}

func (a *Agent) longestRun() time.Duration {
	longest := time.Duration(0)
	for _, q := range a.Conf.Rules().Queues {
		longest = max(longest, q.Run)
	}
	return longest
}

func (a *Agent) reclaimOne(ctx context.Context, d member.DeleteSession) error {
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
