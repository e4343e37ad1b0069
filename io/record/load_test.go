package record_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/io/record"
)

// storedJobs returns a store with many large jobs of one team, a few of another, and the
// progress of three: one that has ended, one that has begun, and one that has much to tell.
func storedJobs(t *testing.T, is *is.I) *record.Store {
	t.Helper()
	ctx := context.Background()
	s := startStore(t, newFakeTable())
	for i := range 200 {
		spec := newSpec(fmt.Sprint("large", i), "t")
		spec.Payload = strings.Repeat("x", 4000)
		is.NoErr(accept(ctx, s, spec))
	}
	for i := range 5 {
		is.NoErr(accept(ctx, s, newSpec(fmt.Sprint("small", i), "u")))
	}
	ended := jobs.Progress{Job: "large0", State: jobs.Completed, Done: []byte{1}}
	begun := jobs.Progress{Job: "large1", Done: []byte{1}}
	_, err := s.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "x"}, Progress: []jobs.Progress{ended, begun}})
	is.NoErr(err)
	return s
}

// TestLoadParksJobs guards against a successor that cannot hold what is stored (review/1): it
// keeps what fits, of each team some, and of the other jobs what it needs to read them later.
func TestLoadParksJobs(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := storedJobs(t, is)
	const limit = 256 << 10
	b := budget.New(limit, 2)
	snapshot, err := s.Load(ctx, b)
	is.NoErr(err)
	is.Equal(len(snapshot.Specs)+len(snapshot.Parked), 205)
	is.True(b.Total() <= limit)
	loaded := map[core.JobID]jobs.Spec{}
	for _, spec := range snapshot.Specs {
		loaded[spec.ID] = spec
	}
	for i := range 5 {
		is.True(loaded[core.JobID(fmt.Sprint("small", i))].ID != "")
	}
	for _, stub := range snapshot.Parked {
		is.Equal(stub.Team, core.Team("t"))
		is.True(stub.Bytes > 4000)
		is.Equal(stub.Ended, stub.ID == "large0")
		is.Equal(stub.Started, stub.ID == "large0" || stub.ID == "large1")
		_, hasProgress := snapshot.Progress[stub.ID]
		is.True(!hasProgress)
	}
}

// TestLoadDropsEnded checks what a load keeps of a job that has ended: its state and phases.
func TestLoadDropsEnded(t *testing.T) {
	is := is.New(t)
	s := storedJobs(t, is)
	snapshot, err := s.Load(context.Background(), budget.New(64<<20, 2))
	is.NoErr(err)
	is.Equal(len(snapshot.Specs), 205)
	is.Equal(snapshot.Progress["large0"], jobs.Progress{Job: "large0", State: jobs.Completed})
	for _, spec := range snapshot.Specs {
		is.Equal(spec.Payload == "", spec.ID == "large0" || spec.Team == "u")
		is.Equal(len(spec.Phases), 1)
	}
}

// TestLoadParksLargeProgress checks that jobs whose progress does not fit are parked.
func TestLoadParksLargeProgress(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := startStore(t, newFakeTable())
	var progress []jobs.Progress
	for i := range 20 {
		spec := newSpec(fmt.Sprint("j", i), "t")
		is.NoErr(accept(ctx, s, spec))
		progress = append(progress, jobs.Progress{Job: spec.ID, Done: make([]byte, 10_000)})
	}
	_, err := s.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "x"}, Progress: progress})
	is.NoErr(err)
	snapshot, err := s.Load(ctx, budget.New(64<<10, 1))
	is.NoErr(err)
	is.True(len(snapshot.Progress) <= 6)
	is.True(len(snapshot.Specs) > 0)
	for _, spec := range snapshot.Specs {
		is.Equal(len(snapshot.Progress[spec.ID].Done), 10_000)
	}
	is.Equal(len(snapshot.Specs)+len(snapshot.Parked), 20)
}

// TestJobs checks the reading of single jobs: those that are not stored are left out.
func TestJobs(t *testing.T) {
	is := is.New(t)
	s := storedJobs(t, is)
	snapshot, err := s.Jobs(context.Background(), []core.JobID{"large1", "small2", "unknown"})
	is.NoErr(err)
	is.Equal(len(snapshot.Specs), 2)
	is.Equal(snapshot.Progress, map[core.JobID]jobs.Progress{"large1": {Job: "large1", Done: []byte{1}}})
}

// TestFind checks which call repeats a stored one, and that a job that may have been stored
// is not said to be missing.
func TestFind(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	tbl := newFakeTable()
	s := startStore(t, tbl)
	is.NoErr(accept(ctx, s, newSpec("a", "t")))
	_, found, err := s.Find(ctx, newSpec("a", "t"))
	is.NoErr(err)
	is.True(found)
	_, found, err = s.Find(ctx, newSpec("b", "t"))
	is.NoErr(err)
	is.True(!found)
	_, _, err = s.Find(ctx, newSpec("a", "u"))
	var r *core.RefusalError
	is.True(errors.As(err, &r))
	is.Equal(r.Code, core.CodeConflict)

	tbl.setFaults(false, true, false)
	is.True(accept(timeoutContext(t, 200*time.Millisecond), s, newSpec("c", "t")) != nil)
	tbl.setFaults(false, false, false)
	_, _, err = s.Find(ctx, newSpec("c", "t"))
	is.Equal(execution(err), core.ExecutionUnknown)
}

// TestStubOfRepeatedJob checks when a parked job is read: when its first occurrence is due.
func TestStubOfRepeatedJob(t *testing.T) {
	is := is.New(t)
	spec := newSpec("a", "t")
	spec.Repeat, spec.First = 3, time.Unix(1e9, 0)
	is.Equal(fleet.NewStub(&spec).Due, spec.First)
}
