package entry_test

import (
	"context"
	"errors"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"chicoryturn/core"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/load"
	"chicoryturn/core/policy"
	"chicoryturn/io/advice"
	"chicoryturn/io/entry"
)

// fakeDeps is a fake of the store, the owner, the advisor and the metrics.
type fakeDeps struct {
	// accepted holds the stored jobs, notified the jobs of which the owner was notified.
	accepted     []core.JobID
	notified     []core.JobID
	storedStates map[core.JobID]jobs.State
	// storedAt holds when jobs were accepted that earlier calls have stored.
	storedAt map[core.JobID]time.Time
	// connected is set if the owner answers; ownerStates holds the jobs that it has.
	connected   bool
	ownerStates map[core.JobID]jobs.State
	// err is returned by all calls of the store.
	err      error
	requests []fleet.AdviceRequest
	// firstEpochs are the first epochs of the accepted jobs.
	firstEpochs []core.Epoch
	// delay is how long a new advice request would wait.
	delay time.Duration
	// unreachable is set if the store cannot be reached.
	unreachable bool
	// refused holds the queue and reason of each job that was refused as useless.
	refused []string
}

func (d *fakeDeps) Accept(_ context.Context, s jobs.Spec) (jobs.Spec, error) {
	if at, ok := d.storedAt[s.ID]; ok && d.err == nil {
		s.Accepted = at
	}
	if d.err == nil {
		d.accepted = append(d.accepted, s.ID)
		d.firstEpochs = append(d.firstEpochs, s.FirstEpoch)
	}
	return s, d.err
}

func (d *fakeDeps) Find(_ context.Context, s jobs.Spec) (jobs.Spec, bool, error) {
	return s, slices.Contains(d.accepted, s.ID), d.err
}

func (d *fakeDeps) Cancel(context.Context, core.JobID, time.Time) error { return d.err }

// fakeRecords is the store of fakeDeps. It returns the state of jobs as the store has
// it, while fakeDeps itself returns it as the owner has it.
type fakeRecords struct{ *fakeDeps }

func (r fakeRecords) State(_ context.Context, id core.JobID) (jobs.State, error) {
	if r.err != nil {
		return "", r.err
	}
	if s, ok := r.storedStates[id]; ok {
		return s, nil
	}
	return "", core.Refuse(core.CodeUnknownJob, "no job")
}

func (d *fakeDeps) JobAccepted(s jobs.Spec, _ bool) { d.notified = append(d.notified, s.ID) }

func (d *fakeDeps) ReportAdvice(advice.Result) {}

func (d *fakeDeps) Connected() bool { return d.connected }

func (d *fakeDeps) Unreachable() bool { return d.unreachable }

func (d *fakeDeps) JobCancelled(id core.JobID) { d.notified = append(d.notified, id) }

func (d *fakeDeps) State(_ context.Context, id core.JobID) (jobs.State, bool, error) {
	if !d.connected {
		return "", false, context.DeadlineExceeded
	}
	s, ok := d.ownerStates[id]
	return s, ok, nil
}

func (d *fakeDeps) Pending(context.Context, core.Queue) (int, bool, error) {
	return 3, d.connected, nil
}

func (d *fakeDeps) Request(r fleet.AdviceRequest, onResult func(advice.Result)) {
	d.requests = append(d.requests, r)
	onResult(advice.Result{Request: r})
}

func (d *fakeDeps) Delay() time.Duration { return d.delay }

func (d *fakeDeps) Call(string, string, time.Duration) {}

func (d *fakeDeps) Refused(q core.Queue, reason load.Reason) {
	d.refused = append(d.refused, string(q)+" "+string(reason))
}

func (d *fakeDeps) EstimateAge(time.Duration) {}

func newEntry(deps *fakeDeps, opts ...entry.Option) *entry.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return entry.New(fakeRecords{deps}, deps, deps, deps, log.WithField("part", "entry"), opts...)
}

// newPolicy returns a configuration with a team that has one key.
func newPolicy(version core.Version, key string) *policy.Policy {
	return policy.New(version,
		[]policy.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s"}, {Name: "deep", Host: "h", Prefix: "/q/deep/", Service: "s", Public: true}},
		[]policy.Team{{Name: "t", Keys: []string{key}}}, []policy.Service{{Name: "s"}}, 0)
}

// code returns the code of a RefusalError.
func code(err error) core.Code {
	var r *core.RefusalError
	if errors.As(err, &r) {
		return r.Code
	}
	return ""
}

