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
	"chicoryturn/core/board"
	"chicoryturn/core/jobs"
	"chicoryturn/core/policy"
	"chicoryturn/core/reign"
	"chicoryturn/io/loop"
	"chicoryturn/io/owner"
	"chicoryturn/io/table"
	"chicoryturn/io/vault"
)

// outside stands for the store and the workers of an owner. The feed of changes
// has been cut for good, and reading the record takes a while.
type outside struct {
	mu sync.Mutex
	// loads counts the readings of the record, now those under way.
	loads, now, most int
	asked            int
}

func (*outside) Seat(context.Context) (reign.Look, error) { return reign.Look{}, nil }

func (*outside) Write(context.Context, vault.Record) (table.Done, error) {
	return table.Done{Version: 1}, nil
}

func (o *outside) Load(ctx context.Context) (*vault.Recorded, error) {
	o.mu.Lock()
	o.loads++
	o.now++
	o.most = max(o.most, o.now)
	o.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(1300 * time.Millisecond):
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.now--
	return &vault.Recorded{}, nil
}

func (o *outside) News(context.Context, uint64) (vault.Recorded, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked++
	return vault.Recorded{}, &table.TrimmedError{Version: 1}
}

func (*outside) Delete(context.Context, []core.JobID) error { return nil }

func (*outside) Start(context.Context, board.Order) (board.Reply, error) { return board.ReplyDone, nil }

func (*outside) Stop(context.Context, board.Order) (board.Reply, error) { return board.ReplyDone, nil }

func (*outside) Hold(context.Context, board.Order) (board.Lists, board.Reply, error) {
	return board.Lists{}, board.ReplyDone, nil
}

func (*outside) Hosts(context.Context) ([]board.Host, []error, error) { return nil, nil, nil }

func (*outside) Board(board.Counts)                 {}
func (*outside) Call(string, string, time.Duration) {}
func (*outside) Record(int, time.Duration)          {}
func (*outside) Plan(time.Duration)                 {}
func (*outside) Own(bool)                           {}

// all is what an owner reaches, by one stand-in.
type all interface {
	owner.Vault
	owner.Workers
	owner.Hosts
	owner.Meter
}

// begin runs an owner until the test ends.
func begin(t *testing.T, out all, holder core.SessionID, p *policy.Policy) *owner.Owner {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := owner.New(loop.New(ctx), owner.Outside{Vault: out, Workers: out, Hosts: out, Meter: out}, reign.Seat{Holder: holder, VM: string(holder)}, 0,
		board.Limits{Lease: 6 * time.Second, Remote: 1}, log.WithField("part", "owner"))
	go func() { _ = o.Run() }()
	if p != nil {
		o.SetPolicy(p)
	}
	return o
}

// row is the seat's row in a store that several VMs reach.
type row struct {
	mu      sync.Mutex
	seat    reign.Seat
	version uint64
}

// way is how one VM reaches the row, at some distance.
type way struct {
	*outside
	row  *row
	away time.Duration
}

func (w *way) Seat(context.Context) (reign.Look, error) {
	time.Sleep(w.away)
	w.row.mu.Lock()
	defer w.row.mu.Unlock()
	return reign.Look{Seat: w.row.seat, Version: w.row.version}, nil
}

func (w *way) Write(_ context.Context, r vault.Record) (table.Done, error) {
	time.Sleep(w.away)
	w.row.mu.Lock()
	defer w.row.mu.Unlock()
	if r.Version != w.row.version {
		return table.Done{}, &table.ConflictError{}
	}
	w.row.seat, w.row.version = r.Seat, w.row.version+1
	return table.Done{Version: w.row.version}, nil
}

