package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"chicoryturn/io/demo"
	"chicoryturn/io/deploy"
)

// demoDuration is how long requests and jobs are sent to each deployment.
const demoDuration = 5 * time.Second

func demoCommand() *command {
	seed, only := 1, ""
	return &command{
		name: "demo", about: "Runs each sample deployment on loopback with fakes of the platform, workers and targets, and prints its measurements.",
		flags: func(s *flaggy.Subcommand) {
			s.Int(&seed, "seed", "seed", "seed of the random numbers")
			s.String(&only, "p", "plan", "run only this deployment: glaze or bagmati")
		},
		run: func(ctx context.Context) error {
			plans := map[string]deploy.Plan{"glaze": deploy.Glaze(), "bagmati": deploy.Bagmati()}
			if _, ok := plans[only]; only != "" && !ok {
				return &InputError{fmt.Sprintf("unknown deployment %q; the deployments are glaze and bagmati", only)}
			}
			for _, name := range []string{"glaze", "bagmati"} {
				if only != "" && only != name {
					continue
				}
				workload := demoWorkload(name)
				workload.Duration, workload.Seed = demoDuration, uint64(seed)
				if err := demo.Run(ctx, os.Stdout, plans[name], workload); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// demoWorkload returns the requests and jobs that are sent to a deployment.
func demoWorkload(name string) demo.Workload {
	const ms = time.Millisecond
	if name == "bagmati" {
		return demo.Workload{
			Requests: []demo.RequestStream{
				{Queue: "sheet", Team: "valley", Interval: 4 * ms, WorkTime: 40 * ms},
				{Queue: "sheet", Team: "terai", Interval: 8 * ms, WorkTime: 40 * ms},
				{Queue: "barcode", Team: "lakeside", Interval: 10 * ms, WorkTime: 5 * ms},
				{Queue: "batchno", Team: "ridge", Interval: 20 * ms, WorkTime: 5 * ms},
			},
			Jobs: []demo.JobStream{
				{Queue: "label", Team: "valley", Interval: 400 * ms, TasksPerJob: 80, Cores: 4, Memory: 4096, RunTime: 900 * ms, EstimateError: 10},
				{Queue: "label", Team: "terai", Interval: 400 * ms, TasksPerJob: 80, Cores: 4, Memory: 4096, RunTime: 900 * ms, EstimateError: 10},
				{Queue: "label", Team: "orchard", Interval: 500 * ms, TasksPerJob: 10, Cores: 2, Memory: 1024, RunTime: 500 * ms, EstimateError: 10},
				{Queue: "urgent", Team: "ridge", Interval: 500 * ms, TasksPerJob: 2, Cores: 1, Memory: 512, RunTime: 300 * ms},
				{Queue: "plate", Team: "lakeside", Interval: 1500 * ms, TasksPerJob: 8, Cores: 4, Memory: 2048, RunTime: 600 * ms},
			},
		}
	}
	return demo.Workload{
		Requests: []demo.RequestStream{
			{Queue: "fit", Team: "pewter", Interval: 8 * ms, WorkTime: 60 * ms},
			{Queue: "fit", Team: "wick", Interval: 15 * ms, WorkTime: 60 * ms},
			{Queue: "angle", Team: "press", Interval: 5 * ms, WorkTime: 10 * ms},
		},
		Jobs: []demo.JobStream{
			{Queue: "cure", Team: "foundry", Interval: 300 * ms, TasksPerJob: 100, Cores: 8, Memory: 16384, RunTime: 900 * ms, EstimateError: 10},
			{Queue: "sweep", Team: "pewter", Interval: 300 * ms, TasksPerJob: 60, Cores: 8, Memory: 16384, RunTime: 900 * ms, EstimateError: 10},
			{Queue: "sweep", Team: "tallow", Interval: 300 * ms, TasksPerJob: 40, Cores: 4, Memory: 32768, RunTime: 900 * ms, EstimateError: 10},
			{Queue: "urgent", Team: "foundry", Interval: 500 * ms, TasksPerJob: 4, Cores: 2, Memory: 4096, RunTime: 400 * ms},
			{Queue: "mould", Team: "wick", Interval: 1500 * ms, TasksPerJob: 8, Cores: 16, Memory: 8192, RunTime: 600 * ms},
		},
	}
}
