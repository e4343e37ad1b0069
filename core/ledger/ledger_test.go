package ledger_test

import (
	"testing"

	"pgregory.net/rapid"

	"chicoryturn/core/ledger"
)

type store struct {
	row     ledger.Row
	version uint64
}

// write applies a change if its version still holds.
func (s *store) write(c ledger.Change) bool {
	if c.Version != s.version {
		return false
	}
	s.row, s.version = c.Row, s.version+1
	return true
}

// TestParts lets holders read, plan, lose replies and use what they hold in
// any order: the use of all never exceeds the total.
func TestParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 20
		s := &store{row: ledger.Row{}}
		books := []*ledger.Ledger{ledger.New("a"), ledger.New("b"), ledger.New("c")}
		for _, b := range books {
			b.Declare("r", total, int64(rapid.IntRange(0, 6).Draw(t, "slack")))
		}
		flights := map[int][]ledger.Change{}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, len(books)-1).Draw(t, "holder")
			b := books[i]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				b.Observe("r", s.version, s.row)
			case 1:
				if c := b.Plan(); len(c) > 0 {
					flights[i] = c
				}
			case 2:
				f := flights[i]
				if f == nil {
					continue
				}
				delete(flights, i)
				ok := s.write(f[0])
				lost := rapid.Bool().Draw(t, "lost")
				b.Applied(f, []uint64{s.version}, ok && !lost)
			case 3:
				b.SetDemand("r", int64(rapid.IntRange(0, 30).Draw(t, "want")))
			case 4:
				if b.Available("r") > 0 {
					b.Use("r", 1)
				}
			case 5:
				if b.Used("r") > 0 {
					b.Use("r", -1)
				}
			}
			used, parts := int64(0), int64(0)
			for _, b := range books {
				used += b.Used("r")
			}
			for _, n := range s.row.Parts {
				parts += n
			}
			if used > total || parts > total {
				t.Fatalf("used %d, parts %d of %d", used, parts, total)
			}
		}
	})
}

// TestShift shows that an unused part moves to a holder that wants it.
func TestShift(t *testing.T) {
	s := &store{row: ledger.Row{}}
	a, b := ledger.New("a"), ledger.New("b")
	for _, book := range []*ledger.Ledger{a, b} {
		book.Declare("r", 8, 4)
	}
	round := func(book *ledger.Ledger) {
		book.Observe("r", s.version, s.row)
		if c := book.Plan(); len(c) > 0 {
			ok := s.write(c[0])
			book.Applied(c, []uint64{s.version}, ok)
		}
	}
	a.SetDemand("r", 8)
	round(a)
	if a.Held("r") != 8 {
		t.Fatalf("a alone holds %d of 8", a.Held("r"))
	}
	a.SetDemand("r", 0)
	b.SetDemand("r", 6)
	for range 6 {
		round(b)
		round(a)
	}
	if b.Held("r") < 6 {
		t.Fatalf("b wants 6 and holds %d", b.Held("r"))
	}
}
