package record_test

import (
	"context"
	"errors"
	"math"
	"testing"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/elect"
	"chicoryturn/core/jobs"
	"chicoryturn/io/record"
	"chicoryturn/io/table"
)

// writeProgress writes changes of progress as the owner whose last write had a result.
func writeProgress(s *record.Store, last table.WriteResult, changes ...jobs.Progress) (table.WriteResult, error) {
	return s.Write(context.Background(), record.OwnerWrite{Record: elect.Record{Holder: "x", Epoch: 1}, Version: last.Version, Progress: changes})
}

// loadedProgress returns the progress of a job as a new owner loads it and as it is read alone.
func loadedProgress(is *is.I, s *record.Store, id core.JobID) jobs.Progress {
	is.Helper()
	snapshot, err := s.Load(context.Background(), budget.New(0, 0))
	is.NoErr(err)
	is.Equal(snapshot.RowErrors, nil)
	single, err := s.Jobs(context.Background(), []core.JobID{id})
	is.NoErr(err)
	is.Equal(single.Progress[id], snapshot.Progress[id])
	return snapshot.Progress[id]
}

// TestFailedRunsFitIntoRows guards against a job whose failed runs outgrow a row, so that the
// store takes no write of the owner any more (review/7): tasks of the largest job that have all
// failed more often than is kept, in runs with the longest numbers.
func TestFailedRunsFitIntoRows(t *testing.T) {
	is := is.New(t)
	const tasks, failing, runs = 100_000, 6400, 40
	tbl := newFakeTable() // it refuses values of more than 64 KiB
	s := startStore(t, tbl)
	is.NoErr(accept(context.Background(), s, newSpec("j", "t")))
	p := jobs.Progress{Job: "j"}
	added := 0
	p.SetDone(tasks - 1)
	for position := tasks - failing; position < tasks; position++ {
		for run := range uint64(runs) {
			if p.AddFailedRun(position, math.MaxUint64-runs+run) {
				added++
			}
		}
	}
	is.Equal(added, runs*failing)
	_, err := writeProgress(s, table.WriteResult{}, p.Change(p.FailedPages()))
	is.NoErr(err)
	loaded := loadedProgress(is, s, "j")
	is.Equal(loaded, p)
	for _, position := range []int{tasks - failing, tasks - 1} {
		is.Equal(loaded.CountFailedRuns(position), runs)
		is.True(!loaded.AddFailedRun(position, math.MaxUint64-1)) // listed once more
		is.True(!loaded.AddFailedRun(position, math.MaxUint64-runs))
		is.True(loaded.AddFailedRun(position, math.MaxUint64))
	}
}

// TestFailedPages checks that a change of failed runs writes their pages alone, and that the end
// of a job deletes them.
func TestFailedPages(t *testing.T) {
	is := is.New(t)
	tbl := newFakeTable()
	s := startStore(t, tbl)
	is.NoErr(accept(context.Background(), s, newSpec("j", "t")))
	p := jobs.Progress{Job: "j", Done: []byte{1}}
	p.AddFailedRun(5, 1)
	p.AddFailedRun(700, 2)
	last, err := writeProgress(s, table.WriteResult{}, p.Change(p.FailedPages()))
	is.NoErr(err)
	p.AddFailedRun(701, 3)
	change := p.Change([]int{jobs.PageOf(701)})
	change.Done = nil
	last, err = writeProgress(s, last, change)
	is.NoErr(err)
	is.Equal(loadedProgress(is, s, "j"), p)
	is.Equal(string(tbl.rows[table.Key{Table: "failed", Part: "fleet", Name: "j/0010"}].Val), `{"Job":"j","Page":10,"Fails":{"700":[2],"701":[3]}}`)

	ended := jobs.Progress{Job: "j", State: jobs.Failed, Pages: p.FailedPages()}
	_, err = writeProgress(s, last, ended)
	is.NoErr(err)
	is.Equal(loadedProgress(is, s, "j"), jobs.Progress{Job: "j", State: jobs.Failed})
	is.Equal(len(tbl.rows), 3) // the job, its progress, the ownership record
}

// TestFailedRunsOfEarlierBuild checks a row of progress that holds failed runs itself: they
// count together with those in pages, and are marked to be stored in pages.
func TestFailedRunsOfEarlierBuild(t *testing.T) {
	is := is.New(t)
	tbl := newFakeTable()
	s := startStore(t, tbl)
	is.NoErr(accept(context.Background(), s, newSpec("j", "t")))
	p := jobs.Progress{Job: "j", Done: []byte{1}}
	p.AddFailedRun(5, 9)
	last, err := writeProgress(s, table.WriteResult{}, p.Change(p.FailedPages()))
	is.NoErr(err)
	k := table.Key{Table: "progress", Part: "fleet", Name: "j"}
	tbl.mu.Lock()
	tbl.rows[k] = table.Row{Key: k, Val: []byte(`{"Job":"j","Done":"AQ==","Fails":{"5":[9,8],"70":[7]}}`), Version: last.Version}
	tbl.mu.Unlock()
	is.Equal(loadedProgress(is, s, "j"), jobs.Progress{Job: "j", Done: []byte{1}, FailedRuns: map[int][]uint64{5: {8, 9}, 70: {7}}, Pages: []int{0, 1}})
}

// TestRowTooLarge guards against a write that the store refuses since a row is too large: it must
// be found before the call, and the error must name the job.
func TestRowTooLarge(t *testing.T) {
	is := is.New(t)
	tbl := newFakeTable()
	s := startStore(t, tbl)
	_, err := writeProgress(s, table.WriteResult{}, jobs.Progress{Job: "good", Done: []byte{1}}, jobs.Progress{Job: "j", Done: make([]byte, 64<<10)})
	var size *record.RowSizeError
	is.True(errors.As(err, &size))
	is.Equal(size.Job, core.JobID("j"))
	is.True(record.Rejected(err) && record.Refused(err))
	is.Equal(tbl.writes, 0)
}

// TestRejected checks which failures of a write mean that the store does not take what it holds.
func TestRejected(t *testing.T) {
	is := is.New(t)
	for status, want := range map[int]bool{0: false, 400: true, 403: true, 413: true, 408: false, 429: false, 500: false, 503: false} {
		err := error(&table.RefusedError{Status: status})
		is.Equal(record.Rejected(err), want)
		is.True(record.Refused(err))
		err = &table.UnansweredError{Err: err} // a later transaction of the write
		is.Equal(record.Rejected(err), want)
		is.True(!record.Refused(err))
	}
}
