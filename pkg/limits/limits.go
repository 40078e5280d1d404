// Package limits enforces the table's limits across entries that share no state.
//
// Each entry counts its own usage and receives that of its peers by gossip. It
// admits a request if the sum of both is below the limit. While the sum is
// uncertain, because a peer in it has sent no update for a while, the entry also
// admits requests up to a floor, the limit divided by the number of published
// entries, so that the last usage received from a terminated peer can't block it. Limits
// are soft: usage may exceed a limit by what the entries admit while updates are in
// transit, and in a network partition each side may use the whole limit.
//
// Only usage close enough to its limit to matter is published, the most utilized
// limits first, and at most MaxPublished of them.
package limits

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxPublished is the maximum number of limits for which an entry publishes its
// usage.
const MaxPublished = 16

// publishThreshold is the share of a limit from which on its usage is published.
// It is compared with the known usage of all entries and with what the usage
// would be if all entries used as much as this one. The usage that no entry
// publishes therefore adds up to less than this share.
const publishThreshold = 0.05

// Key identifies a limit.
type Key struct{ Workspace, Kind string }

// Hash identifies a key in gossip messages. If the hashes of two keys
// collide, the usage of each also counts towards the limit of the other; that is
// the only effect.
type Hash uint32

// Hash returns the hash of the key.
func (k Key) Hash() Hash { return Hash(xxhash.Sum64String(k.Workspace + "\x00" + k.Kind)) }

// Counter holds one entry's own usage and its view of its peers'. It is not safe
// for concurrent use.
type Counter struct {
	// own is the entry's own usage of each limit, and limits holds the value of the
	// limit in the last Acquire.
	own    map[Key]int
	limits map[Key]int
	// peers holds the usage of each peer by VM, and peerSums their sum.
	peers    map[string]map[Hash]int
	peerSums map[Hash]int
	// entries is the number of published entries, this one included.
	entries int
	// uncertain is set while the usage of a peer in the sum is stale.
	uncertain bool
}

// New returns a counter for an entry without peers.
func New() *Counter {
	return &Counter{
		own:      map[Key]int{},
		limits:   map[Key]int{},
		peers:    map[string]map[Hash]int{},
		peerSums: map[Hash]int{},
		entries:  1,
	}
}

// SetEntryCount sets the number of published entries, this one included.
func (c *Counter) SetEntryCount(n int) { c.entries = max(n, 1) }

// SetUncertain sets whether the usage of a peer in the sum is stale.
func (c *Counter) SetUncertain(uncertain bool) { c.uncertain = uncertain }

// SetPeerUsage replaces the usage of a peer; nil removes the peer.
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

// Allows reports whether one more request may be admitted under a limit.
func (c *Counter) Allows(k Key, limit int) bool {
	own := c.own[k]
	if c.uncertain && own < limit/c.entries {
		return true
	}
	return own+c.peerUsage(k) < limit
}

// peerUsage returns the known usage of the peers.
func (c *Counter) peerUsage(k Key) int {
	if len(c.peerSums) == 0 {
		return 0
	}
	return c.peerSums[k.Hash()]
}

// Acquire counts one more request under a limit, without checking it.
func (c *Counter) Acquire(k Key, limit int) {
	c.own[k]++
	c.limits[k] = limit
}

// Release undoes one Acquire.
func (c *Counter) Release(k Key) {
	c.own[k]--
	if c.own[k] <= 0 {
		delete(c.own, k)
		delete(c.limits, k)
	}
}

// Usage is an entry's own usage of one limit.
type Usage struct {
	Hash  Hash
	Count int

	// utilization is the estimated usage of all entries as a share of the limit.
	utilization float64
}

// PublishedUsage returns the own usage that peers need, the most utilized limits
// first.
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

// TotalUsage returns the known usage of all entries.
func (c *Counter) TotalUsage(k Key) int { return c.own[k] + c.peerUsage(k) }
