package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"chicoryturn/io/trace"
)

// whyCommand returns the subcommand that prints the history of one job or task.
func whyCommand() *command {
	name, file, isTask := "", "", false
	return &command{
		name:  "why",
		about: "Prints the history of one job, or the orders and acknowledgements of one task, from the logs of all VMs, read from a file or standard input.",
		flags: func(c *flaggy.Subcommand) {
			c.AddPositionalValue(&name, "name", 1, true, "name of the job, or ID of the task")
			c.Bool(&isTask, "t", "task", "the name is a task's ID")
			c.String(&file, "f", "file", "log file (default: standard input)")
		},
		run: func(context.Context) error {
			if isTask {
				return printTrace(os.Stdout, name, file, trace.ReadTask, trace.TaskSummary)
			}
			return printTrace(os.Stdout, name, file, trace.Read, trace.Summary)
		},
	}
}

// printTrace prints the log lines of a job or task, as read collects them, and a summary of
// them.
func printTrace(out io.Writer, name, file string, read func(io.Reader, string) ([]trace.Line, int, error), summary func([]trace.Line) string) error {
	in := io.Reader(os.Stdin)
	if file != "" {
		f, err := os.Open(file)
		if err != nil {
			return &InputError{err.Error()}
		}
		defer f.Close()
		in = f
	}
	lines, skipped, err := read(in, name)
	if err != nil {
		return &InputError{err.Error()}
	}
	for _, l := range lines {
		fmt.Fprintln(out, l)
	}
	fmt.Fprintf(out, "\n%d lines over %s: %s\n", len(lines), trace.Span(lines).Round(time.Millisecond), summary(lines))
	if skipped > 0 {
		fmt.Fprintf(out, "%d more lines may belong to it but contain no valid JSON\n", skipped)
	}
	return nil
}
