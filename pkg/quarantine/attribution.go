package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// candidate is a request with recorded terminations.
type candidate struct {
	identity Identity
	// terminations are those since its last completed run, in chronological order.
	terminations []Fact
	// uncounted are those under runs sent before the request was isolated, unless another run of it
	// makes them count.
	uncounted []Fact
	// unattributed counts the terminations that are not attributed to other requests.
	unattributed int
	// isolatedSince is when unattributed reached ContainmentThreshold; zero if it hasn't.
	isolatedSince time.Time
	// culprit is set if, by the known facts, the terminations can't be caused by another
	// request. containableFrom is the time by which all entries have reported the other requests
	// that ran in the terminated instances.
	culprit         bool
	containableFrom time.Time
	// attributed is set if its terminations are attributed to it, so that they don't count against
	// other requests.
	attributed bool
	// lastTermination is the time of the last of terminations.
	lastTermination time.Time
}

// contained reports whether the request has enough terminations to be refused or probed.
func (c *candidate) contained(now time.Time) bool {
	return c.unattributed >= AmbiguousThreshold || c.culprit && !now.Before(c.containableFrom)
}

// isolated reports whether the request may run only where no other candidate runs: it has enough
// terminations, but they may be caused by another request.
func (c *candidate) isolated(now time.Time) bool {
	return c.unattributed >= ContainmentThreshold && !c.contained(now)
}

// containmentPeriod returns for how long the request is contained after its last termination.
func (c *candidate) containmentPeriod() time.Duration {
	if c.culprit {
		return ContainmentPeriod
	}
	return AmbiguousPeriod
}

// recompute derives the candidates from the facts.
func (s *Set) recompute() {
	s.dropSuperseded()
	s.enforceMaxFacts()
	clear(s.candidates)
	clear(s.byEvent)
	for _, f := range s.facts {
		if f.Completed || f.BeforeIsolation && s.counted(f) {
			continue
		}
		c := s.candidates[f.Identity]
		if c == nil {
			c = &candidate{identity: f.Identity}
			s.candidates[f.Identity] = c
		}
		s.byEvent[f.EventID] = append(s.byEvent[f.EventID], c)
		if f.BeforeIsolation {
			c.uncounted = append(c.uncounted, f)
			continue
		}
		c.terminations = append(c.terminations, f)
		if f.OccurredAt.After(c.lastTermination) {
			c.lastTermination = f.OccurredAt
		}
	}
	s.parts.prepare()
	s.attribute(nil)
	s.parts.recompute(s)
	if len(s.parts.culprits) > 0 {
		s.attribute(s.parts.attributed())
	}
}

// counted reports whether the termination of an uncounted fact counts through another run of the
// same request in the instance.
func (s *Set) counted(f Fact) bool {
	f.BeforeIsolation = false
	_, known := s.facts[f.Key()]
	return known
}

// dropSuperseded drops the terminations that a completed run clears, and all but the latest
// completed run of each request.
func (s *Set) dropSuperseded() {
	completions := map[Identity]Fact{}
	for _, f := range s.facts {
		if completion, ok := completions[f.Identity]; f.Completed && (!ok || f.OccurredAt.After(completion.OccurredAt)) {
			completions[f.Identity] = f
		}
	}
	for key, f := range s.facts {
		if completion, ok := completions[f.Identity]; ok && f != completion && completion.supersedes(f) {
			delete(s.facts, key)
		}
	}
}

// enforceMaxFacts drops the facts beyond MaxFacts: those of requests with the fewest terminations
// first, and among these the oldest.
func (s *Set) enforceMaxFacts() {
	if len(s.facts) <= MaxFacts {
		return
	}
	terminations := map[Identity]int{}
	for _, f := range s.facts {
		if !f.Completed {
			terminations[f.Identity]++
		}
	}
	keys := make([]Key, 0, len(s.facts))
	for key := range s.facts {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		fa, fb := s.facts[a], s.facts[b]
		return cmp.Or(cmp.Compare(terminations[fa.Identity], terminations[fb.Identity]), fa.OccurredAt.Compare(fb.OccurredAt), cmp.Compare(a, b))
	})
	for _, key := range keys[:len(keys)-MaxFacts] {
		delete(s.facts, key)
	}
}

// attribute determines the culprits and attributes their terminations to them. Candidates are
// assessed in the order in which they reached ContainmentThreshold, and then by descending number
// of terminations, since the first was contained before the others reached it. Without this order,
// an innocent request that ran in two instances beside one culprit, and in more beside another,
// was contained. The terminations of a culprit may show that a candidate assessed earlier is
// innocent, so assessment repeats until nothing changes. Finally, culprits whose terminations are
// all attributed to other culprits as well are cleared. Terminations that are attributed to parts
// count against no request.
func (s *Set) attribute(toParts map[uint64]int) {
	for _, c := range s.candidates {
		c.attributed = false
		slices.SortFunc(c.terminations, func(a, b Fact) int {
			return cmp.Or(a.OccurredAt.Compare(b.OccurredAt), cmp.Compare(a.EventID, b.EventID))
		})
	}
	order := slices.SortedFunc(maps.Values(s.candidates), func(a, b *candidate) int {
		return cmp.Or(a.thresholdReachedAt().Compare(b.thresholdReachedAt()), cmp.Compare(len(b.terminations), len(a.terminations)), a.lastTermination.Compare(b.lastTermination),
			slices.Compare(a.identity[:], b.identity[:]))
	})
	attributed := map[uint64]int{}
	maps.Copy(attributed, toParts)
	for changed := true; changed; {
		changed = false
		for _, c := range order {
			if c.attributed {
				continue
			}
			s.assess(c, attributed)
			if !c.culprit {
				continue
			}
			c.attributed, changed = true, true
			c.addTo(attributed, 1)
		}
	}
	for _, c := range order {
		s.clearIfRedundant(c, attributed)
	}
}

// farFuture is later than any termination.
var farFuture = time.Unix(1<<40, 0)

// thresholdReachedAt returns when the candidate had ContainmentThreshold terminations, or
// farFuture if it has fewer.
func (c *candidate) thresholdReachedAt() time.Time {
	if len(c.terminations) < ContainmentThreshold {
		return farFuture
	}
	return c.terminations[ContainmentThreshold-1].OccurredAt
}

// clearIfRedundant clears a culprit all of whose terminations are attributed to other culprits as
// well. It was identified as a culprit when the others had fewer terminations.
func (s *Set) clearIfRedundant(c *candidate, attributed map[uint64]int) {
	if !c.attributed || slices.ContainsFunc(c.terminations, func(t Fact) bool { return attributed[t.EventID] < 2 }) {
		return
	}
	c.attributed, c.unattributed, c.culprit = false, 0, false
	c.addTo(attributed, -1)
}

// addTo adds n to the number of culprits of each termination that the candidate may have caused.
func (c *candidate) addTo(culprits map[uint64]int, n int) {
	for _, t := range slices.Concat(c.terminations, c.uncounted) {
		culprits[t.EventID] += n
	}
}
