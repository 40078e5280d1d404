package membership

import (
	"cmp"
	"slices"
	"time"
)

// SetSeeds sets the entries of the fleet list as the seeds.
func (v *View) SetSeeds(contacts []Contact) {
	clear(v.seeds)
	for _, c := range contacts {
		if c.VM != v.cfg.VM {
			v.seeds[c.VM] = c
		}
	}
}

// Seeds returns the entries of the fleet list, without the local node, in the order
// of their VM names.
func (v *View) Seeds() []Contact {
	contacts := make([]Contact, 0, len(v.seeds))
	for _, c := range v.seeds {
		contacts = append(contacts, c)
	}
	slices.SortFunc(contacts, func(a, b Contact) int { return cmp.Compare(a.VM, b.VM) })
	return contacts
}

// SelectPeers selects the peers of one gossip round at random: Fanout of the own
// data centre and, with probability 1 / (size of the own data centre), one of
// another, so that one node per data centre contacts another on average. In small
// fleets every round contacts another data centre.
func (v *View) SelectPeers(now time.Time) []Contact {
	local, remote := v.candidates(now)
	selected := v.sample(local, v.cfg.Fanout)
	size := float64(len(local) + 1)
	if len(remote) > 0 && (v.isSmallFleet() || v.cfg.Random() < 1/size) {
		selected = append(selected, v.sample(remote, 1)...)
	}
	return selected
}

// candidates returns the peers that a round may contact: members that have not
// left, and seeds of which no record is stored. Dead members are
// included; otherwise the two sides of a network partition would never reconcile
// after it heals.
func (v *View) candidates(now time.Time) (local, remote []Contact) {
	add := func(c Contact) {
		if c.DataCenter == v.cfg.DataCenter {
			local = append(local, c)
		} else {
			remote = append(remote, c)
		}
	}
	for _, m := range v.Members(now) {
		if m.Status != Left {
			add(m.Contact)
		}
	}
	for _, s := range v.Seeds() {
		if v.nodes[s.VM] == nil {
			add(s)
		}
	}
	return local, remote
}

// Delegates returns up to count live peers that satisfy accepts, chosen at random. Those of the own
// data centre come first.
func (v *View) Delegates(now time.Time, count int, accepts func(Member) bool) []Contact {
	var local, remote []Contact
	for _, m := range v.Members(now) {
		switch {
		case m.Status != Alive || !inLiveState(m) || !accepts(m):
		case m.DataCenter == v.cfg.DataCenter:
			local = append(local, m.Contact)
		default:
			remote = append(remote, m.Contact)
		}
	}
	selected := v.sample(local, count)
	return append(selected, v.sample(remote, count-len(selected))...)
}

// sample returns up to count distinct contacts, chosen at random.
func (v *View) sample(remaining []Contact, count int) []Contact {
	remaining = slices.Clone(remaining)
	var sampled []Contact
	for len(sampled) < count && len(remaining) > 0 {
		i := min(int(v.cfg.Random()*float64(len(remaining))), len(remaining)-1)
		sampled = append(sampled, remaining[i])
		remaining = slices.Delete(remaining, i, i+1)
	}
	return sampled
}
