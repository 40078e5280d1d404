package retry

import (
	"cmp"
	"time"
)

// BreakerState is the state of a circuit breaker.
type BreakerState int

// The states. An inconclusive probe doesn't change the state if it ends within
// initialCoolDown; else it counts as failed.
//
//	[closed] --consecutive failures--> [open] --cool-down--> [half-open]
//	    ^                                ^                      |   |
//	    +-------- probe succeeded -------|----------------------+   |
//	                                     +------- probe failed -----+
const (
	Closed BreakerState = iota
	Open
	HalfOpen
)

// String returns the name of the state in status pages.
func (s BreakerState) String() string {
	return [...]string{"closed", "open", "half_open"}[s]
}

// Parameters of Breaker.
const (
	defaultFailureThreshold = 3
	initialCoolDown         = 500 * time.Millisecond
	// maxCoolDown limits the delay until a recovered endpoint is used again. With 15 s,
	// an entry whose data centre had been partitioned refused requests for 20 s after
	// an endpoint of another data centre became reachable.
	maxCoolDown = 2 * time.Second
	// probeTimeout is the time after which a probe without a result no longer blocks
	// the next one.
	probeTimeout = 10 * time.Second
)

// Breaker is a circuit breaker that blocks requests to a failing endpoint. The zero
// value is closed. A Breaker is not safe for concurrent use.
type Breaker struct {
	// FailureThreshold is the number of consecutive failures that opens the breaker;
	// zero is defaultFailureThreshold.
	FailureThreshold int

	consecutiveFailures int
	open                bool
	openedAt            time.Time
	coolDown            time.Duration
	probeInFlight       bool
	probeSentAt         time.Time
	// unreachable is set if the last failure was that no connection could be opened.
	unreachable bool
}

// State returns the state at the time now.
func (b *Breaker) State(now time.Time) BreakerState {
	if !b.open {
		return Closed
	}
	if now.Sub(b.openedAt) < b.coolDown {
		return Open
	}
	return HalfOpen
}

// Opened reports whether the breaker is open or half-open: it has opened, and no
// success has closed it since.
func (b *Breaker) Opened() bool { return b.open }

// Allow reports whether a request may be sent to the endpoint. In the half-open
// state only one request at a time may, as a probe.
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

// ConfirmedDown reports whether the endpoint has failed a probe since the breaker
// opened, and no probe may be sent now. Requests should not wait for it then.
func (b *Breaker) ConfirmedDown(now time.Time) bool {
	return b.open && b.coolDown > initialCoolDown && !b.Allow(now)
}

// TimeToProbe returns the time until the next request may be sent to the endpoint;
// zero is now.
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

// RecordSent records that a request is sent to the endpoint. In the half-open state
// the request is a probe.
func (b *Breaker) RecordSent(now time.Time) {
	if b.State(now) == HalfOpen {
		b.probeInFlight = true
		b.probeSentAt = now
	}
}

// RecordInconclusive records that a request ended without showing whether the endpoint
// has recovered, because its caller disconnected or the endpoint takes no new work.
// Another probe may be sent at once, unless this one ended initialCoolDown or later
// after it was sent: an endpoint that doesn't respond within that time counts as failed.
func (b *Breaker) RecordInconclusive(now time.Time) {
	if b.probeInFlight && now.Sub(b.probeSentAt) >= initialCoolDown {
		b.RecordFailure(now)
		return
	}
	b.probeInFlight = false
}

// Trip opens the breaker whatever the number of failures so far, for an endpoint that
// can't be reached.
func (b *Breaker) Trip(now time.Time) {
	b.consecutiveFailures = b.failureThreshold() - 1
	b.RecordFailure(now)
	b.unreachable = true
}

// Unreachable reports whether the breaker has opened because the endpoint couldn't be connected to.
func (b *Breaker) Unreachable() bool { return b.open && b.unreachable }

// RecordConnected records that a connection to the endpoint was opened. It closes a breaker that has
// opened because none could be; after other failures a connection proves nothing.
func (b *Breaker) RecordConnected() {
	if b.Unreachable() {
		b.RecordSuccess()
	}
}

// RecordSuccess records a success and closes the breaker.
func (b *Breaker) RecordSuccess() { *b = Breaker{FailureThreshold: b.FailureThreshold} }

// RecordFailure records a failure. It opens the breaker if the threshold is reached,
// and reopens a half-open breaker with a longer cool-down.
func (b *Breaker) RecordFailure(now time.Time) {
	b.consecutiveFailures++
	b.probeInFlight = false
	b.unreachable = false
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

// reopen starts a cool-down of twice the length, up to maxCoolDown. During a cool-down
// it does nothing, since the failure is one of a request sent before.
func (b *Breaker) reopen(now time.Time) {
	if now.Sub(b.openedAt) < b.coolDown {
		return
	}
	b.openedAt = now
	b.coolDown = min(b.coolDown*2, maxCoolDown)
}
