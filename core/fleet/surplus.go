package fleet

import (
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/rank"
)

// This file divides the room of each service among the teams while it is short. It is worked
// out anew from what is held and waited for, so that a new owner goes on where the last one stopped.

const (
	// surplusInterval is the time between two divisions, and surplusPerPhase what each open phase
	// adds to it, so that they take a bounded part of the processor time.
	surplusInterval = 100 * time.Millisecond
	surplusPerPhase = 50 * time.Microsecond
	// minWeight is the weight of a team without one.
	minWeight = 0.01
)

// teamRoom names the room of a team on the workers of a service.
type teamRoom struct {
	service core.Service
	team    core.Team
}

// updateSurplus sets by how much each open phase exceeds its team's share.
func (s *Scheduler) updateSurplus() {
	if s.now.Sub(s.surplusAt) < surplusInterval+time.Duration(len(s.open.phases))*surplusPerPhase {
		return
	}
	s.surplusAt = s.now
	capacity := map[core.Service]core.Resources{}
	for _, w := range s.sortedWorkers {
		if w.usable() {
			capacity[w.info.Service] = capacity[w.info.Service].Add(w.info.Capacity)
		}
	}
	held, demands := map[teamRoom]float64{}, map[core.Service]map[core.Team]rank.Demand{}
	var waiting []rankedPhase
	for i := range s.open.phases {
		p := s.open.phases[i].phase
		p.surplus = 0
		g := p.group()
		if g == nil {
			continue
		}
		room := teamRoom{g.queue.Service, p.job.Spec.Team}
		part := dominantPart(p.need(), capacity[room.service])
		held[room] += part * float64(p.tasksPlaced)
		if demands[room.service] == nil {
			demands[room.service] = map[core.Team]rank.Demand{}
		}
		d := demands[room.service][room.team]
		d.Weight, d.Room = s.weight(room.team), d.Room+part*float64(p.tasksPlaced+p.tasksWaiting)
		demands[room.service][room.team] = d
		if p.tasksWaiting > 0 {
			waiting = append(waiting, s.rank(p))
		}
	}
	levels := map[core.Service]float64{}
	for service, byTeam := range demands {
		list := make([]rank.Demand, 0, len(byTeam))
		for _, d := range byTeam {
			list = append(list, d)
		}
		levels[service] = rank.Level(list)
	}
	clear(s.surplusOf)
	// A team's share goes to its most urgent work first.
	slices.SortFunc(waiting, func(x, y rankedPhase) int { return x.compare(&y) })
	for _, r := range waiting {
		p := r.phase
		room := teamRoom{p.group().queue.Service, p.job.Spec.Team}
		p.surplus = rank.Surplus(held[room], s.weight(room.team), levels[room.service])
		held[room] += dominantPart(p.need(), capacity[room.service]) * float64(p.tasksWaiting)
		s.surplusOf[room] = rank.Surplus(held[room], s.weight(room.team), levels[room.service])
	}
}

// weight returns the weight of a team.
func (s *Scheduler) weight(team core.Team) float64 {
	if t := s.policy.Teams[team]; t != nil {
		return max(t.Weight, minWeight)
	}
	return minWeight
}

// dominantPart returns the largest part of a capacity that a need takes of any resource.
func dominantPart(need, capacity core.Resources) float64 {
	part := 0.0
	for _, d := range [...][2]int64{{need.Cores, capacity.Cores}, {need.Memory, capacity.Memory}, {need.Accel, capacity.Accel}} {
		if d[0] > 0 && d[1] > 0 {
			part = max(part, float64(d[0])/float64(d[1]))
		}
	}
	return part
}
