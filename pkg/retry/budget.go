package retry

import (
	"time"
)

// Budget bounds retries to a share of first attempts. It is a bucket that
// each first attempt fills by Share and each retry empties by one.
type Budget struct {
	// Share of first attempts that may be retried, such as 0.1.
	Ratio float64
	// Burst is the most that can be saved up.
	Burst float64

	tokens float64
}

// DefaultShare and DefaultBurst suit a fleet whose endpoints rarely fail.
const (
	DefaultRatio = 0.1
	DefaultBurst = 10
)

// NewBudget makes a full budget with the defaults.
func NewBudget() *Budget { return NewBudgetWith(DefaultRatio, DefaultBurst) }

// NewBudgetOf makes a full budget.
func NewBudgetWith(ratio, burst float64) *Budget {
	return &Budget{Ratio: ratio, Burst: burst, tokens: burst}
}

// First records a first attempt.
func (b *Budget) RecordFirstAttempt() { b.tokens = min(b.tokens+b.Ratio, b.Burst) }

// Left reports whether a retry is allowed.
func (b *Budget) Available() bool { return b.tokens >= 1 }

// Spend takes one retry; it returns false if none is left.
func (b *Budget) Spend() bool {
	if !b.Available() {
		return false
	}
	b.tokens--
	return true
}

// Backoff bounds.
const (
	backoffBase = 20 * time.Millisecond
	maxBackoff  = 2 * time.Second
)

// Backoff gives the wait before the n-th retry, counted from one, with full
// jitter.
func Backoff(n int, random func() float64) time.Duration {
	limit := maxBackoff
	if n < 8 {
		limit = min(backoffBase<<n, maxBackoff)
	}
	return time.Duration(random() * float64(limit))
}
