package conns_test

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"chicoryturn/io/conns"
)

const waitTimeout = 10 * time.Second

// pipes is a net.Listener whose connections need no network.
type pipes struct {
	queue  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipes() *pipes { return &pipes{queue: make(chan net.Conn), closed: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.queue:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { p.once.Do(func() { close(p.closed) }); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns a client's end of a new connection.
func (p *pipes) dial(t *testing.T) net.Conn {
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	select {
	case p.queue <- server:
	case <-time.After(waitTimeout):
		t.Fatal("connection not accepted")
	}
	return client
}

// start serves h on a listener of the given bounds.
func start(t *testing.T, b conns.Bounds, h http.HandlerFunc, opts ...conns.Option) *pipes {
	p := newPipes()
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := conns.New(p, "test", b, logrus.NewEntry(log), opts...)
	srv := l.Server(h)
	done := make(chan struct{})
	go func() { defer close(done); _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close(); <-done })
	return p
}

func ok(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
}

// closedBy reports whether the server closes a connection within a time.
func closedBy(c net.Conn, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := io.Copy(io.Discard, c)
	var timeout net.Error
	return err == nil || !errors.As(err, &timeout) || !timeout.Timeout()
}

// TestOrderOfClosing guards against closing a connection while others have waited longer: a
// listener that is full closes idle connections first, then those without complete headers,
// then those without a complete body; and none whose request is in process.
func TestOrderOfClosing(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	entered := make(chan struct{})
	p := start(t, conns.Bounds{Conns: 4}, func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		if r.Method == http.MethodGet {
			<-release
		}
		ok(w, r)
	})
	send := func(text string) net.Conn {
		c := p.dial(t)
		_, err := io.WriteString(c, text)
		is.NoErr(err)
		return c
	}
	const complete = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	headers := send("GET / HTTP/1.1\r\nHost:")
	incomplete := send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc")
	<-entered
	idle := p.dial(t)
	process := send(complete)
	<-entered
	for _, next := range []net.Conn{idle, headers, incomplete} {
		_ = send(complete)
		<-entered
		is.True(closedBy(next, waitTimeout))
	}
	is.True(!closedBy(process, 100*time.Millisecond))
	close(release)
	is.NoErr(process.SetReadDeadline(time.Now().Add(waitTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(process), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}

// TestHeaderLimits guards against headers that fill the memory: those of one connection end with
// status 431, and those of many close the connection that has waited longest.
func TestHeaderLimits(t *testing.T) {
	is := is.New(t)
	limits := conns.WithLimits(conns.Limits{HeaderBytes: 16 << 10, HeaderTimeout: waitTimeout, IdleTimeout: waitTimeout})
	p := start(t, conns.Bounds{Conns: 100, Headers: 1 << 20}, ok, limits)
	begin := "GET / HTTP/1.1\r\nHost: h\r\nX: "
	long := p.dial(t)
	go func() { _, _ = io.WriteString(long, begin+strings.Repeat("x", 64<<10)) }()
	resp, err := http.ReadResponse(bufio.NewReader(long), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	var first net.Conn
	for i := range 8 {
		c := p.dial(t)
		_, err := io.WriteString(c, begin+strings.Repeat("x", 12<<10))
		is.NoErr(err)
		if i == 0 {
			first = c
		}
	}
	is.True(closedBy(first, waitTimeout))
	within := p.dial(t)
	_, err = io.WriteString(within, begin+strings.Repeat("x", 15<<10)+"\r\n\r\n")
	is.NoErr(err)
	resp, err = http.ReadResponse(bufio.NewReader(within), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}

// TestFullListener guards against untrue outcomes under random load beyond the bound: a request
// that a client sees refused by a closed connection has not run, and one that has run is
// answered. A client that sends its request at once is closed before its headers are complete or not at all.
func TestFullListener(t *testing.T) {
	const clients, requests = 40, 25
	var ran, got atomic.Int64
	p := start(t, conns.Bounds{Conns: 5, Headers: 64 << 10}, func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		ok(w, r)
	})
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			for range requests {
				c := p.dial(t)
				_ = c.SetDeadline(time.Now().Add(waitTimeout))
				for range 1 + rand.IntN(3) {
					if rand.IntN(4) == 0 {
						_, _ = io.WriteString(c, "GET / HT")
						break
					}
					if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
						break
					}
					if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
						break
					}
					got.Add(1)
				}
				_ = c.Close()
			}
		})
	}
	wg.Wait()
	is := is.New(t)
	is.True(got.Load() > 0)
	is.Equal(got.Load(), ran.Load())
}
