package fleet

import (
	"chicoryturn/core"
	"chicoryturn/core/policy"
)

// This file finds the workers with room for the phases that wait. A pass over the open phases
// places tasks or requests advice, and looks for such workers once for all phases of the same
// need. While it goes on, free room only shrinks.

const (
	// maxSlots bounds the slots that are counted, to exclude an overflow.
	maxSlots = 1 << 30
	// maxIdleGroups and maxIdleLanes are how many groups and lanes without phases are kept at
	// least.
	maxIdleGroups, maxIdleLanes = 256, 256
)

// roomKey is what determines which workers have room for the tasks of a phase, apart from the
// runs of that phase and the advice for it.
type roomKey struct {
	service core.Service
	label   string
	need    core.Resources
}

// room is the workers on which a task of one need fits. It is exact for the need alone: a
// phase may use fewer of them, and fewer slots, but never others.
type room struct {
	key roomKey
	// pass is the pass in which workers was last collected, starts the number of tasks that
	// had been started in it by then.
	pass   uint64
	starts int
	// workers is in order of the names, slots the number of tasks that fit there, at most
	// maxSlots.
	workers []*Worker
	slots   int
}

// groupKey names the open phases that are alike for placement.
type groupKey struct {
	queue *policy.Queue
	team  core.Team
	// limit is that of the team for the phases' jobs, which may differ once the configuration
	// does not name the team.
	limit core.Resources
	label string
	need  core.Resources
}

// group is what the phases of one groupKey share.
type group struct {
	queue *policy.Queue
	room  *room
	// needsAdvice is whether the queue has an advisor, isRouted what Job.isRouted tells of the
	// phases' jobs.
	needsAdvice, isRouted bool
	// overLimit is whether the team may not run one more task, as of the pass limitPass and
	// limitStarts tasks started in it.
	overLimit   bool
	limitPass   uint64
	limitStarts int
}

// serviceRoom is the usable workers of a service in a pass.
type serviceRoom struct {
	workers []*Worker
	// maxFree is the largest free room in each dimension.
	maxFree core.Resources
}

// rooms is the state of one pass.
type rooms struct {
	// pass numbers the passes, starts counts the tasks that have been started in this one.
	pass     uint64
	starts   int
	services map[core.Service]*serviceRoom
	byNeed   map[roomKey]*room
	groups   map[groupKey]*group
	// ticketed holds the phases that have got tickets, until these have expired.
	ticketed []*phase
	// generation is incremented when the groups of all phases must be found again.
	generation uint64
}

func newRooms() rooms {
	return rooms{services: map[core.Service]*serviceRoom{}, byNeed: map[roomKey]*room{}, groups: map[groupKey]*group{}, generation: 1}
}

// forget removes all groups, because the policy has changed or most of them have no phases.
func (m *rooms) forget() {
	m.generation++
	clear(m.byNeed)
	clear(m.groups)
}

// beginPass collects the usable workers.
func (s *Scheduler) beginPass() {
	m := &s.rooms
	m.pass++
	m.starts = 0
	if len(m.groups) > maxIdleGroups+2*len(s.open.phases) {
		m.forget()
	}
	s.open.updateGroups(m.generation)
	for _, r := range m.services {
		r.workers, r.maxFree = r.workers[:0], core.Resources{}
	}
	for _, w := range s.sortedWorkers {
		if !w.usable() {
			continue
		}
		r := m.services[w.info.Service]
		if r == nil {
			r = &serviceRoom{}
			m.services[w.info.Service] = r
		}
		r.workers = append(r.workers, w)
		r.maxFree = r.maxFree.Max(w.free)
	}
}

// group returns the group of the phase, or nil if no policy of its queue is known.
func (p *phase) group() *group {
	m := &p.job.scheduler.rooms
	if p.groupGeneration == m.generation {
		return p.ownGroup
	}
	p.ownGroup, p.groupGeneration = nil, m.generation
	q := p.queue()
	if q == nil {
		return nil
	}
	key := groupKey{q, p.job.Spec.Team, p.job.teamLimit(), p.spec.Label, p.need()}
	g := m.groups[key]
	if g == nil {
		k := roomKey{q.Service, key.label, key.need}
		r := m.byNeed[k]
		if r == nil {
			r = &room{key: k}
			m.byNeed[k] = r
		}
		g = &group{queue: q, room: r}
		_, g.needsAdvice = q.Advisor.Get()
		g.isRouted = p.job.isRouted()
		m.groups[key] = g
	}
	p.ownGroup = g
	return g
}

