package admit_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/admit"
	"chicoryturn/core/ledger"
	"chicoryturn/core/rules"
)

// fixture is a gate whose ledger has been granted all that it declared.
type fixture struct {
	ctrl   *admit.Controller
	ledger *ledger.Ledger
	now    time.Time
	rule   *rules.Queue
	lastID uint64
}

func newFixture(targets, slots int, rule rules.Queue) *fixture {
	f := &fixture{ledger: ledger.New("gate"), now: time.Now(), rule: &rule}
	f.ctrl = admit.New("r", "r-a", f.ledger)
	f.ctrl.SetRules(&rules.Set{
		Teams:  map[core.Team]rules.Team{"a": {Slots: 100, Share: 50}, "b": {Slots: 100, Share: 50}},
		Queues: map[core.Queue]rules.Queue{rule.Name: rule},
	})
	var vms []core.VM
	for i := range targets {
		vms = append(vms, core.VM{
			Name: fmt.Sprintf("t%d", i), Kind: "target", Region: "r", Zone: "r-a", Service: rule.Service, Slots: int64(slots),
			Addr: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	f.ctrl.SetTargets(f.now, vms)
	f.grantAll()
	return f
}

// grantAll confirms every write that the ledger plans.
func (f *fixture) grantAll() {
	changes := f.ledger.Plan()
	versions := make([]uint64, len(changes))
	for i := range versions {
		versions[i] = 1
	}
	f.ledger.Applied(changes, versions, true)
}

// admit admits the next request of team a.
func (f *fixture) admit() []admit.Event {
	f.lastID++
	return f.ctrl.Admit(f.now, admit.Request{ID: f.lastID, Team: "a", Rule: f.rule})
}

// newRule returns a queue rule; retry allows retries of requests that may have run.
func newRule(retry bool) rules.Queue {
	return rules.Queue{Name: "q", Kind: rules.Answer, Service: "s", MaxWait: time.Second, RunTimeout: time.Second, Backlog: 2, Retry: retry}
}

// TestSlots checks that a free slot goes to the request that was queued first,
// that a full backlog refuses requests, and that a request that waits too long
// is refused as not executed.
func TestSlots(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 2, newRule(true))
	for range 2 {
		_, granted := f.admit()[0].Target.Get()
		is.True(granted)
	}
	is.Equal(len(f.admit()), 0) // the request waits for a slot
	is.Equal(len(f.admit()), 0)
	is.Equal(f.admit()[0].Err.Code, core.CodeBusy) // the backlog is full
	events := f.ctrl.RequestEnded(f.now, 1, admit.Completed, nil)
	is.True(events[0].Answered)
	is.Equal(events[1].ID, uint64(3)) // the request that was queued first
	f.now = f.now.Add(2 * time.Second)
	events = f.ctrl.Tick(f.now)
	is.Equal(events[0].Err.Code, core.CodeTimeout)
	is.Equal(events[0].Err.Execution, core.NotExecuted)
}

// TestOutcomes checks after which outcomes a request is retried on another target,
// and what a request that is not retried reports about its execution.
func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		retry     bool
		outcome   admit.Outcome
		retried   bool
		execution core.Execution
	}{
		"unsent":             {false, admit.Unsent, true, ""},
		"broken":             {false, admit.Aborted, false, core.ExecutionUnknown},
		"broken, repeatable": {true, admit.Aborted, true, ""},
		"cut, repeatable":    {true, admit.Truncated, false, core.ExecutionUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2, 1, newRule(tt.retry))
			first, _ := f.admit()[0].Target.Get()
			events := f.ctrl.RequestEnded(f.now, 1, tt.outcome, nil)
			second, granted := events[0].Target.Get()
			is.Equal(granted, tt.retried)
			if tt.retried {
				is.True(second.Name != first.Name) // on another target
				return
			}
			is.Equal(events[0].Err.Execution, tt.execution)
		})
	}
}

// TestDelayedRelease checks that the slot of an aborted request stays in use for
// the request's maximum run time, during which the target may still run it.
func TestDelayedRelease(t *testing.T) {
	is := is.New(t)
	q := newRule(false)
	q.MaxWait = 5 * time.Second
	f := newFixture(1, 1, q)
	f.admit()
	f.ctrl.RequestEnded(f.now, 1, admit.Aborted, nil)
	is.Equal(len(f.admit()), 0)
	f.now = f.now.Add(time.Second)
	is.Equal(len(f.ctrl.Tick(f.now.Add(-time.Millisecond))), 0)
	events := f.ctrl.Tick(f.now)
	is.Equal(len(events), 1)
	_, granted := events[0].Target.Get()
	is.True(granted)
}

// TestRemoteTarget fills all targets of the region. A request of one team that has
// waited long enough for another region must not wait behind newer ones of another team,
// and targets that are no longer listed must be forgotten.
func TestRemoteTarget(t *testing.T) {
	is := is.New(t)
	rule := newRule(true)
	rule.Backlog = 10
	f := newFixture(1, 2, rule)
	far := core.VM{Name: "far", Kind: "target", Region: "x", Zone: "x-a", Service: "s", Slots: 4, Addr: netip.MustParseAddrPort("127.0.0.1:2")}
	near := core.VM{Name: "t0", Kind: "target", Region: "r", Zone: "r-a", Service: "s", Slots: 2, Addr: netip.MustParseAddrPort("127.0.0.1:1")}
	f.ctrl.SetTargets(f.now, []core.VM{near, far})
	f.admit()
	f.admit() // team a holds both slots here
	is.Equal(len(f.admit()), 0)
	f.now = f.now.Add(150 * time.Millisecond)
	f.lastID++
	events := f.ctrl.Admit(f.now, admit.Request{ID: f.lastID, Team: "b", Rule: f.rule}) // team b uses less
	for range 3 {
		f.ctrl.UpdateDemand()
		f.grantAll()
		events = append(events, f.ctrl.Tick(f.now)...)
	}
	is.True(len(events) > 0)
	is.Equal(events[0].ID, uint64(3))
	f.ctrl.SetTargets(f.now, []core.VM{far})
	is.Equal(len(f.ctrl.Targets()), 1)
}
