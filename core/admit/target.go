package admit

import (
	_ "embed"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/chart"
)

//go:embed target.toml
var targetTOML []byte

const (
	// suspectAfterFailures is how many attempts to send a request to a target
	// must fail in a row before it becomes suspect.
	suspectAfterFailures = 3
	// suspectPause is how long a suspect target is sent no request.
	suspectPause = 2 * time.Second
	// remoteDelay is how long a request waits for a slot in its own region before
	// it may be sent to another one; a round trip between regions takes 40 ms.
	remoteDelay = 100 * time.Millisecond
	// maxRemoteSlots bounds the slots by which one update raises the demand for
	// a target in another region.
	maxRemoteSlots = 4
)

var (
	targetChart = chart.Must(chart.Load(targetTOML, map[string]chart.Guard[*target]{
		"failing": func(t *target) bool { return t.failures >= suspectAfterFailures },
	}, map[string]chart.Action[*target]{
		"pause": func(t *target) { t.pausedUntil = t.ctrl.now.Add(suspectPause) },
	}))
	// Events and states of the target chart.
	targetList    = targetChart.Event("list")
	targetLeave   = targetChart.Event("leave")
	targetUnlist  = targetChart.Event("unlist")
	targetFail    = targetChart.Event("fail")
	targetAnswer  = targetChart.Event("answer")
	targetProbe   = targetChart.Event("probe")
	targetLive    = targetChart.State("live")
	targetSuspect = targetChart.State("suspect")
)

// target is the gate's view of one target.
type target struct {
	vm       core.VM
	ctrl     *Controller
	state    chart.State
	slotsRow string
	// failures counts the unsent requests since the last complete answer.
	failures int
	// pausedUntil is when a suspect target may be tried again.
	pausedUntil time.Time
	// demand is the demand for the target's slots.
	demand demand
}

func (t *target) fire(ev chart.Event) { t.ctrl.recordRefused(targetChart.Fire(&t.state, ev, t)) }

// SlotsRow returns the name of the ledger row that divides a target's slots.
func SlotsRow(r core.Region, t string) string { return "slots/" + string(r) + "/" + t }

// CallsRow returns the name of the ledger row that divides a team's limit of
// requests in flight.
func CallsRow(t core.Team) string { return "calls/" + string(t) }

// upsertTarget stores the listed VM of a target, which it adds if it is new.
func (c *Controller) upsertTarget(vm core.VM) *target {
	t := c.targets[vm.Name]
	if t == nil {
		t = &target{ctrl: c, state: targetChart.Start(), slotsRow: SlotsRow(vm.Region, vm.Name)}
		c.targets[vm.Name] = t
	}
	t.vm = vm
	return t
}

// SetTargets applies a new list of the targets of all regions.
func (c *Controller) SetTargets(now time.Time, vms []core.VM) []Event {
	c.now = now
	listed := core.NewSet[string]()
	for _, vm := range vms {
		listed.Add(vm.Name)
		t := c.upsertTarget(vm)
		if vm.Leaving {
			t.fire(targetLeave)
		} else {
			t.fire(targetList)
		}
	}
	c.byService = map[core.Service][]*target{}
	c.localTargets = map[core.Service]int{}
	for _, name := range c.targetNames() {
		t := c.targets[name]
		if !listed.Has(name) {
			t.fire(targetUnlist)
			// Requests in flight keep the target until they end.
			delete(c.targets, name)
			continue
		}
		c.byService[t.vm.Service] = append(c.byService[t.vm.Service], t)
		if t.state == targetLive && !t.isRemote() {
			c.localTargets[t.vm.Service]++
		}
	}
	c.declareTotals()
	return c.grantSlots()
}

// isRemote reports whether the target is in another region than the gate.
func (t *target) isRemote() bool { return t.vm.Region != t.ctrl.region }

// pickTarget returns the live target to which a request should be sent, or nil.
// It prefers targets in the gate's data centre, then those in its region, then,
// if mayUseRemote allows it, those in other regions; among equals, the target
// with the most available slots.
func (c *Controller) pickTarget(r *request) *target {
	var best *target
	bestFree, bestProximity := int64(0), 0
	for _, t := range c.byService[r.spec.Rule.Service] {
		if t.state != targetLive || r.excluded.Has(t.vm.Name) || (t.isRemote() && !c.mayUseRemote(r)) {
			continue
		}
		free, proximity := c.allocator.Available(t.slotsRow), c.proximity(t)
		if free <= 0 || (best != nil && (proximity < bestProximity || proximity == bestProximity && free <= bestFree)) {
			continue
		}
		best, bestFree, bestProximity = t, free, proximity
	}
	return best
}

// proximity ranks a target: 2 in the gate's data centre, 1 in its region, 0 in
// other regions.
func (c *Controller) proximity(t *target) int {
	switch {
	case t.vm.Zone == c.zone:
		return 2
	case !t.isRemote():
		return 1
	default:
		return 0
	}
}

// mayUseRemote reports whether a request may be sent to another region: it has
// waited for remoteDelay, or its service has no live target in this region.
func (c *Controller) mayUseRemote(r *request) bool {
	return c.now.Sub(r.arrivedAt) >= remoteDelay || c.localTargets[r.spec.Rule.Service] == 0
}
