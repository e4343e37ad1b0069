package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryturn/core"
	"chicoryturn/core/chart"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
)

// A job that ends later than usefulFactor times the time allowed to it is worth
// nothing to its client.
const usefulFactor = 3

// Job is the scheduler's state of one job.
type Job struct {
	Spec      jobs.Spec
	scheduler *Scheduler
	state     chart.State
	// hash is a hash of the job's ID.
	hash uint64
	// occurrences holds the occurrences that have been built and are still needed: they
	// may start, or a worker has named one of their tasks, and they are not complete or
	// have tasks that hold room. The rest of the job is Spec and progress alone.
	occurrences map[int]*occurrence
	// next is the first occurrence that has not become due yet, at nextDue.
	next    int
	nextDue time.Time
	// occurrencesLeft counts the occurrences that are not complete, tasksPlaced the
	// tasks that hold room on a worker.
	occurrencesLeft, tasksPlaced int
	tasksPerOccurrence           int
	progress                     jobs.Progress
	// dirtyPages holds the pages of failed runs in progress that must be stored.
	dirtyPages core.Set[int]
	// dirtySince is the number of the oldest change that is not in a batch.
	dirtySince uint64
	// seq numbers the jobs in the order in which this scheduler has added them.
	seq        uint64
	acceptedAt time.Time
	// A job that ends after deadline is late; one that ends after usefulUntil
	// is worth nothing to its client. Both change with the policy.
	deadline, usefulUntil time.Time
	// lastQueue and lastLimit are the policy of the queue and the limit of the team that hold
	// while the configuration does not name them: those of the last version that did, as far as this
	// scheduler knows, else those of the job's terms. LastQueue is nil if neither is known.
	lastQueue *policy.Queue
	lastLimit core.Resources
	// waitLoggedAt is when it was last logged that an occurrence waits for memory.
	waitLoggedAt time.Time
	// exceedsShare is set if the team submitted the job in excess of its share
	// of a full fleet.
	exceedsShare bool
}

// add adds a job without building any of its occurrences.
func (s *Scheduler) add(spec jobs.Spec) *Job {
	s.lastJobSeq++
	j := &Job{
		Spec: spec, scheduler: s, state: jobChart.Start(), seq: s.lastJobSeq, acceptedAt: spec.Accepted, progress: jobs.Progress{Job: spec.ID}, dirtyPages: core.Set[int]{},
		hash: xxhash.Sum64String(string(spec.ID)), tasksPerOccurrence: spec.TasksPerOccurrence(), occurrences: map[int]*occurrence{}, occurrencesLeft: spec.Occurrences(),
	}
	if j.acceptedAt.IsZero() || j.acceptedAt.After(s.now) {
		j.acceptedAt = s.now
	}
	if t := spec.Terms; t != nil {
		j.lastQueue, j.lastLimit = t.QueueOf(spec.Queue), t.Limit
	}
	j.exceedsShare = s.exceedsShare(spec.Team, j.acceptedAt)
	j.setDeadlines()
	s.jobs[spec.ID] = j
	s.accepted.Charge(spec.Team, spec.Bytes())
	s.needsPlacement = true
	return j
}

// shrink frees what only a job that has not ended needs, once its end is stored.
func (j *Job) shrink() {
	j.scheduler.accepted.Credit(j.Spec.Team, j.Spec.Bytes())
	j.Spec.Payload = ""
	j.progress = jobs.Progress{Job: j.Spec.ID, State: j.progress.State}
}

func (j *Job) fire(ev chart.Event) { j.scheduler.recordRefused(jobChart.Fire(&j.state, ev, j)) }

// ended reports whether the job's end has been decided.
func (j *Job) ended() bool { return j.state == jobClosing || j.state == jobClosed }

// clientState returns the state that clients see. A final state is visible only
// once it is in the store.
func (j *Job) clientState() jobs.State {
	switch j.state {
	case jobQueued:
		return jobs.Queued
	case jobClosed:
		return j.progress.State
	default:
		return jobs.Running
	}
}

// restore applies stored progress to a new job.
func (j *Job) restore(recorded *jobs.Progress) {
	if recorded.Job == "" {
		return
	}
	j.progress = recorded.Clone()
	j.dirtyPages.Add(recorded.Pages...)
	j.progress.Pages = nil
	if recorded.State.Final() {
		j.dirtyPages.Add(recorded.FailedPages()...)
		j.fire(jobRestore)
	}
	if len(j.dirtyPages) > 0 {
		j.markDirty()
	}
	if recorded.State.Final() {
		return
	}
	for k := range j.Spec.Occurrences() {
		if j.isOccurrenceDone(k) {
			j.occurrencesLeft--
		}
	}
}

// completeIfDone completes the job once all its occurrences are complete.
func (j *Job) completeIfDone() {
	if j.occurrencesLeft == 0 && !j.ended() {
		j.end(jobs.Completed)
		j.scheduler.removeDue(j)
		j.fire(jobComplete)
	}
}

// cancel ends the job because its cancellation is stored.
func (j *Job) cancel() {
	if !j.ended() {
		j.end(jobs.Cancelled)
		j.fire(jobCancel)
	}
}

// fail ends the job because a task has failed too often.
func (j *Job) fail() {
	if !j.ended() {
		j.end(jobs.Failed)
		j.fire(jobFail)
	}
}

// dropTasks drops all tasks of a job that has ended.
func (j *Job) dropTasks() {
	j.scheduler.removeDue(j)
	for _, o := range j.sortedOccurrences() {
		for _, p := range o.phases {
			p.drop()
		}
		o.discardIfUnneeded()
	}
}

// EndEvent returns the event of the decision that logs the end of a job in a state.
func EndEvent(state jobs.State) string { return "job " + string(state) }

// logEnd logs the job's final state and by how much it missed its deadline.
func (j *Job) logEnd() {
	d := Decision{Job: j.Spec.ID, Event: EndEvent(j.progress.State), Wait: j.scheduler.now.Sub(j.acceptedAt)}
	if overdue := j.scheduler.now.Sub(j.deadline); overdue > 0 {
		d.Reason = "late by " + overdue.Round(time.Millisecond).String()
	}
	j.scheduler.logDecision(d)
}

// setDeadlines computes deadline and usefulUntil from the policy of the job's
// queue.
func (j *Job) setDeadlines() {
	j.deadline, j.usefulUntil = j.acceptedAt, j.acceptedAt
	q := j.queue()
	if q == nil {
		return
	}
	allowed := allowedTime(&j.Spec, q)
	j.deadline, j.usefulUntil = j.acceptedAt.Add(allowed), j.acceptedAt.Add(usefulFactor*allowed)
}
