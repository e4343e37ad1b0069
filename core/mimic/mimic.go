// Package mimic is a model of the platform's workers for tests: it obeys
// orders as they do, and records what a test must be able to check.
package mimic

import (
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/board"
	"chicoryturn/core/jobs"
)

// GangTime is how long a task of a gang waits for the others.
const GangTime = 3 * time.Second

// Spec is what a test says of the tasks of a phase.
type Spec struct {
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
	Task(id jobs.TaskID) Spec
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
	How board.End
	// Lost is set if the worker crashed before the end was acknowledged: nobody
	// can learn of it any more.
	Lost bool
}

// Worker is one worker.
type Worker struct {
	Host  board.Host
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
	ended  []board.Ended
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
func New(h board.Host, t Tasks, at time.Time, rate float64, lease time.Duration) *Worker {
	w := &Worker{Host: h, tasks: t, rate: rate, Up: true, Most: lease}
	w.Begin(at)
	return w
}

// Begin starts a new incarnation, which knows nothing.
func (w *Worker) Begin(at time.Time) {
	w.end(at)
	w.born, w.now, w.Up = at, at, true
	w.Host.Born = at
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
		w.close(r, at, board.EndOther)
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

func (w *Worker) close(r *run, at time.Time, how board.End) {
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

// Work lets time pass for what runs; Settle then ends what is over. All workers
// work before any settles, so that the members of a gang end together.
func (w *Worker) Work(now time.Time) {
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

// Settle ends the runs that are over.
func (w *Worker) Settle() {
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
func (r *run) over(w *Worker, s Spec) (how board.End, word string) {
	switch {
	case w.Clock() > w.until:
		return board.EndOther, "lapsed"
	case !r.stopAt.IsZero() && !w.now.Before(r.stopAt):
		return board.EndOther, "stopped"
	case r.worked >= s.Work && s.Fails:
		return board.EndFailed, "failed"
	case r.worked >= s.Work:
		return board.EndDone, "done"
	case r.together && w.tasks.Present(r.key.task.PhaseID, r.key.run) < s.Gang:
		return board.EndOther, "broken"
	case !r.together && w.now.Sub(r.began) > GangTime:
		return board.EndOther, "alone"
	}
	return "", ""
}

func (w *Worker) finish(r *run, how board.End, word string) {
	w.number++
	w.ended = append(w.ended, board.Ended{Number: w.number, Task: r.key.task, Run: r.key.run, How: how, Word: word})
	w.barred[r.key.task] = max(w.barred[r.key.task], r.key.run)
	w.close(r, w.now, how)
}

// allow checks the fence and extends the lease.
func (w *Worker) allow(o board.Order) bool {
	if o.Epoch < w.fence {
		return false
	}
	w.fence = o.Epoch
	w.until = max(w.until, min(o.Until, w.Clock()+w.Most))
	return true
}

// Start carries out an order to start.
func (w *Worker) Start(o board.Order) board.Reply {
	switch {
	case !w.allow(o):
		return board.ReplyFenced
	case slices.ContainsFunc(w.active, func(r *run) bool { return r.key == runKey{o.Task, o.Run} }):
		return board.ReplyDone
	case o.Run <= w.barred[o.Task]:
		return board.ReplyOld
	case o.Until < w.Clock():
		return board.ReplyLate
	}
	w.active = append(w.active, &run{key: runKey{o.Task, o.Run}, began: w.now})
	w.Log = append(w.Log, &Start{At: w.now, Worker: w.Host.Worker(), Task: o.Task, Run: o.Run})
	return board.ReplyDone
}

// Stop carries out an order to stop; it takes effect after a delay.
func (w *Worker) Stop(o board.Order, delay time.Duration) board.Reply {
	if o.Epoch < w.fence {
		return board.ReplyFenced
	}
	w.fence = o.Epoch
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	for _, r := range w.active {
		if r.key == (runKey{o.Task, o.Run}) && r.stopAt.IsZero() {
			r.stopAt = w.now.Add(delay)
		}
	}
	return board.ReplyDone
}

// Hold renews the lease and returns the lists.
func (w *Worker) Hold(o board.Order) (board.Lists, board.Reply) {
	if !w.allow(o) {
		return board.Lists{}, board.ReplyFenced
	}
	w.ended = slices.DeleteFunc(w.ended, func(e board.Ended) bool { return e.Number <= o.Seen })
	l := board.Lists{Clock: w.Clock(), Born: w.born, Ended: slices.Clone(w.ended)}
	for _, r := range w.active {
		done := 100 * r.worked / max(w.tasks.Task(r.key.task).Work, 1)
		l.Active = append(l.Active, board.Active{Task: r.key.task, Run: r.key.run, Percent: int(done)})
	}
	return l, board.ReplyDone
}

// Holds returns what runs on the worker.
func (w *Worker) Holds() core.Resources {
	var sum core.Resources
	for _, r := range w.active {
		sum = sum.Add(w.tasks.Task(r.key.task).Need)
	}
	return sum
}

// Runs returns how many members of a gang's run are on the worker.
func (w *Worker) Runs(id jobs.PhaseID, number uint64) int {
	n := 0
	for _, r := range w.active {
		if r.key.task.PhaseID == id && r.key.run == number {
			n++
		}
	}
	return n
}
