package scheduler

import "time"

// Overload handled here: many entries have a waiting prompt when an engine is listed or becomes free.
// All of them see it at the same moment, before the notices of the first ones arrive, and each sends
// its prompt: of 95 long answers that began late in a burst, most were at engines that had just been
// listed, where 4,000 prompt tokens took up to 8 s. So waiting prompts are compared with engines
// again after a random delay, and a notice, which takes some milliseconds, arrives between two
// entries' tries. A request that arrives is tried at once: arrivals are spread already.

const (
	// retrySpreadPerEntry is the time by which the delay's upper bound rises with each entry, so that
	// the entries of one of four data centres try some 6 ms apart on average.
	retrySpreadPerEntry = 3 * time.Millisecond
	// maxRetrySpread bounds the delay: a tenth of an objective of 2 s.
	maxRetrySpread = 200 * time.Millisecond
)

// deferTry sets when a waiting prompt that no engine has room for is tried again.
func (s *Scheduler) deferTry(now time.Time, it *item) {
	spread := min(time.Duration(s.entryCount)*retrySpreadPerEntry, maxRetrySpread)
	if !s.cfg.SpreadRetries || !s.appliesPrecedence(s.queue(it.req.Row.Target)) || it.req.PromptTokens == 0 || spread <= 0 {
		return
	}
	it.nextTryAt = now.Add(time.Duration(s.cfg.Rand.Int64N(int64(spread))))
}

// tryDeferred reports whether a waiting prompt isn't to be tried yet.
func (it *item) tryDeferred(now time.Time) bool { return now.Before(it.nextTryAt) }