// TestNearestClaims has two VMs find the seat free, the one far from the store a
// little earlier: the near one, whose records take less time, gets it.
func TestNearestClaims(t *testing.T) {
	is := is.New(t)
	r := &row{}
	for _, vm := range []struct {
		name string
		away time.Duration
	}{{"far", 25 * time.Millisecond}, {"near", 2 * time.Millisecond}} {
		w := &way{outside: &outside{}, row: r, away: vm.away}
		begin(t, w, core.SessionID(vm.name), nil)
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	is.Equal(r.seat.Holder, core.SessionID("near"))
}

// TestTrimmedFeed has the feed of changes cut while the owner reads the whole
// record: one reading runs at a time, and the feed is not asked meanwhile.
func TestTrimmedFeed(t *testing.T) {
	is := is.New(t)
	out := &outside{}
	begin(t, out, "a", policy.New(1, nil, nil, nil, 0))
	time.Sleep(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	is.True(out.loads >= 2) // after the claim, and after the feed was cut
	is.Equal(out.most, 1)
	is.True(out.asked <= out.loads)
}

// calm is a store in which nothing happens.
type calm struct{ *outside }

func (calm) News(context.Context, uint64) (vault.Recorded, error) { return vault.Recorded{}, nil }

// TestLatePolicy has the configuration come after the record has been read: the
// owner decides at once, by that reading.
func TestLatePolicy(t *testing.T) {
	is := is.New(t)
	out := &outside{}
	o := begin(t, calm{out}, "a", nil)
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

// lagging is a store whose feed names a job of a later owner, while the row still
// names this one.
type lagging struct {
	*outside
	mu   sync.Mutex
	seat reign.Seat
}

func (l *lagging) Seat(context.Context) (reign.Look, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return reign.Look{Seat: l.seat, Version: uint64(l.seat.Beat)}, nil
}

func (l *lagging) Write(_ context.Context, r vault.Record) (table.Done, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seat = r.Seat
	return table.Done{Version: uint64(r.Seat.Beat)}, nil
}

func (l *lagging) News(context.Context, uint64) (vault.Recorded, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return vault.Recorded{Version: 1, Specs: []jobs.Spec{{ID: "j", Team: "t", Queue: "q", From: 2, Phases: []jobs.Phase{{Count: 1}}}}}, nil
}

// TestJobOfLaterOwner has the feed name a job of a later owner: the process gives
// its board up and reads the seat and the record again. As it holds the seat all
// the same, it decides on the other jobs.
func TestJobOfLaterOwner(t *testing.T) {
	is := is.New(t)
	l := &lagging{outside: &outside{}}
	o := begin(t, l, "a", policy.New(1, nil, nil, nil, 0))
	time.Sleep(5 * time.Second)
	l.outside.mu.Lock()
	defer l.outside.mu.Unlock()
	is.Equal(l.loads, 2)
	_, known, mine, err := o.State(t.Context(), "j")
	is.NoErr(err)
	is.True(mine)
	is.True(!known)
}

// renamed stands for a worker whose incarnation is newer than the platform's list
// tells, and a store that takes its time.
type renamed struct {
	calm
	mu      sync.Mutex
	version uint64
	rosters [][]board.Host
	// first is closed once a list of workers is being written.
	first chan struct{}
	once  sync.Once
}

var (
	listed = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	reborn = listed.Add(time.Minute)
)

func (*renamed) Hosts(context.Context) ([]board.Host, []error, error) {
	return []board.Host{{VM: core.VM{Name: "w", Service: "s"}, Born: listed}}, nil, nil
}

func (r *renamed) Hold(ctx context.Context, _ board.Order) (board.Lists, board.Reply, error) {
	select {
	case <-r.first:
	case <-ctx.Done():
	}
	return board.Lists{Clock: time.Second, Born: reborn}, board.ReplyDone, nil
}

func (r *renamed) Write(_ context.Context, rec vault.Record) (table.Done, error) {
	if rec.Roster != nil {
		r.once.Do(func() { close(r.first) })
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
	r := &renamed{calm: calm{&outside{}}, first: make(chan struct{})}
	begin(t, r, "a", policy.New(1, nil, nil, []policy.Service{{Name: "s"}}, 0))
	time.Sleep(4 * time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	is.True(len(r.rosters) > 0)
	is.True(r.rosters[len(r.rosters)-1][0].Born.Equal(reborn))
}
