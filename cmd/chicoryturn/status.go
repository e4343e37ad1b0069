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

// statusDump is the part of any process's dump that status prints.
type statusDump struct {
	Agent            agent.Dump
	Waiting, Sending int
	Targets          []admit.TargetView
	Cells            []sched.CellDump
}

func statusCommand() *command {
	c := &client{}
	return &command{
		name: "status", about: "Shows one process: its session, cells, targets and limits. Example: chicoryturn status -o 10.0.0.1:7102",
		flags: c.opsFlags,
		run: func(ctx context.Context) error {
			var p statusDump
			text, err := c.call(ctx, http.MethodGet, c.opsAddr, "/dump", nil, &p)
			if err == nil {
				c.print(text, func() { printStatus(&p) })
			}
			return err
		},
	}
}

func printStatus(p *statusDump) {
	fmt.Printf("session %s: %s, configuration %d, %d peers, %d VMs listed\n",
		p.Agent.Session, p.Agent.State, p.Agent.Config, len(p.Agent.Peers), p.Agent.VMs)
	for id, owner := range p.Agent.Owners {
		fmt.Printf("cell %-14s owned by %s\n", id, owner)
	}
	for _, t := range p.Targets {
		fmt.Printf("target %-14s %-10s %-8s %d in use\n", t.Name, t.Service, t.State, t.Used)
	}
	if len(p.Targets) > 0 {
		fmt.Printf("requests: %d waiting, %d sent\n", p.Waiting, p.Sending)
	}
	for _, d := range p.Cells {
		l := d.Load
		fmt.Printf("cell %s epoch %d: %d of %d workers live, %g of %g cores free, %d tasks waiting, %d running, %d entries to record\n",
			l.Cell, l.Epoch, l.Live, l.Workers, float64(l.Free.Cores)/1000, float64(l.Total.Cores)/1000, l.Queued, l.Running, d.Pending)
		for _, t := range l.Teams {
			fmt.Printf("  team %-14s runs %g cores, waits for %g\n", t.Team, float64(t.Cores)/1000, float64(t.Queued)/1000)
		}
	}
	for _, l := range p.Agent.Limits {
		if l.Held > 0 || l.Used > 0 {
			fmt.Printf("limit %-28s part %d, used %d, all parts %d\n", l.Name, l.Held, l.Used, l.Granted)
		}
	}
}

func dumpCommand() *command {
	c := &client{}
	return &command{
		name: "dump", about: "Prints the whole control state of one process as JSON.",
		flags: func(s *flaggy.Subcommand) {
			s.String(&c.opsAddr, "o", "ops", "operators' address of the process, IP:port")
		},
		run: func(ctx context.Context) error {
			text, err := c.call(ctx, http.MethodGet, c.opsAddr, "/dump", nil, nil)
			if err == nil {
				fmt.Print(string(text))
			}
			return err
		},
	}
}

func chartCommand() *command {
	name := ""
	return &command{
		name: "chart", about: "Draws a state chart. Example: chicoryturn chart task",
		flags: func(s *flaggy.Subcommand) { s.AddPositionalValue(&name, "name", 1, false, "chart") },
		run: func(context.Context) error {
			charts := map[string]string{}
			var names []string
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
			return &InputError{fmt.Sprintf("no chart %q; there are %v", name, names)}
		},
	}
}
