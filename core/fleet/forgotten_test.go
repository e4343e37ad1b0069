package fleet_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
)

// forgetJob runs a job until its end is stored, and makes the scheduler forget it.
func (f *fixture) forgetJob(is *is.I, spec jobs.Spec) {
	f.registerWorkers()
	f.Accept(f.now, spec)
	starts := f.nextOrders(fleet.OrderStart)
	is.Equal(len(starts), 1)
	f.confirmStarts(starts)
	f.advance(time.Second)
	f.heartbeat(starts[0].Info, nil, doneEnd(1, starts[0]))
	f.store()
	f.advance(time.Second)
	f.JobsRead(f.now)
	is.Equal(f.ForgetExpired(f.now, 0, 10), []core.JobID{spec.ID})
}

// TestForgottenJobRunsOnce guards against a job that has ended and been forgotten, and that
// comes in once more without its progress.
func TestForgottenJobRunsOnce(t *testing.T) {
	spec := newJob("j", 1, false)
	for name, comeIn := range map[string]func(f *fixture){
		"by a message":                   func(f *fixture) { f.Accept(f.now, spec) },
		"by a load":                      func(f *fixture) { f.Load(f.now, []jobs.Spec{spec}, nil) },
		"by a load that parks it":        func(f *fixture) { f.Park(f.now, []fleet.Stub{fleet.NewStub(&spec)}) },
		"by a message after the removal": func(f *fixture) { f.RowsDeleted(f.now, []core.JobID{"j"}); f.Accept(f.now, spec) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 1).withMemory(smallMemory)
			f.forgetJob(is, spec)
			held := f.Held(f.now)
			comeIn(f)
			is.Equal(f.Held(f.now), held)
			is.Equal(len(f.decisionsOf(fleet.EventReadAgain)), 1)
			is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
			is.Equal(f.Pending()["q"], 0)
			is.Equal(f.ParkedToRead(f.now), []core.JobID{"j"})
			f.ParkedRead(f.now, []core.JobID{"j"}, nil, nil, nil)
			is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
			is.Equal(f.MemoryUse().Parked, 0)
		})
	}
}

// TestForgottenJobIsReadAgain checks that the rows decide on a job that has been forgotten: they
// hold its end, or another job that has been stored under its name since.
func TestForgottenJobIsReadAgain(t *testing.T) {
	spec := newJob("j", 1, false)
	for name, c := range map[string]struct {
		progress map[core.JobID]jobs.Progress
		starts   int
	}{
		"ended":     {map[core.JobID]jobs.Progress{"j": {Job: "j", State: jobs.Completed}}, 0},
		"a new job": {nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 1)
			f.forgetJob(is, spec)
			f.RowsDeleted(f.now, []core.JobID{"j"})
			f.Accept(f.now, spec)
			ids := f.ParkedToRead(f.now)
			f.ParkedRead(f.now, ids, nil, nil, errors.New("the store is down"))
			is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
			is.Equal(f.readParked(map[core.JobID]jobs.Spec{"j": spec}, c.progress), 1)
			is.Equal(len(f.nextOrders(fleet.OrderStart)), c.starts)
			_, known := f.State("j")
			is.True(known)
		})
	}
}

// TestLoadedEndOfForgottenJob checks that a load adds no job that has been forgotten and whose
// end it has read.
func TestLoadedEndOfForgottenJob(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	spec := newJob("j", 1, false)
	f.forgetJob(is, spec)
	f.Load(f.now, []jobs.Spec{spec}, map[core.JobID]jobs.Progress{"j": {Job: "j", State: jobs.Completed}})
	is.Equal(len(f.ParkedToRead(f.now)), 0)
	_, known := f.State("j")
	is.True(!known)
}

// TestForgottenJobsAreBounded guards against owners that grow by the names of all jobs whose
// rows they have deleted.
func TestForgottenJobsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	spec := newJob("j", 1, false)
	f.forgetJob(is, spec)
	f.RowsDeleted(f.now, []core.JobID{"j"})
	f.advance(time.Hour)
	f.RowsDeleted(f.now, nil)
	is.True(f.Accept(f.now, spec)) // nothing is known of it any more
}

// TestExcludedJob guards against a job whose rows are missing or unreadable, and that runs from
// the start as a message or the feed names it.
func TestExcludedJob(t *testing.T) {
	spec := newJob("j", 1, false)
	for name, exclude := range map[string]func(f *fixture){
		"at a load": func(f *fixture) { f.Exclude([]core.JobID{"j"}) },
		"as it was parked": func(f *fixture) {
			f.Park(f.now, []fleet.Stub{fleet.NewStub(&spec)})
			f.ParkedRead(f.now, f.ParkedToRead(f.now), nil, nil, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 1)
			f.registerWorkers()
			exclude(f)
			for range 2 {
				f.Accept(f.now, spec)
				is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
				ids := f.ParkedToRead(f.now)
				is.Equal(ids, []core.JobID{"j"})
				f.ParkedRead(f.now, ids, nil, nil, nil)
				is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
			}
		})
	}
}

// TestCancelBeforeJob guards against a cancelled job that starts since the owner has heard of its
// cancellation before it has read the job.
func TestCancelBeforeJob(t *testing.T) {
	spec := newJob("j", 1, false)
	for name, comeIn := range map[string]func(f *fixture){
		"by the feed": func(f *fixture) { f.Accept(f.now, spec) },
		"by a load":   func(f *fixture) { f.Load(f.now, []jobs.Spec{spec}, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 1)
			f.registerWorkers()
			is.True(!f.Cancel(f.now, "j"))
			comeIn(f)
			is.Equal(len(f.nextOrders(fleet.OrderStart)), 0)
			f.store()
			state, _ := f.State("j")
			is.Equal(state, jobs.Cancelled)
		})
	}
}
