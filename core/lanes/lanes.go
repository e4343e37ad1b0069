// Package lanes decides which orders are sent to the workers next. A worker takes as many at a
// time as bring its queue to an end soon, given the round trip to it, and stops go before starts.
package lanes

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"chicoryturn/core"
	"chicoryturn/core/fleet"
	"chicoryturn/core/jobs"
)

const (
	// MaxInFlight bounds the orders to one worker that have not been answered, each of which
	// takes a connection. The platform allows 64 connections to a worker in all, and those of a
	// former owner may still be open.
	MaxInFlight = 16
	// minInFlight is how many may be in flight whatever the round trip is.
	minInFlight = 2
	// drainTime is the time in which the queue of a worker should be sent.
	drainTime = 250 * time.Millisecond
	// lateTime is the time after which, beside two round trips, an order counts as late: it
	// will hardly be answered, and another may be sent in its place.
	lateTime = 100 * time.Millisecond
	// slowdownDivisor is the inverse weight of an answer that took longer than the round trip
	// known: most of such delays arise in this process.
	slowdownDivisor = 16
)

// Entry is an order in a queue.
type Entry struct {
	fleet.Order
	// Decided is when it was decided, as boot time.
	Decided time.Duration
}

// id names an order.
type id struct {
	kind fleet.OrderKind
	task jobs.TaskID
	run  uint64
}

func idOf(o fleet.Order) id { return id{o.Kind, o.Task, o.Run} }

// lane holds the orders to one worker.
type lane struct {
	// stops and starts are queued, the oldest first.
	stops, starts []Entry
	// known holds the orders that are queued, or in flight since the time in sent.
	known core.Set[id]
	sent  map[id]time.Time
	// roundTrip is the shortest time of late answers; zero before the first one.
	roundTrip time.Duration
	// width is how many orders may be in flight. While orders are queued it does not shrink, as
	// the connections are open.
	width int
	// isSilent is set while the last order that has ended has had no answer.
	isSilent bool
}

func (l *lane) queued() int { return len(l.stops) + len(l.starts) }

// Lanes holds the orders to all workers under one owner.
type Lanes struct {
	lanes map[core.WorkerID]*lane
	// waiting holds the lanes with queued orders.
	waiting map[core.WorkerID]*lane
}

// New returns lanes without orders.
func New() *Lanes {
	return &Lanes{lanes: map[core.WorkerID]*lane{}, waiting: map[core.WorkerID]*lane{}}
}

// Add queues an order to start or stop a run. An order that is queued or in flight already is
// not queued again.
func (s *Lanes) Add(e Entry) {
	l := s.lanes[e.Worker]
	if l == nil {
		l = &lane{known: core.Set[id]{}, sent: map[id]time.Time{}}
		s.lanes[e.Worker] = l
	}
	if l.known.Has(idOf(e.Order)) {
		return
	}
	l.known.Add(idOf(e.Order))
	if e.Kind == fleet.OrderStop {
		l.stops = append(l.stops, e)
	} else {
		l.starts = append(l.starts, e)
	}
	s.waiting[e.Worker] = l
}

// Withdraw removes and returns the queued starts to the workers that match. Orders in flight stay.
func (s *Lanes) Withdraw(match func(core.WorkerID) bool) []Entry {
	var out []Entry
	for _, worker := range slices.SortedFunc(maps.Keys(s.waiting), cmp.Compare) {
		if !match(worker) {
			continue
		}
		l := s.waiting[worker]
		for _, e := range l.starts {
			delete(l.known, idOf(e.Order))
		}
		out = append(out, l.starts...)
		l.starts = nil
		if l.queued() == 0 {
			l.width = 0
			delete(s.waiting, worker)
		}
	}
	return out
}

// Next removes and returns the orders that must be sent now. Each ends with a call of Done.
func (s *Lanes) Next(now time.Time) []Entry {
	if len(s.waiting) == 0 {
		return nil
	}
	var out []Entry
	for _, worker := range slices.SortedFunc(maps.Keys(s.waiting), cmp.Compare) {
		l := s.waiting[worker]
		for range l.room(now) {
			out = append(out, l.pop(now))
		}
		if l.queued() == 0 {
			l.width = 0
			delete(s.waiting, worker)
		}
	}
	return out
}

// room returns how many queued orders may be sent now.
func (l *lane) room(now time.Time) int {
	if l.isSilent {
		// A few orders at a time find out whether the worker answers again.
		return min(max(minInFlight-len(l.sent), 0), l.queued())
	}
	prompt := 0
	for _, sentAt := range l.sent {
		if l.roundTrip == 0 || now.Sub(sentAt) < lateTime+2*l.roundTrip {
			prompt++
		}
	}
	needed := int(math.Ceil(float64(l.queued()+prompt) * float64(l.roundTrip) / float64(drainTime)))
	l.width = max(l.width, minInFlight, min(needed, MaxInFlight))
	return max(min(l.width-prompt, MaxInFlight-len(l.sent), l.queued()), 0)
}

func (l *lane) pop(now time.Time) Entry {
	from := &l.starts
	if len(l.stops) > 0 {
		from = &l.stops
	}
	e := (*from)[0]
	if *from = (*from)[1:]; len(*from) == 0 {
		*from = nil
	}
	l.sent[idOf(e.Order)] = now
	return e
}

// Done records the end of an order that Next has returned, after a time. An order that was not
// sent tells nothing of the worker.
func (s *Lanes) Done(o fleet.Order, reply fleet.Reply, took time.Duration) {
	l := s.lanes[o.Worker]
	if l == nil {
		return
	}
	if _, ok := l.sent[idOf(o)]; !ok {
		return
	}
	delete(l.sent, idOf(o))
	delete(l.known, idOf(o))
	switch {
	case reply == fleet.ReplyUnanswered:
		l.isSilent = true
		return
	case reply == fleet.ReplyNotSent:
		return
	case l.roundTrip == 0 || took < l.roundTrip:
		l.roundTrip = max(took, 1)
	default:
		l.roundTrip += (took - l.roundTrip) / slowdownDivisor
	}
	l.isSilent = false
}

// Retain forgets the workers without orders that are not in a list.
func (s *Lanes) Retain(listed core.Set[core.WorkerID]) {
	maps.DeleteFunc(s.lanes, func(worker core.WorkerID, l *lane) bool {
		return len(l.known) == 0 && !listed.Has(worker)
	})
}

// Queued returns how many orders wait, and how long the longest queue is.
func (s *Lanes) Queued() (total, longest int) {
	for _, l := range s.waiting {
		total += l.queued()
		longest = max(longest, l.queued())
	}
	return total, longest
}
