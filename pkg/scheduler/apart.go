package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
)

// The load that this file answers: several requests crash the engines that run them, and an
// innocent one, which many callers make, runs in every engine that ends. None can be told
// from the others while they run beside each other, so each goes to an endpoint of its own
// until it has come whole there or ended it. All others avoid that endpoint as long as
// another one can take them; what has crashed nothing yet may crash the innocent one's.

// SetKeptApart replaces the requests that are to be kept apart.
func (s *Scheduler) SetKeptApart(requests []quarantine.KeptApart) {
	if len(requests) == 0 && len(s.isolated) == 0 {
		return
	}
	s.isolated = requests
	s.forgetApart()
}

// forgetApart has the endpoints of requests kept apart chosen anew.
func (s *Scheduler) forgetApart() {
	for _, t := range s.targets {
		t.isolation = nil
	}
}

// apartEndpoints are the endpoints of a target that requests kept apart run at.
type apartEndpoints struct {
	of map[quarantine.Identity]*endpoint
	// avoided are those that all others avoid.
	avoided map[*endpoint]bool
}

// apartAt assigns endpoints of a target that stay to the requests kept apart, by their names,
// so that all entries choose the same.
func (s *Scheduler) apartAt(name string) *apartEndpoints {
	t := s.target(name)
	if t.isolation != nil {
		return t.isolation
	}
	endpoints := slices.SortedFunc(s.notLeaving(name), func(a, b *endpoint) int { return strings.Compare(a.spec.ID, b.spec.ID) })
	names := make([]string, len(endpoints))
	for i, e := range endpoints {
		names[i] = e.spec.ID
	}
	t.isolation = &apartEndpoints{of: map[quarantine.Identity]*endpoint{}, avoided: map[*endpoint]bool{}}
	assigned := quarantine.Assign(s.isolated, names)
	for _, r := range s.isolated {
		if i, ok := assigned[r.Identity]; ok {
			t.isolation.of[r.Identity] = endpoints[i]
			t.isolation.avoided[endpoints[i]] = t.isolation.avoided[endpoints[i]] || r.Avoided
		}
	}
	return t.isolation
}

// isApart reports whether a request is kept apart.
func (s *Scheduler) isApart(it *item) bool {
	if len(s.isolated) == 0 || it.req.Identity == nil {
		return false
	}
	own, apart := s.apartAt(it.req.Row.Target).of[it.req.Identity()]
	return apart && it.req.allowsEndpoint(own)
}

// chooseApart returns the endpoint assigned to a request that is kept apart, or nil while that
// can't take requests.
func (s *Scheduler) chooseApart(now time.Time, it *item) *endpoint {
	own := s.apartAt(it.req.Row.Target).of[it.req.Identity()]
	if own.leaving || !s.accepts(now, own) {
		return nil
	}
	return own
}

// withoutApart leaves out the endpoints that requests kept apart run at, if others can take
// requests.
func (s *Scheduler) withoutApart(now time.Time, target string, from []*endpoint) []*endpoint {
	if len(s.isolated) == 0 {
		return from
	}
	avoided := s.apartAt(target).avoided
	usable := func(e *endpoint) bool { return !avoided[e] && !e.leaving && s.breakersAllow(now, e) }
	if !s.any(target, usable) {
		return from
	}
	return slices.DeleteFunc(slices.Clone(from), func(e *endpoint) bool { return avoided[e] })
}
