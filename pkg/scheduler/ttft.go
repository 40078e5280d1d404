package scheduler

import (
	"math"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// Overload handled here: for some seconds, prompts arrive faster than the engines process them.
// An engine processes one prompt after the other, so each prompt that is sent delays all that
// follow, and soon every answer starts after its objective: the engines are as busy as before,
// with answers of little value. So a prompt is sent only to an engine whose expected time to
// first token (TTFT) meets the objective. If there is none, it is refused at once, with the time
// after which there will be one.
//
// Engines that process urgent prompts first need no such limit for urgent requests. Where engines
// process prompts in order of arrival (see Config), urgent requests prefer engines that meet the
// objective too, and else go to the one with the smallest prefill backlog; they are never
// refused, since a late answer is better than none. The engine with the most free memory may have
// the largest backlog, and urgent prompts there, and long ones behind them, would start late.

// startMargin allows for one prompt that a peer sends to the same engine at the same time: 2,200
// to 3,000 tokens, prefilled at DefaultPrefillRate.
const startMargin = 350 * time.Millisecond

// nearlyIdle reports whether a prefill backlog takes at most startMargin at a prefill rate in tokens
// per second.
func nearlyIdle(backlog, rate float64) bool { return backlog <= rate*startMargin.Seconds() }

// expectedTTFT returns the expected time from the dispatch of a request to its first token at an
// engine with a prefill backlog. The engine processes the backlog, and the urgent prompts that
// arrive meanwhile, before the request's prompt.
func (s *Scheduler) expectedTTFT(now time.Time, e *endpoint, backlog float64, it *item) time.Duration {
	return s.ttftAtRate(backlog, it, s.prefillRateAt(now, e, it.req.Row.Target))
}

// prefillRateAt returns how many prompt tokens per second an engine is expected to process: its own
// rate and the target's prefill efficiency, or the rate of the target if the speed of engines isn't
// learned.
func (s *Scheduler) prefillRateAt(now time.Time, e *endpoint, target string) float64 {
	if !s.usesEngineSpeed(now, target) {
		return s.availablePrefillRate(now, target)
	}
	return s.currentPrefillRate(now, e) * s.queue(target).prefillEfficiencyOrOne()
}

// ttftAtRate returns the expected time to first token at a prefill rate in tokens per second.
func (s *Scheduler) ttftAtRate(backlog float64, it *item, rate float64) time.Duration {
	return time.Duration((backlog + float64(it.req.PromptTokens)) / rate * float64(time.Second))
}

// mustStartInTime reports whether a request is sent only to engines that meet its limit on TTFT.
func (s *Scheduler) mustStartInTime(it *item) bool {
	return s.cfg.EnforceStartObjective && s.cfg.PrefillRate > 0 && it.req.PromptTokens > 0 && it.req.Row.Objective > 0 && (s.cfg.FIFOPrefill || !it.req.Urgent())
}

// ttftLimit returns the time from arrival within which an answer must start: its objective, or
// the TTFT of an idle engine if that is longer, the fastest one of the target where their speeds are
// known. Refusing a request that starts late even at an idle engine wouldn't help others.
func (s *Scheduler) ttftLimit(now time.Time, it *item) time.Duration {
	return max(it.req.Row.Objective, s.idleTTFT(now, it)+2*startMargin)
}

// idleTTFT returns the expected time to first token at an idle engine.
func (s *Scheduler) idleTTFT(now time.Time, it *item) time.Duration {
	if !s.usesEngineSpeed(now, it.req.Row.Target) {
		return s.ttftAtRate(0, it, s.availablePrefillRate(now, it.req.Row.Target))
	}
	perToken := s.earliestStarts(now, it.req.Row.Target).idlePerToken
	if math.IsInf(perToken, 1) {
		// No engine takes requests.
		perToken = 1 / s.cfg.PrefillRate
	}
	return startLine{perToken: perToken}.at(it.req.PromptTokens)
}

// startsInTime reports whether an answer that starts the given time after its dispatch starts within
// its ttftLimit. It is always true for requests without such a limit; see mustStartInTime.
func (s *Scheduler) startsInTime(now time.Time, expectedTTFT time.Duration, it *item) bool {
	if !s.mustStartInTime(it) {
		return true
	}
	return now.Sub(it.req.ArrivedAt)+expectedTTFT+startMargin <= s.ttftLimit(now, it)
}

// saturationWindow is for how long engines count as saturated after a request was refused or
// had to wait.
const saturationWindow = 2 * time.Second

// Saturated reports whether, within saturationWindow, requests have waited or been refused because
// engines were full.
func (s *Scheduler) Saturated(now time.Time) bool {
	return !s.saturatedAt.IsZero() && now.Sub(s.saturatedAt) < saturationWindow
}

// minBacklogRefresh is the interval at which the minimum backlog of a target is recomputed. It is
// short enough to follow a burst, and long enough that a decision with 1,200 endpoints takes
// 29 µs instead of 122 µs (BenchmarkEngineDecision).
const minBacklogRefresh = 20 * time.Millisecond

// minBacklog returns the smallest prefill backlog, in tokens, among the endpoints of a target that
// may be sent requests, at most minBacklogRefresh old; infinite if there is none.
func (s *Scheduler) minBacklog(now time.Time, target string) float64 {
	q := s.queue(target)
	if !q.minBacklogAt.IsZero() && now.Sub(q.minBacklogAt) < minBacklogRefresh {
		return q.minBacklog
	}
	q.minBacklogAt = now
	q.minBacklog = math.Inf(1)
	for e := range s.notLeaving(target) {
		if s.breakersAllow(now, e) && s.backpressure.Accepts(now, e.spec) && !s.remoteLoadUnknown(now, e) {
			q.minBacklog = min(q.minBacklog, s.prefillBacklog(now, e))
		}
	}
	return q.minBacklog
}

// earliestTTFT returns the smallest expected time to first token over the engines of the request's
// target that may be sent requests, and false if there is none.
func (s *Scheduler) earliestTTFT(now time.Time, it *item) (time.Duration, bool) {
	if s.usesEngineSpeed(now, it.req.Row.Target) {
		return s.earliestStarts(now, it.req.Row.Target).first(it.req.PromptTokens)
	}
	backlog := s.minBacklog(now, it.req.Row.Target)
	if math.IsInf(backlog, 1) {
		return 0, false
	}
	return s.ttftAtRate(backlog, it, s.availablePrefillRate(now, it.req.Row.Target)), true
}

// refuseLateStart returns the error for a request that no engine is expected to start in time, or
// nil. Urgent requests are never refused.
func (s *Scheduler) refuseLateStart(now time.Time, it *item) *outcome.Error {
	if !s.mustStartInTime(it) || it.req.Urgent() {
		return nil
	}
	earliest, known := s.earliestTTFT(now, it)
	if !known || s.startsInTime(now, earliest, it) {
		return nil
	}
	s.saturatedAt = now
	delay := now.Sub(it.req.ArrivedAt) + earliest + startMargin - s.ttftLimit(now, it)
	return s.refusal(outcome.CodeDeadlineUnreachable, delay, "the first engine would begin %v after the objective of %v",
		delay.Round(time.Millisecond), s.ttftLimit(now, it).Round(time.Millisecond))
}
