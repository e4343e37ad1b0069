package fleet

import (
	"time"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
)

// This file bounds the memory that jobs take. Four budgets, each a part of the process's
// memory limit, are divided among the teams: for the jobs that have been accepted, which the
// VMs that accept jobs respect; for the occurrences and the tasks with a state of their own,
// which wait here until there is room; and for the advisor's answers, which can be asked for
// again. The garbage collector lets the heap grow to one and a half times of what is in use,
// and a tenth of the limit stays free.

const (
	// The budgets are the memory limit over these divisors: for the jobs that have not
	// ended, for occurrences in memory, for tasks with a state of their own, for the
	// advisor's answers, and for ended jobs.
	acceptedDivisor = 7
	builtDivisor    = 14
	placedDivisor   = 14
	adviceDivisor   = 20
	closedDivisor   = 20
	// adviceInterval is the shortest time between two passes that free a team's answers of
	// the advisor.
	adviceInterval = time.Second
	// closedBytes is what an ended job takes.
	closedBytes = 1500
	// phaseBytes and taskBytes are what a built phase and a task with a state of its own
	// take, adviceBytes what the advisor's answer on one worker takes.
	phaseBytes  = 700
	taskBytes   = 700
	adviceBytes = 160
)

// resizeBudgets divides the memory limit among the teams of the policy and those that it no
// longer names.
func (s *Scheduler) resizeBudgets() {
	limit, teams := s.limits.Memory, len(s.policy.Teams)+1
	s.accepted.Resize(AcceptedLimit(limit), teams)
	s.built.Resize(limit/builtDivisor, teams)
	s.placed.Resize(limit/placedDivisor, teams)
	s.advised.Resize(limit/adviceDivisor, teams)
	s.starts.Resize(maxStartsInFlight, teams)
}

// NewAcceptedBudget returns a budget of what the jobs that have not ended may take under a
// memory limit, for a load of the stored jobs.
func NewAcceptedBudget(memory int64, p *policy.Policy) *budget.Budget {
	teams := 1
	if p != nil {
		teams += len(p.Teams)
	}
	return budget.New(AcceptedLimit(memory), teams)
}

// AcceptedLimit returns what the jobs that have not ended may take under a memory limit, 0
// if there is none.
func AcceptedLimit(memory int64) int64 { return memory / acceptedDivisor }

// maxClosed bounds the ended jobs in memory.
func (s *Scheduler) maxClosed() int {
	if s.limits.Memory == 0 {
		return maxClosedJobs
	}
	return min(maxClosedJobs, int(s.limits.Memory/closedDivisor/closedBytes))
}

// boundAdvice frees the advisor's answers for the phases of a team whose tickets have expired,
// if all of them take too much. What is left is bounded by the answers in one lifetime of a
// ticket.
func (s *Scheduler) boundAdvice(team core.Team) {
	if s.advised.Admits(team, 0) || s.now.Sub(s.adviceFreedAt[team]) < adviceInterval {
		return
	}
	s.adviceFreedAt[team] = s.now
	for _, o := range s.open.phases {
		p := o.phase
		if p.job.Spec.Team == team && p.advice.ticketsUntil.Before(s.now) {
			p.clearAdvice()
		}
	}
}

// Held returns what the jobs that have not ended take, for the VMs that accept jobs. What a
// team's parked jobs would take counts for that team alone.
func (s *Scheduler) Held(now time.Time) *budget.Summary {
	out := s.accepted.Summary(now)
	for team, bytes := range s.parkedBytes {
		if out != nil && bytes > 0 {
			out.Add(team, bytes)
		}
	}
	return out
}

// occurrenceBytes returns what an occurrence takes without its tasks.
func occurrenceBytes(spec *jobs.Spec) int64 { return phaseBytes * int64(len(spec.Phases)) }

// MemoryUse is what the jobs of the fleet take of the owner's memory, in bytes.
type MemoryUse struct {
	// Accepted is the use by the jobs that have not ended, Built that by occurrences in
	// memory, Placed that by tasks with a state of their own, and Advised that by the
	// advisor's answers; the limits are 0 if there are none.
	Accepted, AcceptedLimit, Built, BuiltLimit, Placed, PlacedLimit, Advised, AdvisedLimit int64
	// Waiting counts the teams of which an occurrence that is due waits for memory,
	// Parked the stored jobs that are not in memory.
	Waiting, Parked int
}

// MemoryUse returns what the jobs take.
func (s *Scheduler) MemoryUse() MemoryUse {
	return MemoryUse{s.accepted.Total(), s.accepted.Limit(), s.built.Total(), s.built.Limit(), s.placed.Total(), s.placed.Limit(), s.advised.Total(), s.advised.Limit(), s.teamsWaiting, len(s.parked)}
}
