package scheduler

import (
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// Baseline sends every request on at once and lets the engines queue. It is
// kept to measure Scheduler against: round robin, or fewest in flight.
type Baseline struct {
	// LeastInFlight chooses the endpoint with the fewest own requests.
	LeastInFlight bool

	endpoints []fleet.Endpoint
	leaving   map[string]bool
	inFlight  map[string]int
	running   map[ID]string
	waiting   []Request
	turn      int
}

var _ Policy = (*Baseline)(nil)

// NewRoundRobin makes the baseline that takes endpoints in turn.
func NewRoundRobin() *Baseline { return newBaseline(false) }

// NewLeastInFlight makes the baseline that takes the endpoint with the fewest
// requests of this entry.
func NewLeastInFlight() *Baseline { return newBaseline(true) }

func newBaseline(least bool) *Baseline {
	return &Baseline{
		LeastInFlight: least,
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
	var out Actions
	for _, r := range b.waiting {
		e, ok := b.pick(&r)
		if !ok {
			err := outcome.NotRunf(outcome.CodeNoEndpoint, "no endpoint answers for %q", r.Row.Target)
			out.Refusals = append(out.Refusals, Refusal{r.ID, err.After(time.Second)})
			continue
		}
		b.inFlight[e.ID]++
		b.running[r.ID] = e.ID
		out.Dispatches = append(out.Dispatches, Dispatch{r.ID, e})
	}
	b.waiting = b.waiting[:0]
	return out
}

func (b *Baseline) pick(r *Request) (fleet.Endpoint, bool) {
	var best fleet.Endpoint
	found := false
	n := len(b.endpoints)
	for i := range n {
		e := b.endpoints[(b.turn+i)%n]
		if b.leaving[e.ID] || !slices.Contains(e.Targets, r.Row.Target) || e.ID == r.Avoid {
			continue
		}
		if !found || b.LeastInFlight && b.inFlight[e.ID] < b.inFlight[best.ID] {
			best = e
			found = true
		}
		if !b.LeastInFlight {
			b.turn = (b.turn + i + 1) % n
			return best, true
		}
	}
	if n > 0 {
		b.turn = (b.turn + 1) % n
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

// SetShares implements Policy.
func (b *Baseline) SetShares(time.Time, string, []Share) {}

// Shares implements Policy.
func (b *Baseline) Shares() []Share { return nil }
