package logbuf_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"chicoryturn/core"
	"chicoryturn/io/logbuf"
)

var lineTime = time.Date(2026, 12, 5, 6, 1, 2, 3_000_000, time.UTC)

// checkFormat compares a line with that of logrus.
func checkFormat(t is.T, fields logrus.Fields, msg string) {
	is := is.New(t)
	entry := func() *logrus.Entry {
		e := logrus.New().WithFields(fields)
		e.Time, e.Message, e.Level = lineTime, msg, logrus.WarnLevel
		return e
	}
	want, wantErr := (&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"}).Format(entry())
	for _, buffer := range []*bytes.Buffer{nil, {}} {
		e := entry()
		e.Buffer = buffer
		got, err := logbuf.NewFormatter().Format(e)
		is.Equal(err == nil, wantErr == nil)
		is.Equal(string(got), string(want))
	}
}

// TestFormat guards against lines that differ from those of logrus.
func TestFormat(t *testing.T) {
	for _, value := range []any{
		"text", "", "a\"b\\c\n<&>\u2028é\x80", core.WorkerID("i-1"), core.Epoch(7), -3, int8(-4), uint64(math.MaxUint64), 2.5, true, nil,
		errors.New("it <failed>"), time.Second, lineTime, []string{"a"}, struct{ A int }{1}, math.NaN(), (*int)(nil),
	} {
		checkFormat(t, logrus.Fields{"value": value, "vm": "vm-a"}, "placed")
	}
	checkFormat(t, nil, "no fields")
	checkFormat(t, logrus.Fields{"time": "x", "msg": 1, "level": "y", "logrus_error": "z"}, "names of its own")
	rapid.Check(t, func(t *rapid.T) {
		fields := logrus.Fields{}
		for k, v := range rapid.MapOf(rapid.String(), rapid.String()).Draw(t, "fields") {
			fields[k] = v
		}
		checkFormat(t, fields, rapid.String().Draw(t, "msg"))
	})
}

// TestInfo guards against lines that depend on the way that they are encoded in.
func TestInfo(t *testing.T) {
	keys := rapid.SampledFrom([]string{"a", "epoch", "job", "x", "y<"})
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var direct, viaMap strings.Builder
		w := logbuf.New(&direct)
		base := logrus.Fields{"part": rapid.String().Draw(t, "part")}
		if rapid.Bool().Draw(t, "odd") {
			base["epoch"] = 3
		}
		values := rapid.MapOf(keys, rapid.Uint64()).Draw(t, "fields")
		msg := rapid.String().Draw(t, "msg")
		for _, out := range []io.Writer{w, &viaMap} {
			log := logrus.New()
			log.SetOutput(out)
			log.SetFormatter(logbuf.NewFormatter())
			fields := []logbuf.Field{logbuf.Text("text", core.JobID(msg))}
			for _, k := range slices.Sorted(maps.Keys(values)) {
				fields = append(fields, logbuf.Number(k, values[k]))
			}
			logbuf.Info(log.WithFields(base).WithTime(lineTime), msg, fields...)
			log.SetLevel(logrus.WarnLevel)
			logbuf.Info(log.WithFields(base), "not logged")
		}
		ended, end := context.WithCancel(context.Background())
		end()
		is.NoErr(w.Run(ended))
		is.Equal(direct.String(), viaMap.String())
		is.Equal(strings.Count(direct.String(), "\n"), 1)
	})
}

// BenchmarkLine measures the line of a decision, from its fields to the buffer.
func BenchmarkLine(b *testing.B) {
	for _, c := range []struct {
		name      string
		formatter logrus.Formatter
	}{{"logrus", &logrus.JSONFormatter{TimestampFormat: "15:04:05.000"}}, {"logbuf", logbuf.NewFormatter()}} {
		b.Run(c.name, func(b *testing.B) {
			log := logrus.New()
			w := logbuf.New(io.Discard)
			go func() { _ = w.Run(b.Context()) }()
			log.SetOutput(w)
			log.SetFormatter(c.formatter)
			part := log.WithFields(logrus.Fields{"vm": "edge-ktm-patan-3", "part": "owner"})
			b.ReportAllocs()
			for b.Loop() {
				part.WithFields(logrus.Fields{
					"epoch": core.Epoch(1), "confirmed": "65ms", "job": core.JobID("caafae8dad7ad37b"), "task": "caafae8dad7ad37b.0.0.3",
					"worker": core.WorkerID("i-4df529dea4"), "run": uint64(1), "after": "175ms",
				}).Info("placed")
			}
		})
	}
}
