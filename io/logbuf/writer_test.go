package logbuf_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chicoryturn/io/logbuf"
)

// pipe is a reader of logs that can stop reading.
type pipe struct {
	mu   sync.Mutex
	text strings.Builder
	stop chan struct{}
}

func (p *pipe) Write(b []byte) (int, error) {
	if p.stop != nil {
		<-p.stop
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(b)
}

// TestBlockedReader logs far more than a reader takes that has stopped reading:
// nobody who logs is delayed, and what was dropped is told once it reads again.
func TestBlockedReader(t *testing.T) {
	is := is.New(t)
	p := &pipe{stop: make(chan struct{})}
	s := logbuf.New(p)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	began := time.Now()
	for i := range 20000 {
		_, err := fmt.Fprintf(s, "line %d\n", i)
		is.NoErr(err)
	}
	is.True(time.Since(began) < time.Second)
	is.True(s.Dropped() > 10000)
	close(p.stop)
	for {
		p.mu.Lock()
		text := p.text.String()
		p.mu.Unlock()
		if strings.Contains(text, "lines dropped") {
			break
		}
		_, _ = s.Write([]byte("another\n"))
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.NoErr(<-done)
}
