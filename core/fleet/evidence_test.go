package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
)

// decisionsOf returns the decisions since the last call that have one of the events.
func (f *fixture) decisionsOf(events ...string) []fleet.Decision {
	var out []fleet.Decision
	for _, d := range f.Decisions() {
		for _, e := range events {
			if d.Event == e {
				out = append(out, d)
			}
		}
	}
	return out
}

// TestOrdersNameTheirOwner guards against orders of which the logs don't tell under which epoch
// and on how old a confirmation of the record they were given.
func TestOrdersNameTheirOwner(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, 1)
	f.registerWorkers()
	f.Renewed(f.now)
	f.advance(300 * time.Millisecond)
	f.heartbeat(f.workers[0], nil, nil)
	spec := newJob("j", 1, false)
	spec.FirstEpoch = 3
	f.Accept(f.now, spec)
	f.Scheduler.Tick(f.now)
	placed := f.decisionsOf(fleet.EventPlaced)
	is.Equal(len(placed), 1)
	is.Equal(placed[0].Epoch, core.Epoch(3))
	is.Equal(placed[0].Confirmed, 300*time.Millisecond)
	is.Equal(f.Dump().Confirmed, "300ms")

	var start fleet.Order
	for _, o := range f.Orders() {
		if o.Kind == fleet.OrderStart {
			start = o
		}
	}
	f.StartAnswered(f.now, start.Worker, start.Task, start.Run, fleet.ReplyOK)
	f.Cancel(f.now, "j")
	stops := 0
	for range 30 {
		f.advance(100 * time.Millisecond)
		for _, o := range f.nextOrders(fleet.OrderStop) {
			stops++
			if stops == 3 {
				f.StopAnswered(f.now, o.Worker, o.Task, o.Run, fleet.ReplyOK)
			}
		}
	}
	is.Equal(stops, 3)
	lines := f.decisionsOf("stop ordered", "stop acknowledged")
	is.Equal(len(lines), 2) // however often the stop is repeated
	is.Equal(lines[0].Event, "stop ordered")
	is.Equal(lines[0].Task, start.Task.String())
	is.Equal(lines[0].Confirmed, 300*time.Millisecond)
	is.Equal(lines[1].Event, "stop acknowledged")
	is.Equal(lines[1].Run, start.Run)
}

// endsFixture returns a fixture of one worker, which has listed two ends that are in the store.
func endsFixture() (*fixture, []fleet.EndedRun) {
	f := newFixture(1, 1)
	f.registerWorkers()
	f.Accept(f.now, newJob("j", 2, false))
	starts := f.nextOrders(fleet.OrderStart)
	f.confirmStarts(starts)
	f.advance(100 * time.Millisecond)
	ends := append(doneEnd(41, starts[0]), doneEnd(42, starts[1])...)
	f.heartbeat(f.workers[0], nil, ends)
	f.Batch()
	f.BatchStored(f.now)
	return f, ends
}

// TestAcknowledgementIsLogged guards against logs that don't tell who has acknowledged an end,
// and against lines for heartbeats that acknowledge nothing new.
func TestAcknowledgementIsLogged(t *testing.T) {
	is := is.New(t)
	f, ends := endsFixture()
	ended := f.decisionsOf(fleet.EventRunEnded + "done")
	is.Equal(len(ended), 2)
	is.Equal(ended[1].LastEnd, uint64(42))
	orders := f.nextOrders(fleet.OrderHeartbeat)
	is.Equal(orders[0].AckedEnd, uint64(42))
	is.Equal(len(f.decisionsOf(fleet.EventAcked)), 0) // the worker has not answered
	f.heartbeat(f.workers[0], nil, ends)
	is.Equal(len(f.decisionsOf(fleet.EventAcked)), 0) // it lists the ends again

	confirmed := f.now
	f.advance(600 * time.Millisecond)
	f.Confirmed(confirmed)
	f.heartbeat(f.workers[0], nil, ends)
	f.Scheduler.Tick(f.now)
	f.advance(50 * time.Millisecond)
	f.Confirmed(f.now)
	f.heartbeat(f.workers[0], nil, nil)
	acked := f.decisionsOf(fleet.EventAcked)
	is.Equal(len(acked), 1)
	is.Equal(acked[0].Worker, f.workers[0].ID())
	is.Equal(acked[0].FirstEnd, uint64(41))
	is.Equal(acked[0].LastEnd, uint64(42))
	is.Equal(acked[0].Epoch, core.Epoch(1))
	is.Equal(acked[0].Wait, 50*time.Millisecond)
	is.True(acked[0].Confirmed >= 599*time.Millisecond) // at the sending, not at the answer

	for range 40 {
		f.advance(100 * time.Millisecond)
		f.Tick(f.now)
		f.heartbeat(f.workers[0], nil, nil)
	}
	is.Equal(len(f.Decisions()), 0) // no line for a heartbeat
}

