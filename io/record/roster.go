package record

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/io/table"
)

const (
	// rosterName is the prefix of the names of the roster's rows. Each row holds up
	// to rosterPageSize workers, and fewer if their texts are long.
	rosterName     = "roster"
	rosterPageSize = 64
	// entryRunsBytes bounds what the tasks that an entry names while its worker is silent take,
	// rosterRowBytes is what a row takes beside its entries.
	entryRunsBytes = 600
	rosterRowBytes = 64
)

func rosterKey(page int) table.Key {
	return table.Key{Table: fleetTable, Part: fleetPart, Name: fmt.Sprintf("%s/%04d", rosterName, page)}
}

// rosterPage is one row of the roster.
type rosterPage struct {
	// Pages is the number of rows of the roster. Rows beyond it belong to an older,
	// longer roster.
	Pages   int
	Workers []fleet.RosterEntry `json:"Hosts"`
}

// pager divides the roster of one owner into rows. A worker stays in its row, so that
// a change rewrites the rows of the workers concerned only, and a write of which only
// a part takes effect removes no other worker.
type pager struct {
	epoch core.Epoch
	// pageOf holds the row of each worker.
	pageOf map[core.WorkerID]int
	// stored holds the rows as this owner has written them; a row that may hold
	// something else is not in it.
	stored map[int][]fleet.RosterEntry
	pages  int
}

// newPager returns a pager for the owner of an epoch. The workers of the rows that are
// in the store stay in these.
func newPager(epoch core.Epoch, rows [][]fleet.RosterEntry) *pager {
	p := &pager{epoch: epoch, pageOf: map[core.WorkerID]int{}, stored: map[int][]fleet.RosterEntry{}, pages: len(rows)}
	for i, row := range rows {
		for _, w := range row {
			p.pageOf[w.ID()] = i
		}
	}
	return p
}

// divide returns the rows that must be written to store a roster.
func (p *pager) divide(roster []fleet.RosterEntry) map[int][]fleet.RosterEntry {
	rows := make([][]fleet.RosterEntry, max(p.pages, 1))
	listed := make(core.Set[core.WorkerID], len(roster))
	var added []fleet.RosterEntry
	for _, w := range roster {
		listed.Add(w.ID())
		if i, ok := p.pageOf[w.ID()]; ok {
			rows[i] = append(rows[i], w)
		} else {
			added = append(added, w)
		}
	}
	page, bytes := 0, rosterBytes(rows[0]...)
	for _, w := range added {
		size := rosterBytes(w) - rosterRowBytes
		for len(rows[page]) >= rosterPageSize || len(rows[page]) > 0 && bytes+size > maxRowBytes {
			if page++; page == len(rows) {
				rows = append(rows, nil)
			}
			bytes = rosterBytes(rows[page]...)
		}
		rows[page] = append(rows[page], w)
		bytes += size
		p.pageOf[w.ID()] = page
	}
	for id := range p.pageOf {
		if !listed.Has(id) {
			delete(p.pageOf, id)
		}
	}
	changed := map[int][]fleet.RosterEntry{}
	for i, row := range rows {
		// The first row holds the number of rows.
		grown := i == 0 && len(rows) != p.pages
		if old, ok := p.stored[i]; !ok || grown || !slices.EqualFunc(old, row, sameEntry) {
			changed[i] = row
			delete(p.stored, i)
		}
	}
	p.pages = len(rows)
	return changed
}

// rosterBytes returns what a row with the given entries takes at most, also once they name tasks.
func rosterBytes(entries ...fleet.RosterEntry) int {
	n := rosterRowBytes
	for _, e := range entries {
		e.Runs = nil
		// What cannot be encoded is found when the row is written.
		text, _ := json.Marshal(e)
		n += len(text) + entryRunsBytes
	}
	return n
}

// sameEntry reports whether two entries of the roster tell a later owner the same.
func sameEntry(a, b fleet.RosterEntry) bool {
	return a.ID() == b.ID() && a.Addr == b.Addr && a.Incarnation.Equal(b.Incarnation) && a.Since == b.Since && a.Silent == b.Silent && slices.Equal(a.Runs, b.Runs)
}

// confirm records that rows have been stored.
func (p *pager) confirm(rows map[int][]fleet.RosterEntry) {
	for i, row := range rows {
		p.stored[i] = row
	}
}

// roster reads the rows of the roster. Their range ends at "0", the character after the
// "/" in their names. A row that cannot be decoded is empty and adds to the errors in
// damaged.
func roster(ctx context.Context, client reader) (rows [][]fleet.RosterEntry, damaged []error, err error) {
	pages := 0
	_, err = scan(ctx, client, table.Range{Table: fleetTable, Part: fleetPart, From: rosterName, To: rosterName + "0"}, func(row table.Row) {
		var page rosterPage
		if err := decode(row, &page); err != nil {
			damaged = append(damaged, err)
			// If this is the first row, all rows count.
			page = rosterPage{Pages: math.MaxInt}
		}
		if len(rows) == 0 {
			pages = page.Pages
		}
		if len(rows) < pages {
			rows = append(rows, page.Workers)
		}
	})
	return rows, damaged, err
}
