package quarantine

import "slices"

// factMap holds facts of one type by their keys.
type factMap[F any] map[Key]F

// keys returns the keys of all facts in ascending order.
func (m factMap[F]) keys() []Key {
	keys := make([]Key, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// compare returns the facts whose keys the peer lacks, and the keys that only the peer has.
func (m factMap[F]) compare(peerKeys []Key) (missing []F, wanted []Key) {
	peerHas := make(map[Key]bool, len(peerKeys))
	for _, key := range peerKeys {
		peerHas[key] = true
		if _, ok := m[key]; !ok {
			wanted = append(wanted, key)
		}
	}
	for _, key := range m.keys() {
		if !peerHas[key] {
			missing = append(missing, m[key])
		}
	}
	return missing, wanted
}

// get returns the facts with the given keys, leaving out unknown keys.
func (m factMap[F]) get(keys []Key) (facts []F) {
	for _, key := range keys {
		if f, ok := m[key]; ok {
			facts = append(facts, f)
		}
	}
	return facts
}

// Keys returns the keys of all facts in ascending order.
func (s *Set) Keys() []Key { return s.facts.keys() }

// Compare returns the facts whose keys the peer lacks, and the keys of the facts that the peer
// has and the set lacks.
func (s *Set) Compare(peerKeys []Key) (missing []Fact, wanted []Key) {
	return s.facts.compare(peerKeys)
}

// Facts returns the facts with the given keys, leaving out unknown keys.
func (s *Set) Facts(keys []Key) []Fact { return s.facts.get(keys) }

// PartKeys is Keys for facts about parts.
func (s *Set) PartKeys() []Key { return s.parts.facts.keys() }

// ComparePartFacts is Compare for facts about parts.
func (s *Set) ComparePartFacts(peerKeys []Key) (missing []PartFact, wanted []Key) {
	return s.parts.facts.compare(peerKeys)
}

// PartFacts is Facts for facts about parts.
func (s *Set) PartFacts(keys []Key) []PartFact { return s.parts.facts.get(keys) }
