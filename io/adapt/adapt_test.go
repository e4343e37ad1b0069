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

// slowTable answers after a delay, or not at all while it is unresponsive.
type slowTable struct {
	delay        atomic.Int64
	unresponsive atomic.Bool
}

func (s *slowTable) wait(ctx context.Context) error {
	d := time.Duration(s.delay.Load())
	if s.unresponsive.Load() {
		d = time.Minute
	}
	select {
	case <-ctx.Done():
		return &table.UnansweredError{Err: ctx.Err()}
	case <-time.After(d):
		return nil
	}
}

func (s *slowTable) Write(ctx context.Context, _ table.Txn) (table.WriteResult, error) {
	if err := s.wait(ctx); err != nil {
		return table.WriteResult{}, err
	}
	return table.WriteResult{}, nil
}

func (s *slowTable) Read(ctx context.Context, _ table.Range) (table.Page, error) {
	if err := s.wait(ctx); err != nil {
		return table.Page{}, err
	}
	return table.Page{}, nil
}

func (s *slowTable) Feed(context.Context, table.FeedRequest) (table.Changes, error) {
	return table.Changes{}, nil
}

// TestTimeout checks the time-out in two cases: a lost answer of a fast table
// must be noticed long before another VM would claim ownership, and a table
// that becomes slow must get enough time after a few calls.
func TestTimeout(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &slowTable{}
	s.delay.Store(int64(10 * time.Millisecond))
	client := adapt.New(s)
	write := func() error {
		_, err := client.Write(ctx, table.Txn{})
		return err
	}
	for range 5 {
		is.NoErr(write())
	}
	s.unresponsive.Store(true)
	start := time.Now()
	var unanswered *table.UnansweredError
	is.True(errors.As(write(), &unanswered))
	is.True(time.Since(start) < elect.TTL/4)
	s.unresponsive.Store(false)
	is.NoErr(write())

	s.delay.Store(int64(650 * time.Millisecond))
	tries := 0
	for write() != nil {
		tries++
		is.True(tries < 5)
	}
	is.NoErr(write()) // the longer time-out persists
	_, err := client.Read(ctx, table.Range{})
	is.NoErr(err) // Read retries by itself
}
