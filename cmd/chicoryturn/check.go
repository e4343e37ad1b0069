package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"chicoryturn/core/lint"
	"chicoryturn/platform"
)

// ConfigError reports that a configuration has errors, which have been printed.
type ConfigError struct {
	File   string
	Errors int
}

// Error implements error.
func (e *ConfigError) Error() string { return fmt.Sprintf("%s: %d errors", e.File, e.Errors) }

// checkCommand returns the subcommand that checks a settings file or a configuration of the
// platform.
func checkCommand() *command {
	file, config, inForce := "", "", ""
	return &command{
		name:  "check",
		about: "Checks a settings file, or with -c a configuration before it is sent. Example: chicoryturn check -c new.json -v current.json",
		flags: func(c *flaggy.Subcommand) {
			c.AddPositionalValue(&file, "file", 1, false, "settings file (TOML)")
			c.String(&config, "c", "config", "configuration (JSON), as in row config of table op")
			c.String(&inForce, "v", "inforce", "configuration in force (JSON), to compare with that of -c")
		},
		run: func(context.Context) error {
			switch {
			case (file == "") == (config == ""):
				return &InputError{"give either a settings file or a configuration with -c"}
			case config != "":
				return checkConfig(os.Stdout, config, inForce)
			case inForce != "":
				return &InputError{"-v needs -c"}
			}
			return checkSettings(file)
		},
	}
}

func checkSettings(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return &InputError{err.Error()}
	}
	local, err := platform.ParseSettings(text)
	if err != nil {
		return &InputError{err.Error()}
	}
	fmt.Printf("%s: no errors found; VM %s serves callers at %s\n", file, local.Node.VM, local.Node.Callers)
	return nil
}

// checkConfig prints the findings on a configuration, compared with the one in force unless its
// file is empty, and returns a ConfigError if there are errors.
func checkConfig(w io.Writer, file, inForce string) error {
	next, err := os.ReadFile(file)
	var current []byte
	if err == nil && inForce != "" {
		current, err = os.ReadFile(inForce)
	}
	if err != nil {
		return &InputError{err.Error()}
	}
	findings, err := platform.CheckConfig(next, current)
	if err != nil {
		return &InputError{err.Error()}
	}
	lines := map[lint.Group][]string{}
	for _, f := range findings {
		line := platform.PlaceText(f.Place) + ": " + f.Text
		if f.Running {
			line += " [accepted jobs]"
		}
		lines[f.Group] = append(lines[f.Group], line)
	}
	for _, g := range lint.Groups() {
		if g != lint.Changes || inForce != "" {
			fmt.Fprintf(w, "%s: %d\n", g, len(lines[g]))
		}
		for _, line := range lines[g] {
			fmt.Fprintln(w, "  "+line)
		}
	}
	if n := len(lines[lint.Errors]); n > 0 {
		return &ConfigError{file, n}
	}
	return nil
}
