package pool_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chicoryturn/io/pool"
)

const (
	limit       = 3
	idleTimeout = 30 * time.Second
	dialTime    = 40 * time.Millisecond
	longWait    = time.Hour
)

var addr = netip.MustParseAddrPort("10.0.0.1:80")

// unreachableError reports a connection that could not be opened.
type unreachableError struct{}

func (*unreachableError) Error() string { return "unreachable" }

// countedConn counts as open until it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
	used atomic.Bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// dialer opens connections to nothing, each within dialTime.
type dialer struct {
	dials, open, most atomic.Int64
	fails             atomic.Bool
}

// DialContext implements pool.Dialer.
func (d *dialer) DialContext(context.Context, string, string) (net.Conn, error) {
	d.dials.Add(1)
	d.most.Store(max(d.most.Load(), d.open.Add(1)))
	time.Sleep(dialTime)
	if d.fails.Load() {
		d.open.Add(-1)
		return nil, &unreachableError{}
	}
	here, _ := net.Pipe()
	return &countedConn{Conn: here, open: &d.open}, nil
}

func newPool() (*dialer, *pool.Pool) {
	d := &dialer{}
	return d, pool.New(d, limit, pool.WithIdleTimeout(idleTimeout))
}

// TestLimit guards against connections that two calls use at once, more of them than the limit, and
// calls that wait for ever: calls of random lengths end well, badly or while they wait.
func TestLimit(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			is := is.NewRelaxed(t)
			d, p := newPool()
			var all sync.WaitGroup
			var served atomic.Int64
			for i := range uint64(30) {
				rnd := rand.New(rand.NewPCG(seed, i))
				some := func() time.Duration { return time.Duration(rnd.Int64N(int64(200 * time.Millisecond))) }
				all.Go(func() {
					for range 30 {
						time.Sleep(some())
						c, err := p.Get(t.Context(), addr, some())
						d.fails.Store(rnd.IntN(4) == 0)
						if err != nil {
							continue
						}
						conn := c.Conn.(*countedConn)
						is.True(!conn.used.Swap(true)) // no other call uses it
						time.Sleep(some() / 20)
						served.Add(1)
						conn.used.Store(false)
						if rnd.IntN(3) == 0 {
							p.Discard(c)
						} else {
							p.Put(c)
						}
					}
				})
			}
			all.Wait()
			is.True(d.most.Load() <= limit)
			is.True(served.Load() > 300)
			d.fails.Store(false)
			c, err := p.Get(t.Context(), addr, longWait)
			is.NoErr(err)
			p.Put(c)
			time.Sleep(2 * idleTimeout)
			is.Equal(d.open.Load(), int64(0))
			is.Equal(p.Counts().Open.Load(), uint64(0))
			is.True(p.Counts().Opened.Load() > limit)
		})
	}
}

// TestReuse guards against connections that are opened although one is unused, that stay open
// although the others are enough, and against calls that end with an opening that another can use.
func TestReuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, p := newPool()
		_, err := p.Get(t.Context(), addr, dialTime/2)
		var waited *pool.WaitError
		is.True(errors.As(err, &waited))
		time.Sleep(dialTime)
		first, err := p.Get(t.Context(), addr, 0)
		is.NoErr(err)
		is.Equal(d.dials.Load(), int64(1)) // the first opening went on

		// The connection that becomes free is there before the second one.
		go func() {
			time.Sleep(dialTime / 4)
			p.Put(first)
		}()
		began := time.Now()
		again, err := p.Get(t.Context(), addr, longWait)
		is.NoErr(err)
		is.Equal(again, first)
		is.Equal(time.Since(began), dialTime/4)
		p.Put(again)
		time.Sleep(dialTime)
		is.Equal(d.open.Load(), int64(2))
		for range 10 {
			c, err := p.Get(t.Context(), addr, 0)
			is.NoErr(err)
			p.Put(c)
			time.Sleep(idleTimeout / 5)
		}
		is.Equal(d.open.Load(), int64(1)) // the other one was not needed
		is.Equal(d.dials.Load(), int64(2))
		time.Sleep(idleTimeout + time.Second)
		is.Equal(d.open.Load(), int64(0))
	})
}

// TestDialFails guards against calls that wait on although no connection can be opened, and against
// failed openings that count as connections.
func TestDialFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		d, p := newPool()
		d.fails.Store(true)
		var all sync.WaitGroup
		for range 4 * limit {
			all.Go(func() {
				_, err := p.Get(t.Context(), addr, longWait)
				var dial *pool.DialError
				is.True(errors.As(err, &dial))
			})
		}
		all.Wait()
		is.Equal(d.dials.Load(), int64(4*limit))
		ctx, cancel := context.WithTimeout(t.Context(), dialTime/2)
		defer cancel()
		_, err := p.Get(ctx, addr, longWait)
		is.True(errors.Is(err, context.DeadlineExceeded))
		time.Sleep(dialTime)
		d.fails.Store(false)
		c, err := p.Get(t.Context(), addr, longWait)
		is.NoErr(err)
		p.Put(c)
		time.Sleep(2 * idleTimeout) // the sweep ends with the last connection
	})
}

// TestGivenUpWhileForgotten guards against connections that are never closed: a call gives up at the
// moment at which the opening of its connection fails, and others open one to the same server by then.
func TestGivenUpWhileForgotten(t *testing.T) {
	for range 300 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d, p := newPool()
			d.fails.Store(true)
			for range limit {
				go func() { _, _ = p.Get(t.Context(), addr, dialTime) }()
			}
			time.Sleep(dialTime)
			for range limit {
				go func() {
					if c, err := p.Get(t.Context(), addr, longWait); err == nil {
						p.Put(c)
					}
				}()
			}
			synctest.Wait()
			d.fails.Store(false)
			time.Sleep(3 * idleTimeout)
			is.Equal(d.open.Load(), int64(0))
		})
	}
}
