package fleet

import (
	"time"

	"chicoryturn/core"
)

// A team may submit at once as many jobs as its share allows in shareBurst;
// further jobs rank behind those of their class and priority.
const shareBurst = 2 * time.Second

// teamShare is a token bucket that measures the jobs that a team submits
// against the jobs per second that its weight entitles it to when the fleet is
// full.
type teamShare struct {
	// tokens counts the jobs that the team may still submit within its share,
	// as of refilledAt.
	tokens     float64
	refilledAt time.Time
}

// exceedsShare counts one job and reports whether it exceeds the team's share.
func (s *Scheduler) exceedsShare(id core.Team, at time.Time) bool {
	team := s.policy.Teams[id]
	if team == nil || team.Weight <= 0 {
		return false
	}
	burst := team.Weight * shareBurst.Seconds()
	bucket := s.shares[id]
	if bucket == nil {
		bucket = &teamShare{tokens: burst, refilledAt: at}
		s.shares[id] = bucket
	}
	if at.After(bucket.refilledAt) {
		bucket.tokens = min(burst, bucket.tokens+team.Weight*at.Sub(bucket.refilledAt).Seconds())
		bucket.refilledAt = at
	}
	if bucket.tokens < 1 {
		return true
	}
	bucket.tokens--
	return false
}
