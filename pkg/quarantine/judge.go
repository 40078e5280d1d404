package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// suspect is a request that something is known of.
type suspect struct {
	// ends are its lives that ended since it last came whole.
	ends []Fact
	// unexplained counts those that no other request explains.
	unexplained int
	// standsOut says that no other request shares all of them.
	standsOut bool
	// last is when the last of them was.
	last time.Time
}

// contained reports whether its ends are enough.
func (s *suspect) contained() bool {
	return s.unexplained >= TiedThreshold || s.standsOut && s.unexplained >= Threshold
}

// hold is for how long it is contained after its last end.
func (s *suspect) hold() time.Duration {
	if s.standsOut {
		return Hold
	}
	return TiedHold
}

// judge derives the suspects from the facts.
func (s *Set) judge() {
	s.dropCleared()
	s.bound()
	clear(s.suspects)
	for _, f := range s.facts {
		if f.Whole {
			continue
		}
		one := s.suspects[f.Identity]
		if one == nil {
			one = &suspect{}
			s.suspects[f.Identity] = one
		}
		one.ends = append(one.ends, f)
		if f.At.After(one.last) {
			one.last = f.At
		}
	}
	s.explain()
}

// dropCleared drops the ends of requests that came whole later, and all but the latest
// success of each.
func (s *Set) dropCleared() {
	whole := map[Identity]Fact{}
	for _, f := range s.facts {
		if best, ok := whole[f.Identity]; f.Whole && (!ok || f.At.After(best.At)) {
			whole[f.Identity] = f
		}
	}
	for key, f := range s.facts {
		if best, ok := whole[f.Identity]; ok && f != best && best.clears(f) {
			delete(s.facts, key)
		}
	}
}

// bound drops the least telling facts beyond MaxFacts: those of requests with the fewest
// ends, the oldest first.
func (s *Set) bound() {
	if len(s.facts) <= MaxFacts {
		return
	}
	ends := map[Identity]int{}
	for _, f := range s.facts {
		if !f.Whole {
			ends[f.Identity]++
		}
	}
	keys := make([]Key, 0, len(s.facts))
	for key := range s.facts {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		fa, fb := s.facts[a], s.facts[b]
		return cmp.Or(cmp.Compare(ends[fa.Identity], ends[fb.Identity]), fa.At.Compare(fb.At), cmp.Compare(a, b))
	})
	for _, key := range keys[:len(keys)-MaxFacts] {
		delete(s.facts, key)
	}
}

// explain counts the ends of each suspect that no contained one explains. Those with the most
// ends come first, and among as many those whose last end is the longest ago: they were
// contained before the others had theirs. Without the latter an innocent request that ran in
// two lives beside one that crashes, and in a third beside another, was contained.
func (s *Set) explain() {
	order := slices.SortedFunc(maps.Values(s.suspects), func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(len(b.ends), len(a.ends)), a.last.Compare(b.last))
	})
	explained := map[uint64]bool{}
	for _, one := range order {
		one.unexplained = 0
		for _, end := range one.ends {
			if !explained[end.Mark] {
				one.unexplained++
			}
		}
		one.standsOut = len(one.ends) >= Threshold && s.standsOut(one)
		if !one.contained() || !one.standsOut {
			continue
		}
		for _, end := range one.ends {
			explained[end.Mark] = true
		}
	}
}

// standsOut reports whether no other suspect shares all ends of one.
func (s *Set) standsOut(one *suspect) bool {
	marks := make(map[uint64]bool, len(one.ends))
	for _, end := range one.ends {
		marks[end.Mark] = true
	}
	for _, other := range s.suspects {
		if other == one || len(other.ends) < len(one.ends) {
			continue
		}
		shared := 0
		for _, end := range other.ends {
			if marks[end.Mark] {
				shared++
			}
		}
		if shared == len(marks) {
			return false
		}
	}
	return true
}
