// Package clock reads two clocks of the VM, one that counts the time during which the
// VM is suspended and one that does not. Their difference shows a suspension. The
// package also sleeps until a time-out or the end of a context.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the VM started, including suspensions.
func BootTime() time.Duration { return read(unix.CLOCK_BOOTTIME) }

// Monotonic returns the time since the VM started, excluding suspensions.
func Monotonic() time.Duration { return read(unix.CLOCK_MONOTONIC) }

func read(id int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		// Both clocks exist on every Linux version that Go supports. If they could not
		// be read, both would return zero, which shows no suspension.
		return 0
	}
	return time.Duration(ts.Nano())
}

// Sleep waits for d or until the context ends. It returns false if the context has
// ended.
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
