// Package conf keeps the configuration in force in one process. Versions are
// applied one by one and only upwards.
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
var versionText []byte

var (
	versionChart = chart.Must(chart.Load(versionText, map[string]chart.Guard[*version]{
		"next": func(v *version) bool { return v.number == v.book.number+1 },
	}, nil))
	evFetch   = versionChart.Event("fetch")
	evApply   = versionChart.Event("apply")
	evReplace = versionChart.Event("replace")
)

type version struct {
	number core.Version
	state  chart.State
	book   *Config
}

// ConfirmWithin is how long a process goes on honouring keys without having
// confirmed that it runs the newest version.
const ConfirmWithin = 4 * time.Second

// ChangeKind says what a change does.
type ChangeKind string

// The kinds of change.
const (
	PushRules   ChangeKind = "rules"
	GrantKey    ChangeKind = "grant"
	WithdrawKey ChangeKind = "withdraw"
)

// Change is one accepted step of the configuration.
type Change struct {
	// Version is one more than that of the change before.
	Version core.Version
	Kind    ChangeKind
	// Rules is set for PushRules, Key for the others.
	Rules *rules.Set
	Key   *Key
	At    time.Time
}

// Config is the configuration that one process runs.
type Config struct {
	number    core.Version
	current   *version
	rules     *rules.Set
	keys      map[string]*Key
	confirmed time.Time
}

// New returns a book at version 0, which lets no work in.
func New() *Config {
	return &Config{rules: &rules.Set{}, keys: map[string]*Key{}}
}

// Version returns the version in force.
func (b *Config) Version() core.Version { return b.number }

// State returns the state of the version in force.
func (b *Config) State() string {
	if b.current == nil {
		return "none"
	}
	return versionChart.Name(b.current.state)
}

// Rules returns the rules in force; the caller must not change them.
func (b *Config) Rules() *rules.Set { return b.rules }

// Keys returns the keys sorted by ID.
func (b *Config) Keys() []*Key {
	out := make([]*Key, 0, len(b.keys))
	for _, k := range b.keys {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Restore replaces the whole content by that of a newer snapshot.
func (b *Config) Restore(number core.Version, set *rules.Set, keys []*Key) {
	if number <= b.number {
		return
	}
	b.number = number
	b.current = &version{number: number, state: versionChart.State("inforce"), book: b}
	b.rules = set
	b.keys = map[string]*Key{}
	for _, k := range keys {
		b.keys[k.ID] = k
	}
}

// Apply puts the next change in force. A change already applied is ignored;
// one that skips a version is refused.
func (b *Config) Apply(c Change) error {
	if c.Version <= b.number {
		return nil
	}
	v := &version{number: c.Version, state: versionChart.Start(), book: b}
	if err := versionChart.Fire(&v.state, evFetch, v); err != nil {
		return err
	}
	if err := versionChart.Fire(&v.state, evApply, v); err != nil {
		return err
	}
	if err := b.change(c); err != nil {
		return err
	}
	if b.current != nil {
		if err := versionChart.Fire(&b.current.state, evReplace, b.current); err != nil {
			return err
		}
	}
	b.current = v
	b.number = c.Version
	return nil
}

func (b *Config) change(c Change) error {
	switch c.Kind {
	case PushRules:
		b.rules = c.Rules
	case GrantKey:
		k := *c.Key
		k.state = keyChart.Start()
		b.keys[k.ID] = &k
	case WithdrawKey:
		k, ok := b.keys[c.Key.ID]
		if !ok {
			return nil
		}
		return keyChart.Fire(&k.state, keyChart.Event("withdraw"), k)
	default:
		return core.Refuse(core.CodeBadInput, "unknown kind of change %q", c.Kind)
	}
	return nil
}

// Confirm notes that the version in force was the newest when the question
// was sent.
func (b *Config) Confirm(sent time.Time) {
	if sent.After(b.confirmed) {
		b.confirmed = sent
	}
}

// Confirmed returns when the version was last known to be the newest.
func (b *Config) Confirmed() time.Time { return b.confirmed }

// Admit returns the team and rule under which work may enter a queue. Key is
// empty for a caller that showed none; team is what the caller claims.
func (b *Config) Admit(now time.Time, queue core.Queue, team core.Team, key string) (core.Team, *rules.Queue, error) {
	if b.number == 0 {
		r := core.Refuse(core.CodeConfig, "no configuration has been read yet")
		r.RetryAfter = time.Second
		return "", nil, r
	}
	q, ok := b.rules.Queues[queue]
	if !ok {
		return "", nil, core.Refuse(core.CodeNoQueue, "no rule for queue %q", queue)
	}
	if key != "" || !q.Open {
		owner, err := b.owner(now, key)
		if err != nil {
			return "", nil, err
		}
		if team != "" && team != owner {
			return "", nil, core.Refuse(core.CodeBadKey, "the key is not one of team %q", team)
		}
		team = owner
	}
	if _, ok := b.rules.Teams[team]; !ok {
		return "", nil, core.Refuse(core.CodeNoTeam, "no rule for team %q", team)
	}
	if !q.Allows(team) {
		return "", nil, core.Refuse(core.CodeBadKey, "queue %q is not open to team %q", queue, team)
	}
	return team, &q, nil
}

// TeamOf returns the team of a key.
func (b *Config) TeamOf(now time.Time, key string) (core.Team, error) { return b.owner(now, key) }

func (b *Config) owner(now time.Time, key string) (core.Team, error) {
	if now.Sub(b.confirmed) > ConfirmWithin {
		r := core.Refuse(core.CodeConfig, "cannot confirm that keys are current")
		r.RetryAfter = time.Second
		return "", r
	}
	id, secret, ok := SplitKey(key)
	if !ok {
		return "", core.Refuse(core.CodeBadKey, "no key, or not of the form ID.SECRET")
	}
	k, ok := b.keys[id]
	if !ok || !k.matches(secret) || !k.live() {
		return "", core.Refuse(core.CodeBadKey, "the key is unknown or withdrawn")
	}
	return k.Team, nil
}

// RestoreKey returns a key in the named state, for snapshots.
func RestoreKey(id string, team core.Team, hash, state string) (*Key, error) {
	at, ok := keyChart.Lookup(state)
	if !ok {
		return nil, core.Refuse(core.CodeBadInput, "key %s has unknown state %q", id, state)
	}
	return &Key{ID: id, Team: team, Hash: hash, state: at}, nil
}
