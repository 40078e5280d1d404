package backpressure

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// Statement is what one answer said of the limit of its endpoint, in a life of it.
type Statement struct {
	Life fleet.Life
	// Limit is never Unreadable.
	Limit Limit
	// At is when it was said. Of an answer without a limit that is when its request was sent:
	// it may have been written at any time since, so that it takes nothing back that another
	// answer named meanwhile.
	At time.Time
}

// Told makes the statement of an answer, if it holds one. Any answer may name a limit. That
// there is none is told only by one that the endpoint vouches for: reports of its state are
// written by other parts of it, and spoilt bytes name nothing.
func Told(l fleet.Life, limit Limit, vouched bool, sent, received time.Time) (s Statement, holds bool) {
	switch {
	case limit.Kind == Limited:
		return Statement{Life: l, Limit: limit, At: received}, true
	case limit.Kind == Unlimited && vouched:
		return Statement{Life: l, Limit: limit, At: sent}, true
	default:
		return Statement{}, false
	}
}

// Change is a limit that came, went or became another.
type Change struct {
	Life fleet.Life
	// Before and Now are the limits.
	Before, Now Limit
	// For is how long the one before held.
	For time.Duration
	// Sent counts what this entry sent there meanwhile.
	Sent int
}

// Set is what one entry knows of the limits of endpoints. The caller serialises calls.
type Set struct {
	limits map[fleet.Life]*state
}

// state is the limit of one endpoint that has named one.
type state struct {
	limit Limit
	// at is when it was said, and since when it holds.
	at, since time.Time
	// sent counts what this entry has sent since then.
	sent int
}

// New makes an empty set.
func New() *Set { return &Set{limits: map[fleet.Life]*state{}} }

// Hear takes a statement and tells what it changed. An older one than is known changes
// nothing.
func (s *Set) Hear(now time.Time, st Statement) (Change, bool) {
	known := s.limits[st.Life]
	if known == nil {
		if st.Limit.Kind != Limited {
			return Change{}, false
		}
		s.limits[st.Life] = &state{limit: st.Limit, at: st.At, since: now}
		return Change{Life: st.Life, Now: st.Limit}, true
	}
	if !st.At.After(known.at) {
		return Change{}, false
	}
	known.at = st.At
	if known.limit == st.Limit {
		return Change{}, false
	}
	c := Change{Life: st.Life, Before: known.limit, Now: st.Limit, For: now.Sub(known.since), Sent: known.sent}
	known.limit, known.since, known.sent = st.Limit, now, 0
	return c, true
}

// Sent counts a request that goes to an endpoint.
func (s *Set) Sent(l fleet.Life) {
	if known := s.limits[l]; known != nil {
		known.sent++
	}
}

// Keep forgets the lives that aren't listed.
func (s *Set) Keep(listed func(fleet.Life) bool) {
	for l := range s.limits {
		if !listed(l) {
			delete(s.limits, l)
		}
	}
}
