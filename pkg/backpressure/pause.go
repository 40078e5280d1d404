package backpressure

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// Pause records that an endpoint accepts no requests from this entry for some time, and reports
// whether a pause started, as opposed to one in effect being repeated. A shorter pause doesn't
// shorten a longer one.
func (s *Set) Pause(now time.Time, instance fleet.Instance, duration time.Duration) (started bool) {
	previous := s.pauses[instance]
	until := now.Add(duration)
	if until.After(previous) {
		s.pauses[instance] = until
	}
	return !now.Before(previous)
}

// PauseRemaining returns for how much longer an endpoint accepts no requests from this entry.
func (s *Set) PauseRemaining(now time.Time, instance fleet.Instance) time.Duration {
	if len(s.pauses) == 0 {
		return 0
	}
	return max(s.pauses[instance].Sub(now), 0)
}
