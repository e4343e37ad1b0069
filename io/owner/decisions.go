package owner

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core/fleet"
)

// logDecisions logs what the scheduler has decided since the last call.
func (o *Owner) logDecisions() {
	for _, d := range o.scheduler.Decisions() {
		LogDecision(o.log, d)
	}
	for _, err := range o.scheduler.RefusedEvents() {
		o.log.WithError(err).Error("state chart refused an event")
	}
}

// LogDecision logs a decision.
func LogDecision(log *logrus.Entry, d fleet.Decision) {
	log.WithFields(decisionFields(d)).Info(d.Event)
}

// decisionFields returns the log fields of a decision.
func decisionFields(d fleet.Decision) logrus.Fields {
	f := logrus.Fields{"epoch": d.Epoch, "confirmed": ageText(d.Confirmed)}
	if d.Job != "" {
		f["job"] = d.Job
	}
	if d.Task != "" {
		f["task"] = d.Task
	}
	if d.Worker != "" {
		f["worker"] = d.Worker
	}
	if d.Run > 0 {
		f["run"] = d.Run
	}
	switch {
	case d.FirstEnd > 0:
		f["from"], f["to"] = d.FirstEnd, d.LastEnd
	case d.LastEnd > 0:
		f["end"] = d.LastEnd
	}
	if d.Count > 0 {
		f["count"] = d.Count
	}
	if len(d.Workers) > 0 {
		names := make([]string, 0, len(d.Workers))
		for _, id := range d.Workers {
			names = append(names, string(id))
		}
		f["workers"] = strings.Join(names, " ")
	}
	if d.Wait > 0 {
		f["after"] = ageText(d.Wait)
	}
	if d.Reason != "" {
		f["because"] = d.Reason
	}
	return f
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
