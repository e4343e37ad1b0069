package owner_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
	"chicoryturn/core/rank"
	"chicoryturn/io/clock"
	"chicoryturn/io/loop"
	"chicoryturn/io/owner"
	"chicoryturn/io/record"
	"chicoryturn/io/table"
)

// fakeDeps is a fake of the store, the workers and the metrics of an owner. Its feed
// of changes is always compacted, and loading a snapshot takes 1.3 s.
type fakeDeps struct {
	mu sync.Mutex
	// loads counts the snapshot loads, loading those in flight, maxLoading the most
	// that were in flight at once.
	loads, loading, maxLoading int
	feedReads                  int
}

func (*fakeDeps) OwnerRecord(context.Context) (elect.Observation, error) {
	return elect.Observation{}, nil
}

func (*fakeDeps) Write(context.Context, record.OwnerWrite) (table.WriteResult, error) {
	return table.WriteResult{Version: 1}, nil
}

func (o *fakeDeps) Load(ctx context.Context, _ *budget.Budget) (*record.Snapshot, error) {
	o.mu.Lock()
	o.loads++
	o.loading++
	o.maxLoading = max(o.maxLoading, o.loading)
	o.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(1300 * time.Millisecond):
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.loading--
	return &record.Snapshot{}, nil
}

func (*fakeDeps) Jobs(context.Context, []core.JobID) (*record.Snapshot, error) {
	return &record.Snapshot{}, nil
}

func (o *fakeDeps) Changes(context.Context, uint64) (record.Snapshot, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.feedReads++
	return record.Snapshot{}, &table.CompactedError{Version: 1}
}

func (*fakeDeps) Delete(context.Context, []core.JobID) error { return nil }

func (*fakeDeps) Start(context.Context, fleet.Order, func() bool) (fleet.Reply, error) {
	return fleet.ReplyOK, nil
}

func (*fakeDeps) Stop(context.Context, fleet.Order) (fleet.Reply, error) { return fleet.ReplyOK, nil }

func (*fakeDeps) Heartbeat(context.Context, fleet.Order) (fleet.RunLists, fleet.Reply, error) {
	return fleet.RunLists{}, fleet.ReplyOK, nil
}

func (*fakeDeps) Workers(context.Context) (fleet.WorkerList, error) {
	return fleet.WorkerList{}, nil
}

func (*fakeDeps) Counts(fleet.Counts)                {}
func (*fakeDeps) Memory(fleet.MemoryUse)             {}
func (*fakeDeps) Waiting([rank.Classes]int)          {}
func (*fakeDeps) Call(string, string, time.Duration) {}
func (*fakeDeps) Record(int, time.Duration)          {}
func (*fakeDeps) Placement(time.Duration)            {}
func (*fakeDeps) SetOwning(bool)                     {}
func (*fakeDeps) Claim(elect.ClaimReason)            {}
func (*fakeDeps) Yield(elect.YieldReason)            {}
func (*fakeDeps) Authority(time.Duration, int)       {}
func (*fakeDeps) Mailbox(time.Duration, int)         {}
func (*fakeDeps) Queued(int, int)                    {}
func (*fakeDeps) Evacuated(int)                      {}
func (*fakeDeps) Withdrawn(int)                      {}

// allDeps combines the dependencies of an owner.
type allDeps interface {
	owner.RecordStore
	owner.WorkerClient
	owner.WorkerLister
	owner.Meter
}

// withHook adds a hook to the log of an owner.
func withHook(h logrus.Hook) func(*logrus.Logger) { return func(l *logrus.Logger) { l.AddHook(h) } }

// setPolicy gives an owner a configuration, and no evacuated zones.
func setPolicy(o *owner.Owner, p *policy.Policy) {
	o.SetDirectives(policy.Directives{Policy: p}, clock.BootTime())
}

