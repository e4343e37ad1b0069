package owner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/budget"
	"chicoryturn/core/elect"
	"chicoryturn/core/policy"
	"chicoryturn/io/owner"
	"chicoryturn/io/record"
)

// endlessLoad is a process's view of a shared row whose loads never end.
type endlessLoad struct{ delayedStore }

func (*endlessLoad) Load(ctx context.Context, _ *budget.Budget) (*record.Snapshot, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (*endlessLoad) Changes(context.Context, uint64) (record.Snapshot, error) {
	return record.Snapshot{}, nil
}

// quickLoad is a process's view of a shared row that loads in 1.3 s.
type quickLoad struct{ delayedStore }

func (*quickLoad) Changes(context.Context, uint64) (record.Snapshot, error) {
	return record.Snapshot{}, nil
}

func viewOf(r *sharedRow, delay time.Duration) delayedStore {
	return delayedStore{fakeDeps: &fakeDeps{}, row: r, delay: delay}
}

func (r *sharedRow) current() elect.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record
}

// finishBubble lets the calls of owners end after their context has, since time stands still in a
// bubble after the test.
func finishBubble(t *testing.T) { t.Cleanup(func() { time.Sleep(10 * time.Second) }) }

// TestOwnerThatCannotLoadIsReplaced guards against an owner that renews its record although its
// load never ends: another process must own the fleet and schedule within 30 s.
func TestOwnerThatCannotLoadIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		finishBubble(t)
		r := &sharedRow{}
		p := policy.New(1, nil, nil, nil, 0)
		startOwner(t, &endlessLoad{viewOf(r, 2*time.Millisecond)}, "stuck", p)
		time.Sleep(time.Second)
		is.Equal(r.current().Holder, core.SessionID("stuck"))
		sound := startOwner(t, &quickLoad{viewOf(r, 25*time.Millisecond)}, "sound", p)
		time.Sleep(30 * time.Second)
		is.Equal(r.current().Holder, core.SessionID("sound"))
		_, _, isOwner, err := sound.State(t.Context(), "j")
		is.NoErr(err)
		is.True(isOwner)
	})
}

// TestHandOversAreBounded guards against processes that hand the record to each other all the time
// because none can load.
func TestHandOversAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		finishBubble(t)
		r := &sharedRow{}
		for _, name := range []core.SessionID{"a", "b", "c"} {
			startOwner(t, &endlessLoad{viewOf(r, 2*time.Millisecond)}, name, policy.New(1, nil, nil, nil, 0))
		}
		time.Sleep(10 * time.Minute)
		epoch := r.current().Epoch
		is.True(epoch >= 4 && epoch <= 7)
		time.Sleep(10 * time.Minute)
		is.True(r.current().Epoch-epoch <= 4)
	})
}

// TestLateOwnerIsReplaced guards against an owner whose control goroutine renews its record but
// handles each message seconds late.
func TestLateOwnerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		finishBubble(t)
		r := &sharedRow{}
		p := policy.New(1, nil, nil, nil, 0)
		late := startOwner(t, &quickLoad{viewOf(r, 2*time.Millisecond)}, "late", p)
		time.Sleep(3 * time.Second)
		is.Equal(r.current().Holder, core.SessionID("late"))
		startOwner(t, &quickLoad{viewOf(r, 25*time.Millisecond)}, "sound", p)
		stop := keepBusy(t, late)
		defer stop()
		time.Sleep(time.Minute)
		is.Equal(r.current().Holder, core.SessionID("sound"))
	})
}

// slowPeer is a VM to which the owner takes 100 ms to write.
type slowPeer struct{ owner.Peer }

func (slowPeer) Name() string             { time.Sleep(100 * time.Millisecond); return "slow" }
func (slowPeer) RoomHint([]core.WorkerID) {}
func (slowPeer) OwnerResigned()           {}

// keepBusy sends an owner messages that it needs 1.2 s for, again and again.
func keepBusy(t *testing.T, o *owner.Owner) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for ctx.Err() == nil {
			for range 12 {
				o.RemovePeer(slowPeer{})
			}
			_, _, _ = o.Pending(ctx, "q")
		}
	}()
	return cancel
}

// TestOwnerWithLateRepliesIsReplaced guards against an owner whose control goroutine is in time while
// its process answers no VM in time.
func TestOwnerWithLateRepliesIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		finishBubble(t)
		r := &sharedRow{}
		p := policy.New(1, nil, nil, nil, 0)
		late := startOwner(t, &quickLoad{viewOf(r, 2*time.Millisecond)}, "late", p)
		time.Sleep(3 * time.Second)
		startOwner(t, &quickLoad{viewOf(r, 25*time.Millisecond)}, "sound", p)
		for range 600 {
			late.Replied(elect.ReplyTimeout)
			time.Sleep(50 * time.Millisecond)
		}
		is.Equal(r.current().Holder, core.SessionID("sound"))
	})
}
