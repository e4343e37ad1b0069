package demo

import (
	"fmt"
	"io"
	"math"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chicoryturn/core"
	"chicoryturn/io/check"
)

const (
	// histMax is the largest waiting time in a histogram, in microseconds.
	histMax = int64(10 * time.Minute / time.Microsecond)
	// histDigits is the number of significant digits of a histogram.
	histDigits = 3
)

func pow(base, exp float64) float64 { return math.Pow(base, exp) }

// waitStats holds the statistics of one queue.
type waitStats struct {
	// count counts requests and tasks, refused the refused or failed requests and the
	// refused jobs.
	count, refused int
	// hist holds waiting times in microseconds.
	hist *hdrhistogram.Histogram
}

func (w *waitStats) add(d time.Duration) {
	// A time outside the histogram's range is recorded as its nearest bound.
	_ = w.hist.RecordValue(min(max(int64(d/time.Microsecond), 0), histMax))
}

func (w *waitStats) percentile(p float64) time.Duration {
	return time.Duration(w.hist.ValueAtQuantile(p)) * time.Microsecond
}

// Summary holds the measurements of a run.
type Summary struct {
	Queues map[core.Queue]*waitStats
	Teams  map[core.Team]TeamSummary
	// CorePacking and MemoryPacking are the fractions of the workers' cores and memory
	// that were in use while the workload was sent.
	CorePacking, MemoryPacking float64
	// Tasks is the number of tasks of all accepted jobs.
	Tasks int
}

// TeamSummary compares a team's share with its use.
type TeamSummary struct {
	// Share is the team's share in the rules, Used its part of all core time used.
	// Both are fractions.
	Share, Used float64
	// CoreLimit is in thousandths of a core.
	CoreLimit int64
}

// statsOf returns the statistics of a queue and creates them if needed.
func (s *Summary) statsOf(q core.Queue) *waitStats {
	w := s.Queues[q]
	if w == nil {
		w = &waitStats{hist: hdrhistogram.New(1, histMax, histDigits)}
		s.Queues[q] = w
	}
	return w
}

// Summary computes the measurements of the run. The waiting time of a request is
// its duration without the work time; that of a task is the time from the submission
// of its job to its first start.
func (d *Driver) Summary() *Summary {
	s := &Summary{Queues: map[core.Queue]*waitStats{}, Teams: map[core.Team]TeamSummary{}}
	for _, res := range d.results {
		w := s.statsOf(res.Queue)
		w.count++
		if res.Err != nil || res.Status >= 400 {
			w.refused++
			continue
		}
		w.add(res.Elapsed - res.WorkTime)
	}
	log := check.NewLog(d.fleet.WorkerRecords())
	starts := log.Starts()
	for _, j := range d.jobs {
		w := s.statsOf(j.stream.Queue)
		for i := range j.taskCount {
			w.count++
			s.Tasks++
			if startedAt, ok := starts[core.TaskID{Job: core.JobID(j.id), Index: i}.String()]; ok {
				w.add(startedAt.Sub(j.submittedAt))
			}
		}
	}
	for q, n := range d.refused {
		s.statsOf(q).refused += n
	}
	d.addTeams(s, log)
	return s
}

// addTeams computes the packing and the teams' use.
func (d *Driver) addTeams(s *Summary, log *check.Log) {
	useByTeam := log.Usage(d.sendStart, d.sendEnd)
	sum := core.Resources{}
	for _, use := range useByTeam {
		sum = sum.Add(use)
	}
	span := d.sendEnd.Sub(d.sendStart).Seconds()
	s.CorePacking = float64(sum.Cores) / (float64(d.capacity.Cores) * span)
	s.MemoryPacking = float64(sum.Memory) / (float64(d.capacity.Memory) * span)
	for name, t := range d.rules.Teams {
		used := 0.0
		if sum.Cores > 0 {
			used = float64(useByTeam[name].Cores) / float64(sum.Cores)
		}
		s.Teams[name] = TeamSummary{t.Share / 100, used, t.Cores}
	}
}

// Report prints the measurements of the run as tables.
func (d *Driver) Report(out io.Writer) {
	s := d.Summary()
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "queue\tkind\tcount\trefused\twait p50\twait p99\t")
	for _, q := range sortedKeys(s.Queues) {
		w := s.Queues[q]
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\t%s\t\n", q, d.rules.Queues[q].Kind, w.count, w.refused, round(w.percentile(50)), round(w.percentile(99)))
	}
	fmt.Fprintln(t, "\t\t\t\t\t\t")
	fmt.Fprintln(t, "team\tshare\tused\tlimit (cores)\t\t\t")
	for _, name := range sortedKeys(s.Teams) {
		v := s.Teams[name]
		fmt.Fprintf(t, "%s\t%.0f%%\t%.0f%%\t%g\t\t\t\n", name, v.Share*100, v.Used*100, float64(v.CoreLimit)/1000)
	}
	_ = t.Flush()
	fmt.Fprintf(out, "packing while the workload was sent: %.0f%% of cores, %.0f%% of memory; %d tasks\n",
		s.CorePacking*100, s.MemoryPacking*100, s.Tasks)
}

func round(d time.Duration) time.Duration {
	if d < 10*time.Millisecond {
		return d.Round(10 * time.Microsecond)
	}
	return d.Round(time.Millisecond)
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Refused returns the number of refused or failed requests and refused jobs of
// each queue that had any.
func (d *Driver) Refused() map[core.Queue]int {
	out := map[core.Queue]int{}
	for q, w := range d.Summary().Queues {
		if w.refused > 0 {
			out[q] = w.refused
		}
	}
	return out
}
