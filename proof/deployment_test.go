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
			Calls: []demo.RequestStream{
				{Queue: "fit", Team: "pewter", Every: 20 * ms, Work: 30 * ms},
				{Queue: "angle", Team: "press", Every: 20 * ms, Work: 10 * ms},
			},
			Jobs: []demo.JobStream{
				{Queue: "cure", Team: "foundry", Every: 300 * ms, Count: 10, Cores: 4, Memory: 2048, Run: 300 * ms, EstimateError: 10},
				{Queue: "mould", Team: "wick", Every: 700 * ms, Count: 4, Cores: 4, Memory: 1024, Run: 200 * ms},
			},
		}
	}
	return demo.Workload{
		Duration: 2 * time.Second, Seed: 1,
		Calls: []demo.RequestStream{
			{Queue: "sheet", Team: "valley", Every: 10 * ms, Work: 30 * ms},
			{Queue: "barcode", Team: "lakeside", Every: 20 * ms, Work: 5 * ms},
		},
		Jobs: []demo.JobStream{
			{Queue: "label", Team: "terai", Every: 300 * ms, Count: 10, Cores: 4, Memory: 2048, Run: 300 * ms, EstimateError: 10},
			{Queue: "plate", Team: "lakeside", Every: 700 * ms, Count: 4, Cores: 4, Memory: 1024, Run: 200 * ms},
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
			r := f.openRun()
			is.NoErr(r.RunWorkload(context.Background(), mixedLoad(p.Name)))
			f.checkInvariants(r)
			for q, n := range r.Refused() {
				t.Errorf("queue %s: %d refused", q, n)
			}
		})
	}
}
