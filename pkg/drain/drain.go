// Package drain remembers which incarnations of endpoints take no new work.
//
// A leave is learnt from the published list, from the endpoint's own refusal
// or drain sign, or from a peer. It is kept by endpoint and incarnation, so
// that a list that lags can't bring the endpoint back, while a higher
// incarnation can, or another one that the list turns to (see Listed). A leave
// is forgotten when a higher incarnation has been seen; the set is bounded by
// the endpoints listed within UnlistedFor, since one endpoint has at most one leave. (Brief:
// "An endpoint that is leaving receives no new work after a few seconds".)
package drain

import (
	"slices"
	"strings"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// UnlistedFor is for how long what is known of an endpoint is kept that isn't listed. Records
// lapse while the store is away, and come back as they were: an endpoint that has said that it
// leaves would get work again.
const UnlistedFor = 2 * time.Minute

// Leave says that this incarnation, and any before it, takes no new work.
type Leave struct {
	Endpoint    string
	Incarnation uint64
}

// Set holds the leaves known. The caller serialises calls.
type Set struct {
	left map[string]uint64
	// seen is the highest incarnation heard of, leaving or not.
	seen map[string]uint64
	// listed is the incarnation that the published list shows.
	listed map[string]uint64
	// over is the highest incarnation that was known when the list turned to a lower one.
	over map[string]uint64
	// unlisted is since when endpoints that are known aren't listed.
	unlisted map[string]time.Time
}

// New makes an empty set.
func New() *Set {
	return &Set{left: map[string]uint64{}, seen: map[string]uint64{}, listed: map[string]uint64{}, over: map[string]uint64{}, unlisted: map[string]time.Time{}}
}

// Add records a leave and reports whether it was news.
func (s *Set) Add(l Leave) bool {
	if l.Incarnation != s.listed[l.Endpoint] && l.Incarnation <= s.over[l.Endpoint] {
		return false
	}
	s.Seen(l.Endpoint, l.Incarnation)
	if old, ok := s.left[l.Endpoint]; ok && old >= l.Incarnation {
		return false
	}
	if s.seen[l.Endpoint] > l.Incarnation {
		return false
	}
	s.left[l.Endpoint] = l.Incarnation
	return true
}

// Seen records that an incarnation exists; a higher one ends the leave of
// those before it.
func (s *Set) Seen(endpoint string, incarnation uint64) {
	if incarnation > s.seen[endpoint] {
		s.seen[endpoint] = incarnation
	}
	if left, ok := s.left[endpoint]; ok && left < s.seen[endpoint] {
		delete(s.left, endpoint)
	}
}

// Listed records the incarnation that the published list shows now. While the list stays
// as it is, a higher one that was heard of is later: the list lags. When the list turns to
// an incarnation that is lower than one heard of, the list is right, since it is written in
// the order of its revisions, and the endpoint's clock was set back: all that is known of
// others is over, and isn't believed when it comes once more. Else a healthy endpoint would
// stay out for as long as it is listed.
func (s *Set) Listed(endpoint string, incarnation uint64) {
	if s.listed[endpoint] == incarnation {
		return
	}
	s.listed[endpoint] = incarnation
	s.over[endpoint] = max(s.over[endpoint], s.seen[endpoint])
	if s.over[endpoint] <= incarnation {
		delete(s.over, endpoint)
	}
	s.seen[endpoint] = incarnation
	if s.left[endpoint] != incarnation {
		delete(s.left, endpoint)
	}
}

// Holds reports whether a leave is known and of the latest incarnation that is.
func (s *Set) Holds(l Leave) bool {
	left, ok := s.left[l.Endpoint]
	return ok && left == l.Incarnation
}

// Leaving reports whether an incarnation must get no new work.
func (s *Set) Leaving(endpoint string, incarnation uint64) bool {
	if incarnation < s.seen[endpoint] {
		return true
	}
	left, ok := s.left[endpoint]
	return ok && incarnation <= left
}

// Keep forgets all endpoints that have not been listed for UnlistedFor; those that don't tell
// their lives apart at once, since one that is listed again may have started anew.
func (s *Set) Keep(now time.Time, listed func(endpoint string) bool) {
	for e, incarnation := range s.seen {
		if listed(e) {
			delete(s.unlisted, e)
			continue
		}
		if _, known := s.unlisted[e]; !known {
			s.unlisted[e] = now
		}
		told := fleet.Life{Endpoint: e, Incarnation: incarnation}.Told()
		if !told || now.Sub(s.unlisted[e]) >= UnlistedFor {
			s.forget(e)
		}
	}
}

func (s *Set) forget(endpoint string) {
	delete(s.seen, endpoint)
	delete(s.left, endpoint)
	delete(s.listed, endpoint)
	delete(s.over, endpoint)
	delete(s.unlisted, endpoint)
}

// All returns the leaves in the order of their endpoints.
func (s *Set) All() []Leave {
	out := make([]Leave, 0, len(s.left))
	for e, inc := range s.left {
		out = append(out, Leave{e, inc})
	}
	slices.SortFunc(out, func(a, b Leave) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return out
}
