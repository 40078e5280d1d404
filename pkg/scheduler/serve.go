package scheduler

import (
	"cmp"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/invariant"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// Next implements Policy.
func (s *Scheduler) Next(now time.Time) Actions {
	s.actions.Dispatches = s.actions.Dispatches[:0]
	s.actions.Refusals = append(s.actions.Refusals[:0], s.displaced...)
	s.displaced = s.displaced[:0]
	for target, q := range s.queues {
		if q.rate.measure(now, len(q.items) > 0, s.cfg.DrainRateSmoothing, s.cfg.DrainRateWarmUp) && s.cfg.RecomputeCosts {
			s.recost(q)
		}
		if len(q.items) > 0 {
			s.serve(now, target, q)
		}
	}
	return s.actions
}

// recost makes the costs and projections of waiting requests anew.
func (s *Scheduler) recost(q *queue) {
	q.cost = 0
	for _, it := range q.items {
		if it.req.PromptTokens > 0 {
			it.projection = s.estimator.Project(lengthKey(&it.req), it.req.PromptTokens, 0).Bound(0, it.req.MaxTokens)
			it.cost = s.cost(&it.req)
		}
		q.cost += it.cost
	}
}

// serve goes through one queue in order. A request that doesn't fit holds back
// those behind it that are not urgent; one over its own limit holds back none.
func (s *Scheduler) serve(now time.Time, target string, q *queue) {
	// Each refusal is made anew, so that callers don't all come back at once.
	for len(q.items) > 0 {
		err := s.unservable(now, target)
		if err == nil {
			break
		}
		s.drop(q, 0, err)
	}
	if len(q.items) == 0 {
		return
	}
	s.collectCandidates(now, target)
	held := false
	for i := 0; i < len(q.items); {
		it := q.items[i]
		if now.After(it.startBy) {
			s.expire(q, i)
			continue
		}
		if held && !it.req.Urgent() {
			i++
			continue
		}
		if !s.inFlight.Allows(limitKey(&it.req), it.req.Row.MaxInFlight) {
			i++
			continue
		}
		if err := cmp.Or(s.hopeless(now, it), s.tooLate(now, it), s.withheld(now, it, i)); err != nil {
			s.drop(q, i, err)
			continue
		}
		e := s.chooseEndpoint(now, it)
		if e == nil && s.isIsolated(it) {
			i++
			continue
		}
		if e == nil {
			s.pressedAt = now
			held = held || !it.req.Urgent()
			i++
			continue
		}
		q.removeAt(i)
		q.drain(it.cost)
		s.dispatch(now, it, e)
	}
}

func (s *Scheduler) expire(q *queue, i int) {
	wait, _ := q.wait(q.cost)
	s.drop(q, i, s.refusal(outcome.CodeQueueTimeExceeded, wait, "waited for %v", q.items[i].req.Row.MaxQueueTime))
}

func (s *Scheduler) drop(q *queue, i int, err *outcome.Error) {
	it := q.items[i]
	q.removeAt(i)
	s.queued.Release(limitKey(&it.req))
	s.actions.Refusals = append(s.actions.Refusals, Refusal{it.req.ID, err})
	s.release(it)
}

// hopeless refuses a request that can't be expected to finish before its
// timeout, so that its room serves one that can.
func (s *Scheduler) hopeless(now time.Time, it *item) *outcome.Error {
	if it.req.PromptTokens == 0 || s.cfg.DisableTimeoutRefusals {
		return nil
	}
	left := it.req.Arrived.Add(it.req.Row.Timeout).Sub(now)
	need := time.Duration(s.steps(&it.req) * s.typicalGap(now) * float64(time.Second))
	if need <= left {
		return nil
	}
	return s.refusal(outcome.CodeDeadlineUnreachable, minRetryAfter, "about %v are needed, %v are left",
		need.Round(time.Second), left.Round(time.Second))
}

// gapEvery is how often the typical gap is computed anew.
const gapEvery = 200 * time.Millisecond

// typicalGap is the mean time between tokens over the endpoints, in seconds.
func (s *Scheduler) typicalGap(now time.Time) float64 {
	if s.gap == 0 || now.Sub(s.gapAt) >= gapEvery {
		s.gap = s.meanGap()
		s.gapAt = now
	}
	return s.gap
}

func (s *Scheduler) meanGap() float64 {
	sum, n := 0.0, 0
	for _, e := range s.endpoints {
		if e.tokenGap > 0 {
			sum += e.tokenGap
			n++
		}
	}
	if n == 0 {
		return defaultTokenGap.Seconds()
	}
	return sum / float64(n)
}

func (s *Scheduler) dispatch(now time.Time, it *item, e *endpoint) {
	if e.leaving {
		invariant.Check(false, invariant.NoNewWorkOnLeaving, "dispatch to %s", e.spec.ID)
	}
	s.queued.Release(limitKey(&it.req))
	s.inFlight.Acquire(limitKey(&it.req), it.req.Row.MaxInFlight)
	it.endpoint = e
	it.sentAt = now
	it.generated = 0
	it.lastToken = time.Time{}
	it.run = s.estimator.Start(lengthKey(&it.req))
	e.addProjection(it, 1)
	e.ownRunning++
	s.noteSend(now, it, e)
	it.unread = true
	e.ownPendingPrefill += float64(it.req.PromptTokens)
	s.sentTo(now, e)
	s.running[it.req.ID] = it
	s.refreshCandidate(now, e)
	s.actions.Dispatches = append(s.actions.Dispatches, Dispatch{it.req.ID, e.spec})
}

// refreshCandidate keeps a half-open breaker, of the endpoint or of its data centre,
// from letting a second probe through in the same round.
func (s *Scheduler) refreshCandidate(now time.Time, e *endpoint) {
	for i := range s.candidates {
		c := &s.candidates[i]
		c.BreakerOpen = !s.takes(now, s.endpoints[c.Index])
		if c.Index == e.index {
			c.PrefillBacklog = s.prefillBacklog(now, e)
		}
	}
}
