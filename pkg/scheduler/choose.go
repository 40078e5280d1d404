package scheduler

import (
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/routing"
)

// maxReportedCandidates bounds the engines of other data centres with a fresh report that
// a decision compares.
const maxReportedCandidates = 32

// collectCandidates sets the candidates for a target: its home endpoints and a sample of
// its other endpoints, which bounds the cost of a decision whatever the size of the fleet.
// Fields that depend on a request are set by evaluateCandidates.
func (s *Scheduler) collectCandidates(now time.Time, targetName string) {
	t := s.target(targetName)
	s.candidates = s.candidates[:0]
	s.candidateRound++
	s.addedSorts = s.addedSorts[:0]
	if s.servesByLatency(t) {
		s.collectServiceCandidates(now, targetName, t)
		return
	}
	meanLatency := s.meanInterTokenLatency(now)
	for _, e := range s.excludeIsolationEndpoints(now, targetName, t.homes) {
		s.addCandidate(now, e, meanLatency)
	}
	s.sampleCandidates(now, s.excludeIsolationEndpoints(now, targetName, t.local), s.cfg.LocalSampleSize, meanLatency)
	s.sampleCandidates(now, s.excludeIsolationEndpoints(now, targetName, t.remoteServices), s.cfg.RemoteSampleSize, meanLatency)
	if !s.cfg.PeerLoadFromReports {
		s.sampleCandidates(now, s.excludeIsolationEndpoints(now, targetName, s.remoteCandidates(now, t)), s.cfg.RemoteSampleSize, meanLatency)
		return
	}
	s.reportedRemotes = slices.DeleteFunc(s.reportedRemotes, func(e *endpoint) bool { return e.removed || !e.hasFreshReport(now) })
	for _, e := range s.reportedRemotes {
		if slices.Contains(e.spec.Targets, targetName) {
			s.addCandidate(now, e, meanLatency)
		}
	}
}

// sampleCandidates adds up to maxCount of the endpoints, evenly spaced from a random start.
func (s *Scheduler) sampleCandidates(now time.Time, endpoints []*endpoint, maxCount int, meanLatency float64) {
	if len(endpoints) == 0 {
		return
	}
	count := min(len(endpoints), maxCount)
	first := s.cfg.Rand.IntN(len(endpoints))
	stride := len(endpoints) / count
	for i := range count {
		s.addCandidate(now, endpoints[(first+i*stride)%len(endpoints)], meanLatency)
	}
}

// addCandidate adds an endpoint with the fields that don't depend on a request.
func (s *Scheduler) addCandidate(now time.Time, e *endpoint, meanLatency float64) {
	slowness := 1.0
	if e.interTokenLatency > 0 {
		slowness = e.interTokenLatency / meanLatency
	}
	e.candidateRound = s.candidateRound
	s.candidates = append(s.candidates, routing.Candidate{
		Index:          e.index,
		ServesTarget:   true,
		Leaving:        e.leaving,
		BreakerOpen:    !s.accepts(now, e),
		Local:          e.spec.DataCenter == s.cfg.DataCenter,
		Slowness:       slowness,
		PrefillBacklog: s.prefillBacklog(now, e),
	})
}

// fits reports whether a candidate has the capacity for a request. A candidate in another
// data centre needs more free capacity, because the view of its load is older. An idle local
// endpoint accepts any request; otherwise a request larger than the endpoint would never
// be dispatched.
func (s *Scheduler) fits(now time.Time, c *routing.Candidate, e *endpoint, it *item) bool {
	if s.pipeline(it).AllDataCenters {
		return c.Utilization <= 1 || e.empty()
	}
	if !c.Local && !s.cfg.PeerLoadFromReports {
		return c.Utilization <= maxSpilloverUtilization
	}
	if !c.Local {
		return e.hasFreshReport(now) && c.Utilization <= e.sharedUtilizationLimit(maxSpilloverUtilization)
	}
	if e.empty() {
		return true
	}
	if !s.cfg.PartitionMemory || e.spec.CapacityTokens == 0 {
		return c.Utilization <= 1
	}
	if e.homeEntries == 0 && s.cfg.PeerLoadFromReports {
		return c.Utilization <= e.sharedUtilizationLimit(s.cfg.MaxBorrowUtilization)
	}
	if c.Utilization <= s.cfg.MaxBorrowUtilization {
		return true
	}
	return c.Utilization <= maxPartitionUtilization && e.partitionUtilization(&it.projection, it.req.Urgent(), s.fitParams(0)) <= 1
}

func (s *Scheduler) fitParams(unattributed float64) fitParams {
	return fitParams{s.cfg.MarginStdDevs, s.cfg.UrgentReserve, unattributed}
}

