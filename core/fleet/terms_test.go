package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
)

// policyWith returns a policy of service s with the given queues and teams.
func policyWith(queues []policy.Queue, teams []policy.Team) *policy.Policy {
	return policy.New(2, queues, teams, []policy.Service{{Name: "s"}}, 0)
}

// queueWith returns queue q with a number of attempts.
func queueWith(attempts int) policy.Queue {
	return policy.Queue{Name: "q", Host: "h", Prefix: "/", Service: "s", Attempts: attempts, Slowdown: 2, Latency: time.Second}
}

var termsTeam = []policy.Team{{Name: "t", Weight: 1000}}

// failStarted starts the tasks that wait, and lets all of them end as failed. It returns how many
// there were.
func (f *fixture) failStarted() int {
	f.advance(time.Second)
	for _, w := range f.workers {
		f.heartbeat(w, nil, nil)
	}
	starts := f.nextOrders(fleet.OrderStart)
	f.confirmStarts(starts)
	f.advance(time.Second)
	f.ends++
	for _, o := range starts {
		f.heartbeat(o.Info, nil, []fleet.EndedRun{{Number: f.ends, Task: o.Task, Run: o.Run, Kind: fleet.EndFailed, Reason: "failed"}})
	}
	f.Renewed(f.now.Add(time.Nanosecond))
	return len(starts)
}

// TestQueueLeavesAndReturns guards against a job that fails at the first failed run of a task, or
// stands still for good, since the configuration does not name its queue for a while (review/8).
// The job of one task may fail three times by the terms under which it was accepted.
func TestQueueLeavesAndReturns(t *testing.T) {
	accepted, unnamed := policyWith([]policy.Queue{queueWith(3)}, termsTeam), policyWith(nil, termsTeam)
	noService := policy.New(3, nil, termsTeam, nil, 0)
	for name, c := range map[string]struct {
		// noTerms is set for a job of an earlier build, takeover if the owner changes in the gap.
		noTerms, takeover bool
		// gap and back are the policies after the first failed run and after the second one.
		gap, back *policy.Policy
		// runs are how many runs start under the three policies, state is the job's last.
		runs  [3]int
		state jobs.State
	}{
		"always named":                       {gap: accepted, back: accepted, runs: [3]int{1, 1, 1}, state: jobs.Failed},
		"unnamed for a while":                {gap: unnamed, back: accepted, runs: [3]int{1, 1, 1}, state: jobs.Failed},
		"returns with more attempts":         {gap: unnamed, back: policyWith([]policy.Queue{queueWith(4)}, termsTeam), runs: [3]int{1, 1, 1}, state: jobs.Running},
		"returns with fewer attempts":        {gap: unnamed, back: policyWith([]policy.Queue{queueWith(2)}, termsTeam), runs: [3]int{1, 1, 0}, state: jobs.Failed},
		"change of owner in the gap":         {takeover: true, gap: unnamed, back: accepted, runs: [3]int{1, 1, 1}, state: jobs.Failed},
		"never returns":                      {gap: unnamed, back: unnamed, runs: [3]int{1, 1, 1}, state: jobs.Failed},
		"without its service":                {gap: noService, back: accepted, runs: [3]int{1, 0, 1}, state: jobs.Running},
		"of an earlier build":                {noTerms: true, gap: unnamed, back: accepted, runs: [3]int{1, 1, 1}, state: jobs.Failed},
		"of an earlier build, new owner":     {noTerms: true, takeover: true, gap: unnamed, back: accepted, runs: [3]int{1, 0, 1}, state: jobs.Running},
		"of an earlier build, fewer allowed": {noTerms: true, takeover: true, gap: unnamed, back: policyWith([]policy.Queue{queueWith(1)}, termsTeam), runs: [3]int{1, 0, 0}, state: jobs.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 4)
			f.SetPolicy(accepted)
			f.registerWorkers()
			spec := newJob("j", 1, false)
			if !c.noTerms {
				q := queueWith(3)
				spec.Terms = jobs.NewTerms(&q, core.Resources{})
			}
			f.Accept(f.now, spec)
			is.Equal(f.failStarted(), c.runs[0])
			f.SetPolicy(c.gap)
			if c.takeover {
				stored := jobs.Progress{}
				for _, change := range f.Batch() {
					stored.Merge(&change)
				}
				f.Scheduler = fleet.New(f.now, 2, fleet.Limits{Lease: leaseDuration, RemoteFactor: 1}, c.gap)
				f.Load(f.now, []jobs.Spec{spec}, map[core.JobID]jobs.Progress{"j": stored})
				f.SetWorkers(f.now, f.list(f.workers))
				f.RosterStored(f.Roster())
			}
			is.Equal(f.failStarted(), c.runs[1])
			f.SetPolicy(c.back)
			is.Equal(f.failStarted(), c.runs[2])
			f.store()
			state, known := f.State("j")
			is.True(known)
			is.Equal(state, c.state)
		})
	}
}

// TestUnnamedTeamKeepsItsLimit guards against a team whose running jobs may take the whole
// fleet since the configuration does not name the team any more.
func TestUnnamedTeamKeepsItsLimit(t *testing.T) {
	limit := core.Resources{Cores: 2000}
	q := queueWith(3)
	for name, c := range map[string]struct {
		terms *jobs.Terms
		first *policy.Policy
	}{
		"by its terms":         {jobs.NewTerms(&q, limit), policyWith([]policy.Queue{q}, nil)},
		"by an earlier policy": {nil, policyWith([]policy.Queue{q}, []policy.Team{{Name: "t", Weight: 1, Limit: limit}})},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 4)
			f.SetPolicy(c.first)
			f.registerWorkers()
			spec := newJob("j", 10, false)
			spec.Terms = c.terms
			f.Accept(f.now, spec)
			f.SetPolicy(policyWith([]policy.Queue{q}, nil))
			is.Equal(len(f.nextOrders(fleet.OrderStart)), 2)
		})
	}
}

// TestRandomQueues plays TestRandomFaults while the queue leaves the configuration and returns, and
// runs of some tasks fail, once or each time: only the jobs of the latter must fail. Each case has
// its own random seed.
func TestRandomQueues(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, seed, 4, core.Resources{})
			named, q := h.policy, queueWith(3)
			h.playFaults(seed, 24, func(tick int, next *jobs.Spec) {
				switch tick % 100 {
				case 60:
					h.policy = policyWith(nil, termsTeam)
				case 85:
					h.policy = named
				}
				if tick%100 == 60 || tick%100 == 85 {
					for _, o := range h.owners {
						o.scheduler.SetPolicy(h.policy)
					}
				}
				if next != nil && h.policy == named {
					next.Terms = jobs.NewTerms(&q, core.Resources{})
					next.Phases[0].Image = []string{"", flakyImage, failingImage}[len(h.specs)%3]
					h.submit(*next)
				}
			})
			h.checkStates(func(spec jobs.Spec, state jobs.State) bool {
				return (state == jobs.Failed) == (spec.Phases[0].Image == failingImage) && state.Final()
			})
		})
	}
}
