// Package contain holds an entry's record of requests that crash endpoints, and refuses
// requests that are contained. The decisions are made by package quarantine; this package adds
// locking, the clock and notifications of changes.
package contain

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/crashwatch"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
)

// Change is a change in the quarantine status of a request, or of a combination of parts.
type Change struct {
	Identity quarantine.Identity
	// Parts are those of a combination; empty for a request.
	Parts        []quarantine.Part
	Previous     quarantine.Status
	Current      quarantine.Status
	Terminations int
}

// Guard wraps the quarantine.Set of an entry. It is safe for concurrent use.
type Guard struct {
	// empty is true while the set holds no facts, so that requests needn't be hashed before
	// they are sent.
	empty atomic.Bool

	mu  sync.Mutex
	set *quarantine.Set
	// reported are the statuses that changes returned last.
	reported          map[quarantine.Identity]Change
	onStatusChange    func([]Change)
	onNewFacts        func()
	onIsolationChange func()
}

// New returns a Guard without facts.
func New() *Guard {
	g := &Guard{set: quarantine.New(), onStatusChange: func([]Change) {}, onNewFacts: func() {}, onIsolationChange: func() {}}
	g.empty.Store(true)
	return g
}

// OnIsolationChange sets a callback for possible changes of the set of isolated requests. It
// must be called before the guard is used.
func (g *Guard) OnIsolationChange(onChange func()) { g.onIsolationChange = onChange }

// OnNewFacts sets two callbacks that are called when facts are added that were unknown:
// onStatusChange with the changes that follow from them, if any, and onNewFacts so that the
// facts are published to the peers soon. It must be called before the guard is used.
func (g *Guard) OnNewFacts(onStatusChange func([]Change), onNewFacts func()) {
	g.onStatusChange, g.onNewFacts = onStatusChange, onNewFacts
}

// Disable makes the guard record nothing and permit every request, for experiments. It must be
// called before the guard is used.
func (g *Guard) Disable() { g.set = nil }

func (g *Guard) disabled() bool { return g.set == nil }

// Add records facts from this entry or from peers.
func (g *Guard) Add(facts ...quarantine.Fact) { g.AddAll(facts, nil) }

// AddPartFacts records facts about parts from this entry or from peers.
func (g *Guard) AddPartFacts(facts ...quarantine.PartFact) { g.AddAll(nil, facts) }

// AddAll is Add and AddPartFacts for facts that are known at the same time.
func (g *Guard) AddAll(facts []quarantine.Fact, partFacts []quarantine.PartFact) {
	if g.disabled() || len(facts)+len(partFacts) == 0 {
		return
	}
	changes, added := g.update(facts, partFacts)
	if len(changes) > 0 {
		g.onStatusChange(changes)
	}
	if added {
		g.onIsolationChange()
		g.onNewFacts()
	}
}

// update adds facts and returns the changes of status that follow.
func (g *Guard) update(facts []quarantine.Fact, partFacts []quarantine.PartFact) (changes []Change, added bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	addedRequests, addedParts := g.set.AddAll(now, facts, partFacts)
	g.empty.Store(g.set.Empty())
	return g.changes(now), len(addedRequests)+len(addedParts) > 0
}

// changes returns the changes of status since the previous call. The caller holds the lock.
func (g *Guard) changes(now time.Time) (changes []Change) {
	current := g.statuses(now)
	for id, c := range current {
		if c.Previous = g.reported[id].Current; c.Previous != c.Current {
			changes = append(changes, c)
		}
	}
	for id, c := range g.reported {
		if _, known := current[id]; !known {
			changes = append(changes, Change{Identity: id, Parts: c.Parts, Previous: c.Current})
		}
	}
	g.reported = current
	return changes
}