// evaluateCandidates sets the fields of the candidates that depend on the request.
func (s *Scheduler) evaluateCandidates(now time.Time, it *item, r *routing.Request) {
	if s.usesServiceLatency(it) {
		s.evaluateServiceCandidates(now, it)
		return
	}
	s.addGapCandidates(now, it, r.Gaps)
	limits := s.precedenceLimits(now, it)
	sharedRate := s.learnsEngineSpeed() && !s.usesEngineSpeed(now, it.req.Row.Target)
	for i := range s.candidates {
		c := &s.candidates[i]
		e := s.endpoints[c.Index]
		c.ServesTarget = it.req.allowsEndpoint(e)
		params := s.fitParams(e.unattributedLoad(now) + s.reservedTokens(now, e) + s.queuedPeerTokens(now, e))
		params.urgentReserve = limits.memoryReserve
		c.Utilization = e.utilization(&it.projection, it.req.Urgent(), params)
		c.ExpectedStart = s.candidateStart(now, c, e, it)
		c.SharedRate = sharedRate
		c.Fits = s.fits(now, c, e, it) && s.startsInTime(now, c.ExpectedStart, it) && s.mayDispatch(now, limits, c.PrefillBacklog, e, it)
		s.evaluateGaps(now, it, r.Gaps, c, e)
	}
}

// candidateStart returns the expected time to first token at a candidate; zero if no decision depends
// on it.
func (s *Scheduler) candidateStart(now time.Time, c *routing.Candidate, e *endpoint, it *item) time.Duration {
	if it.req.PromptTokens == 0 || !s.usesEngineSpeed(now, it.req.Row.Target) && !s.mustStartInTime(it) {
		return 0
	}
	return s.expectedTTFT(now, e, c.PrefillBacklog, it)
}

// pipeline returns the pipeline for engines, or for plain services if there is no prompt.
func (s *Scheduler) pipeline(it *item) *routing.Pipeline {
	if it.req.PromptTokens > 0 {
		return &s.cfg.Pipeline
	}
	if s.usesServiceLatency(it) {
		return &latencyPipeline
	}
	return &s.cfg.ServicePipeline
}

// chooseEndpoint returns the endpoint for a request, or nil if it has to wait.
func (s *Scheduler) chooseEndpoint(now time.Time, it *item) *endpoint {
	if s.isIsolated(it) {
		return s.isolationEndpoint(now, it)
	}
	// The routing request is a field because a local variable would escape to the heap.
	r := &s.routingRequest
	*r = routing.Request{Urgent: it.req.Urgent(), ExcludedIndex: routing.None, Gaps: s.gapPreference(now, it)}
	s.evaluateCandidates(now, it, r)
	if e := s.byID[it.req.Avoid]; e != nil && len(s.candidates) > 1 {
		r.ExcludedIndex = e.index
	}
	i := s.pipeline(it).Choose(s.cfg.Rand, r, s.candidates)
	if i != routing.None {
		s.countPlacement(r, i)
		return s.endpoints[i]
	}
	if r.Urgent && s.cfg.UrgentOvercommit && !s.usesServiceLatency(it) {
		e := s.overcommitEndpoint(now, r, it)
		if e != nil && s.worthWaiting(now, it, e) {
			return nil
		}
		return e
	}
	return nil
}

// overcommitEndpoint returns the endpoint with a free slot for an urgent request that fits
// nowhere, or nil: the least utilized one, local ones first, or the one with the smallest
// prefill backlog, in seconds if the speed of engines is known, where engines prefill in order of
// arrival.
func (s *Scheduler) overcommitEndpoint(now time.Time, r *routing.Request, it *item) *endpoint {
	var best *routing.Candidate
	for i := range s.candidates {
		c := &s.candidates[i]
		e := s.endpoints[c.Index]
		if !(routing.Available{}).Keep(r, c) || c.Index == r.ExcludedIndex || e.slotUtilization() > 1 {
			continue
		}
		if best == nil || s.betterForOvercommit(now, c, best, it) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	s.countPlacement(r, best.Index)
	return s.endpoints[best.Index]
}

// betterForOvercommit reports whether candidate c is preferred to other for an urgent
// request that fits nowhere.
func (s *Scheduler) betterForOvercommit(now time.Time, c, other *routing.Candidate, it *item) bool {
	switch {
	case s.exceedsReserved(c) != s.exceedsReserved(other):
		return s.exceedsReserved(other)
	case s.reservesByDemand(it.req.Row.Target) && s.cfg.FIFOPrefill:
		return s.expectedStart(now, s.endpoints[c.Index], c.PrefillBacklog, it) <
			s.expectedStart(now, s.endpoints[other.Index], other.PrefillBacklog, it)
	case s.cfg.FIFOPrefill && s.usesEngineSpeed(now, it.req.Row.Target):
		return c.ExpectedStart < other.ExpectedStart
	case s.cfg.FIFOPrefill:
		return c.PrefillBacklog < other.PrefillBacklog
	case c.Local != other.Local:
		return c.Local
	default:
		return c.Utilization < other.Utilization
	}
}
