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
	if s.target(r.Row.Target).size() == 0 {
		return s.refusal(outcome.CodeNoEndpoint, minRetryAfter, "no endpoint answers for %q", r.Row.Target)
	}
	if err := s.unservable(now, r.Row.Target); err != nil {
		return err
	}
	if err := s.outsideRegions(&r); err != nil {
		return err
	}
	if !s.queued.Allows(limitKey(&r), max(r.Row.MaxQueued, 1)) {
		wait, _ := q.wait(q.cost)
		return s.refusal(outcome.CodeQueueFull, wait, "%d requests of this kind wait already", r.Row.MaxQueued)
	}
	it := s.newItem(r)
	if err := s.tooLate(now, it); err != nil {
		s.release(it)
		return err
	}
	q.place(it, s.cfg.OrderByValuePerCost)
	if err := cmp.Or(s.withheld(now, it, q.before(it)), s.admitToQueue(now, q, it)); err != nil {
		s.release(it)
		return err
	}
	q.insert(it)
	s.queued.Acquire(limitKey(&r), r.Row.MaxQueued)
	return nil
}

func (s *Scheduler) newItem(r Request) *item {
	it := s.take()
	*it = item{req: r, startBy: s.startBy(&r)}
	if r.PromptTokens > 0 {
		it.projection = s.estimator.Project(lengthKey(&r), r.PromptTokens, 0).Bound(0, r.MaxTokens)
		it.cost = s.cost(&r)
	} else {
		it.cost = 1
	}
	return it
}

// take and release keep items for reuse.
func (s *Scheduler) take() *item {
	n := len(s.free)
	if n == 0 {
		return &item{}
	}
	it := s.free[n-1]
	s.free = s.free[:n-1]
	return it
}

// maxFree bounds the items kept for reuse.
const maxFree = 1024

func (s *Scheduler) release(it *item) {
	if len(s.free) < maxFree {
		s.free = append(s.free, it)
	}
}

// steps is the expected length of the output.
func (s *Scheduler) steps(r *Request) float64 {
	steps := s.estimator.Remaining(lengthKey(r), 0)
	if r.MaxTokens > 0 {
		steps = min(steps, float64(r.MaxTokens))
	}
	return steps
}

// cost is the memory that the request holds, summed over its steps.
func (s *Scheduler) cost(r *Request) float64 {
	steps := s.steps(r)
	return steps * (float64(r.PromptTokens) + steps/2)
}

// admitToQueue refuses a request that could not start in time, unless waiting
// ones that are worth less make way for it.
func (s *Scheduler) admitToQueue(now time.Time, q *queue, it *item) *outcome.Error {
	left := it.startBy.Sub(now)
	wait, known := q.wait(q.ahead(it))
	if !known || wait <= left || s.cfg.DisableDeadlineRefusals {
		return nil
	}
	if s.displace(q, it, left) {
		return nil
	}
	return s.refusal(outcome.CodeDeadlineUnreachable, wait-left, "the wait would be %v, allowed are %v",
		wait.Round(time.Millisecond), it.req.Row.MaxQueueTime)
}

// displace makes room before a request by refusing waiting ones of less worth
// per cost, the least first. It does so only if that suffices.
func (s *Scheduler) displace(q *queue, it *item, left time.Duration) bool {
	var victims []*item
	for _, other := range q.items {
		if other.before(it) && other.density()*s.cfg.DisplaceRatio < it.density() {
			victims = append(victims, other)
		}
	}
	slices.SortFunc(victims, func(a, b *item) int { return cmp.Compare(a.density(), b.density()) })
	ahead := q.ahead(it)
	count := 0
	for _, v := range victims {
		if wait, _ := q.wait(ahead); wait <= left {
			break
		}
		ahead -= v.cost
		count++
	}
	if wait, _ := q.wait(ahead); wait > left {
		return false
	}
	for _, v := range victims[:count] {
		q.remove(v.req.ID)
		s.queued.Release(limitKey(&v.req))
		wait, _ := q.wait(q.cost)
		err := s.refusal(outcome.CodeDeadlineUnreachable, wait, "requests of more worth wait")
		s.displaced = append(s.displaced, Refusal{v.req.ID, err})
		s.release(v)
	}
	return true
}

func (s *Scheduler) refusal(code outcome.Code, wait time.Duration, format string, args ...any) *outcome.Error {
	after := min(max(wait, minRetryAfter), maxRetryAfter)
	spread := 1 + retryAfterJitter*s.cfg.Rand.Float64()
	return outcome.NotRunf(code, format, args...).WithRetryAfter(time.Duration(float64(after) * spread))
}

// Cancel implements Policy.
func (s *Scheduler) Cancel(_ time.Time, id ID) bool {
	for _, q := range s.queues {
		if it := q.remove(id); it != nil {
			s.queued.Release(limitKey(&it.req))
			s.release(it)
			return true
		}
	}
	return false
}
