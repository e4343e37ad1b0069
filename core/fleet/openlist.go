package fleet

import (
	"slices"
	"time"
)

// openPhase is an open phase with what a pass needs in order to leave it out. A pass reads all of
// them, so that they are small and stand side by side in memory.
type openPhase struct {
	phase *phase
	// group is the phase's group, nil if no policy of its queue is known. It holds while
	// generation of openList is that of the groups.
	group *group
	// lookAt is when the phase must be looked at next though there is no room for it, adviceAt
	// when it must be for advice, both as times since the start of the scheduler.
	lookAt, adviceAt time.Duration
}

// openList is a set of open phases in no order.
type openList struct {
	phases     []openPhase
	generation uint64
}

// add adds a phase that is not in the list.
func (l *openList) add(p *phase) {
	l.phases = append(l.phases, openPhase{phase: p, group: p.group()})
	p.listed = len(l.phases)
}

// remove removes the phase if it is in the list.
func (l *openList) remove(p *phase) {
	if p.listed == 0 {
		return
	}
	last := len(l.phases) - 1
	moved := l.phases[last]
	l.phases[p.listed-1], moved.phase.listed = moved, p.listed
	l.phases[last] = openPhase{}
	l.phases = l.phases[:last]
	p.listed = 0
}

// updateGroups finds the groups of all phases again if they have changed.
func (l *openList) updateGroups(generation uint64) {
	if l.generation == generation {
		return
	}
	l.generation = generation
	for i := range l.phases {
		l.phases[i].group = l.phases[i].phase.group()
	}
}

// sinceStart returns a time as one since the start of the scheduler.
func (s *Scheduler) sinceStart(t time.Time) time.Duration { return t.Sub(s.startedAt) }

// nextLook returns when the phase must be looked at next though there is no room for it: its
// timeToEnd is to be computed again, or it is to be logged that it waits. While none of its
// tasks waits that is at once, since they may wait again at any time.
func (s *Scheduler) nextLook(p *phase) time.Duration {
	if p.tasksWaiting == 0 {
		return s.sinceStart(s.now)
	}
	logAt := max(s.sinceStart(p.openedAt)+waitLogDelay, s.sinceStart(p.waitLoggedAt)+waitLogInterval)
	return min(logAt, s.sinceStart(p.timeToEndAt)+timeToEndTTL)
}

// addTicketed adds the phases that may start on the workers that their tickets name.
func (s *Scheduler) addTicketed() {
	s.rooms.ticketed = slices.DeleteFunc(s.rooms.ticketed, func(p *phase) bool {
		if p.listed == 0 || !s.now.Add(ticketSlack).Before(p.advice.ticketsUntil) {
			p.isTicketed = false
			return true
		}
		// One of which a log line is due has been added already.
		if p.tasksWaiting > 0 && !p.waitLogDue() && p.mayFit() {
			s.placing.add(p.group(), s.rank(p))
		}
		return false
	})
}
