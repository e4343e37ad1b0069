package agent

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/conf"
	"chicoryturn/core/rules"
	"chicoryturn/io/loop"
	"chicoryturn/io/parse"
	"chicoryturn/io/peer"
	"chicoryturn/io/store"
)

const (
	configPrefix = "conf/"
	// secretBytes is the length of an API key's secret.
	secretBytes = 24
	// nonceBytes is the length of a change's nonce and of an API key's ID.
	nonceBytes = 8
	// compactDelay lets a change come into force before the snapshot is taken.
	compactDelay = 2 * time.Second
	// maxChangeAttempts bounds the attempts to write a change. A change of keys is
	// retried under the next version if another operator's change took its version,
	// and any change is retried if its write was not answered.
	maxChangeAttempts = 64
)

// configKey returns the key of the row that holds a version's change.
func configKey(v core.Version) string { return fmt.Sprintf("%s%012d", configPrefix, v) }

// storedChange is the stored form of a conf.Change.
type storedChange struct {
	Version core.Version
	Kind    conf.ChangeKind
	// Object names the object that holds the rules file; PushRules only.
	Object string `json:",omitempty"`
	ID     string `json:",omitempty"`
	Team   string `json:",omitempty"`
	Hash   string `json:",omitempty"`
	At     time.Time
	By     string
	// Nonce is random; a writer whose write was not answered finds its own
	// change by it.
	Nonce string
}

// Messages to the control goroutine.
type (
	// configRead carries the changes that were read.
	configRead struct {
		sent    time.Time
		changes []conf.Change
		// rulesObject names the object of the newest rules file among the
		// changes; empty if there is none.
		rulesObject string
		// snapshot is set if changes before the first one read were deleted.
		snapshot *loadedSnapshot
		err      error
	}
	// confirmDone carries the result of confirmWithPeers for a version.
	confirmDone struct {
		confirmedAt time.Time
		version     core.Version
		ok          bool
	}
	viewRequest struct{ reply chan<- View }
	// configReadDue makes the next tick read the configuration.
	configReadDue struct{}
)

// Message implements loop.Message.
func (configReadDue) Message() {}

// Message implements loop.Message.
func (configRead) Message() {}

// Message implements loop.Message.
func (confirmDone) Message() {}

// Message implements loop.Message.
func (viewRequest) Message() {}

// readConfig reads the changes after the version in force, once per
// configInterval.
func (a *Agent) readConfig(now time.Time) {
	if a.readingConfig || now.Before(a.nextConfigRead) {
		return
	}
	a.readingConfig = true
	a.nextConfigRead = now.Add(configInterval)
	after := a.Config.Version()
	a.loop.Go(func(ctx context.Context) loop.Message {
		m := configRead{sent: time.Now()}
		ctx, cancel := context.WithTimeout(ctx, store.LeaseTimeout)
		defer cancel()
		m.err = a.readChanges(ctx, after, &m)
		return m
	})
}

// readChanges reads the changes after a version into m. If the next change has
// been deleted, it also reads the newest snapshot.
func (a *Agent) readChanges(ctx context.Context, after core.Version, m *configRead) error {
	rows, err := a.store.Scan(ctx, configPrefix, configKey(after))
	if err != nil {
		return err
	}
	if len(rows) > 0 && rows[0].Key != configKey(after+1) {
		if m.snapshot, err = a.readSnapshot(ctx, after); err != nil {
			return err
		}
	}
	for _, r := range rows {
		var c storedChange
		if err := json.Unmarshal(r.Val, &c); err != nil {
			return &store.FormatError{Key: r.Key, Err: err}
		}
		decoded, err := a.decodeChange(ctx, c)
		if err != nil {
			return err
		}
		if c.Kind == conf.PushRules {
			m.rulesObject = c.Object
		}
		m.changes = append(m.changes, decoded)
	}
	return nil
}

