package proof_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/io/demo"
	"chicoryturn/io/deploy"
	"chicoryturn/io/fakes"
)

// requestLoad offers both kinds of requests for a time.
func requestLoad(d time.Duration) demo.Workload {
	return demo.Workload{Duration: d, Seed: 11, Calls: []demo.RequestStream{
		{Queue: "fit", Team: "pewter", Every: 10 * ms, Work: 20 * ms},
		{Queue: "angle", Team: "press", Every: 10 * ms, Work: 20 * ms},
	}}
}

// TestRollingRestart proves that planned stops cut off nothing: every gate and
// sched is replaced in turn while requests and jobs are offered to the gates
// that the balancer would use.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()))
	r := f.openRun()
	ctx := context.Background()
	stop := make(chan struct{})
	var load sync.WaitGroup
	var mu sync.Mutex
	refused := map[string]int{}
	for i := range 8 {
		load.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				g := f.gateInRotation(i + n)
				if g == nil {
					continue
				}
				queue, team := core.Queue("fit"), core.Team("pewter")
				if i%2 == 0 {
					queue, team = "angle", "press"
				}
				res := r.Caller(team).Call(ctx, g.callers, queue, fmt.Sprintf("%d-%d", i, n), 10*ms, nil)
				r.AddResult(res)
				if res.Err != nil || res.Status != http.StatusOK {
					mu.Lock()
					refused[fmt.Sprintf("%d %s %s %v", res.Status, res.Code, res.Body, res.Err)]++
					mu.Unlock()
				}
			}
		})
	}
	sleep(500 * ms)
	for _, e := range append(append([]*entry{}, f.gates...), f.scheds...) {
		// The balancer takes a gate out before its planned stop.
		f.setInRotation(e, false)
		sleep(100 * ms)
		e.drain()
		e.start()
		f.eventually(e.name+" is ready again", func() error { return checkReady(e.ops) })
		f.setInRotation(e, true)
	}
	is.NoErr(r.RunWorkload(ctx, batchLoad(time.Second)))
	close(stop)
	load.Wait()
	for what, n := range refused {
		t.Errorf("%d times: %s", n, what)
	}
	f.checkInvariants(r)
}

func checkReady(at netip.AddrPort) error {
	resp, err := httpClient.Get("http://" + at.String() + "/ready")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

var inRotation sync.Map

func (f *fleet) setInRotation(e *entry, in bool) { inRotation.Store(e, in) }

// gateInRotation returns a gate to which the balancer sends requests.
func (f *fleet) gateInRotation(n int) *entry {
	for i := range f.gates {
		g := f.gates[(n+i)%len(f.gates)]
		if in, ok := inRotation.Load(g); !ok || in.(bool) {
			return g
		}
	}
	return nil
}

// TestTargetFaults proves that an answer is whole or visibly not, that nothing
// that must not be repeated is sent twice, and that "not run" is true.
func TestTargetFaults(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallPlan(deploy.Glaze()))
	r := f.openRun()
	ctx := context.Background()
	n := 0
	for _, queue := range []core.Queue{"fit", "angle"} {
		for _, how := range []string{"", "close", "half", "chunk"} {
			for _, key := range []string{"", "k"} {
				for i := range 3 {
					n++
					h := http.Header{"Stand-Break": {how}}
					if key != "" {
						h.Set("Idempotency-Key", fmt.Sprintf("%s-%d", key, n))
					}
					team := core.Team("pewter")
					if queue == "angle" {
						team = "press"
					}
					res := r.Caller(team).Call(ctx, f.gates[i%3].callers, queue, fmt.Sprintf("r%d", n), ms, h)
					r.AddResult(res)
					f.checkAnswer(res, how)
				}
			}
		}
	}
	f.checkInvariants(r)
	f.checkNotExecuted(r)
}

// checkAnswer checks one answer against what the target was told to do.
func (f *fleet) checkAnswer(res demo.Result, how string) {
	f.t.Helper()
	whole := res.Err == nil && res.Status == http.StatusOK
	if whole && !strings.HasSuffix(res.Body, "ask "+res.ID+"\n") {
		f.t.Errorf("%s: got another request's answer or a part of one: %q", res.ID, res.Body)
	}
	if whole != (how == "") {
		f.t.Errorf("%s: target told %q, but status %d, error %v", res.ID, how, res.Status, res.Err)
	}
	if !whole && res.Err == nil && res.Run != core.ExecutionUnknown {
		f.t.Errorf("%s: run is %q although the target had the request", res.ID, res.Run)
	}
}

// checkNotExecuted fails the test if a request that was reported as not run was run.
func (f *fleet) checkNotExecuted(r *demo.Run) {
	f.t.Helper()
	seen := core.NewSet[string]()
	for _, t := range f.TargetRecords() {
		for _, h := range t.Hits {
			seen.Add(h.ID)
		}
	}
	for _, res := range r.Results() {
		if res.Run == core.NotExecuted && seen.Has(res.ID) {
			f.t.Errorf("request %s was reported as not run, but a target has it", res.ID)
		}
	}
}

