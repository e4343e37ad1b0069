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
	pathCallers      = 64
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
)

func toQueue(s string) core.Queue { return core.Queue(s) }
func toTeam(s string) core.Team   { return core.Team(s) }

// measurePath compares requests through gates with direct calls to the target.
func measurePath(ctx context.Context, span time.Duration) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "way\trequests\tfailed\trequests/s\tp50\tp99\tCPU µs/request\t")
	for _, direct := range []bool{true, false} {
		if err := measureRoute(ctx, t, direct, span); err != nil {
			return err
		}
	}
	return t.Flush()
}

// measureRoute loads a fresh deployment. Direct calls know no slots, so that the
// targets are given enough of them.
func measureRoute(ctx context.Context, t *tabwriter.Writer, direct bool, span time.Duration) error {
	p := deploy.Glaze()
	p.Workers = 3
	if direct {
		p.Slots = 2 * pathCallers
	}
	s, err := deploy.Start(ctx, p)
	if err != nil {
		return err
	}
	r, err := demo.Open(ctx, s, s.Addresses, p)
	if err != nil {
		return err
	}
	at, name := s.Addresses.Callers, "through a gate"
	if direct {
		at, name = nil, "direct to target"
		for _, vm := range s.VMs {
			if vm.Service == "fit" {
				at = append(at, netip.MustParseAddrPort(vm.Addr))
			}
		}
	}
	measureRequests(ctx, t, name, r.Caller("pewter"), at, span)
	return s.Stop()
}

func measureRequests(ctx context.Context, t *tabwriter.Writer, name string, c *demo.Caller, at []netip.AddrPort, span time.Duration) {
	hist := hdrhistogram.New(1, maxLatencyMicros, 3)
	var mu sync.Mutex
	failed := 0
	began, before := time.Now(), cpuTime()
	group, ctx := errgroup.WithContext(ctx)
	for i := range pathCallers {
		group.Go(func() error {
			for n := 0; time.Since(began) < span && ctx.Err() == nil; n++ {
				res := c.Call(ctx, at[(i+n)%len(at)], "fit", fmt.Sprintf("%s-%d-%d", name[:1], i, n), 0, nil)
				mu.Lock()
				if res.Err != nil || res.Status != 200 {
					failed++
				} else {
					_ = hist.RecordValue(min(int64(res.Took/time.Microsecond), maxLatencyMicros))
				}
				mu.Unlock()
			}
			return nil
		})
	}
	_ = group.Wait()
	took, used := time.Since(began), cpuTime()-before
	n := hist.TotalCount()
	fmt.Fprintf(t, "%s\t%d\t%d\t%.0f\t%s\t%s\t%.0f\t\n", name, n, failed, float64(n)/took.Seconds(),
		time.Duration(hist.ValueAtQuantile(50))*time.Microsecond, time.Duration(hist.ValueAtQuantile(99))*time.Microsecond,
		float64(used.Microseconds())/float64(max(n, 1)))
}
