package monotonic

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since the machine was booted (CLOCK_BOOTTIME), as a time after
// the Unix epoch. The zero value is ready for use.
type Clock struct{}

// Now returns the current time. Times of the same machine can be compared, also between
// processes; times of different machines cannot. It panics if the system has no such
// clock.
func (Clock) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(clockError + err.Error())
	}
	return time.Unix(t.Sec, t.Nsec)
}

const clockError = "monotonic: cannot read CLOCK_BOOTTIME: "
