package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// Submit implements Policy.
func (s *Scheduler) Submit(now time.Time, r Request) *outcome.Error {
	q := s.queue(r.Row.Target)
	s.recordDemand(now, q, &r)
	if s.target(r.Row.Target).endpointCount() == 0 {
		return s.refusal(outcome.CodeNoEndpoint, minRetryAfter, "no endpoint answers for %q", r.Row.Target)
	}
	if err := s.refuseUnservable(now, r.Row.Target); err != nil {
		return err
	}
	if err := s.refuseOutsideRegions(&r); err != nil {
		return err
	}
	if !s.queued.Allows(limitKey(&r), max(r.Row.MaxQueued, 1)) {
		wait, _ := q.expectedWait(q.cost)
		return s.refusal(outcome.CodeQueueFull, wait, "%d requests of this kind wait already", r.Row.MaxQueued)
	}
	it := s.newItem(r)
	q.setOrder(it, s.cfg.OrderByValuePerCost)
	s.setFairOrder(now, q, it)
	if err := s.refuseOnArrival(now, q, it); err != nil {
		s.statsOf(&it.req).Refused++
		s.freeItem(it)
		return err
	}
	q.insert(it)
	s.queued.Acquire(limitKey(&r), r.Row.MaxQueued)
	return nil
}

// refuseOnArrival returns the error for a request that isn't admitted to the queue, or nil.
func (s *Scheduler) refuseOnArrival(now time.Time, q *queue, it *item) *outcome.Error {
	if err := s.endsAfterStop(now, &it.req, q, q.costAhead(it)); err != nil {
		return err
	}
	if s.refusesByForecast(q) {
		return s.admit(now, q, it, q.position(it), false)
	}
	return cmp.Or(s.refuseLateStart(now, it), s.refuseThrottled(now, it, q.position(it)), s.admitToQueue(now, q, it))
}

// refuseWaiting returns the error for a waiting request that can't be started usefully any more, or
// nil. ahead counts the requests before it in the queue.
func (s *Scheduler) refuseWaiting(now time.Time, q *queue, it *item, ahead int) *outcome.Error {
	if s.refusesByForecast(q) {
		return cmp.Or(s.refuseUnfinishable(now, it), s.admit(now, q, it, ahead, true))
	}
	return cmp.Or(s.refuseUnfinishable(now, it), s.refuseLateStart(now, it), s.refuseThrottled(now, it, ahead))
}

// refuseBlocked is refuseWaiting for a request behind one that no endpoint has room for. Without
// Config.RefuseByForecast such requests wait until their turn.
func (s *Scheduler) refuseBlocked(now time.Time, q *queue, it *item, ahead int) *outcome.Error {
	if !s.refusesByForecast(q) {
		return nil
	}
	return s.admit(now, q, it, ahead, true)
}

func (s *Scheduler) newItem(r Request) *item {
	it := s.allocItem()
	*it = item{req: r, latestStart: s.latestStart(&r)}
	if r.PromptTokens > 0 {
		it.projection = s.estimator.Project(lengthKey(&r), r.PromptTokens, 0).Bound(0, r.MaxTokens)
		it.cost = s.expectedCost(&r)
	} else {
		it.cost = 1
	}
	return it
}

// allocItem and freeItem reuse items to avoid allocations.
func (s *Scheduler) allocItem() *item {
	n := len(s.freeItems)
	if n == 0 {
		return &item{}
	}
	it := s.freeItems[n-1]
	s.freeItems = s.freeItems[:n-1]
	return it
}

// maxFreeItems is the maximum number of items kept for reuse.
const maxFreeItems = 1024

func (s *Scheduler) freeItem(it *item) {
	if len(s.freeItems) < maxFreeItems {
		s.freeItems = append(s.freeItems, it)
	}
}

// expectedSteps returns the expected length of the output in tokens.
func (s *Scheduler) expectedSteps(r *Request) float64 {
	steps := s.estimator.Remaining(lengthKey(r), 0)
	if r.MaxTokens > 0 {
		steps = min(steps, float64(r.MaxTokens))
	}
	return steps
}

// expectedCost returns the memory in tokens that the request is expected to hold, summed over its
// decode steps. The output grows by one token per step, so half of it is held on average.
func (s *Scheduler) expectedCost(r *Request) float64 {
	steps := s.expectedSteps(r)
	return steps * (float64(r.PromptTokens) + steps/2)
}

// admitToQueue returns the error for a request that isn't expected to start by its latestStart,
// unless it displaces waiting requests of a lower value per cost; nil otherwise.
func (s *Scheduler) admitToQueue(now time.Time, q *queue, it *item) *outcome.Error {
	if s.reservesByDemand(it.req.Row.Target) && it.req.Urgent() {
		// A late answer is worth more to its caller than none.
		return nil
	}
	remaining := it.latestStart.Sub(now)
	wait, known := q.expectedWait(q.costAhead(it))
	if !known || wait <= remaining || s.cfg.DisableDeadlineRefusals {
		return nil
	}
	if s.displace(q, it, remaining) {
		return nil
	}
	return s.refusal(outcome.CodeDeadlineUnreachable, wait-remaining, "the wait would be %v, allowed are %v",
		wait.Round(time.Millisecond), it.req.Row.MaxQueueTime)
}

// displace refuses waiting requests ahead of a request so that it can start within the remaining
// time: those whose value per cost is lower by a factor of more than Config.DisplaceRatio, the
// lowest first. If that isn't enough, it refuses none and returns false.
func (s *Scheduler) displace(q *queue, it *item, remaining time.Duration) bool {
	var victims []*item
	for _, other := range q.items {
		if other.goesBefore(it) && other.valuePerCost()*s.cfg.DisplaceRatio < it.valuePerCost() {
			victims = append(victims, other)
		}
	}
	slices.SortFunc(victims, func(a, b *item) int { return cmp.Compare(a.valuePerCost(), b.valuePerCost()) })
	ahead := q.costAhead(it)
	count := 0
	for _, v := range victims {
		if wait, _ := q.expectedWait(ahead); wait <= remaining {
			break
		}
		ahead -= v.cost
		count++
	}
	if wait, _ := q.expectedWait(ahead); wait > remaining {
		return false
	}
	for _, v := range victims[:count] {
		q.remove(v.req.ID)
		s.queued.Release(limitKey(&v.req))
		wait, _ := q.expectedWait(q.cost)
		err := s.refusal(outcome.CodeDeadlineUnreachable, wait, "requests of more worth wait")
		s.displacedRefusals = append(s.displacedRefusals, Refusal{v.req.ID, err})
		s.freeItem(v)
	}
	return true
}

func (s *Scheduler) refusal(code outcome.Code, wait time.Duration, format string, args ...any) *outcome.Error {
	delay := min(max(wait, minRetryAfter), maxRetryAfter)
	jitter := 1 + retryAfterJitter*s.cfg.Rand.Float64()
	return outcome.NotRunf(code, format, args...).WithRetryAfter(time.Duration(float64(delay) * jitter))
}

// Cancel implements Policy.
func (s *Scheduler) Cancel(_ time.Time, id ID) bool {
	for _, q := range s.queues {
		if it := q.remove(id); it != nil {
			s.queued.Release(limitKey(&it.req))
			s.freeItem(it)
			return true
		}
	}
	return false
}
