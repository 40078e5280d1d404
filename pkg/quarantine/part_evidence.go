package quarantine

import (
	"maps"
	"slices"
	"time"
)

// evidence is what follows from the facts about parts under the assumption that some combinations are
// culprits.
type evidence struct {
	// terminations maps parts to the terminations that count against them: event IDs and times.
	terminations map[Part]map[uint64]time.Time
	// instances are terminations with those under runs that were sent before the isolation.
	instances map[Part]map[uint64]time.Time
	// suspects maps the parts with at least ContainmentThreshold terminations that no other suspect
	// explains to the time of the last of these.
	suspects     map[Part]time.Time
	combinations map[Identity]*combination
	// byEvent maps event IDs to the combinations that were running, including runs that were sent
	// before their isolation.
	byEvent map[uint64][]*combination
}

// wholeRequests is what is known of the terminations of whole requests.
type wholeRequests interface {
	// explain reports whether a single request that is a culprit was running at all the given
	// terminations.
	explain(terminations map[uint64]time.Time) bool
	// repeatedBeside reports whether a request ran in the instance that also ran at other terminations
	// than the given ones.
	repeatedBeside(eventID uint64, terminations []termination) bool
}

// recompute determines which combinations of parts are suspects or culprits. The terminations of
// a culprit don't count against parts outside of it, which may clear or incriminate other parts,
// so this repeats until no further culprit is found.
func (p *partRecords) recompute(whole wholeRequests) {
	p.culprits = nil
	for {
		e := p.evaluate(whole)
		p.evidence = e
		before := len(p.culprits)
		for _, c := range slices.SortedFunc(maps.Values(e.combinations), compareCombinations) {
			known := slices.ContainsFunc(p.culprits, func(o *combination) bool { return o.identity == c.identity })
			if c.culprit && !known {
				p.culprits = append(p.culprits, c)
			}
		}
		if len(p.culprits) == before {
			p.updateCulprits()
			return
		}
	}
}

// evaluate derives the evidence from the facts.
func (p *partRecords) evaluate(whole wholeRequests) *evidence {
	e := &evidence{
		terminations: map[Part]map[uint64]time.Time{}, instances: map[Part]map[uint64]time.Time{}, suspects: map[Part]time.Time{},
		combinations: map[Identity]*combination{}, byEvent: map[uint64][]*combination{},
	}
	facts := p.sortedTerminations()
	p.countTerminations(e, facts)
	e.findSuspects(whole)
	p.combineSuspects(e, facts)
	for _, c := range e.combinations {
		c.confirmInIsolation(e, p.culprits, whole)
	}
	e.limitAmbiguous(p.culprits)
	return e
}

// countTerminations adds the terminations that count against each part.
func (p *partRecords) countTerminations(e *evidence, facts []PartFact) {
	for _, f := range facts {
		for _, part := range f.Parts {
			if !p.counts(f, part) {
				continue
			}
			addTermination(e.instances, part, f)
			if !f.BeforeIsolation {
				addTermination(e.terminations, part, f)
			}
		}
	}
}

// findSuspects determines the suspects from the terminations.
func (e *evidence) findSuspects(whole wholeRequests) {
	for part, terminations := range e.terminations {
		counted := independent(chronological(terminations))
		if len(counted) >= ContainmentThreshold && !whole.explain(terminations) {
			e.suspects[part] = counted[ContainmentThreshold-1].occurredAt
		}
	}
	e.dropExplained()
}

// combineSuspects determines the combinations in which suspects occurred.
func (p *partRecords) combineSuspects(e *evidence, facts []PartFact) {
	for _, f := range facts {
		e.addToCombination(f, slices.DeleteFunc(slices.Clone(f.Parts), func(part Part) bool {
			_, suspect := e.suspects[part]
			return !suspect || !p.counts(f, part)
		}))
	}
	// Runs before the isolation alone are no evidence.
	maps.DeleteFunc(e.combinations, func(_ Identity, c *combination) bool { return len(c.terminations) == 0 })
}

// counts reports whether a termination counts against a part of the request: no completed run of the
// part clears it, and it isn't attributed to a culprit without the part.
func (p *partRecords) counts(f PartFact, part Part) bool {
	if p.cleared(f, part) {
		return false
	}
	for _, culprit := range p.culprits {
		if p.ranAt(culprit, f.EventID) && !(slices.Contains(culprit.parts, part) && includes(f.Parts, culprit.parts)) {
			return false
		}
	}
	return true
}

// ranAt reports whether a request with all parts of a combination was running at a termination.
func (p *partRecords) ranAt(c *combination, eventID uint64) bool {
	return slices.ContainsFunc(p.byEvent[eventID], func(f PartFact) bool { return includes(f.Parts, c.parts) })
}

