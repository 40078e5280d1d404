package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// TerminationID returns the event ID of the termination of an endpoint instance, which is the same
// at all entries that see it. The instance is given by the listed instance of the endpoint and the
// number of restarts since; see CountTerminations.
func TerminationID(listed fleet.Instance, restarts int) uint64 {
	data := binary.BigEndian.AppendUint64(nil, listed.Incarnation)
	data = binary.BigEndian.AppendUint64(data, uint64(restarts))
	return xxhash.Sum64(append(data, listed.Endpoint...))
}

// CountTerminations returns the number of consecutive terminations of an endpoint, from the listed
// instance on, that are recorded in facts up to a given time. Facts of other entries must be
// included: entries that counted only terminations seen by themselves gave one termination several
// IDs, or several the same ID. With three entries and endpoints that restarted within 0.4 s, a
// request then caused four more terminations later than a second after its third.
func (s *Set) CountTerminations(listed fleet.Instance, until time.Time) (count int) {
	times := map[uint64]time.Time{}
	for _, f := range s.facts {
		if !f.Completed {
			times[f.EventID] = f.OccurredAt
		}
	}
	for {
		endedAt, known := times[TerminationID(listed, count)]
		if !known || endedAt.After(until) {
			return count
		}
		count++
	}
}

// sameTerminationPeriod is the time within which busy entries notice one termination. An endpoint
// takes longer to start, to be listed and to terminate again.
const sameTerminationPeriod = 300 * time.Millisecond

// RecordedTermination returns the event ID of a termination of an endpoint, from a listed instance
// on, that is recorded for about the given time. Entries whose lists lag behind name a termination
// by an earlier instance than those that know the next one: with two event IDs, the requests that
// ran in the instance would not be known to share its termination.
func (s *Set) RecordedTermination(listed fleet.Instance, occurredAt time.Time) (eventID uint64, recorded bool) {
	count := s.CountTerminations(listed, occurredAt.Add(sameTerminationPeriod))
	if count == 0 || s.CountTerminations(listed, occurredAt.Add(-sameTerminationPeriod)) == count {
		return 0, false
	}
	return TerminationID(listed, count-1), true
}
