package scheduler

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/backpressure"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// Overload handled here: more requests arrive than a known rate admits, be it a limit that an
// endpoint names, a cold endpoint, a pause, slots, or the engines' prefill. One endpoint that
// advertises 6 requests a second and was offered more got the callers' requests refused after their
// whole time of 4 s (206 of 215), too late for another try. Here every source of a rate fills a
// startForecast, and one decision compares it with the time that the request has: on arrival, and
// again while it waits.

// rateSource names what limits the rate at which requests start.
type rateSource string

const (
	rateOfLimits  rateSource = "limits, pauses and cold starts"
	rateOfSlots   rateSource = "slots and memory"
	rateOfPrefill rateSource = "prefill"
)

// startForecast is when a request is expected to start.
type startForecast struct {
	source rateSource
	// perSecond is the rate of the source, in requests a second of this entry; zero if this entry
	// has no share of it, or if the rate isn't one of requests.
	perSecond float64
	// ahead counts the requests of this entry that start before.
	ahead int
	// start is the expected time until the start, and available the time that is left for it.
	start, available time.Duration
	// untilRoom is the time until a request that arrives then is expected to start in time.
	untilRoom time.Duration
}

// hopeless reports whether the request is expected to start too late.
func (f startForecast) hopeless() bool { return f.start > f.available }

const (
	// admissionReserve is kept between the expected start and the objective on arrival: two
	// intervals between calls of Next, by which a start may be later than expected.
	admissionReserve = 2 * maxDispatchDelay
	// waitingTolerance is the factor of its objective within which a waiting request has to start.
	// It has already waited for its place; another try would lose it and wait as long again.
	waitingTolerance = 1.5
	// defaultReturnRate is the rate in requests a second at which refused callers are told to
	// return while no rate of requests is known.
	defaultReturnRate = 10.0
)

// timeToStart returns the time that a request has until it must have been sent: its longest wait and,
// with an objective, that too. On arrival, each request ahead may be dispatched later than it could be
// by maxDispatchDelay. Starting after the objective takes the place of a request that can still be in time.
func (s *Scheduler) timeToStart(now time.Time, it *item, ahead int, waiting bool) time.Duration {
	left := it.latestStart.Sub(now)
	if !waiting {
		left -= time.Duration(ahead+1) * maxDispatchDelay
	}
	if objective := it.req.Row.Objective; objective > 0 && !it.urgentPrompt() {
		if waiting {
			objective = time.Duration(waitingTolerance * float64(objective))
		} else {
			objective -= min(admissionReserve, objective/2)
		}
		left = min(left, it.req.ArrivedAt.Add(objective).Sub(now))
	}
	return max(left, 0)
}

// urgentPrompt reports whether a request is never refused for being later than its objective.
func (it *item) urgentPrompt() bool { return it.req.Urgent() && it.req.PromptTokens > 0 }

// forecastLimits predicts the start from the limits and pauses that endpoints have named, and from
// cold endpoints. It is unknown unless all endpoints that may serve the request are throttled.
func (s *Scheduler) forecastLimits(now time.Time, it *item, ahead int, waiting bool) (startForecast, bool) {
	if s.backpressure.Idle() && !now.Before(s.coldUntil) {
		return startForecast{}, false
	}
	capacity := s.throttledCapacity(now, it)
	if capacity.Empty() || capacity.Unlimited {
		return startForecast{}, false
	}
	f := startForecast{source: rateOfLimits, perSecond: capacity.PerSecond(), ahead: ahead, available: s.timeToStart(now, it, ahead, waiting)}
	f.start = capacity.WaitTime(ahead)
	if !capacity.AvailableWithin(maxExpectedWait, ahead) {
		// This entry has no share; WaitTime returned when another entry may have room.
		f.untilRoom = f.start
		f.start = maxExpectedWait
		f.perSecond = 1 / max(f.untilRoom.Seconds(), minRetryAfter.Seconds())
		return f, true
	}
	f.untilRoom = f.start
	return f, true
}

// throttledCapacity sums what the endpoints that may serve a request accept from this entry.
func (s *Scheduler) throttledCapacity(now time.Time, it *item) backpressure.Capacity {
	if it.req.regionRestricted() {
		return s.sumCapacity(now, it)
	}
	if !s.throttledCapacityAt.Equal(now) || s.cachedCapacityTarget != it.req.Row.Target {
		s.cachedCapacity, s.cachedCapacityTarget, s.throttledCapacityAt = s.sumCapacity(now, it), it.req.Row.Target, now
	}
	return s.cachedCapacity
}

