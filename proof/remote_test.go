package proof_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/io/demo"
	"chicoryturn/io/deploy"
)

// TestRemoteTargets checks that requests use targets in their own region while it
// has enough of them, and targets in another region otherwise.
func TestRemoteTargets(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := smallPlan(deploy.Glaze())
	p.Regions = []string{"hobart", "burnie"}
	p.Gates, p.Scheds, p.Workers, p.Targets = 2, 2, 2, 4
	f := newFleet(t, p)
	hobart, burnie := f.gates[0], f.gates[1]
	is.Equal(hobart.region, "hobart")
	d := f.openDriver()
	ctx := context.Background()
	call := func(e *entry, n int, work time.Duration) demo.Result {
		res := d.Caller("pewter").Call(ctx, e.callers, "fit", fmt.Sprintf("far%d", n), work, nil)
		d.AddResult(res)
		return res
	}
	// Queue fit has one target in each region: target0 in hobart, target1 in burnie.
	for n := range 20 {
		is.Equal(call(hobart, n, ms).Status, http.StatusOK)
	}
	is.Equal(len(f.TargetRecords()[1].Hits), 0) // no request leaves its region without need
	for i := range f.vms {
		f.vms[i].Leaving = f.vms[i].Name == "target1"
	}
	is.NoErr(f.setVMs())
	f.eventually("requests of burnie reach the target in hobart", func() error {
		res := call(burnie, 100+int(time.Now().UnixNano()%1e9), ms)
		if res.Status != http.StatusOK || f.TargetRecords()[0].Hits == nil {
			return fmt.Errorf("status %d", res.Status)
		}
		for _, hit := range f.TargetRecords()[0].Hits {
			if hit.ID == res.ID {
				return nil
			}
		}
		return fmt.Errorf("the request was answered in its own region")
	})
	f.checkInvariants(d)
	f.checkNotExecuted(d)
}
