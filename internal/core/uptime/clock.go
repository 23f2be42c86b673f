package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is the time since the VM was booted, including suspensions.
type Instant time.Duration

// Clock returns the current time.
type Clock func() Instant

// Now reads CLOCK_BOOTTIME.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only for an unknown clock, and Linux has had this one since 2.6.39.
		panic(err)
	}
	return Instant(ts.Nano())
}

// Sub returns the duration from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
