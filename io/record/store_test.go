package record_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/elect"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/io/adapt"
	"chicoryturn/io/record"
	"chicoryturn/io/table"
)

// fakeTable is a table in memory whose next calls can be made to fail.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[table.Key]table.Row
	version uint64
	writes  int
	// refuse answers calls with 503, silent leaves them without answer; a silent
	// write takes effect if applied is set.
	refuse, silent, applied bool
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[table.Key]table.Row{}} }

func (m *fakeTable) setFaults(refuse, silent, applied bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refuse, m.silent, m.applied = refuse, silent, applied
}

func (m *fakeTable) Write(_ context.Context, t table.Txn) (table.Done, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	if m.refuse {
		return table.Done{}, &table.RefusedError{Status: 503}
	}
	for _, p := range t.Puts {
		if len(p.Val) > 65536 {
			return table.Done{}, &table.RefusedError{Status: 400}
		}
	}
	if m.silent && !m.applied {
		return table.Done{}, &table.UnansweredError{Err: context.DeadlineExceeded}
	}
	var present []table.Row
	differs := false
	for _, c := range t.Checks {
		r, ok := m.rows[c.Key]
		if ok {
			present = append(present, r)
		}
		differs = differs || r.Version != c.Version
	}
	if differs {
		return table.Done{}, &table.ConflictError{Rows: present}
	}
	m.version++
	for _, k := range t.Deletes {
		delete(m.rows, k)
	}
	for _, p := range t.Puts {
		m.rows[p.Key] = table.Row{Key: p.Key, Val: p.Val, Version: m.version}
	}
	if m.silent {
		return table.Done{}, &table.UnansweredError{Err: context.DeadlineExceeded}
	}
	return table.Done{Version: m.version}, nil
}

func (m *fakeTable) Read(_ context.Context, r table.Range) (table.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := table.Page{Version: m.version}
	for k, row := range m.rows {
		if k.Table == r.Table && k.Part == r.Part && k.Name >= r.From && (r.To == "" || k.Name < r.To) {
			p.Rows = append(p.Rows, row)
		}
	}
	slices.SortFunc(p.Rows, func(a, b table.Row) int { return strings.Compare(a.Name, b.Name) })
	return p, nil
}

func (m *fakeTable) Feed(_ context.Context, s table.Since) (table.Changes, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := table.Changes{Version: m.version}
	for _, row := range m.rows {
		if row.Table == s.Table && row.Version > s.Version {
			c.Rows = append(c.Rows, row)
		}
	}
	return c, nil
}

func startStore(t *testing.T, m *fakeTable) *record.Store {
	t.Helper()
	v := record.New(m)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- v.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return v
}

func newSpec(id string, team core.Team) jobs.Spec {
	return jobs.Spec{ID: core.JobID(id), Team: team, Queue: "q", Phases: []jobs.Phase{{Count: 1}}}
}

