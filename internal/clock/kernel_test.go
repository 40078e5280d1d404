package clock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// TestPreemptionBetweenReadsIsNoSuspension checks that a process that is stopped or preempted
// after the read of one clock and before that of the other doesn't count as suspended.
func TestPreemptionBetweenReadsIsNoSuspension(t *testing.T) {
	const suspended = 3 * time.Second
	for stoppedBefore := range 4 {
		g := NewWithT(t)
		now, reads := time.Hour, 0
		got, err := measureSuspended(func(id int32) (time.Duration, error) {
			if reads == stoppedBefore {
				now += 10 * time.Second
			}
			reads++
			now += time.Microsecond
			if id == unix.CLOCK_BOOTTIME {
				return now + suspended, nil
			}
			return now, nil
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(BeNumerically("~", suspended, maxReadSpan), "stopped before read %d", stoppedBefore)
	}
}

// TestInterruptedInEveryAttempt checks that a sample fails rather than returning a wrong value
// if every attempt is interrupted.
func TestInterruptedInEveryAttempt(t *testing.T) {
	g := NewWithT(t)
	now := time.Duration(0)
	_, err := measureSuspended(func(int32) (time.Duration, error) {
		now += time.Second
		return now, nil
	})
	g.Expect(err).To(MatchError(errInterrupted))
}
