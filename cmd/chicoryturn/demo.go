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
		name: "demo", about: "Runs each sample deployment on loopback with stand-ins and prints its measurements.",
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
				if err := demo.Show(ctx, os.Stdout, plans[name], workload); err != nil {
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
			Calls: []demo.RequestStream{
				{Queue: "sheet", Team: "valley", Every: 4 * ms, Work: 40 * ms},
				{Queue: "sheet", Team: "terai", Every: 8 * ms, Work: 40 * ms},
				{Queue: "barcode", Team: "lakeside", Every: 10 * ms, Work: 5 * ms},
				{Queue: "batchno", Team: "ridge", Every: 20 * ms, Work: 5 * ms},
			},
			Jobs: []demo.JobStream{
				{Queue: "label", Team: "valley", Every: 400 * ms, Count: 80, Cores: 4, Memory: 4096, Run: 900 * ms, EstimateError: 10},
				{Queue: "label", Team: "terai", Every: 400 * ms, Count: 80, Cores: 4, Memory: 4096, Run: 900 * ms, EstimateError: 10},
				{Queue: "label", Team: "orchard", Every: 500 * ms, Count: 10, Cores: 2, Memory: 1024, Run: 500 * ms, EstimateError: 10},
				{Queue: "urgent", Team: "ridge", Every: 500 * ms, Count: 2, Cores: 1, Memory: 512, Run: 300 * ms},
				{Queue: "plate", Team: "lakeside", Every: 1500 * ms, Count: 8, Cores: 4, Memory: 2048, Run: 600 * ms},
			},
		}
	}
	return demo.Workload{
		Calls: []demo.RequestStream{
			{Queue: "fit", Team: "pewter", Every: 8 * ms, Work: 60 * ms},
			{Queue: "fit", Team: "wick", Every: 15 * ms, Work: 60 * ms},
			{Queue: "angle", Team: "press", Every: 5 * ms, Work: 10 * ms},
		},
		Jobs: []demo.JobStream{
			{Queue: "cure", Team: "foundry", Every: 300 * ms, Count: 100, Cores: 8, Memory: 16384, Run: 900 * ms, EstimateError: 10},
			{Queue: "sweep", Team: "pewter", Every: 300 * ms, Count: 60, Cores: 8, Memory: 16384, Run: 900 * ms, EstimateError: 10},
			{Queue: "sweep", Team: "tallow", Every: 300 * ms, Count: 40, Cores: 4, Memory: 32768, Run: 900 * ms, EstimateError: 10},
			{Queue: "urgent", Team: "foundry", Every: 500 * ms, Count: 4, Cores: 2, Memory: 4096, Run: 400 * ms},
			{Queue: "mould", Team: "wick", Every: 1500 * ms, Count: 8, Cores: 16, Memory: 8192, Run: 600 * ms},
		},
	}
}
