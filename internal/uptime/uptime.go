// Package uptime tells the time on a clock that never jumps and goes on while the machine is
// suspended (CLOCK_BOOTTIME). Go's monotonic clock stands still meanwhile: by it a lease, or a view
// of the region, is as fresh after hours of suspension as it was before.
//
// Whatever bounds how long something that another process relies on may be relied on (leases, holds,
// ages of views, the time between a proposal and its order, deadlines handed to replicas) goes by
// this clock. What only estimates load, or paces a loop, may go by Go's.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// started is when this process began, on the steady clock and on the machine's.
var (
	started     = time.Now()
	startedBoot = boot()
)

// boot is the time since the machine was started, negative if it can't be told.
func boot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return -1
	}
	return time.Duration(now.Nano())
}

// Now is the time since this process began, with what the machine was suspended. Where the machine
// has no such clock, it is the steady clock's.
func Now() time.Duration {
	if startedBoot < 0 {
		return time.Since(started)
	}
	return boot() - startedBoot
}

// Since returns a clock that tells the time since now, on a source such as Now.
func Since(source func() time.Duration) func() time.Duration {
	begun := source()
	return func() time.Duration { return source() - begun }
}

// resolution is what two clocks that are read one after the other may differ by without a suspension.
const resolution = time.Millisecond

// SuspendedBy returns for how long the machine was suspended since now, by a source such as Now.
func SuspendedBy(source func() time.Duration) func() time.Duration {
	begun := time.Now()
	clock := Since(source)
	return func() time.Duration { return max(0, (clock() - time.Since(begun)).Round(resolution)) }
}
