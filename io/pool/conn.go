package pool

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a connection to a server. It ends with the server's process, so whatever is written to
// it reaches no later process at the same address. Only the call that has it uses its fields.
type Conn struct {
	net.Conn
	// Born is when the process at the other end says it started; zero until it has.
	Born time.Time

	server    *server
	idleSince time.Time
	// raw is nil if the connection has no descriptor, peek else checks that.
	raw  syscall.RawConn
	peek func(fd uintptr)
	// isQuiet is set by peek if there is nothing to read, not even the end.
	isQuiet bool
}

func newConn(netConn net.Conn, s *server) *Conn {
	c := &Conn{Conn: netConn, server: s}
	if sc, ok := netConn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			c.raw, c.peek = raw, c.peekOnce
		}
	}
	return c
}

// Server returns the address of the server as text.
func (c *Conn) Server() string { return c.server.name }

// Abort ends all reads and writes, now and later. Any goroutine may call it.
func (c *Conn) Abort() {
	// It fails only on a connection that is closed.
	_ = c.SetDeadline(time.Unix(1, 0))
}

// isOpen reports whether an idle connection can be used: the server has neither closed it nor sent
// anything that nobody asked for. Without a goroutine that reads, only a system call can tell.
func (c *Conn) isOpen() bool {
	if c.raw == nil {
		return true
	}
	c.isQuiet = false
	// Control, unlike Read, works whatever the deadline is.
	err := c.raw.Control(c.peek)
	return err == nil && c.isQuiet
}

func (c *Conn) peekOnce(fd uintptr) {
	var b [1]byte
	_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	c.isQuiet = errors.Is(err, unix.EAGAIN)
}
