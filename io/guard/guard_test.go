package guard_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chicoryturn/io/guard"
)

// testError is an error that is not a panic.
type testError struct{}

func (testError) Error() string { return "no panic" }

func TestCall(t *testing.T) {
	is := is.New(t)
	n, err := guard.Call(func() (int, error) { return 7, testError{} })
	is.Equal(n, 7)
	is.Equal(err, testError{})
	before := guard.Caught()
	var rows []int
	_, err = guard.Call(func() (int, error) { return rows[3], nil })
	var p *guard.PanicError
	is.True(errors.As(err, &p))
	is.True(strings.Contains(err.Error(), "index out of range"))
	is.True(strings.Contains(err.Error(), "guard_test.go"))
	is.Equal(guard.Caught(), before+1)
}

// TestHandler sends requests to a handler that panics. The server must go on, and the
// panic must be reported.
func TestHandler(t *testing.T) {
	is := is.New(t)
	reported := make(chan error, 2)
	h := guard.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/odd" {
			panic("odd path")
		}
	}), func(err error) { reported <- err })
	srv := httptest.NewServer(h)
	defer srv.Close()
	_, err := srv.Client().Get(srv.URL + "/odd")
	is.True(err != nil)
	resp, err := srv.Client().Get(srv.URL + "/")
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(len(reported), 1)
}