// decodeChange converts a change from its stored form. It reads and parses the
// rules file if the change has one.
func (a *Agent) decodeChange(ctx context.Context, c storedChange) (conf.Change, error) {
	out := conf.Change{Version: c.Version, Kind: c.Kind, At: c.At}
	if c.Kind != conf.PushRules {
		out.Key = &conf.Key{ID: c.ID, Team: core.Team(c.Team), Hash: c.Hash}
		return out, nil
	}
	text, err := a.store.Object(ctx, c.Object)
	if err != nil {
		return out, err
	}
	out.Rules, err = parse.Rules(c.Object, text)
	return out, err
}

// handleConfigRead puts the snapshot and the changes that were read in force.
func (a *Agent) handleConfigRead(now time.Time, m configRead) {
	a.readingConfig = false
	a.logFailureOnce("reading the configuration", m.err)
	before := a.Config.Version()
	if m.snapshot != nil {
		a.Config.Restore(m.snapshot.version, m.snapshot.rules, m.snapshot.keys)
		a.rulesObject = m.snapshot.rulesObject
	}
	if m.rulesObject != "" {
		a.rulesObject = m.rulesObject
	}
	err := a.applyAll(m.changes)
	a.logFailureOnce("applying the configuration", err)
	if m.err == nil && err == nil {
		a.Config.Confirm(m.sent)
	}
	if v := a.Config.Version(); v != before {
		a.log.Infof("configuration version %d is in force", v)
		a.Member.SetConfig(v)
		a.callbacks.ConfigChanged(now)
	}
}

// applyAll puts changes in force in order and stops at the first that fails.
func (a *Agent) applyAll(changes []conf.Change) error {
	for _, c := range changes {
		if err := a.Config.Apply(c); err != nil {
			return err
		}
	}
	return nil
}

// confirm asks the peers whether the version in force is the newest. It does so
// while the store does not answer: once the last confirmation is older than half
// of conf.MaxConfirmAge.
func (a *Agent) confirm(now time.Time) {
	if a.confirming || now.Before(a.nextConfirm) || now.Sub(a.Config.Confirmed()) < conf.MaxConfirmAge/2 || a.Config.Version() == 0 {
		return
	}
	a.confirming = true
	a.nextConfirm = now.Add(configInterval)
	peers, version := a.Member.Peers(), a.Config.Version()
	a.loop.Go(func(ctx context.Context) loop.Message {
		at, ok := a.confirmWithPeers(ctx, peers, version)
		return confirmDone{at, version, ok}
	})
}

// peerAnswer is the answer of one peer to confirmWithPeers.
type peerAnswer struct {
	alive peer.Alive
	// dead is set if the peer gave no answer and a probe proved it dead.
	dead bool
	err  error
}

// confirmWithPeers returns the latest time at which the version was known to be
// the newest, or false if there is none. A peer that runs the version reports
// when it confirmed it. If no live peer reaches the store either, no change can
// have been accepted, so the version is confirmed as of now. A peer that runs a
// newer version refutes it.
func (a *Agent) confirmWithPeers(ctx context.Context, peers []core.Process, version core.Version) (time.Time, bool) {
	ctx, cancel := context.WithTimeout(ctx, peer.ProbeTimeout)
	defer cancel()
	sent := time.Now()
	answers := make(chan peerAnswer, len(peers))
	for _, p := range peers {
		a.loop.Go(func(context.Context) loop.Message {
			r, err := a.peers.Alive(ctx, p)
			dead := err != nil && a.probe(ctx, p) == "dead"
			answers <- peerAnswer{r, dead, err}
			return nil
		})
	}
	storeUnreachable := true
	newest := time.Time{}
	for range peers {
		p := <-answers
		switch {
		case p.dead:
		case p.err != nil:
			storeUnreachable = false
		case p.alive.Config > version:
			return time.Time{}, false
		default:
			storeUnreachable = storeUnreachable && !p.alive.StoreReachable
			if at := sent.Add(-p.alive.Confirmed); p.alive.Config == version && at.After(newest) {
				newest = at
			}
		}
	}
	if storeUnreachable {
		return sent, true
	}
	return newest, !newest.IsZero()
}

// handleConfirm confirms the configuration unless another version has come into
// force since the peers were asked.
func (a *Agent) handleConfirm(m confirmDone) {
	a.confirming = false
	if m.ok && m.version == a.Config.Version() {
		a.Config.Confirm(m.confirmedAt)
	}
}

