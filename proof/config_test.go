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

// pushRules sends a rules file to a process and returns the HTTP status, or 0 if
// there was no answer. A base other than 0 is the version that must be in force.
func pushRules(e *entry, rules []byte, base core.Version) int {
	resp, err := httpClient.Post(fmt.Sprintf("http://%s/rules?base=%d", e.ops, base), "", bytes.NewReader(rules))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// configVersions returns the configuration version of each process that answers.
func (f *fleet) configVersions() []core.Version {
	var out []core.Version
	for _, e := range append(append([]*entry{}, f.gates...), f.scheds...) {
		var config httpx.Config
		if get(e.ops, "/config", &config) == nil {
			out = append(out, config.Version)
		}
	}
	return out
}

// TestConcurrentPushes pushes rules through all processes at once, each based on
// the same version. Exactly one push must succeed; the others must get a conflict.
func TestConcurrentPushes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()))
	f.openDriver()
	var config httpx.Config
	is.NoErr(get(f.gates[0].ops, "/config", &config))
	f.eventually("all processes have the same version", func() error {
		for _, v := range f.configVersions() {
			if v != config.Version {
				return fmt.Errorf("version %d", v)
			}
		}
		return nil
	})
	statuses := make(chan int, 6)
	var wg sync.WaitGroup
	for _, e := range append(append([]*entry{}, f.gates...), f.scheds...) {
		wg.Go(func() { statuses <- pushRules(e, f.plan.Rules(), config.Version) })
	}
	wg.Wait()
	close(statuses)
	counts := map[int]int{}
	for status := range statuses {
		counts[status]++
	}
	is.Equal(counts[http.StatusOK], 1)
	is.Equal(counts[http.StatusConflict], 5)
}

// TestLostReply makes the store lose the replies to writes of configuration
// changes. A process must find out that its change was stored and must not store it
// twice.
func TestLostReply(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()))
	f.openDriver()
	for range 3 {
		is.NoErr(f.setPlatformFaults(fakes.PlatformFaults{LostReplies: 3}))
		resp, err := httpClient.Post("http://"+f.gates[0].ops.String()+"/keys?team=press", "", nil)
		is.NoErr(err)
		_ = resp.Body.Close()
	}
	is.NoErr(f.setPlatformFaults(fakes.PlatformFaults{}))
	var history []agent.HistoryEntry
	is.NoErr(get(f.gates[0].ops, "/rules/history", &history))
	for i, change := range history {
		is.Equal(change.Version, core.Version(i+1)) // no version is missing or repeated
	}
}

// TestChangeReachesAllProcesses checks that an accepted configuration is in force
// in every process within 5 s, and that no process goes back to an older version.
func TestChangeReachesAllProcesses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()))
	f.openDriver()
	var before httpx.Config
	is.NoErr(get(f.gates[0].ops, "/config", &before))
	began := time.Now()
	is.Equal(pushRules(f.scheds[0], f.plan.Rules(), 0), http.StatusOK)
	highest := map[int]core.Version{}
	f.eventually("the pushed rules are in force in all processes", func() error {
		lowest := before.Version + 1
		for i, v := range f.configVersions() {
			if v < highest[i] {
				t.Errorf("process %d went back from version %d to version %d", i, highest[i], v)
			}
			highest[i] = v
			lowest = min(lowest, v)
		}
		if lowest <= before.Version {
			return fmt.Errorf("version %d", lowest)
		}
		return nil
	})
	elapsed := time.Since(began)
	t.Logf("in force in all processes after %s", elapsed.Round(10*ms))
	is.True(elapsed < 5*time.Second) // the documented bound
}

// TestWithdrawnKey checks that every gate refuses a withdrawn key within 5 s, also
// a gate that is cut off from the store, and that keys stay valid while no process
// can reach the store.
func TestWithdrawnKey(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()))
	d := f.openDriver()
	ctx := context.Background()
	caller := d.Caller("pewter")
	id := caller.Key[:16]
	// No process can reach the store, so no key can have been withdrawn.
	is.NoErr(f.setPlatformFaults(fakes.PlatformFaults{Down: true}))
	sleep(7 * time.Second)
	for i, gate := range f.gates {
		res := caller.Call(ctx, gate.callers, "fit", fmt.Sprintf("outage%d", i), ms, nil)
		is.NoErr(res.Err)
		is.Equal(res.Status, http.StatusOK)
	}
	is.NoErr(f.setPlatformFaults(fakes.PlatformFaults{}))
	f.eventually("gate 1 reaches the store again", func() error { return checkReady(f.gates[1].ops) })
	sleep(time.Second)
	// One gate cannot reach the store while the key is withdrawn.
	is.NoErr(f.gates[0].storeProxy.SetFaults(fakes.LinkFaults{Cut: true}))
	req, err := http.NewRequest(http.MethodDelete, "http://"+f.gates[1].ops.String()+"/keys/"+id, nil)
	is.NoErr(err)
	resp, err := httpClient.Do(req)
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	began := time.Now()
	sleep(5 * time.Second)
	for i, gate := range f.gates {
		res := caller.Call(ctx, gate.callers, "fit", fmt.Sprintf("late%d", i), ms, nil)
		is.NoErr(res.Err)
		if res.Status == http.StatusOK {
			t.Errorf("gate %d accepted a key %s after its withdrawal", i, time.Since(began))
		}
		is.Equal(res.Execution, core.NotExecuted)
	}
}

// TestCompaction checks that a process that starts after old changes were deleted
// from the store gets the same configuration version as the others.
func TestCompaction(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, smallPlan(deploy.Glaze()))
	d := f.openDriver()
	// The first changes are deleted at the second snapshot, after 512 changes.
	for range 530 {
		resp, err := httpClient.Post("http://"+f.gates[0].ops.String()+"/keys?team=press", "", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		_ = resp.Body.Close()
	}
	f.eventually("old changes are deleted", func() error {
		var list []agent.HistoryEntry
		if err := get(f.gates[0].ops, "/rules/history", &list); err != nil {
			return err
		}
		if list[0].Version == 1 {
			return fmt.Errorf("all %d changes are still stored", len(list))
		}
		return nil
	})
	f.gates[2].kill()
	f.gates[2].start()
	f.eventually("the restarted gate has the newest version", func() error {
		var current, restarted httpx.Config
		if err := get(f.gates[0].ops, "/config", &current); err != nil {
			return err
		}
		if err := get(f.gates[2].ops, "/config", &restarted); err != nil {
			return err
		}
		if current.Version != restarted.Version {
			return fmt.Errorf("has version %d, want %d", restarted.Version, current.Version)
		}
		return checkReady(f.gates[2].ops)
	})
	res := d.Caller("pewter").Call(context.Background(), f.gates[2].callers, "fit", "after", ms, nil)
	is.NoErr(res.Err)
	is.Equal(res.Status, http.StatusOK)
}
