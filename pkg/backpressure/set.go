package backpressure

import (
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// Set holds the limits and pauses of throttling endpoints as observed by one entry.
type Set struct {
	rank   Rank
	states map[fleet.Instance]*state
	// pauses maps instances to the end of their pause for this entry.
	pauses  map[fleet.Instance]time.Time
	version uint64
}

// New returns an empty set of an entry without known peers.
func New() *Set {
	return &Set{states: map[fleet.Instance]*state{}, pauses: map[fleet.Instance]time.Time{}}
}

// SetRank sets the rank of this entry.
func (s *Set) SetRank(r Rank) { s.rank = r }

// Idle reports whether no endpoint is known to throttle.
func (s *Set) Idle() bool { return len(s.states) == 0 && len(s.pauses) == 0 }

// limitedState returns the state of an instance with a limit, or nil.
func (s *Set) limitedState(instance fleet.Instance) *state {
	if len(s.states) == 0 {
		return nil
	}
	st := s.states[instance]
	if st == nil || st.limit.Kind != Limited {
		return nil
	}
	return st
}

// Accepts reports whether an endpoint accepts a request from this entry now.
func (s *Set) Accepts(now time.Time, e fleet.Endpoint) bool {
	if s.PauseRemaining(now, e.Instance()) > 0 {
		return false
	}
	st := s.limitedState(e.Instance())
	if st == nil {
		return true
	}
	st.bucket.refill(now, s.shareOf(e, st.limit))
	return st.bucket.hasToken()
}

// RecordSent counts a request sent to an endpoint, whether or not the endpoint accepts it.
func (s *Set) RecordSent(now time.Time, e fleet.Endpoint) {
	st := s.limitedState(e.Instance())
	if st == nil {
		return
	}
	st.sent++
	st.bucket.refill(now, s.shareOf(e, st.limit))
	st.bucket.tokens--
}

// Capacity sums up what endpoints accept from this entry.
type Capacity struct {
	// Unlimited reports whether some endpoint has neither a limit nor a pause.
	Unlimited bool
	// resumes reports whether a paused endpoint accepts requests again after resumesIn.
	resumes   bool
	resumesIn time.Duration
	// tokens is the number of requests that can be sent now, and perSecond the rate from now on.
	tokens, perSecond float64
	// totalPerSecond is the rate that endpoints with limits accept from all entries together.
	totalPerSecond float64
}

// AddCapacity adds to c what one more endpoint accepts.
func (s *Set) AddCapacity(now time.Time, c *Capacity, e fleet.Endpoint) {
	pause := s.PauseRemaining(now, e.Instance())
	st := s.limitedState(e.Instance())
	switch {
	case pause > 0:
		c.resumeAfter(pause)
	case st == nil:
		c.Unlimited = true
	default:
		ownShare := s.shareOf(e, st.limit)
		st.bucket.refill(now, ownShare)
		c.tokens += st.bucket.tokens
		c.perSecond += ownShare.perSecond
		c.totalPerSecond += effectiveRate(st.limit)
	}
}

// AddRate adds an endpoint that accepts a rate of requests, though it has named no limit: tokens now,
// perSecond from now on, totalPerSecond from all entries together, and any number after a time.
func (c *Capacity) AddRate(tokens, perSecond, totalPerSecond float64, unlimitedAfter time.Duration) {
	c.tokens += tokens
	c.perSecond += perSecond
	c.totalPerSecond += totalPerSecond
	c.resumeAfter(unlimitedAfter)
}

// PerSecond returns the number of requests a second that this entry may send.
func (c Capacity) PerSecond() float64 { return c.perSecond }

func (c *Capacity) resumeAfter(wait time.Duration) {
	if !c.resumes || wait < c.resumesIn {
		c.resumes, c.resumesIn = true, wait
	}
}

// Empty reports whether no endpoint was added.
func (c Capacity) Empty() bool { return c == Capacity{} }

// AvailableWithin reports whether a request with the given number of requests ahead of it can be
// sent within some time.
func (c Capacity) AvailableWithin(wait time.Duration, ahead int) bool {
	if c.Unlimited || c.resumes && c.resumesIn <= wait {
		return true
	}
	return c.tokens+c.perSecond*wait.Seconds() >= float64(ahead)+minToken
}

// WaitTime returns the time after which a request with the given number of requests ahead of it can
// be sent. If this entry has no share, it is the time after which another entry may have sent one.
func (c Capacity) WaitTime(ahead int) time.Duration {
	if c.AvailableWithin(0, ahead) {
		return 0
	}
	var waits []time.Duration
	if c.resumes {
		waits = append(waits, c.resumesIn)
	}
	switch {
	case c.perSecond > 0:
		waits = append(waits, seconds((float64(ahead+1)-c.tokens)/c.perSecond))
	case c.totalPerSecond > 0:
		waits = append(waits, seconds(1/c.totalPerSecond))
	}
	if len(waits) == 0 {
		return 0
	}
	return slices.Min(waits)
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
