// Package ledger divides bounded amounts (a target's slots, a team's limit)
// among holders through stored rows that are changed by conditional writes. The
// sum of all parts of a row never exceeds its total, and a holder uses no more
// than its part. The total is therefore respected at any instant, without a
// message for each use.
package ledger

import (
	"sort"
)

// Holder identifies the holder of a part of a row: a cell or a gate's session.
type Holder string

// Row is the stored record of one divided amount.
type Row struct {
	// Total bounds the sum of Parts. After a limit has been lowered, the sum may
	// exceed it until the holders have returned the excess.
	Total int64
	// Parts holds the amount that each holder may use; zero parts are absent.
	Parts map[Holder]int64
	// Wants holds the demand of each holder; zero demands are absent.
	Wants map[Holder]int64
}

// Clone returns a deep copy.
func (r Row) Clone() Row {
	c := Row{Total: r.Total, Parts: map[Holder]int64{}, Wants: map[Holder]int64{}}
	for h, n := range r.Parts {
		c.Parts[h] = n
	}
	for h, n := range r.Wants {
		c.Wants[h] = n
	}
	return c
}

// unallocated returns the part of the total that no holder has. It is negative
// while the parts exceed a lowered total.
func (r Row) unallocated() int64 {
	sum := int64(0)
	for _, n := range r.Parts {
		sum += n
	}
	return r.Total - sum
}

// fairPart returns the holder's part under max-min fairness, given all demands.
func (r Row) fairPart(h Holder) int64 {
	type demand struct {
		holder Holder
		amount int64
	}
	demands := make([]demand, 0, len(r.Wants))
	for holder, n := range r.Wants {
		demands = append(demands, demand{holder, n})
	}
	sort.Slice(demands, func(i, j int) bool {
		if demands[i].amount != demands[j].amount {
			return demands[i].amount < demands[j].amount
		}
		return demands[i].holder < demands[j].holder
	})
	left := r.Total
	for i, d := range demands {
		n := int64(len(demands) - i)
		part := min(d.amount, (left+n-1)/n)
		if d.holder == h {
			return part
		}
		left -= part
	}
	return 0
}

// contended reports whether the demands of all holders exceed the total.
func (r Row) contended() bool {
	sum := int64(0)
	for _, n := range r.Wants {
		sum += n
	}
	return sum > r.Total
}

// entry is this holder's state of one row.
type entry struct {
	row Row
	// version is the version of row; 0 means that the row is not in the store.
	version uint64
	// total is the total declared by this holder.
	total int64
	// held is the part that the store is known to grant. It is lowered before
	// a write that returns a part and raised only after a write is confirmed.
	held   int64
	used   int64
	demand int64
	// malformed is set while the stored row does not parse; held is then zero.
	malformed bool
	// slack is the unused amount that the holder keeps while the row is not
	// contended.
	slack int64
}

// Change is one conditional write of a row.
type Change struct {
	Name string
	// Version is the version that the stored row must still have.
	Version uint64
	Row     Row
}

// Ledger is one holder's view of all rows of which it may hold parts.
type Ledger struct {
	holder  Holder
	entries map[string]*entry
	// writeInFlight is set between Plan and Applied; at most one write is in
	// flight.
	writeInFlight bool
}

// New returns an empty ledger of one holder.
func New(h Holder) *Ledger { return &Ledger{holder: h, entries: map[string]*entry{}} }

// Holder returns the holder whose parts the ledger manages.
func (l *Ledger) Holder() Holder { return l.holder }

// entry returns the entry of a row, which it adds if it is missing.
func (l *Ledger) entry(name string) *entry {
	e, ok := l.entries[name]
	if !ok {
		e = &entry{}
		l.entries[name] = e
	}
	return e
}

// Declare sets a row's total and the slack that this holder keeps.
func (l *Ledger) Declare(name string, total, slack int64) {
	e := l.entry(name)
	e.total = total
	e.slack = slack
}

// ZeroTotals sets the total and slack of every row for which keep returns false
// to zero, so that the holder returns its parts of them.
func (l *Ledger) ZeroTotals(keep func(name string) bool) {
	for name, e := range l.entries {
		if !keep(name) {
			e.total, e.slack = 0, 0
		}
	}
}

// Available returns how much more of a row the holder may use now.
func (l *Ledger) Available(name string) int64 {
	e, ok := l.entries[name]
	if !ok {
		return 0
	}
	return min(e.held, e.total) - e.used
}

// Excess returns how much use of a row the holder must end because the total has
// been lowered below the sum of the parts.
func (l *Ledger) Excess(name string) int64 {
	e, ok := l.entries[name]
	if !ok || e.version == 0 {
		return 0
	}
	row := e.row.Clone()
	row.Total = e.total
	if row.unallocated() >= 0 {
		return 0
	}
	setAmount(row.Wants, l.holder, max(e.demand, e.used))
	return max(0, e.used-row.fairPart(l.holder))
}

// Held returns this holder's part of a row.
func (l *Ledger) Held(name string) int64 {
	if e, ok := l.entries[name]; ok {
		return e.held
	}
	return 0
}

// Used returns how much of a row this holder uses.
func (l *Ledger) Used(name string) int64 {
	if e, ok := l.entries[name]; ok {
		return e.used
	}
	return 0
}

// Use adds n to the holder's use of a row; a negative n ends use. The caller must
// check Available first, except to count work that is already running.
func (l *Ledger) Use(name string, n int64) { l.entry(name).used += n }

