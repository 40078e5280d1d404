package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/lengths"
)

// item is a waiting or running request.
type item struct {
	req        Request
	projection lengths.Projection
	// cost is the memory that it is expected to hold, summed over its decode steps (token
	// steps); for plain services it is 1.
	cost float64
	// latestStart is the latest time at which it may start.
	latestStart time.Time
	// orderBy is the sort key in the queue; it is never after latestStart.
	orderBy time.Time

	// fair is the sort key with Config.OrderByPrecedence, and shareCost what the request costs its
	// workspace; see fair_share.go.
	fair      fairOrder
	shareCost float64

	// nextTryAt is when a waiting request is compared with engines again; see retry_spread.go.
	nextTryAt time.Time

	endpoint      *endpoint
	lengthTracker lengths.Tracker
	generated     int
	lastTokenAt   time.Time
	// prefillingAtLast is set if the engine had pending prefill tokens at lastTokenAt.
	prefillingAtLast bool
	// moved is set once the request has moved to another endpoint.
	moved bool
	// predictedStart is the expected time from sentAt to the first token; zero if unknown.
	predictedStart time.Duration
	// prefillPending is set until the endpoint has processed the prompt.
	prefillPending bool
	// sentAt is when it was sent, and sentTokensTotal the engine's promptTokensSent then, with its
	// own prompt included.
	sentAt          time.Time
	sentTokensTotal float64
	// expectedLatency is the latency that was expected at sentAt; zero if unknown, and for engines.
	expectedLatency time.Duration
	// sentToIdle is set if the engine's prefill backlog at sentAt was negligible; see nearlyIdle.
	sentToIdle bool
	// backlogAtSend is the engine's prefill backlog at sentAt, in tokens.
	backlogAtSend float64
}

// endPrefill records that the prompt has been processed, or never will be.
func (it *item) endPrefill() {
	if it.prefillPending {
		it.prefillPending = false
		it.endpoint.ownPendingPrefill -= float64(it.req.PromptTokens)
	}
}

// valuePerCost is the weight of the request's row per unit of cost.
func (it *item) valuePerCost() float64 { return float64(it.req.Row.Weight) / max(it.cost, 1) }

// goesBefore orders waiting requests: urgent ones first, then by orderBy; or by fair, if it is set.
func (it *item) goesBefore(other *item) bool {
	if it.fair.set {
		c := it.fair.compare(&other.fair)
		return c < 0 || c == 0 && it.req.ID < other.req.ID
	}
	if it.req.Urgent() != other.req.Urgent() {
		return it.req.Urgent()
	}
	if !it.orderBy.Equal(other.orderBy) {
		return it.orderBy.Before(other.orderBy)
	}
	return it.req.ID < other.req.ID
}

// queue holds the waiting requests of one target in their order, and the estimates that are
// learned per target.
type queue struct {
	items []*item
	// cost is the sum of the costs of items.
	cost      float64
	drainRate drainRate
	// meanLogValuePerCost is the moving average of the logarithm of the value per cost of
	// submitted requests that are not urgent; NaN before the first.
	meanLogValuePerCost float64
	inflow              inflow
	// learnedPrefillRate is the prefill rate of idle engines in tokens per second; see
	// prefill_rate.go.
	learnedPrefillRate float64
	// effectivePrefillRate is the rate, in tokens per second, at which engines have processed
	// non-urgent prompts and the backlog before them; zero if unknown.
	effectivePrefillRate float64
	// prefillEfficiency is the moving average of the rate at which engines have processed the backlog
	// before this entry's prompts, relative to their own prefill rate; zero if unknown.
	prefillEfficiency float64
	// minBacklog is the smallest prefill backlog among the target's endpoints, as of
	// minBacklogAt.
	minBacklog   float64
	minBacklogAt time.Time
	// demands are the kinds that this entry has had requests of recently; see precedence.go.
	demands []demand
	// someYield is set if some of them have the time to wait for others; see hasYieldingKind.
	someYield bool
	// shares, orderedAt and sinceAgedTurn are explained in fair_share.go; sinceAgedTurn counts the
	// dispatches of requests that aren't urgent since the last turn of an aged one.
	shares        map[level]*shares
	orderedAt     time.Time
	sinceAgedTurn int
	// nextReturn is when the next refused caller is told to return; see returnDelay.
	nextReturn time.Time
	// residence and soonestStart are explained in memory_room.go.
	residence    residence
	soonestStart soonestStart
}

// setOrder sets the sort key of a request. Without byValuePerCost, and for urgent requests, it is
// latestStart. Otherwise it is the arrival plus a fraction of the row's longest wait; the higher
// the value per cost is compared with the average, the smaller is the fraction, down to
// minWaitFraction. Since keys are bounded, every request reaches the head of the queue, and none
// starves.
func (q *queue) setOrder(it *item, byValuePerCost bool) {
	it.orderBy = it.latestStart
	if !byValuePerCost || it.req.Urgent() {
		return
	}
	d := math.Log(it.valuePerCost())
	if math.IsNaN(q.meanLogValuePerCost) {
		q.meanLogValuePerCost = d
	}
	q.meanLogValuePerCost += valuePerCostSmoothing * (d - q.meanLogValuePerCost)
	waitFraction := min(max(math.Exp(q.meanLogValuePerCost-d)/2, minWaitFraction), 1)
	// Rounding keeps similar requests in the order of their arrival.
	waitFraction = math.Round(waitFraction/waitFractionStep) * waitFractionStep
	it.orderBy = it.req.ArrivedAt.Add(time.Duration(waitFraction * float64(it.req.Row.MaxQueueTime)))
}

const (
	// valuePerCostSmoothing is the weight of one request in meanLogValuePerCost.
	valuePerCostSmoothing = 0.02
	// minWaitFraction and waitFractionStep are fractions of a row's longest wait.
	minWaitFraction  = 0.1
	waitFractionStep = 0.1
)

func (q *queue) insert(it *item) {
	q.items = slices.Insert(q.items, q.position(it), it)
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

// costAhead sums the costs of the queued requests that go before a request.
func (q *queue) costAhead(it *item) float64 {
	sum := 0.0
	for _, other := range q.items {
		if !other.goesBefore(it) {
			break
		}
		sum += other.cost
	}
	return sum
}

// position counts the queued requests that go before a request.
func (q *queue) position(it *item) int {
	n, _ := slices.BinarySearchFunc(q.items, it, compareOrder)
	return n
}

// compareOrder compares two different requests by their order in a queue.
func compareOrder(a, b *item) int {
	if a.goesBefore(b) {
		return -1
	}
	return 1
}

// countDrained adds the cost of a dispatched request to the drain rate.
func (q *queue) countDrained(cost float64) { q.drainRate.drained += cost }

// expectedWait returns the expected wait behind requests of a total cost, at most
// maxExpectedWait, and false if it is unknown.
func (q *queue) expectedWait(cost float64) (time.Duration, bool) {
	if cost == 0 {
		return 0, true
	}
	rate, known := q.drainRate.perSecond()
	if !known {
		return 0, false
	}
	seconds := min(cost/rate, maxExpectedWait.Seconds())
	return time.Duration(seconds * float64(time.Second)), true
}

// maxExpectedWait caps the result of expectedWait.
const maxExpectedWait = time.Hour
