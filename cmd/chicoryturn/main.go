// Command chicoryturn runs the scheduler's processes and the operators' tools.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"chicoryturn/core"
)

// Exit codes of every subcommand.
const (
	exitOK      = 0
	exitFailed  = 1
	exitInput   = 2
	exitRefused = 3
)

// version is that of the program.
const version = "0.1.0"

const about = `Chicoryturn is a cluster scheduler for unlike workloads.

Exit codes: 0 done, 1 failed, 2 bad input or settings, 3 refused by the system.

Examples:
  chicoryturn demo
  chicoryturn gate -s gate.toml
  chicoryturn rules push rules.toml -o 10.0.0.1:7102 -b "Mia Hart"
  chicoryturn job submit job.json -a 10.0.0.1:7100 -k KEY`

// command is one subcommand.
type command struct {
	name  string
	about string
	// flags attaches the subcommand's flags and positions.
	flags       func(c *flaggy.Subcommand)
	run         func(ctx context.Context) error
	subcommands []*command
	parsed      *flaggy.Subcommand
}

// InputError reports input that cannot be used.
type InputError struct{ Reason string }

// Error implements error.
func (e *InputError) Error() string { return e.Reason }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(exitCode(run(ctx)))
}

func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "chicoryturn:", err)
	var lines core.LineErrors
	var input *InputError
	var refused *core.RefusalError
	switch {
	case errors.As(err, &lines), errors.As(err, &input):
		return exitInput
	case errors.As(err, &refused):
		return exitRefused
	default:
		return exitFailed
	}
}

func run(ctx context.Context) error {
	flaggy.SetName("chicoryturn")
	flaggy.SetDescription(about)
	flaggy.SetVersion(version)
	p := flaggy.DefaultParser
	p.ShowHelpOnUnexpected = true
	cmds := []*command{
		gateCommand(), schedCommand(), nodeCommand(), demoCommand(), rulesCommand(), keyCommand(), jobCommand(),
		statusCommand(), dumpCommand(), whyCommand(), checkCommand(), chartCommand(), helpCommand(), versionCommand(),
	}
	for _, c := range cmds {
		attach(c, func(s *flaggy.Subcommand) { p.AttachSubcommand(s, 1) })
	}
	if err := p.Parse(); err != nil {
		return &InputError{err.Error()}
	}
	return dispatch(ctx, cmds, func() { flaggy.ShowHelp("") })
}

func attach(c *command, to func(*flaggy.Subcommand)) {
	c.parsed = flaggy.NewSubcommand(c.name)
	c.parsed.Description = c.about
	if c.flags != nil {
		c.flags(c.parsed)
	}
	for _, sub := range c.subcommands {
		attach(sub, func(s *flaggy.Subcommand) { c.parsed.AttachSubcommand(s, 1) })
	}
	to(c.parsed)
}

func dispatch(ctx context.Context, cmds []*command, help func()) error {
	for _, c := range cmds {
		if !c.parsed.Used {
			continue
		}
		if len(c.subcommands) > 0 {
			return dispatch(ctx, c.subcommands, help)
		}
		return c.run(ctx)
	}
	help()
	return &InputError{"no subcommand was given"}
}

func versionCommand() *command {
	return &command{name: "version", about: "Prints the version.", run: func(context.Context) error {
		fmt.Println("chicoryturn", version)
		return nil
	}}
}