// View is the configuration in force, as operators see it and as a change is
// based on it.
type View struct {
	Version core.Version
	Rules   *rules.Set
	Keys    []*conf.Key
	// RulesObject names the object that holds the rules file; empty while no rules
	// have been pushed.
	RulesObject string
	// LowestVersion is the lowest version in force in any live process.
	LowestVersion core.Version
}

// View returns the configuration in force; it is called by traffic goroutines.
func (a *Agent) View(ctx context.Context) (View, error) {
	return loop.Ask(ctx, a.loop, func(c chan<- View) loop.Message { return viewRequest{c} })
}

// HandleView answers the message that View sends and reports whether m was one.
func (a *Agent) HandleView(now time.Time, m loop.Message) bool {
	request, ok := m.(viewRequest)
	if ok {
		request.reply <- View{a.Config.Version(), a.Config.Rules(), a.Config.Keys(), a.rulesObject, a.Member.LowestConfig(now)}
	}
	return ok
}

// PushRules stores a rules file as the next version. Unless base is zero, it
// refuses if another version than base is in force.
func (a *Agent) PushRules(ctx context.Context, text []byte, base core.Version, by string) (core.Version, error) {
	if _, err := parse.Rules("rules", text); err != nil {
		return 0, err
	}
	view, err := a.View(ctx)
	if err != nil {
		return 0, err
	}
	if base != 0 && base != view.Version {
		return 0, core.Refuse(core.CodeConflict, "version %d is in force, not %d: another change came first", view.Version, base)
	}
	sum := sha256.Sum256(text)
	object := "rules/" + hex.EncodeToString(sum[:])
	if err := a.store.PutObject(ctx, object, text); err != nil {
		return 0, storeRefusal(err)
	}
	return a.appendChange(ctx, view.Version+1, storedChange{Kind: conf.PushRules, Object: object, By: by}, false)
}

// GrantKey creates a key for a team and returns it. Only the hash of its secret
// is stored, so the key cannot be read again.
func (a *Agent) GrantKey(ctx context.Context, team core.Team, by string) (string, core.Version, error) {
	view, err := a.View(ctx)
	if err != nil {
		return "", 0, err
	}
	if _, ok := view.Rules.Teams[team]; !ok {
		return "", 0, core.Refuse(core.CodeUnknownTeam, "no rule for team %q", team)
	}
	id, secret := randomHex(nonceBytes), randomHex(secretBytes)
	v, err := a.appendChange(ctx, view.Version+1, storedChange{
		Kind: conf.GrantKey, ID: id, Team: string(team), Hash: conf.HashSecret(secret), By: by,
	}, true)
	return id + "." + secret, v, err
}

// WithdrawKey withdraws a key, which is then no longer accepted.
func (a *Agent) WithdrawKey(ctx context.Context, id, by string) (core.Version, error) {
	view, err := a.View(ctx)
	if err != nil {
		return 0, err
	}
	for _, k := range view.Keys {
		if k.ID == id {
			return a.appendChange(ctx, view.Version+1, storedChange{Kind: conf.WithdrawKey, ID: id, Team: string(k.Team), By: by}, true)
		}
	}
	return 0, core.Refuse(core.CodeBadKey, "no key %q", id)
}

// appendChange writes a change as version v. If another change has taken that
// version, a change that commutes is written under the next one, and any other is
// refused. If a write is not answered, appendChange reads whether it took effect
// and retries if it did not.
func (a *Agent) appendChange(ctx context.Context, v core.Version, c storedChange, commutes bool) (core.Version, error) {
	c.Nonce = randomHex(nonceBytes)
	c.At = time.Now().UTC()
	for range maxChangeAttempts {
		c.Version = v
		t := store.Txn{Checks: []store.Check{{Key: configKey(v)}}}
		if err := t.Set(configKey(v), c); err != nil {
			return 0, err
		}
		_, err := a.store.Write(ctx, t)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			a.changeAccepted(v)
			return v, nil
		case errors.As(err, &conflict):
			if hasNonce(conflict, c.Nonce) {
				a.changeAccepted(v)
				return v, nil
			}
			if !commutes {
				return 0, core.Refuse(core.CodeConflict, "another operator's change became version %d first", v)
			}
			v++
		default:
			if written, readErr := a.wasWritten(ctx, v, c.Nonce); readErr != nil {
				return 0, core.RefuseUnknown(core.CodeStoreUnavailable, err, "the change may or may not have been accepted as version %d", v)
			} else if written {
				a.changeAccepted(v)
				return v, nil
			}
		}
	}
	return 0, core.Refuse(core.CodeConflict, "change not written: too many attempts conflicted with other changes or were not answered")
}

