package scheduler

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// The load that this file answers: endpoints come back together and cold, after a fall or
// because operators open their data centre again, and look emptier than all others. A cold
// endpoint bears a number of requests a second, of all entries together, and falls over well
// above it. Entries don't ask each other before each request, so each has a part of that
// number: a whole number of requests a second, or, where entries are more than requests, one
// a second for some of the entries, others at each endpoint.

// coldWindow is the time that the number of a cold endpoint is meant for.
const coldWindow = time.Second

// SetPlace tells the place of this entry among all, from zero, and how many they are: its
// part of what cold endpoints bear follows from it.
func (s *Scheduler) SetPlace(rank, entries int) { s.rank, s.entries = rank, max(entries, 1) }

// learnCold takes what a new list says of an endpoint, of which the list before said
// something else or, if it is empty, nothing.
func (e *endpoint) learnCold(now time.Time, before fleet.Endpoint) {
	if before.WarmUpRemaining != e.spec.WarmUpRemaining || before.Instance() != e.spec.Instance() {
		e.turnedCold(now, e.spec.WarmUpRemaining)
	}
	if before.Closed && !e.spec.Closed {
		e.turnedCold(now, e.spec.ColdLimit.Duration)
	}
}

// turnedCold records that an endpoint is cold for some time.
func (e *endpoint) turnedCold(now time.Time, lasts time.Duration) {
	if until := now.Add(lasts); lasts > 0 && until.After(e.coldUntil) {
		e.coldUntil = until
	}
}

// bears reports whether a request of this entry may go to an endpoint as far as it is cold.
func (s *Scheduler) bears(now time.Time, e *endpoint) bool {
	if e.spec.ColdLimit.RequestsPerSecond <= 0 || !now.Before(e.coldUntil) {
		return true
	}
	e.coldSends = slices.DeleteFunc(e.coldSends, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return len(e.coldSends) < s.coldPart(e)
}

// coldPart is how many requests this entry may send to a cold endpoint a second.
func (s *Scheduler) coldPart(e *endpoint) int {
	entries := max(s.entries, 1)
	each := int(e.spec.ColdLimit.RequestsPerSecond) / entries
	rest := int(e.spec.ColdLimit.RequestsPerSecond) % entries
	if s.turnAt(e, entries) < rest {
		return each + 1
	}
	return each
}

// turnAt places this entry among all at an endpoint, so that not the same ones have the
// rest of the division at each.
func (s *Scheduler) turnAt(e *endpoint, entries int) int {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(e.spec.ID))
	return (s.rank + int(h.Sum32()%uint32(entries))) % entries
}

// sentCold counts a request that goes to an endpoint while it is cold.
func (e *endpoint) sentCold(now time.Time) {
	if e.spec.ColdLimit.RequestsPerSecond > 0 && now.Before(e.coldUntil) {
		e.coldSends = append(e.coldSends, now)
	}
}

// returned records that an endpoint answers which could not be reached: it may have started
// again, which its record tells later.
func (e *endpoint) returned(now time.Time) { e.turnedCold(now, e.spec.ColdLimit.Duration) }
