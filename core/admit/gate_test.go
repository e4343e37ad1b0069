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

// rig is a gate whose book has been granted all that it declared.
type rig struct {
	gate *admit.Controller
	book *ledger.Ledger
	now  time.Time
	rule *rules.Queue
	next uint64
}

func newRig(targets, slots int, rule rules.Queue) *rig {
	r := &rig{book: ledger.New("gate"), now: time.Now(), rule: &rule}
	r.gate = admit.New("r", "r-a", r.book)
	r.gate.SetRules(&rules.Set{
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
	r.gate.SetTargets(r.now, vms)
	r.grant()
	return r
}

func (r *rig) grant() {
	changes := r.book.Plan()
	versions := make([]uint64, len(changes))
	for i := range versions {
		versions[i] = 1
	}
	r.book.Applied(changes, versions, true)
}

func (r *rig) ask() []admit.Event {
	r.next++
	return r.gate.Admit(r.now, admit.Request{ID: r.next, Team: "a", Rule: r.rule})
}

func rule(repeat bool) rules.Queue {
	return rules.Queue{Name: "q", Kind: rules.Answer, Service: "s", Wait: time.Second, Run: time.Second, Backlog: 2, Repeat: repeat}
}

func TestSlots(t *testing.T) {
	is := is.New(t)
	r := newRig(1, 2, rule(true))
	for range 2 {
		_, granted := r.ask()[0].Target.Get()
		is.True(granted)
	}
	is.Equal(len(r.ask()), 0) // waits
	is.Equal(len(r.ask()), 0)
	is.Equal(r.ask()[0].Err.Code, core.CodeBusy) // beyond the backlog
	events := r.gate.RequestEnded(r.now, 1, admit.Completed, nil)
	is.True(events[0].Ended)
	is.Equal(events[1].ID, uint64(3)) // the one that came first
	r.now = r.now.Add(2 * time.Second)
	events = r.gate.Tick(r.now)
	is.Equal(events[0].Err.Code, core.CodeTimeout)
	is.Equal(events[0].Err.Execution, core.NotExecuted)
}

func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		repeat  bool
		outcome admit.Outcome
		again   bool
		run     core.Execution
	}{
		"unsent":             {false, admit.Unsent, true, ""},
		"broken":             {false, admit.Aborted, false, core.ExecutionUnknown},
		"broken, repeatable": {true, admit.Aborted, true, ""},
		"cut, repeatable":    {true, admit.Truncated, false, core.ExecutionUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(2, 1, rule(tt.repeat))
			first, _ := r.ask()[0].Target.Get()
			events := r.gate.RequestEnded(r.now, 1, tt.outcome, nil)
			second, granted := events[0].Target.Get()
			is.Equal(granted, tt.again)
			if tt.again {
				is.True(second.Name != first.Name) // another target
				return
			}
			is.Equal(events[0].Err.Execution, tt.run)
		})
	}
}

// TestLinger shows that the slot of a broken request stays taken until the
// target has surely ended it.
func TestLinger(t *testing.T) {
	is := is.New(t)
	q := rule(false)
	q.Wait = 5 * time.Second
	r := newRig(1, 1, q)
	r.ask()
	r.gate.RequestEnded(r.now, 1, admit.Aborted, nil)
	is.Equal(len(r.ask()), 0)
	r.now = r.now.Add(time.Second)
	is.Equal(len(r.gate.Tick(r.now.Add(-time.Millisecond))), 0)
	events := r.gate.Tick(r.now)
	is.Equal(len(events), 1)
	_, granted := events[0].Target.Get()
	is.True(granted)
}