// statuses returns the requests and combinations of parts whose status isn't Unknown.
func (g *Guard) statuses(now time.Time) map[quarantine.Identity]Change {
	statuses := map[quarantine.Identity]Change{}
	for id, status := range g.set.Statuses(now) {
		if status != quarantine.Unknown {
			statuses[id] = Change{Identity: id, Current: status, Terminations: g.set.Terminations(id)}
		}
	}
	for id, c := range g.set.CombinationStatuses(now) {
		statuses[id] = Change{Identity: id, Parts: c.Parts, Current: c.Status, Terminations: c.Terminations}
	}
	return statuses
}

// RecordTermination records that an instance terminated while it ran requests.
func (g *Guard) RecordTermination(termination crashwatch.Termination, runs []crashwatch.Run) {
	if g.disabled() {
		return
	}
	facts, partFacts := crashwatch.Facts(termination, runs), crashwatch.PartFacts(termination, runs)
	g.mu.Lock()
	now := clock.Now()
	for i, run := range runs {
		if run.SentTo != termination.Endpoint.Instance() && run.SentTo != (fleet.Instance{}) {
			if eventID, recorded := g.set.RecordedTermination(run.SentTo, run.InterruptedAt); recorded {
				facts[i].EventID, partFacts[i].EventID = eventID, eventID
			}
		}
		facts[i].BeforeIsolation = !g.set.IsEvidence(now, run.Identity, run.SentAt)
		partFacts[i].BeforeIsolation = !g.set.IsPartEvidence(now, run.Parts, run.SentAt)
	}
	g.mu.Unlock()
	g.AddAll(facts, partFacts)
}

// CountTerminations returns the number of terminations of an endpoint, from the listed instance
// on, that are recorded up to a given time; see quarantine.Set.CountTerminations.
func (g *Guard) CountTerminations(listed fleet.Instance, until time.Time) int {
	if g.disabled() || g.empty.Load() {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.CountTerminations(listed, until)
}

// IsolatedRequests returns the requests that must run on an endpoint of their own.
func (g *Guard) IsolatedRequests() []quarantine.IsolatedRequest {
	if g.disabled() || g.empty.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.IsolatedRequests(clock.Now())
}

// Request is a request whose content is hashed on demand.
type Request interface {
	// Identity returns the identity of the whole request.
	Identity() quarantine.Identity
	// SharedParts returns the parts of the prompt that other requests may have.
	SharedParts() []quarantine.Part
}

// RecordCompletion records that a run of a request completed.
func (g *Guard) RecordCompletion(r Request) {
	if g.disabled() {
		return
	}
	id, parts := r.Identity(), r.SharedParts()
	g.mu.Lock()
	now := clock.Now()
	f, cleared := g.set.RecordCompletion(now, id, rand.Uint64())
	partFacts := g.set.RecordPartCompletion(now, parts)
	g.mu.Unlock()
	var facts []quarantine.Fact
	if cleared {
		facts = append(facts, f)
	}
	g.AddAll(facts, partFacts)
}

// RecordSurvival records that a run of a request has produced output for quarantine.SurvivalPeriod.
func (g *Guard) RecordSurvival(r Request) {
	if g.disabled() {
		return
	}
	parts := r.SharedParts()
	g.mu.Lock()
	partFacts := g.set.RecordPartCompletion(clock.Now(), parts)
	g.mu.Unlock()
	g.AddAll(nil, partFacts)
}

// Check returns an error if a request or parts of it are contained, or nil if it may be sent.
func (g *Guard) Check(r Request) *outcome.Error {
	if g.disabled() || g.empty.Load() {
		return nil
	}
	id, parts := r.Identity(), r.SharedParts()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	if refusal := g.set.Check(now, id); refusal != nil {
		return refusalError(refusal)
	}
	return refusalError(g.set.CheckParts(now, parts))
}

// Begin is Check for a request that is sent at once if permitted. The caller calls finish when
// the attempt has ended.
func (g *Guard) Begin(r Request) (finish func(), err *outcome.Error) {
	if g.disabled() || g.empty.Load() {
		return func() {}, nil
	}
	id, parts := r.Identity(), r.SharedParts()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	if refusal := g.set.CheckParts(now, parts); refusal != nil {
		return func() {}, refusalError(refusal)
	}
	probe, refusal := g.set.Begin(now, id)
	if refusal != nil {
		return func() {}, refusalError(refusal)
	}
	var probes []quarantine.Identity
	if probe {
		probes = append(probes, id)
	}
	if partProbe, _ := g.set.BeginParts(now, parts); partProbe != nil {
		probes = append(probes, *partProbe)
	}
	if len(probes) == 0 {
		return func() {}, nil
	}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, id := range probes {
			g.set.Finish(id)
		}
	}, nil
}

