package adapt_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core/elect"
	"chicoryturn/io/adapt"
	"chicoryturn/io/table"
)

// slow is a table whose answers take a while, or do not come at all.
type slow struct {
	takes atomic.Int64
	lose  atomic.Bool
}

func (s *slow) wait(ctx context.Context) error {
	d := time.Duration(s.takes.Load())
	if s.lose.Load() {
		d = time.Minute
	}
	select {
	case <-ctx.Done():
		return &table.UnansweredError{Err: ctx.Err()}
	case <-time.After(d):
		return nil
	}
}

func (s *slow) Write(ctx context.Context, _ table.Txn) (table.Done, error) {
	if err := s.wait(ctx); err != nil {
		return table.Done{}, err
	}
	return table.Done{}, nil
}

func (s *slow) Read(ctx context.Context, _ table.Range) (table.Page, error) {
	if err := s.wait(ctx); err != nil {
		return table.Page{}, err
	}
	return table.Page{}, nil
}

func (s *slow) Feed(context.Context, table.Since) (table.Changes, error) {
	return table.Changes{}, nil
}

// TestPace plays lost answers of a quick store, which are noticed well within
// the time after which a watcher would claim the seat, and a store that turns
// slow, whose answers are waited for after a few calls.
func TestPace(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &slow{}
	s.takes.Store(int64(10 * time.Millisecond))
	p := adapt.New(s)
	write := func() error {
		_, err := p.Write(ctx, table.Txn{})
		return err
	}
	for range 5 {
		is.NoErr(write())
	}
	s.lose.Store(true)
	began := time.Now()
	var down *table.UnansweredError
	is.True(errors.As(write(), &down))
	is.True(time.Since(began) < elect.TTL/4)
	s.lose.Store(false)
	is.NoErr(write())

	s.takes.Store(int64(650 * time.Millisecond))
	tries := 0
	for write() != nil {
		tries++
		is.True(tries < 5)
	}
	is.NoErr(write()) // and goes on being waited for
	_, err := p.Read(ctx, table.Range{})
	is.NoErr(err) // a read is made again by itself
}
