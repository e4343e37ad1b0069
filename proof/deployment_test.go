package proof_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/io/demo"
	"chicoryturn/io/deploy"
)

const ms = time.Millisecond

// mixedLoad returns requests and jobs for several queues of a deployment.
func mixedLoad(name string) demo.Workload {
	if name == "glaze" {
		return demo.Workload{
			Duration: 2 * time.Second, Seed: 1,
			Requests: []demo.RequestStream{
				{Queue: "fit", Team: "pewter", Interval: 20 * ms, WorkTime: 30 * ms},
				{Queue: "angle", Team: "press", Interval: 20 * ms, WorkTime: 10 * ms},
			},
			Jobs: []demo.JobStream{
				{Queue: "cure", Team: "foundry", Interval: 300 * ms, TasksPerJob: 10, Cores: 4, Memory: 2048, RunTime: 300 * ms, EstimateError: 10},
				{Queue: "mould", Team: "wick", Interval: 700 * ms, TasksPerJob: 4, Cores: 4, Memory: 1024, RunTime: 200 * ms},
			},
		}
	}
	return demo.Workload{
		Duration: 2 * time.Second, Seed: 1,
		Requests: []demo.RequestStream{
			{Queue: "sheet", Team: "valley", Interval: 10 * ms, WorkTime: 30 * ms},
			{Queue: "barcode", Team: "lakeside", Interval: 20 * ms, WorkTime: 5 * ms},
		},
		Jobs: []demo.JobStream{
			{Queue: "label", Team: "terai", Interval: 300 * ms, TasksPerJob: 10, Cores: 4, Memory: 2048, RunTime: 300 * ms, EstimateError: 10},
			{Queue: "plate", Team: "lakeside", Interval: 700 * ms, TasksPerJob: 4, Cores: 4, Memory: 1024, RunTime: 200 * ms},
		},
	}
}

// TestBothDeployments runs requests and jobs of both sample deployments through
// separate processes. No request or job may be refused.
func TestBothDeployments(t *testing.T) {
	for _, p := range []deploy.Plan{deploy.Glaze(), deploy.Bagmati()} {
		t.Run(p.Name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, smallPlan(p))
			d := f.openDriver()
			is.NoErr(d.RunWorkload(context.Background(), mixedLoad(p.Name)))
			f.checkInvariants(d)
			for q, n := range d.Refused() {
				t.Errorf("queue %s: %d refused", q, n)
			}
		})
	}
}
