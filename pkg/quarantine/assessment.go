package quarantine

import (
	"slices"
	"time"
)

// assess counts the terminations of a candidate that are not attributed to other requests, and
// determines whether it is a culprit and when its containment starts.
func (s *Set) assess(c *candidate, attributed map[uint64]int) {
	c.unattributed, c.isolatedSince, c.culprit = 0, time.Time{}, false
	var unattributed []Fact
	for _, t := range c.terminations {
		if attributed[t.EventID] == 0 {
			unattributed = append(unattributed, t)
		}
	}
	c.unattributed = len(unattributed)
	if len(unattributed) < ContainmentThreshold {
		return
	}
	c.isolatedSince = unattributed[ContainmentThreshold-1].OccurredAt
	shared := s.cooccurrencesOf(c, unattributed)
	parts := s.parts.runsBeside(c.identity)
	ambiguous := shared.ambiguous(len(unattributed)) || parts.ambiguous(unattributed)
	unsharedAt, found := firstUnshared(unattributed, shared, parts)
	switch {
	case parts.mayExplain(unattributed):
		c.culprit, c.containableFrom = confirmedInIsolation(unattributed, c.isolatedSince, shared, parts)
	case !ambiguous && len(shared) == 0:
		c.culprit, c.containableFrom = true, c.isolatedSince
	case !ambiguous:
		c.culprit, c.containableFrom = true, c.isolatedSince.Add(attributionDelay)
	case found:
		c.culprit, c.containableFrom = true, latest(c.isolatedSince, unsharedAt).Add(attributionDelay)
	default:
		c.culprit, c.containableFrom = confirmedInIsolation(unattributed, c.isolatedSince, shared, parts)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// firstUnshared returns the time of the first termination that no other candidate and no part of other
// requests shares, if any.
func firstUnshared(terminations []Fact, shared cooccurrences, parts partRuns) (occurredAt time.Time, found bool) {
	for _, t := range terminations {
		if len(shared[t.EventID]) == 0 && !parts.repeatedBeside(t.EventID) {
			return t.OccurredAt, true
		}
	}
	return time.Time{}, false
}

// confirmedInIsolation reports whether an instance terminated under a request while the request was
// isolated, and no candidate or part with at least minAmbiguousShared terminations shares this termination.
// containableFrom is the time by which all entries have reported what else ran in the instance.
// Another culprit that has its first termination there isn't detected until its second one.
func confirmedInIsolation(terminations []Fact, isolatedSince time.Time, shared cooccurrences, parts partRuns) (confirmed bool, containableFrom time.Time) {
	for _, t := range terminations[ContainmentThreshold:] {
		if t.OccurredAt.Sub(isolatedSince) > attributionDelay && !shared.hasRepeatedCandidate(t.EventID) && !parts.repeatedBeside(t.EventID) {
			return true, t.OccurredAt.Add(attributionDelay)
		}
	}
	return false, time.Time{}
}

// cooccurrence describes another candidate that ran in some of the same instances.
type cooccurrence struct {
	// shared counts the terminations that both have, terminations all those of the other candidate,
	// with those that don't count against it.
	shared, terminations int
}

// cooccurrences maps the event IDs of a candidate's terminations to the candidates sharing them.
type cooccurrences map[uint64][]*cooccurrence

// hasRepeatedCandidate reports whether a candidate with at least minAmbiguousShared terminations
// shares the one with the given event ID.
func (c cooccurrences) hasRepeatedCandidate(eventID uint64) bool {
	return slices.ContainsFunc(c[eventID], func(other *cooccurrence) bool { return other.terminations >= minAmbiguousShared })
}

// cooccurrencesOf returns the candidates that share the given terminations of a candidate.
func (s *Set) cooccurrencesOf(c *candidate, terminations []Fact) cooccurrences {
	byCandidate := map[*candidate]*cooccurrence{}
	result := cooccurrences{}
	for _, t := range terminations {
		for _, other := range s.byEvent[t.EventID] {
			if other == c {
				continue
			}
			if byCandidate[other] == nil {
				byCandidate[other] = &cooccurrence{terminations: len(other.terminations) + len(other.uncounted)}
			}
			byCandidate[other].shared++
			result[t.EventID] = append(result[t.EventID], byCandidate[other])
		}
	}
	return result
}

// ambiguous reports whether one other candidate shares at least minAmbiguousShared terminations, and
// at least half of the given number of terminations.
func (c cooccurrences) ambiguous(terminations int) bool {
	maxShared := 0
	for _, candidates := range c {
		for _, other := range candidates {
			maxShared = max(maxShared, other.shared)
		}
	}
	return maxShared >= minAmbiguousShared && 2*maxShared >= terminations
}
