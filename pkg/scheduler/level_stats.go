package scheduler

import (
	"math"
	"slices"
	"time"
)

// LevelStats counts what became of the requests of one level since the start of the entry.
type LevelStats struct {
	// Rank is the rank of the workspace, and Priority that of the row.
	Rank, Priority int
	// Waiting is the number of requests that wait now.
	Waiting int
	// Waited counts dispatched requests that had waited for longer than the interval between two
	// runs of the policy, and Refused those refused since they weren't expected to start in time.
	Waited, Refused uint64
	// InTime and Late count answers by whether they began within the objective of their row.
	InTime, Late uint64
	// Predicted and Actual are the times from the dispatch of a prompt to its first token, as
	// expected at the dispatch and as observed.
	Predicted, Actual StartTimes
	// StartedEarlier and StartedLater count prompts whose first token differed from the prediction
	// by more than startMargin.
	StartedEarlier, StartedLater uint64
}

// StartBounds are the upper bounds of the buckets of StartTimes, in seconds.
var StartBounds = [...]float64{0.1, 0.2, 0.35, 0.7, 1, 1.5, 2, 3, 4, 8}

// StartTimes is a histogram of times. Counts are cumulative by StartBounds.
type StartTimes struct {
	Counts [len(StartBounds)]uint64
	Count  uint64
	// Seconds is the sum.
	Seconds float64
}

func (h *StartTimes) observe(d time.Duration) {
	h.Count++
	h.Seconds += d.Seconds()
	for i, bound := range StartBounds {
		if d.Seconds() <= bound {
			h.Counts[i]++
		}
	}
}

// maxStatLevels bounds the levels that are counted on their own; requests of others count as of the
// level with rank and priority -1.
const maxStatLevels = 32

// statsOf returns the counts of a request's level.
func (s *Scheduler) statsOf(r *Request) *LevelStats {
	l := levelOf(r)
	if st := s.levelStats[l]; st != nil {
		return st
	}
	if len(s.levelStats) >= maxStatLevels {
		l = level{-1, -1}
	}
	st := s.levelStats[l]
	if st == nil {
		st = &LevelStats{Rank: l.rank, Priority: l.priority}
		s.levelStats[l] = st
	}
	return st
}

// recordStats counts a dispatch, before the prompt is added to the engine's load.
func (s *Scheduler) recordStats(now time.Time, it *item, e *endpoint) {
	if now.Sub(it.req.ArrivedAt) > maxDispatchDelay {
		s.statsOf(&it.req).Waited++
	}
	it.predictedStart = 0
	if it.req.PromptTokens > 0 && s.prefillRate(it.req.Row.Target) > 0 {
		it.predictedStart = s.expectedStart(now, e, s.prefillBacklog(now, e), it)
	}
}

// recordStart counts the first token of an answer, or a whole answer without tokens.
func (s *Scheduler) recordStart(now time.Time, it *item) {
	st := s.statsOf(&it.req)
	if objective := it.req.Row.Objective; objective > 0 {
		if now.Sub(it.req.ArrivedAt) <= objective {
			st.InTime++
		} else {
			st.Late++
		}
	}
	if it.predictedStart <= 0 {
		return
	}
	actual := now.Sub(it.sentAt)
	st.Predicted.observe(it.predictedStart)
	st.Actual.observe(actual)
	switch {
	case actual < it.predictedStart-startMargin:
		st.StartedEarlier++
	case actual > it.predictedStart+startMargin:
		st.StartedLater++
	}
}

// LevelStats returns the counts of all levels, the highest precedence first.
func (s *Scheduler) LevelStats() []LevelStats {
	for _, st := range s.levelStats {
		st.Waiting = 0
	}
	for _, q := range s.queues {
		for _, it := range q.items {
			s.statsOf(&it.req).Waiting++
		}
	}
	out := make([]LevelStats, 0, len(s.levelStats))
	for _, st := range s.levelStats {
		out = append(out, *st)
	}
	slices.SortFunc(out, func(a, b LevelStats) int {
		la, lb := level{a.Rank, a.Priority}, level{b.Rank, b.Priority}
		return compareTrueFirst(la.precedes(lb), lb.precedes(la))
	})
	return out
}

