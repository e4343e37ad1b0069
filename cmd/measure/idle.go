package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"chicoryturn/io/demo"
	"chicoryturn/io/deploy"
)

// measureIdle measures the store calls, bytes and CPU time of deployments of several
// sizes that have no work.
func measureIdle(ctx context.Context, duration time.Duration) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "processes\tworkers\tstore writes/s\treads/s\tKB/s read\tKB/s written\ttotal CPU, % of a core\t")
	sizes := []struct{ perRole, workers int }{{1, 12}, {3, 12}, {8, 12}, {1, 48}, {1, 192}}
	var writes, reads, pairReads, cpuPercent []point
	for _, size := range sizes {
		plan := deploy.Glaze()
		plan.Gates, plan.Scheds, plan.Workers, plan.Targets = size.perRole, size.perRole, size.workers, 12
		deployment, err := deploy.Start(ctx, plan)
		if err != nil {
			return err
		}
		if _, err := demo.Open(ctx, deployment, deployment.Addresses, plan); err != nil {
			return err
		}
		before, cpuBefore := deployment.Platform.Counts(), cpuTime()
		timer := time.NewTimer(duration)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		after, cpuUsed := deployment.Platform.Counts(), cpuTime()-cpuBefore
		perSecond := func(first, last uint64) float64 { return float64(last-first) / duration.Seconds() }
		// Each of the plan's three regions has perRole gates and perRole scheds.
		processes := float64(6 * size.perRole)
		writesPerSecond, readsPerSecond := perSecond(before.Writes, after.Writes), perSecond(before.Reads, after.Reads)
		readKB, percent := perSecond(before.SentBytes, after.SentBytes)/1000, cpuUsed.Seconds()/duration.Seconds()*100
		fmt.Fprintf(table, "%.0f\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", processes, size.workers, writesPerSecond, readsPerSecond, readKB, perSecond(before.ReceivedBytes, after.ReceivedBytes)/1000, percent)
		if size.workers == 12 {
			// Every process reads the session rows of all others, so the bytes read
			// grow with the square of the number of processes.
			writes, reads = append(writes, point{processes, writesPerSecond}), append(reads, point{processes, readsPerSecond})
			pairReads = append(pairReads, point{processes * processes, readKB})
		}
		if size.perRole == 1 {
			cpuPercent = append(cpuPercent, point{float64(size.workers), percent})
		}
		if err := deployment.Stop(); err != nil {
			return err
		}
	}
	_ = table.Flush()
	writesPerSecond, _ := fitLine(writes)
	readsPerSecond, _ := fitLine(reads)
	readPerPair, _ := fitLine(pairReads)
	cpuPerWorker, _ := fitLine(cpuPercent)
	fmt.Printf("per process: %.2f store writes/s, %.2f reads/s; per pair of processes: %.1f B/s read\n", writesPerSecond, readsPerSecond, readPerPair*1000)
	fmt.Printf("per worker (sched and fake worker together): %.3f %% of a core\n", cpuPerWorker)
	return nil
}
