package admit

import (
	_ "embed"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/chart"
)

//go:embed target.toml
var targetText []byte

const (
	// failStreak is how many connections in a row must fail before a target is
	// suspect.
	failStreak = 3
	// restFor is how long a suspect target gets no request.
	restFor = 2 * time.Second
	// crossAfter is how long a request waits for a slot of its own region
	// before it may cross to another; the trip there and back takes 40 ms.
	crossAfter = 100 * time.Millisecond
	// crossLots bounds the slots wanted of one far target in one step.
	crossLots = 4
)

var (
	targetChart = chart.Must(chart.Load(targetText, map[string]chart.Guard[*target]{
		"streak": func(t *target) bool { return t.fails >= failStreak },
	}, map[string]chart.Action[*target]{
		"rest": func(t *target) { t.restUntil = t.gate.now.Add(restFor) },
	}))
	targetList    = targetChart.Event("list")
	targetLeave   = targetChart.Event("leave")
	targetUnlist  = targetChart.Event("unlist")
	targetFail    = targetChart.Event("fail")
	targetAnswer  = targetChart.Event("answer")
	targetProbe   = targetChart.Event("probe")
	targetLive    = targetChart.State("live")
	targetSuspect = targetChart.State("suspect")
)

type target struct {
	vm        core.VM
	gate      *Controller
	state     chart.State
	row       string
	fails     int
	restUntil time.Time
	demand    demand
}

func (t *target) fire(ev chart.Event) { t.gate.note(targetChart.Fire(&t.state, ev, t)) }

// SlotName returns the name of the ledger row of a target's slots.
func SlotName(r core.Region, t string) string { return "slots/" + string(r) + "/" + t }

// CallName returns the name of the ledger row of a team's requests in flight.
func CallName(t core.Team) string { return "calls/" + string(t) }

func (g *Controller) targetOf(vm core.VM) *target {
	t := g.targets[vm.Name]
	if t == nil {
		t = &target{gate: g, state: targetChart.Start(), row: SlotName(vm.Region, vm.Name)}
		g.targets[vm.Name] = t
	}
	t.vm = vm
	return t
}

// SetTargets follows a new list of the targets of all regions.
func (g *Controller) SetTargets(now time.Time, vms []core.VM) []Event {
	g.now = now
	listed := core.NewSet[string]()
	for _, vm := range vms {
		listed.Add(vm.Name)
		t := g.targetOf(vm)
		if vm.Leaving {
			t.fire(targetLeave)
		} else {
			t.fire(targetList)
		}
	}
	g.byService = map[core.Service][]*target{}
	g.home = map[core.Service]int{}
	for _, name := range g.names() {
		t := g.targets[name]
		if !listed.Has(name) {
			t.fire(targetUnlist)
		}
		g.byService[t.vm.Service] = append(g.byService[t.vm.Service], t)
		if t.state == targetLive && !t.far() {
			g.home[t.vm.Service]++
		}
	}
	g.declare()
	return g.serve()
}

// far reports whether requests to the target cross between regions.
func (t *target) far() bool { return t.vm.Region != t.gate.region }

// pick returns the target on which a request is best sent: in the gate's own
// data centre, then in its region, then elsewhere if the request has waited
// for longer than the trip, or if the region has no such target at all.
func (g *Controller) pick(r *request) *target {
	var best *target
	bestFree, bestNear := int64(0), 0
	for _, t := range g.byService[r.ask.Rule.Service] {
		if t.state != targetLive || r.avoid.Has(t.vm.Name) || (t.far() && !g.mayCross(r)) {
			continue
		}
		free, near := g.lots.Available(t.row), g.near(t)
		if free <= 0 || (best != nil && (near < bestNear || near == bestNear && free <= bestFree)) {
			continue
		}
		best, bestFree, bestNear = t, free, near
	}
	return best
}

// near is highest for targets in the gate's own data centre.
func (g *Controller) near(t *target) int {
	switch {
	case t.vm.Zone == g.zone:
		return 2
	case !t.far():
		return 1
	default:
		return 0
	}
}

// mayCross reports whether a request has earned the trip to another region.
func (g *Controller) mayCross(r *request) bool {
	return g.now.Sub(r.asked) >= crossAfter || g.home[r.ask.Rule.Service] == 0
}
