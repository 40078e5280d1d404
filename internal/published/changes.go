package published

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

// maxLoggedChanges bounds the changes kept for peers. maxChangesRatio is the largest size of
// encoded changes, relative to the full value, at which changes are sent instead of the full
// value.
const (
	maxLoggedChanges = 512
	maxChangesRatio  = 0.25
)

// changeLog holds the latest changes of the endpoint registry.
type changeLog struct {
	// base is the revision to which the first of the changes applies.
	base    revision.ID
	changes []fleet.Record
}

// recordChanges logs the changes between the newest fleet list and the one that replaces it. If
// these are unknown, the log starts again at the new revision. The caller holds the lock.
func (s *Store) recordChanges(v Value) {
	if v.Name != Fleet {
		return
	}
	current := s.newest[Fleet]
	changes, err := changesBetween(v, current)
	if err != nil {
		s.log = changeLog{base: v.Revision}
		return
	}
	if s.log.base == 0 {
		s.log.base = current.Revision
	}
	s.log.add(current.Revision, changes)
}

// errChangesUnknown means that the changes between two values can't be determined.
var errChangesUnknown = errors.New("published: changes that lead to the value are unknown")

// changesBetween returns the changes that lead from previous to v. If v came in full, the two
// contents are compared. Dropping the log instead would make this entry send full lists to its
// peers, which would then have to do the same, so that one full list would spread through the
// whole fleet.
func changesBetween(v, previous Value) ([]fleet.Record, error) {
	switch {
	case previous.Revision == 0 || previous.Revision.Epoch() != v.Revision.Epoch():
		return nil, errChangesUnknown
	case v.Base == 0:
		return fleet.Diff(previous.Content, v.Content, v.Revision.Number())
	case v.Base > previous.Revision || v.Base.Epoch() != v.Revision.Epoch():
		return nil, errChangesUnknown
	}
	return fleet.DecodeChanges(v.Changes)
}

// add appends the changes after a revision and drops the oldest ones beyond maxLoggedChanges.
func (l *changeLog) add(after revision.ID, changes []fleet.Record) {
	l.changes = append(l.changes, fleet.ChangesAfter(changes, after.Number())...)
	if excess := len(l.changes) - maxLoggedChanges; excess > 0 {
		l.base = l.base.WithNumber(l.changes[excess-1].Revision)
		l.changes = slices.Clone(l.changes[excess:])
	}
}

// asChanges returns the value as changes since a revision, if allowChanges is set, the log covers
// that revision and the changes are within maxChangesRatio. Otherwise it returns the value in full.
// The caller holds the lock.
func (s *Store) asChanges(v Value, after revision.ID, allowChanges bool) Value {
	v.Certain = s.isCertain(v.Name)
	logged := after != 0 && s.log.base != 0 && after >= s.log.base && after.Epoch() == v.Revision.Epoch()
	if !allowChanges || v.Name != Fleet || !logged {
		return v
	}
	data, err := fleet.EncodeChanges(fleet.ChangesAfter(s.log.changes, after.Number()))
	if err != nil || float64(len(data)) > maxChangesRatio*float64(len(v.Content)) {
		return v
	}
	v.ContentHash = xxhash.Sum64(v.Content)
	v.Base, v.Changes, v.Content = after, data, nil
	return v
}

// isCertain reports whether the newest value of this name was certainly written in its era; see
// Value.Certain. The caller holds the lock.
func (s *Store) isCertain(name string) bool {
	if name == Table {
		return s.table.Certain()
	}
	return s.fleet.Certain()
}

// patch turns a value that came as changes into a full one. It reports false if the value is not
// newer than the stored one. It also reports false, and requests the full value, if the
// changes can't be decoded, apply to a later revision or another epoch, or give a content whose
// hash differs from the sender's. The caller holds the lock.
func (s *Store) patch(v Value) (Value, bool) {
	current := s.newest[v.Name]
	if v.Revision <= current.Revision {
		return v, false
	}
	changes, err := fleet.DecodeChanges(v.Changes)
	if err != nil || v.Base > current.Revision || v.Base.Epoch() != current.Revision.Epoch() || v.Name != Fleet {
		s.needsFullFleet = true
		return v, false
	}
	v.Content, err = fleet.Patch(current.Content, current.Revision.Number(), changes)
	if err != nil || xxhash.Sum64(v.Content) != v.ContentHash {
		s.needsFullFleet = true
		return v, false
	}
	return v, true
}
