package budget

import (
	"time"

	"chicoryturn/core"
)

// doorDivisor is the part of the shared bytes, and of each team's own, as its divisor, that one
// VM admits before it has seen another summary.
const doorDivisor = 8

// Door decides on one VM which jobs are admitted. It knows the owner's last summary and what
// the VM itself has admitted since; what other VMs have admitted since then it does not
// know, so that all VMs together may pass the limit, each by an eighth of it.
type Door struct {
	summary *Summary
	// initial is used until there is a summary; nil bounds nothing.
	initial *Summary
	// recent and earlier hold the bytes admitted since the last summary, and between that
	// and the one before: the owner may not have known these yet.
	recent, earlier admitted
}

// admitted counts bytes by team.
type admitted struct {
	total int64
	teams map[core.Team]int64
}

// NewDoor returns a door without a summary; limit is the budget until it sees one, 0 for none.
func NewDoor(limit int64) *Door {
	return &Door{initial: New(limit, 1).Summary(time.Time{}), recent: admitted{teams: map[core.Team]int64{}}}
}

// Observe handles a summary that the owner has written after the last one; nil if that
// owner bounds nothing.
func (d *Door) Observe(s *Summary) {
	d.summary = s
	d.earlier, d.recent = d.recent, admitted{teams: map[core.Team]int64{}}
}

// Admit admits bytes of a team, or returns after which time its client should retry.
func (d *Door) Admit(team core.Team, bytes int64) (retry time.Duration, ok bool) {
	s := d.summary
	if s == nil {
		s = d.initial
	}
	if s != nil {
		added, addedTeam := d.recent.total+d.earlier.total, d.recent.teams[team]+d.earlier.teams[team]
		if added+bytes > s.Rest/doorDivisor && addedTeam+bytes > s.Own/doorDivisor {
			return MinRetry, false
		}
		if retry := s.Retry(team, bytes, addedTeam, added); retry > 0 {
			return retry, false
		}
	}
	d.recent.total += bytes
	d.recent.teams[team] += bytes
	return 0, true
}
