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

func journalPrefix(id core.CellID) string { return "log/" + id.String() + "/" }

func journalKey(id core.CellID, n uint64) string { return fmt.Sprintf("%s%012d", journalPrefix(id), n) }

// journalRow is the stored form of one batch of entries.
type journalRow struct {
	Epoch   core.Epoch
	Entries []cell.Entry
}

// readJournal reads a cell's snapshot and the journal rows after it.
func (s *Sched) readJournal(c member.Claim) {
	s.nextLoad[c.Cell] = time.Now().Add(loadTimeout)
	s.loop.Go(func(ctx context.Context) loop.Message {
		m := loadResult{claim: c, nextRow: c.Log}
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
		rows, err := s.store.Scan(ctx, journalPrefix(c.Cell), "")
		if err != nil {
			m.err = err
			return m
		}
		for _, r := range rows {
			m.keys = append(m.keys, r.Key)
			if r.Key < journalKey(c.Cell, c.Log) {
				continue
			}
			var row journalRow
			if err := json.Unmarshal(r.Val, &row); err != nil {
				m.err = &store.FormatError{Key: r.Key, Err: err}
				return m
			}
			m.entries = append(m.entries, row.Entries...)
			m.nextRow++
		}
		return m
	})
}

func (s *Sched) handleLoad(now time.Time, m loadResult) {
	id := m.claim.Cell
	s.nextLoad[id] = now.Add(retryDelay)
	if m.err != nil {
		s.log.WithError(m.err).Errorf("cell %s cannot be loaded; it is tried again", id)
		return
	}
	if !s.Agent.Listed() || s.Agent.Conf.Version() == 0 {
		return
	}
	owned, loading, _ := s.Agent.Member.Owned()
	if !containsClaim(loading, m.claim) || containsClaim(owned, m.claim) {
		return
	}
	book := ledger.New(ledger.Holder(id.String()))
	t := &ownedCell{
		claim: m.claim, ledger: book, nextRow: m.nextRow, journalKeys: m.keys, snapshot: m.claim.Snap,
		submitters: map[core.JobID][]chan<- submitReply{},
		cell:       cell.New(id, m.claim.Epoch, book, cell.WithWorkerTTL(s.workerTTL), cell.WithPolicy(s.policy)),
	}
	t.cell.Load(now, m.entries)
	s.cells[id] = t
	s.applyRules(t)
	s.applyVMs(now, t)
	s.Agent.AddLedger(book, "cores/")
	s.Agent.Member.Loaded(id)
	s.log.Infof("cell %s loaded: epoch %d, %d journal entries", id, m.claim.Epoch, len(m.entries))
}

func containsClaim(claims []member.Claim, c member.Claim) bool {
	for _, o := range claims {
		if o.Cell == c.Cell && o.Epoch == c.Epoch {
			return true
		}
	}
	return false
}

// writeJournal writes the entries that have gathered since the last write. Writes
// are grouped by waiting for the one before, so their number grows with time
// and not with the tasks.
func (s *Sched) writeJournal(now time.Time, t *ownedCell) {
	if t.writing || now.Before(t.retryAt) {
		return
	}
	if t.rowsSinceSnapshot >= rowsPerSnapshot && !t.outcomeUnknown {
		s.writeSnapshot(t)
		return
	}
	var batch []cell.Entry
	if t.outcomeUnknown {
		batch = t.cell.InFlight()
	} else if batch = t.cell.Batch(); batch == nil {
		return
	}
	t.writing = true
	id, epoch, key := t.claim.Cell, t.claim.Epoch, journalKey(t.claim.Cell, t.nextRow)
	version := s.Agent.Member.ClaimVersion(id)
	s.loop.Go(func(ctx context.Context) loop.Message {
		txn := store.Txn{Checks: []store.Check{{Key: agent.CellKey(id), Version: version}, {Key: key}}}
		if err := txn.Set(key, journalRow{epoch, batch}); err != nil {
			return journalResult{id, epoch, key, err}
		}
		_, err := s.store.Write(ctx, txn)
		return journalResult{id, epoch, key, err}
	})
}

func (s *Sched) handleJournal(now time.Time, m journalResult) {
	t := s.cells[m.cell]
	if t == nil || t.claim.Epoch != m.epoch {
		return
	}
	t.writing = false
	var conflict *store.ConflictError
	switch {
	case m.err == nil, errors.As(m.err, &conflict) && isOwnRow(conflict, m):
		t.outcomeUnknown = false
		t.nextRow++
		t.rowsSinceSnapshot++
		t.journalKeys = append(t.journalKeys, m.key)
		s.acknowledge(t, t.cell.BatchStored(now))
	case conflict != nil:
		s.log.Warnf("cell %s: the journal has a newer owner", m.cell)
		s.Agent.Member.Lost(m.cell)
		s.syncOwnership(now)
	default:
		s.log.WithError(m.err).Debugf("cell %s: the journal was not written", m.cell)
		t.outcomeUnknown = true
		t.retryAt = now.Add(retryDelay)
	}
}

// isOwnRow reports whether a conflict is only about this owner's own row, which
// an earlier try without a reply has written.
func isOwnRow(c *store.ConflictError, m journalResult) bool {
	if len(c.Rows) != 1 || c.Rows[0].Key != m.key {
		return false
	}
	var row journalRow
	return json.Unmarshal(c.Rows[0].Val, &row) == nil && row.Epoch == m.epoch
}

// writeSnapshot writes the cell's whole recorded state and deletes the journal before
// it.
func (s *Sched) writeSnapshot(t *ownedCell) {
	t.writing = true
	id, claim := t.claim.Cell, t.claim
	claim.Snap = fmt.Sprintf("snap/%s/%d-%d", id, claim.Epoch, t.nextRow)
	claim.Log = t.nextRow
	version := s.Agent.Member.ClaimVersion(id)
	text, err := json.Marshal(t.cell.Snapshot())
	logs, old := t.journalKeys, t.snapshot
	s.loop.Go(func(ctx context.Context) loop.Message {
		m := snapshotResult{cell: id, epoch: claim.Epoch, claim: claim, err: err}
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

func (s *Sched) handleSnapshot(now time.Time, m snapshotResult) {
	t := s.cells[m.cell]
	if t == nil || t.claim.Epoch != m.epoch {
		return
	}
	t.writing = false
	var conflict *store.ConflictError
	switch {
	case m.err == nil:
		t.claim = m.claim
		t.journalKeys, t.snapshot, t.rowsSinceSnapshot = nil, m.claim.Snap, 0
		s.Agent.Member.SetClaim(m.claim, m.version)
	case errors.As(m.err, &conflict):
		// Either the reply to this owner's own snapshot was lost, or there is a
		// newer owner. Loading again settles both.
		s.log.Warnf("cell %s: the snapshot was refused", m.cell)
		s.Agent.Member.Lost(m.cell)
		s.syncOwnership(now)
	default:
		t.rowsSinceSnapshot = rowsPerSnapshot / 2
	}
}

// releaseCell writes what is pending, then hands the cell over.
func (s *Sched) releaseCell(now time.Time, t *ownedCell) {
	if t.writing || now.Before(t.retryAt) {
		return
	}
	if t.cell.Pending() > 0 {
		s.writeJournal(now, t)
		return
	}
	t.retryAt = now.Add(retryDelay)
	s.Agent.ReleaseCell(now, t.claim)
}

func (s *Sched) acknowledge(t *ownedCell, ids []core.JobID) {
	for _, id := range ids {
		for _, c := range t.submitters[id] {
			c <- submitReply{}
		}
		delete(t.submitters, id)
	}
}
