// Package timer ends waits of a few fixed lengths, of which most are stopped before. It has one
// timer of the runtime for each length instead of one for each wait.
package timer

import (
	"sync"
	"time"
)

// Set is a set of waits, each for a value. Any goroutine may use it.
type Set[T any] struct {
	// expired is called with the value of each wait that has not been stopped, on a goroutine of
	// its own.
	expired func(T)

	// mu guards the fields below and those of all queues and waits.
	mu     sync.Mutex
	queues map[time.Duration]*queue[T]
}

// queue holds the waits of one length.
type queue[T any] struct {
	length time.Duration
	// waits are in the order in which they end. The first one has not been stopped.
	waits []*Wait[T]
	timer *time.Timer
	// isArmed is set while the timer runs. It ends no later than the first wait.
	isArmed bool
}

// Wait is one wait.
type Wait[T any] struct {
	set     *Set[T]
	queue   *queue[T]
	value   T
	endsAt  time.Time
	stopped bool
}

// New returns a set without waits.
func New[T any](expired func(T)) *Set[T] {
	return &Set[T]{expired: expired, queues: map[time.Duration]*queue[T]{}}
}

// Start starts a wait for a value. The set keeps a queue for each length, so there should be few
// different ones.
func (s *Set[T]) Start(length time.Duration, value T) *Wait[T] {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[length]
	if q == nil {
		q = &queue[T]{length: length}
		s.queues[length] = q
	}
	w := &Wait[T]{set: s, queue: q, value: value, endsAt: time.Now().Add(length)}
	q.waits = append(q.waits, w)
	s.arm(q, length)
	return w
}

// arm makes the timer of a queue end after a time, unless it runs.
func (s *Set[T]) arm(q *queue[T], after time.Duration) {
	switch {
	case q.isArmed:
		return
	case q.timer == nil:
		q.timer = time.AfterFunc(after, func() { s.expire(q) })
	default:
		q.timer.Reset(after)
	}
	q.isArmed = true
}

// Stop ends the wait. Its value may be expiring already.
func (w *Wait[T]) Stop() {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	w.stopped = true
	w.queue.dropStopped()
}

// dropStopped removes the stopped waits in front of the first one that has not been stopped.
func (q *queue[T]) dropStopped() {
	for len(q.waits) > 0 && q.waits[0].stopped {
		q.drop()
	}
}

// drop removes the first wait.
func (q *queue[T]) drop() {
	q.waits[0] = nil
	q.waits = q.waits[1:]
}

// expire ends the waits of a queue whose time is over.
func (s *Set[T]) expire(q *queue[T]) {
	var values []T
	s.mu.Lock()
	now := time.Now()
	for len(q.waits) > 0 && !q.waits[0].endsAt.After(now) {
		values = append(values, q.waits[0].value)
		q.drop()
		q.dropStopped()
	}
	q.isArmed = false
	if len(q.waits) > 0 {
		s.arm(q, q.waits[0].endsAt.Sub(now))
	}
	s.mu.Unlock()
	for _, v := range values {
		s.expired(v)
	}
}
