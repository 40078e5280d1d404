package quarantine

import (
	"slices"
	"time"
)

// partRuns is where parts ran, from the view of one request.
type partRuns struct {
	// instances maps parts to the event IDs of the instances that terminated while they ran, unless a
	// completed run clears them.
	instances map[Part]map[uint64]bool
	// own are the parts of the request itself.
	own map[Part]bool
}

// runsBeside returns where parts ran, from the view of a request.
func (p *partRecords) runsBeside(request Identity) partRuns {
	runs := partRuns{map[Part]map[uint64]bool{}, map[Part]bool{}}
	for eventID, facts := range p.byEvent {
		for _, f := range facts {
			for _, part := range f.Parts {
				if p.cleared(f, part) {
					continue
				}
				if runs.instances[part] == nil {
					runs.instances[part] = map[uint64]bool{}
				}
				runs.instances[part][eventID] = true
				runs.own[part] = runs.own[part] || f.Request == request
			}
		}
	}
	return runs
}

// mayExplain reports whether a part was running at all given terminations of the request and at others as well. If
// a part of the request was running only at these, the request is the simpler explanation.
func (r partRuns) mayExplain(terminations []Fact) bool {
	for _, ran := range r.instances {
		if len(ran) > len(terminations) && !slices.ContainsFunc(terminations, func(t Fact) bool { return !ran[t.EventID] }) {
			return true
		}
	}
	return false
}

// ambiguous reports whether a part of other requests shares at least minAmbiguousShared of the given terminations, and
// at least half of them.
func (r partRuns) ambiguous(terminations []Fact) bool {
	for part, ran := range r.instances {
		if r.own[part] {
			continue
		}
		shared := 0
		for _, t := range terminations {
			if ran[t.EventID] {
				shared++
			}
		}
		if shared >= minAmbiguousShared && 2*shared >= len(terminations) {
			return true
		}
	}
	return false
}

// repeatedBeside reports whether a part of other requests ran in an instance and in at least minAmbiguousShared ones
// in all.
func (r partRuns) repeatedBeside(eventID uint64) bool {
	for part, ran := range r.instances {
		if !r.own[part] && ran[eventID] && len(ran) >= minAmbiguousShared {
			return true
		}
	}
	return false
}

// explain implements wholeRequests.
func (s *Set) explain(terminations map[uint64]time.Time) bool {
	for _, c := range s.candidates {
		if !c.culprit {
			continue
		}
		ran := map[uint64]time.Time{}
		for _, t := range slices.Concat(c.terminations, c.uncounted) {
			ran[t.EventID] = t.OccurredAt
		}
		if isSubset(terminations, ran) {
			return true
		}
	}
	return false
}

// repeatedBeside implements wholeRequests.
func (s *Set) repeatedBeside(eventID uint64, terminations []termination) bool {
	for _, c := range s.byEvent[eventID] {
		for _, t := range slices.Concat(c.terminations, c.uncounted) {
			if !slices.ContainsFunc(terminations, func(o termination) bool { return o.eventID == t.EventID }) {
				return true
			}
		}
	}
	return false
}
