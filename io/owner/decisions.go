package owner

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core/fleet"
	"chicoryturn/io/logbuf"
)

// maxDecisionFields is how many fields a decision has at most.
const maxDecisionFields = 14

// logDecisions logs what the scheduler has decided since the last call.
func (o *Owner) logDecisions() {
	for _, d := range o.scheduler.Decisions() {
		LogDecision(o.log, d)
	}
	for _, err := range o.scheduler.RefusedEvents() {
		o.log.WithError(err).Error("state chart refused an event")
	}
}

// LogDecision logs a decision. An owner logs some thousands a second.
func LogDecision(log *logrus.Entry, d fleet.Decision) {
	// The fields are in the order of their keys.
	var array [maxDecisionFields]logbuf.Field
	f := array[:0]
	if d.Wait > 0 {
		f = append(f, logbuf.Text("after", ageText(d.Wait)))
	}
	if d.Reason != "" {
		f = append(f, logbuf.Text("because", d.Reason))
	}
	if d.Class != "" {
		f = append(f, logbuf.Text("class", d.Class))
	}
	f = append(f, logbuf.Text("confirmed", ageText(d.Confirmed)))
	if d.Count > 0 {
		f = append(f, logbuf.Number("count", d.Count))
	}
	if d.FirstEnd == 0 && d.LastEnd > 0 {
		f = append(f, logbuf.Number("end", d.LastEnd))
	}
	f = append(f, logbuf.Number("epoch", d.Epoch))
	if d.FirstEnd > 0 {
		f = append(f, logbuf.Number("from", d.FirstEnd))
	}
	if !d.Incarnation.IsZero() {
		f = append(f, logbuf.Number("incarnation", uint64(d.Incarnation.UnixMilli())))
	}
	if d.Job != "" {
		f = append(f, logbuf.Text("job", d.Job))
	}
	if d.Run > 0 {
		f = append(f, logbuf.Number("run", d.Run))
	}
	if d.Task != "" {
		f = append(f, logbuf.Text("task", d.Task))
	}
	if d.FirstEnd > 0 {
		f = append(f, logbuf.Number("to", d.LastEnd))
	}
	if d.Worker != "" {
		f = append(f, logbuf.Text("worker", d.Worker))
	}
	if len(d.Workers) > 0 {
		names := make([]string, 0, len(d.Workers))
		for _, id := range d.Workers {
			names = append(names, string(id))
		}
		f = append(f, logbuf.Text("workers", strings.Join(names, " ")))
	}
	logbuf.Info(log, d.Event, f...)
}

// logClaim logs an event with the reason of the last claim and the age of the record that it
// replaced.
func (o *Owner) logClaim(f logrus.Fields, event string) {
	c := o.election.Claim()
	f["because"], f["age"] = c.Reason, ageText(c.RecordAge)
	o.log.WithFields(f).Info(event)
}

// ageText returns a duration as it is logged.
func ageText(d time.Duration) string { return d.Round(time.Millisecond).String() }
