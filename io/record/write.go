package record

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"chicoryturn/core"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/io/table"
)

const (
	// maxTxnEntries bounds the rows that one transaction checks, writes and deletes.
	maxTxnEntries = 100
	// maxTxnBytes bounds the size of one transaction. The platform's limit is 1 MB.
	maxTxnBytes = 900_000
	// entryBytes is the size of an entry on the wire without its name and its value.
	entryBytes = 100
)

// OwnerWrite is a write of an owner.
type OwnerWrite struct {
	Record elect.Record
	// Version is the version of the ownership record that Record replaces.
	Version uint64
	// Progress holds changes of the jobs' progress. A change that holds nothing but pages of
	// failed runs leaves the rest as it is stored.
	Progress []jobs.Progress
	// Deletes are the jobs whose progress rows are deleted.
	Deletes []core.JobID
	// Roster is written if it is not nil.
	Roster []fleet.RosterEntry
}

// Write stores a write of an owner on the condition that the ownership record has not
// changed since w.Version. A write that is too large for one transaction takes several
// in turn; each replaces the ownership record, and after an error some of them may
// have taken effect. After a RowSizeError nothing has been sent.
func (s *Store) Write(ctx context.Context, w OwnerWrite) (table.WriteResult, error) {
	rows := map[table.Key]any{}
	var deletes []table.Key
	for _, p := range w.Progress {
		deletes = append(deletes, addProgressRows(rows, p)...)
	}
	for _, id := range w.Deletes {
		deletes = append(deletes, progressKey(id))
	}
	pager, changed := s.divideRoster(w)
	for i, workers := range changed {
		rows[rosterKey(i)] = rosterPage{pager.pages, workers}
	}
	owner, err := encode(ownerKey(), w.Record)
	if err != nil {
		return table.WriteResult{}, err
	}
	txns, err := divide(owner, rows, deletes)
	if err != nil {
		return table.WriteResult{}, err
	}
	result := table.WriteResult{Version: w.Version}
	for i, t := range txns {
		t.Checks = []table.Check{{Key: ownerKey(), Version: result.Version}}
		if result, err = s.client.Write(ctx, t); err != nil {
			if i > 0 && Refused(err) {
				// An earlier transaction has replaced the ownership record.
				err = &table.UnansweredError{Err: err}
			}
			return table.WriteResult{}, err
		}
	}
	pager.confirm(changed)
	return result, nil
}

// divideRoster returns the rows to write for the roster of a write, none if it holds no
// roster. Only one write of an owner is in flight at a time.
func (s *Store) divideRoster(w OwnerWrite) (*pager, map[int][]fleet.RosterEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.Roster == nil {
		return s.pager, nil
	}
	// An owner loads the stored roster after its claim and before it writes one.
	if s.pager == nil || s.pager.epoch != w.Record.Epoch {
		s.pager = newPager(w.Record.Epoch, s.loadedRoster)
	}
	return s.pager, s.pager.divide(w.Roster)
}

// divide returns the transactions of a write, each with the ownership record and within
// the platform's limits.
func divide(owner table.Put, rows map[table.Key]any, deletes []table.Key) ([]table.Txn, error) {
	txn := table.Txn{Puts: []table.Put{owner}}
	// The condition on the ownership record is an entry, too.
	entries, bytes := 2, entrySize(owner)
	var out []table.Txn
	next := func(size int) {
		if entries++; entries > maxTxnEntries || bytes+size > maxTxnBytes {
			out = append(out, txn)
			txn, entries, bytes = table.Txn{Puts: []table.Put{owner}}, 3, entrySize(owner)
		}
		bytes += size
	}
	for _, k := range slices.SortedFunc(maps.Keys(rows), compareKeys) {
		p, err := encode(k, rows[k])
		if err != nil {
			return nil, err
		}
		if len(p.Val) > maxRowBytes {
			return nil, &RowSizeError{Job: jobOfProgress(k), Name: k.Table + "/" + k.Name, Bytes: len(p.Val)}
		}
		next(entrySize(p))
		txn.Puts = append(txn.Puts, p)
	}
	for _, k := range deletes {
		next(entrySize(table.Put{Key: k}))
		txn.Deletes = append(txn.Deletes, k)
	}
	return append(out, txn), nil
}

func compareKeys(a, b table.Key) int {
	return cmp.Or(cmp.Compare(a.Table, b.Table), cmp.Compare(a.Name, b.Name))
}

// entrySize returns the size of an entry on the wire, where values are in base64.
func entrySize(p table.Put) int {
	return entryBytes + len(p.Table) + len(p.Part) + len(p.Name) + (len(p.Val)+2)/3*4
}
