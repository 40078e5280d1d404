package backpressure

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// Pause records that an endpoint wants nothing from this entry for some time, and reports
// whether that is news: it didn't want anything before, either. A shorter one takes nothing
// off a longer one.
func (s *Set) Pause(now time.Time, l fleet.Instance, lasts time.Duration) (news bool) {
	before := s.pauses[l]
	until := now.Add(lasts)
	if until.After(before) {
		s.pauses[l] = until
	}
	return !now.Before(before)
}

// PausedFor is for how much longer an endpoint wants nothing from this entry.
func (s *Set) PausedFor(now time.Time, l fleet.Instance) time.Duration {
	if len(s.pauses) == 0 {
		return 0
	}
	return max(s.pauses[l].Sub(now), 0)
}
