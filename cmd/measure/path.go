package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"chicoryturn/core"
	"chicoryturn/io/demo"
	"chicoryturn/io/deploy"
)

const (
	// pathCallers is the number of callers that send requests at the same time.
	pathCallers = 64
	// maxLatencyMicros is the highest latency that the histogram can hold.
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
)

func toQueue(s string) core.Queue { return core.Queue(s) }
func toTeam(s string) core.Team   { return core.Team(s) }

// measurePath compares requests through gates with direct requests to targets.
func measurePath(ctx context.Context, duration time.Duration) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "route\trequests\tfailed\trequests/s\tp50\tp99\tCPU µs/request\t")
	for _, direct := range []bool{true, false} {
		if err := measureRoute(ctx, table, direct, duration); err != nil {
			return err
		}
	}
	return table.Flush()
}

// measureRoute measures one route on a new deployment. Direct callers don't
// respect slots, so on the direct route the targets get enough slots for all
// callers.
func measureRoute(ctx context.Context, table *tabwriter.Writer, direct bool, duration time.Duration) error {
	plan := deploy.Glaze()
	plan.Workers = 3
	if direct {
		plan.TargetSlots = 2 * pathCallers
	}
	deployment, err := deploy.Start(ctx, plan)
	if err != nil {
		return err
	}
	d, err := demo.Open(ctx, deployment, deployment.Addresses, plan)
	if err != nil {
		return err
	}
	addrs, name := deployment.Addresses.Callers, "through a gate"
	if direct {
		addrs, name = nil, "direct to target"
		for _, vm := range deployment.VMs {
			if vm.Service == "fit" {
				addrs = append(addrs, netip.MustParseAddrPort(vm.Addr))
			}
		}
	}
	measureRequests(ctx, table, name, d.Caller("pewter"), addrs, duration)
	return deployment.Stop()
}

// measureRequests sends requests to the addresses in turn for a given time and
// prints their number, latency and CPU time.
func measureRequests(ctx context.Context, table *tabwriter.Writer, name string, caller *demo.Caller, addrs []netip.AddrPort, duration time.Duration) {
	hist := hdrhistogram.New(1, maxLatencyMicros, 3)
	var mu sync.Mutex
	failed := 0
	began, cpuBefore := time.Now(), cpuTime()
	group, ctx := errgroup.WithContext(ctx)
	for i := range pathCallers {
		group.Go(func() error {
			for n := 0; time.Since(began) < duration && ctx.Err() == nil; n++ {
				res := caller.Call(ctx, addrs[(i+n)%len(addrs)], "fit", fmt.Sprintf("%s-%d-%d", name[:1], i, n), 0, nil)
				mu.Lock()
				if res.Err != nil || res.Status != 200 {
					failed++
				} else {
					_ = hist.RecordValue(min(int64(res.Elapsed/time.Microsecond), maxLatencyMicros))
				}
				mu.Unlock()
			}
			return nil
		})
	}
	_ = group.Wait()
	elapsed, cpuUsed := time.Since(began), cpuTime()-cpuBefore
	n := hist.TotalCount()
	fmt.Fprintf(table, "%s\t%d\t%d\t%.0f\t%s\t%s\t%.0f\t\n", name, n, failed, float64(n)/elapsed.Seconds(),
		time.Duration(hist.ValueAtQuantile(50))*time.Microsecond, time.Duration(hist.ValueAtQuantile(99))*time.Microsecond,
		float64(cpuUsed.Microseconds())/float64(max(n, 1)))
}
