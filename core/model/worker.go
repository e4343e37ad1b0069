// Package model simulates the platform's workers for tests. A simulated worker
// executes orders as a real one does and logs every run so that a test can check it.
package model

import (
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
)

// GangWait is how long a task of a gang waits for the other tasks to start.
const GangWait = 3 * time.Second

// TaskSpec describes the tasks of a phase.
type TaskSpec struct {
	Need core.Resources
	// Work is how long a run must work to end.
	Work time.Duration
	// Gang is how many tasks must be present for any of them to work; 0 or 1 for
	// tasks that are not in a gang.
	Gang int
	// Fails makes each run end as failed.
	Fails bool
}

// Tasks describes the tasks that a worker is ordered to run.
type Tasks interface {
	// Task returns the description of a task.
	Task(id jobs.TaskID) TaskSpec
	// Present returns how many tasks of a gang's run are active on all workers.
	Present(id jobs.PhaseID, run uint64) int
}

type runKey struct {
	task jobs.TaskID
	run  uint64
}

// run is an active run on a worker.
type run struct {
	key runKey
	// worked is how long the run has worked.
	worked    time.Duration
	startedAt time.Time
	// assembled is set once all tasks of the gang have been present.
	assembled bool
	// stopAt is when an ordered stop takes effect; zero if no stop was ordered.
	stopAt time.Time
}

// RunRecord is the log entry of a run that a worker has started.
type RunRecord struct {
	// At is when the run started.
	At     time.Time
	Worker core.WorkerID
	Task   jobs.TaskID
	Run    uint64
	// Labels are those of the incarnation that has started the run.
	Labels []string
	// Epoch is that of the order that started the run, AckedBy that of the order that
	// acknowledged its end, 0 if none has.
	Epoch, AckedBy core.Epoch
	// End is zero while the run is active.
	End  time.Time
	Kind fleet.EndKind
	// Lost is set if the worker's incarnation ended before the end of the run was
	// acknowledged, so that no owner can learn of that end.
	Lost bool
	// LapsedAt is when the worker's lease first lapsed after the end of the run and before
	// that end was acknowledged; zero if it did not.
	LapsedAt time.Time
	// AckedAt is when the end of the run was acknowledged; zero if it was not.
	AckedAt time.Time
}

// Worker is a simulated worker.
type Worker struct {
	Info  fleet.WorkerInfo
	tasks Tasks
	// clockRate is the rate of the worker's clock; a correct clock has rate 1.
	clockRate float64
	// incarnation is when the present incarnation started.
	incarnation time.Time
	now         time.Time
	// Up is false while the worker is down. While Unreachable is set, the test
	// delivers no orders to the worker.
	Up, Unreachable bool

	// maxEpoch is the highest epoch received; orders of lower epochs are fenced.
	maxEpoch core.Epoch
	// leaseUntil is the end of the lease on the worker's clock.
	leaseUntil time.Duration
	active     []*run
	// ended are the ends that have not been acknowledged, lastEnd is the number of
	// the newest end.
	ended   []fleet.EndedRun
	lastEnd uint64
	// barredRuns holds each task's highest run that was stopped or has ended; it and
	// lower runs cannot be started.
	barredRuns map[jobs.TaskID]uint64
	// Log holds the runs of all incarnations.
	Log []*RunRecord
	// MaxLease is the longest lease that the worker accepts.
	MaxLease time.Duration
	// MaxEnds is the most ends that a list holds; 0 means no limit.
	MaxEnds int
}

// New returns a worker that starts at a time. Its clock runs at clockRate, and it
// accepts leases of at most maxLease.
func New(info fleet.WorkerInfo, t Tasks, at time.Time, clockRate float64, maxLease time.Duration) *Worker {
	w := &Worker{Info: info, tasks: t, clockRate: clockRate, Up: true, MaxLease: maxLease}
	w.Restart(at)
	return w
}

