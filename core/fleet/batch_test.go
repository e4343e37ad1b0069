package fleet_test

import (
	"testing"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
)

// TestAttemptsAcrossOwners guards against failed runs that a change of owner forgets, or counts
// twice, now that they are stored in pages: a wide job, each task of which fails under each of
// three owners. The third failure ends it.
func TestAttemptsAcrossOwners(t *testing.T) {
	is := is.New(t)
	const width = 200
	stored := jobs.Progress{}
	var spec jobs.Spec
	for epoch := core.Epoch(1); epoch <= 3; epoch++ {
		f := newFixture(epoch, 60)
		spec = newJob("j", width, false)
		f.RestoreRoster(rosterOf(f.workers))
		f.Load(f.now, []jobs.Spec{spec}, map[core.JobID]jobs.Progress{"j": stored})
		f.registerWorkers()
		starts := f.nextOrders(fleet.OrderStart)
		is.Equal(len(starts), width)
		f.confirmStarts(starts)
		ended := map[core.WorkerID][]fleet.EndedRun{}
		for _, o := range starts {
			ended[o.Worker] = append(ended[o.Worker], fleet.EndedRun{Number: uint64(len(ended[o.Worker]) + 1), Task: o.Task, Run: o.Run, Kind: fleet.EndFailed, Reason: "failed"})
		}
		for range 2 { // each end is listed twice
			for _, w := range f.workers {
				f.heartbeat(w, nil, ended[w.ID()])
			}
		}
		for _, change := range f.Batch() {
			stored.Merge(&change)
		}
		is.Equal(stored.State.Final(), epoch == 3)
		if epoch < 3 {
			is.Equal(stored.CountFailedRuns(0), int(epoch))
			is.Equal(stored.CountFailedRuns(width-1), int(epoch))
		}
	}
	is.Equal(stored.State, jobs.Failed)
	is.Equal(stored.FailedPages(), nil) // they are deleted with the job's end
}

// TestManyPagesTakeSeveralBatches checks that the failed runs of a wide job are stored in batches of
// bounded size, and nothing is acknowledged before the last one.
func TestManyPagesTakeSeveralBatches(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	progress := jobs.Progress{Job: "j"}
	const width = 20_000
	for position := range width {
		progress.AddFailedRun(position, 1)
	}
	progress.Pages = progress.FailedPages() // as loaded from a row of an earlier build
	f.Load(f.now, []jobs.Spec{newJob("j", width, false)}, map[core.JobID]jobs.Progress{"j": progress})
	stored, batches := jobs.Progress{}, 0
	for rows := f.Batch(); len(rows) > 0; rows = f.Batch() {
		is.Equal(len(rows), 1)
		is.True(len(rows[0].Pages) <= 90)
		batches++
		last := batches*89 >= len(progress.Pages)
		is.Equal(len(rows[0].Done) > 0, last) // the row of the earlier build is replaced last
		stored.Merge(&rows[0])
		f.BatchStored(f.now)
	}
	is.Equal(stored.FailedRuns, progress.FailedRuns)
	is.True(batches > 3)
}
