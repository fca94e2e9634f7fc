// The kernel's clock that also counts while the host is suspended, so that leases
// and deadlines expire during a suspension.

package flow

import (
	"time"

	"golang.org/x/sys/unix"
)

// timeSinceBoot returns the time since the host booted, suspensions included, or
// false when the kernel has no such clock.
func timeSinceBoot() (time.Duration, bool) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, false
	}
	return time.Duration(now.Nano()), true
}
