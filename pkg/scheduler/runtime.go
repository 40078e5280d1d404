package scheduler

import "time"

// The load that this file answers: requests that wait while places or memory are short.
// A fixed part of the timeout as the longest wait would refuse quick requests that could
// still be answered, and hold long ones that can't.

// runTimeSmoothing is the weight of one request in the learnt time of its kind.
const runTimeSmoothing = 0.1

// maxRunTimes bounds the kinds that a time is kept of; beyond it all are learnt anew.
const maxRunTimes = 4096

// ran learns how long a request took from its sending to the end of its answer.
func (s *Scheduler) ran(now time.Time, it *item) {
	if !s.cfg.LimitWaitByRunTime {
		return
	}
	took := now.Sub(it.sentAt)
	known, ok := s.runTimes[it.req.Kind]
	if !ok {
		if len(s.runTimes) >= maxRunTimes {
			clear(s.runTimes)
		}
		s.runTimes[it.req.Kind] = took
		return
	}
	s.runTimes[it.req.Kind] = known + time.Duration(runTimeSmoothing*float64(took-known))
}

// startBy is the latest time at which a request may start: its row's longest wait after
// its arrival, and early enough to end before its timeout.
func (s *Scheduler) startBy(r *Request) time.Time {
	wait := r.Row.MaxQueueTime
	if s.cfg.LimitWaitByRunTime && r.Row.Timeout > 0 {
		wait = min(wait, max(r.Row.Timeout-s.runTimes[r.Kind], 0))
	}
	return r.Arrived.Add(wait)
}
