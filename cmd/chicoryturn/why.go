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

// whyCommand returns the subcommand that prints the history of one job.
func whyCommand() *command {
	job, file := "", ""
	return &command{
		name:  "why",
		about: "Prints the history of one job from the logs of all VMs, read from a file or standard input.",
		flags: func(c *flaggy.Subcommand) {
			c.AddPositionalValue(&job, "job", 1, true, "name of the job")
			c.String(&file, "f", "file", "log file (default: standard input)")
		},
		run: func(context.Context) error { return printTrace(os.Stdout, job, file) },
	}
}

// printTrace prints the log lines of a job and a summary of them.
func printTrace(out io.Writer, job, file string) error {
	in := io.Reader(os.Stdin)
	if file != "" {
		f, err := os.Open(file)
		if err != nil {
			return &InputError{err.Error()}
		}
		defer f.Close()
		in = f
	}
	lines, skipped, err := trace.Read(in, job)
	if err != nil {
		return &InputError{err.Error()}
	}
	for _, l := range lines {
		fmt.Fprintln(out, l)
	}
	fmt.Fprintf(out, "\n%d lines over %s: %s\n", len(lines), trace.Span(lines).Round(time.Millisecond), trace.Summary(lines))
	if skipped > 0 {
		fmt.Fprintf(out, "%d lines contain the job's name but no valid JSON\n", skipped)
	}
	return nil
}
