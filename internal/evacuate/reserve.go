package evacuate

import (
	"maps"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/notices"
	"github.com/bridgehoist/bridgehoist/pkg/evacuation"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// Condition handled here: copies of a plan begin up to two seconds after the plan is made, and
// prompts of all entries arrive at their targets meanwhile. So the memory and the slot of each step
// are reserved at its target when the plan is made. This entry's scheduler and those of the peers in
// the target's data centre count the reservation until the copy shows in the engine's reports, is
// released, or the lease ends.
//
//	[reserved] --first copy--> [copied] --handed over, or in a report--> ended
//	     |                        |
//	     +-------- failed --------+--> released          (lost notice: ended by the lease)
//
// The state of a reservation is in the schedulers; this entry keeps only whom it has notified.

// movedRunTTL is how long a generation counts as moved before: the longest answers take 39 s.
const movedRunTTL = time.Minute

// bookingTTL is how long a booking is kept whose generation was not handed over, because its caller
// disconnected for example: longer than the lease, a copy and the wait for a handoff together.
const bookingTTL = 10 * time.Second

// booking is a reservation of this entry.
type booking struct {
	target fleet.Endpoint
	run    uint32
	tokens int
	madeAt time.Time
	// notified are the peers that were notified of it.
	notified notices.SentReservations
}

func (b booking) notice(hash func(fleet.Instance) uint32, state notices.ReservationState) notices.Reservation {
	return notices.Reservation{InstanceHash: hash(b.target.Instance()), Run: b.run, Tokens: b.tokens, State: state}
}

// reserveSteps reserves the room of all steps of a plan, with one notice per data centre and peer.
func (e *Evacuator) reserveSteps(steps []evacuation.Step) {
	byDataCenter := map[string][]evacuation.Step{}
	for _, step := range steps {
		if target, ok := e.cfg.Endpoint(step.Target); ok {
			byDataCenter[target.DataCenter] = append(byDataCenter[target.DataCenter], step)
		}
	}
	for dataCenter, steps := range byDataCenter {
		bookings := map[string]booking{}
		for _, step := range steps {
			if target, ok := e.cfg.Endpoint(step.Target); ok {
				bookings[step.RequestID] = booking{target: target, run: evacuation.RunHash(step.RequestID), tokens: step.Tokens}
			}
		}
		e.book(dataCenter, bookings)
	}
}

// book makes reservations at engines of one data centre, by request ID.
func (e *Evacuator) book(dataCenter string, bookings map[string]booking) {
	if e.cfg.Disabled.Reservations || len(bookings) == 0 {
		return
	}
	var announced []notices.Reservation
	e.cfg.Dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) {
		for id, b := range bookings {
			if s.Reserve(now, b.target.ID, b.run, b.tokens) {
				announced = append(announced, b.notice(e.cfg.InstanceHash, notices.ReservationMade))
			} else {
				delete(bookings, id)
			}
		}
	})
	if len(announced) == 0 {
		return
	}
	var notified notices.SentReservations
	if e.cfg.Announce != nil {
		notified = e.cfg.Announce(dataCenter, announced)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clock.Now()
	maps.DeleteFunc(e.bookings, func(_ string, b booking) bool { return now.Sub(b.madeAt) > bookingTTL })
	for id, b := range bookings {
		b.madeAt, b.notified = now, notified
		e.bookings[id] = b
	}
}

// rebook moves the reservation of a step to another target, unless it is there already.
func (e *Evacuator) rebook(step evacuation.Step, target fleet.Endpoint) {
	e.mu.Lock()
	current, booked := e.bookings[step.RequestID]
	e.mu.Unlock()
	if booked && current.target.Instance() == target.Instance() {
		return
	}
	e.releaseBooking(step.RequestID)
	b := booking{target: target, run: evacuation.RunHash(step.RequestID), tokens: step.Tokens}
	e.book(target.DataCenter, map[string]booking{step.RequestID: b})
}

// bookingCopied records and announces that the copy of a generation is at its target.
func (e *Evacuator) bookingCopied(requestID string) {
	e.mu.Lock()
	b, booked := e.bookings[requestID]
	e.mu.Unlock()
	if !booked {
		return
	}
	e.cfg.Dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) { s.ReservationCopied(now, b.target.ID, b.run) })
	b.announce(e.cfg.InstanceHash, notices.ReservationCopied)
}

// releaseBooking ends a reservation whose copy was not made or is not used, and announces that.
func (e *Evacuator) releaseBooking(requestID string) {
	if b, booked := e.endBooking(requestID); booked {
		b.announce(e.cfg.InstanceHash, notices.ReservationReleased)
	}
}

// HandedOver ends the reservation of a generation that has been continued at its target, where it
// counts as running now, or that failed to be. Peers count it until a report shows it.
func (e *Evacuator) HandedOver(requestID string) { e.endBooking(requestID) }

// endBooking ends a reservation at this entry.
func (e *Evacuator) endBooking(requestID string) (b booking, booked bool) {
	e.mu.Lock()
	b, booked = e.bookings[requestID]
	delete(e.bookings, requestID)
	e.mu.Unlock()
	if booked {
		e.cfg.Dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) { s.ReleaseReservation(now, b.target.ID, b.run) })
	}
	return b, booked
}

func (b booking) announce(hash func(fleet.Instance) uint32, state notices.ReservationState) {
	if b.notified.Notified > 0 {
		b.notified.Update([]notices.Reservation{b.notice(hash, state)})
	}
}

// RunMoved records that a generation is being moved, by this entry or a peer: it is not to be lost
// in its next move before one that hasn't been moved.
func (e *Evacuator) RunMoved(run uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clock.Now()
	if now.Sub(e.movedPrunedAt) > movedRunTTL {
		e.movedPrunedAt = now
		for known, at := range e.movedAt {
			if now.Sub(at) > movedRunTTL {
				delete(e.movedAt, known)
			}
		}
	}
	if len(e.movedAt) < maxMovedRuns {
		e.movedAt[run] = now
	}
}

// maxMovedRuns bounds the moved generations that are remembered; some hundred move in a minute.
const maxMovedRuns = 4096

func (e *Evacuator) wasMoved(requestID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, known := e.movedAt[evacuation.RunHash(requestID)]
	return known && clock.Since(at) <= movedRunTTL
}
