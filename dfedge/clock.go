package dfedge

import (
	"time"

	"golang.org/x/sys/unix"

	"dragonflygrade/dfclock"
)

// BootTime returns an instant of a clock that goes on while the machine is
// suspended. Ages of positions must count that time.
func BootTime() dfclock.Millis {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return dfclock.Millis(time.Now().UnixMilli())
	}
	return dfclock.Millis(now.Nano() / int64(time.Millisecond))
}
