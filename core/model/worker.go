// Package model is a model of the platform's workers for tests: it obeys
// orders as they do, and records what a test must be able to check.
package model

import (
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
)

// GangTime is how long a task of a gang waits for the others.
const GangTime = 3 * time.Second

// TaskSpec is what a test says of the tasks of a phase.
type TaskSpec struct {
	Need core.Resources
	// Work is how long a run takes.
	Work time.Duration
	// Gang is how many tasks must be present to work; 0 or 1 for single tasks.
	Gang int
	// Fails has the run end failed.
	Fails bool
}

// Tasks tells a worker what it is asked to run.
type Tasks interface {
	Task(id jobs.TaskID) TaskSpec
	// Present returns how many members of a gang's run are on any worker.
	Present(id jobs.PhaseID, run uint64) int
}

type runKey struct {
	task jobs.TaskID
	run  uint64
}

// run is what is on a worker.
type run struct {
	key    runKey
	worked time.Duration
	began  time.Time
	// together is set once all members of the gang have been present.
	together bool
	// stopAt is when an ordered stop takes effect; zero if there is none.
	stopAt time.Time
}

// Start is a start that has been carried out, with the worker's state.
type Start struct {
	At     time.Time
	Worker core.WorkerID
	Task   jobs.TaskID
	Run    uint64
	// End is zero while the run goes on.
	End time.Time
	How fleet.EndKind
	// Lost is set if the worker crashed before the end was acknowledged: nobody
	// can learn of it any more.
	Lost bool
}

// Worker is one worker.
type Worker struct {
	Info  fleet.WorkerInfo
	tasks Tasks
	// rate is that of its clock; born is when the incarnation began.
	rate float64
	born time.Time
	now  time.Time
	// Up is false while the worker is down, Cut while nothing reaches it.
	Up, Cut bool

	fence  core.Epoch
	until  time.Duration
	active []*run
	ended  []fleet.EndedRun
	number uint64
	// barred holds the highest run stopped or ended of each task.
	barred map[jobs.TaskID]uint64
	// Log holds all starts of all incarnations.
	Log []*Start
	// Most is the longest lease.
	Most time.Duration
	// Lapsed is when the worker was last without a lease.
	Lapsed time.Time
}

// New returns a worker that starts at a time; rate is that of its clock.
func New(h fleet.WorkerInfo, t Tasks, at time.Time, rate float64, lease time.Duration) *Worker {
	w := &Worker{Info: h, tasks: t, rate: rate, Up: true, Most: lease}
	w.Restart(at)
	return w
}

// Restart starts a new incarnation, which knows nothing.
func (w *Worker) Restart(at time.Time) {
	w.end(at)
	w.born, w.now, w.Up = at, at, true
	w.Info.Incarnation = at
	w.fence, w.until, w.number = 0, 0, 0
	w.ended, w.barred = nil, map[jobs.TaskID]uint64{}
}

// Crash ends all that runs without a trace.
func (w *Worker) Crash(at time.Time) {
	w.end(at)
	w.Up = false
}

func (w *Worker) end(at time.Time) {
	for _, r := range w.active {
		w.close(r, at, fleet.EndOther)
	}
	w.active = nil
	for _, e := range w.ended {
		for _, s := range w.Log {
			if s.Task == e.Task && s.Run == e.Run {
				s.Lost = true
			}
		}
	}
	w.ended = nil
}

func (w *Worker) close(r *run, at time.Time, how fleet.EndKind) {
	for _, s := range w.Log {
		if s.Task == r.key.task && s.Run == r.key.run && s.End.IsZero() {
			s.End, s.How = at, how
		}
	}
}

// Clock returns the worker's own clock.
func (w *Worker) Clock() time.Duration {
	return time.Duration(float64(w.now.Sub(w.born)) * w.rate)
}

// Advance lets time pass for what runs; Settle then ends what is over. All workers
// work before any settles, so that the members of a gang end together.
func (w *Worker) Advance(now time.Time) {
	passed := now.Sub(w.now)
	w.now = now
	for _, r := range w.active {
		s := w.tasks.Task(r.key.task)
		if w.tasks.Present(r.key.task.PhaseID, r.key.run) >= s.Gang {
			r.together = true
			r.worked += passed
		}
	}
}