// TestUnansweredAcknowledgementIsLoggedOnce guards against logs that hide an acknowledgement
// which the worker may have taken, and against a line for each repetition.
func TestUnansweredAcknowledgementIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	f, ends := endsFixture()
	f.Decisions()
	lines := 0
	for range 5 {
		f.heartbeat(f.workers[0], nil, ends)
		orders := f.nextOrders(fleet.OrderHeartbeat)
		is.Equal(len(orders), 1)
		is.Equal(orders[0].AckedEnd, uint64(42))
		f.HeartbeatFailed(f.now, f.workers[0].ID())
		for _, d := range f.decisionsOf(fleet.EventAckUnconfirmed) {
			lines++
			is.Equal(d.FirstEnd, uint64(41))
			is.Equal(d.LastEnd, uint64(42))
		}
		f.advance(500 * time.Millisecond)
	}
	is.Equal(lines, 1)
}

// TestUnreachedWorkersAreNamed guards against a new owner of which the logs don't tell which
// workers it has not reached, and how it stopped waiting for each; and against unbounded lines.
func TestUnreachedWorkersAreNamed(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 60)
	f.RestoreRoster(rosterOf(f.workers))
	f.SetWorkers(f.now, f.list(f.workers))
	f.Load(f.now, []jobs.Spec{newJob("j", 1, false)}, nil)
	var named []fleet.Decision
	proofs := map[core.WorkerID]string{}
	var last fleet.Decision
	for ; f.now.Sub(startTime) < 12*time.Second; f.advance(100 * time.Millisecond) {
		for i, w := range f.workers {
			// 30 answer in time, 10 after 2 s, the others never.
			if i < 30 || i < 40 && f.now.Sub(startTime) >= 2*time.Second {
				f.heartbeat(w, nil, nil)
			}
		}
		f.Tick(f.now)
		f.Orders()
		if f.now.Equal(startTime) {
			is.Equal(f.Unreached(), 30)
			is.Equal(f.Dump().Unreached, 30)
		}
		for _, d := range f.Decisions() {
			switch d.Event {
			case "workers not reached":
				named = append(named, d)
			case "worker reached", "worker does not answer; its runs have ended":
				is.Equal(proofs[d.Worker], "") // one line a worker
				proofs[d.Worker] = d.Event
			case "no worker is waited for":
				is.Equal(last.Event, "")
				last = d
			}
		}
	}
	is.Equal(named[0].Count, 30)
	is.Equal(len(named[0].Workers), 20)
	is.Equal(named[0].Workers[0], f.workers[30].ID())
	is.Equal(named[0].Wait, time.Second)
	is.Equal(named[len(named)-1].Count, 20)
	is.True(len(named) <= 12) // one a second
	is.Equal(len(proofs), 30)
	is.Equal(proofs[f.workers[35].ID()], "worker reached")
	is.Equal(proofs[f.workers[55].ID()], "worker does not answer; its runs have ended")
	is.Equal(last.Reason, fmt.Sprintf("%d of %d answered", 40, 60))
	is.Equal(f.Unreached(), 0)
}
