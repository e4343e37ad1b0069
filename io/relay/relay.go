// Package relay reaches the platform's table through another VM while the
// table turns this one away.
package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"chicoryturn/io/table"
)

const (
	// detour is how long calls go through another VM after a direct one has
	// failed; then a direct one is tried again.
	detour = time.Second
	// quick bounds the direct call that is tried while others take the detour.
	quick = 300 * time.Millisecond
	// awayAfter is for how long the table must not have been heard of before calls
	// to it are taken to be useless: twice the time of an answer when it is slow.
	awayAfter = time.Second
	// linger is how long an answer is still listened for when its caller has given
	// up: it tells a slow table from one that turns this VM away.
	linger = 3 * time.Second
)

// Forwarder has another VM carry out a call. The error is a RelayError if none
// could be asked.
type Forwarder interface {
	Forward(ctx context.Context, c table.Call) (table.Outcome, error)
}

// Store is the table, reached directly or through another VM.
type Store struct {
	direct  table.Client
	carrier Forwarder
	clock   func() time.Time

	// mu guards what the traffic goroutines share.
	mu sync.Mutex
	// until is how long calls take the detour; it is zero while direct calls
	// are answered.
	until time.Time
	// dealt is when the table last dealt with a direct call.
	dealt time.Time
	// answered is when the table was last heard of on either way, failing the
	// start of the first call since then that had no answer.
	answered, failing time.Time
	// Relayed counts the calls carried out by other VMs.
	relayed uint64
}

// Option changes a store under construction.
type Option func(*Store)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option { return func(s *Store) { s.clock = now } }

// New returns a store that calls directly while it can.
func New(direct table.Client, c Forwarder, opts ...Option) *Store {
	s := &Store{direct: direct, carrier: c, clock: time.Now}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Relayed returns how many calls other VMs have carried out.
func (s *Store) Relayed() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relayed
}

// Unreachable reports whether the table cannot be reached on either way.
func (s *Store) Unreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.failing.IsZero() && s.clock().Sub(s.failing) > awayAfter
}

// heard takes in whether a call that began at a time had an answer of the table.
func (s *Store) heard(began time.Time, o table.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case o.Answered():
		s.answered, s.failing = s.clock(), time.Time{}
	case s.failing.IsZero() && began.After(s.answered):
		s.failing = began
	}
}

// route says whether the next call goes directly, and whether it is the one
// that tries whether direct calls are answered again.
func (s *Store) route() (direct, trial bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	switch {
	case s.until.IsZero():
		return true, false
	case now.Before(s.until):
		return false, false
	}
	// Others take the detour until the trial has ended.
	s.until = now.Add(detour)
	return true, true
}

// learn takes in the result of a direct call that began at a time. A failure shows
// nothing if the table has dealt with another call since then: it is slow, or
// refuses some calls of every VM.
func (s *Store) learn(began time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !turnedAway(err):
		s.until, s.dealt = time.Time{}, s.clock()
	case !s.dealt.After(began):
		s.until = s.clock().Add(detour)
	}
}

// turnedAway reports whether the table has not dealt with a call.
func turnedAway(err error) bool {
	var refused *table.RefusedError
	var down *table.UnansweredError
	return errors.As(err, &refused) || errors.As(err, &down)
}

// Serve carries out a call of another VM on either way.
func (s *Store) Serve(ctx context.Context, c table.Call) table.Outcome { return s.do(ctx, c) }

// ServeDirect carries out a call of another VM on this VM's own way, or not at all
// while that is not answered.
func (s *Store) ServeDirect(ctx context.Context, c table.Call) table.Outcome {
	direct, trial := s.route()
	if !direct {
		return table.NotSent()
	}
	began := s.clock()
	o := s.try(ctx, c, trial)
	s.heard(began, o)
	return o
}

// do carries out a call and learns whether the table can be reached.
func (s *Store) do(ctx context.Context, c table.Call) table.Outcome {
	began := s.clock()
	o := s.send(ctx, c)
	s.heard(began, o)
	return o
}

// send carries out a call on one of the two ways.
func (s *Store) send(ctx context.Context, c table.Call) table.Outcome {
	direct, trial := s.route()
	if !direct {
		if o, err := s.carry(ctx, c); err == nil {
			return o
		}
		// Nobody can be asked.
		return s.try(ctx, c, false)
	}
	o := s.try(ctx, c, trial)
	if detours(c, o, trial) {
		if other, err := s.carry(ctx, c); err == nil {
			return other
		}
	}
	return o
}

// try makes a direct call; a trial read gives up early. A call that is given up
// goes on for a while, so that a late answer ends the detour.
func (s *Store) try(ctx context.Context, c table.Call, trial bool) table.Outcome {
	if trial && c.Write == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, quick)
		defer cancel()
	}
	long, cancel := context.WithTimeout(context.WithoutCancel(ctx), linger)
	began := s.clock()
	out := make(chan table.Outcome, 1)
	go func() {
		defer cancel()
		o := table.Do(long, s.direct, c)
		late := ctx.Err() != nil
		out <- o
		if late && !turnedAway(o.Err()) {
			s.learn(began, nil)
			s.heard(began, o)
			table.ReportLate(ctx, s.clock().Sub(began), o)
		}
	}()
	var o table.Outcome
	select {
	case o = <-out:
	case <-ctx.Done():
		o = table.Outcome{NoAnswer: ctx.Err().Error()}
		if errors.Is(ctx.Err(), context.Canceled) {
			// The caller has left.
			cancel()
		}
	}
	s.learn(began, o.Err())
	return o
}

// detours reports whether a call that has failed directly is carried on at once:
// one that was surely refused, and a trial read. Any other without answer is
// left to its caller; a write may have taken effect.
func detours(c table.Call, o table.Outcome, trial bool) bool {
	if o.NoAnswer != "" {
		return trial && c.Write == nil
	}
	return turnedAway(o.Err())
}

func (s *Store) carry(ctx context.Context, c table.Call) (table.Outcome, error) {
	o, err := s.carrier.Forward(ctx, c)
	if err == nil {
		s.mu.Lock()
		s.relayed++
		s.mu.Unlock()
	}
	return o, err
}

// Write implements table.Doer.
func (s *Store) Write(ctx context.Context, t table.Txn) (table.Done, error) {
	o := s.do(ctx, table.Call{Write: &t})
	if err := o.Err(); err != nil {
		return table.Done{}, err
	}
	return *o.Done, nil
}

// Read implements table.Doer.
func (s *Store) Read(ctx context.Context, r table.Range) (table.Page, error) {
	o := s.do(ctx, table.Call{Read: &r})
	if err := o.Err(); err != nil {
		return table.Page{}, err
	}
	return *o.Page, nil
}

// Feed implements table.Doer.
func (s *Store) Feed(ctx context.Context, f table.Since) (table.Changes, error) {
	o := s.do(ctx, table.Call{Feed: &f})
	if err := o.Err(); err != nil {
		return table.Changes{}, err
	}
	return *o.Changes, nil
}
