package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Overload handled here: one workspace sends a third of all requests, and requests of several levels
// wait together. Waiting requests are ordered by level, then by the shares of their workspaces, and
// within a workspace by the end of their objective.
//
// Shares follow start-time fair queueing: each workspace has a virtual time at which its next request
// starts, which advances by the cost of each of its requests. A workspace that demands less than its
// share has the earlier virtual time and goes first; one that returns after a pause starts at the
// present virtual time, so that an unused share is lent and not saved up. While all engines are busy,
// requests are refused on arrival instead of waiting in order; there, a workspace that has recently
// used much more than others is refused at a shorter backlog, so that the others' requests are still
// accepted. Engines have a backlog then, and don't idle. Each entry accounts only for its own
// requests.

const (
	// reorderInterval is how often waiting requests are put into order. Between, the order is kept
	// as it is, since the dispatcher also runs the policy after every event.
	reorderInterval = 20 * time.Millisecond
	// agedTurn is the number of dispatches of requests that aren't urgent after which the oldest aged
	// request of a lower level has its turn, so that no level gets less than a fifth of them while
	// its requests wait.
	agedTurn = 4
	// maxShareLevels and maxShareWorkspaces bound the levels of a target, and the workspaces of a
	// level, whose use is known. Beyond them, those without a claim are dropped, or all if all have one.
	maxShareLevels     = 16
	maxShareWorkspaces = 512
	// shareTimeConstant is the time constant of the recent use of a workspace. An entry of
	// ten that get 13 requests a second together sees six of a workspace that sends a third of them
	// within 15 s. shareDecayInterval is how often it decays.
	shareTimeConstant  = 20 * time.Second
	shareDecayInterval = 100 * time.Millisecond
	// negligibleUse is in engine seconds: a hundredth of a usual prompt's.
	negligibleUse = 0.004
	// A workspace exceeds its share with shareExcess times the mean use, and at least
	// minRequestsAboveShare requests, so that chance alone rarely makes it seem so.
	shareExcess           = 2.0
	minRequestsAboveShare = 4
	// excessFraction is the fraction of its objective that a request of such a workspace leaves to
	// others: engines whose backlog takes up more than the rest get no more of its requests.
	excessFraction = 0.5
)

// fairOrder is the sort key of a waiting request; set is false for versions that order by orderBy.
type fairOrder struct {
	set   bool
	level level
	// turn is set for an aged request of a lower level whose turn it is.
	turn bool
	// startTag is the virtual time at which the request starts.
	startTag float64
	// late is set once the request can't start within its objective any more.
	late     bool
	deadline time.Time
}

// compare orders by urgency, turn, level, share and deadline.
func (o *fairOrder) compare(other *fairOrder) int {
	if c := compareTrueFirst(o.level.urgent(), other.level.urgent()); c != 0 {
		return c
	}
	if c := compareTrueFirst(o.turn, other.turn); c != 0 {
		return c
	}
	if o.level != other.level {
		return compareTrueFirst(o.level.precedes(other.level), other.level.precedes(o.level))
	}
	return cmp.Or(cmp.Compare(o.startTag, other.startTag), o.compareDeadline(other))
}

