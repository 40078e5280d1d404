package enginespeed

import "time"

const (
	// slowFactor is the factor over the ordinary time from which on an event counts as slow, and
	// ordinaryFactor that up to which it counts as ordinary. Transient slowdowns have a factor of
	// 2.5, and the batch changes the duration of a step by less than a third.
	slowFactor     = 1.6
	ordinaryFactor = 1.3
	// maxSlowdown is the factor above which an event isn't part of a transient slowdown: its
	// stream was preempted or its link was interrupted.
	maxSlowdown = 8
	// confirmingEvents is the number of consecutive events without a prefill that begin a slowdown.
	// A single late event stems from the network or from this process, and two in a row happen where
	// a prefill isn't known here.
	confirmingEvents = 3
	// confirmingPrefillEvents is that of events with a prefill, which can't be slow for that reason.
	// At a slow engine they are 187 ms apart during a slowdown of 0.5 to 1.5 s, so that there is
	// no time for more.
	confirmingPrefillEvents = 2
	// ordinaryEvents is the number of consecutive ordinary events that end a slowdown.
	ordinaryEvents = 2
	// maxFactorRatio is the ratio up to which the factors of consecutive slow events are common.
	maxFactorRatio = 1.4
	// slowdownTTL is for how long a slowdown is assumed without news of it: a little more than the
	// longest.
	slowdownTTL = 2 * time.Second
	// maxSlowdownDuration is for how long a slowdown can be transient. Observations of a longer
	// one are those of the new ordinary speed.
	maxSlowdownDuration = 3 * time.Second
	// slowdownSmoothing is the weight of one event in the factor of a slowdown.
	slowdownSmoothing = 0.3
)

// slowdown tracks the transient slowdowns of one instance.
type slowdown struct {
	// factor is that of the present slowdown; zero if there is none.
	factor float64
	// since is when it began, and updatedAt when it was last observed by this entry or a peer.
	since, updatedAt time.Time
	// endedAt is when own events or a peer last showed the end of a slowdown.
	endedAt time.Time
	// streak counts consecutive slow events, or with a negative sign ordinary ones, and
	// streakFactor is the mean factor of the slow ones.
	streak       int
	streakFactor float64
	countedAt    time.Time
	// ownFactor is the factor that this entry observed last, 1 for ordinary, at ownAt.
	ownFactor float64
	ownAt     time.Time
	// peerFactor is the one that a peer reported last, at peerAt.
	peerFactor float64
	peerAt     time.Time
	// contradicting is set after a peer has reported a slowdown that own observations don't show.
	contradicting bool
	// changed is set when own observations have begun or ended a slowdown, until it is reported.
	changed bool
}

// present returns the factor of the present slowdown, or 1.
func (s *slowdown) present(now time.Time) float64 {
	if s.factor == 0 || now.Sub(s.updatedAt) > slowdownTTL {
		return 1
	}
	return s.factor
}

// transient reports whether observations at a time stem from a slowdown and not from the ordinary
// speed.
func (s *slowdown) transient(now time.Time) bool {
	return s.present(now) > 1 && now.Sub(s.since) <= maxSlowdownDuration
}

// observe adds an own event that took factor times its ordinary time. It reports whether a
// slowdown has begun.
func (s *slowdown) observe(now time.Time, factor float64, tokenTime time.Duration, prefilling bool) (begun bool) {
	if s.factor > 0 && s.present(now) == 1 {
		s.factor = 0
	}
	// All streams of an engine get their events at the same steps, and a pause of this process
	// delays all of them. So events that arrive together count once.
	if now.Sub(s.countedAt) < tokenTime/2 {
		return false
	}
	s.countedAt = now
	switch {
	case factor > maxSlowdown:
		s.streak = 0
	case factor >= slowFactor:
		needed := confirmingEvents
		if prefilling {
			needed = confirmingPrefillEvents
		}
		return s.observeSlow(now, factor, needed)
	case factor <= ordinaryFactor:
		s.observeOrdinary(now)
	default:
		s.streak = 0
	}
	return false
}

func (s *slowdown) observeSlow(now time.Time, factor float64, needed int) (begun bool) {
	s.contradicting = false
	common := s.streak > 0 && within(factor, s.streakFactor, maxFactorRatio) == factor
	if !common {
		s.streak, s.streakFactor = 0, factor
	}
	s.streak++
	s.streakFactor += (factor - s.streakFactor) / float64(s.streak)
	if s.factor > 0 {
		s.factor += slowdownSmoothing * (factor - s.factor)
		s.updatedAt = now
		s.setOwn(now, s.factor)
		return false
	}
	if s.streak < needed {
		return false
	}
	s.begin(now, s.streakFactor)
	s.setOwn(now, s.factor)
	s.changed = true
	return true
}

func (s *slowdown) observeOrdinary(now time.Time) {
	s.streak = min(s.streak, 0) - 1
	if s.streak > -ordinaryEvents {
		return
	}
	s.changed = s.factor > 0 || s.contradicting || s.changed && s.ownFactor == 1
	s.contradicting = false
	s.end(now)
	s.setOwn(now, 1)
}

func (s *slowdown) end(now time.Time) {
	if s.factor > 0 {
		s.factor, s.endedAt = 0, now
	}
}

func (s *slowdown) begin(now time.Time, factor float64) {
	s.factor, s.since, s.updatedAt = factor, now, now
}

func (s *slowdown) setOwn(now time.Time, factor float64) { s.ownFactor, s.ownAt = factor, now }

// own returns the factor that this entry observes at present, 1 for ordinary; zero if it has
// observed none within ownSlowdownTTL.
func (s *slowdown) own(now time.Time) float64 {
	ending := s.ownFactor > 1 && s.streak <= 0
	if s.ownAt.IsZero() || now.Sub(s.ownAt) > ownSlowdownTTL || ending {
		return 0
	}
	return s.ownFactor
}

// known returns the factor of the present slowdown, 1 if this entry or a peer observed within
// slowdownTTL that there is none, or zero if nothing is known.
func (s *slowdown) known(now time.Time) float64 {
	if factor := s.present(now); factor > 1 {
		return factor
	}
	if s.ownAt.IsZero() && s.peerAt.IsZero() || now.Sub(s.ownAt) > slowdownTTL && now.Sub(s.peerAt) > slowdownTTL {
		return 0
	}
	return 1
}

// ownSlowdownTTL is for how long an own observation of a slowdown, or of none, is news. The events
// of one stream are less than 200 ms apart.
const ownSlowdownTTL = 300 * time.Millisecond

// apply applies what a peer observed: a slowdown's factor, or 1 for none. It reports whether a
// slowdown has begun.
func (s *slowdown) apply(now time.Time, factor float64) (begun bool) {
	s.peerFactor, s.peerAt = factor, now
	switch {
	case factor < slowFactor:
		// Own observations are more recent than a notice.
		if s.own(now) <= 1 {
			s.end(now)
		}
		return false
	case s.own(now) == 1:
		// Either the slowdown has just begun, or the peer is wrong. The next own event decides.
		s.contradicting = true
		return false
	case !s.endedAt.IsZero() && now.Sub(s.endedAt) <= ownSlowdownTTL:
		// The peer hasn't noticed yet that the slowdown has ended.
		return false
	case s.present(now) > 1:
		s.updatedAt = now
		return false
	}
	s.begin(now, factor)
	return true
}
