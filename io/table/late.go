package table

import (
	"context"
	"time"
)

type lateKey struct{}

// late is told of an answer that came when its caller had given up.
type late func(took time.Duration, o Outcome)

// WithLateHook has a function told of a call's answer, and how long it took, if it
// comes after the context's deadline. Functions of outer contexts are told too.
func WithLateHook(ctx context.Context, f func(took time.Duration, o Outcome)) context.Context {
	outer := ctx
	return context.WithValue(ctx, lateKey{}, late(func(took time.Duration, o Outcome) {
		f(took, o)
		ReportLate(outer, took, o)
	}))
}

// ReportLate tells those who have asked of a late answer.
func ReportLate(ctx context.Context, took time.Duration, o Outcome) {
	if f, ok := ctx.Value(lateKey{}).(late); ok {
		f(took, o)
	}
}
