package scheduler

import (
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/lengths"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
	"github.com/bridgehoist/bridgehoist/pkg/routing"
)

// EndpointStatus is the scheduler's view of an endpoint, for operators.
type EndpointStatus struct {
	ID      string
	Leaving bool
	// Throttled is set if the endpoint's rate limit or pause permits no request of this entry now.
	Throttled bool
	Breaker   retry.BreakerState
	// Running and PeersRunning count the requests of this entry and of its peers.
	Running      int
	PeersRunning int
	// Projected is the memory that these requests are expected to hold, in tokens.
	Projected lengths.Profile
	// PrefillBacklog is the number of pending prefill tokens.
	PrefillBacklog float64
	// QueuedPromptTokens are the tokens of peers' prompts that wait in the endpoint's own queue: they
	// take no memory yet, so that reports, and Projected, don't contain them.
	QueuedPromptTokens int
	// UnattributedTokens is reported memory use that no entry accounts for.
	UnattributedTokens int
	// ReservedTokens and ReservedSlots are reserved for generations that are to be copied there.
	ReservedTokens int
	ReservedSlots  int
	// Slots is the number of requests that the endpoint runs at a time; zero if unknown.
	Slots int
	// DataCenterUnreachable is set if the endpoint's data centre could not be reached last.
	DataCenterUnreachable bool
	CapacityTokens        int
	// InterTokenLatency is a moving average; zero if unknown.
	InterTokenLatency time.Duration
	// ReportAge is zero if there is no report.
	ReportAge time.Duration
	// Preemptions counts preempted requests since the start of the incarnation.
	Preemptions int
}

// Status returns the view of all endpoints in the order of the fleet list.
func (s *Scheduler) Status(now time.Time) []EndpointStatus {
	statuses := make([]EndpointStatus, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		st := EndpointStatus{
			ID:                 e.spec.ID,
			Leaving:            e.leaving,
			Throttled:          !s.backpressure.Accepts(now, e.spec),
			Breaker:            e.breaker.State(now),
			Running:            e.ownRunning,
			PeersRunning:       e.peersRunning,
			PrefillBacklog:     s.prefillBacklog(now, e),
			QueuedPromptTokens: int(e.queuedPromptTokens(now)),
			Projected:          e.ownProjection.Mean.Add(e.peerLoad),
			UnattributedTokens: int(e.unattributedLoad(now)),
			ReservedTokens:     int(s.reservedTokens(now, e)),
			ReservedSlots:      len(e.reserved.entries),
			Slots:              e.spec.MaxRunning,
			CapacityTokens:     e.spec.CapacityTokens,
			InterTokenLatency:  time.Duration(e.interTokenLatency * float64(time.Second)),
			Preemptions:        e.report.Preemptions,
		}
		if b := s.dataCenterBreaker(e); b != nil {
			st.DataCenterUnreachable = b.Opened()
		}
		if !e.report.ReportedAt.IsZero() {
			st.ReportAge = now.Sub(e.report.ReportedAt)
		}
		statuses = append(statuses, st)
	}
	return statuses
}

// WaitingTargets returns the targets that have waiting requests, in no particular order.
func (s *Scheduler) WaitingTargets() []string {
	var names []string
	for name, q := range s.queues {
		if len(q.items) > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, q := range s.queues {
		n += len(q.items)
	}
	return n
}

// Explanation is how the scheduler would treat a request now.
type Explanation struct {
	// Projected is the memory that the request is expected to hold, in tokens.
	Projected lengths.Profile
	// QueueLength is the number of requests that wait for the same target.
	QueueLength int
	// ExpectedWait is zero if it is unknown.
	ExpectedWait time.Duration
	// Candidates, Evaluations and EndpointIDs have one element for each endpoint considered.
	Candidates  []routing.Candidate
	Evaluations []routing.Evaluation
	EndpointIDs []string
}

// Explain returns how a request would be scheduled now, without submitting it.
func (s *Scheduler) Explain(now time.Time, r Request) Explanation {
	it := s.newItem(r)
	q := s.queue(r.Row.Target)
	it.orderBy = it.latestStart
	s.setFairOrder(now, q, it)
	s.collectCandidates(now, r.Row.Target)
	explanation := Explanation{Projected: it.projection.Mean, QueueLength: len(q.items)}
	explanation.ExpectedWait, _ = q.expectedWait(q.costAhead(it))
	req := routing.Request{Urgent: r.Urgent(), ExcludedIndex: routing.None, Gaps: s.gapPreference(now, it)}
	s.evaluateCandidates(now, it, &req)
	for _, c := range s.candidates {
		explanation.EndpointIDs = append(explanation.EndpointIDs, s.endpoints[c.Index].spec.ID)
	}
	explanation.Candidates = slices.Clone(s.candidates)
	explanation.Evaluations = s.pipeline(it).Explain(&req, s.candidates)
	return explanation
}
