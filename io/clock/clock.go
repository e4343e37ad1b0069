// Package clock reads the clocks that tell a suspension of the VM: one counts
// the time suspended, the other does not. It also waits.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the VM started, suspensions included.
func BootTime() time.Duration { return read(unix.CLOCK_BOOTTIME) }

// Monotonic returns the time since the VM started without suspensions.
func Monotonic() time.Duration { return read(unix.CLOCK_MONOTONIC) }

func read(id int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		// Both clocks exist on every Linux that Go supports; zero for both
		// means that no suspension is seen.
		return 0
	}
	return time.Duration(ts.Nano())
}

// Sleep waits for a while, or until the context ends; it reports whether the
// context goes on.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
