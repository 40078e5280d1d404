package published

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
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
	from    revision.ID
	changes []fleet.Record
}

// note records how the newest value came about. The caller holds the lock.
func (s *Store) note(v Value) {
	if v.Name != Fleet {
		return
	}
	before := s.raw[Fleet]
	changes, err := changesTo(v, before)
	if err != nil {
		s.log = changeLog{from: v.Revision}
		return
	}
	if s.log.from == 0 {
		s.log.from = before.Revision
	}
	s.log.add(before.Revision, changes)
}

// errNoChanges says that it isn't known how a value came about.
var errNoChanges = errors.New("published: no changes are known that lead to the value")

// changesTo finds the changes that lead from one value to a later one. Where the value came whole
// the two are compared: if whoever is sent a whole list forgot the changes before it, it would have
// to send whole lists as well, and one would follow from the other through the fleet.
func changesTo(v, before Value) ([]fleet.Record, error) {
	switch {
	case before.Revision == 0 || before.Revision.Epoch() != v.Revision.Epoch():
		return nil, errNoChanges
	case v.Base == 0:
		return fleet.Diff(before.Content, v.Content, v.Revision.Number())
	case v.Base > before.Revision || v.Base.Epoch() != v.Revision.Epoch():
		return nil, errNoChanges
	}
	return fleet.DecodeChanges(v.Changes)
}

// add appends the changes after a revision.
func (l *changeLog) add(after revision.ID, changes []fleet.Record) {
	l.changes = append(l.changes, fleet.ChangesAfter(changes, after.Number())...)
	if more := len(l.changes) - maxLogged; more > 0 {
		l.from = l.from.WithNumber(l.changes[more-1].Revision)
		l.changes = slices.Clone(l.changes[more:])
	}
}

// since gives a value as changes since a revision, if they are asked for, known and short, and
// else as it is. The caller holds the lock.
func (s *Store) since(v Value, after revision.ID, changes bool) Value {
	v.Certain = s.certain(v.Name)
	known := after != 0 && s.log.from != 0 && after >= s.log.from && after.Epoch() == v.Revision.Epoch()
	if !changes || v.Name != Fleet || !known {
		return v
	}
	data, err := fleet.EncodeChanges(fleet.ChangesAfter(s.log.changes, after.Number()))
	if err != nil || float64(len(data)) > maxShare*float64(len(v.Content)) {
		return v
	}
	v.Sum = xxhash.Sum64(v.Content)
	v.Base, v.Changes, v.Content = after, data, nil
	return v
}

// certain reports whether the newest value by name is known to be written in its era. The caller
// holds the lock.
func (s *Store) certain(name string) bool {
	if name == Table {
		return s.table.Certain()
	}
	return s.fleet.Certain()
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
	if err != nil || v.Base > before.Revision || v.Base.Epoch() != before.Revision.Epoch() || v.Name != Fleet {
		s.whole = true
		return v, false
	}
	v.Content, err = fleet.Patch(before.Content, before.Revision.Number(), changes)
	if err != nil || xxhash.Sum64(v.Content) != v.Sum {
		s.whole = true
		return v, false
	}
	return v, true
}
