package scheduler

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/invariant"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// Next implements Policy.
func (s *Scheduler) Next(now time.Time) Actions {
	s.actions.Dispatches = s.actions.Dispatches[:0]
	s.actions.Refusals = append(s.actions.Refusals[:0], s.displacedRefusals...)
	s.displacedRefusals = s.displacedRefusals[:0]
	for target, q := range s.queues {
		if q.drainRate.closeWindow(now, len(q.items) > 0, s.cfg.DrainRateSmoothing, s.cfg.DrainRateWarmUp) && s.cfg.RecomputeCosts {
			s.recomputeCosts(q)
		}
		if len(q.items) > 0 {
			s.dispatchQueue(now, target, q)
		}
	}
	return s.actions
}

// recomputeCosts updates the costs and projections of waiting requests.
func (s *Scheduler) recomputeCosts(q *queue) {
	q.cost = 0
	for _, it := range q.items {
		if it.req.PromptTokens > 0 {
			it.projection = s.estimator.Project(lengthKey(&it.req), it.req.PromptTokens, 0).Bound(0, it.req.MaxTokens)
			it.cost = s.expectedCost(&it.req)
		}
		q.cost += it.cost
	}
}

// dispatchQueue dispatches or refuses the requests of one queue in order. A request that fits no
// endpoint blocks the non-urgent ones behind it, except those of a higher level. A request that is over its in-flight limit, or
// that must run alone at an endpoint which isn't available, blocks none.
func (s *Scheduler) dispatchQueue(now time.Time, target string, q *queue) {
	// Each refusal gets its own jitter, so that callers don't all retry at the same time.
	for len(q.items) > 0 {
		err := s.refuseUnservable(now, target)
		if err == nil {
			break
		}
		s.refuseItem(q, 0, err)
	}
	s.refuseBeforeStop(now, q)
	if len(q.items) == 0 {
		return
	}
	s.reorder(now, q)
	s.collectCandidates(now, target)
	blocked := false
	var blockedLevel level
	for i := 0; i < len(q.items); {
		it := q.items[i]
		if now.After(it.latestStart) {
			s.refuseExpired(q, i)
			continue
		}
		if blocked && !it.req.Urgent() && !it.goesPast(blockedLevel) {
			// The blocked requests, too, are refused when they become hopeless.
			if err := s.refuseBlocked(now, q, it, i); err != nil {
				s.refuseItem(q, i, err)
				continue
			}
			i++
			continue
		}
		if !s.inFlight.Allows(limitKey(&it.req), it.req.Row.MaxInFlight) {
			i++
			continue
		}
		if err := s.refuseWaiting(now, q, it, i); err != nil {
			s.refuseItem(q, i, err)
			continue
		}
		var e *endpoint
		if !it.tryDeferred(now) {
			e = s.chooseEndpoint(now, it)
		}
		if e == nil && s.isIsolated(it) {
			i++
			continue
		}
		if e == nil {
			if !it.tryDeferred(now) {
				s.deferTry(now, it)
			}
			s.saturatedAt = now
			if !it.req.Urgent() {
				// It was not blocked itself, so that its level is the highest that is.
				blocked, blockedLevel = true, it.fair.level
			}
			i++
			continue
		}
		q.removeAt(i)
		q.countDrained(it.cost)
		s.chargeShare(q, it)
		s.dispatch(now, it, e)
	}
}

func (s *Scheduler) refuseExpired(q *queue, i int) {
	wait, _ := q.expectedWait(q.cost)
	s.refuseItem(q, i, s.refusal(outcome.CodeQueueTimeExceeded, wait, "waited for %v", q.items[i].req.Row.MaxQueueTime))
}

func (s *Scheduler) refuseItem(q *queue, i int, err *outcome.Error) {
	it := q.items[i]
	q.removeAt(i)
	s.queued.Release(limitKey(&it.req))
	s.statsOf(&it.req).Refused++
	s.actions.Refusals = append(s.actions.Refusals, Refusal{it.req.ID, err})
	s.freeItem(it)
}

// refuseUnfinishable returns the error for a request that isn't expected to finish before its
// timeout, so that its memory is free for one that can finish; nil otherwise.
func (s *Scheduler) refuseUnfinishable(now time.Time, it *item) *outcome.Error {
	if it.req.PromptTokens == 0 || s.cfg.DisableTimeoutRefusals {
		return nil
	}
	remaining := it.req.ArrivedAt.Add(it.req.Row.Timeout).Sub(now)
	needed := time.Duration(s.expectedSteps(&it.req) * s.meanInterTokenLatency(now) * float64(time.Second))
	if needed <= remaining {
		return nil
	}
	return s.refusal(outcome.CodeDeadlineUnreachable, minRetryAfter, "about %v are needed, %v are left",
		needed.Round(time.Second), remaining.Round(time.Second))
}

// interTokenLatencyRefresh is the interval at which the mean inter-token latency is recomputed.
const interTokenLatencyRefresh = 200 * time.Millisecond

// meanInterTokenLatency returns the mean inter-token latency over the endpoints in seconds, at
// most interTokenLatencyRefresh old.
func (s *Scheduler) meanInterTokenLatency(now time.Time) float64 {
	if s.cachedInterTokenLatency == 0 || now.Sub(s.cachedInterTokenLatencyAt) >= interTokenLatencyRefresh {
		s.cachedInterTokenLatency = s.computeInterTokenLatency()
		s.cachedInterTokenLatencyAt = now
	}
	return s.cachedInterTokenLatency
}

func (s *Scheduler) computeInterTokenLatency() float64 {
	sum, n := 0.0, 0
	for _, e := range s.endpoints {
		if e.interTokenLatency > 0 {
			sum += e.interTokenLatency
			n++
		}
	}
	if n == 0 {
		return defaultInterTokenLatency.Seconds()
	}
	return sum / float64(n)
}

func (s *Scheduler) dispatch(now time.Time, it *item, e *endpoint) {
	if e.leaving {
		invariant.Check(false, invariant.NoNewWorkOnLeaving, "dispatch to %s", e.spec.ID)
	}
	s.throttledCapacityAt = time.Time{}
	s.queued.Release(limitKey(&it.req))
	s.inFlight.Acquire(limitKey(&it.req), it.req.Row.MaxInFlight)
	it.endpoint = e
	it.sentAt = now
	it.generated = 0
	it.lastTokenAt = time.Time{}
	it.moved = false
	it.lengthTracker = s.estimator.Start(lengthKey(&it.req))
	s.recordStats(now, it, e)
	e.addProjection(it, 1)
	e.ownRunning++
	s.recordServiceDispatch(it, e)
	s.recordPromptSent(now, it, e)
	it.prefillPending = true
	e.ownPendingPrefill += float64(it.req.PromptTokens)
	s.recordDispatch(now, e)
	s.running[it.req.ID] = it
	s.refreshCandidate(now, e)
	s.actions.Dispatches = append(s.actions.Dispatches, Dispatch{it.req.ID, e.spec, it.expectedLatency})
}

// refreshCandidate updates the candidates after a dispatch to an endpoint. Otherwise a half-open
// breaker, of the endpoint or of its data centre, would let a second probe through in the same
// call of dispatchQueue.
func (s *Scheduler) refreshCandidate(now time.Time, e *endpoint) {
	for i := range s.candidates {
		c := &s.candidates[i]
		c.BreakerOpen = !s.accepts(now, s.endpoints[c.Index])
		if c.Index == e.index {
			c.PrefillBacklog = s.prefillBacklog(now, e)
		}
	}
}
