package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// MarkOf names a life of an endpoint among the facts of a request, so that the facts of all
// who saw it end are one: the life that the list showed, and which one since that was. Who
// missed an end in between counts one too few.
func MarkOf(listed fleet.Life, since int) uint64 {
	data := binary.BigEndian.AppendUint64(nil, listed.Incarnation)
	data = binary.BigEndian.AppendUint64(data, uint64(since))
	return xxhash.Sum64(append(data, listed.Endpoint...))
}
