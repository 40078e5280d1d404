package scheduler

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// This file limits the request rate of cold endpoints. Endpoints that crashed or whose data
// centre was reopened become available together, cold and with the lowest load of all. A cold
// endpoint can serve a limited number of requests per second from all entries together, and
// crashes well above it. Entries don't coordinate for each request, so each entry gets a
// share of the limit: a whole number of requests per second. With more entries than requests
// per second, some of the entries get one per second, different ones for each endpoint.

// coldWindow is the interval to which the limit of a cold endpoint applies.
const coldWindow = time.Second

// SetRank sets the rank of this entry in the sorted list of entries, from zero, and the number
// of entries. They determine its share of the rate limits of cold endpoints.
func (s *Scheduler) SetRank(rank, entries int) {
	s.entryRank, s.entryCount = rank, max(entries, 1)
}

// updateWarmUp marks the endpoint as cold if its spec in a new endpoint list differs from
// the previous spec, which is zero for a new endpoint: another instance, another warm-up
// time, or a reopened data centre.
func (e *endpoint) updateWarmUp(now time.Time, previous fleet.Endpoint) {
	if previous.WarmUpRemaining != e.spec.WarmUpRemaining || previous.Instance() != e.spec.Instance() {
		e.markCold(now, e.spec.WarmUpRemaining)
	}
	if previous.Closed && !e.spec.Closed {
		e.markCold(now, e.spec.ColdLimit.Duration)
	}
}

// markCold records that the endpoint is cold for a duration from now, unless it is already
// cold for longer.
func (e *endpoint) markCold(now time.Time, duration time.Duration) {
	if until := now.Add(duration); duration > 0 && until.After(e.coldUntil) {
		e.coldUntil = until
	}
}

// noteCold updates the time until which some endpoint is cold.
func (s *Scheduler) noteCold(e *endpoint) {
	if e.spec.ColdLimit.RequestsPerSecond > 0 && e.coldUntil.After(s.coldUntil) {
		s.coldUntil = e.coldUntil
	}
}

// coldLimitAllows reports whether an endpoint is warm or this entry's share of its cold
// limit allows another request now.
func (s *Scheduler) coldLimitAllows(now time.Time, e *endpoint) bool {
	if e.spec.ColdLimit.RequestsPerSecond <= 0 || !now.Before(e.coldUntil) {
		return true
	}
	e.coldSendTimes = slices.DeleteFunc(e.coldSendTimes, func(sentAt time.Time) bool { return now.Sub(sentAt) >= coldWindow })
	return len(e.coldSendTimes) < s.coldRateShare(e)
}

// coldRateShare returns how many requests per second this entry may send to a cold
// endpoint.
func (s *Scheduler) coldRateShare(e *endpoint) int {
	entries := max(s.entryCount, 1)
	perEntry := int(e.spec.ColdLimit.RequestsPerSecond) / entries
	remainder := int(e.spec.ColdLimit.RequestsPerSecond) % entries
	if s.rotatedRank(e, entries) < remainder {
		return perEntry + 1
	}
	return perEntry
}

// rotatedRank returns the rank of this entry rotated by a hash of the endpoint, so that the
// remainder of the division goes to different entries at each endpoint.
func (s *Scheduler) rotatedRank(e *endpoint, entries int) int {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(e.spec.ID))
	return (s.entryRank + int(h.Sum32()%uint32(entries))) % entries
}

// recordColdSend counts a request sent to the endpoint while it is cold.
func (e *endpoint) recordColdSend(now time.Time) {
	if e.spec.ColdLimit.RequestsPerSecond > 0 && now.Before(e.coldUntil) {
		e.coldSendTimes = append(e.coldSendTimes, now)
	}
}

// markRecovered marks an endpoint as cold that answers after it could not be reached: it may
// have restarted, which the endpoint list shows only later.
func (e *endpoint) markRecovered(now time.Time) { e.markCold(now, e.spec.ColdLimit.Duration) }
