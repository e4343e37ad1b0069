package fleet_test

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/model"
)

// endReport is the end of a run that an owner has read from an incarnation of a
// worker.
type endReport struct {
	readAt      time.Time
	worker      *model.Worker
	incarnation time.Time
	// run is the run that has ended. Once the worker's lease has lapsed before the end was
	// acknowledged, the task may be started on another worker.
	run *model.RunRecord
}

// lapsedBefore reports whether the worker's lease has lapsed before a time, and after the end.
func (r endReport) lapsedBefore(at time.Time) bool {
	return !r.run.LapsedAt.IsZero() && at.After(r.run.LapsedAt)
}

// checkAcknowledged fails the test if a worker is to forget an end that no owner has
// read.
func (h *harness) checkAcknowledged(w *model.Worker, acked uint64) {
	h.t.Helper()
	for _, e := range w.Unacknowledged() {
		if _, read := h.reportedEnds[e.Task]; e.Number <= acked && e.Kind == fleet.EndDone && !read {
			h.t.Fatalf("at %s: end %d on %s, of task %s, is acknowledged, but no owner has read it", h.now.Sub(startTime), e.Number, w.Info.Name, e.Task)
		}
	}
}

// recordOf returns the record of a run that a worker lists as ended.
func recordOf(w *model.Worker, e fleet.EndedRun) *model.RunRecord {
	return w.Log[slices.IndexFunc(w.Log, func(s *model.RunRecord) bool { return s.Task == e.Task && s.Run == e.Run })]
}

// checkInvariants logs the decisions and fails the test if a worker is overcommitted, a
// task is active twice, or a task starts after an owner has read that it is done.
func (h *harness) checkInvariants() {
	h.t.Helper()
	for i, o := range h.owners {
		for _, d := range o.scheduler.Decisions() {
			h.t.Logf("%s owner %d: %s %s run %d on %s %s", h.now.Sub(startTime), i+1, d.Event, d.Task, d.Run, d.Worker, d.Reason)
		}
	}
	active := map[jobs.TaskID]*model.RunRecord{}
	var starts []*model.RunRecord
	for _, w := range h.workers {
		if !w.UsedResources().FitsIn(w.Info.Capacity) {
			h.t.Fatalf("worker %s runs tasks of %+v with room for %+v", w.Info.Name, w.UsedResources(), w.Info.Capacity)
		}
		starts = append(starts, w.Log...)
	}
	for _, s := range starts {
		h.checkEnded(s)
		if !s.End.IsZero() {
			continue
		}
		if other := active[s.Task]; other != nil {
			h.t.Fatalf("at %s: task %s is active on %s (run %d) and on %s (run %d)", h.now.Sub(startTime), s.Task, other.Worker, other.Run, s.Worker, s.Run)
		}
		active[s.Task] = s
	}
}

// checkRead fails the test if a run has started after an owner has read that its task is
// done.
func (h *harness) checkRead(s *model.RunRecord) {
	h.t.Helper()
	// An end that has not been stored is lost with the incarnation that lists it.
	if r, ok := h.reportedEnds[s.Task]; ok && !r.lapsedBefore(s.At) && s.At.After(r.readAt) && r.worker.Up && !r.worker.Unreachable && r.worker.Info.Incarnation.Equal(r.incarnation) {
		h.t.Fatalf("an owner has read at %s that task %s is done, but run %d started at %s", r.readAt.Sub(startTime), s.Task, s.Run, s.At.Sub(startTime))
	}
}

func (h *harness) completedJobs() int {
	n := 0
	for id := range h.specs {
		if h.deleted.Has(id) || h.storedProgress[id].State == jobs.Completed {
			n++
		}
	}
	return n
}

// checkCompleted checks that all jobs have completed and that no chart has refused an event.
func (h *harness) checkCompleted(is *is.I, count int) {
	is.Helper()
	if h.completedJobs() != count {
		h.logState()
	}
	is.Equal(h.completedJobs(), count)
	is.Equal(h.currentOwner().scheduler.RefusedEvents(), nil)
}

// logState logs the state of the current owner, to show why jobs have not ended.
func (h *harness) logState() {
	text, err := json.MarshalIndent(h.currentOwner().scheduler.Dump(), "", " ")
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Logf("%s", text)
}
