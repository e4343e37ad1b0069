// Package check reads what workers and targets have recorded and finds every
// instant at which an invariant did not hold.
package check

import (
	"fmt"
	"sort"
	"time"

	"chicoryturn/core"
	"chicoryturn/io/fakes"
)

// Violation is one broken invariant.
type Violation struct {
	Invariant string
	What      string
	At        time.Time
}

// String returns the fault as one line.
func (f Violation) String() string {
	return fmt.Sprintf("%s: %s at %s", f.Invariant, f.What, f.At.Format("15:04:05.000000"))
}

// The names of the invariants.
const (
	Room   = "room"
	Twice  = "running twice"
	Limit  = "limit"
	Lost   = "lost task"
	Slots  = "slots"
	Repeat = "request run twice"
)

// Log is all task events of a run in order of time.
type Log struct {
	events   []fakes.TaskRecord
	capacity map[string]core.Resources
}

// NewLog merges the records of all workers.
func NewLog(workers []fakes.WorkerRecord) *Log {
	l := &Log{capacity: map[string]core.Resources{}}
	for _, w := range workers {
		for _, r := range w.Records {
			l.capacity[r.Worker] = w.Room.Core()
			l.events = append(l.events, r)
		}
	}
	// Of two events at one instant, the end counts first.
	sort.SliceStable(l.events, func(i, j int) bool {
		a, b := l.events[i], l.events[j]
		if !a.At.Equal(b.At) {
			return a.At.Before(b.At)
		}
		return a.Event != "start" && b.Event == "start"
	})
	return l
}

// Events returns the events in order of time.
func (l *Log) Events() []fakes.TaskRecord { return l.events }

// Violations replays the run. Limits are in thousandths of a core.
func (l *Log) Violations(limits map[core.Team]int64) []Violation {
	var out []Violation
	used := map[string]core.Resources{}
	where := map[string]string{}
	team := map[string]int64{}
	for _, e := range l.events {
		need := e.Need.Core()
		if e.Event != "start" {
			if where[e.Task] == e.Worker {
				delete(where, e.Task)
			}
			used[e.Worker] = used[e.Worker].Sub(need)
			team[e.Team] -= need.Cores
			continue
		}
		if other, ok := where[e.Task]; ok {
			out = append(out, Violation{Twice, fmt.Sprintf("task %s on %s and %s", e.Task, other, e.Worker), e.At})
		}
		where[e.Task] = e.Worker
		used[e.Worker] = used[e.Worker].Add(need)
		if !used[e.Worker].Fits(l.capacity[e.Worker]) {
			out = append(out, Violation{Room, fmt.Sprintf("%s holds %+v of %+v", e.Worker, used[e.Worker], l.capacity[e.Worker]), e.At})
		}
		team[e.Team] += need.Cores
		if most, ok := limits[core.Team(e.Team)]; ok && team[e.Team] > most {
			out = append(out, Violation{Limit, fmt.Sprintf("team %s runs %d of %d", e.Team, team[e.Team], most), e.At})
		}
	}
	return out
}

// Done returns the tasks that have ended well.
func (l *Log) Done() core.Set[string] {
	out := core.NewSet[string]()
	for _, e := range l.events {
		if e.Event == "done" {
			out.Add(e.Task)
		}
	}
	return out
}

// Starts returns when each task first started.
func (l *Log) Starts() map[string]time.Time {
	out := map[string]time.Time{}
	for _, e := range l.events {
		if _, seen := out[e.Task]; e.Event == "start" && !seen {
			out[e.Task] = e.At
		}
	}
	return out
}

// Use returns the resource time of each team between two instants, cores in
// thousandths of a core and seconds.
func (l *Log) Use(from, to time.Time) map[core.Team]core.Resources {
	out := map[core.Team]core.Resources{}
	began := map[string]fakes.TaskRecord{}
	add := func(e fakes.TaskRecord, end time.Time) {
		a, b := e.At, end
		if a.Before(from) {
			a = from
		}
		if b.After(to) {
			b = to
		}
		if s := b.Sub(a).Seconds(); s > 0 {
			n := e.Need.Core()
			out[core.Team(e.Team)] = out[core.Team(e.Team)].Add(core.Resources{
				Cores: int64(float64(n.Cores) * s), Memory: int64(float64(n.Memory) * s), Accel: int64(float64(n.Accel) * s * 1000),
			})
		}
	}
	for _, e := range l.events {
		key := e.Worker + "|" + e.Task
		if e.Event == "start" {
			began[key] = e
		} else if b, ok := began[key]; ok {
			add(b, e.At)
			delete(began, key)
		}
	}
	for _, b := range began {
		add(b, to)
	}
	return out
}

// Calls returns the instants at which a team had more requests running than
// its limit.
func Calls(targets []fakes.TargetRecord, limits map[core.Team]int64) []Violation {
	type edge struct {
		at   time.Time
		team string
		add  int64
	}
	var edges []edge
	for _, t := range targets {
		for _, h := range t.Hits {
			edges = append(edges, edge{h.Began, h.Team, 1})
			if !h.Ended.IsZero() {
				edges = append(edges, edge{h.Ended, h.Team, -1})
			}
		}
	}
	sort.SliceStable(edges, func(i, j int) bool {
		if !edges[i].at.Equal(edges[j].at) {
			return edges[i].at.Before(edges[j].at)
		}
		return edges[i].add < edges[j].add
	})
	var out []Violation
	running := map[string]int64{}
	for _, e := range edges {
		running[e.team] += e.add
		if most, ok := limits[core.Team(e.team)]; ok && e.add > 0 && running[e.team] > most {
			out = append(out, Violation{Limit, fmt.Sprintf("team %s has %d requests of %d", e.team, running[e.team], most), e.at})
		}
	}
	return out
}

// Targets returns the faults that targets have recorded: more requests at once
// than slots, and requests seen more often than once. Once holds the names of
// the requests that must not be repeated.
func Targets(targets []fakes.TargetRecord, once core.Set[string]) []Violation {
	var out []Violation
	seen := map[string]fakes.Hit{}
	for _, t := range targets {
		if t.Overfull > 0 {
			out = append(out, Violation{Slots, fmt.Sprintf("%d requests at once on %d slots", t.Most, t.Slots), time.Time{}})
		}
		for _, h := range t.Hits {
			if first, ok := seen[h.ID]; ok && once.Has(h.ID) {
				out = append(out, Violation{Repeat, fmt.Sprintf("request %s on %s and %s", h.ID, first.Target, h.Target), h.Began})
			}
			seen[h.ID] = h
		}
	}
	return out
}
