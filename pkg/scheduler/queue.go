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
	rate drainRate
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

// drain counts cost that left the queue for an endpoint.
func (q *queue) drain(cost float64) { q.rate.drained += cost }

// wait gives the expected wait behind so much cost, and false if it is unknown.
func (q *queue) wait(cost float64) (time.Duration, bool) {
	if cost == 0 {
		return 0, true
	}
	rate, known := q.rate.perSecond()
	if !known {
		return 0, false
	}
	seconds := min(cost/rate, maxWait.Seconds())
	return time.Duration(seconds * float64(time.Second)), true
}

// maxWait caps computed waits.
const maxWait = time.Hour
