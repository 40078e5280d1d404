package scheduler

import "time"

// Condition handled here: requests wait because slots or memory are short. If the longest wait
// were a fixed fraction of the timeout, short requests that could still be answered would be
// refused, and long ones that can't be answered any more would be kept waiting. So the longest
// wait also depends on how long requests of the kind run.

// runTimeSmoothing is the weight of one request in the mean run time of its kind.
const runTimeSmoothing = 0.1

// maxRunTimeKinds is the maximum number of kinds with a mean run time. When it would be exceeded,
// all means are discarded and learned again.
const maxRunTimeKinds = 4096

// learnRunTime adds the time from the dispatch of a request to the end of its answer to the mean
// of its kind.
func (s *Scheduler) learnRunTime(now time.Time, it *item) {
	if !s.cfg.LimitWaitByRunTime {
		return
	}
	runTime := now.Sub(it.sentAt)
	mean, ok := s.meanRunTimes[it.req.Kind]
	if !ok {
		if len(s.meanRunTimes) >= maxRunTimeKinds {
			clear(s.meanRunTimes)
		}
		s.meanRunTimes[it.req.Kind] = runTime
		return
	}
	s.meanRunTimes[it.req.Kind] = mean + time.Duration(runTimeSmoothing*float64(runTime-mean))
}

// latestStart returns the latest time at which a request may start: at most its row's longest wait
// after its arrival, and early enough that it is expected to end before its timeout.
func (s *Scheduler) latestStart(r *Request) time.Time {
	wait := r.Row.MaxQueueTime
	if s.cfg.LimitWaitByRunTime && r.Row.Timeout > 0 {
		wait = min(wait, max(r.Row.Timeout-s.meanRunTimes[r.Kind], 0))
	}
	return r.ArrivedAt.Add(wait)
}