// TestReusedConnection proves that the HTTP client repeats nothing on its own
// when a target closes a reused connection after reading the request, for GET
// and for a keyed POST.
func TestReusedConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := smallPlan(deploy.Glaze())
	f := newFleet(t, p)
	got := make(chan string, 100)
	at := startClosingTarget(t, got)
	for i := range f.vms {
		if f.vms[i].Kind == "target" && f.vms[i].Service == "angle" {
			f.vms[i].Addr = at.String()
		}
	}
	is.NoErr(f.setVMs())
	r := f.openRun()
	key := r.Caller("press").Key
	for i, method := range []string{http.MethodGet, http.MethodPost, http.MethodGet, http.MethodPost} {
		req, err := http.NewRequest(method, fmt.Sprintf("http://%s/call/angle/x", f.gates[0].callers), nil)
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+key)
		req.Header.Set("Idempotency-Key", fmt.Sprintf("once-%d", i))
		req.Header.Set("X-Idempotency-Key", fmt.Sprintf("once-%d", i))
		resp, err := httpClient.Do(req)
		is.NoErr(err)
		_ = resp.Body.Close()
		if i%2 == 1 {
			is.Equal(resp.Header.Get("Run"), string(core.ExecutionUnknown))
		}
	}
	seen := map[string]int{}
	for range len(got) {
		seen[<-got]++
	}
	is.Equal(len(seen), 4)
	for id, n := range seen {
		if n != 1 {
			t.Errorf("request %s reached the target %d times", id, n)
		}
	}
}

// startClosingTarget is a target that answers the first request of each connection and
// closes the connection after reading the second.
func startClosingTarget(t *testing.T, got chan<- string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 64<<10)
				for i := range 2 {
					n, err := c.Read(buf)
					if err != nil {
						return
					}
					for _, line := range strings.Split(string(buf[:n]), "\r\n") {
						if id, ok := strings.CutPrefix(line, "Request-Id: "); ok {
							got <- id
						}
					}
					if i == 0 {
						_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
					}
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestKeyedRetry proves that a retry through another gate finds the first
// attempt, also when the first gate has been killed meanwhile.
func TestKeyedRetry(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()))
	r := f.openRun()
	ctx := context.Background()
	h := http.Header{"Idempotency-Key": {"angle-7"}}
	c := r.Caller("press")
	first := make(chan demo.Result, 1)
	go func() { first <- c.Call(ctx, f.gates[0].callers, "angle", "one", 1500*ms, h) }()
	f.eventually("the target has the request", func() error {
		for _, x := range f.TargetRecords() {
			if len(x.Hits) > 0 {
				return nil
			}
		}
		return fmt.Errorf("no target has it")
	})
	f.gates[0].kill()
	<-first
	res := c.Call(ctx, f.gates[1].callers, "angle", "one", ms, h)
	is.NoErr(res.Err)
	is.Equal(res.Code, core.CodeRepeat)
	is.Equal(res.Run, core.ExecutionUnknown)
	// Without the store no intent can be recorded: refused, and truly not run.
	is.NoErr(f.setPlatformFaults(fakes.PlatformFaults{Down: true}))
	res = c.Call(ctx, f.gates[1].callers, "angle", "two", ms, http.Header{"Idempotency-Key": {"angle-8"}})
	is.Equal(res.Run, core.NotExecuted)
	is.NoErr(f.setPlatformFaults(fakes.PlatformFaults{}))
	r.AddResult(res)
	f.checkNotExecuted(r)
	f.checkInvariants(r)
}

// TestGateKilled proves that slots and limits hold while gates die: a dead
// gate's slots are not granted anew before its requests have surely ended.
func TestGateKilled(t *testing.T) {
	t.Parallel()
	for _, opts := range [][]option{{}, {directPeers}} {
		t.Run(fmt.Sprintf("direct %t", len(opts) > 0), func(t *testing.T) {
			f := newFleet(t, smallPlan(deploy.Glaze()), opts...)
			l := demo.Workload{Duration: 6 * time.Second, Seed: 2, Calls: []demo.RequestStream{
				{Queue: "fit", Team: "pewter", Every: 8 * ms, Work: 300 * ms},
				{Queue: "angle", Team: "press", Every: 8 * ms, Work: 200 * ms},
			}}
			r := f.runWithFaults(l, func() {
				f.gates[0].kill()
				sleep(time.Second)
				f.gates[0].start()
				sleep(time.Second)
				f.gates[1].pause()
				sleep(3 * time.Second)
				f.gates[1].resume()
			})
			f.checkNotExecuted(r)
		})
	}
}

// TestDrainingTarget proves that a leaving target gets no new request after 3 s.
func TestDrainingTarget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()))
	var left time.Time
	f.runWithFaults(requestLoad(6*time.Second), func() {
		for i := range f.vms {
			f.vms[i].Leaving = f.vms[i].Leaving || f.vms[i].Name == "target0"
		}
		is.NoErr(f.setVMs())
		left = time.Now()
	})
	late := 0
	for _, h := range f.TargetRecords()[0].Hits {
		if h.Began.After(left.Add(3 * time.Second)) {
			late++
		}
	}
	is.Equal(late, 0)
}
