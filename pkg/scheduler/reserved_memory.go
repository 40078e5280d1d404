package scheduler

import (
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/routing"
)

// Condition handled here: several engines leave together during a burst of prompts. Their
// generations are to be copied to other engines, one after the other, within 1.5 to 2 s. Unless the
// memory that a plan uses at its targets is counted from the moment of the plan on, all entries send
// prompts into it: on a day with bursts, 126 of 245 failed moves found no room at their target,
// and most of the runs that could not be moved were lost.

const (
	// reservationLease is how long a reservation counts that is neither used nor released: its
	// entry has terminated, or the notice of its end was lost. Engines announce their departure
	// 1.5 to 2.1 s before they terminate, so that no copy is planned later than that.
	reservationLease = 2 * time.Second
	// defaultMaxReservations bounds the reservations of an engine whose number of slots is
	// unknown.
	defaultMaxReservations = 64
)

// reservation is memory and a slot of an engine for a generation that is to be copied there. It
// is no prefill work.
type reservation struct {
	run       uint32
	tokens    float64
	expiresAt time.Time
	// copiedAt is when the copy was known to be in the engine's memory; zero before that. Reports
	// that were made later contain the copy.
	copiedAt time.Time
}

// reservations are those of one engine instance, of this entry and of its peers.
type reservations struct {
	entries []reservation
	tokens  float64
}

// ReservationCounts counts what became of reservations since the start of the entry.
type ReservationCounts struct {
	// Made counts all reservations, Released those that were released, Reported those that ended
	// since a report contains the copy, and Expired those that ended with their lease.
	Made, Released, Reported, Expired int
	// Ignored counts notices that can't be right: of more memory or generations than the engine
	// has room for.
	Ignored int
}

// Reservation is memory that is reserved at an engine.
type Reservation struct {
	Endpoint string
	// Run identifies the generation; see evacuation.RunHash.
	Run    uint32
	Tokens int
}

// drop removes the i-th reservation.
func (rs *reservations) drop(i int) {
	rs.tokens -= rs.entries[i].tokens
	rs.entries = slices.Delete(rs.entries, i, i+1)
	if len(rs.entries) == 0 {
		rs.tokens = 0 // Rounding errors don't add up.
	}
}

func (rs *reservations) index(run uint32) int {
	return slices.IndexFunc(rs.entries, func(r reservation) bool { return r.run == run })
}

// endWhere removes the reservations that match and returns their number.
func (rs *reservations) endWhere(ended func(reservation) bool) (count int) {
	for i := len(rs.entries) - 1; i >= 0; i-- {
		if ended(rs.entries[i]) {
			rs.drop(i)
			count++
		}
	}
	return count
}

// Reserve reserves memory and a slot at an engine for a generation that is to be copied there, for
// at most reservationLease. A repeated call for the same generation replaces its reservation. It
// returns false if nothing was reserved: the engine is unknown, or has less memory in total or
// fewer slots than would be reserved.
func (s *Scheduler) Reserve(now time.Time, endpoint string, run uint32, tokens int) bool {
	e := s.byID[endpoint]
	if e == nil {
		return false
	}
	s.expireReservations(now, e)
	others, count := e.reserved.tokens, len(e.reserved.entries)
	known := e.reserved.index(run)
	if known >= 0 {
		others -= e.reserved.entries[known].tokens
		count--
	}
	limit := e.spec.MaxRunning
	if limit <= 0 {
		limit = defaultMaxReservations
	}
	if tokens <= 0 || others+float64(tokens) > float64(e.spec.CapacityTokens) || count >= limit {
		s.reservationCounts.Ignored++
		return false
	}
	if known >= 0 {
		e.reserved.drop(known)
	}
	e.reserved.entries = append(e.reserved.entries, reservation{run: run, tokens: float64(tokens), expiresAt: now.Add(reservationLease)})
	e.reserved.tokens += float64(tokens)
	s.reservationCounts.Made++
	return true
}

// ReservationCopied records that the copy of a generation is in the engine's memory. The
// reservation counts until a report that was made later arrives, or until its lease ends.
func (s *Scheduler) ReservationCopied(now time.Time, endpoint string, run uint32) {
	e := s.byID[endpoint]
	if e == nil {
		return
	}
	s.expireReservations(now, e)
	if i := e.reserved.index(run); i >= 0 && e.reserved.entries[i].copiedAt.IsZero() {
		e.reserved.entries[i].copiedAt = now
		e.reserved.entries[i].expiresAt = now.Add(reservationLease)
	}
}

// ReleaseReservation ends a reservation whose copy was not made or is not used, or whose
// generation counts among the running ones by now. It does nothing if there is no such
// reservation.
func (s *Scheduler) ReleaseReservation(now time.Time, endpoint string, run uint32) {
	e := s.byID[endpoint]
	if e == nil {
		return
	}
	s.expireReservations(now, e)
	s.reservationCounts.Released += e.reserved.endWhere(func(r reservation) bool { return r.run == run })
}

// Reservations returns all reservations in the order of the fleet list.
func (s *Scheduler) Reservations(now time.Time) []Reservation {
	var all []Reservation
	for _, e := range s.endpoints {
		s.expireReservations(now, e)
		for _, r := range e.reserved.entries {
			all = append(all, Reservation{Endpoint: e.spec.ID, Run: r.run, Tokens: int(r.tokens)})
		}
	}
	return all
}

// ReservationCounts returns what became of the reservations so far.
func (s *Scheduler) ReservationCounts() ReservationCounts { return s.reservationCounts }

// reservedTokens returns the memory reserved at an endpoint in tokens.
func (s *Scheduler) reservedTokens(now time.Time, e *endpoint) float64 {
	if len(e.reserved.entries) == 0 {
		return 0
	}
	s.expireReservations(now, e)
	return e.reserved.tokens
}

func (s *Scheduler) expireReservations(now time.Time, e *endpoint) {
	s.reservationCounts.Expired += e.reserved.endWhere(func(r reservation) bool { return !now.Before(r.expiresAt) })
}

// endReportedReservations ends the reservations whose copy a report contains.
func (s *Scheduler) endReportedReservations(e *endpoint, r Report) {
	madeAt := r.ReportedAt.Add(-reportLag)
	s.reservationCounts.Reported += e.reserved.endWhere(func(r reservation) bool {
		return !r.copiedAt.IsZero() && r.copiedAt.Before(madeAt)
	})
}

// exceedsReserved reports whether the request that the candidate was evaluated for would use memory
// or a slot that is reserved at the candidate.
func (s *Scheduler) exceedsReserved(c *routing.Candidate) bool {
	return len(s.endpoints[c.Index].reserved.entries) > 0 && c.Utilization > 1
}

// empty reports whether an endpoint has no running requests and no reservations.
func (e *endpoint) empty() bool {
	return e.ownRunning+e.peersRunning+len(e.reserved.entries) == 0
}

// FreeTokens returns the memory of an endpoint in tokens that is free as far as this entry knows now,
// without the reservation of the given generation. It is false for an unknown endpoint.
func (s *Scheduler) FreeTokens(now time.Time, endpoint string, run uint32) (tokens int, known bool) {
	e := s.byID[endpoint]
	if e == nil {
		return 0, false
	}
	used := e.ownProjection.Mean[0] + e.peerLoad[0] + e.unattributedLoad(now) + s.reservedTokens(now, e)
	if i := e.reserved.index(run); i >= 0 {
		used -= e.reserved.entries[i].tokens
	}
	return e.spec.CapacityTokens - int(used), true
}
