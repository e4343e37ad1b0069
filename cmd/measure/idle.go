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

// measureIdle runs deployments of several sizes without any work.
func measureIdle(ctx context.Context, span time.Duration) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "processes\tworkers\tstore writes/s\treads/s\tKB/s read\tKB/s written\tCPU of all, % of a core\t")
	sizes := []struct{ each, workers int }{{1, 12}, {3, 12}, {8, 12}, {1, 48}, {1, 192}}
	var writes, reads, bytes, cpu []point
	for _, n := range sizes {
		p := deploy.Glaze()
		p.Gates, p.Scheds, p.Workers, p.Targets = n.each, n.each, n.workers, 12
		s, err := deploy.Start(ctx, p)
		if err != nil {
			return err
		}
		if _, err := demo.Open(ctx, s, s.Addresses, p); err != nil {
			return err
		}
		before, used := s.Platform.Counts(), cpuTime()
		timer := time.NewTimer(span)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		after, load := s.Platform.Counts(), cpuTime()-used
		per := func(a, b uint64) float64 { return float64(b-a) / span.Seconds() }
		procs := float64(6 * n.each)
		w, r := per(before.Writes, after.Writes), per(before.Reads, after.Reads)
		kb, percent := per(before.Sent, after.Sent)/1000, load.Seconds()/span.Seconds()*100
		fmt.Fprintf(t, "%.0f\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", procs, n.workers, w, r, kb, per(before.Received, after.Received)/1000, percent)
		if n.workers == 12 {
			writes, reads = append(writes, point{procs, w}), append(reads, point{procs, r})
			bytes = append(bytes, point{procs * procs, kb})
		}
		if n.each == 1 {
			cpu = append(cpu, point{float64(n.workers), percent})
		}
		if err := s.Stop(); err != nil {
			return err
		}
	}
	_ = t.Flush()
	w, _ := fitLine(writes)
	r, _ := fitLine(reads)
	b, _ := fitLine(bytes)
	c, _ := fitLine(cpu)
	fmt.Printf("per process: %.2f store writes/s, %.2f reads/s; per pair of processes: %.1f B/s read\n", w, r, b*1000)
	fmt.Printf("per worker, sched and stand-in together: %.3f %% of a core\n", c)
	return nil
}
