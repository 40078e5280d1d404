package backpressure

import (
	"hash/fnv"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// Rank describes the rank of an entry in the sorted list of the entries that may serve callers. The
// zero Rank is that of an entry without known peers.
type Rank struct {
	// DataCenter is the data centre of this entry.
	DataCenter string
	// Entries counts the entries of each data centre, including this one, and Preceding those
	// whose names sort before this entry's.
	Entries, Preceding map[string]int
}

// EntryCount returns the number of all entries, at least one.
func (r Rank) EntryCount() int { return max(sum(r.Entries), 1) }

// Overall returns the rank among the entries of all data centres, from zero.
func (r Rank) Overall() int { return sum(r.Preceding) }

func sum(counts map[string]int) (n int) {
	for _, count := range counts {
		n += count
	}
	return n
}

// forEndpoint returns the rank of this entry in the order in which entries share an endpoint's limit,
// from zero. Entries of the endpoint's data centre come first, since they reach it also when that data
// centre is cut off and prefer it to other endpoints. The order differs between endpoints.
func (r Rank) forEndpoint(e fleet.Endpoint) int {
	sameDC := r.Entries[e.DataCenter]
	if r.DataCenter == e.DataCenter {
		return rotate(e.ID, r.Preceding[e.DataCenter], max(sameDC, 1))
	}
	return sameDC + rotate(e.ID, r.Overall()-r.Preceding[e.DataCenter], max(r.EntryCount()-sameDC, 1))
}

// rotate shifts a rank among n entries by a hash of a name.
func rotate(name string, rank, n int) int {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(name))
	return (rank + int(h.Sum32()%uint32(n))) % n
}

const (
	// minPerSecond is the rate of requests to an endpoint whose limit is lower or zero, so that
	// entries detect when it accepts requests again.
	minPerSecond = 0.1
	// A limit is shared by sharersPerSecond entries for each request a second, plus
	// extraSharers. In any interval each sharer may send one request more than its rate. With
	// these values, all sharers together stay below one and a half times the limit over four
	// seconds plus five requests, with a margin for entries whose membership views differ for a
	// moment. Fewer sharers would leave capacity unused, as each serves only its own callers.
	sharersPerSecond = 1.5
	extraSharers     = 2
)

func effectiveRate(l Limit) float64 { return max(l.PerSecond, minPerSecond) }

// share is the part of a limit that one entry may use: a sustained rate, and the burst after a time
// without requests. Both are zero for an entry that isn't a sharer.
type share struct{ perSecond, burst float64 }

// shareOf returns this entry's share of an endpoint's limit.
func (s *Set) shareOf(e fleet.Endpoint, l Limit) share {
	rate := effectiveRate(l)
	entries := s.rank.EntryCount()
	sharers := min(entries, int(min(sharersPerSecond*rate, float64(entries)))+extraSharers)
	if s.rank.forEndpoint(e) >= sharers {
		return share{}
	}
	perSharer := rate / float64(sharers)
	return share{perSecond: perSharer, burst: max(perSharer, 1)}
}

// bucket is a token bucket; a token permits one request. It starts empty, since an endpoint that
// names a limit already has more requests than it accepts.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// refill adds the tokens for the time since the last call.
func (b *bucket) refill(now time.Time, ownShare share) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.tokens+ownShare.perSecond*elapsed.Seconds(), ownShare.burst)
		b.refilledAt = now
	}
}

// minToken is one token less a tolerance for rounding errors in sums of fractions.
const minToken = 1 - 1e-9

func (b *bucket) hasToken() bool { return b.tokens >= minToken }
