package relay_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/io/relay"
	"chicoryturn/io/table"
)

// fake is a table that answers with an error, or with a version.
type fake struct {
	err     error
	version uint64
	calls   int
}

func (f *fake) Write(context.Context, table.Txn) (table.Done, error) {
	f.calls++
	return table.Done{Version: f.version}, f.err
}

func (f *fake) Read(context.Context, table.Range) (table.Page, error) {
	f.calls++
	return table.Page{Version: f.version}, f.err
}

func (f *fake) Feed(context.Context, table.Since) (table.Changes, error) {
	f.calls++
	return table.Changes{Version: f.version}, f.err
}

// other is another VM, reached by JSON as over a link.
type other struct {
	table *fake
	gone  bool
}

func (o *other) Forward(ctx context.Context, c table.Call) (table.Outcome, error) {
	if o.gone {
		return table.Outcome{}, &table.RelayError{Reason: "gone"}
	}
	var call table.Call
	var out table.Outcome
	if err := pass(c, &call); err != nil {
		return out, err
	}
	return out, pass(table.Do(ctx, o.table, call), &out)
}

func pass(from, to any) error {
	text, err := json.Marshal(from)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, to)
}

func TestDetour(t *testing.T) {
	ctx := context.Background()
	refused, down := &table.RefusedError{Status: 503}, &table.UnansweredError{Err: context.DeadlineExceeded}
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

	t.Run("refused here, answered there", func(t *testing.T) {
		is := is.New(t)
		direct, there := &fake{err: refused}, &other{table: &fake{version: 7}}
		s := relay.New(direct, there, relay.WithClock(func() time.Time { return now }))
		v, err := s.Write(ctx, table.Txn{})
		is.NoErr(err)
		is.Equal(v.Version, uint64(7))
		// Further calls do not try this VM's way for a while.
		_, err = s.Read(ctx, table.Range{})
		is.NoErr(err)
		is.Equal(direct.calls, 1)
		now = now.Add(2 * time.Second)
		direct.err, direct.version = nil, 9
		p, err := s.Read(ctx, table.Range{})
		is.NoErr(err)
		is.Equal(p.Version, uint64(9))
		is.Equal(s.Relayed(), uint64(2))
	})
	t.Run("a write without answer is left to its caller", func(t *testing.T) {
		is := is.New(t)
		there := &other{table: &fake{version: 7}}
		s := relay.New(&fake{err: down}, there)
		_, err := s.Write(ctx, table.Txn{})
		var d *table.UnansweredError
		is.True(errors.As(err, &d))
		is.Equal(there.table.calls, 0)
		_, err = s.Write(ctx, table.Txn{}) // the next one takes the detour
		is.NoErr(err)
	})
	t.Run("refused everywhere", func(t *testing.T) {
		is := is.New(t)
		s := relay.New(&fake{err: refused}, &other{table: &fake{err: refused}})
		_, err := s.Write(ctx, table.Txn{})
		var r *table.RefusedError
		is.True(errors.As(err, &r))
		is.Equal(r.Status, 503)
	})
	t.Run("conflicts and trimmed feeds keep their types", func(t *testing.T) {
		is := is.New(t)
		row := table.Row{Key: table.Key{Table: "t", Part: "p", Name: "n"}, Version: 4, Val: []byte("x")}
		far := &fake{err: &table.ConflictError{Rows: []table.Row{row}}}
		s := relay.New(&fake{err: refused}, &other{table: far})
		_, err := s.Write(ctx, table.Txn{})
		var c *table.ConflictError
		is.True(errors.As(err, &c))
		found, ok := c.Find(row.Key)
		is.True(ok)
		is.Equal(string(found.Val), "x")
		far.err = &table.CompactedError{Version: 3}
		_, err = s.Feed(ctx, table.Since{})
		var tr *table.CompactedError
		is.True(errors.As(err, &tr))
	})
	t.Run("nobody else", func(t *testing.T) {
		is := is.New(t)
		direct := &fake{version: 3}
		s := relay.New(direct, &other{gone: true})
		direct.err = refused
		_, err := s.Write(ctx, table.Txn{})
		is.True(err != nil)
		direct.err = nil
		_, err = s.Write(ctx, table.Txn{}) // no detour: the direct way is tried at once
		is.NoErr(err)
	})
}

// slow is a table that takes its time.
type slow struct {
	fake
	mu    sync.Mutex
	takes time.Duration
}

