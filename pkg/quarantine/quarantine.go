// Package quarantine identifies requests that crash the endpoints running them, and parts of prompts that
// do so in any request, and decides which requests an entry refuses or isolates.
//
// # Design
//
// Such a request (a "query of death") is repeated for as long as it fails, under a new request
// id and at any entry. Attempt limits and circuit breakers don't catch it: each try is the first
// attempt of its id, at an endpoint that has not failed yet. Requests are therefore identified
// by content (Identity), and a Set records under which identities endpoint instances terminated.
//
//	        an instance terminates            threshold reached
//	[unknown] ------------------> [suspected] ------------------> [contained]
//	    ^                           |     |                          |      ^
//	    |<--- a run completes ------+     |       containment period |      | another
//	    |     (from any status)           |                 expires  v      | termination
//	    +<--- facts expire ---------------+---------------------- [half-open]
//
// Requests that run in the same instance as a culprit become candidates as well, and the same request
// often runs many times at once. Three rules protect innocent requests:
//
//   - A completed run shows that a request doesn't crash its endpoint: terminations up to then,
//     and for ClearedPeriod after, don't count against it. Entries cache recent completions,
//     so that a completion before the first termination clears the request, too.
//   - An instance terminates once, so terminations attributed to a culprit don't count against
//     other requests. Culprits are determined in the order in which they reached
//     ContainmentThreshold, and at equal times by descending number of terminations.
//   - A request is ambiguous if it shares all its terminations with other candidates, and at
//     least half of them with one of these. A request that isn't ambiguous is contained after
//     ContainmentThreshold terminations. The terminations of an ambiguous one may be caused by
//     others, as those of a request that runs at every endpoint, so it is Isolated: it is still
//     sent, but to an endpoint of its own (Assign) that other requests avoid, where it either
//     completes or terminates one more instance by itself. Where isolation is impossible, as
//     with a single endpoint, the request is contained after AmbiguousThreshold terminations and
//     probed again after AmbiguousPeriod.
//
// Without isolation, a streaming request that ran at all three engines while two culprits crashed
// them in turn was contained for ContainmentPeriod after 0.3 s, since it alone shared all
// terminations, and the two culprits were still sent.
//
// Without the rules for ambiguous requests and for earlier completions, a streaming request that
// nine callers sent at once was refused for minutes: three engines terminated within half a second
// while it ran at each.
//
// Every request running in an instance becomes a candidate when the instance terminates, whether
// or not its response has begun: an engine may crash during prefill.
//
// Below ContainmentThreshold a request is sent like any other. Limiting it to one try at a time
// at each entry, from the first or from the second termination on, saves no endpoints (5.2 and
// 5.4 terminations, against 5.4 without this limit, at 65 tries a second in 24 runs each), and
// innocent requests with the same content were refused in 4 of the runs. A half-open request is
// probed by one run at a time, entries take turns, and the first termination contains it again.
//
// Terminations are summed over all entries. Entries reconcile their sets by comparing fact keys,
// so that no fact depends on a single entry staying up. Facts are exchanged with their age, never
// with a time of day. A Set is bounded by MaxFacts; callers can't fill it by inventing requests,
// since each fact costs the termination of an instance.
//
// # Parts of prompts
//
// Requests of which no two are alike may share a part that crashes engines. A Set therefore records
// terminations and completed runs of parts (PartFact) as well, all but the last part of a prompt, which
// is the request's own. Parts are in many requests, so the rules for them differ:
//
//	         three independent terminations       a termination in isolation
//	[unknown] ----------------------------> [isolated] ----------------------> [contained]
//	    ^                                      |    |  six, not isolated          |     ^ another termination,
//	    |<--- a run completes or survives -----+    +-------------------------->  |     | a longer period
//	    |                                                                         v     |
//	    +<------------------------------------------------------------------- [half-open]
//
// Four rules protect sound parts:
//
//   - A part isn't contained before an instance terminated under requests that were isolated, where
//     isolation is possible: a part in most requests is in most instances that terminate for any reason.
//     Sound parts complete in isolation.
//   - A run clears its parts once it has produced output for SurvivalPeriod. Instances that
//     terminate together count once.
//   - A part is no suspect while another one explains all its terminations and more. Requests
//     of one caller share parts with those that crash engines, and others run beside them.
//   - Suspects that were always in the same requests form a combination, which is isolated and contained
//     as a whole: requests with only some of its parts run like any other.
//
// A request that is a culprit by itself explains the terminations of its parts. A request is ambiguous if a
// part of other requests shares at least half of its terminations, or if one of its own parts was in all of
// its terminated instances and in others. Containment is short at first and grows with each failed probe,
// since a part that is contained by mistake affects many requests.
//
// The package does no I/O. The caller serialises calls.
package quarantine

