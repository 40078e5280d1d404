package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/backpressure"
	"github.com/bridgehoist/bridgehoist/pkg/enginespeed"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/lengths"
	"github.com/bridgehoist/bridgehoist/pkg/limits"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
	"github.com/bridgehoist/bridgehoist/pkg/routing"
)

// Scheduler is the Policy that entries use. Baseline is the simpler one for comparison.
type Scheduler struct {
	cfg       Config
	endpoints []*endpoint
	byID      map[string]*endpoint
	estimator *lengths.Estimator
	queues    map[string]*queue
	running   map[ID]*item
	inFlight  *limits.Counter
	queued    *limits.Counter
	// peerLoads are the loads published by each peer, by the peer's VM.
	peerLoads map[string][]InFlightLoad
	// leaving holds the IDs of endpoints whose current instance is leaving.
	leaving map[string]bool
	// homeEntries is the number of home entries of each endpoint that has this entry as one of
	// them, by endpoint ID.
	homeEntries map[string]int
	// targets caches the endpoints of each target.
	targets map[string]*target
	// dataCenterBreakers holds a circuit breaker for each other data centre, by its name.
	dataCenterBreakers map[string]*retry.Breaker
	// reportedRemotes are engines of other data centres that have sent a report. The stale
	// ones are removed before each decision that uses them.
	reportedRemotes []*endpoint
	// knownRemotes are the engines of other data centres whose load is known. It is a buffer
	// that is filled anew for each decision.
	knownRemotes []*endpoint
	// meanRunTimes is the mean run time of requests by kind, and runTimes how much they differ; see run_time.go.
	meanRunTimes map[string]time.Duration
	runTimes     map[string]runTimes
	// speedEstimates estimates the speed of engines; nil if it is not estimated for each engine.
	// It is speeds, except in tests.
	speedEstimates speedEstimator
	// placements counts requests by how they were placed.
	placements Placements
	// gapObjectives are the objectives between events of this entry's rows, by target.
	gapObjectives map[string]*gapObjectives
	// isolated are the requests that each run at an endpoint of their own, to find out which
	// of them crash engines.
	isolated []quarantine.IsolatedRequest
	// entryRank is the rank of this entry in the sorted list of entries, from zero, and
	// entryCount the number of entries.
	entryRank, entryCount int
	// backpressure holds the rate limits and pauses that endpoints have requested.
	backpressure *backpressure.Set
	// reservationCounts counts what became of reservations of memory.
	reservationCounts ReservationCounts
	// speeds holds the speeds of engines; nil if they aren't learned.
	speeds *enginespeed.Model
	// levelStats are the counts for LevelStats.
	levelStats map[level]*LevelStats
	// saturatedAt is when a request was last refused or had to wait because engines were full.
	saturatedAt time.Time
	// cachedInterTokenLatency is the mean inter-token latency over the endpoints in seconds, as of
	// cachedInterTokenLatencyAt.
	cachedInterTokenLatency   float64
	cachedInterTokenLatencyAt time.Time
	// coldUntil is when the last cold endpoint stops being cold.
	coldUntil time.Time
	// cachedCapacity is the throttledCapacity of unrestricted requests for a target, as of
	// throttledCapacityAt. It makes a decision with 1,000 waiting requests affordable.
	cachedCapacity       backpressure.Capacity
	cachedCapacityTarget string
	throttledCapacityAt  time.Time
	// stopAt is when the entry ends the requests that it still has; zero unless it is stopping.
	stopAt time.Time
	// freeItems are kept for reuse.
	freeItems []*item

	// The remaining fields are buffers that are reused to avoid allocations.
	routingRequest routing.Request
	candidates     []routing.Candidate
	// candidateRound numbers the collections of candidates, and addedSorts are the sorts of
	// engines that have been added to the present one.
	candidateRound   uint64
	addedSorts       []addedSort
	prefillBounds    []prefillBound
	serviceEstimates []serviceEstimate
	// estimatedFor is the request that serviceEstimates are for.
	estimatedFor      ID
	actions           Actions
	displacedRefusals []Refusal
}

