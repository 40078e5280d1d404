package scheduler

import "time"

// Conditions handled here:
//
// Engines process prompts faster than the configured prefill rate. With too low an estimate
// they would seem busy while they are idle, and requests would be refused needlessly. So a
// higher rate is learned from the first tokens of idle engines.
//
// Engines process non-urgent prompts more slowly: the engine is slow, its batch is full, it has
// no free memory yet, or urgent prompts go first. Prompts sent there would start late and delay
// those behind them. So an effective rate is learned from the time that the backlog before this
// entry's own prompts has taken.
//
// Both rates are those of a target. Where Config.EngineSpeed is set, the speed of each engine is
// used in their place; see engine_speed.go.

const (
	// prefillRateSmoothing is the weight of one sample in the learned prefill rate.
	prefillRateSmoothing = 0.1
	// effectiveRateSmoothing is the weight of one sample in the effective prefill rate. An entry
	// of a large fleet gets a sample every 3 s, and a burst lasts 10 s, so few samples must
	// suffice.
	effectiveRateSmoothing = 0.2
	// minEffectiveRateShare is the lower bound of the effective rate as a share of the prefill
	// rate: two or three answers that are delayed by a link or by a terminating engine must not
	// lead to refusing everything.
	minEffectiveRateShare = 0.25
)

// prefillRate returns how many prompt tokens per second an engine of a target processes; zero if
// the prefill backlog isn't estimated.
func (s *Scheduler) prefillRate(target string) float64 {
	if s.cfg.PrefillRate <= 0 {
		return 0
	}
	return max(s.cfg.PrefillRate, s.queue(target).learnedPrefillRate)
}

// recordPromptSent records a prompt that this entry sends. It must be called before the prompt
// is added to the engine's pending prefill tokens.
func (s *Scheduler) recordPromptSent(now time.Time, it *item, e *endpoint) {
	if s.cfg.PrefillRate <= 0 || it.req.PromptTokens == 0 {
		return
	}
	s.countOwnPromptTokens(now, e, it)
	rate := s.currentPrefillRate(now, e)
	backlog := e.remainingPrefill(now, rate)
	if s.cfg.PrefillFromNotices {
		backlog = s.pendingPrefillTokens(now, e)
	}
	it.sentToIdle = nearlyIdle(backlog, rate)
	it.backlogAtSend = backlog
	e.recordPromptSent(now, it.req.PromptTokens, rate)
	it.sentTokensTotal = e.promptTokensSent
}

// learnFromFirstToken updates the rates and the engine's estimated backlog when the first tokens
// of an answer arrive.
func (s *Scheduler) learnFromFirstToken(now time.Time, it *item) {
	ttft := now.Sub(it.sentAt).Seconds()
	if s.cfg.PrefillRate <= 0 || it.req.PromptTokens == 0 || ttft <= 0 {
		return
	}
	s.observeFirstToken(now, it)
	q := s.queue(it.req.Row.Target)
	if it.sentToIdle {
		observed := float64(it.req.PromptTokens) / ttft
		q.learnedPrefillRate += prefillRateSmoothing * (observed - q.learnedPrefillRate)
	}
	if s.observesPrefillRate(it) {
		observed := (it.backlogAtSend + float64(it.req.PromptTokens)) / ttft
		q.observePrefillRate(observed, s.prefillRate(it.req.Row.Target))
		if s.usesEngineSpeed(now, it.req.Row.Target) {
			q.observePrefillEfficiency(observed / s.currentPrefillRate(now, it.endpoint))
		}
	}
	if s.cfg.FIFOPrefill || !it.req.Urgent() {
		// An urgent prompt may have overtaken earlier ones, so its first token doesn't imply
		// that those have been processed.
		it.endpoint.recordPrefilledUpTo(now, it.sentTokensTotal, s.currentPrefillRate(now, it.endpoint))
	}
}

// observesPrefillRate reports whether the first token of an answer is a sample of the effective
// prefill rate. It isn't in other data centres, whose backlogs are inaccurate.
func (s *Scheduler) observesPrefillRate(it *item) bool {
	return s.cfg.LearnEffectivePrefillRate && (s.cfg.FIFOPrefill || !it.req.Urgent()) && it.endpoint.spec.DataCenter == s.cfg.DataCenter
}

// observePrefillRate adds a sample to the effective rate: the tokens per second at which the
// backlog before a prompt and the prompt itself were processed. The prefill rate is the
// initial value and the upper bound.
func (q *queue) observePrefillRate(observed, rate float64) {
	if q.effectivePrefillRate == 0 {
		q.effectivePrefillRate = rate
	}
	q.effectivePrefillRate += effectiveRateSmoothing * (min(observed, rate) - q.effectivePrefillRate)
}

// observePrefillEfficiency adds a sample to the prefill efficiency: the observed rate relative to the
// engine's own. Prompts that wait for memory or for prompts that this entry doesn't know of start
// later than the speed of the engine implies, at all engines of a target alike when it is short of
// memory.
func (q *queue) observePrefillEfficiency(observed float64) {
	if q.prefillEfficiency == 0 {
		q.prefillEfficiency = 1
	}
	q.prefillEfficiency += effectiveRateSmoothing * (min(observed, 1) - q.prefillEfficiency)
}

// prefillEfficiencyOrOne returns the prefill efficiency, at least minEffectiveRateShare; 1 if it is
// unknown.
func (q *queue) prefillEfficiencyOrOne() float64 {
	if q.prefillEfficiency == 0 {
		return 1
	}
	return max(q.prefillEfficiency, minEffectiveRateShare)
}

// capPrefillRate limits the prefill rate that is available to non-urgent prompts to the
// effective rate, which is at least minEffectiveRateShare of rate.
func (q *queue) capPrefillRate(available, rate float64) float64 {
	if q.effectivePrefillRate == 0 {
		return available
	}
	return min(available, max(q.effectivePrefillRate, minEffectiveRateShare*rate))
}
