package lanes_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
	"chicoryturn/core/lanes"
)

var startTime = time.Date(2026, 12, 6, 6, 0, 0, 0, time.UTC)

func order(kind fleet.OrderKind, worker string, index int) lanes.Entry {
	task := jobs.TaskID{PhaseID: jobs.PhaseID{Job: "j"}, Index: index}
	return lanes.Entry{Order: fleet.Order{Kind: kind, Worker: core.WorkerID(worker), Task: task, Run: 1}}
}

// TestWithdraw guards against withdrawn starts that are sent, or can't be queued again, and against
// stops and other workers' starts that are withdrawn with them.
func TestWithdraw(t *testing.T) {
	is := is.New(t)
	s := lanes.New()
	for i := range 5 {
		s.Add(order(fleet.OrderStart, "a", i))
		s.Add(order(fleet.OrderStart, "b", i))
	}
	inFlight := s.Next(startTime)
	is.Equal(len(inFlight), 4) // two for each worker
	s.Add(order(fleet.OrderStop, "a", 9))
	withdrawn := s.Withdraw(func(w core.WorkerID) bool { return w == "a" })
	is.Equal(len(withdrawn), 3)
	total, longest := s.Queued()
	is.Equal(total, 4) // the stop, and three starts for b
	is.Equal(longest, 3)
	s.Add(withdrawn[0])
	total, _ = s.Queued()
	is.Equal(total, 5)
	for _, e := range inFlight {
		s.Done(e.Order, fleet.ReplyOK, time.Millisecond)
	}
	is.Equal(len(s.Next(startTime)), 4)
}

// peer is a worker that answers after a round trip. It leaves orders without an answer that are
// sent before silentFor has passed, and later ones of which the number is a multiple of lost.
type peer struct {
	roundTrip, silentFor time.Duration
	lost                 int
}

// flight is an order on its way.
type flight struct {
	lanes.Entry
	sentAt time.Time
}

// play is what came of the orders to one worker: when the last one ended, the most that were in
// flight at once, and how many were sent while the worker was silent.
type play struct {
	ended               time.Duration
	most, sentToSilence int
}

// run sends the orders in lanes until none is left. It returns them in the order of their sending.
func run(s *lanes.Lanes, peers map[string]peer) (sent []lanes.Entry, plays map[string]*play) {
	const timeout, step = 400 * time.Millisecond, 100 * time.Microsecond
	plays = map[string]*play{}
	inFlight := map[string]int{}
	var flights []flight
	for now := startTime; ; now = now.Add(step) {
		for _, e := range s.Next(now) {
			sent, flights = append(sent, e), append(flights, flight{e, now})
			w := string(e.Worker)
			if plays[w] == nil {
				plays[w] = &play{}
			}
			inFlight[w]++
			plays[w].most = max(plays[w].most, inFlight[w])
			if now.Sub(startTime) < peers[w].silentFor {
				plays[w].sentToSilence++
			}
		}
		var left []flight
		for _, f := range flights {
			w := string(f.Worker)
			took, reply := peers[w].roundTrip, fleet.ReplyOK
			if f.sentAt.Sub(startTime) < peers[w].silentFor || peers[w].lost > 0 && f.Task.Index%peers[w].lost == 0 {
				took, reply = timeout, fleet.ReplyUnanswered
			}
			if now.Sub(f.sentAt) < took {
				left = append(left, f)
				continue
			}
			inFlight[w]--
			plays[w].ended = now.Sub(startTime)
			s.Done(f.Order, reply, took)
		}
		flights = left
		if queued, _ := s.Queued(); queued == 0 && len(flights) == 0 {
			return sent, plays
		}
	}
}

// TestOrdersReachWorkersInTime guards against tasks of cancelled jobs that run on since their
// stops wait for two connections to a far worker (review/9; the users' bound is 3 s), and against
// connections to a near one that would not be needed: each is paid for.
func TestOrdersReachWorkersInTime(t *testing.T) {
	const near, far = 400 * time.Microsecond, 40 * time.Millisecond
	for name, c := range map[string]struct {
		count int
		peer
		within time.Duration
		most   int
	}{
		"near":                     {1000, peer{roundTrip: near}, 3 * time.Second, 2},
		"in the next data centre":  {1000, peer{roundTrip: 1800 * time.Microsecond}, 3 * time.Second, 8},
		"far":                      {1000, peer{roundTrip: far}, 3 * time.Second, lanes.MaxInFlight},
		"far, few orders":          {50, peer{roundTrip: far}, 400 * time.Millisecond, 8},
		"near, some answers lost":  {200, peer{roundTrip: near, lost: 20}, 3 * time.Second, lanes.MaxInFlight},
		"far, silent for a second": {400, peer{roundTrip: far, silentFor: time.Second}, 3 * time.Second, lanes.MaxInFlight},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := lanes.New()
			for i := range c.count {
				s.Add(order(fleet.OrderStop, "w", i))
			}
			sent, plays := run(s, map[string]peer{"w": c.peer})
			is.Equal(len(sent), c.count)
			t.Logf("%s, %d at once", plays["w"].ended, plays["w"].most)
			is.True(plays["w"].ended < c.within)
			is.True(plays["w"].most <= c.most)
		})
	}
}

// TestStopsGoFirst checks the order in a queue: stops before starts, each in their order, and a
// stop that is repeated meanwhile only once.
func TestStopsGoFirst(t *testing.T) {
	is := is.New(t)
	s := lanes.New()
	for i := range 3 {
		s.Add(order(fleet.OrderStart, "w", i))
	}
	for range 2 {
		s.Add(order(fleet.OrderStop, "w", 8))
		s.Add(order(fleet.OrderStop, "w", 7))
	}
	sent, _ := run(s, map[string]peer{"w": {roundTrip: time.Millisecond}})
	is.Equal(fmt.Sprint(sent[0].Task.Index, sent[1].Task.Index, sent[2].Task.Index, len(sent)), "8 7 0 5")
	s.Add(order(fleet.OrderStop, "w", 8)) // it has ended, and may be sent again
	total, longest := s.Queued()
	is.Equal([]int{total, longest}, []int{1, 1})
}

// TestSilentWorkerTakesNothing guards against a worker without answers that holds up the orders
// to others, or to which ever more orders are on their way.
func TestSilentWorkerTakesNothing(t *testing.T) {
	is := is.New(t)
	s := lanes.New()
	for i := range 400 {
		s.Add(order(fleet.OrderStop, "silent", i))
		s.Add(order(fleet.OrderStop, "far", i))
	}
	_, plays := run(s, map[string]peer{"silent": {roundTrip: 40 * time.Millisecond, silentFor: 3 * time.Second}, "far": {roundTrip: 40 * time.Millisecond}})
	is.True(plays["far"].ended < 1500*time.Millisecond)
	is.True(plays["silent"].sentToSilence <= 2*8) // two in each 0.4 s
}

// TestUnsentOrdersAreForgotten checks that orders that end unsent leave nothing behind.
func TestUnsentOrdersAreForgotten(t *testing.T) {
	is := is.New(t)
	s := lanes.New()
	for range 2 {
		s.Add(order(fleet.OrderStart, "w", 1))
		e := s.Next(startTime)
		is.Equal(len(e), 1)
		s.Retain(core.NewSet[core.WorkerID]())
		s.Done(e[0].Order, fleet.ReplyNotSent, 0)
		s.Done(e[0].Order, fleet.ReplyNotSent, 0) // twice has no effect
	}
}
