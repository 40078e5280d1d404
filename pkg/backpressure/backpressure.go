// Package backpressure keeps what throttling endpoints say in their answers, and tells an entry
// what it may still send to them.
//
// # Limits
//
// An endpoint names in its answers how many requests a second it takes from all entries
// together, for as long as it does so. Any entry that is told passes it on to the others
// (Statement); the newest statement holds. Entries don't ask each other before each request,
// so each has a part: a few of them share the limit (sharers), those of the endpoint's own
// data centre before others, and not the same ones at each endpoint. Each sharer has a token
// bucket. What all sharers send in some time is the limit and a bounded number more, whatever
// the number of entries.
//
//	          an answer names one                an answer to a later
//	[no limit] ----------------> [limited] ------------------------> [no limit, told for a while]
//	              or a peer tells   | ^  another number               request names none, or a peer tells
//	                                +-+
//
// The package does no I/O and reads no clock; the caller passes the time and serialises calls.
package backpressure

import "strconv"

// Kind tells apart what an answer says of a limit.
type Kind int

// The kinds.
const (
	// Unlimited: the answer names no limit, so that its endpoint has none.
	Unlimited Kind = iota
	// Limited: it names one.
	Limited
	// Unreadable: what it names can't be read and says nothing: what was said before holds.
	Unreadable
)

// String implements fmt.Stringer, for metrics.
func (k Kind) String() string { return [...]string{"unlimited", "limited", "unreadable"}[k] }

// Limit is what one answer says of how many requests a second its endpoint takes, of all
// entries together.
type Limit struct {
	Kind Kind
	// PerSecond is zero unless the kind is Limited.
	PerSecond float64
}

// String implements fmt.Stringer, for logs.
func (l Limit) String() string {
	switch l.Kind {
	case Limited:
		return strconv.FormatFloat(l.PerSecond, 'g', 4, 64)
	case Unreadable:
		return "unreadable"
	default:
		return "none"
	}
}

// sameShare is up to what ratio two limits count as the same: a number that changes a little
// with each answer isn't worth telling to all entries each time.
const sameShare = 1.1

// like reports whether another limit is no news beside this one.
func (l Limit) like(other Limit) bool {
	if l.Kind != other.Kind {
		return false
	}
	low, high := min(l.PerSecond, other.PerSecond), max(l.PerSecond, other.PerSecond)
	return high <= low*sameShare
}
