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
	// deviationWindow is the window over which a team's use is compared with its
	// fair share.
	deviationWindow = 10 * time.Second
)

// namedPolicy is a placement policy and the name under which it is printed.
type namedPolicy struct {
	name   string
	policy cell.Policy
}

// policies returns the default policy and variants of it.
func policies() []namedPolicy {
	base := cell.DefaultPolicy()
	fifo := cell.Policy{Order: cell.ByArrival, Weight: cell.ByShare}
	equalShares, demandWeights, firstFit, noBackfill := base, base, base, base
	equalShares.Weight = cell.ByEqualWeight
	demandWeights.Weight = cell.ByDemand
	firstFit.BestFit = false
	noBackfill.Backfill = false
	return []namedPolicy{
		{"fifo, first fit", fifo}, {"equal shares", equalShares}, {"demand weights", demandWeights},
		{"first fit", firstFit}, {"no backfill", noBackfill}, {"default", base},
	}
}

// jobStreams returns streams of jobs that together request a fraction of the
// fleet's cores. A few teams are large, task sizes and run times differ, and
// estimates are wrong by a factor of up to 10.
func jobStreams(plan deploy.Plan, fraction float64) []demo.JobStream {
	// baseInterval is the approximate interval between two jobs of a stream. The task
	// count is rounded first, and then the interval is adapted to it.
	const baseInterval = 200 * ms
	cores := float64(plan.Capacity().Cores) / 1000 * fraction
	// Sizes are given for a worker with 16 cores; scale adapts them to the plan.
	scale := float64(plan.WorkerRoom.Cores) / 16000
	type stream struct {
		queue, team             string
		fraction, cores, memory float64
		run                     time.Duration
		gang                    int
	}
	streams := []stream{
		{"cure", "foundry", 0.35, 1, 2048, 2 * time.Second, 0}, {"urgent", "foundry", 0.02, 1, 1024, 500 * ms, 0},
		{"sweep", "pewter", 0.25, 2, 4096, 3 * time.Second, 0}, {"mould", "pewter", 0.05, 2, 2048, 1500 * ms, 8},
		{"sweep", "tallow", 0.16, 0.5, 4096, time.Second, 0}, {"sweep", "wick", 0.1, 4, 2048, 2 * time.Second, 0},
		{"sweep", "press", 0.05, 0.5, 512, 700 * ms, 0}, {"urgent", "office", 0.02, 0.5, 512, 400 * ms, 0},
	}
	if plan.Name == "bagmati" {
		streams = []stream{
			{"label", "valley", 0.35, 1, 2048, 2 * time.Second, 0}, {"urgent", "valley", 0.02, 1, 1024, 500 * ms, 0},
			{"label", "terai", 0.25, 2, 4096, 3 * time.Second, 0}, {"plate", "terai", 0.05, 2, 2048, 1500 * ms, 8},
			{"label", "lakeside", 0.16, 0.5, 2048, time.Second, 0}, {"label", "ridge", 0.1, 4, 2048, 2 * time.Second, 0},
			{"label", "orchard", 0.05, 0.5, 512, 700 * ms, 0}, {"urgent", "inspector", 0.02, 0.5, 512, 400 * ms, 0},
		}
	}
	var out []demo.JobStream
	for _, s := range streams {
		size := s.cores * scale
		perSecond := cores * s.fraction / (size * s.run.Seconds())
		interval, count := baseInterval, int(perSecond*baseInterval.Seconds()+0.5)
		if s.gang > 0 {
			count = s.gang
		}
		count = max(count, 1)
		interval = time.Duration(float64(count) / perSecond * float64(time.Second))
		out = append(out, demo.JobStream{
			Queue: toQueue(s.queue), Team: toTeam(s.team), Interval: interval, TasksPerJob: count, Cores: size,
			Memory: int64(s.memory * scale), RunTime: s.run, EstimateError: 10,
		})
	}
	return out
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measurePolicy measures all policies under several loads on each deployment.
func measurePolicy(ctx context.Context, planName, policyName string, duration time.Duration, seed uint64) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "plan\tload\tpolicy\ttasks\turgent p50\tp99\tbatch p50\tp99\tgang p50\tp99\tcores\tmean deviation\tlargest\tCPU ms/task\tviolations\t")
	for _, plan := range []deploy.Plan{deploy.Glaze(), deploy.Bagmati()} {
		if planName != "" && planName != plan.Name {
			continue
		}
		for _, load := range []float64{0.7, 1, 1.5} {
			for _, policy := range policies() {
				if policyName != "" && policyName != policy.name {
					continue
				}
				if err := measureOnePolicy(ctx, table, plan, policy, load, duration, seed); err != nil {
					return err
				}
				_ = table.Flush()
			}
		}
	}
	return nil
}

// measureOnePolicy prints the results of one policy under one load.
func measureOnePolicy(ctx context.Context, table *tabwriter.Writer, plan deploy.Plan, policy namedPolicy, load float64, duration time.Duration, seed uint64) error {
	plan.SchedOptions = append(plan.SchedOptions, sched.WithPolicy(policy.policy))
	deployment, err := deploy.Start(ctx, plan)
	if err != nil {
		return err
	}
	d, err := demo.Open(ctx, deployment, deployment.Addresses, plan)
	if err != nil {
		return err
	}
	cpuBefore := cpuTime()
	if err := d.RunWorkload(ctx, demo.Workload{Duration: duration, Seed: seed, Jobs: jobStreams(plan, load)}); err != nil {
		return err
	}
	cpuUsed := cpuTime() - cpuBefore
	summary, deviation, violations := d.Summary(), d.ShareDeviation(deviationWindow), d.Violations()
	urgent, batch, gang := "urgent", "cure", "mould"
	if plan.Name == "bagmati" {
		batch, gang = "label", "plate"
	}
	u50, u99 := summary.WaitPercentiles(toQueue(urgent), 50, 99)
	b50, b99 := summary.WaitPercentiles(toQueue(batch), 50, 99)
	g50, g99 := summary.WaitPercentiles(toQueue(gang), 50, 99)
	fmt.Fprintf(table, "%s\t%.0f%%\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%.0f%%\t%.1f%%\t%.1f%% %s\t%.2f\t%d\t\n", plan.Name, load*100, policy.name, summary.Tasks,
		u50.Round(ms), u99.Round(ms), b50.Round(ms), b99.Round(ms), g50.Round(ms), g99.Round(ms), summary.CorePacking*100,
		deviation.Mean*100, deviation.Largest*100, deviation.WorstTeam, float64(cpuUsed.Microseconds())/1000/float64(max(summary.Tasks, 1)), len(violations))
	return deployment.Stop()
}
