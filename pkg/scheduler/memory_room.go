package scheduler

import (
	"cmp"
	"time"
)

// Overload handled here: the engines' KV cache memory is full. An urgent request that is sent to a
// full engine waits in the engine's queue behind others until runs end, although another engine may
// have free memory a moment later. Late urgent answers met engines with 23,500 of 26,900 memory
// tokens in use and 3 waiting requests in the median, those in time 17,600 and none.
//
// So requests of lower precedence leave memory free for those of higher precedence, and an urgent
// request that fits nowhere waits at the entry while an engine is expected to start it in time. It is
// never refused because it is late.

const (
	// maxMemoryReserve bounds the fraction of an engine's memory that requests leave free for those
	// of higher precedence, so that a wrong estimate of the demand can't withhold most of it.
	maxMemoryReserve = 0.4
	// residenceSmoothing is the weight of one run in the mean size and residence time of runs.
	residenceSmoothing = 0.05
)

// residence estimates how long runs hold memory at a target's engines.
type residence struct {
	// tokens is the moving average of the memory of a run at its end, in tokens, and
	// tokenSeconds that of the memory multiplied by the run time.
	tokens, tokenSeconds float64
}

// learnResidence adds a finished run to the residence of its target.
func (s *Scheduler) learnResidence(now time.Time, it *item, generated int) {
	if !s.cfg.ReserveByDemand || it.req.PromptTokens == 0 {
		return
	}
	tokens := float64(it.req.PromptTokens + generated)
	tokenSeconds := tokens * max(now.Sub(it.sentAt), 0).Seconds()
	r := &s.queue(it.req.Row.Target).residence
	if r.tokens == 0 {
		*r = residence{tokens, tokenSeconds}
		return
	}
	r.tokens += residenceSmoothing * (tokens - r.tokens)
	r.tokenSeconds += residenceSmoothing * (tokenSeconds - r.tokenSeconds)
}

// seconds returns the mean time for which a token is held, weighted by memory; zero if unknown.
func (r residence) seconds() float64 {
	if r.tokens <= 0 {
		return 0
	}
	return r.tokenSeconds / r.tokens
}

// memoryReserve returns the fraction of an engine's memory that a request leaves free: by Little's
// law, the memory that requests of higher precedence need at one engine, which is their token rate
// multiplied by their residence time; at least Config.UrgentReserve. The residence time counts up to
// the objective of the kind, since what arrives later than that finds memory that has been freed
// meanwhile. The part beyond Config.UrgentReserve shrinks to nothing while the request ages by half
// of its objective.
func (s *Scheduler) memoryReserve(now time.Time, q *queue, it *item, aged time.Duration) float64 {
	own := levelOf(&it.req)
	t := s.target(it.req.Row.Target)
	engines := len(t.homes) + len(t.local)
	capacity := s.engineCapacity(it.req.Row.Target)
	if engines == 0 || capacity == 0 {
		return s.cfg.UrgentReserve
	}
	total, needed := 0.0, 0.0
	for i := range q.demands {
		d := &q.demands[i]
		if now.Sub(d.seenAt) > demandWindow {
			continue
		}
		recent := d.decayedTokens(now)
		total += recent
		if d.precedes(own) {
			held := min(cmp.Or(s.meanRunTimes[d.kind], d.objective), d.objective)
			needed += recent * held.Seconds()
		}
	}
	if total == 0 || needed == 0 {
		return s.cfg.UrgentReserve
	}
	q.inflow.decay(now)
	tokenRate := q.inflow.localTokens / inflowTimeConstant.Seconds() / float64(engines)
	reserve := min(tokenRate*needed/total/capacity, maxMemoryReserve)
	if objective := it.req.Row.Objective; objective > 0 {
		reserve *= max(1-aged.Seconds()/(objective/2).Seconds(), 0)
	}
	return max(reserve, s.cfg.UrgentReserve)
}

