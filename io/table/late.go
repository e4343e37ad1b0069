package table

import (
	"context"
	"time"
)

// lateHookKey is the context key of the lateHook.
type lateHookKey struct{}

// lateHook is called with an answer that arrived after its caller's deadline.
type lateHook func(took time.Duration, o Outcome)

// WithLateHook returns a context whose calls report late answers: f is called
// with the outcome of each answer that arrives after the context's deadline,
// and with the duration of the call. The hooks of ctx are called, too.
func WithLateHook(ctx context.Context, f func(took time.Duration, o Outcome)) context.Context {
	outer := ctx
	return context.WithValue(ctx, lateHookKey{}, lateHook(func(took time.Duration, o Outcome) {
		f(took, o)
		ReportLate(outer, took, o)
	}))
}

// ReportLate calls the context's hooks with a late answer.
func ReportLate(ctx context.Context, took time.Duration, o Outcome) {
	if f, ok := ctx.Value(lateHookKey{}).(lateHook); ok {
		f(took, o)
	}
}
