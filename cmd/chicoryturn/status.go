package main

import (
	"context"
	"fmt"
	"net/http"

	"github.com/integrii/flaggy"

	"chicoryturn/core/admit"
	"chicoryturn/core/cell"
	"chicoryturn/core/conf"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/member"
	"chicoryturn/io/agent"
	"chicoryturn/io/sched"
)

// statusDump is the part of a gate's or sched's state dump that status prints.
type statusDump struct {
	Agent            agent.Dump
	Waiting, Sending int
	Targets          []admit.TargetView
	Cells            []sched.CellDump
}

func statusCommand() *command {
	c := &client{}
	return &command{
		name: "status", about: "Shows the session, cells, targets and limits of one process. Example: chicoryturn status -o 10.0.0.1:7102",
		flags: c.opsFlags,
		run: func(ctx context.Context) error {
			var dump statusDump
			body, err := c.call(ctx, http.MethodGet, c.opsAddr, "/dump", nil, &dump)
			if err == nil {
				c.print(body, func() { printStatus(&dump) })
			}
			return err
		},
	}
}

func printStatus(dump *statusDump) {
	fmt.Printf("session %s: %s, configuration %d, %d peers, %d VMs listed\n",
		dump.Agent.Session, dump.Agent.State, dump.Agent.Config, len(dump.Agent.Peers), dump.Agent.VMs)
	for id, owner := range dump.Agent.Owners {
		fmt.Printf("cell %-14s owned by %s\n", id, owner)
	}
	for _, t := range dump.Targets {
		fmt.Printf("target %-14s %-10s %-8s %d in use\n", t.Name, t.Service, t.State, t.Used)
	}
	if len(dump.Targets) > 0 {
		fmt.Printf("requests: %d waiting, %d in flight\n", dump.Waiting, dump.Sending)
	}
	for _, c := range dump.Cells {
		l := c.Load
		fmt.Printf("cell %s epoch %d: %d of %d workers live, %g of %g cores free, %d tasks queued, %d running, %d journal entries not yet stored\n",
			l.Cell, l.Epoch, l.Live, l.Workers, float64(l.Free.Cores)/1000, float64(l.Total.Cores)/1000, l.Queued, l.Running, c.Pending)
		for _, t := range l.Teams {
			fmt.Printf("  team %-14s %g cores in use, %g queued\n", t.Team, float64(t.Cores)/1000, float64(t.Queued)/1000)
		}
	}
	for _, l := range dump.Agent.Limits {
		if l.Held > 0 || l.Used > 0 {
			fmt.Printf("limit %-28s part %d, used %d, sum of all parts %d\n", l.Name, l.Held, l.Used, l.Granted)
		}
	}
}

func dumpCommand() *command {
	c := &client{}
	return &command{
		name: "dump", about: "Prints the complete control state of one process as JSON.",
		flags: func(s *flaggy.Subcommand) {
			s.String(&c.opsAddr, "o", "ops", "operators' address of the process (IP:port)")
		},
		run: func(ctx context.Context) error {
			body, err := c.call(ctx, http.MethodGet, c.opsAddr, "/dump", nil, nil)
			if err == nil {
				fmt.Print(string(body))
			}
			return err
		},
	}
}

func chartCommand() *command {
	name := ""
	return &command{
		name: "chart", about: "Prints a state chart. Example: chicoryturn chart task",
		flags: func(s *flaggy.Subcommand) { s.AddPositionalValue(&name, "name", 1, false, "name of the chart") },
		run: func(context.Context) error {
			charts := map[string]string{}
			var names []string
			// Charts returns the name and the text of each chart in turn.
			for _, list := range [][]string{cell.Charts(), member.Charts(), admit.Charts(), conf.Charts(), fleet.Charts(), elect.Charts()} {
				for i := 0; i+1 < len(list); i += 2 {
					charts[list[i]] = list[i+1]
					names = append(names, list[i])
				}
			}
			if text, ok := charts[name]; ok {
				fmt.Print(text)
				return nil
			}
			return &InputError{fmt.Sprintf("unknown chart %q; the charts are %v", name, names)}
		},
	}
}