// roomOf returns the room of a group as of now.
func (m *rooms) roomOf(g *group) *room {
	r := g.room
	if r.pass == m.pass && r.starts == m.starts {
		return r
	}
	candidates := r.workers
	if r.pass != m.pass {
		candidates = nil
		if of := m.services[r.key.service]; of != nil && slotsIn(r.key.need, of.maxFree) > 0 {
			candidates = of.workers
		}
	}
	r.pass, r.starts = m.pass, m.starts
	r.workers, r.slots = r.workers[:0], 0
	for _, w := range candidates {
		if n := r.key.slotsOn(w); n > 0 {
			r.workers = append(r.workers, w)
			r.slots = min(r.slots+min(n, maxSlots), maxSlots)
		}
	}
	return r
}

// slotsOn returns how many tasks of the need fit on a worker, at least: the result is 0 only
// if no phase of that need can use the worker now. Whatever reduces the room of single phases
// on a worker may be ignored here.
func (k roomKey) slotsOn(w *Worker) int {
	if !k.need.FitsIn(w.info.Capacity) || !w.hasLabel(k.label) {
		return 0
	}
	return slotsIn(k.need, w.free)
}

// workersWithRoom returns the workers on which tasks of the phase may fit.
func (p *phase) workersWithRoom() []*Worker {
	g := p.group()
	if g == nil {
		return nil
	}
	return p.job.scheduler.rooms.roomOf(g).workers
}

// hasUsable reports whether any worker of a group's service is usable.
func (m *rooms) hasUsable(g *group) bool {
	of := m.services[g.room.key.service]
	return of != nil && len(of.workers) > 0
}

// atLimit reports whether the team of a group's phases may not run one more task.
func (s *Scheduler) atLimit(g *group, p *phase) bool {
	m := &s.rooms
	if g.limitPass != m.pass || g.limitStarts != m.starts {
		g.limitPass, g.limitStarts = m.pass, m.starts
		g.overLimit = !s.withinLimit(p, p.need(), 1)
	}
	return g.overLimit
}

// hasRoom reports whether the phases of a group may start without advice, as far as the room
// and the team's limit go. P is any of them.
func (s *Scheduler) hasRoom(g *group, p *phase) bool {
	return g != nil && !g.needsAdvice && s.rooms.roomOf(g).slots > 0 && !s.atLimit(g, p)
}

// mayFit reports whether tasks of the phase may start now. If not, a look at all workers
// would find no room for it, or it is blocked for another reason.
func (p *phase) mayFit() bool {
	s, g := p.job.scheduler, p.group()
	if g == nil || !p.startable() {
		return false
	}
	r := s.rooms.roomOf(g)
	if r.slots < p.minStartCount() || s.atLimit(g, p) {
		return false
	}
	if !g.needsAdvice {
		return true
	}
	minExpiry := s.now.Add(ticketSlack)
	if !minExpiry.Before(p.advice.ticketsUntil) {
		return false
	}
	found := false
	p.eachAllowed(r.workers, func(_ *Worker, t ticket) bool {
		found = minExpiry.Before(t.until)
		return !found
	})
	return found
}

// eachAllowed calls yield for each of some workers that the advisor allows, and maybe for
// other allowed workers, until it returns false.
func (p *phase) eachAllowed(among []*Worker, yield func(*Worker, ticket) bool) {
	if len(among) <= len(p.advice.allowed) {
		for _, w := range among {
			if t, ok := p.advice.allowed[w.id]; ok && !yield(w, t) {
				return
			}
		}
		return
	}
	for id, t := range p.advice.allowed {
		if w := p.job.scheduler.workers[id]; w != nil && !yield(w, t) {
			return
		}
	}
}

// oneRack returns the workers of the best rack with room for the whole gang, or
// all workers if no rack has that much.
func oneRack(workers []freeWorker, count int) []freeWorker {
	racks := map[string][]freeWorker{}
	var names []string
	for _, f := range workers {
		rack := f.worker.info.Rack
		if racks[rack] == nil {
			names = append(names, rack)
		}
		racks[rack] = append(racks[rack], f)
	}
	for _, name := range names {
		if slotsOf(racks[name], count) == count {
			return racks[name]
		}
	}
	return workers
}

// slotsOf returns how many tasks fit on the workers, at most count.
func slotsOf(workers []freeWorker, count int) int {
	slots := 0
	for _, f := range workers {
		slots = min(slots+f.slots, count)
	}
	return slots
}
