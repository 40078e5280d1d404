// Package routing chooses an endpoint for a request.
//
// A choice is made in three steps over a snapshot: filters drop candidates
// that must not or can't take the request, scorers rate the rest, a picker
// takes one. Each part is small and pure, and Choose allocates nothing. What
// the candidates look like is the business of package scheduler.
package routing

import (
	"math"
	"math/rand/v2"
)

// Request is what routing needs to know of a request.
type Request struct {
	// Urgent requests may use the room reserved for them.
	Urgent bool
	// Avoid is the index of an endpoint that failed the request, or -1.
	ExcludedIndex int
}

// Candidate is one endpoint as an entry believes it to be.
type Candidate struct {
	// Index identifies the endpoint to the caller.
	Index int
	// Serves says that the endpoint answers for the request's target.
	ServesTarget bool
	// Leaving says that it takes no new work.
	Leaving bool
	// Broken says that its circuit breaker is open.
	BreakerOpen bool
	// Local says that it is in the entry's own data centre.
	Local bool
	// Fits says that its projected memory and its running requests leave room.
	Fits bool
	// Fill is the projected use of its memory or its places, 0 to 1 or above.
	Utilization float64
	// Slowness is its time between tokens in relation to the others; 1 is usual.
	Slowness float64
	// Backlog counts the prompt tokens that it has still to read before it can
	// begin with another request.
	PrefillBacklog float64
}

// Filter drops candidates.
type Filter interface {
	// Keep reports whether the candidate may take the request.
	Keep(r *Request, c *Candidate) bool
}

// Scorer rates candidates; higher is better, about 0 to 1.
type Scorer interface {
	// Score rates one candidate.
	Score(r *Request, c *Candidate) float64
}

// Weighted is a scorer with its weight.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Usable keeps candidates that serve the target, stay, and work.
type Available struct{}

// Keep implements Filter.
func (Available) Keep(_ *Request, c *Candidate) bool {
	return c.ServesTarget && !c.Leaving && !c.BreakerOpen
}

// Fitting keeps candidates with room.
type FitsCapacity struct{}

// Keep implements Filter.
func (FitsCapacity) Keep(_ *Request, c *Candidate) bool { return c.Fits }

// Headroom prefers candidates with room.
type Headroom struct{}

// Score implements Scorer.
func (Headroom) Score(_ *Request, c *Candidate) float64 { return 1 - min(c.Utilization, 1.5) }

// Speed prefers candidates that are no slower than the others.
type TokenLatency struct{}

// Score implements Scorer.
func (TokenLatency) Score(_ *Request, c *Candidate) float64 {
	return 1 / max(c.Slowness, 1)
}

// Near prefers candidates of the entry's own data centre.
type Locality struct{}

// Score implements Scorer.
func (Locality) Score(_ *Request, c *Candidate) float64 {
	if c.Local {
		return 1
	}
	return 0
}

// Prompt prefers candidates that can begin soon.
type PrefillBacklog struct {
	// Tokens of backlog that cost one; more cost more, so that in a burst, when all
	// engines have more, the shortest backlog still counts.
	ScaleTokens float64
}

// Score implements Scorer.
func (p PrefillBacklog) Score(_ *Request, c *Candidate) float64 {
	return 1 - c.PrefillBacklog/p.ScaleTokens
}

// Pipeline is a set of filters and scorers in their order.
type Pipeline struct {
	Filters []Filter
	Scorers []WeightedScorer
	// Anywhere rates all candidates together. Without it, those of other data
	// centres are looked at only if no local one is kept.
	AllDataCenters bool
	// Jitter is the size of the random number added to each score. It keeps
	// entries with equal beliefs from choosing the same endpoint.
	Jitter float64
}

// Default is the pipeline of the entries.
func LocalFirst() Pipeline {
	return Pipeline{
		Filters: []Filter{Available{}, FitsCapacity{}},
		Scorers: []WeightedScorer{{Headroom{}, 1}, {TokenLatency{}, 1}},
		Jitter:  0.15,
	}
}

// Weights of Spread, in units of an engine's whole memory: a candidate of the own
// data centre may be fuller by nearWeight.
const (
	localityWeight     = 0.5
	tokenLatencyWeight = 1.0
	prefillScaleTokens = 8000
	acrossJitter       = 0.05
)

// Spread is the pipeline of entries that send work to all data centres: reading
// long prompts is what engines are short of, so the load has to be even.
func AcrossDataCenters() Pipeline {
	return Pipeline{
		Filters:        []Filter{Available{}, FitsCapacity{}},
		Scorers:        []WeightedScorer{{Headroom{}, 1}, {PrefillBacklog{prefillScaleTokens}, 1}, {TokenLatency{}, tokenLatencyWeight}, {Locality{}, localityWeight}},
		AllDataCenters: true,
		Jitter:         acrossJitter,
	}
}

// None is the index returned when no candidate is left.
const None = -1

// Choose returns the Index of the chosen candidate, or None.
func (p *Pipeline) Choose(rng *rand.Rand, r *Request, candidates []Candidate) int {
	if best := p.best(rng, r, candidates, true); best != None {
		return best
	}
	return p.best(rng, r, candidates, false)
}

func (p *Pipeline) best(rng *rand.Rand, r *Request, candidates []Candidate, local bool) int {
	index := None
	highScore := math.Inf(-1)
	for i := range candidates {
		c := &candidates[i]
		if c.Local != local && !p.AllDataCenters || c.Index == r.ExcludedIndex || !p.keep(r, c) {
			continue
		}
		if s := p.score(r, c) + rng.Float64()*p.Jitter; s > highScore {
			highScore = s
			index = c.Index
		}
	}
	return index
}

func (p *Pipeline) keep(r *Request, c *Candidate) bool {
	for _, f := range p.Filters {
		if !f.Keep(r, c) {
			return false
		}
	}
	return true
}

func (p *Pipeline) score(r *Request, c *Candidate) float64 {
	sum := 0.0
	for _, s := range p.Scorers {
		sum += s.Weight * s.Scorer.Score(r, c)
	}
	return sum
}

// Reason explains what a pipeline makes of one candidate.
type Evaluation struct {
	Index    int
	Eligible bool
	Score    float64
}

// Explain rates every candidate without choosing, for the operators.
func (p *Pipeline) Explain(r *Request, candidates []Candidate) []Evaluation {
	evaluations := make([]Evaluation, 0, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		eligible := c.Index != r.ExcludedIndex && p.keep(r, c)
		evaluations = append(evaluations, Evaluation{Index: c.Index, Eligible: eligible, Score: p.score(r, c)})
	}
	return evaluations
}
