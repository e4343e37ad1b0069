// Package logbuf buffers log lines so that logging never blocks. When the buffer is
// full, lines are dropped and counted.
package logbuf

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// maxLines is the capacity of the buffer.
	maxLines = 2048
	// maxWriteBytes is the size of a write, in bytes, from which it takes no more lines.
	maxWriteBytes = 16 << 10
)

// Writer is an io.Writer that buffers lines and never blocks.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Uint64
}

// New returns a Writer whose Run method writes to out.
func New(out io.Writer) *Writer { return &Writer{out: out, queue: make(chan []byte, maxLines)} }

// Write implements io.Writer. It never returns an error; if the buffer is full, it
// drops the line.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes the buffered lines until the context ends, and then once more up to
// maxWriteBytes of the remaining ones. After lines were dropped it adds a line with
// their number.
func (w *Writer) Run(ctx context.Context) error {
	reported := uint64(0)
	var buf bytes.Buffer
	for {
		select {
		case <-ctx.Done():
			w.flush(&buf)
			return nil
		case line := <-w.queue:
			buf.Write(line)
			w.flush(&buf)
		}
		if n := w.dropped.Load(); n > reported {
			fmt.Fprintf(&buf, "{\"part\":\"log\",\"msg\":\"lines dropped\",\"count\":%d}\n", n-reported)
			reported = n
		}
	}
}

// flush adds buffered lines to buf and writes it to the output.
func (w *Writer) flush(buf *bytes.Buffer) {
	for buf.Len() < maxWriteBytes {
		select {
		case line := <-w.queue:
			buf.Write(line)
			continue
		default:
		}
		break
	}
	// An error of the log output itself cannot be logged.
	_, _ = w.out.Write(buf.Bytes())
	buf.Reset()
}
