package scheduler

import "time"

// The load that this file answers: engines that read faster than ReadRate. Taken to be
// slower than they are, they would seem busy while they are idle, and requests would be
// refused for nothing. So what is read beyond ReadRate is learnt.
//
// And engines that read slower, for prompts that aren't urgent: because the engine is slow,
// its batch is full, its memory has no room yet, or urgent prompts overtake. Prompts sent there
// would begin late, and keep those behind them waiting. So it is learnt how fast the own
// prompts have got through what was before them.

const (
	// readRateSmoothing is the weight of one answer in the learnt rate.
	readRateSmoothing = 0.1
	// paceSmoothing is the weight of one answer in the learnt pace. An entry of a large
	// fleet gets an answer every three seconds, and a burst lasts ten.
	paceSmoothing = 0.2
	// leastPace bounds the learnt pace, as a share of the rate: two or three answers that
	// were held up, by a link or an engine that ends, must not have all refused.
	leastPace = 0.25
)

// readRate is how many prompt tokens an engine of a target reads a second.
func (s *Scheduler) readRate(target string) float64 {
	if s.cfg.PrefillRate <= 0 {
		return 0
	}
	return max(s.cfg.PrefillRate, s.queue(target).learntRate)
}

// noteSend records a prompt that this entry sends, before it counts as unread.
func (s *Scheduler) noteSend(now time.Time, it *item, e *endpoint) {
	if s.cfg.PrefillRate <= 0 || it.req.PromptTokens == 0 {
		return
	}
	s.countOwnPromptTokens(now, e, it)
	rate := s.readRate(it.req.Row.Target)
	before := e.remainingPrefill(now, rate)
	if s.cfg.PrefillFromNotices {
		before = s.unreadOf(now, e)
	}
	it.sentIdle = s.idle(it.req.Row.Target, before)
	it.sentBehind = before
	e.recordPromptSent(now, it.req.PromptTokens, rate)
	it.sentMark = e.promptTokensSent
}

// noteStart learns from an answer that has begun.
func (s *Scheduler) noteStart(now time.Time, it *item) {
	took := now.Sub(it.sentAt).Seconds()
	if s.cfg.PrefillRate <= 0 || it.req.PromptTokens == 0 || took <= 0 {
		return
	}
	q := s.queue(it.req.Row.Target)
	if it.sentIdle {
		seen := float64(it.req.PromptTokens) / took
		q.learntRate += readRateSmoothing * (seen - q.learntRate)
	}
	if s.learnsPace(it) {
		q.notePace((it.sentBehind+float64(it.req.PromptTokens))/took, s.readRate(it.req.Row.Target))
	}
	if s.cfg.FIFOPrefill || !it.req.Urgent() {
		// Urgent prompts may have been read before others that came earlier.
		it.endpoint.recordPrefilledUpTo(now, it.sentMark, s.readRate(it.req.Row.Target))
	}
}

// learnsPace reports whether the start of an answer tells the pace. What was before a
// prompt is known well in the own data centre only.
func (s *Scheduler) learnsPace(it *item) bool {
	return s.cfg.LearnEffectivePrefillRate && (s.cfg.FIFOPrefill || !it.req.Urgent()) && it.endpoint.spec.DataCenter == s.cfg.DataCenter
}

// notePace learns from a prompt that got through so many tokens a second, its own included.
func (q *queue) notePace(seen, rate float64) {
	if q.pace == 0 {
		q.pace = rate
	}
	q.pace += paceSmoothing * (min(seen, rate) - q.pace)
}

// paced bounds the rate that prompts which aren't urgent are expected to be read at by the
// learnt pace.
func (q *queue) paced(spare, rate float64) float64 {
	if q.pace == 0 {
		return spare
	}
	return min(spare, max(q.pace, leastPace*rate))
}
