package budget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/budget"
)

const (
	mebibyte = 1 << 20
	teams    = 20
	own      = mebibyte / 2 / teams
)

// fill lets a team use as much as it may in steps.
func fill(b *budget.Budget, team core.Team) {
	for b.Admits(team, 64) {
		b.Charge(team, 64)
	}
}

// TestNoTeamShutsOutOthers guards against a team that fills the memory for a year while the
// others are refused: however many teams have filled the budget before, each finds its own
// part, and the sum is bounded.
func TestNoTeamShutsOutOthers(t *testing.T) {
	is := is.New(t)
	b := budget.New(mebibyte, teams)
	for n := range teams {
		team := core.Team(fmt.Sprint(n))
		fill(b, team)
		is.True(b.Used(team) >= own-64)
	}
	is.True(b.Total() <= mebibyte)
}

// TestOneTeamMayUseMost checks that a team alone uses its own part and half of what is
// shared, and that what it frees is free for all.
func TestOneTeamMayUseMost(t *testing.T) {
	is := is.New(t)
	const most = own + mebibyte/4
	b := budget.New(mebibyte, teams)
	fill(b, "a")
	is.True(b.Used("a") > most-128)
	is.True(b.Used("a") <= most)
	b.Credit("a", b.Used("a"))
	is.Equal(b.Total(), int64(0))
	fill(b, "b")
	is.True(b.Used("b") > most-128)
}

// TestResize checks that a smaller limit admits nothing until enough is credited.
func TestResize(t *testing.T) {
	is := is.New(t)
	b := budget.New(mebibyte, teams)
	fill(b, "a")
	used := b.Used("a")
	b.Resize(mebibyte/4, teams)
	is.True(!b.Admits("a", 64))
	is.True(b.Admits("b", 64)) // its own part
	b.Credit("a", used)
	is.True(b.Admits("a", 64))
	b.Resize(mebibyte, teams)
	fill(b, "a")
	is.Equal(b.Used("a"), used)
}

// TestZeroLimit checks that a budget without a limit bounds nothing.
func TestZeroLimit(t *testing.T) {
	is := is.New(t)
	b := budget.New(0, 0)
	b.Charge("a", 1<<40)
	is.True(b.Admits("a", 1<<40))
	is.True(b.Summary(time.Now()) == nil)
	_, ok := budget.NewDoor(0).Admit("a", 1<<40)
	is.True(ok)
}

// TestRetryIsTrue checks the time that a refused client is told: after it, at the rate at
// which its team's jobs end, there is room; a team whose jobs don't end is told the longest.
func TestRetryIsTrue(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := budget.New(mebibyte, teams)
	fill(b, "a")
	fill(b, "b")
	b.Summary(now)
	// Jobs of team a end at 4 KiB a second; others take their place.
	for range 60 {
		b.Credit("a", 4096)
		b.Charge("a", 4096)
		now = now.Add(time.Second)
		b.Summary(now)
	}
	const size = 16 << 10
	s := b.Summary(now)
	retry := s.Retry("a", size, 0, 0)
	is.True(retry > budget.MinRetry)
	is.True(retry < time.Minute)
	is.Equal(s.Retry("b", size, 0, 0), budget.MaxRetry)
	is.Equal(s.Retry("c", size, 0, 0), time.Duration(0))
	b.Credit("a", int64((retry+time.Second).Seconds()*4096))
	is.True(b.Admits("a", size))
}

// TestDoorCountsItsOwn checks that a VM counts what it has admitted since the owner's last
// summaries, and how much it admits before it sees a new one.
func TestDoorCountsItsOwn(t *testing.T) {
	is := is.New(t)
	const most = mebibyte / 2 / 8
	d := budget.NewDoor(mebibyte)
	admit := func() (n int64) {
		for {
			retry, ok := d.Admit("a", 1024)
			if !ok {
				is.Equal(retry, budget.MinRetry)
				return n
			}
			n += 1024
		}
	}
	is.Equal(admit(), int64(most))
	// Another team has a part of its own.
	_, other := d.Admit("b", 1024)
	is.True(other)
	// The next summary may lack all of it, the one after that does not.
	quiet := &budget.Summary{Rest: mebibyte / 2, Own: own}
	d.Observe(quiet)
	is.Equal(admit(), int64(0))
	d.Observe(quiet)
	is.Equal(admit(), int64(most))
	// A full team is refused, another one is not.
	full := &budget.Summary{Rest: mebibyte / 2, Own: own, Shared: mebibyte / 4, Teams: map[core.Team]budget.TeamUse{"a": {Bytes: own + mebibyte/4}}}
	d.Observe(full)
	d.Observe(full)
	retry, ok := d.Admit("a", 1024)
	is.True(!ok)
	is.Equal(retry, budget.MaxRetry)
	_, ok = d.Admit("b", 1024)
	is.True(ok)
}

// TestQuietSummaryNamesNoTeams checks that the summary does not change with each job while
// little is in use.
func TestQuietSummaryNamesNoTeams(t *testing.T) {
	is := is.New(t)
	b := budget.New(mebibyte, teams)
	b.Charge("a", own+mebibyte/10)
	is.Equal(b.Summary(time.Now()), &budget.Summary{Rest: mebibyte / 2, Own: own})
	b.Charge("a", mebibyte/10)
	is.Equal(len(b.Summary(time.Now()).Teams), 1)
}
