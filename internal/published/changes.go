package published

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// maxLogged bounds the changes that are kept for others, and maxShare the share of the whole
// value up to which changes are sent in place of it.
const (
	maxLogged = 512
	maxShare  = 0.25
)

// changeLog holds the newest changes of the registry of endpoints.
type changeLog struct {
	// from is the revision after which the changes lead to the newest one.
	from    uint64
	changes []fleet.Record
}

// note records how the newest value came about. The caller holds the lock.
func (s *Store) note(v Value) {
	if v.Name != Fleet {
		return
	}
	before := s.raw[Fleet].Revision
	changes, err := fleet.DecodeChanges(v.Changes)
	if v.Base == 0 || v.Base > before || err != nil {
		s.log = changeLog{from: v.Revision}
		return
	}
	if s.log.from == 0 {
		s.log.from = before
	}
	s.log.add(before, changes)
}

// add appends the changes after a revision.
func (l *changeLog) add(after uint64, changes []fleet.Record) {
	l.changes = append(l.changes, later(changes, after)...)
	if more := len(l.changes) - maxLogged; more > 0 {
		l.from = l.changes[more-1].Revision
		l.changes = slices.Clone(l.changes[more:])
	}
}

// later lists the changes after a revision.
func later(changes []fleet.Record, revision uint64) []fleet.Record {
	var out []fleet.Record
	for _, c := range changes {
		if c.Revision > revision {
			revision = c.Revision
			out = append(out, c)
		}
	}
	return out
}

// since gives a value as changes since a revision, if they are asked for, known and short, and
// else as it is. The caller holds the lock.
func (s *Store) since(v Value, revision uint64, changes bool) Value {
	if !changes || v.Name != Fleet || revision == 0 || s.log.from == 0 || revision < s.log.from {
		return v
	}
	data, err := fleet.EncodeChanges(later(s.log.changes, revision))
	if err != nil || float64(len(data)) > maxShare*float64(len(v.Content)) {
		return v
	}
	return Value{Name: v.Name, Revision: v.Revision, Base: revision, Changes: data, Sum: xxhash.Sum64(v.Content), Since: v.Since}
}

// patch makes a whole value of changes. It can't if they begin after what is known here, or if
// the result isn't what the sender has: then the whole value is needed. The caller holds the
// lock.
func (s *Store) patch(v Value) (Value, bool) {
	before := s.raw[v.Name]
	if v.Revision <= before.Revision {
		return v, false
	}
	changes, err := fleet.DecodeChanges(v.Changes)
	if err != nil || v.Base > before.Revision || v.Name != Fleet {
		s.whole = true
		return v, false
	}
	v.Content, err = fleet.Patch(before.Content, before.Revision, changes)
	if err != nil || xxhash.Sum64(v.Content) != v.Sum {
		s.whole = true
		return v, false
	}
	return v, true
}
