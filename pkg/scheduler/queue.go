package scheduler

import (
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/lengths"
)

// item is a request that waits or runs.
type item struct {
	req        Request
	projection lengths.Projection
	// cost is the expected number of token steps that it holds memory for.
	cost float64
	// startBy is the latest time at which it may start.
	startBy time.Time

	endpoint   *endpoint
	run        lengths.Run
	generated  int
	lastToken  time.Time
	dispatched time.Time
}

// density is the worth of the request per cost.
func (it *item) density() float64 { return float64(it.req.Row.Weight) / max(it.cost, 1) }

// before orders waiting requests: urgent ones first, then by startBy.
func (it *item) before(other *item) bool {
	if it.req.Urgent() != other.req.Urgent() {
		return it.req.Urgent()
	}
	if !it.startBy.Equal(other.startBy) {
		return it.startBy.Before(other.startBy)
	}
	return it.req.ID < other.req.ID
}

// queue holds the waiting requests of one target in order.
type queue struct {
	items []*item
	// cost sums the costs of items.
	cost float64
	// rate is the measured cost dispatched per second while requests waited;
	// zero while it is unknown.
	rate      float64
	rateSince time.Time
	drained   float64
}

func (q *queue) insert(it *item) {
	i, _ := slices.BinarySearchFunc(q.items, it, func(a, b *item) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	q.items = slices.Insert(q.items, i, it)
	q.cost += it.cost
}

func (q *queue) remove(id ID) *item {
	for i, it := range q.items {
		if it.req.ID == id {
			q.removeAt(i)
			return it
		}
	}
	return nil
}

func (q *queue) removeAt(i int) {
	q.cost -= q.items[i].cost
	q.items = slices.Delete(q.items, i, i+1)
	if len(q.items) == 0 {
		q.cost = 0
	}
}

// ahead sums the costs of what would go before a request.
func (q *queue) ahead(it *item) float64 {
	sum := 0.0
	for _, other := range q.items {
		if !other.before(it) {
			break
		}
		sum += other.cost
	}
	return sum
}

// rateWindow is the window over which the drain rate is measured.
const rateWindow = 500 * time.Millisecond

// drain counts cost that left the queue for an endpoint.
func (q *queue) drain(cost float64) { q.drained += cost }

// measure updates the rate at the end of each window in which requests waited,
// and reports whether one has ended.
func (q *queue) measure(now time.Time, smoothing float64) bool {
	if q.rateSince.IsZero() || len(q.items) == 0 {
		q.rateSince = now
		q.drained = 0
		return false
	}
	passed := now.Sub(q.rateSince)
	if passed < rateWindow {
		return false
	}
	rate := q.drained / passed.Seconds()
	if q.rate == 0 {
		q.rate = rate
	} else {
		q.rate += smoothing * (rate - q.rate)
	}
	q.rateSince = now
	q.drained = 0
	return true
}

// wait gives the expected wait behind so much cost, and false if it is unknown.
func (q *queue) wait(cost float64) (time.Duration, bool) {
	if cost == 0 {
		return 0, true
	}
	if q.rate <= 0 {
		return 0, false
	}
	seconds := min(cost/q.rate, maxWait.Seconds())
	return time.Duration(seconds * float64(time.Second)), true
}

// maxWait caps computed waits.
const maxWait = time.Hour
