package scheduler

import (
	"math"
	"time"
)

// inflowMemory is over what time the prompts that come are counted: long enough for a
// few prompts an engine, short enough to follow a burst of some seconds.
const inflowMemory = time.Second

// mostUrgent bounds the share of an engine's reading that urgent prompts are taken to
// need; above it hardly anything is known of the rest.
const mostUrgent = 0.75

// inflow counts the prompt tokens that come for a target, decaying.
type inflow struct {
	at time.Time
	// seen are the tokens that went to engines of the own data centre, from this entry
	// or another that told of them.
	seen float64
	// own and ownUrgent are those of this entry, wherever they went.
	own       float64
	ownUrgent float64
}

func (f *inflow) decay(now time.Time) {
	if f.at.IsZero() {
		f.at = now
	}
	keep := math.Exp(-float64(now.Sub(f.at)) / float64(inflowMemory))
	f.seen *= keep
	f.own *= keep
	f.ownUrgent *= keep
	f.at = now
}

// urgentRate is how many tokens of urgent prompts an engine gets a second: the others'
// prompts are taken to be urgent as often as the own ones.
func (f *inflow) urgentRate(now time.Time, engines int) float64 {
	f.decay(now)
	if f.own <= 0 || engines == 0 {
		return 0
	}
	perEngine := f.seen / inflowMemory.Seconds() / float64(engines)
	return perEngine * f.ownUrgent / f.own
}

// countPrompt counts a prompt that goes to an engine.
func (s *Scheduler) countPrompt(now time.Time, e *endpoint, tokens int) *inflow {
	f := &s.queue(e.spec.Targets[0]).inflow
	f.decay(now)
	if e.spec.DataCenter == s.cfg.DataCenter {
		f.seen += float64(tokens)
	}
	return f
}

// countOwnPrompt counts a prompt that this entry sends.
func (s *Scheduler) countOwnPrompt(now time.Time, e *endpoint, it *item) {
	f := s.countPrompt(now, e, it.req.PromptTokens)
	f.own += float64(it.req.PromptTokens)
	if it.req.Urgent() {
		f.ownUrgent += float64(it.req.PromptTokens)
	}
}

// spareRate is how many tokens a second an engine of a target reads of prompts that aren't
// urgent, beside the urgent ones that keep coming; of all prompts where they are read in turn.
func (s *Scheduler) spareRate(now time.Time, target string) float64 {
	rate := s.prefillRate(target)
	if s.cfg.ReadInTurn {
		return s.queue(target).capPrefillRate(rate, rate)
	}
	t := s.target(target)
	engines := len(t.homes) + len(t.local)
	urgent := s.queue(target).inflow.urgentRate(now, engines)
	return s.queue(target).capPrefillRate(rate-min(urgent, mostUrgent*rate), rate)
}
