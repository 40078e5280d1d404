// Package published keeps the platform's values in force at an entry: the
// table and the fleet list. Values come from the platform and from peers; each
// goes through a register that never goes back.
package published

import (
	"sync"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/register"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

// Names of the published values.
const (
	// Table is the operators' table.
	Table = "table"
	// Fleet is the list of endpoints, and of VMs and workspaces where the platform
	// publishes these.
	Fleet = "fleet"
)

// Value is one published value. Its content is in the platform's format.
type Value struct {
	Name     string
	Revision revision.ID
	// Content is the whole value; nil if only Changes are given.
	Content []byte
	// Base, unless it is zero, is the revision after which Changes, encoded changes of the
	// registry of endpoints, lead to this value.
	Base    revision.ID
	Changes []byte
	// Sum is a hash of the whole value, where only Changes are given.
	Sum uint64
	// Since is when the first entry read it, by this process's clock, as far as is
	// known; zero is now.
	Since time.Time
	// Certain, of a value that is told, says that it was written in the era of its revision;
	// see package register.
	Certain bool
}

// Parsers read the contents of the values.
type Parsers struct {
	// Settle is for how long values have to stand after a restore of the platform's store to be
	// certain, where only revisions order them; see package register.
	Settle time.Duration
	// Pace is the least time, for each endpoint, from putting one list of endpoints into force to
	// the next, and MaxPace bounds it. Without it each list comes into force at once.
	Pace, MaxPace time.Duration
	Table         func([]byte) (*table.Table, error)
	Fleet         func([]byte) (*fleet.List, error)
}

// settle is longer than publishers take to write again what a restored store has lost, and
// shorter than the time within which a table must be in force.
const settle = 5 * time.Second

// OwnParsers read the system's own formats: CSV and JSON.
func OwnParsers() Parsers {
	return Parsers{
		Settle: settle,
		Table:  func(b []byte) (*table.Table, error) { return table.Parse(Table, b) },
		Fleet:  func(b []byte) (*fleet.List, error) { return fleet.Parse(Fleet, b) },
	}
}

// Event tells of an offered value that changed something, was bad, or was ignored as older.
type Event struct {
	Name     string
	Revision revision.ID
	Source   string
	Verdict  register.Verdict
	Findings error
}

// Store holds the values. It is safe for concurrent use.
type Store struct {
	mu    sync.Mutex
	table *register.Register[*table.Table]
	fleet *register.Register[*fleet.List]
	raw   map[string]Value
	// pending are the values that are in doubt, by name.
	pending map[string]pendingValue
	// stale is the newest revision by name that was ignored as older than another.
	stale map[string]revision.ID
	log   changeLog
	// whole says that what is known of the fleet differs from what others know, so that the
	// whole value is needed.
	whole bool
	paced pacing
	// onDeferred, if set, is called when a list begins to wait until ApplyDue.
	onDeferred func(at time.Time)
	onEvent    func(Event)
	onFleet    func(list *fleet.List, since time.Time)
}

// New makes an empty store. onEvent is told of adoptions, rejections, conflicts, values in
// doubt and whole values that were ignored as older; onFleet of each new fleet list.
func New(p Parsers, onEvent func(Event), onFleet func(list *fleet.List, since time.Time)) *Store {
	return &Store{
		table:   register.NewSettling(p.Table, p.Settle),
		fleet:   register.NewSettling(p.Fleet, p.Settle),
		pending: map[string]pendingValue{},
		raw:     map[string]Value{},
		paced:   pacing{each: p.Pace, most: p.MaxPace},
		stale:   map[string]revision.ID{},
		onEvent: onEvent,
		onFleet: onFleet,
	}
}

// OnDeferred sets what is called when a list of endpoints begins to wait; ApplyDue has to be called
// at the given time then.
func (s *Store) OnDeferred(call func(at time.Time)) { s.onDeferred = call }

// Offer gives the store a value that a peer has told.
func (s *Store) Offer(now time.Time, v Value, source string) register.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := register.FromPeer
	if v.Certain {
		from = register.FromPeerCertain
	}
	return s.take(now, v, source, from)
}

// OfferRead gives the store a value that was read from the platform just now.
func (s *Store) OfferRead(now time.Time, v Value, source string) register.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.take(now, v, source, register.FromStore)
}

// Settle tells that the platform has been read, and that all news has been offered. Values that
// have stood for long enough are taken.
func (s *Store) Settle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, certain := s.table.Settle(now)
	s.settle(now, Table, at, certain)
	at, certain = s.fleet.Settle(now)
	s.settle(now, Fleet, at, certain)
}

