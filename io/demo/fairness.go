package demo

import (
	"math"
	"time"

	"chicoryturn/core"
	"chicoryturn/io/check"
)

// ShareDeviation is the difference between the core time that teams used and
// their fair core time, as a fraction of the core time of all teams.
type ShareDeviation struct {
	Mean, Largest float64
	// WorstTeam is the team with the largest difference.
	WorstTeam core.Team
}

// ShareDeviation compares, in each window of time, the core time that each team used
// with its max-min fair part of all core time used. The fair part is proportional
// to the team's share and at most the team's demand: the core time that its tasks
// used plus the core time for which they waited. It ignores an incomplete window at
// the end, unless that is the only one.
func (d *Driver) ShareDeviation(window time.Duration) ShareDeviation {
	log := check.NewLog(d.fleet.WorkerRecords())
	starts := log.Starts()
	var out ShareDeviation
	sum, count := 0.0, 0
	for from := d.sendStart; from.Add(window).Before(d.sendEnd) || from.Equal(d.sendStart); from = from.Add(window) {
		to := from.Add(window)
		used := map[core.Team]float64{}
		demand := map[core.Team]float64{}
		for team, use := range log.Usage(from, to) {
			used[team] = float64(use.Cores)
			demand[team] = float64(use.Cores)
		}
		d.addWaitingDemand(starts, from, to, demand)
		total := 0.0
		for _, n := range used {
			total += n
		}
		if total == 0 {
			continue
		}
		fair := d.fairUse(total, demand)
		for team := range demand {
			deviation := math.Abs(used[team]-fair[team]) / total
			sum += deviation
			count++
			if deviation > out.Largest {
				out.Largest, out.WorstTeam = deviation, team
			}
		}
	}
	if count > 0 {
		out.Mean = sum / float64(count)
	}
	return out
}

// addWaitingDemand adds to each team's demand the cores of its waiting tasks times
// the time that they waited within a window.
func (d *Driver) addWaitingDemand(starts map[string]time.Time, from, to time.Time, demand map[core.Team]float64) {
	for _, j := range d.jobs {
		for i := range j.taskCount {
			until, ok := starts[core.TaskID{Job: core.JobID(j.id), Index: i}.String()]
			if !ok || until.After(to) {
				until = to
			}
			since := j.submittedAt
			if since.Before(from) {
				since = from
			}
			if s := until.Sub(since).Seconds(); s > 0 {
				demand[j.stream.Team] += j.stream.Cores * 1000 * s
			}
		}
	}
}

// fairUse divides a total by the teams' shares and gives no team more than its
// demand. What one team does not need is divided among the others.
func (d *Driver) fairUse(total float64, demand map[core.Team]float64) map[core.Team]float64 {
	out := map[core.Team]float64{}
	unsatisfied := core.NewSet[core.Team]()
	for t := range demand {
		unsatisfied.Add(t)
	}
	for len(unsatisfied) > 0 && total > 1e-9 {
		shares := 0.0
		for t := range unsatisfied {
			shares += d.rules.Teams[t].Share
		}
		if shares == 0 {
			break
		}
		given, satisfiedAny := 0.0, false
		for t := range unsatisfied {
			part := total * d.rules.Teams[t].Share / shares
			if missing := demand[t] - out[t]; part >= missing {
				given += missing
				out[t] = demand[t]
				delete(unsatisfied, t)
				satisfiedAny = true
			}
		}
		if !satisfiedAny {
			for t := range unsatisfied {
				out[t] += total * d.rules.Teams[t].Share / shares
			}
			break
		}
		total -= given
	}
	return out
}

// WaitPercentiles returns two percentiles, low and high, of a queue's waiting times.
func (s *Summary) WaitPercentiles(q core.Queue, low, high float64) (atLow, atHigh time.Duration) {
	w := s.Queues[q]
	if w == nil {
		return 0, 0
	}
	return w.percentile(low), w.percentile(high)
}
