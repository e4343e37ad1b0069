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

// requestLoad sends requests to two queues for a given time.
func requestLoad(d time.Duration) demo.Workload {
	return demo.Workload{Duration: d, Seed: 11, Requests: []demo.RequestStream{
		{Queue: "fit", Team: "pewter", Interval: 10 * ms, WorkTime: 20 * ms},
		{Queue: "angle", Team: "press", Interval: 10 * ms, WorkTime: 20 * ms},
	}}
}

// TestRollingRestart replaces every gate and sched in turn by a planned stop and a
// new start, while requests and jobs are sent to the gates that a load balancer
// would choose. No request may fail.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()))
	d := f.openDriver()
	ctx := context.Background()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	failures := map[string]int{}
	for i := range 8 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				gate := f.gateInRotation(i + n)
				if gate == nil {
					continue
				}
				queue, team := core.Queue("fit"), core.Team("pewter")
				if i%2 == 0 {
					queue, team = "angle", "press"
				}
				res := d.Caller(team).Call(ctx, gate.callers, queue, fmt.Sprintf("%d-%d", i, n), 10*ms, nil)
				d.AddResult(res)
				if res.Err != nil || res.Status != http.StatusOK {
					mu.Lock()
					failures[fmt.Sprintf("%d %s %s %v", res.Status, res.Code, res.Body, res.Err)]++
					mu.Unlock()
				}
			}
		})
	}
	sleep(500 * ms)
	for _, e := range append(append([]*entry{}, f.gates...), f.scheds...) {
		// A load balancer stops sending requests to a gate before its planned stop.
		f.setInRotation(e, false)
		sleep(100 * ms)
		e.drain()
		e.start()
		f.eventually(e.name+" is ready again", func() error { return checkReady(e.ops) })
		f.setInRotation(e, true)
	}
	is.NoErr(d.RunWorkload(ctx, batchLoad(time.Second)))
	close(stop)
	callers.Wait()
	for failure, n := range failures {
		t.Errorf("%d times: %s", n, failure)
	}
	f.checkInvariants(d)
}

// checkReady returns an error unless the process reports that it is ready.
func checkReady(addr netip.AddrPort) error {
	resp, err := httpClient.Get("http://" + addr.String() + "/ready")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// inRotation records for each entry whether the load balancer sends requests to it.
// Entries that are not in the map get requests.
var inRotation sync.Map

// setInRotation adds an entry to the load balancer or removes it.
func (f *fleet) setInRotation(e *entry, enabled bool) { inRotation.Store(e, enabled) }

// gateInRotation returns a gate to which the load balancer sends requests, or nil.
// Different n select different gates.
func (f *fleet) gateInRotation(n int) *entry {
	for i := range f.gates {
		gate := f.gates[(n+i)%len(f.gates)]
		if enabled, ok := inRotation.Load(gate); !ok || enabled.(bool) {
			return gate
		}
	}
	return nil
}

// TestTargetFaults makes targets close connections, send half an answer or break
// off a chunked answer. A caller must get a complete answer or a visible error,
// no target may get a request twice that must not be repeated, and a request that
// is reported as not run must not have reached a target.
func TestTargetFaults(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallPlan(deploy.Glaze()))
	d := f.openDriver()
	ctx := context.Background()
	n := 0
	for _, queue := range []core.Queue{"fit", "angle"} {
		for _, breakMode := range []string{"", "close", "half", "chunk"} {
			for _, key := range []string{"", "k"} {
				for i := range 3 {
					n++
					header := http.Header{"Stand-Break": {breakMode}}
					if key != "" {
						header.Set("Idempotency-Key", fmt.Sprintf("%s-%d", key, n))
					}
					team := core.Team("pewter")
					if queue == "angle" {
						team = "press"
					}
					res := d.Caller(team).Call(ctx, f.gates[i%3].callers, queue, fmt.Sprintf("r%d", n), ms, header)
					d.AddResult(res)
					f.checkAnswer(res, breakMode)
				}
			}
		}
	}
	f.checkInvariants(d)
	f.checkNotExecuted(d)
}

// checkAnswer checks that the answer is complete if and only if the target was not
// told to fail. A failed request must be reported as unknown whether it was run,
// because the target has received it.
func (f *fleet) checkAnswer(res demo.Result, breakMode string) {
	f.t.Helper()
	complete := res.Err == nil && res.Status == http.StatusOK
	if complete && !strings.HasSuffix(res.Body, "ask "+res.ID+"\n") {
		f.t.Errorf("%s: got the answer to another request or an incomplete answer: %q", res.ID, res.Body)
	}
	if complete != (breakMode == "") {
		f.t.Errorf("%s: target was told to fail with %q, but the status is %d and the error is %v", res.ID, breakMode, res.Status, res.Err)
	}
	if !complete && res.Err == nil && res.Execution != core.ExecutionUnknown {
		f.t.Errorf("%s: run is %q, but the target had received the request", res.ID, res.Execution)
	}
}

