package lanes_test

import (
	"fmt"
	"math/rand/v2"
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

// flight is an order on its way.
type flight struct {
	lanes.Entry
	sentAt time.Time
}

// silentTime is how long the worker named silent leaves orders without an answer.
const silentTime = 3 * time.Second

// play sends the orders in lanes to workers until none is left or limit has passed. Each worker
// answers after its round trip. It returns the orders in the order of their sending, when the
// last one to each worker ended, and the most that were in flight to each.
func play(s *lanes.Lanes, roundTrips map[string]time.Duration, limit time.Duration) (sent []lanes.Entry, ended map[string]time.Duration, most map[string]int) {
	const timeout, step = 400 * time.Millisecond, 100 * time.Microsecond
	ended, most = map[string]time.Duration{}, map[string]int{}
	inFlight := map[string]int{}
	var flights []flight
	for now := startTime; now.Sub(startTime) < limit; now = now.Add(step) {
		for _, e := range s.Next(now) {
			sent = append(sent, e)
			flights = append(flights, flight{e, now})
			w := string(e.Worker)
			inFlight[w]++
			most[w] = max(most[w], inFlight[w])
		}
		var left []flight
		for _, f := range flights {
			w := string(f.Worker)
			took, reply := roundTrips[w], fleet.ReplyOK
			if w == "silent" && f.sentAt.Sub(startTime) < silentTime {
				took, reply = timeout, fleet.ReplyUnanswered
			}
			if now.Sub(f.sentAt) < took {
				left = append(left, f)
				continue
			}
			inFlight[w]--
			ended[w] = now.Sub(startTime)
			s.Done(f.Order, reply, took)
		}
		if flights = left; len(flights) == 0 {
			if queued, _ := s.Queued(); queued == 0 {
				break
			}
		}
	}
	return sent, ended, most
}

// TestStopsReachFarWorkerInTime guards against tasks of cancelled jobs that run on since their
// stops wait for two connections to a far worker (review/9). The users' bound is 3 s.
func TestStopsReachFarWorkerInTime(t *testing.T) {
	const bound = 3 * time.Second
	for _, count := range []int{50, 400, 1000} {
		for _, roundTrip := range []time.Duration{400 * time.Microsecond, 1800 * time.Microsecond, 40 * time.Millisecond} {
			t.Run(fmt.Sprint(count, roundTrip), func(t *testing.T) {
				is := is.New(t)
				s := lanes.New()
				for i := range count {
					s.Add(order(fleet.OrderStop, "w", i))
				}
				sent, ended, most := play(s, map[string]time.Duration{"w": roundTrip}, time.Minute)
				is.Equal(len(sent), count)
				is.True(ended["w"] < bound)
				t.Logf("%d stops, round trip %s: %s, %d at once", count, roundTrip, ended["w"].Round(time.Millisecond), most["w"])
			})
		}
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
	sent, _, _ := play(s, map[string]time.Duration{"w": time.Millisecond}, time.Minute)
	var got []int
	for _, e := range sent {
		got = append(got, e.Task.Index)
	}
	is.Equal(got, []int{8, 7, 0, 1, 2})
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
	sent, ended, most := play(s, map[string]time.Duration{"silent": 40 * time.Millisecond, "far": 40 * time.Millisecond}, time.Minute)
	is.True(ended["far"] < 1500*time.Millisecond)
	toSilent := 0
	for _, e := range sent[:len(sent)-400] {
		if e.Worker == "silent" {
			toSilent++
		}
	}
	is.True(toSilent <= 2*int(silentTime/(400*time.Millisecond)+1))
	// Once it answers, its queue is sent as fast as that of any other.
	is.Equal(most["silent"], lanes.MaxInFlight)
	is.True(ended["silent"] < silentTime+2*time.Second)
}

// TestNearWorkerNeedsFewConnections checks that a burst to a near worker opens no connections
// that would not be needed: each is paid for.
func TestNearWorkerNeedsFewConnections(t *testing.T) {
	is := is.New(t)
	s := lanes.New()
	for i := range 300 {
		s.Add(order(fleet.OrderStart, "w", i))
	}
	_, _, most := play(s, map[string]time.Duration{"w": 400 * time.Microsecond}, time.Minute)
	is.Equal(most["w"], 2)
}

// TestLostAnswersDoNotBlock checks a worker that leaves some orders without an answer: they do not
// keep the others waiting.
func TestLostAnswersDoNotBlock(t *testing.T) {
	is := is.New(t)
	s, rng := lanes.New(), rand.New(rand.NewPCG(1, 1))
	const count = 200
	for i := range count {
		s.Add(order(fleet.OrderStart, "w", i))
	}
	now, answered := startTime, 0
	var flights []flight
	for ; answered < count*9/10; now = now.Add(time.Millisecond) {
		is.True(now.Sub(startTime) < 3*time.Second)
		for _, e := range s.Next(now) {
			flights = append(flights, flight{e, now})
		}
		var left []flight
		for _, f := range flights {
			lost := rng.IntN(20) == 0
			switch age := now.Sub(f.sentAt); {
			case age == time.Millisecond && !lost:
				answered++
				s.Done(f.Order, fleet.ReplyOK, age)
			case age >= 400*time.Millisecond:
				s.Done(f.Order, fleet.ReplyUnanswered, age)
			default:
				left = append(left, f)
			}
		}
		flights = left
	}
}

// TestUnsentOrdersAreForgotten checks that orders that end unsent, and workers that have left,
// leave nothing behind.
func TestUnsentOrdersAreForgotten(t *testing.T) {
	is := is.New(t)
	s := lanes.New()
	s.Add(order(fleet.OrderStart, "w", 1))
	e := s.Next(startTime)
	is.Equal(len(e), 1)
	s.Retain(core.NewSet[core.WorkerID]())
	s.Done(e[0].Order, fleet.ReplyNotSent, 0)
	s.Done(e[0].Order, fleet.ReplyNotSent, 0) // twice has no effect
	s.Add(order(fleet.OrderStart, "w", 1))
	is.Equal(len(s.Next(startTime)), 1)
}
