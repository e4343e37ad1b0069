package once_test

import (
	"context"
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
