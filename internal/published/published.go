// Package published holds the values that the platform publishes to an entry: the table and the
// fleet list. Values come from the platform's store and from peers. Each goes through a register
// (see package register), so that a value in force is never replaced by an older one.
//
// A fleet list can be exchanged as a delta against an earlier revision, and the rate at which
// fleet lists come into force is limited; see applyPacer.
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
	// Table is the routing table that the operators maintain.
	Table = "table"
	// Fleet is the fleet list: the endpoints, and also the VMs and workspaces where the platform
	// publishes these.
	Fleet = "fleet"
)

// Value is one revision of a published value. Its content is in the platform's format.
type Value struct {
	Name     string
	Revision revision.ID
	// Content is the full value; nil if only Changes are given.
	Content []byte
	// Base, if not zero, is the revision to which Changes apply; the result is this value.
	// Changes are encoded records of the endpoint registry.
	Base    revision.ID
	Changes []byte
	// ContentHash is the xxHash64 of the full value; set only if Content is nil.
	ContentHash uint64
	// FirstReadAt is when the first entry read the value from the platform, as far as is known,
	// by this process's clock. Zero means now.
	FirstReadAt time.Time
	// Certain means, on a value exchanged with a peer, that it was certainly written in the era
	// of its revision, and not copied from an earlier era by a restore; see package register.
	Certain bool
}

// Config holds the parsers of the values and the settings of a Store.
type Config struct {
	// SettlePeriod is how long a value must remain in the platform's store after a restore of
	// that store until it counts as certain. It applies where only revisions order the values;
	// see package register.
	SettlePeriod time.Duration
	// ApplyIntervalPerEndpoint times the number of endpoints in the list is the minimum interval
	// between two fleet lists coming into force, capped at MaxApplyInterval. Zero applies each
	// list at once.
	ApplyIntervalPerEndpoint, MaxApplyInterval time.Duration
	ParseTable                                 func([]byte) (*table.Table, error)
	ParseFleet                                 func([]byte) (*fleet.List, error)
}

// nativeSettlePeriod is longer than publishers take to rewrite what a restored store has lost,
// and shorter than the time within which a table must be in force.
const nativeSettlePeriod = 5 * time.Second

// NativeConfig returns the configuration for the system's own formats: CSV for the table and JSON
// for the fleet list.
func NativeConfig() Config {
	return Config{
		SettlePeriod: nativeSettlePeriod,
		ParseTable:   func(b []byte) (*table.Table, error) { return table.Parse(Table, b) },
		ParseFleet:   func(b []byte) (*fleet.List, error) { return fleet.Parse(Fleet, b) },
	}
}

// Event reports an offered value that was adopted, rejected, in conflict, newly pending or, if it
// came in full, newly ignored as stale.
type Event struct {
	Name     string
	Revision revision.ID
	Source   string
	Verdict  register.Verdict
	Findings error
}

// Store holds the published values. It is safe for concurrent use.
type Store struct {
	mu    sync.Mutex
	table *register.Register[*table.Table]
	fleet *register.Register[*fleet.List]
	// newest holds, by name, the newest value seen, whether it is in force, deferred or rejected.
	newest map[string]Value
	// pending holds, by name, values that may be older than the one in force.
	pending map[string]pendingValue
	// reportedStale holds, by name, the stale revision that was last reported, so that each is
	// reported once.
	reportedStale map[string]revision.ID
	log           changeLog
	// needsFullFleet is set when received changes did not apply to the stored fleet list; the
	// full list is then requested from peers.
	needsFullFleet bool
	pacer          applyPacer
	// onDeferred, if set, is called when a fleet list is deferred until ApplyDeferred is due.
	onDeferred func(until time.Time)
	onEvent    func(Event)
	onFleet    func(list *fleet.List, firstReadAt time.Time)
}

// New returns an empty store. onEvent is called for each Event, and onFleet for each fleet list
// that comes into force. Both are called with the store's lock held.
func New(cfg Config, onEvent func(Event), onFleet func(list *fleet.List, firstReadAt time.Time)) *Store {
	return &Store{
		table:         register.NewSettling(cfg.ParseTable, cfg.SettlePeriod),
		fleet:         register.NewSettling(cfg.ParseFleet, cfg.SettlePeriod),
		pending:       map[string]pendingValue{},
		newest:        map[string]Value{},
		pacer:         applyPacer{intervalPerEndpoint: cfg.ApplyIntervalPerEndpoint, maxInterval: cfg.MaxApplyInterval},
		reportedStale: map[string]revision.ID{},
		onEvent:       onEvent,
		onFleet:       onFleet,
	}
}

// OnDeferred sets the callback for a fleet list that is deferred. ApplyDeferred must be called at
// the time that the callback is given.
func (s *Store) OnDeferred(onDeferred func(until time.Time)) { s.onDeferred = onDeferred }

// OfferFromPeer offers a value that was received from a peer.
func (s *Store) OfferFromPeer(now time.Time, v Value, source string) register.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	origin := register.FromPeer
	if v.Certain {
		origin = register.FromPeerCertain
	}
	return s.offerLocked(now, v, source, origin)
}

// OfferFromStore offers a value that has just been read from the platform's store.
func (s *Store) OfferFromStore(now time.Time, v Value, source string) register.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.offerLocked(now, v, source, register.FromStore)
}