// startOwner starts an owner that runs until the test ends.
func startOwner(t testing.TB, deps allDeps, holder core.SessionID, p *policy.Policy, opts ...func(*logrus.Logger)) *owner.Owner {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, opt := range opts {
		opt(log)
	}
	o := owner.New(loop.New(ctx), owner.Deps{Records: deps, Workers: deps, Lister: deps, Meter: deps}, elect.Record{Holder: holder, VM: string(holder)}, 0,
		fleet.Limits{Lease: 6 * time.Second, RemoteFactor: 1}, log.WithField("part", "owner"))
	go func() { _ = o.Run() }()
	if p != nil {
		setPolicy(o, p)
	}
	return o
}

// sharedRow is the ownership record in a store that several processes share.
type sharedRow struct {
	mu      sync.Mutex
	record  elect.Record
	version uint64
}

// delayedStore is one process's view of the shared row; its calls take delay.
type delayedStore struct {
	*fakeDeps
	row   *sharedRow
	delay time.Duration
}

func (w *delayedStore) OwnerRecord(context.Context) (elect.Observation, error) {
	time.Sleep(w.delay)
	w.row.mu.Lock()
	defer w.row.mu.Unlock()
	return elect.Observation{Record: w.row.record, Version: w.row.version}, nil
}

func (w *delayedStore) Write(_ context.Context, r record.OwnerWrite) (table.WriteResult, error) {
	time.Sleep(w.delay)
	w.row.mu.Lock()
	defer w.row.mu.Unlock()
	if r.Version != w.row.version {
		return table.WriteResult{}, &table.ConflictError{}
	}
	w.row.record, w.row.version = r.Record, w.row.version+1
	return table.WriteResult{Version: w.row.version}, nil
}

