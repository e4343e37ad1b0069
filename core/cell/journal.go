package cell

import (
	"time"

	"chicoryturn/core"
)

// TaskEnd records how a task ended.
type TaskEnd struct {
	Job     core.JobID
	Index   int
	Outcome Outcome
}

// JobEnd records that every task of a job has ended.
type JobEnd struct {
	Job core.JobID
	At  time.Time
}

// Entry is one step of a cell's journal; exactly one field is set.
type Entry struct {
	Accept *JobSpec      `json:",omitempty"`
	Task   *TaskEnd      `json:",omitempty"`
	End    *JobEnd       `json:",omitempty"`
	Cancel core.JobID    `json:",omitempty"`
	Worker core.WorkerID `json:",omitempty"`
	// Gone names a worker that can run nothing any more.
	Gone core.WorkerID `json:",omitempty"`
}

// Snapshot is the whole recorded state of a cell.
type Snapshot struct {
	Entries []Entry
}

// write adds an entry to the next batch.
func (c *Cell) write(e Entry) {
	if !c.loading {
		c.pending = append(c.pending, e)
	}
}

// Batch returns the entries to record next. There is none while an earlier
// batch is in flight: a cell's entries are recorded in order.
func (c *Cell) Batch() []Entry {
	if c.flying != nil || len(c.pending) == 0 {
		return nil
	}
	n := min(len(c.pending), maxBatch)
	c.flying = c.pending[:n:n]
	c.pending = c.pending[n:]
	return c.flying
}

// Pending returns how many entries wait to be recorded.
func (c *Cell) Pending() int { return len(c.pending) + len(c.flying) }

// BatchStored follows a batch that is in the store and returns the jobs whose
// acceptance it holds.
func (c *Cell) BatchStored(now time.Time) []core.JobID {
	c.now = now
	batch := c.flying
	c.flying = nil
	var accepted []core.JobID
	for _, e := range batch {
		switch {
		case e.Accept != nil:
			accepted = append(accepted, e.Accept.ID)
			c.jobs[e.Accept.ID].fire(jobRecord)
		case e.Task != nil:
			c.jobs[e.Task.Job].tasks[e.Task.Index].confirm()
		case e.Worker != "":
			c.known.Add(e.Worker)
		case e.Gone != "":
			c.forget(e.Gone)
		case e.End != nil:
			c.jobs[e.End.Job].fire(jobRecord)
		}
	}
	c.prune()
	return accepted
}

// Load rebuilds the recorded state of a cell. Every open task may still run
// somewhere until all workers have reported or lapsed.
func (c *Cell) Load(now time.Time, entries []Entry) {
	c.now, c.loading = now, true
	for i := range entries {
		c.replay(&entries[i])
	}
	// Until a worker of an earlier owner has been heard of, it may run tasks.
	for _, id := range c.knownWorkers() {
		c.addWorker(id)
	}
	for _, j := range c.sortedJobs() {
		if j.state == jobEnded {
			continue
		}
		for i := range j.tasks {
			if t := &j.tasks[i]; t.outcome == "" {
				t.fire(taskRecover)
				c.hold(t)
			}
		}
		j.fire(jobRecord)
	}
	c.loading = false
	for _, j := range c.sortedJobs() {
		switch {
		case j.state == jobEnded:
		case j.cancelled:
			j.fire(jobCancel)
		case j.open == 0:
			j.fire(jobEnd)
		}
	}
	c.clearHeld()
}

func (c *Cell) replay(e *Entry) {
	switch {
	case e.Accept != nil:
		if c.jobs[e.Accept.ID] == nil {
			c.add(*e.Accept)
		}
	case e.Task != nil:
		if j := c.jobs[e.Task.Job]; j != nil && e.Task.Index < len(j.tasks) && j.tasks[e.Task.Index].outcome == "" {
			t := &j.tasks[e.Task.Index]
			t.outcome, t.recorded = e.Task.Outcome, true
			t.fire(taskRestore)
			j.open--
		}
	case e.End != nil:
		if j := c.jobs[e.End.Job]; j != nil && j.state != jobEnded {
			j.ended = e.End.At
			j.fire(jobRestore)
		}
	case e.Cancel != "":
		if j := c.jobs[e.Cancel]; j != nil {
			j.cancelled = true
		}
	case e.Worker != "":
		c.known.Add(e.Worker)
	case e.Gone != "":
		delete(c.known, e.Gone)
	}
}

// forget drops a worker that is gone, unless it has come back meanwhile.
func (c *Cell) forget(id core.WorkerID) {
	delete(c.known, id)
	if w := c.workers[id]; w != nil {
		c.write(Entry{Worker: id})
	}
}

// Snapshot returns the recorded state in the form of entries. It must be taken
// while no batch is in flight.
func (c *Cell) Snapshot() Snapshot {
	var s Snapshot
	for _, id := range c.knownWorkers() {
		s.Entries = append(s.Entries, Entry{Worker: id})
	}
	for _, j := range c.sortedJobs() {
		if jobChart.Name(j.state) == "offered" {
			continue
		}
		spec := j.Spec
		s.Entries = append(s.Entries, Entry{Accept: &spec})
		for i := range j.tasks {
			if o := j.tasks[i].outcome; o != "" {
				s.Entries = append(s.Entries, Entry{Task: &TaskEnd{Job: spec.ID, Index: i, Outcome: o}})
			}
		}
		if j.cancelled {
			s.Entries = append(s.Entries, Entry{Cancel: spec.ID})
		}
		if j.state == jobEnded {
			s.Entries = append(s.Entries, Entry{End: &JobEnd{Job: spec.ID, At: j.ended}})
		}
	}
	return s
}

// prune forgets the oldest ended jobs.
func (c *Cell) prune() {
	for len(c.endedOrder) > keepEnded {
		delete(c.jobs, c.endedOrder[0])
		c.endedOrder = c.endedOrder[1:]
	}
}

// InFlight returns the batch whose outcome is not known.
func (c *Cell) InFlight() []Entry { return c.flying }
