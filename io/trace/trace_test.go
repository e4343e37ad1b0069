package trace_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"chicoryturn/io/trace"
)

const log = `   5.1 vm-b {"job":"aa","msg":"placed","part":"owner","run":1,"task":"aa.0.0.0","time":"06:00:01.300","vm":"vm-b","worker":"i-1","after":"1.2s"}
{"job":"aa","level":"info","msg":"submit","part":"entry","result":"accepted","time":"06:00:00.100","vm":"vm-a","took":"12ms"}
{"job":"bb","msg":"submit","part":"entry","result":"store-unavailable","error":"store-unavailable: the store takes no jobs at present","time":"06:00:00.200","vm":"vm-a"}
{"job":"aa","msg":"waits","part":"owner","because":"no worker that may run it has room","after":"1.1s","task":"aa.0.0","time":"06:00:01.200","vm":"vm-b"}
{"job":"aa","msg":"run ended failed","part":"owner","worker":"i-1","run":1,"task":"aa.0.0.0","time":"06:00:02.300","vm":"vm-b"}
{"job":"aa","msg":"job completed","part":"owner","after":"4.2s","because":"late by 1.1s","time":"06:00:04.300","vm":"vm-b"}
half a line with aa {"job":
{"msg":"started","part":"node","time":"06:00:00.000","vm":"vm-a"}
`

func TestSummary(t *testing.T) {
	is := is.New(t)
	lines, skipped, err := trace.Read(strings.NewReader(log), "aa")
	is.NoErr(err)
	is.Equal(len(lines), 5)
	is.Equal(skipped, 1)
	is.Equal(lines[0].Message, "submit")
	is.Equal(lines[4].Message, "job completed")
	is.Equal(trace.Summary(lines), "job completed after 4.2s late by 1.1s; last waited for: no worker that may run it has room after 1.1s; 1 runs failed, the last on i-1")
	is.Equal(trace.Span(lines).String(), "4.2s")
}

// TestSummaryWithoutAccept checks the summaries of jobs that were never
// accepted.
func TestSummaryWithoutAccept(t *testing.T) {
	for job, want := range map[string]string{
		"bb": "never accepted; last refused: store-unavailable (store-unavailable: the store takes no jobs at present)",
		"cc": "no line names this job: no call for it reached a VM whose log was read",
	} {
		t.Run(job, func(t *testing.T) {
			is := is.New(t)
			lines, _, err := trace.Read(strings.NewReader(log), job)
			is.NoErr(err)
			is.Equal(trace.Summary(lines), want)
		})
	}
}

// TestSummaryOfRefusals guards against a history that hides how often a job was refused before it was
// accepted, and by which estimate.
func TestSummaryOfRefusals(t *testing.T) {
	is := is.New(t)
	const refused = `{"age":"310ms","error":"overload: late","estimate":"queue","job":"aa","msg":"submit","part":"entry","result":"overload","slack":"8s","time":"06:00:00.000","vm":"a","wait":"12.5s"}` + "\n"
	lines, _, err := trace.Read(strings.NewReader(refused+strings.Replace(refused, "06:00:00", "06:00:09", 1)+
		`{"job":"aa","msg":"submit","part":"entry","result":"accepted","time":"06:00:20.000","vm":"a"}`), "aa")
	is.NoErr(err)
	is.Equal(lines[0].String(), "06:00:00.000 a                      entry  submit  result=overload  estimate=queue  wait=12.5s  slack=8s  age=310ms  error=overload: late")
	is.Equal(trace.Summary(lines), "accepted; these logs do not contain its end; refused 2 times, last: overload (overload: late)")
	is.Equal(trace.Summary(lines[:2]), "never accepted; last refused: overload (overload: late)")
}

// TestWaitsWithClass guards against a history that hides whether the job could still be on time
// while it waited.
func TestWaitsWithClass(t *testing.T) {
	is := is.New(t)
	lines, _, err := trace.Read(strings.NewReader(`{"after":"1.1s","because":"no worker that may run it has room","class":"late","job":"aa","msg":"waits","part":"owner","task":"aa.0.0","time":"06:00:01.200","vm":"a"}`), "aa")
	is.NoErr(err)
	is.Equal(lines[0].String(), "06:00:01.200 a                      owner  waits  task=aa.0.0  after=1.1s  because=no worker that may run it has room  class=late")
}

// TestSummaryOfEnds checks the summary for each end that a job can have, and that other
// messages about a job are not taken for its end.
func TestSummaryOfEnds(t *testing.T) {
	const accepted = `{"job":"aa","msg":"submit","part":"entry","result":"accepted","time":"06:00:00.000","vm":"a"}` + "\n"
	for msg, want := range map[string]string{
		"job completed":          "job completed after 2s",
		"job failed":             "job failed after 2s",
		"job cancelled":          "job cancelled after 2s",
		"job left to the store":  "accepted; these logs do not contain its end",
		"job found in the store": "accepted; these logs do not contain its end",
		"job not passed on":      "accepted; these logs do not contain its end",
	} {
		t.Run(msg, func(t *testing.T) {
			is := is.New(t)
			lines, _, err := trace.Read(strings.NewReader(accepted+`{"job":"aa","msg":"`+msg+`","after":"2s","time":"06:00:02.000","vm":"b"}`), "aa")
			is.NoErr(err)
			is.Equal(trace.Summary(lines), want)
		})
	}
}
