package scheduler

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/backpressure"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// The load that this file answers: endpoints throttle and say how much they take. Requests
// go elsewhere as far as others have room; see package backpressure for what may still be
// sent. Where all throttle there is less room than requests, and one that would wait for
// its turn in vain is refused when it comes, since its caller may be served through another
// entry that has a part.

// Admit reports whether an endpoint takes a request that the scheduler doesn't dispatch, such
// as a generation that is moved there, and counts it if so.
func (s *Scheduler) Admit(now time.Time, l fleet.Instance) bool {
	e := s.live(l)
	if e == nil || !s.pressure.Takes(now, e.spec) {
		return false
	}
	s.pressure.Sent(now, e.spec)
	return true
}

// turnDelay is how much later than it could a request goes at the most: the time between two
// looks at the queue, and a little. Without it those that are counted on to go at the last
// moment wait in vain.
const turnDelay = 25 * time.Millisecond

// withheld refuses a request that no endpoint takes before its time is up, behind so many
// that wait.
func (s *Scheduler) withheld(now time.Time, it *item, ahead int) *outcome.Error {
	if s.pressure.Idle() {
		return nil
	}
	room := s.roomFor(now, it)
	within := max(it.startBy.Sub(now)-time.Duration(ahead+1)*turnDelay, 0)
	// Without any endpoint there is nothing to wait for but that one is back.
	if room.None() || room.Within(within, ahead) {
		return nil
	}
	s.pressedAt = now
	return s.refusal(outcome.CodeEndpointsThrottling, room.Wait(ahead), "the endpoints of %q take no more at present", it.req.Row.Target)
}

// roomFor sums what the endpoints that a request may go to take from this entry. Those that
// requests had better not wait for don't count.
func (s *Scheduler) roomFor(now time.Time, it *item) backpressure.Room {
	var room backpressure.Room
	for e := range s.staying(it.req.Row.Target) {
		if room.Open {
			break
		}
		if it.req.mayServe(e) && !s.believedGone(now, e) {
			s.pressure.Add(now, &room, e.spec)
		}
	}
	return room
}
