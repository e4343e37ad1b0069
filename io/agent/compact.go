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
	// snapshotInterval is how many changes lie between two snapshots of the
	// configuration. As many are kept before a snapshot, for the history and
	// for processes that lag behind.
	snapshotInterval = 256
)

// snapshotRef is the stored form of the newest snapshot's place.
type snapshotRef struct {
	Version core.Version
	Object  string
}

// configSnapshot is the stored form of a whole configuration.
type configSnapshot struct {
	Version core.Version
	// Rules names the rules file in the object store; empty before the first.
	Rules string
	Keys  []keySnapshot
}

type keySnapshot struct {
	ID, Team, Hash, State string
}

// loadedSnapshot is a snapshot as read back.
type loadedSnapshot struct {
	version     core.Version
	rules       *rules.Set
	rulesObject string
	keys        []*conf.Key
}

// compact writes a snapshot of the configuration once enough changes have
// come since the last one, and deletes the rows long before it.
func (a *Agent) compact(ctx context.Context, v core.Version) error {
	if v%snapshotInterval != 0 {
		return nil
	}
	view, err := a.View(ctx)
	if err != nil || view.Version < v {
		return err
	}
	snap := configSnapshot{Version: view.Version, Rules: view.Object}
	for _, k := range view.Keys {
		snap.Keys = append(snap.Keys, keySnapshot{k.ID, string(k.Team), k.Hash, k.State()})
	}
	text, err := json.Marshal(snap)
	if err != nil {
		return &store.FormatError{Key: snapshotKey, Err: err}
	}
	h := snapshotRef{view.Version, fmt.Sprintf("conf/%d", view.Version)}
	if err := a.store.PutObject(ctx, h.Object, text); err != nil {
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
	if err := t.Set(snapshotKey, h); err != nil {
		return err
	}
	old, err := a.store.Scan(ctx, configPrefix, "")
	if err != nil {
		return err
	}
	for _, r := range old {
		if r.Key <= configKey(view.Version-min(view.Version, snapshotInterval)) {
			t.Dels = append(t.Dels, r.Key)
		}
	}
	_, err = a.store.Write(ctx, t)
	return err
}

// readSnapshot reads the newest snapshot if it is newer than a version.
func (a *Agent) readSnapshot(ctx context.Context, after core.Version) (*loadedSnapshot, error) {
	rows, err := a.store.Scan(ctx, snapshotKey, "")
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	var h snapshotRef
	if err := json.Unmarshal(rows[0].Val, &h); err != nil {
		return nil, &store.FormatError{Key: snapshotKey, Err: err}
	}
	if h.Version <= after {
		return nil, nil
	}
	text, err := a.store.Object(ctx, h.Object)
	if err != nil {
		return nil, err
	}
	var snap configSnapshot
	if err := json.Unmarshal(text, &snap); err != nil {
		return nil, &store.FormatError{Key: h.Object, Err: err}
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
