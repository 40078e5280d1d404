// Package drain records which incarnations of endpoints must not get new work.
//
// It supports the guarantee that a leaving endpoint receives no new work after a
// few seconds. A leave comes from the published list, from the endpoint's own
// refusal or draining signal, or from a peer. It is stored by endpoint and
// incarnation, so that a stale list can't return the endpoint to service, while a
// higher incarnation can, or a lower one that the list changes to (see
// Set.SetListed). A leave is deleted when a higher incarnation is observed. Each
// endpoint has at most one leave, so the size of the set is bounded by the number
// of endpoints listed within UnlistedRetention.
package drain

import (
	"slices"
	"strings"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// UnlistedRetention is how long the state of an endpoint is retained after it was last listed.
// Records lapse while the store is unavailable and reappear unchanged afterwards. Without the
// retention, an endpoint that has announced its leave would get work again.
const UnlistedRetention = 2 * time.Minute

// Leave states that an endpoint's incarnation, and any lower one, must not get new work.
type Leave struct {
	Endpoint    string
	Incarnation uint64
}

// Set is a set of leaves. The caller serialises calls.
type Set struct {
	// leaves are the incarnations that are leaving, by endpoint.
	leaves map[string]uint64
	// highest is the highest incarnation observed, leaving or not. SetListed can lower it.
	highest map[string]uint64
	// listed is the incarnation in the published list.
	listed map[string]uint64
	// obsolete is the highest incarnation observed before the list changed to a lower one.
	// Incarnations up to it have terminated, except the listed one.
	obsolete map[string]uint64
	// unlistedSince is when endpoints in the set were first missing from the list.
	unlistedSince map[string]time.Time
}

// New returns an empty set.
func New() *Set {
	return &Set{leaves: map[string]uint64{}, highest: map[string]uint64{}, listed: map[string]uint64{}, obsolete: map[string]uint64{}, unlistedSince: map[string]time.Time{}}
}

// Add records a leave and reports whether it was new. Leaves of terminated incarnations are
// ignored.
func (s *Set) Add(l Leave) bool {
	if l.Incarnation != s.listed[l.Endpoint] && l.Incarnation <= s.obsolete[l.Endpoint] {
		return false
	}
	s.Observe(l.Endpoint, l.Incarnation)
	if known, ok := s.leaves[l.Endpoint]; ok && known >= l.Incarnation {
		return false
	}
	if s.highest[l.Endpoint] > l.Incarnation {
		return false
	}
	s.leaves[l.Endpoint] = l.Incarnation
	return true
}

// Observe records that an incarnation exists and deletes the leave of a lower one.
func (s *Set) Observe(endpoint string, incarnation uint64) {
	if incarnation > s.highest[endpoint] {
		s.highest[endpoint] = incarnation
	}
	if leave, ok := s.leaves[endpoint]; ok && leave < s.highest[endpoint] {
		delete(s.leaves, endpoint)
	}
}

// SetListed records the incarnation in the published list. While the list is unchanged, a higher
// observed incarnation is newer, and the list is stale. If the list changes to an incarnation
// below an observed one, the list is correct, because it is written in revision order: the
// endpoint's clock was set back between two starts. All other incarnations have then terminated,
// and their state is deleted and ignored if it is received again. Otherwise a healthy endpoint
// would get no work for as long as it is listed.
func (s *Set) SetListed(endpoint string, incarnation uint64) {
	if s.listed[endpoint] == incarnation {
		return
	}
	s.listed[endpoint] = incarnation
	s.obsolete[endpoint] = max(s.obsolete[endpoint], s.highest[endpoint])
	if s.obsolete[endpoint] <= incarnation {
		delete(s.obsolete, endpoint)
	}
	s.highest[endpoint] = incarnation
	if s.leaves[endpoint] != incarnation {
		delete(s.leaves, endpoint)
	}
}

// Contains reports whether the set contains a leave of exactly this incarnation.
func (s *Set) Contains(l Leave) bool {
	leave, ok := s.leaves[l.Endpoint]
	return ok && leave == l.Incarnation
}

// Leaving reports whether an incarnation must not get new work, because it is leaving or a higher
// one exists.
func (s *Set) Leaving(endpoint string, incarnation uint64) bool {
	if incarnation < s.highest[endpoint] {
		return true
	}
	leave, ok := s.leaves[endpoint]
	return ok && incarnation <= leave
}

// Latest returns the incarnation of an endpoint that supersedes all others, if any is known.
func (s *Set) Latest(endpoint string) (incarnation uint64, known bool) {
	incarnation, known = s.highest[endpoint]
	return incarnation, known
}

// Prune deletes the state of endpoints that have not been listed for UnlistedRetention. The state
// of endpoints without a known incarnation is deleted as soon as they aren't listed, since one
// that is listed again may have restarted.
func (s *Set) Prune(now time.Time, listed func(endpoint string) bool) {
	for endpoint, incarnation := range s.highest {
		if listed(endpoint) {
			delete(s.unlistedSince, endpoint)
			continue
		}
		if _, ok := s.unlistedSince[endpoint]; !ok {
			s.unlistedSince[endpoint] = now
		}
		hasIncarnation := fleet.Instance{Endpoint: endpoint, Incarnation: incarnation}.HasIncarnation()
		if !hasIncarnation || now.Sub(s.unlistedSince[endpoint]) >= UnlistedRetention {
			s.remove(endpoint)
		}
	}
}

func (s *Set) remove(endpoint string) {
	delete(s.highest, endpoint)
	delete(s.leaves, endpoint)
	delete(s.listed, endpoint)
	delete(s.obsolete, endpoint)
	delete(s.unlistedSince, endpoint)
}

// All returns the leaves, sorted by endpoint.
func (s *Set) All() []Leave {
	leaves := make([]Leave, 0, len(s.leaves))
	for endpoint, incarnation := range s.leaves {
		leaves = append(leaves, Leave{endpoint, incarnation})
	}
	slices.SortFunc(leaves, func(a, b Leave) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return leaves
}
