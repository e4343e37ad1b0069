// Package trace collects the log lines of one job from the logs of all VMs and
// summarises them.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
)

// maxLine bounds the length of a log line in bytes.
const maxLine = 1 << 20

// timeLayout is the format of the time of day in logs.
const timeLayout = "15:04:05.000"

// printedFields are the fields that String prints, in this order.
var printedFields = []string{"result", "queue", "task", "run", "worker", "incarnation", "end", "from", "to", "epoch", "confirmed", "sent", "after", "reply", "because", "class", "estimate", "wait", "slack", "age", "took", "error"}

// endEvents are the messages that log the end of a job.
var endEvents = core.NewSet(fleet.EndEvent(jobs.Completed), fleet.EndEvent(jobs.Failed), fleet.EndEvent(jobs.Cancelled))

// Line is one log line of the job.
type Line struct {
	// At is the time of day as logged by the VM; the clocks of VMs may differ.
	At   string
	VM   string
	Part string
	// Message is the log message.
	Message string
	// Fields holds the other fields of the line as text.
	Fields map[string]string
}

// ReadError reports a log that cannot be read.
type ReadError struct{ Err error }

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("log cannot be read: %v", e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// Read returns the log lines of a job, sorted by time, and the number of lines
// that contain the job's name but no valid JSON. A line may have a prefix before
// its JSON.
func Read(r io.Reader, job string) (lines []Line, skipped int, err error) {
	return scan(r, []string{job}, func(fields map[string]any) bool { return fields["job"] == job })
}

// scan returns the log lines that keep selects among those that contain one of the texts,
// sorted by time, and the number of those that contain no valid JSON.
func scan(r io.Reader, texts []string, keep func(fields map[string]any) bool) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		if !slices.ContainsFunc(texts, func(s string) bool { return strings.Contains(text, s) }) {
			continue
		}
		fields, ok := decode(text)
		if !ok {
			skipped++
			continue
		}
		if keep(fields) {
			lines = append(lines, newLine(fields))
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, &ReadError{err}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return strings.Compare(a.At, b.At) })
	return lines, skipped, nil
}

// decode returns the JSON fields of a line. Numbers keep their digits: those of runs and ends
// are large.
func decode(text string) (fields map[string]any, ok bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return nil, false
	}
	d := json.NewDecoder(strings.NewReader(text[start:]))
	d.UseNumber()
	err := d.Decode(&fields)
	return fields, err == nil
}

// newLine returns the line with the given JSON fields.
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
			l.Message = text
		default:
			l.Fields[name] = text
		}
	}
	return l
}

// String formats the line for printing.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-22s %-6s %s", l.At, l.VM, l.Part, l.Message)
	for _, f := range printedFields {
		if v := l.Fields[f]; v != "" {
			fmt.Fprintf(&b, "  %s=%s", f, v)
		}
	}
	return b.String()
}

// Summary describes in one line how the job ended, what it waited for last and
// how many of its runs failed.
func Summary(lines []Line) string {
	if len(lines) == 0 {
		return "no line names this job: no call for it reached a VM whose log was read"
	}
	var refused, accepted, ended, lastWait, lastFailedOn string
	failedRuns, refusals := 0, 0
	for _, l := range lines {
		switch {
		case l.Message == "submit" && l.Fields["result"] == "accepted":
			accepted = l.At
		case l.Message == "submit":
			refusals++
			refused = fmt.Sprintf("%s (%s)", l.Fields["result"], l.Fields["error"])
		case l.Message == "waits":
			lastWait = fmt.Sprintf("%s after %s", l.Fields["because"], l.Fields["after"])
		case l.Message == "run ended failed":
			failedRuns++
			lastFailedOn = l.Fields["worker"]
		case endEvents.Has(l.Message):
			ended = strings.TrimSpace(l.Message + " after " + l.Fields["after"] + " " + l.Fields["because"])
		}
	}
	out := []string{}
	switch {
	case accepted == "" && refused != "":
		out = append(out, "never accepted; last refused: "+refused)
	case accepted != "" && ended == "":
		out = append(out, "accepted; these logs do not contain its end")
	case ended != "":
		out = append(out, ended)
	}
	if accepted != "" && refusals > 0 {
		out = append(out, fmt.Sprintf("refused %d times, last: %s", refusals, refused))
	}
	if lastWait != "" {
		out = append(out, "last waited for: "+lastWait)
	}
	if failedRuns > 0 {
		out = append(out, fmt.Sprintf("%d runs failed, the last on %s", failedRuns, lastFailedOn))
	}
	return strings.Join(out, "; ")
}

// Span returns the time between the first and the last line, or 0 if one of
// them has no valid time.
func Span(lines []Line) time.Duration {
	if len(lines) == 0 {
		return 0
	}
	first, firstErr := time.Parse(timeLayout, lines[0].At)
	last, lastErr := time.Parse(timeLayout, lines[len(lines)-1].At)
	if firstErr != nil || lastErr != nil {
		return 0
	}
	return last.Sub(first)
}
