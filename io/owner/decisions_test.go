package owner_test

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryturn/core/fleet"
	"chicoryturn/io/logbuf"
	"chicoryturn/io/owner"
)

// frequentDecisions are the decisions of which an owner logs the most.
var frequentDecisions = []fleet.Decision{
	{Event: "placed", Epoch: 3, Confirmed: 65 * time.Millisecond, Job: "caafae8dad7ad37b", Task: "caafae8dad7ad37b.0.0.3", Worker: "i-4df529dea4", Run: 1, Wait: 175 * time.Millisecond},
	{Event: "run ended done", Epoch: 3, Confirmed: 65 * time.Millisecond, Job: "caafae8dad7ad37b", Task: "caafae8dad7ad37b.0.0.3", Worker: "i-4df529dea4", Run: 1, LastEnd: 58},
	{Event: "ends acknowledged", Epoch: 3, Confirmed: 65 * time.Millisecond, Worker: "i-4df529dea4", FirstEnd: 58, LastEnd: 61},
	{Event: "advice received", Epoch: 3, Confirmed: 65 * time.Millisecond, Job: "caafae8dad7ad37b", Task: "caafae8dad7ad37b.0.0", Reason: "86 of 128 workers allowed, tickets valid for 1.5s", Wait: 540 * time.Millisecond},
}

// BenchmarkDecisionLine measures the lines of frequent decisions, up to the buffer.
func BenchmarkDecisionLine(b *testing.B) {
	for _, d := range frequentDecisions {
		b.Run(d.Event, func(b *testing.B) {
			log := logrus.New()
			w := logbuf.New(io.Discard)
			go func() { _ = w.Run(b.Context()) }()
			log.SetOutput(w)
			log.SetFormatter(logbuf.NewFormatter())
			part := log.WithFields(logrus.Fields{"vm": "edge-ktm-patan-3", "part": "owner"})
			b.ReportAllocs()
			for b.Loop() {
				owner.LogDecision(part, d)
			}
		})
	}
}