// changeAccepted makes this process read, at once, a change that it has written,
// and schedules the compaction.
func (a *Agent) changeAccepted(v core.Version) {
	// Post fails only if the loop has stopped; the change is then not needed here.
	_ = a.loop.Post(configReadDue{})
	a.scheduleCompaction(v)
}

// scheduleCompaction calls compact after compactDelay, when the version should
// be in force in this process, if the version ends a snapshot interval.
func (a *Agent) scheduleCompaction(v core.Version) {
	if v%snapshotInterval != 0 {
		return
	}
	a.loop.Go(func(ctx context.Context) loop.Message {
		t := time.NewTimer(compactDelay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
		if err := a.compact(ctx, v); err != nil {
			a.log.WithError(err).Warn("configuration not compacted; will retry at the end of the next snapshot interval")
		}
		return nil
	})
}

// hasNonce reports whether a row in conflict is the change with the nonce.
func hasNonce(conflict *store.ConflictError, nonce string) bool {
	for _, r := range conflict.Rows {
		var c storedChange
		if json.Unmarshal(r.Val, &c) == nil && c.Nonce == nonce {
			return true
		}
	}
	return false
}

// wasWritten reads the rows from version v on and reports whether one of them is
// the change with the nonce. It is called after a write that was not answered.
func (a *Agent) wasWritten(ctx context.Context, v core.Version, nonce string) (bool, error) {
	rows, err := a.store.Scan(ctx, configKey(v), "")
	if err != nil {
		return false, err
	}
	return hasNonce(&store.ConflictError{Rows: rows}, nonce), nil
}

// storeRefusal returns the refusal of an operation that changed nothing because
// the store failed.
func storeRefusal(err error) error {
	r := core.Refuse(core.CodeStoreUnavailable, "nothing was changed")
	r.Err = err
	r.RetryAfter = time.Second
	return r
}

// HistoryEntry is one accepted change, as operators see it.
type HistoryEntry struct {
	Version core.Version
	Kind    conf.ChangeKind
	// Subject names the object of a rules file, or the key and its team.
	Subject string `json:"What"`
	By      string
	At      time.Time
}

// History returns the accepted changes that compaction has kept, oldest first.
func (a *Agent) History(ctx context.Context) ([]HistoryEntry, error) {
	rows, err := a.store.Scan(ctx, configPrefix, "")
	if err != nil {
		return nil, storeRefusal(err)
	}
	var out []HistoryEntry
	for _, r := range rows {
		var c storedChange
		if err := json.Unmarshal(r.Val, &c); err != nil {
			return nil, &store.FormatError{Key: r.Key, Err: err}
		}
		subject := c.Object
		if c.Kind != conf.PushRules {
			subject = "key " + c.ID + " of team " + c.Team
		}
		out = append(out, HistoryEntry{c.Version, c.Kind, subject, c.By, c.At})
	}
	return out, nil
}

// RulesText returns the rules file in force and the version of the
// configuration.
func (a *Agent) RulesText(ctx context.Context) ([]byte, core.Version, error) {
	view, err := a.View(ctx)
	if err != nil {
		return nil, 0, err
	}
	if view.RulesObject == "" {
		return nil, 0, core.Refuse(core.CodeBadInput, "no rules have been pushed")
	}
	text, err := a.store.Object(ctx, view.RulesObject)
	if err != nil {
		return nil, 0, storeRefusal(err)
	}
	return text, view.Version, nil
}

// randomHex returns n random bytes in hexadecimal.
func randomHex(n int) string {
	b := make([]byte, n)
	// rand.Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
