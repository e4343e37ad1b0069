// Package parse reads the files that people write: the rules file and the
// settings of a process. Every fault is reported with its line.
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

// MaxRules bounds the size of a rules file, in bytes.
const MaxRules = 1 << 20

// duration is a duration written like "1.5s".
type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return &ValueError{"time span", string(text), `a number with a unit, such as "500ms", "2s" or "4h"`}
	}
	*s = duration(d)
	return nil
}

// ValueError reports a value of the wrong form.
type ValueError struct {
	Kind, Text, Expected string
}

// Error implements error.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s %q is not %s", e.Kind, e.Text, e.Expected)
}

type teamRule struct {
	Share float64 `toml:"share"`
	Cores float64 `toml:"cores"`
	Slots int64   `toml:"slots"`
}

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

type rulesFile struct {
	Team  map[string]teamRule  `toml:"team"`
	Queue map[string]queueRule `toml:"queue"`
}

// ruleSource is where a rule stands and who asked for it.
type ruleSource struct {
	line        int
	requestedBy string
}

// Rules reads a rules file. The error, if any, is core.LineErrors.
func Rules(file string, text []byte) (*rules.Set, error) {
	if len(text) > MaxRules {
		return nil, core.LineErrors{{File: file, Line: 1, Reason: fmt.Sprintf("larger than %d bytes", MaxRules)}}
	}
	places, faults := findSources(file, text)
	var f rulesFile
	if err := decode(text, &f); err != nil {
		return nil, append(faults, lineErrors(file, err)...)
	}
	set := newSet(&f, places)
	faults = append(faults, set.Check(file)...)
	if len(faults) > 0 {
		return nil, faults
	}
	return set, nil
}

func decode(text []byte, into any) error {
	return toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
}

// lineErrors turns the library's errors into faults with lines.
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

// findSources finds the line and comment of every rule. Each rule is one line of
// the form name = { ... } # who asked for it.
func findSources(file string, text []byte) (map[string]ruleSource, core.LineErrors) {
	places := map[string]ruleSource{}
	var faults core.LineErrors
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
			at := ruleSource{line: line, requestedBy: trailingComment(e)}
			if e.Value().Kind != unstable.InlineTable {
				faults = append(faults, &core.LineError{File: file, Line: line,
					Reason: fmt.Sprintf("a rule is one line of the form %s = { ... } # who asked for it", name)})
			}
			places[table+"."+name] = at
		}
	}
	return places, faults
}

func keyName(it unstable.Iterator) string {
	var parts []string
	for it.Next() {
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, ".")
}

// lineOf counts the lines before an expression's key.
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

func newSet(f *rulesFile, places map[string]ruleSource) *rules.Set {
	set := &rules.Set{Teams: map[core.Team]rules.Team{}, Queues: map[core.Queue]rules.Queue{}}
	for name, t := range f.Team {
		at := places["team."+name]
		set.Teams[core.Team(name)] = rules.Team{
			Name: core.Team(name), Share: t.Share, Cores: int64(t.Cores * 1000), Slots: t.Slots,
			AskedBy: at.requestedBy, Line: at.line,
		}
	}
	for name, q := range f.Queue {
		at := places["queue."+name]
		out := rules.Queue{
			Name: core.Queue(name), Kind: rules.Kind(q.Kind), Open: q.Open, Service: core.Service(q.Service),
			Repeat: q.Repeat, Start: time.Duration(q.Start), Due: time.Duration(q.Due), Cores: int64(q.Cores * 1000),
			Wait: durationOr(q.Wait, rules.DefaultWait), Run: durationOr(q.Run, rules.DefaultRun), Backlog: rules.DefaultBacklog,
			AskedBy: at.requestedBy, Line: at.line,
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

func durationOr(s *duration, or time.Duration) time.Duration {
	if s == nil {
		return or
	}
	return time.Duration(*s)
}
