// Command measure produces the figures in the documentation.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	seconds, seed, planName, policyName := 20, 1, "", ""
	flaggy.SetName("measure")
	flaggy.SetDescription("Produces the figures in docs/MEASURED.md and docs/CAPACITY.md.")
	policy := flaggy.NewSubcommand("policy")
	policy.Description = "Measures waiting time, packing and deviation from the fair shares under several policies and loads."
	policy.Int(&seconds, "t", "time", "duration of each run in seconds")
	policy.Int(&seed, "s", "seed", "seed of the random numbers")
	policy.String(&planName, "p", "plan", "run only this deployment: glaze or bagmati")
	policy.String(&policyName, "k", "kind", "run only the policy of this name")
	path := flaggy.NewSubcommand("path")
	path.Description = "Compares requests through a gate with direct requests to the targets."
	path.Int(&seconds, "t", "time", "duration of each run in seconds")
	size := flaggy.NewSubcommand("size")
	size.Description = "Measures how memory and time grow with the number of workers, tasks, teams, rules and peers, and projects them to larger sizes."
	idle := flaggy.NewSubcommand("idle")
	idle.Description = "Measures the cost of idle processes and workers: store calls, bytes and CPU time."
	idle.Int(&seconds, "t", "time", "duration of each run in seconds")
	for _, c := range []*flaggy.Subcommand{policy, path, size, idle} {
		flaggy.AttachSubcommand(c, 1)
	}
	flaggy.Parse()
	duration := time.Duration(seconds) * time.Second
	switch {
	case policy.Used:
		return measurePolicy(ctx, planName, policyName, duration, uint64(seed))
	case path.Used:
		return measurePath(ctx, duration)
	case idle.Used:
		return measureIdle(ctx, duration)
	case size.Used:
		return measureSize(ctx)
	}
	flaggy.ShowHelp("")
	return nil
}
