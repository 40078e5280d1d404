package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fact is one thing that is known of a request: that a life of an endpoint ended under it,
// or that it came whole.
type Fact struct {
	Identity Identity
	// Mark tells the facts of a request apart. That of an end is a hash of the life, so
	// that all who saw it tell the same fact; that of a success is any number.
	Mark uint64
	// Whole says that a run of the request came whole: its ends up to then and for Trust
	// after don't count.
	Whole bool
	// At is when it happened, on the local clock.
	At time.Time
}

// Key names a fact among all entries.
type Key uint32

// Key computes the fact's name.
func (f Fact) Key() Key {
	var data [25]byte
	copy(data[:], f.Identity[:])
	binary.BigEndian.PutUint64(data[16:], f.Mark)
	if f.Whole {
		data[24] = 1
	}
	return Key(xxhash.Sum64(data[:]))
}

// clears reports whether a whole run makes another fact of the request count no more.
func (f Fact) clears(other Fact) bool {
	if other.Whole {
		return !other.At.After(f.At)
	}
	return other.At.Sub(f.At) < Trust
}
