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

// blockingOutput is a log output that blocks until unblock is closed.
type blockingOutput struct {
	mu      sync.Mutex
	text    strings.Builder
	unblock chan struct{}
}

func (p *blockingOutput) Write(b []byte) (int, error) {
	if p.unblock != nil {
		<-p.unblock
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(b)
}

// TestBlockedOutput logs many more lines than the buffer holds while the output blocks.
// Logging must not be delayed, and once the output accepts writes again, the log must
// say that lines were dropped.
func TestBlockedOutput(t *testing.T) {
	is := is.New(t)
	p := &blockingOutput{unblock: make(chan struct{})}
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
	close(p.unblock)
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
