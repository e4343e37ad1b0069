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
			s.AddPositionalValue(&file, "file", 1, true, "job (JSON)")
			c.callerFlags(s)
		},
		run: func(ctx context.Context) error {
			text, err := os.ReadFile(file)
			if err != nil {
				return &InputError{err.Error()}
			}
			var sub gate.Submitted
			answer, err := c.call(ctx, http.MethodPost, c.gateAddr, "/jobs", text, &sub)
			if err == nil {
				c.print(answer, func() { fmt.Println(sub.ID) })
			}
			return err
		},
	}
}

func printJob(v gate.JobView) {
	fmt.Printf("%-32s %-10s %-10s %-9s %d/%d done", v.ID, v.Team, v.Queue, v.State, v.Done, v.Tasks)
	if v.Failed+v.Cancelled > 0 {
		fmt.Printf(", %d failed, %d cancelled", v.Failed, v.Cancelled)
	}
	if v.Started != nil {
		fmt.Printf(", waited %s", v.Started.Sub(v.Submitted).Round(time.Millisecond))
	}
	if v.Blocked != "" {
		fmt.Printf(", blocked: %s", v.Blocked)
	}
	fmt.Println()
}

func jobIDCommand(name, about, method string) *command {
	c, id := &client{}, ""
	return &command{
		name: name, about: about,
		flags: func(s *flaggy.Subcommand) {
			s.AddPositionalValue(&id, "id", 1, true, "job")
			c.callerFlags(s)
		},
		run: func(ctx context.Context) error {
			var v gate.JobView
			text, err := c.call(ctx, method, c.gateAddr, "/jobs/"+id, nil, &v)
			if err != nil {
				return err
			}
			c.print(text, func() {
				if method == http.MethodDelete {
					fmt.Println("cancellation accepted")
					return
				}
				printJob(v)
			})
			return nil
		},
	}
}

func jobShowCommand() *command { return jobIDCommand("show", "Shows a job.", http.MethodGet) }

func jobCancelCommand() *command { return jobIDCommand("cancel", "Cancels a job.", http.MethodDelete) }

func jobListCommand() *command {
	c, most := &client{}, 100
	return &command{
		name: "list", about: "Lists your team's newest jobs.",
		flags: func(s *flaggy.Subcommand) {
			c.callerFlags(s)
			s.Int(&most, "m", "most", "how many at most")
		},
		run: func(ctx context.Context) error {
			var list []gate.JobView
			text, err := c.call(ctx, http.MethodGet, c.gateAddr, fmt.Sprintf("/jobs?most=%d", most), nil, &list)
			if err != nil {
				return err
			}
			c.print(text, func() {
				for _, v := range list {
					printJob(v)
				}
			})
			return nil
		},
	}
}
