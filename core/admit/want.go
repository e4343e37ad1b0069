package admit

import "chicoryturn/core"

// demand follows how much of an amount has been used lately. It rises at once
// and decays slowly, so that slots do not wander with every request.
type demand struct {
	// peak is the most seen since the last call of next.
	peak int64
	want int64
}

// decayPart is the part of a want that goes with each step.
const decayPart = 16

func (d *demand) see(n int64) { d.peak = max(d.peak, n) }

// next returns the want of the coming step.
func (d *demand) next(now int64) int64 {
	decayed := d.want - (d.want+decayPart-1)/decayPart
	d.want = max(d.peak, now, decayed)
	d.peak = now
	return d.want
}

// see notes what a team uses and waits for.
func (g *Controller) see(team core.Team) {
	d := g.calls[team]
	if d == nil {
		d = &demand{}
		g.calls[team] = d
	}
	d.see(g.callsNow(team))
}

func (g *Controller) callsNow(team core.Team) int64 {
	n := g.lots.Used(CallName(team))
	for _, lines := range g.waiting {
		n += int64(len(lines[team]))
	}
	return n
}

// UpdateDemand tells the lots what this gate could use now.
func (g *Controller) UpdateDemand() {
	for service := range g.byService {
		waiting, crossing := int64(0), int64(0)
		for _, line := range g.waiting[service] {
			waiting += int64(len(line))
			for _, r := range line {
				if g.mayCross(r) {
					crossing++
				}
			}
		}
		g.wantSlots(service, waiting)
		g.wantFar(service, crossing)
	}
	for team := range g.set.Teams {
		g.see(team)
		g.lots.SetDemand(CallName(team), g.calls[team].next(g.callsNow(team)))
	}
}

func (g *Controller) wantSlots(s core.Service, waiting int64) {
	live := int64(0)
	for _, t := range g.byService[s] {
		if t.state == targetLive && !t.far() {
			live++
		}
	}
	for _, t := range g.byService[s] {
		if t.far() {
			continue
		}
		now := g.lots.Used(t.row)
		if t.state == targetLive {
			now += (waiting + live - 1) / live
		}
		g.lots.SetDemand(t.row, min(t.demand.next(now), t.vm.Slots))
	}
}

// wantFar asks for slots of other regions for the requests that may cross, on
// as few targets as will do.
func (g *Controller) wantFar(s core.Service, crossing int64) {
	for _, t := range g.byService[s] {
		if !t.far() {
			continue
		}
		now := g.lots.Used(t.row)
		if t.state == targetLive && crossing > 0 {
			n := min(crossing, crossLots)
			crossing -= n
			now += n
		}
		g.lots.SetDemand(t.row, min(t.demand.next(now), t.vm.Slots))
	}
}

// Waiting returns how many requests wait and how many are being sent.
func (g *Controller) Waiting() (waiting, sending int) {
	for _, r := range g.requests {
		if r.state == reqWaiting {
			waiting++
		} else {
			sending++
		}
	}
	return waiting, sending
}

// TargetView is a target for display.
type TargetView struct {
	Name    string
	Service core.Service
	State   string
	Used    int64
}

// Targets returns the targets for display.
func (g *Controller) Targets() []TargetView {
	var out []TargetView
	for _, name := range g.names() {
		t := g.targets[name]
		out = append(out, TargetView{name, t.vm.Service, targetChart.Name(t.state), g.lots.Used(t.row)})
	}
	return out
}
