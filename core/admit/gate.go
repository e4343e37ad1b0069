// Package admit decides which request is sent to which target and when. It
// spends slots and team limits that the ledger has granted to this gate, so no
// request costs a message to another process.
package admit

import (
	"cmp"
	_ "embed"
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/chart"
	"chicoryturn/core/rules"
)

//go:embed request.toml
var requestText []byte

const (
	// maxSends bounds how often one request is sent.
	maxSends = 3
	// retryPart is the part of all requests that may be sent again, so that an
	// outage of targets is not multiplied; retryBurst may be saved up.
	retryPart  = 0.1
	retryBurst = 20.0
)

var (
	requestChart = chart.Must(chart.Load(requestText, map[string]chart.Guard[*request]{
		"again":  (*request).again,
		"repeat": (*request).repeat,
	}, map[string]chart.Action[*request]{
		"reserve": (*request).reserve,
		"release": (*request).release,
		"linger":  (*request).linger,
		"requeue": (*request).requeue,
	}))
	reqGrant   = requestChart.Event("grant")
	reqExpire  = requestChart.Event("expire")
	reqLeave   = requestChart.Event("leave")
	reqUnsent  = requestChart.Event("unsent")
	reqBroken  = requestChart.Event("broken")
	reqCut     = requestChart.Event("cut")
	reqDrop    = requestChart.Event("drop")
	reqWhole   = requestChart.Event("whole")
	reqWaiting = requestChart.State("waiting")
	reqUnknown = requestChart.State("unknown")
)

// Allocator grants parts of bounded amounts; the ledger's book is one.
type Allocator interface {
	Available(name string) int64
	Used(name string) int64
	Use(name string, n int64)
	SetDemand(name string, n int64)
	Declare(name string, total, slack int64)
	ZeroTotals(keep func(name string) bool)
}

// Request is a request that wants a slot.
type Request struct {
	ID   uint64
	Team core.Team
	Rule *rules.Queue
}

// Outcome is what has become of a request that was sent.
type Outcome string

// The outcomes. Unsent is only reported when no byte can have left.
const (
	Unsent    Outcome = "unsent"
	Aborted   Outcome = "broken"
	Completed Outcome = "whole"
	// Truncated is a broken answer of which the caller has already seen a part.
	Truncated Outcome = "cut"
	// Abandoned is a grant that came after the caller had left.
	Abandoned Outcome = "drop"
)

// Event tells the traffic side about one request.
type Event struct {
	ID uint64
	// Target is set when the request has been granted a slot.
	Target core.Option[core.VM]
	// Err is set when the request has ended without an answer.
	Err *core.RefusalError
	// Ended is set when the request has been answered whole.
	Ended bool
}

type request struct {
	ask    Request
	gate   *Controller
	state  chart.State
	asked  time.Time
	expiry time.Time
	target *target
	sends  int
	// avoid names the targets that have failed this request.
	avoid core.Set[string]
}

type lingering struct {
	until time.Time
	row   string
	call  string
}

// Controller is the admission state of one gate.
type Controller struct {
	region core.Region
	zone   core.Zone
	lots   Allocator
	now    time.Time
	set    *rules.Set
	// gates divide the region's targets, allGates the teams' limits.
	gates, allGates int64
	calls           map[core.Team]*demand
	targets         map[string]*target
	byService       map[core.Service][]*target
	// home counts the live targets of the own region.
	home     map[core.Service]int
	requests map[uint64]*request
	// waiting holds the requests of each service and team in order of arrival.
	waiting map[core.Service]map[core.Team][]*request
	// lingers are slots of requests that broke off: the target may still be
	// running them until the longest run time has passed.
	lingers []lingering
	// budget is how many requests may be sent again now.
	budget   float64
	waits    []Wait
	refusals []error
}

// Wait is the time that a request waited for its slot.
type Wait struct {
	Queue core.Queue
	Time  time.Duration
}

// New returns a gate without targets.
func New(region core.Region, zone core.Zone, lots Allocator) *Controller {
	return &Controller{
		region: region, zone: zone, lots: lots, set: &rules.Set{}, gates: 1, allGates: 1, calls: map[core.Team]*demand{}, budget: retryBurst,
		targets: map[string]*target{}, byService: map[core.Service][]*target{}, home: map[core.Service]int{},
		requests: map[uint64]*request{}, waiting: map[core.Service]map[core.Team][]*request{},
	}
}

func (g *Controller) note(err error) {
	if err != nil {
		g.refusals = append(g.refusals, err)
	}
}

// Refusals returns and forgets the events that a chart refused.
func (g *Controller) Refusals() []error {
	out := g.refusals
	g.refusals = nil
	return out
}

