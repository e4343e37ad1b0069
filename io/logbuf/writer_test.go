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

// pipe is a log output that blocks until stop is closed.
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

// TestBlockedReader logs many more lines than the buffer holds while the output blocks.
// Logging must not be delayed, and once the output accepts writes again, the log must
// say that lines were dropped.
func TestBlockedReader(t *testing.T) {
	is := is.New(t)
	p := &pipe{stop: make(chan struct{})}
	w := logbuf.New(p)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	began := time.Now()
	for i := range 20000 {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		is.NoErr(err)
	}
	is.True(time.Since(began) < time.Second)
	is.True(w.Dropped() > 10000)
	close(p.stop)
	for {
		p.mu.Lock()
		text := p.text.String()
		p.mu.Unlock()
		if strings.Contains(text, "lines dropped") {
			break
		}
		_, _ = w.Write([]byte("another\n"))
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.NoErr(<-done)
}
