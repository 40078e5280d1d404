package scheduler

import (
	"math"
	"slices"
	"time"
)

// Overload handled here: for some seconds, prompts of several levels arrive faster than the engines
// process them. Engines process prompts in order of arrival, so an urgent prompt starts late behind
// the long prompts that were sent before it. In a burst of 2.4 times the usual long prompts, 400 of
// 1,223 urgent answers were late, at engines with 13,200 pending prefill tokens in the median, while
// no request waited at an entry.
//
// Entries don't see each other's queues, and each has only one or two waiting requests. So the order
// of one entry's queue can't enforce precedence, but a limit that each request applies to engines
// can: a request is sent only to an engine where the pending prefill tokens, its own included, leave
// a request of higher precedence enough time to start within its objective. Other requests wait at
// the entry.

// level is the precedence of a request: the rank of its workspace, and then the priority of its row.
type level struct{ rank, priority int }

func levelOf(r *Request) level { return level{r.Rank, r.Row.Priority} }

// precedes reports whether requests of level l take precedence over those of another level. Urgent
// requests precede all others, whatever the rank of their workspace.
func (l level) precedes(other level) bool {
	if l.urgent() != other.urgent() {
		return l.urgent()
	}
	if l.rank != other.rank {
		return l.rank < other.rank
	}
	return l.priority > other.priority
}

func (l level) urgent() bool { return l.priority >= MinUrgentPriority }

const (
	// demandWindow is for how long a kind counts after its last request. It covers the pauses
	// between bursts of a kind, which recur within some ten seconds; a row of the table that
	// nobody uses doesn't restrict others.
	demandWindow = 30 * time.Second
	// maxDemands bounds the kinds of a target whose demand is known. Beyond it the kind that was
	// seen least recently is dropped.
	maxDemands = 32
	// exemptOneIn is the number of requests of which one leaves no room for the levels between its own
	// and the highest. With three levels at three times the capacity, 2% of the lowest level were
	// served without this exemption, less than a quarter of the 35% of all requests.
	exemptOneIn = 3
	// demandSmoothing is the weight of one request in the mean prompt length and objective of
	// its kind.
	demandSmoothing = 0.1
)

// demand is what an entry's own requests of one kind and level have needed recently.
type demand struct {
	level
	kind string
	// objective is the objective of the last request; rows may change.
	objective time.Duration
	// promptTokens is the moving average of the prompt lengths.
	promptTokens float64
	// recentTokens counts the prompt tokens, decaying with the time constant demandWindow.
	recentTokens float64
	seenAt       time.Time
}

// decayedTokens returns recentTokens as of now.
func (d *demand) decayedTokens(now time.Time) float64 {
	return d.recentTokens * math.Exp(-float64(now.Sub(d.seenAt))/float64(demandWindow))
}

// recordDemand adds a submitted request to the demand of its kind.
func (s *Scheduler) recordDemand(now time.Time, q *queue, r *Request) {
	if !s.usesPrecedence() || r.PromptTokens == 0 || r.Row.Objective == 0 {
		return
	}
	i := slices.IndexFunc(q.demands, func(d demand) bool { return d.kind == r.Kind && d.level == levelOf(r) })
	if i < 0 {
		i = q.addDemand(demand{level: levelOf(r), kind: r.Kind, promptTokens: float64(r.PromptTokens), seenAt: now})
	}
	d := &q.demands[i]
	d.objective = r.Row.Objective
	d.promptTokens += demandSmoothing * (float64(r.PromptTokens) - d.promptTokens)
	d.recentTokens = d.decayedTokens(now) + float64(r.PromptTokens)
	d.seenAt = now
	q.someYield = q.hasYieldingKind(now)
}

// minYieldRatio is the ratio of the objectives of two kinds from which the one of lower precedence has
// time to wait for the other. With 1.8 and 1.5 s, long answers that waited were refused or late, and
// no more urgent ones were served than the long ones that were lost.
const minYieldRatio = 2

// hasYieldingKind reports whether some recent kind has the time to wait for one of higher precedence.
func (q *queue) hasYieldingKind(now time.Time) bool {
	for i := range q.demands {
		low := &q.demands[i]
		for j := range q.demands {
			high := &q.demands[j]
			recent := now.Sub(low.seenAt) <= demandWindow && now.Sub(high.seenAt) <= demandWindow
			if recent && high.precedes(low.level) && low.objective >= minYieldRatio*high.objective {
				return true
			}
		}
	}
	return false
}

// appliesPrecedence reports whether the mechanisms of v17 and v18 apply to a queue.
func (s *Scheduler) appliesPrecedence(q *queue) bool {
	return !s.cfg.PrecedenceWhereKindsYield || q.someYield
}

func (s *Scheduler) reservesByDemand(target string) bool {
	return s.cfg.ReserveByDemand && s.appliesPrecedence(s.queue(target))
}

func (s *Scheduler) ordersByPrecedence(q *queue) bool {
	return s.cfg.OrderByPrecedence && s.appliesPrecedence(q)
}

func (s *Scheduler) refusesByForecast(q *queue) bool {
	return s.cfg.RefuseByForecast && s.appliesPrecedence(q)
}