// timeoutContext returns a context that ends after a while.
func timeoutContext(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func execution(err error) core.Execution {
	var r *core.RefusalError
	if errors.As(err, &r) {
		return r.Execution
	}
	return ""
}

// slowTable is a table that carries a partition's writes out one after another, slowly,
// also those whose callers have given up.
type slowTable struct {
	*fakeTable
	writeTime time.Duration
	// mu also guards named, how often each row has been written.
	mu           sync.Mutex
	writesByName map[string]int
	// inFlight counts the writes that have not been carried out.
	inFlight sync.WaitGroup
}

func (c *slowTable) Write(ctx context.Context, t table.Txn) (table.Done, error) {
	began := time.Now()
	type result struct {
		done table.Done
		err  error
	}
	out := make(chan result, 1)
	c.inFlight.Add(1)
	go func() {
		defer c.inFlight.Done()
		c.mu.Lock()
		time.Sleep(c.writeTime)
		for _, p := range t.Puts {
			c.writesByName[p.Name]++
		}
		done, err := c.fakeTable.Write(ctx, t)
		c.mu.Unlock()
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
		return table.Done{}, &table.UnansweredError{Err: ctx.Err()}
	}
}

// TestSlowStore plays a store that takes 1.4 s for a write, its queue included: once one answer has
// told so, and the queue that grew until then is worked off, jobs are written once
// each.
func TestSlowStore(t *testing.T) {
	is := is.New(t)
	c := &slowTable{fakeTable: newFakeTable(), writesByName: map[string]int{}, writeTime: 1400 * time.Millisecond}
	v := record.New(adapt.New(c))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = v.Run(ctx) }()
	first := time.Now()
	is.NoErr(accept(timeoutContext(t, 15*time.Second), v, newSpec("a", "t")))
	is.True(time.Since(first) < 2*c.writeTime) // the late answer of the first write counts
	for _, id := range []string{"b", "c"} {
		began := time.Now()
		is.NoErr(accept(timeoutContext(t, 10*time.Second), v, newSpec(id, "t")))
		is.True(time.Since(began) < 5*c.writeTime)
	}
	c.inFlight.Wait()
	for _, id := range []string{"d", "e"} {
		is.NoErr(accept(timeoutContext(t, 10*time.Second), v, newSpec(id, "t")))
	}
	c.inFlight.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	is.Equal(c.writesByName["d"], 1)
	is.Equal(c.writesByName["e"], 1)
}

// accept records a job whatever the store holds of it.
func accept(ctx context.Context, v *record.Store, s jobs.Spec) error {
	_, err := v.Accept(ctx, s)
	return err
}

func TestAccept(t *testing.T) {
	t.Run("once, and again under the same name", func(t *testing.T) {
		is := is.New(t)
		m := newFakeTable()
		v := startStore(t, m)
		is.NoErr(accept(timeoutContext(t, time.Second), v, newSpec("a", "t")))
		is.NoErr(accept(timeoutContext(t, time.Second), v, newSpec("a", "t")))
		is.Equal(execution(accept(timeoutContext(t, time.Second), v, newSpec("a", "other"))), core.NotExecuted)
		state, err := v.State(context.Background(), "a")
		is.NoErr(err)
		is.Equal(state, jobs.Queued)
	})
	t.Run("again, through a VM that knows of a later owner", func(t *testing.T) {
		is := is.New(t)
		v := startStore(t, newFakeTable())
		first, again := newSpec("a", "t"), newSpec("a", "t")
		first.FirstEpoch, again.FirstEpoch, again.Payload = 3, 4, "other"
		is.NoErr(accept(timeoutContext(t, time.Second), v, first))
		recorded, err := v.Accept(timeoutContext(t, time.Second), again)
		is.NoErr(err)
		is.Equal(recorded, first) // owner 3 may have started it
	})
	t.Run("refused soon, and never recorded", func(t *testing.T) {
		is := is.New(t)
		m := newFakeTable()
		m.setFaults(true, false, false)
		v := startStore(t, m)
		began := time.Now()
		is.Equal(execution(accept(timeoutContext(t, 15*time.Second), v, newSpec("a", "t"))), core.NotExecuted)
		is.True(time.Since(began) < 2*time.Second)
		m.setFaults(false, false, false)
		_, err := v.State(context.Background(), "a")
		is.Equal(execution(err), core.NotExecuted) // there is no such job
	})
	t.Run("recorded, but the answer was lost", func(t *testing.T) {
		is := is.New(t)
		m := newFakeTable()
		m.setFaults(false, true, true)
		v := startStore(t, m)
		go func() {
			time.Sleep(300 * time.Millisecond)
			m.setFaults(false, false, false)
		}()
		is.NoErr(accept(timeoutContext(t, 5*time.Second), v, newSpec("a", "t")))
	})
	t.Run("no answer until the client's time is up", func(t *testing.T) {
		is := is.New(t)
		m := newFakeTable()
		m.setFaults(false, true, false)
		v := startStore(t, m)
		is.Equal(execution(accept(timeoutContext(t, 500*time.Millisecond), v, newSpec("a", "t"))), core.ExecutionUnknown)
	})
	t.Run("an unanswered write is not taken back by a refusal", func(t *testing.T) {
		is := is.New(t)
		m := newFakeTable()
		m.setFaults(false, true, false)
		v := startStore(t, m)
		go func() {
			time.Sleep(200 * time.Millisecond)
			m.setFaults(true, false, false)
		}()
		is.Equal(execution(accept(timeoutContext(t, 1500*time.Millisecond), v, newSpec("a", "t"))), core.ExecutionUnknown)
	})
}

