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
func (s *Scheduler) SetKeptApart(requests []quarantine.IsolatedRequest) {
	if len(requests) == 0 && len(s.apart) == 0 {
		return
	}
	s.apart = requests
	s.forgetApart()
}

// forgetApart has the endpoints of requests kept apart chosen anew.
func (s *Scheduler) forgetApart() {
	for _, t := range s.targets {
		t.apart = nil
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
	if t.apart != nil {
		return t.apart
	}
	endpoints := slices.SortedFunc(s.staying(name), func(a, b *endpoint) int { return strings.Compare(a.spec.ID, b.spec.ID) })
	names := make([]string, len(endpoints))
	for i, e := range endpoints {
		names[i] = e.spec.ID
	}
	t.apart = &apartEndpoints{of: map[quarantine.Identity]*endpoint{}, avoided: map[*endpoint]bool{}}
	assigned := quarantine.Assign(s.apart, names)
	for _, r := range s.apart {
		if i, ok := assigned[r.Identity]; ok {
			t.apart.of[r.Identity] = endpoints[i]
			t.apart.avoided[endpoints[i]] = t.apart.avoided[endpoints[i]] || r.AvoidEndpoint
		}
	}
	return t.apart
}

// isApart reports whether a request is kept apart.
func (s *Scheduler) isApart(it *item) bool {
	if len(s.apart) == 0 || it.req.Identity == nil {
		return false
	}
	own, apart := s.apartAt(it.req.Row.Target).of[it.req.Identity()]
	return apart && it.req.mayServe(own)
}

// chooseApart returns the endpoint assigned to a request that is kept apart, or nil while that
// can't take requests.
func (s *Scheduler) chooseApart(now time.Time, it *item) *endpoint {
	own := s.apartAt(it.req.Row.Target).of[it.req.Identity()]
	if own.leaving || !s.takes(now, own) {
		return nil
	}
	return own
}

// withoutApart leaves out the endpoints that requests kept apart run at, if others can take
// requests.
func (s *Scheduler) withoutApart(now time.Time, target string, from []*endpoint) []*endpoint {
	if len(s.apart) == 0 {
		return from
	}
	avoided := s.apartAt(target).avoided
	usable := func(e *endpoint) bool { return !avoided[e] && !e.leaving && s.allowed(now, e) }
	if !s.any(target, usable) {
		return from
	}
	return slices.DeleteFunc(slices.Clone(from), func(e *endpoint) bool { return avoided[e] })
}
