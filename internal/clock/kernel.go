package clock

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxReadSpan is the longest time that the reads of one sample may take together, and so
	// the largest error of a sample. Three uninterrupted reads take about a microsecond.
	maxReadSpan = 5 * time.Millisecond
	// maxAttempts limits the system calls per sample on a VM with little processor time.
	maxAttempts = 3
)

// errInterrupted means that the process was interrupted between the reads in every attempt. The
// next sample includes any suspension that this one missed.
var errInterrupted = errors.New("clock: interrupted between reads")

// kernelSource determines suspensions from the kernel's clocks: the boot clock includes
// suspended time, the monotonic clock doesn't.
func kernelSource() (time.Duration, error) { return measureSuspended(readClock) }

// measureSuspended returns by how much the boot clock is ahead of the monotonic clock. The boot
// clock is read between two reads of the monotonic one. Otherwise time for which the process
// was stopped or preempted between two reads would permanently count as a suspension.
func measureSuspended(read func(id int32) (time.Duration, error)) (suspended time.Duration, err error) {
	for range maxAttempts {
		monotonic, err := read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		boot, err := read(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, err
		}
		after, err := read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		if after-monotonic <= maxReadSpan {
			return boot - monotonic, nil
		}
	}
	return 0, errInterrupted
}

func readClock(id int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, errors.Wrap(err, "clock")
	}
	return time.Duration(t.Nano()), nil
}
