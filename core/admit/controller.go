// Package admit decides when a request is sent and to which target. A gate uses
// only the slots and team limits that the ledger has granted to it in advance,
// so admitting a request needs no message to another process.
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
var requestTOML []byte

const (
	// maxAttempts bounds how often one request is sent to a target.
	maxAttempts = 3
	// retryRatio limits retries of requests that may have reached a target to
	// this fraction of all requests, so that retries do not multiply the load
	// during an outage of targets. Unused retries accumulate up to retryBurst.
	retryRatio = 0.1
	retryBurst = 20.0
)

var (
	requestChart = chart.Must(chart.Load(requestTOML, map[string]chart.Guard[*request]{
		"retryable": (*request).mayRetry,
		"budget":    (*request).spendRetryBudget,
	}, map[string]chart.Action[*request]{
		"reserve": (*request).reserve,
		"release": (*request).release,
		"delay":   (*request).delayRelease,
		"requeue": (*request).requeue,
	}))
	// Events and states of the request chart.
	requestGrant   = requestChart.Event("grant")
	requestExpire  = requestChart.Event("expire")
	requestLeave   = requestChart.Event("leave")
	requestUnsent  = requestChart.Event("unsent")
	requestBroken  = requestChart.Event("broken")
	requestCut     = requestChart.Event("cut")
	requestDrop    = requestChart.Event("drop")
	requestWhole   = requestChart.Event("whole")
	requestWaiting = requestChart.State("waiting")
	requestUnknown = requestChart.State("unknown")
)

// Allocator gives this gate its parts of divided amounts, each kept in a named
// row: the slots of a target or the limit of a team. ledger.Ledger implements it
// and documents the methods.
type Allocator interface {
	Available(name string) int64
	Used(name string) int64
	Use(name string, n int64)
	SetDemand(name string, n int64)
	Declare(name string, total, slack int64)
	ZeroTotals(keep func(name string) bool)
}

// Request describes a caller's request that needs a slot of a target.
type Request struct {
	ID   uint64
	Team core.Team
	// Rule is the rule of the request's queue.
	Rule *rules.Queue
}

// Outcome is the result of one attempt to send a request to a target.
type Outcome string

// The outcomes of an attempt.
const (
	// Unsent means that no byte of the request can have reached the target.
	Unsent Outcome = "unsent"
	// Aborted means that a part of the request may have reached the target, and
	// that the caller has received nothing of an answer.
	Aborted Outcome = "broken"
	// Completed means that the whole answer was read.
	Completed Outcome = "whole"
	// Truncated means that the answer broke off after a part of it had been
	// passed on to the caller.
	Truncated Outcome = "cut"
	// Abandoned means that the caller had disconnected when the slot was granted,
	// so nothing was sent.
	Abandoned Outcome = "drop"
)

// Event reports a decision about one request to the goroutine that serves it.
type Event struct {
	ID uint64
	// Target is set when the request has been granted a slot.
	Target core.Option[core.VM]
	// Err is set when the request has ended without a complete answer.
	Err *core.RefusalError
	// Answered is set when the request has been answered completely.
	Answered bool
}

// request is the state of one admitted request.
type request struct {
	spec         Request
	ctrl         *Controller
	state        chart.State
	arrivedAt    time.Time
	waitDeadline time.Time
	target       *target
	attempts     int
	// excluded holds the names of the targets on which this request has failed.
	excluded core.Set[string]
}

// delayedRelease ends the use of one target slot and of one request of a team's
// limit at a given time.
type delayedRelease struct {
	at       time.Time
	slotsRow string
	callsRow string
}

// Controller holds the admission state of one gate.
type Controller struct {
	region    core.Region
	zone      core.Zone
	allocator Allocator
	now       time.Time
	rules     *rules.Set
	// regionGates is the number of gates that share the region's targets,
	// fleetGates the number of gates that share the teams' limits.
	regionGates, fleetGates int64
	teamDemand              map[core.Team]*demand
	targets                 map[string]*target
	byService               map[core.Service][]*target
	// localTargets counts the live targets of each service in the gate's region.
	localTargets map[core.Service]int
	requests     map[uint64]*request
	// waiting holds the waiting requests of each service and team in the order
	// in which they joined the queue.
	waiting map[core.Service]map[core.Team][]*request
	// delayedReleases holds the slots of aborted and truncated requests: the
	// target may still be running such a request until its maximum run time has
	// passed.
	delayedReleases []delayedRelease
	// retryBudget is the number of retries that are allowed now; see retryRatio.
	retryBudget float64
	waits       []Wait
	// refusedEvents holds the errors of chart events refused in their state.
	refusedEvents []error
}

// Wait is the time that a request waited for its slot.
type Wait struct {
	Queue core.Queue
	Time  time.Duration
}

// New returns the controller of a gate that knows no targets yet.
func New(region core.Region, zone core.Zone, allocator Allocator) *Controller {
	return &Controller{
		region: region, zone: zone, allocator: allocator, rules: &rules.Set{}, regionGates: 1, fleetGates: 1, teamDemand: map[core.Team]*demand{}, retryBudget: retryBurst,
		targets: map[string]*target{}, byService: map[core.Service][]*target{}, localTargets: map[core.Service]int{},
		requests: map[uint64]*request{}, waiting: map[core.Service]map[core.Team][]*request{},
	}
}

