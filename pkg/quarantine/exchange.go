package quarantine

import "slices"

// Keys returns the keys of all facts in ascending order.
func (s *Set) Keys() []Key {
	keys := make([]Key, 0, len(s.facts))
	for key := range s.facts {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Compare returns the facts whose keys the peer lacks, and the keys of the facts that the peer
// has and the set lacks.
func (s *Set) Compare(peerKeys []Key) (missing []Fact, wanted []Key) {
	peerHas := make(map[Key]bool, len(peerKeys))
	for _, key := range peerKeys {
		peerHas[key] = true
		if _, ok := s.facts[key]; !ok {
			wanted = append(wanted, key)
		}
	}
	for _, key := range s.Keys() {
		if !peerHas[key] {
			missing = append(missing, s.facts[key])
		}
	}
	return missing, wanted
}

// Facts returns the facts with the given keys, leaving out unknown keys.
func (s *Set) Facts(keys []Key) (facts []Fact) {
	for _, key := range keys {
		if f, ok := s.facts[key]; ok {
			facts = append(facts, f)
		}
	}
	return facts
}
