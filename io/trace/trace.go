// Package trace finds the life of one job in the logs of all VMs.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLine bounds one line of a log, in bytes.
const maxLine = 1 << 20

// shown are the fields printed for each line, in this order.
var shown = []string{"result", "queue", "task", "run", "worker", "after", "because", "took", "error"}

// Line is one line of a log that names the job.
type Line struct {
	// At is the time of day as the VM wrote it; VMs' clocks may differ.
	At   string
	VM   string
	Part string
	What string
	// Fields holds the line's other fields as text.
	Fields map[string]string
}

// ReadError reports a log that cannot be read.
type ReadError struct{ Err error }

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("log cannot be read: %v", e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// Read returns the lines of a log that name a job, in order of time. Lines may
// have a prefix before their JSON; those that are not JSON are passed over and
// counted.
func Read(r io.Reader, job string) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLine)
	for s.Scan() {
		text := s.Text()
		if !strings.Contains(text, job) {
			continue
		}
		start := strings.IndexByte(text, '{')
		var fields map[string]any
		if start < 0 || json.Unmarshal([]byte(text[start:]), &fields) != nil {
			skipped++
			continue
		}
		if fields["job"] == job {
			lines = append(lines, newLine(fields))
		}
	}
	if err := s.Err(); err != nil {
		return nil, 0, &ReadError{err}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return strings.Compare(a.At, b.At) })
	return lines, skipped, nil
}

func newLine(fields map[string]any) Line {
	l := Line{Fields: map[string]string{}}
	for name, val := range fields {
		text := fmt.Sprint(val)
		switch name {
		case "time":
			l.At = text
		case "vm":
			l.VM = text
		case "part":
			l.Part = text
		case "msg":
			l.What = text
		default:
			l.Fields[name] = text
		}
	}
	return l
}

// String returns the line for people.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-22s %-6s %s", l.At, l.VM, l.Part, l.What)
	for _, f := range shown {
		if v := l.Fields[f]; v != "" {
			fmt.Fprintf(&b, "  %s=%s", f, v)
		}
	}
	return b.String()
}

// Summary sums up what the lines tell: how the job ended, and what took most
// of its time.
func Summary(lines []Line) string {
	if len(lines) == 0 {
		return "no line names this job: no call for it has reached a VM whose log this is"
	}
	var refused, accepted, ended, waited, failed string
	fails := 0
	for _, l := range lines {
		switch {
		case l.What == "submit" && l.Fields["result"] == "accepted":
			accepted = l.At
		case l.What == "submit":
			refused = fmt.Sprintf("%s (%s)", l.Fields["result"], l.Fields["error"])
		case l.What == "waits":
			waited = fmt.Sprintf("%s after %s", l.Fields["because"], l.Fields["after"])
		case l.What == "run ended failed":
			fails++
			failed = l.Fields["worker"]
		case strings.HasPrefix(l.What, "job "):
			ended = strings.TrimSpace(l.What + " after " + l.Fields["after"] + " " + l.Fields["because"])
		}
	}
	out := []string{}
	switch {
	case accepted == "" && refused != "":
		out = append(out, "never accepted; last refused: "+refused)
	case accepted != "" && ended == "":
		out = append(out, "accepted, and its end is not in these logs")
	case ended != "":
		out = append(out, ended)
	}
	if waited != "" {
		out = append(out, "last waited for: "+waited)
	}
	if fails > 0 {
		out = append(out, fmt.Sprintf("%d runs failed, the last on %s", fails, failed))
	}
	return strings.Join(out, "; ")
}

// Span returns the time between the first and the last line, if both can be
// read.
func Span(lines []Line) time.Duration {
	if len(lines) == 0 {
		return 0
	}
	const form = "15:04:05.000"
	first, err1 := time.Parse(form, lines[0].At)
	last, err2 := time.Parse(form, lines[len(lines)-1].At)
	if err1 != nil || err2 != nil {
		return 0
	}
	return last.Sub(first)
}
