package backpressure

import (
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// Set is what one entry knows of what throttling endpoints say.
type Set struct {
	place  Place
	states map[fleet.Instance]*state
	// pauses are until when endpoints want nothing from this entry.
	pauses  map[fleet.Instance]time.Time
	version uint64
}

// New makes an empty set of an entry that knows of no other.
func New() *Set {
	return &Set{states: map[fleet.Instance]*state{}, pauses: map[fleet.Instance]time.Time{}}
}

// SetPlace tells where this entry stands among all.
func (s *Set) SetPlace(p Place) { s.place = p }

// Idle reports whether no endpoint is known to throttle.
func (s *Set) Idle() bool { return len(s.states) == 0 && len(s.pauses) == 0 }

// limited returns the state of an endpoint that names a limit, or nil.
func (s *Set) limited(l fleet.Instance) *state {
	if len(s.states) == 0 {
		return nil
	}
	known := s.states[l]
	if known == nil || known.limit.Kind != Limited {
		return nil
	}
	return known
}

// Takes reports whether an endpoint takes a request from this entry now.
func (s *Set) Takes(now time.Time, e fleet.Endpoint) bool {
	if s.PausedFor(now, e.Instance()) > 0 {
		return false
	}
	known := s.limited(e.Instance())
	if known == nil {
		return true
	}
	known.bucket.fill(now, s.part(e, known.limit))
	return known.bucket.holds()
}

// Sent counts a request that goes to an endpoint, whether or not it takes one.
func (s *Set) Sent(now time.Time, e fleet.Endpoint) {
	known := s.limited(e.Instance())
	if known == nil {
		return
	}
	known.sent++
	known.bucket.fill(now, s.part(e, known.limit))
	known.bucket.tokens--
}

// Room is what throttling endpoints take from this entry.
type Room struct {
	// Open says that some endpoint takes whatever it is sent.
	Open bool
	// opens says that one does so after opensIn, when its pause is over.
	opens   bool
	opensIn time.Duration
	// tokens can be sent now, and perSecond in each second from now on.
	tokens, perSecond float64
	// ofAll is what endpoints with limits take from all entries in a second.
	ofAll float64
}

// Add adds what one more endpoint takes.
func (s *Set) Add(now time.Time, r *Room, e fleet.Endpoint) {
	paused := s.PausedFor(now, e.Instance())
	known := s.limited(e.Instance())
	switch {
	case paused > 0:
		r.opensAfter(paused)
	case known == nil:
		r.Open = true
	default:
		p := s.part(e, known.limit)
		known.bucket.fill(now, p)
		r.tokens += known.bucket.tokens
		r.perSecond += p.perSecond
		r.ofAll += rateOf(known.limit)
	}
}

func (r *Room) opensAfter(wait time.Duration) {
	if !r.opens || wait < r.opensIn {
		r.opens, r.opensIn = true, wait
	}
}

// None reports whether nothing was added.
func (r Room) None() bool { return r == Room{} }

// Within reports whether a request can be sent within some time, behind so many others.
func (r Room) Within(wait time.Duration, ahead int) bool {
	if r.Open || r.opens && r.opensIn <= wait {
		return true
	}
	return r.tokens+r.perSecond*wait.Seconds() >= float64(ahead)+almostOne
}

// Wait is after what time a request can be sent behind so many others; if this entry has no
// part, when some other one may have sent one.
func (r Room) Wait(ahead int) time.Duration {
	if r.Within(0, ahead) {
		return 0
	}
	var waits []time.Duration
	if r.opens {
		waits = append(waits, r.opensIn)
	}
	switch {
	case r.perSecond > 0:
		waits = append(waits, seconds((float64(ahead+1)-r.tokens)/r.perSecond))
	case r.ofAll > 0:
		waits = append(waits, seconds(1/r.ofAll))
	}
	if len(waits) == 0 {
		return 0
	}
	return slices.Min(waits)
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
