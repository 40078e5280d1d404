package published

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/register"
)

// Applying a fleet list costs work for every endpoint, however few of them have changed, and the
// more endpoints there are, the more often the list changes. The interval between two applied
// lists is therefore proportional to the length of the list, so that the share of time spent on
// applying lists doesn't grow with the fleet. Lists that arrive during the interval are recorded
// and passed on to peers; the newest of them is applied at its end.

// applyPacer limits the rate at which fleet lists come into force.
type applyPacer struct {
	intervalPerEndpoint, maxInterval time.Duration
	nextApply                        time.Time
	// deferred is set while a list newer than the one in force is waiting.
	deferred       bool
	deferredSource string
}

// recordApplied starts the interval that follows the application of a list with this many
// endpoints.
func (p *applyPacer) recordApplied(now time.Time, endpoints int) {
	p.deferred = false
	p.nextApply = now.Add(min(time.Duration(endpoints)*p.intervalPerEndpoint, p.maxInterval))
}

// deferFleet stores a newer list if it may not come into force yet, and reports whether it did. A
// list that follows a deferred one takes over the earlier FirstReadAt. The caller holds the lock.
func (s *Store) deferFleet(now time.Time, v *Value, source string) bool {
	alreadyDeferred := s.pacer.deferred
	if alreadyDeferred && s.newest[Fleet].FirstReadAt.Before(v.FirstReadAt) {
		v.FirstReadAt = s.newest[Fleet].FirstReadAt
	}
	if !now.Before(s.pacer.nextApply) {
		return false
	}
	s.recordChanges(*v)
	s.newest[Fleet] = *v
	s.pacer.deferred, s.pacer.deferredSource = true, source
	if !alreadyDeferred && s.onDeferred != nil {
		s.onDeferred(s.pacer.nextApply)
	}
	return true
}

// DeferredUntil returns the time at which ApplyDeferred has to be called; ok is false if no list
// is deferred.
func (s *Store) DeferredUntil() (until time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pacer.nextApply, s.pacer.deferred
}

// ApplyDeferred puts the deferred fleet list into force if it is due.
func (s *Store) ApplyDeferred(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.pacer.deferred || now.Before(s.pacer.nextApply) {
		return
	}
	s.pacer.deferred = false
	s.applyLocked(now, s.newest[Fleet], s.pacer.deferredSource, register.FromPeerCertain)
}
