package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core/fleet"
)

// TestRestartIsLogged guards against logs that don't tell whether a task was placed on a restarted
// worker before its entry of that incarnation had been read.
func TestRestartIsLogged(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.registerWorkers()
	f.Decisions()
	restarted := f.workers[0]
	restarted.Incarnation = f.now
	f.advance(time.Second)
	f.heartbeat(restarted, nil, nil)
	f.advance(300 * time.Millisecond)
	f.SetWorkers(f.now, f.list([]fleet.WorkerInfo{restarted}))
	f.RosterStored(f.Roster())
	f.Accept(f.now, newJob("j", 1, false))
	is.Equal(len(f.nextOrders(fleet.OrderStart)), 1)
	want := []struct {
		event string
		wait  time.Duration
	}{{fleet.EventIncarnation, 0}, {fleet.EventEntry, 300 * time.Millisecond}, {fleet.EventPlaced, 0}}
	got := f.Decisions()
	is.Equal(len(got), len(want))
	for i, d := range got {
		is.Equal(d.Event, want[i].event)
		is.Equal(d.Worker, restarted.ID())
		is.True(d.Incarnation.Equal(restarted.Incarnation))
		is.Equal(d.Wait, want[i].wait)
	}
}
