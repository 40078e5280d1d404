package scheduler

import "time"

// rateWindow is the length of one sample of the drain rate.
const rateWindow = 500 * time.Millisecond

// drainRate estimates the cost per second that leaves a queue while requests wait in it, as an
// exponentially weighted average over windows.
//
// For a while after an endpoint has filled up, no request ends, so the first windows
// underestimate the rate. With a warm-up they are summed without decay, and the rate is unknown
// until requests have waited for the length of the warm-up.
type drainRate struct {
	windowStart time.Time
	// drained is the cost that has left the queue since windowStart.
	drained float64
	// costSum and secondsSum are decaying sums over windows.
	costSum       float64
	secondsSum    float64
	warmUpSeconds float64
}

// closeWindow ends the current window if it is due, and reports whether it did. A window in
// which no request waits is discarded.
func (r *drainRate) closeWindow(now time.Time, waiting bool, smoothing float64, warmUp time.Duration) bool {
	r.warmUpSeconds = warmUp.Seconds()
	if r.windowStart.IsZero() || !waiting {
		r.windowStart = now
		r.drained = 0
		return false
	}
	elapsed := now.Sub(r.windowStart)
	if elapsed < rateWindow {
		return false
	}
	decay := 1 - smoothing
	if r.secondsSum == 0 || r.warmUpSeconds > 0 && r.secondsSum < r.warmUpSeconds {
		decay = 1
	}
	r.costSum = r.costSum*decay + r.drained
	r.secondsSum = r.secondsSum*decay + elapsed.Seconds()
	r.windowStart = now
	r.drained = 0
	return true
}

// perSecond returns the rate in cost per second, and false while it is unknown.
func (r *drainRate) perSecond() (float64, bool) {
	if r.costSum <= 0 || r.secondsSum < r.warmUpSeconds {
		return 0, false
	}
	return r.costSum / r.secondsSum, true
}
