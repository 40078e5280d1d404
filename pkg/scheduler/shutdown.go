package scheduler

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// Condition handled here: the entry is about to stop. A request that isn't expected to end before is
// refused at once, so that its caller can go to another entry while it still has time.

// SetStopAt sets when the entry ends the requests that it still has.
func (s *Scheduler) SetStopAt(at time.Time) { s.stopAt = at }

// refuseBeforeStop refuses the waiting requests of a queue that aren't expected to end before the entry
// stops.
func (s *Scheduler) refuseBeforeStop(now time.Time, q *queue) {
	if s.stopAt.IsZero() {
		return
	}
	costAhead := 0.0
	for i := 0; i < len(q.items); {
		if err := s.endsAfterStop(now, q, q.items[i], costAhead); err != nil {
			s.refuseItem(q, i, err)
			continue
		}
		costAhead += q.items[i].cost
		i++
	}
}

// endsAfterStop returns the error for a request that isn't expected to end before the entry stops, or
// nil. costAhead is the cost of the requests before it in the queue.
func (s *Scheduler) endsAfterStop(now time.Time, q *queue, it *item, costAhead float64) *outcome.Error {
	if s.stopAt.IsZero() {
		return nil
	}
	wait, _ := q.expectedWait(costAhead)
	if end := now.Add(wait + s.expectedRunTime(now, &it.req)); end.After(s.stopAt) {
		return outcome.Stopping()
	}
	return nil
}

// expectedRunTime returns the expected time from the dispatch of a request to the end of its answer;
// zero if it is unknown.
func (s *Scheduler) expectedRunTime(now time.Time, r *Request) time.Duration {
	if mean, ok := s.meanRunTimes[r.Kind]; ok {
		return mean
	}
	if r.PromptTokens == 0 {
		return 0
	}
	return time.Duration(s.expectedSteps(r) * s.meanInterTokenLatency(now) * float64(time.Second))
}
