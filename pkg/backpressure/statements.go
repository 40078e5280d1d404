package backpressure

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// Statement is what one answer said of the limit of its endpoint, in a life of it.
type Statement struct {
	Life fleet.Instance
	// Limit is never Unreadable.
	Limit Limit
	// At is when it was said. Of an answer without a limit that is when its request was sent:
	// it may have been written at any time since, so that it takes nothing back that another
	// answer named meanwhile.
	At time.Time
}

// StatementOf makes the statement of an answer, if it holds one. Any answer may name a limit. That
// there is none is told only by one that serves its request: errors, refusals and reports of
// its state may be written by other parts of an endpoint, which don't know that it throttles.
func StatementOf(l fleet.Instance, limit Limit, served bool, sent, received time.Time) (s Statement, holds bool) {
	switch {
	case limit.Kind == Limited:
		return Statement{Life: l, Limit: limit, At: received}, true
	case limit.Kind == Unlimited && served:
		return Statement{Life: l, Limit: limit, At: sent}, true
	default:
		return Statement{}, false
	}
}

// Source says whom a statement was heard from.
type Source int

// The sources.
const (
	// FromAnswer: this entry had the answer.
	FromAnswer Source = iota
	// FromNear: an entry of the own data centre, which tells all others there itself.
	FromNear
	// FromFar: an entry of another data centre.
	FromFar
)

// Change is a limit that came, went or became another.
type Change struct {
	Life fleet.Instance
	// Before and Now are the limits.
	Before, Now Limit
	// For is how long the one before held.
	For time.Duration
	// Sent counts what this entry sent there meanwhile.
	Sent int
}

// state is what is known of the limit of one endpoint that has named one.
type state struct {
	limit Limit
	// at is when it was said.
	at time.Time
	// noted is the limit that was told on and logged last, since when it holds, and how much
	// this entry has sent meanwhile.
	noted Limit
	since time.Time
	sent  int
	// tell says that this entry tells it to others.
	tell bool
	// unlisted is since when the list doesn't show the endpoint; zero if it does.
	unlisted time.Time
	bucket   bucket
}

// Hear takes a statement and tells what it changed, unless that is little. An older one than
// is known changes nothing; who told it is told the newer one.
func (s *Set) Hear(now time.Time, st Statement, from Source) (Change, bool) {
	known := s.states[st.Life]
	switch {
	case known == nil && st.Limit.Kind != Limited:
		return Change{}, false
	case known == nil:
		known = &state{since: now, bucket: bucket{at: now}}
		s.states[st.Life] = known
	case !st.At.After(known.at):
		if from != FromAnswer && st.Limit.Kind != known.limit.Kind {
			// Told anew if it was told before, since it is newer now.
			known.tell = true
			s.version++
		}
		return Change{}, false
	}
	known.at, known.limit = st.At, st.Limit
	if known.noted.like(st.Limit) {
		return Change{}, false
	}
	c := Change{Life: st.Life, Before: known.noted, Now: st.Limit, For: now.Sub(known.since), Sent: known.sent}
	known.noted, known.since, known.sent = st.Limit, now, 0
	known.tell = from != FromNear
	s.version++
	return c, true
}

// ToTell lists what this entry tells others, by the names of the endpoints: what it was told
// itself, and what it heard from another data centre.
func (s *Set) ToTell() []Statement {
	var out []Statement
	for l, known := range s.states {
		if known.tell {
			out = append(out, Statement{Life: l, Limit: known.limit, At: known.at})
		}
	}
	slices.SortFunc(out, func(a, b Statement) int { return strings.Compare(a.Life.Endpoint, b.Life.Endpoint) })
	return out
}

// Version changes whenever there is something else to tell.
func (s *Set) Version() uint64 { return s.version }

const (
	// toldOver is for how long it is told and remembered that an endpoint names no limit any
	// more: until all entries have heard it.
	toldOver = 30 * time.Second
	// unlistedFor is for how long the limit of an endpoint is remembered that isn't listed:
	// records lapse while the store is away, and come back with endpoints that throttle
	// as before.
	unlistedFor = 2 * time.Minute
)

// Listed tells which lives the list shows.
func (s *Set) Listed(now time.Time, listed func(fleet.Instance) bool) {
	for l, known := range s.states {
		switch {
		case listed(l):
			known.unlisted = time.Time{}
		case known.unlisted.IsZero():
			known.unlisted = now
		}
	}
}

// Forget forgets what is over, and lives that have not been listed for long.
func (s *Set) Forget(now time.Time) {
	maps.DeleteFunc(s.pauses, func(_ fleet.Instance, until time.Time) bool { return !now.Before(until) })
	for l, known := range s.states {
		gone := !known.unlisted.IsZero() && now.Sub(known.unlisted) >= unlistedFor
		over := known.limit.Kind == Unlimited && now.Sub(known.since) >= toldOver
		if gone || over {
			delete(s.states, l)
			s.version++
		}
	}
}