func (s *slow) Write(ctx context.Context, t table.Txn) (table.Done, error) {
	select {
	case <-time.After(s.takes):
	case <-ctx.Done():
		return table.Done{}, &table.UnansweredError{Err: ctx.Err()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fake.Write(ctx, t)
}

// TestSlowTable plays a table that answers a write after its caller has given up:
// the late answer ends the detour, and the caller learns how long it took.
func TestSlowTable(t *testing.T) {
	is := is.New(t)
	direct, there := &slow{takes: 300 * time.Millisecond}, &other{table: &fake{}}
	s := relay.New(direct, there)
	late := make(chan time.Duration, 1)
	ctx, cancel := context.WithTimeout(table.WithLateHook(context.Background(), func(took time.Duration, _ table.Outcome) { late <- took }), 100*time.Millisecond)
	defer cancel()
	_, err := s.Write(ctx, table.Txn{})
	var d *table.UnansweredError
	is.True(errors.As(err, &d))
	select {
	case took := <-late:
		is.True(took >= direct.takes)
	case <-time.After(2 * time.Second):
		t.Fatal("the late answer was not told")
	}
	_, err = s.Write(context.Background(), table.Txn{})
	is.NoErr(err)
	is.Equal(there.table.calls, 0)
}

// TestBusyPartition plays a table that refuses one call while it answers others:
// that call alone takes the detour.
func TestBusyPartition(t *testing.T) {
	is := is.New(t)
	direct, there := &slow{takes: 300 * time.Millisecond}, &other{table: &fake{version: 7}}
	s := relay.New(direct, there)
	done := make(chan error, 1)
	go func() {
		_, err := s.Write(context.Background(), table.Txn{})
		done <- err
	}()
	time.Sleep(100 * time.Millisecond)
	_, err := s.Read(context.Background(), table.Range{})
	is.NoErr(err)
	direct.mu.Lock()
	direct.err = &table.RefusedError{Status: 429}
	direct.mu.Unlock()
	is.NoErr(<-done)
	direct.mu.Lock()
	direct.err = nil
	direct.mu.Unlock()
	_, err = s.Read(context.Background(), table.Range{})
	is.NoErr(err)
	is.Equal(there.table.calls, 1)
}

// TestCallerLeaves plays a caller that leaves: its call ends with it.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	direct := &slow{takes: time.Hour}
	s := relay.New(direct, &other{table: &fake{}})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	began := time.Now()
	_, err := s.Write(ctx, table.Txn{})
	is.True(err != nil)
	is.True(time.Since(began) < time.Second)
}

// TestAway tells a table that cannot be reached from one that refuses, and
// notices at once when it answers again.
func TestAway(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	direct, far := &fake{}, &fake{}
	s := relay.New(direct, &other{table: far}, relay.WithClock(func() time.Time { return now }))
	read := func() {
		_, _ = s.Read(context.Background(), table.Range{Table: "t"})
		now = now.Add(400 * time.Millisecond)
	}
	read()
	is.True(!s.Unreachable())
	direct.err, far.err = &table.RefusedError{Status: 503}, &table.RefusedError{Status: 503}
	for range 10 {
		read()
		is.True(!s.Unreachable()) // it refuses, so it is there
	}
	direct.err, far.err = &table.UnansweredError{Err: context.DeadlineExceeded}, &table.UnansweredError{Err: context.DeadlineExceeded}
	read()
	is.True(!s.Unreachable()) // one lost answer shows nothing
	for range 4 {
		read()
	}
	is.True(s.Unreachable())
	far.err = nil
	read()
	is.True(!s.Unreachable())
}

// TestServeOwn has a VM that is turned away itself say so at once when another
// asks it to carry a call.
func TestServeOwn(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	direct, far := &fake{version: 3}, &fake{version: 4}
	s := relay.New(direct, &other{table: far}, relay.WithClock(func() time.Time { return now }))
	call := table.Call{Read: &table.Range{Table: "t"}}
	is.Equal(s.ServeDirect(context.Background(), call).Page.Version, uint64(3))
	direct.err = &table.RefusedError{Status: 503}
	is.Equal(s.ServeDirect(context.Background(), call).RefusedStatus, 503)
	calls := direct.calls
	is.True(!s.ServeDirect(context.Background(), call).Answered())
	is.Equal(direct.calls, calls)
	is.Equal(s.Serve(context.Background(), call).Page.Version, uint64(4))
}
