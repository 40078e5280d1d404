package scheduler

import (
	"iter"
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

// The load that this file answers: a data centre is cut off, and most endpoints that
// its entries know lie beyond the cut. Learning that of each endpoint alone costs a
// request the time of a vain connection per endpoint and probe, which is most of the
// objective of a plain request. And what no endpoint can serve is refused before it
// has waited, since a caller can still be served through another data centre.

// dataCenterFailures is how many endpoints of a data centre in a row can't be reached
// before it counts as cut off. Each has a breaker of its own that opens at once, so
// these are different ones; of endpoints that fail together some answer in between.
const dataCenterFailures = 2

// dataCenterBreaker returns the breaker of an endpoint's data centre, or nil for the
// own one and if data centres aren't looked at.
func (s *Scheduler) dataCenterBreaker(e *endpoint) *retry.Breaker {
	if !s.cfg.ReachByDataCenter || e.spec.DataCenter == s.cfg.DataCenter {
		return nil
	}
	b := s.dataCenters[e.spec.DataCenter]
	if b == nil {
		b = &retry.Breaker{Threshold: dataCenterFailures}
		s.dataCenters[e.spec.DataCenter] = b
	}
	return b
}

// allowed reports whether the breakers of an endpoint and of its data centre let a
// request pass.
func (s *Scheduler) allowed(now time.Time, e *endpoint) bool {
	if b := s.dataCenterBreaker(e); b != nil && b.Opened() {
		return b.Allow(now) && e.breaker.Allow(now) && s.bestProbe(e)
	}
	return e.breaker.Allow(now)
}

// takes reports whether a request may go to an endpoint now.
func (s *Scheduler) takes(now time.Time, e *endpoint) bool {
	return s.allowed(now, e) && s.bears(now, e) && s.pressure.Accepts(now, e.spec)
}

// bestProbe reports whether an endpoint may be the probe of its lost data centre: it has
// not failed, or all others of its target there have failed too. Chosen among all, one
// probe each two seconds missed a good endpoint beside two dead ones for 20 s in 2 of 100
// runs.
func (s *Scheduler) bestProbe(e *endpoint) bool {
	return !e.breaker.Opened() || !s.any(e.spec.Targets[0], func(other *endpoint) bool {
		return other.spec.DataCenter == e.spec.DataCenter && !other.breaker.Opened()
	})
}

// sentTo records that a request goes to an endpoint.
func (s *Scheduler) sentTo(now time.Time, e *endpoint) {
	e.breaker.Sent(now)
	e.sentCold(now)
	s.pressure.RecordSent(now, e.spec)
	if b := s.dataCenterBreaker(e); b != nil {
		b.Sent(now)
	}
}

// ended records how a request ended at an endpoint.
func (s *Scheduler) ended(now time.Time, e *endpoint, res Result) {
	if s.cfg.NoBreakers {
		return
	}
	switch {
	case res.Unreachable:
		e.breaker.Trip(now)
		if b := s.dataCenterBreaker(e); b != nil {
			b.Failure(now)
		}
	case res.Failed:
		e.breaker.Failure(now)
		s.probeEnded(now, e)
	case res.Complete:
		s.answered(now, e)
	default:
		s.probeEnded(now, e)
	}
}

// probeEnded lets others probe an endpoint and its data centre: of a request that ends
// without telling whether they are back, a result isn't awaited.
func (s *Scheduler) probeEnded(now time.Time, e *endpoint) {
	e.breaker.Inconclusive(now)
	if b := s.dataCenterBreaker(e); b != nil {
		b.Inconclusive(now)
	}
}

// answered records that an endpoint has begun to answer, or has answered whole. A long
// answer doesn't keep a breaker half open until it ends.
func (s *Scheduler) answered(now time.Time, e *endpoint) {
	if s.cfg.NoBreakers {
		return
	}
	if e.breaker.Opened() {
		e.returned(now)
	}
	e.breaker.Success()
	if b := s.dataCenterBreaker(e); b != nil {
		b.Success()
	}
}

// Reach is what an entry believes of the other data centres.
type Reach struct {
	// Lost are those of which several endpoints in a row could not be reached, and none
	// since; sorted.
	Lost []string
	// CutOff says that there are others, and all of them are lost.
	CutOff bool
}

// Reach tells which other data centres can be reached.
func (s *Scheduler) Reach() Reach {
	lost := map[string]bool{}
	for _, e := range s.endpoints {
		if b := s.dataCenterBreaker(e); b != nil {
			lost[e.spec.DataCenter] = b.Opened()
		}
	}
	r := Reach{CutOff: len(lost) > 0}
	for name, isLost := range lost {
		if isLost {
			r.Lost = append(r.Lost, name)
		} else {
			r.CutOff = false
		}
	}
	slices.Sort(r.Lost)
	return r
}

// OutOfReach reports whether a target has endpoints, but none that has answered since it
// last failed or that nothing bad is known of. It doesn't change from one probe to the
// next. A target without endpoints is served nowhere, and so not out of this entry's reach.
func (s *Scheduler) OutOfReach(target string) bool {
	known := s.any(target, func(*endpoint) bool { return true })
	return known && !s.any(target, func(e *endpoint) bool {
		b := s.dataCenterBreaker(e)
		return !e.breaker.Opened() && (b == nil || !b.Opened())
	})
}

// servable reports whether a request for a target could be sent to any endpoint now or
// within moments.
func (s *Scheduler) servable(now time.Time, target string) bool {
	return s.any(target, func(e *endpoint) bool { return !s.believedGone(now, e) })
}

// staying goes over the endpoints of a target that don't leave, the nearest first.
func (s *Scheduler) staying(target string) iter.Seq[*endpoint] {
	return func(yield func(*endpoint) bool) {
		for _, list := range s.target(target).all() {
			for _, e := range list {
				if !e.leaving && !yield(e) {
					return
				}
			}
		}
	}
}

// any reports whether a condition holds for an endpoint of a target that stays.
func (s *Scheduler) any(target string, holds func(*endpoint) bool) bool {
	for e := range s.staying(target) {
		if holds(e) {
			return true
		}
	}
	return false
}

// believedGone reports whether requests had better not wait for an endpoint.
func (s *Scheduler) believedGone(now time.Time, e *endpoint) bool {
	if b := s.dataCenterBreaker(e); b != nil && b.Believed(now) {
		return true
	}
	return e.breaker.Believed(now)
}

// unservable refuses a request for a target that no endpoint can serve.
func (s *Scheduler) unservable(now time.Time, target string) *outcome.Error {
	if !s.cfg.RefuseUnservable || s.servable(now, target) {
		return nil
	}
	return s.refusal(outcome.CodeNoEndpoint, s.nextProbe(now, target), "no endpoint of %q can be reached", target)
}

// nextProbe is when the first endpoint of a target is tried again.
func (s *Scheduler) nextProbe(now time.Time, target string) time.Duration {
	first := maxRetryAfter
	for e := range s.staying(target) {
		wait := e.breaker.ProbeIn(now)
		if b := s.dataCenterBreaker(e); b != nil {
			wait = max(wait, b.ProbeIn(now))
		}
		first = min(first, wait)
	}
	return first
}
