package quarantine

import "time"

// maxCompletionsPerMap bounds each of the two maps of a completionCache. An entry of the smallest
// fleet answers about ten requests a second, so a full map covers at least ClearedPeriod.
const maxCompletionsPerMap = 1024

// completionCache holds the times of the latest completed runs of requests or parts. The zero value is
// empty.
type completionCache[K comparable] struct {
	// current and previous map requests to the time of their last completed run. When current is
	// full, it replaces previous.
	current, previous map[K]time.Time
}

func (c *completionCache[K]) add(id K, now time.Time) {
	if len(c.current) >= maxCompletionsPerMap {
		c.previous, c.current = c.current, nil
	}
	if c.current == nil {
		c.current = make(map[K]time.Time)
	}
	c.current[id] = now
}

// lastCompletion returns the time of the last completed run of a request, if it is in the cache.
func (c *completionCache[K]) lastCompletion(id K) (completedAt time.Time, known bool) {
	if completedAt, known = c.current[id]; known {
		return completedAt, true
	}
	completedAt, known = c.previous[id]
	return completedAt, known
}
