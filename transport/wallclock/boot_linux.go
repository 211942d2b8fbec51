package wallclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime is the time since the machine's start, suspended time included; ok is false where
// the kernel doesn't tell it.
func bootTime() (since time.Duration, ok bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
