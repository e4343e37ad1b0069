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

// LinkFaults are the faults that a test can inject into a proxied link. The zero
// value is a link without faults.
type LinkFaults struct {
	// Delay is the duration by which data is delayed in each direction; empty
	// means none.
	Delay string `json:"delay"`
	// Cut holds back data in both directions; connections stay open.
	Cut bool `json:"cut"`
	// CutUp holds back data from the client to the server, CutDown data from the
	// server to the client.
	CutUp   bool `json:"up"`
	CutDown bool `json:"down"`
	// Truncate closes a connection after this number of bytes from the server;
	// 0 means never.
	Truncate int64 `json:"truncate"`
	// HalfClose closes the sending side of the connection to the server after the
	// first chunk from the client.
	HalfClose bool `json:"half"`
}

// linkState is the current faults of a link with the delay parsed.
type linkState struct {
	LinkFaults
	delay time.Duration
}

// Proxy forwards TCP connections to one address and injects faults into them.
type Proxy struct {
	// addr is the address of the server.
	addr  netip.AddrPort
	state atomic.Pointer[linkState]
	// changed holds a channel that is closed and replaced whenever state changes.
	changed atomic.Pointer[chan struct{}]
	// limits holds the bandwidths to share by data to the server and from it.
	limits atomic.Pointer[linkLimits]
	// forwarded counts the bytes of both directions.
	forwarded atomic.Int64
}

// proxyBufferSize is the largest number of bytes that are forwarded at once.
const proxyBufferSize = 32 << 10

// NewProxy returns a proxy for the server at addr, without faults.
func NewProxy(addr netip.AddrPort) *Proxy {
	p := &Proxy{addr: addr}
	p.state.Store(&linkState{})
	p.limits.Store(&linkLimits{})
	c := make(chan struct{})
	p.changed.Store(&c)
	return p
}

// SetFaults replaces the link's faults, also for open connections.
func (p *Proxy) SetFaults(f LinkFaults) error {
	s := &linkState{LinkFaults: f}
	if f.Delay != "" {
		d, err := time.ParseDuration(f.Delay)
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

// ForwardedBytes returns the number of bytes forwarded in both directions.
func (p *Proxy) ForwardedBytes() int64 { return p.forwarded.Load() }

// Handler returns the HTTP interface that sets the faults and returns the number
// of forwarded bytes.
func (p *Proxy) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /stand/link", func(w http.ResponseWriter, r *http.Request) {
		var f LinkFaults
		if json.NewDecoder(r.Body).Decode(&f) != nil || p.SetFaults(f) != nil {
			http.Error(w, "malformed link faults", http.StatusBadRequest)
		}
	})
	mux.HandleFunc("GET /stand/bytes", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(p.ForwardedBytes())
	})
	return mux
}

// Serve forwards the connections that a listener accepts until the context ends.
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
			group.Go(func() error { p.forward(ctx, c); return nil })
		}
	})
	return group.Wait()
}

// forward connects to the server and copies data in both directions. If one direction
// fails while the other still runs, it closes both connections to end the other.
func (p *Proxy) forward(ctx context.Context, in net.Conn) {
	defer in.Close()
	if !p.waitUnblocked(ctx, func(s *linkState) bool { return s.Cut }) {
		return
	}
	d := net.Dialer{Timeout: time.Second}
	out, err := d.DialContext(ctx, "tcp", p.addr.String())
	if err != nil {
		return
	}
	defer out.Close()
	stop := context.AfterFunc(ctx, func() { _ = in.Close(); _ = out.Close() })
	defer stop()
	results := make(chan bool, 2)
	go func() { results <- p.copyDirection(ctx, out, in, true) }()
	go func() { results <- p.copyDirection(ctx, in, out, false) }()
	if atEOF := <-results; !atEOF {
		_ = in.Close()
		_ = out.Close()
	}
	<-results
}

// waitUnblocked waits until blocked is false for the link's state. It returns
// false if the context ends first.
func (p *Proxy) waitUnblocked(ctx context.Context, blocked func(*linkState) bool) bool {
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

// copyDirection copies data from one connection to the other until EOF; isUp is set
// if the data goes to the server. It returns true at EOF, when the other direction may
// continue, and false if the connections must be closed.
func (p *Proxy) copyDirection(ctx context.Context, to, from net.Conn, isUp bool) bool {
	buf := make([]byte, proxyBufferSize)
	copied := int64(0)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			sleep(ctx, p.state.Load().delay)
			for _, b := range p.limits.Load().of(isUp) {
				b.wait(ctx, n)
			}
			if !p.waitUnblocked(ctx, func(s *linkState) bool { return s.Cut || (isUp && s.CutUp) || (!isUp && s.CutDown) }) {
				return false
			}
			s := p.state.Load()
			if !isUp && s.Truncate > 0 && copied+int64(n) > s.Truncate {
				_, _ = to.Write(buf[:max(s.Truncate-copied, 0)])
				return false
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				return false
			}
			copied += int64(n)
			p.forwarded.Add(int64(n))
			if c, ok := to.(*net.TCPConn); ok && isUp && s.HalfClose {
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
