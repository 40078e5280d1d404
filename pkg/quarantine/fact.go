package quarantine

import (
	"encoding/binary"
	"slices"
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
	// BeforeIsolation marks a termination under a run that was sent before the request was isolated.
	// It doesn't count against the request (see Set.IsEvidence), which may still have caused it, so
	// that other requests in the instance aren't taken for its only possible cause.
	BeforeIsolation bool
	// OccurredAt is the time of the event by the local clock.
	OccurredAt time.Time
}

// Key identifies a fact in exchanges between entries.
type Key uint32

// Key returns the key of the fact, a hash of Identity, EventID, Completed and BeforeIsolation.
func (f Fact) Key() Key {
	return Key(xxhash.Sum64(appendEvent(f.Identity[:], f.EventID, f.Completed, f.BeforeIsolation)))
}

// appendEvent appends the fields of an event to a copy of an identity, for hashing.
func appendEvent(identity []byte, eventID uint64, completed, beforeIsolation bool) []byte {
	data := binary.BigEndian.AppendUint64(slices.Clip(identity), eventID)
	switch {
	case completed:
		return append(data, 1)
	case beforeIsolation:
		return append(data, 2)
	default:
		return append(data, 0)
	}
}

// supersedes reports whether f, a completed run, makes another fact of the same request obsolete.
func (f Fact) supersedes(other Fact) bool {
	if other.Completed {
		return !other.OccurredAt.After(f.OccurredAt)
	}
	return other.OccurredAt.Sub(f.OccurredAt) < ClearedPeriod
}
