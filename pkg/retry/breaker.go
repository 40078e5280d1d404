package retry

import (
	"cmp"
	"time"
)

// BreakerState is the state of a circuit breaker.
type BreakerState int

// The states.
//
//	[closed] --failures in a row--> [open] --cool-down--> [half-open]
//	    ^                             ^                      |   |
//	    +------ probe succeeded ------|----------------------+   |
//	                                  +------- probe failed -----+
//	                 a probe that shows neither is followed by another
const (
	Closed BreakerState = iota
	Open
	HalfOpen
)

// String names the state for status pages.
func (s BreakerState) String() string {
	return [...]string{"closed", "open", "half_open"}[s]
}

// Breaker settings.
const (
	defaultFailureThreshold = 3
	initialCoolDown         = 500 * time.Millisecond
	// coolDownMax bounds for how long an endpoint that is back stays without work. With
	// 15 s an entry whose data centre had been cut off refused requests for 20 s after
	// an endpoint of another one could be reached.
	maxCoolDown  = 2 * time.Second
	probeTimeout = 10 * time.Second
)

// Breaker keeps work away from an endpoint that fails. The zero value is
// closed. The caller serialises calls.
type Breaker struct {
	// Threshold is how many failures in a row open it; zero is failuresToOpen.
	FailureThreshold int

	consecutiveFailures int
	open                bool
	openedAt            time.Time
	coolDown            time.Duration
	probeInFlight       bool
	probeSentAt         time.Time
}

// State gives the state at a time.
func (b *Breaker) State(now time.Time) BreakerState {
	if !b.open {
		return Closed
	}
	if now.Sub(b.openedAt) < b.coolDown {
		return Open
	}
	return HalfOpen
}

// Opened reports whether the breaker has opened and not been closed by a success since.
func (b *Breaker) Opened() bool { return b.open }

// Allow reports whether a request may go to the endpoint. In the half-open
// state it allows one probe at a time.
func (b *Breaker) Allow(now time.Time) bool {
	switch b.State(now) {
	case Closed:
		return true
	case Open:
		return false
	default:
		return !b.probeInFlight || now.Sub(b.probeSentAt) > probeTimeout
	}
}

// Believed reports whether requests had better not wait for the endpoint: it has
// failed a probe since the breaker opened, and no other probe may go out now.
func (b *Breaker) ConfirmedDown(now time.Time) bool {
	return b.open && b.coolDown > initialCoolDown && !b.Allow(now)
}

// ProbeIn is how long it takes until the next probe may go out; zero is now.
func (b *Breaker) TimeToProbe(now time.Time) time.Duration {
	switch b.State(now) {
	case Closed:
		return 0
	case Open:
		return b.openedAt.Add(b.coolDown).Sub(now)
	default:
		if b.Allow(now) {
			return 0
		}
		return b.probeSentAt.Add(probeTimeout).Sub(now)
	}
}

// Sent records that a request goes to the endpoint.
func (b *Breaker) RecordSent(now time.Time) {
	if b.State(now) == HalfOpen {
		b.probeInFlight = true
		b.probeSentAt = now
	}
}

// Inconclusive records that a request ended without showing whether the endpoint is back:
// its caller left, or the endpoint takes no new work. Another probe may go out at once,
// unless this one was silent for so long that it counts as failed.
func (b *Breaker) RecordInconclusive(now time.Time) {
	if b.probeInFlight && now.Sub(b.probeSentAt) >= initialCoolDown {
		b.RecordFailure(now)
		return
	}
	b.probeInFlight = false
}

// Trip opens the breaker at once: the endpoint can't be reached.
func (b *Breaker) Trip(now time.Time) {
	b.consecutiveFailures = b.failureThreshold() - 1
	b.RecordFailure(now)
}

// Success closes the breaker.
func (b *Breaker) RecordSuccess() { *b = Breaker{FailureThreshold: b.FailureThreshold} }

// Failure counts a failure and opens the breaker after enough in a row.
func (b *Breaker) RecordFailure(now time.Time) {
	b.consecutiveFailures++
	b.probeInFlight = false
	if b.open {
		b.reopen(now)
		return
	}
	if b.consecutiveFailures >= b.failureThreshold() {
		b.open = true
		b.openedAt = now
		b.coolDown = initialCoolDown
	}
}

func (b *Breaker) failureThreshold() int { return cmp.Or(b.FailureThreshold, defaultFailureThreshold) }

func (b *Breaker) reopen(now time.Time) {
	if now.Sub(b.openedAt) < b.coolDown {
		return
	}
	b.openedAt = now
	b.coolDown = min(b.coolDown*2, maxCoolDown)
}
