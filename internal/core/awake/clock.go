package awake

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment since the VM was started, suspensions included.
type Instant time.Duration

// Clock returns the present moment.
type Clock func() Instant

// Now reads the system's clock.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails for an unknown clock alone, and every Linux since 2.6.39 knows this one.
		panic(err)
	}
	return Instant(ts.Nano())
}

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Add returns the moment d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
