package agent

import (
	"context"
	"encoding/json"
	"fmt"

	"chicoryturn/core"
	"chicoryturn/core/conf"
	"chicoryturn/core/rules"
	"chicoryturn/io/parse"
	"chicoryturn/io/store"
)

const (
	snapshotKey = "head/conf"
	// snapshotInterval is the number of changes between two snapshots of the
	// configuration. As many changes before a snapshot are kept, for the history
	// and for processes that have not read them yet.
	snapshotInterval = 256
)

// snapshotRef is the stored reference to the newest snapshot.
type snapshotRef struct {
	Version core.Version
	Object  string
}

// configSnapshot is the stored form of a whole configuration.
type configSnapshot struct {
	Version core.Version
	// Rules names the object that holds the rules file. It is empty while no
	// rules have been pushed.
	Rules string
	Keys  []keySnapshot
}

// keySnapshot is the stored form of an API key.
type keySnapshot struct {
	ID, Team, Hash, State string
}

// loadedSnapshot is a snapshot that has been read and parsed.
type loadedSnapshot struct {
	version     core.Version
	rules       *rules.Set
	rulesObject string
	keys        []*conf.Key
}

// compact writes a snapshot of the configuration if v ends a snapshot interval,
// and deletes the changes at least one interval older than the snapshot.
func (a *Agent) compact(ctx context.Context, v core.Version) error {
	if v%snapshotInterval != 0 {
		return nil
	}
	view, err := a.View(ctx)
	if err != nil || view.Version < v {
		return err
	}
	snap := configSnapshot{Version: view.Version, Rules: view.RulesObject}
	for _, k := range view.Keys {
		snap.Keys = append(snap.Keys, keySnapshot{k.ID, string(k.Team), k.Hash, k.State()})
	}
	text, err := json.Marshal(snap)
	if err != nil {
		return &store.FormatError{Key: snapshotKey, Err: err}
	}
	ref := snapshotRef{view.Version, fmt.Sprintf("conf/%d", view.Version)}
	if err := a.store.PutObject(ctx, ref.Object, text); err != nil {
		return err
	}
	rows, err := a.store.Scan(ctx, snapshotKey, "")
	if err != nil {
		return err
	}
	t := store.Txn{Checks: []store.Check{{Key: snapshotKey}}}
	for _, r := range rows {
		t.Checks[0].Version = r.Version
	}
	if err := t.Set(snapshotKey, ref); err != nil {
		return err
	}
	changes, err := a.store.Scan(ctx, configPrefix, "")
	if err != nil {
		return err
	}
	for _, r := range changes {
		if r.Key <= configKey(view.Version-min(view.Version, snapshotInterval)) {
			t.Deletes = append(t.Deletes, r.Key)
		}
	}
	_, err = a.store.Write(ctx, t)
	return err
}

// readSnapshot reads the newest snapshot. It returns nil if there is none or if
// its version is not higher than after.
func (a *Agent) readSnapshot(ctx context.Context, after core.Version) (*loadedSnapshot, error) {
	rows, err := a.store.Scan(ctx, snapshotKey, "")
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	var ref snapshotRef
	if err := json.Unmarshal(rows[0].Val, &ref); err != nil {
		return nil, &store.FormatError{Key: snapshotKey, Err: err}
	}
	if ref.Version <= after {
		return nil, nil
	}
	text, err := a.store.Object(ctx, ref.Object)
	if err != nil {
		return nil, err
	}
	var snap configSnapshot
	if err := json.Unmarshal(text, &snap); err != nil {
		return nil, &store.FormatError{Key: ref.Object, Err: err}
	}
	out := &loadedSnapshot{version: snap.Version, rules: &rules.Set{}, rulesObject: snap.Rules}
	for _, k := range snap.Keys {
		key, err := conf.RestoreKey(k.ID, core.Team(k.Team), k.Hash, k.State)
		if err != nil {
			return nil, err
		}
		out.keys = append(out.keys, key)
	}
	if snap.Rules == "" {
		return out, nil
	}
	if text, err = a.store.Object(ctx, snap.Rules); err != nil {
		return nil, err
	}
	out.rules, err = parse.Rules(snap.Rules, text)
	return out, err
}
