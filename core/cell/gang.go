package cell

import (
	"cmp"
	"slices"
	"time"

	"chicoryturn/core"
)

const (
	// reservationTTL is how long room is kept for one gang before another gets its
	// turn, so that two half-placed gangs never block each other.
	reservationTTL = 30 * time.Second
	// gangBackoff keeps a gang back after its reservation has expired.
	gangBackoff = 5 * time.Second
)

// gangReservation keeps room for the one gang whose turn it is.
type gangReservation struct {
	job     *Job
	workers core.Set[core.WorkerID]
	// expectedStart is when the gang is expected to start.
	expectedStart time.Time
	expiresAt     time.Time
}

// blocks reports whether a task must stay off a worker because it would delay
// the gang.
func (r *gangReservation) blocks(c *Cell, t *Task, id core.WorkerID) bool {
	if r == nil || r.job == t.job || !r.workers.Has(id) {
		return false
	}
	if !c.policy.Backfill {
		return true
	}
	run := c.estimator.Predict(t.job.Spec.Queue, t.spec().Estimate)
	return c.now.Add(run).After(r.expectedStart)
}

// placeGang places every task of a gang or none.
func (c *Cell) placeGang(p *placementPass, j *Job) bool {
	if c.now.Before(j.retryAfter) {
		return false
	}
	if c.limits.Available(LimitName(j.Spec.Team)) < j.queuedCores {
		return false
	}
	where, ok := c.fitGang(p, j)
	if !ok {
		c.reserveForGang(j)
		return false
	}
	c.dequeue(j)
	if c.reservation != nil && c.reservation.job == j {
		c.reservation = nil
	}
	for _, i := range slices.Clone(j.queuedTasks) {
		p.placeTask(&j.tasks[i], c.workers[where[i]])
	}
	return true
}

// fitGang tries all tasks on the index, then takes the trial back.
func (c *Cell) fitGang(p *placementPass, j *Job) (map[int]core.WorkerID, bool) {
	where := map[int]core.WorkerID{}
	before := map[core.WorkerID]core.Resources{}
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
		if _, seen := before[id]; !seen {
			before[id], free[id] = w.free, w.free
		}
		free[id] = free[id].Sub(t.spec().Need)
		c.roomIndex.Put(id, free[id], w.room)
		where[i] = id
	}
	for id, r := range before {
		c.roomIndex.Put(id, r, c.workers[id].room)
	}
	if !ok {
		p.unfitNeeds = nil
	}
	return where, ok
}

// reserveForGang chooses the workers that are soonest free for the gang.
func (c *Cell) reserveForGang(j *Job) {
	if !c.policy.Reserve || (c.reservation != nil && c.reservation.job != j) {
		return
	}
	type choice struct {
		worker *Worker
		at     time.Time
	}
	var all []choice
	for _, w := range c.workersByID {
		if w.usable() && c.recordedWorkers.Has(w.id) {
			all = append(all, choice{w, w.expectedIdleAt()})
		}
	}
	slices.SortStableFunc(all, func(a, b choice) int { return a.at.Compare(b.at) })
	left := slices.Clone(j.queuedTasks)
	r := &gangReservation{job: j, workers: core.NewSet[core.WorkerID](), expiresAt: c.now.Add(reservationTTL)}
	if c.reservation != nil {
		r.expiresAt = c.reservation.expiresAt
	}
	for _, ch := range all {
		if len(left) == 0 {
			break
		}
		room := ch.worker.room
		before := len(left)
		left = slices.DeleteFunc(left, func(i int) bool {
			need := j.Spec.Tasks[i].Need
			if !need.Fits(room) {
				return false
			}
			room = room.Sub(need)
			return true
		})
		if len(left) < before {
			r.workers.Add(ch.worker.id)
			r.expectedStart = ch.at
		}
	}
	if len(left) == 0 {
		c.reservation = r
	}
}

// expectedIdleAt returns when the worker's tasks are expected to have ended.
func (w *Worker) expectedIdleAt() time.Time {
	at := w.cell.now
	for _, t := range w.tasks {
		end := t.placedAt.Add(w.cell.estimator.Predict(t.job.Spec.Queue, t.spec().Estimate))
		if end.After(at) {
			at = end
		}
	}
	return at
}

// expireReservation ends a reservation that has not been used in time.
func (c *Cell) expireReservation() {
	g := c.reservation
	if g == nil {
		return
	}
	if c.now.Before(g.expiresAt) && g.job.inQueue {
		return
	}
	g.job.retryAfter = c.now.Add(gangBackoff)
	c.reservation = nil
	c.needsPlan = true
}
