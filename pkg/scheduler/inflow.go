package scheduler

import (
	"math"
	"time"
)

// inflowTimeConstant is the time constant of the exponential decay of prompt counts: long
// enough to cover a few prompts per engine, short enough to follow a burst of some seconds.
const inflowTimeConstant = time.Second

// maxUrgentShare bounds the fraction of an engine's prefill rate that urgent prompts are
// assumed to use; above it the estimate of the remaining rate is unreliable.
const maxUrgentShare = 0.75

// inflow holds exponentially decaying counts of the prompt tokens for a target.
type inflow struct {
	updatedAt time.Time
	// localTokens went to engines of the entry's own data centre, from this entry or
	// announced by a peer.
	localTokens float64
	// ownTokens and ownUrgentTokens are those of this entry, to any data centre.
	ownTokens       float64
	ownUrgentTokens float64
}

// decay reduces the counts by the time since the last update.
func (f *inflow) decay(now time.Time) {
	if f.updatedAt.IsZero() {
		f.updatedAt = now
	}
	decayFactor := math.Exp(-float64(now.Sub(f.updatedAt)) / float64(inflowTimeConstant))
	f.localTokens *= decayFactor
	f.ownTokens *= decayFactor
	f.ownUrgentTokens *= decayFactor
	f.updatedAt = now
}

// urgentTokenRate returns how many tokens of urgent prompts an engine gets per second. The
// urgent fraction of the peers' prompts is assumed to be that of this entry's.
func (f *inflow) urgentTokenRate(now time.Time, engines int) float64 {
	f.decay(now)
	if f.ownTokens <= 0 || engines == 0 {
		return 0
	}
	perEngine := f.localTokens / inflowTimeConstant.Seconds() / float64(engines)
	return perEngine * f.ownUrgentTokens / f.ownTokens
}

// countPromptTokens counts a prompt sent to an engine by any entry, and returns the counts of
// the engine's target.
func (s *Scheduler) countPromptTokens(now time.Time, e *endpoint, tokens int) *inflow {
	f := &s.queue(e.spec.Targets[0]).inflow
	f.decay(now)
	if e.spec.DataCenter == s.cfg.DataCenter {
		f.localTokens += float64(tokens)
	}
	return f
}

// countOwnPromptTokens counts a prompt sent by this entry.
func (s *Scheduler) countOwnPromptTokens(now time.Time, e *endpoint, it *item) {
	f := s.countPromptTokens(now, e, it.req.PromptTokens)
	f.ownTokens += float64(it.req.PromptTokens)
	if it.req.Urgent() {
		f.ownUrgentTokens += float64(it.req.PromptTokens)
	}
}

// availablePrefillRate returns how many tokens per second of prompts that aren't urgent an
// engine of a target prefills beside the urgent prompts that keep coming. Where engines
// prefill in order of arrival, it is the rate for all prompts.
func (s *Scheduler) availablePrefillRate(now time.Time, target string) float64 {
	rate := s.prefillRate(target)
	if s.cfg.FIFOPrefill {
		return s.queue(target).capPrefillRate(rate, rate)
	}
	t := s.target(target)
	engines := len(t.homes) + len(t.local)
	urgentRate := s.queue(target).inflow.urgentTokenRate(now, engines)
	return s.queue(target).capPrefillRate(rate-min(urgentRate, maxUrgentShare*rate), rate)
}
