package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// combination is a set of suspected parts that a request had when its instance terminated, without its
// other parts. Parts that always occur together can't be told apart, so they are isolated and contained
// together, and requests with only some of them run like any other.
type combination struct {
	identity Identity
	// parts are sorted.
	parts []Part
	// terminations are those under requests that had these suspected parts and no other, in
	// chronological order.
	terminations []termination
	// uncounted are the event IDs of those under runs that were sent before the isolation.
	uncounted []uint64
	// isolatedSince is when the last of the parts became a suspect.
	isolatedSince time.Time
	// culprit is set if an instance terminated under the combination while it was isolated.
	// confirmedAt is the time of this termination.
	culprit     bool
	confirmedAt time.Time
	// overLimit is set if its only part has PartAmbiguousThreshold terminations without being isolated.
	overLimit bool
}

// termination is the termination of an instance.
type termination struct {
	eventID    uint64
	occurredAt time.Time
}

func (c *combination) contained(now time.Time) bool {
	return (c.overLimit || c.culprit) && !now.Before(c.containedFrom())
}

// containedFrom returns since when a contained combination is contained.
func (c *combination) containedFrom() time.Time {
	if c.culprit {
		return c.confirmedAt.Add(attributionDelay)
	}
	return independent(c.terminations)[PartAmbiguousThreshold-1].occurredAt
}

func (c *combination) isolated(now time.Time) bool { return !c.contained(now) }

func (c *combination) lastTermination() time.Time {
	return c.terminations[len(c.terminations)-1].occurredAt
}

// instances returns the number of instances that terminated while they ran requests with the combination.
func (c *combination) instances() int {
	events := map[uint64]bool{}
	for _, t := range c.terminations {
		events[t.eventID] = true
	}
	for _, eventID := range c.uncounted {
		events[eventID] = true
	}
	return len(events)
}

func (c *combination) hasTermination(eventID uint64) bool {
	return slices.ContainsFunc(c.terminations, func(t termination) bool { return t.eventID == eventID })
}

// containmentPeriod returns for how long the combination is contained after its last termination. It
// grows with each probe that failed, since a combination that was contained by mistake affects many
// requests.
func (c *combination) containmentPeriod() time.Duration {
	failedProbes := len(independent(c.terminations)) - PartAmbiguousThreshold
	if c.culprit {
		// Isolation is stronger evidence, so it counts as a failed probe.
		failedProbes = 1
		for _, t := range independent(c.terminations) {
			if t.occurredAt.After(c.confirmedAt) {
				failedProbes++
			}
		}
	}
	period := AmbiguousPeriod
	for range failedProbes {
		period = min(period*partBackoff, ContainmentPeriod)
	}
	return period
}

// status returns the status of the combination and, if it is contained, for how much longer. An isolated
// combination under which many instances terminated is half-open: requests that wait for its endpoint
// would all be sent once that is back.
func (c *combination) status(now time.Time) (status Status, remaining time.Duration) {
	remaining = c.probedFrom(now).Sub(now)
	switch {
	case c.isolated(now) && c.instances() < PartProbeThreshold:
		return Isolated, 0
	case remaining > 0:
		return Contained, remaining
	default:
		return HalfOpen, 0
	}
}

// probedFrom returns the time from which a combination may be probed.
func (c *combination) probedFrom(now time.Time) time.Time {
	if c.isolated(now) {
		return c.lastTermination()
	}
	return c.lastTermination().Add(c.containmentPeriod())
}

// confirmInIsolation sets culprit if an instance terminated under the combination while it had an endpoint of its
// own, and nothing else that may be the cause was running there. Until attributionDelay after the isolation
// not all entries knew of it.
func (c *combination) confirmInIsolation(e *evidence, culprits []*combination, whole wholeRequests) {
	for _, t := range c.terminations {
		known := t.occurredAt.Sub(c.isolatedSince) > attributionDelay
		alone := known && !e.otherCause(t.eventID, c) && !whole.repeatedBeside(t.eventID, c.terminations)
		if alone && e.hasEndpoint(c, t.occurredAt, culprits) {
			c.culprit, c.confirmedAt = true, t.occurredAt
			return
		}
	}
}

// terminationsBefore returns the number of terminations before a time.
func (c *combination) terminationsBefore(at time.Time) (count int) {
	for _, t := range c.terminations {
		if t.occurredAt.Before(at) {
			count++
		}
	}
	return count
}

// activeAt reports whether an instance terminated under the combination within avoidancePeriod before a time.
func (c *combination) activeAt(at time.Time) bool {
	return slices.ContainsFunc(c.terminations, func(t termination) bool {
		return t.occurredAt.Before(at) && at.Sub(t.occurredAt) < avoidancePeriod
	})
}

// compareAt sorts combinations by their claim to an endpoint of their own at a time: active ones first, and those with
// most terminations.
func compareAt(at time.Time) func(a, b *combination) int {
	return func(a, b *combination) int {
		if a.activeAt(at) != b.activeAt(at) {
			if a.activeAt(at) {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.terminationsBefore(at), a.terminationsBefore(at)), a.isolatedSince.Compare(b.isolatedSince), slices.Compare(a.identity[:], b.identity[:]))
	}
}

// compareCombinations sorts combinations by descending number of terminations.
func compareCombinations(a, b *combination) int {
	return cmp.Or(cmp.Compare(len(b.terminations), len(a.terminations)), a.isolatedSince.Compare(b.isolatedSince), slices.Compare(a.identity[:], b.identity[:]))
}

// chronological returns terminations in chronological order.
func chronological(terminations map[uint64]time.Time) []termination {
	sorted := make([]termination, 0, len(terminations))
	for eventID, occurredAt := range terminations {
		sorted = append(sorted, termination{eventID, occurredAt})
	}
	slices.SortFunc(sorted, func(a, b termination) int {
		return cmp.Or(a.occurredAt.Compare(b.occurredAt), cmp.Compare(a.eventID, b.eventID))
	})
	return sorted
}

// independent returns the terminations that each follow the one before after minTerminationSpacing at least.
func independent(sorted []termination) []termination {
	var result []termination
	for _, t := range sorted {
		if len(result) == 0 || t.occurredAt.Sub(result[len(result)-1].occurredAt) >= minTerminationSpacing {
			result = append(result, t)
		}
	}
	return result
}
