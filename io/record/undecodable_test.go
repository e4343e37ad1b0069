package record_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/io/table"
)

// TestUndecodableProgress guards against a job that runs again from the start because its
// progress cannot be decoded.
func TestUndecodableProgress(t *testing.T) {
	for name, memory := range map[string]int64{"without a limit": 0, "with memory for one job": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			tbl := newFakeTable()
			s := startStore(t, tbl)
			is.NoErr(accept(ctx, s, newSpec("a", "t")))
			is.NoErr(accept(ctx, s, newSpec("b", "t")))
			k := table.Key{Table: "progress", Part: "fleet", Name: "a"}
			tbl.mu.Lock()
			tbl.rows[k] = table.Row{Key: k, Val: []byte("{"), Version: 1}
			tbl.mu.Unlock()
			snapshot, err := s.Load(ctx, budget.New(memory, 1))
			is.NoErr(err)
			is.Equal(len(snapshot.Specs)+len(snapshot.Parked), 1) // b
			is.Equal(snapshot.Unreadable, []core.JobID{"a"})
			is.Equal(len(snapshot.RowErrors), 1)
			snapshot, err = s.Jobs(ctx, []core.JobID{"a", "b"})
			is.NoErr(err)
			is.Equal(len(snapshot.Specs), 1)
			is.Equal(snapshot.Specs[0].ID, core.JobID("b"))
			is.Equal(len(snapshot.RowErrors), 1)
		})
	}
}