// TestNearestProcessClaims starts two processes while no process holds the ownership
// record. The near one must claim it, although the far one starts 60 ms earlier,
// since the claim delay grows with the latency of the store.
func TestNearestProcessClaims(t *testing.T) {
	is := is.New(t)
	r := &sharedRow{}
	for _, vm := range []struct {
		name  string
		delay time.Duration
	}{{"far", 25 * time.Millisecond}, {"near", 2 * time.Millisecond}} {
		w := &delayedStore{fakeDeps: &fakeDeps{}, row: r, delay: vm.delay}
		startOwner(t, w, core.SessionID(vm.name), nil)
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	is.Equal(r.record.Holder, core.SessionID("near"))
}

// TestCompactedFeed compacts the feed of changes while the owner loads a snapshot.
// One load must run at a time, and the owner must not read the feed during it.
func TestCompactedFeed(t *testing.T) {
	is := is.New(t)
	deps := &fakeDeps{}
	startOwner(t, deps, "a", policy.New(1, nil, nil, nil, 0))
	time.Sleep(5 * time.Second)
	deps.mu.Lock()
	defer deps.mu.Unlock()
	is.True(deps.loads >= 2) // after the claim, and after the feed was compacted
	is.Equal(deps.maxLoading, 1)
	is.True(deps.feedReads <= deps.loads)
}

// emptyFeedStore is a store whose feed has no changes.
type emptyFeedStore struct{ *fakeDeps }

func (emptyFeedStore) Changes(context.Context, uint64) (record.Snapshot, error) {
	return record.Snapshot{}, nil
}

// TestPolicyAfterSnapshot sets the configuration after the snapshot has been loaded.
// The owner must start to schedule at once, without a second load.
func TestPolicyAfterSnapshot(t *testing.T) {
	is := is.New(t)
	deps := &fakeDeps{}
	o := startOwner(t, emptyFeedStore{deps}, "a", nil)
	time.Sleep(2500 * time.Millisecond) // time for a claim and one load
	setPolicy(o, policy.New(1, nil, nil, nil, 0))
	time.Sleep(100 * time.Millisecond)
	_, _, isOwner, err := o.State(t.Context(), "j")
	is.NoErr(err)
	is.True(isOwner)
	deps.mu.Lock()
	defer deps.mu.Unlock()
	is.Equal(deps.loads, 1)
}

// laggingStore is a store whose feed holds jobs of epochs 2 and 3 while the ownership record
// still names the owner of epoch 1.
type laggingStore struct {
	*fakeDeps
	mu     sync.Mutex
	record elect.Record
}

func (l *laggingStore) OwnerRecord(context.Context) (elect.Observation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return elect.Observation{Record: l.record, Version: uint64(l.record.WriteNumber)}, nil
}

func (l *laggingStore) Write(_ context.Context, r record.OwnerWrite) (table.WriteResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record = r.Record
	return table.WriteResult{Version: uint64(r.Record.WriteNumber)}, nil
}

func (l *laggingStore) Changes(context.Context, uint64) (record.Snapshot, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return record.Snapshot{Version: 1, Specs: []jobs.Spec{
		{ID: "next", Team: "t", Queue: "q", FirstEpoch: 2, Phases: []jobs.Phase{{Count: 1}}},
		{ID: "later", Team: "t", Queue: "q", FirstEpoch: 3, Phases: []jobs.Phase{{Count: 1}}},
	}}, nil
}

// TestJobOfLaterOwner supplies jobs of later owners through the feed. The process must
// step down once and read the ownership record. Since that still names it, it must own
// the fleet under the next epoch, load a snapshot again, and schedule the job of that
// epoch, but not that of a later one.
func TestJobOfLaterOwner(t *testing.T) {
	is := is.New(t)
	l := &laggingStore{fakeDeps: &fakeDeps{}}
	o := startOwner(t, l, "a", policy.New(1, nil, nil, nil, 0))
	time.Sleep(5 * time.Second)
	l.fakeDeps.mu.Lock()
	defer l.fakeDeps.mu.Unlock()
	is.Equal(l.loads, 2)
	_, known, isOwner, err := o.State(t.Context(), "next")
	is.NoErr(err)
	is.True(isOwner)
	is.True(known)
	_, known, _, err = o.State(t.Context(), "later")
	is.NoErr(err)
	is.True(!known)
	l.mu.Lock()
	defer l.mu.Unlock()
	is.Equal(l.record.Epoch, core.Epoch(2))
}

// restartedWorker is a fake of a worker whose incarnation is newer than the one in the
// platform's list, and of a store whose writes take 150 ms.
type restartedWorker struct {
	emptyFeedStore
	mu      sync.Mutex
	version uint64
	rosters [][]fleet.RosterEntry
	// rosterWriting is closed when the first write of a roster begins.
	rosterWriting chan struct{}
	once          sync.Once
}

var (
	oldIncarnation = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	newIncarnation = oldIncarnation.Add(time.Minute)
)

func (*restartedWorker) Workers(context.Context) (fleet.WorkerList, error) {
	return fleet.WorkerList{Workers: []fleet.WorkerInfo{{VM: core.VM{Name: "w", Service: "s"}, Incarnation: oldIncarnation}}}, nil
}

func (r *restartedWorker) Heartbeat(ctx context.Context, _ fleet.Order) (fleet.RunLists, fleet.Reply, error) {
	select {
	case <-r.rosterWriting:
	case <-ctx.Done():
	}
	return fleet.RunLists{Clock: time.Second, Incarnation: newIncarnation}, fleet.ReplyOK, nil
}

func (r *restartedWorker) Write(_ context.Context, rec record.OwnerWrite) (table.WriteResult, error) {
	if rec.Roster != nil {
		r.once.Do(func() { close(r.rosterWriting) })
	}
	time.Sleep(150 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	if rec.Roster != nil {
		r.rosters = append(r.rosters, rec.Roster)
	}
	return table.WriteResult{Version: r.version}, nil
}

// TestRosterChangesDuringWrite answers a heartbeat with a new incarnation while a
// write of the roster with the old incarnation is in flight. The owner must write the
// new roster afterwards: it never uses a worker that is not in the stored roster.
func TestRosterChangesDuringWrite(t *testing.T) {
	is := is.New(t)
	r := &restartedWorker{emptyFeedStore: emptyFeedStore{&fakeDeps{}}, rosterWriting: make(chan struct{})}
	startOwner(t, r, "a", policy.New(1, nil, nil, []policy.Service{{Name: "s"}}, 0))
	time.Sleep(4 * time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	is.True(len(r.rosters) > 0)
	is.True(r.rosters[len(r.rosters)-1][0].Incarnation.Equal(newIncarnation))
}
