package clock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// TestAStopBetweenTwoReadsIsNoSuspension: a process that is stopped, or has no processor,
// after it has read one clock and before it reads the other has not been suspended.
func TestAStopBetweenTwoReadsIsNoSuspension(t *testing.T) {
	const suspended = 3 * time.Second
	for stopped := range 4 {
		g := NewWithT(t)
		now, reads := time.Hour, 0
		got, err := compare(func(id int32) (time.Duration, error) {
			if reads == stopped {
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
		g.Expect(got).To(BeNumerically("~", suspended, maxApart), "stopped before read %d", stopped)
	}
}

// TestAVMThatIsAlwaysInterrupted tells nothing new rather than something wrong.
func TestAVMThatIsAlwaysInterrupted(t *testing.T) {
	g := NewWithT(t)
	now := time.Duration(0)
	_, err := compare(func(int32) (time.Duration, error) {
		now += time.Second
		return now, nil
	})
	g.Expect(err).To(MatchError(errInterrupted))
}
