package trace

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
)

// ackEvents are the messages that log an acknowledgement of ends to a worker.
var ackEvents = core.NewSet(fleet.EventAcked, fleet.EventAckUnconfirmed)

// ReadTask returns the log lines on orders for one task and on acknowledgements of its ends,
// by all owners, sorted by time, and the number of lines that seem to be such and contain no
// valid JSON.
func ReadTask(r io.Reader, task string) (lines []Line, skipped int, err error) {
	all, skipped, err := scan(r, []string{task, fleet.EventAcked, fleet.EventAckUnconfirmed}, func(fields map[string]any) bool {
		msg, _ := fields["msg"].(string)
		return fields["task"] == task || ackEvents.Has(msg)
	})
	if err != nil {
		return nil, 0, err
	}
	var ends []Line
	for _, l := range all {
		if l.Fields["end"] != "" {
			ends = append(ends, l)
		}
	}
	logged := core.NewSet[string]()
	for _, l := range all {
		if !ackEvents.Has(l.Message) || acksNewEnd(l, ends, logged) {
			lines = append(lines, l)
		}
	}
	return lines, skipped, nil
}

// acksNewEnd reports whether an acknowledgement covers one of the ends, and is the first one of
// its owner that does: the numbers of ends start again with a worker's incarnation. It adds
// what it covers to logged.
func acksNewEnd(l Line, ends []Line, logged core.Set[string]) bool {
	from, fromErr := strconv.ParseUint(l.Fields["from"], 10, 64)
	to, toErr := strconv.ParseUint(l.Fields["to"], 10, 64)
	if fromErr != nil || toErr != nil {
		return false
	}
	isNew := false
	for _, e := range ends {
		n, err := strconv.ParseUint(e.Fields["end"], 10, 64)
		key := strings.Join([]string{l.Message, l.VM, l.Fields["epoch"], l.Fields["worker"], e.Fields["end"]}, " ")
		if err != nil || e.Fields["worker"] != l.Fields["worker"] || n < from || n > to || e.At > l.At || logged.Has(key) {
			continue
		}
		logged.Add(key)
		isNew = true
	}
	return isNew
}

// TaskSummary describes in one line who started the task how often, and starts after an owner
// had read that a run was done.
func TaskSummary(lines []Line) string {
	starts := 0
	owners := core.NewSet[string]()
	var done *Line
	var out []string
	for i, l := range lines {
		switch l.Message {
		case fleet.EventPlaced:
			starts++
			owners.Add(l.VM + " " + l.Fields["epoch"])
			if done != nil {
				out = append(out, fmt.Sprintf("run %s was placed by %s in epoch %s, %s after %s had read in epoch %s that run %s was done",
					l.Fields["run"], l.VM, l.Fields["epoch"], Span([]Line{*done, l}).Round(time.Millisecond), done.VM, done.Fields["epoch"], done.Fields["run"]))
			}
		case fleet.EventRunEnded + string(fleet.EndDone):
			if done == nil {
				done = &lines[i]
			}
		}
	}
	return strings.Join(append([]string{fmt.Sprintf("%d starts by %d owners", starts, len(owners))}, out...), "; ")
}
