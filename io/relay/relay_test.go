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

// fakeTable answers each call with an error or a version.
type fakeTable struct {
	err     error
	version uint64
	calls   int
}

func (f *fakeTable) Write(context.Context, table.Txn) (table.WriteResult, error) {
	f.calls++
	return table.WriteResult{Version: f.version}, f.err
}

func (f *fakeTable) Read(context.Context, table.Range) (table.Page, error) {
	f.calls++
	return table.Page{Version: f.version}, f.err
}

func (f *fakeTable) Feed(context.Context, table.FeedRequest) (table.Changes, error) {
	f.calls++
	return table.Changes{Version: f.version}, f.err
}

// otherVM is a VM that makes forwarded calls. It converts them to JSON and
// back, as a link does.
type otherVM struct {
	table       *fakeTable
	unreachable bool
}

func (o *otherVM) Forward(ctx context.Context, c table.Call) (table.Outcome, error) {
	if o.unreachable {
		return table.Outcome{}, &table.RelayError{Reason: "the other VM is unreachable"}
	}
	var call table.Call
	var out table.Outcome
	if err := copyJSON(c, &call); err != nil {
		return out, err
	}
	return out, copyJSON(table.Do(ctx, o.table, call), &out)
}

// copyJSON copies a value to another through its JSON encoding.
func copyJSON(from, to any) error {
	text, err := json.Marshal(from)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, to)
}