// Restart starts a new incarnation, which has no runs, ends or lease.
func (w *Worker) Restart(at time.Time) {
	w.dropAll(at)
	w.incarnation, w.now, w.Up = at, at, true
	w.Info.Incarnation = at
	w.maxEpoch, w.leaseUntil, w.lastEnd = 0, 0, 0
	w.ended, w.barredRuns = nil, map[jobs.TaskID]uint64{}
}

// Crash ends all active runs. Their ends are never listed.
func (w *Worker) Crash(at time.Time) {
	w.dropAll(at)
	w.Up = false
}

// dropAll ends all active runs and loses the ends that were not acknowledged.
func (w *Worker) dropAll(at time.Time) {
	for _, r := range w.active {
		w.logEnd(r, at, fleet.EndOther)
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

func (w *Worker) logEnd(r *run, at time.Time, kind fleet.EndKind) {
	for _, s := range w.Log {
		if s.Task == r.key.task && s.Run == r.key.run && s.End.IsZero() {
			s.End, s.Kind = at, kind
		}
	}
}

// Clock returns the time on the worker's own clock since the incarnation started.
func (w *Worker) Clock() time.Duration {
	return time.Duration(float64(w.now.Sub(w.incarnation)) * w.clockRate)
}

// Advance moves the time forward and adds it to the work of the active runs. A test
// advances all workers before it calls EndFinished on any of them, so that the tasks
// of a gang end together.
func (w *Worker) Advance(now time.Time) {
	elapsed := now.Sub(w.now)
	w.now = now
	for _, r := range w.active {
		s := w.tasks.Task(r.key.task)
		if w.tasks.Present(r.key.task.PhaseID, r.key.run) >= s.Gang {
			r.assembled = true
			r.worked += elapsed
		}
	}
}

// EndFinished ends the runs that have finished, failed, been stopped or lost their
// lease or gang.
func (w *Worker) EndFinished() {
	if w.Clock() > w.leaseUntil {
		w.markLapsed()
	}
	var active []*run
	for _, r := range w.active {
		s := w.tasks.Task(r.key.task)
		kind, reason := r.outcome(w, s)
		if reason == "" {
			active = append(active, r)
			continue
		}
		w.listEnd(r, kind, reason)
	}
	w.active = active
}

// markLapsed records that the lease has lapsed for the ends that are not acknowledged.
func (w *Worker) markLapsed() {
	for _, e := range w.ended {
		for _, s := range w.Log {
			if s.Task == e.Task && s.Run == e.Run && s.LapsedAt.IsZero() {
				s.LapsedAt = w.now
			}
		}
	}
}

// outcome returns how a run ends now; reason is empty if it does not end.
func (r *run) outcome(w *Worker, s TaskSpec) (kind fleet.EndKind, reason string) {
	switch {
	case w.Clock() > w.leaseUntil:
		return fleet.EndOther, "lapsed"
	case !r.stopAt.IsZero() && !w.now.Before(r.stopAt):
		return fleet.EndOther, "stopped"
	case r.worked >= s.Work && s.Fails:
		return fleet.EndFailed, "failed"
	case r.worked >= s.Work:
		return fleet.EndDone, "done"
	case r.assembled && w.tasks.Present(r.key.task.PhaseID, r.key.run) < s.Gang:
		return fleet.EndOther, "broken"
	case !r.assembled && w.now.Sub(r.startedAt) > GangWait:
		return fleet.EndOther, "alone"
	}
	return "", ""
}

// listEnd adds the end of a run to the list that heartbeats return.
func (w *Worker) listEnd(r *run, kind fleet.EndKind, reason string) {
	w.lastEnd++
	w.ended = append(w.ended, fleet.EndedRun{Number: w.lastEnd, Task: r.key.task, Run: r.key.run, Kind: kind, Reason: reason})
	w.barredRuns[r.key.task] = max(w.barredRuns[r.key.task], r.key.run)
	w.logEnd(r, w.now, kind)
}

// acceptOrder reports whether the order's epoch is current and, if so, extends the
// lease.
func (w *Worker) acceptOrder(o fleet.Order) bool {
	if o.Epoch < w.maxEpoch {
		return false
	}
	w.maxEpoch = o.Epoch
	w.leaseUntil = max(w.leaseUntil, min(o.LeaseUntil, w.Clock()+w.MaxLease))
	return true
}

// Start executes an order to start a run.
func (w *Worker) Start(o fleet.Order) fleet.Reply {
	switch {
	case !w.acceptOrder(o):
		return fleet.ReplyFenced
	case slices.ContainsFunc(w.active, func(r *run) bool { return r.key == runKey{o.Task, o.Run} }):
		return fleet.ReplyOK
	case o.Run <= w.barredRuns[o.Task]:
		return fleet.ReplyStaleRun
	case o.LeaseUntil < w.Clock():
		return fleet.ReplyLeaseExpired
	}
	w.active = append(w.active, &run{key: runKey{o.Task, o.Run}, startedAt: w.now})
	w.Log = append(w.Log, &RunRecord{At: w.now, Worker: w.Info.ID(), Task: o.Task, Run: o.Run, Labels: w.Info.Labels, Epoch: o.Epoch})
	return fleet.ReplyOK
}

// Stop executes an order to stop a run; the run ends after the delay.
func (w *Worker) Stop(o fleet.Order, delay time.Duration) fleet.Reply {
	if o.Epoch < w.maxEpoch {
		return fleet.ReplyFenced
	}
	w.maxEpoch = o.Epoch
	w.barredRuns[o.Task] = max(w.barredRuns[o.Task], o.Run)
	for _, r := range w.active {
		if r.key == (runKey{o.Task, o.Run}) && r.stopAt.IsZero() {
			r.stopAt = w.now.Add(delay)
		}
	}
	return fleet.ReplyOK
}

// Heartbeat renews the lease, drops the ends that the order acknowledges, and
// returns the active runs and the remaining ends.
func (w *Worker) Heartbeat(o fleet.Order) (fleet.RunLists, fleet.Reply) {
	if !w.acceptOrder(o) {
		return fleet.RunLists{}, fleet.ReplyFenced
	}
	w.acknowledge(o)
	return w.Lists(), fleet.ReplyOK
}

// Lists returns the active runs and the oldest of the ends that have not been acknowledged.
func (w *Worker) Lists() fleet.RunLists {
	l := fleet.RunLists{Clock: w.Clock(), Incarnation: w.incarnation, Ended: slices.Clone(w.ended)}
	if w.MaxEnds > 0 && len(l.Ended) >= w.MaxEnds {
		l.Ended, l.More = l.Ended[:w.MaxEnds], true
	}
	for _, r := range w.active {
		percent := 100 * r.worked / max(w.tasks.Task(r.key.task).Work, 1)
		l.Active = append(l.Active, fleet.ActiveRun{Task: r.key.task, Run: r.key.run, Percent: int(percent)})
	}
	return l
}

// acknowledge drops the ends that an order acknowledges.
func (w *Worker) acknowledge(o fleet.Order) {
	w.ended = slices.DeleteFunc(w.ended, func(e fleet.EndedRun) bool {
		if e.Number > o.AckedEnd {
			return false
		}
		for _, s := range w.Log {
			if s.Task == e.Task && s.Run == e.Run && s.AckedAt.IsZero() {
				s.AckedBy, s.AckedAt = o.Epoch, w.now
			}
		}
		return true
	})
}

// Unacknowledged returns the ends that have not been acknowledged.
func (w *Worker) Unacknowledged() []fleet.EndedRun { return w.ended }

// UsedResources returns the resources that the active runs use.
func (w *Worker) UsedResources() core.Resources {
	var sum core.Resources
	for _, r := range w.active {
		sum = sum.Add(w.tasks.Task(r.key.task).Need)
	}
	return sum
}

// ActiveInGang returns how many tasks of a gang's run are active on the worker.
func (w *Worker) ActiveInGang(id jobs.PhaseID, run uint64) int {
	n := 0
	for _, r := range w.active {
		if r.key.task.PhaseID == id && r.key.run == run {
			n++
		}
	}
	return n
}
