package proof_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/io/demo"
	"chicoryturn/io/deploy"
	"chicoryturn/io/gate"
)

// TestLoweredLimit lowers the limit of a team below what it runs. The team must
// come down to the limit, and its job must still end.
func TestLoweredLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()))
	d := f.openDriver()
	ctx := context.Background()
	id, err := d.Caller("office").Submit(ctx, f.gates[0].callers, gate.JobRequest{
		Queue: "sweep", Tasks: []gate.TaskRequest{{Count: 30, Cores: 2, Memory: 64, Run: "6s", Command: "sleep 6s"}},
	})
	is.NoErr(err)
	usedCores := func() int64 {
		n := int64(0)
		for _, cell := range f.cellDumps() {
			for _, teamLoad := range cell.Load.Teams {
				if teamLoad.Team == "office" {
					n += teamLoad.Cores
				}
			}
		}
		return n
	}
	f.eventually("the team runs 60 cores", func() error { return checkValue(usedCores(), func(n int64) bool { return n == 60000 }) })
	loweredRules := bytes.Replace(f.plan.Rules(), []byte("cores = 100, slots = 20"), []byte("cores = 20, slots = 20"), 1)
	is.Equal(pushRules(f.gates[1], loweredRules, 0), http.StatusOK)
	began := time.Now()
	f.eventually("the team runs at most 20 cores", func() error { return checkValue(usedCores(), func(n int64) bool { return n <= 20000 }) })
	t.Logf("the team is within the new limit after %s", time.Since(began).Round(10*ms))
	f.eventually("the job is done", func() error {
		job, err := d.Caller("office").Job(ctx, f.gates[0].callers, id)
		if err == nil && job.State != "done" {
			err = fmt.Errorf("%d of %d done", job.Done, job.Tasks)
		}
		return err
	})
}

// checkValue returns an error that contains n unless ok accepts n.
func checkValue(n int64, ok func(int64) bool) error {
	if ok(n) {
		return nil
	}
	return fmt.Errorf("the value is %d", n)
}

// TestRequestLimit checks that the requests of a team that are in flight in all
// gates together stay within its limit, while other teams are served.
func TestRequestLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()))
	d := f.openDriver()
	load := demo.Workload{Duration: 3 * time.Second, Seed: 9, Requests: []demo.RequestStream{
		{Queue: "fit", Team: "office", Interval: 8 * ms, WorkTime: 300 * ms},
		{Queue: "fit", Team: "pewter", Interval: 100 * ms, WorkTime: 20 * ms},
	}}
	is.NoErr(d.RunWorkload(context.Background(), load))
	f.checkInvariants(d)
	f.checkNotExecuted(d)
	served := map[string]int{}
	for _, res := range d.Results() {
		if res.Status == http.StatusOK {
			served[string(res.Team)]++
		}
	}
	is.True(served["pewter"] > 0)
	is.True(served["office"] > 0)
}
