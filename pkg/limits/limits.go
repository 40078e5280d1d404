// Package limits holds the table's limits over entries that share nothing.
//
// Each entry knows its own use and, from the exchange, what the others said of
// theirs. It may take one more if the known sum is below the limit. Each entry
// also always has its floor, the limit divided by the published entries but at
// least one: that is what a side of a cut can go on with, and what bounds the
// overshoot while news is under way. (Issue 5, "Workspace limits held across
// entries".)
package limits

// Key names a limit: a workspace and a kind.
type Key struct{ Workspace, Kind string }

// Counter holds one entry's view. The caller serialises calls.
type Counter struct {
	own     map[Key]int
	peers   map[string]map[Key]int
	sums    map[Key]int
	entries int
}

// New makes a counter of a single entry.
func New() *Counter {
	return &Counter{
		own:     map[Key]int{},
		peers:   map[string]map[Key]int{},
		sums:    map[Key]int{},
		entries: 1,
	}
}

// SetEntries sets the number of published entries, this one included.
func (c *Counter) SetEntries(n int) { c.entries = max(n, 1) }

// SetPeer replaces what a peer said of its use; nil forgets the peer.
func (c *Counter) SetPeer(vm string, use map[Key]int) {
	for k, n := range c.peers[vm] {
		c.sums[k] -= n
		if c.sums[k] == 0 {
			delete(c.sums, k)
		}
	}
	if use == nil {
		delete(c.peers, vm)
		return
	}
	c.peers[vm] = use
	for k, n := range use {
		c.sums[k] += n
	}
}

// Allows reports whether one more may be taken under a limit.
func (c *Counter) Allows(k Key, limit int) bool {
	own := c.own[k]
	if own < max(limit/c.entries, 1) {
		return own < limit
	}
	return own+c.sums[k] < limit
}

// Take counts one more.
func (c *Counter) Take(k Key) { c.own[k]++ }

// Release counts one less.
func (c *Counter) Release(k Key) {
	c.own[k]--
	if c.own[k] <= 0 {
		delete(c.own, k)
	}
}

// Own returns this entry's use; the caller must not change it.
func (c *Counter) Own() map[Key]int { return c.own }

// Sum returns the use known over all entries.
func (c *Counter) Sum(k Key) int { return c.own[k] + c.sums[k] }