// Waits returns and forgets the waiting times of requests granted since the
// last call.
func (g *Controller) Waits() []Wait {
	out := g.waits
	g.waits = nil
	return out
}

// SetRules follows a new configuration.
func (g *Controller) SetRules(set *rules.Set) {
	g.set = set
	g.declare()
}

// SetGates tells how many gates of the region divide its targets, and how many
// in all divide the teams' limits.
func (g *Controller) SetGates(region, fleet int) {
	g.gates, g.allGates = int64(max(region, 1)), int64(max(fleet, 1))
	g.declare()
}

// declare tells the lots what there is to divide.
func (g *Controller) declare() {
	rows := core.NewSet[string]()
	for _, t := range g.targets {
		if targetChart.Name(t.state) != "gone" {
			rows.Add(t.row)
			slack := (t.vm.Slots + g.gates - 1) / g.gates
			if t.far() {
				slack = 0
			}
			g.lots.Declare(t.row, t.vm.Slots, slack)
		}
	}
	for name, team := range g.set.Teams {
		rows.Add(CallName(name))
		g.lots.Declare(CallName(name), team.Slots, max(1, team.Slots/(2*g.allGates)))
	}
	g.lots.ZeroTotals(rows.Has)
}

func (g *Controller) names() []string {
	out := make([]string, 0, len(g.targets))
	for name := range g.targets {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Admit takes in a request. It may be granted, refused or left waiting.
func (g *Controller) Admit(now time.Time, ask Request) []Event {
	g.now = now
	if g.backlog(ask.Rule) >= ask.Rule.Backlog {
		r := core.Refuse(core.CodeBusy, "queue %q has %d requests waiting", ask.Rule.Name, ask.Rule.Backlog)
		r.RetryAfter = time.Second
		return []Event{{ID: ask.ID, Err: r}}
	}
	r := &request{
		ask: ask, gate: g, state: requestChart.Start(), asked: now,
		expiry: now.Add(ask.Rule.Wait), avoid: core.NewSet[string](),
	}
	g.requests[ask.ID] = r
	g.budget = min(g.budget+retryPart, retryBurst)
	g.push(r)
	g.see(r.ask.Team)
	return g.serve()
}

func (g *Controller) backlog(q *rules.Queue) int {
	n := 0
	for _, line := range g.waiting[q.Service] {
		for _, r := range line {
			if r.ask.Rule.Name == q.Name {
				n++
			}
		}
	}
	return n
}

func (g *Controller) push(r *request) {
	lines := g.waiting[r.ask.Rule.Service]
	if lines == nil {
		lines = map[core.Team][]*request{}
		g.waiting[r.ask.Rule.Service] = lines
	}
	lines[r.ask.Team] = append(lines[r.ask.Team], r)
}

func (g *Controller) remove(r *request) {
	lines := g.waiting[r.ask.Rule.Service]
	line := slices.DeleteFunc(lines[r.ask.Team], func(o *request) bool { return o == r })
	if len(line) == 0 {
		delete(lines, r.ask.Team)
		return
	}
	lines[r.ask.Team] = line
}

// serve grants slots while there are any.
func (g *Controller) serve() []Event {
	var out []Event
	for service := range g.waiting {
		for {
			r, t := g.next(service)
			if r == nil {
				break
			}
			g.remove(r)
			r.target = t
			g.fire(r, reqGrant)
			g.waits = append(g.waits, Wait{r.ask.Rule.Name, g.now.Sub(r.asked)})
			out = append(out, Event{ID: r.ask.ID, Target: core.Some(t.vm)})
		}
	}
	return out
}

// next returns the waiting request to be served: of the team that uses least
// in relation to its share, the one that came first.
func (g *Controller) next(s core.Service) (*request, *target) {
	lines := g.waiting[s]
	teams := make([]core.Team, 0, len(lines))
	for team := range lines {
		teams = append(teams, team)
	}
	slices.SortFunc(teams, func(a, b core.Team) int {
		return cmp.Or(cmp.Compare(g.rank(a), g.rank(b)), cmp.Compare(a, b))
	})
	for _, team := range teams {
		if g.lots.Available(CallName(team)) <= 0 {
			continue
		}
		for _, r := range lines[team] {
			if t := g.pick(r); t != nil {
				return r, t
			}
			if len(r.avoid) == 0 {
				return nil, nil
			}
		}
	}
	return nil, nil
}

func (g *Controller) rank(team core.Team) float64 {
	return float64(g.lots.Used(CallName(team))) / max(g.set.Teams[team].Share, 1)
}

func (g *Controller) fire(r *request, ev chart.Event) { g.note(requestChart.Fire(&r.state, ev, r)) }

func (r *request) again() bool {
	return r.sends < maxSends && r.gate.now.Before(r.expiry)
}

// repeat spends the budget for requests sent again.
func (r *request) repeat() bool {
	if !r.ask.Rule.Repeat || !r.again() || r.gate.budget < 1 {
		return false
	}
	r.gate.budget--
	return true
}

func (r *request) reserve() {
	r.sends++
	r.gate.lots.Use(r.target.row, 1)
	r.gate.lots.Use(CallName(r.ask.Team), 1)
	r.target.demand.see(r.gate.lots.Used(r.target.row))
	r.gate.see(r.ask.Team)
}

func (r *request) release() {
	r.gate.lots.Use(r.target.row, -1)
	r.gate.lots.Use(CallName(r.ask.Team), -1)
}

func (r *request) linger() {
	r.gate.lingers = append(r.gate.lingers, lingering{
		r.gate.now.Add(r.ask.Rule.Run), r.target.row, CallName(r.ask.Team),
	})
}

func (r *request) requeue() {
	r.avoid.Add(r.target.vm.Name)
	if len(r.avoid) >= len(r.gate.byService[r.ask.Rule.Service]) {
		r.avoid = core.NewSet[string]()
	}
	r.gate.push(r)
}

// RequestEnded follows what has become of a sent request.
func (g *Controller) RequestEnded(now time.Time, id uint64, o Outcome, cause error) []Event {
	g.now = now
	r := g.requests[id]
	if r == nil {
		return nil
	}
	t := r.target
	switch o {
	case Completed:
		t.fails = 0
		t.fire(targetAnswer)
		g.fire(r, reqWhole)
	case Unsent:
		t.fails++
		t.fire(targetFail)
		g.fire(r, reqUnsent)
	case Aborted:
		g.fire(r, reqBroken)
	case Truncated:
		g.fire(r, reqCut)
	case Abandoned:
		g.fire(r, reqDrop)
	}
	var out []Event
	if r.state != reqWaiting {
		delete(g.requests, id)
		out = append(out, r.end(cause))
	}
	return append(out, g.serve()...)
}

func (r *request) end(cause error) Event {
	ev := Event{ID: r.ask.ID}
	switch {
	case r.state == reqUnknown:
		ev.Err = core.RefuseUnknown(core.CodeTarget, cause, "target %s did not answer in full", r.target.vm.Name)
	case requestChart.Name(r.state) == "answered":
		ev.Ended = true
	default:
		ev.Err = core.Refuse(core.CodeTarget, "no target of service %q took the request", r.ask.Rule.Service)
		ev.Err.Err = cause
		ev.Err.RetryAfter = time.Second
	}
	return ev
}

// CallerGone follows a caller that has gone away while waiting.
func (g *Controller) CallerGone(now time.Time, id uint64) []Event {
	g.now = now
	r := g.requests[id]
	if r == nil || r.state != reqWaiting {
		return nil
	}
	g.remove(r)
	g.fire(r, reqLeave)
	delete(g.requests, id)
	return []Event{{ID: id, Err: core.Refuse(core.CodeTimeout, "the caller has gone away")}}
}

// Tick refuses the requests that have waited too long, returns the slots of
// those that broke off, and updates what the gate wants.
func (g *Controller) Tick(now time.Time) []Event {
	g.now = now
	var out []Event
	for _, r := range g.expired() {
		g.remove(r)
		g.fire(r, reqExpire)
		delete(g.requests, r.ask.ID)
		e := core.Refuse(core.CodeTimeout, "no slot of service %q was free within %s", r.ask.Rule.Service, r.ask.Rule.Wait)
		if g.lots.Available(CallName(r.ask.Team)) <= 0 {
			e = core.Refuse(core.CodeLimit, "team %q is at its limit of requests", r.ask.Team)
		}
		e.RetryAfter = time.Second
		out = append(out, Event{ID: r.ask.ID, Err: e})
	}
	g.lingers = slices.DeleteFunc(g.lingers, func(l lingering) bool {
		if now.Before(l.until) {
			return false
		}
		g.lots.Use(l.row, -1)
		g.lots.Use(l.call, -1)
		return true
	})
	for _, t := range g.targets {
		if t.state == targetSuspect && now.After(t.restUntil) {
			t.fails = failStreak - 1
			t.fire(targetProbe)
		}
	}
	return append(out, g.serve()...)
}

func (g *Controller) expired() []*request {
	var out []*request
	for _, r := range g.requests {
		if r.state == reqWaiting && !g.now.Before(r.expiry) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.ask.ID, b.ask.ID) })
	return out
}
