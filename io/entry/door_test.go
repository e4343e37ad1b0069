package entry_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/load"
	"chicoryturn/core/policy"
	"chicoryturn/io/entry"
)

// TestOverBudget guards against a team whose jobs take all of the owner's memory (review/1):
// they are refused with the time after which to return, other teams' jobs are not, and a call
// for a job that is stored already succeeds.
func TestOverBudget(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	deps := &fakeDeps{connected: true}
	e := newEntry(deps)
	e.SetPolicy(newPolicy(5, "k"))
	submit := func(id string, team core.Team) error {
		return e.Submit(ctx, jobs.Spec{ID: core.JobID(id), Team: team, Queue: "q", Phases: []jobs.Phase{{Count: 1}}})
	}
	is.NoErr(submit("a", "t"))
	const rest = 1 << 20
	e.SetRecord(elect.Record{Held: &budget.Summary{Rest: rest, Own: rest / 2, Shared: rest, Teams: map[core.Team]budget.TeamUse{"t": {Bytes: 3 * rest / 2, Rate: rest / 8}}}})

	err := submit("b", "t")
	is.Equal(code(err), core.CodeOverLimit)
	var r *core.RefusalError
	is.True(errors.As(err, &r))
	is.Equal(r.Execution, core.NotExecuted)
	is.True(r.RetryAfter >= 8*time.Second)
	is.True(r.RetryAfter < 9*time.Second)
	is.NoErr(submit("c", "u"))
	notified := len(deps.notified)
	is.NoErr(submit("a", "t"))
	is.Equal(len(deps.notified), notified+1) // the owner may not have heard of it

	// Without an answer of the store nothing is known of an earlier call.
	deps.err = context.DeadlineExceeded
	err = submit("b", "t")
	is.True(errors.As(err, &r))
	is.Equal(r.Execution, core.ExecutionUnknown)
}

// TestLargeGang checks that a gang that cannot be started at once is refused.
func TestLargeGang(t *testing.T) {
	is := is.New(t)
	e := newEntry(&fakeDeps{connected: true})
	e.SetPolicy(newPolicy(5, "k"))
	spec := jobs.Spec{ID: "a", Queue: "q", Phases: []jobs.Phase{{Count: fleet.MaxGang, Gang: true}}}
	is.NoErr(e.Submit(context.Background(), spec))
	spec.Phases[0].Count++
	is.Equal(code(e.Submit(context.Background(), spec)), core.CodeTooLarge)
}

// TestBodies guards against submissions that arrive faster than they are processed: above a
// part of the memory limit, further ones are refused, until others are done.
func TestBodies(t *testing.T) {
	is := is.New(t)
	const limit, body = 16 << 20, 100 << 10
	ctx := context.Background()
	deps := &fakeDeps{accepted: []core.JobID{"stored"}}
	e := newEntry(deps, entry.WithMemory(limit))
	reserve := func(id string) (func(), bool, error) {
		return e.ReserveBody(ctx, jobs.Spec{ID: core.JobID(id), Team: "t", Queue: "q"}, body)
	}
	var releases []func()
	for {
		release, stored, err := reserve("a")
		if err != nil {
			is.Equal(code(err), core.CodeBusy)
			break
		}
		is.True(!stored)
		releases = append(releases, release)
	}
	// A team's own part is half of the memory for bodies, it may use half of the rest, and
	// another team finds room.
	is.Equal(len(releases), limit/16*3/4/body)
	other, _, err := e.ReserveBody(ctx, jobs.Spec{ID: "b", Team: "u", Queue: "q"}, body)
	is.NoErr(err)
	other()
	_, stored, err := reserve("stored")
	is.NoErr(err)
	is.True(stored)
	releases[0]()
	_, stored, err = reserve("a")
	is.NoErr(err)
	is.True(!stored)
}

