package fakes

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// LinkFaults is how a proxied link behaves.
type LinkFaults struct {
	// Delay is added in each direction.
	Delay string `json:"delay"`
	// Cut drops what is sent in both directions; connections stay open.
	Cut bool `json:"cut"`
	// Up and Down drop what is sent in one direction.
	Up   bool `json:"up"`
	Down bool `json:"down"`
	// Truncate closes a connection after so many bytes of the answer.
	Truncate int64 `json:"truncate"`
	// Half closes the sending side after the first chunk of a request.
	Half bool `json:"half"`
}

type linkState struct {
	LinkFaults
	delay time.Duration
}

// Proxy passes TCP connections on to one address and can be told to fail.
type Proxy struct {
	to    netip.AddrPort
	state atomic.Pointer[linkState]
	// changed is closed and replaced whenever the link's state changes.
	changed atomic.Pointer[chan struct{}]
	bytes   atomic.Int64
}

const proxyChunk = 32 << 10

// NewProxy returns a proxy of a faultless link.
func NewProxy(to netip.AddrPort) *Proxy {
	p := &Proxy{to: to}
	p.state.Store(&linkState{})
	c := make(chan struct{})
	p.changed.Store(&c)
	return p
}

// Set changes the link's behaviour, also for open connections.
func (p *Proxy) Set(l LinkFaults) error {
	s := &linkState{LinkFaults: l}
	if l.Delay != "" {
		d, err := time.ParseDuration(l.Delay)
		if err != nil {
			return err
		}
		s.delay = d
	}
	p.state.Store(s)
	c := make(chan struct{})
	close(*p.changed.Swap(&c))
	return nil
}

// Bytes returns how much has been passed on in both directions.
func (p *Proxy) Bytes() int64 { return p.bytes.Load() }

// Handler returns the page that sets the link's behaviour.
func (p *Proxy) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /stand/link", func(w http.ResponseWriter, r *http.Request) {
		var l LinkFaults
		if json.NewDecoder(r.Body).Decode(&l) != nil || p.Set(l) != nil {
			http.Error(w, "malformed link", http.StatusBadRequest)
		}
	})
	mux.HandleFunc("GET /stand/bytes", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(p.Bytes())
	})
	return mux
}

// Serve passes connections on until the context ends.
func (p *Proxy) Serve(ctx context.Context, l net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return l.Close()
	})
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				return err
			}
			group.Go(func() error { p.pass(ctx, c); return nil })
		}
	})
	return group.Wait()
}

func (p *Proxy) pass(ctx context.Context, in net.Conn) {
	defer in.Close()
	if !p.open(ctx, func(s *linkState) bool { return s.Cut }) {
		return
	}
	d := net.Dialer{Timeout: time.Second}
	out, err := d.DialContext(ctx, "tcp", p.to.String())
	if err != nil {
		return
	}
	defer out.Close()
	stop := context.AfterFunc(ctx, func() { _ = in.Close(); _ = out.Close() })
	defer stop()
	both := make(chan bool, 2)
	go func() { both <- p.copy(ctx, out, in, true) }()
	go func() { both <- p.copy(ctx, in, out, false) }()
	if ended := <-both; !ended {
		_ = in.Close()
		_ = out.Close()
	}
	<-both
}

// open waits while the link is blocked.
func (p *Proxy) open(ctx context.Context, blocked func(*linkState) bool) bool {
	for {
		changed := *p.changed.Load()
		if !blocked(p.state.Load()) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// copy passes one direction on and reports whether it has ended in order: the
// other direction may then go on.
func (p *Proxy) copy(ctx context.Context, to, from net.Conn, up bool) bool {
	buf := make([]byte, proxyChunk)
	passed := int64(0)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			pause(ctx, p.state.Load().delay)
			if !p.open(ctx, func(s *linkState) bool { return s.Cut || (up && s.Up) || (!up && s.Down) }) {
				return false
			}
			s := p.state.Load()
			if !up && s.Truncate > 0 && passed+int64(n) > s.Truncate {
				_, _ = to.Write(buf[:max(s.Truncate-passed, 0)])
				return false
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				return false
			}
			passed += int64(n)
			p.bytes.Add(int64(n))
			if c, ok := to.(*net.TCPConn); ok && up && s.Half {
				_ = c.CloseWrite()
			}
		}
		if err != nil {
			c, ok := to.(*net.TCPConn)
			if !errors.Is(err, io.EOF) || !ok {
				return false
			}
			return c.CloseWrite() == nil
		}
	}
}
