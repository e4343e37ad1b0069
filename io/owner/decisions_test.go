package owner_test

import (
	"context"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/io/logbuf"
	"chicoryturn/io/owner"
)

// frequentDecisions are the decisions of which an owner logs the most.
var frequentDecisions = []fleet.Decision{
	{Event: "placed", Epoch: 3, Confirmed: 65 * time.Millisecond, Job: "caafae8dad7ad37b", Task: "caafae8dad7ad37b.0.0.3", Worker: "i-4df529dea4", Run: 1, Wait: 175 * time.Millisecond, Incarnation: time.UnixMilli(1796660343319)},
	{Event: "run ended done", Epoch: 3, Confirmed: 65 * time.Millisecond, Job: "caafae8dad7ad37b", Task: "caafae8dad7ad37b.0.0.3", Worker: "i-4df529dea4", Run: 1, LastEnd: 58},
	{Event: "ends acknowledged", Epoch: 3, Confirmed: 65 * time.Millisecond, Worker: "i-4df529dea4", FirstEnd: 58, LastEnd: 61},
	{Event: "advice received", Epoch: 3, Confirmed: 65 * time.Millisecond, Job: "caafae8dad7ad37b", Task: "caafae8dad7ad37b.0.0", Reason: "86 of 128 workers allowed, tickets valid for 1.5s", Wait: 540 * time.Millisecond},
}

// TestDecisionLine guards against lines that the tools for operators no longer read.
func TestDecisionLine(t *testing.T) {
	is := is.New(t)
	want := []string{
		`{"after":"175ms","confirmed":"65ms","epoch":3,"incarnation":1796660343319,"job":"caafae8dad7ad37b","level":"info","msg":"placed","part":"owner","run":1,"task":"caafae8dad7ad37b.0.0.3","time":"06:01:02.003","vm":"edge-ktm-patan-3","worker":"i-4df529dea4"}`,
		`{"confirmed":"65ms","end":58,"epoch":3,"job":"caafae8dad7ad37b","level":"info","msg":"run ended done","part":"owner","run":1,"task":"caafae8dad7ad37b.0.0.3","time":"06:01:02.003","vm":"edge-ktm-patan-3","worker":"i-4df529dea4"}`,
		`{"confirmed":"65ms","epoch":3,"from":58,"level":"info","msg":"ends acknowledged","part":"owner","time":"06:01:02.003","to":61,"vm":"edge-ktm-patan-3","worker":"i-4df529dea4"}`,
		`{"after":"540ms","because":"86 of 128 workers allowed, tickets valid for 1.5s","confirmed":"65ms","epoch":3,"job":"caafae8dad7ad37b","level":"info","msg":"advice received","part":"owner","task":"caafae8dad7ad37b.0.0","time":"06:01:02.003","vm":"edge-ktm-patan-3"}`,
		`{"after":"1.5s","confirmed":"0s","count":2,"epoch":4,"level":"info","msg":"workers not reached","part":"owner","time":"06:01:02.003","vm":"edge-ktm-patan-3","workers":"i-1 i-2"}`,
	}
	all := append(slices.Clone(frequentDecisions), fleet.Decision{Event: "workers not reached", Epoch: 4, Wait: 1500 * time.Millisecond, Count: 2, Workers: []core.WorkerID{"i-1", "i-2"}})
	log := logrus.New()
	var text strings.Builder
	w := logbuf.New(&text)
	log.SetOutput(w)
	log.SetFormatter(logbuf.NewFormatter())
	part := log.WithFields(logrus.Fields{"vm": "edge-ktm-patan-3", "part": "owner"}).WithTime(time.Date(2026, 12, 5, 6, 1, 2, 3_000_000, time.UTC))
	for _, d := range all {
		owner.LogDecision(part, d)
	}
	ended, end := context.WithCancel(t.Context())
	end()
	is.NoErr(w.Run(ended))
	is.Equal(strings.Split(text.String(), "\n"), append(want, ""))
}

// TestDecisionFieldTypes guards against hooks that see other types of fields than those of the
// decision.
func TestDecisionFieldTypes(t *testing.T) {
	is := is.New(t)
	hook := &fieldsHook{}
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(hook)
	owner.LogDecision(logrus.NewEntry(log), frequentDecisions[1])
	is.Equal(hook.fields, logrus.Fields{
		"confirmed": "65ms", "end": uint64(58), "epoch": core.Epoch(3), "job": core.JobID("caafae8dad7ad37b"), "run": uint64(1), "task": "caafae8dad7ad37b.0.0.3", "worker": core.WorkerID("i-4df529dea4"),
	})
}

// fieldsHook keeps the fields of the last line.
type fieldsHook struct{ fields logrus.Fields }

// Levels implements logrus.Hook.
func (*fieldsHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h *fieldsHook) Fire(e *logrus.Entry) error {
	h.fields = e.Data
	return nil
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
