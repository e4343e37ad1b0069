package sched

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/cell"
	"chicoryturn/core/ledger"
	"chicoryturn/core/member"
	"chicoryturn/io/agent"
	"chicoryturn/io/loop"
	"chicoryturn/io/store"
)

func logPrefix(id core.CellID) string { return "log/" + id.String() + "/" }

func logKey(id core.CellID, n uint64) string { return fmt.Sprintf("%s%012d", logPrefix(id), n) }

// logRow is the stored form of one batch of entries.
type logRow struct {
	Epoch   core.Epoch
	Entries []cell.Entry
}

// load reads a cell's snapshot and the journal rows after it.
func (s *Sched) load(c member.Claim) {
	s.loading[c.Cell] = time.Now().Add(loadTimeout)
	s.loop.Go(func(ctx context.Context) loop.Message {
		m := loaded{claim: c, next: c.Log}
		if c.Snap != "" {
			text, err := s.store.Object(ctx, c.Snap)
			if err != nil {
				m.err = err
				return m
			}
			var snap cell.Snapshot
			if err := json.Unmarshal(text, &snap); err != nil {
				m.err = &store.FormatError{Key: c.Snap, Err: err}
				return m
			}
			m.entries = snap.Entries
		}
		rows, err := s.store.Scan(ctx, logPrefix(c.Cell), "")
		if err != nil {
			m.err = err
			return m
		}
		for _, r := range rows {
			m.logs = append(m.logs, r.Key)
			if r.Key < logKey(c.Cell, c.Log) {
				continue
			}
			var row logRow
			if err := json.Unmarshal(r.Val, &row); err != nil {
				m.err = &store.FormatError{Key: r.Key, Err: err}
				return m
			}
			m.entries = append(m.entries, row.Entries...)
			m.next++
		}
		return m
	})
}

func (s *Sched) loaded(now time.Time, m loaded) {
	id := m.claim.Cell
	s.loading[id] = now.Add(recordPause)
	if m.err != nil {
		s.log.WithError(m.err).Errorf("cell %s cannot be loaded; it is tried again", id)
		return
	}
	if !s.Agent.Listed() || s.Agent.Conf.Version() == 0 {
		return
	}
	owned, loading, _ := s.Agent.Member.Owned()
	if !has(loading, m.claim) || has(owned, m.claim) {
		return
	}
	book := ledger.New(ledger.Holder(id.String()))
	t := &tenure{
		claim: m.claim, book: book, next: m.next, oldLogs: m.logs, oldSnap: m.claim.Snap,
		waiting: map[core.JobID][]chan<- submitted{},
		cell:    cell.New(id, m.claim.Epoch, book, cell.WithWorkerTTL(s.workerTTL), cell.WithPolicy(s.policy)),
	}
	t.cell.Load(now, m.entries)
	s.tenures[id] = t
	s.applyRules(t)
	s.applyVMs(now, t)
	s.Agent.AddLedger(book, "cores/")
	s.Agent.Member.Loaded(id)
	s.log.Infof("cell %s loaded: epoch %d, %d journal entries", id, m.claim.Epoch, len(m.entries))
}

func has(claims []member.Claim, c member.Claim) bool {
	for _, o := range claims {
		if o.Cell == c.Cell && o.Epoch == c.Epoch {
			return true
		}
	}
	return false
}

// record writes the entries that have gathered since the last write. Writes
// are grouped by waiting for the one before, so their number grows with time
// and not with the tasks.
func (s *Sched) record(now time.Time, t *tenure) {
	if t.recording || now.Before(t.pauseTill) {
		return
	}
	if t.sinceSnap >= snapEvery && !t.doubt {
		s.snap(t)
		return
	}
	var batch []cell.Entry
	if t.doubt {
		batch = t.cell.InFlight()
	} else if batch = t.cell.Batch(); batch == nil {
		return
	}
	t.recording = true
	id, epoch, key := t.claim.Cell, t.claim.Epoch, logKey(t.claim.Cell, t.next)
	version := s.Agent.Member.ClaimVersion(id)
	s.loop.Go(func(ctx context.Context) loop.Message {
		txn := store.Txn{Checks: []store.Check{{Key: agent.CellKey(id), Version: version}, {Key: key}}}
		if err := txn.Set(key, logRow{epoch, batch}); err != nil {
			return recorded{id, epoch, key, err}
		}
		_, err := s.store.Write(ctx, txn)
		return recorded{id, epoch, key, err}
	})
}

