// Package window counts events in a sliding time window, for tests of rates.
package window

import "time"

// Most counts the events in the fullest window of a width, both of its ends included. The times
// are in order.
func Most(times []time.Time, width time.Duration) int {
	most, first := 0, 0
	for last, at := range times {
		for at.Sub(times[first]) > width {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
