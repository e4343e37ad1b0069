package owner_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core/jobs"
	"chicoryturn/io/record"
	"chicoryturn/io/table"
)

// rejectingDeps is lossyDeps with a store that does not take the progress of one job.
type rejectingDeps struct {
	*lossyDeps
	rejected int
}

func (r *rejectingDeps) Write(ctx context.Context, w record.OwnerWrite) (table.WriteResult, error) {
	if slices.ContainsFunc(w.Progress, func(p jobs.Progress) bool { return p.Job == "odd" && p.State == "" }) {
		r.do(func() { r.rejected++ })
		return table.WriteResult{}, &table.RefusedError{Status: 400}
	}
	return r.lossyDeps.Write(ctx, w)
}

// TestRejectedProgressKeepsRecord guards against an owner that renews its record, and stores the
// progress of other jobs, no longer since the store does not take what it writes of one job
// (review/7). That job fails.
func TestRejectedProgressKeepsRecord(t *testing.T) {
	is := is.New(t)
	r := &rejectingDeps{lossyDeps: newLossyDeps()}
	o := r.startWith(t, r)
	r.untilLogged(t, "owning the fleet", 1)
	odd := lossySpec
	odd.ID, odd.Phases = "odd", []jobs.Phase{{Count: 2, Need: lossySpec.Phases[0].Need, Estimate: time.Second}}
	for _, spec := range []jobs.Spec{lossySpec, odd} {
		o.JobAccepted(spec, "")
	}
	r.until(t, "the starts", func() bool { return len(r.starts) == 3 })
	r.endRuns(jobs.TaskID{PhaseID: jobs.PhaseID{Job: "odd"}, Index: 1})
	r.until(t, "the ends of both jobs", func() bool {
		return r.progress["j"].State == jobs.Completed && r.progress["odd"].State == jobs.Failed
	})
	is.Equal(len(r.hook.withMessage("no longer the owner")), 0)
	is.Equal(len(r.hook.withMessage("store does not take the owner's write")), r.rejected)
}
