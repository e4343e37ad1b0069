package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
)

// phase is the state of one phase of one occurrence of a job.
type phase struct {
	id   jobs.PhaseID
	job  *Job
	spec *jobs.Phase
	// occurrence is the occurrence that the phase belongs to.
	occurrence *occurrence
	// firstPosition is the position of the first task in the job's progress.
	firstPosition int
	// tasks holds, by index, the tasks with a state of their own: those that have been
	// placed or that a worker has named, until they are done. All other tasks that are not
	// done are alike: they wait or, while held is above 0, are held.
	tasks map[int]*Task
	// held counts the tasks without a state of their own that an earlier owner may have
	// started; it is 0 or the number of all such tasks.
	held int
	// tasksLeft counts the tasks that have not succeeded, tasksPlaced those
	// that hold room on a worker, tasksWaiting those that wait for placement.
	tasksLeft, tasksPlaced, tasksWaiting int
	// isOpen is set once the earlier phases are complete and the occurrence is
	// due.
	isOpen   bool
	openedAt time.Time
	// listed is the position in the list of open phases, counted from 1; 0 if the phase is not
	// in it.
	listed int
	// ownGroup is the phase's group if groupGeneration is that of the groups.
	ownGroup        *group
	groupGeneration uint64
	// isTicketed is set while the phase is in the list of those with tickets.
	isTicketed bool
	// timeToEnd is the expected time from the phase's start to the job's end,
	// computed at timeToEndAt.
	timeToEnd   time.Duration
	timeToEndAt time.Time
	// waitLoggedAt is when the reason for waiting was last logged.
	waitLoggedAt time.Time
	// gangDone is set once one member of a gang has succeeded, and with it the
	// gang.
	gangDone bool
	// gangRun is the number of a gang's newest run.
	gangRun uint64
	advice  advice
	// gangCheckpoint is the checkpoint that all tasks of a gang start from.
	gangCheckpoint string
}

func (p *phase) open() {
	p.isOpen, p.openedAt = true, p.job.scheduler.now
	p.job.scheduler.open.add(p)
	p.job.scheduler.needsPlacement = true
}

// complete handles the end of the last task of the phase.
func (p *phase) complete() {
	p.job.scheduler.open.remove(p)
	// The advice is the largest part of a phase's memory.
	p.clearAdvice()
	p.occurrence.phaseCompleted()
}

// drop drops the phase's tasks because the job has ended.
func (p *phase) drop() {
	p.clearHeld()
	for _, t := range p.sortedTasks() {
		t.fire(taskDrop)
	}
	p.job.scheduler.open.remove(p)
	p.clearAdvice()
}

// isDone reports whether the task with an index has succeeded.
func (p *phase) isDone(index int) bool { return p.job.progress.IsDone(p.firstPosition + index) }

// task returns the task with an index. A task that is done or dropped is returned as a
// new value, which the phase does not keep.
func (p *phase) task(index int) *Task {
	if t := p.tasks[index]; t != nil {
		return t
	}
	t := &Task{phase: p, index: index, state: taskChart.Start()}
	switch {
	case p.isDone(index):
		t.state = taskDone
		return t
	case p.job.ended():
		t.state = taskDropped
		return t
	}
	p.tasks[index] = t
	p.job.scheduler.placed.Charge(p.job.Spec.Team, taskBytes)
	if p.held > 0 {
		p.addHeld(-1)
		t.fire(taskRecover)
	}
	return t
}

// removeTask removes a task that is done or dropped and so needs no state of its own.
func (p *phase) removeTask(t *Task) {
	if p.tasks[t.index] == t {
		delete(p.tasks, t.index)
		p.job.scheduler.placed.Credit(p.job.Spec.Team, taskBytes)
	}
}

// clearAdvice frees the advisor's answers.
func (p *phase) clearAdvice() {
	p.job.scheduler.advised.Credit(p.job.Spec.Team, adviceBytes*int64(len(p.advice.named)))
	p.advice.named, p.advice.allowed = nil, nil
	p.advice.received, p.advice.ticketsUntil = false, time.Time{}
}

// sortedTasks returns the tasks with a state of their own in order of their index.
func (p *phase) sortedTasks() []*Task {
	out := slices.Collect(maps.Values(p.tasks))
	slices.SortFunc(out, func(x, y *Task) int { return cmp.Compare(x.index, y.index) })
	return out
}

// hold marks all tasks of a new phase that are not done as possibly running on a worker
// that has not reported.
func (p *phase) hold() { p.addHeld(p.tasksWaiting) }

// clearHeld ends what hold has begun for the tasks that no worker has named.
func (p *phase) clearHeld() { p.addHeld(-p.held) }

// addHeld changes the number of held tasks without a state of their own by n.
func (p *phase) addHeld(n int) {
	if n == 0 {
		return
	}
	s, team := p.job.scheduler, p.job.Spec.Team
	p.held += n
	p.tasksWaiting -= n
	s.unresolvedNeed[team] = s.unresolvedNeed[team].Add(p.need().Times(int64(n)))
	if p.held > 0 {
		s.heldPhases[p] = struct{}{}
	} else {
		delete(s.heldPhases, p)
	}
	s.needsPlacement = true
}

// need returns what one task takes of a worker's room.
func (p *phase) need() core.Resources {
	n := p.spec.Need
	if p.spec.Filler {
		// Filler tasks take only processor time that others leave unused.
		n.Cores = 0
	}
	return n
}

// nextRun returns the number of the run after last of a task or gang.
func (p *phase) nextRun(last uint64) uint64 {
	return max(last+1, uint64(max(p.job.scheduler.epoch, 1)-1)<<runNumberBits+1)
}

// stopGang stops the remaining members of a gang's run after one has ended. The
// gang starts again once no member holds room.
func (p *phase) stopGang() {
	for _, t := range p.sortedTasks() {
		t.fire(taskStop)
	}
}
