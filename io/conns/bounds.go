// Package conns bounds the connections that clients open to the listeners of a process,
// and the bytes of their requests that are not complete. Clients are not trusted.
package conns

import (
	"math"
	"syscall"
	"time"
)

const (
	// reservedFiles is the part of a process's descriptors that is kept for files.
	reservedFiles = 200
	// defaultFiles applies if the system does not tell its limit; it is the usual one.
	defaultFiles = 1024
	// connBytes is what a connection takes of the process's memory before its request is
	// complete: its buffers, the stacks of its goroutines and what the kernel has received.
	connBytes = 48 << 10
	// headerWeight is the memory that a byte of headers takes: a line of six bytes becomes an
	// entry of a map, which is copied as it grows.
	headerWeight = 32
	// bodyWeight is the memory that a byte of a body takes, as the buffer that grows with it
	// is copied.
	bodyWeight = 3
	// minConns is the least number of connections of a listener.
	minConns = 16
	// headerSlack is what a connection may send beyond the largest headers: the request
	// line, and the begin of the body that is read with the headers.
	headerSlack = 8 << 10
)

// Resources are the limits in the settings of a process.
type Resources struct {
	// Memory is in bytes; 0 means that it is not limited.
	Memory int64
	// Files is the number of descriptors; 0 means as many as the system lets the process open.
	Files int
}

// fileLimit returns how many descriptors the system lets the process open.
func fileLimit() int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return defaultFiles
	}
	return int(min(r.Cur, math.MaxInt32))
}

// Share is the part of the resources that one listener may use, for connections and for
// headers each.
type Share struct{ Files, Memory float64 }

// The shares leave most descriptors to the connections that the process opens itself: about
// five to each worker of a fleet of 350 on the smallest VM. A VM accepts a stream of
// each other VM.
var (
	ClientShare   = Share{Files: 3.0 / 16, Memory: 1.0 / 8}
	PeerShare     = Share{Files: 1.0 / 8, Memory: 1.0 / 8}
	OperatorShare = Share{Files: 1.0 / 32, Memory: 1.0 / 32}
	ProbeShare    = OperatorShare
)

// Bounds limit what the connections of a listener hold together.
type Bounds struct {
	// Conns is at least 1.
	Conns int
	// Headers is the memory for the headers of requests that have not ended, Bodies that for
	// their bodies, in bytes; 0 means that it is not limited.
	Headers, Bodies int64
}

// Bounds returns the bounds of a listener with a share of the resources.
func (r Resources) Bounds(s Share) Bounds {
	files := fileLimit()
	if r.Files > 0 {
		files = min(files, r.Files)
	}
	b := Bounds{Conns: int(float64(files-reservedFiles) * s.Files), Headers: int64(float64(r.Memory) * s.Memory)}
	if r.Memory > 0 {
		b.Conns = min(b.Conns, int(b.Headers/connBytes))
	}
	b.Conns = max(b.Conns, minConns)
	return b
}

// Limits are what a client may do on one connection.
type Limits struct {
	// HeaderBytes is the size of the headers of one request.
	HeaderBytes int64
	// HeaderTimeout is the time within which the headers arrive, IdleTimeout the time that
	// a connection may be idle.
	HeaderTimeout, IdleTimeout time.Duration
}