import (
	"maps"
	"time"
)

const (
	// ContainmentThreshold is the number of instance terminations under a request at which it
	// is contained. A threshold of 2 would halve the damage, but two crashes within minutes
	// affect innocent requests that are repeated: an idempotent request, which is rerun after a
	// crash, meets two of them within one call.
	ContainmentThreshold = 3
	// AmbiguousThreshold is the threshold for ambiguous requests, whose terminations may be
	// caused by others. An ambiguous request may cause three terminations after
	// ContainmentThreshold: two until it is contained, and one when it is probed.
	AmbiguousThreshold = 5
	// minAmbiguousShared is the number of shared terminations from which two requests can be
	// mistaken for each other. A single termination is shared by all requests that ran in the
	// instance.
	minAmbiguousShared = 2
	// MaxFacts bounds the facts kept, and with it the keys in each exchange, 4 bytes each. It
	// covers about twenty instances that terminate with 24 requests each, the most that an
	// engine runs at once.
	MaxFacts = 512
)

const (
	// ContainmentPeriod is the time for which a request stays contained after its last
	// termination. A caller that repeats a request once a second for a day then costs 144
	// endpoints instead of 86,400.
	ContainmentPeriod = 10 * time.Minute
	// AmbiguousPeriod is the containment period of ambiguous requests, most of which are
	// innocent. It is longer than a fact takes to reach all entries, so that one termination
	// is enough to resolve the ambiguity. With 10 s, an innocent request that always ran beside
	// the culprit was refused at 37 of 120 tries instead of 17, for as many terminations
	// (6 entries).
	AmbiguousPeriod = 4 * time.Second
	// attributionDelay is the time after the threshold is reached until all entries that saw
	// other requests in the same instances have reported them (0.1 s between three busy
	// entries), and until requests that were running at the assigned endpoint before the
	// isolation have had time to crash it.
	// Until then, a request that shares terminations is only isolated. Without the delay,
	// entries that lacked these reports refused innocent requests.
	attributionDelay = 300 * time.Millisecond
	// avoidancePeriod is the time after the last termination of an isolated request for which
	// other requests avoid its endpoint. Callers whose Retry-After is one second have retried by
	// then.
	avoidancePeriod = 3 * time.Second
	// ClearedPeriod is the time after a completed run for which terminations don't count
	// against a request. For that long a request may be cleared wrongly, when the software at
	// the endpoints has just been replaced by a version that it crashes.
	ClearedPeriod = time.Minute
	// factRetention is the time for which a fact is kept: a contained request stays half-open
	// for as long as it was contained.
	factRetention = 2 * ContainmentPeriod
	// probeSlot is the time for which one entry may probe a request before it is the next
	// one's turn: as long as a termination takes to reach all entries (1.92 s with 295
	// entries). When all entries could probe at once, thirty tries a second terminated more
	// than three engines after the threshold with 66 entries and more.
	probeSlot = 2 * time.Second
	// probeRetryDelay is the delay after which a caller may retry a half-open request that
	// another run, or another entry, is entitled to probe.
	probeRetryDelay = time.Second
)

// Status is the containment status of a request.
type Status int

// The statuses in the order of severity; see the package documentation. HalfOpen is written
// "on_trial" and Isolated "apart" in logs and metrics.
const (
	Unknown Status = iota
	Suspected
	Isolated
	HalfOpen
	Contained
)

