package record_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/io/adapt"
	"chicoryturn/io/record"
	"chicoryturn/io/table"
)

// fakeTable is an in-memory table whose calls can be made to fail.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[table.Key]table.Row
	version uint64
	writes  int
	// written counts the bytes of the values written, as on the wire.
	written int
	// refuse fails writes with status 503, silent leaves them unanswered. A silent
	// write takes effect if applied is set.
	refuse, silent, applied bool
	// failAfter refuses all writes after that many; 0 refuses none.
	failAfter int
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[table.Key]table.Row{}} }

func (tbl *fakeTable) setFaults(refuse, silent, applied bool) {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	tbl.refuse, tbl.silent, tbl.applied = refuse, silent, applied
}

func (tbl *fakeTable) Write(_ context.Context, t table.Txn) (table.WriteResult, error) {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	tbl.writes++
	if tbl.refuse || tbl.failAfter > 0 && tbl.writes > tbl.failAfter {
		return table.WriteResult{}, &table.RefusedError{Status: 503}
	}
	size := 0
	for _, p := range t.Puts {
		size += len(p.Val) * 4 / 3
		if len(p.Val) > 65536 {
			return table.WriteResult{}, &table.RefusedError{Status: 400}
		}
	}
	if size > 1_000_000 || len(t.Checks)+len(t.Puts)+len(t.Deletes) > 100 {
		return table.WriteResult{}, &table.RefusedError{Status: 400}
	}
	tbl.written += size
	if tbl.silent && !tbl.applied {
		return table.WriteResult{}, &table.UnansweredError{Err: context.DeadlineExceeded}
	}
	var present []table.Row
	differs := false
	for _, c := range t.Checks {
		r, ok := tbl.rows[c.Key]
		if ok {
			present = append(present, r)
		}
		differs = differs || r.Version != c.Version
	}
	if differs {
		return table.WriteResult{}, &table.ConflictError{Rows: present}
	}
	tbl.version++
	for _, k := range t.Deletes {
		delete(tbl.rows, k)
	}
	for _, p := range t.Puts {
		tbl.rows[p.Key] = table.Row{Key: p.Key, Val: p.Val, Version: tbl.version}
	}
	if tbl.silent {
		return table.WriteResult{}, &table.UnansweredError{Err: context.DeadlineExceeded}
	}
	return table.WriteResult{Version: tbl.version}, nil
}

func (tbl *fakeTable) Read(_ context.Context, r table.Range) (table.Page, error) {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	p := table.Page{Version: tbl.version}
	size := 0
	for k, row := range tbl.rows {
		if k.Table == r.Table && k.Part == r.Part && k.Name >= r.From && (r.To == "" || k.Name < r.To) {
			p.Rows = append(p.Rows, row)
		}
	}
	slices.SortFunc(p.Rows, func(a, b table.Row) int { return strings.Compare(a.Name, b.Name) })
	for i, row := range p.Rows {
		if size += len(row.Val) * 4 / 3; i == 500 || i > 0 && size > 1_000_000 {
			p.Rows, p.More = p.Rows[:i], true
			break
		}
	}
	return p, nil
}

func (tbl *fakeTable) Feed(_ context.Context, s table.FeedRequest) (table.Changes, error) {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	c := table.Changes{Version: tbl.version}
	for _, row := range tbl.rows {
		if row.Table == s.Table && row.Version > s.Version {
			c.Rows = append(c.Rows, row)
		}
	}
	return c, nil
}

