package proof_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/io/agent"
	"chicoryturn/io/deploy"
	"chicoryturn/io/fakes"
	"chicoryturn/io/httpx"
)

// pushRules sends a rules file to a process and returns the status.
func pushRules(e *entry, rules []byte, base core.Version) int {
	resp, err := httpClient.Post(fmt.Sprintf("http://%s/rules?base=%d", e.ops, base), "", bytes.NewReader(rules))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (f *fleet) configVersions() []core.Version {
	var out []core.Version
	for _, e := range append(append([]*entry{}, f.gates...), f.scheds...) {
		var c httpx.Config
		if getJSON(e.ops, "/config", &c) == nil {
			out = append(out, c.Version)
		}
	}
	return out
}

// TestConcurrentPushes proves that of operators who start from one version,
// exactly one wins and the others are told so.
func TestConcurrentPushes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()))
	f.openRun()
	var conf httpx.Config
	is.NoErr(getJSON(f.gates[0].ops, "/config", &conf))
	f.eventually("all run the same version", func() error {
		for _, v := range f.configVersions() {
			if v != conf.Version {
				return fmt.Errorf("version %d", v)
			}
		}
		return nil
	})
	statuses := make(chan int, 6)
	var wg sync.WaitGroup
	for _, e := range append(append([]*entry{}, f.gates...), f.scheds...) {
		wg.Go(func() { statuses <- pushRules(e, f.plan.Rules(), conf.Version) })
	}
	wg.Wait()
	close(statuses)
	count := map[int]int{}
	for s := range statuses {
		count[s]++
	}
	is.Equal(count[http.StatusOK], 1)
	is.Equal(count[http.StatusConflict], 5)
}

// TestLostReply proves that a change whose reply was lost is found again and
// never applied twice.
func TestLostReply(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()))
	f.openRun()
	for range 3 {
		is.NoErr(f.setPlatformFaults(fakes.PlatformFaults{Lose: 3}))
		resp, err := httpClient.Post("http://"+f.gates[0].ops.String()+"/keys?team=press", "", nil)
		is.NoErr(err)
		_ = resp.Body.Close()
	}
	is.NoErr(f.setPlatformFaults(fakes.PlatformFaults{}))
	var list []agent.History
	is.NoErr(getJSON(f.gates[0].ops, "/rules/history", &list))
	for i, h := range list {
		is.Equal(h.Version, core.Version(i+1)) // no version is skipped or doubled
	}
}

// TestChangeReachesAllProcesses proves that an accepted configuration is in force in every
// process within 5 s and that no process ever runs an older one again.
func TestChangeReachesAllProcesses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()))
	f.openRun()
	var before httpx.Config
	is.NoErr(getJSON(f.gates[0].ops, "/config", &before))
	began := time.Now()
	is.Equal(pushRules(f.scheds[0], f.plan.Rules(), 0), http.StatusOK)
	high := map[int]core.Version{}
	f.eventually("the push is in force", func() error {
		low := before.Version + 1
		for i, v := range f.configVersions() {
			if v < high[i] {
				t.Errorf("process %d went back from version %d to %d", i, high[i], v)
			}
			high[i] = v
			low = min(low, v)
		}
		if low <= before.Version {
			return fmt.Errorf("version %d", low)
		}
		return nil
	})
	took := time.Since(began)
	t.Logf("in force everywhere after %s", took.Round(10*ms))
	is.True(took < 5*time.Second) // the stated target
}

// TestWithdrawnKey proves that a withdrawn key is refused everywhere within
// 5 s, also by a gate that is cut off from the store, and that keys go on
// working while the store is down for all.
func TestWithdrawnKey(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()))
	r := f.openRun()
	ctx := context.Background()
	c := r.Caller("pewter")
	id := c.Key[:16]
	// Down for all: nothing can have been withdrawn.
	is.NoErr(f.setPlatformFaults(fakes.PlatformFaults{Down: true}))
	sleep(7 * time.Second)
	for i, g := range f.gates {
		res := c.Call(ctx, g.callers, "fit", fmt.Sprintf("outage%d", i), ms, nil)
		is.NoErr(res.Err)
		is.Equal(res.Status, http.StatusOK)
	}
	is.NoErr(f.setPlatformFaults(fakes.PlatformFaults{}))
	f.eventually("the store is reached again", func() error { return checkReady(f.gates[1].ops) })
	sleep(time.Second)
	// One gate is cut off while the key is withdrawn.
	is.NoErr(f.gates[0].storeProxy.Set(fakes.LinkFaults{Cut: true}))
	req, err := http.NewRequest(http.MethodDelete, "http://"+f.gates[1].ops.String()+"/keys/"+id, nil)
	is.NoErr(err)
	resp, err := httpClient.Do(req)
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	began := time.Now()
	sleep(5 * time.Second)
	for i, g := range f.gates {
		res := c.Call(ctx, g.callers, "fit", fmt.Sprintf("late%d", i), ms, nil)
		is.NoErr(res.Err)
		if res.Status == http.StatusOK {
			t.Errorf("gate %d honoured a key %s after its withdrawal", i, time.Since(began))
		}
		is.Equal(res.Run, core.NotExecuted)
	}
}

// TestCompaction proves that the configuration survives the deletion of old
// changes: a process that starts afterwards runs the same version.
func TestCompaction(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()))
	r := f.openRun()
	for range 530 {
		resp, err := httpClient.Post("http://"+f.gates[0].ops.String()+"/keys?team=press", "", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		_ = resp.Body.Close()
	}
	f.eventually("old changes are deleted", func() error {
		var list []agent.History
		if err := getJSON(f.gates[0].ops, "/rules/history", &list); err != nil {
			return err
		}
		if list[0].Version == 1 {
			return fmt.Errorf("%d changes are kept", len(list))
		}
		return nil
	})
	f.gates[2].kill()
	f.gates[2].start()
	f.eventually("the new process runs the newest version", func() error {
		var a, b httpx.Config
		if err := getJSON(f.gates[0].ops, "/config", &a); err != nil {
			return err
		}
		if err := getJSON(f.gates[2].ops, "/config", &b); err != nil {
			return err
		}
		if a.Version != b.Version {
			return fmt.Errorf("version %d, not %d", b.Version, a.Version)
		}
		return checkReady(f.gates[2].ops)
	})
	res := r.Caller("pewter").Call(context.Background(), f.gates[2].callers, "fit", "after", ms, nil)
	is.NoErr(res.Err)
	is.Equal(res.Status, http.StatusOK)
}
