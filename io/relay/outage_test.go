package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/io/relay"
	"chicoryturn/io/table"
)

// TestOutage lets the table refuse all calls of every VM for four seconds, in which 20
// jobs are retried every 80 ms. Most calls must not be made, and calls must succeed soon
// after the table serves again. A table that refuses some calls only gets them all.
func TestOutage(t *testing.T) {
	refused := &table.RefusedError{Status: 503}
	for name, c := range map[string]struct {
		partly      bool
		least, most int
	}{"all refused": {false, 100, 300}, "some refused": {true, 1000, 1100}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
			direct, other := &fakeTable{}, &otherVM{table: &fakeTable{}}
			s := relay.New(direct, other, relay.WithClock(func() time.Time { return now }))
			_, err := s.Write(ctx, table.Txn{})
			is.NoErr(err)
			retry := func(rounds int) {
				for range rounds {
					for job := range 20 {
						direct.err, other.table.err = refused, refused
						if c.partly && job == 0 {
							direct.err, other.table.err = nil, nil
						}
						_, _ = s.Write(ctx, table.Txn{})
					}
					now = now.Add(80 * time.Millisecond)
				}
			}
			retry(50)
			calls := other.table.calls + direct.calls
			if calls < c.least || calls > c.most {
				t.Errorf("%d calls were made, want %d to %d", calls, c.least, c.most)
			}
			// The other VM does not know yet that the table serves again.
			direct.err = nil
			now = now.Add(150 * time.Millisecond)
			_, err = s.Read(ctx, table.Range{})
			is.NoErr(err)
			_, err = s.Write(ctx, table.Txn{})
			is.NoErr(err)
		})
	}
}