func (s *Scheduler) sumCapacity(now time.Time, it *item) backpressure.Capacity {
	var capacity backpressure.Capacity
	for e := range s.notLeaving(it.req.Row.Target) {
		if capacity.Unlimited {
			break
		}
		if !it.req.allowsEndpoint(e) || s.presumedUnavailable(now, e) {
			continue
		}
		if e.spec.ColdLimit.RequestsPerSecond > 0 && now.Before(e.coldUntil) && s.backpressure.Accepts(now, e.spec) {
			share := float64(s.coldRateShare(e))
			capacity.AddRate(share-float64(len(e.coldSendTimes)), share, e.spec.ColdLimit.RequestsPerSecond, e.coldUntil.Sub(now))
			continue
		}
		s.backpressure.AddCapacity(now, &capacity, e.spec)
	}
	return capacity
}

// forecastQueue predicts the start from the rate at which requests have left the queue, which slots
// and memory limit. Urgent prompts are sent late rather than refused.
func (s *Scheduler) forecastQueue(now time.Time, q *queue, it *item) (startForecast, bool) {
	if s.cfg.DisableDeadlineRefusals || it.urgentPrompt() {
		return startForecast{}, false
	}
	wait, known := q.expectedWait(q.costAhead(it))
	if !known {
		return startForecast{}, false
	}
	f := startForecast{source: rateOfSlots, start: wait, available: max(it.latestStart.Sub(now), 0)}
	if rate, ok := q.drainRate.perSecond(); ok {
		f.perSecond = rate / max(it.cost, 1)
	}
	f.untilRoom = f.start - f.available
	return f, true
}

// forecastPrefill predicts the first token at the engine that starts it first.
func (s *Scheduler) forecastPrefill(now time.Time, it *item) (startForecast, bool) {
	if !s.mustStartInTime(it) || it.req.Urgent() {
		return startForecast{}, false
	}
	earliest, known := s.earliestTTFT(now, it)
	if !known {
		return startForecast{}, false
	}
	f := startForecast{source: rateOfPrefill, start: earliest + startMargin}
	f.available = s.ttftLimit(now, it) - now.Sub(it.req.ArrivedAt) - s.reservedForOthers(now, it)
	f.untilRoom = f.start - f.available
	return f, true
}

// admit returns the error for a request that can't be started before its time limit, or later than
// another try would give; nil otherwise. ahead counts the requests that are queued before it, and
// waiting is set once the request has been admitted to the queue.
func (s *Scheduler) admit(now time.Time, q *queue, it *item, ahead int, waiting bool) *outcome.Error {
	var worst startForecast
	consider := func(f startForecast, known bool) {
		if known && f.hopeless() && (worst.source == "" || f.untilRoom > worst.untilRoom) {
			worst = f
		}
	}
	consider(s.forecastLimits(now, it, ahead, waiting))
	consider(s.forecastPrefill(now, it))
	if !waiting {
		consider(s.forecastQueue(now, q, it))
	}
	if worst.source == "" {
		return nil
	}
	s.saturatedAt = now
	code := outcome.CodeDeadlineUnreachable
	if worst.source == rateOfLimits {
		code = outcome.CodeEndpointsThrottling
	}
	return s.refusal(code, q.returnDelay(now, worst, it.req.Row.Timeout), "%s: %.3g requests a second, %d ahead, start expected after %v, %v left",
		worst.source, worst.perSecond, worst.ahead, worst.start.Round(time.Millisecond), worst.available.Round(time.Millisecond))
}

// returnDelay returns the delay after which a refused caller is told to return: when room comes, and
// after the callers that have been told before, which return at the rate at which requests start. It
// rises up to the timeout, after which those callers have given up.
func (q *queue) returnDelay(now time.Time, f startForecast, timeout time.Duration) time.Duration {
	rate := f.perSecond
	if rate <= 0 {
		rate = defaultReturnRate
	}
	interval := time.Duration(float64(time.Second) / rate)
	at := now.Add(max(f.untilRoom, interval))
	if q.nextReturn.After(at) {
		at = q.nextReturn
	}
	longest := maxRetryAfter
	if timeout > 0 {
		longest = min(longest, max(timeout, f.untilRoom))
	}
	if latest := now.Add(longest); at.After(latest) {
		at = latest
	}
	q.nextReturn = at.Add(interval)
	return at.Sub(now)
}
