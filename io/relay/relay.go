// Package relay sends table calls through another VM while direct calls from
// this VM fail.
package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"chicoryturn/io/table"
)

const (
	// relayPeriod is how long calls go through another VM after a direct call
	// has failed. Then one direct call is tried.
	relayPeriod = time.Second
	// trialTimeout bounds a direct read that is tried while other calls are
	// relayed.
	trialTimeout = 300 * time.Millisecond
	// unreachableAfter is how long calls must have failed without any answer
	// before the table counts as unreachable: twice the answer time of a slow
	// table.
	unreachableAfter = time.Second
	// lateAnswerTimeout is how long a direct call still waits for an answer
	// after its caller's deadline. A late answer shows that the table is slow,
	// not that it rejects this VM.
	lateAnswerTimeout = 3 * time.Second
)

// Forwarder forwards a call to another VM. The error is a RelayError if no VM
// could be asked.
type Forwarder interface {
	Forward(ctx context.Context, c table.Call) (table.Outcome, error)
}

// Store is a table client that calls the table directly or through another VM.
type Store struct {
	direct    table.Client
	forwarder Forwarder
	clock     func() time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// relayUntil is the time until which calls are relayed; it is zero while
	// direct calls succeed.
	relayUntil time.Time
	// directAnsweredAt is when the table last processed a direct call.
	directAnsweredAt time.Time
	// answeredAt is when the table last answered a call, direct or relayed.
	// unansweredSince is the start of the first call after that without an
	// answer; it is zero if there is none.
	answeredAt, unansweredSince time.Time
	// relayed counts the calls that other VMs have made for this one.
	relayed uint64
	outage  outage
}

// Option configures a store.
type Option func(*Store)

// WithClock sets the function that returns the current time.
func WithClock(now func() time.Time) Option { return func(s *Store) { s.clock = now } }

// New returns a store that makes direct calls until one fails.
func New(direct table.Client, f Forwarder, opts ...Option) *Store {
	s := &Store{direct: direct, forwarder: f, clock: time.Now}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Relayed returns how many calls other VMs have made for this one.
func (s *Store) Relayed() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relayed
}

// Unreachable reports whether the table answers neither direct nor relayed
// calls.
func (s *Store) Unreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.unansweredSince.IsZero() && s.clock().Sub(s.unansweredSince) > unreachableAfter
}

// updateReachability records whether the table answered a call that began at the
// given time.
func (s *Store) updateReachability(began time.Time, o table.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage.observe(s.clock(), o)
	switch {
	case o.Answered():
		s.answeredAt, s.unansweredSince = s.clock(), time.Time{}
	case s.unansweredSince.IsZero() && began.After(s.answeredAt):
		s.unansweredSince = began
	}
}

// route reports whether the next call should be direct, and whether it is the
// trial call that tests the direct route after relayPeriod.
func (s *Store) route() (isDirect, isTrial bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	switch {
	case s.relayUntil.IsZero():
		return true, false
	case now.Before(s.relayUntil):
		return false, false
	}
	// Other calls are relayed until the trial has ended.
	s.relayUntil = now.Add(relayPeriod)
	return true, true
}

// updateRoute records the result of a direct call that began at the given time. It
// ignores a failure if the table has processed another direct call since then,
// because the table is slow or refuses some calls of every VM.
func (s *Store) updateRoute(began time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !refusedOrUnanswered(err):
		s.relayUntil, s.directAnsweredAt = time.Time{}, s.clock()
	case !s.directAnsweredAt.After(began):
		s.relayUntil = s.clock().Add(relayPeriod)
	}
}

// refusedOrUnanswered reports whether err means that the table refused a call
// or did not answer it.
func refusedOrUnanswered(err error) bool {
	var refused *table.RefusedError
	var unanswered *table.UnansweredError
	return errors.As(err, &refused) || errors.As(err, &unanswered)
}

// Serve makes a call for another VM, directly or through a third one.
func (s *Store) Serve(ctx context.Context, c table.Call) table.Outcome { return s.execute(ctx, c) }