// TestUselessJobs guards against jobs that are accepted though they can't end while they are useful to
// their clients: they are refused with the time to return, and only
// by an estimate that holds.
func TestUselessJobs(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	deps := &fakeDeps{connected: true}
	boot := time.Hour
	e := newEntry(deps, entry.WithClock(func() time.Duration { return boot }))
	e.SetPolicy(policy.New(5, []policy.Queue{{Name: "q", Host: "h", Prefix: "/", Service: "s", Slowdown: 2, Latency: time.Second}}, []policy.Team{{Name: "t", Keys: []string{"k"}}}, []policy.Service{{Name: "s"}}, 0))
	submit := func(id string) error {
		return e.Submit(ctx, jobs.Spec{ID: core.JobID(id), Team: "t", Queue: "q", Phases: []jobs.Phase{{Count: 1, Need: core.Resources{Cores: 1000}, Estimate: time.Second}}})
	}
	observe := func(holder core.SessionID, n int, seconds float64) {
		b := load.NewBuilder(time.Unix(int64(n), 0))
		b.AddQueue("s", "q", load.Line{Ahead: load.NewAmount(1000*seconds, 0), Room: load.NewAmount(1000, 0), Ratio: 1}, load.Slots{})
		e.SetRecord(elect.Record{Holder: holder, Load: b.Summary()})
	}
	e.CheckPause()
	is.NoErr(submit("a"))
	observe("owner", 1, 10) // of the 8 s that the job may wait, times 1.25
	is.NoErr(submit("b"))
	observe("owner", 2, 30)
	err := submit("c")
	is.Equal(code(err), core.CodeOverload)
	var r *core.RefusalError
	is.True(errors.As(err, &r))
	is.Equal(r.Execution, core.NotExecuted)
	is.True(r.RetryAfter >= 20*time.Second)
	is.True(r.RetryAfter <= time.Minute)
	is.Equal(deps.refused, []string{"q queue"})
	// An earlier call has stored the job.
	notified := len(deps.notified)
	is.NoErr(submit("a"))
	is.Equal(len(deps.notified), notified+1)

	boot += 4 * time.Second
	is.NoErr(submit("d")) // the estimate is stale
	observe("owner", 3, 30)
	is.Equal(code(submit("e")), core.CodeOverload)
	observe("", 4, 30) // the owner has resigned
	is.NoErr(submit("e"))
	observe("owner", 5, 30)
	boot += time.Minute
	e.CheckPause()
	observe("owner", 6, 30) // may have been read before the pause
	is.NoErr(submit("f"))
}

// TestRepeatedCallsCountOnce guards against refusals of other jobs because clients repeat calls for a job
// that is stored already, and whose work the owner's summary holds.
func TestRepeatedCallsCountOnce(t *testing.T) {
	is := is.New(t)
	accepted := time.Unix(100, 0)
	deps := &fakeDeps{connected: true, storedAt: map[core.JobID]time.Time{"a": accepted}}
	e := newEntry(deps, entry.WithClock(func() time.Duration { return time.Hour }))
	e.SetPolicy(policy.New(5, []policy.Queue{{Name: "q", Host: "h", Prefix: "/", Service: "s", Slowdown: 2, Latency: time.Second}}, []policy.Team{{Name: "t", Keys: []string{"k"}}}, []policy.Service{{Name: "s"}}, 0))
	submit := func(id string, at time.Time) error {
		return e.Submit(context.Background(), jobs.Spec{ID: core.JobID(id), Team: "t", Queue: "q", Accepted: at, Phases: []jobs.Phase{{Count: 1, Need: core.Resources{Cores: 1000}, Estimate: time.Second}}})
	}
	b := load.NewBuilder(time.Unix(1, 0))
	b.AddQueue("s", "q", load.Line{Ahead: load.NewAmount(8000, 0), Room: load.NewAmount(1000, 0), Ratio: 1}, load.Slots{})
	e.SetRecord(elect.Record{Holder: "owner", Load: b.Summary()})
	for i := range 20 { // each takes 1 s of the workers; 2 s are left up to the level of refusal
		is.NoErr(submit("a", accepted.Add(time.Duration(i+1)*time.Second)))
	}
	is.NoErr(submit("b", accepted))
	is.Equal(len(deps.refused), 0)
	for i := range 20 {
		if err := submit(fmt.Sprint("c", i), accepted); err != nil {
			is.Equal(code(err), core.CodeOverload)
			return
		}
	}
	is.Fail() // others do count
}
