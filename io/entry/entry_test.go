package entry_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"chicoryturn/core"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
	"chicoryturn/io/advice"
	"chicoryturn/io/entry"
)

// fakeDeps stands for the store, the owner, the placement policy and the metrics.
type fakeDeps struct {
	accepted     []core.JobID
	notified     []core.JobID
	storedStates map[core.JobID]jobs.State
	// connected is set while the owner answers, knows what it knows of.
	connected   bool
	ownerStates map[core.JobID]jobs.State
	err         error
	requests    []fleet.AdviceRequest
	// firstEpochs are the owners that the accepted jobs name.
	firstEpochs []core.Epoch
	// delay is that of calls to the placement policy.
	delay time.Duration
	// unreachable is set while the store cannot be reached.
	unreachable bool
}

func (o *fakeDeps) Accept(_ context.Context, s jobs.Spec) (jobs.Spec, error) {
	if o.err == nil {
		o.accepted = append(o.accepted, s.ID)
		o.firstEpochs = append(o.firstEpochs, s.FirstEpoch)
	}
	return s, o.err
}

func (o *fakeDeps) Cancel(context.Context, core.JobID, time.Time) error { return o.err }

// fakeRecords answers questions about jobs, as the store does.
type fakeRecords struct{ *fakeDeps }

func (r fakeRecords) State(_ context.Context, id core.JobID) (jobs.State, error) {
	if r.err != nil {
		return "", r.err
	}
	if s, ok := r.storedStates[id]; ok {
		return s, nil
	}
	return "", core.Refuse(core.CodeNoJob, "no job")
}

func (o *fakeDeps) Accepted(s jobs.Spec, _ bool) { o.notified = append(o.notified, s.ID) }

func (o *fakeDeps) Advised(advice.Result) {}

func (o *fakeDeps) Connected() bool { return o.connected }

func (o *fakeDeps) Unreachable() bool { return o.unreachable }

func (o *fakeDeps) Cancelled(id core.JobID) { o.notified = append(o.notified, id) }

func (o *fakeDeps) State(_ context.Context, id core.JobID) (jobs.State, bool, error) {
	if !o.connected {
		return "", false, context.DeadlineExceeded
	}
	s, ok := o.ownerStates[id]
	return s, ok, nil
}

func (o *fakeDeps) Pending(context.Context, core.Queue) (int, bool, error) {
	return 3, o.connected, nil
}

func (o *fakeDeps) Request(a fleet.AdviceRequest, then func(advice.Result)) {
	o.requests = append(o.requests, a)
	then(advice.Result{Request: a})
}

func (o *fakeDeps) Delay() time.Duration { return o.delay }

func (o *fakeDeps) Call(string, string, time.Duration) {}

func newEntry(o *fakeDeps) *entry.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return entry.New(fakeRecords{o}, o, o, o, log.WithField("part", "entry"))
}

func newPolicy(version core.Version, key string) *policy.Policy {
	return policy.New(version,
		[]policy.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s"}, {Name: "deep", Host: "h", Prefix: "/q/deep/", Service: "s", Public: true}},
		[]policy.Team{{Name: "t", Keys: []string{key}}}, []policy.Service{{Name: "s"}}, 0)
}

func code(err error) core.Code {
	var r *core.RefusalError
	if errors.As(err, &r) {
		return r.Code
	}
	return ""
}

// TestFirstEpoch has rows: the seat as the VM last saw it, and the first owner that
// may start a job taken then.
func TestFirstEpoch(t *testing.T) {
	for name, c := range map[string]struct {
		seat elect.Record
		from core.Epoch
	}{
		"no seat seen":       {elect.Record{}, 1},
		"an owner":           {elect.Record{Holder: "a/1", Epoch: 3}, 3},
		"an owner that left": {elect.Record{Epoch: 3}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := &fakeDeps{connected: true}
			e := newEntry(o)
			e.SetPolicy(newPolicy(5, "k"))
			e.SetOwner(c.seat)
			is.NoErr(e.Submit(context.Background(), jobs.Spec{ID: "a", Queue: "q", Phases: []jobs.Phase{{Count: 1}}}))
			is.Equal(o.firstEpochs, []core.Epoch{c.from})
		})
	}
}

