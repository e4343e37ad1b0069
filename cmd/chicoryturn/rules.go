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
	// inForceTimeout bounds the wait for a change to be in force in all processes.
	inForceTimeout      = 10 * time.Second
	inForcePollInterval = 100 * time.Millisecond
)

func rulesCommand() *command {
	return &command{name: "rules", about: "Checks, pushes and shows the rules file.", subcommands: []*command{
		rulesCheckCommand(), rulesPushCommand(), rulesShowCommand(), rulesHistoryCommand(),
	}}
}

// readRules reads and validates a rules file.
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
			fmt.Println("no errors found")
			return nil
		},
	}
}

func rulesPushCommand() *command {
	c, file, base := &client{}, "", 0
	return &command{
		name: "push", about: "Replaces the rules in force with a rules file. Example: chicoryturn rules push rules.toml -o 10.0.0.1:7102 -b Mia",
		flags: func(s *flaggy.Subcommand) {
			s.AddPositionalValue(&file, "file", 1, true, "rules file (TOML)")
			s.Int(&base, "v", "base", "refuse the change unless this version is in force")
			c.opsFlags(s)
			c.operatorFlag(s)
		},
		run: func(ctx context.Context) error {
			text, err := readRules(file)
			if err != nil {
				return err
			}
			var accepted httpx.ChangeResult
			body, err := c.call(ctx, http.MethodPost, c.opsAddr, fmt.Sprintf("/rules?base=%d", base), text, &accepted)
			if err != nil {
				return err
			}
			c.print(body, func() { fmt.Printf("accepted as version %d\n", accepted.Version) })
			return c.awaitInForce(ctx, accepted)
		},
	}
}

// awaitInForce waits until a change is in force in every live process. After
// inForceTimeout it prints a warning and returns nil.
func (c *client) awaitInForce(ctx context.Context, accepted httpx.ChangeResult) error {
	began := time.Now()
	for time.Since(began) < inForceTimeout {
		var config httpx.Config
		if _, err := c.call(ctx, http.MethodGet, c.opsAddr, "/config", nil, &config); err != nil {
			return err
		}
		if config.Lowest >= accepted.Version {
			if !c.printJSON {
				fmt.Printf("in force in all processes after %s\n", time.Since(began).Round(time.Millisecond))
			}
			return nil
		}
		timer := time.NewTimer(inForcePollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	fmt.Fprintf(os.Stderr, "accepted, but version %d is not yet in force in every process; see chicoryturn status\n", accepted.Version)
	return nil
}

func rulesShowCommand() *command {
	c := &client{}
	return &command{
		name: "show", about: "Prints the rules in force.", flags: c.opsFlags,
		run: func(ctx context.Context) error {
			body, err := c.call(ctx, http.MethodGet, c.opsAddr, "/rules", nil, nil)
			if err == nil {
				fmt.Print(string(body))
			}
			return err
		},
	}
}

func rulesHistoryCommand() *command {
	c := &client{}
	return &command{
		name: "history", about: "Lists all accepted changes.", flags: c.opsFlags,
		run: func(ctx context.Context) error {
			var changes []agent.HistoryEntry
			body, err := c.call(ctx, http.MethodGet, c.opsAddr, "/rules/history", nil, &changes)
			if err != nil {
				return err
			}
			c.print(body, func() {
				for _, change := range changes {
					fmt.Printf("%6d  %s  %-9s %-20s %s\n", change.Version, change.At.Format(time.RFC3339), change.Kind, change.By, change.Subject)
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
		name: "grant", about: "Creates a key for a team and prints it; it can't be printed again. Example: chicoryturn key grant press -o 10.0.0.1:7102",
		flags: func(s *flaggy.Subcommand) {
			s.AddPositionalValue(&team, "team", 1, true, "team")
			c.opsFlags(s)
			c.operatorFlag(s)
		},
		run: func(ctx context.Context) error {
			var accepted httpx.ChangeResult
			body, err := c.call(ctx, http.MethodPost, c.opsAddr, "/keys?team="+team, nil, &accepted)
			if err != nil {
				return err
			}
			c.print(body, func() { fmt.Printf("%s\n", accepted.Key) })
			return c.awaitInForce(ctx, accepted)
		},
	}
}

func keyWithdrawCommand() *command {
	c, id := &client{}, ""
	return &command{
		name: "withdraw", about: "Withdraws a key. Example: chicoryturn key withdraw 1f2e3d4c -o 10.0.0.1:7102",
		flags: func(s *flaggy.Subcommand) {
			s.AddPositionalValue(&id, "id", 1, true, "key ID: the part of the key before the dot")
			c.opsFlags(s)
			c.operatorFlag(s)
		},
		run: func(ctx context.Context) error {
			var accepted httpx.ChangeResult
			body, err := c.call(ctx, http.MethodDelete, c.opsAddr, "/keys/"+id, nil, &accepted)
			if err != nil {
				return err
			}
			c.print(body, func() { fmt.Printf("withdrawal accepted as version %d\n", accepted.Version) })
			return c.awaitInForce(ctx, accepted)
		},
	}
}

func keyListCommand() *command {
	c := &client{}
	return &command{
		name: "list", about: "Lists keys without their secrets.", flags: c.opsFlags,
		run: func(ctx context.Context) error {
			var keys []httpx.Key
			body, err := c.call(ctx, http.MethodGet, c.opsAddr, "/keys", nil, &keys)
			if err != nil {
				return err
			}
			c.print(body, func() {
				for _, key := range keys {
					fmt.Printf("%-18s %-16s %s\n", key.ID, key.Team, key.State)
				}
			})
			return nil
		},
	}
}
