package dfedge

import (
	"time"

	"golang.org/x/sys/unix"

	"dragonflygrade/dfclock"
)

// BootTime returns the time since boot, including the time in which the machine
// was suspended. Ages of positions must include that time.
func BootTime() dfclock.Millis {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return dfclock.Millis(time.Now().UnixMilli())
	}
	return dfclock.Millis(now.Nano() / int64(time.Millisecond))
}
