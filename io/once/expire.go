package once

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"chicoryturn/io/store"
)

const (
	// retention is how long a key is remembered: longer than any client retries.
	retention = 24 * time.Hour
	// expireInterval is the time between two looks at a slice of the keys. A gate looks
	// at every key in 43 minutes.
	expireInterval = 10 * time.Second
	// maxExpired bounds the rows of one deletion.
	maxExpired = 90
)

// ExpireSlices is the number of slices into which the keys are divided by hash.
const ExpireSlices = 256

// RunExpiry deletes expired intents, a slice of the keys at a time, until the context
// ends. It passes each error to report and goes on with the next slice.
func (w *Writer) RunExpiry(ctx context.Context, report func(error)) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	// Gates start at different slices.
	for slice := rand.IntN(ExpireSlices); ; slice++ {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if err := w.Expire(ctx, now, slice%ExpireSlices); err != nil {
				report(err)
			}
		}
	}
}

// Expire deletes the intents of one of ExpireSlices slices that are older than
// retention.
func (w *Writer) Expire(ctx context.Context, now time.Time, slice int) error {
	for _, kind := range []string{"call", "job"} {
		if err := w.expirePrefix(ctx, now, fmt.Sprintf("%s%s/%02x", intentPrefix, kind, slice)); err != nil {
			return err
		}
	}
	return nil
}

// expirePrefix deletes the expired intents whose keys begin with prefix. A row that does
// not parse is kept: it still proves an earlier attempt.
func (w *Writer) expirePrefix(ctx context.Context, now time.Time, prefix string) error {
	rows, err := w.store.Scan(ctx, prefix, "")
	if err != nil {
		return err
	}
	var t store.Txn
	for _, r := range rows {
		var in Intent
		if json.Unmarshal(r.Val, &in) != nil || in.At.IsZero() || now.Sub(in.At) < retention || len(t.Deletes) == maxExpired {
			continue
		}
		t.Checks = append(t.Checks, store.Check{Key: r.Key, Version: r.Version})
		t.Deletes = append(t.Deletes, r.Key)
	}
	if len(t.Deletes) == 0 {
		return nil
	}
	_, err = w.store.Write(ctx, t)
	return err
}
