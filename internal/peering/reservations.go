package peering

import (
	"time"

	"github.com/bridgehoist/bridgehoist/internal/notices"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// ApplyReservations applies reservations that a peer has announced. Those at instances that aren't
// listed are ignored; their number is returned.
func (cs *ClusterState) ApplyReservations(reservations []notices.Reservation) (ignored int) {
	// The lock is held until they are counted, as a new fleet list could replace an instance in
	// between.
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) {
		for _, r := range reservations {
			e := cs.endpointByHash(r.InstanceHash)
			if e == nil {
				ignored++
				continue
			}
			switch r.State {
			case notices.ReservationMade:
				if !s.Reserve(now, e.ID, r.Run, r.Tokens) {
					ignored++
				}
			case notices.ReservationCopied:
				s.ReservationCopied(now, e.ID, r.Run)
			case notices.ReservationReleased:
				s.ReleaseReservation(now, e.ID, r.Run)
			}
		}
	})
	return ignored
}