// startStore returns a Store that runs until the test ends.
func startStore(t *testing.T, tbl *fakeTable) *record.Store {
	t.Helper()
	s := record.New(tbl)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

func newSpec(id string, team core.Team) jobs.Spec {
	return jobs.Spec{ID: core.JobID(id), Team: team, Queue: "q", Phases: []jobs.Phase{{Count: 1}}}
}

// timeoutContext returns a context with a time-out.
func timeoutContext(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// execution returns what a RefusalError says about the execution of its call.
func execution(err error) core.Execution {
	var r *core.RefusalError
	if errors.As(err, &r) {
		return r.Execution
	}
	return ""
}

// slowTable is a table that executes writes one after another, each in writeTime. It
// also executes writes whose callers no longer wait.
type slowTable struct {
	*fakeTable
	writeTime time.Duration
	// writeMu is held during a write. It also guards writesByName, the number of
	// writes of each row.
	writeMu      sync.Mutex
	writesByName map[string]int
	// inFlight counts the writes that have not been executed.
	inFlight sync.WaitGroup
}

func (tbl *slowTable) Write(ctx context.Context, t table.Txn) (table.WriteResult, error) {
	began := time.Now()
	type result struct {
		done table.WriteResult
		err  error
	}
	out := make(chan result, 1)
	tbl.inFlight.Add(1)
	go func() {
		defer tbl.inFlight.Done()
		tbl.writeMu.Lock()
		time.Sleep(tbl.writeTime)
		for _, p := range t.Puts {
			tbl.writesByName[p.Name]++
		}
		done, err := tbl.fakeTable.Write(ctx, t)
		tbl.writeMu.Unlock()
		out <- result{done, err}
		if ctx.Err() != nil {
			o := table.Outcome{Done: &done}
			var conflict *table.ConflictError
			if errors.As(err, &conflict) {
				o = table.Outcome{Conflict: conflict}
			}
			table.ReportLate(ctx, time.Since(began), o)
		}
	}()
	select {
	case r := <-out:
		return r.done, r.err
	case <-ctx.Done():
		return table.WriteResult{}, &table.UnansweredError{Err: ctx.Err()}
	}
}

// TestSlowStore runs on a table that takes 1.4 s for each write. Once io/adapt has
// measured this latency and the backlog from the first retries is worked off, the
// Store must write each job once instead of retrying while a write is in flight.
func TestSlowStore(t *testing.T) {
	is := is.New(t)
	tbl := &slowTable{fakeTable: newFakeTable(), writesByName: map[string]int{}, writeTime: 1400 * time.Millisecond}
	s := record.New(adapt.New(tbl))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.Run(ctx) }()
	first := time.Now()
	is.NoErr(accept(timeoutContext(t, 15*time.Second), s, newSpec("a", "t")))
	is.True(time.Since(first) < 2*tbl.writeTime) // the late answer of the first write confirms the job
	for _, id := range []string{"b", "c"} {
		began := time.Now()
		is.NoErr(accept(timeoutContext(t, 10*time.Second), s, newSpec(id, "t")))
		is.True(time.Since(began) < 5*tbl.writeTime)
	}
	tbl.inFlight.Wait()
	for _, id := range []string{"d", "e"} {
		is.NoErr(accept(timeoutContext(t, 10*time.Second), s, newSpec(id, "t")))
	}
	tbl.inFlight.Wait()
	tbl.writeMu.Lock()
	defer tbl.writeMu.Unlock()
	is.Equal(tbl.writesByName["d"], 1)
	is.Equal(tbl.writesByName["e"], 1)
}

// accept stores a job and ignores the job that Accept returns.
func accept(ctx context.Context, s *record.Store, spec jobs.Spec) error {
	_, err := s.Accept(ctx, spec)
	return err
}

func TestAccept(t *testing.T) {
	t.Run("once, and again under the same name", func(t *testing.T) {
		is := is.New(t)
		tbl := newFakeTable()
		s := startStore(t, tbl)
		is.NoErr(accept(timeoutContext(t, time.Second), s, newSpec("a", "t")))
		is.NoErr(accept(timeoutContext(t, time.Second), s, newSpec("a", "t")))
		is.Equal(execution(accept(timeoutContext(t, time.Second), s, newSpec("a", "other"))), core.NotExecuted)
		state, err := s.State(context.Background(), "a")
		is.NoErr(err)
		is.Equal(state, jobs.Queued)
	})
	t.Run("again, through a VM that knows of a later owner", func(t *testing.T) {
		is := is.New(t)
		s := startStore(t, newFakeTable())
		first, again := newSpec("a", "t"), newSpec("a", "t")
		first.FirstEpoch, again.FirstEpoch, again.Payload = 3, 4, "other"
		is.NoErr(accept(timeoutContext(t, time.Second), s, first))
		stored, err := s.Accept(timeoutContext(t, time.Second), again)
		is.NoErr(err)
		is.Equal(stored, first) // the owner of epoch 3 may have started it
	})
	t.Run("refused soon, and never stored", func(t *testing.T) {
		is := is.New(t)
		tbl := newFakeTable()
		tbl.setFaults(true, false, false)
		s := startStore(t, tbl)
		began := time.Now()
		is.Equal(execution(accept(timeoutContext(t, 15*time.Second), s, newSpec("a", "t"))), core.NotExecuted)
		is.True(time.Since(began) < 2*time.Second)
		tbl.setFaults(false, false, false)
		_, err := s.State(context.Background(), "a")
		is.Equal(execution(err), core.NotExecuted) // there is no such job
	})
	t.Run("stored, but the answer was lost", func(t *testing.T) {
		is := is.New(t)
		tbl := newFakeTable()
		tbl.setFaults(false, true, true)
		s := startStore(t, tbl)
		go func() {
			time.Sleep(300 * time.Millisecond)
			tbl.setFaults(false, false, false)
		}()
		is.NoErr(accept(timeoutContext(t, 5*time.Second), s, newSpec("a", "t")))
	})
	t.Run("no answer until the client's deadline", func(t *testing.T) {
		is := is.New(t)
		tbl := newFakeTable()
		tbl.setFaults(false, true, false)
		s := startStore(t, tbl)
		is.Equal(execution(accept(timeoutContext(t, 500*time.Millisecond), s, newSpec("a", "t"))), core.ExecutionUnknown)
	})
	t.Run("the outcome stays unknown when a refusal follows an unanswered write", func(t *testing.T) {
		is := is.New(t)
		tbl := newFakeTable()
		tbl.setFaults(false, true, false)
		s := startStore(t, tbl)
		go func() {
			time.Sleep(200 * time.Millisecond)
			tbl.setFaults(true, false, false)
		}()
		is.Equal(execution(accept(timeoutContext(t, 1500*time.Millisecond), s, newSpec("a", "t"))), core.ExecutionUnknown)
	})
}

// TestJobsShareWrites accepts 500 jobs at once. Jobs of one partition must share
// writes.
func TestJobsShareWrites(t *testing.T) {
	is := is.New(t)
	tbl := newFakeTable()
	s := startStore(t, tbl)
	var wg sync.WaitGroup
	for i := range 500 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := accept(timeoutContext(t, 5*time.Second), s, newSpec(string(rune('a'+i%26))+string(rune('a'+i/26)), "t")); err != nil {
				t.Error(err)
			}
		}()
	}
	wg.Wait()
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	is.True(tbl.writes < 500)
}

