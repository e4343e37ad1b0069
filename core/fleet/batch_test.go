package fleet_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
)

// writeRows writes batches to a store that refuses those of some jobs, unless such a job has
// failed, until nothing is left to write. It returns the jobs that are stored and the longest
// run of writes that were refused.
func (f *fixture) writeRows(refused core.Set[core.JobID], takesEnds bool) (stored map[core.JobID]jobs.Progress, refusals int) {
	stored = map[core.JobID]jobs.Progress{}
	inRow := 0
	for {
		rows := f.Batch()
		if len(rows) == 0 && !f.Isolating() {
			return stored, refusals
		}
		if slices.ContainsFunc(rows, func(p jobs.Progress) bool { return refused.Has(p.Job) && (p.State == "" || !takesEnds) }) {
			inRow++
			refusals = max(refusals, inRow)
			f.BatchRefused(f.now)
			continue
		}
		inRow = 0
		for _, change := range rows {
			p := stored[change.Job]
			p.Merge(&change)
			stored[change.Job] = p
		}
		f.BatchStored(f.now)
	}
}

// TestRefusedProgressCostsItsJob guards against a job whose progress the store refuses, and
// that keeps the progress of all jobs, and the renewal in the same write, from being stored
// (review/7). Cases: whether the store takes the end of such a job.
func TestRefusedProgressCostsItsJob(t *testing.T) {
	for name, takesEnds := range map[string]bool{"its end is stored": true, "its end is refused as well": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const count = 40
			f := newFixture(1, 20)
			f.registerWorkers()
			for i := range count {
				f.Accept(f.now, newJob(fmt.Sprint("j", i), 2, false))
			}
			starts := f.nextOrders(fleet.OrderStart)
			f.confirmStarts(starts)
			ended := map[core.WorkerID][]fleet.EndedRun{}
			active := map[core.WorkerID][]fleet.ActiveRun{}
			for _, o := range starts {
				if o.Task.Index == 0 {
					ended[o.Worker] = append(ended[o.Worker], doneEnd(uint64(len(ended[o.Worker])+1), o)...)
				} else {
					active[o.Worker] = append(active[o.Worker], fleet.ActiveRun{Task: o.Task, Run: o.Run})
				}
			}
			for _, w := range f.workers {
				f.heartbeat(w, active[w.ID()], ended[w.ID()])
			}
			refused := core.NewSet[core.JobID]("j3", "j17")
			stored, refusals := f.writeRows(refused, takesEnds)
			is.Equal(refusals, 1) // the renewal goes through between two refusals
			for i := range count {
				id := core.JobID(fmt.Sprint("j", i))
				p := stored[id]
				switch {
				case !refused.Has(id):
					is.Equal(p.CountDone(0, 2), 1)
					is.Equal(p.State, jobs.State(""))
				case takesEnds:
					is.Equal(p.State, jobs.Failed)
				default:
					is.Equal(p.Job, core.JobID("")) // nothing of it is stored
				}
			}
			is.True(f.Counts().Rejected >= 2)
			is.True(len(f.decisionsOf(fleet.EventRejected)) >= 2)
			// The ends on all workers can be acknowledged.
			for _, w := range f.workers {
				f.heartbeat(w, active[w.ID()], ended[w.ID()])
			}
			for _, o := range f.nextOrders(fleet.OrderHeartbeat) {
				is.Equal(int(o.AckedEnd), len(ended[o.Worker]))
			}
		})
	}
}

// TestRandomRefusals plays TestRandomFaults with a store that refuses the progress of one job in
// eight: these fail or complete, and no other job is held up. Each case has its own random seed.
func TestRandomRefusals(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, seed, 4, core.Resources{})
			h.refused = core.Set[core.JobID]{}
			h.playFaults(seed, 24, func(_ int, next *jobs.Spec) {
				if next == nil {
					return
				}
				if len(h.specs)%8 == 3 {
					h.refused.Add(next.ID)
				}
				h.submit(*next)
			})
			h.checkStates(func(spec jobs.Spec, state jobs.State) bool {
				return state == jobs.Completed || state == jobs.Failed && h.refused.Has(spec.ID)
			})
		})
	}
}

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
