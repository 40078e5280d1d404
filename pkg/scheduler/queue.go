package scheduler

import (
	"math"
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
	// orderBy places it in the queue; it is never after startBy.
	orderBy time.Time

	endpoint  *endpoint
	run       lengths.Tracker
	generated int
	lastToken time.Time
	// unread says that the endpoint has still to read the prompt.
	unread bool
	// sentAt is when it was sent, and sentMark the prompt tokens that its engine had been
	// sent by then.
	sentAt   time.Time
	sentMark float64
	// sentIdle says that the engine had hardly anything to read then.
	sentIdle bool
	// sentBehind are the prompt tokens that the engine had to read before it.
	sentBehind float64
}

// begun records that the prompt has been read, or never will be.
func (it *item) begun() {
	if it.unread {
		it.unread = false
		it.endpoint.ownPendingPrefill -= float64(it.req.PromptTokens)
	}
}

// density is the worth of the request per cost.
func (it *item) density() float64 { return float64(it.req.Row.Weight) / max(it.cost, 1) }

// before orders waiting requests: urgent ones first, then by orderBy.
func (it *item) before(other *item) bool {
	if it.req.Urgent() != other.req.Urgent() {
		return it.req.Urgent()
	}
	if !it.orderBy.Equal(other.orderBy) {
		return it.orderBy.Before(other.orderBy)
	}
	return it.req.ID < other.req.ID
}

// queue holds the waiting requests of one target in order.
type queue struct {
	items []*item
	// cost sums the costs of items.
	cost float64
	rate drainRate
	// typical is the mean logarithm of the density of requests that came and were
	// not urgent, decaying; it is not a number until one has come.
	typical float64
	inflow  inflow
	// learntRate is how many prompt tokens a second idle engines have read; see readrate.go.
	learntRate float64
	// pace is how many prompt tokens a second prompts that aren't urgent have got through;
	// zero if unknown.
	pace float64
	// leastBacklog is the least backlog of the target's endpoints at leastAt.
	leastBacklog float64
	leastAt      time.Time
}

// place sets where a request stands in the queue. Without worth it is first in,
// first out by startBy. With worth, a request that is worth more than usual per
// cost counts as one that has less time to wait, down to leastPatience of it; so
// every request is some day the first.
func (q *queue) place(it *item, byWorth bool) {
	it.orderBy = it.startBy
	if !byWorth || it.req.Urgent() {
		return
	}
	d := math.Log(it.density())
	if math.IsNaN(q.typical) {
		q.typical = d
	}
	q.typical += densitySmoothing * (d - q.typical)
	patience := min(max(math.Exp(q.typical-d)/2, leastPatience), 1)
	// Whole steps keep requests that are alike in the order of their arrival.
	patience = math.Round(patience/patienceStep) * patienceStep
	it.orderBy = it.req.Arrived.Add(time.Duration(patience * float64(it.req.Row.MaxQueueTime)))
}

const (
	densitySmoothing = 0.02
	leastPatience    = 0.1
	patienceStep     = 0.1
)

func (q *queue) insert(it *item) {
	q.items = slices.Insert(q.items, q.before(it), it)
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

// before counts what would go before a request.
func (q *queue) before(it *item) int {
	n, _ := slices.BinarySearchFunc(q.items, it, place)
	return n
}

// place compares two requests for their places in a queue.
func place(a, b *item) int {
	if a.before(b) {
		return -1
	}
	return 1
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
