package membership

import (
	"cmp"
	"slices"
	"time"
)

// Seed replaces the published entries.
func (v *View) Seed(contacts []Contact) {
	clear(v.seeds)
	for _, c := range contacts {
		if c.VM != v.cfg.VM {
			v.seeds[c.VM] = c
		}
	}
}

// Seeds returns the published entries in the order of their names.
func (v *View) Seeds() []Contact {
	out := make([]Contact, 0, len(v.seeds))
	for _, c := range v.seeds {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Contact) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// Round picks the peers to reconcile with now. Each round contacts Fanout
// peers of the own data centre; one node of a data centre on average contacts
// another data centre.
func (v *View) Round(now time.Time) []Contact {
	local, remote := v.contacts(now)
	picked := v.pick(local, v.cfg.Fanout)
	size := float64(len(local) + 1)
	if len(remote) > 0 && (v.small() || v.cfg.Chance() < 1/size) {
		picked = append(picked, v.pick(remote, 1)...)
	}
	return picked
}

// contacts lists whom a round may reach: the members not known to have left,
// and the published entries that nothing has been heard of. Dead members stay
// on it, else the two sides of a healed cut would never meet again.
func (v *View) contacts(now time.Time) (local, remote []Contact) {
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

func (v *View) pick(from []Contact, count int) []Contact {
	from = slices.Clone(from)
	var out []Contact
	for len(out) < count && len(from) > 0 {
		i := min(int(v.cfg.Chance()*float64(len(from))), len(from)-1)
		out = append(out, from[i])
		from = slices.Delete(from, i, i+1)
	}
	return out
}