var _ Policy = (*Scheduler)(nil)

// New returns a scheduler without endpoints.
func New(cfg Config) *Scheduler {
	cfg = cfg.withDefaults()
	s := &Scheduler{
		cfg:                cfg,
		byID:               map[string]*endpoint{},
		homeEntries:        map[string]int{},
		targets:            map[string]*target{},
		dataCenterBreakers: map[string]*retry.Breaker{},
		meanRunTimes:       map[string]time.Duration{},
		runTimes:           map[string]runTimes{},
		gapObjectives:      map[string]*gapObjectives{},
		estimator:          lengths.New(cfg.PriorHazard),
		queues:             map[string]*queue{},
		running:            map[ID]*item{},
		inFlight:           limits.New(),
		queued:             limits.New(),
		peerLoads:          map[string][]InFlightLoad{},
		leaving:            map[string]bool{},
		backpressure:       backpressure.New(),
		speeds:             newSpeeds(cfg),
		levelStats:         map[level]*LevelStats{},
	}
	if s.speeds != nil {
		s.speedEstimates = s.speeds
	}
	return s
}

// InFlight returns the counter that enforces the table's max_in_flight, to be exchanged with
// peers.
func (s *Scheduler) InFlight() *limits.Counter { return s.inFlight }

// Queued returns the counter that enforces the table's max_queued, to be exchanged with peers.
func (s *Scheduler) Queued() *limits.Counter { return s.queued }

// Backpressure returns the rate limits and pauses that endpoints have requested, to be
// exchanged with peers.
func (s *Scheduler) Backpressure() *backpressure.Set { return s.backpressure }

// SetEndpoints implements Policy.
func (s *Scheduler) SetEndpoints(now time.Time, endpoints []fleet.Endpoint) {
	old := s.byID
	s.byID = make(map[string]*endpoint, len(endpoints))
	s.endpoints = s.endpoints[:0:0]
	for i, spec := range endpoints {
		e := old[spec.ID]
		oldSpec := fleet.Endpoint{}
		if e != nil {
			oldSpec = e.spec
		}
		if e == nil || e.spec.Incarnation != spec.Incarnation {
			// A new instance holds no work, so it inherits no state, not even that the previous
			// one was leaving. Requests of the previous instance keep the old *endpoint and end
			// with it.
			e = &endpoint{}
			delete(s.leaving, spec.ID)
		}
		e.spec = spec
		e.index = i
		e.updateWarmUp(now, oldSpec)
		s.noteCold(e)
		e.leaving = s.leaving[spec.ID] || spec.Closed
		e.homeEntries = s.homeEntries[spec.ID]
		s.byID[spec.ID] = e
		s.endpoints = append(s.endpoints, e)
	}
	for id, e := range old {
		if s.byID[id] != e {
			e.removed = true
		}
	}
	s.keepSpeeds()
	s.backpressure.UpdateListed(now, func(instance fleet.Instance) bool { return s.endpointOf(instance) != nil })
	clear(s.targets)
	s.recomputePeerLoads()
}

// endpointOf returns the endpoint of an instance, or nil if the list has no such endpoint or
// another incarnation of it.
func (s *Scheduler) endpointOf(instance fleet.Instance) *endpoint {
	e := s.byID[instance.Endpoint]
	if e == nil || e.spec.Incarnation != instance.Incarnation {
		return nil
	}
	return e
}

// SetLeaving implements Policy.
func (s *Scheduler) SetLeaving(id string, leaving bool) {
	if leaving {
		s.leaving[id] = true
	} else {
		delete(s.leaving, id)
	}
	e := s.byID[id]
	if e == nil {
		return
	}
	leaving = leaving || e.spec.Closed
	if e.leaving != leaving {
		e.leaving = leaving
		s.resetIsolation()
	}
}

