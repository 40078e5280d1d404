package scheduler

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// Condition handled here: the entry is about to stop. A request that may not end before is refused at once, so that its
// caller can go to another entry while it still has time: a refusal costs it one more try, and an answer that the end of
// the entry cuts costs it all of the time that it has waited, and a request that mustn't run again is lost. So what counts
// is not the mean run time, which about half of the requests exceed.

// SetStopAt sets when the entry ends the requests that it still has.
func (s *Scheduler) SetStopAt(at time.Time) { s.stopAt = at }

// refuseBeforeStop refuses the waiting requests of a queue that may not end before the entry stops.
func (s *Scheduler) refuseBeforeStop(now time.Time, q *queue) {
	if s.stopAt.IsZero() {
		return
	}
	costAhead := 0.0
	for i := 0; i < len(q.items); {
		if err := s.endsAfterStop(now, &q.items[i].req, q, costAhead); err != nil {
			s.refuseItem(q, i, err)
			continue
		}
		costAhead += q.items[i].cost
		i++
	}
}

// EndsAfterStop returns the error for a request that would be sent now and may not end before the entry stops, or nil.
func (s *Scheduler) EndsAfterStop(now time.Time, r Request) *outcome.Error {
	return s.endsAfterStop(now, &r, s.queue(r.Row.Target), 0)
}

// endsAfterStop returns the error for a request that may not end before the entry stops, or nil. costAhead is the cost of
// the requests before it in the queue.
func (s *Scheduler) endsAfterStop(now time.Time, r *Request, q *queue, costAhead float64) *outcome.Error {
	if s.stopAt.IsZero() || !r.deadline().After(s.stopAt) {
		return nil
	}
	wait, _ := q.expectedWait(costAhead)
	if runTime, known := s.longRunTime(now, r); known && !now.Add(wait+runTime).After(s.stopAt) {
		return nil
	}
	return outcome.Stopping()
}
