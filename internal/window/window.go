// Package window counts events in a sliding time window, for tests of rates.
package window

import "time"

// MaxCount returns the largest number of events in any time window of the given width, with
// both ends included. The times must be sorted in ascending order.
func MaxCount(times []time.Time, width time.Duration) int {
	maxCount, first := 0, 0
	for last, t := range times {
		for t.Sub(times[first]) > width {
			first++
		}
		maxCount = max(maxCount, last-first+1)
	}
	return maxCount
}
