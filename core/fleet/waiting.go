package fleet

import (
	"time"

	"chicoryturn/core/rank"
)

// waitingInterval is the time between two counts of the waiting phases.
const waitingInterval = time.Second

// waiting is the last count of the phases that wait.
type waiting struct {
	counts    [rank.Classes]int
	countedAt time.Time
}

// Waiting returns how many open phases with waiting tasks there are of each class, counted at
// most a second ago.
func (s *Scheduler) Waiting() [rank.Classes]int {
	if s.now.Sub(s.waiting.countedAt) < waitingInterval {
		return s.waiting.counts
	}
	s.waiting = waiting{countedAt: s.now}
	for i := range s.open.phases {
		if p := s.open.phases[i].phase; p.tasksWaiting > 0 {
			s.waiting.counts[s.claim(p).Class()]++
		}
	}
	return s.waiting.counts
}