// TestRelay checks which calls are relayed after a direct call has failed, and
// that the errors of relayed calls keep their types.
func TestRelay(t *testing.T) {
	ctx := context.Background()
	refused, unanswered := &table.RefusedError{Status: 503}, &table.UnansweredError{Err: context.DeadlineExceeded}
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

	t.Run("refused directly, answered through another VM", func(t *testing.T) {
		is := is.New(t)
		direct, other := &fakeTable{err: refused}, &otherVM{table: &fakeTable{version: 7}}
		s := relay.New(direct, other, relay.WithClock(func() time.Time { return now }))
		v, err := s.Write(ctx, table.Txn{})
		is.NoErr(err)
		is.Equal(v.Version, uint64(7))
		// Further calls are relayed without a direct attempt for a while.
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
	t.Run("a write without an answer is not relayed", func(t *testing.T) {
		is := is.New(t)
		other := &otherVM{table: &fakeTable{version: 7}}
		s := relay.New(&fakeTable{err: unanswered}, other)
		_, err := s.Write(ctx, table.Txn{})
		var noAnswer *table.UnansweredError
		is.True(errors.As(err, &noAnswer))
		is.Equal(other.table.calls, 0)
		_, err = s.Write(ctx, table.Txn{}) // the next write is relayed
		is.NoErr(err)
	})
	t.Run("refused directly and through another VM", func(t *testing.T) {
		is := is.New(t)
		s := relay.New(&fakeTable{err: refused}, &otherVM{table: &fakeTable{err: refused}})
		_, err := s.Write(ctx, table.Txn{})
		var refusal *table.RefusedError
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Status, 503)
	})
	t.Run("conflict and compaction errors keep their types", func(t *testing.T) {
		is := is.New(t)
		row := table.Row{Key: table.Key{Table: "t", Part: "p", Name: "n"}, Version: 4, Val: []byte("x")}
		remote := &fakeTable{err: &table.ConflictError{Rows: []table.Row{row}}}
		s := relay.New(&fakeTable{err: refused}, &otherVM{table: remote})
		_, err := s.Write(ctx, table.Txn{})
		var conflict *table.ConflictError
		is.True(errors.As(err, &conflict))
		found, ok := conflict.Find(row.Key)
		is.True(ok)
		is.Equal(string(found.Val), "x")
		remote.err = &table.CompactedError{Version: 3}
		_, err = s.Feed(ctx, table.FeedRequest{})
		var compacted *table.CompactedError
		is.True(errors.As(err, &compacted))
	})
	t.Run("no other VM", func(t *testing.T) {
		is := is.New(t)
		direct := &fakeTable{version: 3}
		s := relay.New(direct, &otherVM{unreachable: true})
		direct.err = refused
		_, err := s.Write(ctx, table.Txn{})
		is.True(err != nil)
		direct.err = nil
		_, err = s.Write(ctx, table.Txn{}) // the direct call is tried, since no VM can relay
		is.NoErr(err)
	})
}

// slowTable answers writes after a delay.
type slowTable struct {
	fakeTable
	mu    sync.Mutex
	delay time.Duration
}

func (s *slowTable) Write(ctx context.Context, t table.Txn) (table.WriteResult, error) {
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return table.WriteResult{}, &table.UnansweredError{Err: ctx.Err()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fakeTable.Write(ctx, t)
}

// TestSlowTable guards against relaying because the table is slow: the table
// answers a write after its caller's deadline. The late answer must end the
// relaying, and the late hook must receive the duration of the call.
func TestSlowTable(t *testing.T) {
	is := is.New(t)
	direct, other := &slowTable{delay: 300 * time.Millisecond}, &otherVM{table: &fakeTable{}}
	s := relay.New(direct, other)
	late := make(chan time.Duration, 1)
	ctx, cancel := context.WithTimeout(table.WithLateHook(context.Background(), func(took time.Duration, _ table.Outcome) { late <- took }), 100*time.Millisecond)
	defer cancel()
	_, err := s.Write(ctx, table.Txn{})
	var unanswered *table.UnansweredError
	is.True(errors.As(err, &unanswered))
	select {
	case took := <-late:
		is.True(took >= direct.delay)
	case <-time.After(2 * time.Second):
		t.Fatal("the late hook was not called")
	}
	_, err = s.Write(context.Background(), table.Txn{})
	is.NoErr(err)
	is.Equal(other.table.calls, 0)
}

// TestBusyPartition guards against relaying all calls when the table refuses
// one but answers others: only the refused call must be relayed.
func TestBusyPartition(t *testing.T) {
	is := is.New(t)
	direct, other := &slowTable{delay: 300 * time.Millisecond}, &otherVM{table: &fakeTable{version: 7}}
	s := relay.New(direct, other)
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
	is.Equal(other.table.calls, 1)
}

// TestCallerCancels guards against a call that outlives a caller which cancels
// its context.
func TestCallerCancels(t *testing.T) {
	is := is.New(t)
	direct := &slowTable{delay: time.Hour}
	s := relay.New(direct, &otherVM{table: &fakeTable{}})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	began := time.Now()
	_, err := s.Write(ctx, table.Txn{})
	is.True(err != nil)
	is.True(time.Since(began) < time.Second)
}

// TestUnreachable distinguishes a table that cannot be reached from one that
// refuses calls. The table must count as reachable again after one answer.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	direct, remote := &fakeTable{}, &fakeTable{}
	s := relay.New(direct, &otherVM{table: remote}, relay.WithClock(func() time.Time { return now }))
	read := func() {
		_, _ = s.Read(context.Background(), table.Range{Table: "t"})
		now = now.Add(400 * time.Millisecond)
	}
	read()
	is.True(!s.Unreachable())
	direct.err, remote.err = &table.RefusedError{Status: 503}, &table.RefusedError{Status: 503}
	for range 10 {
		read()
		is.True(!s.Unreachable()) // a table that refuses calls is reachable
	}
	direct.err, remote.err = &table.UnansweredError{Err: context.DeadlineExceeded}, &table.UnansweredError{Err: context.DeadlineExceeded}
	read()
	is.True(!s.Unreachable()) // one lost answer does not make the table unreachable
	for range 4 {
		read()
	}
	is.True(s.Unreachable())
	remote.err = nil
	read()
	is.True(!s.Unreachable())
}

// TestServeDirect guards against forwarding a call twice: a VM whose own calls
// are relayed must return at once, without a call, when another VM forwards one
// to it.
func TestServeDirect(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	direct, remote := &fakeTable{version: 3}, &fakeTable{version: 4}
	s := relay.New(direct, &otherVM{table: remote}, relay.WithClock(func() time.Time { return now }))
	call := table.Call{Read: &table.Range{Table: "t"}}
	is.Equal(s.ServeDirect(context.Background(), call).Page.Version, uint64(3))
	direct.err = &table.RefusedError{Status: 503}
	is.Equal(s.ServeDirect(context.Background(), call).RefusedStatus, 503)
	calls := direct.calls
	is.True(!s.ServeDirect(context.Background(), call).Answered())
	is.Equal(direct.calls, calls)
	is.Equal(s.Serve(context.Background(), call).Page.Version, uint64(4))
}