func TestOwnerWrite(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	tbl := newFakeTable()
	s := startStore(t, tbl)
	is.NoErr(accept(ctx, s, newSpec("a", "t")))
	is.NoErr(accept(ctx, s, newSpec("b", "t")))
	is.NoErr(s.Cancel(ctx, "b", time.Now()))
	is.NoErr(s.Cancel(ctx, "b", time.Now())) // a second cancellation has no effect
	is.Equal(execution(s.Cancel(ctx, "c", time.Now())), core.NotExecuted)

	done, err := s.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "x", Epoch: 1}, Roster: []fleet.RosterEntry{{WorkerInfo: fleet.WorkerInfo{VM: core.VM{Name: "w"}}}}})
	is.NoErr(err)
	p := jobs.Progress{Job: "a", State: jobs.Completed}
	p.SetDone(0)
	_, err = s.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "x", Epoch: 1, WriteNumber: 2}, Version: done.Version, Progress: []jobs.Progress{p}})
	is.NoErr(err)
	// A write with an older version of the ownership record has no effect.
	var conflict *table.ConflictError
	_, err = s.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "y", Epoch: 2}, Version: done.Version})
	is.True(errors.As(err, &conflict))

	snapshot, err := s.Load(ctx, budget.New(0, 0))
	is.NoErr(err)
	is.Equal(len(snapshot.Specs), 2)
	is.Equal(snapshot.Cancelled, []core.JobID{"b"})
	is.Equal(snapshot.Progress["a"].State, jobs.Completed)
	is.Equal(len(snapshot.Roster), 1)
	obs, err := s.OwnerRecord(ctx)
	is.NoErr(err)
	is.Equal(obs.Record.Holder, core.SessionID("x"))

	is.NoErr(accept(ctx, s, newSpec("d", "t")))
	changes, err := s.Changes(ctx, snapshot.Version)
	is.NoErr(err)
	is.Equal(len(changes.Specs), 1)
	is.Equal(changes.Specs[0].ID, core.JobID("d"))
	is.True(!changes.Whole) // the store may have more
	changes, err = s.Changes(ctx, changes.Version)
	is.NoErr(err)
	is.True(changes.Whole)
}

// TestLargeJob accepts a job that is too large for a row, which must be refused at
// once.
func TestLargeJob(t *testing.T) {
	is := is.New(t)
	s := startStore(t, newFakeTable())
	spec := newSpec("a", "t")
	for range 2000 {
		spec.Phases = append(spec.Phases, jobs.Phase{Count: 1, Label: "some-label", Image: "some-image"})
	}
	began := time.Now()
	var r *core.RefusalError
	is.True(errors.As(accept(context.Background(), s, spec), &r))
	is.Equal(r.Code, core.CodeTooLarge)
	is.True(time.Since(began) < 300*time.Millisecond)
}

