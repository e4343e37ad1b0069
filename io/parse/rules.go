// Package parse parses the rules file and the settings file of a process. It reports
// every error of a file with its line.
package parse

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"chicoryturn/core"
	"chicoryturn/core/rules"
)

// MaxRules is the largest size of a rules file, in bytes.
const MaxRules = 1 << 20

// duration is a time.Duration that is written like "1.5s".
type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return &ValueError{"time span", string(text), `a number with a unit, such as "500ms", "2s" or "4h"`}
	}
	*d = duration(parsed)
	return nil
}

// ValueError reports a value of the wrong form.
type ValueError struct {
	// Kind is the type of value, Text the value itself, and Expected the form that it
	// should have.
	Kind, Text, Expected string
}

// Error implements error.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s %q is not %s", e.Kind, e.Text, e.Expected)
}

// teamRule is the TOML form of a rules.Team.
type teamRule struct {
	Share float64 `toml:"share"`
	Cores float64 `toml:"cores"`
	Slots int64   `toml:"slots"`
}

// queueRule is the TOML form of a rules.Queue.
type queueRule struct {
	Kind    string    `toml:"kind"`
	Open    bool      `toml:"open"`
	Teams   []string  `toml:"teams"`
	Service string    `toml:"service"`
	Wait    *duration `toml:"wait"`
	Run     *duration `toml:"run"`
	Repeat  bool      `toml:"repeat"`
	Backlog *int      `toml:"backlog"`
	Start   duration  `toml:"start"`
	Due     duration  `toml:"due"`
	Cores   float64   `toml:"cores"`
}

// rulesFile is the TOML form of a rules file.
type rulesFile struct {
	Team  map[string]teamRule  `toml:"team"`
	Queue map[string]queueRule `toml:"queue"`
}

// ruleSource is the line of a rule and the person who requested it.
type ruleSource struct {
	line        int
	requestedBy string
}

// Rules parses and checks a rules file. The error, if any, is a core.LineErrors.
func Rules(file string, text []byte) (*rules.Set, error) {
	if len(text) > MaxRules {
		return nil, core.LineErrors{{File: file, Line: 1, Reason: fmt.Sprintf("larger than %d bytes", MaxRules)}}
	}
	sources, errs := findSources(file, text)
	var f rulesFile
	if err := decode(text, &f); err != nil {
		return nil, append(errs, lineErrors(file, err)...)
	}
	set := newSet(&f, sources)
	errs = append(errs, set.Check(file)...)
	if len(errs) > 0 {
		return nil, errs
	}
	return set, nil
}

// decode decodes TOML. Unknown names are errors.
func decode(text []byte, into any) error {
	return toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
}

// lineErrors converts an error of the TOML library to errors with lines.
func lineErrors(file string, err error) core.LineErrors {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var out core.LineErrors
		for i := range strict.Errors {
			line, _ := strict.Errors[i].Position()
			out = append(out, &core.LineError{File: file, Line: line, Reason: fmt.Sprintf("unknown name %q", strings.Join(strict.Errors[i].Key(), "."))})
		}
		return out
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, _ := bad.Position()
		reason := strings.TrimPrefix(bad.Error(), "toml: ")
		if key := strings.Join(bad.Key(), "."); key != "" {
			reason = key + ": " + reason
		}
		return core.LineErrors{{File: file, Line: line, Reason: reason}}
	}
	return core.LineErrors{{File: file, Line: 1, Reason: err.Error()}}
}

// findSources returns the line and comment of every rule, by table and name. Each rule
// is one line of the form name = { ... } # who asked for it.
func findSources(file string, text []byte) (map[string]ruleSource, core.LineErrors) {
	sources := map[string]ruleSource{}
	var errs core.LineErrors
	p := unstable.Parser{KeepComments: true}
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			table = keyName(e.Key())
		case unstable.KeyValue:
			line := lineOf(text, e)
			name := keyName(e.Key())
			source := ruleSource{line: line, requestedBy: trailingComment(e)}
			if e.Value().Kind != unstable.InlineTable {
				errs = append(errs, &core.LineError{File: file, Line: line,
					Reason: fmt.Sprintf("a rule is one line of the form %s = { ... } # who asked for it", name)})
			}
			sources[table+"."+name] = source
		}
	}
	return sources, errs
}

// keyName returns a key with its parts separated by dots.
func keyName(it unstable.Iterator) string {
	var parts []string
	for it.Next() {
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, ".")
}

// lineOf returns the line number of an expression's key.
func lineOf(text []byte, e *unstable.Node) int {
	it := e.Key()
	it.Next()
	return 1 + bytes.Count(text[:it.Node().Raw.Offset], []byte("\n"))
}

// trailingComment returns the text of the comment at the end of an expression's line.
func trailingComment(e *unstable.Node) string {
	next := e.Next()
	if next == nil || next.Kind != unstable.Comment {
		return ""
	}
	return strings.TrimSpace(strings.TrimLeft(string(next.Data), "#"))
}

// newSet converts a decoded rules file to the type of package rules. The sources add
// the line of every rule and the person who requested it.
func newSet(f *rulesFile, sources map[string]ruleSource) *rules.Set {
	set := &rules.Set{Teams: map[core.Team]rules.Team{}, Queues: map[core.Queue]rules.Queue{}}
	for name, t := range f.Team {
		source := sources["team."+name]
		set.Teams[core.Team(name)] = rules.Team{
			Name: core.Team(name), Share: t.Share, Cores: int64(t.Cores * 1000), Slots: t.Slots,
			RequestedBy: source.requestedBy, Line: source.line,
		}
	}
	for name, q := range f.Queue {
		source := sources["queue."+name]
		out := rules.Queue{
			Name: core.Queue(name), Kind: rules.Kind(q.Kind), Public: q.Open, Service: core.Service(q.Service),
			Retry: q.Repeat, Start: time.Duration(q.Start), Due: time.Duration(q.Due), Cores: int64(q.Cores * 1000),
			MaxWait: durationOr(q.Wait, rules.DefaultWait), RunTimeout: durationOr(q.Run, rules.DefaultRun), Backlog: rules.DefaultBacklog,
			RequestedBy: source.requestedBy, Line: source.line,
		}
		if q.Backlog != nil {
			out.Backlog = *q.Backlog
		}
		for _, t := range q.Teams {
			out.Teams = append(out.Teams, core.Team(t))
		}
		set.Queues[out.Name] = out
	}
	return set
}

// durationOr returns a duration, or the default if it is not set.
func durationOr(d *duration, defaultValue time.Duration) time.Duration {
	if d == nil {
		return defaultValue
	}
	return time.Duration(*d)
}
