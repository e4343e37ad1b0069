package once_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/io/once"
	"chicoryturn/io/store"
)

// gatedStore answers writes with err, but only once open is closed.
type gatedStore struct {
	open chan struct{}
	err  error
}

func (g *gatedStore) Write(context.Context, store.Txn) (uint64, error) {
	<-g.open
	return 1, g.err
}

func (*gatedStore) Scan(context.Context, string, string) ([]store.Row, error) { return nil, nil }

// keyStore holds intents by key.
type keyStore map[string]store.Row

func (k keyStore) Write(_ context.Context, t store.Txn) (uint64, error) {
	for _, d := range t.Deletes {
		delete(k, d)
	}
	return 1, nil
}

func (k keyStore) Scan(_ context.Context, prefix, _ string) ([]store.Row, error) {
	var out []store.Row
	for key, r := range k {
		if strings.HasPrefix(key, prefix) {
			out = append(out, r)
		}
	}
	return out, nil
}

// TestExpire looks at all slices of keys a day and an hour after some of them were
// recorded. Those, and no others, must be deleted.
func TestExpire(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := keyStore{}
	for i := range 300 {
		key := once.Key([]string{"call", "job"}[i%2], "t", fmt.Sprint(i))
		val, err := json.Marshal(once.Intent{Nonce: "n", At: now.Add(-time.Duration(i%3) * 25 * time.Hour)})
		is.NoErr(err)
		s[key] = store.Row{Key: key, Val: val, Version: 1}
	}
	odd := once.Key("call", "t", "odd")
	s[odd] = store.Row{Key: odd, Val: []byte("{"), Version: 1}
	w := once.NewWriter(s)
	for slice := range once.ExpireSlices {
		is.NoErr(w.Expire(t.Context(), now, slice))
	}
	is.Equal(len(s), 101)
}

// TestDuplicate records two intents under one key while a write is in flight, so that
// one write decides on both. The second must not be answered before it, nor told of a
// first attempt that has not been recorded.
func TestDuplicate(t *testing.T) {
	for name, err := range map[string]error{"written": nil, "not written": &store.UnansweredError{}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &gatedStore{make(chan struct{}), err}
			w := once.NewWriter(s)
			results := make(chan once.Result, 3)
			record := func(key, nonce string) {
				go func() { results <- w.Record(t.Context(), key, once.Intent{Nonce: nonce}) }()
				time.Sleep(20 * time.Millisecond)
			}
			go func() { _ = w.Run(t.Context()) }()
			record("other", "0")
			record("key", "1")
			record("key", "2")
			is.Equal(len(results), 0)
			close(s.open)
			first, told := 0, 0
			for range 3 {
				switch r := <-results; {
				case r.Err != nil:
				case r.IsFirst:
					first++
				default:
					is.Equal(r.Earlier.Nonce, "1")
					told++
				}
			}
			if err == nil {
				is.Equal(first, 2)
				is.Equal(told, 1)
				return
			}
			is.Equal(first+told, 0)
		})
	}
}