// SetSampleSizes sets how many endpoints of the own and of other data centres a decision
// compares, unless sampling is disabled. The samples must be small, since entries that compare
// many endpoints with the same stale load data all choose the same endpoint.
func (s *Scheduler) SetSampleSizes(local, remote int) {
	if s.cfg.DisableSampling {
		return
	}
	s.cfg.LocalSampleSize = max(local, 1)
	s.cfg.RemoteSampleSize = max(remote, 1)
}

// SetHomeEntries sets how many home entries an endpoint has if this entry is one of them; zero
// means that it isn't. Home entries split the endpoint's memory into equal partitions. Within its
// partition an entry doesn't depend on the load of its peers, so that stale peer state can't make
// all of them send at once. Beyond its partition, and at other endpoints, it sends only while the
// projected utilization is at most Config.MaxBorrowUtilization.
func (s *Scheduler) SetHomeEntries(id string, entries int) {
	if entries == 0 {
		delete(s.homeEntries, id)
	} else {
		s.homeEntries[id] = entries
	}
	if e := s.byID[id]; e != nil && e.homeEntries != entries {
		e.homeEntries = entries
		clear(s.targets)
	}
}

func (s *Scheduler) queue(target string) *queue {
	q := s.queues[target]
	if q == nil {
		q = &queue{meanLogValuePerCost: math.NaN()}
		s.queues[target] = q
	}
	return q
}

func limitKey(r *Request) limits.Key { return limits.Key{Workspace: r.Workspace, Kind: r.Kind} }

func lengthKey(r *Request) lengths.Key { return lengths.Key{Workspace: r.Workspace, Kind: r.Kind} }

// Progress implements Policy.
func (s *Scheduler) Progress(now time.Time, id ID, generated int) {
	it := s.running[id]
	if it == nil || generated <= it.generated {
		return
	}
	if !it.lastTokenAt.IsZero() {
		it.endpoint.observeInterTokenLatency(now.Sub(it.lastTokenAt) / time.Duration(generated-it.generated))
	}
	if it.generated == 0 {
		s.recordAnswer(now, it.endpoint)
		s.learnFromFirstToken(now, it)
		s.recordStart(now, it)
		it.endPrefill()
	}
	s.observeEventGap(now, it, generated-it.generated)
	it.lastTokenAt = now
	reproject := generated/reprojectTokens != it.generated/reprojectTokens
	it.generated = generated
	if it.lengthTracker.Advance(generated) || reproject {
		it.endpoint.addProjection(it, -1)
		it.projection = it.lengthTracker.Project(it.req.PromptTokens, generated).Bound(generated, it.req.MaxTokens)
		it.endpoint.addProjection(it, 1)
	}
}

// Move implements Policy.
func (s *Scheduler) Move(id ID, instance fleet.Instance) {
	it, dest := s.running[id], s.endpointOf(instance)
	if it == nil || dest == nil || it.endpoint == dest {
		return
	}
	it.endPrefill()
	it.endpoint.addProjection(it, -1)
	it.endpoint.ownRunning--
	it.endpoint = dest
	it.lastTokenAt = time.Time{}
	it.moved = true
	dest.addProjection(it, 1)
	dest.ownRunning++
}

// Finish implements Policy.
func (s *Scheduler) Finish(now time.Time, id ID, res Result) {
	it := s.running[id]
	if it == nil {
		return
	}
	delete(s.running, id)
	s.inFlight.Release(limitKey(&it.req))
	it.endPrefill()
	e := it.endpoint
	e.addProjection(it, -1)
	e.ownRunning--
	if e.ownRunning == 0 {
		e.ownProjection = lengths.Projection{}
	}
	if res.Complete && it.req.PromptTokens > 0 && !s.cfg.DisableLengthLearning {
		it.lengthTracker.End(res.Generated)
	}
	if res.Complete && it.generated == 0 {
		s.recordStart(now, it)
	}
	if res.Complete {
		s.learnRunTime(now, it)
		s.learnResidence(now, it, res.Generated)
	}
	s.recordServiceResult(now, it, res)
	s.recordResult(now, e, res)
	s.freeItem(it)
}

