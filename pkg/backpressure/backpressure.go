// Package backpressure records the rate limits and pauses that endpoints report in their responses,
// and decides what an entry may still send to them.
//
// # Limits
//
// An endpoint names in its responses how many requests a second it accepts from all entries
// together, for as long as it throttles. An entry that receives a limit announces it to its peers
// (LimitReport); the latest report applies. Entries don't coordinate each request. Instead, a few
// of them (the sharers) split the limit evenly, and each enforces its share with a token bucket.
// Entries in the endpoint's own data centre are sharers before others, and the sharers differ
// between endpoints. What all sharers send in any interval is at most the limit plus a bounded
// number of requests, whatever the number of entries.
//
//	           a response names a limit,          a response to a later request names
//	           or a peer announces one            none, or a peer announces that
//	[no limit] ------------------------> [limited] -------------------> [limit removed, announced
//	                                       |  ^                          for unlimitedRetention]
//	                                       +--+ another limit
//
// The package does no I/O and reads no clock; the caller passes the time and serialises calls.
package backpressure

import "strconv"

// Kind classifies what a response states about a limit.
type Kind int

const (
	// Unlimited: the response names no limit, so the endpoint has none.
	Unlimited Kind = iota
	// Limited: the response names a limit.
	Limited
	// Unreadable: the limit named can't be parsed and is ignored; the previous one applies.
	Unreadable
)

// String returns the name of the kind, for metrics.
func (k Kind) String() string { return [...]string{"unlimited", "limited", "unreadable"}[k] }

// Limit is the number of requests a second that an endpoint accepts from all entries together, as
// stated by one response.
type Limit struct {
	Kind Kind
	// PerSecond is zero unless the kind is Limited.
	PerSecond float64
}

// String returns the limit in requests a second, or the kind if there is none, for logs.
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

// similarRatio is the ratio up to which two limits count as equal. A limit that changes slightly
// with each response isn't worth announcing to all entries each time.
const similarRatio = 1.1

// similar reports whether two limits are equal up to similarRatio.
func (l Limit) similar(other Limit) bool {
	if l.Kind != other.Kind {
		return false
	}
	low, high := min(l.PerSecond, other.PerSecond), max(l.PerSecond, other.PerSecond)
	return high <= low*similarRatio
}
