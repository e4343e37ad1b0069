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
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
	"chicoryturn/io/loop"
	"chicoryturn/io/owner"
	"chicoryturn/io/record"
	"chicoryturn/io/table"
)

// fakeDeps stands for the store and the workers of an owner. The feed of changes
// has been cut for good, and reading the record takes a while.
type fakeDeps struct {
	mu sync.Mutex
	// loads counts the readings of the record, now those under way.
	loads, loading, maxLoading int
	feedReads                  int
}

func (*fakeDeps) OwnerRecord(context.Context) (elect.Observation, error) {
	return elect.Observation{}, nil
}

func (*fakeDeps) Write(context.Context, record.OwnerWrite) (table.Done, error) {
	return table.Done{Version: 1}, nil
}

func (o *fakeDeps) Load(ctx context.Context) (*record.Snapshot, error) {
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

func (o *fakeDeps) Changes(context.Context, uint64) (record.Snapshot, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.feedReads++
	return record.Snapshot{}, &table.CompactedError{Version: 1}
}

func (*fakeDeps) Delete(context.Context, []core.JobID) error { return nil }

func (*fakeDeps) Start(context.Context, fleet.Order) (fleet.Reply, error) { return fleet.ReplyOK, nil }

func (*fakeDeps) Stop(context.Context, fleet.Order) (fleet.Reply, error) { return fleet.ReplyOK, nil }

func (*fakeDeps) Heartbeat(context.Context, fleet.Order) (fleet.RunLists, fleet.Reply, error) {
	return fleet.RunLists{}, fleet.ReplyOK, nil
}

func (*fakeDeps) Workers(context.Context) ([]fleet.WorkerInfo, []error, error) { return nil, nil, nil }

func (*fakeDeps) Counts(fleet.Counts)                {}
func (*fakeDeps) Call(string, string, time.Duration) {}
func (*fakeDeps) Record(int, time.Duration)          {}
func (*fakeDeps) Placement(time.Duration)            {}
func (*fakeDeps) Own(bool)                           {}

// allDeps is what an owner reaches, by one stand-in.
type allDeps interface {
	owner.RecordStore
	owner.WorkerClient
	owner.WorkerLister
	owner.Meter
}

// startOwner runs an owner until the test ends.
func startOwner(t *testing.T, out allDeps, holder core.SessionID, p *policy.Policy) *owner.Owner {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := owner.New(loop.New(ctx), owner.Deps{Records: out, Workers: out, Lister: out, Meter: out}, elect.Record{Holder: holder, VM: string(holder)}, 0,
		fleet.Limits{Lease: 6 * time.Second, RemoteFactor: 1}, log.WithField("part", "owner"))
	go func() { _ = o.Run() }()
	if p != nil {
		o.SetPolicy(p)
	}
	return o
}

// sharedRow is the seat's row in a store that several VMs reach.
type sharedRow struct {
	mu      sync.Mutex
	record  elect.Record
	version uint64
}

// delayedStore is how one VM reaches the row, at some distance.
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

func (w *delayedStore) Write(_ context.Context, r record.OwnerWrite) (table.Done, error) {
	time.Sleep(w.delay)
	w.row.mu.Lock()
	defer w.row.mu.Unlock()
	if r.Version != w.row.version {
		return table.Done{}, &table.ConflictError{}
	}
	w.row.record, w.row.version = r.Record, w.row.version+1
	return table.Done{Version: w.row.version}, nil
}

// TestNearestProcessClaims has two VMs find the seat free, the one far from the store a
// little earlier: the near one, whose records take less time, gets it.
func TestNearestProcessClaims(t *testing.T) {
	is := is.New(t)
	r := &sharedRow{}
	for _, vm := range []struct {
		name string
		away time.Duration
	}{{"far", 25 * time.Millisecond}, {"near", 2 * time.Millisecond}} {
		w := &delayedStore{fakeDeps: &fakeDeps{}, row: r, delay: vm.away}
		startOwner(t, w, core.SessionID(vm.name), nil)
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	is.Equal(r.record.Holder, core.SessionID("near"))
}

// TestCompactedFeed has the feed of changes cut while the owner reads the whole
// record: one reading runs at a time, and the feed is not asked meanwhile.
func TestCompactedFeed(t *testing.T) {
	is := is.New(t)
	out := &fakeDeps{}
	startOwner(t, out, "a", policy.New(1, nil, nil, nil, 0))
	time.Sleep(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	is.True(out.loads >= 2) // after the claim, and after the feed was cut
	is.Equal(out.maxLoading, 1)
	is.True(out.feedReads <= out.loads)
}

// quietStore is a store in which nothing happens.
type quietStore struct{ *fakeDeps }

func (quietStore) Changes(context.Context, uint64) (record.Snapshot, error) {
	return record.Snapshot{}, nil
}

// TestPolicyAfterSnapshot has the configuration come after the record has been read: the
// owner decides at once, by that reading.
func TestPolicyAfterSnapshot(t *testing.T) {
	is := is.New(t)
	out := &fakeDeps{}
	o := startOwner(t, quietStore{out}, "a", nil)
	time.Sleep(2500 * time.Millisecond) // a claim and one reading
	o.SetPolicy(policy.New(1, nil, nil, nil, 0))
	time.Sleep(100 * time.Millisecond)
	_, _, mine, err := o.State(t.Context(), "j")
	is.NoErr(err)
	is.True(mine)
	out.mu.Lock()
	defer out.mu.Unlock()
	is.Equal(out.loads, 1)
}

// laggingStore is a store whose feed names a job of a later owner, while the row still
// names this one.
type laggingStore struct {
	*fakeDeps
	mu     sync.Mutex
	record elect.Record
}

func (l *laggingStore) OwnerRecord(context.Context) (elect.Observation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return elect.Observation{Record: l.record, Version: uint64(l.record.Beat)}, nil
}

func (l *laggingStore) Write(_ context.Context, r record.OwnerWrite) (table.Done, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record = r.Record
	return table.Done{Version: uint64(r.Record.Beat)}, nil
}

func (l *laggingStore) Changes(context.Context, uint64) (record.Snapshot, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return record.Snapshot{Version: 1, Specs: []jobs.Spec{{ID: "j", Team: "t", Queue: "q", FirstEpoch: 2, Phases: []jobs.Phase{{Count: 1}}}}}, nil
}

// TestJobOfLaterOwner has the feed name a job of a later owner: the process gives
// its board up and reads the seat and the record again. As it holds the seat all
// the same, it decides on the other jobs.
func TestJobOfLaterOwner(t *testing.T) {
	is := is.New(t)
	l := &laggingStore{fakeDeps: &fakeDeps{}}
	o := startOwner(t, l, "a", policy.New(1, nil, nil, nil, 0))
	time.Sleep(5 * time.Second)
	l.fakeDeps.mu.Lock()
	defer l.fakeDeps.mu.Unlock()
	is.Equal(l.loads, 2)
	_, known, mine, err := o.State(t.Context(), "j")
	is.NoErr(err)
	is.True(mine)
	is.True(!known)
}

// restartedWorker stands for a worker whose incarnation is newer than the platform's list
// tells, and a store that takes its time.
type restartedWorker struct {
	quietStore
	mu      sync.Mutex
	version uint64
	rosters [][]fleet.WorkerInfo
	// rosterWritten is closed once a list of workers is being written.
	rosterWritten chan struct{}
	once          sync.Once
}

var (
	oldIncarnation = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	newIncarnation = oldIncarnation.Add(time.Minute)
)

func (*restartedWorker) Workers(context.Context) ([]fleet.WorkerInfo, []error, error) {
	return []fleet.WorkerInfo{{VM: core.VM{Name: "w", Service: "s"}, Incarnation: oldIncarnation}}, nil, nil
}

func (r *restartedWorker) Heartbeat(ctx context.Context, _ fleet.Order) (fleet.RunLists, fleet.Reply, error) {
	select {
	case <-r.rosterWritten:
	case <-ctx.Done():
	}
	return fleet.RunLists{Clock: time.Second, Incarnation: newIncarnation}, fleet.ReplyOK, nil
}

func (r *restartedWorker) Write(_ context.Context, rec record.OwnerWrite) (table.Done, error) {
	if rec.Roster != nil {
		r.once.Do(func() { close(r.rosterWritten) })
	}
	time.Sleep(150 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	if rec.Roster != nil {
		r.rosters = append(r.rosters, rec.Roster)
	}
	return table.Done{Version: r.version}, nil
}

// TestRosterChangesDuringWrite has a worker tell of a new incarnation while the
// list that names the old one is being recorded: the new list is recorded after
// it. A worker that is not recorded is never used.
func TestRosterChangesDuringWrite(t *testing.T) {
	is := is.New(t)
	r := &restartedWorker{quietStore: quietStore{&fakeDeps{}}, rosterWritten: make(chan struct{})}
	startOwner(t, r, "a", policy.New(1, nil, nil, []policy.Service{{Name: "s"}}, 0))
	time.Sleep(4 * time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	is.True(len(r.rosters) > 0)
	is.True(r.rosters[len(r.rosters)-1][0].Incarnation.Equal(newIncarnation))
}