func (s *Sched) recorded(now time.Time, m recorded) {
	t := s.tenures[m.cell]
	if t == nil || t.claim.Epoch != m.epoch {
		return
	}
	t.recording = false
	var conflict *store.ConflictError
	switch {
	case m.err == nil, errors.As(m.err, &conflict) && ownRow(conflict, m):
		t.doubt = false
		t.next++
		t.sinceSnap++
		t.oldLogs = append(t.oldLogs, m.key)
		s.accept(t, t.cell.BatchStored(now))
	case conflict != nil:
		s.log.Warnf("cell %s: the journal has a newer owner", m.cell)
		s.Agent.Member.Lost(m.cell)
		s.follow(now)
	default:
		s.log.WithError(m.err).Debugf("cell %s: the journal was not written", m.cell)
		t.doubt = true
		t.pauseTill = now.Add(recordPause)
	}
}

// ownRow reports whether a conflict is only about this owner's own row, which
// an earlier try without a reply has written.
func ownRow(c *store.ConflictError, m recorded) bool {
	if len(c.Rows) != 1 || c.Rows[0].Key != m.key {
		return false
	}
	var row logRow
	return json.Unmarshal(c.Rows[0].Val, &row) == nil && row.Epoch == m.epoch
}

// snap writes the cell's whole recorded state and deletes the journal before
// it.
func (s *Sched) snap(t *tenure) {
	t.recording = true
	id, claim := t.claim.Cell, t.claim
	claim.Snap = fmt.Sprintf("snap/%s/%d-%d", id, claim.Epoch, t.next)
	claim.Log = t.next
	version := s.Agent.Member.ClaimVersion(id)
	text, err := json.Marshal(t.cell.Snapshot())
	logs, old := t.oldLogs, t.oldSnap
	s.loop.Go(func(ctx context.Context) loop.Message {
		m := snapped{cell: id, epoch: claim.Epoch, claim: claim, err: err}
		if m.err != nil {
			return m
		}
		if m.err = s.store.PutObject(ctx, claim.Snap, text); m.err != nil {
			return m
		}
		txn := store.Txn{Checks: []store.Check{{Key: agent.CellKey(id), Version: version}}, Dels: logs}
		if m.err = txn.Set(agent.CellKey(id), claim); m.err != nil {
			return m
		}
		if m.version, m.err = s.store.Write(ctx, txn); m.err == nil && old != "" {
			// A snapshot left behind costs only room.
			_ = s.store.DeleteObject(ctx, old)
		}
		return m
	})
}

func (s *Sched) snapped(now time.Time, m snapped) {
	t := s.tenures[m.cell]
	if t == nil || t.claim.Epoch != m.epoch {
		return
	}
	t.recording = false
	var conflict *store.ConflictError
	switch {
	case m.err == nil:
		t.claim = m.claim
		t.oldLogs, t.oldSnap, t.sinceSnap = nil, m.claim.Snap, 0
		s.Agent.Member.SetClaim(m.claim, m.version)
	case errors.As(m.err, &conflict):
		// Either the reply to this owner's own snapshot was lost, or there is a
		// newer owner. Loading again settles both.
		s.log.Warnf("cell %s: the snapshot was refused", m.cell)
		s.Agent.Member.Lost(m.cell)
		s.follow(now)
	default:
		t.sinceSnap = snapEvery / 2
	}
}

// release writes what is pending, then hands the cell over.
func (s *Sched) release(now time.Time, t *tenure) {
	if t.recording || now.Before(t.pauseTill) {
		return
	}
	if t.cell.Pending() > 0 {
		s.record(now, t)
		return
	}
	t.pauseTill = now.Add(recordPause)
	s.Agent.ReleaseCell(now, t.claim)
}

func (s *Sched) accept(t *tenure, ids []core.JobID) {
	for _, id := range ids {
		for _, c := range t.waiting[id] {
			c <- submitted{}
		}
		delete(t.waiting, id)
	}
}