func (c *Controller) recordRefused(err error) {
	if err != nil {
		c.refusedEvents = append(c.refusedEvents, err)
	}
}

// RefusedEvents returns the errors of the chart events that were refused since the
// last call.
func (c *Controller) RefusedEvents() []error {
	out := c.refusedEvents
	c.refusedEvents = nil
	return out
}

// Waits returns the waiting times of the requests that were granted a slot since
// the last call.
func (c *Controller) Waits() []Wait {
	out := c.waits
	c.waits = nil
	return out
}

// SetRules puts a new configuration into force.
func (c *Controller) SetRules(set *rules.Set) {
	c.rules = set
	c.declareTotals()
}

// SetGates sets the number of gates in the region, which share its targets, and
// in the fleet, which share the teams' limits.
func (c *Controller) SetGates(region, fleet int) {
	c.regionGates, c.fleetGates = int64(max(region, 1)), int64(max(fleet, 1))
	c.declareTotals()
}

// declareTotals declares the total of every row to the allocator, and the slack
// that this gate may keep unused: an equal part of a target's slots among the
// region's gates, none of a target in another region, and half an equal part of a
// team's limit, at least 1.
func (c *Controller) declareTotals() {
	rows := core.NewSet[string]()
	for _, t := range c.targets {
		if targetChart.Name(t.state) != "gone" {
			rows.Add(t.slotsRow)
			slack := (t.vm.Slots + c.regionGates - 1) / c.regionGates
			if t.isRemote() {
				slack = 0
			}
			c.allocator.Declare(t.slotsRow, t.vm.Slots, slack)
		}
	}
	for name, team := range c.rules.Teams {
		rows.Add(CallsRow(name))
		c.allocator.Declare(CallsRow(name), team.Slots, max(1, team.Slots/(2*c.fleetGates)))
	}
	c.allocator.ZeroTotals(rows.Has)
}

