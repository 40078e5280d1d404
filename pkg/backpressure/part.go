package backpressure

import (
	"hash/fnv"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// Place is where an entry stands among all that may serve callers, in the order of their
// names. The zero Place is that of an entry which knows of no other.
type Place struct {
	// DataCenter is the entry's own.
	DataCenter string
	// Entries counts those of each data centre, this one included, and Before those whose
	// names come before this one's.
	Entries, Before map[string]int
}

// Total counts all entries.
func (p Place) Total() int { return max(sum(p.Entries), 1) }

// Rank is the place of the entry among all, from zero.
func (p Place) Rank() int { return sum(p.Before) }

func sum(counts map[string]int) (n int) {
	for _, count := range counts {
		n += count
	}
	return n
}

// turn places the entry among all at an endpoint, from zero: those of its data centre first,
// which reach it also while that is cut off and choose it before others, and in an order that
// differs between endpoints.
func (p Place) turn(e fleet.Endpoint) int {
	near := p.Entries[e.DataCenter]
	if p.DataCenter == e.DataCenter {
		return rotate(e.ID, p.Before[e.DataCenter], max(near, 1))
	}
	return near + rotate(e.ID, p.Rank()-p.Before[e.DataCenter], max(p.Total()-near, 1))
}

// rotate shifts a place among some by a hash of a name.
func rotate(name string, place, among int) int {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(name))
	return (place + int(h.Sum32()%uint32(among))) % among
}

const (
	// leastPerSecond is what is sent to an endpoint that takes nothing: nobody would learn
	// otherwise that it takes requests again.
	leastPerSecond = 0.1
	// sharersPerSecond and moreSharers say among how many entries a limit is shared. In some
	// time each may send one request more than its rate, so that the sharers together stay
	// below one and a half times the limit over four seconds, and five more, with room for
	// entries that see different members for a moment. Fewer would leave room unused, as
	// each has only the callers that come to it.
	sharersPerSecond = 1.5
	moreSharers      = 2
)

func rateOf(l Limit) float64 { return max(l.PerSecond, leastPerSecond) }

// part is what one entry may send of a limit: so many requests a second, and so many at once
// after a while without any. Without a part both are zero.
type part struct{ perSecond, burst float64 }

// part is this entry's part of an endpoint's limit.
func (s *Set) part(e fleet.Endpoint, l Limit) part {
	rate := rateOf(l)
	sharers := min(s.place.Total(), int(sharersPerSecond*rate)+moreSharers)
	if s.place.turn(e) >= sharers {
		return part{}
	}
	own := rate / float64(sharers)
	return part{perSecond: own, burst: max(own, 1)}
}

// bucket is a token bucket; a token is a request that may be sent. It begins empty, since
// an endpoint that names a limit has more than it takes already.
type bucket struct {
	tokens float64
	at     time.Time
}

// fill adds what has come since the last call.
func (b *bucket) fill(now time.Time, p part) {
	if since := now.Sub(b.at); since > 0 {
		b.tokens = min(b.tokens+p.perSecond*since.Seconds(), p.burst)
		b.at = now
	}
}

// almostOne allows for what sums of fractions lose.
const almostOne = 1 - 1e-9

func (b *bucket) holds() bool { return b.tokens >= almostOne }
