package clock

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// kernel asks the kernel's clocks: the boot clock counts suspended time, the steady one
// does not. What passes between the two reads is below minGap.
func kernel() (time.Duration, error) {
	before, err := read(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0, err
	}
	boot, err := read(unix.CLOCK_BOOTTIME)
	if err != nil {
		return 0, err
	}
	return boot - before, nil
}

func read(id int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, errors.Wrap(err, "clock")
	}
	return time.Duration(t.Nano()), nil
}
