package cell

import (
	"cmp"
	"slices"
	"time"

	"chicoryturn/core"
)

const (
	// reserveFor is how long room is kept for one gang before another gets its
	// turn, so that two half-placed gangs never block each other.
	reserveFor = 30 * time.Second
	// gangPause keeps a gang back after its reservation has expired.
	gangPause = 5 * time.Second
)

// reservation keeps room for the one gang whose turn it is.
type reservation struct {
	job     *Job
	workers core.Set[core.WorkerID]
	// at is when the gang is expected to start.
	at    time.Time
	until time.Time
}

// blocks reports whether a task must stay off a worker because it would delay
// the gang.
func (r *reservation) blocks(c *Cell, t *Task, id core.WorkerID) bool {
	if r == nil || r.job == t.job || !r.workers.Has(id) {
		return false
	}
	if !c.policy.Backfill {
		return true
	}
	run := c.guess.Predict(t.job.Spec.Queue, t.spec().Estimate)
	return c.now.Add(run).After(r.at)
}

// placeGang places every task of a gang or none.
func (c *Cell) placeGang(p *pass, j *Job) bool {
	if c.now.Before(j.retryAfter) {
		return false
	}
	if c.limits.Available(LimitName(j.Spec.Team)) < j.cores {
		return false
	}
	where, ok := c.fitGang(p, j)
	if !ok {
		c.reserve(j)
		return false
	}
	c.dequeue(j)
	if c.gang != nil && c.gang.job == j {
		c.gang = nil
	}
	for _, i := range slices.Clone(j.queued) {
		p.place(&j.tasks[i], c.workers[where[i]])
	}
	return true
}

// fitGang tries all tasks on the index, then takes the trial back.
func (c *Cell) fitGang(p *pass, j *Job) (map[int]core.WorkerID, bool) {
	where := map[int]core.WorkerID{}
	before := map[core.WorkerID]core.Resources{}
	order := slices.Clone(j.queued)
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(j.Spec.Tasks[b].Need.Cores, j.Spec.Tasks[a].Need.Cores)
	})
	ok := true
	free := map[core.WorkerID]core.Resources{}
	for _, i := range order {
		t := &j.tasks[i]
		id, found := p.find(t, t.spec().Need)
		if !found {
			ok = false
			break
		}
		w := c.workers[id]
		if _, seen := before[id]; !seen {
			before[id], free[id] = w.free, w.free
		}
		free[id] = free[id].Sub(t.spec().Need)
		c.rooms.Put(id, free[id], w.room)
		where[i] = id
	}
	for id, r := range before {
		c.rooms.Put(id, r, c.workers[id].room)
	}
	if !ok {
		p.unfit = nil
	}
	return where, ok
}

// reserve chooses the workers that are soonest free for the gang.
func (c *Cell) reserve(j *Job) {
	if !c.policy.Reserve || (c.gang != nil && c.gang.job != j) {
		return
	}
	type choice struct {
		worker *Worker
		at     time.Time
	}
	var all []choice
	for _, w := range c.order {
		if w.usable() && c.known.Has(w.id) {
			all = append(all, choice{w, w.freeAt()})
		}
	}
	slices.SortStableFunc(all, func(a, b choice) int { return a.at.Compare(b.at) })
	left := slices.Clone(j.queued)
	r := &reservation{job: j, workers: core.NewSet[core.WorkerID](), until: c.now.Add(reserveFor)}
	if c.gang != nil {
		r.until = c.gang.until
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
			r.at = ch.at
		}
	}
	if len(left) == 0 {
		c.gang = r
	}
}

// freeAt returns when the worker's tasks are expected to have ended.
func (w *Worker) freeAt() time.Time {
	at := w.cell.now
	for _, t := range w.tasks {
		end := t.placed.Add(w.cell.guess.Predict(t.job.Spec.Queue, t.spec().Estimate))
		if end.After(at) {
			at = end
		}
	}
	return at
}

// expireGang ends a reservation that has not been used in time.
func (c *Cell) expireGang() {
	g := c.gang
	if g == nil {
		return
	}
	if c.now.Before(g.until) && g.job.inQueue {
		return
	}
	g.job.retryAfter = c.now.Add(gangPause)
	c.gang = nil
	c.changed = true
}
