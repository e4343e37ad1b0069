// Package chart interprets state charts that are written in TOML files. A chart
// names states, events, guards and actions; code registers the guards and
// actions by name. Loading fails if a name is unknown, a state is unreachable,
// or a state neither handles, ignores nor refuses one of the events.
package chart

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// State is the index of a state within its chart.
type State uint8

// Event is the index of an event within its chart.
type Event uint8

// LoadError reports a chart file that cannot be loaded.
type LoadError struct {
	Chart  string
	Reason string
	Err    error
}

// Error implements error.
func (e *LoadError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("chart %s: %s: %v", e.Chart, e.Reason, e.Err)
	}
	return fmt.Sprintf("chart %s: %s", e.Chart, e.Reason)
}

// Unwrap returns the underlying error.
func (e *LoadError) Unwrap() error { return e.Err }

// RefusedError reports an event that the current state refuses.
type RefusedError struct {
	Chart, State, Event string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s in state %s refuses event %s", e.Chart, e.State, e.Event)
}

// Transition is one transition out of a state, as written in the chart file.
type Transition struct {
	// On names the event and To the next state.
	On string `toml:"on"`
	To string `toml:"to"`
	// If names a guard. Of the transitions on one event, the first without a
	// guard or whose guard returns true is taken.
	If string `toml:"if"`
	// Do names the actions that the transition runs, in order.
	Do []string `toml:"do"`
}

// StateDef is one state, as written in the chart file.
type StateDef struct {
	Name string `toml:"name"`
	// Final marks a state without transitions.
	Final       bool         `toml:"final"`
	Transitions []Transition `toml:"step"`
	Ignore      []string     `toml:"ignore"`
	Refuse      []string     `toml:"refuse"`
}

// Chart is the content of a chart file.
type Chart struct {
	Name   string     `toml:"chart"`
	About  string     `toml:"about"`
	Start  string     `toml:"start"`
	Events []string   `toml:"events"`
	States []StateDef `toml:"state"`
}

// Parse decodes a chart file and validates it.
func Parse(text []byte) (*Chart, error) {
	var c Chart
	dec := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		return nil, &LoadError{Chart: c.Name, Reason: "file is not readable as TOML", Err: err}
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	return &c, nil
}

func (c *Chart) loadError(format string, args ...any) error {
	return &LoadError{Chart: c.Name, Reason: fmt.Sprintf(format, args...)}
}

func (c *Chart) stateIndex(state string) int {
	return slices.IndexFunc(c.States, func(def StateDef) bool { return def.Name == state })
}

func (c *Chart) validate() error {
	if c.Name == "" || len(c.States) == 0 || len(c.States) > 255 || len(c.Events) > 255 {
		return c.loadError("needs a name and 1 to 255 states and events")
	}
	if c.stateIndex(c.Start) < 0 {
		return c.loadError("start state %q is not defined", c.Start)
	}
	for _, def := range c.States {
		if err := c.validateState(def); err != nil {
			return err
		}
	}
	return c.validateReachability()
}

// validateState checks that a state handles, ignores or refuses each event, that
// it names only known states and events, and that each of its transitions can be
// taken. Transitions that all have a guard must be combined with ignoring or
// refusing the event, for the case that no guard returns true.
func (c *Chart) validateState(def StateDef) error {
	// handledBy maps an event to "step" if transitions handle it, and to "list" if
	// it is in the list of ignored or refused events. guarded is true while all
	// transitions on the event have a guard.
	handledBy := map[string]string{}
	guarded := map[string]bool{}
	for _, tr := range def.Transitions {
		if c.stateIndex(tr.To) < 0 {
			return c.loadError("state %s leads to unknown state %q", def.Name, tr.To)
		}
		if !slices.Contains(c.Events, tr.On) {
			return c.loadError("state %s names unknown event %q", def.Name, tr.On)
		}
		if handledBy[tr.On] == "step" && !guarded[tr.On] {
			return c.loadError("state %s has a transition on %q after an unguarded one, which can never be taken", def.Name, tr.On)
		}
		handledBy[tr.On] = "step"
		guarded[tr.On] = tr.If != ""
	}
	for _, list := range [][]string{def.Ignore, def.Refuse} {
		for _, ev := range list {
			if !slices.Contains(c.Events, ev) {
				return c.loadError("state %s names unknown event %q", def.Name, ev)
			}
			if handledBy[ev] == "list" || (handledBy[ev] == "step" && !guarded[ev]) {
				return c.loadError("state %s decides event %q twice", def.Name, ev)
			}
			handledBy[ev] = "list"
			guarded[ev] = false
		}
	}
	for _, ev := range c.Events {
		if handledBy[ev] == "" || guarded[ev] {
			return c.loadError("state %s leaves event %q undecided", def.Name, ev)
		}
	}
	if def.Final != (len(def.Transitions) == 0) {
		return c.loadError("state %s must be marked final if it has no transitions, and only then", def.Name)
	}
	return nil
}

// validateReachability checks that each state can be reached from the start
// state.
func (c *Chart) validateReachability() error {
	seen := map[string]bool{c.Start: true}
	todo := []string{c.Start}
	for len(todo) > 0 {
		def := c.States[c.stateIndex(todo[0])]
		todo = todo[1:]
		for _, tr := range def.Transitions {
			if !seen[tr.To] {
				seen[tr.To] = true
				todo = append(todo, tr.To)
			}
		}
	}
	for _, def := range c.States {
		if !seen[def.Name] {
			return c.loadError("state %s cannot be reached", def.Name)
		}
	}
	return nil
}