// queuedPeerTokens returns the prompt tokens of peers that wait in the engine's queue and that
// neither the report's memory use nor the prompts announced since include. Without requests that
// the report shows as waiting it is zero.
func (s *Scheduler) queuedPeerTokens(now time.Time, e *endpoint) float64 {
	if !s.reservesByDemand(e.spec.Targets[0]) || e.report.Waiting == 0 || now.Sub(e.report.ReportedAt) > unattributedLoadTTL {
		return 0
	}
	unreported := 0.0
	for _, p := range e.unreportedPrompts {
		unreported += p.tokens
	}
	pending := max(e.peerPendingPrefill.total(now)-unreported, 0)
	return min(pending, float64(e.report.Waiting*assumedQueuedPromptTokens))
}

// memoryWait returns the expected time until an engine has memory for a prompt. What is missing is
// freed at the rate at which the engine's memory turns over: the memory in use per residence time.
// The ends of the peers' runs since the last report was made are not known, so that what has been
// freed meanwhile is subtracted. The result is zero while the residence time is unknown.
func (s *Scheduler) memoryWait(now time.Time, e *endpoint, it *item) time.Duration {
	capacity := float64(e.spec.CapacityTokens)
	held := s.queue(it.req.Row.Target).residence.seconds()
	if capacity == 0 || held == 0 {
		return 0
	}
	used := e.ownProjection.Mean[0] + e.peerLoad[0] + s.queuedPeerTokens(now, e)
	missing := used + float64(it.req.PromptTokens) - capacity
	if missing <= 0 || used <= 0 {
		return 0
	}
	wait := missing*held/min(used, capacity) - now.Sub(e.report.ReportedAt.Add(-reportLag)).Seconds()
	return time.Duration(min(max(wait, 0), maxExpectedWait.Seconds()) * float64(time.Second))
}

// expectedStart returns the expected time from the dispatch of a request to its first token at an
// engine with a prefill backlog, memory included.
func (s *Scheduler) expectedStart(now time.Time, e *endpoint, backlog float64, it *item) time.Duration {
	start := s.expectedTTFT(now, e, backlog, it)
	if !s.reservesByDemand(it.req.Row.Target) {
		return start
	}
	if wait := s.memoryWait(now, e, it); wait > 0 {
		start = max(start, wait+s.expectedTTFT(now, e, 0, it))
	}
	return start
}

// soonestStart is the result of a scan of a target's engines.
type soonestStart struct {
	at           time.Time
	promptTokens int
	// wait is the smallest expected start; maxExpectedWait if there is no engine.
	wait time.Duration
}

// soonestStart returns the smallest expected start of a request among the engines of its target that
// may be sent requests, at most minBacklogRefresh old.
func (s *Scheduler) soonestStart(now time.Time, it *item) time.Duration {
	q := s.queue(it.req.Row.Target)
	c := &q.soonestStart
	if !c.at.IsZero() && now.Sub(c.at) < minBacklogRefresh && c.promptTokens == it.req.PromptTokens {
		return c.wait
	}
	*c = soonestStart{at: now, promptTokens: it.req.PromptTokens, wait: maxExpectedWait}
	for e := range s.notLeaving(it.req.Row.Target) {
		if it.req.allowsEndpoint(e) && s.accepts(now, e) && !s.remoteLoadUnknown(now, e) && e.slotUtilization() <= 1 {
			c.wait = min(c.wait, s.expectedStart(now, e, s.prefillBacklog(now, e), it))
		}
	}
	return c.wait
}

// worthWaiting reports whether an urgent request that fits at none of the candidates waits at the
// entry instead of going to the best of them: while that one is expected to start it after its
// objective, and some other engine of the target within it. The next decision compares other
// candidates. The wait is bounded, since the time that is left shrinks to less than the expected
// start at any engine.
func (s *Scheduler) worthWaiting(now time.Time, it *item, best *endpoint) bool {
	if !s.reservesByDemand(it.req.Row.Target) || !s.cfg.FIFOPrefill || !s.mustStartInTime(it) {
		return false
	}
	left := it.req.Row.Objective - startMargin - now.Sub(it.req.ArrivedAt)
	if s.expectedStart(now, best, s.prefillBacklog(now, best), it) <= left {
		return false
	}
	return s.soonestStart(now, it) <= left
}
