package scheduler

import (
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// Baseline dispatches every request at once, round robin or to the endpoint with the fewest
// requests in flight, and leaves queueing to the engines. Experiments compare Scheduler
// against it.
type Baseline struct {
	// LeastInFlight chooses the endpoint with the fewest requests of this entry in
	// flight, instead of round robin.
	LeastInFlight bool

	endpoints []fleet.Endpoint
	leaving   map[string]bool
	inFlight  map[string]int
	running   map[ID]string
	waiting   []Request
	nextIndex int
}

var _ Policy = (*Baseline)(nil)

// NewRoundRobin returns a round-robin baseline.
func NewRoundRobin() *Baseline { return newBaseline(false) }

// NewLeastInFlight returns a baseline that chooses the endpoint with the fewest requests of
// this entry in flight.
func NewLeastInFlight() *Baseline { return newBaseline(true) }

func newBaseline(leastInFlight bool) *Baseline {
	return &Baseline{
		LeastInFlight: leastInFlight,
		leaving:       map[string]bool{},
		inFlight:      map[string]int{},
		running:       map[ID]string{},
	}
}

// SetEndpoints implements Policy.
func (b *Baseline) SetEndpoints(_ time.Time, endpoints []fleet.Endpoint) { b.endpoints = endpoints }

// SetLeaving implements Policy.
func (b *Baseline) SetLeaving(endpoint string, leaving bool) { b.leaving[endpoint] = leaving }

// Submit implements Policy.
func (b *Baseline) Submit(_ time.Time, r Request) *outcome.Error {
	b.waiting = append(b.waiting, r)
	return nil
}

// Cancel implements Policy.
func (b *Baseline) Cancel(_ time.Time, id ID) bool {
	for i, r := range b.waiting {
		if r.ID == id {
			b.waiting = slices.Delete(b.waiting, i, i+1)
			return true
		}
	}
	return false
}

// Next implements Policy.
func (b *Baseline) Next(time.Time) Actions {
	var actions Actions
	for _, r := range b.waiting {
		e, ok := b.pick(&r)
		if !ok {
			err := outcome.NotRunf(outcome.CodeNoEndpoint, "no endpoint answers for %q", r.Row.Target)
			actions.Refusals = append(actions.Refusals, Refusal{r.ID, err.WithRetryAfter(time.Second)})
			continue
		}
		b.inFlight[e.ID]++
		b.running[r.ID] = e.ID
		actions.Dispatches = append(actions.Dispatches, Dispatch{ID: r.ID, Endpoint: e})
	}
	b.waiting = b.waiting[:0]
	return actions
}

// pick returns the endpoint for a request, or false if no endpoint may serve it.
func (b *Baseline) pick(r *Request) (fleet.Endpoint, bool) {
	var best fleet.Endpoint
	found := false
	n := len(b.endpoints)
	for i := range n {
		e := b.endpoints[(b.nextIndex+i)%n]
		if b.leaving[e.ID] || !slices.Contains(e.Targets, r.Row.Target) || e.ID == r.Avoid {
			continue
		}
		if !found || b.LeastInFlight && b.inFlight[e.ID] < b.inFlight[best.ID] {
			best = e
			found = true
		}
		if !b.LeastInFlight {
			b.nextIndex = (b.nextIndex + i + 1) % n
			return best, true
		}
	}
	if n > 0 {
		b.nextIndex = (b.nextIndex + 1) % n
	}
	return best, found
}

// Progress implements Policy.
func (b *Baseline) Progress(time.Time, ID, int) {}

// Move implements Policy.
func (b *Baseline) Move(id ID, to fleet.Instance) {
	if from, ok := b.running[id]; ok {
		b.inFlight[from]--
		b.inFlight[to.Endpoint]++
		b.running[id] = to.Endpoint
	}
}

// Finish implements Policy.
func (b *Baseline) Finish(_ time.Time, id ID, _ Result) {
	b.inFlight[b.running[id]]--
	delete(b.running, id)
}

// Report implements Policy.
func (b *Baseline) Report(time.Time, Report) {}

// SetPeerLoads implements Policy.
func (b *Baseline) SetPeerLoads(time.Time, string, []InFlightLoad) {}

// InFlightLoads implements Policy.
func (b *Baseline) InFlightLoads() []InFlightLoad { return nil }
