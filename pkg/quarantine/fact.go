package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fact is one event in the history of a request: the termination of an endpoint instance that was
// running it, or a completed run.
type Fact struct {
	Identity Identity
	// EventID distinguishes the facts of a request. For a termination it is a hash of the
	// instance (TerminationID), so that all entries that see it create the same fact; for a
	// completed run it is an arbitrary number.
	EventID uint64
	// Completed marks a completed run. Terminations of the request up to then, and for
	// ClearedPeriod after, don't count.
	Completed bool
	// OccurredAt is the time of the event by the local clock.
	OccurredAt time.Time
}

// Key identifies a fact in exchanges between entries.
type Key uint32

// Key returns the key of the fact, a hash of Identity, EventID and Completed.
func (f Fact) Key() Key {
	var data [25]byte
	copy(data[:], f.Identity[:])
	binary.BigEndian.PutUint64(data[16:], f.EventID)
	if f.Completed {
		data[24] = 1
	}
	return Key(xxhash.Sum64(data[:]))
}

// supersedes reports whether f, a completed run, makes another fact of the same request obsolete.
func (f Fact) supersedes(other Fact) bool {
	if other.Completed {
		return !other.OccurredAt.After(f.OccurredAt)
	}
	return other.OccurredAt.Sub(f.OccurredAt) < ClearedPeriod
}