// updateCulprits gives culprits all their terminations, also under requests with further suspects.
func (p *partRecords) updateCulprits() {
	for _, c := range p.culprits {
		terminations := map[uint64]time.Time{}
		for _, f := range p.sortedTerminations() {
			if _, known := terminations[f.EventID]; !known && !f.BeforeIsolation && includes(f.Parts, c.parts) {
				terminations[f.EventID] = f.OccurredAt
			}
		}
		c.terminations = chronological(terminations)
		p.evidence.combinations[c.identity] = c
	}
}

// dropExplained drops the suspects whose instances also ran another suspect under which further instances
// terminated. A culprit is in all requests that crash instances, while the other parts are in some of
// them, or in requests beside.
func (e *evidence) dropExplained() {
	var explained []Part
	for part := range e.suspects {
		for other := range e.suspects {
			if len(e.instances[other]) > len(e.instances[part]) && isSubset(e.instances[part], e.instances[other]) {
				explained = append(explained, part)
				break
			}
		}
	}
	for _, part := range explained {
		delete(e.suspects, part)
	}
}

// isSubset reports whether all event IDs of a are in b.
func isSubset(a, b map[uint64]time.Time) bool {
	for eventID := range a {
		if _, found := b[eventID]; !found {
			return false
		}
	}
	return true
}

func addTermination(terminations map[Part]map[uint64]time.Time, part Part, f PartFact) {
	if terminations[part] == nil {
		terminations[part] = map[uint64]time.Time{}
	}
	// Entries notice a termination at slightly different times.
	if _, known := terminations[part][f.EventID]; !known {
		terminations[part][f.EventID] = f.OccurredAt
	}
}

// combinationOf returns the combination of some suspects, which is created if there is none.
func (e *evidence) combinationOf(suspects []Part) *combination {
	identity := identityOfParts(suspects)
	c := e.combinations[identity]
	if c == nil {
		c = &combination{identity: identity, parts: suspects}
		for _, part := range suspects {
			c.isolatedSince = latest(c.isolatedSince, e.suspects[part])
		}
		e.combinations[identity] = c
	}
	return c
}

// addToCombination adds a termination to the combination of the suspects that the request had. Facts are
// added in chronological order.
func (e *evidence) addToCombination(f PartFact, suspects []Part) {
	if len(suspects) == 0 {
		return
	}
	c := e.combinationOf(suspects)
	if !slices.Contains(e.byEvent[f.EventID], c) {
		e.byEvent[f.EventID] = append(e.byEvent[f.EventID], c)
	}
	switch {
	case f.BeforeIsolation:
		c.uncounted = append(c.uncounted, f.EventID)
	case !c.hasTermination(f.EventID):
		c.terminations = append(c.terminations, termination{f.EventID, f.OccurredAt})
	}
}

// hasEndpoint reports whether a combination had an endpoint of its own at a time: fewer than maxIsolatedCombinations
// others, without known culprits, had a better claim to one.
func (e *evidence) hasEndpoint(c *combination, at time.Time, culprits []*combination) bool {
	compare, better := compareAt(at), 0
	for _, other := range e.combinations {
		culprit := slices.ContainsFunc(culprits, func(o *combination) bool { return o.identity == other.identity })
		if other != c && !culprit && other.isolatedSince.Before(at) && compare(other, c) < 0 {
			better++
		}
	}
	return better < maxIsolatedCombinations
}

// otherCause reports whether a combination that may have caused a termination instead of c was running in
// the instance, one with at least minAmbiguousShared terminations. A subset of c doesn't count: if
// it is the cause, all requests with c are culprits as well.
func (e *evidence) otherCause(eventID uint64, c *combination) bool {
	return slices.ContainsFunc(e.byEvent[eventID], func(other *combination) bool {
		return other != c && len(other.terminations) >= minAmbiguousShared && !includes(c.parts, other.parts)
	})
}

// limitAmbiguous contains the parts with PartAmbiguousThreshold terminations that isolation hasn't told
// apart, as with a single endpoint.
func (e *evidence) limitAmbiguous(culprits []*combination) {
	for part := range e.suspects {
		terminations := chronological(e.terminations[part])
		known := slices.ContainsFunc(culprits, func(c *combination) bool { return slices.Contains(c.parts, part) })
		if known || len(independent(terminations)) < PartAmbiguousThreshold {
			continue
		}
		if c := e.combinationOf([]Part{part}); !c.culprit {
			c.overLimit, c.terminations = true, terminations
		}
	}
}
