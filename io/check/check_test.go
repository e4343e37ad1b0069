package check_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/io/check"
	"chicoryturn/io/fakes"
	"chicoryturn/io/work"
)

var startTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func taskRecord(worker, task, team, event string, cores int64, at int) fakes.TaskRecord {
	return fakes.TaskRecord{Worker: worker, Task: task, Team: team, Need: work.Room{Cores: cores}, Event: event, At: startTime.Add(time.Duration(at) * time.Second)}
}

// TestViolations checks that the replay finds each kind of violation. A replay that
// misses one would let the tests that rely on it pass.
func TestViolations(t *testing.T) {
	tests := map[string]struct {
		records []fakes.TaskRecord
		want    string
	}{
		"clean": {[]fakes.TaskRecord{
			taskRecord("w1", "j.0", "a", "start", 4000, 0), taskRecord("w1", "j.0", "a", "stopped", 4000, 1),
			taskRecord("w2", "j.0", "a", "start", 4000, 1), taskRecord("w2", "j.0", "a", "done", 4000, 2),
		}, ""},
		"twice": {[]fakes.TaskRecord{
			taskRecord("w1", "j.0", "a", "start", 1000, 0), taskRecord("w2", "j.0", "a", "start", 1000, 1),
		}, check.DuplicateRun},
		"overfull": {[]fakes.TaskRecord{
			taskRecord("w1", "j.0", "a", "start", 5000, 0), taskRecord("w1", "j.1", "a", "start", 4000, 1),
		}, check.Room},
		"over the limit": {[]fakes.TaskRecord{
			taskRecord("w1", "j.0", "b", "start", 3000, 0), taskRecord("w2", "j.1", "b", "start", 3000, 1),
		}, check.Limit},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := check.NewLog([]fakes.WorkerRecord{{Room: work.Room{Cores: 8000}, Records: tt.records}})
			violations := l.Violations(map[core.Team]int64{"b": 5000})
			if tt.want == "" {
				is.Equal(len(violations), 0)
				return
			}
			is.Equal(len(violations), 1)
			is.Equal(violations[0].Invariant, tt.want)
		})
	}
}

func TestTargets(t *testing.T) {
	is := is.New(t)
	records := []fakes.TargetRecord{
		{Slots: 8, MaxInFlight: 9, Overfull: 1, Hits: []fakes.Hit{{Target: "t1", ID: "r1"}}},
		{Slots: 8, MaxInFlight: 1, Hits: []fakes.Hit{{Target: "t2", ID: "r1"}, {Target: "t2", ID: "r2"}, {Target: "t2", ID: "r2"}}},
	}
	violations := check.TargetViolations(records, core.NewSet("r1"))
	is.Equal(len(violations), 2)
	is.Equal(violations[0].Invariant, check.Slots)
	is.Equal(violations[1].Invariant, check.RepeatedRequest)
}