func (c *Controller) targetNames() []string {
	out := make([]string, 0, len(c.targets))
	for name := range c.targets {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Admit grants a slot to a new request, refuses the request or queues it. The
// events may also concern other requests.
func (c *Controller) Admit(now time.Time, spec Request) []Event {
	c.now = now
	if c.backlog(spec.Rule) >= spec.Rule.Backlog {
		refusal := core.Refuse(core.CodeBusy, "backlog of queue %q is full: %d requests are waiting", spec.Rule.Name, spec.Rule.Backlog)
		refusal.RetryAfter = time.Second
		return []Event{{ID: spec.ID, Err: refusal}}
	}
	r := &request{
		spec: spec, ctrl: c, state: requestChart.Start(), arrivedAt: now,
		waitDeadline: now.Add(spec.Rule.MaxWait), excluded: core.NewSet[string](),
	}
	c.requests[spec.ID] = r
	c.retryBudget = min(c.retryBudget+retryRatio, retryBurst)
	c.addWaiting(r)
	c.observeDemand(r.spec.Team)
	return c.grantSlots()
}

// backlog returns how many requests of a queue wait at this gate.
func (c *Controller) backlog(q *rules.Queue) int {
	n := 0
	for _, queued := range c.waiting[q.Service] {
		for _, r := range queued {
			if r.spec.Rule.Name == q.Name {
				n++
			}
		}
	}
	return n
}

func (c *Controller) addWaiting(r *request) {
	byTeam := c.waiting[r.spec.Rule.Service]
	if byTeam == nil {
		byTeam = map[core.Team][]*request{}
		c.waiting[r.spec.Rule.Service] = byTeam
	}
	byTeam[r.spec.Team] = append(byTeam[r.spec.Team], r)
}

func (c *Controller) removeWaiting(r *request) {
	byTeam := c.waiting[r.spec.Rule.Service]
	rest := slices.DeleteFunc(byTeam[r.spec.Team], func(o *request) bool { return o == r })
	if len(rest) == 0 {
		delete(byTeam, r.spec.Team)
		return
	}
	byTeam[r.spec.Team] = rest
}

// weightedUsage returns a team's requests in flight, divided by its share.
func (c *Controller) weightedUsage(team core.Team) float64 {
	return float64(c.allocator.Used(CallsRow(team))) / max(c.rules.Teams[team].Share, 1)
}

func (c *Controller) fireRequest(r *request, ev chart.Event) {
	c.recordRefused(requestChart.Fire(&r.state, ev, r))
}

func (r *request) mayRetry() bool {
	return r.attempts < maxAttempts && r.ctrl.now.Before(r.waitDeadline)
}

// spendRetryBudget reports whether a request that may have reached a target may
// be sent again, and if so charges the retry to the budget.
func (r *request) spendRetryBudget() bool {
	if !r.spec.Rule.Retry || !r.mayRetry() || r.ctrl.retryBudget < 1 {
		return false
	}
	r.ctrl.retryBudget--
	return true
}

func (r *request) reserve() {
	r.attempts++
	r.ctrl.allocator.Use(r.target.slotsRow, 1)
	r.ctrl.allocator.Use(CallsRow(r.spec.Team), 1)
	r.target.demand.observe(r.ctrl.allocator.Used(r.target.slotsRow))
	r.ctrl.observeDemand(r.spec.Team)
}

func (r *request) release() {
	r.ctrl.allocator.Use(r.target.slotsRow, -1)
	r.ctrl.allocator.Use(CallsRow(r.spec.Team), -1)
}

// delayRelease keeps the slot in use until the target must have ended the request.
func (r *request) delayRelease() {
	r.ctrl.delayedReleases = append(r.ctrl.delayedReleases, delayedRelease{
		r.ctrl.now.Add(r.spec.Rule.RunTimeout), r.target.slotsRow, CallsRow(r.spec.Team),
	})
}

// requeue excludes the failed target and queues the request again. Once every
// target of the service has failed, all of them may be tried again.
func (r *request) requeue() {
	r.excluded.Add(r.target.vm.Name)
	if len(r.excluded) >= len(r.ctrl.byService[r.spec.Rule.Service]) {
		r.excluded = core.NewSet[string]()
	}
	r.ctrl.addWaiting(r)
}

// RequestEnded handles the outcome of an attempt to send a request: the request
// ends or is queued again, and slots that became free are granted.
func (c *Controller) RequestEnded(now time.Time, id uint64, o Outcome, cause error) []Event {
	c.now = now
	r := c.requests[id]
	if r == nil {
		return nil
	}
	t := r.target
	switch o {
	case Completed:
		t.failures = 0
		t.fire(targetAnswer)
		c.fireRequest(r, requestWhole)
	case Unsent:
		t.failures++
		t.fire(targetFail)
		c.fireRequest(r, requestUnsent)
	case Aborted:
		c.fireRequest(r, requestBroken)
	case Truncated:
		c.fireRequest(r, requestCut)
	case Abandoned:
		c.fireRequest(r, requestDrop)
	}
	var out []Event
	if r.state != requestWaiting {
		delete(c.requests, id)
		out = append(out, r.finalEvent(cause))
	}
	return append(out, c.grantSlots()...)
}

// finalEvent returns the event that reports the end of a request to its caller.
func (r *request) finalEvent(cause error) Event {
	ev := Event{ID: r.spec.ID}
	switch {
	case r.state == requestUnknown:
		ev.Err = core.RefuseUnknown(core.CodeTargetFailed, cause, "target %s did not send a complete answer", r.target.vm.Name)
	case requestChart.Name(r.state) == "answered":
		ev.Answered = true
	default:
		ev.Err = core.Refuse(core.CodeTargetFailed, "no target of service %q accepted the request", r.spec.Rule.Service)
		ev.Err.Err = cause
		ev.Err.RetryAfter = time.Second
	}
	return ev
}

// CallerGone ends a waiting request whose caller has disconnected. A request that
// has been granted a slot is not affected.
func (c *Controller) CallerGone(now time.Time, id uint64) []Event {
	c.now = now
	r := c.requests[id]
	if r == nil || r.state != requestWaiting {
		return nil
	}
	c.removeWaiting(r)
	c.fireRequest(r, requestLeave)
	delete(c.requests, id)
	return []Event{{ID: id, Err: core.Refuse(core.CodeTimeout, "the caller disconnected")}}
}

// Tick refuses requests whose wait deadline has passed, performs the delayed
// releases that are due, lets suspect targets be tried again after their pause,
// and grants available slots.
func (c *Controller) Tick(now time.Time) []Event {
	c.now = now
	var out []Event
	for _, r := range c.expiredRequests() {
		c.removeWaiting(r)
		c.fireRequest(r, requestExpire)
		delete(c.requests, r.spec.ID)
		refusal := core.Refuse(core.CodeTimeout, "no slot of service %q was free within %s", r.spec.Rule.Service, r.spec.Rule.MaxWait)
		if c.allocator.Available(CallsRow(r.spec.Team)) <= 0 {
			refusal = core.Refuse(core.CodeOverLimit, "team %q has reached its limit of requests in flight", r.spec.Team)
		}
		refusal.RetryAfter = time.Second
		out = append(out, Event{ID: r.spec.ID, Err: refusal})
	}
	c.delayedReleases = slices.DeleteFunc(c.delayedReleases, func(d delayedRelease) bool {
		if now.Before(d.at) {
			return false
		}
		c.allocator.Use(d.slotsRow, -1)
		c.allocator.Use(d.callsRow, -1)
		return true
	})
	for _, t := range c.targets {
		if t.state == targetSuspect && now.After(t.pausedUntil) {
			// One more failure makes the target suspect again.
			t.failures = suspectAfterFailures - 1
			t.fire(targetProbe)
		}
	}
	return append(out, c.grantSlots()...)
}

// expiredRequests returns the waiting requests whose wait deadline has passed, in
// order of their IDs.
func (c *Controller) expiredRequests() []*request {
	var out []*request
	for _, r := range c.requests {
		if r.state == requestWaiting && !c.now.Before(r.waitDeadline) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	return out
}