// checkNotExecuted fails the test if a target has received a request that was
// reported as not run.
func (f *fleet) checkNotExecuted(d *demo.Driver) {
	f.t.Helper()
	received := core.NewSet[string]()
	for _, target := range f.TargetRecords() {
		for _, hit := range target.Hits {
			received.Add(hit.ID)
		}
	}
	for _, res := range d.Results() {
		if res.Execution == core.NotExecuted && received.Has(res.ID) {
			f.t.Errorf("request %s was reported as not run, but a target received it", res.ID)
		}
	}
}

// TestReusedConnection checks that the HTTP client of a gate does not repeat a
// request when a target closes a reused connection after reading the request. Go's
// transport repeats GET requests and requests with an idempotency key in this case.
func TestReusedConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := smallPlan(deploy.Glaze())
	f := newFleet(t, p)
	received := make(chan string, 100)
	targetAddr := startClosingTarget(t, received)
	for i := range f.vms {
		if f.vms[i].Kind == "target" && f.vms[i].Service == "angle" {
			f.vms[i].Addr = targetAddr.String()
		}
	}
	is.NoErr(f.setVMs())
	d := f.openDriver()
	key := d.Caller("press").Key
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
	counts := map[string]int{}
	for range len(received) {
		counts[<-received]++
	}
	is.Equal(len(counts), 4)
	for id, n := range counts {
		if n != 1 {
			t.Errorf("request %s reached the target %d times", id, n)
		}
	}
}

// startClosingTarget starts a target that answers the first request of each
// connection and closes the connection after reading the second. It sends the ID of
// each request to received.
func startClosingTarget(t *testing.T, received chan<- string) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buf := make([]byte, 64<<10)
				for i := range 2 {
					n, err := conn.Read(buf)
					if err != nil {
						return
					}
					for _, line := range strings.Split(string(buf[:n]), "\r\n") {
						if id, ok := strings.CutPrefix(line, "Request-Id: "); ok {
							received <- id
						}
					}
					if i == 0 {
						_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
					}
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// TestKeyedRetry repeats a request with its idempotency key through another gate
// after the first gate was killed. The second gate must find the record of the
// first attempt and refuse the request.
func TestKeyedRetry(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()))
	d := f.openDriver()
	ctx := context.Background()
	header := http.Header{"Idempotency-Key": {"angle-7"}}
	caller := d.Caller("press")
	first := make(chan demo.Result, 1)
	go func() { first <- caller.Call(ctx, f.gates[0].callers, "angle", "one", 1500*ms, header) }()
	f.eventually("a target has received the request", func() error {
		for _, target := range f.TargetRecords() {
			if len(target.Hits) > 0 {
				return nil
			}
		}
		return fmt.Errorf("no target has received it")
	})
	f.gates[0].kill()
	<-first
	res := caller.Call(ctx, f.gates[1].callers, "angle", "one", ms, header)
	is.NoErr(res.Err)
	is.Equal(res.Code, core.CodeAlreadySent)
	is.Equal(res.Execution, core.ExecutionUnknown)
	// The intent of a keyed request is recorded in the store before the request is
	// sent. Without the store the gate refuses the request, which must not reach a
	// target.
	is.NoErr(f.setPlatformFaults(fakes.PlatformFaults{Down: true}))
	res = caller.Call(ctx, f.gates[1].callers, "angle", "two", ms, http.Header{"Idempotency-Key": {"angle-8"}})
	is.Equal(res.Execution, core.NotExecuted)
	is.NoErr(f.setPlatformFaults(fakes.PlatformFaults{}))
	d.AddResult(res)
	f.checkNotExecuted(d)
	f.checkInvariants(d)
}

// TestGateKilled kills and pauses gates under load and checks that slots and limits
// are never exceeded: the slots of a dead gate must not be granted again before its
// requests have certainly ended.
func TestGateKilled(t *testing.T) {
	t.Parallel()
	for _, opts := range [][]option{{}, {directPeers}} {
		t.Run(fmt.Sprintf("direct %t", len(opts) > 0), func(t *testing.T) {
			f := newFleet(t, smallPlan(deploy.Glaze()), opts...)
			load := demo.Workload{Duration: 6 * time.Second, Seed: 2, Requests: []demo.RequestStream{
				{Queue: "fit", Team: "pewter", Interval: 8 * ms, WorkTime: 300 * ms},
				{Queue: "angle", Team: "press", Interval: 8 * ms, WorkTime: 200 * ms},
			}}
			d := f.runWithFaults(load, func() {
				f.gates[0].kill()
				sleep(time.Second)
				f.gates[0].start()
				sleep(time.Second)
				f.gates[1].pause()
				sleep(3 * time.Second)
				f.gates[1].resume()
			})
			f.checkNotExecuted(d)
		})
	}
}

// TestDrainingTarget checks that a target gets no new request later than 3 s after
// it was marked as leaving.
func TestDrainingTarget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()))
	var drainStart time.Time
	f.runWithFaults(requestLoad(6*time.Second), func() {
		for i := range f.vms {
			f.vms[i].Leaving = f.vms[i].Leaving || f.vms[i].Name == "target0"
		}
		is.NoErr(f.setVMs())
		drainStart = time.Now()
	})
	lateHits := 0
	for _, hit := range f.TargetRecords()[0].Hits {
		if hit.Began.After(drainStart.Add(3 * time.Second)) {
			lateHits++
		}
	}
	is.Equal(lateHits, 0)
}
