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

// TestRemoteTargets proves that requests find targets in another region when
// their own has none or too few, and stay at home otherwise.
func TestRemoteTargets(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := smallPlan(deploy.Glaze())
	p.Regions = []string{"hobart", "burnie"}
	p.Gates, p.Scheds, p.Workers, p.Targets = 2, 2, 2, 4
	f := newFleet(t, p)
	hobart, burnie := f.gates[0], f.gates[1]
	is.Equal(hobart.region, "hobart")
	r := f.openRun()
	ctx := context.Background()
	call := func(e *entry, n int, work time.Duration) demo.Result {
		res := r.Caller("pewter").Call(ctx, e.callers, "fit", fmt.Sprintf("far%d", n), work, nil)
		r.AddResult(res)
		return res
	}
	// fit has one target in each region: target0 and target1.
	for n := range 20 {
		is.Equal(call(hobart, n, ms).Status, http.StatusOK)
	}
	is.Equal(len(f.TargetRecords()[1].Hits), 0) // nothing crosses without need
	for i := range f.vms {
		f.vms[i].Leaving = f.vms[i].Name == "target1"
	}
	is.NoErr(f.setVMs())
	f.eventually("burnie's gate knows that its target leaves", func() error {
		res := call(burnie, 100+int(time.Now().UnixNano()%1e9), ms)
		if res.Status != http.StatusOK || f.TargetRecords()[0].Hits == nil {
			return fmt.Errorf("status %d", res.Status)
		}
		for _, h := range f.TargetRecords()[0].Hits {
			if h.ID == res.ID {
				return nil
			}
		}
		return fmt.Errorf("answered at home")
	})
	f.checkInvariants(r)
	f.checkNotExecuted(r)
}
