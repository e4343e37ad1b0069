package cell

import (
	"cmp"
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/rules"
)

const (
	// preemptInterval is how long a task waits before it has others yield anew.
	preemptInterval = 2 * time.Second
	// preemptAfter is how long a team below its share waits before tasks of
	// teams above theirs yield.
	preemptAfter = 5 * time.Second
	// maxPreemptWorkers bounds the workers looked at for one task.
	maxPreemptWorkers = 64
)

// mayPreempt reports whether others should make room for a job: it is about to
// miss its latest start, or its team has long been below its share.
func (c *Cell) mayPreempt(j *Job) bool {
	if !c.policy.Yield {
		return false
	}
	if !j.Spec.Start.IsZero() {
		return true
	}
	return c.shares.Rank(j.Spec.Team) < 1 && c.now.Sub(j.Spec.Submitted) > preemptAfter
}

// preemptFor has batch tasks of teams above their share write a checkpoint and make
// room for t on the worker where that costs least.
func (c *Cell) preemptFor(t *Task) {
	if c.now.Before(t.nextPreempt) {
		return
	}
	t.nextPreempt = c.now.Add(preemptInterval)
	var best []*Task
	least := int64(0)
	for range min(maxPreemptWorkers, len(c.workersByID)) {
		c.preemptCursor = (c.preemptCursor + 1) % len(c.workersByID)
		w := c.workersByID[c.preemptCursor]
		if !w.usable() || t.failedOn.Has(w.id) || !t.spec().Need.Fits(w.room) {
			continue
		}
		victims, cost := c.victims(w, t)
		if victims != nil && (best == nil || cost < least) {
			best, least = victims, cost
		}
	}
	for _, v := range best {
		c.counts.Yields++
		v.fire(taskEventYield)
	}
}

// victims returns the fewest tasks of a worker whose end makes room for t, and
// the cores that they use.
func (c *Cell) victims(w *Worker, t *Task) ([]*Task, int64) {
	var list []*Task
	own := c.shares.Rank(t.job.Spec.Team)
	for _, v := range w.sortedTasks() {
		j := v.job
		hurry := !j.Spec.Start.IsZero()
		if v.state == taskStateRunning && j.Spec.Kind == rules.Batch && !hurry && c.shares.Rank(j.Spec.Team) > max(own, 1) {
			list = append(list, v)
		}
	}
	slices.SortStableFunc(list, func(a, b *Task) int {
		return cmp.Or(cmp.Compare(c.shares.Rank(b.job.Spec.Team), c.shares.Rank(a.job.Spec.Team)), b.placedAt.Compare(a.placedAt))
	})
	free := w.free
	cost := int64(0)
	var out []*Task
	for _, v := range list {
		if t.spec().Need.Fits(free) {
			break
		}
		free = free.Add(v.spec().Need)
		cost += v.spec().Need.Cores
		out = append(out, v)
	}
	if len(out) == 0 || !t.spec().Need.Fits(free) {
		return nil, 0
	}
	return out, cost
}

// enforceLimits has the newest tasks of teams whose limit was lowered below their use
// write a checkpoint and wait.
func (c *Cell) enforceLimits() {
	for _, l := range c.teamQueues {
		excess := c.limits.Excess(LimitName(l.team))
		if excess <= 0 {
			continue
		}
		for _, t := range c.newestTasks(l.team) {
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

// newestTasks returns a team's placed tasks, the newest first.
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

// checkBlocked notes, after a change of workers, which waiting jobs cannot run
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