// Settle records that the platform's store has been read and that all its changes have been
// offered. It adopts pending values that have remained in the store for the settle period.
func (s *Store) Settle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rev, certain := s.table.Settle(now)
	s.adoptSettled(now, Table, rev, certain)
	rev, certain = s.fleet.Settle(now)
	s.adoptSettled(now, Fleet, rev, certain)
}

// adoptSettled adopts the pending value of this name if the register is certain of its revision.
func (s *Store) adoptSettled(now time.Time, name string, rev revision.ID, certain bool) {
	if p := s.pending[name]; certain && p.Revision == rev {
		s.offerLocked(now, p.Value, p.source, register.FromPeerCertain)
	}
}

// pendingValue is a pending value and the source that offered it.
type pendingValue struct {
	Value
	source string
}

// offerLocked offers a value to its register. It first applies changes to the stored value,
// and defers a fleet list that arrives within the interval of applyPacer. The caller holds the
// lock.
func (s *Store) offerLocked(now time.Time, v Value, source string, origin register.Source) register.Verdict {
	if v.FirstReadAt.IsZero() {
		v.FirstReadAt = now
	}
	if v.Content == nil && v.Base > 0 {
		var patched bool
		if v, patched = s.patch(v); !patched {
			return register.Stale
		}
	}
	if v.Name == Fleet {
		// The value came in full, or its changes apply to the stored list.
		s.needsFullFleet = false
		if s.pacer.deferred && v.Revision <= s.newest[Fleet].Revision {
			return register.Known
		}
		if v.Revision > s.newest[Fleet].Revision && s.deferFleet(now, &v, source) {
			return register.Deferred
		}
	}
	return s.applyLocked(now, v, source, origin)
}

// applyLocked offers a full value to its register and reports the result. The caller holds the
// lock.
func (s *Store) applyLocked(now time.Time, v Value, source string, origin register.Source) register.Verdict {
	verdict, err := s.offerToRegister(now, v, origin)
	if (verdict == register.Adopted || verdict == register.Rejected) && v.Revision > s.newest[v.Name].Revision {
		s.recordChanges(v)
		s.newest[v.Name] = v
	}
	newlyPending := s.updatePending(v, verdict, source)
	if verdict == register.Adopted && v.Name == Fleet {
		s.pacer.recordApplied(now, len(s.fleet.Current().Value.Endpoints))
		s.onFleet(s.fleet.Current().Value, v.FirstReadAt)
	}
	if verdict == register.Adopted || verdict == register.Rejected || verdict == register.Conflict || newlyPending || s.newlyStale(v, verdict) {
		s.onEvent(Event{v.Name, v.Revision, source, verdict, err})
	}
	return verdict
}

// updatePending stores a pending value, or removes the stored one once a value as new or newer is
// decided on. It reports whether the value is newly pending. The caller holds the lock.
func (s *Store) updatePending(v Value, verdict register.Verdict, source string) (newlyPending bool) {
	if verdict == register.Pending {
		newlyPending = s.pending[v.Name].Revision != v.Revision
		s.pending[v.Name] = pendingValue{v, source}
		return newlyPending
	}
	if verdict == register.Adopted || v.Revision >= s.pending[v.Name].Revision {
		delete(s.pending, v.Name)
	}
	return false
}

// newlyStale reports whether a value was ignored as stale and its revision has not been reported
// yet. The caller holds the lock.
func (s *Store) newlyStale(v Value, verdict register.Verdict) bool {
	if verdict != register.Stale || s.reportedStale[v.Name] == v.Revision {
		return false
	}
	s.reportedStale[v.Name] = v.Revision
	return true
}

func (s *Store) offerToRegister(now time.Time, v Value, origin register.Source) (register.Verdict, error) {
	switch v.Name {
	case Table:
		return s.table.Offer(now, v.Revision, v.Content, origin)
	case Fleet:
		return s.fleet.Offer(now, v.Revision, v.Content, origin)
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

// SeenRevisions returns the highest revision seen of each value, including values that failed
// their check. It omits the fleet list while the full list is needed, so that peers send it in
// full.
func (s *Store) SeenRevisions() map[string]revision.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	revisions := map[string]revision.ID{}
	for name, v := range s.newest {
		if name != Fleet || !s.needsFullFleet {
			revisions[name] = v.Revision
		}
	}
	return revisions
}

// NewerThan returns the values that are newer than the given revisions, as changes where
// allowChanges is set and changes are available. Values that failed their check are included:
// each entry checks and counts them itself.
func (s *Store) NewerThan(revisions map[string]revision.ID, allowChanges bool) []Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	var values []Value
	for name, v := range s.newest {
		if v.Revision > revisions[name] {
			values = append(values, s.asChanges(v, revisions[name], allowChanges))
		}
	}
	return values
}

// Get returns the newest value seen of this name, in full.
func (s *Store) Get(name string) (Value, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.newest[name]
	return v, ok
}

// GetAsChanges returns the newest value seen of this name, as changes since a revision where
// these are available.
func (s *Store) GetAsChanges(name string, after revision.ID) (Value, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.newest[name]
	return s.asChanges(v, after, true), ok
}

// TableFindings returns why the newest rejected table failed its check, with its revision; the
// error is nil if there is none.
func (s *Store) TableFindings() (rev revision.ID, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Findings()
}
