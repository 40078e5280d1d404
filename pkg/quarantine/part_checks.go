package quarantine

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RecordPartCompletion records that a run of a request with the given parts completed at this entry. It
// returns the facts to add, for parts that have terminations to be cleared of.
func (s *Set) RecordPartCompletion(now time.Time, parts []Part) []PartFact {
	for _, part := range parts {
		s.parts.recentCompletions.add(part, now)
	}
	return s.parts.completionsToPublish(parts)
}

// IsPartEvidence reports whether the termination of an instance counts against the parts of a request
// that was sent there at the given time; see IsEvidence. Runs that were sent before the parts were
// contained don't count either, since they are no failed probes.
func (s *Set) IsPartEvidence(now time.Time, parts []Part, sent time.Time) bool {
	if c := s.covering(now, parts, Contained); c != nil && !sent.After(c.containedFrom()) {
		return false
	}
	c := s.isolatedCombination(now, parts)
	return c == nil || sent.After(c.isolatedSince)
}

// CheckParts returns a refusal if a request with the given parts may not be sent now, or nil if it may.
func (s *Set) CheckParts(now time.Time, parts []Part) *Refusal {
	c := s.covering(now, parts, HalfOpen)
	if c == nil {
		return nil
	}
	status, remaining := c.status(now)
	if status == Contained {
		return &Refusal{status, len(c.terminations), remaining, c.parts}
	}
	if s.probing[c.identity] || !s.mayProbe(now, c) {
		return &Refusal{status, len(c.terminations), probeRetryDelay, c.parts}
	}
	return nil
}

// BeginParts is CheckParts for a request that is sent at once if permitted. If probe isn't nil, it
// is the identity of a half-open combination, of which no other run is permitted until the caller
// calls Finish.
func (s *Set) BeginParts(now time.Time, parts []Part) (probe *Identity, refusal *Refusal) {
	if refusal := s.CheckParts(now, parts); refusal != nil {
		return nil, refusal
	}
	if c := s.covering(now, parts, HalfOpen); c != nil {
		s.probing[c.identity] = true
		return &c.identity, nil
	}
	return nil, nil
}

// mayProbe reports whether this entry is in the share of entries that probe a combination at present.
func (s *Set) mayProbe(now time.Time, c *combination) bool {
	if s.entries <= 1 {
		return true
	}
	growth := containedProbeGrowth
	if c.isolated(now) {
		growth = isolatedProbeGrowth
	}
	position := xxhash.Sum64(binary.BigEndian.AppendUint64(slices.Clip(c.identity[:]), uint64(s.rank)))
	return float64(position)/math.MaxUint64 < growth*now.Sub(c.probedFrom(now)).Seconds()
}

// covering returns a combination with at least the given status that a request with the given parts
// includes, the one that stays contained longest; nil if there is none.
func (s *Set) covering(now time.Time, parts []Part, atLeast Status) *combination {
	var found *combination
	var foundStatus Status
	var foundRemaining time.Duration
	for _, c := range s.parts.evidence.combinations {
		status, remaining := c.status(now)
		if status < atLeast || !includes(parts, c.parts) {
			continue
		}
		if found == nil || cmp.Or(cmp.Compare(status, foundStatus), cmp.Compare(remaining, foundRemaining), slices.Compare(c.identity[:], found.identity[:])) > 0 {
			found, foundStatus, foundRemaining = c, status, remaining
		}
	}
	return found
}

// isolated returns the combinations that have an endpoint of their own.
func (p *partRecords) isolated(now time.Time) (isolated []*combination) {
	for _, c := range p.evidence.combinations {
		if c.isolated(now) {
			isolated = append(isolated, c)
		}
	}
	slices.SortFunc(isolated, compareAt(now))
	return isolated[:min(len(isolated), maxIsolatedCombinations)]
}

// isolatedCombination returns the isolated combination that a request with the given parts runs as, or
// nil. A request that includes several combinations, none of which includes the others, would tell
// nothing about any one of them.
func (s *Set) isolatedCombination(now time.Time, parts []Part) *combination {
	isolated := s.parts.isolated(now)
	i := mostSpecific(parts, len(isolated), func(i int) []Part { return isolated[i].parts })
	if i < 0 {
		return nil
	}
	return isolated[i]
}

// mostSpecific returns the index of the combination among n that the given parts include and that
// includes all others that they include; negative if there is none.
func mostSpecific(parts []Part, n int, combinationAt func(i int) []Part) int {
	best := -1
	for i := range n {
		if includes(parts, combinationAt(i)) && (best < 0 || len(combinationAt(i)) > len(combinationAt(best))) {
			best = i
		}
	}
	if best < 0 {
		return best
	}
	for i := range n {
		if includes(parts, combinationAt(i)) && !includes(combinationAt(best), combinationAt(i)) {
			return -1
		}
	}
	return best
}

// CombinationStatus is the status of a combination of parts.
type CombinationStatus struct {
	Parts        []Part
	Status       Status
	Terminations int
}

// CombinationStatuses returns the status of each suspected combination of parts.
func (s *Set) CombinationStatuses(now time.Time) map[Identity]CombinationStatus {
	statuses := make(map[Identity]CombinationStatus, len(s.parts.evidence.combinations))
	for id, c := range s.parts.evidence.combinations {
		status, _ := c.status(now)
		statuses[id] = CombinationStatus{c.parts, status, len(c.terminations)}
	}
	return statuses
}
