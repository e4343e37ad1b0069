package owner_test

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
	"chicoryturn/io/owner"
	"chicoryturn/io/record"
	"chicoryturn/io/table"
)

// lossyDeps is a store with one job, and a worker, of an owner whose control goroutine panics on
// demand. Loads and the worker's lists are as of the time when the call arrives.
type lossyDeps struct {
	delayedStore
	hook *linesHook

	mu        sync.Mutex
	stored    *jobs.Spec
	progress  map[core.JobID]jobs.Progress
	roster    []fleet.RosterEntry
	active    []fleet.ActiveRun
	ended     []fleet.EndedRun
	starts    []fleet.Order
	loadCount int
	// changes replaces the feed, if it is set.
	changes func() (record.Snapshot, error)
	// compacted makes the next read of the feed fail, panics the next tick.
	compacted, panics bool
	// While it is not nil, loads, or heartbeats, wait for holdLoads or holdLists to be
	// closed; held counts those that do.
	holdLoads, holdLists chan struct{}
	held                 int
}

func newLossyDeps() *lossyDeps {
	return &lossyDeps{
		delayedStore: delayedStore{fakeDeps: &fakeDeps{}, row: &sharedRow{}, delay: time.Millisecond},
		hook:         &linesHook{}, progress: map[core.JobID]jobs.Progress{},
	}
}

func (l *lossyDeps) start(t *testing.T) *owner.Owner { return l.startWith(t, l) }

// startWith starts an owner with dependencies that embed l.
func (l *lossyDeps) startWith(t *testing.T, deps allDeps) *owner.Owner {
	return startOwner(t, deps, "a", policy.New(1,
		[]policy.Queue{{Name: "q", Host: "h", Prefix: "/", Service: "s", Attempts: 3, Slowdown: 2, Latency: time.Second}},
		[]policy.Team{{Name: "t", Weight: 1}}, []policy.Service{{Name: "s"}}, 0), withHook(l.hook))
}

func (l *lossyDeps) Write(ctx context.Context, r record.OwnerWrite) (table.WriteResult, error) {
	result, err := l.delayedStore.Write(ctx, r)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		for _, p := range r.Progress {
			l.progress[p.Job] = p
		}
		if r.Roster != nil {
			l.roster = r.Roster
		}
	}
	return result, err
}

func (l *lossyDeps) Load(context.Context, *budget.Budget) (*record.Snapshot, error) {
	l.mu.Lock()
	l.loadCount++
	out := &record.Snapshot{Version: uint64(l.loadCount), Progress: map[core.JobID]jobs.Progress{}, Roster: l.roster}
	if l.stored != nil {
		out.Specs = []jobs.Spec{*l.stored}
	}
	for id, p := range l.progress {
		out.Progress[id] = p
	}
	l.await(l.holdLoads)
	return out, nil
}

// await releases the lock and waits until hold, if there is one, is closed.
func (l *lossyDeps) await(hold chan struct{}) {
	if hold != nil {
		l.held++
	}
	l.mu.Unlock()
	if hold != nil {
		<-hold
	}
}

func (l *lossyDeps) Changes(context.Context, uint64) (record.Snapshot, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.compacted {
		l.compacted = false
		return record.Snapshot{}, &table.CompactedError{Version: 1}
	}
	if l.changes != nil {
		return l.changes()
	}
	return record.Snapshot{}, nil
}

func (*lossyDeps) Workers(context.Context) (fleet.WorkerList, error) {
	return fleet.WorkerList{Workers: []fleet.WorkerInfo{{
		VM: core.VM{Name: "w", Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Capacity: core.Resources{Cores: 4000}}, Incarnation: oldIncarnation,
	}}}, nil
}

func (l *lossyDeps) Start(_ context.Context, o fleet.Order, _ func() bool) (fleet.Reply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts = append(l.starts, o)
	l.active = append(l.active, fleet.ActiveRun{Task: o.Task, Run: o.Run})
	return fleet.ReplyOK, nil
}

func (l *lossyDeps) Heartbeat(_ context.Context, o fleet.Order) (fleet.RunLists, fleet.Reply, error) {
	time.Sleep(10 * time.Millisecond)
	l.mu.Lock()
	if o.AckedEnd > 0 {
		l.ended = nil
	}
	out := fleet.RunLists{Clock: time.Since(testStart) + time.Minute, Incarnation: oldIncarnation, Active: append([]fleet.ActiveRun(nil), l.active...), Ended: append([]fleet.EndedRun(nil), l.ended...)}
	l.await(l.holdLists)
	return out, fleet.ReplyOK, nil
}

func (l *lossyDeps) Counts(fleet.Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.panics {
		l.panics = false
		panic("odd counts")
	}
}

// endRuns ends all runs on the worker as done, but for those of the given tasks.
func (l *lossyDeps) endRuns(but ...jobs.TaskID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = slices.DeleteFunc(l.active, func(a fleet.ActiveRun) bool {
		if slices.Contains(but, a.Task) {
			return false
		}
		l.ended = append(l.ended, fleet.EndedRun{Number: uint64(len(l.ended) + 1), Task: a.Task, Run: a.Run, Kind: fleet.EndDone, Reason: "done"})
		return true
	})
}

// do changes the fakes.
func (l *lossyDeps) do(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// until waits until a condition on the fakes holds.
func (l *lossyDeps) until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		l.mu.Lock()
		ok := holds()
		l.mu.Unlock()
		if ok {
			return
		}
	}
	t.Fatal("waited in vain for " + what)
}

