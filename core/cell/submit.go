package cell

import (
	"time"

	"chicoryturn/core"
	"chicoryturn/core/rules"
)

// Submit adds a job. The job is accepted once BatchStored has returned its ID. A
// repeated submission of the same ID returns false and no error.
func (c *Cell) Submit(now time.Time, spec JobSpec) (bool, error) {
	c.now = now
	if c.jobs[spec.ID] != nil {
		return false, nil
	}
	if err := c.checkSize(&spec); err != nil {
		return false, err
	}
	j := c.addJob(spec)
	c.appendEntry(Entry{Accept: &j.Spec})
	return true, nil
}

// IsRecording reports whether a job's acceptance is still being stored.
func (c *Cell) IsRecording(id core.JobID) bool {
	j := c.jobs[id]
	return j != nil && jobChart.Name(j.state) == "offered"
}

// addJob adds a job in its initial state.
func (c *Cell) addJob(spec JobSpec) *Job {
	c.lastJobSeq++
	j := &Job{Spec: spec, cell: c, state: jobChart.Start(), seq: c.lastJobSeq, openTasks: len(spec.Tasks)}
	j.tasks = make([]Task, len(spec.Tasks))
	for i := range j.tasks {
		j.tasks[i] = Task{job: j, index: i, state: taskChart.Start()}
	}
	c.jobs[spec.ID] = j
	c.openJobs++
	return j
}

// checkSize refuses a job that could never run in this cell.
func (c *Cell) checkSize(spec *JobSpec) error {
	if len(spec.Tasks) == 0 || len(spec.Tasks) > MaxTasks {
		return core.Refuse(core.CodeBadInput, "a job has 1 to %d tasks, not %d", MaxTasks, len(spec.Tasks))
	}
	sum := core.Resources{}
	for i, t := range spec.Tasks {
		if t.Need.Cores <= 0 || t.Need.Memory < 0 || t.Need.Accel < 0 || t.Estimate < 0 {
			return core.Refuse(core.CodeBadInput, "task %d needs a positive number of cores and no negative amount", i)
		}
		if !c.fitsAnyWorker(t.Need) {
			return core.Refuse(core.CodeTooLarge, "task %d is larger than any worker of cell %s", i, c.id)
		}
		sum = sum.Add(t.Need)
	}
	if spec.Kind == rules.Gang && !sum.FitsIn(c.totalCapacity()) {
		return core.Refuse(core.CodeTooLarge, "the job's tasks together are larger than cell %s", c.id)
	}
	return nil
}

// fitsAnyWorker reports whether a worker of the cell has the capacity for a task.
func (c *Cell) fitsAnyWorker(need core.Resources) bool {
	for _, w := range c.workersByID {
		if need.FitsIn(w.vm.Capacity) {
			return true
		}
	}
	return false
}

// totalCapacity returns the sum of the listed capacity of all workers.
func (c *Cell) totalCapacity() core.Resources {
	sum := core.Resources{}
	for _, w := range c.workersByID {
		sum = sum.Add(w.vm.Capacity)
	}
	return sum
}
