package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"chicoryturn/io/agent"
	"chicoryturn/io/httpx"
	"chicoryturn/io/parse"
)

const (
	// inForceTimeout is how long a push waits for the change to be in force.
	inForceTimeout      = 10 * time.Second
	inForcePollInterval = 100 * time.Millisecond
)

func rulesCommand() *command {
	return &command{name: "rules", about: "Checks, pushes and shows the rules file.", subcommands: []*command{
		rulesCheckCommand(), rulesPushCommand(), rulesShowCommand(), rulesHistoryCommand(),
	}}
}

func readRules(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &InputError{err.Error()}
	}
	_, err = parse.Rules(file, text)
	return text, err
}

func rulesCheckCommand() *command {
	file := ""
	return &command{
		name: "check", about: "Checks a rules file and changes nothing. Example: chicoryturn rules check rules.toml",
		flags: func(s *flaggy.Subcommand) { s.AddPositionalValue(&file, "file", 1, true, "rules file (TOML)") },
		run: func(context.Context) error {
			if _, err := readRules(file); err != nil {
				return err
			}
			fmt.Println("no faults")
			return nil
		},
	}
}

func rulesPushCommand() *command {
	c, file, base := &client{}, "", 0
	return &command{
		name: "push", about: "Puts a rules file in force. Example: chicoryturn rules push rules.toml -o 10.0.0.1:7102 -b Mia",
		flags: func(s *flaggy.Subcommand) {
			s.AddPositionalValue(&file, "file", 1, true, "rules file (TOML)")
			s.Int(&base, "v", "base", "refuse unless this version is in force")
			c.opsFlags(s)
			c.byFlag(s)
		},
		run: func(ctx context.Context) error {
			text, err := readRules(file)
			if err != nil {
				return err
			}
			var p httpx.Pushed
			answer, err := c.call(ctx, http.MethodPost, c.opsAddr, fmt.Sprintf("/rules?base=%d", base), text, &p)
			if err != nil {
				return err
			}
			c.print(answer, func() { fmt.Printf("accepted as version %d\n", p.Version) })
			return c.awaitInForce(ctx, p)
		},
	}
}

// awaitInForce waits until a change is in force in every live process.
func (c *client) awaitInForce(ctx context.Context, p httpx.Pushed) error {
	began := time.Now()
	for time.Since(began) < inForceTimeout {
		var conf httpx.Config
		if _, err := c.call(ctx, http.MethodGet, c.opsAddr, "/config", nil, &conf); err != nil {
			return err
		}
		if conf.Lowest >= p.Version {
			if !c.printJSON {
				fmt.Printf("in force everywhere after %s\n", time.Since(began).Round(time.Millisecond))
			}
			return nil
		}
		t := time.NewTimer(inForcePollInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	fmt.Fprintf(os.Stderr, "accepted, but some process does not show version %d yet; see chicoryturn status\n", p.Version)
	return nil
}

func rulesShowCommand() *command {
	c := &client{}
	return &command{
		name: "show", about: "Prints the rules in force.", flags: c.opsFlags,
		run: func(ctx context.Context) error {
			text, err := c.call(ctx, http.MethodGet, c.opsAddr, "/rules", nil, nil)
			if err == nil {
				fmt.Print(string(text))
			}
			return err
		},
	}
}

func rulesHistoryCommand() *command {
	c := &client{}
	return &command{
		name: "history", about: "Lists every accepted change.", flags: c.opsFlags,
		run: func(ctx context.Context) error {
			var list []agent.History
			text, err := c.call(ctx, http.MethodGet, c.opsAddr, "/rules/history", nil, &list)
			if err != nil {
				return err
			}
			c.print(text, func() {
				for _, h := range list {
					fmt.Printf("%6d  %s  %-9s %-20s %s\n", h.Version, h.At.Format(time.RFC3339), h.Kind, h.By, h.What)
				}
			})
			return nil
		},
	}
}

func keyCommand() *command {
	return &command{name: "key", about: "Grants, withdraws and lists keys.", subcommands: []*command{keyGrantCommand(), keyWithdrawCommand(), keyListCommand()}}
}

func keyGrantCommand() *command {
	c, team := &client{}, ""
	return &command{
		name: "grant", about: "Creates a key for a team and shows it once. Example: chicoryturn key grant press -o 10.0.0.1:7102",
		flags: func(s *flaggy.Subcommand) {
			s.AddPositionalValue(&team, "team", 1, true, "team")
			c.opsFlags(s)
			c.byFlag(s)
		},
		run: func(ctx context.Context) error {
			var p httpx.Pushed
			text, err := c.call(ctx, http.MethodPost, c.opsAddr, "/keys?team="+team, nil, &p)
			if err != nil {
				return err
			}
			c.print(text, func() { fmt.Printf("%s\n", p.Key) })
			return c.awaitInForce(ctx, p)
		},
	}
}

func keyWithdrawCommand() *command {
	c, id := &client{}, ""
	return &command{
		name: "withdraw", about: "Ends a key. Example: chicoryturn key withdraw 1f2e3d4c -o 10.0.0.1:7102",
		flags: func(s *flaggy.Subcommand) {
			s.AddPositionalValue(&id, "id", 1, true, "the part of the key before the dot")
			c.opsFlags(s)
			c.byFlag(s)
		},
		run: func(ctx context.Context) error {
			var p httpx.Pushed
			text, err := c.call(ctx, http.MethodDelete, c.opsAddr, "/keys/"+id, nil, &p)
			if err != nil {
				return err
			}
			c.print(text, func() { fmt.Printf("withdrawn as version %d\n", p.Version) })
			return c.awaitInForce(ctx, p)
		},
	}
}

func keyListCommand() *command {
	c := &client{}
	return &command{
		name: "list", about: "Lists keys without their secrets.", flags: c.opsFlags,
		run: func(ctx context.Context) error {
			var keys []httpx.Key
			text, err := c.call(ctx, http.MethodGet, c.opsAddr, "/keys", nil, &keys)
			if err != nil {
				return err
			}
			c.print(text, func() {
				for _, k := range keys {
					fmt.Printf("%-18s %-16s %s\n", k.ID, k.Team, k.State)
				}
			})
			return nil
		},
	}
}
