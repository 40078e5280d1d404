// Package limits holds the table's limits over entries that share nothing.
//
// Each entry knows its own use and, from the exchange, what the others said of
// theirs. It may take one more if the known sum is below the limit. While it is in
// doubt, because a peer that it counts has not been heard of for a while, it
// also has its floor, the limit divided by the published entries, so that the
// last words of a peer that is gone can't shut it out. Overshoot is what all
// take while news is under way; under a cut each side may go up to the limit.
//
// Only limits under pressure are exchanged, the ones used most first, and at
// most MaxPublished; the others are far from mattering.
package limits

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxPublished bounds the limits of which an entry tells its use.
const MaxPublished = 16

// pressure is the share of a limit from which on its use is told: the known use
// of all, or what it would be if all entries used as much as this one. What no
// entry tells is therefore below this share in sum.
const publishThreshold = 0.05

// Key names a limit: a workspace and a kind.
type Key struct{ Workspace, Kind string }

// Hash names a key in the exchange. Two keys with one hash would only count for
// each other.
type Hash uint32

// Hash computes the hash of a key.
func (k Key) Hash() Hash { return Hash(xxhash.Sum64String(k.Workspace + "\x00" + k.Kind)) }

// Counter holds one entry's view. The caller serialises calls.
type Counter struct {
	own       map[Key]int
	limits    map[Key]int
	peers     map[string]map[Hash]int
	peerSums  map[Hash]int
	entries   int
	uncertain bool
}

// New makes a counter of a single entry.
func New() *Counter {
	return &Counter{
		own:      map[Key]int{},
		limits:   map[Key]int{},
		peers:    map[string]map[Hash]int{},
		peerSums: map[Hash]int{},
		entries:  1,
	}
}

// SetEntries sets the number of published entries, this one included.
func (c *Counter) SetEntryCount(n int) { c.entries = max(n, 1) }

// SetDoubt says whether a peer that is counted has not been heard of lately.
func (c *Counter) SetUncertain(uncertain bool) { c.uncertain = uncertain }

// SetPeer replaces what a peer said of its use; nil forgets the peer.
func (c *Counter) SetPeerUsage(vm string, usage map[Hash]int) {
	for k, n := range c.peers[vm] {
		c.peerSums[k] -= n
		if c.peerSums[k] == 0 {
			delete(c.peerSums, k)
		}
	}
	if usage == nil {
		delete(c.peers, vm)
		return
	}
	c.peers[vm] = usage
	for k, n := range usage {
		c.peerSums[k] += n
	}
}

// Allows reports whether one more may be taken under a limit.
func (c *Counter) Allows(k Key, limit int) bool {
	own := c.own[k]
	if c.uncertain && own < limit/c.entries {
		return true
	}
	return own+c.peerUsage(k) < limit
}

func (c *Counter) peerUsage(k Key) int {
	if len(c.peerSums) == 0 {
		return 0
	}
	return c.peerSums[k.Hash()]
}

// Take counts one more under a limit.
func (c *Counter) Acquire(k Key, limit int) {
	c.own[k]++
	c.limits[k] = limit
}

// Release counts one less.
func (c *Counter) Release(k Key) {
	c.own[k]--
	if c.own[k] <= 0 {
		delete(c.own, k)
		delete(c.limits, k)
	}
}

// Use is the own use of one limit.
type Usage struct {
	Hash  Hash
	Count int

	utilization float64
}

// Published returns the own use that the others need to know.
func (c *Counter) PublishedUsage() []Usage {
	var usage []Usage
	for k, n := range c.own {
		limit := c.limits[k]
		if limit == 0 {
			continue
		}
		utilization := float64(max(n+c.peerUsage(k), n*c.entries)) / float64(limit)
		if utilization >= publishThreshold {
			usage = append(usage, Usage{k.Hash(), n, utilization})
		}
	}
	slices.SortFunc(usage, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.utilization, a.utilization), cmp.Compare(a.Hash, b.Hash))
	})
	return usage[:min(len(usage), MaxPublished)]
}

// Sum returns the use known over all entries.
func (c *Counter) TotalUsage(k Key) int { return c.own[k] + c.peerUsage(k) }
