package main

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"text/tabwriter"
	"time"

	"chicoryturn/core/cell"
	"chicoryturn/io/demo"
	"chicoryturn/io/deploy"
	"chicoryturn/io/sched"
)

const (
	ms = time.Millisecond
	// nearnessWindow is the window over which nearness to share is taken.
	nearnessWindow = 10 * time.Second
)

// namedPolicy is a policy under a name.
type namedPolicy struct {
	name   string
	policy cell.Policy
}

func policies() []namedPolicy {
	base := cell.DefaultPolicy()
	fifo := cell.Policy{Order: cell.ByArrival, Weight: cell.ByShare}
	equal, demand, first, bare := base, base, base, base
	equal.Weight = cell.Equally
	demand.Weight = cell.ByDemand
	first.BestFit = false
	bare.Backfill = false
	return []namedPolicy{
		{"fifo, first fit", fifo}, {"equal shares", equal}, {"demand weights", demand},
		{"first fit", first}, {"no backfill", bare}, {"default", base},
	}
}

// jobStreams returns streams of jobs that ask for a part of a fleet's cores. A few
// teams are large; sizes and run times differ, declared times are off by up
// to ten times.
func jobStreams(p deploy.Plan, part float64) []demo.JobStream {
	const every = 200 * ms
	cores := float64(p.Total().Cores) / 1000 * part
	unit := float64(p.Room.Cores) / 16000
	type stream struct {
		queue, team         string
		part, cores, memory float64
		run                 time.Duration
		gang                int
	}
	streams := []stream{
		{"cure", "foundry", 0.35, 1, 2048, 2 * time.Second, 0}, {"urgent", "foundry", 0.02, 1, 1024, 500 * ms, 0},
		{"sweep", "pewter", 0.25, 2, 4096, 3 * time.Second, 0}, {"mould", "pewter", 0.05, 2, 2048, 1500 * ms, 8},
		{"sweep", "tallow", 0.16, 0.5, 4096, time.Second, 0}, {"sweep", "wick", 0.1, 4, 2048, 2 * time.Second, 0},
		{"sweep", "press", 0.05, 0.5, 512, 700 * ms, 0}, {"urgent", "office", 0.02, 0.5, 512, 400 * ms, 0},
	}
	if p.Name == "bagmati" {
		streams = []stream{
			{"label", "valley", 0.35, 1, 2048, 2 * time.Second, 0}, {"urgent", "valley", 0.02, 1, 1024, 500 * ms, 0},
			{"label", "terai", 0.25, 2, 4096, 3 * time.Second, 0}, {"plate", "terai", 0.05, 2, 2048, 1500 * ms, 8},
			{"label", "lakeside", 0.16, 0.5, 2048, time.Second, 0}, {"label", "ridge", 0.1, 4, 2048, 2 * time.Second, 0},
			{"label", "orchard", 0.05, 0.5, 512, 700 * ms, 0}, {"urgent", "inspector", 0.02, 0.5, 512, 400 * ms, 0},
		}
	}
	var out []demo.JobStream
	for _, s := range streams {
		size := s.cores * unit
		perSecond := cores * s.part / (size * s.run.Seconds())
		gap, count := every, int(perSecond*every.Seconds()+0.5)
		if s.gang > 0 {
			count = s.gang
		}
		count = max(count, 1)
		gap = time.Duration(float64(count) / perSecond * float64(time.Second))
		out = append(out, demo.JobStream{
			Queue: toQueue(s.queue), Team: toTeam(s.team), Every: gap, Count: count, Cores: size,
			Memory: int64(s.memory * unit), Run: s.run, EstimateError: 10,
		})
	}
	return out
}

// cpuTime returns what this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func measurePolicy(ctx context.Context, only, kind string, span time.Duration, seed uint64) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "plan\tload\tpolicy\ttasks\turgent p50\tp99\tbatch p50\tp99\tgang p50\tp99\tcores\tmean dist\tlargest\tCPU ms/task\tfaults\t")
	for _, p := range []deploy.Plan{deploy.Glaze(), deploy.Bagmati()} {
		if only != "" && only != p.Name {
			continue
		}
		for _, load := range []float64{0.7, 1, 1.5} {
			for _, n := range policies() {
				if kind != "" && kind != n.name {
					continue
				}
				if err := measureOnePolicy(ctx, t, p, n, load, span, seed); err != nil {
					return err
				}
				_ = t.Flush()
			}
		}
	}
	return nil
}

func measureOnePolicy(ctx context.Context, t *tabwriter.Writer, p deploy.Plan, n namedPolicy, load float64, span time.Duration, seed uint64) error {
	p.Options = append(p.Options, sched.WithPolicy(n.policy))
	s, err := deploy.Start(ctx, p)
	if err != nil {
		return err
	}
	r, err := demo.Open(ctx, s, s.Addresses, p)
	if err != nil {
		return err
	}
	before := cpuTime()
	if err := r.RunWorkload(ctx, demo.Workload{Duration: span, Seed: seed, Jobs: jobStreams(p, load)}); err != nil {
		return err
	}
	used := cpuTime() - before
	sum, near, faults := r.Summary(), r.Nearness(nearnessWindow), r.Violations()
	urgent, batch, gang := "urgent", "cure", "mould"
	if p.Name == "bagmati" {
		batch, gang = "label", "plate"
	}
	u50, u99 := sum.Waits(toQueue(urgent), 50, 99)
	b50, b99 := sum.Waits(toQueue(batch), 50, 99)
	g50, g99 := sum.Waits(toQueue(gang), 50, 99)
	fmt.Fprintf(t, "%s\t%.0f%%\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%.0f%%\t%.1f%%\t%.1f%% %s\t%.2f\t%d\t\n", p.Name, load*100, n.name, sum.Tasks,
		u50.Round(ms), u99.Round(ms), b50.Round(ms), b99.Round(ms), g50.Round(ms), g99.Round(ms), sum.PackCores*100,
		near.Mean*100, near.Largest*100, near.Team, float64(used.Microseconds())/1000/float64(max(sum.Tasks, 1)), len(faults))
	return s.Stop()
}
