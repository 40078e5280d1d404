package quarantine

import "slices"

// Keys names all facts, in their order.
func (s *Set) Keys() []Key {
	out := make([]Key, 0, len(s.facts))
	for key := range s.facts {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}

// Compare returns the facts that a peer with these keys lacks, and the keys of those that
// it has and the set doesn't.
func (s *Set) Compare(theirs []Key) (missing []Fact, wanted []Key) {
	known := make(map[Key]bool, len(theirs))
	for _, key := range theirs {
		known[key] = true
		if _, ok := s.facts[key]; !ok {
			wanted = append(wanted, key)
		}
	}
	for _, key := range s.Keys() {
		if !known[key] {
			missing = append(missing, s.facts[key])
		}
	}
	return missing, wanted
}

// Facts returns those of the keys that are known.
func (s *Set) Facts(keys []Key) (out []Fact) {
	for _, key := range keys {
		if f, ok := s.facts[key]; ok {
			out = append(out, f)
		}
	}
	return out
}
