package demo

import (
	"math"
	"time"

	"chicoryturn/core"
	"chicoryturn/io/check"
)

// Nearness is how far teams were from what they were owed, as a fraction of
// all core time in use.
type Nearness struct {
	Mean, Largest float64
	// Team is the one that was furthest away.
	Team core.Team
}

// Nearness compares, over windows, what each team got with its max-min fair
// part: its share of what was in use, but no more than it asked for.
func (r *Run) Nearness(window time.Duration) Nearness {
	log := check.NewLog(r.fleet.WorkerRecords())
	starts := log.Starts()
	var out Nearness
	sum, count := 0.0, 0
	for from := r.began; from.Add(window).Before(r.ended) || from.Equal(r.began); from = from.Add(window) {
		to := from.Add(window)
		got := map[core.Team]float64{}
		asked := map[core.Team]float64{}
		for team, use := range log.Use(from, to) {
			got[team] = float64(use.Cores)
			asked[team] = float64(use.Cores)
		}
		r.waiting(starts, from, to, asked)
		total := 0.0
		for _, n := range got {
			total += n
		}
		if total == 0 {
			continue
		}
		owed := r.fair(total, asked)
		for team := range asked {
			d := math.Abs(got[team]-owed[team]) / total
			sum += d
			count++
			if d > out.Largest {
				out.Largest, out.Team = d, team
			}
		}
	}
	if count > 0 {
		out.Mean = sum / float64(count)
	}
	return out
}

// waiting adds the core time of tasks that waited within a window.
func (r *Run) waiting(starts map[string]time.Time, from, to time.Time, asked map[core.Team]float64) {
	for _, j := range r.jobs {
		for i := range j.tasks {
			until, ok := starts[core.TaskID{Job: core.JobID(j.id), Index: i}.String()]
			if !ok || until.After(to) {
				until = to
			}
			began := j.at
			if began.Before(from) {
				began = from
			}
			if s := until.Sub(began).Seconds(); s > 0 {
				asked[j.load.Team] += j.load.Cores * 1000 * s
			}
		}
	}
}

// fair divides total by the shares in the rules, giving no team more than it
// asked for.
func (r *Run) fair(total float64, asked map[core.Team]float64) map[core.Team]float64 {
	out := map[core.Team]float64{}
	open := core.NewSet[core.Team]()
	for t := range asked {
		open.Add(t)
	}
	for len(open) > 0 && total > 1e-9 {
		shares := 0.0
		for t := range open {
			shares += r.set.Teams[t].Share
		}
		if shares == 0 {
			break
		}
		given, full := 0.0, false
		for t := range open {
			part := total * r.set.Teams[t].Share / shares
			if left := asked[t] - out[t]; part >= left {
				given += left
				out[t] = asked[t]
				delete(open, t)
				full = true
			}
		}
		if !full {
			for t := range open {
				out[t] += total * r.set.Teams[t].Share / shares
			}
			break
		}
		total -= given
	}
	return out
}

// Waits returns the waiting times of a queue at two percentiles.
func (s *Summary) Waits(q core.Queue, low, high float64) (atLow, atHigh time.Duration) {
	w := s.Queues[q]
	if w == nil {
		return 0, 0
	}
	return w.at(low), w.at(high)
}