// TestJobsShareWrites sends many jobs at once: those of one partition share writes.
func TestJobsShareWrites(t *testing.T) {
	is := is.New(t)
	m := newFakeTable()
	v := startStore(t, m)
	var wg sync.WaitGroup
	for i := range 500 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := accept(timeoutContext(t, 5*time.Second), v, newSpec(string(rune('a'+i%26))+string(rune('a'+i/26)), "t")); err != nil {
				t.Error(err)
			}
		}()
	}
	wg.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	is.True(m.writes < 500)
}

func TestOwnerWrite(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := newFakeTable()
	v := startStore(t, m)
	is.NoErr(accept(ctx, v, newSpec("a", "t")))
	is.NoErr(accept(ctx, v, newSpec("b", "t")))
	is.NoErr(v.Cancel(ctx, "b", time.Now()))
	is.NoErr(v.Cancel(ctx, "b", time.Now())) // again
	is.Equal(execution(v.Cancel(ctx, "c", time.Now())), core.NotExecuted)

	done, err := v.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "x", Epoch: 1}, Roster: []fleet.WorkerInfo{{VM: core.VM{Name: "w"}}}})
	is.NoErr(err)
	p := jobs.Progress{Job: "a", State: jobs.Completed}
	p.SetDone(0)
	_, err = v.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "x", Epoch: 1, Beat: 2}, Version: done.Version, Progress: []jobs.Progress{p}})
	is.NoErr(err)
	// A write on an older seat has no effect.
	var conflict *table.ConflictError
	_, err = v.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "y", Epoch: 2}, Version: done.Version})
	is.True(errors.As(err, &conflict))

	rec, err := v.Load(ctx)
	is.NoErr(err)
	is.Equal(len(rec.Specs), 2)
	is.Equal(rec.Cancelled, []core.JobID{"b"})
	is.Equal(rec.Progress["a"].State, jobs.Completed)
	is.Equal(len(rec.Roster), 1)
	look, err := v.OwnerRecord(ctx)
	is.NoErr(err)
	is.Equal(look.Record.Holder, core.SessionID("x"))

	is.NoErr(accept(ctx, v, newSpec("d", "t")))
	news, err := v.Changes(ctx, rec.Version)
	is.NoErr(err)
	is.Equal(len(news.Specs), 1)
	is.Equal(news.Specs[0].ID, core.JobID("d"))
}

// TestLargeRoster records a list of workers that no single row could hold, then
// a shorter one.
func TestLargeRoster(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	v := startStore(t, newFakeTable())
	version := uint64(0)
	for _, count := range []int{700, 350, 3, 0} {
		hosts := []fleet.WorkerInfo{}
		for i := range count {
			hosts = append(hosts, fleet.WorkerInfo{VM: core.VM{Name: fmt.Sprintf("i-%010d", i), Zone: "some-data-centre-a", Region: "some-region", Service: "a-service"}, Labels: []string{"a", "r1-22"}})
		}
		done, err := v.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "x"}, Version: version, Roster: hosts})
		is.NoErr(err)
		version = done.Version
		rec, err := v.Load(ctx)
		is.NoErr(err)
		is.Equal(len(rec.Roster), count)
	}
}

