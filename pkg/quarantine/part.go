package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is the ID of a part of a prompt that several requests may have, such as a system prompt or a
// document. Callers name the parts; workspaces share them.
type Part string

const (
	// MaxParts bounds the parts of a request that are recorded, so that no caller can fill a Set
	// with a single request. Parts that most requests share come first in a prompt.
	MaxParts = 16
	// maxPartLength is the length of the longest ID that is kept as it is, in bytes. Longer ones are
	// replaced by a hash.
	maxPartLength = 64
)

// NewParts returns the distinct parts with the given IDs, sorted. IDs are hexadecimal, so case is
// ignored, and so are empty IDs and those beyond MaxParts.
func NewParts(ids []string) []Part {
	var parts []Part
	for _, id := range ids[:min(len(ids), MaxParts)] {
		if id == "" {
			continue
		}
		if len(id) > maxPartLength {
			sum := sha256.Sum256([]byte(id))
			id = hex.EncodeToString(sum[:])
		}
		parts = append(parts, Part(strings.ToLower(id)))
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}

// JoinParts returns the IDs of parts separated by commas, for logs.
func JoinParts(parts []Part) string {
	var b strings.Builder
	for i, p := range parts {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(string(p))
	}
	return b.String()
}

// identityOfParts returns an identity for a combination of sorted parts.
func identityOfParts(parts []Part) Identity {
	digest := sha256.New()
	for _, p := range parts {
		// Writing to a hash never fails.
		_, _ = digest.Write(append([]byte(p), 0))
	}
	return Identity(digest.Sum(nil)[:len(Identity{})])
}

// includes reports whether sorted parts include all those of a sorted subset.
func includes(parts, subset []Part) bool {
	i := 0
	for _, p := range subset {
		for i < len(parts) && parts[i] < p {
			i++
		}
		if i == len(parts) || parts[i] != p {
			return false
		}
	}
	return true
}

// PartFact is one event in the history of parts: the termination of an endpoint instance that was
// running a request with these parts, or a completed run of a request with one part.
type PartFact struct {
	// Request is the identity of the request whose run a termination interrupted; zero for a completed
	// run.
	Request Identity
	// Parts are sorted and distinct, as NewParts returns them. A completed run has exactly one.
	Parts []Part
	// EventID is that of Fact.
	EventID uint64
	// Completed marks a completed run. Terminations up to then, and for PartClearedPeriod after,
	// don't count against the part.
	Completed bool
	// BeforeIsolation marks a termination under a run that was sent before the parts were isolated or
	// contained; see Fact.BeforeIsolation.
	BeforeIsolation bool
	// OccurredAt is the time of the event by the local clock.
	OccurredAt time.Time
}

// Key returns the key of the fact, a hash of all fields except OccurredAt.
func (f PartFact) Key() Key {
	data := slices.Clone(f.Request[:])
	for _, p := range f.Parts {
		data = append(append(data, p...), 0)
	}
	return Key(xxhash.Sum64(appendEvent(data, f.EventID, f.Completed, f.BeforeIsolation)))
}

// valid reports whether a fact from a peer has the form of one that this package creates.
func (f PartFact) valid() bool {
	if len(f.Parts) == 0 || len(f.Parts) > MaxParts || f.Completed && len(f.Parts) != 1 {
		return false
	}
	for i, p := range f.Parts {
		if p == "" || len(p) > maxPartLength || i > 0 && f.Parts[i-1] >= p {
			return false
		}
	}
	return true
}
