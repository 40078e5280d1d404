package published

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/register"
)

// Putting a list of endpoints into force takes work for each endpoint, however little of it has
// changed, and lists change the more often the more endpoints there are. Lists are therefore put
// into force no faster than in proportion to their length, so that the share of time that they
// take doesn't grow with the fleet. What comes meanwhile is known and passed on, and comes into
// force together.

// pacing tells when the next list of endpoints may come into force.
type pacing struct {
	each, most time.Duration
	next       time.Time
	// deferred says that a newer list than the one in force is known.
	deferred bool
	source   string
}

// applied notes that a list of so many endpoints has come into force.
func (p *pacing) applied(now time.Time, endpoints int) {
	p.deferred = false
	p.next = now.Add(min(time.Duration(endpoints)*p.each, p.most))
}

// defers keeps a newer list until it may come into force, and reports whether it has to wait. A
// list counts as known since the first that waited with it. The caller holds the lock.
func (s *Store) defers(now time.Time, v *Value, source string) bool {
	waits := s.paced.deferred
	if waits && s.raw[Fleet].Since.Before(v.Since) {
		v.Since = s.raw[Fleet].Since
	}
	if !now.Before(s.paced.next) {
		return false
	}
	s.note(*v)
	s.raw[Fleet] = *v
	s.paced.deferred, s.paced.source = true, source
	if !waits && s.onDeferred != nil {
		s.onDeferred(s.paced.next)
	}
	return true
}

// Due is when ApplyDue has to be called next; ok is false while nothing waits for it.
func (s *Store) Due() (at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paced.next, s.paced.deferred
}

// ApplyDue puts the newest list of endpoints into force that had to wait until now.
func (s *Store) ApplyDue(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.paced.deferred || now.Before(s.paced.next) {
		return
	}
	s.paced.deferred = false
	s.apply(now, s.raw[Fleet], s.paced.source, register.FromPeerCertain)
}