// TestFirstEpoch sets an ownership record and checks the epoch of the first owner that
// may start a job submitted afterwards.
func TestFirstEpoch(t *testing.T) {
	for name, c := range map[string]struct {
		record elect.Record
		first  core.Epoch
	}{
		"no record seen":         {elect.Record{}, 1},
		"an owner":               {elect.Record{Holder: "a/1", Epoch: 3}, 3},
		"an owner that resigned": {elect.Record{Epoch: 3}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			deps := &fakeDeps{connected: true}
			e := newEntry(deps)
			e.SetPolicy(newPolicy(5, "k"))
			e.SetOwner(c.record)
			is.NoErr(e.Submit(context.Background(), jobs.Spec{ID: "a", Queue: "q", Phases: []jobs.Phase{{Count: 1}}}))
			is.Equal(deps.firstEpochs, []core.Epoch{c.first})
		})
	}
}

func TestAuthorize(t *testing.T) {
	is := is.New(t)
	e := newEntry(&fakeDeps{})
	_, _, _, err := e.Authorize("h", "/q/1", "k")
	is.Equal(code(err), core.CodeConfigUnconfirmed)
	is.True(!e.Ready())
	e.SetPolicy(newPolicy(5, "k"))
	is.True(e.Ready())
	q, team, rest, err := e.Authorize("h:80", "/q/1", "k")
	is.NoErr(err)
	is.Equal(q.Name, core.Queue("q"))
	is.Equal(team, core.Team("t"))
	is.Equal(rest, "1")
	q, team, _, err = e.Authorize("h", "/q/deep/1", "")
	is.NoErr(err) // the longest prefix wins, and a public queue needs no key
	is.Equal(q.Name, core.Queue("deep"))
	is.Equal(team, core.Team(""))
	_, _, _, err = e.Authorize("h", "/q/1", "other")
	is.Equal(code(err), core.CodeBadKey)
	_, _, _, err = e.Authorize("other", "/q/1", "k")
	is.Equal(code(err), core.CodeUnknownQueue)
	e.SetPolicy(newPolicy(4, "old")) // an older one changes nothing
	_, _, _, err = e.Authorize("h", "/q/1", "old")
	is.Equal(code(err), core.CodeBadKey)
}

func TestSubmit(t *testing.T) {
	spec := jobs.Spec{ID: "a", Team: "t", Queue: "q", Phases: []jobs.Phase{{Count: 1, Need: core.Resources{Cores: 900}}}}
	room := func(cores int64) []fleet.WorkerInfo {
		return []fleet.WorkerInfo{{VM: core.VM{Name: "w", Service: "s", Capacity: core.Resources{Cores: cores}}}}
	}
	for name, c := range map[string]struct {
		workers []fleet.WorkerInfo
		err     error
		code    core.Code
	}{
		"accepted":               {workers: room(1000)},
		"no worker list yet":     {},
		"larger than any worker": {workers: room(800), code: core.CodeTooLarge},
		"the store refuses":      {workers: room(1000), err: core.Refuse(core.CodeStoreUnavailable, "away"), code: core.CodeStoreUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			deps := &fakeDeps{err: c.err}
			e := newEntry(deps)
			e.SetPolicy(newPolicy(1, "k"))
			if c.workers != nil {
				e.SetWorkers(c.workers)
			}
			is.Equal(code(e.Submit(context.Background(), spec)), c.code)
			is.Equal(len(deps.notified) == 1, c.code == "") // the owner must be notified only of stored jobs
		})
	}
}

// TestState reads jobs that the owner knows, that only the store knows, and that neither
// knows. Only the store may report that a job does not exist.
func TestState(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	deps := &fakeDeps{connected: true, ownerStates: map[core.JobID]jobs.State{"a": jobs.Running}, storedStates: map[core.JobID]jobs.State{"a": jobs.Queued, "b": jobs.Completed}}
	e := newEntry(deps)
	s, err := e.State(ctx, "a")
	is.NoErr(err)
	is.Equal(s, jobs.Running)
	s, err = e.State(ctx, "b")
	is.NoErr(err)
	is.Equal(s, jobs.Completed)
	_, err = e.State(ctx, "c")
	is.Equal(code(err), core.CodeUnknownJob)
	deps.connected = false
	s, err = e.State(ctx, "a")
	is.NoErr(err)
	is.Equal(s, jobs.Queued)
	_, err = e.Pending(ctx, "q")
	is.Equal(code(err), core.CodeNoOwner)
	deps.err = context.DeadlineExceeded
	_, err = e.State(ctx, "c")
	is.Equal(code(err), core.CodeStoreUnavailable) // a failed read must not report that the job does not exist
}

// TestReadyWhileUnreachable checks that a VM is not ready only if it can reach neither
// the store nor another VM.
func TestReadyWhileUnreachable(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ unreachable, connected, ready bool }{
		{false, true, true}, {false, false, true}, {true, true, true}, {true, false, false},
	} {
		deps := &fakeDeps{unreachable: c.unreachable, connected: c.connected}
		e := newEntry(deps)
		e.SetPolicy(newPolicy(1, "k"))
		is.Equal(e.Ready(), c.ready)
	}
}
