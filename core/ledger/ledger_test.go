package ledger_test

import (
	"testing"

	"pgregory.net/rapid"

	"chicoryturn/core/ledger"
)

// store is the stored state of one row.
type store struct {
	row     ledger.Row
	version uint64
}

// write applies a change if the row still has the change's version.
func (s *store) write(c ledger.Change) bool {
	if c.Version != s.version {
		return false
	}
	s.row, s.version = c.Row, s.version+1
	return true
}

// TestTotalRespected checks that neither the use nor the parts of all holders
// exceed the total when the holders read, plan, write, lose replies, change their
// demand and use what they hold in any order.
func TestTotalRespected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 20
		s := &store{row: ledger.Row{}}
		ledgers := []*ledger.Ledger{ledger.New("a"), ledger.New("b"), ledger.New("c")}
		for _, l := range ledgers {
			l.Declare("r", total, int64(rapid.IntRange(0, 6).Draw(t, "slack")))
		}
		inFlight := map[int][]ledger.Change{}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, len(ledgers)-1).Draw(t, "holder")
			l := ledgers[i]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				l.Observe("r", s.version, s.row)
			case 1:
				if c := l.Plan(); len(c) > 0 {
					inFlight[i] = c
				}
			case 2:
				changes := inFlight[i]
				if changes == nil {
					continue
				}
				delete(inFlight, i)
				ok := s.write(changes[0])
				lost := rapid.Bool().Draw(t, "lost")
				l.Applied(changes, []uint64{s.version}, ok && !lost)
			case 3:
				l.SetDemand("r", int64(rapid.IntRange(0, 30).Draw(t, "want")))
			case 4:
				if l.Available("r") > 0 {
					l.Use("r", 1)
				}
			case 5:
				if l.Used("r") > 0 {
					l.Use("r", -1)
				}
			}
			used, parts := int64(0), int64(0)
			for _, l := range ledgers {
				used += l.Used("r")
			}
			for _, n := range s.row.Parts {
				parts += n
			}
			if used > total || parts > total {
				t.Fatalf("use is %d and the sum of parts %d, want at most %d", used, parts, total)
			}
		}
	})
}

// TestUnusedPartMoves checks that an unused part moves to a holder with demand for it.
func TestUnusedPartMoves(t *testing.T) {
	s := &store{row: ledger.Row{}}
	a, b := ledger.New("a"), ledger.New("b")
	for _, l := range []*ledger.Ledger{a, b} {
		l.Declare("r", 8, 4)
	}
	// round reads the row and writes what the ledger plans.
	round := func(l *ledger.Ledger) {
		l.Observe("r", s.version, s.row)
		if changes := l.Plan(); len(changes) > 0 {
			ok := s.write(changes[0])
			l.Applied(changes, []uint64{s.version}, ok)
		}
	}
	a.SetDemand("r", 8)
	round(a)
	if a.Held("r") != 8 {
		t.Fatalf("a is the only holder and holds %d, want 8", a.Held("r"))
	}
	a.SetDemand("r", 0)
	b.SetDemand("r", 6)
	for range 6 {
		round(b)
		round(a)
	}
	if b.Held("r") < 6 {
		t.Fatalf("b holds %d, want at least its demand of 6", b.Held("r"))
	}
}
