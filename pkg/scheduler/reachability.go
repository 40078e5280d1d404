package scheduler

import (
	"iter"
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

// Failure handled here: a network partition cuts off a data centre, and most of the endpoints in
// its entries' lists are beyond the partition. With breakers per endpoint only, the first request
// to each endpoint, and each probe, would take one connection timeout, which is most of the latency
// objective of a plain service. So there is also a breaker per data centre. A request that no
// endpoint can serve is refused before it waits, since its caller can still be served through
// another data centre.

// dataCenterFailureThreshold is how many consecutive connection failures to endpoints of a data
// centre open its breaker. The breaker of an unreachable endpoint opens at once, so these are
// failures of different endpoints. If only some endpoints of a data centre fail together, others
// answer in between and reset the count.
const dataCenterFailureThreshold = 2

// dataCenterBreaker returns the breaker of an endpoint's data centre. It returns nil for the
// own data centre, and if Config disables these breakers.
func (s *Scheduler) dataCenterBreaker(e *endpoint) *retry.Breaker {
	if !s.cfg.DataCenterBreakers || e.spec.DataCenter == s.cfg.DataCenter {
		return nil
	}
	b := s.dataCenterBreakers[e.spec.DataCenter]
	if b == nil {
		b = &retry.Breaker{FailureThreshold: dataCenterFailureThreshold}
		s.dataCenterBreakers[e.spec.DataCenter] = b
	}
	return b
}

// breakersAllow reports whether the breakers of an endpoint and of its data centre let a
// request through.
func (s *Scheduler) breakersAllow(now time.Time, e *endpoint) bool {
	if b := s.dataCenterBreaker(e); b != nil && b.Opened() {
		return b.Allow(now) && e.breaker.Allow(now) && s.mayProbe(e)
	}
	return e.breaker.Allow(now)
}

// accepts reports whether an endpoint may be sent a request now: its breakers, its cold start
// limit and its backpressure allow it.
func (s *Scheduler) accepts(now time.Time, e *endpoint) bool {
	return s.breakersAllow(now, e) && s.coldLimitAllows(now, e) && s.backpressure.Accepts(now, e.spec)
}

// mayProbe reports whether an endpoint may be used to probe its unreachable data centre: its own
// breaker is closed, or those of all endpoints of its target there are open too. If any endpoint
// could be used, one probe every two seconds would miss a working endpoint beside two unreachable
// ones for 20 s in 2 of 100 runs.
func (s *Scheduler) mayProbe(e *endpoint) bool {
	return !e.breaker.Opened() || !s.any(e.spec.Targets[0], func(other *endpoint) bool {
		return other.spec.DataCenter == e.spec.DataCenter && !other.breaker.Opened()
	})
}

// recordDispatch records that a request is sent to an endpoint.
func (s *Scheduler) recordDispatch(now time.Time, e *endpoint) {
	e.breaker.RecordSent(now)
	e.recordColdSend(now)
	s.backpressure.RecordSent(now, e.spec)
	if b := s.dataCenterBreaker(e); b != nil {
		b.RecordSent(now)
	}
}

// recordResult updates the breakers with the result of a request at an endpoint.
func (s *Scheduler) recordResult(now time.Time, e *endpoint, res Result) {
	if s.cfg.DisableBreakers {
		return
	}
	switch {
	case res.Unreachable:
		e.breaker.Trip(now)
		if b := s.dataCenterBreaker(e); b != nil {
			b.RecordFailure(now)
		}
	case res.Failed:
		e.breaker.RecordFailure(now)
		s.endProbe(now, e)
	case res.Complete:
		s.recordAnswer(now, e)
	default:
		s.endProbe(now, e)
	}
}

// endProbe lets other requests probe an endpoint and its data centre after one that ended
// without showing whether they are available again.
func (s *Scheduler) endProbe(now time.Time, e *endpoint) {
	e.breaker.RecordInconclusive(now)
	if b := s.dataCenterBreaker(e); b != nil {
		b.RecordInconclusive(now)
	}
}

// recordAnswer closes the breakers when an endpoint sends the first part of an answer or has
// answered completely. Waiting for the end would keep a breaker half open during a long answer.
func (s *Scheduler) recordAnswer(now time.Time, e *endpoint) {
	if s.cfg.DisableBreakers {
		return
	}
	if e.breaker.Opened() {
		e.markRecovered(now)
		s.noteCold(e)
	}
	e.breaker.RecordSuccess()
	if b := s.dataCenterBreaker(e); b != nil {
		b.RecordSuccess()
	}
}

// Reachability is an entry's view of the other data centres.
type Reachability struct {
	// Unreachable are the names of data centres whose breaker has opened and has not been
	// closed since, by an answer or by RecordProbe; sorted.
	Unreachable []string
	// CutOff is set if there are other data centres and all of them are unreachable.
	CutOff bool
}

// Reachability returns which other data centres are unreachable.
func (s *Scheduler) Reachability() Reachability {
	unreachableByName := map[string]bool{}
	for _, e := range s.endpoints {
		if b := s.dataCenterBreaker(e); b != nil {
			unreachableByName[e.spec.DataCenter] = b.Opened()
		}
	}
	r := Reachability{CutOff: len(unreachableByName) > 0}
	for name, unreachable := range unreachableByName {
		if unreachable {
			r.Unreachable = append(r.Unreachable, name)
		} else {
			r.CutOff = false
		}
	}
	slices.Sort(r.Unreachable)
	return r
}

// TargetUnreachable reports whether a target has endpoints and the breaker of each, or of its
// data centre, has opened and has not been closed since, by an answer or by RecordProbe. A request
// sent as a probe doesn't change the result until it is answered. A target without endpoints is not
// unreachable, since no other entry can serve it either.
func (s *Scheduler) TargetUnreachable(target string) bool {
	listed := s.any(target, func(*endpoint) bool { return true })
	return listed && !s.any(target, func(e *endpoint) bool {
		b := s.dataCenterBreaker(e)
		return !e.breaker.Opened() && (b == nil || !b.Opened())
	})
}

// TargetDisconnected reports whether a target has endpoints and no connection could be opened to any
// of them. Unlike TargetUnreachable, it excludes endpoints that can be connected to and fail.
func (s *Scheduler) TargetDisconnected(target string) bool {
	listed := s.any(target, func(*endpoint) bool { return true })
	return listed && !s.any(target, func(e *endpoint) bool { return !s.disconnected(e) })
}

// disconnected reports whether no connection could be opened to an endpoint or to its data centre.
func (s *Scheduler) disconnected(e *endpoint) bool {
	b := s.dataCenterBreaker(e)
	return e.breaker.Unreachable() || b != nil && b.Opened()
}

// ProbeCandidates returns the endpoints to probe of an unreachable target, if connections to some of
// them could not be opened. Endpoints that only fail are probed by requests, and those that asked for
// a pause not at all.
func (s *Scheduler) ProbeCandidates(now time.Time, target string) (endpoints []fleet.Endpoint) {
	if !s.TargetUnreachable(target) || !s.any(target, s.disconnected) {
		return nil
	}
	for e := range s.notLeaving(target) {
		if s.backpressure.PauseRemaining(now, e.spec.Instance()) <= 0 {
			endpoints = append(endpoints, e.spec)
		}
	}
	return endpoints
}

// RecordProbe records whether a connection to an endpoint could be opened, without a request.
func (s *Scheduler) RecordProbe(now time.Time, instance fleet.Instance, connected bool) {
	e := s.endpointOf(instance)
	if e == nil || s.cfg.DisableBreakers {
		return
	}
	b := s.dataCenterBreaker(e)
	if !connected {
		e.breaker.Trip(now)
		if b != nil {
			b.RecordFailure(now)
		}
		return
	}
	if e.breaker.Unreachable() {
		e.markRecovered(now)
		s.noteCold(e)
		e.breaker.RecordConnected()
	}
	if b != nil {
		b.RecordSuccess()
	}
}

// servable reports whether a request for a target can be sent to some endpoint now or is
// expected to be soon.
func (s *Scheduler) servable(now time.Time, target string) bool {
	return s.any(target, func(e *endpoint) bool { return !s.presumedUnavailable(now, e) })
}

// notLeaving iterates over the endpoints of a target that are not leaving, the nearest first.
func (s *Scheduler) notLeaving(target string) iter.Seq[*endpoint] {
	return func(yield func(*endpoint) bool) {
		for _, list := range s.target(target).byProximity() {
			for _, e := range list {
				if !e.leaving && !yield(e) {
					return
				}
			}
		}
	}
}

// any reports whether some endpoint of a target that is not leaving matches.
func (s *Scheduler) any(target string, matches func(*endpoint) bool) bool {
	for e := range s.notLeaving(target) {
		if matches(e) {
			return true
		}
	}
	return false
}

// presumedUnavailable reports whether an endpoint is not worth waiting for: it, or its data
// centre, has failed a probe, and no other probe may be sent now.
func (s *Scheduler) presumedUnavailable(now time.Time, e *endpoint) bool {
	if b := s.dataCenterBreaker(e); b != nil && b.ConfirmedDown(now) {
		return true
	}
	return e.breaker.ConfirmedDown(now)
}

// refuseUnservable returns the error for a request whose target no endpoint can serve, or nil.
func (s *Scheduler) refuseUnservable(now time.Time, target string) *outcome.Error {
	if !s.cfg.RefuseUnservable || s.servable(now, target) {
		return nil
	}
	return s.refusal(outcome.CodeNoEndpoint, s.untilNextProbe(now, target), "no endpoint of %q can be reached", target)
}

// untilNextProbe returns the time until some endpoint of a target may be probed again, at most
// maxRetryAfter.
func (s *Scheduler) untilNextProbe(now time.Time, target string) time.Duration {
	soonest := maxRetryAfter
	for e := range s.notLeaving(target) {
		wait := e.breaker.TimeToProbe(now)
		if b := s.dataCenterBreaker(e); b != nil {
			wait = max(wait, b.TimeToProbe(now))
		}
		soonest = min(soonest, wait)
	}
	return soonest
}
