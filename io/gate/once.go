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
	intentPrefix = "once/"
	// maxIntentBatch bounds the intents of one write, onceQueue those that wait.
	maxIntentBatch   = 200
	maxQueuedIntents = 4096
	// maxIntentRetries is how often a write without a reply is tried again.
	maxIntentRetries = 2
	// intentWriteInterval keeps writes from following each other without a break.
	intentWriteInterval = 5 * time.Millisecond
)

// intent is the stored form of the first attempt under an idempotency key.
type intent struct {
	Gate core.SessionID
	// Nonce lets a gate whose reply was lost find its own row; it is random.
	Nonce string
	// Job is set when the attempt submits a job.
	Job core.JobID `json:",omitempty"`
	At  time.Time
}

// queuedIntent is one intent on its way to the store.
type queuedIntent struct {
	key    string
	intent intent
	reply  chan recordResult
}

// recordResult says whether an intent was the first.
type recordResult struct {
	isFirst bool
	// earlier is the intent that came first.
	earlier intent
	err     error
}

// intentWriter records intents before anything is sent under them. Intents that
// arrive while a write is in flight go into the next one together, so that
// writes grow with time and not with requests.
type intentWriter struct {
	store     agent.Store
	queue     chan *queuedIntent
	recording atomic.Int64
}

func newIntentWriter(s agent.Store) *intentWriter {
	return &intentWriter{store: s, queue: make(chan *queuedIntent, maxQueuedIntents)}
}

func (o *intentWriter) inFlight() int64 { return o.recording.Load() }

// intentKey returns the row of an idempotency key.
func intentKey(kind string, team core.Team, key string) string {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + key))
	return intentPrefix + kind + "/" + hex.EncodeToString(sum[:16])
}

// record records an intent, or returns the one that came before.
func (o *intentWriter) record(ctx context.Context, key string, in intent) recordResult {
	o.recording.Add(1)
	defer o.recording.Add(-1)
	a := &queuedIntent{key, in, make(chan recordResult, 1)}
	select {
	case o.queue <- a:
	case <-ctx.Done():
		return recordResult{err: ctx.Err()}
	}
	select {
	case v := <-a.reply:
		return v
	case <-ctx.Done():
		return recordResult{err: ctx.Err()}
	}
}

// run writes intents until the context ends.
func (o *intentWriter) run(ctx context.Context) error {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		var batch []*queuedIntent
		select {
		case a := <-o.queue:
			batch = append(batch, a)
		case <-ctx.Done():
			return nil
		}
		batch = o.fillBatch(batch)
		o.writeBatch(ctx, batch)
		pause.Reset(intentWriteInterval)
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
	}
}

func (o *intentWriter) fillBatch(batch []*queuedIntent) []*queuedIntent {
	for len(batch) < maxIntentBatch {
		select {
		case a := <-o.queue:
			batch = append(batch, a)
		default:
			return batch
		}
	}
	return batch
}

// writeBatch records a batch; what conflicts is answered and the rest tried again.
func (o *intentWriter) writeBatch(ctx context.Context, batch []*queuedIntent) {
	batch = o.dedup(batch)
	for tries := 0; len(batch) > 0; {
		var t store.Txn
		for _, a := range batch {
			t.Checks = append(t.Checks, store.Check{Key: a.key})
			if err := t.Set(a.key, a.intent); err != nil {
				a.reply <- recordResult{err: err}
			}
		}
		_, err := o.store.Write(ctx, t)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			replyAll(batch, recordResult{isFirst: true})
			return
		case errors.As(err, &conflict):
			batch = o.resolveConflicts(batch, conflict)
		default:
			// The write may have taken effect; trying again finds out. If that
			// fails too, intents may stand without anything having been sent,
			// which is safe.
			if tries++; tries > maxIntentRetries {
				replyAll(batch, recordResult{err: err})
				return
			}
		}
	}
}

// dedup answers all but the first of several intents under one key.
func (o *intentWriter) dedup(batch []*queuedIntent) []*queuedIntent {
	seen := map[string]*queuedIntent{}
	keep := batch[:0]
	for _, a := range batch {
		if first := seen[a.key]; first != nil {
			a.reply <- recordResult{earlier: first.intent}
			continue
		}
		seen[a.key] = a
		keep = append(keep, a)
	}
	return keep
}

func (o *intentWriter) resolveConflicts(batch []*queuedIntent, c *store.ConflictError) []*queuedIntent {
	taken := map[string]intent{}
	for _, r := range c.Rows {
		var in intent
		// A row that does not parse still stands for an earlier attempt.
		_ = json.Unmarshal(r.Val, &in)
		taken[r.Key] = in
	}
	var rest []*queuedIntent
	for _, a := range batch {
		in, ok := taken[a.key]
		switch {
		case !ok:
			rest = append(rest, a)
		case in.Nonce == a.intent.Nonce:
			a.reply <- recordResult{isFirst: true}
		default:
			a.reply <- recordResult{earlier: in}
		}
	}
	return rest
}

func replyAll(batch []*queuedIntent, v recordResult) {
	for _, a := range batch {
		a.reply <- v
	}
}