// SetDemand sets the holder's demand: how much of a row it could use now, including
// what it already uses.
func (l *Ledger) SetDemand(name string, n int64) { l.entry(name).demand = n }

// NeedsMore reports whether the demand for any row exceeds the part held, and the
// total allows a larger part.
func (l *Ledger) NeedsMore() bool {
	for _, e := range l.entries {
		if e.demand > e.held && e.held < e.total {
			return true
		}
	}
	return false
}

// Allocated returns the sum of all holders' parts of a row, as last read.
func (l *Ledger) Allocated(name string) int64 {
	e, ok := l.entries[name]
	if !ok {
		return 0
	}
	return e.row.Total - e.row.unallocated()
}

// Observe records a row as read from the store. It ignores rows read while a
// write is in flight, since they may be older than the write.
func (l *Ledger) Observe(name string, version uint64, row Row) {
	e := l.entry(name)
	if l.writeInFlight || version < e.version {
		return
	}
	e.row, e.version, e.malformed = row, version, false
	e.held = row.Parts[l.holder]
}

// MarkMalformed records that a stored row does not parse. The ledger neither uses
// nor writes the row until it parses again, so that the malformed row does not
// block the writes of other rows.
func (l *Ledger) MarkMalformed(name string) {
	e := l.entry(name)
	e.malformed, e.held = true, 0
}

// Plan returns the writes that bring the parts closer to the demand. If there are
// any, the caller must perform them and report the result to Applied; until then
// Plan returns nothing. Parts to be returned stop being usable at once.
func (l *Ledger) Plan() []Change {
	if l.writeInFlight {
		return nil
	}
	var out []Change
	for name, e := range l.entries {
		row, changed := l.planRow(e)
		if !changed || e.malformed {
			continue
		}
		e.held = min(e.held, row.Parts[l.holder])
		out = append(out, Change{Name: name, Version: e.version, Row: row})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	l.writeInFlight = len(out) > 0
	return out
}

// planRow returns the row that should be stored, and whether it is worth a write.
func (l *Ledger) planRow(e *entry) (Row, bool) {
	row := e.row.Clone()
	row.Total = e.total
	demand := max(e.demand, e.used)
	if e.total == 0 {
		demand = e.used
	}
	setAmount(row.Wants, l.holder, demand)
	part := l.desiredPart(e, row, demand)
	setAmount(row.Parts, l.holder, part)
	unmetDemandChanged := part < demand && e.row.Wants[l.holder] != demand
	changed := part != e.held || row.Total != e.row.Total || unmetDemandChanged ||
		demandNeedsWrite(e.row.Wants[l.holder], demand, row.contended())
	return row, changed
}

// desiredPart returns the part that the holder should have now: in a contended row
// its fair part, otherwise its demand plus at most its slack.
func (l *Ledger) desiredPart(e *entry, row Row, demand int64) int64 {
	others := len(row.Wants)
	if _, ok := row.Wants[l.holder]; ok {
		others--
	}
	free := row.unallocated()
	if !row.contended() && free >= 0 {
		part := demand
		if others == 0 || free > 0 {
			part = max(demand, min(e.held, demand+e.slack), min(e.slack, e.held+free))
		}
		return max(e.used, min(part, e.held+free))
	}
	fair := row.fairPart(l.holder)
	if free < 0 {
		// The total was lowered: return what is above the fair part and unused.
		return max(e.used, min(e.held, fair))
	}
	return max(e.used, min(fair, e.held+free))
}

// demandNeedsWrite reports whether a changed demand alone is worth a write. Only
// the holders of a contended row need to know each other's demands, and they need
// not know of changes of up to a quarter.
func demandNeedsWrite(stored, demand int64, contended bool) bool {
	if stored == demand {
		return false
	}
	if (stored == 0) != (demand == 0) {
		return contended
	}
	return contended && (demand > stored+stored/4 || demand < stored-stored/4)
}

// setAmount sets a holder's amount; zero amounts are deleted.
func setAmount(m map[Holder]int64, h Holder, n int64) {
	if n == 0 {
		delete(m, h)
		return
	}
	m[h] = n
}

// Applied ends the write of the changes that Plan returned; versions are the new
// versions of the rows. When ok is false, the store has refused the write or its
// outcome is unknown, and the caller must read the rows again before the next Plan.
func (l *Ledger) Applied(changes []Change, versions []uint64, ok bool) {
	l.writeInFlight = false
	if !ok {
		return
	}
	for i, c := range changes {
		e := l.entry(c.Name)
		e.row, e.version = c.Row, versions[i]
		e.held = c.Row.Parts[l.holder]
	}
}

// Reclaim returns a row without the part and the demand of a holder that no
// longer uses anything, and whether the row had any.
func Reclaim(row Row, h Holder) (Row, bool) {
	_, hasPart := row.Parts[h]
	_, hasWant := row.Wants[h]
	if !hasPart && !hasWant {
		return row, false
	}
	c := row.Clone()
	delete(c.Parts, h)
	delete(c.Wants, h)
	return c, true
}

// Rename gives the ledger a new holder after its process has rejoined. Use stays
// counted; the parts must be acquired again under the new name.
func (l *Ledger) Rename(h Holder) {
	l.holder = h
	l.writeInFlight = false
	for _, e := range l.entries {
		e.held = 0
		e.version = 0
	}
}

// Names returns the names of all rows, sorted.
func (l *Ledger) Names() []string {
	out := make([]string, 0, len(l.entries))
	for name := range l.entries {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
