package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspended returns the difference between the clock that counts suspensions and the one that
// doesn't; 0 if a clock can't be read. The latter is read first: a pause between the two
// readings must not make the result too low, with which an expired lease would seem valid.
func suspended() time.Duration {
	var monotonic, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
