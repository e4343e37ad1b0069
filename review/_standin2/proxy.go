package main

import (
	"net"
	"sync"
	"time"
)

// proxy passes connections on, each byte a delay later.
type proxy struct {
	l       net.Listener
	backend string
	delay   time.Duration
}

func newProxy(listen, backend string, delay time.Duration) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{l, backend, delay}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) serve(c net.Conn) {
	b, err := net.Dial("tcp", p.backend)
	if err != nil {
		_ = c.Close()
		return
	}
	var g sync.WaitGroup
	g.Go(func() { p.pass(b, c) })
	g.Go(func() { p.pass(c, b) })
	g.Wait()
}

// chunk is what was read at a time.
type chunk struct {
	data []byte
	at   time.Time
}

// pass passes bytes on until one side closes.
func (p *proxy) pass(to, from net.Conn) {
	chunks := make(chan chunk, 1024)
	go func() {
		defer close(chunks)
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			if n > 0 {
				chunks <- chunk{append([]byte(nil), buf[:n]...), time.Now()}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.at.Add(p.delay)))
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	for range chunks {
	}
}
