package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// PartAmbiguousThreshold is the number of terminations at which a part is contained although other
	// parts may have caused them. It lets isolation, which takes four, come first.
	PartAmbiguousThreshold = 6
	// minTerminationSpacing is the time from which two terminations count as independent. Instances that
	// terminate together, as those of a rack, run many parts that are in most requests.
	minTerminationSpacing = 50 * time.Millisecond
	// SurvivalPeriod is the time for which a run has produced output when it counts as a completed run of
	// its parts. Long streams would complete too late to clear theirs. A part that crashes engines
	// later than this isn't recognised.
	SurvivalPeriod = 2 * time.Second
	// PartProbeThreshold is the number of instances that terminated under isolated parts from which one
	// request at a time is sent.
	PartProbeThreshold = 4
	// PartClearedPeriod is the time after a completed run of a part for which terminations don't count
	// against it. It is shorter than ClearedPeriod, since a part is in many requests: sound ones
	// complete often, and a part on which engines crash from now on would go on to crash them for
	// that long.
	PartClearedPeriod = 500 * time.Millisecond
	// isolatedProbeGrowth and containedProbeGrowth are the shares of entries that come to probe parts each
	// second, isolated ones from their last termination on and contained ones from the end of their
	// containment. A probe of each entry would crash many engines, and one entry may not get a request with
	// the part for minutes in a large fleet.
	isolatedProbeGrowth  = 0.2
	containedProbeGrowth = 0.02
	// partBackoff is the factor by which the containment period of parts grows.
	partBackoff = 4
	// MaxPartFacts bounds the facts about parts, as MaxFacts those about whole requests.
	MaxPartFacts = 512
	// maxIsolatedCombinations bounds the combinations that have an endpoint of their own, since the other
	// requests share what remains. Parts that crash endpoints soon have the most terminations.
	maxIsolatedCombinations = 4
	// minPartTerminations is the number of terminations from which completed runs of a part are
	// published. A single one is shared by all parts that ran in the instance.
	minPartTerminations = 2
)

// partRecords holds the facts about parts and what follows from them.
type partRecords struct {
	facts             factMap[PartFact]
	recentCompletions completionCache[Part]

	// completedAt maps parts to the time of their latest known completed run.
	completedAt map[Part]time.Time
	// byEvent maps event IDs to the terminations.
	byEvent  map[uint64][]PartFact
	evidence *evidence
	culprits []*combination
}

func newPartRecords() *partRecords {
	return &partRecords{facts: factMap[PartFact]{}, completedAt: map[Part]time.Time{}, byEvent: map[uint64][]PartFact{}, evidence: &evidence{}}
}

// add adds facts without recomputing what follows from them, and returns those that are new.
func (p *partRecords) add(now time.Time, facts []PartFact) (added []PartFact) {
	for _, f := range facts {
		key := f.Key()
		if _, known := p.facts[key]; known || !f.valid() || p.outdated(now, f) {
			continue
		}
		p.facts[key] = f
		added = append(added, f)
	}
	return added
}

// outdated reports whether a fact has no effect: it is older than factRetention, or completed runs
// supersede it.
func (p *partRecords) outdated(now time.Time, f PartFact) bool {
	if now.Sub(f.OccurredAt) >= factRetention {
		return true
	}
	if f.Completed {
		return !f.OccurredAt.After(p.completedAt[f.Parts[0]])
	}
	return p.allCleared(f)
}

// cleared reports whether a completed run of a part shows that it didn't cause a termination.
func (p *partRecords) cleared(f PartFact, part Part) bool {
	completedAt, completed := p.completedAt[part]
	return completed && f.OccurredAt.Sub(completedAt) < PartClearedPeriod
}

func (p *partRecords) allCleared(f PartFact) bool {
	return !slices.ContainsFunc(f.Parts, func(part Part) bool { return !p.cleared(f, part) })
}

// prepare drops the facts without effect and indexes the others.
func (p *partRecords) prepare() {
	p.dropCleared()
	p.enforceMaxFacts()
	clear(p.byEvent)
	for _, f := range p.facts {
		if !f.Completed {
			p.byEvent[f.EventID] = append(p.byEvent[f.EventID], f)
		}
	}
}

// dropCleared drops the terminations that completed runs clear, and all but the latest completed run
// of each part.
func (p *partRecords) dropCleared() {
	clear(p.completedAt)
	for _, f := range p.facts {
		if f.Completed {
			p.completedAt[f.Parts[0]] = latest(p.completedAt[f.Parts[0]], f.OccurredAt)
		}
	}
	maps.DeleteFunc(p.facts, func(_ Key, f PartFact) bool {
		if f.Completed {
			return f.OccurredAt.Before(p.completedAt[f.Parts[0]])
		}
		return p.allCleared(f)
	})
}

// enforceMaxFacts drops the facts beyond MaxPartFacts: those whose parts all have few terminations
// first, and among these the oldest.
func (p *partRecords) enforceMaxFacts() {
	if len(p.facts) <= MaxPartFacts {
		return
	}
	count := map[Part]int{}
	for _, f := range p.facts {
		if !f.Completed {
			for _, part := range f.Parts {
				count[part]++
			}
		}
	}
	most := func(f PartFact) (most int) {
		for _, part := range f.Parts {
			most = max(most, count[part])
		}
		return most
	}
	keys := p.facts.keys()
	slices.SortStableFunc(keys, func(a, b Key) int {
		fa, fb := p.facts[a], p.facts[b]
		return cmp.Or(cmp.Compare(most(fa), most(fb)), fa.OccurredAt.Compare(fb.OccurredAt))
	})
	for _, key := range keys[:len(keys)-MaxPartFacts] {
		delete(p.facts, key)
	}
}

// sortedTerminations returns the terminations in chronological order.
func (p *partRecords) sortedTerminations() []PartFact {
	facts := make([]PartFact, 0, len(p.facts))
	for _, key := range p.facts.keys() {
		if f := p.facts[key]; !f.Completed {
			facts = append(facts, f)
		}
	}
	slices.SortStableFunc(facts, func(a, b PartFact) int { return a.OccurredAt.Compare(b.OccurredAt) })
	return facts
}

// completionsToPublish returns the completed runs at this entry that clear parts of terminations and
// that aren't known to other entries.
func (p *partRecords) completionsToPublish(parts []Part) (completions []PartFact) {
	for _, part := range parts {
		terminations := p.evidence.terminations[part]
		if len(terminations) < minPartTerminations {
			continue
		}
		completedAt, known := p.recentCompletions.lastCompletion(part)
		clears := known && chronological(terminations)[0].occurredAt.Sub(completedAt) < PartClearedPeriod
		if clears && completedAt.After(p.completedAt[part]) {
			completions = append(completions, PartFact{Parts: []Part{part}, EventID: uint64(completedAt.UnixNano()), Completed: true, OccurredAt: completedAt})
		}
	}
	return completions
}

// terminatedParts returns the distinct parts of the terminations among facts.
func terminatedParts(facts []PartFact) (parts []Part) {
	for _, f := range facts {
		if !f.Completed {
			parts = append(parts, f.Parts...)
		}
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}

// attributed returns the number of culprits for each termination that is attributed to parts.
func (p *partRecords) attributed() map[uint64]int {
	attributed := map[uint64]int{}
	for eventID := range p.byEvent {
		for _, culprit := range p.culprits {
			if p.ranAt(culprit, eventID) {
				attributed[eventID]++
			}
		}
	}
	return attributed
}
