package cell

import (
	"cmp"
	"slices"
	"time"

	"chicoryturn/core"
)

const (
	// reservationTTL is how long room stays reserved for one gang. Only one gang
	// at a time has a reservation, because two gangs that each reserve a part of
	// the room could block each other.
	reservationTTL = 30 * time.Second
	// gangBackoff is the delay before a gang is tried again after its
	// reservation has expired.
	gangBackoff = 5 * time.Second
)

// gangReservation is the room reserved for one gang. A cell has at most one.
type gangReservation struct {
	job     *Job
	workers core.Set[core.WorkerID]
	// expectedStart is when the last reserved worker is expected to be idle.
	expectedStart time.Time
	expiresAt     time.Time
}

// blocks reports whether a task must not be placed on a worker because it would
// delay the gang.
func (r *gangReservation) blocks(c *Cell, t *Task, id core.WorkerID) bool {
	if r == nil || r.job == t.job || !r.workers.Has(id) {
		return false
	}
	if !c.policy.Backfill {
		return true
	}
	runTime := c.estimator.Predict(t.job.Spec.Queue, t.spec().Estimate)
	return c.now.Add(runTime).After(r.expectedStart)
}

// placeGang places all tasks of a gang or none.
func (c *Cell) placeGang(p *placementPass, j *Job) bool {
	if c.now.Before(j.retryAfter) {
		return false
	}
	if c.limits.Available(LimitName(j.Spec.Team)) < j.queuedCores {
		return false
	}
	placement, ok := c.fitGang(p, j)
	if !ok {
		c.reserveForGang(j)
		return false
	}
	c.dequeue(j)
	if c.reservation != nil && c.reservation.job == j {
		c.reservation = nil
	}
	for _, i := range slices.Clone(j.queuedTasks) {
		p.placeTask(&j.tasks[i], c.workers[placement[i]])
	}
	return true
}

// fitGang looks for a placement of all tasks of a gang, largest first. It takes room
// in the index for each task tried and restores the index at the end.
func (c *Cell) fitGang(p *placementPass, j *Job) (map[int]core.WorkerID, bool) {
	placement := map[int]core.WorkerID{}
	original := map[core.WorkerID]core.Resources{}
	order := slices.Clone(j.queuedTasks)
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(j.Spec.Tasks[b].Need.Cores, j.Spec.Tasks[a].Need.Cores)
	})
	ok := true
	free := map[core.WorkerID]core.Resources{}
	for _, i := range order {
		t := &j.tasks[i]
		id, found := p.findWorker(t, t.spec().Need)
		if !found {
			ok = false
			break
		}
		w := c.workers[id]
		if _, seen := original[id]; !seen {
			original[id], free[id] = w.free, w.free
		}
		free[id] = free[id].Sub(t.spec().Need)
		c.roomIndex.Put(id, free[id], w.capacity)
		placement[i] = id
	}
	for id, r := range original {
		c.roomIndex.Put(id, r, c.workers[id].capacity)
	}
	if !ok {
		// These needs may fit once the room of the gang's tasks is restored.
		p.unfitNeeds = nil
	}
	return placement, ok
}

// reserveForGang reserves for the gang the workers that are expected to be idle
// soonest.
func (c *Cell) reserveForGang(j *Job) {
	if !c.policy.Reserve || (c.reservation != nil && c.reservation.job != j) {
		return
	}
	type candidate struct {
		worker *Worker
		idleAt time.Time
	}
	var candidates []candidate
	for _, w := range c.workersByID {
		if w.usable() && c.recordedWorkers.Has(w.id) {
			candidates = append(candidates, candidate{w, w.expectedIdleAt()})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return a.idleAt.Compare(b.idleAt) })
	unplaced := slices.Clone(j.queuedTasks)
	r := &gangReservation{job: j, workers: core.NewSet[core.WorkerID](), expiresAt: c.now.Add(reservationTTL)}
	if c.reservation != nil {
		r.expiresAt = c.reservation.expiresAt
	}
	for _, cand := range candidates {
		if len(unplaced) == 0 {
			break
		}
		free := cand.worker.capacity
		unplacedBefore := len(unplaced)
		unplaced = slices.DeleteFunc(unplaced, func(i int) bool {
			need := j.Spec.Tasks[i].Need
			if !need.FitsIn(free) {
				return false
			}
			free = free.Sub(need)
			return true
		})
		if len(unplaced) < unplacedBefore {
			r.workers.Add(cand.worker.id)
			r.expectedStart = cand.idleAt
		}
	}
	if len(unplaced) == 0 {
		c.reservation = r
	}
}

// expectedIdleAt returns when the worker's tasks are expected to have ended.
func (w *Worker) expectedIdleAt() time.Time {
	idleAt := w.cell.now
	for _, t := range w.tasks {
		end := t.placedAt.Add(w.cell.estimator.Predict(t.job.Spec.Queue, t.spec().Estimate))
		if end.After(idleAt) {
			idleAt = end
		}
	}
	return idleAt
}

// expireReservation ends a reservation whose time has expired or whose job is
// no longer queued.
func (c *Cell) expireReservation() {
	r := c.reservation
	if r == nil {
		return
	}
	if c.now.Before(r.expiresAt) && r.job.inTeamQueue {
		return
	}
	r.job.retryAfter = c.now.Add(gangBackoff)
	c.reservation = nil
	c.needsPlan = true
}