// EndFinished ends the runs that are over.
func (w *Worker) EndFinished() {
	if w.Clock() > w.until {
		w.Lapsed = w.now
	}
	var left []*run
	for _, r := range w.active {
		s := w.tasks.Task(r.key.task)
		how, word := r.over(w, s)
		if word == "" {
			left = append(left, r)
			continue
		}
		w.finish(r, how, word)
	}
	w.active = left
}

// over returns how a run ends now; word is empty if it goes on.
func (r *run) over(w *Worker, s TaskSpec) (how fleet.EndKind, word string) {
	switch {
	case w.Clock() > w.until:
		return fleet.EndOther, "lapsed"
	case !r.stopAt.IsZero() && !w.now.Before(r.stopAt):
		return fleet.EndOther, "stopped"
	case r.worked >= s.Work && s.Fails:
		return fleet.EndFailed, "failed"
	case r.worked >= s.Work:
		return fleet.EndDone, "done"
	case r.together && w.tasks.Present(r.key.task.PhaseID, r.key.run) < s.Gang:
		return fleet.EndOther, "broken"
	case !r.together && w.now.Sub(r.began) > GangTime:
		return fleet.EndOther, "alone"
	}
	return "", ""
}

func (w *Worker) finish(r *run, how fleet.EndKind, word string) {
	w.number++
	w.ended = append(w.ended, fleet.EndedRun{Number: w.number, Task: r.key.task, Run: r.key.run, Kind: how, Reason: word})
	w.barred[r.key.task] = max(w.barred[r.key.task], r.key.run)
	w.close(r, w.now, how)
}

// allow checks the fence and extends the lease.
func (w *Worker) allow(o fleet.Order) bool {
	if o.Epoch < w.fence {
		return false
	}
	w.fence = o.Epoch
	w.until = max(w.until, min(o.LeaseUntil, w.Clock()+w.Most))
	return true
}

// Start carries out an order to start.
func (w *Worker) Start(o fleet.Order) fleet.Reply {
	switch {
	case !w.allow(o):
		return fleet.ReplyFenced
	case slices.ContainsFunc(w.active, func(r *run) bool { return r.key == runKey{o.Task, o.Run} }):
		return fleet.ReplyOK
	case o.Run <= w.barred[o.Task]:
		return fleet.ReplyStaleRun
	case o.LeaseUntil < w.Clock():
		return fleet.ReplyLeaseExpired
	}
	w.active = append(w.active, &run{key: runKey{o.Task, o.Run}, began: w.now})
	w.Log = append(w.Log, &Start{At: w.now, Worker: w.Info.ID(), Task: o.Task, Run: o.Run})
	return fleet.ReplyOK
}

// Stop carries out an order to stop; it takes effect after a delay.
func (w *Worker) Stop(o fleet.Order, delay time.Duration) fleet.Reply {
	if o.Epoch < w.fence {
		return fleet.ReplyFenced
	}
	w.fence = o.Epoch
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	for _, r := range w.active {
		if r.key == (runKey{o.Task, o.Run}) && r.stopAt.IsZero() {
			r.stopAt = w.now.Add(delay)
		}
	}
	return fleet.ReplyOK
}

// Heartbeat renews the lease and returns the lists.
func (w *Worker) Heartbeat(o fleet.Order) (fleet.RunLists, fleet.Reply) {
	if !w.allow(o) {
		return fleet.RunLists{}, fleet.ReplyFenced
	}
	w.ended = slices.DeleteFunc(w.ended, func(e fleet.EndedRun) bool { return e.Number <= o.AckedEnd })
	l := fleet.RunLists{Clock: w.Clock(), Incarnation: w.born, Ended: slices.Clone(w.ended)}
	for _, r := range w.active {
		done := 100 * r.worked / max(w.tasks.Task(r.key.task).Work, 1)
		l.Active = append(l.Active, fleet.ActiveRun{Task: r.key.task, Run: r.key.run, Percent: int(done)})
	}
	return l, fleet.ReplyOK
}

// Running returns what runs on the worker.
func (w *Worker) Running() core.Resources {
	var sum core.Resources
	for _, r := range w.active {
		sum = sum.Add(w.tasks.Task(r.key.task).Need)
	}
	return sum
}

// GangSize returns how many members of a gang's run are on the worker.
func (w *Worker) GangSize(id jobs.PhaseID, number uint64) int {
	n := 0
	for _, r := range w.active {
		if r.key.task.PhaseID == id && r.key.run == number {
			n++
		}
	}
	return n
}
