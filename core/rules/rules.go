// Package rules holds the rules that operators set: each team's share and limits,
// and one rule for each queue.
package rules

import (
	"fmt"
	"sort"
	"time"

	"chicoryturn/core"
)

// Kind is the kind of work in a queue.
type Kind string

// The kinds of work.
const (
	// Answer is a request whose client waits for the answer.
	Answer Kind = "answer"
	// Batch is a job whose tasks may wait and may start one by one.
	Batch Kind = "batch"
	// Gang is a job whose tasks must start together.
	Gang Kind = "gang"
	// Daemon is a job whose tasks run until cancelled.
	Daemon Kind = "daemon"
)

// Defaults and bounds of a queue's settings.
const (
	DefaultWait    = 2 * time.Second
	DefaultRun     = 30 * time.Second
	DefaultBacklog = 1000
	// LongestRun bounds the run time of a request. After a gate has failed, its
	// requests may hold their slots for this long.
	LongestRun = 5 * time.Minute
)

// Team is the rule for one customer.
type Team struct {
	Name core.Team
	// Share is the team's part of a full fleet in percent; all shares add up to at
	// most 100.
	Share float64
	// Cores is the upper limit on running tasks, in thousandths of a core.
	Cores int64
	// Slots is the upper limit on requests in flight.
	Slots int64
	// RequestedBy names the person who asked for the rule; it must not be empty.
	RequestedBy string
	// Line is where the rules file defines the team.
	Line int
}

// Queue is the rule for one queue.
type Queue struct {
	Name core.Queue
	Kind Kind
	// Public queues accept work without a key; the caller names its team.
	Public bool
	// Teams are the teams that may use the queue; empty means every team.
	Teams []core.Team
	// Service names the targets that answer requests.
	Service core.Service
	// MaxWait is the longest time that a request waits for a slot.
	MaxWait time.Duration
	// RunTimeout is the longest time that a request runs, at most LongestRun.
	RunTimeout time.Duration
	// Retry is set if a failed request may be retried.
	Retry bool
	// Backlog bounds the requests that wait at one gate.
	Backlog int
	// Start is the objective for the time from submission to the start of a task.
	// Zero means none.
	Start time.Duration
	// Due is the objective for the time from submission to the end of a job. Zero
	// means none.
	Due time.Duration
	// Cores is the size of the queue's smallest task, in thousandths of a core. In
	// a queue of jobs, the limit of each team in Teams must be at least as large.
	Cores int64
	// RequestedBy names the person who asked for the rule; it must not be empty.
	RequestedBy string
	// Line is where the rules file defines the queue.
	Line int
}

// Allows reports whether a team may use the queue.
func (q *Queue) Allows(t core.Team) bool {
	if len(q.Teams) == 0 {
		return true
	}
	for _, name := range q.Teams {
		if name == t {
			return true
		}
	}
	return false
}

// Set is the content of one rules file.
type Set struct {
	Teams  map[core.Team]Team
	Queues map[core.Queue]Queue
}

// Check returns every error in the set, ordered by line.
func (s *Set) Check(file string) core.LineErrors {
	var out core.LineErrors
	addError := func(line int, format string, args ...any) {
		out = append(out, &core.LineError{File: file, Line: line, Reason: fmt.Sprintf(format, args...)})
	}
	s.checkTeams(addError)
	for _, q := range s.Queues {
		s.checkQueue(&q, addError)
	}
	if len(s.Teams) == 0 {
		addError(1, "no team is defined")
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Line < out[j].Line })
	return out
}

type addErrorFunc func(line int, format string, args ...any)

func (s *Set) checkTeams(addError addErrorFunc) {
	order := make([]Team, 0, len(s.Teams))
	for _, t := range s.Teams {
		order = append(order, t)
	}
	sort.Slice(order, func(i, j int) bool { return order[i].Line < order[j].Line })
	sum := 0.0
	for _, t := range order {
		if t.RequestedBy == "" {
			addError(t.Line, "team %s has no comment that names who asked for it", t.Name)
		}
		if t.Share < 0 || t.Share > 100 {
			addError(t.Line, "team %s: share %g is outside 0 to 100 percent", t.Name, t.Share)
		}
		if sum += t.Share; sum > 100 && sum-t.Share <= 100 {
			addError(t.Line, "team %s: shares add up to %g percent, more than 100", t.Name, sum)
		}
		if t.Cores < 0 || t.Slots < 0 {
			addError(t.Line, "team %s: a limit is negative", t.Name)
		}
	}
}

func (s *Set) checkQueue(q *Queue, addError addErrorFunc) {
	if q.RequestedBy == "" {
		addError(q.Line, "queue %s has no comment that names who asked for it", q.Name)
	}
	for _, t := range q.Teams {
		team, ok := s.Teams[t]
		if !ok {
			addError(q.Line, "queue %s names unknown team %q", q.Name, t)
			continue
		}
		if q.Kind != Answer && team.Cores < q.Cores {
			addError(q.Line, "queue %s: limit of team %s (%g cores) is below its smallest task (%g cores)",
				q.Name, t, float64(team.Cores)/1000, float64(q.Cores)/1000)
		}
	}
	switch q.Kind {
	case Answer:
		if q.Service == "" {
			addError(q.Line, "queue %s needs a service", q.Name)
		}
		if q.MaxWait <= 0 || q.RunTimeout <= 0 || q.Backlog <= 0 || q.RunTimeout > LongestRun {
			addError(q.Line, "queue %s: wait, run and backlog must be positive and run at most %s", q.Name, LongestRun)
		}
	case Batch, Gang, Daemon:
		if q.Service != "" {
			addError(q.Line, "queue %s: only kind %q has a service", q.Name, Answer)
		}
		if q.Start < 0 || q.Due < 0 || q.Cores < 0 {
			addError(q.Line, "queue %s: start, due and cores must not be negative", q.Name)
		}
	default:
		addError(q.Line, "queue %s: unknown kind %q; use answer, batch, gang or daemon", q.Name, q.Kind)
	}
}
