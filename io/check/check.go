// Package check replays the records of workers and targets after a test run and
// reports every violation of an invariant.
package check

import (
	"fmt"
	"sort"
	"time"

	"chicoryturn/core"
	"chicoryturn/io/fakes"
)

// Violation is a violation of an invariant at one time.
type Violation struct {
	Invariant string
	Detail    string
	At        time.Time
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s at %s", v.Invariant, v.Detail, v.At.Format("15:04:05.000000"))
}

// The violated invariants.
const (
	// Room is the use of more than the capacity of a worker.
	Room = "room"
	// DuplicateRun is a task that runs on two workers at once.
	DuplicateRun = "running twice"
	// Limit is the use of more cores or requests than a team's limit.
	Limit = "limit"
	// LostTask is a submitted task that never ran to its end.
	LostTask = "lost task"
	// Slots is a target with more requests in flight than slots.
	Slots = "slots"
	// RepeatedRequest is a request that reached targets twice but must not be retried.
	RepeatedRequest = "request run twice"
)

// Log holds the task events of all workers of a test run in order of time.
type Log struct {
	events   []fakes.TaskRecord
	capacity map[string]core.Resources
}

// NewLog merges the records of workers.
func NewLog(workers []fakes.WorkerRecord) *Log {
	l := &Log{capacity: map[string]core.Resources{}}
	for _, w := range workers {
		for _, r := range w.Records {
			l.capacity[r.Worker] = w.Room.Core()
			l.events = append(l.events, r)
		}
	}
	// Of two events at the same time, the end comes before the start.
	sort.SliceStable(l.events, func(i, j int) bool {
		a, b := l.events[i], l.events[j]
		if !a.At.Equal(b.At) {
			return a.At.Before(b.At)
		}
		return a.Event != "start" && b.Event == "start"
	})
	return l
}

// Events returns the task events in order of time.
func (l *Log) Events() []fakes.TaskRecord { return l.events }

// Violations replays the events and returns the violations of Room, DuplicateRun and
// Limit. limits holds the teams' limits in thousandths of a core.
func (l *Log) Violations(limits map[core.Team]int64) []Violation {
	var out []Violation
	used := map[string]core.Resources{}
	runningOn := map[string]string{}
	teamCores := map[string]int64{}
	for _, e := range l.events {
		need := e.Need.Core()
		if e.Event != "start" {
			if runningOn[e.Task] == e.Worker {
				delete(runningOn, e.Task)
			}
			used[e.Worker] = used[e.Worker].Sub(need)
			teamCores[e.Team] -= need.Cores
			continue
		}
		if other, ok := runningOn[e.Task]; ok {
			out = append(out, Violation{DuplicateRun, fmt.Sprintf("task %s on %s and %s", e.Task, other, e.Worker), e.At})
		}
		runningOn[e.Task] = e.Worker
		used[e.Worker] = used[e.Worker].Add(need)
		if !used[e.Worker].FitsIn(l.capacity[e.Worker]) {
			out = append(out, Violation{Room, fmt.Sprintf("%s uses %+v of %+v", e.Worker, used[e.Worker], l.capacity[e.Worker]), e.At})
		}
		teamCores[e.Team] += need.Cores
		if limit, ok := limits[core.Team(e.Team)]; ok && teamCores[e.Team] > limit {
			out = append(out, Violation{Limit, fmt.Sprintf("team %s uses %d thousandths of a core, limit %d", e.Team, teamCores[e.Team], limit), e.At})
		}
	}
	return out
}

// Done returns the tasks that completed.
func (l *Log) Done() core.Set[string] {
	out := core.NewSet[string]()
	for _, e := range l.events {
		if e.Event == "done" {
			out.Add(e.Task)
		}
	}
	return out
}

// Starts returns the time at which each task first started.
func (l *Log) Starts() map[string]time.Time {
	out := map[string]time.Time{}
	for _, e := range l.events {
		if _, seen := out[e.Task]; e.Event == "start" && !seen {
			out[e.Task] = e.At
		}
	}
	return out
}

// Usage returns the resources that each team used between two times, multiplied by the
// seconds of use. Cores and accelerators are in thousandths.
func (l *Log) Usage(from, to time.Time) map[core.Team]core.Resources {
	out := map[core.Team]core.Resources{}
	started := map[string]fakes.TaskRecord{}
	add := func(e fakes.TaskRecord, end time.Time) {
		useStart, useEnd := e.At, end
		if useStart.Before(from) {
			useStart = from
		}
		if useEnd.After(to) {
			useEnd = to
		}
		if s := useEnd.Sub(useStart).Seconds(); s > 0 {
			n := e.Need.Core()
			out[core.Team(e.Team)] = out[core.Team(e.Team)].Add(core.Resources{
				Cores: int64(float64(n.Cores) * s), Memory: int64(float64(n.Memory) * s), Accel: int64(float64(n.Accel) * s * 1000),
			})
		}
	}
	for _, e := range l.events {
		key := e.Worker + "|" + e.Task
		if e.Event == "start" {
			started[key] = e
		} else if start, ok := started[key]; ok {
			add(start, e.At)
			delete(started, key)
		}
	}
	for _, start := range started {
		add(start, to)
	}
	return out
}

// RequestViolations returns a violation for every request that started while its
// team already had as many requests in flight as its limit allows.
func RequestViolations(targets []fakes.TargetRecord, limits map[core.Team]int64) []Violation {
	// change is the start or end of one request.
	type change struct {
		at    time.Time
		team  string
		delta int64
	}
	var changes []change
	for _, t := range targets {
		for _, h := range t.Hits {
			changes = append(changes, change{h.Began, h.Team, 1})
			if !h.Ended.IsZero() {
				changes = append(changes, change{h.Ended, h.Team, -1})
			}
		}
	}
	// Of two changes at the same time, the end comes before the start.
	sort.SliceStable(changes, func(i, j int) bool {
		if !changes[i].at.Equal(changes[j].at) {
			return changes[i].at.Before(changes[j].at)
		}
		return changes[i].delta < changes[j].delta
	})
	var out []Violation
	inFlight := map[string]int64{}
	for _, c := range changes {
		inFlight[c.team] += c.delta
		if limit, ok := limits[core.Team(c.team)]; ok && c.delta > 0 && inFlight[c.team] > limit {
			out = append(out, Violation{Limit, fmt.Sprintf("team %s has %d requests in flight, limit %d", c.team, inFlight[c.team], limit), c.at})
		}
	}
	return out
}

// TargetViolations returns the violations of Slots and RepeatedRequest. notRetried
// holds the IDs of the requests that must not be retried.
func TargetViolations(targets []fakes.TargetRecord, notRetried core.Set[string]) []Violation {
	var out []Violation
	seen := map[string]fakes.Hit{}
	for _, t := range targets {
		if t.Overfull > 0 {
			out = append(out, Violation{Slots, fmt.Sprintf("%d requests in flight on %d slots", t.MaxInFlight, t.Slots), time.Time{}})
		}
		for _, h := range t.Hits {
			if first, ok := seen[h.ID]; ok && notRetried.Has(h.ID) {
				out = append(out, Violation{RepeatedRequest, fmt.Sprintf("request %s on %s and %s", h.ID, first.Target, h.Target), h.Began})
			}
			seen[h.ID] = h
		}
	}
	return out
}