// TestDelete deletes all rows of two ended jobs and keeps those of a third job.
func TestDelete(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	tbl := newFakeTable()
	s := startStore(t, tbl)
	for _, id := range []string{"a", "b", "c"} {
		is.NoErr(accept(ctx, s, newSpec(id, "t")))
	}
	is.NoErr(s.Cancel(ctx, "b", time.Now()))
	done, err := s.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "x"}, Progress: []jobs.Progress{{Job: "a", State: jobs.Completed}, {Job: "b", State: jobs.Cancelled}}})
	is.NoErr(err)
	is.NoErr(s.Delete(ctx, []core.JobID{"a", "b"}))
	_, err = s.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "x"}, Version: done.Version, Deletes: []core.JobID{"a", "b"}})
	is.NoErr(err)
	snapshot, err := s.Load(ctx, budget.New(0, 0))
	is.NoErr(err)
	is.Equal(len(snapshot.Specs), 1)
	is.Equal(len(snapshot.Progress), 0)
	is.Equal(len(snapshot.Cancelled), 0)
}

// TestUndecodableRows adds a row that is not valid JSON. Load must return the other
// rows and one error.
func TestUndecodableRows(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	tbl := newFakeTable()
	s := startStore(t, tbl)
	is.NoErr(accept(ctx, s, newSpec("a", "t")))
	tbl.mu.Lock()
	for k := range tbl.rows {
		k.Name = "odd"
		tbl.rows[k] = table.Row{Key: k, Val: []byte("{"), Version: 1}
		break
	}
	tbl.mu.Unlock()
	snapshot, err := s.Load(ctx, budget.New(0, 0))
	is.NoErr(err)
	is.Equal(len(snapshot.Specs), 1)
	is.Equal(len(snapshot.RowErrors), 1)
}

// fakeReachability is a switch for whether the table can be reached.
type fakeReachability struct{ unreachable atomic.Bool }

func (r *fakeReachability) Unreachable() bool { return r.unreachable.Load() }

// TestStoreUnreachable accepts jobs while the table cannot be reached. Calls must fail
// at once, with an unknown outcome only for jobs that may have been stored.
func TestStoreUnreachable(t *testing.T) {
	is := is.New(t)
	tbl, reach := newFakeTable(), &fakeReachability{}
	s := record.New(tbl, record.WithReachability(reach))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.Run(ctx) }()
	tbl.setFaults(false, true, true)
	result := make(chan error, 1)
	go func() { result <- accept(ctx, s, jobs.Spec{ID: "a", Team: "t", Queue: "q"}) }()
	for tbl.writeCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	reach.unreachable.Store(true)
	var r *core.RefusalError
	is.True(errors.As(<-result, &r))
	is.Equal(r.Execution, core.ExecutionUnknown) // the client retries under the same name
	is.True(errors.As(accept(ctx, s, jobs.Spec{ID: "a", Team: "t", Queue: "q"}), &r))
	is.Equal(r.Execution, core.ExecutionUnknown) // the first write may still take effect
	writes := tbl.writeCount()
	is.True(errors.As(accept(ctx, s, jobs.Spec{ID: "b", Team: "t", Queue: "q"}), &r))
	is.Equal(r.Execution, core.NotExecuted)
	is.Equal(tbl.writeCount(), writes) // nothing was sent
	_, err := s.State(ctx, "a")
	is.True(errors.As(err, &r))
	is.Equal(r.Code, core.CodeStoreUnavailable)
}

// TestShortRefusal accepts a job while the table refuses all calls for half a second. The
// job must be held and stored, not refused: clients retry a few times only. One that may
// have been stored before is written, too.
func TestShortRefusal(t *testing.T) {
	is := is.New(t)
	tbl := newFakeTable()
	s := startStore(t, tbl)
	ctx := timeoutContext(t, 3*time.Second)
	tbl.setFaults(false, true, false)
	is.Equal(execution(accept(timeoutContext(t, 100*time.Millisecond), s, newSpec("a", "t"))), core.ExecutionUnknown)
	tbl.setFaults(true, false, false)
	time.AfterFunc(500*time.Millisecond, func() { tbl.setFaults(false, false, false) })
	began := time.Now()
	is.NoErr(accept(ctx, s, newSpec("b", "t")))
	is.True(time.Since(began) < 800*time.Millisecond)
	is.NoErr(accept(ctx, s, newSpec("a", "t")))
}

func (tbl *fakeTable) writeCount() int {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	return tbl.writes
}