// String returns the name of the status for logs and metrics.
func (s Status) String() string {
	return [...]string{"unknown", "suspected", "apart", "on_trial", "contained"}[s]
}

// Set holds the known facts and the candidates derived from them. Use New to create one.
type Set struct {
	facts      factMap[Fact]
	candidates map[Identity]*candidate
	parts      *partRecords
	// byEvent maps the event ID of a termination to the candidates that were running.
	byEvent map[uint64][]*candidate
	// probing holds the half-open requests and combinations of which a probe is running at this entry.
	probing           map[Identity]bool
	recentCompletions completionCache[Identity]
	// rank is the rank of this entry in the sorted list of entries, from zero, and entries their
	// number.
	rank, entries int
}

// New returns an empty set.
func New() *Set {
	return &Set{facts: factMap[Fact]{}, candidates: map[Identity]*candidate{}, parts: newPartRecords(), byEvent: map[uint64][]*candidate{}, probing: map[Identity]bool{}}
}

// SetRank sets the rank of this entry in the sorted list of entries, from zero, and their number.
// They determine the entry's turns to probe half-open requests.
func (s *Set) SetRank(rank, entries int) { s.rank, s.entries = rank, entries }

// ownsProbeSlot reports whether it is this entry's turn to probe a request. Slots are counted
// from the end of the containment period, which is the same at all entries.
func (s *Set) ownsProbeSlot(now time.Time, id Identity) bool {
	c := s.candidates[id]
	if s.entries <= 1 || c == nil {
		return true
	}
	slot := int(now.Sub(c.lastTermination.Add(c.containmentPeriod())) / probeSlot)
	return slot%s.entries == s.rank
}

// Empty reports whether the set holds no facts.
func (s *Set) Empty() bool { return len(s.facts) == 0 && len(s.parts.facts) == 0 }

// Add adds facts and returns those that are new.
func (s *Set) Add(now time.Time, facts ...Fact) (added []Fact) {
	added, _ = s.AddAll(now, facts, nil)
	return added
}

// AddPartFacts adds facts about parts and returns those that are new, including completed runs at this
// entry that clear parts of the terminations.
func (s *Set) AddPartFacts(now time.Time, facts ...PartFact) (added []PartFact) {
	_, added = s.AddAll(now, nil, facts)
	return added
}

// AddAll is Add and AddPartFacts for facts that are known at the same time.
func (s *Set) AddAll(now time.Time, facts []Fact, partFacts []PartFact) (added []Fact, addedParts []PartFact) {
	added, addedParts = s.add(now, facts), s.parts.add(now, partFacts)
	if len(added)+len(addedParts) == 0 {
		return nil, nil
	}
	s.recompute()
	completed := s.parts.add(now, s.parts.completionsToPublish(terminatedParts(addedParts)))
	if len(completed) > 0 {
		s.recompute()
	}
	return added, append(addedParts, completed...)
}

// add adds facts without recomputing what follows from them, and returns those that are new.
func (s *Set) add(now time.Time, facts []Fact) (added []Fact) {
	for _, f := range facts {
		if _, known := s.facts[f.Key()]; known || s.outdated(now, f) {
			continue
		}
		// A termination within ClearedPeriod of a completion at this entry doesn't count.
		// The completion is recorded in its place.
		if completedAt, completed := s.recentCompletions.lastCompletion(f.Identity); completed && !f.Completed && f.OccurredAt.Sub(completedAt) < ClearedPeriod {
			f = Fact{Identity: f.Identity, EventID: f.EventID, Completed: true, OccurredAt: completedAt}
		}
		s.facts[f.Key()] = f
		added = append(added, f)
	}
	return added
}

// outdated reports whether a fact has no effect: it is older than factRetention, or a completed
// run of the request supersedes it.
func (s *Set) outdated(now time.Time, f Fact) bool {
	if now.Sub(f.OccurredAt) >= factRetention {
		return true
	}
	for _, other := range s.facts {
		if other.Completed && other.Identity == f.Identity && other.supersedes(f) {
			return true
		}
	}
	return false
}