// Report implements Policy.
func (s *Scheduler) Report(_ time.Time, r Report) {
	e := s.endpointOf(r.Instance())
	if e == nil {
		return
	}
	s.endReportedReservations(e, r)
	if s.cfg.PeerLoadFromReportsAndNotices {
		e.observeReportWithNotices(r)
		return
	}
	if !s.cfg.PeerLoadFromReports {
		e.observeReport(r)
		return
	}
	e.observeReportAsPeerLoad(r)
	if e.spec.DataCenter != s.cfg.DataCenter && len(s.reportedRemotes) < maxReportedCandidates && !slices.Contains(s.reportedRemotes, e) {
		s.reportedRemotes = append(s.reportedRemotes, e)
	}
}

// PromptSent records that a peer has sent a prompt of a length in tokens to an engine; see
// pending_prompts.go. Without a prefill rate the estimated prefill backlog doesn't change.
func (s *Scheduler) PromptSent(now time.Time, endpoint string, tokens int) {
	if e := s.byID[endpoint]; e != nil {
		e.recordPromptSent(now, tokens, s.currentPrefillRate(now, e))
		s.countPromptTokens(now, e, tokens)
		if s.cfg.PeerLoadFromReportsAndNotices {
			e.recordPeerPrompt(now, tokens)
		}
		if s.cfg.PrefillFromNotices {
			e.peerPendingPrefill.add(now, tokens)
		}
	}
}

// PromptPrefilled records that an engine has processed a prompt that a peer had sent.
func (s *Scheduler) PromptPrefilled(now time.Time, endpoint string, tokens int) {
	if e := s.byID[endpoint]; e != nil {
		e.peerPendingPrefill.remove(now, tokens)
	}
}

// SetPeerLoads implements Policy.
func (s *Scheduler) SetPeerLoads(_ time.Time, vm string, loads []InFlightLoad) {
	if s.cfg.PeerLoadFromReports {
		return
	}
	for _, load := range s.peerLoads[vm] {
		if e := s.byID[load.Endpoint]; e != nil {
			e.peerLoad = e.peerLoad.Sub(load.Projected)
			e.peersRunning -= load.Running
		}
	}
	if loads == nil {
		delete(s.peerLoads, vm)
		return
	}
	s.peerLoads[vm] = loads
	s.addPeerLoads(loads)
}

func (s *Scheduler) addPeerLoads(loads []InFlightLoad) {
	for _, load := range loads {
		if e := s.byID[load.Endpoint]; e != nil {
			e.peerLoad = e.peerLoad.Add(load.Projected)
			e.peersRunning += load.Running
		}
	}
}

// recomputePeerLoads sums the loads published by peers for a new list of endpoints. Peer load
// that is derived from reports is left as it is.
func (s *Scheduler) recomputePeerLoads() {
	if s.cfg.PeerLoadFromReports || s.cfg.PeerLoadFromReportsAndNotices {
		return
	}
	for _, e := range s.endpoints {
		e.peerLoad = lengths.Profile{}
		e.peersRunning = 0
	}
	for _, loads := range s.peerLoads {
		s.addPeerLoads(loads)
	}
}

// InFlightLoads implements Policy.
func (s *Scheduler) InFlightLoads() []InFlightLoad {
	var loads []InFlightLoad
	for _, e := range s.endpoints {
		if e.ownRunning > 0 {
			loads = append(loads, InFlightLoad{e.spec.ID, e.ownRunning, e.ownProjection.Mean})
		}
	}
	return loads
}
