package gate

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"chicoryturn/core"
	"chicoryturn/io/agent"
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

// intent is the stored form of the first attempt under an idempotency key.
type intent struct {
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
	intent intent
	reply  chan recordResult
}

// recordResult is the result of recording an intent.
type recordResult struct {
	// isFirst is set if no intent had been recorded under the key before.
	isFirst bool
	// earlier is the intent recorded under the key before, if any.
	earlier intent
	err     error
}

// intentWriter records intents. The gate sends a request or a job that has an
// idempotency key only after its intent has been recorded. Intents that arrive
// while a write is in flight share the next write, so that the rate of writes
// does not grow with the rate of requests.
type intentWriter struct {
	store agent.Store
	queue chan *queuedIntent
	// recording counts the calls of record that have not returned.
	recording atomic.Int64
}

func newIntentWriter(s agent.Store) *intentWriter {
	return &intentWriter{store: s, queue: make(chan *queuedIntent, maxQueuedIntents)}
}

// inFlight returns the number of intents that are being recorded.
func (w *intentWriter) inFlight() int64 { return w.recording.Load() }

// intentKey returns the key of the row that holds the intent of a team's
// idempotency key. Kind is "call" or "job".
func intentKey(kind string, team core.Team, key string) string {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + key))
	return intentPrefix + kind + "/" + hex.EncodeToString(sum[:16])
}

// record records an intent unless one has been recorded under the key before,
// which it then returns. It waits until the store has answered.
func (w *intentWriter) record(ctx context.Context, key string, in intent) recordResult {
	w.recording.Add(1)
	defer w.recording.Add(-1)
	q := &queuedIntent{key, in, make(chan recordResult, 1)}
	select {
	case w.queue <- q:
	case <-ctx.Done():
		return recordResult{err: ctx.Err()}
	}
	select {
	case result := <-q.reply:
		return result
	case <-ctx.Done():
		return recordResult{err: ctx.Err()}
	}
}

// run writes queued intents in batches until the context ends.
func (w *intentWriter) run(ctx context.Context) error {
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
func (w *intentWriter) fillBatch(batch []*queuedIntent) []*queuedIntent {
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
func (w *intentWriter) writeBatch(ctx context.Context, batch []*queuedIntent) {
	batch = w.dedup(batch)
	for retries := 0; len(batch) > 0; {
		var t store.Txn
		for _, q := range batch {
			t.Checks = append(t.Checks, store.Check{Key: q.key})
			if err := t.Set(q.key, q.intent); err != nil {
				q.reply <- recordResult{err: err}
			}
		}
		_, err := w.store.Write(ctx, t)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			replyAll(batch, recordResult{isFirst: true})
			return
		case errors.As(err, &conflict):
			batch = w.resolveConflicts(batch, conflict)
		default:
			// The write may have taken effect; a retry shows that by a conflict
			// with the intents' own rows. If all retries fail, intents may be in
			// the store although nothing was sent under them. That is safe, since
			// it can only prevent work, not repeat it.
			if retries++; retries > maxIntentRetries {
				replyAll(batch, recordResult{err: err})
				return
			}
		}
	}
}

// dedup keeps the first intent under each key and answers the others.
func (w *intentWriter) dedup(batch []*queuedIntent) []*queuedIntent {
	seen := map[string]*queuedIntent{}
	keep := batch[:0]
	for _, q := range batch {
		if first := seen[q.key]; first != nil {
			q.reply <- recordResult{earlier: first.intent}
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
func (w *intentWriter) resolveConflicts(batch []*queuedIntent, conflict *store.ConflictError) []*queuedIntent {
	recorded := map[string]intent{}
	for _, r := range conflict.Rows {
		var in intent
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
			q.reply <- recordResult{isFirst: true}
		default:
			q.reply <- recordResult{earlier: in}
		}
	}
	return rest
}

// replyAll sends one result to all intents of a batch.
func replyAll(batch []*queuedIntent, result recordResult) {
	for _, q := range batch {
		q.reply <- result
	}
}
