package scheduler

import (
	"slices"
	"time"
)

// The load that this file answers: engines that read slower than others, or whose memory
// is full, so that prompts wait longer than any rate of reading says. Each entry tells the
// others when it sends a prompt and again when the answer begins, so that what an engine
// has still to read is counted, not estimated. By a rate an engine that reads a quarter
// slower than the others seemed idle with 26,000 tokens waiting, and drew ever more (100
// entries before 43 engines of which two fifths were leaving).

const (
	// unreadFor is for how long a prompt counts whose reading nobody has told of: its entry
	// has ended, or the notice was lost. Hardly any prompt waits longer.
	unreadFor = 8 * time.Second
	// maxUnread bounds the prompts of others that are remembered of one engine.
	maxUnread = 128
)

// unreadPrompts are prompts of other entries that an engine has still to read, the oldest
// first.
type unreadPrompts struct {
	prompts []peerPrompt
	tokens  float64
}

func (u *unreadPrompts) add(now time.Time, tokens int) {
	u.expire(now)
	if len(u.prompts) >= maxUnread {
		u.drop(0)
	}
	u.prompts = append(u.prompts, peerPrompt{now, float64(tokens)})
	u.tokens += float64(tokens)
}

// remove forgets the oldest prompt of a length. One that nobody has told of leaves all as
// it was.
func (u *unreadPrompts) remove(now time.Time, tokens int) {
	u.expire(now)
	i := slices.IndexFunc(u.prompts, func(p peerPrompt) bool { return p.tokens == float64(tokens) })
	if i >= 0 {
		u.drop(i)
	}
}

func (u *unreadPrompts) drop(i int) {
	u.tokens -= u.prompts[i].tokens
	u.prompts = slices.Delete(u.prompts, i, i+1)
}

func (u *unreadPrompts) expire(now time.Time) {
	for len(u.prompts) > 0 && now.Sub(u.prompts[0].announcedAt) > unreadFor {
		u.drop(0)
	}
}

// total counts the tokens.
func (u *unreadPrompts) total(now time.Time) float64 {
	u.expire(now)
	return u.tokens
}

// replace takes the word of one that has counted itself.
func (u *unreadPrompts) replace(now time.Time, tokens float64) {
	u.prompts = append(u.prompts[:0], peerPrompt{now, tokens})
	u.tokens = tokens
}

// unreadOf counts the prompt tokens that an engine has still to read.
func (s *Scheduler) unreadOf(now time.Time, e *endpoint) float64 {
	if s.cfg.PrefillFromNotices {
		return e.ownPendingPrefill + e.peerPendingPrefill.total(now)
	}
	return max(e.ownPendingPrefill, e.remainingPrefill(now, s.readRate(e.spec.Targets[0])))
}
