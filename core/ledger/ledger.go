// Package ledger divides bounded amounts (a target's slots, a team's limit)
// among holders through rows that are changed by conditional writes. The sum
// of all parts of a row never exceeds its total, and a holder uses no more
// than its part, so the total holds at any instant without a message per use.
package ledger

import (
	"sort"
)

// Holder names who holds a part of a row: a cell or a gate's session.
type Holder string

// Row is the stored form of one divided amount.
type Row struct {
	// Total bounds the sum of Parts; it may be below it after a limit has
	// been lowered, until the holders have given back.
	Total int64
	Parts map[Holder]int64
	// Wants is the amount each holder would use now; zero wants are absent.
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

func (r Row) free() int64 {
	sum := int64(0)
	for _, n := range r.Parts {
		sum += n
	}
	return r.Total - sum
}

// fair returns the holder's max-min fair part given all wants.
func (r Row) fair(h Holder) int64 {
	type want struct {
		holder Holder
		amount int64
	}
	wants := make([]want, 0, len(r.Wants))
	for holder, n := range r.Wants {
		wants = append(wants, want{holder, n})
	}
	sort.Slice(wants, func(i, j int) bool {
		if wants[i].amount != wants[j].amount {
			return wants[i].amount < wants[j].amount
		}
		return wants[i].holder < wants[j].holder
	})
	left := r.Total
	for i, w := range wants {
		n := int64(len(wants) - i)
		part := min(w.amount, (left+n-1)/n)
		if w.holder == h {
			return part
		}
		left -= part
	}
	return 0
}

func (r Row) contended() bool {
	sum := int64(0)
	for _, n := range r.Wants {
		sum += n
	}
	return sum > r.Total
}

type entry struct {
	row Row
	// version is that of the row last seen; 0 means not in the store.
	version uint64
	total   int64
	// held is the part that the store is known to grant. It is lowered before
	// a write that gives back and raised only after a write is confirmed.
	held int64
	used int64
	want int64
	// broken is set while the stored row does not parse; nothing of it is held.
	broken bool
	// slack is an unused amount kept at hand while nobody else wants it.
	slack int64
}

// Change is one conditional write of a row.
type Change struct {
	Name string
	// Version is what the row must still have.
	Version uint64
	Row     Row
}

// Ledger is one holder's view of all rows that it takes part in.
type Ledger struct {
	holder  Holder
	entries map[string]*entry
	// busy is set while a write is in flight; there is at most one.
	busy bool
}

// New returns an empty book of one holder.
func New(h Holder) *Ledger { return &Ledger{holder: h, entries: map[string]*entry{}} }

// Holder returns the name under which the book holds its parts.
func (b *Ledger) Holder() Holder { return b.holder }

func (b *Ledger) at(name string) *entry {
	e, ok := b.entries[name]
	if !ok {
		e = &entry{}
		b.entries[name] = e
	}
	return e
}

// Declare sets a row's total and the slack that this holder keeps.
func (b *Ledger) Declare(name string, total, slack int64) {
	e := b.at(name)
	e.total = total
	e.slack = slack
}

// ZeroTotals sets the total of every row that keep refuses to zero.
func (b *Ledger) ZeroTotals(keep func(name string) bool) {
	for name, e := range b.entries {
		if !keep(name) {
			e.total, e.slack = 0, 0
		}
	}
}

// Available returns how much of a row may still be used.
func (b *Ledger) Available(name string) int64 {
	e, ok := b.entries[name]
	if !ok {
		return 0
	}
	return min(e.held, e.total) - e.used
}

// Excess returns how much of its use the holder must end because a total has
// been lowered below the sum of the parts.
func (b *Ledger) Excess(name string) int64 {
	e, ok := b.entries[name]
	if !ok || e.version == 0 {
		return 0
	}
	row := e.row.Clone()
	row.Total = e.total
	if row.free() >= 0 {
		return 0
	}
	setPart(row.Wants, b.holder, max(e.want, e.used))
	return max(0, e.used-row.fair(b.holder))
}

// Held returns this holder's part of a row.
func (b *Ledger) Held(name string) int64 {
	if e, ok := b.entries[name]; ok {
		return e.held
	}
	return 0
}

// Used returns how much of a row this holder uses.
func (b *Ledger) Used(name string) int64 {
	if e, ok := b.entries[name]; ok {
		return e.used
	}
	return 0
}

// Use takes n of a row; n may be negative to return it. The caller has asked
// Free before, except for use that it found already running.
func (b *Ledger) Use(name string, n int64) { b.at(name).used += n }

// SetDemand sets what the holder could use of a row now, the used part included.
func (b *Ledger) SetDemand(name string, n int64) { b.at(name).want = n }

// NeedsMore reports whether the holder wants more of some row than it has.
func (b *Ledger) NeedsMore() bool {
	for _, e := range b.entries {
		if e.want > e.held && e.held < e.total {
			return true
		}
	}
	return false
}

// Total returns the sum that all holders have of a row, as last read.
func (b *Ledger) Total(name string) int64 {
	e, ok := b.entries[name]
	if !ok {
		return 0
	}
	return e.row.Total - e.row.free()
}

// Observe takes in a row as read from the store. While a write is in flight, what
// was read may be older than the write, so it is passed over.
func (b *Ledger) Observe(name string, version uint64, row Row) {
	e := b.at(name)
	if b.busy || version < e.version {
		return
	}
	e.row, e.version, e.broken = row, version, false
	e.held = row.Parts[b.holder]
}

// MarkMalformed takes in a row that does not parse. It must not keep the others from
// being written, so it is left alone until somebody has mended it.
func (b *Ledger) MarkMalformed(name string) {
	e := b.at(name)
	e.broken, e.held = true, 0
}

// Plan returns the writes that bring the parts closer to what is wanted, and
// marks the book busy if there are any. Parts to be given back stop being
// usable at once.
func (b *Ledger) Plan() []Change {
	if b.busy {
		return nil
	}
	var out []Change
	for name, e := range b.entries {
		row, changed := b.plan(e)
		if !changed || e.broken {
			continue
		}
		e.held = min(e.held, row.Parts[b.holder])
		out = append(out, Change{Name: name, Version: e.version, Row: row})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	b.busy = len(out) > 0
	return out
}

func (b *Ledger) plan(e *entry) (Row, bool) {
	row := e.row.Clone()
	row.Total = e.total
	want := max(e.want, e.used)
	if e.total == 0 {
		want = e.used
	}
	setPart(row.Wants, b.holder, want)
	goal := b.goal(e, row, want)
	setPart(row.Parts, b.holder, goal)
	starved := goal < want && e.row.Wants[b.holder] != want
	changed := goal != e.held || row.Total != e.row.Total || starved ||
		wantMoved(e.row.Wants[b.holder], want, row.contended())
	return row, changed
}

// goal returns the part that the holder should have now.
func (b *Ledger) goal(e *entry, row Row, want int64) int64 {
	others := len(row.Wants)
	if _, ok := row.Wants[b.holder]; ok {
		others--
	}
	free := row.free()
	if !row.contended() && free >= 0 {
		goal := want
		if others == 0 || free > 0 {
			goal = max(want, min(e.held, want+e.slack), min(e.slack, e.held+free))
		}
		return max(e.used, min(goal, e.held+free))
	}
	fair := row.fair(b.holder)
	if free < 0 {
		// The total was lowered: give back down to what is in use.
		return max(e.used, min(e.held, fair))
	}
	return max(e.used, min(fair, e.held+free))
}

// wantMoved reports whether a new want is worth a write of its own: only the
// holders of a contended row need each other's wants.
func wantMoved(old, now int64, contended bool) bool {
	if old == now {
		return false
	}
	if (old == 0) != (now == 0) {
		return contended
	}
	return contended && (now > old+old/4 || now < old-old/4)
}

func setPart(m map[Holder]int64, h Holder, n int64) {
	if n == 0 {
		delete(m, h)
		return
	}
	m[h] = n
}

// Applied ends a write. When ok is false, the store has refused it or the
// outcome is not known; the rows must be read again before the next plan.
func (b *Ledger) Applied(changes []Change, versions []uint64, ok bool) {
	b.busy = false
	if !ok {
		return
	}
	for i, c := range changes {
		e := b.at(c.Name)
		e.row, e.version = c.Row, versions[i]
		e.held = c.Row.Parts[b.holder]
	}
}

// Reclaim returns a row without the parts of a holder that surely uses none
// of them any more, and whether it had any.
func Reclaim(row Row, h Holder) (Row, bool) {
	_, part := row.Parts[h]
	_, want := row.Wants[h]
	if !part && !want {
		return row, false
	}
	c := row.Clone()
	delete(c.Parts, h)
	delete(c.Wants, h)
	return c, true
}

// Rename carries use over to a new holder name after a process has rejoined.
func (b *Ledger) Rename(h Holder) {
	b.holder = h
	b.busy = false
	for _, e := range b.entries {
		e.held = 0
		e.version = 0
	}
}

// Names returns the names of all rows, sorted.
func (b *Ledger) Names() []string {
	out := make([]string, 0, len(b.entries))
	for name := range b.entries {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
