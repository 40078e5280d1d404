package scheduler

import "time"

// The load that this file answers: engines that read faster than ReadRate. Taken to be
// slower than they are, they would seem busy while they are idle, and requests would be
// refused for nothing. So what is read beyond ReadRate is learnt. Slower engines need no
// care: they are taken to be idle too early, as if nothing were estimated.

// readRateSmoothing is the weight of one answer in the learnt rate.
const readRateSmoothing = 0.1

// readRate is how many prompt tokens an engine of a target reads a second.
func (s *Scheduler) readRate(target string) float64 {
	if s.cfg.ReadRate <= 0 {
		return 0
	}
	return max(s.cfg.ReadRate, s.queue(target).learntRate)
}

// noteSend records a prompt that this entry sends, before it counts as unread.
func (s *Scheduler) noteSend(now time.Time, it *item, e *endpoint) {
	if s.cfg.ReadRate <= 0 || it.req.PromptTokens == 0 {
		return
	}
	s.countOwnPrompt(now, e, it)
	rate := s.readRate(it.req.Row.Target)
	before := e.promptsLeft(now, rate)
	if s.cfg.ToldReads {
		before = s.unreadOf(now, e)
	}
	it.sentIdle = s.idle(it.req.Row.Target, before)
	e.sent(now, it.req.PromptTokens, rate)
	it.sentMark = e.sentTotal
}

// noteStart learns from an answer that has begun.
func (s *Scheduler) noteStart(now time.Time, it *item) {
	took := now.Sub(it.sentAt).Seconds()
	if s.cfg.ReadRate <= 0 || it.req.PromptTokens == 0 || took <= 0 {
		return
	}
	q := s.queue(it.req.Row.Target)
	if it.sentIdle {
		seen := float64(it.req.PromptTokens) / took
		q.learntRate += readRateSmoothing * (seen - q.learntRate)
	}
	if !it.req.Urgent() {
		// Urgent prompts may have been read before others that came earlier.
		it.endpoint.readUpTo(now, it.sentMark, s.readRate(it.req.Row.Target))
	}
}
