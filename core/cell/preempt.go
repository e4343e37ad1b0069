package cell

import (
	"cmp"
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/rules"
)

const (
	// preemptInterval is the minimum time between two searches for tasks to
	// preempt for the same task.
	preemptInterval = 2 * time.Second
	// preemptAfter is how long a job of a team below its share waits before
	// tasks of teams above their shares are preempted for it.
	preemptAfter = 5 * time.Second
	// maxPreemptWorkers is the maximum number of workers searched for tasks to
	// preempt for one task.
	maxPreemptWorkers = 64
)

// mayPreempt reports whether other tasks may be preempted for a job: it has a
// start deadline, or its team is below its share and the job has waited for
// preemptAfter.
func (c *Cell) mayPreempt(j *Job) bool {
	if !c.policy.Preempt {
		return false
	}
	if !j.Spec.Start.IsZero() {
		return true
	}
	return c.shares.Rank(j.Spec.Team) < 1 && c.now.Sub(j.Spec.Submitted) > preemptAfter
}

// preemptFor preempts batch tasks of teams above their share to make room for t, on
// the worker where these tasks declared the fewest cores in total. The preempted
// tasks write a checkpoint, stop and are queued again.
func (c *Cell) preemptFor(t *Task) {
	if c.now.Before(t.nextPreempt) {
		return
	}
	t.nextPreempt = c.now.Add(preemptInterval)
	var chosen []*Task
	chosenCost := int64(0)
	for range min(maxPreemptWorkers, len(c.workersByID)) {
		c.preemptCursor = (c.preemptCursor + 1) % len(c.workersByID)
		w := c.workersByID[c.preemptCursor]
		if !w.usable() || t.failedOn.Has(w.id) || !t.spec().Need.FitsIn(w.capacity) {
			continue
		}
		victims, cost := c.victims(w, t)
		if victims != nil && (chosen == nil || cost < chosenCost) {
			chosen, chosenCost = victims, cost
		}
	}
	for _, v := range chosen {
		c.counts.Yields++
		v.fire(taskEventYield)
	}
}

// victims returns the tasks of a worker to preempt to make room for t, and the
// cores that they declared. It takes tasks of the team furthest above its share
// first, and of one team the newest first.
func (c *Cell) victims(w *Worker, t *Task) ([]*Task, int64) {
	var candidates []*Task
	ownRank := c.shares.Rank(t.job.Spec.Team)
	for _, v := range w.sortedTasks() {
		j := v.job
		hasStartDeadline := !j.Spec.Start.IsZero()
		if v.state == taskStateRunning && j.Spec.Kind == rules.Batch && !hasStartDeadline && c.shares.Rank(j.Spec.Team) > max(ownRank, 1) {
			candidates = append(candidates, v)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *Task) int {
		return cmp.Or(cmp.Compare(c.shares.Rank(b.job.Spec.Team), c.shares.Rank(a.job.Spec.Team)), b.placedAt.Compare(a.placedAt))
	})
	free := w.free
	cost := int64(0)
	var out []*Task
	for _, v := range candidates {
		if t.spec().Need.FitsIn(free) {
			break
		}
		free = free.Add(v.spec().Need)
		cost += v.spec().Need.Cores
		out = append(out, v)
	}
	if len(out) == 0 || !t.spec().Need.FitsIn(free) {
		return nil, 0
	}
	return out, cost
}

// enforceLimits preempts the newest tasks of teams whose limit has been lowered
// below their use.
func (c *Cell) enforceLimits() {
	for _, q := range c.teamQueues {
		excess := c.limits.Excess(LimitName(q.team))
		if excess <= 0 {
			continue
		}
		for _, t := range c.newestTasks(q.team) {
			switch t.state {
			case taskStateRunning:
				t.fire(taskEventYield)
				excess -= t.spec().Need.Cores
			case taskStateYielding, taskStateStopping:
				excess -= t.spec().Need.Cores
			}
			if excess <= 0 {
				break
			}
		}
	}
}

// newestTasks returns a team's placed tasks, newest first.
func (c *Cell) newestTasks(team core.Team) []*Task {
	var out []*Task
	for _, w := range c.workersByID {
		for _, t := range w.sortedTasks() {
			if t.job.Spec.Team == team {
				out = append(out, t)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *Task) int { return b.placedAt.Compare(a.placedAt) })
	return out
}

// checkBlocked updates, after a change of workers, which queued jobs cannot run
// on the present fleet.
func (c *Cell) checkBlocked() {
	fits := map[core.Resources]bool{}
	for _, j := range c.jobs {
		j.blockedReason = ""
		for _, i := range j.queuedTasks {
			need := j.Spec.Tasks[i].Need
			ok, known := fits[need]
			if !known {
				ok = c.fitsAnyWorker(need)
				fits[need] = ok
			}
			if !ok {
				j.blockedReason = "a task is larger than any worker of the cell"
				break
			}
		}
	}
}
