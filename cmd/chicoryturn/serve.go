package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"chicoryturn/core"
	"chicoryturn/io/parse"
	"chicoryturn/io/proc"
)

// readSettings reads and validates the settings file of a process.
func readSettings(file string, role core.Role) (parse.Settings, error) {
	if file == "" {
		return parse.Settings{}, &InputError{"no settings file given; use -s FILE (chicoryturn help settings lists the settings)"}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return parse.Settings{}, &InputError{err.Error()}
	}
	return parse.ReadSettings(file, text, role)
}

// serveCommand returns the subcommand that runs a process of a role.
func serveCommand(role core.Role, about string, serve func(ctx context.Context, s parse.Settings, stop <-chan struct{}) error) *command {
	file := ""
	return &command{
		name:  string(role),
		about: about,
		flags: func(c *flaggy.Subcommand) { c.String(&file, "s", "settings", "settings file (TOML)") },
		run: func(ctx context.Context) error {
			s, err := readSettings(file, role)
			if err != nil {
				return err
			}
			// SIGINT or SIGTERM starts a drain; the process exits once the drain
			// has finished.
			return serve(context.WithoutCancel(ctx), s, ctx.Done())
		},
	}
}

func gateCommand() *command {
	return serveCommand(core.RoleGate, "Runs a gate, which accepts callers' requests and jobs.", proc.Gate)
}

func schedCommand() *command {
	return serveCommand(core.RoleSched, "Runs a sched, which owns cells and places their tasks.",
		func(ctx context.Context, s parse.Settings, stop <-chan struct{}) error {
			return proc.Sched(ctx, s, stop)
		})
}

func helpCommand() *command {
	topic := ""
	return &command{
		name:  "help",
		about: "Explains a topic. The only topic is settings.",
		flags: func(c *flaggy.Subcommand) { c.AddPositionalValue(&topic, "topic", 1, false, "settings") },
		run:   func(context.Context) error { return explain(topic) },
	}
}

// helpTopic returns the topic of a call of help. The parser takes the word help for its
// own flag, wherever it stands.
func helpTopic(args []string) (string, bool) {
	if len(args) != 2 || args[0] != "help" {
		return "", false
	}
	return args[1], true
}

// explain prints the help on a topic.
func explain(topic string) error {
	if topic != "settings" && topic != "" {
		return &InputError{fmt.Sprintf("no help on %q; the only topic is settings", topic)}
	}
	fmt.Printf("%-10s %-26s %-8s %s\n", "name", "unit", "default", "meaning")
	for _, s := range parse.SettingTable {
		def := s.Default
		if def == "" {
			def = "-"
		}
		fmt.Printf("%-10s %-26s %-8s %s\n", s.Name, s.Unit, def, s.About)
	}
	return nil
}
