package membership

import (
	"bytes"
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
)

// Assigned reports whether the local node is among the count live entries of its
// data centre with the highest scores for a job, by rendezvous hashing. While
// the views of entries differ, more than count entries may do a job or, for a
// moment, fewer or none; so it serves only for jobs where both are harmless, such
// as polling endpoints and watching the platform.
func (v *View) Assigned(now time.Time, job string, count int) bool {
	higher, _ := v.HigherRanked(now, job, func(Member) bool { return true })
	return higher < count
}

// HigherRanked returns how many live peers of the own data centre have a higher score for a job
// than the local node, and how many of those satisfy matches.
func (v *View) HigherRanked(now time.Time, job string, matches func(Member) bool) (total, matching int) {
	ownScore := RendezvousScore(job, v.cfg.VM)
	for _, n := range v.nodes {
		if n.record.GetDataCenter() != v.cfg.DataCenter || v.status(now, n) != Alive {
			continue
		}
		if RendezvousScore(job, n.record.GetVm()) <= ownScore {
			continue
		}
		total++
		if matches(v.member(now, n)) {
			matching++
		}
	}
	return total, matching
}

// LocalSize returns the number of live entries of the own data centre, including the local node.
func (v *View) LocalSize(now time.Time) int {
	n := 1
	for _, peer := range v.nodes {
		if peer.record.GetDataCenter() == v.cfg.DataCenter && v.status(now, peer) == Alive {
			n++
		}
	}
	return n
}

// RendezvousScore returns the score of a VM for a job in rendezvous hashing (highest random
// weight); the job is assigned to the VMs with the highest scores.
func RendezvousScore(job, vm string) uint64 {
	return RendezvousScoreOfHashes(xxhash.Sum64String(job), xxhash.Sum64String(vm))
}

// RendezvousScoreOfHashes is RendezvousScore for the xxhash values of the names, so that many jobs
// can be assigned among many entries without hashing both names of each pair.
func RendezvousScoreOfHashes(job, vm uint64) uint64 {
	// The finalizer of MurmurHash3.
	h := job ^ bits.RotateLeft64(vm, 32)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Ranking assigns many jobs among the live entries of a data centre. It holds the hashes of their
// names at the time of its creation.
type Ranking struct {
	selfHash   uint64
	peerHashes []uint64
}

// Ranking returns a Ranking of the entries of the own data centre that are live at now.
func (v *View) Ranking(now time.Time) Ranking {
	r := Ranking{selfHash: xxhash.Sum64String(v.cfg.VM)}
	for _, n := range v.nodes {
		if n.record.GetDataCenter() == v.cfg.DataCenter && v.status(now, n) == Alive {
			r.peerHashes = append(r.peerHashes, xxhash.Sum64String(n.record.GetVm()))
		}
	}
	return r
}

// Size returns the number of entries, including the local node.
func (r Ranking) Size() int { return len(r.peerHashes) + 1 }

// Assigned is View.Assigned for the entries of the ranking.
func (r Ranking) Assigned(job string, count int) bool {
	jobHash := xxhash.Sum64String(job)
	ownScore := RendezvousScoreOfHashes(jobHash, r.selfHash)
	higher := 0
	for _, peerHash := range r.peerHashes {
		if RendezvousScoreOfHashes(jobHash, peerHash) <= ownScore {
			continue
		}
		if higher++; higher >= count {
			return false
		}
	}
	return higher < count
}

// Successor returns the entry that is to take over the local node's tickets: the live
// one with the highest rendezvous score in the own data centre or, if there is
// none, in the other data centres. VMs in excluded are not selected, such as those
// that have refused the handover.
func (v *View) Successor(now time.Time, excluded map[string]bool) (Contact, bool) {
	var local, remote []Contact
	for _, m := range v.Members(now) {
		if m.Status != Alive || !inLiveState(m) || excluded[m.VM] {
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
			return slices.MaxFunc(group, v.compareSuccessors), true
		}
	}
	return Contact{}, false
}

func (v *View) compareSuccessors(a, b Contact) int {
	job := "successor/" + v.cfg.VM
	return cmp.Compare(RendezvousScore(job, a.VM), RendezvousScore(job, b.VM))
}

// inLiveState reports whether a member is neither leaving nor has left, by its own record.
func inLiveState(m Member) bool { return m.Record.GetState() == peerv1.NodeState_NODE_STATE_LIVE }

// Inheritor returns the member that has inherited the tickets of an incarnation.
func (v *View) Inheritor(now time.Time, incarnation []byte) (Member, bool) {
	for vm, n := range v.nodes {
		for _, inherited := range n.record.GetInherited() {
			if bytes.Equal(inherited, incarnation) {
				return v.Find(now, vm)
			}
		}
	}
	return Member{}, false
}
