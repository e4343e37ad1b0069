package cell

import (
	"time"

	"chicoryturn/core"
)

// TaskEnd records the outcome of a task.
type TaskEnd struct {
	Job     core.JobID
	Index   int
	Outcome Outcome
}

// JobEnd records that all tasks of a job have ended.
type JobEnd struct {
	Job core.JobID
	At  time.Time
}

// Entry is one entry of a cell's journal. Exactly one field is set.
type Entry struct {
	// Accept is a job that has been accepted.
	Accept *JobSpec `json:",omitempty"`
	Task   *TaskEnd `json:",omitempty"`
	End    *JobEnd  `json:",omitempty"`
	// Cancel names a job whose cancellation has been accepted.
	Cancel core.JobID `json:",omitempty"`
	// Worker names a worker on which tasks may be placed.
	Worker core.WorkerID `json:",omitempty"`
	// Gone names a worker that has been removed and can no longer run tasks.
	Gone core.WorkerID `json:",omitempty"`
}

// Snapshot is the complete recorded state of a cell.
type Snapshot struct {
	Entries []Entry
}

// appendEntry adds an entry to the next batch, except while the journal is
// being loaded.
func (c *Cell) appendEntry(e Entry) {
	if !c.loading {
		c.pendingEntries = append(c.pendingEntries, e)
	}
}

// Batch returns the entries to write next. It returns none while an earlier
// batch is in flight, because the entries of a cell are written in order.
func (c *Cell) Batch() []Entry {
	if c.inFlight != nil || len(c.pendingEntries) == 0 {
		return nil
	}
	n := min(len(c.pendingEntries), maxBatchEntries)
	c.inFlight = c.pendingEntries[:n:n]
	c.pendingEntries = c.pendingEntries[n:]
	return c.inFlight
}

// Pending returns the number of entries that are not yet in the store.
func (c *Cell) Pending() int { return len(c.pendingEntries) + len(c.inFlight) }

// BatchStored applies a batch that is now in the store and returns the jobs
// that it accepts.
func (c *Cell) BatchStored(now time.Time) []core.JobID {
	c.now = now
	batch := c.inFlight
	c.inFlight = nil
	var accepted []core.JobID
	for _, e := range batch {
		switch {
		case e.Accept != nil:
			accepted = append(accepted, e.Accept.ID)
			c.jobs[e.Accept.ID].fire(jobEventRecord)
		case e.Task != nil:
			c.jobs[e.Task.Job].tasks[e.Task.Index].acknowledgeEnd()
		case e.Worker != "":
			c.recordedWorkers.Add(e.Worker)
		case e.Gone != "":
			c.removeRecordedWorker(e.Gone)
		case e.End != nil:
			c.jobs[e.End.Job].fire(jobEventRecord)
		}
	}
	c.dropOldJobs()
	return accepted
}

// LoadJournal rebuilds the recorded state of a cell. It holds every open task, which
// may still be running until all workers have reported or their leases have expired.
func (c *Cell) LoadJournal(now time.Time, entries []Entry) {
	c.now, c.loading = now, true
	for i := range entries {
		c.replayEntry(&entries[i])
	}
	// A recorded worker may run tasks of an earlier owner until it has reported,
	// even if it is no longer in the list of VMs.
	for _, id := range c.recordedWorkerIDs() {
		c.addWorker(id)
	}
	for _, j := range c.sortedJobs() {
		if j.state == jobStateEnded {
			continue
		}
		for i := range j.tasks {
			if t := &j.tasks[i]; t.outcome == "" {
				t.fire(taskEventRecover)
				c.addHeld(t)
			}
		}
		j.fire(jobEventRecord)
	}
	c.loading = false
	for _, j := range c.sortedJobs() {
		switch {
		case j.state == jobStateEnded:
		case j.cancelled:
			j.fire(jobEventCancel)
		case j.openTasks == 0:
			j.fire(jobEventEnd)
		}
	}
	c.requeueHeld()
}

func (c *Cell) replayEntry(e *Entry) {
	switch {
	case e.Accept != nil:
		if c.jobs[e.Accept.ID] == nil {
			c.addJob(*e.Accept)
		}
	case e.Task != nil:
		if j := c.jobs[e.Task.Job]; j != nil && e.Task.Index < len(j.tasks) && j.tasks[e.Task.Index].outcome == "" {
			t := &j.tasks[e.Task.Index]
			t.outcome, t.outcomeStored = e.Task.Outcome, true
			t.fire(taskEventRestore)
			j.openTasks--
		}
	case e.End != nil:
		if j := c.jobs[e.End.Job]; j != nil && j.state != jobStateEnded {
			j.endedAt = e.End.At
			j.fire(jobEventRestore)
		}
	case e.Cancel != "":
		if j := c.jobs[e.Cancel]; j != nil {
			j.cancelled = true
		}
	case e.Worker != "":
		c.recordedWorkers.Add(e.Worker)
	case e.Gone != "":
		delete(c.recordedWorkers, e.Gone)
	}
}

// removeRecordedWorker removes a worker whose removal is in the store. If the
// worker has been listed again meanwhile, it is recorded again.
func (c *Cell) removeRecordedWorker(id core.WorkerID) {
	delete(c.recordedWorkers, id)
	if w := c.workers[id]; w != nil {
		c.appendEntry(Entry{Worker: id})
	}
}

// Snapshot returns the recorded state as journal entries. It must be called
// while no batch is in flight.
func (c *Cell) Snapshot() Snapshot {
	var s Snapshot
	for _, id := range c.recordedWorkerIDs() {
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
		if j.state == jobStateEnded {
			s.Entries = append(s.Entries, Entry{End: &JobEnd{Job: spec.ID, At: j.endedAt}})
		}
	}
	return s
}

// dropOldJobs removes the oldest ended jobs beyond maxEndedJobs.
func (c *Cell) dropOldJobs() {
	for len(c.endedJobs) > maxEndedJobs {
		delete(c.jobs, c.endedJobs[0])
		c.endedJobs = c.endedJobs[1:]
	}
}

// InFlight returns the batch that is being written or whose result is unknown.
func (c *Cell) InFlight() []Entry { return c.inFlight }