// addDemand adds a kind and returns its index. It replaces the kind that was seen least recently if
// there are maxDemands.
func (q *queue) addDemand(d demand) int {
	if len(q.demands) < maxDemands {
		q.demands = append(q.demands, d)
		return len(q.demands) - 1
	}
	oldest := 0
	for i := range q.demands {
		if q.demands[i].seenAt.Before(q.demands[oldest].seenAt) {
			oldest = i
		}
	}
	q.demands[oldest] = d
	return oldest
}

// usesPrecedence reports whether the demand of kinds is recorded. Config.PrecedenceWhereKindsYield needs
// it for all mechanisms of v17 and v18, also if some of them are disabled.
func (s *Scheduler) usesPrecedence() bool {
	return s.cfg.LimitByPrecedence || s.cfg.ReserveByDemand || s.cfg.PrecedenceWhereKindsYield
}

// precedenceLimits are the limits that a request observes for the benefit of recent requests of
// higher precedence.
type precedenceLimits struct {
	// prefill bounds the pending prefill tokens of an engine, for each kind of higher precedence.
	// It is valid until the limits of another request are computed.
	prefill []prefillBound
	// memoryReserve is the fraction of an engine's memory that the request leaves free.
	memoryReserve float64
}

// prefillBound leaves a request of higher precedence the time to start within its objective.
type prefillBound struct {
	// seconds is the time from the dispatch of that request to its first token at most.
	seconds float64
	// tokens are those of its own prompt and of the levels between, which an engine processes too.
	tokens float64
}

// prefillTokens returns the bound of the pending prefill tokens, the request's own included, of an
// engine that processes rate tokens per second; infinite if there is no bound.
func (l precedenceLimits) prefillTokens(rate float64) float64 {
	tokens := math.Inf(1)
	for _, b := range l.prefill {
		tokens = min(tokens, b.seconds*rate-b.tokens)
	}
	return tokens
}

// allowsBacklog reports whether a prompt may be added to a backlog with a bound. One prompt may
// always be queued at an engine without pending prefill tokens, since an idle engine is worse than
// a short queue.
func allowsBacklog(backlog float64, promptTokens int, bound float64) bool {
	return backlog < 1 || backlog+float64(promptTokens) <= bound
}

// precedenceLimits returns the limits of a request at present. Urgent requests leave no memory free.
// Without recent requests of higher precedence, only Config.UrgentReserve applies.
func (s *Scheduler) precedenceLimits(now time.Time, it *item) precedenceLimits {
	limits := precedenceLimits{prefill: s.prefillBounds[:0]}
	if !it.req.Urgent() {
		limits.memoryReserve = s.cfg.UrgentReserve
	}
	q := s.queue(it.req.Row.Target)
	if len(q.demands) == 0 || it.req.PromptTokens == 0 || !s.cfg.FIFOPrefill {
		return limits
	}
	own := levelOf(&it.req)
	aged := agedTime(now, it)
	for i := range q.demands {
		d := &q.demands[i]
		if !d.precedes(own) || now.Sub(d.seenAt) > demandWindow || !s.cfg.LimitByPrecedence || !s.appliesPrecedence(q) {
			continue
		}
		// The remaining time for the backlog that a request of the kind finds: its objective less
		// one prompt that a peer sends at the same time, and less its own prefill. A prompt of each
		// level between must find room before, too.
		b := prefillBound{seconds: (d.objective - startMargin + aged).Seconds(), tokens: d.promptTokens}
		if it.req.ID%exemptOneIn != 0 {
			b.tokens += q.promptsBetween(now, own, d.level)
		}
		limits.prefill = append(limits.prefill, b)
	}
	s.prefillBounds = limits.prefill
	if s.reservesByDemand(it.req.Row.Target) && !it.req.Urgent() {
		limits.memoryReserve = s.memoryReserve(now, q, it, aged)
	}
	return limits
}

// promptsBetween sums the prompt tokens of one request of each recent level between two levels.
func (q *queue) promptsBetween(now time.Time, low, high level) float64 {
	sum := 0.0
	for i := range q.demands {
		d := &q.demands[i]
		if !d.precedes(low) || !high.precedes(d.level) || now.Sub(d.seenAt) > demandWindow {
			continue
		}
		// Only the first kind of a level counts.
		if slices.IndexFunc(q.demands, func(other demand) bool { return other.level == d.level }) == i {
			sum += d.promptTokens
		}
	}
	return sum
}

// agedTime returns by how much the limits of a request are loosened: the time that it has waited
// beyond half of its objective. Half of the objective is left for the time to the first token, and
// a request that has aged for the whole of the other half has as much allowance as one of the
// higher level has objective. Rows without an objective age from half of their longest wait.
func agedTime(now time.Time, it *item) time.Duration {
	objective := it.req.Row.Objective
	if objective == 0 {
		objective = it.req.Row.MaxQueueTime
	}
	return max(now.Sub(it.req.ArrivedAt)-objective/2, 0)
}

// mayDispatch reports whether an engine has room for a prompt beside requests of higher precedence.
func (s *Scheduler) mayDispatch(now time.Time, limits precedenceLimits, backlog float64, e *endpoint, it *item) bool {
	if it.req.PromptTokens == 0 || len(limits.prefill) == 0 {
		return true
	}
	rate := s.prefillRateAt(now, e, it.req.Row.Target)
	return allowsBacklog(backlog, it.req.PromptTokens, limits.prefillTokens(rate))
}