// ServeDirect makes a call for another VM directly. It does not send the call
// while this VM's own calls are relayed.
func (s *Store) ServeDirect(ctx context.Context, c table.Call) table.Outcome {
	how, last := s.treat()
	if how == suppressed {
		return last
	}
	isDirect, isTrial := s.route()
	if !isDirect && how != probing {
		return table.NotSent()
	}
	began := s.clock()
	o := s.callDirect(ctx, c, isTrial)
	s.updateReachability(began, o)
	return o
}

// execute makes a call on the current route and records whether the table
// answered. While the table refuses all calls, it makes only some.
func (s *Store) execute(ctx context.Context, c table.Call) table.Outcome {
	how, last := s.treat()
	if how == suppressed {
		return last
	}
	began := s.clock()
	o := s.sendRouted(ctx, c, how == probing)
	s.updateReachability(began, o)
	return o
}

// sendRouted makes a call directly or through another VM, or directly first if it is
// probing.
func (s *Store) sendRouted(ctx context.Context, c table.Call, isProbing bool) table.Outcome {
	isDirect, isTrial := s.route()
	if !isDirect && !isProbing {
		if o, err := s.callRelayed(ctx, c); err == nil {
			return o
		}
		// No other VM could be asked.
		return s.callDirect(ctx, c, false)
	}
	o := s.callDirect(ctx, c, isTrial)
	if relayAtOnce(c, o, isTrial) {
		if relayed, err := s.callRelayed(ctx, c); err == nil {
			return relayed
		}
	}
	return o
}

// callDirect makes a direct call; a trial read has a short time-out. After the
// caller's deadline the call continues for a while, so that a late answer ends
// the relaying.
func (s *Store) callDirect(ctx context.Context, c table.Call, isTrial bool) table.Outcome {
	if isTrial && c.Write == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, trialTimeout)
		defer cancel()
	}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateAnswerTimeout)
	began := s.clock()
	out := make(chan table.Outcome, 1)
	go func() {
		defer cancel()
		o := table.Do(callCtx, s.direct, c)
		afterDeadline := ctx.Err() != nil
		out <- o
		if afterDeadline && !refusedOrUnanswered(o.Err()) {
			s.updateRoute(began, nil)
			s.updateReachability(began, o)
			table.ReportLate(ctx, s.clock().Sub(began), o)
		}
	}()
	var o table.Outcome
	select {
	case o = <-out:
	case <-ctx.Done():
		o = table.Outcome{NoAnswer: ctx.Err().Error()}
		if errors.Is(ctx.Err(), context.Canceled) {
			// The caller no longer wants the result.
			cancel()
		}
	}
	s.updateRoute(began, o.Err())
	return o
}

// relayAtOnce reports whether a failed direct call is relayed at once: a
// refused call or a trial read. The caller decides about any other call without
// an answer, since a write may have taken effect.
func relayAtOnce(c table.Call, o table.Outcome, isTrial bool) bool {
	if o.NoAnswer != "" {
		return isTrial && c.Write == nil
	}
	return refusedOrUnanswered(o.Err())
}

// callRelayed makes a call through another VM.
func (s *Store) callRelayed(ctx context.Context, c table.Call) (table.Outcome, error) {
	o, err := s.forwarder.Forward(ctx, c)
	if err == nil {
		s.mu.Lock()
		s.relayed++
		s.mu.Unlock()
	}
	return o, err
}

// Write implements table.Client.
func (s *Store) Write(ctx context.Context, t table.Txn) (table.WriteResult, error) {
	o := s.execute(ctx, table.Call{Write: &t})
	if err := o.Err(); err != nil {
		return table.WriteResult{}, err
	}
	return *o.Done, nil
}

// Read implements table.Client.
func (s *Store) Read(ctx context.Context, r table.Range) (table.Page, error) {
	o := s.execute(ctx, table.Call{Read: &r})
	if err := o.Err(); err != nil {
		return table.Page{}, err
	}
	return *o.Page, nil
}

// Feed implements table.Client.
func (s *Store) Feed(ctx context.Context, f table.FeedRequest) (table.Changes, error) {
	o := s.execute(ctx, table.Call{Feed: &f})
	if err := o.Err(); err != nil {
		return table.Changes{}, err
	}
	return *o.Changes, nil
}