func TestVisit(t *testing.T) {
	is := is.New(t)
	e := newEntry(&fakeDeps{})
	_, _, _, err := e.Visit("h", "/q/1", "k")
	is.Equal(code(err), core.CodeConfig)
	is.True(!e.Ready())
	e.SetPolicy(newPolicy(5, "k"))
	is.True(e.Ready())
	q, team, rest, err := e.Visit("h:80", "/q/1", "k")
	is.NoErr(err)
	is.Equal(q.Name, core.Queue("q"))
	is.Equal(team, core.Team("t"))
	is.Equal(rest, "1")
	q, team, _, err = e.Visit("h", "/q/deep/1", "")
	is.NoErr(err) // the longest prefix wins, and a public queue needs no key
	is.Equal(q.Name, core.Queue("deep"))
	is.Equal(team, core.Team(""))
	_, _, _, err = e.Visit("h", "/q/1", "other")
	is.Equal(code(err), core.CodeBadKey)
	_, _, _, err = e.Visit("other", "/q/1", "k")
	is.Equal(code(err), core.CodeNoQueue)
	e.SetPolicy(newPolicy(4, "old")) // an older one changes nothing
	_, _, _, err = e.Visit("h", "/q/1", "old")
	is.Equal(code(err), core.CodeBadKey)
}

func TestSubmit(t *testing.T) {
	spec := jobs.Spec{ID: "a", Team: "t", Queue: "q", Phases: []jobs.Phase{{Count: 1, Need: core.Resources{Cores: 900}}}}
	room := func(cores int64) []fleet.WorkerInfo {
		return []fleet.WorkerInfo{{VM: core.VM{Name: "w", Service: "s", Room: core.Resources{Cores: cores}}}}
	}
	for name, c := range map[string]struct {
		hosts []fleet.WorkerInfo
		err   error
		code  core.Code
	}{
		"accepted":          {hosts: room(1000)},
		"no list yet":       {},
		"larger than any":   {hosts: room(800), code: core.CodeTooLarge},
		"the store refuses": {hosts: room(1000), err: core.Refuse(core.CodeStore, "away"), code: core.CodeStore},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := &fakeDeps{err: c.err}
			e := newEntry(o)
			e.SetPolicy(newPolicy(1, "k"))
			if c.hosts != nil {
				e.SetWorkers(c.hosts)
			}
			is.Equal(code(e.Submit(context.Background(), spec)), c.code)
			is.Equal(len(o.notified) == 1, c.code == "") // the owner hears only of what is in the store
		})
	}
}

// TestState asks for jobs that the owner knows, that only the record knows, and
// that neither does; only the record may say that there is none.
func TestState(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	o := &fakeDeps{connected: true, ownerStates: map[core.JobID]jobs.State{"a": jobs.Running}, storedStates: map[core.JobID]jobs.State{"a": jobs.Queued, "b": jobs.Completed}}
	e := newEntry(o)
	s, err := e.State(ctx, "a")
	is.NoErr(err)
	is.Equal(s, jobs.Running)
	s, err = e.State(ctx, "b")
	is.NoErr(err)
	is.Equal(s, jobs.Completed)
	_, err = e.State(ctx, "c")
	is.Equal(code(err), core.CodeNoJob)
	o.connected = false
	s, err = e.State(ctx, "a")
	is.NoErr(err)
	is.Equal(s, jobs.Queued)
	_, err = e.Pending(ctx, "q")
	is.Equal(code(err), core.CodeOwner)
	o.err = context.DeadlineExceeded
	_, err = e.State(ctx, "c")
	is.Equal(code(err), core.CodeStore) // unsure is not "none"
}

// TestReadyWhileUnreachable tells the balancer to send clients elsewhere only if this
// VM reaches neither the store nor another VM.
func TestReadyWhileUnreachable(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ away, linked, ready bool }{
		{false, true, true}, {false, false, true}, {true, true, true}, {true, false, false},
	} {
		o := &fakeDeps{unreachable: c.away, connected: c.linked}
		e := newEntry(o)
		e.SetPolicy(newPolicy(1, "k"))
		is.Equal(e.Ready(), c.ready)
	}
}
