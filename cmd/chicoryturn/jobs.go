package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"chicoryturn/io/gate"
)

func jobCommand() *command {
	return &command{name: "job", about: "Submits, shows, lists and cancels jobs.", subcommands: []*command{
		jobSubmitCommand(), jobShowCommand(), jobListCommand(), jobCancelCommand(),
	}}
}

func jobSubmitCommand() *command {
	c, file := &client{}, ""
	return &command{
		name: "submit", about: "Submits a job from a JSON file. Example: chicoryturn job submit job.json -a 10.0.0.1:7100 -k KEY",
		flags: func(s *flaggy.Subcommand) {
			s.AddPositionalValue(&file, "file", 1, true, "job file (JSON)")
			c.callerFlags(s)
		},
		run: func(ctx context.Context) error {
			text, err := os.ReadFile(file)
			if err != nil {
				return &InputError{err.Error()}
			}
			var submitted gate.Submitted
			body, err := c.call(ctx, http.MethodPost, c.gateAddr, "/jobs", text, &submitted)
			if err == nil {
				c.print(body, func() { fmt.Println(submitted.ID) })
			}
			return err
		},
	}
}

func printJob(job gate.JobView) {
	fmt.Printf("%-32s %-10s %-10s %-9s %d/%d done", job.ID, job.Team, job.Queue, job.State, job.Done, job.Tasks)
	if job.Failed+job.Cancelled > 0 {
		fmt.Printf(", %d failed, %d cancelled", job.Failed, job.Cancelled)
	}
	if job.Started != nil {
		fmt.Printf(", waited %s", job.Started.Sub(job.Submitted).Round(time.Millisecond))
	}
	if job.Blocked != "" {
		fmt.Printf(", blocked: %s", job.Blocked)
	}
	fmt.Println()
}

// jobIDCommand returns a subcommand that calls method on one job.
func jobIDCommand(name, about, method string) *command {
	c, id := &client{}, ""
	return &command{
		name: name, about: about,
		flags: func(s *flaggy.Subcommand) {
			s.AddPositionalValue(&id, "id", 1, true, "job ID")
			c.callerFlags(s)
		},
		run: func(ctx context.Context) error {
			var job gate.JobView
			body, err := c.call(ctx, method, c.gateAddr, "/jobs/"+id, nil, &job)
			if err != nil {
				return err
			}
			c.print(body, func() {
				if method == http.MethodDelete {
					fmt.Println("cancellation accepted")
					return
				}
				printJob(job)
			})
			return nil
		},
	}
}

func jobShowCommand() *command { return jobIDCommand("show", "Shows a job.", http.MethodGet) }

func jobCancelCommand() *command { return jobIDCommand("cancel", "Cancels a job.", http.MethodDelete) }

func jobListCommand() *command {
	c, maxJobs := &client{}, 100
	return &command{
		name: "list", about: "Lists your team's newest jobs.",
		flags: func(s *flaggy.Subcommand) {
			c.callerFlags(s)
			s.Int(&maxJobs, "m", "most", "maximum number of jobs")
		},
		run: func(ctx context.Context) error {
			var jobs []gate.JobView
			body, err := c.call(ctx, http.MethodGet, c.gateAddr, fmt.Sprintf("/jobs?most=%d", maxJobs), nil, &jobs)
			if err != nil {
				return err
			}
			c.print(body, func() {
				for _, job := range jobs {
					printJob(job)
				}
			})
			return nil
		},
	}
}