// untilLogged waits until a message has been logged n times.
func (l *lossyDeps) untilLogged(t *testing.T, msg string, n int) {
	t.Helper()
	l.until(t, msg, func() bool { return len(l.hook.withMessage(msg)) >= n })
}

// panic makes the owner lose its scheduler.
func (l *lossyDeps) panic(t *testing.T) {
	t.Helper()
	l.do(func() { l.panics = true })
	l.untilLogged(t, "no longer the owner", 1)
}

var lossySpec = jobs.Spec{ID: "j", Team: "t", Queue: "q", FirstEpoch: 1, Phases: []jobs.Phase{{Count: 1, Need: core.Resources{Cores: 1000}, Estimate: time.Second}}}

// accept stores the job, passes it on to the owner and waits until its task has started.
func (l *lossyDeps) accept(t *testing.T, o *owner.Owner) {
	t.Helper()
	l.do(func() { l.stored = &lossySpec })
	o.JobAccepted(lossySpec, "")
	l.until(t, "the start", func() bool { return len(l.starts) > 0 })
}

// TestLoadBegunBeforePanic guards against an owner that loses its scheduler and makes a new one
// of a load that has begun before, so that what has ended since runs again.
func TestLoadBegunBeforePanic(t *testing.T) {
	is := is.New(t)
	l := newLossyDeps()
	o := l.start(t)
	l.untilLogged(t, "owning the fleet", 1)
	l.accept(t, o)
	hold := make(chan struct{})
	l.do(func() { l.compacted, l.holdLoads = true, hold })
	l.until(t, "the load", func() bool { return l.held == 1 })
	l.endRuns()
	l.untilLogged(t, fleet.EventAcked, 1)
	l.do(func() { l.holdLoads = nil })
	l.panic(t)
	close(hold)
	l.untilLogged(t, "owning the fleet", 2)
	time.Sleep(time.Second)
	l.do(func() { is.Equal(len(l.starts), 1) })
	state, known, _, err := o.State(t.Context(), "j")
	is.NoErr(err)
	is.True(known)
	is.Equal(state, jobs.Completed)
}

// TestListFromBeforePanic guards against an owner that loses its scheduler and takes a list of
// runs, made before its own last start, for what the worker runs.
func TestListFromBeforePanic(t *testing.T) {
	is := is.New(t)
	l := newLossyDeps()
	o := l.start(t)
	l.untilLogged(t, "owning the fleet", 1)
	l.until(t, "the roster", func() bool { return l.roster != nil })
	time.Sleep(100 * time.Millisecond)
	hold, hold2 := make(chan struct{}), make(chan struct{})
	l.do(func() { l.holdLists = hold })
	l.until(t, "a heartbeat", func() bool { return l.held == 1 })
	l.do(func() { l.holdLists = hold2 })
	l.accept(t, o)
	l.panic(t)
	l.untilLogged(t, "owning the fleet", 2)
	close(hold)
	time.Sleep(500 * time.Millisecond)
	l.do(func() { l.holdLists = nil })
	close(hold2)
	time.Sleep(time.Second)
	l.do(func() { is.Equal(len(l.starts), 1) })
}

// TestNewEpochAfterPanic guards against orders of one epoch that come from two schedulers: the
// worker's fence must stop what the former one has sent.
func TestNewEpochAfterPanic(t *testing.T) {
	is := is.New(t)
	l := newLossyDeps()
	l.start(t)
	l.untilLogged(t, "owning the fleet", 1)
	began := time.Now()
	l.panic(t)
	l.untilLogged(t, "owning the fleet", 2)
	is.True(time.Since(began) < time.Second)
	lines := l.hook.withMessage("owning the fleet")
	is.Equal(lines[0].Data["epoch"], core.Epoch(1))
	is.Equal(lines[1].Data["epoch"], core.Epoch(2))
	is.Equal(lines[1].Data["version"], uint64(2))
	is.Equal(lines[1].Data["beside"], false)
	l.do(func() { l.compacted = true })
	l.untilLogged(t, "owning the fleet", 3)
	last := l.hook.withMessage("owning the fleet")[2]
	is.Equal(last.Data["epoch"], core.Epoch(2))
	is.Equal(last.Data["beside"], true)
}

// TestEndWaitsForWholeFeed guards against the acknowledgement of an end whose job is stored and
// comes in with a later part of the feed: the job would run again. Parts that reach a write of
// the owner show that all jobs stored before it have come in, and the end waits no longer.
func TestEndWaitsForWholeFeed(t *testing.T) {
	const first = 100 // version of the ownership record at the start
	for name, c := range map[string]struct {
		version func(row *sharedRow) uint64
		acked   bool
	}{
		"parts behind the owner's writes": {func(*sharedRow) uint64 { return first - 1 }, false},
		"parts that reach them":           {func(row *sharedRow) uint64 { return row.version }, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l := newLossyDeps()
			l.row.version = first
			l.row.record.Epoch = 1
			other := lossySpec
			other.ID = "other"
			l.changes = func() (record.Snapshot, error) {
				l.row.mu.Lock()
				defer l.row.mu.Unlock()
				return record.Snapshot{Specs: []jobs.Spec{other}, Version: c.version(l.row)}, nil
			}
			l.active = []fleet.ActiveRun{{Task: jobs.TaskID{PhaseID: jobs.PhaseID{Job: "unread"}}, Run: 1}}
			l.endRuns()
			l.start(t)
			l.untilLogged(t, "owning the fleet", 1)
			time.Sleep(7 * time.Second)
			is.Equal(len(l.hook.withMessage(fleet.EventAcked)) > 0, c.acked)
		})
	}
}
