package retry

import (
	"time"
)

// Budget bounds retries to a share of first attempts. It is a bucket that
// each first attempt fills by Share and each retry empties by one.
type Budget struct {
	// Share of first attempts that may be retried, such as 0.1.
	Share float64
	// Burst is the most that can be saved up.
	Burst float64

	saved float64
}

// DefaultShare and DefaultBurst suit a fleet whose endpoints rarely fail.
const (
	DefaultShare = 0.1
	DefaultBurst = 10
)

// NewBudget makes a full budget with the defaults.
func NewBudget() *Budget { return NewBudgetOf(DefaultShare, DefaultBurst) }

// NewBudgetOf makes a full budget.
func NewBudgetOf(share, burst float64) *Budget {
	return &Budget{Share: share, Burst: burst, saved: burst}
}

// First records a first attempt.
func (b *Budget) First() { b.saved = min(b.saved+b.Share, b.Burst) }

// Left reports whether a retry is allowed.
func (b *Budget) Left() bool { return b.saved >= 1 }

// Spend takes one retry; it returns false if none is left.
func (b *Budget) Spend() bool {
	if !b.Left() {
		return false
	}
	b.saved--
	return true
}

// Backoff bounds.
const (
	backoffBase = 20 * time.Millisecond
	backoffMax  = 2 * time.Second
)

// Backoff gives the wait before the n-th retry, counted from one, with full
// jitter.
func Backoff(n int, random func() float64) time.Duration {
	limit := backoffMax
	if n < 8 {
		limit = min(backoffBase<<n, backoffMax)
	}
	return time.Duration(random() * float64(limit))
}
