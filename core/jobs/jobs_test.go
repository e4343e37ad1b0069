package jobs_test

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/jobs"
)

// TestValidate checks jobs with one value out of range each.
func TestValidate(t *testing.T) {
	valid := func() jobs.Spec {
		return jobs.Spec{ID: "j", Phases: []jobs.Phase{{Count: 2, Need: core.Resources{Cores: 1000}, Estimate: time.Second}, {Count: 1, After: []int{0}}}}
	}
	s := valid()
	is.New(t).NoErr(s.Validate())
	for name, change := range map[string]func(*jobs.Spec){
		"no phase":                func(s *jobs.Spec) { s.Phases = nil },
		"no task":                 func(s *jobs.Spec) { s.Phases[0].Count = 0 },
		"later phase":             func(s *jobs.Spec) { s.Phases[0].After = []int{1} },
		"product overflows":       func(s *jobs.Spec) { s.Phases[0].Count, s.Repeat = 3, 1<<62 },
		"negative occurrences":    func(s *jobs.Spec) { s.Repeat = -1 },
		"interval too long":       func(s *jobs.Spec) { s.Every = math.MaxInt64 },
		"start cannot be stored":  func(s *jobs.Spec) { s.First = time.UnixMilli(1 << 50) },
		"cores too many":          func(s *jobs.Spec) { s.Phases[0].Need.Cores = math.MaxInt64 },
		"negative memory":         func(s *jobs.Spec) { s.Phases[0].Need.Memory = -1 },
		"estimate too long":       func(s *jobs.Spec) { s.Phases[0].Estimate = math.MaxInt64 },
		"negative estimate":       func(s *jobs.Spec) { s.Phases[0].Estimate = -1 },
		"latency target too long": func(s *jobs.Spec) { s.Phases[0].LatencyTarget = math.MaxInt64 },
		"negative per worker":     func(s *jobs.Spec) { s.Phases[0].PerWorker = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := valid()
			change(&s)
			var specErr *jobs.SpecError
			is.True(errors.As(s.Validate(), &specErr))
		})
	}
}

// TestDueNeverDecreases checks that the time of a late occurrence does not overflow into the
// past, where it would start at once.
func TestDueNeverDecreases(t *testing.T) {
	is := is.New(t)
	s := jobs.Spec{Repeat: 100_000, First: time.Unix(0, 0), Every: 365 * 24 * time.Hour}
	last := s.Due(0)
	for k := range s.Repeat {
		is.True(!s.Due(k).Before(last))
		last = s.Due(k)
	}
}

// TestCountDone compares CountDone with IsDone at all offsets in a byte.
func TestCountDone(t *testing.T) {
	is := is.New(t)
	var p jobs.Progress
	for _, i := range []int{0, 3, 7, 8, 15, 16, 17, 18, 19, 20, 21, 22, 23, 31} {
		p.SetDone(i)
	}
	for first := range 40 {
		for end := first; end < 48; end++ {
			n := 0
			for i := first; i < end; i++ {
				if p.IsDone(i) {
					n++
				}
			}
			is.Equal(p.CountDone(first, end), n)
		}
	}
}

// TestTaskIDOrder guards against an order of tasks by the text of their IDs, and against IDs that
// cannot be read back.
func TestTaskIDOrder(t *testing.T) {
	is := is.New(t)
	ids := []string{"aa.0.0.2", "aa.0.0.10", "aa.0.1.0", "aa.1.0.0", "ab.0.0.0"}
	for i, text := range ids {
		id, ok := jobs.ParseTaskID(text)
		is.True(ok)
		is.Equal(id.String(), text)
		is.Equal(id.Compare(id), 0)
		if i > 0 {
			earlier, _ := jobs.ParseTaskID(ids[i-1])
			is.Equal(earlier.Compare(id), -1)
			is.Equal(id.Compare(earlier), 1)
		}
	}
}
