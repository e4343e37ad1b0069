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

// TestLoweredLimit proves that a team comes down to a limit that is lowered
// below what it runs, and that its tasks end later nevertheless.
func TestLoweredLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()))
	r := f.openRun()
	ctx := context.Background()
	id, err := r.Caller("office").Submit(ctx, f.gates[0].callers, gate.JobRequest{
		Queue: "sweep", Tasks: []gate.TaskRequest{{Count: 30, Cores: 2, Memory: 64, Run: "6s", Command: "sleep 6s"}},
	})
	is.NoErr(err)
	used := func() int64 {
		n := int64(0)
		for _, c := range f.cellDumps() {
			for _, l := range c.Load.Teams {
				if l.Team == "office" {
					n += l.Cores
				}
			}
		}
		return n
	}
	f.eventually("the team runs 60 cores", func() error { return checkValue(used(), func(n int64) bool { return n == 60000 }) })
	lowered := bytes.Replace(f.plan.Rules(), []byte("cores = 100, slots = 20"), []byte("cores = 20, slots = 20"), 1)
	is.Equal(pushRules(f.gates[1], lowered, 0), http.StatusOK)
	began := time.Now()
	f.eventually("the team runs at most 20 cores", func() error { return checkValue(used(), func(n int64) bool { return n <= 20000 }) })
	t.Logf("at the new limit after %s", time.Since(began).Round(10*ms))
	f.eventually("the job ends", func() error {
		v, err := r.Caller("office").Show(ctx, f.gates[0].callers, id)
		if err == nil && v.State != "done" {
			err = fmt.Errorf("%d of %d done", v.Done, v.Tasks)
		}
		return err
	})
}

func checkValue(n int64, ok func(int64) bool) error {
	if ok(n) {
		return nil
	}
	return fmt.Errorf("it is %d", n)
}

// TestRequestLimit proves that a team's requests in flight stay within its limit
// over all gates, while other teams are served.
func TestRequestLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()))
	r := f.openRun()
	l := demo.Workload{Duration: 3 * time.Second, Seed: 9, Calls: []demo.RequestStream{
		{Queue: "fit", Team: "office", Every: 8 * ms, Work: 300 * ms},
		{Queue: "fit", Team: "pewter", Every: 100 * ms, Work: 20 * ms},
	}}
	is.NoErr(r.RunWorkload(context.Background(), l))
	f.checkInvariants(r)
	f.checkNotExecuted(r)
	served := map[string]int{}
	for _, res := range r.Results() {
		if res.Status == http.StatusOK {
			served[string(res.Team)]++
		}
	}
	is.True(served["pewter"] > 0)
	is.True(served["office"] > 0)
}
