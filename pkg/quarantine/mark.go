package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// MarkOf names a life of an endpoint among the facts of a request, so that the facts of all
// who saw it end are one.
func MarkOf(l fleet.Life) uint64 {
	data := binary.BigEndian.AppendUint64(nil, l.Incarnation)
	return xxhash.Sum64(append(data, l.Endpoint...))
}
