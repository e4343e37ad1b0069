package fakes_test

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/io/fakes"
)

// TestBandwidth sends data through two links that share a bandwidth.
func TestBandwidth(t *testing.T) {
	const rate, size = 1 << 20, 128 << 10
	is := is.New(t)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer server.Close()
	received := make(chan error, 2)
	go func() {
		for range 2 {
			c, err := server.Accept()
			if err != nil {
				received <- err
				return
			}
			go func() {
				defer c.Close()
				_, err := io.Copy(io.Discard, c)
				received <- err
			}()
		}
	}()
	up, down := fakes.NewBandwidth(rate), fakes.NewBandwidth(rate)
	startedAt := time.Now()
	for range 2 {
		p := fakes.NewProxy(netip.MustParseAddrPort(server.Addr().String()))
		p.Limit(up, down)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go func() { _ = p.Serve(t.Context(), l) }()
		go func() {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				received <- err
				return
			}
			defer c.Close()
			if _, err := c.Write(make([]byte, size)); err != nil {
				received <- err
			}
		}()
	}
	is.NoErr(<-received)
	is.NoErr(<-received)
	is.True(time.Since(startedAt) >= 2*size*time.Second/rate)
}
