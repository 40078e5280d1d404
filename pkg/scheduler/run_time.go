package scheduler

import "time"

// Condition handled here: requests wait because slots or memory are short. If the longest wait
// were a fixed fraction of the timeout, short requests that could still be answered would be
// refused, and long ones that can't be answered any more would be kept waiting. So the longest
// wait also depends on how long requests of the kind run.

// runTimeSmoothing is the weight of one request in the mean run time of its kind, and in the mean deviation.
const runTimeSmoothing = 0.1

const (
	// longRunDeviations is how many mean deviations a long run time lies above the mean, and firstDeviation the
	// deviation after one request, as a fraction of its run time: both as in the retransmission timeout of TCP
	// (RFC 6298). Of logarithmically normal run times with a standard deviation of 1, 3 % are longer.
	longRunDeviations = 4
	firstDeviation    = 0.5
	// longGenerationFactor is by how much a long generation exceeds the expected length, and longPaceFactor by how much
	// the time between its tokens may exceed the present mean.
	longGenerationFactor = 3
	longPaceFactor       = 1.5
)

// maxRunTimeKinds is the maximum number of kinds with a mean run time. When it would be exceeded,
// all are discarded and learned again.
const maxRunTimeKinds = 4096

// runTimes are the run times of the requests of one kind.
type runTimes struct {
	count           int
	mean, deviation time.Duration
}

// add adds a run time. Each of the first has the same weight.
func (t runTimes) add(runTime time.Duration) runTimes {
	if t.count == 0 {
		return runTimes{1, runTime, time.Duration(firstDeviation * float64(runTime))}
	}
	t.count++
	weight := max(runTimeSmoothing, 1/float64(t.count))
	t.deviation += time.Duration(weight * float64((runTime-t.mean).Abs()-t.deviation))
	t.mean += time.Duration(weight * float64(runTime-t.mean))
	return t
}

// long returns a run time that few exceed.
func (t runTimes) long() time.Duration { return t.mean + longRunDeviations*t.deviation }

// learnRunTime adds the time from the dispatch of a request to the end of its answer to those of its kind.
func (s *Scheduler) learnRunTime(now time.Time, it *item) {
	runTime := now.Sub(it.sentAt)
	if len(s.runTimes) >= maxRunTimeKinds && s.runTimes[it.req.Kind].count == 0 {
		clear(s.runTimes)
	}
	s.runTimes[it.req.Kind] = s.runTimes[it.req.Kind].add(runTime)
	if !s.cfg.LimitWaitByRunTime {
		return
	}
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

// longRunTime returns a time from the dispatch of a request to the end of its answer that few of its kind and size exceed;
// false if nothing is known.
func (s *Scheduler) longRunTime(now time.Time, r *Request) (time.Duration, bool) {
	ofKind := s.runTimes[r.Kind]
	ofSize, sized := s.longGeneration(now, r)
	switch {
	case ofKind.count > 0 && sized:
		return min(ofKind.long(), ofSize), true
	case ofKind.count > 0:
		return ofKind.long(), true
	default:
		return ofSize, sized
	}
}

// longGeneration is longRunTime by the size of a generation alone.
func (s *Scheduler) longGeneration(now time.Time, r *Request) (time.Duration, bool) {
	if r.PromptTokens == 0 {
		return 0, false
	}
	start, known := time.Duration(0), false
	if s.cfg.PrefillRate > 0 {
		start, known = s.earliestTTFT(now, &item{req: *r})
	}
	if !known {
		start = r.Row.Objective
	}
	steps := float64(r.MaxTokens)
	if r.MaxTokens == 0 {
		steps = longGenerationFactor * s.expectedSteps(r)
	}
	return start + time.Duration(longPaceFactor*steps*s.meanInterTokenLatency(now)*float64(time.Second)), true
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