// Draw returns the chart as text, with one line per transition.
func (c *Chart) Draw() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s\nstart: %s\n", c.Name, c.About, c.Start)
	for _, def := range c.States {
		for _, tr := range def.Transitions {
			fmt.Fprintf(&b, "  %-10s --%s", def.Name, tr.On)
			if tr.If != "" {
				fmt.Fprintf(&b, " [%s]", tr.If)
			}
			fmt.Fprintf(&b, "--> %s", tr.To)
			if len(tr.Do) > 0 {
				fmt.Fprintf(&b, " / %s", strings.Join(tr.Do, ", "))
			}
			b.WriteByte('\n')
		}
		if def.Final {
			fmt.Fprintf(&b, "  %-10s (final)\n", def.Name)
		}
	}
	return b.String()
}

// Guard reports whether a transition may be taken.
type Guard[T any] func(T) bool

// Action is run by a transition, after the state has changed.
type Action[T any] func(T)

// boundTransition is a transition with its guard and actions resolved.
type boundTransition[T any] struct {
	to      State
	guard   Guard[T]
	actions []Action[T]
}

// response is what one state does on one event. The event is refused if no
// transition applies and it is not ignored.
type response[T any] struct {
	transitions []boundTransition[T]
	ignored     bool
}

// Machine runs one chart over values of type T.
type Machine[T any] struct {
	chart *Chart
	// table is indexed by state, then by event.
	table [][]response[T]
}

// Load parses a chart and binds its guards and actions. Each guard and action in
// the chart must be registered, and each registered one must be used.
func Load[T any](text []byte, guards map[string]Guard[T], actions map[string]Action[T]) (*Machine[T], error) {
	c, err := Parse(text)
	if err != nil {
		return nil, err
	}
	m := &Machine[T]{chart: c, table: make([][]response[T], len(c.States))}
	used := map[string]bool{}
	for i, def := range c.States {
		m.table[i] = make([]response[T], len(c.Events))
		for _, ev := range def.Ignore {
			m.table[i][slices.Index(c.Events, ev)].ignored = true
		}
		for _, tr := range def.Transitions {
			t := boundTransition[T]{to: State(c.stateIndex(tr.To))}
			if tr.If != "" {
				if t.guard = guards[tr.If]; t.guard == nil {
					return nil, c.loadError("unknown guard %q", tr.If)
				}
				used["guard "+tr.If] = true
			}
			for _, name := range tr.Do {
				if actions[name] == nil {
					return nil, c.loadError("unknown action %q", name)
				}
				used["action "+name] = true
				t.actions = append(t.actions, actions[name])
			}
			r := &m.table[i][slices.Index(c.Events, tr.On)]
			r.transitions = append(r.transitions, t)
		}
	}
	return m, m.checkUsed(used, guards, actions)
}

// checkUsed returns an error if a registered guard or action is not used.
func (m *Machine[T]) checkUsed(used map[string]bool, guards map[string]Guard[T], actions map[string]Action[T]) error {
	var unused []string
	for name := range guards {
		if !used["guard "+name] {
			unused = append(unused, "guard "+name)
		}
	}
	for name := range actions {
		if !used["action "+name] {
			unused = append(unused, "action "+name)
		}
	}
	if len(unused) == 0 {
		return nil
	}
	sort.Strings(unused)
	return m.chart.loadError("unused %s", strings.Join(unused, ", "))
}

// Must returns m and panics if err is set. It is for charts embedded in the
// program, all of which are loaded by tests.
func Must[T any](m *Machine[T], err error) *Machine[T] {
	if err != nil {
		panic(err)
	}
	return m
}

// Start returns the initial state.
func (m *Machine[T]) Start() State { return State(m.chart.stateIndex(m.chart.Start)) }

// Lookup returns the index of a named state, if there is one.
func (m *Machine[T]) Lookup(name string) (State, bool) {
	i := m.chart.stateIndex(name)
	return State(max(i, 0)), i >= 0
}

// State returns the index of a named state; the name must exist.
func (m *Machine[T]) State(name string) State {
	i := m.chart.stateIndex(name)
	if i < 0 {
		panic(m.chart.loadError("unknown state %q", name))
	}
	return State(i)
}

// Event returns the index of a named event; the name must exist.
func (m *Machine[T]) Event(name string) Event {
	i := slices.Index(m.chart.Events, name)
	if i < 0 {
		panic(m.chart.loadError("unknown event %q", name))
	}
	return Event(i)
}

// Name returns the name of a state.
func (m *Machine[T]) Name(s State) string { return m.chart.States[s].Name }

// Final reports whether a state has no transitions.
func (m *Machine[T]) Final(s State) bool { return m.chart.States[s].Final }

// Fire handles an event: it stores the next state in *state, then runs the
// transition's actions on val. An ignored event changes nothing; a refused event
// returns a RefusedError.
func (m *Machine[T]) Fire(state *State, ev Event, val T) error {
	r := &m.table[*state][ev]
	for i := range r.transitions {
		t := &r.transitions[i]
		if t.guard != nil && !t.guard(val) {
			continue
		}
		*state = t.to
		for _, action := range t.actions {
			action(val)
		}
		return nil
	}
	if r.ignored {
		return nil
	}
	return &RefusedError{m.chart.Name, m.Name(*state), m.chart.Events[ev]}
}

// Draw returns the chart as text, with one line per transition.
func (m *Machine[T]) Draw() string { return m.chart.Draw() }
