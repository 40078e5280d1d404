package membership

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
)

// Assigned reports whether the owner is among the count live entries of its
// data centre that rank highest for the job, by rendezvous hashing. Entries
// that disagree on who is alive do a job too often or, for a moment, not at
// all; so only jobs for which both are harmless are shared out this way:
// polling endpoints and watching the platform.
func (v *View) Assigned(now time.Time, job string, count int) bool {
	above, _ := v.Above(now, job, func(Member) bool { return true })
	return above < count
}

// Above counts the live entries of the data centre that rank above the owner for a job, and those
// of them that a condition holds for.
func (v *View) Above(now time.Time, job string, holds func(Member) bool) (all, holding int) {
	mine := Rank(job, v.cfg.VM)
	for _, n := range v.nodes {
		if n.record.GetDataCenter() != v.cfg.DataCenter || v.status(now, n) != Alive {
			continue
		}
		if Rank(job, n.record.GetVm()) <= mine {
			continue
		}
		all++
		if holds(v.member(now, n)) {
			holding++
		}
	}
	return all, holding
}

// LocalSize counts the live entries of the own data centre, the owner included.
func (v *View) LocalSize(now time.Time) int {
	n := 1
	for _, other := range v.nodes {
		if other.record.GetDataCenter() == v.cfg.DataCenter && v.status(now, other) == Alive {
			n++
		}
	}
	return n
}

// Rank gives the rank of a VM for a job in rendezvous hashing; the highest does it.
func Rank(job, vm string) uint64 { return xxhash.Sum64String(job + "\x00" + vm) }

// Successor picks the entry that takes over the owner's tickets: the live one
// of the own data centre that ranks highest, else of any other. Those that have
// refused are left out.
func (v *View) Successor(now time.Time, refused map[string]bool) (Contact, bool) {
	var local, remote []Contact
	for _, m := range v.Members(now) {
		if m.Status != Alive || !isLive(m) || refused[m.VM] {
			continue
		}
		if m.DataCenter == v.cfg.DataCenter {
			local = append(local, m.Contact)
		} else {
			remote = append(remote, m.Contact)
		}
	}
	for _, group := range [][]Contact{local, remote} {
		if len(group) > 0 {
			return slices.MaxFunc(group, v.bySuccession), true
		}
	}
	return Contact{}, false
}

func (v *View) bySuccession(a, b Contact) int {
	job := "successor/" + v.cfg.VM
	return cmp.Compare(Rank(job, a.VM), Rank(job, b.VM))
}

func isLive(m Member) bool { return m.Record.GetState() == peerv1.NodeState_NODE_STATE_LIVE }

// Inheritor finds the member that has taken over the tickets of an incarnation.
func (v *View) Inheritor(now time.Time, incarnation []byte) (Member, bool) {
	for name, n := range v.nodes {
		for _, i := range n.record.GetInherited() {
			if bytes.Equal(i, incarnation) {
				return v.Find(now, name)
			}
		}
	}
	return Member{}, false
}
