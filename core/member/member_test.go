package member_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/member"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture is a sched of a region, with the stored rows that its scans read.
type fixture struct {
	*member.Member
	is  *is.I
	now time.Time
	// version is the version of the newest row of any kind.
	version  uint64
	sessions []core.Row[member.Session]
	claims   map[core.CellID]core.Row[member.Claim]
}

func process(id string) core.Process {
	return core.Process{ID: core.SessionID(id), Role: core.RoleSched, Region: "r", VM: id}
}

// newFixture returns a sched that has joined and owns all cells.
func newFixture(is *is.I, cells int) *fixture {
	f := &fixture{Member: member.New(process("a"), member.WithCells(cells)), is: is, now: startTime, claims: map[core.CellID]core.Row[member.Claim]{}}
	f.plan()
	f.Renewed(f.now, f.now, f.nextVersion())
	f.scan()
	for range 20 {
		f.advance(200 * time.Millisecond)
		for _, w := range f.plan() {
			f.writeClaim(w)
		}
		_, loading, _ := f.Owned()
		for _, c := range loading {
			f.CellLoaded(c.Cell)
		}
		f.scan()
	}
	owned, _, _ := f.Owned()
	is.Equal(len(owned), cells)
	return f
}

func (f *fixture) nextVersion() uint64 { f.version++; return f.version }

func (f *fixture) advance(t time.Duration) { f.now = f.now.Add(t) }

// plan returns the claims that are due now. Renewals that are due succeed.
func (f *fixture) plan() []member.WriteClaim {
	var out []member.WriteClaim
	for _, a := range f.Plan(f.now) {
		switch a := a.(type) {
		case member.WriteClaim:
			out = append(out, a)
		case member.WriteSession:
			if f.version > 0 {
				f.Renewed(f.now, f.now, f.nextVersion())
			}
		}
	}
	return out
}

// writeClaim stores a claim and reports the write as successful.
func (f *fixture) writeClaim(w member.WriteClaim) {
	v := f.nextVersion()
	f.claims[w.Claim.Cell] = core.Row[member.Claim]{Val: w.Claim, Version: v}
	f.Claimed(w.Claim, v, true)
}

// scan passes the stored rows to the sched as the result of a scan.
func (f *fixture) scan() {
	claims := make([]core.Row[member.Claim], 0, len(f.claims))
	for _, c := range f.claims {
		claims = append(claims, c)
	}
	own := core.Row[member.Session]{Val: member.Session{Process: f.Self()}, Version: f.version}
	f.Scanned(f.now, f.now, append([]core.Row[member.Session]{own}, f.sessions...), claims)
}

// TestHandOver checks that an owner that releases a cell to a newly joined sched
// does not claim the cell back before the other sched had time to claim it, even
// if the owner's last scan returned claim rows older than its own writes.
func TestHandOver(t *testing.T) {
	for _, cells := range []int{2, 3, 4, 5, 6} {
		is := is.New(t)
		f := newFixture(is, cells)
		// The owner rewrites each claim row, as it does after a journal snapshot.
		// No scan has returned these writes yet.
		for id, c := range f.claims {
			c.Version = f.nextVersion()
			f.claims[id] = c
			f.SetClaim(c.Val, c.Version)
		}
		f.sessions = append(f.sessions, core.Row[member.Session]{Val: member.Session{Process: process("b"), Renewals: 1}, Version: f.nextVersion()})
		// A scan returns older versions of the claim rows.
		current := f.claims
		f.claims = map[core.CellID]core.Row[member.Claim]{}
		for id, c := range current {
			f.claims[id] = core.Row[member.Claim]{Val: c.Val, Version: 1}
		}
		f.scan()
		f.claims = current
		is.Equal(len(f.plan()), 0)
		_, _, releasing := f.Owned()
		is.True(len(releasing) > 0)
		offered := map[core.CellID]bool{}
		for _, c := range releasing {
			w := f.Release(f.now, c)
			is.Equal(w.Claim.Offer, core.SessionID("b"))
			offered[c.Cell] = true
			v := f.nextVersion()
			f.claims[c.Cell] = core.Row[member.Claim]{Val: w.Claim, Version: v}
			f.Released(w.Claim, v)
		}
		for range 5 {
			for _, w := range f.plan() {
				is.True(!offered[w.Claim.Cell]) // the other sched sees the offer only after a scan
			}
			f.advance(100 * time.Millisecond)
		}
	}
}
