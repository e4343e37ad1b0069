package fleet

import (
	"time"

	"chicoryturn/core"
)

// shareBurst is for how long a team may send faster than its share before its
// jobs come behind all others.
const shareBurst = 2 * time.Second

// teamShare measures what a team sends against the jobs a second that its weight
// entitles it to when the fleet is full.
type teamShare struct {
	// tokens are the jobs that the team may still send within its share.
	tokens     float64
	refilledAt time.Time
}

// exceedsShare takes in one job and reports whether it exceeds the team's share.
func (b *Scheduler) exceedsShare(id core.Team, at time.Time) bool {
	t := b.policy.Teams[id]
	if t == nil || t.Weight <= 0 {
		return false
	}
	most := t.Weight * shareBurst.Seconds()
	s := b.shares[id]
	if s == nil {
		s = &teamShare{tokens: most, refilledAt: at}
		b.shares[id] = s
	}
	if at.After(s.refilledAt) {
		s.tokens = min(most, s.tokens+t.Weight*at.Sub(s.refilledAt).Seconds())
		s.refilledAt = at
	}
	if s.tokens < 1 {
		return true
	}
	s.tokens--
	return false
}
