// Package conf holds the configuration that one process has in force. Versions
// are applied one at a time, in increasing order.
package conf

import (
	_ "embed"
	"sort"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/chart"
	"chicoryturn/core/rules"
)

//go:embed version.toml
var versionChartText []byte

var (
	versionChart = chart.Must(chart.Load(versionChartText, map[string]chart.Guard[*versionState]{
		"next": func(v *versionState) bool { return v.number == v.config.version+1 },
	}, nil))
	versionEventFetch   = versionChart.Event("fetch")
	versionEventApply   = versionChart.Event("apply")
	versionEventReplace = versionChart.Event("replace")
)

// versionState is one configuration version and its state in the chart.
type versionState struct {
	number core.Version
	state  chart.State
	config *Config
}

// MaxConfirmAge is the maximum age of the last confirmation that the process
// runs the newest version. A process refuses all keys when it is exceeded, so
// that a withdrawn key does not stay usable.
const MaxConfirmAge = 4 * time.Second

// ChangeKind is the kind of a configuration change.
type ChangeKind string

// The kinds of change.
const (
	PushRules   ChangeKind = "rules"
	GrantKey    ChangeKind = "grant"
	WithdrawKey ChangeKind = "withdraw"
)

// Change is one accepted configuration change.
type Change struct {
	// Version is one more than the version of the previous change.
	Version core.Version
	Kind    ChangeKind
	// Rules is set for PushRules; Key is set for GrantKey and WithdrawKey.
	Rules *rules.Set
	Key   *Key
	At    time.Time
}

// Config is the configuration that one process has in force.
type Config struct {
	version core.Version
	current *versionState
	rules   *rules.Set
	keys    map[string]*Key
	// confirmed is the send time of the newest query that confirmed the version.
	confirmed time.Time
}

// New returns a configuration at version 0, which admits no work.
func New() *Config {
	return &Config{rules: &rules.Set{}, keys: map[string]*Key{}}
}

// Version returns the version in force.
func (c *Config) Version() core.Version { return c.version }

// State returns the chart state of the version in force, or "none".
func (c *Config) State() string {
	if c.current == nil {
		return "none"
	}
	return versionChart.Name(c.current.state)
}

// Rules returns the rules in force; the caller must not change them.
func (c *Config) Rules() *rules.Set { return c.rules }

// Keys returns the keys sorted by ID.
func (c *Config) Keys() []*Key {
	out := make([]*Key, 0, len(c.keys))
	for _, k := range c.keys {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Restore replaces the configuration with a snapshot. It ignores a snapshot
// that is not newer than the version in force.
func (c *Config) Restore(version core.Version, set *rules.Set, keys []*Key) {
	if version <= c.version {
		return
	}
	c.version = version
	c.current = &versionState{number: version, state: versionChart.State("inforce"), config: c}
	c.rules = set
	c.keys = map[string]*Key{}
	for _, k := range keys {
		c.keys[k.ID] = k
	}
}

// Apply puts the next change in force. It ignores a change that is already
// applied and refuses one that skips a version.
func (c *Config) Apply(change Change) error {
	if change.Version <= c.version {
		return nil
	}
	v := &versionState{number: change.Version, state: versionChart.Start(), config: c}
	if err := versionChart.Fire(&v.state, versionEventFetch, v); err != nil {
		return err
	}
	if err := versionChart.Fire(&v.state, versionEventApply, v); err != nil {
		return err
	}
	if err := c.applyChange(change); err != nil {
		return err
	}
	if c.current != nil {
		if err := versionChart.Fire(&c.current.state, versionEventReplace, c.current); err != nil {
			return err
		}
	}
	c.current = v
	c.version = change.Version
	return nil
}

func (c *Config) applyChange(change Change) error {
	switch change.Kind {
	case PushRules:
		c.rules = change.Rules
	case GrantKey:
		k := *change.Key
		k.state = keyChart.Start()
		c.keys[k.ID] = &k
	case WithdrawKey:
		k, ok := c.keys[change.Key.ID]
		if !ok {
			return nil
		}
		return keyChart.Fire(&k.state, keyChart.Event("withdraw"), k)
	default:
		return core.Refuse(core.CodeBadInput, "unknown kind of change %q", change.Kind)
	}
	return nil
}

// Confirm records that the version in force was the newest when the query for
// the newest version was sent.
func (c *Config) Confirm(sent time.Time) {
	if sent.After(c.confirmed) {
		c.confirmed = sent
	}
}

// Confirmed returns the latest time at which the version in force is known to
// have been the newest.
func (c *Config) Confirmed() time.Time { return c.confirmed }

// Admit checks whether work may enter a queue and returns its team and the
// queue's rule. The key is empty if the caller sent none; team is the team that
// the caller named, or empty.
func (c *Config) Admit(now time.Time, queue core.Queue, team core.Team, key string) (core.Team, *rules.Queue, error) {
	if c.version == 0 {
		r := core.Refuse(core.CodeConfigUnconfirmed, "no configuration has been loaded yet")
		r.RetryAfter = time.Second
		return "", nil, r
	}
	q, ok := c.rules.Queues[queue]
	if !ok {
		return "", nil, core.Refuse(core.CodeUnknownQueue, "no rule for queue %q", queue)
	}
	if key != "" || !q.Public {
		keyTeam, err := c.teamOf(now, key)
		if err != nil {
			return "", nil, err
		}
		if team != "" && team != keyTeam {
			return "", nil, core.Refuse(core.CodeBadKey, "the key does not belong to team %q", team)
		}
		team = keyTeam
	}
	if _, ok := c.rules.Teams[team]; !ok {
		return "", nil, core.Refuse(core.CodeUnknownTeam, "no rule for team %q", team)
	}
	if !q.Allows(team) {
		return "", nil, core.Refuse(core.CodeBadKey, "queue %q is not open to team %q", queue, team)
	}
	return team, &q, nil
}

// TeamOf returns the team of a key that is in force.
func (c *Config) TeamOf(now time.Time, key string) (core.Team, error) { return c.teamOf(now, key) }

func (c *Config) teamOf(now time.Time, key string) (core.Team, error) {
	if now.Sub(c.confirmed) > MaxConfirmAge {
		r := core.Refuse(core.CodeConfigUnconfirmed, "cannot confirm that the configuration is current; keys are not accepted")
		r.RetryAfter = time.Second
		return "", r
	}
	id, secret, ok := SplitKey(key)
	if !ok {
		return "", core.Refuse(core.CodeBadKey, "the key is missing or not of the form ID.SECRET")
	}
	k, ok := c.keys[id]
	if !ok || !k.matchesSecret(secret) || !k.isGranted() {
		return "", core.Refuse(core.CodeBadKey, "the key is unknown or withdrawn")
	}
	return k.Team, nil
}

// RestoreKey rebuilds a key from a snapshot, where its state is stored by name.
func RestoreKey(id string, team core.Team, hash, stateName string) (*Key, error) {
	state, ok := keyChart.Lookup(stateName)
	if !ok {
		return nil, core.Refuse(core.CodeBadInput, "key %s has unknown state %q", id, stateName)
	}
	return &Key{ID: id, Team: team, Hash: hash, state: state}, nil
}