// settle takes the value that is pending by name if its register is certain of it.
func (s *Store) settle(now time.Time, name string, at revision.ID, certain bool) {
	if p := s.pending[name]; certain && p.Revision == at {
		s.take(now, p.Value, p.source, register.FromPeerCertain)
	}
}

// pendingValue is a value in doubt, and who gave it.
type pendingValue struct {
	Value
	source string
}

// take offers a value to its register; the caller holds the lock.
func (s *Store) take(now time.Time, v Value, source string, from register.Source) register.Verdict {
	if v.Since.IsZero() {
		v.Since = now
	}
	if v.Content == nil && v.Base > 0 {
		var patched bool
		if v, patched = s.patch(v); !patched {
			return register.Stale
		}
	}
	if v.Name == Fleet {
		// It has come whole, or fits what others have.
		s.whole = false
		if s.paced.deferred && v.Revision <= s.raw[Fleet].Revision {
			return register.Known
		}
		if v.Revision > s.raw[Fleet].Revision && s.defers(now, &v, source) {
			return register.Deferred
		}
	}
	return s.apply(now, v, source, from)
}

// apply offers a whole value to its register, and tells what came of it. The caller holds the lock.
func (s *Store) apply(now time.Time, v Value, source string, from register.Source) register.Verdict {
	verdict, err := s.offer(now, v, from)
	if (verdict == register.Adopted || verdict == register.Rejected) && v.Revision > s.raw[v.Name].Revision {
		s.note(v)
		s.raw[v.Name] = v
	}
	news := s.setPending(v, verdict, source)
	if verdict == register.Adopted && v.Name == Fleet {
		s.paced.applied(now, len(s.fleet.Current().Value.Endpoints))
		s.onFleet(s.fleet.Current().Value, v.Since)
	}
	if verdict == register.Adopted || verdict == register.Rejected || verdict == register.Conflict || news || s.staleNews(v, verdict) {
		s.onEvent(Event{v.Name, v.Revision, source, verdict, err})
	}
	return verdict
}

// setPending keeps a value that is in doubt, until another is decided on, and reports whether
// that is news. The caller holds the lock.
func (s *Store) setPending(v Value, verdict register.Verdict, source string) (news bool) {
	if verdict == register.Pending {
		news = s.pending[v.Name].Revision != v.Revision
		s.pending[v.Name] = pendingValue{v, source}
		return news
	}
	if verdict == register.Adopted || v.Revision >= s.pending[v.Name].Revision {
		delete(s.pending, v.Name)
	}
	return false
}

// staleNews reports whether a value was ignored as older than another one that is known, and
// hasn't been told of yet. The caller holds the lock.
func (s *Store) staleNews(v Value, verdict register.Verdict) bool {
	if verdict != register.Stale || s.stale[v.Name] == v.Revision {
		return false
	}
	s.stale[v.Name] = v.Revision
	return true
}

func (s *Store) offer(now time.Time, v Value, from register.Source) (register.Verdict, error) {
	switch v.Name {
	case Table:
		return s.table.Offer(now, v.Revision, v.Content, from)
	case Fleet:
		return s.fleet.Offer(now, v.Revision, v.Content, from)
	default:
		return register.Known, nil
	}
}

// Table returns the table in force, or nil.
func (s *Store) Table() *register.Version[*table.Table] { return s.table.Current() }

// Fleet returns the fleet list in force, or nil.
func (s *Store) Fleet() *register.Version[*fleet.List] { return s.fleet.Current() }

// Ready reports whether both values are in force.
func (s *Store) Ready() bool { return s.Table() != nil && s.Fleet() != nil }

// Seen returns the highest revision seen per value, bad ones included. One that is needed
// whole counts as not seen.
func (s *Store) Seen() map[string]revision.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]revision.ID{}
	for name, v := range s.raw {
		if name != Fleet || !s.whole {
			out[name] = v.Revision
		}
	}
	return out
}

// Newer returns the values seen that are newer than the given revisions, as changes where
// that is asked for and possible. Bad ones are passed on too: each entry checks and counts
// them for itself.
func (s *Store) Newer(than map[string]revision.ID, changes bool) []Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Value
	for name, v := range s.raw {
		if v.Revision > than[name] {
			out = append(out, s.since(v, than[name], changes))
		}
	}
	return out
}

// Get returns the newest value seen by name.
func (s *Store) Get(name string) (Value, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.raw[name]
	return v, ok
}

// Since returns the newest value seen by name, as changes since a revision if that is possible.
func (s *Store) Since(name string, after revision.ID) (Value, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.raw[name]
	return s.since(v, after, true), ok
}

// Findings returns what was wrong with the newest bad table, if any.
func (s *Store) Findings() (at revision.ID, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Findings()
}
