package fleet

import (
	"maps"
	"math"
	"slices"

	"chicoryturn/core"
	"chicoryturn/core/policy"
)

// This file decides under which policy a job runs whose queue or team the configuration does not
// name: it was accepted, and must end. The configuration in force goes first.

// queue returns the policy of the job's queue, nil if none is known.
func (j *Job) queue() *policy.Queue {
	if q := j.scheduler.policy.Queues[j.Spec.Queue]; q != nil {
		return q
	}
	return j.lastQueue
}

// isRouted reports whether the configuration lets tasks of the job start: it names the queue, or
// at least the service to which the queue was sent.
func (j *Job) isRouted() bool {
	q := j.queue()
	return q != nil && j.scheduler.policy.NamesService(q.Service)
}

// teamLimit returns the limit of the job's team.
func (j *Job) teamLimit() core.Resources {
	if t := j.scheduler.policy.Teams[j.Spec.Team]; t != nil {
		return t.Limit
	}
	return j.lastLimit
}

// maxAttempts returns how many failed runs of a task fail the job. While no policy of the
// queue is known none do.
func (j *Job) maxAttempts() int {
	if q := j.queue(); q != nil {
		return max(q.Attempts, 1)
	}
	return math.MaxInt
}

// failIfSpent fails the job if a task has failed as often as it may.
func (j *Job) failIfSpent() {
	if j.ended() {
		return
	}
	for position := range j.progress.FailedRuns {
		if j.progress.CountFailedRuns(position) >= j.maxAttempts() {
			j.fail()
			return
		}
	}
}

// setPolicy applies a new version of the configuration to the job; old is the one before.
func (j *Job) setPolicy(old *policy.Policy) {
	if q := old.Queues[j.Spec.Queue]; q != nil {
		j.lastQueue = q
	}
	if t := old.Teams[j.Spec.Team]; t != nil {
		j.lastLimit = t.Limit
	}
	j.setDeadlines()
	j.failIfSpent()
}

// logUnnamed logs which queues with jobs that have not ended a new version of the configuration
// does not name any more, or names again; old is the version before.
func (s *Scheduler) logUnnamed(old *policy.Policy) {
	counts := map[core.Queue]int{}
	for _, j := range s.jobs {
		if q := j.Spec.Queue; !j.ended() && (s.policy.Queues[q] == nil) != (old.Queues[q] == nil) {
			counts[q]++
		}
	}
	for _, q := range slices.Sorted(maps.Keys(counts)) {
		event := EventUnnamed
		if s.policy.Queues[q] != nil {
			event = EventNamed
		}
		s.logDecision(Decision{Event: event, Reason: string(q), Count: counts[q]})
	}
}
