package scheduler

import (
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/routing"
)

// This file chooses among the endpoints of a plain service by the expected completion of a request;
// service_latency.go estimates the latencies.

const (
	// localServiceSample and remoteServiceSample are how many endpoints of the own and of other data
	// centres one decision compares, which bounds its cost. They are those of an engine decision in a
	// small fleet. Plain services have 4 to 7 endpoints in all, so most of them are compared.
	localServiceSample  = 4
	remoteServiceSample = 4
	// slotOvercommit is how many times its equal share of the slots of an endpoint an entry may use,
	// since requests are not spread evenly among entries.
	slotOvercommit = 2
	// minOwnSlots is the least number of requests of one entry that may be in flight at an endpoint.
	// With one, a second request that arrives at the same time would wait although slots are free.
	minOwnSlots = 2
)

// latencyPipeline chooses among the endpoints of plain services.
var latencyPipeline = routing.LeastCompletionTime()

// serviceEstimate is the estimate for one candidate and kind of request.
type serviceEstimate struct {
	kind     *kindLatency
	ordinary ordinarySummary
	// prior is the latency in seconds that is expected without regard to the endpoint's own answers.
	prior float64
	// latency is the expected latency in seconds.
	latency float64
}

// servesByLatency reports whether the endpoints of a target are chosen by their latency: those of a
// target that has only plain services.
func (s *Scheduler) servesByLatency(t *target) bool { return s.cfg.ServiceLatency && t.servicesOnly }

// usesServiceLatency reports whether the endpoint of a request is chosen by latency.
func (s *Scheduler) usesServiceLatency(it *item) bool {
	return s.cfg.ServiceLatency && it.req.PromptTokens == 0 && s.target(it.req.Row.Target).servicesOnly
}

// collectServiceCandidates sets the candidates for a target that has only plain services.
func (s *Scheduler) collectServiceCandidates(now time.Time, name string, t *target) {
	local := t.local
	if len(t.homes) > 0 {
		local = slices.Concat(t.homes, t.local)
	}
	s.sampleCandidates(now, s.excludeIsolationEndpoints(now, name, local), localServiceSample, defaultInterTokenLatency.Seconds())
	s.sampleCandidates(now, s.excludeIsolationEndpoints(now, name, t.remoteServices), remoteServiceSample, defaultInterTokenLatency.Seconds())
}

// evaluateServiceCandidates sets the fields of the candidates that depend on a request for a plain
// service.
func (s *Scheduler) evaluateServiceCandidates(now time.Time, it *item) {
	s.estimateLatencies(now, it)
	for i := range s.candidates {
		c := &s.candidates[i]
		e := s.endpoints[c.Index]
		c.ServesTarget = it.req.allowsEndpoint(e)
		c.Utilization = float64(e.ownRunning+1) / float64(s.ownSlots(e))
		c.Fits = c.Utilization <= 1
		// The measured latency includes the usual queue. The own requests in flight beyond that count
		// as a fraction of what this entry may have there.
		load := float64(e.service.inFlight(now)) / float64(s.ownSlots(e))
		c.CompletionTime = max(s.serviceEstimates[i].latency, minServiceLatency.Seconds()) * (1 + load)
	}
}

// ownSlots returns how many requests of this entry may be in flight at a plain endpoint. Further
// ones wait at the entry for the first endpoint that answers. An equal share of six slots would be
// less than one for 72 or 340 entries, most of which have no request in flight at a time.
func (s *Scheduler) ownSlots(e *endpoint) int {
	entries := max(s.entryCount, 1)
	share := (slotOvercommit*e.spec.MaxRunning + entries - 1) / entries
	return max(min(max(share, minOwnSlots), e.spec.MaxRunning), 1)
}

// estimateLatencies sets serviceEstimates, which correspond to the candidates, for a request.
func (s *Scheduler) estimateLatencies(now time.Time, it *item) {
	s.estimatedFor = it.req.ID
	s.serviceEstimates = s.serviceEstimates[:0]
	for i := range s.candidates {
		k := s.endpoints[s.candidates[i].Index].service.kinds[it.req.Kind]
		s.serviceEstimates = append(s.serviceEstimates, serviceEstimate{kind: k, ordinary: k.summarize(now)})
	}
	for i := range s.candidates {
		est := &s.serviceEstimates[i]
		e := s.endpoints[s.candidates[i].Index]
		est.prior = s.priorLatency(i)
		weight := est.ordinary.weight(now)
		ordinary := (est.ordinary.median*weight + est.prior*estimateWeight) / (weight + estimateWeight)
		est.latency = est.kind.refine(now, ordinary) + e.service.overdue(now)
	}
	s.assumeUnknownAsFastest(now)
}

// assumeUnknownAsFastest lowers the latency of candidates without answers to that of the fastest one of
// their data centre. While that one is faster than its own median, they would get no requests
// otherwise, however long that lasts, and so never show their latency. One request at a time suffices
// for that, so that an endpoint that hangs gets no more.
func (s *Scheduler) assumeUnknownAsFastest(now time.Time) {
	for i := range s.candidates {
		service := &s.endpoints[s.candidates[i].Index].service
		if s.serviceEstimates[i].ordinary.count > 0 || service.inFlight(now) > 0 || service.overdue(now) > 0 {
			continue
		}
		for j := range s.candidates {
			known := s.serviceEstimates[j].ordinary.count > 0
			if known && s.endpoints[s.candidates[j].Index].spec.DataCenter == s.endpoints[s.candidates[i].Index].spec.DataCenter {
				s.serviceEstimates[i].latency = min(s.serviceEstimates[i].latency, s.serviceEstimates[j].latency)
			}
		}
	}
}

// priorLatency returns the prior of a candidate, given those of the candidates before it: the median
// of the endpoints of its data centre or, if none there has answered, that of all endpoints without
// what queues and slowdowns add, and with the assumed time of the link.
func (s *Scheduler) priorLatency(candidate int) float64 {
	dataCenter := s.endpoints[s.candidates[candidate].Index].spec.DataCenter
	for i := range candidate {
		if s.endpoints[s.candidates[i].Index].spec.DataCenter == dataCenter {
			return s.serviceEstimates[i].prior
		}
	}
	var buffer [localServiceSample + remoteServiceSample]float64
	values := buffer[:0]
	for i := range s.candidates {
		if est := &s.serviceEstimates[i]; est.ordinary.count > 0 && s.endpoints[s.candidates[i].Index].spec.DataCenter == dataCenter {
			values = append(values, est.ordinary.median)
		}
	}
	if len(values) > 0 {
		return median(values)
	}
	for i := range s.serviceEstimates {
		if est := &s.serviceEstimates[i]; est.ordinary.count > 0 {
			values = append(values, est.ordinary.low)
		}
	}
	prior := unknownServiceLatency.Seconds()
	if len(values) > 0 {
		prior = median(values)
	}
	if dataCenter != s.cfg.DataCenter {
		prior += unknownLinkLatency.Seconds()
	}
	return prior
}

// median sorts values, of which there is at least one, and returns the lower median.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
