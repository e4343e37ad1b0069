// Package once records the first attempt under each idempotency key, so that a repeated
// request or job finds it through any gate.
package once

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"chicoryturn/core"
	"chicoryturn/io/store"
)

const (
	// intentPrefix is the prefix of the keys of all intents' rows.
	intentPrefix = "once/"
	// maxIntentBatch bounds the intents of one write.
	maxIntentBatch = 200
	// maxQueuedIntents bounds the intents that wait for a write.
	maxQueuedIntents = 4096
	// maxIntentRetries bounds how often a write that was not answered is retried.
	maxIntentRetries = 2
	// intentWriteInterval is the pause after each write. It lets intents collect
	// into a batch.
	intentWriteInterval = 5 * time.Millisecond
)

// Intent is the stored form of the first attempt under an idempotency key.
type Intent struct {
	Gate core.SessionID
	// Nonce is random; a gate whose write was not answered recognizes its own
	// row by it.
	Nonce string
	// Job is set if the attempt submits a job.
	Job core.JobID `json:",omitempty"`
	At  time.Time
}

// queuedIntent is an intent that has not been recorded yet.
type queuedIntent struct {
	key    string
	intent Intent
	reply  chan Result
	// duplicates are later intents under the same key, which wait for this one.
	duplicates []*queuedIntent
}

// answer sends the result of an intent. Its duplicates get the intent that is recorded
// under the key; if it is not known whether one is, they get the error.
func (q *queuedIntent) answer(result Result) {
	q.reply <- result
	if result.IsFirst {
		result = Result{Earlier: q.intent}
	}
	for _, d := range q.duplicates {
		d.reply <- result
	}
}

// Result is the result of recording an intent.
type Result struct {
	// IsFirst is set if no intent had been recorded under the key before.
	IsFirst bool
	// Earlier is the intent recorded under the key before, if any.
	Earlier Intent
	Err     error
}

// Store reads and writes rows of the store.
type Store interface {
	Write(ctx context.Context, t store.Txn) (uint64, error)
	Scan(ctx context.Context, prefix, after string) ([]store.Row, error)
}

// Writer records intents. The gate sends a request or a job that has an
// idempotency key only after its intent has been recorded. Intents that arrive
// while a write is in flight share the next write, so that the rate of writes
// does not grow with the rate of requests.
type Writer struct {
	store Store
	queue chan *queuedIntent
	// recording counts the calls of Record that have not returned.
	recording atomic.Int64
}

// NewWriter returns a writer that records intents while Run runs.
func NewWriter(s Store) *Writer {
	return &Writer{store: s, queue: make(chan *queuedIntent, maxQueuedIntents)}
}

// InFlight returns the number of intents that are being recorded.
func (w *Writer) InFlight() int64 { return w.recording.Load() }

// Key returns the key of the row that holds the intent of a team's
// idempotency key. Kind is "call" or "job".
func Key(kind string, team core.Team, key string) string {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + key))
	return intentPrefix + kind + "/" + hex.EncodeToString(sum[:16])
}

// Record records an intent unless one has been recorded under the key before,
// which it then returns. It waits until the store has answered.
func (w *Writer) Record(ctx context.Context, key string, in Intent) Result {
	w.recording.Add(1)
	defer w.recording.Add(-1)
	q := &queuedIntent{key: key, intent: in, reply: make(chan Result, 1)}
	select {
	case w.queue <- q:
	case <-ctx.Done():
		return Result{Err: ctx.Err()}
	}
	select {
	case result := <-q.reply:
		return result
	case <-ctx.Done():
		return Result{Err: ctx.Err()}
	}
}

// Run writes queued intents in batches until the context ends.
func (w *Writer) Run(ctx context.Context) error {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		var batch []*queuedIntent
		select {
		case q := <-w.queue:
			batch = append(batch, q)
		case <-ctx.Done():
			return nil
		}
		batch = w.fillBatch(batch)
		w.writeBatch(ctx, batch)
		pause.Reset(intentWriteInterval)
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
	}
}

// fillBatch adds the queued intents to a batch until it is full.
func (w *Writer) fillBatch(batch []*queuedIntent) []*queuedIntent {
	for len(batch) < maxIntentBatch {
		select {
		case q := <-w.queue:
			batch = append(batch, q)
		default:
			return batch
		}
	}
	return batch
}

// writeBatch records a batch in one transaction. After a conflict, it answers the
// intents whose key has a row and writes the others again.
func (w *Writer) writeBatch(ctx context.Context, batch []*queuedIntent) {
	batch = w.dedup(batch)
	for retries := 0; len(batch) > 0; {
		_, err := w.write(ctx, batch)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			replyAll(batch, Result{IsFirst: true})
			return
		case errors.As(err, &conflict):
			batch = w.resolveConflicts(batch, conflict)
		default:
			// The write may have taken effect; a retry shows that by a conflict
			// with the intents' own rows. If all retries fail, intents may be in
			// the store although nothing was sent under them. That is safe, since
			// it can only prevent work, not repeat it.
			if retries++; retries > maxIntentRetries {
				replyAll(batch, Result{Err: err})
				return
			}
		}
	}
}

// write writes the intents of a batch in one transaction.
func (w *Writer) write(ctx context.Context, batch []*queuedIntent) (uint64, error) {
	var t store.Txn
	for _, q := range batch {
		t.Checks = append(t.Checks, store.Check{Key: q.key})
		if err := t.Set(q.key, q.intent); err != nil {
			return 0, err
		}
	}
	return w.store.Write(ctx, t)
}

// dedup keeps the first intent under each key, for which the others wait.
func (w *Writer) dedup(batch []*queuedIntent) []*queuedIntent {
	seen := map[string]*queuedIntent{}
	keep := batch[:0]
	for _, q := range batch {
		if first := seen[q.key]; first != nil {
			first.duplicates = append(first.duplicates, q)
			continue
		}
		seen[q.key] = q
		keep = append(keep, q)
	}
	return keep
}

// resolveConflicts answers the intents whose key has a row in conflict and
// returns the others. A row with an intent's own nonce shows that an earlier
// write of it took effect.
func (w *Writer) resolveConflicts(batch []*queuedIntent, conflict *store.ConflictError) []*queuedIntent {
	recorded := map[string]Intent{}
	for _, r := range conflict.Rows {
		var in Intent
		// A row that does not parse still proves an earlier attempt.
		_ = json.Unmarshal(r.Val, &in)
		recorded[r.Key] = in
	}
	var rest []*queuedIntent
	for _, q := range batch {
		in, ok := recorded[q.key]
		switch {
		case !ok:
			rest = append(rest, q)
		case in.Nonce == q.intent.Nonce:
			q.answer(Result{IsFirst: true})
		default:
			q.answer(Result{Earlier: in})
		}
	}
	return rest
}

// replyAll sends one result to all intents of a batch.
func replyAll(batch []*queuedIntent, result Result) {
	for _, q := range batch {
		q.answer(result)
	}
}
