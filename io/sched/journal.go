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

// journalRow is the stored form of a batch of journal entries.
type journalRow struct {
	Epoch   core.Epoch
	Entries []cell.Entry
}

// loadCell reads a claimed cell's snapshot and the journal rows after it.
// Rows before the snapshot are not applied; the next snapshot deletes them.
func (s *Sched) loadCell(c member.Claim) {
	s.nextLoad[c.Cell] = time.Now().Add(loadTimeout)
	s.loop.Go(func(ctx context.Context) loop.Message {
		m := loadResult{claim: c, nextRow: c.Log}
		if c.Snap != "" {
			data, err := s.store.Object(ctx, c.Snap)
			if err != nil {
				m.err = err
				return m
			}
			var snap cell.Snapshot
			if err := json.Unmarshal(data, &snap); err != nil {
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

// handleLoad starts a cell from its snapshot and journal, if this process still
// has the claim and knows the list of VMs and the rules.
func (s *Sched) handleLoad(now time.Time, m loadResult) {
	id := m.claim.Cell
	s.nextLoad[id] = now.Add(retryDelay)
	if m.err != nil {
		s.log.WithError(m.err).Errorf("cell %s could not be loaded; retrying", id)
		return
	}
	if !s.Agent.VMsRead() || s.Agent.Config.Version() == 0 {
		return
	}
	owned, loading, _ := s.Agent.Member.Owned()
	if !containsClaim(loading, m.claim) || containsClaim(owned, m.claim) {
		return
	}
	cellLedger := ledger.New(ledger.Holder(id.String()))
	oc := &ownedCell{
		claim: m.claim, ledger: cellLedger, nextRow: m.nextRow, journalKeys: m.keys, snapshot: m.claim.Snap,
		submitters: map[core.JobID][]chan<- submitReply{},
		cell:       cell.New(id, m.claim.Epoch, cellLedger, cell.WithWorkerTTL(s.workerTTL), cell.WithPolicy(s.policy)),
	}
	oc.cell.LoadJournal(now, m.entries)
	s.cells[id] = oc
	s.applyRules(oc)
	s.applyVMs(now, oc)
	s.Agent.AddLedger(cellLedger, "cores/")
	s.Agent.Member.CellLoaded(id)
	s.log.Infof("cell %s loaded: epoch %d, %d journal entries", id, m.claim.Epoch, len(m.entries))
}

// containsClaim reports whether claims contain a claim of the same cell and epoch.
func containsClaim(claims []member.Claim, c member.Claim) bool {
	for _, other := range claims {
		if other.Cell == c.Cell && other.Epoch == c.Epoch {
			return true
		}
	}
	return false
}

// writeJournal stores the entries added since the last write. At most one write is
// in flight and the next one takes all entries added meanwhile, so the number of
// writes depends on time and not on the number of tasks.
func (s *Sched) writeJournal(now time.Time, oc *ownedCell) {
	if oc.writing || now.Before(oc.retryAt) {
		return
	}
	if oc.rowsSinceSnapshot >= rowsPerSnapshot && !oc.outcomeUnknown {
		s.writeSnapshot(oc)
		return
	}
	var batch []cell.Entry
	if oc.outcomeUnknown {
		batch = oc.cell.InFlight()
	} else if batch = oc.cell.Batch(); batch == nil {
		return
	}
	oc.writing = true
	id, epoch, key := oc.claim.Cell, oc.claim.Epoch, journalKey(oc.claim.Cell, oc.nextRow)
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

// handleJournal handles the result of a journal write.
func (s *Sched) handleJournal(now time.Time, m journalResult) {
	oc := s.cells[m.cell]
	if oc == nil || oc.claim.Epoch != m.epoch {
		return
	}
	oc.writing = false
	var conflict *store.ConflictError
	switch {
	case m.err == nil, errors.As(m.err, &conflict) && isOwnRow(conflict, m):
		oc.outcomeUnknown = false
		oc.nextRow++
		oc.rowsSinceSnapshot++
		oc.journalKeys = append(oc.journalKeys, m.key)
		s.acknowledge(oc, oc.cell.BatchStored(now))
	case conflict != nil:
		s.log.Warnf("cell %s: journal write refused, the cell is owned by a newer epoch", m.cell)
		s.Agent.Member.CellLost(m.cell)
		s.syncOwnership(now)
	default:
		s.log.WithError(m.err).Debugf("cell %s: outcome of the journal write is unknown; retrying", m.cell)
		oc.outcomeUnknown = true
		oc.retryAt = now.Add(retryDelay)
	}
}

// isOwnRow reports whether a write conflicts only with the row that the same owner
// wrote in an earlier attempt whose reply was lost.
func isOwnRow(c *store.ConflictError, m journalResult) bool {
	if len(c.Rows) != 1 || c.Rows[0].Key != m.key {
		return false
	}
	var row journalRow
	return json.Unmarshal(c.Rows[0].Val, &row) == nil && row.Epoch == m.epoch
}

// writeSnapshot stores the cell's whole recorded state and deletes the journal rows
// and the snapshot that it replaces.
func (s *Sched) writeSnapshot(oc *ownedCell) {
	oc.writing = true
	id, claim := oc.claim.Cell, oc.claim
	claim.Snap = fmt.Sprintf("snap/%s/%d-%d", id, claim.Epoch, oc.nextRow)
	claim.Log = oc.nextRow
	version := s.Agent.Member.ClaimVersion(id)
	data, err := json.Marshal(oc.cell.Snapshot())
	keys, oldSnapshot := oc.journalKeys, oc.snapshot
	s.loop.Go(func(ctx context.Context) loop.Message {
		m := snapshotResult{cell: id, epoch: claim.Epoch, claim: claim, err: err}
		if m.err != nil {
			return m
		}
		if m.err = s.store.PutObject(ctx, claim.Snap, data); m.err != nil {
			return m
		}
		txn := store.Txn{Checks: []store.Check{{Key: agent.CellKey(id), Version: version}}, Deletes: keys}
		if m.err = txn.Set(agent.CellKey(id), claim); m.err != nil {
			return m
		}
		if m.version, m.err = s.store.Write(ctx, txn); m.err == nil && oldSnapshot != "" {
			// A snapshot that is not deleted only takes up storage.
			_ = s.store.DeleteObject(ctx, oldSnapshot)
		}
		return m
	})
}

// handleSnapshot handles the result of a snapshot. A failed one is tried again
// after half of the usual number of rows.
func (s *Sched) handleSnapshot(now time.Time, m snapshotResult) {
	oc := s.cells[m.cell]
	if oc == nil || oc.claim.Epoch != m.epoch {
		return
	}
	oc.writing = false
	var conflict *store.ConflictError
	switch {
	case m.err == nil:
		oc.claim = m.claim
		oc.journalKeys, oc.snapshot, oc.rowsSinceSnapshot = nil, m.claim.Snap, 0
		s.Agent.Member.SetClaim(m.claim, m.version)
	case errors.As(m.err, &conflict):
		// Either the reply to an earlier write of this snapshot was lost, or a newer
		// epoch owns the cell. Giving the cell up and loading it again handles both.
		s.log.Warnf("cell %s: snapshot write refused; giving the cell up", m.cell)
		s.Agent.Member.CellLost(m.cell)
		s.syncOwnership(now)
	default:
		oc.rowsSinceSnapshot = rowsPerSnapshot / 2
	}
}

// releaseCell writes the pending entries, then releases the claim.
func (s *Sched) releaseCell(now time.Time, oc *ownedCell) {
	if oc.writing || now.Before(oc.retryAt) {
		return
	}
	if oc.cell.Pending() > 0 {
		s.writeJournal(now, oc)
		return
	}
	oc.retryAt = now.Add(retryDelay)
	s.Agent.ReleaseCell(now, oc.claim)
}

// acknowledge replies to the submitters of jobs that are now stored.
func (s *Sched) acknowledge(oc *ownedCell, jobs []core.JobID) {
	for _, id := range jobs {
		for _, c := range oc.submitters[id] {
			c <- submitReply{}
		}
		delete(oc.submitters, id)
	}
}
