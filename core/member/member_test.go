package member_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/member"
)

var dawn = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// sched is a member of a region of several, with the rows that it has read.
type sched struct {
	*member.Member
	is  *is.I
	now time.Time
	// version is that of the newest row of any kind.
	version  uint64
	sessions []core.Row[member.Session]
	claims   map[core.CellID]core.Row[member.Claim]
}

func process(id string) core.Process {
	return core.Process{ID: core.SessionID(id), Role: core.RoleSched, Region: "r", VM: id}
}

// newSched returns a member that has joined and owns all cells.
func newSched(is *is.I, cells int) *sched {
	s := &sched{Member: member.New(process("a"), member.WithCells(cells)), is: is, now: dawn, claims: map[core.CellID]core.Row[member.Claim]{}}
	s.plan()
	s.Renewed(s.now, s.now, s.next())
	s.scan()
	for range 20 {
		s.pass(200 * time.Millisecond)
		for _, w := range s.plan() {
			s.write(w)
		}
		_, loading, _ := s.Owned()
		for _, c := range loading {
			s.Loaded(c.Cell)
		}
		s.scan()
	}
	owned, _, _ := s.Owned()
	is.Equal(len(owned), cells)
	return s
}

func (s *sched) next() uint64 { s.version++; return s.version }

func (s *sched) pass(t time.Duration) { s.now = s.now.Add(t) }

// plan returns the claims that the member writes now; its renewals succeed.
func (s *sched) plan() []member.WriteClaim {
	var out []member.WriteClaim
	for _, a := range s.Plan(s.now) {
		switch a := a.(type) {
		case member.WriteClaim:
			out = append(out, a)
		case member.WriteSession:
			if s.version > 0 {
				s.Renewed(s.now, s.now, s.next())
			}
		}
	}
	return out
}

func (s *sched) write(w member.WriteClaim) {
	v := s.next()
	s.claims[w.Claim.Cell] = core.Row[member.Claim]{Val: w.Claim, Version: v}
	s.Claimed(w.Claim, v, true)
}

// scan has the member read the rows as they are.
func (s *sched) scan() {
	claims := make([]core.Row[member.Claim], 0, len(s.claims))
	for _, c := range s.claims {
		claims = append(claims, c)
	}
	own := core.Row[member.Session]{Val: member.Session{Process: s.Self()}, Version: s.version}
	s.Scanned(s.now, s.now, append([]core.Row[member.Session]{own}, s.sessions...), claims)
}

// TestHandOver has an owner hand a cell to a process that has joined, at any
// time after the last scan: it does not claim the cell back before the other
// has had time to.
func TestHandOver(t *testing.T) {
	for _, cells := range []int{2, 3, 4, 5, 6} {
		is := is.New(t)
		s := newSched(is, cells)
		// The journal of each cell is written after the scan that shows the claim.
		for id, c := range s.claims {
			c.Version = s.next()
			s.claims[id] = c
			s.SetClaim(c.Val, c.Version)
		}
		s.sessions = append(s.sessions, core.Row[member.Session]{Val: member.Session{Process: process("b"), Beat: 1}, Version: s.next()})
		stale := s.claims
		s.claims = map[core.CellID]core.Row[member.Claim]{}
		for id, c := range stale {
			s.claims[id] = core.Row[member.Claim]{Val: c.Val, Version: 1}
		}
		s.scan()
		s.claims = stale
		is.Equal(len(s.plan()), 0)
		_, _, releasing := s.Owned()
		is.True(len(releasing) > 0)
		offered := map[core.CellID]bool{}
		for _, c := range releasing {
			w := s.Release(s.now, c)
			is.Equal(w.Claim.Offer, core.SessionID("b"))
			offered[c.Cell] = true
			v := s.next()
			s.claims[c.Cell] = core.Row[member.Claim]{Val: w.Claim, Version: v}
			s.Released(w.Claim, v)
		}
		for range 5 {
			for _, w := range s.plan() {
				is.True(!offered[w.Claim.Cell]) // the other needs a scan to see the offer
			}
			s.pass(100 * time.Millisecond)
		}
	}
}
