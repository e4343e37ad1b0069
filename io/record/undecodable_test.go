package record_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/io/table"
)

// TestUndecodableProgress guards against a job that runs again from the start, or a task that runs
// more often than it may, because its progress or a page of its failed runs cannot be decoded.
func TestUndecodableProgress(t *testing.T) {
	for name, c := range map[string]struct {
		memory           int64
		table, row, text string
	}{
		"progress without a limit":     {0, "progress", "a", "{"},
		"progress, memory for one job": {1, "progress", "a", "{"},
		"failed runs":                  {0, "failed", "a/0000", "{"},
		"failed runs of another page":  {0, "failed", "a/0000", `{"Job":"a","Page":0,"Fails":{"64":[1]}}`},
		"failed runs of another job":   {0, "failed", "a/0000", `{"Job":"b","Page":0,"Fails":{"1":[1]}}`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			tbl := newFakeTable()
			s := startStore(t, tbl)
			is.NoErr(accept(ctx, s, newSpec("a", "t")))
			is.NoErr(accept(ctx, s, newSpec("b", "t")))
			k := table.Key{Table: c.table, Part: "fleet", Name: c.row}
			tbl.mu.Lock()
			tbl.rows[k] = table.Row{Key: k, Val: []byte(c.text), Version: 1}
			tbl.mu.Unlock()
			snapshot, err := s.Load(ctx, budget.New(c.memory, 1))
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