// TestLargeJob offers a job that no row can hold: it is refused at once.
func TestLargeJob(t *testing.T) {
	is := is.New(t)
	v := startStore(t, newFakeTable())
	s := newSpec("a", "t")
	for range 2000 {
		s.Phases = append(s.Phases, jobs.Phase{Count: 1, Label: "some-label", Image: "some-image"})
	}
	began := time.Now()
	var r *core.RefusalError
	is.True(errors.As(accept(context.Background(), v, s), &r))
	is.Equal(r.Code, core.CodeTooLarge)
	is.True(time.Since(began) < 300*time.Millisecond)
}

// TestDelete deletes the rows of ended jobs.
func TestDelete(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := newFakeTable()
	v := startStore(t, m)
	for _, id := range []string{"a", "b", "c"} {
		is.NoErr(accept(ctx, v, newSpec(id, "t")))
	}
	is.NoErr(v.Cancel(ctx, "b", time.Now()))
	done, err := v.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "x"}, Progress: []jobs.Progress{{Job: "a", State: jobs.Completed}, {Job: "b", State: jobs.Cancelled}}})
	is.NoErr(err)
	is.NoErr(v.Delete(ctx, []core.JobID{"a", "b"}))
	_, err = v.Write(ctx, record.OwnerWrite{Record: elect.Record{Holder: "x"}, Version: done.Version, Deletes: []core.JobID{"a", "b"}})
	is.NoErr(err)
	rec, err := v.Load(ctx)
	is.NoErr(err)
	is.Equal(len(rec.Specs), 1)
	is.Equal(len(rec.Progress), 0)
	is.Equal(len(rec.Cancelled), 0)
}

// TestUndecodableRows writes rows that cannot be read: the others are.
func TestUndecodableRows(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := newFakeTable()
	v := startStore(t, m)
	is.NoErr(accept(ctx, v, newSpec("a", "t")))
	m.mu.Lock()
	for k := range m.rows {
		k.Name = "odd"
		m.rows[k] = table.Row{Key: k, Val: []byte("{"), Version: 1}
		break
	}
	m.mu.Unlock()
	rec, err := v.Load(ctx)
	is.NoErr(err)
	is.Equal(len(rec.Specs), 1)
	is.Equal(len(rec.RowErrors), 1)
}

// fakeReachability stands for a way to the store that may be cut off.
type fakeReachability struct{ unreachable atomic.Bool }

func (c *fakeReachability) Unreachable() bool { return c.unreachable.Load() }

// TestStoreUnreachable submits jobs on a VM that does not reach the store: those that may
// have been recorded, and those that surely have not, are answered at once.
func TestStoreUnreachable(t *testing.T) {
	is := is.New(t)
	m, c := newFakeTable(), &fakeReachability{}
	v := record.New(m, record.WithReach(c))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = v.Run(ctx) }()
	m.setFaults(false, true, true)
	unsure := make(chan error, 1)
	go func() { unsure <- accept(ctx, v, jobs.Spec{ID: "a", Team: "t", Queue: "q"}) }()
	for m.writeCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	c.unreachable.Store(true)
	var r *core.RefusalError
	is.True(errors.As(<-unsure, &r))
	is.Equal(r.Execution, core.ExecutionUnknown) // the client asks again under the same name
	is.True(errors.As(accept(ctx, v, jobs.Spec{ID: "a", Team: "t", Queue: "q"}), &r))
	is.Equal(r.Execution, core.ExecutionUnknown) // the first call may still be carried out
	writes := m.writeCount()
	is.True(errors.As(accept(ctx, v, jobs.Spec{ID: "b", Team: "t", Queue: "q"}), &r))
	is.Equal(r.Execution, core.NotExecuted)
	is.Equal(m.writeCount(), writes) // nothing was sent
	_, err := v.State(ctx, "a")
	is.True(errors.As(err, &r))
	is.Equal(r.Code, core.CodeStore)
}

func (m *fakeTable) writeCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.writes
}
