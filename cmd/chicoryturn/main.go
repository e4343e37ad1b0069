// Command chicoryturn runs the scheduler's processes and provides tools for callers
// and operators.
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

const version = "0.1.0"

const about = `Chicoryturn is a cluster scheduler for mixed workloads.

Exit codes: 0 done, 1 failed, 2 bad input or settings, 3 refused by the system.

Examples:
  chicoryturn demo
  chicoryturn gate -s gate.toml
  chicoryturn rules push rules.toml -o 10.0.0.1:7102 -b "Mia Hart"
  chicoryturn job submit job.json -a 10.0.0.1:7100 -k KEY`

// command is a subcommand. It has either a run function or subcommands.
type command struct {
	name  string
	about string
	// flags adds the flags and positional arguments.
	flags       func(c *flaggy.Subcommand)
	run         func(ctx context.Context) error
	subcommands []*command
	// parsed is the flaggy subcommand; its field Used is set if the user gave it.
	parsed *flaggy.Subcommand
}

// InputError reports invalid input.
type InputError struct{ Reason string }

// Error implements error.
func (e *InputError) Error() string { return e.Reason }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(exitCode(run(ctx)))
}

// exitCode prints err, if any, and returns the exit code for it.
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
	if topic, ok := helpTopic(os.Args[1:]); ok {
		return explain(topic)
	}
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

// attach registers a subcommand and, below it, its own subcommands with flaggy.
func attach(cmd *command, register func(*flaggy.Subcommand)) {
	cmd.parsed = flaggy.NewSubcommand(cmd.name)
	cmd.parsed.Description = cmd.about
	if cmd.flags != nil {
		cmd.flags(cmd.parsed)
	}
	for _, sub := range cmd.subcommands {
		attach(sub, func(s *flaggy.Subcommand) { cmd.parsed.AttachSubcommand(s, 1) })
	}
	register(cmd.parsed)
}

// dispatch runs the subcommand that was given on the command line.
func dispatch(ctx context.Context, cmds []*command, showHelp func()) error {
	for _, cmd := range cmds {
		if !cmd.parsed.Used {
			continue
		}
		if len(cmd.subcommands) > 0 {
			return dispatch(ctx, cmd.subcommands, showHelp)
		}
		return cmd.run(ctx)
	}
	showHelp()
	return &InputError{"no subcommand given"}
}

func versionCommand() *command {
	return &command{name: "version", about: "Prints the version.", run: func(context.Context) error {
		fmt.Println("chicoryturn", version)
		return nil
	}}
}
