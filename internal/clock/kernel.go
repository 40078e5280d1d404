package clock

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxApart is the longest time between the reads that belong together; it is what a sample
	// may be wrong by. Three reads take about a microsecond where nothing comes between them.
	maxApart = 5 * time.Millisecond
	// maxTries bounds the system calls of a sample on a VM that is short of processor.
	maxTries = 3
)

// errInterrupted says that something came between the reads each time. The next sample tells.
var errInterrupted = errors.New("clock: interrupted between reads")

// kernel asks the kernel's clocks: the boot clock counts suspended time, the steady one
// does not.
func kernel() (time.Duration, error) { return compare(read) }

// compare tells by how much the boot clock is ahead. It is read between two reads of the
// steady one: a process that is stopped or preempted between two clocks would take that time
// for a suspension, and keep it for good.
func compare(read func(id int32) (time.Duration, error)) (ahead time.Duration, err error) {
	for range maxTries {
		before, err := read(unix.CLOCK_MONOTONIC)
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
		if after-before <= maxApart {
			return boot - before, nil
		}
	}
	return 0, errInterrupted
}

func read(id int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, errors.Wrap(err, "clock")
	}
	return time.Duration(t.Nano()), nil
}
