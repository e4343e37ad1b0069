// Package logbuf writes logs without ever delaying who logs: lines beyond a
// bounded buffer are dropped and counted.
package logbuf

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// maxLines bounds the lines that wait to be written.
	maxLines = 2048
	// maxWriteBytes bounds the bytes of one write.
	maxWriteBytes = 16 << 10
)

// Writer is an io.Writer that never blocks.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Uint64
}

// New returns a spool in front of a writer; Run writes.
func New(out io.Writer) *Writer { return &Writer{out: out, queue: make(chan []byte, maxLines)} }

// Write implements io.Writer. It always succeeds.
func (s *Writer) Write(line []byte) (int, error) {
	select {
	case s.queue <- bytes.Clone(line):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines have been dropped.
func (s *Writer) Dropped() uint64 { return s.dropped.Load() }

// Run writes what is queued until the context ends, then what is left.
func (s *Writer) Run(ctx context.Context) error {
	told := uint64(0)
	var buf bytes.Buffer
	for {
		select {
		case <-ctx.Done():
			s.flush(&buf)
			return nil
		case line := <-s.queue:
			buf.Write(line)
			s.flush(&buf)
		}
		if n := s.dropped.Load(); n > told {
			fmt.Fprintf(&buf, "{\"part\":\"log\",\"msg\":\"lines dropped\",\"count\":%d}\n", n-told)
			told = n
		}
	}
}

func (s *Writer) flush(buf *bytes.Buffer) {
	for buf.Len() < maxWriteBytes {
		select {
		case line := <-s.queue:
			buf.Write(line)
			continue
		default:
		}
		break
	}
	// A log that cannot be written is not worth more than its lines.
	_, _ = s.out.Write(buf.Bytes())
	buf.Reset()
}
