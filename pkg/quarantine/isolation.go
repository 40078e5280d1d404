package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// IsolatedSince returns the time since which a request is isolated, if it is.
func (s *Set) IsolatedSince(now time.Time, id Identity) (since time.Time, isolated bool) {
	c := s.candidates[id]
	if c == nil || !c.isolated(now) {
		return time.Time{}, false
	}
	return c.isolatedSince, true
}

// IsEvidence reports whether the termination of an instance counts against a request that was
// sent there at the given time. Only runs sent since the isolation count against an isolated
// request. Its earlier runs shared instances with other candidates, and counting the terminations
// of these would soon bring an innocent request to AmbiguousThreshold. They are recorded with
// Fact.BeforeIsolation.
func (s *Set) IsEvidence(now time.Time, id Identity, sent time.Time) bool {
	since, isolated := s.IsolatedSince(now, id)
	return !isolated || sent.After(since)
}

// IsolatedRequests returns the isolated requests in an order that is the same at all entries with
// the same facts.
func (s *Set) IsolatedRequests(now time.Time) (requests []IsolatedRequest) {
	for id, c := range s.candidates {
		if c.isolated(now) {
			requests = append(requests, IsolatedRequest{Identity: id, AvoidEndpoint: now.Sub(c.lastTermination) < avoidancePeriod})
		}
	}
	for _, c := range s.parts.isolated(now) {
		requests = append(requests, IsolatedRequest{c.identity, c.parts, now.Sub(c.lastTermination()) < avoidancePeriod})
	}
	slices.SortFunc(requests, func(a, b IsolatedRequest) int { return slices.Compare(a.Identity[:], b.Identity[:]) })
	return requests
}

// IsolatedRequest is a request that may run only where no other candidate runs, or all requests with a
// combination of parts.
type IsolatedRequest struct {
	Identity Identity
	// Parts are those of a combination; empty for a request.
	Parts []Part
	// AvoidEndpoint reports whether all other requests avoid its endpoint.
	AvoidEndpoint bool
}

// Find returns the identity among isolated requests as which a request runs: its own, or that of the
// combination of its parts that includes all others that it has. A request with several combinations,
// none of which includes the others, is not isolated: its termination would not tell them apart.
func Find(isolated []IsolatedRequest, identity Identity, parts []Part) (Identity, bool) {
	var combinations []IsolatedRequest
	for _, r := range isolated {
		switch {
		case len(r.Parts) > 0:
			combinations = append(combinations, r)
		case r.Identity == identity:
			return identity, true
		}
	}
	i := mostSpecific(parts, len(combinations), func(i int) []Part { return combinations[i].Parts })
	if i < 0 {
		return Identity{}, false
	}
	return combinations[i].Identity, true
}

// Assign maps each request to an endpoint of its own, by index. If there are fewer endpoints than
// requests, they are shared evenly. The result is the same at all entries with the same requests
// and endpoints.
func Assign(requests []IsolatedRequest, endpoints []string) map[Identity]int {
	assigned := make(map[Identity]int, len(requests))
	assignments := make([]int, len(endpoints))
	for i, r := range requests {
		best, bestScore := -1, uint64(0)
		for e, name := range endpoints {
			// No endpoint is assigned more than one request more than another.
			if assignments[e] > i/len(endpoints) {
				continue
			}
			if score := assignScore(r.Identity, name); best < 0 || score > bestScore {
				best, bestScore = e, score
			}
		}
		if best >= 0 {
			assigned[r.Identity] = best
			assignments[best]++
		}
	}
	return assigned
}

// assignScore is the rendezvous hashing score of an endpoint for a request; the highest wins.
func assignScore(id Identity, endpoint string) uint64 {
	return xxhash.Sum64(append(binary.BigEndian.AppendUint64(id[:len(id):len(id)], uint64(len(endpoint))), endpoint...))
}
