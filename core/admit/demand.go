package admit

import "chicoryturn/core"

// demand estimates how much of an amount a gate needs from its recent use. The
// estimate rises at once and decays slowly, so that slots do not move between
// gates with every request.
type demand struct {
	// peak is the largest amount observed since the last update.
	peak     int64
	estimate int64
}

// decayDivisor sets the decay: without new use, each update lowers the estimate
// by 1/decayDivisor.
const decayDivisor = 16

func (d *demand) observe(n int64) { d.peak = max(d.peak, n) }

// update returns the new estimate, given the amount needed now.
func (d *demand) update(needed int64) int64 {
	decayed := d.estimate - (d.estimate+decayDivisor-1)/decayDivisor
	d.estimate = max(d.peak, needed, decayed)
	d.peak = needed
	return d.estimate
}

// observeDemand updates the demand for a team's limit with its active requests.
func (c *Controller) observeDemand(team core.Team) {
	d := c.teamDemand[team]
	if d == nil {
		d = &demand{}
		c.teamDemand[team] = d
	}
	d.observe(c.activeRequests(team))
}

// activeRequests returns how many requests of a team are in flight or waiting.
func (c *Controller) activeRequests(team core.Team) int64 {
	n := c.allocator.Used(CallsRow(team))
	for _, byTeam := range c.waiting {
		n += int64(len(byTeam[team]))
	}
	return n
}

// UpdateDemand reports to the allocator how much of each row this gate could use
// now. Each call is one step of the demand's decay.
func (c *Controller) UpdateDemand() {
	for service := range c.byService {
		waiting, remoteWaiting := int64(0), int64(0)
		for _, queued := range c.waiting[service] {
			waiting += int64(len(queued))
			for _, r := range queued {
				if c.mayUseRemote(r) {
					remoteWaiting++
				}
			}
		}
		c.updateLocalDemand(service, waiting)
		c.updateRemoteDemand(service, remoteWaiting)
	}
	for team := range c.rules.Teams {
		c.observeDemand(team)
		c.allocator.SetDemand(CallsRow(team), c.teamDemand[team].update(c.activeRequests(team)))
	}
}

// updateLocalDemand sets the demand for the service's targets in this region. It
// divides the waiting requests equally among the live targets.
func (c *Controller) updateLocalDemand(s core.Service, waiting int64) {
	live := int64(0)
	for _, t := range c.byService[s] {
		if t.state == targetLive && !t.isRemote() {
			live++
		}
	}
	for _, t := range c.byService[s] {
		if t.isRemote() {
			continue
		}
		needed := c.allocator.Used(t.slotsRow)
		if t.state == targetLive {
			needed += (waiting + live - 1) / live
		}
		c.allocator.SetDemand(t.slotsRow, min(t.demand.update(needed), t.vm.Slots))
	}
}

// updateRemoteDemand sets the demand for the service's targets in other regions.
// It spreads the waiting requests that may be sent there over as few targets as
// maxRemoteSlots allows.
func (c *Controller) updateRemoteDemand(s core.Service, remoteWaiting int64) {
	for _, t := range c.byService[s] {
		if !t.isRemote() {
			continue
		}
		needed := c.allocator.Used(t.slotsRow)
		if t.state == targetLive && remoteWaiting > 0 {
			n := min(remoteWaiting, maxRemoteSlots)
			remoteWaiting -= n
			needed += n
		}
		c.allocator.SetDemand(t.slotsRow, min(t.demand.update(needed), t.vm.Slots))
	}
}

// RequestCounts returns how many requests wait for a slot and how many are in flight.
func (c *Controller) RequestCounts() (waiting, sending int) {
	for _, r := range c.requests {
		if r.state == requestWaiting {
			waiting++
		} else {
			sending++
		}
	}
	return waiting, sending
}

// TargetView describes a target in state dumps.
type TargetView struct {
	Name    string
	Service core.Service
	State   string
	Used    int64
}

// Targets describes all targets for state dumps, sorted by name.
func (c *Controller) Targets() []TargetView {
	var out []TargetView
	for _, name := range c.targetNames() {
		t := c.targets[name]
		out = append(out, TargetView{name, t.vm.Service, targetChart.Name(t.state), c.allocator.Used(t.slotsRow)})
	}
	return out
}
