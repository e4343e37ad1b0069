package fleet

import (
	"time"

	"chicoryturn/core"
)

// shareDepth is for how long a team may send faster than its share before its
// jobs come behind all others.
const shareDepth = 2 * time.Second

// share measures what a team sends against the jobs a second that its weight
// entitles it to when the fleet is full.
type share struct {
	// tokens are the jobs that the team may still send within its share.
	tokens float64
	at     time.Time
}

// beyond takes in one job and reports whether it exceeds the team's share.
func (b *Scheduler) beyond(id core.Team, at time.Time) bool {
	t := b.policy.Teams[id]
	if t == nil || t.Weight <= 0 {
		return false
	}
	most := t.Weight * shareDepth.Seconds()
	s := b.shares[id]
	if s == nil {
		s = &share{tokens: most, at: at}
		b.shares[id] = s
	}
	if at.After(s.at) {
		s.tokens = min(most, s.tokens+t.Weight*at.Sub(s.at).Seconds())
		s.at = at
	}
	if s.tokens < 1 {
		return true
	}
	s.tokens--
	return false
}
