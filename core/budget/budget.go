// Package budget divides an amount among teams, mostly of memory, so that one team that uses
// much of it leaves room for the others.
package budget

import (
	"time"

	"chicoryturn/core"
	"chicoryturn/core/load"
)

const (
	// MinRetry is the shortest time after which a refused client should retry.
	MinRetry = load.MinRetry
	// MaxRetry is the longest such time.
	MaxRetry = load.MaxRetry
	// ownDivisor is the part of a budget, as its divisor, that is divided among the teams
	// in equal parts. The rest is shared.
	ownDivisor = 2
	// quietDivisor is the part of the shared rest, as its divisor, below which a Summary
	// names no teams.
	quietDivisor = 4
	// maxTeams bounds the teams of a Summary, which shares a row of 64 KiB.
	maxTeams = 256
	// rateWindow is the time over which the rate of a team's credits is averaged.
	rateWindow = 10 * time.Second
)

// Budget counts the bytes that teams use. Each team has a part of its own, and may use as
// much of the shared rest as others have left: one team alone half of it, and each of n teams
// that fill it at the same time the (n+1)th part.
type Budget struct {
	// limit is the number of bytes; 0 bounds nothing. own is the part of each team.
	limit, own int64
	// total are the bytes in use, shared those of them that exceed the teams' own parts.
	total, shared int64
	teams         map[core.Team]*use
}

// use is what one team uses of a budget.
type use struct {
	bytes int64
	// rate is the average of the bytes credited each second, as of ratedAt; credited are
	// those since then.
	rate     float64
	ratedAt  time.Time
	credited int64
}

// New returns a budget of a number of bytes for a number of teams; 0 bytes bound nothing.
func New(limit int64, teams int) *Budget {
	b := &Budget{teams: map[core.Team]*use{}}
	b.Resize(limit, teams)
	return b
}

// Resize changes the number of bytes and of teams. What is in use stays in use.
func (b *Budget) Resize(limit int64, teams int) {
	b.limit, b.own = limit, limit/ownDivisor/int64(max(teams, 1))
	b.shared = 0
	for _, u := range b.teams {
		b.shared += excess(u.bytes, b.own)
	}
}

// Limit returns the number of bytes of the budget, 0 if it bounds nothing.
func (b *Budget) Limit() int64 { return b.limit }

// Total returns the bytes in use.
func (b *Budget) Total() int64 { return b.total }

// Used returns the bytes that a team uses.
func (b *Budget) Used(team core.Team) int64 {
	if u := b.teams[team]; u != nil {
		return u.bytes
	}
	return 0
}

// Charge adds bytes that a team uses.
func (b *Budget) Charge(team core.Team, bytes int64) {
	u := b.teams[team]
	if u == nil {
		u = &use{}
		b.teams[team] = u
	}
	b.shared += excess(u.bytes+bytes, b.own) - excess(u.bytes, b.own)
	u.bytes += bytes
	b.total += bytes
}

// Credit subtracts bytes that a team no longer uses.
func (b *Budget) Credit(team core.Team, bytes int64) {
	b.Charge(team, -bytes)
	b.teams[team].credited += bytes
}

// Admits reports whether a team may use more bytes.
func (b *Budget) Admits(team core.Team, bytes int64) bool {
	return b.limit == 0 || missing(b.limit-b.limit/ownDivisor, b.own, b.shared, b.Used(team), bytes) <= 0
}

// AdmitsOne is Admits, but a team that uses nothing may always use what one thing takes.
func (b *Budget) AdmitsOne(team core.Team, bytes int64) bool {
	return b.Used(team) == 0 || b.Admits(team, bytes)
}

// excess returns by how much a team's use exceeds its own part.
func excess(used, own int64) int64 { return max(used-own, 0) }

// missing returns by how much a team would use too much with more bytes: a team may use its
// own part, and above it as much as all teams leave of the shared rest.
func missing(rest, own, shared, used, bytes int64) int64 {
	above := excess(used+bytes, own)
	if above == 0 {
		return 0
	}
	return above - (rest - shared - (above - excess(used, own)))
}

// Summary is what other VMs know of a budget.
type Summary struct {
	// Rest is the number of bytes that the teams share, Own the part of each team, and
	// Shared are the bytes in use above these parts, or 0 while they are less than a
	// quarter of Rest.
	Rest, Own, Shared int64
	// Teams holds what the teams use. While Shared is 0, it lacks the teams that may use
	// more.
	Teams map[core.Team]TeamUse `json:",omitempty"`
}

// TeamUse is what a team uses of a budget.
type TeamUse struct {
	Bytes int64
	// Rate is the number of bytes a second by which the use has lately been reduced.
	Rate int64 `json:",omitempty"`
}

// Summary returns what other VMs must know, or nil if the budget bounds nothing.
func (b *Budget) Summary(now time.Time) *Summary {
	if b.limit == 0 {
		return nil
	}
	out := &Summary{Rest: b.limit - b.limit/ownDivisor, Own: b.own}
	if b.shared < out.Rest/quietDivisor {
		// Exact figures would change the record with each job.
		return out
	}
	out.Shared = b.shared
	out.Teams = make(map[core.Team]TeamUse, min(len(b.teams), maxTeams))
	for team, u := range b.teams {
		if u.updateRate(now); u.bytes > 0 && len(out.Teams) < maxTeams {
			out.Teams[team] = TeamUse{u.bytes, int64(u.rate)}
		}
	}
	return out
}

// Add adds bytes to the use of a team, but not to what all teams use.
func (s *Summary) Add(team core.Team, bytes int64) {
	use := s.Teams[team]
	use.Bytes += bytes
	if s.Teams == nil {
		s.Teams = map[core.Team]TeamUse{}
	}
	s.Teams[team] = use
}

// updateRate averages the credits since the last call.
func (u *use) updateRate(now time.Time) {
	if u.ratedAt.IsZero() {
		u.ratedAt, u.credited = now, 0
		return
	}
	if elapsed := now.Sub(u.ratedAt); elapsed >= time.Second {
		weight := min(elapsed.Seconds()/rateWindow.Seconds(), 1)
		u.rate += weight * (float64(u.credited)/elapsed.Seconds() - u.rate)
		u.ratedAt, u.credited = now, 0
	}
}

// Retry returns after which time a team may use more bytes: 0 if it may at once. Added
// are bytes that the summary does not contain, by the team and by all.
func (s *Summary) Retry(team core.Team, bytes, addedTeam, addedTotal int64) time.Duration {
	use := s.Teams[team]
	over := missing(s.Rest, s.Own, s.Shared+addedTotal, use.Bytes+addedTeam, bytes)
	switch {
	case over <= 0:
		return 0
	case use.Rate <= 0:
		return MaxRetry
	}
	wait := time.Duration(float64(over) / float64(use.Rate) * float64(time.Second))
	return min(max(wait, MinRetry), MaxRetry)
}
