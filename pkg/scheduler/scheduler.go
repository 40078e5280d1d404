package scheduler

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/invariant"
	"github.com/bridgehoist/bridgehoist/pkg/lengths"
	"github.com/bridgehoist/bridgehoist/pkg/limits"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
	"github.com/bridgehoist/bridgehoist/pkg/routing"
)

// Config holds the settings of a Scheduler.
type Config struct {
	// DataCenter of the entry; its endpoints go first.
	DataCenter string
	// Margin is the headroom in standard deviations of the projected memory.
	Margin float64
	// UrgentShare is the part of each engine's memory held for urgent requests.
	UrgentShare float64
	// UrgentOvercommit sends an urgent request that fits nowhere to the least
	// filled endpoint: the engine then pushes a long one aside for it.
	UrgentOvercommit bool
	// RateSmoothing is the weight of one new measurement of the drain rate.
	RateSmoothing float64
	// RateWarmUp is for how long requests must have waited before the drain rate
	// is believed.
	RateWarmUp time.Duration
	// Recost makes the costs of waiting requests anew as lengths are learnt.
	Recost bool
	// DisplaceRatio is by how much a request must be worth more per cost than a
	// waiting one that it displaces.
	DisplaceRatio float64
	// OrderByWorth lets requests that are worth more per cost go earlier.
	OrderByWorth bool
	// PriorHazard is what is assumed of output lengths while none are known; see
	// package lengths.
	PriorHazard float64
	// Parts makes the entries split each endpoint's memory among its home
	// entries; see SetHome.
	Parts bool
	// BorrowFill is the highest believed fill up to which an entry uses more of
	// an endpoint than its own part.
	BorrowFill float64
	// PeersFromReports takes the others' work from the endpoints' load reports,
	// so that entries need not tell each other.
	PeersFromReports bool
	// Pipeline chooses endpoints.
	Pipeline routing.Pipeline
	// Rand is the source of all randomness.
	Rand *rand.Rand
}

// Defaults of Config.
const (
	DefaultMargin      = 1.0
	DefaultUrgentShare = 0.1
	// reprojectEvery is after how many tokens a projection is made anew.
	reprojectEvery = 16
	// defaultGap is the time between tokens assumed while nothing is known.
	defaultGap = 25 * time.Millisecond
	// Bounds and jitter of the time after which a refused caller may come back.
	minRetryAfter    = 200 * time.Millisecond
	maxRetryAfter    = time.Minute
	retryAfterJitter = 0.25
	// spillFill is the highest fill up to which an endpoint of another data
	// centre gets work that no local one has room for.
	spillFill = 0.6
	// DefaultBorrowFill is that of version v4.
	DefaultBorrowFill = 0.85
	// partFill is the highest believed fill up to which it uses its own part.
	partFill = 1.2
	// DefaultRateSmoothing and DefaultDisplaceRatio are those of version v1.
	DefaultRateSmoothing = 0.2
	DefaultDisplaceRatio = 1.25
)

