package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
)

// This file isolates requests that are suspected of crashing engines. When several requests
// crash the engines that run them, a harmless request that many callers make also runs in
// every engine that crashes. While suspects run beside each other, a crash can't be
// attributed to one of them, so each suspect gets an endpoint of its own until it completes
// there or crashes it. All other requests avoid that endpoint as long as another one can
// take them: a request that hasn't crashed an engine yet might crash the suspect's endpoint,
// and the crash would be attributed to a harmless suspect.

// SetIsolatedRequests replaces the set of requests to isolate.
func (s *Scheduler) SetIsolatedRequests(requests []quarantine.IsolatedRequest) {
	if len(requests) == 0 && len(s.isolated) == 0 {
		return
	}
	s.isolated = requests
	s.resetIsolation()
}

// resetIsolation discards the assignments, so that the endpoints of isolated requests are
// chosen again.
func (s *Scheduler) resetIsolation() {
	for _, t := range s.targets {
		t.isolation = nil
	}
}

// isolationAssignment holds the endpoints of a target at which isolated requests run.
type isolationAssignment struct {
	// byIdentity holds the endpoint of each isolated request.
	byIdentity map[quarantine.Identity]*endpoint
	// avoided are the endpoints that all other requests avoid.
	avoided map[*endpoint]bool
}

// isolationFor assigns the isolated requests to the endpoints of a target that aren't
// leaving. The assignment depends only on the identities of the requests and the names of
// the endpoints, so all entries choose the same.
func (s *Scheduler) isolationFor(targetName string) *isolationAssignment {
	t := s.target(targetName)
	if t.isolation != nil {
		return t.isolation
	}
	endpoints := slices.SortedFunc(s.notLeaving(targetName), func(a, b *endpoint) int { return strings.Compare(a.spec.ID, b.spec.ID) })
	names := make([]string, len(endpoints))
	for i, e := range endpoints {
		names[i] = e.spec.ID
	}
	t.isolation = &isolationAssignment{byIdentity: map[quarantine.Identity]*endpoint{}, avoided: map[*endpoint]bool{}}
	assigned := quarantine.Assign(s.isolated, names)
	for _, r := range s.isolated {
		if i, ok := assigned[r.Identity]; ok {
			t.isolation.byIdentity[r.Identity] = endpoints[i]
			t.isolation.avoided[endpoints[i]] = t.isolation.avoided[endpoints[i]] || r.AvoidEndpoint
		}
	}
	return t.isolation
}

// isIsolated reports whether a request has an isolation endpoint that it may use.
func (s *Scheduler) isIsolated(it *item) bool {
	if len(s.isolated) == 0 || it.req.Identity == nil {
		return false
	}
	assigned := s.assignedEndpoint(it)
	return assigned != nil && it.req.allowsEndpoint(assigned)
}

// assignedEndpoint returns the isolation endpoint of a request, or nil if it isn't isolated.
func (s *Scheduler) assignedEndpoint(it *item) *endpoint {
	var parts []quarantine.Part
	if it.req.SharedParts != nil {
		parts = it.req.SharedParts()
	}
	id, isolated := quarantine.Find(s.isolated, it.req.Identity(), parts)
	if !isolated {
		return nil
	}
	return s.isolationFor(it.req.Row.Target).byIdentity[id]
}

// isolationEndpoint returns the endpoint assigned to an isolated request, or nil while that
// endpoint can't take requests.
func (s *Scheduler) isolationEndpoint(now time.Time, it *item) *endpoint {
	assigned := s.assignedEndpoint(it)
	if assigned.leaving || !s.accepts(now, assigned) {
		return nil
	}
	return assigned
}

// excludeIsolationEndpoints removes the endpoints that other requests avoid, if any other
// endpoint of the target can take requests.
func (s *Scheduler) excludeIsolationEndpoints(now time.Time, target string, endpoints []*endpoint) []*endpoint {
	if len(s.isolated) == 0 {
		return endpoints
	}
	avoided := s.isolationFor(target).avoided
	usable := func(e *endpoint) bool { return !avoided[e] && !e.leaving && s.breakersAllow(now, e) }
	if !s.any(target, usable) {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), func(e *endpoint) bool { return avoided[e] })
}
