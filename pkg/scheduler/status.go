package scheduler

import (
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/lengths"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
	"github.com/bridgehoist/bridgehoist/pkg/routing"
)

// EndpointStatus is what the scheduler believes of an endpoint, for operators.
type EndpointStatus struct {
	ID      string
	Leaving bool
	// Withheld says that it has said it takes nothing more from this entry at present.
	Withheld     bool
	Breaker      retry.BreakerState
	Running      int
	PeersRunning int
	Projected    lengths.Profile
	// Backlog counts the prompt tokens that it has still to read.
	Backlog float64
	// Unexplained is load that a report showed and nobody claims.
	Unexplained int
	Capacity    int
	Gap         time.Duration
	ReportAge   time.Duration
	Preemptions int
}

// Status lists the endpoints as they are believed to be.
func (s *Scheduler) Status(now time.Time) []EndpointStatus {
	out := make([]EndpointStatus, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		st := EndpointStatus{
			ID:           e.spec.ID,
			Leaving:      e.leaving,
			Withheld:     !s.pressure.Accepts(now, e.spec),
			Breaker:      e.breaker.State(now),
			Running:      e.ownRunning,
			PeersRunning: e.peersRunning,
			Backlog:      s.backlog(now, e),
			Projected:    e.own.Mean.Add(e.peers),
			Unexplained:  int(e.extra(now)),
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
	s.measure(now, it)
	for _, c := range s.candidates {
		out.IDs = append(out.IDs, s.endpoints[c.Index].spec.ID)
	}
	out.Candidates = slices.Clone(s.candidates)
	req := routing.Request{Urgent: r.Urgent(), Avoid: routing.None}
	out.Reasons = s.pipeline(it).Explain(&req, s.candidates)
	return out
}
