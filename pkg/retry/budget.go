package retry

import (
	"time"
)

// Budget limits retries to a share of first attempts. It is a token bucket: each
// first attempt adds Ratio tokens, and each retry takes one. A Budget is not safe
// for concurrent use.
type Budget struct {
	// Ratio is the number of retries allowed per first attempt, such as 0.1.
	Ratio float64
	// Burst is the maximum number of tokens in the bucket.
	Burst float64

	tokens float64
}

// DefaultRatio and DefaultBurst suit a fleet whose endpoints rarely fail.
const (
	DefaultRatio = 0.1
	DefaultBurst = 10
)

// NewBudget returns a full budget with the default ratio and burst.
func NewBudget() *Budget { return NewBudgetWith(DefaultRatio, DefaultBurst) }

// NewBudgetWith returns a full budget.
func NewBudgetWith(ratio, burst float64) *Budget {
	return &Budget{Ratio: ratio, Burst: burst, tokens: burst}
}

// RecordFirstAttempt adds the tokens of a first attempt.
func (b *Budget) RecordFirstAttempt() { b.tokens = min(b.tokens+b.Ratio, b.Burst) }

// Available reports whether a retry is allowed.
func (b *Budget) Available() bool { return b.tokens >= 1 }

// Spend takes the token of one retry. It returns false if a retry isn't allowed.
func (b *Budget) Spend() bool {
	if !b.Available() {
		return false
	}
	b.tokens--
	return true
}

// Parameters of Backoff.
const (
	backoffBase = 20 * time.Millisecond
	maxBackoff  = 2 * time.Second
)

// Backoff returns the delay before the n-th retry, counted from one: exponential
// backoff with full jitter. random returns numbers between 0 and 1.
func Backoff(n int, random func() float64) time.Duration {
	limit := maxBackoff
	if n < 8 {
		limit = min(backoffBase<<n, maxBackoff)
	}
	return time.Duration(random() * float64(limit))
}