// WaitReason is why a request waits.
type WaitReason string

// The reasons, in the order in which they are checked.
const (
	WaitsForInFlightLimit WaitReason = "max_in_flight of its row"
	WaitsForRateLimit     WaitReason = "limits, pauses and cold starts of endpoints"
	WaitsForPrecedence    WaitReason = "prefill left to higher precedence"
	WaitsForObjective     WaitReason = "engines too busy for its objective"
	WaitsForCapacity      WaitReason = "memory, slots, or requests ahead"
)

// WaitingRequest describes a waiting request, for operators.
type WaitingRequest struct {
	ID                      ID
	Target, Workspace, Kind string
	Rank, Priority          int
	// Waited is the time since the arrival, and TimeLeft that until the end of the objective; it is
	// negative for late requests and zero without an objective.
	Waited, TimeLeft time.Duration
	// UsedShare is the recent use of the workspace as a multiple of the mean over the workspaces of
	// its level; zero if unknown.
	UsedShare float64
	// MaxBacklog bounds the pending prefill tokens, its own included, of an engine that it may be
	// sent to; infinite if there is no bound.
	MaxBacklog float64
	Reason     WaitReason
}

// WaitingRequests describes up to limit waiting requests of each target, in the order in which they
// are considered.
func (s *Scheduler) WaitingRequests(now time.Time, limit int) []WaitingRequest {
	var out []WaitingRequest
	targets := s.WaitingTargets()
	slices.Sort(targets)
	for _, target := range targets {
		q := s.queues[target]
		for _, it := range q.items[:min(len(q.items), limit)] {
			out = append(out, s.describeWaiting(now, q, it))
		}
	}
	return out
}

func (s *Scheduler) describeWaiting(now time.Time, q *queue, it *item) WaitingRequest {
	r := &it.req
	w := WaitingRequest{ID: r.ID, Target: r.Row.Target, Workspace: r.Workspace, Kind: r.Kind, Rank: r.Rank, Priority: r.Row.Priority,
		Waited: now.Sub(r.ArrivedAt), MaxBacklog: s.precedenceLimits(now, it).prefillTokens(s.availablePrefillRate(now, r.Row.Target))}
	if r.Row.Objective > 0 {
		w.TimeLeft = r.ArrivedAt.Add(r.Row.Objective).Sub(now)
	}
	if sh := q.shares[levelOf(r)]; sh != nil {
		w.UsedShare = sh.relativeUse(now, r.Workspace)
	}
	w.Reason = s.waitReason(now, it, w.MaxBacklog)
	return w
}

func (s *Scheduler) waitReason(now time.Time, it *item, maxBacklog float64) WaitReason {
	if !s.inFlight.Allows(limitKey(&it.req), it.req.Row.MaxInFlight) {
		return WaitsForInFlightLimit
	}
	if f, known := s.forecastLimits(now, it, 0, true); known && f.start > 0 {
		return WaitsForRateLimit
	}
	if it.req.PromptTokens == 0 || s.cfg.PrefillRate <= 0 {
		return WaitsForCapacity
	}
	backlog := s.minBacklog(now, it.req.Row.Target)
	switch {
	case math.IsInf(backlog, 1):
		return WaitsForCapacity
	case !allowsBacklog(backlog, it.req.PromptTokens, maxBacklog):
		return WaitsForPrecedence
	}
	if earliest, known := s.earliestTTFT(now, it); known && !s.startsInTime(now, earliest, it) {
		return WaitsForObjective
	}
	return WaitsForCapacity
}

// relativeUse returns the recent use of a workspace as a multiple of the mean; zero without any use.
func (sh *shares) relativeUse(now time.Time, workspace string) float64 {
	sh.decay(now)
	if sh.total == 0 {
		return 0
	}
	return sh.recent[workspace] * float64(len(sh.recent)) / sh.total
}
