package scheduler

import (
	"slices"
	"time"
)

// Condition handled here: an engine is slower than others, or its memory is full, so that prompts
// wait longer than the prefill rate implies. Entries notify their peers when they send a prompt and
// again when its answer starts, so that the prefill backlog of an engine is counted instead of
// estimated. With an estimate, an engine that was a quarter slower than the others seemed idle
// while 26,000 tokens were pending, and attracted more and more prompts (100 entries and 43
// engines, of which two fifths were leaving).

const (
	// maxPendingPromptAge is the age at which a prompt expires whose prefill was never reported
	// as finished: its entry has terminated, or the notice was lost. Hardly any prompt waits
	// longer.
	maxPendingPromptAge = 8 * time.Second
	// maxPendingPrompts is the maximum number of peers' prompts kept per engine.
	maxPendingPrompts = 128
)

// pendingPrompts are the prompts of peers that an engine has not processed yet, the oldest first.
type pendingPrompts struct {
	prompts []peerPrompt
	tokens  float64
}

func (pp *pendingPrompts) add(now time.Time, tokens int) {
	pp.expire(now)
	if len(pp.prompts) >= maxPendingPrompts {
		pp.drop(0)
	}
	pp.prompts = append(pp.prompts, peerPrompt{now, float64(tokens)})
	pp.tokens += float64(tokens)
}

// remove deletes the oldest prompt of a length, if there is one.
func (pp *pendingPrompts) remove(now time.Time, tokens int) {
	pp.expire(now)
	i := slices.IndexFunc(pp.prompts, func(p peerPrompt) bool { return p.tokens == float64(tokens) })
	if i >= 0 {
		pp.drop(i)
	}
}

func (pp *pendingPrompts) drop(i int) {
	pp.tokens -= pp.prompts[i].tokens
	pp.prompts = slices.Delete(pp.prompts, i, i+1)
}

func (pp *pendingPrompts) expire(now time.Time) {
	for len(pp.prompts) > 0 && now.Sub(pp.prompts[0].announcedAt) > maxPendingPromptAge {
		pp.drop(0)
	}
}

// total returns the number of tokens of the prompts that have not expired.
func (pp *pendingPrompts) total(now time.Time) float64 {
	pp.expire(now)
	return pp.tokens
}

// replace replaces the prompts by a total that a peer has counted.
func (pp *pendingPrompts) replace(now time.Time, tokens float64) {
	pp.prompts = append(pp.prompts[:0], peerPrompt{now, tokens})
	pp.tokens = tokens
}

// pendingPrefillTokens returns the number of prompt tokens, of all entries, that an engine has yet
// to process.
func (s *Scheduler) pendingPrefillTokens(now time.Time, e *endpoint) float64 {
	if s.cfg.PrefillFromNotices {
		return e.ownPendingPrefill + e.peerPendingPrefill.total(now)
	}
	return max(e.ownPendingPrefill, e.remainingPrefill(now, s.currentPrefillRate(now, e)))
}