func (c Config) withDefaults() Config {
	c.Margin = cmp.Or(c.Margin, DefaultMargin)
	c.UrgentShare = cmp.Or(c.UrgentShare, DefaultUrgentShare)
	c.BorrowFill = cmp.Or(c.BorrowFill, DefaultBorrowFill)
	c.PriorHazard = cmp.Or(c.PriorHazard, lengths.PriorHazard)
	c.RateSmoothing = cmp.Or(c.RateSmoothing, DefaultRateSmoothing)
	c.DisplaceRatio = cmp.Or(c.DisplaceRatio, DefaultDisplaceRatio)
	if c.Pipeline.Filters == nil {
		c.Pipeline = routing.Default()
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return c
}

// Scheduler is the policy of the entries.
type Scheduler struct {
	cfg       Config
	endpoints []*endpoint
	byID      map[string]*endpoint
	estimator *lengths.Estimator
	queues    map[string]*queue
	running   map[ID]*item
	inFlight  *limits.Counter
	queued    *limits.Counter
	shares    map[string][]Share
	leaving   map[string]bool
	homes     map[string]int
	targets   map[string]*target
	// reported are engines of other data centres with a fresh report.
	reported []*endpoint
	gap      float64
	gapAt    time.Time
	free     []*item

	request    routing.Request
	candidates []routing.Candidate
	actions    Actions
	displaced  []Refusal
}

var _ Policy = (*Scheduler)(nil)

// New makes a scheduler without endpoints.
func New(cfg Config) *Scheduler {
	cfg = cfg.withDefaults()
	return &Scheduler{
		cfg:       cfg,
		byID:      map[string]*endpoint{},
		homes:     map[string]int{},
		targets:   map[string]*target{},
		estimator: lengths.New(cfg.PriorHazard),
		queues:    map[string]*queue{},
		running:   map[ID]*item{},
		inFlight:  limits.New(),
		queued:    limits.New(),
		shares:    map[string][]Share{},
		leaving:   map[string]bool{},
	}
}

// InFlight is the counter of the table's max_in_flight, for the exchange.
func (s *Scheduler) InFlight() *limits.Counter { return s.inFlight }

// Queued is the counter of the table's max_queued, for the exchange.
func (s *Scheduler) Queued() *limits.Counter { return s.queued }

// Lengths is what has been learnt of output lengths.
func (s *Scheduler) Lengths() *lengths.Estimator { return s.estimator }

// SetEndpoints implements Policy.
func (s *Scheduler) SetEndpoints(_ time.Time, endpoints []fleet.Endpoint) {
	old := s.byID
	s.byID = make(map[string]*endpoint, len(endpoints))
	s.endpoints = s.endpoints[:0:0]
	for i, spec := range endpoints {
		e := old[spec.ID]
		if e == nil || e.spec.Incarnation != spec.Incarnation {
			e = &endpoint{}
		}
		e.spec = spec
		e.index = i
		e.leaving = s.leaving[spec.ID]
		e.parts = s.homes[spec.ID]
		s.byID[spec.ID] = e
		s.endpoints = append(s.endpoints, e)
	}
	for id, e := range old {
		if s.byID[id] != e {
			e.gone = true
		}
	}
	clear(s.targets)
	s.sumShares()
}

// SetLeaving implements Policy.
func (s *Scheduler) SetLeaving(id string, leaving bool) {
	if leaving {
		s.leaving[id] = true
	} else {
		delete(s.leaving, id)
	}
	if e := s.byID[id]; e != nil {
		e.leaving = leaving
	}
}

// SetHome says that the entry is one of so many home entries of an endpoint, or
// with zero that it is none. Home entries split the endpoint's memory in equal
// parts: within its part an entry needs no news of the others, so that stale
// news can't make all of them send at once. Beyond its part, and elsewhere, it
// sends only while the endpoint looks no fuller than BorrowFill.
func (s *Scheduler) SetHome(id string, parts int) {
	if parts == 0 {
		delete(s.homes, id)
	} else {
		s.homes[id] = parts
	}
	if e := s.byID[id]; e != nil && e.parts != parts {
		e.parts = parts
		clear(s.targets)
	}
}

func (s *Scheduler) queue(target string) *queue {
	q := s.queues[target]
	if q == nil {
		q = &queue{typical: math.NaN()}
		s.queues[target] = q
	}
	return q
}

func limitKey(r *Request) limits.Key { return limits.Key{Workspace: r.Workspace, Kind: r.Kind} }

func lengthKey(r *Request) lengths.Key { return lengths.Key{Workspace: r.Workspace, Kind: r.Kind} }

// Submit implements Policy.
func (s *Scheduler) Submit(now time.Time, r Request) *outcome.Error {
	q := s.queue(r.Row.Target)
	if s.target(r.Row.Target).size() == 0 {
		return s.refusal(outcome.CodeNoEndpoint, minRetryAfter, "no endpoint answers for %q", r.Row.Target)
	}
	if !s.queued.Allows(limitKey(&r), max(r.Row.MaxQueued, 1)) {
		wait, _ := q.wait(q.cost)
		return s.refusal(outcome.CodeQueueFull, wait, "%d requests of this kind wait already", r.Row.MaxQueued)
	}
	it := s.newItem(r)
	q.place(it, s.cfg.OrderByWorth)
	if err := s.admitToQueue(now, q, it); err != nil {
		s.release(it)
		return err
	}
	q.insert(it)
	s.queued.Take(limitKey(&r), r.Row.MaxQueued)
	return nil
}

func (s *Scheduler) newItem(r Request) *item {
	it := s.take()
	*it = item{req: r, startBy: r.Arrived.Add(r.Row.MaxQueueTime)}
	if r.PromptTokens > 0 {
		it.projection = s.estimator.Project(lengthKey(&r), r.PromptTokens, 0)
		it.cost = s.cost(&r)
	} else {
		it.cost = 1
	}
	return it
}

// take and release keep items for reuse.
func (s *Scheduler) take() *item {
	n := len(s.free)
	if n == 0 {
		return &item{}
	}
	it := s.free[n-1]
	s.free = s.free[:n-1]
	return it
}

// maxReported bounds the engines of other data centres that a decision looks at.
const maxReported = 32

// maxFree bounds the items kept for reuse.
const maxFree = 1024

func (s *Scheduler) release(it *item) {
	if len(s.free) < maxFree {
		s.free = append(s.free, it)
	}
}

// cost is the memory that the request holds, summed over its steps.
func (s *Scheduler) cost(r *Request) float64 {
	steps := s.estimator.Remaining(lengthKey(r), 0)
	return steps * (float64(r.PromptTokens) + steps/2)
}

// admitToQueue refuses a request that could not start in time, unless waiting
// ones that are worth less make way for it.
func (s *Scheduler) admitToQueue(now time.Time, q *queue, it *item) *outcome.Error {
	left := it.startBy.Sub(now)
	wait, known := q.wait(q.ahead(it))
	if !known || wait <= left {
		return nil
	}
	if s.displace(q, it, left) {
		return nil
	}
	return s.refusal(outcome.CodeDeadline, wait-left, "the wait would be %v, allowed are %v",
		wait.Round(time.Millisecond), it.req.Row.MaxQueueTime)
}

// displace makes room before a request by refusing waiting ones of less worth
// per cost, the least first. It does so only if that suffices.
func (s *Scheduler) displace(q *queue, it *item, left time.Duration) bool {
	var victims []*item
	for _, other := range q.items {
		if other.before(it) && other.density()*s.cfg.DisplaceRatio < it.density() {
			victims = append(victims, other)
		}
	}
	slices.SortFunc(victims, func(a, b *item) int { return cmp.Compare(a.density(), b.density()) })
	ahead := q.ahead(it)
	count := 0
	for _, v := range victims {
		if wait, _ := q.wait(ahead); wait <= left {
			break
		}
		ahead -= v.cost
		count++
	}
	if wait, _ := q.wait(ahead); wait > left {
		return false
	}
	for _, v := range victims[:count] {
		q.remove(v.req.ID)
		s.queued.Release(limitKey(&v.req))
		wait, _ := q.wait(q.cost)
		err := s.refusal(outcome.CodeDeadline, wait, "requests of more worth wait")
		s.displaced = append(s.displaced, Refusal{v.req.ID, err})
		s.release(v)
	}
	return true
}

func (s *Scheduler) refusal(code outcome.Code, wait time.Duration, format string, args ...any) *outcome.Error {
	after := min(max(wait, minRetryAfter), maxRetryAfter)
	spread := 1 + retryAfterJitter*s.cfg.Rand.Float64()
	return outcome.NotRunf(code, format, args...).After(time.Duration(float64(after) * spread))
}

// Cancel implements Policy.
func (s *Scheduler) Cancel(_ time.Time, id ID) bool {
	for _, q := range s.queues {
		if it := q.remove(id); it != nil {
			s.queued.Release(limitKey(&it.req))
			s.release(it)
			return true
		}
	}
	return false
}

// Next implements Policy.
func (s *Scheduler) Next(now time.Time) Actions {
	s.actions.Dispatches = s.actions.Dispatches[:0]
	s.actions.Refusals = append(s.actions.Refusals[:0], s.displaced...)
	s.displaced = s.displaced[:0]
	for target, q := range s.queues {
		if q.rate.measure(now, len(q.items) > 0, s.cfg.RateSmoothing, s.cfg.RateWarmUp) && s.cfg.Recost {
			s.recost(q)
		}
		if len(q.items) > 0 {
			s.serve(now, target, q)
		}
	}
	return s.actions
}

// recost makes the costs and projections of waiting requests anew.
func (s *Scheduler) recost(q *queue) {
	q.cost = 0
	for _, it := range q.items {
		if it.req.PromptTokens > 0 {
			it.projection = s.estimator.Project(lengthKey(&it.req), it.req.PromptTokens, 0)
			it.cost = s.cost(&it.req)
		}
		q.cost += it.cost
	}
}

// serve goes through one queue in order. A request that doesn't fit holds back
// those behind it that are not urgent; one over its own limit holds back none.
func (s *Scheduler) serve(now time.Time, target string, q *queue) {
	s.snapshot(now, target)
	held := false
	for i := 0; i < len(q.items); {
		it := q.items[i]
		if now.After(it.startBy) {
			s.expire(q, i)
			continue
		}
		if held && !it.req.Urgent() {
			i++
			continue
		}
		if !s.inFlight.Allows(limitKey(&it.req), it.req.Row.MaxInFlight) {
			i++
			continue
		}
		if err := s.hopeless(now, it); err != nil {
			s.drop(q, i, err)
			continue
		}
		e := s.choose(now, it)
		if e == nil {
			held = held || !it.req.Urgent()
			i++
			continue
		}
		q.removeAt(i)
		q.drain(it.cost)
		s.dispatch(now, it, e)
	}
}

func (s *Scheduler) expire(q *queue, i int) {
	wait, _ := q.wait(q.cost)
	s.drop(q, i, s.refusal(outcome.CodeQueueTime, wait, "waited for %v", q.items[i].req.Row.MaxQueueTime))
}

func (s *Scheduler) drop(q *queue, i int, err *outcome.Error) {
	it := q.items[i]
	q.removeAt(i)
	s.queued.Release(limitKey(&it.req))
	s.actions.Refusals = append(s.actions.Refusals, Refusal{it.req.ID, err})
	s.release(it)
}

// hopeless refuses a request that can't be expected to finish before its
// timeout, so that its room serves one that can.
func (s *Scheduler) hopeless(now time.Time, it *item) *outcome.Error {
	if it.req.PromptTokens == 0 {
		return nil
	}
	left := it.req.Arrived.Add(it.req.Row.Timeout).Sub(now)
	steps := s.estimator.Remaining(lengthKey(&it.req), 0)
	need := time.Duration(steps * s.typicalGap(now) * float64(time.Second))
	if need <= left {
		return nil
	}
	return s.refusal(outcome.CodeDeadline, minRetryAfter, "about %v are needed, %v are left",
		need.Round(time.Second), left.Round(time.Second))
}

// gapEvery is how often the typical gap is computed anew.
const gapEvery = 200 * time.Millisecond

// typicalGap is the mean time between tokens over the endpoints, in seconds.
func (s *Scheduler) typicalGap(now time.Time) float64 {
	if s.gap == 0 || now.Sub(s.gapAt) >= gapEvery {
		s.gap = s.meanGap()
		s.gapAt = now
	}
	return s.gap
}

func (s *Scheduler) meanGap() float64 {
	sum, n := 0.0, 0
	for _, e := range s.endpoints {
		if e.gap > 0 {
			sum += e.gap
			n++
		}
	}
	if n == 0 {
		return defaultGap.Seconds()
	}
	return sum / float64(n)
}

// snapshot fills the candidates of a target with all but what depends on the
// single request: its home endpoints, and a sample of the others, so that the
// cost of a decision is bounded whatever the size of the fleet.
func (s *Scheduler) snapshot(now time.Time, name string) {
	t := s.target(name)
	s.candidates = s.candidates[:0]
	typical := s.typicalGap(now)
	for _, e := range t.homes {
		s.addCandidate(now, e, typical)
	}
	s.sample(now, t.local, sampleLocal, typical)
	s.sample(now, t.remoteServices, sampleRemote, typical)
	if !s.cfg.PeersFromReports {
		s.sample(now, t.remoteEngines, sampleRemote, typical)
		return
	}
	s.reported = slices.DeleteFunc(s.reported, func(e *endpoint) bool { return e.gone || !e.fresh(now) })
	for _, e := range s.reported {
		if slices.Contains(e.spec.Targets, name) {
			s.addCandidate(now, e, typical)
		}
	}
}

func (s *Scheduler) sample(now time.Time, from []*endpoint, most int, typical float64) {
	if len(from) == 0 {
		return
	}
	count := min(len(from), most)
	first := s.cfg.Rand.IntN(len(from))
	stride := len(from) / count
	for i := range count {
		s.addCandidate(now, from[(first+i*stride)%len(from)], typical)
	}
}

func (s *Scheduler) addCandidate(now time.Time, e *endpoint, typical float64) {
	slowness := 1.0
	if e.gap > 0 {
		slowness = e.gap / typical
	}
	s.candidates = append(s.candidates, routing.Candidate{
		Index:    e.index,
		Serves:   true,
		Leaving:  e.leaving,
		Broken:   !e.breaker.Allow(now),
		Local:    e.spec.DataCenter == s.cfg.DataCenter,
		Slowness: slowness,
	})
}

// fits says whether a candidate has room. One of another data centre must have
// more of it, because what is known of its load is older. An idle local endpoint
// takes any request, else one larger than the endpoint would wait for ever.
func (s *Scheduler) fits(now time.Time, c *routing.Candidate, e *endpoint, it *item) bool {
	if !c.Local && !s.cfg.PeersFromReports {
		return c.Fill <= spillFill
	}
	if !c.Local {
		return e.fresh(now) && c.Fill <= e.shared(spillFill)
	}
	if e.ownRunning+e.peersRunning == 0 {
		return true
	}
	if !s.cfg.Parts || e.spec.CapacityTokens == 0 {
		return c.Fill <= 1
	}
	if e.parts == 0 && s.cfg.PeersFromReports {
		return c.Fill <= e.shared(s.cfg.BorrowFill)
	}
	if c.Fill <= s.cfg.BorrowFill {
		return true
	}
	return c.Fill <= partFill && e.ownFill(&it.projection, it.req.Urgent(), s.room(0)) <= 1
}

func (s *Scheduler) room(extra float64) room {
	return room{s.cfg.Margin, s.cfg.UrgentShare, extra}
}

func (s *Scheduler) choose(now time.Time, it *item) *endpoint {
	// The request is a field, since it would escape to the heap with each call.
	r := &s.request
	*r = routing.Request{Urgent: it.req.Urgent(), Avoid: routing.None}
	if e := s.byID[it.req.Avoid]; e != nil && len(s.candidates) > 1 {
		r.Avoid = e.index
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		e := s.endpoints[c.Index]
		c.Fill = e.fill(&it.projection, r.Urgent, s.room(e.extra(now)))
		c.Fits = s.fits(now, c, e, it)
	}
	i := s.cfg.Pipeline.Choose(s.cfg.Rand, r, s.candidates)
	if i != routing.None {
		return s.endpoints[i]
	}
	if r.Urgent && s.cfg.UrgentOvercommit {
		return s.leastFilled(r)
	}
	return nil
}

// leastFilled finds the least filled endpoint that has a place, local ones
// first.
func (s *Scheduler) leastFilled(r *routing.Request) *endpoint {
	var best *routing.Candidate
	for i := range s.candidates {
		c := &s.candidates[i]
		e := s.endpoints[c.Index]
		if !(routing.Usable{}).Keep(r, c) || c.Index == r.Avoid || e.places() > 1 {
			continue
		}
		if best == nil || c.Local && !best.Local || c.Local == best.Local && c.Fill < best.Fill {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return s.endpoints[best.Index]
}

func (s *Scheduler) dispatch(now time.Time, it *item, e *endpoint) {
	if e.leaving {
		invariant.Check(false, invariant.NoNewWorkOnLeaving, "dispatch to %s", e.spec.ID)
	}
	s.queued.Release(limitKey(&it.req))
	s.inFlight.Take(limitKey(&it.req), it.req.Row.MaxInFlight)
	it.endpoint = e
	it.dispatched = now
	it.generated = 0
	it.lastToken = time.Time{}
	it.run = s.estimator.Start(lengthKey(&it.req))
	e.take(it, 1)
	e.ownRunning++
	e.breaker.Sent(now)
	s.running[it.req.ID] = it
	s.refreshCandidate(now, e)
	s.actions.Dispatches = append(s.actions.Dispatches, Dispatch{it.req.ID, e.spec})
}

// refreshCandidate keeps a half-open breaker from letting a second probe
// through in the same round.
func (s *Scheduler) refreshCandidate(now time.Time, e *endpoint) {
	for i := range s.candidates {
		if s.candidates[i].Index == e.index {
			s.candidates[i].Broken = !e.breaker.Allow(now)
		}
	}
}

// Progress implements Policy.
func (s *Scheduler) Progress(now time.Time, id ID, generated int) {
	it := s.running[id]
	if it == nil || generated <= it.generated {
		return
	}
	if !it.lastToken.IsZero() {
		it.endpoint.observeGap(now.Sub(it.lastToken) / time.Duration(generated-it.generated))
	}
	it.lastToken = now
	moved := generated/reprojectEvery != it.generated/reprojectEvery
	it.generated = generated
	if it.run.Advance(generated) || moved {
		it.endpoint.take(it, -1)
		it.projection = it.run.Project(it.req.PromptTokens, generated)
		it.endpoint.take(it, 1)
	}
}

// Finish implements Policy.
func (s *Scheduler) Finish(now time.Time, id ID, res Result) {
	it := s.running[id]
	if it == nil {
		return
	}
	delete(s.running, id)
	s.inFlight.Release(limitKey(&it.req))
	e := it.endpoint
	e.take(it, -1)
	e.ownRunning--
	if e.ownRunning == 0 {
		e.own = lengths.Projection{}
		e.urgent = lengths.Profile{}
	}
	if res.Complete && it.req.PromptTokens > 0 {
		it.run.End(res.Generated)
	}
	if res.Failed {
		e.breaker.Failure(now)
	} else if res.Complete {
		e.breaker.Success()
	}
	s.release(it)
}

// Report implements Policy.
func (s *Scheduler) Report(_ time.Time, r Report) {
	e := s.byID[r.Endpoint]
	if e == nil {
		return
	}
	if !s.cfg.PeersFromReports {
		e.observe(r)
		return
	}
	e.observePeers(r)
	if e.spec.DataCenter != s.cfg.DataCenter && len(s.reported) < maxReported && !slices.Contains(s.reported, e) {
		s.reported = append(s.reported, e)
	}
}

// SetShares implements Policy.
func (s *Scheduler) SetShares(_ time.Time, vm string, shares []Share) {
	if s.cfg.PeersFromReports {
		return
	}
	for _, sh := range s.shares[vm] {
		if e := s.byID[sh.Endpoint]; e != nil {
			e.peers = e.peers.Sub(sh.Projected)
			e.peersRunning -= sh.Running
		}
	}
	if shares == nil {
		delete(s.shares, vm)
		return
	}
	s.shares[vm] = shares
	s.addShares(shares)
}

func (s *Scheduler) addShares(shares []Share) {
	for _, sh := range shares {
		if e := s.byID[sh.Endpoint]; e != nil {
			e.peers = e.peers.Add(sh.Projected)
			e.peersRunning += sh.Running
		}
	}
}

func (s *Scheduler) sumShares() {
	for _, e := range s.endpoints {
		e.peers = lengths.Profile{}
		e.peersRunning = 0
	}
	for _, shares := range s.shares {
		s.addShares(shares)
	}
}

// Shares implements Policy.
func (s *Scheduler) Shares() []Share {
	var out []Share
	for _, e := range s.endpoints {
		if e.ownRunning > 0 {
			out = append(out, Share{e.spec.ID, e.ownRunning, e.own.Mean})
		}
	}
	return out
}

// EndpointStatus is what the scheduler believes of an endpoint, for operators.
type EndpointStatus struct {
	ID           string
	Leaving      bool
	Breaker      retry.BreakerState
	Running      int
	PeersRunning int
	Projected    lengths.Profile
	Capacity     int
	Gap          time.Duration
	ReportAge    time.Duration
	Preemptions  int
}

// Status lists the endpoints as they are believed to be.
func (s *Scheduler) Status(now time.Time) []EndpointStatus {
	out := make([]EndpointStatus, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		st := EndpointStatus{
			ID:           e.spec.ID,
			Leaving:      e.leaving,
			Breaker:      e.breaker.State(now),
			Running:      e.ownRunning,
			PeersRunning: e.peersRunning,
			Projected:    e.own.Mean.Add(e.peers),
			Capacity:     e.spec.CapacityTokens,
			Gap:          time.Duration(e.gap * float64(time.Second)),
			Preemptions:  e.report.Preemptions,
		}
		if !e.report.At.IsZero() {
			st.ReportAge = now.Sub(e.report.At)
		}
		out = append(out, st)
	}
	return out
}

// WaitingTargets lists the targets that requests wait for.
func (s *Scheduler) WaitingTargets() []string {
	var out []string
	for name, q := range s.queues {
		if len(q.items) > 0 {
			out = append(out, name)
		}
	}
	return out
}

// Waiting counts the requests that wait.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, q := range s.queues {
		n += len(q.items)
	}
	return n
}

// Explanation says what the scheduler would do with a request now.
type Explanation struct {
	Projected  lengths.Profile
	Ahead      int
	Wait       time.Duration
	Candidates []routing.Candidate
	Reasons    []routing.Reason
	IDs        []string
}

// Explain answers an operator's question; it changes nothing.
func (s *Scheduler) Explain(now time.Time, r Request) Explanation {
	it := s.newItem(r)
	q := s.queue(r.Row.Target)
	it.orderBy = it.startBy
	s.snapshot(now, r.Row.Target)
	out := Explanation{Projected: it.projection.Mean, Ahead: len(q.items)}
	out.Wait, _ = q.wait(q.ahead(it))
	for i := range s.candidates {
		c := &s.candidates[i]
		e := s.endpoints[c.Index]
		c.Fill = e.fill(&it.projection, r.Urgent(), s.room(e.extra(now)))
		c.Fits = s.fits(now, c, e, it)
		out.IDs = append(out.IDs, e.spec.ID)
	}
	out.Candidates = slices.Clone(s.candidates)
	req := routing.Request{Urgent: r.Urgent(), Avoid: routing.None}
	out.Reasons = s.cfg.Pipeline.Explain(&req, s.candidates)
	return out
}
