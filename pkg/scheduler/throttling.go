package scheduler

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/backpressure"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// Overload handled here: endpoints announce rate limits or pauses. Requests go to other endpoints
// as far as these have free capacity; package backpressure decides how many each entry may still
// send. If all endpoints of a target throttle, more requests arrive than may be sent. A request
// that isn't expected to be sent in time is refused on arrival, since its caller may be served
// through another entry that has a share of the limit.

// Admit reports whether an endpoint instance accepts a request that the scheduler doesn't dispatch,
// such as a generation that is moved there. If so, it counts the request against the limit.
func (s *Scheduler) Admit(now time.Time, instance fleet.Instance) bool {
	e := s.endpointOf(instance)
	if e == nil || !s.backpressure.Accepts(now, e.spec) {
		return false
	}
	s.backpressure.RecordSent(now, e.spec)
	return true
}

// maxDispatchDelay is the most by which a request is dispatched later than it could be: slightly
// more than the interval between two calls of Next. Without this allowance, requests that are
// expected to be sent at the last moment would expire in the queue.
const maxDispatchDelay = 25 * time.Millisecond

// refuseThrottled returns the error for a request that, with ahead requests to be sent before it,
// isn't expected to be sent to a throttling endpoint before its latest start; nil otherwise.
func (s *Scheduler) refuseThrottled(now time.Time, it *item, ahead int) *outcome.Error {
	if s.backpressure.Idle() {
		return nil
	}
	capacity := s.availableCapacity(now, it)
	remaining := max(it.latestStart.Sub(now)-time.Duration(ahead+1)*maxDispatchDelay, 0)
	// Without an available endpoint, throttling isn't the reason why the request waits.
	if capacity.Empty() || capacity.AvailableWithin(remaining, ahead) {
		return nil
	}
	s.saturatedAt = now
	return s.refusal(outcome.CodeEndpointsThrottling, capacity.WaitTime(ahead), "the endpoints of %q take no more at present", it.req.Row.Target)
}

// availableCapacity sums how many requests of this entry the endpoints accept that may serve a
// request. Endpoints that are presumed unavailable are excluded.
func (s *Scheduler) availableCapacity(now time.Time, it *item) backpressure.Capacity {
	var capacity backpressure.Capacity
	for e := range s.notLeaving(it.req.Row.Target) {
		if capacity.Unlimited {
			break
		}
		if it.req.allowsEndpoint(e) && !s.presumedUnavailable(now, e) {
			s.backpressure.AddCapacity(now, &capacity, e.spec)
		}
	}
	return capacity
}
