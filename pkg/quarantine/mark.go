package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// MarkOf names a life of an endpoint among the facts of a request, so that the facts of all
// who saw it end are one: the life that the list showed, and which one since that was; see EndsOf.
func MarkOf(listed fleet.Instance, since int) uint64 {
	data := binary.BigEndian.AppendUint64(nil, listed.Incarnation)
	data = binary.BigEndian.AppendUint64(data, uint64(since))
	return xxhash.Sum64(append(data, listed.Endpoint...))
}

// EndsOf counts the ends of an endpoint that the facts tell of since the life that the list
// shows, up to a time. Who counted only what it saw itself took the next end for one that
// others had told of, or for another one: with three entries and endpoints that were back
// after 0.4 s a request went on for four ends more than a second after its third.
func (s *Set) EndsOf(listed fleet.Instance, until time.Time) (count int) {
	at := map[uint64]time.Time{}
	for _, f := range s.facts {
		if !f.Whole {
			at[f.Mark] = f.At
		}
	}
	for {
		ended, known := at[MarkOf(listed, count)]
		if !known || ended.After(until) {
			return count
		}
		count++
	}
}
