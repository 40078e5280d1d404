// Package backpressure keeps what endpoints say in their answers of how much they take, and
// tells an entry what it may still send.
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
		return strconv.FormatFloat(l.PerSecond, 'g', -1, 64)
	case Unreadable:
		return "unreadable"
	default:
		return "none"
	}
}
