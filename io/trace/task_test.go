package trace_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"chicoryturn/io/trace"
)

// twiceLog holds the logs of two owners, one after the other, of which the earlier one starts a
// task again after the later one has read its end.
const twiceLog = `{"epoch":1,"confirmed":"212ms","job":"aa","msg":"placed","part":"owner","run":1,"task":"aa.0.0.0","time":"06:00:01.000","vm":"vm-a","worker":"i-1"}
{"epoch":1,"confirmed":"40ms","from":1,"to":7,"msg":"ends acknowledged","part":"owner","time":"06:00:01.100","vm":"vm-a","worker":"i-1"}
{"epoch":1,"confirmed":"5.9s","job":"aa","msg":"placed","part":"owner","run":2,"task":"aa.0.0.0","time":"06:00:08.000","vm":"vm-a","worker":"i-2"}
{"epoch":1,"confirmed":"6s","job":"aa","msg":"placed","part":"owner","run":1,"task":"aa.0.0.1","time":"06:00:08.000","vm":"vm-a","worker":"i-2"}
{"epoch":2,"confirmed":"90ms","job":"aa","end":8,"msg":"run ended done","part":"owner","run":1,"task":"aa.0.0.0","time":"06:00:04.000","vm":"vm-b","worker":"i-1"}
{"epoch":2,"confirmed":"12ms","from":8,"to":9,"msg":"ends acknowledged","part":"owner","time":"06:00:04.200","vm":"vm-b","worker":"i-1"}
{"epoch":2,"confirmed":"12ms","from":8,"to":9,"msg":"ends acknowledged","part":"owner","time":"06:00:04.300","vm":"vm-b","worker":"i-2"}
{"epoch":2,"confirmed":"12ms","from":1,"to":9,"msg":"ends acknowledged","part":"owner","time":"06:00:09.300","vm":"vm-b","worker":"i-1"}
`

// TestTaskThatRanTwice guards against a trace of a task that lacks an order or the
// acknowledgement of its end, or names those of other tasks and workers.
func TestTaskThatRanTwice(t *testing.T) {
	is := is.New(t)
	lines, skipped, err := trace.ReadTask(strings.NewReader(twiceLog), "aa.0.0.0")
	is.NoErr(err)
	is.Equal(skipped, 0)
	var got []string
	for _, l := range lines {
		got = append(got, l.String())
	}
	is.Equal(got, []string{
		"06:00:01.000 vm-a                   owner  placed  task=aa.0.0.0  run=1  worker=i-1  epoch=1  confirmed=212ms",
		"06:00:04.000 vm-b                   owner  run ended done  task=aa.0.0.0  run=1  worker=i-1  end=8  epoch=2  confirmed=90ms",
		"06:00:04.200 vm-b                   owner  ends acknowledged  worker=i-1  from=8  to=9  epoch=2  confirmed=12ms",
		"06:00:08.000 vm-a                   owner  placed  task=aa.0.0.0  run=2  worker=i-2  epoch=1  confirmed=5.9s",
	})
	is.Equal(trace.TaskSummary(lines), "2 starts by 1 owners; run 2 was placed by vm-a in epoch 1, 4s after vm-b had read in epoch 2 that run 1 was done")
}

// TestLargeNumbers guards against runs of later owners that are printed as 1.048577e+06, and
// against ends of such numbers that are not found.
func TestLargeNumbers(t *testing.T) {
	is := is.New(t)
	lines, _, err := trace.ReadTask(strings.NewReader(`{"end":1048577,"epoch":2,"msg":"run ended done","run":2097153,"task":"aa.0.0.0","time":"06:00:04.000","vm":"b","worker":"i-1"}
{"epoch":2,"from":1048576,"msg":"ends acknowledged","time":"06:00:04.200","to":1048577,"vm":"b","worker":"i-1"}`), "aa.0.0.0")
	is.NoErr(err)
	is.Equal(len(lines), 2)
	is.Equal(lines[0].Fields["run"], "2097153")
	is.Equal(lines[1].Fields["from"], "1048576")
}

// TestAnswerOfStart guards against a trace of a task that doesn't tell how late a start was.
func TestAnswerOfStart(t *testing.T) {
	is := is.New(t)
	lines, _, err := trace.ReadTask(strings.NewReader(`{"after":"400ms","epoch":1,"error":"deadline","job":"aa","msg":"start not confirmed","part":"owner","reply":"no-answer","run":1,"sent":"1.2s","task":"aa.0.0.0","time":"06:00:02.600","vm":"vm-a","worker":"i-1"}
`), "aa.0.0.0")
	is.NoErr(err)
	is.Equal(len(lines), 1)
	is.Equal(lines[0].String(), "06:00:02.600 vm-a                   owner  start not confirmed  task=aa.0.0.0  run=1  worker=i-1  epoch=1  sent=1.2s  after=400ms  reply=no-answer  error=deadline")
}
