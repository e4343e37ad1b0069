// Package clock reads the clocks that tell a suspension of the VM: one counts
// the time suspended, the other does not. It also waits.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Counting returns the time since the VM started, suspensions included.
func Counting() time.Duration { return read(unix.CLOCK_BOOTTIME) }

// Steady returns the time since the VM started without suspensions.
func Steady() time.Duration { return read(unix.CLOCK_MONOTONIC) }

func read(id int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		// Both clocks exist on every Linux that Go supports; zero for both
		// means that no suspension is seen.
		return 0
	}
	return time.Duration(ts.Nano())
}

// Wait waits for a while, or until the context ends; it reports whether the
// context goes on.
func Wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