// compareDeadline puts requests that are late last, and orders the others by deadline.
func (o *fairOrder) compareDeadline(other *fairOrder) int {
	return cmp.Or(compareTrueFirst(!o.late, !other.late), o.deadline.Compare(other.deadline))
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// shares is the use of a target by the workspaces of one level.
type shares struct {
	// virtualTime is the start tag of the request dispatched last, in engine seconds.
	virtualTime float64
	// next is the virtual time at which the next request of a workspace starts. A workspace without
	// a value has no claim and starts at virtualTime.
	next map[string]float64
	// recent is the use of the workspaces in engine seconds, decaying with shareTimeConstant, as of
	// recentAt.
	recent   map[string]float64
	recentAt time.Time
	// total is the sum of recent.
	total float64
}

// decay reduces the recent use by the time since the last call, and drops what has become negligible.
func (sh *shares) decay(now time.Time) {
	elapsed := now.Sub(sh.recentAt)
	if elapsed < shareDecayInterval {
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(shareTimeConstant))
	sh.recentAt, sh.total = now, 0
	for w, use := range sh.recent {
		if use *= factor; use < negligibleUse {
			delete(sh.recent, w)
		} else {
			sh.recent[w] = use
			sh.total += use
		}
	}
}

// exceeds reports whether a workspace has recently used much more than the mean of those that have
// used anything.
func (sh *shares) exceeds(now time.Time, workspace string, cost float64) bool {
	if sh == nil {
		return false
	}
	relativeUse := sh.relativeUse(now, workspace)
	return sh.recent[workspace] >= minRequestsAboveShare*cost && len(sh.recent) > 1 && relativeUse > shareExcess
}

// startTag returns the virtual time at which the next request of a workspace starts.
func (sh *shares) startTag(workspace string) float64 {
	if sh == nil {
		return 0
	}
	return max(sh.next[workspace], sh.virtualTime)
}

// sharesOf returns the shares of a level, which are created if necessary.
func (q *queue) sharesOf(l level) *shares {
	sh := q.shares[l]
	if sh != nil {
		return sh
	}
	if q.shares == nil || len(q.shares) >= maxShareLevels {
		q.shares = map[level]*shares{}
	}
	sh = &shares{next: map[string]float64{}, recent: map[string]float64{}}
	q.shares[l] = sh
	return sh
}

// charge advances the virtual time of a workspace by the cost of a dispatched request.
func (sh *shares) charge(workspace string, cost float64) {
	start := sh.startTag(workspace)
	sh.virtualTime = max(sh.virtualTime, start)
	if _, ok := sh.next[workspace]; !ok && len(sh.next) >= maxShareWorkspaces {
		for w, next := range sh.next {
			if next <= sh.virtualTime {
				delete(sh.next, w)
			}
		}
		if len(sh.next) >= maxShareWorkspaces {
			clear(sh.next)
		}
	}
	sh.next[workspace] = start + cost
	if _, ok := sh.recent[workspace]; ok || len(sh.recent) < maxShareWorkspaces {
		sh.recent[workspace] += cost
		sh.total += cost
	}
}

// reservedForOthers returns the part of its objective that a request leaves to other workspaces.
func (s *Scheduler) reservedForOthers(now time.Time, it *item) time.Duration {
	if !s.ordersByPrecedence(s.queue(it.req.Row.Target)) || !s.queue(it.req.Row.Target).shares[it.fair.level].exceeds(now, it.req.Workspace, it.shareCost) {
		return 0
	}
	return time.Duration(excessFraction * float64(it.req.Row.Objective))
}

// shareCost returns the cost of a request in seconds of one engine's scarcer resource: the time to
// prefill its prompt, or its memory over time as a part of the engine's. Requests for plain services
// cost one each.
func (s *Scheduler) shareCost(now time.Time, it *item) float64 {
	if it.req.PromptTokens == 0 {
		return 1
	}
	prefill, memory := 0.0, 0.0
	if rate := s.prefillRate(it.req.Row.Target); rate > 0 {
		prefill = float64(it.req.PromptTokens) / rate
	}
	if capacity := s.engineCapacity(it.req.Row.Target); capacity > 0 {
		memory = it.cost * s.meanInterTokenLatency(now) / capacity
	}
	return max(prefill, memory)
}

// engineCapacity returns the memory in tokens of an engine of a target in the own data centre; zero
// if there is none. The engines of a target have about the same memory.
func (s *Scheduler) engineCapacity(target string) float64 {
	t := s.target(target)
	for _, list := range [...][]*endpoint{t.homes, t.local} {
		if len(list) > 0 {
			return float64(list[0].spec.CapacityTokens)
		}
	}
	return 0
}

// setFairOrder sets the sort key of a new request: behind the waiting ones of its workspace and level.
func (s *Scheduler) setFairOrder(now time.Time, q *queue, it *item) {
	if !s.ordersByPrecedence(q) {
		return
	}
	it.shareCost = s.shareCost(now, it)
	it.fair = fairOrder{set: true, level: levelOf(&it.req), deadline: it.latestStart}
	if objective := it.req.Row.Objective; objective > 0 {
		it.fair.deadline = it.req.ArrivedAt.Add(objective)
	}
	it.fair.startTag = q.shares[it.fair.level].startTag(it.req.Workspace)
	for _, other := range q.items {
		if other.req.Workspace == it.req.Workspace && other.fair.level == it.fair.level {
			it.fair.startTag += other.shareCost
		}
	}
}

// reorder puts the waiting requests into order, at most every reorderInterval.
func (s *Scheduler) reorder(now time.Time, q *queue) {
	if !s.ordersByPrecedence(q) || len(q.items) < 2 || now.Sub(q.orderedAt) < reorderInterval {
		return
	}
	q.orderedAt = now
	for _, it := range q.items {
		if !it.fair.set {
			// It arrived before precedence applied to the queue.
			s.setFairOrder(now, q, it)
		}
		it.fair.turn = false
		it.fair.late = now.After(it.fair.deadline)
	}
	slices.SortFunc(q.items, func(a, b *item) int {
		if a.fair.level != b.fair.level {
			return compareTrueFirst(a.fair.level.precedes(b.fair.level), b.fair.level.precedes(a.fair.level))
		}
		return cmp.Or(cmp.Compare(a.req.Workspace, b.req.Workspace), a.fair.compareDeadline(&b.fair), cmp.Compare(a.req.ID, b.req.ID))
	})
	var previous *item
	tag := 0.0
	for _, it := range q.items {
		if previous == nil || previous.fair.level != it.fair.level || previous.req.Workspace != it.req.Workspace {
			tag = q.shares[it.fair.level].startTag(it.req.Workspace)
		}
		it.fair.startTag = tag
		tag += it.shareCost
		previous = it
	}
	if aged := q.agedRequest(now); aged != nil && q.sinceAgedTurn >= agedTurn {
		aged.fair.turn = true
	}
	slices.SortFunc(q.items, compareOrder)
}

// agedRequest returns the oldest request that has aged, is not urgent, and is of a lower level than
// another waiting request that isn't urgent; nil if there is none. The items are sorted by level.
func (q *queue) agedRequest(now time.Time) *item {
	var highest *level
	var oldest *item
	for _, it := range q.items {
		switch {
		case it.fair.level.urgent():
		case highest == nil:
			highest = &it.fair.level
		case *highest != it.fair.level && agedTime(now, it) > 0 && (oldest == nil || it.req.ArrivedAt.Before(oldest.req.ArrivedAt)):
			oldest = it
		}
	}
	return oldest
}

// goesPast reports whether a request may be dispatched although one of a level is blocked before it.
func (it *item) goesPast(blocked level) bool {
	return it.fair.set && it.fair.level.precedes(blocked)
}

// chargeShare accounts for a dispatched request.
func (s *Scheduler) chargeShare(q *queue, it *item) {
	if !s.ordersByPrecedence(q) {
		return
	}
	q.sharesOf(it.fair.level).charge(it.req.Workspace, it.shareCost)
	switch {
	case it.fair.turn:
		q.sinceAgedTurn = 0
	case !it.fair.level.urgent():
		q.sinceAgedTurn++
	}
}
