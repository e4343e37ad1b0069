// Package guard turns panics into errors, so that one message does not end a process.
package guard

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"sync/atomic"
)

// maxStack bounds the stack in the text of an error, in bytes.
const maxStack = 3000

// caught counts the panics since the start of the process.
var caught atomic.Uint64

// Caught returns the number of panics that this package has caught.
func Caught() uint64 { return caught.Load() }

// PanicError reports a panic.
type PanicError struct {
	// Value is what the code panicked with.
	Value any
	Stack []byte
}

// Error implements error. Its text includes the stack.
func (e *PanicError) Error() string {
	return fmt.Sprintf("panic: %v\n%s", e.Value, e.Stack[:min(len(e.Stack), maxStack)])
}

// Call returns what f returns, or a PanicError if f panics.
func Call[R any](f func() (R, error)) (r R, err error) {
	defer func() {
		if v := recover(); v != nil {
			caught.Add(1)
			err = &PanicError{v, debug.Stack()}
		}
	}()
	return f()
}

// Do returns what f returns, or a PanicError if f panics.
func Do(f func() error) error {
	_, err := Call(func() (struct{}, error) { return struct{}{}, f() })
	return err
}

// Handler returns a handler that closes the client's connection if h panics, after it
// has passed the panic to report. The client cannot know what has happened to its
// request, as after any lost answer.
func Handler(h http.Handler, report func(error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if v != http.ErrAbortHandler {
				caught.Add(1)
				report(&PanicError{v, debug.Stack()})
			}
			panic(http.ErrAbortHandler)
		}()
		h.ServeHTTP(w, r)
	})
}
