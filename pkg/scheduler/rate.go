package scheduler

import "time"

// rateWindow is the window over which the drain rate is measured.
const rateWindow = 500 * time.Millisecond

// drainRate measures the cost that leaves a queue while requests wait in it.
//
// Right after an endpoint has filled up nothing ends for a while, so the first
// windows say little; with a warm-up they are summed, and the rate is unknown
// until requests have waited for that long.
type drainRate struct {
	since   time.Time
	drained float64
	// cost and seconds are decaying sums over windows.
	cost    float64
	seconds float64
	warmUp  float64
}

// measure ends a window if it is due, and reports whether one has ended. Windows
// without waiting requests don't count.
func (r *drainRate) measure(now time.Time, waiting bool, smoothing float64, warmUp time.Duration) bool {
	r.warmUp = warmUp.Seconds()
	if r.since.IsZero() || !waiting {
		r.since = now
		r.drained = 0
		return false
	}
	passed := now.Sub(r.since)
	if passed < rateWindow {
		return false
	}
	keep := 1 - smoothing
	if r.seconds == 0 || r.warmUp > 0 && r.seconds < r.warmUp {
		keep = 1
	}
	r.cost = r.cost*keep + r.drained
	r.seconds = r.seconds*keep + passed.Seconds()
	r.since = now
	r.drained = 0
	return true
}

// perSecond gives the rate, and false while it is unknown.
func (r *drainRate) perSecond() (float64, bool) {
	if r.cost <= 0 || r.seconds < r.warmUp {
		return 0, false
	}
	return r.cost / r.seconds, true
}