// Expire drops facts older than factRetention.
func (s *Set) Expire(now time.Time) {
	before := len(s.facts) + len(s.parts.facts)
	maps.DeleteFunc(s.facts, func(_ Key, f Fact) bool { return now.Sub(f.OccurredAt) >= factRetention })
	maps.DeleteFunc(s.parts.facts, func(_ Key, f PartFact) bool { return now.Sub(f.OccurredAt) >= factRetention })
	if len(s.facts)+len(s.parts.facts) != before {
		s.recompute()
	}
}

// Status returns the status of a request and, if it is contained, for how much longer.
func (s *Set) Status(now time.Time, id Identity) (status Status, remaining time.Duration) {
	c := s.candidates[id]
	if c == nil || c.unattributed == 0 {
		return Unknown, 0
	}
	remaining = c.lastTermination.Add(c.containmentPeriod()).Sub(now)
	switch {
	case c.isolated(now):
		return Isolated, 0
	case !c.contained(now):
		return Suspected, 0
	case remaining > 0:
		return Contained, remaining
	default:
		return HalfOpen, 0
	}
}

// Terminations returns the number of terminations that count against a request: those that are
// not attributed to other requests.
func (s *Set) Terminations(id Identity) int {
	if c := s.candidates[id]; c != nil {
		return c.unattributed
	}
	return 0
}

// Refusal describes why a request is refused and when it may be retried.
type Refusal struct {
	Status       Status
	Terminations int
	RetryAfter   time.Duration
	// Parts are those of the combination that the request is refused for; empty if it is refused as a
	// whole.
	Parts []Part
}

// Check returns a refusal if a request may not be sent now, or nil if it may.
func (s *Set) Check(now time.Time, id Identity) *Refusal {
	status, remaining := s.Status(now, id)
	if status == Contained {
		return &Refusal{Status: status, Terminations: s.Terminations(id), RetryAfter: remaining}
	}
	if s.probing[id] || status == HalfOpen && !s.ownsProbeSlot(now, id) {
		return &Refusal{Status: status, Terminations: s.Terminations(id), RetryAfter: probeRetryDelay}
	}
	return nil
}

// Begin is Check for a request that is sent at once if permitted. If probe is true, the request
// is half-open and no other run of it is permitted until the caller calls Finish.
func (s *Set) Begin(now time.Time, id Identity) (probe bool, refusal *Refusal) {
	if refusal := s.Check(now, id); refusal != nil {
		return false, refusal
	}
	status, _ := s.Status(now, id)
	probe = status == HalfOpen
	if probe {
		s.probing[id] = true
	}
	return probe, nil
}

// Finish ends a probe that Begin permitted.
func (s *Set) Finish(id Identity) { delete(s.probing, id) }

// RecordCompletion records that a run of a request completed at this entry. If the request has
// terminations to be cleared of, it returns the fact to add.
func (s *Set) RecordCompletion(now time.Time, id Identity, eventID uint64) (f Fact, cleared bool) {
	s.recentCompletions.add(id, now)
	if s.candidates[id] == nil {
		return Fact{}, false
	}
	return Fact{Identity: id, EventID: eventID, Completed: true, OccurredAt: now}, true
}

// Statuses returns the status of each candidate.
func (s *Set) Statuses(now time.Time) map[Identity]Status {
	statuses := make(map[Identity]Status, len(s.candidates))
	for id := range s.candidates {
		statuses[id], _ = s.Status(now, id)
	}
	return statuses
}

// Counts returns the number of requests and combinations of parts in each status except Unknown.
func (s *Set) Counts(now time.Time) map[Status]int {
	counts := map[Status]int{}
	for _, combination := range s.CombinationStatuses(now) {
		counts[combination.Status]++
	}
	for _, status := range s.Statuses(now) {
		if status != Unknown {
			counts[status]++
		}
	}
	return counts
}