// refusalError converts a refusal to an error for the caller. The error says that this attempt
// has not run, and nothing about earlier attempts.
func refusalError(r *quarantine.Refusal) *outcome.Error {
	if r == nil {
		return nil
	}
	subject := "the request"
	if len(r.Parts) > 0 {
		subject = "part " + quarantine.JoinParts(r.Parts) + " of the prompt"
	}
	reason := subject + " is on trial, one try at a time"
	if r.Status == quarantine.Contained {
		reason = subject + " is in quarantine"
	}
	return outcome.NotRunf(outcome.CodeQuarantined, "%s: %d endpoints ended while they ran it; this try has not run", reason, r.Terminations).WithRetryAfter(r.RetryAfter)
}

// SetRank sets the rank of this entry among all entries; see quarantine.Set.SetRank.
func (g *Guard) SetRank(rank, entries int) {
	if g.disabled() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.set.SetRank(rank, entries)
}

// Expire drops facts that are too old, and reports changes of status that follow from the time alone. It is
// called periodically.
func (g *Guard) Expire(now time.Time) {
	if g.disabled() || g.empty.Load() {
		return
	}
	g.mu.Lock()
	g.set.Expire(now)
	g.empty.Store(g.set.Empty())
	changes := g.changes(now)
	g.mu.Unlock()
	if len(changes) > 0 {
		g.onStatusChange(changes)
	}
	// Isolated requests may have to avoid fewer endpoints now.
	g.onIsolationChange()
}

// Keys returns the keys of all facts.
func (g *Guard) Keys() []quarantine.Key {
	if g.disabled() || g.empty.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Keys()
}

// Compare returns the facts that a peer with the given keys lacks, and the keys of the facts
// that only the peer has.
func (g *Guard) Compare(peerKeys []quarantine.Key) (missing []quarantine.Fact, wanted []quarantine.Key) {
	if g.disabled() || g.empty.Load() && len(peerKeys) == 0 {
		return nil, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Compare(peerKeys)
}

// Facts returns the facts with the given keys, leaving out unknown keys.
func (g *Guard) Facts(keys []quarantine.Key) []quarantine.Fact {
	if g.disabled() || len(keys) == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Facts(keys)
}

// PartKeys is Keys for facts about parts.
func (g *Guard) PartKeys() []quarantine.Key {
	if g.disabled() || g.empty.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.PartKeys()
}

// ComparePartFacts is Compare for facts about parts.
func (g *Guard) ComparePartFacts(peerKeys []quarantine.Key) (missing []quarantine.PartFact, wanted []quarantine.Key) {
	if g.disabled() || g.empty.Load() && len(peerKeys) == 0 {
		return nil, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.ComparePartFacts(peerKeys)
}

// PartFacts is Facts for facts about parts.
func (g *Guard) PartFacts(keys []quarantine.Key) []quarantine.PartFact {
	if g.disabled() || len(keys) == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.PartFacts(keys)
}

// Counts returns the number of requests in each status except Unknown.
func (g *Guard) Counts() map[quarantine.Status]int {
	if g.disabled() || g.empty.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Counts(clock.Now())
}
